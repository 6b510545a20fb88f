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
		ending caller.Ending
		order  report.OrderOutcome
		reason report.WasteReason
	}{
		{"answered", caller.Ending{Final: caller.FinalInTime}, report.OrderNone, report.WasteNone},
		{"order", caller.Ending{Final: caller.FinalLate, Stats: claimed}, report.OrderDone, report.WasteNone},
		{"order refused after its claim", caller.Ending{Final: caller.FinalRefused, Code: core.CodeOverloaded, Stats: claimed}, report.OrderVoid, report.WasteNone},
		{"order refused before its claim", caller.Ending{Final: caller.FinalRefused, Code: core.CodeStoreDown}, report.OrderNone, report.WasteNone},
		{"order failed", caller.Ending{Final: caller.FinalFailed, Code: core.CodeEngineError, Stats: claimed}, report.OrderFailed, report.WasteNone},
		{"order unknown", caller.Ending{Final: caller.FinalUnknown, Code: core.CodeOutcomeUnknown, Stats: claimed}, report.OrderUnknown, report.WasteNone},
		{"repeat of a recorded order", caller.Ending{Final: caller.FinalInTime, Replayed: true}, report.OrderNone, report.WasteNone},
		{"repeat of a lost order", caller.Ending{Final: caller.FinalUnknown, Code: core.CodeHolderLost}, report.OrderNone, report.WasteNone},
		{"cancelled", caller.Ending{Final: caller.FinalFailed, Code: core.CodeCancelled, Stats: dispatch.Stats{Wasted: 1, ResumeFailed: true}}, report.OrderNone, report.WasteCancelled},
		{"not continued", caller.Ending{Final: caller.FinalFailed, Code: core.CodeTruncated, Stats: dispatch.Stats{Wasted: 1, ResumeFailed: true}}, report.OrderNone, report.WasteSuspended},
		{"late", caller.Ending{Final: caller.FinalFailed, Code: core.CodeLateAfterStart, Stats: dispatch.Stats{Wasted: 1}}, report.OrderNone, report.WasteLate},
		{"broken", caller.Ending{Final: caller.FinalFailed, Code: core.CodeTruncated, Stats: dispatch.Stats{Wasted: 1}}, report.OrderNone, report.WasteFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := figuresOf(c.ending)
			g.Expect(f.Order).To(Equal(c.order))
			g.Expect(f.WasteReason).To(Equal(c.reason))
		})
	}
}
