package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/handover"
	"monsoondale/core/pool"
	"monsoondale/core/route"
)

const (
	// responseTimeoutFactor and minResponseTimeout determine how long to wait for a response to begin before another
	// endpoint is tried: a multiple of the latency that the pool predicts, but at least about a third of the two seconds
	// or more after which callers give up. With a minimum of 400 ms, endpoints that were only busy were treated as
	// failed in every burst.
	responseTimeoutFactor = 4
	minResponseTimeout    = 650 * time.Millisecond
	// streamSilenceTimeout is the time without a complete event, after the first bytes of a resumable stream, after which
	// another endpoint is asked to continue it. Callers abandon a silent stream after two seconds or more.
	streamSilenceTimeout = 1200 * time.Millisecond
	// takeoverInterval is the time between two tries to find another endpoint for a request whose endpoint is silent.
	takeoverInterval = 100 * time.Millisecond
)

var (
	// errSuperseded is the cause of contexts of standbys that are not needed any more.
	errSuperseded = errors.New("the first endpoint has responded")
	errPanic      = errors.New("panic of a standby")
	// errOverlapEnded is the cause of contexts of standbys that did not respond during the overlap and did not get the request.
	errOverlapEnded = errors.New("no response during the overlap")
)

// takeover lets another endpoint, the standby, serve the request of an attempt whose endpoint is silent. Package handover decides
// which of them serves it.
type takeover struct {
	mu       sync.Mutex
	machine  handover.Machine
	timer    *takeoverTimer
	silent   time.Time  // when the silence began
	begun    bool       // the first endpoint's response has begun
	standbys []*attempt // all that were started, in order
	rejected int        // number of standbys that were to return to an endpoint, which did not run the request
	returnAt time.Time  // when the next one may
	full     int        // number of endpoints, in this silence, that have rejected a standby
	searchAt time.Time  // when the next one may be asked
}

// standbyPlan is what a standby is chosen by: a copy of the state of the exchange, which goes on.
type standbyPlan struct {
	req         pool.Request
	runs        int // possible runs, that of the attempt included
	givenUp     []core.EndpointID
	after       string            // id of the last event relayed
	progress    handover.Progress // of the response
	status      int               // of the response that has begun; 0 if none has
	contentType string            // of the response that has begun
}

// watchResponse lets a standby start unless the response begins in time. The attempt has not been counted as a run yet.
func (a *attempt) watchResponse() {
	p := a.newPlan()
	if i := slices.Index(p.givenUp, a.grant.Endpoint.ID); i >= 0 {
		p.givenUp = slices.Delete(p.givenUp, i, i+1)
	} else {
		p.runs++
	}
	timeout := max(responseTimeoutFactor*a.grant.ExpectedLatency, minResponseTimeout)
	if a.wasStandby() { // another endpoint has been silent before, or has failed
		timeout = min(timeout, time.Until(p.req.Deadline)/2)
	}
	a.watch(p, a.started, timeout, false, func() time.Duration {
		if d := handover.UntilLate(time.Since(a.started), a.x.overlap()); d > 0 && a.isBusy() {
			return d // a standby would do its work once more
		}
		return a.tryStandby(p)
	})
}

// isBusy reports whether the endpoint, whose response has not begun, has responded to other requests meanwhile, and not been silent to
// all for longer than a sound endpoint is. It is then not down, but may have lost this request. One that was asked after another has
// been silent, or has failed, is not waited for in this way.
func (a *attempt) isBusy() bool {
	return !a.wasStandby() && a.x.pool.RespondedSince(time.Now().Add(-handover.MaxSilence), a.grant)
}

// isStreaming reports whether the endpoint, whose response has not begun, sends events of other streams.
func (a *attempt) isStreaming() bool {
	return !a.wasStandby() && a.x.pool.Streaming(time.Now(), a.grant)
}

// watchSilence lets a standby start unless the next event arrives in time.
func (a *attempt) watchSilence() {
	p := a.newPlan()
	a.watch(p, time.Now(), streamSilenceTimeout, true, func() time.Duration { return a.tryStandby(p) })
}

func (a *attempt) newPlan() *standbyPlan {
	x := a.x
	p := &standbyPlan{req: x.poolRequest(), runs: x.possibleRuns, givenUp: slices.Clone(x.givenUp), after: x.lastEventID}
	p.req.Retried = true
	if self := a.grant.Endpoint.ID; !slices.Contains(p.req.Exclude, self) {
		p.req.Exclude = append(p.req.Exclude, self)
	}
	if x.headerWritten {
		p.status, p.contentType = x.begunStatus, x.w.Header().Get("Content-Type")
	} else {
		p.req.Deadline = x.abandonment()
	}
	return p
}

