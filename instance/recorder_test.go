package instance

import (
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/core/report"
	"monsoondale/io/caller"
)

// Guards against order keys that are counted although the request claimed none, or not counted although it did, and
// against wasted tokens that are counted under a wrong reason.
func TestFigures(t *testing.T) {
	claimed := dispatch.Stats{Claimed: true}
	for _, c := range []struct {
		name   string
		ending caller.Summary
		order  report.OrderOutcome
		reason report.Reason
	}{
		{"answered", caller.Summary{Outcome: caller.OutcomeInTime}, report.OrderNone, report.ThrownNone},
		{"order", caller.Summary{Outcome: caller.OutcomeLate, Stats: claimed}, report.OrderDone, report.ThrownNone},
		{"order refused after its claim", caller.Summary{Outcome: caller.OutcomeRefused, Code: core.CodeOverloaded, Stats: claimed}, report.OrderVoid, report.ThrownNone},
		{"order refused before its claim", caller.Summary{Outcome: caller.OutcomeRefused, Code: core.CodeStoreDown}, report.OrderNone, report.ThrownNone},
		{"order failed", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeEngineError, Stats: claimed}, report.OrderFailed, report.ThrownNone},
		{"order unknown", caller.Summary{Outcome: caller.OutcomeUnknown, Code: core.CodeOutcomeUnknown, Stats: claimed}, report.OrderUnknown, report.ThrownNone},
		{"repeat of a recorded order", caller.Summary{Outcome: caller.OutcomeInTime, Replayed: true}, report.OrderNone, report.ThrownNone},
		{"repeat of a lost order", caller.Summary{Outcome: caller.OutcomeUnknown, Code: core.CodeHolderLost}, report.OrderNone, report.ThrownNone},
		{"cancelled", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeCancelled, Stats: dispatch.Stats{Wasted: 1, ResumeFailed: true}}, report.OrderNone, report.ThrownCancelled},
		{"not continued", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeTruncated, Stats: dispatch.Stats{Wasted: 1, ResumeFailed: true}}, report.OrderNone, report.ThrownSuspended},
		{"late", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeLateAfterStart, Stats: dispatch.Stats{Wasted: 1}}, report.OrderNone, report.ThrownLate},
		{"broken", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeTruncated, Stats: dispatch.Stats{Wasted: 1}}, report.OrderNone, report.ThrownFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := figuresOf(c.ending)
			g.Expect(f.Order).To(Equal(c.order))
			g.Expect(f.Reason).To(Equal(c.reason))
		})
	}
}
