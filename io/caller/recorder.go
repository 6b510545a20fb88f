package caller

import (
	"time"

	"monsoondale/core"
	"monsoondale/core/dispatch"
)

// Labels say whose request is counted.
type Labels struct {
	Workspace  core.WorkspaceID
	Tier       core.Tier
	Kind       core.KindID
	AtMostOnce bool // non-idempotent
}

// Outcome is how an accepted request ended.
type Outcome int

// The ends of accepted requests; each request has exactly one.
const (
	OutcomeInTime  Outcome = iota // answered in time
	OutcomeLate                   // answered after its deadline
	OutcomeRefused                // not run
	OutcomeFailed
	OutcomeUnknown
)

// String returns the name used in counters.
func (o Outcome) String() string {
	return [...]string{"answered in time", "answered late", "refused", "failed", "unknown"}[o]
}

// Summary is the end of an accepted request.
type Summary struct {
	Outcome  Outcome
	Code     core.Code // 0 if answered
	Replayed bool      // answered with the recorded result of an earlier request
	Stats    dispatch.Stats
	Duration time.Duration // from receipt to the last byte of the answer
}

// Recorder counts requests. Its methods are called from many goroutines and must not block.
type Recorder interface {
	// Rejected counts a request that ended before it was accepted.
	Rejected(c core.Code)
	// Accepted counts a request of a known workspace and kind. The returned function is called once, at its end.
	Accepted(l Labels) (ended func(Summary))
}

type nopRecorder struct{}

func (nopRecorder) Rejected(core.Code)            {}
func (nopRecorder) Accepted(Labels) func(Summary) { return func(Summary) {} }

// summarize returns the end that an outcome stands for.
func summarize(out dispatch.Outcome, took time.Duration) Summary {
	e := Summary{Stats: out.Stats, Duration: took, Replayed: out.Replay != nil}
	if !out.Failed() {
		if out.Stats.Late {
			e.Outcome = OutcomeLate
		}
		return e
	}
	e.Code = out.Failure.Err().Code
	switch e.Code.Class() {
	case core.ClassNotRun:
		e.Outcome = OutcomeRefused
	case core.ClassFailed:
		e.Outcome = OutcomeFailed
	default:
		e.Outcome = OutcomeUnknown
	}
	return e
}
