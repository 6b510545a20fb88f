package pool

import (
	"math/rand/v2"
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
	// suspendSpread is the part of a suspension over which the probes of instances are spread that learned of the
	// failures from others.
	suspendSpread = 2
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
	told    int         // requests of this instance in its last report

	speed   float64 // time to the first event relative to the pool's model; higher is slower
	samples int     // first events seen
	step    average // nanoseconds between events

	heard     time.Time // when it last sent a part of a response to this instance
	failures  float64
	suspended time.Time
	strikes   int
	probing   bool
	reported  bool // it is suspended for failures that other instances have reported
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
		a.strikes, a.reported = 0, false
	case Failed:
		// Marks the endpoint down, but does not suspend it: it works, and others may fail as often.
		a.failures += failureWeight * (1 - a.failures)
		return
	case Unreachable, Rejected, Broken:
		failed = 1
	case Moved:
		// The entry names an endpoint that is gone; the list will follow.
		a.suspended = now.Add(suspendMost)
		return
	}
	a.failures += failureWeight * (failed - a.failures)
	if failed == 1 && (a.failures > failureLimit || o == Unreachable || a.strikes > 0) && !now.Before(a.suspended) {
		a.suspend(now, 1)
		a.reported = false
	}
}

// suspend closes the endpoint for a time that doubles with each suspension in a row, times a factor.
func (a *account) suspend(now time.Time, factor float64) {
	d := min(suspendFirst<<a.strikes, suspendMost)
	a.strikes = min(a.strikes+1, 5)
	a.suspended = now.Add(time.Duration(factor * float64(d)))
	a.failures = failureAfter
}

// warn updates the failure rate by what another instance has seen. Instances that suspend an endpoint for that probe it
// at different times, so that the others learn the outcome of the first probes instead of making their own.
func (a *account) warn(now time.Time, failed bool, rng *rand.Rand) {
	if !failed {
		a.failures -= failureWeight * a.failures
		if a.reported {
			a.strikes, a.reported, a.suspended = 0, false, time.Time{}
		}
		return
	}
	a.failures += failureWeight * (1 - a.failures)
	if a.strikes == 0 && a.failures > failureLimit || a.reported && !now.Before(a.suspended) {
		a.suspend(now, 1+suspendSpread*rng.Float64())
		a.reported = true
	}
}
