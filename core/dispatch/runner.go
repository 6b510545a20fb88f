package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/order"
	"monsoondale/internal/testhook"
)

// Limits per request. They are not settings, because they follow from the protocol between holder and owner.
const (
	// maxGrantAge is the age of the oldest grant that may be used, by the holder's clock. An older grant was held while
	// the process was paused, and its owner may have given the slot to another request since.
	maxGrantAge = 2 * time.Second
	// maxRefusedDials bounds the endpoints tried per request, so that a network partition cannot make it try a whole pool.
	maxRefusedDials = 8
	// maxClaims bounds the claims of an order that waits for a slot for longer than a claim is valid.
	maxClaims = 4
	// staleGrantWait is the pause before the next try if an owner returned a grant that was already released. Releases
	// are sent asynchronously, so the owner has not received this one yet.
	staleGrantWait = 20 * time.Millisecond
	// maxStaleGrants bounds these tries, in case the release was lost.
	maxStaleGrants = 100
	// assumedArrivalTime is the time after a dispatch at which the request is assumed to have reached the engine, which
	// may not answer before the first token. An earlier cancellation could overtake the request. It is twice the default
	// dial timeout.
	assumedArrivalTime = time.Second
	// cleanupTimeout bounds calls that must be made even if the caller's context has ended: cancel, void and record.
	cleanupTimeout = 2 * time.Second
)

// Options configures a Runner. Slots, Engine and Service are required; Claims is needed for orders.
type Options struct {
	Slots   Slots
	Engine  Engine
	Service Service
	Claims  order.Claims
	Holder  core.InstanceID // this instance

	// ResumeTimeout is how long a broken stream is resumed while nothing is received from its engine; default 30 s. A
	// request without a first token is abandoned at its deadline if that is earlier.
	ResumeTimeout time.Duration
	// RefusedTimeout is how long a broken stream is resumed while its engine refuses connections; default 3 s. As nothing
	// listens there, the engine's process, and the stream with it, are most likely lost.
	RefusedTimeout time.Duration
	// CallTimeout is the timeout of a call to a plain service; default 2 min. It is longer than usual deadlines, because a
	// late answer is still better than an unknown outcome.
	CallTimeout time.Duration
	// Now is the clock; default time.Now. Tests set it to simulate pauses of the process.
	Now func() time.Time
	// Probe observes the steps of each request. It is set by tests.
	Probe testhook.Probe
	// StallTimeout is how long a dispatched request may go without a new event, because its engine keeps the connection
	// open but sends nothing, or because owners refuse to continue it after a suspension; default 15 min.
	StallTimeout time.Duration
}

// Runner runs the requests of an instance. It is safe for concurrent use.
type Runner struct {
	opts   Options
	tracer trace.Tracer
	pauses *pauseDetector

	mu      sync.Mutex
	running map[core.RequestID]*run
}

var _ Suspender = (*Runner)(nil)

// NewRunner returns a Runner.
func NewRunner(opts Options) *Runner {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.ResumeTimeout = lo.CoalesceOrEmpty(opts.ResumeTimeout, 30*time.Second)
	opts.CallTimeout = lo.CoalesceOrEmpty(opts.CallTimeout, 2*time.Minute)
	opts.RefusedTimeout = lo.CoalesceOrEmpty(opts.RefusedTimeout, 3*time.Second)
	opts.StallTimeout = lo.CoalesceOrEmpty(opts.StallTimeout, 15*time.Minute)
	return &Runner{
		opts: opts, tracer: otel.Tracer("monsoondale/dispatch"), pauses: &pauseDetector{now: opts.Now}, running: map[core.RequestID]*run{},
	}
}

// Work is what the endpoint has to do for a request: a ChatWork or a CallWork.
type Work interface{ work() }

// ChatWork is a chat completion by a model engine. The answer is passed to Sink.
type ChatWork struct {
	Body    []byte
	Key     string // idempotency key from the caller, passed on to the engine
	Choices int    // number of choices asked for; 0 means 1
	Sink    Sink
}

// CallWork is a call to a plain service. Request and NonIdempotent of Call are set by the Runner.
type CallWork struct{ Call CallRequest }

func (ChatWork) work() {}
func (CallWork) work() {}

// Sink receives the events of a chat, in order and each of them once.
type Sink interface {
	// Event passes an event on to the caller. A *core.Error ends the request with that error; any other error means
	// that the caller is gone. For non-idempotent work, the sink ignores that the caller is gone and keeps collecting.
	Event(Event) error
	// FullReply is called after the last event. It returns the complete answer if the sink collected it, else a zero
	// Reply. The sink must collect the answers of orders, because they are recorded.
	FullReply() (Reply, error)
}

