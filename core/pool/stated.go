package pool

import "time"

const (
	// slownessValidity is how long the slowness that an endpoint states counts by itself. It may change several times a second;
	// later, the mean of what was stated counts.
	slownessValidity = 500 * time.Millisecond
	// slownessWeight is the weight of the newest value in that mean.
	slownessWeight = 0.1
)

// StatedLoad is the load that an endpoint states about itself in a response. Zero means that it states none.
type StatedLoad struct {
	Running, Waiting int // requests of all instances
	Slots            int
	// Slowness is how long work takes at this moment, relative to the usual time; 0 if not stated.
	Slowness float64
}

// slowness is what an endpoint has stated about how long work takes there.
type slowness struct {
	newest float64
	at     time.Time
	mean   average
}

// record records a value that was stated at a time; 0 is none. A report may bring an older one than the newest.
func (s *slowness) record(at time.Time, v float64) {
	if v <= 0 {
		return
	}
	if !at.Before(s.at) {
		s.newest, s.at = v, at
	}
	s.mean.add(v, slownessWeight)
}

// value returns how long work takes now relative to usual; 1 if the endpoint has not stated it.
func (s *slowness) value(now time.Time) float64 {
	switch {
	case s.mean.n == 0:
		return 1
	case now.Sub(s.at) < slownessValidity:
		return s.newest
	}
	return s.mean.value
}

// RecordLoad records the load that the endpoint of a grant has stated, and returns the number of requests that this instance
// knew of.
func (p *Pool) RecordLoad(now time.Time, g *Grant, l StatedLoad) (known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.slowness = l.Slowness
	g.endpointState.stated.record(now, l.Slowness)
	return g.endpointState.totalRunning()
}
