// Package handover decides which endpoint serves a request while its endpoint, the first one, is silent and another one, the
// standby, works on it too. A silent endpoint may be sound and continue, and a standby may fail. So the first endpoint keeps the
// request until the standby has responded, until the first endpoint has failed, or until it has been silent for longer than a
// sound endpoint is.
package handover

import "time"

const (
	// OverlapBound is how long the platform allows two model engines to work on a request.
	OverlapBound = 400 * time.Millisecond
	// MaxOverlap is the longest time for which two model engines are let work on a request, and minOverlap the shortest that is of
	// use.
	MaxOverlap = 250 * time.Millisecond
	minOverlap = 100 * time.Millisecond
	// cancelTime is the time until an endpoint has learned that its request was cancelled.
	cancelTime = 50 * time.Millisecond
	// MaxSilence is the longest silence of a sound endpoint.
	MaxSilence = 2 * time.Second
)

// phase is who works on the request and who serves it.
type phase int

const (
	alone   phase = iota // the first endpoint works on the request and serves it
	proving              // a standby works on it too, and the first endpoint serves it
	taken                // the standby serves it, and no other one may start
	closed               // the first endpoint's attempt has ended without a standby to serve the request
)

// Standby numbers the standbys of a request from 1 on.
type Standby int

// Progress counts the parts of the response that the first endpoint has sent.
type Progress int

// Event is something that may change who serves the request.
type Event interface{ event() }

type (
	// Started means that a standby is about to be sent the request, to continue the response after a part.
	Started struct{ After Progress }
	// Progressed means that the first endpoint has sent another part of the response, or its end.
	Progressed struct{}
	// Proved means that a standby has responded.
	Proved struct{ Standby Standby }
	// Failed means that a standby has ended without having responded.
	Failed struct{ Standby Standby }
	// OverlapEnded means that a standby may work beside the first endpoint no longer. Silence is how long the first endpoint has been silent.
	OverlapEnded struct {
		Standby Standby
		Silence time.Duration
	}
	// FirstFailed means that the first endpoint does not serve the request any more, and that another one may.
	FirstFailed struct{}
	// Ended means that no other endpoint is to serve the request.
	Ended struct{}
)

func (Started) event()      {}
func (Progressed) event()   {}
func (Proved) event()       {}
func (Failed) event()       {}
func (OverlapEnded) event() {}
func (FirstFailed) event()  {}
func (Ended) event()        {}

// Action is what follows from an event.
type Action int

// Actions.
const (
	// Nothing is to be done.
	Nothing Action = iota
	// Refuse means that the event comes too late and must have no effect: the standby must not start, or the part of the
	// response must not be relayed.
	Refuse
	// CancelStandby ends the work of the current standby.
	CancelStandby
	// CancelFirst ends the work of the first endpoint, as the current standby serves the request.
	CancelFirst
)

// Machine is the state of one request at one first endpoint. Its zero value is ready for use. It is not safe for concurrent use.
type Machine struct {
	phase    phase
	current  Standby // that is proving or has taken the request
	started  Standby // the last one
	progress Progress
}

// Progress returns the number of parts that the first endpoint has sent.
func (m *Machine) Progress() Progress { return m.progress }

// Started returns the number of the standby that was started last, or 0.
func (m *Machine) Started() Standby { return m.started }

// Taken reports whether a standby serves the request.
func (m *Machine) Taken() bool { return m.phase == taken }

// Has reports whether a standby serves the request, or may get it.
func (m *Machine) Has(b Standby) bool {
	return (m.phase == proving || m.phase == taken) && m.current == b
}

// Step changes the state according to an event.
func (m *Machine) Step(e Event) Action {
	switch e := e.(type) {
	case Started:
		if m.phase != alone || e.After != m.progress {
			return Refuse
		}
		m.started++
		m.phase, m.current = proving, m.started
	case Progressed:
		switch m.phase {
		case taken:
			return Refuse
		case proving:
			m.phase = alone
			m.progress++
			return CancelStandby
		}
		m.progress++
	case Proved:
		if m.phase == proving && m.current == e.Standby {
			m.phase = taken
			return CancelFirst
		}
	case Failed:
		if m.phase == proving && m.current == e.Standby {
			m.phase = alone
		}
	case OverlapEnded:
		if m.phase != proving || m.current != e.Standby {
			break
		}
		if e.Silence >= MaxSilence {
			m.phase = taken
			return CancelFirst
		}
		m.phase = alone
		return CancelStandby
	case FirstFailed:
		switch m.phase {
		case proving:
			m.phase = taken
		case alone:
			m.phase = closed
		}
	case Ended:
		last := m.phase
		m.phase = closed
		if last == proving || last == taken {
			return CancelStandby
		}
	}
	return Nothing
}

// Overlap returns for how long two model engines may work on a request; 0 if they may not. lateness is the longest recent delay of this
// process, which may be delayed again, and for longer, when the overlap is to end.
func Overlap(lateness time.Duration) time.Duration {
	d := OverlapBound - cancelTime - 2*lateness
	if d < minOverlap {
		return 0
	}
	return min(d, MaxOverlap)
}

// Candidate describes a standby that could be started.
type Candidate struct {
	Latency time.Duration // expected until it responds
	Limited bool          // it may work beside the first endpoint for Overlap only
	Overlap time.Duration // if Limited; with 0, the first endpoint's work ends before
	MayTake bool          // it may get the request at the end of the overlap although it has not responded
	Tried   bool          // it has not responded within an earlier overlap
}

// MayStart reports whether it is of use to start a standby when the first endpoint has been silent for a time and another time is
// left until the caller leaves. It must be expected to respond in that time, and either within the overlap, or when the first
// endpoint has been silent for too long to be sound. One that can't get the request without a response is tried once.
func (c Candidate) MayStart(silence, left time.Duration) bool {
	if c.Latency >= left {
		return false
	}
	late := UntilLate(silence, c.Overlap) <= 0
	return !c.Limited || late && c.MayTake || !c.Tried && c.Overlap > 0 && (late || c.Latency < c.Overlap)
}

// UntilLate returns how long the first endpoint, which has been silent for a time, must stay silent until it is no longer sound when the
// overlap with a standby that then starts has ended; 0 or less if that is so already.
func UntilLate(silence, overlap time.Duration) time.Duration { return MaxSilence - overlap - silence }
