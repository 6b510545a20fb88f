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
	"monsoondale/internal/guard"
)

// Limits of one request. They are constants because they follow from the protocol between holder and owner.
const (
	// maxGrantAge is how old a grant may be at dispatch by the holder's own clock. Older ones were held through a
	// pause of the process and may have been given to another request since.
	maxGrantAge = 2 * time.Second
	// maxRefusedDials bounds the endpoints tried for one request, so that a partition cannot make it walk a whole pool.
	maxRefusedDials = 8
	// maxClaims bounds how often an order claims its key anew because it waited longer than a claim is valid.
	maxClaims = 4
	// staleGrantWait is the pause before asking again when an owner answered with a grant that was already released:
	// the release, which is sent without waiting, has not reached it yet.
	staleGrantWait = 20 * time.Millisecond
	// maxStaleGrants bounds these repeats in case the release was lost.
	maxStaleGrants = 100
	// assumedArrivalTime is how long after a dispatch its request is taken to have reached the engine, even if the engine
	// does not answer before the first token. It is twice the default dial timeout. Cancelling the request earlier
	// could overtake it.
	assumedArrivalTime = time.Second
	// cleanupTimeout bounds calls that tidy up after the caller's context has ended (cancel, void, record).
	cleanupTimeout = 2 * time.Second
)

// Options configures a Runner. Slots, Engine and Service are required; Claims is needed for orders.
type Options struct {
	Slots   Slots
	Engine  Engine
	Service Service
	Claims  order.Claims
	Holder  core.InstanceID

	// ResumeTimeout is how long a broken stream is resumed without a sign of life of its engine; default 30 s. A request
	// without a first token is given up earlier at its deadline.
	ResumeTimeout time.Duration
	// RefusedTimeout is how long a broken stream is resumed while its engine refuses connections; default 3 s. Nothing
	// listens there any more, so the engine's process and with it the stream are most likely lost.
	RefusedTimeout time.Duration
	// CallTimeout bounds a call to a plain service; default 2 min. It exceeds usual deadlines because a late answer is
	// still better than an unknown outcome.
	CallTimeout time.Duration
	// Now is the clock; default time.Now. Tests set it to simulate pauses of the process.
	Now func() time.Time
	// Probe is told of the steps of each request; tests set it.
	Probe guard.Probe
	// StallTimeout bounds how long a request that was dispatched may go without a new event, be it that its engine is
	// alive but silent or that owners refuse to continue it after a suspension; default 15 min.
	StallTimeout time.Duration
}

// Runner drives requests. It is safe for concurrent use.
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

// Work is what a request asks of its endpoint: ChatWork or CallWork.
type Work interface{ work() }

// ChatWork is a chat with a model engine. Its answer is passed to Sink.
type ChatWork struct {
	Body    []byte
	Key     string // idempotency key as given by the caller, passed on to the engine
	Choices int    // answers asked for; 0 means 1
	Sink    Sink
}

// CallWork is a call to a plain service. Request and Once of its Call are set by the Runner.
type CallWork struct{ Call CallRequest }

func (ChatWork) work() {}
func (CallWork) work() {}

// Sink receives the events of a chat in order, each once.
type Sink interface {
	// Event passes an event on. An error means that the caller is gone; for non-idempotent work the sink hides
	// this and keeps collecting.
	Event(Event) error
	// FullReply returns the complete answer if the sink collects it, else a zero Reply. It is called after the last
	// event. The sink must collect the answers of orders, because they are recorded.
	FullReply() (Reply, error)
}

// Claim names the order key of a non-idempotent request.
type Claim struct {
	Key         core.OrderKey
	Fingerprint string // fingerprint of the request
}

// Request is one accepted request.
type Request struct {
	Attempt *Attempt
	Pool    core.Pool
	Ask     admission.Ask // Request, Holder, Pin and Exclude are set by the Runner
	Claim   Claim         // required if Ask.Once
	Work    Work
}

// Stats holds what was observed of a request.
type Stats struct {
	Endpoint    core.EndpointID
	Wait        time.Duration // in queues, including after suspensions
	TimeToFirst time.Duration // from acceptance to the first token or the answer, 0 if there was none
	Duration    time.Duration // from acceptance to the end
	Late        bool          // the first token or the answer came after the deadline

	Prefill, Cached, Decode core.Tokens
	Wasted                  core.Tokens // prefilled or generated for a request that did not finish
	Suspensions, Resumes    int
	Claimed                 bool // this request claimed its order key, whatever became of it
	ResumeFailed            bool // it ended because it was not continued after a suspension
}

// Outcome is the end of a request: exactly one of Failure, Replay and a complete answer.
type Outcome struct {
	Failure Failure       // Failure.Err() is nil if the request was answered
	Replay  *order.Result // the recorded result of an earlier request with the same order key
	Reply   Reply         // the answer of a plain service, or what the Sink collected of a chat
	Stats   Stats
	// RecordResult, if not nil, must be called after the answer was passed on: the result of the order could not be
	// recorded yet.
	RecordResult func()
}

