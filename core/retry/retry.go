// Package retry limits the number of retries with a budget, so that retries cannot multiply the load of a failing
// service.
package retry

import "time"

// Options configures a Budget.
type Options struct {
	Window time.Duration // span in which requests and retries are counted
	Ratio  float64       // retries allowed per request
	Extra  float64       // further retries allowed in a window, for all instances together
	// Margin is the part of the budget that is used. The rest allows for windows that begin at other times.
	Margin float64
}

// sliceCount is the number of slices of a window, each of which expires as a whole. With more of them, the counts would
// differ by less than a tenth.
const sliceCount = 10

// slice holds the counts of one slice of the window.
type slice struct{ requests, retries float64 }

// Budget counts the requests and retries of one service at one instance. It allows retries in proportion to the
// requests of this instance, and an equal part of Extra, so that the budgets of all instances add up to that of the
// fleet.
type Budget struct {
	o      Options
	ring   [sliceCount]slice
	newest int64
}

// New returns an empty Budget.
func New(o Options) *Budget { return &Budget{o: o} }

// advance clears the slices that have left the window, and returns the newest one.
func (b *Budget) advance(now time.Time) *slice {
	n := now.UnixNano() / int64(b.o.Window/sliceCount)
	switch {
	case b.newest == 0 || n-b.newest >= sliceCount:
		b.ring = [sliceCount]slice{}
		b.newest = n
	default:
		for b.newest < n {
			b.newest++
			b.ring[b.newest%sliceCount] = slice{}
		}
	}
	return &b.ring[b.newest%sliceCount]
}

// Configure replaces the options. What has been counted stays counted; if the length of the window changes, as if it had
// happened now.
func (b *Budget) Configure(now time.Time, o Options) {
	if o.Window != b.o.Window {
		b.advance(now)
		total := b.total()
		b.o, b.newest, b.ring = o, 0, [sliceCount]slice{}
		*b.advance(now) = total
	}
	b.o = o
}

// total returns the counts of the window.
func (b *Budget) total() slice {
	var t slice
	for _, v := range b.ring {
		t.requests += v.requests
		t.retries += v.retries
	}
	return t
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) { b.advance(now).requests++ }

// Take reports whether one more retry is within the budget, and counts it if so. instances is the number of instances
// that share Extra.
func (b *Budget) Take(now time.Time, instances int) bool {
	s := b.advance(now)
	total := b.total()
	if total.retries+1 > b.o.Margin*(b.o.Ratio*total.requests+b.o.Extra/float64(max(instances, 1))) {
		return false
	}
	s.retries++
	return true
}