// Claim holds what is needed to claim the order key of a non-idempotent request.
type Claim struct {
	Key         core.OrderKey
	Fingerprint string // of the request
}

// Request is a request that was accepted from a caller.
type Request struct {
	Attempt *Attempt
	Pool    core.Pool
	Ask     admission.Ask // Request, Holder, Pin and Exclude are set by the Runner
	Claim   Claim         // required if Ask.Once
	Work    Work
	// CallerLeft reports whether the caller is gone, even if the context of Run has not ended yet. It is called
	// immediately before each dispatch; nil means that the context is enough.
	CallerLeft func() bool
}

// Stats are the statistics of one request.
type Stats struct {
	Endpoint    core.EndpointID
	Wait        time.Duration // spent in queues, including after suspensions
	TimeToFirst time.Duration // from acceptance to the first token or the answer; 0 if there was none
	Duration    time.Duration // from acceptance to the end
	Late        bool          // the first token or the answer came after the deadline

	Prefill, Cached, Decode core.Tokens
	Wasted                  core.Tokens // prefilled or generated, although the request failed
	Suspensions, Resumes    int
	Claimed                 bool // the request claimed its order key, whatever its outcome
	ResumeFailed            bool // the request ended because it was not continued after a suspension
}

// Outcome is the end of a request: exactly one of Failure, Replay and a complete answer.
type Outcome struct {
	Failure Failure       // Failure.Err() is nil if the request was answered
	Replay  *order.Result // the recorded result of an earlier request with the same order key
	Reply   Reply         // the response of a plain service, or what the Sink collected of a chat
	Stats   Stats
	// RecordResult is set if the result of the order could not be recorded yet. It must then be called after the answer
	// was passed on.
	RecordResult func()
}

// Failed reports whether the request ended in a failure.
func (o Outcome) Failed() bool { return o.Failure.err != nil }

// run is a request in progress. Fields above mu are used only by the goroutine of Run; mu guards those below.
type run struct {
	*Runner
	req        Request
	acceptedAt time.Time
	stats      Stats

	ticket         *order.Ticket
	releasedGrants []core.GrantID

	lastEventID     int       // id of the last event received
	textEvents      int       // number of events with generated text
	reportedTokens  int       // generated tokens reported with earlier grants
	prefillReported bool      // the prefill was reported with an earlier grant
	finishedChoices []int     // choices for which the engine sent a finish reason
	usage           *Usage    // as reported by the engine, or nil
	engineAnswered  bool      // the engine answered the dispatch
	dispatchedAt    time.Time // when the current grant was put to use
	firstTokenAt    time.Time // when the first token under the current grant arrived
	lastContact     time.Time // when the engine was last known to be alive
	lastEventAt     time.Time // when the last event arrived, or the current grant was put to use
	refusedSince    time.Time // since when the engine has refused connections; zero if it does not

	mu             sync.Mutex
	slot           Slot
	streaming      bool      // the engine has answered the current exchange, so a cancellation can't overtake it
	assumedArrival time.Time // from when on this may be assumed without an answer; zero if never
	cancel         context.CancelCauseFunc
	suspension     *suspension
}

// suspension is one attempt to suspend a run.
type suspension struct {
	decided   chan struct{} // closed when the engine has confirmed the cancellation or the call failed
	stopped   bool          // the engine confirmed the cancellation; set before decided is closed
	ended     chan struct{} // closed when the slot was released, or the run goes on or has ended
	suspended bool          // the run is suspended; set before ended is closed
}

var (
	errSuspended  = errors.New("suspended")
	errCallerGone = errors.New("caller gone")
)

// Run runs the request until its final outcome. A cancelled ctx means that the caller is gone.
func (r *Runner) Run(ctx context.Context, req Request) Outcome {
	x := &run{Runner: r, req: req, acceptedAt: r.opts.Now()}
	r.pauses.addUser()
	defer r.pauses.removeUser()
	x.req.Ask.Request, x.req.Ask.Holder = req.Attempt.Request(), r.opts.Holder
	r.mu.Lock()
	r.running[req.Attempt.Request()] = x
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running, req.Attempt.Request())
	}()

	x.reportStep(testhook.Accepted)
	out := x.run(ctx)
	x.stats.Duration = x.opts.Now().Sub(x.acceptedAt)
	out.Stats = x.stats
	return out
}