// watch calls f when the endpoint has been silent for d since a time, and then again after each time that f returns, until that is 0.
// begun reports whether the response has begun. It replaces the function of an earlier call. Without an endpoint at which the request may
// run, it does nothing: a slow response is better than none, and its deadline ends it.
func (a *attempt) watch(p *standbyPlan, silent time.Time, d time.Duration, begun bool, f func() time.Duration) {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.stop()
	t.timer, t.silent, t.begun, t.full = nil, silent, begun, 0
	p.progress = t.machine.Progress()
	refusable := !begun && !x.headerWritten
	if !x.route.Retryable() || x.notResumable || refusable && len(x.tried) > maxTriedEndpoints || !p.mayRunElsewhere(x.route) {
		return
	}
	t.timer = &takeoverTimer{}
	t.timer.start(time.Until(silent.Add(d)), f)
}

// mayRunElsewhere reports whether the request may run at another endpoint while the attempt is in progress.
func (p *standbyPlan) mayRunElsewhere(r *route.Route) bool {
	return p.runs < r.Attempts || len(p.givenUp) > 0
}

// tryStandby starts a standby if another endpoint has a free slot and may respond in time, and a retry is left in the budget. It waits
// until the standby has responded or failed. It returns the time after which it is to be called again, or 0.
func (a *attempt) tryStandby(p *standbyPlan) time.Duration {
	x, now := a.x, time.Now()
	p = a.withStandbys(p)
	if _, ok := x.quarantined(); ok {
		return 0
	}
	if p.req.Deadline.Sub(now) < minTimeForRetry || !p.mayRunElsewhere(x.route) || !x.retryable() {
		return 0
	}
	p.req.Only, p.req.Returning = nil, false
	if p.runs >= x.route.Attempts {
		p.req.Only, p.req.Returning = p.givenUp, true
	}
	if !a.maySearch(now, p.req.Returning) {
		return takeoverInterval
	}
	g := a.acquireStandby(now, p.req)
	if g == nil {
		return takeoverInterval
	}
	b := a.newStandby(p, g)
	if b == nil {
		x.pool.Release(now, g, pool.Cancelled)
		return takeoverInterval
	}
	if x.overlapLimited() {
		if d := x.overlap(); d > 0 {
			t := time.AfterFunc(d, func() { a.endOverlap(b) })
			defer t.Stop()
		} else {
			a.endOverlap(b) // the first endpoint's work ends before the standby is asked
		}
	}
	o, err := b.openAndProve(p)
	if b.resp != nil && !b.mayHaveRun() {
		b.discardBody()
	}
	if a.settle(b, o, err) {
		return 0
	}
	return takeoverInterval
}

// acquireStandby returns a grant of an endpoint that sends something to its streams, if any run there: when all endpoints pause together,
// standbys are useless. Once the first endpoint has been silent for too long to be sound, any other one is better.
func (a *attempt) acquireStandby(now time.Time, req pool.Request) *pool.Grant {
	t := &a.takeover
	t.mu.Lock()
	late := handover.UntilLate(now.Sub(t.silent), a.x.overlap()) <= 0
	t.mu.Unlock()
	req.Unstalled = true
	g := a.x.pool.Acquire(now, req)
	if g == nil && late {
		req.Unstalled = false
		g = a.x.pool.Acquire(now, req)
	}
	return g
}

// maySearch reports whether a standby may start now, or return to an endpoint. After each one that an endpoint rejected, or did not run
// when it returned there, the wait is twice as long: the service may be full.
func (a *attempt) maySearch(now time.Time, returning bool) bool {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	if returning {
		return !now.Before(t.returnAt)
	}
	return !now.Before(t.searchAt)
}

// overlap returns for how long two endpoints may work on the request, if that is limited.
func (x *exchange) overlap() time.Duration { return handover.Overlap(x.handler.o.Lateness()) }

// overlapLimited reports whether two endpoints may work on the request for handover.Overlap only. Of plain requests, the first
// response of the two counts.
func (x *exchange) overlapLimited() bool { return x.route.Kind == route.Stream || x.info.TokensStated }

// withStandbys returns a copy of a plan that takes account of the standbys that have been started.
func (a *attempt) withStandbys(p *standbyPlan) *standbyPlan {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	c := *p
	c.req.Exclude, c.givenUp = slices.Clone(p.req.Exclude), slices.Clone(p.givenUp)
	for _, b := range t.standbys {
		id := b.grant.Endpoint.ID
		c.req.Exclude = append(c.req.Exclude, id)
		switch i := slices.Index(c.givenUp, id); {
		case b.standby.notRun:
			if i >= 0 && b.info.Misdirected {
				c.givenUp = slices.Delete(c.givenUp, i, i+1)
			}
		case b.wasCancelledUnproven():
			if i < 0 {
				c.runs++
				c.givenUp = append(c.givenUp, id)
			}
		case i >= 0:
			c.givenUp = slices.Delete(c.givenUp, i, i+1)
		default:
			c.runs++
		}
	}
	return &c
}

