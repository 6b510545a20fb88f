package pool

import (
	"time"

	"monsoondale/core"
)

const (
	// failureWeight is the weight of the newest outcome in an endpoint's failure rate: three failures in a row exceed
	// failureLimit from a clean record.
	failureWeight = 0.2
	// failureLimit is the failure rate above which an endpoint is suspended. Endpoints that break one request in ten by
	// nature stay below it.
	failureLimit = 0.45
	// failureAfter is the failure rate with which an endpoint returns from a suspension, so that one more failure
	// suspends it again.
	failureAfter = 0.4
	// suspendFirst and suspendMost bound a suspension; each one in a row is twice as long.
	suspendFirst = 500 * time.Millisecond
	suspendMost  = 8 * time.Second
)

// average is an exponentially weighted mean.
type average struct {
	value float64
	set   bool
}

func (a *average) add(v, weight float64) {
	if !a.set {
		a.value, a.set = v, true
		return
	}
	a.value += weight * (v - a.value)
}

// account is what is known of one endpoint.
type account struct {
	Endpoint
	running int         // requests of this instance
	reading core.Tokens // prompt tokens of this instance's requests whose response has not begun
	others  load        // what other instances report

	speed   float64 // time to the first event relative to the pool's model; higher is slower
	samples int     // first events seen
	step    average // nanoseconds between events

	heard     time.Time // when it last sent a part of a response to this instance
	failures  float64
	suspended time.Time
	strikes   int
	probing   bool
}

func (a *account) total() int { return a.running + a.others.running }

func (a *account) backlog() core.Tokens { return a.reading + a.others.reading }

// free returns the number of slots that no known request uses.
func (a *account) free() int { return a.Slots - a.total() }

// open reports whether the endpoint may get a request now. A suspended endpoint gets one request at a time once its
// suspension has run out, until one succeeds.
func (a *account) open(now time.Time) bool {
	if a.Leaving || now.Before(a.suspended) {
		return false
	}
	return a.strikes == 0 || !a.probing
}

// judge updates the failure rate.
func (a *account) judge(now time.Time, o Outcome) {
	var failed float64
	switch o {
	case Cancelled:
		return
	case Served:
		a.strikes = 0
	case Unreachable, Rejected, Broken:
		failed = 1
	case Moved:
		// The entry names an endpoint that is gone; the list will follow.
		a.suspended = now.Add(suspendMost)
		return
	}
	a.failures += failureWeight * (failed - a.failures)
	unreachable := o == Unreachable
	if failed == 1 && (a.failures > failureLimit || unreachable || a.strikes > 0) && !now.Before(a.suspended) {
		d := min(suspendFirst<<a.strikes, suspendMost)
		a.strikes = min(a.strikes+1, 5)
		a.suspended = now.Add(d)
		a.failures = failureAfter
	}
}
