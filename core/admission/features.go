package admission

import "monsoondale/core"

// Feature is a set of policy features. Tests turn features off with Options.Disabled to measure the effect of each;
// instances run with all of them.
type Feature uint16

// The features, with what happens when each is disabled.
const (
	LearnedSlots    Feature = 1 << iota // endpoints keep their initial number of slots
	Headroom                            // no slots are kept free for higher tiers
	AgingReserve                        // the lowest waiting tier has no reserved slots
	CallerFairness                      // the callers of a workspace share one queue, and none counts as heavy
	WorkspaceShares                     // all callers share equally, whatever the weight of their workspace
	EarlyRefusal                        // asks are refused only when the queue is full
	Suspension                          // running work is never suspended
	PrefixAffinity                      // cached prefixes do not influence the choice of endpoint
	Probation                           // stragglers are used like other endpoints
)

func (s *Shard) enabled(f Feature) bool { return s.opts.Disabled&f == 0 }

// flowKey identifies the fair queue of an ask.
type flowKey struct {
	workspace core.WorkspaceID
	caller    core.CallerID
	weight    core.Weight
}

// flowKeyOf returns the fair queue that an ask belongs to.
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