// newStandby registers a standby, or returns nil if none may start now.
func (a *attempt) newStandby(p *standbyPlan, g *pool.Grant) *attempt {
	x, t, now := a.x, &a.takeover, time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	elsewhere := p.req.Returning || !slices.Contains(p.req.Exclude, g.Endpoint.ID)
	if !elsewhere || !a.mayStart(p, g, now) || t.machine.Step(handover.Started{After: p.progress}) == handover.Refuse {
		return nil
	}
	n := t.machine.Started()
	if !x.takeRetry() {
		t.machine.Step(handover.Failed{Standby: n})
		return nil
	}
	b := x.newAttempt(a.parent, g, p.after, p.req.Exclude)
	b.standby = standbyState{number: n, opened: make(chan struct{}), returning: p.req.Returning}
	t.standbys = append(t.standbys, b)
	x.handler.o.Log.Info("standby", "request", x.info.ID, "endpoint", a.grant.Endpoint.ID, "standby", g.Endpoint.ID, "after", p.after,
		"expected", milliseconds(g.ExpectedLatency), "silence", milliseconds(now.Sub(t.silent)))
	return b
}

// mayStart reports whether a standby is of use now. The caller holds takeover.mu.
func (a *attempt) mayStart(p *standbyPlan, g *pool.Grant, now time.Time) bool {
	t := &a.takeover
	c := handover.Candidate{Latency: g.ExpectedLatency, Limited: a.x.overlapLimited(), Overlap: a.x.overlap(), MayTake: a.mayBeGivenUp()}
	c.Tried = slices.ContainsFunc(t.standbys, func(b *attempt) bool {
		return b.grant.Endpoint.ID == g.Endpoint.ID && b.wasCancelledFor(errOverlapEnded)
	})
	return c.MayStart(now.Sub(t.silent), p.req.Deadline.Sub(now))
}

// mayBeGivenUp reports whether silence alone can cost the endpoint its request. Responses that arrive as a whole, unless the endpoint is
// silent to its streams too, and those of endpoints that are busy are waited for until the deadline. The caller holds takeover.mu.
func (a *attempt) mayBeGivenUp() bool {
	if a.x.route.Kind != route.Stream {
		return a.x.pool.SilentSince(time.Now().Add(-handover.MaxSilence), a.grant)
	}
	return a.takeover.begun || !a.isBusy() && !a.isStreaming()
}

// endOverlap cancels a standby that has not responded yet, or gives it a stream whose endpoint has been silent for too long to be
// sound.
func (a *attempt) endOverlap(b *attempt) {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	e := handover.OverlapEnded{Standby: b.standby.number}
	if a.mayBeGivenUp() {
		e.Silence = time.Since(t.silent)
	}
	switch t.machine.Step(e) {
	case handover.CancelStandby:
		b.cancel(errOverlapEnded)
		a.recordOverlap(b)
	case handover.CancelFirst:
		a.handOver(b, false)
	}
}

// handOver cancels the attempt in favour of a standby. responded reports whether the standby has responded. The caller holds
// takeover.mu.
func (a *attempt) handOver(b *attempt, responded bool) {
	x := a.x
	x.handler.o.Log.Info("takeover", "request", x.info.ID, "endpoint", a.grant.Endpoint.ID, "next", b.grant.Endpoint.ID,
		"responded", responded, "silence", milliseconds(time.Since(a.takeover.silent)), "overlap", milliseconds(b.sinceSent(time.Now())))
	a.cancel(errNoResponse)
	a.recordOverlap(b)
}

// recordOverlap records how long a standby worked beside the first endpoint, when the work of either has ended or is cancelled. The
// caller holds takeover.mu.
func (a *attempt) recordOverlap(b *attempt) {
	d := b.sinceSent(time.Now())
	if b.standby.alone || d <= 0 || !a.x.overlapLimited() {
		return
	}
	b.standby.alone = true
	s := &a.x.handler.stats
	s.overlap.Update(d)
	if d >= handover.OverlapBound {
		s.overlong.Inc(1)
		a.x.handler.o.Log.Info("overlap too long", "request", a.x.info.ID, "endpoint", a.grant.Endpoint.ID, "standby", b.grant.Endpoint.ID, "overlap", milliseconds(d))
	}
}

