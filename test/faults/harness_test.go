// Package faults puts every fault at every step of requests, orders, configuration changes, engine orders and drains.
// Whole small deployments run in one process on an in-memory network and the paused clock of testing/synctest.
package faults

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/order"
	"monsoondale/core/routing"
	"monsoondale/instance"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/network"
	"monsoondale/internal/fake/service"
	"monsoondale/internal/testhook"
	wire "monsoondale/wire/engine"
	"monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

func TestMain(m *testing.M) {
	// The goroutine that ages meters is shared by the whole process, so it must not begin inside a bubble.
	metrics.NewMeter().Stop()
	debug.SetGCPercent(400) // hundreds of short-lived deployments; collecting takes a fifth of the time otherwise
	flag.Parse()
	code := m.Run()
	if code == 0 && *write {
		if err := page.save(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

const (
	region = "r"
	apiKey = "key"
	// faultTime is how long a fault lasts that can end. It exceeds the pause after which an instance drops its owner
	// state (2 s) and is below the suspicion of an instance (5 s).
	faultTime = 4 * time.Second
	latency   = 500 * time.Microsecond
)

const template = `{
  "template": "desk", "params": [], "share": 10,
  "kinds": [
    {"name": "urgent", "tier": 0, "pool": "drafting", "deadline": "20s", "tokens": 20},
    {"name": "draft", "tier": 1, "pool": "drafting", "deadline": "20s", "tokens": 40},
    {"name": "short", "tier": 1, "pool": "drafting", "deadline": "3s", "tokens": 40},
    {"name": "review", "tier": 3, "pool": "drafting", "tokens": 200},
    {"name": "v%d", "tier": 2, "pool": "drafting", "tokens": 20},
    {"name": "engrave", "tier": 0, "pool": "orders", "service": "orders", "once": true, "method": "POST", "path": "/engrave", "deadline": "20s"},
    {"name": "stock", "tier": 2, "pool": "orders", "service": "orders", "method": "GET", "path": "/stock/", "deadline": "20s"}
  ]
}`

var tiers = map[string]int{"urgent": 0, "draft": 1, "short": 1, "review": 3}

// run is one deployment in a bubble.
type run struct {
	t       *testing.T
	net     *network.Network
	f       *fleet.Fleet
	stop    map[string]context.CancelFunc // of instances
	holder  string
	owner   string // of the shard that the subject is asked from
	work    string
	traffic sync.WaitGroup
	quiet   chan struct{}

	mu      sync.Mutex
	subject string // request id
	armed   bool
	step    string // at which the fault strikes
	strike  func()
	struck  chan struct{}
	marker  string // of the subject's body or key
	where   string // endpoint that received the subject
	record  check.History
	open    map[*check.Execution]struct{}
	seen    map[string]int // requests that an endpoint received, by request
	events  map[string]int
	dead    map[string]bool
}

type options struct {
	work     string
	settings func(map[string]any)
	engine   engine.Options
	service  service.Options
	services int
	lag      time.Duration
}

// start brings a deployment up and waits until it serves the configuration.
func start(t *testing.T, o options) *run {
	r := &run{
		t: t, net: network.New(latency), stop: map[string]context.CancelFunc{}, work: o.work, quiet: make(chan struct{}),
		struck: make(chan struct{}), open: map[*check.Execution]struct{}{}, seen: map[string]int{}, events: map[string]int{},
		dead: map[string]bool{},
	}
	r.record.Killed = map[string]time.Time{}
	r.record.TierOf = func(a check.Answer) (int, string) {
		if a.Chat != nil {
			return tiers[a.Chat.Model], "drafting"
		}
		return lo.Ternary(a.OrderKey != "", 0, 2), "orders"
	}
	e := o.engine
	e.Model, e.ReportLag = "drafting", 300*time.Millisecond
	if e.DecodeRate == 0 {
		e.DecodeRate = 100
	}
	o.service.Delay = max(o.service.Delay, 100*time.Millisecond)
	var err error
	r.f, err = fleet.Start(t.Context(), fleet.Options{
		Region: region, Centres: 2, Instances: 4, ListLag: max(o.lag, 200*time.Millisecond),
		Engines:  []fleet.EnginePool{{Pool: "drafting", Count: 3, Options: e}},
		Services: []fleet.ServicePool{{Pool: "orders", Count: max(1, o.services), Options: o.service}},
		Network:  func(p string) fleet.Network { return r.net.Host(p) },
		Wrap:     r.wrap, Launch: r.launch, Settings: o.settings,
	})
	r.must(err)
	r.roles()
	time.Sleep(2 * time.Second)
	r.must(r.f.Put(t.Context(), 0, "template", "desk", fmt.Sprintf(template, 0)))
	r.must(r.f.Put(t.Context(), 0, "workspace", "hel", fmt.Sprintf(`{"workspace":"hel","template":"desk","params":{},"keys":[%q]}`, fleet.HashKey(apiKey))))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r.must(r.f.WaitModelListed(ctx, apiKey, "draft"))
	time.Sleep(2 * time.Second)
	return r
}

func (r *run) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *run) launch(ctx context.Context, b []byte) (fleet.RunningInstance, error) {
	s, err := instance.ParseSettings("settings", b, "")
	if err != nil {
		return nil, err
	}
	name := string(s.Name)
	ctx, r.stop[name] = context.WithCancel(context.WithoutCancel(ctx))
	return instance.Start(ctx, instance.Options{
		Settings: s, Log: logr.Discard(), Network: r.net.Host(name), Probe: testhook.Probe{
			OnStep:        func(s testhook.Step, at core.InstanceID, q core.RequestID) { r.reach(string(s), string(at), string(q)) },
			OnControlStep: func() { r.net.WaitUnfrozen(name) },
		},
	})
}

// roles computes which instance owns the shard that requests at the holder prefer, and takes the other instance of the
// same data centre as the holder.
func (r *run) roles() {
	pool := lo.Ternary(r.work == "order", "orders", "drafting")
	ids := lo.Map(r.f.Instances, func(i *fleet.Instance, _ int) routing.Instance {
		return routing.Instance{ID: core.InstanceID(i.Name), Centre: core.DataCentre(i.Centre)}
	})
	c := routing.Candidates(ids, pool+"/"+region+"-1/0", region+"-1")
	r.owner, r.holder = string(c[0]), string(c[1])
}

// arm lets the fault strike when the subject reaches the step.
func (r *run) arm(step, marker string, strike func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed, r.step, r.marker, r.strike, r.subject = true, step, marker, strike, ""
}

// reach notes a step. The first request that the holder accepts while armed is the subject: other traffic avoids it.
func (r *run) reach(step, at, request string) {
	r.mu.Lock()
	if r.armed && r.subject == "" && step == string(testhook.Accepted) && at == r.holder {
		r.subject = request
	}
	var f func()
	if r.armed && r.strike != nil && step == r.step && (request == "" || request == r.subject) {
		f, r.strike = r.strike, nil
		defer close(r.struck)
	}
	r.mu.Unlock()
	if f != nil {
		f()
	}
}

var tierMark = regexp.MustCompile(`tier=(\d)`)

// wrap observes the stand-ins: what an endpoint works at, and the steps that its messages mark.
func (r *run) wrap(process string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case process == "objects":
			r.observeObjects(w, q, h)
		case process == "list":
			h.ServeHTTP(w, q)
			if q.Method == http.MethodPut {
				r.reach("leaving listed", "", "")
			}
		case q.URL.Path == "/orders":
			r.reach(lo.Ternary(q.Method == http.MethodPost, "command received", "read back"), process, "")
			h.ServeHTTP(w, q)
		case q.URL.Path == "/log", strings.HasPrefix(q.URL.Path, "/load"), strings.HasPrefix(q.URL.Path, "/cache"), q.Method == http.MethodDelete:
			h.ServeHTTP(w, q)
		default:
			r.observeEndpoint(process, w, q, h)
		}
	})
}

