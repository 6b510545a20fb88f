package pool

import (
	"math/rand/v2"
	"time"

	"monsoondale/core"
)

const (
	// failureWeight is the weight of the newest outcome in an endpoint's failure rate: starting at zero, three failures
	// in a row exceed maxFailureRate.
	failureWeight = 0.2
	// maxFailureRate is the failure rate above which an endpoint is suspended. An endpoint that always breaks one
	// request in ten stays below it.
	maxFailureRate = 0.45
	// failureRateAfterSuspension is the failure rate with which an endpoint leaves a suspension, so that one more failure
	// suspends it again.
	failureRateAfterSuspension = 0.4
	// minSuspension and maxSuspension bound the length of a suspension, which doubles with each consecutive one.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 8 * time.Second
	// probeSpread is the range, in lengths of a suspension, over which the probes of instances that learned of the
	// failures from others are spread.
	probeSpread = 2
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

// endpointState holds the load, the latency and the failures of one endpoint.
type endpointState struct {
	Endpoint
	ownRunning      int         // requests of this instance
	pendingPrompt   core.Tokens // prompt tokens of this instance's requests without a first event
	peerLoad        totalLoad   // sum of the other instances' reports
	reportedRunning int         // value of running in this instance's last report

	slowdown      float64 // time to the first event relative to latencyModel; higher is slower
	samples       int     // first events measured
	eventInterval average // nanoseconds between events

	lastResponse           time.Time // when a response to this instance last began or ended
	failureRate            float64   // weighted mean of the outcomes; 1 is a failure
	suspendedUntil         time.Time
	consecutiveSuspensions int  // consecutive ones; 0 after a success
	probing                bool // a probe is in progress
	suspendedByPeers       bool // suspended because of failures that other instances reported
}

// totalRunning returns the number of requests of all instances.
func (e *endpointState) totalRunning() int { return e.ownRunning + e.peerLoad.running }

// promptBacklog returns the prompt tokens of all instances' requests without a first event.
func (e *endpointState) promptBacklog() core.Tokens {
	return e.pendingPrompt + e.peerLoad.pendingPrompt
}

// freeSlots returns the number of slots that no known request uses.
func (e *endpointState) freeSlots() int { return e.Slots - e.totalRunning() }

// available reports whether the endpoint may get a request now. After a suspension it gets one request at a time, the
// probe, until one succeeds.
func (e *endpointState) available(now time.Time) bool {
	if e.Leaving || now.Before(e.suspendedUntil) {
		return false
	}
	return e.consecutiveSuspensions == 0 || !e.probing
}

// recordOutcome updates the failure rate with the outcome of a request of this instance.
func (e *endpointState) recordOutcome(now time.Time, o Outcome) {
	var failed float64
	switch o {
	case Cancelled:
		return
	case Served:
		e.consecutiveSuspensions, e.suspendedByPeers = 0, false
	case ServerError:
		// Lowers the score of the endpoint but does not suspend it: it responds, and others may fail as often.
		e.failureRate += failureWeight * (1 - e.failureRate)
		return
	case Unreachable, Rejected, Broken:
		failed = 1
	case Moved:
		// The entry is out of date; an updated list will follow.
		e.suspendedUntil = now.Add(maxSuspension)
		return
	}
	e.failureRate += failureWeight * (failed - e.failureRate)
	if failed == 1 && (e.failureRate > maxFailureRate || o == Unreachable || e.consecutiveSuspensions > 0) && !now.Before(e.suspendedUntil) {
		e.suspend(now, 1)
		e.suspendedByPeers = false
	}
}

// suspend stops new requests to the endpoint for a time that doubles with each consecutive suspension, multiplied by
// factor.
func (e *endpointState) suspend(now time.Time, factor float64) {
	d := min(minSuspension<<e.consecutiveSuspensions, maxSuspension)
	e.consecutiveSuspensions = min(e.consecutiveSuspensions+1, 5)
	e.suspendedUntil = now.Add(time.Duration(factor * float64(d)))
	e.failureRate = failureRateAfterSuspension
}

// recordPeerOutcome updates the failure rate with an outcome that another instance reported. Instances that suspend an
// endpoint because of such reports probe it at random times, so that most of them learn from the first probe instead of
// sending their own.
func (e *endpointState) recordPeerOutcome(now time.Time, failed bool, rng *rand.Rand) {
	if !failed {
		e.failureRate -= failureWeight * e.failureRate
		if e.suspendedByPeers {
			e.consecutiveSuspensions, e.suspendedByPeers, e.suspendedUntil = 0, false, time.Time{}
		}
		return
	}
	e.failureRate += failureWeight * (1 - e.failureRate)
	if e.consecutiveSuspensions == 0 && e.failureRate > maxFailureRate || e.suspendedByPeers && !now.Before(e.suspendedUntil) {
		e.suspend(now, 1+probeSpread*rng.Float64())
		e.suspendedByPeers = true
	}
}
