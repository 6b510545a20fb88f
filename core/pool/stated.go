package pool

import (
	"math"
	"time"
)

const (
	// slownessValidity is how long the slowness that an endpoint states counts by itself. It may change several times a second;
	// later, the mean of what was stated counts.
	slownessValidity = 500 * time.Millisecond
	// slownessWeight is the weight of the newest value in that mean.
	slownessWeight = 0.1
	// maxStatedAge is how long the slots that an endpoint states count if they are more than those of its entry.
	maxStatedAge = 500 * time.Millisecond
	// minReportSpan and maxReportSpan bound the result of reportSpan.
	minReportSpan, maxReportSpan = 100 * time.Millisecond, time.Second
	// toldGain is the part of the difference between the stated and the known load that counts if another instance tells the stated one,
	// which is older.
	toldGain = 0.5
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
	sum    float64 // of the value over time until at, in seconds
	mean   average
}

// record records a value that was stated at a time; 0 is none. A report may bring an older one than the newest.
func (s *slowness) record(at time.Time, v float64) {
	if v <= 0 {
		return
	}
	if !at.Before(s.at) {
		s.sum = s.until(at)
		s.newest, s.at = v, at
	}
	s.mean.add(v, slownessWeight)
}

// until returns the sum of the value over time until a time, in seconds.
func (s *slowness) until(t time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.sum + s.newest*t.Sub(s.at).Seconds()
}

// meanSince returns the mean value since a time until which the sum was as given.
func (s *slowness) meanSince(now, since time.Time, sum float64) float64 {
	if d := now.Sub(since).Seconds(); d > 0 {
		return (s.until(now) - sum) / d
	}
	return s.newest
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

// statedLoad is the newest load that an endpoint has stated.
type statedLoad struct {
	StatedLoad
	at      time.Time // when this instance learned of it
	unknown float64   // requests there that the reports did not show or, below 0, of those in reports that had ended
}

// record compares a stated load with the known one. gain is the part of the difference that counts.
func (s *statedLoad) record(now time.Time, l StatedLoad, known int, gain float64) {
	*s = statedLoad{StatedLoad: l, at: now, unknown: gain * float64(l.Running+l.Waiting-known)}
}

// unknownAt returns how many more requests there are than the reports show. Newer reports show them; span is the time in which all of
// them arrive.
func (s *statedLoad) unknownAt(now time.Time, span time.Duration, reported int) int {
	left := 1 - now.Sub(s.at).Seconds()/span.Seconds()
	if s.at.IsZero() || left <= 0 {
		return 0
	}
	return max(int(math.Round(left*s.unknown)), -reported)
}

// reportSpan returns the time in which new reports of all instances arrive.
func (p *Pool) reportSpan() time.Duration {
	return min(max(2*p.peerLoadAge, minReportSpan), maxReportSpan)
}

// RecordLoad records the load that the endpoint of a grant has stated, and returns the number of requests that this instance
// knew of.
func (p *Pool) RecordLoad(now time.Time, g *Grant, l StatedLoad) (known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.slowness, g.statedAt = l.Slowness, now
	e := g.endpointState
	e.stated.record(now, l.Slowness)
	g.slownessSum = e.stated.until(now)
	known = e.reportedLoad()
	if l.Running+l.Waiting > 0 {
		g.statedLoad = l.Running + l.Waiting
		e.statedLoad.record(now, l, known, 1)
	}
	return known
}
