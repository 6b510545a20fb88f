package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

const (
	// shareValidity is how long a share above the canary's holds without news from the decider.
	shareValidity = time.Second
	// stopTimeout is how long endpoints of other versions are avoided after an order is complete. They stop at once, and their entries
	// vanish within that time.
	stopTimeout = 15 * time.Second
	// MinActive is the smallest number of endpoints of the target that get requests, if there are as many.
	MinActive = 4
)

// Gate bounds what one instance sends to the target of an order. Its zero value bounds nothing. It is not safe for concurrent use.
type Gate struct {
	Target   core.SoftwareVersion
	State    State
	Step     Step
	Heard    time.Time // when a step was last heard from the decider
	Exposure float64
	Slack    float64       // requests beyond the exposure; the part of this instance
	Silence  time.Duration // without news from the decider, after which the target gets nothing
	Stopped  bool          // the evidence of this instance is against the target
	since    time.Time

	requests, exposed int // sent to the service, and to the target, since the order was seen
}

// NewGate returns the gate of an order, which lets nothing pass until a step is set.
func NewGate(now time.Time, o *Order, exposure, slack float64, silence time.Duration) *Gate {
	return &Gate{Target: o.Target, State: o.State, Exposure: exposure, Slack: slack, Silence: silence, since: now}
}

// SetState sets the state of the order.
func (g *Gate) SetState(now time.Time, s State) {
	if g.State != s {
		g.State, g.since = s, now
	}
}

// share returns the part of the requests that may go to the target now.
func (g *Gate) share(now time.Time) float64 {
	switch {
	case g.State == Complete:
		return 1
	case g.State == Reverted || g.Step.Bad || g.Stopped:
		return 0
	case now.Sub(g.Heard) > g.Silence:
		return 0
	case now.Sub(g.Heard) > shareValidity:
		return min(g.Step.Share, canaryPart*g.Exposure)
	}
	return g.Step.Share
}

// Closed reports whether the target gets no requests.
func (g *Gate) Closed(now time.Time) bool { return g != nil && g.share(now) <= 0 }

// Filter is the decision of a gate on one request.
type Filter struct {
	on             bool
	target         core.SoftwareVersion
	allowed        bool // endpoints of the target
	othersExcluded bool
}

// Filter decides where a request may go. Repeats of a request fall alike.
func (g *Gate) Filter(now time.Time, id core.RequestID) Filter {
	if g == nil || g.State == Complete && now.Sub(g.since) > stopTimeout {
		return Filter{}
	}
	share := g.share(now)
	f := Filter{on: true, target: g.Target, othersExcluded: share >= 1}
	const scale = 1 << 20
	f.allowed = share > 0 && float64(xxhash.Sum64String(string(id))%scale) < share*scale
	if g.State != Complete && g.Step.Share <= canaryPart*g.Exposure+shareTolerance && float64(g.exposed+1) > g.Exposure*float64(g.requests+1)+g.Slack {
		f.allowed = false
	}
	return f
}

// Allows reports whether a request may go to an endpoint of a version.
func (f Filter) Allows(v core.SoftwareVersion) bool {
	switch {
	case !f.on:
		return true
	case v == f.target:
		return f.allowed
	}
	return !f.othersExcluded
}

// Count records that a request is sent to an endpoint of a version.
func (g *Gate) Count(v core.SoftwareVersion) {
	if g == nil {
		return
	}
	g.requests++
	if v == g.Target {
		g.exposed++
	}
}

// Counts returns the requests sent to the service, and to the target, since the order was seen.
func (g *Gate) Counts() (requests, exposed int) { return g.requests, g.exposed }

// Active returns how many of n endpoints of the target get requests: as many as the share keeps as busy as the others are.
func (g *Gate) Active(now time.Time, n int) int {
	if g == nil {
		return n
	}
	return min(max(int(g.share(now)*float64(n)+0.999), MinActive), n)
}

// Prefers reports whether a request is drawn for the target.
func (f Filter) Prefers() bool { return f.on && f.allowed }

// IsTarget reports whether a version is the target of an order.
func (f Filter) IsTarget(v core.SoftwareVersion) bool { return f.on && v == f.target }
