package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"monsoondale/core"
)

// The rules that History.Verify checks in addition to those of Verify.
const (
	RuleTier    Rule = "P2 nothing is shed while lower tiers are served"
	RuleLeaving Rule = "P6 leaving endpoints get nothing new"
	RuleDrain   Rule = "P7 shutdown interrupts nothing"
	RuleInForce Rule = "P8 accepted configurations are in force in time"
	RuleRevert  Rule = "P8 configurations never revert"
)

// Time bounds that docs/design.md, section 1, states.
const (
	LeavingBound = 3 * time.Second
	InForceBound = 13 * time.Second
)

// Execution is the period in which an endpoint executed a request, as recorded at the endpoint.
type Execution struct {
	Endpoint, Pool, Request string
	Tier                    int
	From, To                time.Time // To is zero if the request was still running at the end of the run
	Resumed                 bool      // continues an earlier dispatch
}

// Leaving records when the platform first listed an endpoint as leaving.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// Drain records the graceful shutdown of an instance. Answers belong to the requests that it held when the drain began.
type Drain struct {
	Instance string
	Answers  []Answer
	Err      error
}

// ObservedVersion is the configuration version that a caller observed at an instance.
type ObservedVersion struct {
	Instance string
	At       time.Time
	Version  int
}

// AcceptedVersion is a configuration version that was acknowledged to an operator.
type AcceptedVersion struct {
	At      time.Time
	Version int
}

// History holds everything that was observed of a run from outside the instances.
type History struct {
	Answers    []Answer
	Logs       []Log
	Executions []Execution
	Leaving    []Leaving
	Drains     []Drain
	Observed   []ObservedVersion
	Accepted   []AcceptedVersion
	Killed     map[string]time.Time // when instances were killed; a killed instance takes over no further version
	// TierOf returns the tier and pool of an answer's request.
	TierOf func(Answer) (tier int, pool string)
	// NetworkDelay is the longest time an answer may spend on the network; default 200 ms.
	NetworkDelay time.Duration
	End          time.Time
}

// Verify checks all rules, those of the function Verify included, and returns the violations in sorted order.
func (h *History) Verify() []Violation {
	out := Verify(h.Answers, h.Logs)
	report := func(rule Rule, subject, format string, args ...any) {
		out = append(out, Violation{rule, subject, fmt.Sprintf(format, args...)})
	}
	h.checkTiers(report)
	for _, l := range h.Leaving {
		for _, s := range h.Executions {
			if late := s.From.Sub(l.At); s.Endpoint == l.Endpoint && !s.Resumed && late > LeavingBound {
				report(RuleLeaving, s.Request, "dispatched to %s %v after it began to leave", l.Endpoint, late)
			}
		}
	}
	for _, d := range h.Drains {
		if d.Err != nil {
			report(RuleDrain, d.Instance, "shutdown failed: %v", d.Err)
		}
		for _, a := range d.Answers {
			if !a.Complete() && !a.NotRun() && !a.HungUp {
				report(RuleDrain, d.Instance, "request %s was interrupted: %+v %v", a.Request, a.Error, a.Err)
			}
		}
	}
	h.checkConfiguration(report)
	slices.SortFunc(out, func(x, y Violation) int { return strings.Compare(x.String(), y.String()) })
	return out
}

// checkTiers reports requests that were shed although their pool served a lower tier during the whole period in which
// the decision can have been made.
func (h *History) checkTiers(report func(Rule, string, string, ...any)) {
	maxDelay := h.NetworkDelay
	if maxDelay == 0 {
		maxDelay = 200 * time.Millisecond
	}
	for _, a := range h.Answers {
		if a.Error == nil || a.Error.Code != core.CodeOverloaded && a.Error.Code != core.CodeDeadline {
			continue
		}
		tier, pool := h.TierOf(a)
		to := a.Start.Add(a.Duration)
		from := to.Add(-min(a.Duration, maxDelay))
		var lowerTiers []Execution
		for _, s := range h.Executions {
			if s.Pool == pool && s.Tier > tier && s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
				lowerTiers = append(lowerTiers, s)
			}
		}
		slices.SortFunc(lowerTiers, func(x, y Execution) int { return x.From.Compare(y.From) })
		coveredUntil := from
		for _, s := range lowerTiers {
			if s.From.After(coveredUntil) {
				break
			}
			if s.To.IsZero() {
				coveredUntil = to
			} else if s.To.After(coveredUntil) {
				coveredUntil = s.To
			}
		}
		if len(lowerTiers) > 0 && !coveredUntil.Before(to) {
			report(RuleTier, a.Request, "tier %d refused with %d while %s served tier %d", tier, a.Error.Code, lowerTiers[0].Endpoint, lowerTiers[0].Tier)
		}
	}
}

// checkConfiguration checks that the version at each instance never decreases, and that each accepted version is in
// force in time.
func (h *History) checkConfiguration(report func(Rule, string, string, ...any)) {
	observed := map[string][]ObservedVersion{}
	for _, s := range h.Observed {
		if versions := observed[s.Instance]; len(versions) > 0 && s.Version < versions[len(versions)-1].Version {
			report(RuleRevert, s.Instance, "version %d after %d", s.Version, versions[len(versions)-1].Version)
		}
		observed[s.Instance] = append(observed[s.Instance], s)
	}
	for _, c := range h.Accepted {
		due := c.At.Add(InForceBound)
		if due.After(h.End) {
			continue
		}
		for name, versions := range observed {
			if killedAt, ok := h.Killed[name]; ok && killedAt.Before(due) {
				continue
			}
			if !slices.ContainsFunc(versions, func(s ObservedVersion) bool { return s.Version >= c.Version && !s.At.After(due) }) {
				report(RuleInForce, name, "version %d is not in force after %v", c.Version, InForceBound)
			}
		}
	}
}