// Failed reports whether the request ended in a failure.
func (o Outcome) Failed() bool { return o.Failure.err != nil }

// run is a request in progress. Its fields are used by the goroutine of Run except those guarded by mu.
type run struct {
	*Runner
	req   Request
	start time.Time
	stats Stats

	ticket         *order.Ticket
	releasedGrants []core.GrantID

	lastEventID     int       // id of the last event received
	textEvents      int       // of these, events with generated text
	reportedTokens  int       // generated tokens reported with earlier grants
	prefillReported bool      // the prefill was reported with an earlier grant
	finishedChoices []int     // choices for which the engine told why it stopped generating
	usage           *Usage    // as told by the engine
	engineAnswered  bool      // the engine answered the dispatch
	dispatchedAt    time.Time // when the current grant was put to use
	firstTokenAt    time.Time // when the first token of the current grant came
	lastContact     time.Time // last sign of life of the engine
	lastEventAt     time.Time // last event
	refusedSince    time.Time // since when the engine refuses connections, zero if it does not

	mu             sync.Mutex
	slot           Slot
	streaming      bool      // the engine has answered the exchange under way, so that a cancellation ends it
	assumedArrival time.Time // when the same may be assumed without an answer, zero if not
	cancel         context.CancelCauseFunc
	suspension     *suspension
}

// suspension is one attempt to suspend a run.
type suspension struct {
	decided   chan struct{} // closed when the engine has confirmed or refused to stop
	stopped   bool          // set before decided is closed
	ended     chan struct{} // closed when the slot was released or the run went on
	suspended bool          // set before ended is closed: the run is suspended
}

var (
	errSuspended  = errors.New("suspended")
	errCallerGone = errors.New("caller gone")
)

// Run drives the request to its end. A cancelled ctx means that the caller is gone.
func (r *Runner) Run(ctx context.Context, req Request) Outcome {
	x := &run{Runner: r, req: req, start: r.opts.Now()}
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

	x.reportStep(guard.Accepted)
	out := x.run(ctx)
	x.stats.Duration = x.opts.Now().Sub(x.start)
	out.Stats = x.stats
	return out
}

// Suspend stops a running chat in favour of more urgent work. See Suspender.
func (r *Runner) Suspend(ctx context.Context, id core.RequestID, grant core.GrantID) bool {
	r.mu.Lock()
	x := r.running[id]
	r.mu.Unlock()
	if x == nil || x.req.Ask.Once {
		return false
	}
	if _, ok := x.req.Work.(ChatWork); !ok {
		return false // a plain service cannot resume
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

		// The engine is told first: if it does not know the request yet or does not answer, the work goes on.
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

func (x *run) reportStep(s guard.Step) { x.opts.Probe.Reach(s, x.opts.Holder, x.req.Attempt.Request()) }

func (x *run) run(ctx context.Context) Outcome {
	if x.req.Ask.Once {
		if out, ok := x.claim(ctx); !ok {
			return out
		}
		x.reportStep(guard.Claimed)
	}
	for refusals, claims := 0, 1; ; {
		askedAt := x.opts.Now()
		slot, err := x.acquire(ctx, x.req.Ask)
		if err != nil {
			return x.failNotRun(ctx, err)
		}
		receivedAt := x.opts.Now()
		x.reportStep(guard.Granted)
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
		if err := ctx.Err(); err != nil {
			x.release(slot, admission.OutcomeUnused)
			return x.failNotRun(ctx, err)
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
		x.reportStep(guard.Begun)
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

// acquire waits for a slot.
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

// release returns the slot with the figures observed since it was granted.
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

// tokenCounts returns the token counts of the whole request so far: the engine's own if it told them. A service has no
// tokens; the estimate of its ask only stands for its size.
func (x *run) tokenCounts() (prefill, cached, decode core.Tokens) {
	if _, ok := x.req.Work.(ChatWork); !ok {
		return 0, 0, 0
	}
	if u := x.usage; u != nil {
		return u.Prompt, u.Cached, u.Generated
	}
	return x.req.Ask.Prefill, 0, core.Tokens(x.textEvents)
}

// dispatch puts the slot to use. A *NotSent error leaves the request as it was before.
func (x *run) dispatch(ctx context.Context, slot Slot, permit *Permit) (Outcome, error) {
	if x.req.Ask.Once {
		ctx = context.WithoutCancel(ctx) // an order runs to its end even if its caller is gone
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

// setResponseTime notes the time of the first token or the answer of the request.
func (x *run) setResponseTime(now time.Time) {
	x.stats.TimeToFirst = max(now.Sub(x.start), 1)
	x.stats.Late = !x.req.Ask.Deadline.IsZero() && now.After(x.req.Ask.Deadline)
}

func (x *run) span(ctx context.Context, name string, slot Slot) (context.Context, trace.Span) {
	return x.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", string(slot.Endpoint)), attribute.String("request", string(x.req.Attempt.Request()))))
}
