// Package retry bounds how often requests are sent to an endpoint once more, so that repeats cannot multiply the load
// of a service that is failing.
package retry

import "time"

// Options configures a Budget.
type Options struct {
	Window time.Duration // span in which repeats are counted
	Ratio  float64       // repeats allowed for each request
	Extra  float64       // repeats allowed in a window besides, for all instances together
	// Margin is the part of the allowance that is used; the rest covers windows that begin at another moment.
	Margin float64
}

const slices = 10 // parts of a window that are dropped together; a finer grain changes the count by less than a tenth

type slice struct{ requests, repeats float64 }

// Budget counts the requests and repeats of one service at one instance. The instance's allowance follows from its own
// requests and an equal part of Extra, so that the allowances of all instances add up to that of the fleet.
type Budget struct {
	o     Options
	ring  [slices]slice
	epoch int64
}

// New returns a Budget.
func New(o Options) *Budget { return &Budget{o: o} }

// advance drops the slices that have left the window.
func (b *Budget) advance(now time.Time) *slice {
	e := now.UnixNano() / int64(b.o.Window/slices)
	switch {
	case b.epoch == 0 || e-b.epoch >= slices:
		b.ring = [slices]slice{}
		b.epoch = e
	default:
		for b.epoch < e {
			b.epoch++
			b.ring[b.epoch%slices] = slice{}
		}
	}
	return &b.ring[b.epoch%slices]
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) { b.advance(now).requests++ }

// Take reports whether one more repeat is within the allowance, and counts it if so. instances is the number of
// instances that share Extra.
func (b *Budget) Take(now time.Time, instances int) bool {
	s := b.advance(now)
	var sum slice
	for _, v := range b.ring {
		sum.requests += v.requests
		sum.repeats += v.repeats
	}
	if sum.repeats+1 > b.o.Margin*(b.o.Ratio*sum.requests+b.o.Extra/float64(max(instances, 1))) {
		return false
	}
	s.repeats++
	return true
}
