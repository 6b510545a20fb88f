package dispatch_test

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/dispatch"
	"monsoondale/core/order"
)

// fakeSlots grants a slot on the first endpoint that is not excluded.
type fakeSlots struct {
	mu        sync.Mutex
	endpoints []core.EndpointID
	delays    []time.Duration // before the next grants; the last one is repeated
	refuse    []*core.Error   // errors of the next calls; nil grants a slot
	asks      []admission.Ask
	released  []admission.Release
}

func (s *fakeSlots) Acquire(ctx context.Context, _ core.Pool, ask admission.Ask) (dispatch.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.delays) > 0 {
		d := s.delays[0]
		s.delays = s.delays[min(1, len(s.delays)-1):]
		s.mu.Unlock()
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		s.mu.Lock()
		if err := ctx.Err(); err != nil {
			return dispatch.Slot{}, err
		}
	}
	s.asks = append(s.asks, ask)
	if len(s.refuse) > 0 {
		e := s.refuse[0]
		s.refuse = s.refuse[1:]
		if e != nil {
			return dispatch.Slot{}, e
		}
	}
	for _, e := range s.endpoints {
		if slices.Contains(ask.Exclude, e) || ask.Pin != "" && ask.Pin != e {
			continue
		}
		return dispatch.Slot{Grant: core.GrantID("g" + strconv.Itoa(len(s.asks))), Endpoint: e, Address: string(e)}, nil
	}
	return dispatch.Slot{}, core.Errorf(core.CodeNoEndpoint, "")
}

func (s *fakeSlots) Release(_ dispatch.Slot, r admission.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, r)
}

func (s *fakeSlots) Progress(dispatch.Slot, core.RequestID, core.Tokens) {}

func (s *fakeSlots) outcomes() []admission.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]admission.Outcome(nil), lo.Map(s.released, func(r admission.Release, _ int) admission.Outcome { return r.Outcome })...)
}

// fakeEndpoint is an engine and a service. It generates the given number of events, one per interval, and breaks its
// connections as configured.
type fakeEndpoint struct {
	mu              sync.Mutex
	refuse          map[string]bool // addresses that refuse connections
	events          int
	interval        time.Duration
	breakAfter      []int // events after which the n-th connection breaks; -1: before the answer, 0: never
	silent          bool  // a broken connection sends nothing instead of failing
	unknownStream   bool  // Resume returns ErrUnknownStream
	finalErr        error // returned at the end of a stream
	cancelErr       error
	stopErr         error         // ends a stream that was cancelled
	finishedChoices map[int][]int // choices that finish with the n-th event
	reply           dispatch.Reply
	replyErr        error
	replyDelay      time.Duration

	dispatched, resumed, cancelled int
	stopped                        chan struct{}
}

func (f *fakeEndpoint) Chat(ctx context.Context, permit *dispatch.Permit, address string, req dispatch.ChatRequest, yield func(dispatch.Event) error) error {
	if err := f.begin(permit, address); err != nil {
		return err
	}
	return f.stream(ctx, 0, yield)
}

