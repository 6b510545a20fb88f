package check

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core"
)

// Guards against time-based rules that miss a violation or report one in a correct run.
func TestHistoryVerify(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	shedAnswer := func(begin, end float64) Answer {
		a := failedAnswer("a", core.CodeOverloaded)
		a.Start, a.Duration = at(begin), at(end).Sub(at(begin))
		return a
	}
	execution := func(tier int, from, to float64) Execution {
		s := Execution{Endpoint: "e", Pool: "p", Request: "b", Tier: tier, From: at(from)}
		if to > 0 {
			s.To = at(to)
		}
		return s
	}
	for _, tc := range []struct {
		name    string
		history History
		want    []Rule
	}{
		{"shed while a lower tier runs", History{Answers: []Answer{shedAnswer(1, 2)}, Executions: []Execution{execution(3, 0, 0)}}, []Rule{RuleTier}},
		{"shed while lower tiers follow each other", History{Answers: []Answer{shedAnswer(1, 2)}, Executions: []Execution{execution(3, 0, 1.9), execution(2, 1.85, 3)}}, []Rule{RuleTier}},
		{"shed after the lower tier was suspended", History{Answers: []Answer{shedAnswer(1, 2)}, Executions: []Execution{execution(3, 0, 1.9)}}, nil},
		{"shed before the lower tier was continued", History{Answers: []Answer{shedAnswer(1, 2)}, Executions: []Execution{execution(3, 1.9, 0)}}, nil},
		{"shed while the same tier runs", History{Answers: []Answer{shedAnswer(1, 2)}, Executions: []Execution{execution(1, 0, 0)}}, nil},
		{"no endpoint while a lower tier runs", History{Answers: []Answer{failedAnswer("a", core.CodeNoEndpoint)}, Executions: []Execution{execution(3, 0, 0)}}, nil},
		{"late work for a leaving endpoint", History{Leaving: []Leaving{{"e", at(1)}}, Executions: []Execution{execution(1, 4.1, 5)}}, []Rule{RuleLeaving}},
		{"work for a leaving endpoint in time", History{Leaving: []Leaving{{"e", at(1)}}, Executions: []Execution{execution(1, 3.9, 5)}}, nil},
		{"interrupted by a shutdown", History{Drains: []Drain{{Instance: "i", Answers: []Answer{{Request: "a", Status: 200}}}}}, []Rule{RuleDrain}},
		{"refused by a shutdown", History{Drains: []Drain{{Instance: "i", Answers: []Answer{failedAnswer("a", core.CodeShuttingDown)}}}}, nil},
		{"reverted", History{Observed: []ObservedVersion{{"i", at(1), 2}, {"i", at(2), 1}}}, []Rule{RuleRevert}},
		{"versions of two instances", History{Observed: []ObservedVersion{{"i", at(1), 2}, {"j", at(2), 1}}}, nil},
		{"not in force", History{Accepted: []AcceptedVersion{{at(1), 2}}, Observed: []ObservedVersion{{"i", at(2), 2}, {"j", at(15), 2}}, End: at(20)}, []Rule{RuleInForce}},
		{"in force in time", History{Accepted: []AcceptedVersion{{at(1), 2}}, Observed: []ObservedVersion{{"i", at(2), 2}, {"j", at(13), 3}}, End: at(20)}, nil},
		{"killed before the version was due", History{
			Accepted: []AcceptedVersion{{at(1), 2}}, Observed: []ObservedVersion{{"i", at(2), 2}, {"j", at(1), 1}}, Killed: map[string]time.Time{"j": at(3)}, End: at(20),
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tc.history.TierOf = func(Answer) (int, string) { return 1, "p" }
			g.Expect(lo.Map(tc.history.Verify(), func(f Violation, _ int) Rule { return f.Rule })).To(ConsistOf(lo.ToAnySlice(tc.want)...))
		})
	}
}
