package faults

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/samber/lo"

	"monsoondale/internal/check"
	"monsoondale/internal/testhook"
)

// guards lists a safeguard for each invariant, and the cell that detects its absence.
var guards = []struct {
	name                  string
	disabled              *atomic.Bool
	rule                  check.Rule
	workload, step, fault string
}{
	{"a broken stream is resumed, never dispatched again", &testhook.RedispatchBrokenStreams, check.RuleDispatch, "chat", "mid-stream", "break holder and endpoint"},
	{"shedding waits for the confirmation of all candidates", &testhook.ShedUnconfirmed, check.RuleTier, "flood", "flood begins", "instance list down"},
	{"a stream without end mark is not complete", &testhook.AcceptTruncated, check.RuleTruncated, "chat", "sent", "stream ends early"},
	{"chunks must name their request", &testhook.AcceptForeignChunks, check.RuleMixed, "chat", "sent", "stream names another request"},
	{"only a failed dial proves that nothing was sent", &testhook.TreatErrorsAsNotSent, check.RuleNotRun, "order", "sent", "answer of endpoint lost"},
	{"a claim without an answer is read back", &testhook.SkipClaimReadBack, check.RuleOrder, "order", "accepted", "object API writes lost"},
	{"owners grant nothing on leaving endpoints", &testhook.GrantOnLeaving, check.RuleLeaving, "chat", "mid-stream", "endpoint leaves"},
	{"shutdown waits for running requests", &testhook.SkipDrain, check.RuleDrain, "drain", "running", "instance list down"},
	{"a watch's answer replaces lower versions only", &testhook.AcceptOlderVersions, check.RuleRevert, "change", "change written", "watch answers late"},
}

// TestGuards guards against a checker that finds nothing: without a safeguard it must find the violation of the
// invariant, and with the safeguard none. The switches apply to the whole process, so the cells run one at a time.
func TestGuards(t *testing.T) {
	rows := []string{"| guard removed | invariant broken | cell that caught it | findings |", "|---|---|---|---|"}
	for _, g := range guards {
		f, _ := lo.Find(faults, func(f fault) bool { return f.name == g.fault })
		c := cell{workload: g.workload, step: g.step, faults: []fault{f}}
		countViolations := func(x result) int {
			return lo.CountBy(x.violations, func(f check.Violation) bool { return f.Rule == g.rule })
		}
		t.Run(c.name()+"/"+string(g.rule)[:2], func(t *testing.T) {
			g.disabled.Store(true)
			without := c.run(t)
			g.disabled.Store(false)
			with := c.run(t)
			if countViolations(without) == 0 {
				t.Errorf("%s: no violation without the safeguard; violations of all rules %v, outcome %s", g.rule, without.violations, without.outcome)
			}
			if len(with.violations) > 0 || len(with.problems) > 0 {
				t.Errorf("violations and problems with the safeguard: %v %v", with.violations, with.problems)
			}
			rows = append(rows, fmt.Sprintf("| %s | %s | %s | %d |", g.name, g.rule, c.name(), countViolations(without)))
		})
	}
	page.add(t, "Guards", strings.Join(rows, "\n")+"\n")
}