func (f *fakeEndpoint) begin(permit *dispatch.Permit, address string) error {
	if err := permit.Use(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse[address] {
		return permit.ProveNotSent(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	}
	f.dispatched++
	return nil
}

func (f *fakeEndpoint) Resume(ctx context.Context, address string, _ core.RequestID, after int, yield func(dispatch.Event) error) error {
	f.mu.Lock()
	f.resumed++
	refuse := f.refuse[address]
	f.mu.Unlock()
	switch {
	case refuse:
		return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case f.unknownStream:
		return dispatch.ErrUnknownStream
	}
	return f.stream(ctx, after, yield)
}

func (f *fakeEndpoint) stream(ctx context.Context, after int, yield func(dispatch.Event) error) error {
	f.mu.Lock()
	f.stopped = make(chan struct{})
	stopped, cut, final := f.stopped, 0, f.finalErr
	if len(f.breakAfter) > 0 {
		cut, f.breakAfter = f.breakAfter[0], f.breakAfter[1:]
	}
	f.mu.Unlock()
	broken := func() error {
		if f.silent {
			time.Sleep(3 * time.Second)
			return dispatch.ErrIdle
		}
		return errors.New("connection reset")
	}
	if cut < 0 {
		return broken()
	}
	if err := yield(dispatch.Event{}); err != nil {
		return err
	}
	for i := after + 1; i <= f.events; i++ {
		select {
		case <-time.After(f.interval):
		case <-stopped:
			return f.stopErr
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := yield(dispatch.Event{ID: i, Data: strconv.Itoa(i), HasText: true, FinishedChoices: f.finishedChoices[i]}); err != nil {
			return err
		}
		if i == after+cut {
			return broken()
		}
	}
	return final
}

func (f *fakeEndpoint) Cancel(context.Context, string, core.RequestID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled++
	if f.cancelErr == nil && f.stopped != nil {
		close(f.stopped)
		f.stopped = nil
	}
	return f.cancelErr
}

func (f *fakeEndpoint) Call(ctx context.Context, permit *dispatch.Permit, address string, _ dispatch.CallRequest) (dispatch.Reply, error) {
	if err := f.begin(permit, address); err != nil {
		return dispatch.Reply{}, err
	}
	select {
	case <-time.After(f.replyDelay):
		return f.reply, f.replyErr
	case <-ctx.Done():
		return dispatch.Reply{}, context.Cause(ctx)
	}
}

type fakeSink struct {
	events []int
	err    error
}

func (s *fakeSink) Event(e dispatch.Event) error {
	s.events = append(s.events, e.ID)
	return s.err
}

func (s *fakeSink) FullReply() (dispatch.Reply, error) { return dispatch.Reply{Status: 200}, nil }

// fakeClaims holds the claim of one key.
type fakeClaims struct {
	mu             sync.Mutex
	validity       time.Duration
	err            error
	result         *order.Result
	finished       []bool
	finishFailures int // calls of Finish that fail
	voids          int
	claims         int
}

func (c *fakeClaims) Claim(_ context.Context, key core.OrderKey, print string) (order.Ticket, *order.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims++
	return order.Ticket{Key: key, Fingerprint: print, Expires: time.Now().Add(c.validity)}, c.result, c.err
}

func (c *fakeClaims) Finish(_ context.Context, _ order.Ticket, done bool, r order.Result) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finishFailures > 0 {
		c.finishFailures--
		return errors.New("store down")
	}
	c.finished, c.result = append(c.finished, done), &r
	return nil
}

func (c *fakeClaims) Void(context.Context, order.Ticket) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voids++
	return nil
}

type fixture struct {
	slots    *fakeSlots
	endpoint *fakeEndpoint
	claims   *fakeClaims
	runner   *dispatch.Runner
	sink     *fakeSink

	choices int
}

func newFixture(endpoint *fakeEndpoint) *fixture {
	r := &fixture{slots: &fakeSlots{endpoints: []core.EndpointID{"a", "b"}}, endpoint: endpoint, claims: &fakeClaims{validity: 5 * time.Second}, sink: &fakeSink{events: []int{}}}
	r.runner = dispatch.NewRunner(dispatch.Options{Slots: r.slots, Engine: endpoint, Service: endpoint, Claims: r.claims, Holder: "h"})
	return r
}

func (r *fixture) chat(ctx context.Context, ask admission.Ask) dispatch.Outcome {
	return r.runner.Run(ctx, dispatch.Request{Attempt: dispatch.NewAttempt("r"), Pool: "p", Ask: ask, Work: dispatch.ChatWork{Sink: r.sink, Choices: r.choices}})
}

func (r *fixture) call(ctx context.Context, ask admission.Ask) dispatch.Outcome {
	return r.runner.Run(ctx, dispatch.Request{Attempt: dispatch.NewAttempt("r"), Pool: "p", Ask: ask, Work: dispatch.CallWork{}})
}

func codeOf(o dispatch.Outcome) core.Code {
	if !o.Failed() {
		return 0
	}
	return o.Failure.Err().Code
}

func eventIDs(n int) []int { return lo.RangeFrom(1, n) }

// Guards against a second dispatch and against "not run" after a dispatch (P1, P4).
func TestAttempt(t *testing.T) {
	g := NewWithT(t)
	dial := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	a := dispatch.NewAttempt("r")
	permit, ok := a.Begin()
	g.Expect(ok).To(BeTrue())
	_, ok = a.Begin()
	g.Expect(ok).To(BeFalse(), "second dispatch")
	g.Expect(permit.Use()).To(Succeed())
	g.Expect(permit.Use()).NotTo(Succeed(), "a permit used twice")
	g.Expect((&dispatch.Permit{}).Use()).NotTo(Succeed(), "a forged permit")

	g.Expect(permit.ProveNotSent(&net.OpError{Op: "read"})).To(BeNil(), "only a failed dial is a proof")
	g.Expect(a.Restore(nil)).To(BeFalse())
	g.Expect(a.Restore(&dispatch.NotSentError{})).To(BeFalse(), "a forged proof")
	other, _ := dispatch.NewAttempt("other").Begin()
	g.Expect(a.Restore(other.ProveNotSent(dial))).To(BeFalse(), "the proof of another request")
	proof := permit.ProveNotSent(dial)
	g.Expect(a.Restore(proof)).To(BeTrue())

	_, ok = a.Begin()
	g.Expect(ok).To(BeTrue())
	g.Expect(a.Restore(proof)).To(BeFalse(), "the proof of an earlier dispatch")
	for _, c := range core.Codes {
		g.Expect(a.Fail(&core.Error{Code: c.Code}).Err().Code.Class()).NotTo(Equal(core.ClassNotRun), "code %d after dispatch", c.Code)
	}
}

// Guards against a dispatch after the caller was told "not run" (P4).
func TestAttemptEndsWithFailure(t *testing.T) {
	g := NewWithT(t)
	a := dispatch.NewAttempt("r")
	g.Expect(a.Fail(core.Errorf(core.CodeOverloaded, "")).Err().Code).To(Equal(core.CodeOverloaded))
	_, ok := a.Begin()
	g.Expect(ok).To(BeFalse())
}

// Guards against truncated answers, repeated events and repeated dispatches when connections break or engines fail.
func TestChatOutcomes(t *testing.T) {
	soon := 2 * time.Second
	tests := []struct {
		name       string
		endpoint   *fakeEndpoint
		deadline   time.Duration
		sinkErr    error
		once       bool
		code       core.Code
		events     int
		dispatched int
		outcomes   []admission.Outcome
	}{
		{name: "complete", endpoint: &fakeEndpoint{events: 3}, events: 3, dispatched: 1, outcomes: []admission.Outcome{"done"}},
		{name: "broken after each event", endpoint: &fakeEndpoint{events: 5, breakAfter: []int{1, 1, 1, 1}}, events: 5, dispatched: 1, outcomes: []admission.Outcome{"done"}},
		{name: "silent", endpoint: &fakeEndpoint{events: 5, breakAfter: []int{2}, silent: true}, events: 5, dispatched: 1, outcomes: []admission.Outcome{"done"}},
		{name: "no answer, then resumed", endpoint: &fakeEndpoint{events: 2, breakAfter: []int{-1}}, events: 2, dispatched: 1, outcomes: []admission.Outcome{"done"}},
		{name: "first endpoint refuses", endpoint: &fakeEndpoint{events: 2, refuse: map[string]bool{"a": true}}, events: 2, dispatched: 1, outcomes: []admission.Outcome{"refused", "done"}},
		{name: "prefill longer than ResumeTimeout", endpoint: &fakeEndpoint{events: 2, breakAfter: slices.Repeat([]int{-1}, 30), silent: true}, events: 2, dispatched: 1, outcomes: []admission.Outcome{"done"}},
		{name: "all endpoints refuse", endpoint: &fakeEndpoint{refuse: map[string]bool{"a": true, "b": true}}, code: core.CodeNoEndpoint, outcomes: []admission.Outcome{"refused", "refused"}},
		{name: "engine error", endpoint: &fakeEndpoint{finalErr: core.Errorf(core.CodeEngineError, "")}, code: core.CodeEngineError, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "not-run code from a client after dispatch", endpoint: &fakeEndpoint{finalErr: core.Errorf(core.CodeOverloaded, "")}, code: core.CodeOutcomeUnknown, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "stream lost", endpoint: &fakeEndpoint{events: 3, breakAfter: []int{1}, unknownStream: true}, code: core.CodeTruncated, events: 1, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "stream lost before any answer", endpoint: &fakeEndpoint{events: 3, breakAfter: []int{-1}, unknownStream: true}, code: core.CodeOutcomeUnknown, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "no first token before the deadline", endpoint: &fakeEndpoint{events: 3, breakAfter: []int{-1, -1, -1, -1}, silent: true}, deadline: soon, code: core.CodeOutcomeUnknown, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "order lost", endpoint: &fakeEndpoint{events: 3, breakAfter: []int{1}, unknownStream: true}, once: true, code: core.CodeOutcomeUnknown, events: 1, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "order with a wrong answer", endpoint: &fakeEndpoint{finalErr: core.Errorf(core.CodeWrongAnswer, "")}, once: true, code: core.CodeOutcomeUnknown, dispatched: 1, outcomes: []admission.Outcome{"failed"}},
		{name: "caller stops reading", endpoint: &fakeEndpoint{events: 3}, sinkErr: errors.New("broken pipe"), code: core.CodeCancelled, events: 1, dispatched: 1, outcomes: []admission.Outcome{"cancelled"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newFixture(lo.CoalesceOrEmpty(tt.endpoint, &fakeEndpoint{}))
				r.sink.err = tt.sinkErr
				ask := admission.Ask{Once: tt.once}
				if tt.deadline > 0 {
					ask.Deadline = time.Now().Add(tt.deadline)
				}
				out := r.chat(t.Context(), ask)
				g.Expect(codeOf(out)).To(Equal(tt.code))
				g.Expect(r.sink.events).To(Equal(eventIDs(tt.events)))
				g.Expect(r.endpoint.dispatched).To(Equal(tt.dispatched))
				g.Expect(r.slots.outcomes()).To(Equal(tt.outcomes))
				if tt.once {
					g.Expect(r.endpoint.cancelled).To(BeZero(), "an order was stopped")
				}
			})
		})
	}
}

