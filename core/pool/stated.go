package pool

import "time"

// StatedLoad is the load that an endpoint states about itself in a response. Zero means that it states none.
type StatedLoad struct {
	Running, Waiting int // requests of all instances
	Slots            int
	// Slowness is how long work takes at this moment, relative to the usual time; 0 if not stated.
	Slowness float64
}

// RecordLoad records the load that the endpoint of a grant has stated, and returns the number of requests that this instance
// knew of.
func (p *Pool) RecordLoad(now time.Time, g *Grant, l StatedLoad) (known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return g.endpointState.totalRunning()
}
