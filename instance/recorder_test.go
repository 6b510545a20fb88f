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
func TestRequestStats(t *testing.T) {
	claimed := dispatch.Stats{Claimed: true}
	for _, c := range []struct {
		name   string
		ending caller.Summary
		order  report.OrderOutcome
		reason report.WasteReason
	}{
		{"answered", caller.Summary{Outcome: caller.OutcomeInTime}, report.OrderNone, report.WasteNone},
		{"order", caller.Summary{Outcome: caller.OutcomeLate, Stats: claimed}, report.OrderDone, report.WasteNone},
		{"order refused after its claim", caller.Summary{Outcome: caller.OutcomeRefused, Code: core.CodeOverloaded, Stats: claimed}, report.OrderVoid, report.WasteNone},
		{"order refused before its claim", caller.Summary{Outcome: caller.OutcomeRefused, Code: core.CodeStoreDown}, report.OrderNone, report.WasteNone},
		{"order failed", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeEngineError, Stats: claimed}, report.OrderFailed, report.WasteNone},
		{"order unknown", caller.Summary{Outcome: caller.OutcomeUnknown, Code: core.CodeOutcomeUnknown, Stats: claimed}, report.OrderUnknown, report.WasteNone},
		{"repeat of a recorded order", caller.Summary{Outcome: caller.OutcomeInTime, Replayed: true}, report.OrderNone, report.WasteNone},
		{"repeat of a lost order", caller.Summary{Outcome: caller.OutcomeUnknown, Code: core.CodeHolderLost}, report.OrderNone, report.WasteNone},
		{"cancelled", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeCancelled, Stats: dispatch.Stats{Wasted: 1, ResumeFailed: true}}, report.OrderNone, report.WasteCancelled},
		{"not continued", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeTruncated, Stats: dispatch.Stats{Wasted: 1, ResumeFailed: true}}, report.OrderNone, report.WasteSuspended},
		{"late", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeLateAfterStart, Stats: dispatch.Stats{Wasted: 1}}, report.OrderNone, report.WasteLate},
		{"broken", caller.Summary{Outcome: caller.OutcomeFailed, Code: core.CodeTruncated, Stats: dispatch.Stats{Wasted: 1}}, report.OrderNone, report.WasteFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			stats := requestStatsOf(c.ending)
			g.Expect(stats.Order).To(Equal(c.order))
			g.Expect(stats.WasteReason).To(Equal(c.reason))
		})
	}
}