// Guards against resuming forever at an engine whose process is gone.
func TestChatGivesUpRefusedResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newFixture(&fakeEndpoint{events: 3, breakAfter: []int{1}, interval: 2 * time.Millisecond})
		time.AfterFunc(time.Millisecond, func() {
			r.endpoint.mu.Lock()
			defer r.endpoint.mu.Unlock()
			r.endpoint.refuse = map[string]bool{"a": true}
		})
		start := time.Now()
		g.Expect(codeOf(r.chat(t.Context(), admission.Ask{}))).To(Equal(core.CodeTruncated))
		g.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
		g.Expect(r.slots.outcomes()).To(Equal([]admission.Outcome{"failed"}), "never another endpoint after dispatch")
	})
}

// Guards against losing or repeating parts of a suspended request, and against a second dispatch of it.
func TestSuspend(t *testing.T) {
	tests := []struct {
		stopErr error
		finish  map[int][]int // of two choices
	}{
		{stopErr: nil},
		{stopErr: errors.New("stream ended")},
		{finish: map[int][]int{2: {0}, 3: {0}, 10: {1}}},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := newFixture(&fakeEndpoint{events: 10, interval: 100 * time.Millisecond, stopErr: tt.stopErr, finishedChoices: tt.finish})
			r.choices = 2
			r.slots.refuse = []*core.Error{nil, core.Errorf(core.CodeOverloaded, ""), core.Errorf(core.CodeNoEndpoint, "")}
			suspended := make(chan bool, 1)
			go func() {
				time.Sleep(350 * time.Millisecond)
				g.Expect(r.runner.Suspend(t.Context(), "r", "other grant")).To(BeFalse())
				g.Expect(r.runner.Suspend(t.Context(), "unknown", "g1")).To(BeFalse())
				suspended <- r.runner.Suspend(t.Context(), "r", "g1")
			}()
			out := r.chat(t.Context(), admission.Ask{Deadline: time.Now().Add(time.Second), Decode: 10})
			g.Expect(codeOf(out)).To(BeZero())
			g.Expect(<-suspended).To(BeTrue())
			g.Expect(r.sink.events).To(Equal(eventIDs(10)))
			g.Expect(r.endpoint.dispatched).To(Equal(1))
			g.Expect(r.slots.outcomes()).To(Equal([]admission.Outcome{"suspended", "done"}))
			g.Expect(r.slots.released[0].Decode + r.slots.released[1].Decode).To(Equal(core.Tokens(10)))
			again := r.slots.asks[len(r.slots.asks)-1]
			g.Expect(again.Pin).To(Equal(core.EndpointID("a")))
			g.Expect(again.Deadline.IsZero()).To(BeTrue(), "the first token is delivered")
			g.Expect(out.Stats.Suspensions).To(Equal(1))
		})
	}
}

