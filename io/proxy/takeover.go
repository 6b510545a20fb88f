package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
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
	// maxOverlap is how long two model engines may work on a request. The platform allows 400 ms, and an endpoint learns late
	// that its request was cancelled.
	maxOverlap = 250 * time.Millisecond
	// maxHandOvers is the number of hand-overs in a row to standbys that have not responded: to another endpoint and back. With more
	// of them, slow endpoints would begin the request anew until its deadline.
	maxHandOvers = 2
)

var (
	// errSuperseded is the cause of contexts of standbys that are not needed any more.
	errSuperseded = errors.New("the first endpoint has responded")
	errPanic      = errors.New("panic of a standby")
	// errOverlapEnded is the cause of contexts of standbys that were silent for maxOverlap and did not get the request.
	errOverlapEnded = errors.New("no response during the overlap")
)

// takeover lets another endpoint, the standby, serve the request of an attempt whose endpoint is silent. A silent endpoint may still
// be sound, and the standby may fail. So the endpoint keeps the request until the standby has responded, or until two model engines
// have worked on it for maxOverlap; in the second case the request may return to it.
type takeover struct {
	mu       sync.Mutex
	timer    *takeoverTimer
	plan     *standbyPlan // of the timer; nil if the endpoint has gone on since
	standby  *attempt     // may take the request over; nil if there is none
	taken    bool         // standby has the request, and the attempt is cancelled
	ended    bool         // no standby may start
	standbys []*attempt   // all that were started
}

// standbyPlan is what a standby is chosen by: a copy of the state of the exchange, which goes on.
type standbyPlan struct {
	req         pool.Request
	runs        int // possible runs, that of the attempt included
	givenUp     []core.EndpointID
	after       string       // id of the last event relayed
	status      int          // of the response that has begun; 0 if none has
	contentType string       // of the response that has begun
	of          *standbyPlan // the plan that it is a copy of
}

// watchResponse lets a standby start unless the response begins in time. The attempt has not been counted as a run yet.
func (a *attempt) watchResponse() {
	p := a.newPlan()
	if i := slices.Index(p.givenUp, a.grant.Endpoint.ID); i >= 0 {
		p.givenUp = slices.Delete(p.givenUp, i, i+1)
	} else {
		p.runs++
	}
	a.watch(p, max(responseTimeoutFactor*a.grant.ExpectedLatency, minResponseTimeout), func() bool {
		// An endpoint that responds to other requests is only busy; cancelling would waste the work it has done so far. From
		// then on only the deadline limits the wait for this response, unless the request can return to the endpoint before.
		return a.standby.handOvers == 0 && a.x.pool.RespondedSince(a.grant) || a.tryStandby(p)
	})
}

