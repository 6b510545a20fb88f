package admission

import "monsoondale/core"

// Part is a part of the policy, or several. Options.Without leaves parts out so that a test can measure what each is
// worth; an instance never does.
type Feature uint16

// The parts of the policy that can be left out.
const (
	LearnedSlots    Feature = 1 << iota // each endpoint keeps the initial number of slots
	Headroom                            // no slots are kept free of lower tiers
	AgingReserve                        // the lowest waiting tier has no slots of its own
	CallerFairness                      // the callers of a workspace share one queue, and none counts as heavy
	WorkspaceShares                     // all callers share equally whatever their workspace
	EarlyRefusal                        // asks are refused only when the queue is full
	Suspension                          // running work is never stopped
	PrefixAffinity                      // caches are not considered
	Probation                           // stragglers are treated as others
)

func (s *Shard) enabled(p Feature) bool { return s.opts.Disabled&p == 0 }

// flow names the fair queue of an ask.
type flowKey struct {
	workspace core.WorkspaceID
	caller    core.CallerID
	weight    core.Weight
}

// flowOf returns the fair queue of an ask.
func (s *Shard) flowKeyOf(a *Ask) flowKey {
	f := flowKey{a.Workspace, a.Caller, a.Weight}
	if !s.enabled(CallerFairness) {
		f.caller = ""
	}
	if !s.enabled(WorkspaceShares) {
		f = flowKey{"", core.CallerID(f.workspace) + "/" + f.caller, 1}
	}
	return f
}