func (r *run) observeObjects(w http.ResponseWriter, q *http.Request, h http.Handler) {
	step := ""
	if q.Method == http.MethodPut {
		body, _ := io.ReadAll(q.Body)
		q.Body = io.NopCloser(strings.NewReader(string(body)))
		switch kind, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/objects/"), "/"); kind {
		case "claim":
			step = r.claimStep(string(body))
		case "report":
			step = "report published"
		case "lease":
			step = "lease written"
		default:
			step = "change written"
		}
	}
	h.ServeHTTP(w, q)
	if step != "" {
		r.reach(step, "", "")
	}
}

// claimStep tells which step a claim object shows for the subject.
func (r *run) claimStep(body string) string {
	r.mu.Lock()
	key := order.HashKey(core.OrderKey("hel/" + r.marker))
	r.mu.Unlock()
	for _, c := range check.Claims([]platform.Item{{Kind: "claim", Value: body}}) {
		if c.Key == key {
			return lo.Ternary(c.State == peer.ClaimStateClaimed, "claim written", "result recorded")
		}
	}
	return ""
}

func (r *run) observeEndpoint(process string, w http.ResponseWriter, q *http.Request, h http.Handler) {
	id := q.Header.Get("X-Request-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil { // the request broke off in its body
		panic(http.ErrAbortHandler)
	}
	q.Body = io.NopCloser(strings.NewReader(string(body)))
	s := &check.Execution{Endpoint: process, Request: id, From: time.Now(), Pool: lo.Ternary(strings.Contains(process, "drafting"), "drafting", "orders")}
	r.mu.Lock()
	switch m := tierMark.FindSubmatch(body); {
	case m != nil:
		s.Tier, _ = strconv.Atoi(string(m[1]))
		r.seen[id] = s.Tier
	case s.Pool == "orders":
		s.Tier = lo.Ternary(q.Method == http.MethodPost, 0, 2)
	default:
		s.Tier, s.Resumed = r.seen[id], true
	}
	if id == r.subject && r.where == "" {
		r.where = process
	}
	r.open[s] = struct{}{}
	r.mu.Unlock()
	r.reach("sent", process, id)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.To = time.Now()
		delete(r.open, s)
		r.record.Executions = append(r.record.Executions, *s)
	}()
	h.ServeHTTP(&watched{ResponseWriter: w, r: r, id: id, at: process, tokens: tokensOf(body)}, q)
}

