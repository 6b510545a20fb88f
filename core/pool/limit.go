package pool

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

// Limits is how the number of requests that an endpoint works on at once is bounded.
type Limits int

// Ways to bound it.
const (
	// SlotLimits are the slots that the entry of an endpoint states.
	SlotLimits Limits = iota
	// LearnedLimits are lower for an endpoint that does no more work with more requests, or whose streams would pause for longer
	// than they may. The loads that endpoints state correct those that the instances report.
	LearnedLimits
)

const (
	// minPauseEvents is the number of intervals from which on the longest one counts.
	minPauseEvents = 5
	// maxExploreTime is the longest time for which an endpoint is measured at half of its slots. One in exploreTurns may begin with
	// that at a time, for exploreTurn, while fewer than one of exploreShare is being measured.
	maxExploreTime = 4 * time.Second
	exploreTurn    = time.Second
	exploreTurns   = 8
	exploreShare   = 16
	// usualMemory is the time constant with which the time of requests at all endpoints of a service is forgotten.
	usualMemory = 2 * time.Minute
	// exploreUncertainty and maxMeasurements determine how many requests are measured then.
	exploreUncertainty = 0.2
	maxMeasurements    = 12
	// exploreInterval is the least time between two such measurements of an endpoint.
	exploreInterval = time.Minute
	// maxReportShare is the part of the time of a request up to which the age of reports may be for limits to hold.
	maxReportShare = 0.25
	// limitInterval is the least time between two updates of the limits.
	limitInterval = 20 * time.Millisecond
	// limitLogInterval is the least time between two log lines about the limit of one endpoint.
	limitLogInterval = 5 * time.Second
)

// suspectGrowth is the growth of the time of a request, from that at all endpoints in each band up to half of the slots to that at a full
// endpoint, from which on the full one is measured. The lowest band may hide a knee above it.
var suspectGrowth = [loadBands / 2]float64{0.5, 0.8}

// limitReason is why a limit is as it is.
type limitReason string

const (
	slotsReason    limitReason = "slots"
	kneeReason     limitReason = "more requests do not raise throughput"
	pauseReason    limitReason = "streams would pause for too long"
	baselineReason limitReason = "measured at half of the slots"
	unknownReason  limitReason = "slots, as reports are older than requests last"
)

// Work is how long an endpoint took for a request, beside others.
type Work struct {
	Endpoint core.EndpointID
	Load     int // requests there, including this one
	// Time is the mean time between two events of a stream, or the time of a whole response, at an endpoint with a slowness of 1.
	Time time.Duration
}

// limitState is what is known of how many requests at once an endpoint takes well.
type limitState struct {
	bands [loadBands]band
	knee  knee
	limit int // number of requests that are sent to the endpoint at once; 0 for the slots
	why   limitReason
	// settledAt is the time before which requests were sent that have run beside more or fewer others than later ones do.
	settledAt   time.Time
	exploredAt  time.Time // when the endpoint was last measured at half of its slots
	loggedLimit int
	loggedAt    time.Time
}

// exploring reports whether the endpoint is being measured at half of its slots, until there are as many measurements as needed.
func (l *limitState) exploring(now time.Time, needed float64) bool {
	return now.Sub(l.exploredAt) < maxExploreTime && l.bands[loadBands/2-1].n < needed
}

// measurementsNeeded returns the number of measurements with which the logarithm of a time is known with an uncertainty of
// exploreUncertainty.
func (p *Pool) measurementsNeeded() float64 {
	n := errorMargin * p.workDeviation() / exploreUncertainty
	return min(max(n*n, minBandWeight), maxMeasurements)
}