// Guards against releasing the slot of a request that its engine did not stop, and against stopping orders.
func TestSuspendRefused(t *testing.T) {
	tests := []struct {
		name      string
		once      bool
		cut       []int
		cancelErr error
		at        time.Duration
	}{
		{name: "order", once: true, at: 350 * time.Millisecond},
		{name: "engine does not confirm", cancelErr: errors.New("timeout"), at: 350 * time.Millisecond},
		{name: "finished", at: 2 * time.Second},
		{name: "dispatch not answered yet, so the engine may not know it", cut: []int{-1}, at: 100 * time.Millisecond},
		{name: "resume not answered yet, so the engine may resume after it stopped", cut: []int{2, -1}, at: 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newFixture(&fakeEndpoint{events: 10, interval: 100 * time.Millisecond, cancelErr: tt.cancelErr, breakAfter: tt.cut, silent: true})
				done := make(chan dispatch.Outcome, 1)
				go func() { done <- r.chat(t.Context(), admission.Ask{Once: tt.once}) }()
				time.Sleep(tt.at)
				g.Expect(r.runner.Suspend(t.Context(), "r", "g1")).To(BeFalse())
				g.Expect(codeOf(<-done)).To(BeZero())
				g.Expect(r.sink.events).To(Equal(eventIDs(10)))
				g.Expect(r.slots.outcomes()).To(Equal([]admission.Outcome{"done"}))
			})
		})
	}
}

