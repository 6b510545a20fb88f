package pool

import "time"

const (
	// timeoutWindow is the number of requests after which the usual timeouts are determined anew.
	timeoutWindow = 64
	// firstTimeoutWindow is that number while none are known.
	firstTimeoutWindow = 16
	// trackedTimeouts is the number of timeouts that are counted at once. Each that more than one request in trackedTimeouts+1 states is
	// among them.
	trackedTimeouts = 8
	// usualShare is the part of the requests that state a usual timeout, at least.
	usualShare = 1.0 / 8
	// uniformShare is the part of the requests that all usual timeouts have together, at least. Otherwise callers state what they like, and
	// a shorter timeout means nothing.
	uniformShare = 1.0 / 4
)

// Timeouts learns the timeouts that callers of a route usually state, and infers from a shorter one how long a caller has waited: callers that
// were turned away and return state what is left of their time. It counts the most frequent values by the algorithm of Misra and Gries. It
// is not safe for concurrent use.
type Timeouts struct {
	counts   map[time.Duration]int
	requests int // in this window
	usual    []time.Duration
}

// Record records the timeout that a request states.
func (o *Timeouts) Record(stated time.Duration) {
	if stated <= 0 {
		return
	}
	if o.counts == nil {
		o.counts = make(map[time.Duration]int, trackedTimeouts)
	}
	o.requests++
	if _, ok := o.counts[stated]; ok || len(o.counts) < trackedTimeouts {
		o.counts[stated]++
	} else {
		for v := range o.counts {
			if o.counts[v]--; o.counts[v] == 0 {
				delete(o.counts, v)
			}
		}
	}
	if o.requests >= timeoutWindow || o.usual == nil && o.requests >= firstTimeoutWindow {
		o.endWindow()
	}
}

// endWindow determines the usual timeouts.
func (o *Timeouts) endWindow() {
	o.usual = o.usual[:0]
	together := 0
	for v, n := range o.counts {
		if float64(n) >= usualShare*float64(o.requests) {
			o.usual = append(o.usual, v)
			together += n
		}
	}
	if float64(together) < uniformShare*float64(o.requests) {
		o.usual = o.usual[:0]
	}
	clear(o.counts)
	o.requests = 0
}

// Waited returns how long the caller of a request that states a timeout has waited before: the difference to the next longer one of the usual
// timeouts. It is 0 if the timeout is a usual one itself, or if no longer one is known. A caller that states less than it has gains no more than
// the time that it gives up.
func (o *Timeouts) Waited(stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	waited := time.Duration(0)
	for _, v := range o.usual {
		if v == stated {
			return 0
		}
		if d := v - stated; d > 0 && (waited == 0 || d < waited) {
			waited = d
		}
	}
	return waited
}