// recordWork records how long a request of this instance took, for the others too. It runs while the request holds its slot.
func (p *Pool) recordWork(now time.Time, g *Grant) {
	e := g.endpointState
	if p.o.Limits != LearnedLimits {
		return
	}
	first, last := g.RunningAtEndpoint+1, max(e.reportedLoad(), 1)
	if g.statedLoad > 0 {
		first = g.statedLoad
	}
	w := Work{Endpoint: e.ID, Load: (first + last + 1) / 2, Time: now.Sub(g.sent)}
	if g.req.Stream {
		w.Time = time.Duration(g.interval)
	}
	if g.slowness > 0 {
		w.Time = time.Duration(float64(w.Time) / e.stated.meanSince(now, g.statedAt, g.slownessSum))
	}
	if w.Time <= 0 || g.sent.Before(e.limits.settledAt) && w.Load <= e.limits.limit {
		return
	}
	p.addWork(now, e, w)
	if len(p.newWork) < maxReportEntries {
		p.newWork = append(p.newWork, w)
	}
	p.addCentreWork(w)
}

// addWork records how long a request took at an endpoint.
func (p *Pool) addWork(now time.Time, e *endpointState, w Work) {
	i, ok := bandOf(w.Load, e.slots(now))
	if !ok || w.Time <= 0 || p.o.Limits != LearnedLimits {
		return
	}
	logTime := math.Log(float64(w.Time))
	if b := &e.limits.bands[i]; b.fresh(now) {
		d := logTime - b.mean()
		p.workVariance.add(d*d/(1+1/b.n), deviationWeight)
	}
	e.limits.bands[i].add(now, w.Load, logTime)
	p.work[i].add(now, w.Load, logTime)
}

// addCentreWork keeps a measurement for the next report of the data centre.
func (p *Pool) addCentreWork(w Work) {
	if len(p.centreWork) < maxCentreSamples {
		p.centreWork = append(p.centreWork, w)
	}
}

// workDeviation returns the standard deviation of the logarithm of a measured time.
func (p *Pool) workDeviation() float64 {
	if p.workVariance.n < minEndpointSamples {
		return 2 * minDeviation
	}
	return max(math.Sqrt(p.workVariance.value), minDeviation)
}

// updateLimits updates the limits and the loads of all endpoints, if that is due.
func (p *Pool) updateLimits(now time.Time) {
	if p.o.Limits != LearnedLimits || now.Sub(p.limitsUpdated) < limitInterval {
		return
	}
	p.limitsUpdated = now
	span, known := p.reportSpan(), p.loadsKnown()
	p.exploring = 0
	needed := p.measurementsNeeded()
	for _, e := range p.orderedEndpoints {
		if e.limits.exploring(now, needed) {
			p.exploring++
		}
	}
	for _, e := range p.orderedEndpoints {
		e.unknown = e.statedLoad.unknownAt(now, span, e.peerLoad.running)
		p.updateLimit(now, e)
		if !known {
			e.limits.limit, e.limits.why = 0, unknownReason
		}
	}
}

// loadsKnown reports whether the reports of other instances are young enough to show how many requests are at an endpoint. Otherwise a
// limit would leave places empty.
func (p *Pool) loadsKnown() bool {
	return len(p.peers) == 0 || p.peerServiceTime.n < minPeerServiceTimes || p.peerLoadAge.Seconds() < maxReportShare*p.peerServiceTime.value
}

// updateLimit sets the limit of an endpoint: the load up to which more requests raise throughput, and at which its streams do not
// pause for too long.
func (p *Pool) updateLimit(now time.Time, e *endpointState) {
	l, slots := &e.limits, e.slots(now)
	if l.knee.update(now, &l.bands, p.workDeviation()) || e.reportedLoad() > l.limit+slots/loadBands {
		l.settledAt = now
	}
	l.limit, l.why = slots, slotsReason
	if n := l.knee.limit(slots); n < l.limit {
		l.limit, l.why = n, kneeReason
	}
	if n := p.pauseLimit(now, e, slots); n < l.limit {
		l.limit, l.why = n, pauseReason
	}
	if n := bandEnd(loadBands/2-1, slots); n < l.limit && p.explore(now, e) {
		l.limit, l.why = n, baselineReason
	}
	p.logLimit(now, e, slots)
}