// Guards against idempotent requests that run on after the caller disconnected, and against orders that do not.
func TestCallerDisconnects(t *testing.T) {
	tests := []struct {
		name                     string
		once                     bool
		at                       time.Duration
		code                     core.Code
		dispatched, stops, voids int
		outcomes                 []admission.Outcome
		recorded                 []bool
	}{
		{name: "queued", at: 50 * time.Millisecond, code: core.CodeCallerGone},
		{name: "queued order", once: true, at: 50 * time.Millisecond, code: core.CodeCallerGone, voids: 1},
		{name: "running", at: 250 * time.Millisecond, code: core.CodeCancelled, dispatched: 1, stops: 1, outcomes: []admission.Outcome{"cancelled"}},
		{name: "running order", once: true, at: 250 * time.Millisecond, dispatched: 1, outcomes: []admission.Outcome{"done"}, recorded: []bool{true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newFixture(&fakeEndpoint{events: 10, interval: 100 * time.Millisecond})
				r.slots.delays = []time.Duration{100 * time.Millisecond}
				ctx, cancel := context.WithTimeout(t.Context(), tt.at)
				defer cancel()
				g.Expect(codeOf(r.chat(ctx, admission.Ask{Once: tt.once}))).To(Equal(tt.code))
				g.Expect(r.endpoint.dispatched).To(Equal(tt.dispatched))
				g.Expect(r.endpoint.cancelled).To(Equal(tt.stops))
				g.Expect(r.slots.outcomes()).To(Equal(tt.outcomes))
				g.Expect(r.claims.finished).To(Equal(tt.recorded))
				g.Expect(r.claims.voids).To(Equal(tt.voids))
			})
		})
	}
}

