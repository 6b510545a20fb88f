package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/common/framing"
	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
)

// Guards against a body of which a part is missing, or that seems to end in order, once the standby that read its beginning without
// success gets the request all the same.
func TestPrefetchKeepsBody(t *testing.T) {
	errReset := errors.New("connection reset")
	for _, c := range []struct {
		name   string
		kind   route.Kind
		body   io.Reader
		memory int64
		err    error // of prefetch
		after  string
		end    error // of the body afterwards
	}{
		{"reset", route.Idempotent, io.MultiReader(strings.NewReader("part"), &resetReader{err: errReset}), 0, errReset, "part", errReset},
		{"no memory", route.Idempotent, strings.NewReader(strings.Repeat("x", 9000)), 5000, errBodyMemory, strings.Repeat("x", 9000), nil},
		{"event out of order", route.Stream, strings.NewReader("id: 9\ndata: x\n\nid: 4\n\n"), 0, errEventOrder, "id: 9\ndata: x\n\nid: 4\n\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := &attempt{
				x: &exchange{handler: &Handler{memory: bodyMemory{limit: c.memory}}, route: &route.Route{Kind: c.kind}}, after: "3",
				resp: &endpoint.Response{Response: &http.Response{StatusCode: 200, Body: io.NopCloser(c.body)}, Framing: framing.Close},
			}
			_, _, err := a.prefetch(true)
			g.Expect(err).To(MatchError(c.err))
			b, err := io.ReadAll(a.resp.Body)
			g.Expect(string(b)).To(Equal(c.after))
			if c.end != nil {
				g.Expect(err).To(MatchError(c.end))
			} else {
				g.Expect(err).ToNot(HaveOccurred())
			}
		})
	}
}

// resetReader reports an error once and then an orderly end, like a connection that was reset.
type resetReader struct{ err error }

func (r *resetReader) Read([]byte) (int, error) {
	if err := r.err; err != nil {
		r.err = nil
		return 0, err
	}
	return 0, io.EOF
}

// Guards against a standby that continues a stream after an event that is no longer the last one: the first endpoint has gone on while
// the standby was chosen.
func TestNoStandbyForOldPlan(t *testing.T) {
	for _, c := range []struct {
		name     string
		meantime func(a *attempt)
		started  bool
	}{
		{"nothing has happened", func(*attempt) {}, true},
		{"an event has been relayed", func(a *attempt) {
			a.keepsRequest()
			a.x.lastEventID = "3"
			a.watchSilence()
		}, false},
		{"the response has begun", func(a *attempt) { a.keepsRequest() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p, x := newTestExchange()
			x.route = &route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}
			x.lastEventID, x.headerWritten = "2", true
			a := x.newAttempt(t.Context(), p.Acquire(time.Now(), x.poolRequest()), "", nil)
			x.tried, x.possibleRuns = []core.EndpointID{a.grant.Endpoint.ID}, 1
			defer a.endTakeover(false)
			plan := a.newPlan()
			a.watch(plan, time.Now(), time.Hour, false, func() time.Duration { return 0 })
			plan = a.withStandbys(plan)
			grant := p.Acquire(time.Now(), plan.req)
			c.meantime(a)
			b := a.newStandby(plan, grant)
			if b != nil {
				close(b.standby.opened)
			}
			g.Expect(b != nil).To(Equal(c.started))
		})
	}
}

// Guards against the end of the process by a panic in the goroutine of a timer, which no handler recovers.
func TestPanicOfStandby(t *testing.T) {
	g := NewWithT(t)
	p, x := newTestExchange()
	a := x.newAttempt(t.Context(), p.Acquire(time.Now(), x.poolRequest()), "", nil)
	plan := a.newPlan()
	a.watch(plan, time.Now(), time.Hour, false, func() time.Duration { return 0 })
	g.Expect(func() { a.tryStandby(plan) }).ToNot(Panic())
	g.Expect(x.handler.stats.panics.Count()).To(Equal(int64(1)))
	a.endTakeover(false)
	a.release(pool.Served)
	free, slots := p.Free(time.Now())
	g.Expect(free).To(Equal(slots), "slots are released")
}

// newTestExchange returns the exchange of a plain request that may run at two endpoints of one slot each, and its pool.
func newTestExchange() (*pool.Pool, *exchange) {
	p := pool.New(pool.Options{})
	p.SetEndpoints(time.Now(), []pool.Endpoint{{ID: "e1", Slots: 1}, {ID: "e2", Slots: 1}})
	w := httptest.NewRecorder()
	return p, &exchange{
		handler: New(Options{
			Headers: fixedHeaders{}, Log: logr.Discard(), Metrics: metrics.NewRegistry(), Budgets: anyRetries{},
			Config: func() Config { return Config{Table: route.New(route.Options{})} },
		}),
		pool: p,
		w:    w, rc: http.NewResponseController(w), r: httptest.NewRequest(http.MethodGet, "/", nil),
		route: &route.Route{Kind: route.Idempotent, Attempts: 2}, deadline: time.Now().Add(time.Minute),
	}
}

// anyRetries allows all retries.
type anyRetries struct{ Budgets }

func (anyRetries) TakeRetry(route.Service) bool { return true }

// Guards against a stream that can't return to its first endpoint because its caller, who is still connected, should have left.
func TestResponseDeadline(t *testing.T) {
	arrived := time.Now()
	abandoned, deadline := arrived.Add(2*time.Second), arrived.Add(10*time.Second)
	for _, c := range []struct {
		name string
		kind route.Kind
		runs int
		want time.Time
	}{
		{"stream that did not run", route.Stream, 0, abandoned},
		{"stream that may have run", route.Stream, 1, deadline},
		{"other request", route.Idempotent, 0, deadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &exchange{route: &route.Route{Kind: c.kind}, arrived: arrived, deadline: deadline, possibleRuns: c.runs}
			NewWithT(t).Expect(x.responseDeadline()).To(Equal(c.want))
		})
	}
}

// Guards against a standby for a stream that has not begun and whose caller has left meanwhile.
func TestPlanEndsWithAbandonment(t *testing.T) {
	arrived := time.Now()
	abandoned, deadline := arrived.Add(2*time.Second), arrived.Add(10*time.Second)
	for _, c := range []struct {
		name  string
		begun bool
		want  time.Time
	}{
		{"has not begun", false, abandoned},
		{"has begun", true, deadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &exchange{route: &route.Route{Kind: route.Stream}, arrived: arrived, deadline: deadline, possibleRuns: 1, headerWritten: c.begun, w: httptest.NewRecorder()}
			a := &attempt{x: x, grant: &pool.Grant{}}
			NewWithT(t).Expect(a.newPlan().req.Deadline).To(Equal(c.want))
		})
	}
}