func tokensOf(body []byte) int {
	var c wire.Chat
	if json.Unmarshal(body, &c) != nil || c.MaxTokens == 0 {
		return 0
	}
	return c.MaxTokens
}

// watched notes the parts of an answer.
type watched struct {
	http.ResponseWriter
	r      *run
	id, at string
	tokens int
	events int
}

// Write counts the events of a stream; a plain answer is one part.
func (w *watched) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if strings.Contains(string(b), "data:") || w.tokens == 0 {
		w.events++
		if w.events == 1 {
			w.r.reach("first byte", w.at, w.id)
		}
		if w.tokens > 0 && w.events == w.tokens/2 {
			w.r.reach("mid-stream", w.at, w.id)
		}
	}
	if strings.Contains(string(b), "[DONE]") || w.tokens == 0 {
		w.r.reach("last byte", w.at, w.id)
	}
	return n, err
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *watched) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *watched) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// kill ends an instance or an endpoint without any graceful step.
func (r *run) kill(name string) {
	r.net.Kill(name)
	r.mu.Lock()
	if r.dead[name] {
		r.mu.Unlock()
		return
	}
	r.dead[name] = true
	r.record.Killed[name] = time.Now()
	r.mu.Unlock()
	if stop := r.stop[name]; stop != nil {
		stop()
	}
	if e := r.endpoint(name); e != nil {
		go e.Server.Stop()
	}
}

// removed lets the platform drop killed instances from its list.
func (r *run) removed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.dead {
		r.f.InstanceList.Remove(name)
	}
}

