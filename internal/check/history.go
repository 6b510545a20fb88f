package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"monsoondale/core"
)

// The rules that Record.Judge adds to those of Judge.
const (
	RuleTier    Rule = "P2 nothing is shed while lower tiers are served"
	RuleLeaving Rule = "P6 leaving endpoints get nothing new"
	RuleDrain   Rule = "P7 shutdown interrupts nothing"
	RuleInForce Rule = "P8 accepted configurations are in force in time"
	RuleRevert  Rule = "P8 configurations never revert"
)

// Bounds of docs/design.md, section 1.
const (
	LeavingBound = 3 * time.Second
	InForceBound = 13 * time.Second
)

// Execution is a time in which an endpoint worked for a request, by the account of the endpoint.
type Execution struct {
	Endpoint, Pool, Request string
	Tier                    int
	From, To                time.Time // To is zero if the work went on at the end of the run
	Resumed                 bool      // the continuation of an earlier dispatch
}

// Leaving tells when the platform began to show an endpoint as leaving.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// Drain is the graceful shutdown of an instance. Answers are those of requests that it held when the drain began.
type Drain struct {
	Instance string
	Answers  []Answer
	Err      error
}

// ObservedVersion is the configuration that an instance showed to a caller.
type ObservedVersion struct {
	Instance string
	At       time.Time
	Version  int
}

// AcceptedVersion is a configuration whose acceptance an operator was told.
type AcceptedVersion struct {
	At      time.Time
	Version int
}

// History is everything that the outside saw of a run.
type History struct {
	Answers    []Answer
	Logs       []Log
	Executions []Execution
	Leaving    []Leaving
	Drains     []Drain
	Observed   []ObservedVersion
	Accepted   []AcceptedVersion
	Killed     map[string]time.Time // instances that were killed, which show no further configuration
	// TierOf tells the tier and pool of an answer's request.
	TierOf func(Answer) (tier int, pool string)
	// NetworkDelay is how long the network may have held up an answer; default 200 ms.
	NetworkDelay time.Duration
	End          time.Time
}

// Verify applies all rules.
func (r *History) Verify() []Violation {
	out := Verify(r.Answers, r.Logs)
	add := func(rule Rule, subject, format string, args ...any) {
		out = append(out, Violation{rule, subject, fmt.Sprintf(format, args...)})
	}
	r.checkTiers(add)
	for _, l := range r.Leaving {
		for _, s := range r.Executions {
			if late := s.From.Sub(l.At); s.Endpoint == l.Endpoint && !s.Resumed && late > LeavingBound {
				add(RuleLeaving, s.Request, "dispatched to %s %v after it left", l.Endpoint, late)
			}
		}
	}
	for _, d := range r.Drains {
		if d.Err != nil {
			add(RuleDrain, d.Instance, "shutdown failed: %v", d.Err)
		}
		for _, a := range d.Answers {
			if !a.Complete() && !a.NotRun() && !a.HungUp {
				add(RuleDrain, d.Instance, "request %s was interrupted: %+v %v", a.Request, a.Error, a.Err)
			}
		}
	}
	r.checkConfiguration(add)
	slices.SortFunc(out, func(x, y Violation) int { return strings.Compare(x.String(), y.String()) })
	return out
}

// checkTiers finds requests that were shed although a lower tier of their pool was served at every moment at which the
// decision can have been made.
func (r *History) checkTiers(add func(Rule, string, string, ...any)) {
	delay := r.NetworkDelay
	if delay == 0 {
		delay = 200 * time.Millisecond
	}
	for _, a := range r.Answers {
		if a.Error == nil || a.Error.Code != core.CodeOverloaded && a.Error.Code != core.CodeDeadline {
			continue
		}
		tier, pool := r.TierOf(a)
		to := a.Begin.Add(a.Duration)
		from := to.Add(-min(a.Duration, delay))
		var lower []Execution
		for _, s := range r.Executions {
			if s.Pool == pool && s.Tier > tier && s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
				lower = append(lower, s)
			}
		}
		slices.SortFunc(lower, func(x, y Execution) int { return x.From.Compare(y.From) })
		coveredUntil := from
		for _, s := range lower {
			if s.From.After(coveredUntil) {
				break
			}
			if s.To.IsZero() {
				coveredUntil = to
			} else if s.To.After(coveredUntil) {
				coveredUntil = s.To
			}
		}
		if len(lower) > 0 && !coveredUntil.Before(to) {
			add(RuleTier, a.Request, "tier %d refused with %d while %s served tier %d", tier, a.Error.Code, lower[0].Endpoint, lower[0].Tier)
		}
	}
}

// checkConfiguration checks that each instance shows rising versions, and each accepted one in time.
func (r *History) checkConfiguration(add func(Rule, string, string, ...any)) {
	observed := map[string][]ObservedVersion{}
	for _, s := range r.Observed {
		if list := observed[s.Instance]; len(list) > 0 && s.Version < list[len(list)-1].Version {
			add(RuleRevert, s.Instance, "version %d after %d", s.Version, list[len(list)-1].Version)
		}
		observed[s.Instance] = append(observed[s.Instance], s)
	}
	for _, c := range r.Accepted {
		due := c.At.Add(InForceBound)
		if due.After(r.End) {
			continue
		}
		for name, list := range observed {
			if down, ok := r.Killed[name]; ok && down.Before(due) {
				continue
			}
			if !slices.ContainsFunc(list, func(s ObservedVersion) bool { return s.Version >= c.Version && !s.At.After(due) }) {
				add(RuleInForce, name, "version %d is not in force after %v", c.Version, InForceBound)
			}
		}
	}
}
