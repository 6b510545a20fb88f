package caller

import (
	"time"

	"monsoondale/core"
	"monsoondale/core/dispatch"
)

// Labels classify a counted request.
type Labels struct {
	Workspace  core.WorkspaceID
	Tier       core.Tier
	Kind       core.KindID
	AtMostOnce bool // not idempotent
}

// Outcome tells how an accepted request ended.
type Outcome int

// The outcomes of accepted requests; each request has exactly one.
const (
	OutcomeInTime  Outcome = iota // answered in time
	OutcomeLate                   // answered after its deadline
	OutcomeRefused                // not run
	OutcomeFailed
	OutcomeUnknown
)

// String returns a readable name.
func (o Outcome) String() string {
	return [...]string{"answered in time", "answered late", "refused", "failed", "unknown"}[o]
}

// Summary describes an accepted request that has ended.
type Summary struct {
	Outcome  Outcome
	Code     core.Code // 0 if answered
	Replayed bool      // answered with the recorded result of an earlier request
	Stats    dispatch.Stats
	Duration time.Duration // from receiving the request to the last byte of the answer
}

// Recorder counts requests. Its methods must be safe for concurrent use and must not block.
type Recorder interface {
	// Rejected counts a request that ended before it was accepted.
	Rejected(c core.Code)
	// Accepted counts a request of a known workspace and kind. The returned function is called once, when it ends.
	Accepted(l Labels) (done func(Summary))
}

type nopRecorder struct{}

func (nopRecorder) Rejected(core.Code)            {}
func (nopRecorder) Accepted(Labels) func(Summary) { return func(Summary) {} }

// summarize derives the summary of a request from its dispatch outcome.
func summarize(out dispatch.Outcome, took time.Duration) Summary {
	s := Summary{Stats: out.Stats, Duration: took, Replayed: out.Replay != nil}
	if !out.Failed() {
		if out.Stats.Late {
			s.Outcome = OutcomeLate
		}
		return s
	}
	s.Code = out.Failure.Err().Code
	switch s.Code.Class() {
	case core.ClassNotRun:
		s.Outcome = OutcomeRefused
	case core.ClassFailed:
		s.Outcome = OutcomeFailed
	default:
		s.Outcome = OutcomeUnknown
	}
	return s
}
