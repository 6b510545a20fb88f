package pool

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"monsoondale/core"
)

const (
	// failureWeight is the weight of the newest outcome in an endpoint's failure rate: starting at zero, three failures
	// in a row exceed maxFailureRate.
	failureWeight = 0.2
	// maxFailureRate is the failure rate above which an endpoint is suspended. The failure rate of an endpoint that breaks
	// one request in ten stays below it.
	maxFailureRate = 0.45
	// failureRateAfterSuspension is the failure rate that suspend sets, so that one more failure after the suspension
	// suspends the endpoint again.
	failureRateAfterSuspension = 0.4
	// minSuspension and maxSuspension bound the length of a suspension before probeSpread is applied. The length doubles
	// with each consecutive suspension.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 8 * time.Second
	// probeSpread spreads the probes of instances that learned of the failures from others. Their suspensions are longer
	// by a random time of up to probeSpread times the length.
	probeSpread = 2
	// maxConsecutiveSuspensions bounds the count of consecutive suspensions. At this count, the length without bound
	// would already exceed maxSuspension.
	maxConsecutiveSuspensions = 5
	// minStall and stallIntervals bound the pause after which all streams of an endpoint count as stalled: a multiple of the mean
	// time between its events, but at least minStall.
	minStall       = 500 * time.Millisecond
	stallIntervals = 4
)

// average is an exponentially weighted mean. The first values count equally, as one alone may be far off.
type average struct {
	value float64
	n     int // number of values
}

func (a *average) add(v, weight float64) {
	a.n++
	a.value += max(weight, 1/float64(a.n)) * (v - a.value)
}

// suspicion is what a suspension is based on.
type suspicion int

const (
	// proven means that requests of this instance have failed.
	proven suspicion = iota
	// reported means that other instances reported failures. The endpoint may work for this one.
	reported
	// silent means that requests of this instance got no response for a time. The endpoint may only have paused.
	silent
)

// endpointState holds the load, the latency and the failures of one endpoint.
type endpointState struct {
	Endpoint
	ownRunning      int         // requests of this instance
	pendingPrompt   core.Tokens // prompt tokens of this instance's requests without a first event
	peerLoad        peerLoad
	unknown         int              // see statedLoad.unknownAt, as of the last updateLimits
	reportedRunning int              // value of ownRunning in this instance's last report
	lent            int              // requests of others under grants of this instance, which peerLoad lacks
	lentPrompt      core.Tokens      // prompt tokens of these without a first event
	keeper          KeeperID         // that has granted the last place here to this instance; 0 if none has
	kept            map[KeeperID]int // requests of this instance under the grants of keepers
	hash            uint64           // of the id
	scoreOffset     time.Duration

	stated        slowness
	statedLoad    statedLoad
	limits        limitState
	slowdown      float64 // time to the first event relative to latencyModel and the stated slowness; higher is slower
	samples       int     // first events measured here or reported by other instances
	eventInterval average // nanoseconds between events

	created   time.Time
	coldUntil time.Time    // until which the endpoint is expected to be slow
	inactive  bool         // endpoint of the target of an order that gets no requests yet
	streams   int          // streams of this instance that have begun
	lastBytes atomic.Int64 // when the endpoint last sent a part of a stream, in nanoseconds after created
	stalledAt time.Time    // when a stream that had begun was last given up because it got nothing more

	lastResponse           time.Time // when a response to this instance last began or ended
	failureRate            float64   // weighted mean of the outcomes; 1 is a failure
	suspendedUntil         time.Time
	nextTry                time.Time // from when on a probe is sent before suspendedUntil, if no endpoint is available
	movedAt                time.Time // when a response last stated that another endpoint has the address; zero once that proved wrong
	consecutiveSuspensions int       // at most maxConsecutiveSuspensions; 0 after a success
	probing                bool      // a probe is in progress
	suspicion              suspicion // why it was suspended; proven if it was not

	notice *noticeState // what this start of the endpoint has stated in responses; nil if nothing
}

// leaving reports whether the endpoint is shutting down, according to its entry or its own responses.
func (e *endpointState) leaving() bool { return e.Leaving || e.notice != nil && e.notice.leaving }

// accepts reports whether the endpoint accepts requests, suspended or not.
func (e *endpointState) accepts(now time.Time) bool { return !e.leaving() && !e.notice.closed(now) }

// reportedLoad returns the number of requests of all instances, according to their reports and what this one has lent to them.
func (e *endpointState) reportedLoad() int { return e.ownRunning + e.lent + e.peerLoad.running }

// totalRunning returns the number of requests of all instances.
func (e *endpointState) totalRunning() int { return e.reportedLoad() + e.unknown }

// slots returns the number of slots that the endpoint's entry states, or a higher one that it has stated since.
func (e *endpointState) slots(now time.Time) int {
	if l := &e.statedLoad; now.Sub(l.at) < maxStatedAge {
		return max(e.Slots, l.Slots)
	}
	return e.Slots
}

// speed returns how quick the endpoint is relative to the usual one.
func (e *endpointState) speed(now time.Time) float64 { return 1 / (e.slowdown * e.stated.value(now)) }

// promptBacklog returns the prompt tokens of all instances' requests without a first event.
func (e *endpointState) promptBacklog() core.Tokens {
	return e.pendingPrompt + e.lentPrompt + e.peerLoad.pendingPrompt
}

// capacity returns the number of requests that the endpoint is to work on at once.
func (e *endpointState) capacity() int {
	if e.limits.limit > 0 {
		return e.limits.limit
	}
	return e.Slots
}