// watchSilence lets a standby start unless the next event arrives in time.
func (a *attempt) watchSilence() {
	p := a.newPlan()
	a.watch(p, streamSilenceTimeout, func() bool { return a.tryStandby(p) })
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

// watch calls f after d, and then every takeoverInterval until it returns true. It replaces the function of an earlier call. Without
// an endpoint at which the request may run, it does nothing: a slow response is better than none, and its deadline ends it.
func (a *attempt) watch(p *standbyPlan, d time.Duration, f func() bool) {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.stop()
	t.timer, t.plan = nil, nil
	if !x.route.Retryable() || x.notResumable || len(x.tried) > maxTriedEndpoints || !p.mayRunElsewhere(x.route) {
		return
	}
	t.timer, t.plan = &takeoverTimer{}, p
	t.timer.start(d, f)
}

// mayRunElsewhere reports whether the request may run at another endpoint while the attempt is in progress.
func (p *standbyPlan) mayRunElsewhere(r *route.Route) bool {
	return p.runs < r.Attempts || len(p.givenUp) > 0
}

// tryStandby starts a standby if another endpoint has a free slot and a retry is left in the budget, and waits until it has
// responded or failed. It returns false if it is to be called again.
func (a *attempt) tryStandby(p *standbyPlan) bool {
	x, now := a.x, time.Now()
	p = a.withStandbys(p)
	if p.req.Deadline.Sub(now) < minTimeForRetry || !p.mayRunElsewhere(x.route) {
		return true
	}
	p.req.Only, p.req.Returning = nil, false
	if p.runs >= x.route.Attempts {
		p.req.Only, p.req.Returning = p.givenUp, true
	}
	g := x.pool.Acquire(now, p.req)
	if g == nil {
		return false
	}
	b := a.newStandby(p, g)
	if b == nil {
		x.pool.Release(now, g, pool.Cancelled)
		return false
	}
	// Plain requests have no limit: the first response of the two counts.
	if x.route.Kind == route.Stream || x.info.TokensStated {
		overlap := time.AfterFunc(maxOverlap, func() { a.endOverlap(b) })
		defer overlap.Stop()
	}
	o, err := b.openAndProve(p)
	if b.resp != nil && !b.mayHaveRun() {
		b.discardBody()
	}
	return a.settle(b, o, err)
}

// withStandbys returns a copy of a plan that takes account of the standbys that have been started.
func (a *attempt) withStandbys(p *standbyPlan) *standbyPlan {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	c := *p
	c.of = p
	c.req.Exclude, c.givenUp = slices.Clone(p.req.Exclude), slices.Clone(p.givenUp)
	for _, b := range t.standbys {
		id := b.grant.Endpoint.ID
		c.req.Exclude = append(c.req.Exclude, id)
		switch i := slices.Index(c.givenUp, id); {
		case b.standby.notRun:
		case b.wasCancelledFor(errSuperseded):
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
	x, t := a.x, &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	possible := !t.ended && !t.taken && t.standby == nil && t.plan == p.of
	elsewhere := p.req.Returning || !slices.Contains(p.req.Exclude, g.Endpoint.ID)
	if !possible || !elsewhere || !a.takeRetry() {
		return nil
	}
	b := x.newAttempt(a.parent, g, p.after, p.req.Exclude)
	b.standby.opened = make(chan struct{})
	t.standby, t.standbys = b, append(t.standbys, b)
	x.handler.o.Log.Info("standby", "request", x.info.ID, "endpoint", a.grant.Endpoint.ID, "standby", g.Endpoint.ID, "after", p.after,
		"expected", milliseconds(g.ExpectedLatency))
	return b
}

// takeRetry takes a retry from the budget, unless one has been taken before for the return to the first endpoint.
func (a *attempt) takeRetry() bool {
	if a.standby.returnPaid {
		a.standby.returnPaid = false
		return true
	}
	return a.x.handler.o.Budgets.TakeRetry(a.x.service)
}

// endOverlap gives a stream to a standby that has not responded yet, if it can return and a retry is left for that, or else cancels
// the standby. The callers of streams leave after a pause of two seconds or more; others wait until the deadline.
func (a *attempt) endOverlap(b *attempt) {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.standby != b || t.taken || t.ended {
		return
	}
	b.standby.returnPaid = x.route.Kind == route.Stream && a.standby.handOvers < maxHandOvers && x.pool.MayReturn(time.Now(), a.grant) && x.handler.o.Budgets.TakeRetry(x.service)
	if !b.standby.returnPaid {
		t.standby = nil
		b.cancel(errOverlapEnded)
		return
	}
	a.handOver(false)
}

// handOver cancels the attempt in favour of its standby. responded reports whether the standby has responded. The caller holds
// takeover.mu.
func (a *attempt) handOver(responded bool) {
	x, t := a.x, &a.takeover
	x.handler.o.Log.Info("takeover", "request", x.info.ID, "endpoint", a.grant.Endpoint.ID, "next", t.standby.grant.Endpoint.ID,
		"responded", responded)
	if !responded {
		t.standby.standby.handOvers = a.standby.handOvers + 1
	}
	t.taken = true
	a.cancel(errNoResponse)
}

// settle gives the request to a standby that has responded, or ends the standby. It returns false if another one is to be tried.
func (a *attempt) settle(b *attempt, o pool.Outcome, err error) bool {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(b.standby.opened)
	switch {
	case t.standby == b && t.taken:
		return true
	case t.standby == b && err == nil:
		a.handOver(true)
		return true
	case t.standby == b:
		t.standby = nil
	default:
		o = pool.Cancelled
	}
	b.standby.notRun = !b.mayHaveRun()
	b.release(o)
	x.handler.o.Log.Info("standby ended", "request", x.info.ID, "standby", b.grant.Endpoint.ID, "outcome", o.String(), "cause", errorText(err))
	return false
}

// keepsRequest is called before a part of the response is relayed. It cancels the standby, or returns false if the standby has the
// request.
func (a *attempt) keepsRequest() bool {
	t := &a.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.taken {
		return false
	}
	t.timer.stop()
	t.plan = nil
	if t.standby != nil {
		t.standby.cancel(errSuperseded)
		t.standby = nil
	}
	return true
}

// claimStandby gives the request to the standby, and reports whether there is one. If not, none will be started. It counts what the
// other standbys did.
func (a *attempt) claimStandby() bool {
	t := &a.takeover
	t.mu.Lock()
	t.ended = true
	t.taken = t.taken || t.standby != nil
	t.mu.Unlock()
	a.countStandbys(t.taken)
	return t.taken
}

// endTakeover returns the standby if it has the request and the request is to be retried. It ends all others, and counts what
// they did.
func (a *attempt) endTakeover(retry bool) *attempt {
	t := &a.takeover
	t.mu.Lock()
	t.ended = true
	t.timer.stop()
	next := t.standby
	keep := t.taken && retry
	if next != nil && !keep {
		next.cancel(errSuperseded)
		if !t.taken {
			t.standby = nil // ended by settle
		}
	}
	t.mu.Unlock()
	a.countStandbys(keep)
	if keep {
		return next
	}
	return nil
}

// countStandbys waits until all standbys have ended, and counts what they did. With keep, it leaves out the one that has the request.
// No standby may start any more.
func (a *attempt) countStandbys(keep bool) {
	x, t := a.x, &a.takeover
	t.mu.Lock()
	standbys, next := t.standbys, t.standby
	t.standbys = nil
	if keep {
		t.standbys = []*attempt{next}
	}
	t.mu.Unlock()
	for _, b := range standbys {
		if b == next && keep {
			continue
		}
		<-b.standby.opened
		if b == next { // it had the request, so that settle has not released it
			b.release(pool.Cancelled)
		}
		id := b.grant.Endpoint.ID
		x.tried = append(x.tried, id)
		if b.sent() {
			x.sends++
		}
		if !b.mayHaveRun() {
			continue
		}
		x.recordRun(id)
		if b.wasCancelledFor(errSuperseded) || b.wasCancelledFor(errOverlapEnded) { // its endpoint has not failed
			x.givenUp = append(x.givenUp, id)
		}
	}
}

// wasCancelledFor reports whether err is why the attempt was cancelled.
func (a *attempt) wasCancelledFor(err error) bool { return errors.Is(context.Cause(a.ctx), err) }

// takeoverTimer calls a function after a time, and then every takeoverInterval until it returns true.
type takeoverTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *takeoverTimer) start(d time.Duration, f func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.timer = time.AfterFunc(d, func() {
		if !f() {
			t.start(takeoverInterval, f)
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