// settle gives the request to a standby that has responded, or ends the standby. It reports whether the standby has the request.
func (a *attempt) settle(b *attempt, o pool.Outcome, err error) bool {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(b.standby.opened)
	n := b.standby.number
	if err == nil && t.machine.Step(handover.Proved{Standby: n}) == handover.CancelFirst {
		a.handOver(b, true)
	}
	b.standby.kept = t.machine.Taken() && t.machine.Has(n)
	if b.standby.kept {
		return true
	}
	if !t.machine.Has(n) {
		o = pool.Cancelled
	}
	t.machine.Step(handover.Failed{Standby: n})
	switch b.standby.notRun = !b.mayHaveRun(); {
	case b.standby.notRun && b.standby.returning:
		t.returnAt = time.Now().Add(returnInterval << t.rejected)
		t.rejected++
	case b.info.NotRun && !b.info.Misdirected:
		t.searchAt = time.Now().Add(takeoverInterval << t.full)
		t.full++
	}
	b.release(o)
	a.recordOverlap(b)
	x.handler.o.Log.Info("standby ended", "request", x.info.ID, "standby", b.grant.Endpoint.ID, "outcome", o.String(), "cause", errorText(err),
		"proof", b.notRunProof(), "took", milliseconds(b.sinceSent(time.Now())), "conn", b.trace.Conn, "carried", b.trace.Carried, "extra", b.trace.Extra)
	return false
}

// keepsRequest is called before a part of the response is relayed. It cancels the standby, or returns false if the standby has the
// request.
func (a *attempt) keepsRequest() bool {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.machine.Step(handover.Progressed{}) {
	case handover.Refuse:
		return false
	case handover.CancelStandby:
		t.last().cancel(errSuperseded)
		a.recordOverlap(t.last())
	}
	t.timer.stop()
	return true
}

// stopWatch lets no standby start any more. One that has started works on.
func (a *attempt) stopWatch() {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.stop()
}

// last returns the standby that was started last, which is the only one that may be at work. The caller holds takeover.mu.
func (t *takeover) last() *attempt { return t.standbys[len(t.standbys)-1] }

// claimStandby gives the request to the standby, and reports whether there is one. If not, none will be started. It counts what the
// other standbys did.
func (a *attempt) claimStandby() bool {
	t := &a.takeover
	t.mu.Lock()
	t.machine.Step(handover.FirstFailed{})
	taken := t.machine.Taken()
	if taken {
		a.recordOverlap(t.last())
	}
	t.mu.Unlock()
	a.countStandbys(taken)
	return taken
}

// endTakeover returns the standby if it has the request and the request is to be retried. It ends all others, and counts what
// they did.
func (a *attempt) endTakeover(retry bool) (next *attempt) {
	t := &a.takeover
	t.mu.Lock()
	t.timer.stop()
	if retry && t.machine.Taken() {
		next = t.last()
	} else if t.machine.Step(handover.Ended{}) == handover.CancelStandby {
		t.last().cancel(errSuperseded)
		a.recordOverlap(t.last())
	}
	t.mu.Unlock()
	a.countStandbys(next != nil)
	return next
}

// countStandbys waits until all standbys have ended, and counts what they did. With keep, it leaves out the last one, which has the
// request. No standby may start any more.
func (a *attempt) countStandbys(keep bool) {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	ended := t.standbys
	t.standbys = nil
	if keep {
		n := len(ended) - 1
		ended, t.standbys = ended[:n:n], ended[n:]
	}
	t.mu.Unlock()
	for _, b := range ended {
		<-b.standby.opened
		if b.standby.kept {
			b.release(pool.Cancelled)
		}
		if w := b.standby.response; w != nil && !x.headerWritten && x.fallback == nil && x.reserve(len(w.body)) {
			x.fallback = w
		}
		id := b.grant.Endpoint.ID
		x.tried = append(x.tried, id)
		if b.sent() {
			x.sends++
		}
		if !b.mayHaveRun() {
			if b.info.Misdirected {
				x.forgetGivenUp(id)
			}
			continue
		}
		x.recordRun(id)
		if b.wasCancelledUnproven() { // its endpoint has not failed
			x.givenUp = append(x.givenUp, id)
		}
	}
}

// wasCancelledFor reports whether err is why the attempt was cancelled.
func (a *attempt) wasCancelledFor(err error) bool { return errors.Is(context.Cause(a.ctx), err) }

// wasCancelledUnproven reports whether the attempt was a standby that was cancelled before it had responded or failed.
func (a *attempt) wasCancelledUnproven() bool {
	return a.wasCancelledFor(errSuperseded) || a.wasCancelledFor(errOverlapEnded)
}

// takeoverTimer calls a function after a time, and then again after each time that the function returns, until that is 0.
type takeoverTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *takeoverTimer) start(d time.Duration, f func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.timer = time.AfterFunc(d, func() {
		if next := f(); next > 0 {
			t.start(next, f)
		}
	})
}

// stop stops the timer; it may be nil.
func (t *takeoverTimer) stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