// pauseLimit returns the highest load at which the streams of an endpoint are not expected to pause for longer than their requests
// allow. If no load prevents that, a limit would only cost throughput.
func (p *Pool) pauseLimit(now time.Time, e *endpointState, slots int) int {
	if p.gapObjective.n == 0 || p.pauseRatio.n < minEndpointSamples || e.stated.mean.n == 0 {
		return slots
	}
	slowness, limit := e.stated.value(now), slots
	for i := loadBands - 1; i >= 0; i-- {
		b := &p.work[i]
		if b.weight(now, usualMemory) < minBandWeight {
			continue
		}
		if p.pauseRatio.value*slowness*math.Exp(b.mean()) <= p.gapObjective.value {
			return limit
		}
		if i > 0 {
			limit = bandEnd(i-1, slots)
		}
	}
	return slots
}

// explore reports whether an endpoint is to be measured at half of its slots: if it is nearly full, has rarely been seen at that load, and
// takes so long that more requests at once may not raise its throughput. That lasts until a few requests have ended.
func (p *Pool) explore(now time.Time, e *endpointState) bool {
	l := &e.limits
	needed := p.measurementsNeeded()
	if l.exploring(now, needed) {
		return true
	}
	if l.bands[loadBands/2-1].weight(now, baselineMemory) >= needed || now.Sub(l.exploredAt) < exploreInterval || !l.bands[loadBands-1].fresh(now) {
		return false
	}
	for i, suspect := range suspectGrowth {
		if usual := &p.work[i]; usual.weight(now, usualMemory) >= needed/2 && growth(usual, &l.bands[loadBands-1], 0) < suspect {
			return false
		}
	}
	turn := uint64(now.UnixNano() / int64(exploreTurn))
	if p.exploring*exploreShare > len(p.orderedEndpoints) || (xxhash.Sum64String(string(e.ID))+turn)%exploreTurns != 0 {
		return false
	}
	p.exploring++
	l.exploredAt, l.bands[loadBands/2-1] = now, band{}
	return true
}

// logLimit logs a limit that has changed by a quarter of the slots or more.
func (p *Pool) logLimit(now time.Time, e *endpointState, slots int) {
	l := &e.limits
	if l.loggedLimit == 0 {
		l.loggedLimit = slots
	}
	if d := l.limit - l.loggedLimit; max(d, -d)*loadBands < slots || now.Sub(l.loggedAt) < limitLogInterval {
		return
	}
	p.o.Log.Info("endpoint limit", "endpoint", e.ID, "limit", l.limit, "before", l.loggedLimit, "slots", slots, "why", l.why,
		"speed", fmt.Sprintf("%.2f", e.speed(now)), "known", e.totalRunning())
	l.loggedLimit, l.loggedAt = l.limit, now
}

// EndpointStatus is what an instance believes about the load of an endpoint.
type EndpointStatus struct {
	Endpoint
	Limit int     // requests that are sent there at once
	Why   string  // what determines the limit
	Known int     // requests there, of all instances
	Speed float64 // relative to the usual one
	// Stated is the load that the endpoint last stated, StatedAge ago; zero if none is known.
	Stated    StatedLoad
	StatedAge time.Duration
}

// Status returns what is believed about each endpoint, by id.
func (p *Pool) Status(now time.Time) []EndpointStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateLimits(now)
	list := make([]EndpointStatus, 0, len(p.orderedEndpoints))
	for _, e := range p.orderedEndpoints {
		s := EndpointStatus{Endpoint: e.Endpoint, Limit: e.capacity(), Why: string(slotsReason), Known: e.totalRunning(), Speed: e.speed(now)}
		if e.limits.why != "" {
			s.Why = string(e.limits.why)
		}
		if l := &e.statedLoad; !l.at.IsZero() {
			s.Stated, s.StatedAge = l.StatedLoad, now.Sub(l.at)
		}
		list = append(list, s)
	}
	return list
}