func (r *run) isDead(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead[name]
}

func (r *run) endpoint(name string) *fleet.Endpoint {
	e, _ := lo.Find(r.f.Endpoints, func(e *fleet.Endpoint) bool { return e.Name == name })
	return e
}

// endpoints names the endpoint that received the subject, or else those that may.
func (r *run) endpoints() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.where != "" {
		return []string{r.where}
	}
	return lo.FilterMap(r.f.Endpoints, func(e *fleet.Endpoint, _ int) (string, bool) {
		return e.Name, e.Centre == region+"-1" && e.Pool == lo.Ternary(r.work == "order", "orders", "drafting")
	})
}

// client returns a caller at an instance.
func (r *run) client(name string) *check.Client {
	for n, i := range r.f.Instances {
		if i.Name == name {
			return r.f.Client(n, apiKey, "clerk")
		}
	}
	panic("no instance " + name)
}

func (r *run) note(a check.Answer) check.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Answers = append(r.record.Answers, a)
	return a
}

func (r *run) chat(at, kind string, tokens int) check.Answer {
	c := wire.Chat{
		Model: kind, MaxTokens: tokens, Stream: true,
		Messages: []wire.Message{{Role: "user", Content: fmt.Sprintf("tier=%d %s", tiers[kind], core.NewID())}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	return r.note(r.client(at).Chat(ctx, c, 0))
}

func (r *run) order(at, key string) check.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	return r.note(r.client(at).Call(ctx, http.MethodPost, "/services/orders/engrave", key, fmt.Sprintf(`{"order":%q}`, key), 0))
}

// live names the instances that were not killed.
func (r *run) live() []string {
	return lo.FilterMap(r.f.Instances, func(i *fleet.Instance, _ int) (string, bool) { return i.Name, !r.isDead(i.Name) })
}

// others names the live instances except the holder.
func (r *run) others() []string { return lo.Without(r.live(), r.holder) }

// background sends a little traffic of all tiers to all instances except the holder.
func (r *run) background() {
	for n, name := range r.others() {
		r.traffic.Go(func() {
			for i := 0; !r.isDead(name); i++ {
				switch (i + n) % 4 {
				case 0:
					r.chat(name, "review", 20)
				case 1:
					r.order(name, fmt.Sprint("plate-", n, "-", i))
				default:
					r.chat(name, "draft", 10)
				}
				select {
				case <-r.quiet:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
}

// end stops the traffic and takes everything down. It returns what the checker found.
func (r *run) end() []check.Violation {
	select {
	case <-r.quiet:
	default:
		close(r.quiet)
	}
	r.traffic.Wait()
	r.record.End = time.Now()
	for _, e := range r.f.Endpoints {
		l := check.Log{Endpoint: e.Name, Pool: e.Pool}
		if e.Engine != nil {
			l.Items = e.Engine.Log().Items
		} else {
			l.Items = e.Service.Log().Items
		}
		r.record.Logs = append(r.record.Logs, l)
	}
	r.mu.Lock()
	for s := range r.open {
		r.record.Executions = append(r.record.Executions, *s)
	}
	r.mu.Unlock()
	for _, i := range r.f.Instances {
		r.kill(i.Name)
	}
	for _, p := range append(lo.Map(r.f.Endpoints, func(e *fleet.Endpoint, _ int) string { return e.Name }), "objects", "list", fleet.ClientProcess) {
		r.net.Kill(p)
	}
	r.net.Heal()
	r.f.StopFakes()
	// Longer than any wait of what still runs for a killed instance.
	time.Sleep(30 * time.Minute)
	return r.record.Verify()
}

// leave lets the platform show an endpoint as leaving.
func (r *run) leave(name string) {
	for _, it := range r.f.InstanceList.Visible().Items {
		if it.Name == name {
			it.State = platform.InstanceStateLeaving
			r.f.InstanceList.Put(it)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Leaving = append(r.record.Leaving, check.Leaving{Endpoint: name, At: time.Now()})
}