// Suspend implements Suspender. It stops a running chat so that its slot can be used for more urgent work.
func (r *Runner) Suspend(ctx context.Context, id core.RequestID, grant core.GrantID) bool {
	r.mu.Lock()
	x := r.running[id]
	r.mu.Unlock()
	if x == nil || x.req.Ask.Once {
		return false
	}
	if _, ok := x.req.Work.(ChatWork); !ok {
		return false // calls to plain services cannot be resumed
	}
	x.mu.Lock()
	if x.slot.Grant != grant || !x.streaming && (x.assumedArrival.IsZero() || r.opts.Now().Before(x.assumedArrival)) {
		x.mu.Unlock()
		return false
	}
	s := x.suspension
	if s != nil {
		x.mu.Unlock()
	} else {
		s = &suspension{decided: make(chan struct{}), ended: make(chan struct{})}
		x.suspension = s
		address := x.slot.Address
		x.mu.Unlock()

		// The engine is cancelled first: if it does not know the request yet or does not answer, the run goes on.
		cancelCtx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		err := r.opts.Engine.Cancel(cancelCtx, address, id)
		cancel()

		x.mu.Lock()
		s.stopped = err == nil
		close(s.decided)
		if s.stopped {
			x.cancel(errSuspended)
		} else if x.suspension == s {
			x.suspension = nil
		}
		x.mu.Unlock()
		if err != nil {
			return false
		}
	}
	select {
	case <-s.ended:
		return s.suspended
	case <-s.decided:
		if !s.stopped {
			return false
		}
		select {
		case <-s.ended:
			return s.suspended
		case <-ctx.Done():
			return false
		}
	case <-ctx.Done():
		return false
	}
}

// reportStep reports a step of the request to the Probe.
func (x *run) reportStep(s testhook.Step) {
	x.opts.Probe.ReportStep(s, x.opts.Holder, x.req.Attempt.Request())
}

// run claims the key of an order, acquires a slot and dispatches the request. If the endpoint refuses the connection, it
// tries another one.
func (x *run) run(ctx context.Context) Outcome {
	if x.req.Ask.Once {
		if out, ok := x.claim(ctx); !ok {
			return out
		}
		x.reportStep(testhook.Claimed)
	}
	for refusals, claims := 0, 1; ; {
		askedAt := x.opts.Now()
		slot, err := x.acquire(ctx, x.req.Ask)
		if err != nil {
			return x.failNotRun(ctx, err)
		}
		receivedAt := x.opts.Now()
		x.reportStep(testhook.Granted)
		if x.req.Ask.Once && !x.ticket.Valid(x.opts.Now()) {
			if claims++; claims > maxClaims {
				x.release(slot, admission.OutcomeUnused)
				return x.failNotRun(ctx, core.Errorf(core.CodeClaimExpired, "the order waited too long"))
			}
			out, ok := x.reclaim(ctx)
			if !ok {
				x.release(slot, admission.OutcomeUnused)
				return out
			}
		}
		if ctx.Err() != nil || x.req.CallerLeft != nil && x.req.CallerLeft() {
			x.release(slot, admission.OutcomeUnused)
			return x.failNotRun(ctx, core.Errorf(core.CodeCallerGone, "caller gone"))
		}
		if !x.grantUsable(askedAt, receivedAt) || x.req.Ask.Once && !x.ticket.Valid(x.opts.Now()) {
			x.release(slot, admission.OutcomeUnused)
			continue
		}
		permit, ok := x.req.Attempt.Begin()
		if !ok {
			x.release(slot, admission.OutcomeUnused)
			return x.fail(core.Errorf(core.CodeOutcomeUnknown, "the request was already dispatched"))
		}
		x.reportStep(testhook.AboutToSend)
		out, err := x.dispatch(ctx, slot, permit)
		var unsent *NotSentError
		if !errors.As(err, &unsent) || !x.req.Attempt.Restore(unsent) {
			return out
		}
		x.release(slot, admission.OutcomeRefused)
		x.req.Ask.Exclude = append(x.req.Ask.Exclude, slot.Endpoint)
		if refusals++; refusals >= maxRefusedDials {
			return x.failNotRun(ctx, core.Errorf(core.CodeNoEndpoint, "%d endpoints of pool %s refused the connection", refusals, x.req.Pool))
		}
	}
}

// grantUsable reports whether a grant that was asked for and received at the given times may still be used.
func (x *run) grantUsable(askedAt, receivedAt time.Time) bool {
	return elapsed(x.opts.Now(), receivedAt) <= maxGrantAge && !x.pauses.pausedSince(askedAt)
}