// freeSlots returns the number of slots that no known request uses.
func (e *endpointState) freeSlots() int { return e.capacity() - e.totalRunning() }

// available reports whether the endpoint may get a request now. After a suspension it gets one request at a time, the
// probe, until one succeeds. The exception is the suspension after Moved, which is not counted and needs no probe.
func (e *endpointState) available(now time.Time) bool {
	if e.Leaving || e.notice.closed(now) || now.Before(e.suspendedUntil) {
		return false
	}
	return e.consecutiveSuspensions == 0 || !e.probing
}

// recordResponse records that a response to this instance has begun or ended, which ends a suspension that was not based on
// failures here.
func (e *endpointState) recordResponse(now time.Time) {
	e.lastResponse = now
	if e.suspicion != proven {
		e.endSuspension()
	}
}

// endSuspension makes the endpoint available without a probe.
func (e *endpointState) endSuspension() {
	e.consecutiveSuspensions, e.suspicion, e.suspendedUntil = 0, proven, time.Time{}
}

// lastResort reports whether the endpoint may get a request if none is available: if it is suspended without proof, or, as a probe,
// minSuspension after it failed.
func (e *endpointState) lastResort(now time.Time) bool {
	return e.accepts(now) && (e.suspicion != proven || !e.probing && !now.Before(e.nextTry))
}

// mayHaveAddress reports whether a request that can't be refused may be sent to an endpoint of which one response has stated, at least
// minSuspension ago, that another one has its address. The response may be wrong, and the endpoint that has the address does not run
// the request.
func (e *endpointState) mayHaveAddress(now time.Time) bool {
	return e.accepts(now) && !e.movedAt.IsZero() && now.Sub(e.movedAt) >= minSuspension
}

// confirmAddress ends the suspension of an endpoint that has responded to a request which was sent after another one seemed to have its
// address.
func (e *endpointState) confirmAddress(sent time.Time) {
	if e.movedAt.IsZero() || !sent.After(e.movedAt) {
		return
	}
	e.movedAt = time.Time{}
	e.endSuspension()
}

// lastHeard returns when the endpoint last sent anything to this instance.
func (e *endpointState) lastHeard() time.Time {
	t := e.created.Add(time.Duration(e.lastBytes.Load()))
	if e.lastResponse.After(t) {
		return e.lastResponse
	}
	return t
}

// recordOutcome updates the failure rate with the outcome of a request of this instance.
func (e *endpointState) recordOutcome(now time.Time, o Outcome) {
	if o == Served || o == ServerError {
		e.recordResponse(now)
	}
	failed, why := 0.0, proven
	switch o {
	case Cancelled, Deferred:
		return
	case Served:
		// suspendedUntil stays: if a request that was sent earlier succeeds during the suspension, the endpoint stays
		// unavailable until the end of it.
		e.consecutiveSuspensions = 0
	case ServerError:
		// Worsens the score of the endpoint but does not suspend it: it responds, and other endpoints may fail as often.
		e.failureRate += failureWeight * (1 - e.failureRate)
		return
	case Unreachable, Rejected, Broken:
		failed = 1
	case Moved:
		// The entry is out of date; an updated list will follow.
		e.suspendedUntil, e.suspicion = now.Add(maxSuspension), proven
		e.nextTry, e.movedAt = e.suspendedUntil, now
		return
	case Silent, TimedOut:
		failed, why = 1, silent
	}
	e.failureRate += failureWeight * (failed - e.failureRate)
	if failed > 0 && !e.movedAt.IsZero() {
		e.movedAt = now // no sooner than after another one seemed to have the address
	}
	switch {
	case failed == 0 || why == silent && now.Sub(e.lastResponse) < minSuspension:
	case !now.Before(e.suspendedUntil):
		if e.failureRate > maxFailureRate || o == Unreachable || o == TimedOut || e.consecutiveSuspensions > 0 {
			e.suspend(now, 1, why)
		}
	case why == proven:
		e.suspicion = proven
	}
}

// suspend stops new requests to the endpoint for factor times a length that doubles with each consecutive suspension.
func (e *endpointState) suspend(now time.Time, factor float64, why suspicion) {
	e.suspicion, e.movedAt = why, time.Time{}
	d := min(minSuspension<<e.consecutiveSuspensions, maxSuspension)
	e.consecutiveSuspensions = min(e.consecutiveSuspensions+1, maxConsecutiveSuspensions)
	e.suspendedUntil, e.nextTry = now.Add(time.Duration(factor*float64(d))), now.Add(minSuspension)
	e.failureRate = failureRateAfterSuspension
}

// recordPeerOutcome updates the failure rate with an outcome that another instance reported. Instances that suspend an
// endpoint because of such reports probe it at random times, so that most of them learn from the first probe instead of
// sending their own. since is the earliest time of the outcome: a failure does not suspend an endpoint that has responded to
// this instance after it.
func (e *endpointState) recordPeerOutcome(now, since time.Time, failed bool, rng *rand.Rand) {
	if !failed {
		e.failureRate -= failureWeight * e.failureRate
		if e.suspicion == reported {
			e.endSuspension()
		}
		return
	}
	e.failureRate += failureWeight * (1 - e.failureRate)
	if e.lastResponse.After(since) {
		return
	}
	if e.consecutiveSuspensions == 0 && e.failureRate > maxFailureRate || e.suspicion == reported && !now.Before(e.suspendedUntil) {
		e.suspend(now, 1+probeSpread*rng.Float64(), reported)
	}
}