// Guards against orders that run without a valid claim or twice, and whose unknown outcome is reported as "not run" (P5).
func TestOrderOutcomes(t *testing.T) {
	ok := dispatch.Reply{Status: 200, Body: []byte("done")}
	tests := []struct {
		name       string
		endpoint   *fakeEndpoint
		claims     *fakeClaims
		delay      time.Duration
		code       core.Code
		dispatched int
		recorded   []bool
		voids      int
	}{
		{name: "done", endpoint: &fakeEndpoint{reply: ok}, claims: &fakeClaims{validity: time.Second}, dispatched: 1, recorded: []bool{true}},
		{name: "service error", endpoint: &fakeEndpoint{reply: dispatch.Reply{Status: 500}}, claims: &fakeClaims{validity: time.Second}, dispatched: 1, recorded: []bool{false}},
		{name: "connection broke", endpoint: &fakeEndpoint{replyErr: errors.New("reset")}, claims: &fakeClaims{validity: time.Second}, code: core.CodeOutcomeUnknown, dispatched: 1, recorded: []bool{false}},
		{name: "answer of another request", endpoint: &fakeEndpoint{replyErr: core.Errorf(core.CodeWrongAnswer, "")}, claims: &fakeClaims{validity: time.Second}, code: core.CodeOutcomeUnknown, dispatched: 1, recorded: []bool{false}},
		{name: "frozen service", endpoint: &fakeEndpoint{replyDelay: time.Hour}, claims: &fakeClaims{validity: time.Second}, code: core.CodeOutcomeUnknown, dispatched: 1, recorded: []bool{false}},
		{name: "refused everywhere", endpoint: &fakeEndpoint{refuse: map[string]bool{"a": true, "b": true}}, claims: &fakeClaims{validity: time.Second}, code: core.CodeNoEndpoint, voids: 1},
		{name: "store down", claims: &fakeClaims{err: core.Errorf(core.CodeStoreDown, "")}, code: core.CodeStoreDown},
		{name: "earlier holder lost", claims: &fakeClaims{err: core.Errorf(core.CodeHolderLost, "")}, code: core.CodeHolderLost},
		{name: "recorded", claims: &fakeClaims{result: &order.Result{Status: 200}}},
		{name: "claim expired in the queue", endpoint: &fakeEndpoint{reply: ok}, claims: &fakeClaims{validity: time.Second}, delay: 2 * time.Second, dispatched: 1, recorded: []bool{true}, voids: 1},
		{name: "claims expire at once", claims: &fakeClaims{}, code: core.CodeClaimExpired, voids: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newFixture(lo.CoalesceOrEmpty(tt.endpoint, &fakeEndpoint{}))
				r.claims = tt.claims
				r.runner = dispatch.NewRunner(dispatch.Options{Slots: r.slots, Engine: r.endpoint, Service: r.endpoint, Claims: r.claims})
				r.slots.delays = []time.Duration{tt.delay}
				out := r.call(t.Context(), admission.Ask{Once: true})
				g.Expect(codeOf(out)).To(Equal(tt.code))
				g.Expect(out.RecordResult).To(BeNil())
				g.Expect(r.endpoint.dispatched).To(Equal(tt.dispatched))
				g.Expect(r.claims.finished).To(Equal(tt.recorded))
				g.Expect(r.claims.voids).To(Equal(tt.voids))
			})
		})
	}
}

// Guards against an answer that is held back until the store recovers, and against a result that is never recorded.
func TestResultIsRecordedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newFixture(&fakeEndpoint{reply: dispatch.Reply{Status: 200}})
		r.claims.finishFailures = 3
		out := r.call(t.Context(), admission.Ask{Once: true})
		g.Expect(out.Reply.Status).To(Equal(200))
		g.Expect(r.claims.finished).To(BeEmpty())
		out.RecordResult()
		g.Expect(r.claims.finished).To(Equal([]bool{true}))
	})
}

// slowClaims takes 2.5 s to void a claim.
type slowClaims struct{ *fakeClaims }

func (c slowClaims) Void(ctx context.Context, t order.Ticket) error {
	time.Sleep(2500 * time.Millisecond)
	return c.fakeClaims.Void(ctx, t)
}

// Guards against using a grant whose slot may have been given to another request since: a grant that was held for too
// long, and one that arrived while the whole process was paused, and so looks recent when it is read.
func TestOldGrantIsReleasedUnused(t *testing.T) {
	for _, once := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := newFixture(&fakeEndpoint{events: 1})
			r.claims.validity = 2 * time.Second
			r.slots.delays = []time.Duration{3 * time.Second, time.Second}
			var pause atomic.Int64
			if !once {
				time.AfterFunc(time.Second, func() { pause.Store(int64(5 * time.Second)) })
			}
			r.runner = dispatch.NewRunner(dispatch.Options{Slots: r.slots, Engine: r.endpoint, Claims: slowClaims{r.claims}, Now: func() time.Time {
				return time.Now().Add(time.Duration(pause.Load()))
			}})
			g.Expect(codeOf(r.chat(t.Context(), admission.Ask{Once: once}))).To(BeZero())
			g.Expect(r.slots.outcomes()).To(Equal([]admission.Outcome{"unused", "done"}))
			g.Expect(r.endpoint.dispatched).To(Equal(1))
		})
	}
}