// acquire waits for a slot and skips grants that were already released.
func (x *run) acquire(ctx context.Context, ask admission.Ask) (Slot, error) {
	ctx, span := x.tracer.Start(ctx, "queue", trace.WithAttributes(attribute.String("pool", string(x.req.Pool))))
	defer span.End()
	start := x.opts.Now()
	defer func() { x.stats.Wait += x.opts.Now().Sub(start) }()
	for range maxStaleGrants {
		slot, err := x.opts.Slots.Acquire(ctx, x.req.Pool, ask)
		if err != nil {
			span.RecordError(err)
			return Slot{}, err
		}
		if !slices.Contains(x.releasedGrants, slot.Grant) {
			span.SetAttributes(attribute.String("endpoint", string(slot.Endpoint)))
			x.stats.Endpoint = slot.Endpoint
			return slot, nil
		}
		if err := sleep(ctx, staleGrantWait); err != nil {
			return Slot{}, err
		}
	}
	return Slot{}, core.Errorf(core.CodeNoEndpoint, "the owner repeats a grant that was released")
}

// sleep waits for d. If ctx ends first, it returns the cause.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// release gives the slot back, with the durations and token counts since it was put to use.
func (x *run) release(slot Slot, outcome admission.Outcome) {
	rel := admission.Release{Grant: slot.Grant, Request: x.req.Attempt.Request(), Outcome: outcome}
	if outcome != admission.OutcomeUnused && outcome != admission.OutcomeRefused {
		rel.Total = x.opts.Now().Sub(x.dispatchedAt)
		if !x.firstTokenAt.IsZero() {
			rel.FirstToken = x.firstTokenAt.Sub(x.dispatchedAt)
		}
		prefill, cached, decode := x.tokenCounts()
		rel.Decode = max(0, decode-core.Tokens(x.reportedTokens))
		if !x.prefillReported && x.textEvents > 0 {
			rel.Prefill, rel.Cached = prefill, cached
			x.prefillReported = true
		}
		x.reportedTokens = int(decode)
	}
	x.releasedGrants = append(x.releasedGrants, slot.Grant)
	x.opts.Slots.Release(slot, rel)
}

// tokenCounts returns the token counts of the whole request so far, as reported by the engine or else estimated. They
// are zero for a plain service, where the token estimates of the ask only express the size of the request.
func (x *run) tokenCounts() (prefill, cached, decode core.Tokens) {
	if _, ok := x.req.Work.(ChatWork); !ok {
		return 0, 0, 0
	}
	if u := x.usage; u != nil {
		return u.Prompt, u.Cached, u.Generated
	}
	return x.req.Ask.Prefill, 0, core.Tokens(x.textEvents)
}

// dispatch sends the request to the endpoint of the slot and receives the answer. A *NotSentError means that nothing was
// sent, and that the slot is still held.
func (x *run) dispatch(ctx context.Context, slot Slot, permit *Permit) (Outcome, error) {
	if x.req.Ask.Once {
		ctx = context.WithoutCancel(ctx) // an order runs to completion even if its caller is gone
	}
	x.startGrant()
	switch w := x.req.Work.(type) {
	case ChatWork:
		return x.runChat(ctx, slot, permit, w)
	case CallWork:
		return x.runCall(ctx, slot, permit, w)
	}
	panic(errors.Errorf("unknown work %T", x.req.Work))
}

// runCall calls a plain service.
func (x *run) runCall(ctx context.Context, slot Slot, permit *Permit, work CallWork) (Outcome, error) {
	ctx, span := x.span(ctx, "dispatch", slot)
	defer span.End()
	callCtx, cancel := context.WithTimeout(ctx, x.opts.CallTimeout)
	defer cancel()
	req := work.Call
	req.Request, req.NonIdempotent = x.req.Attempt.Request(), x.req.Ask.Once
	reply, err := x.opts.Service.Call(callCtx, permit, slot.Address, req)
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		return Outcome{}, unsent
	}
	if err != nil {
		span.RecordError(err)
		if ctx.Err() != nil {
			return x.releaseAndFail(slot, admission.OutcomeCancelled, core.Errorf(core.CodeCancelled, "caller gone")), nil
		}
		var e *core.Error
		if !errors.As(err, &e) {
			e = core.Errorf(core.CodeOutcomeUnknown, "endpoint %s: %v", slot.Endpoint, err)
		}
		return x.releaseAndFail(slot, admission.OutcomeFailed, e), nil
	}
	x.firstTokenAt = x.opts.Now()
	x.setResponseTime(x.firstTokenAt)
	x.release(slot, admission.OutcomeDone)
	return x.complete(Outcome{Reply: reply}, reply), nil
}

// setResponseTime sets the statistics that depend on the time of the first token or of the answer.
func (x *run) setResponseTime(now time.Time) {
	x.stats.TimeToFirst = max(now.Sub(x.acceptedAt), 1)
	x.stats.Late = !x.req.Ask.Deadline.IsZero() && now.After(x.req.Ask.Deadline)
}

func (x *run) span(ctx context.Context, name string, slot Slot) (context.Context, trace.Span) {
	return x.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", string(slot.Endpoint)), attribute.String("request", string(x.req.Attempt.Request()))))
}
