package pool

import (
	"time"

	"monsoondale/core"
	"monsoondale/core/rollout"
)

const (
	// slowRatio is how many times longer than the model predicts from the prompts alone a slow first event takes. Versions that are
	// several times slower exceed it, and sound endpoints seldom do.
	slowRatio = 1.8
	// minSlow is how much later than predicted a slow first event is at least, as scheduling alone may take some milliseconds.
	minSlow = 15 * time.Millisecond
)

// rolloutState is what an order requires of a pool, and what was seen of the versions since.
type rolloutState struct {
	gate     *rollout.Gate
	evidence rollout.Evidence
	targets  int // endpoints of the target that accept requests
}

// RolloutReport is the state of a pool while an order concerns its service.
type RolloutReport struct {
	Evidence     rollout.Evidence // of this instance, since the order was seen
	Requests     int              // sent by this instance since then, of which Exposed to the target
	Exposed      int
	TargetSlots  int // of endpoints of the target that accept requests
	OtherSlots   int // of the other ones
	Others       int // listed endpoints of other versions
	OtherRunning int // known requests of all instances there
}

// SetRollout sets the order that concerns the service, or none.
func (p *Pool) SetRollout(now time.Time, g *rollout.Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rollout = nil
	if g != nil {
		p.rollout = &rolloutState{gate: g, evidence: rollout.Evidence{}}
	}
	p.selectActive(now)
	p.assign(now)
}

// UpdateRollout changes the gate of the present order, if there is one.
func (p *Pool) UpdateRollout(now time.Time, change func(g *rollout.Gate)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rollout == nil {
		return
	}
	change(p.rollout.gate)
	p.assign(now)
}

// Rollout reports what was seen since the present order. ok is false if there is none.
func (p *Pool) Rollout(now time.Time) (r RolloutReport, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rollout == nil {
		return r, false
	}
	r.Evidence = p.rollout.evidence.Clone()
	r.Requests, r.Exposed = p.rollout.gate.Counts()
	target := p.rollout.gate.Target
	for _, e := range p.orderedEndpoints {
		switch {
		case e.Version == target && e.accepts(now):
			r.TargetSlots += e.capacity()
		case e.Version != target:
			r.Others++
			r.OtherRunning += e.totalRunning()
			if e.accepts(now) {
				r.OtherSlots += e.capacity()
			}
		}
	}
	return r, true
}

// Restricts reports whether an order keeps requests from some of the listed endpoints.
func (p *Pool) Restricts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.restricts()
}

// restricts reports whether an order keeps requests from some of the listed endpoints.
func (p *Pool) restricts() bool {
	if p.rollout == nil {
		return false
	}
	g := p.rollout.gate
	for _, e := range p.orderedEndpoints {
		if !g.State.Final() || (e.Version == g.Target) != (g.State == rollout.Complete) {
			return true
		}
	}
	return false
}

// selectActive marks the endpoints of the target that get no requests yet. A few that are as busy as the others show more than many
// idle ones, and of different groups they tell a bad endpoint from a bad version.
func (p *Pool) selectActive(now time.Time) {
	if p.rollout == nil {
		return
	}
	g, n := p.rollout.gate, 0
	var groups [rollout.Groups][]*endpointState
	for _, e := range p.orderedEndpoints {
		e.inactive = e.Version == g.Target
		if e.inactive && e.accepts(now) {
			i := rollout.Group(e.ID)
			groups[i], n = append(groups[i], e), n+1
		}
	}
	p.rollout.targets = n
	left := g.Active(now, n)
	for round := 0; left > 0; round++ {
		for _, list := range groups {
			if round < len(list) && left > 0 {
				list[round].inactive, left = false, left-1
			}
		}
	}
}

// filter decides which versions a request may go to.
func (p *Pool) filter(now time.Time, req *Request) rollout.Filter {
	if p.rollout == nil || p.rollout.gate.State == rollout.Complete && p.rollout.targets == 0 { // the version may have been replaced since
		return rollout.Filter{}
	}
	return p.rollout.gate.Filter(now, req.ID)
}

// allows reports whether a request may go to an endpoint.
func (t *Ticket) allows(e *endpointState) bool {
	return t.req.allows(e.ID) && t.filter.Allows(e.Version) && !(e.inactive && t.filter.IsTarget(e.Version))
}

// preferTarget keeps the candidates of the target if a request is drawn for it and one of them has a free slot.
func (t *Ticket) preferTarget(candidates []candidate) []candidate {
	if !t.filter.Prefers() {
		return candidates
	}
	free := 0
	for _, c := range candidates {
		if t.filter.IsTarget(c.Version) {
			free += max(c.freeInReports+c.netReleased, 0)
		}
	}
	if free == 0 {
		return candidates
	}
	kept := candidates[:0]
	for _, c := range candidates {
		if t.filter.IsTarget(c.Version) {
			kept = append(kept, c)
		}
	}
	return kept
}

// barred reports whether an endpoint is of a version that gets no requests any more.
func (p *Pool) barred(now time.Time, e *endpointState) bool {
	return p.rollout != nil && e.Version == p.rollout.gate.Target && p.rollout.gate.Closed(now)
}

// countGrant counts a request at an endpoint.
func (p *Pool) countGrant(e *endpointState) {
	if p.rollout != nil {
		p.rollout.gate.Count(e.Version)
	}
}

// recordBegin records a first event as evidence. Endpoints are slow after their start, whatever their version.
func (p *Pool) recordBegin(now time.Time, g *Grant) {
	e := g.endpointState
	if p.rollout == nil || p.rollout.gate.State.Final() || now.Before(e.coldUntil) || p.model.n < minSlowdownWeight {
		return
	}
	slow := p.slow(g.promptBacklog, now.Sub(g.began()))
	p.rollout.evidence.Record(g.req.Route, e.Version == p.rollout.gate.Target, e.ID, func(c *rollout.Count) {
		c.Began++
		if slow {
			c.Slow++
		}
	})
}

// began returns when the endpoint got a request. A version that gets few requests has new connections more often, and is not slow because
// of the time to open them.
func (g *Grant) began() time.Time {
	if g.connected.IsZero() {
		return g.sent
	}
	return g.connected
}

// slow reports whether a first event takes long for the prompt tokens before it.
func (p *Pool) slow(backlog core.Tokens, latency time.Duration) bool {
	constant, slope := p.model.coefficients()
	expected := constant + slope*float64(backlog)
	return float64(latency) > max(slowRatio*expected, expected+float64(minSlow))
}

// recordEnd records the end of a request as evidence, unless it says nothing about the endpoint's version. One whose caller has left before
// a first event that was late already counts as slow: callers do not wait for very slow ones.
func (p *Pool) recordEnd(now time.Time, g *Grant, o Outcome) {
	if p.rollout == nil || p.rollout.gate.State.Final() {
		return
	}
	if o == Cancelled && !g.responseBegan && p.slow(g.promptBacklog, now.Sub(g.began())) {
		p.recordBegin(now, g)
	}
	failed := o == ServerError || o == Broken || o == Silent
	if !failed && o != Served {
		return
	}
	e := g.endpointState
	p.rollout.evidence.Record(g.req.Route, e.Version == p.rollout.gate.Target, e.ID, func(c *rollout.Count) {
		c.Ended++
		if failed {
			c.Failed++
		}
	})
}
