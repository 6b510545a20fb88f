package policy

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"monsoondale/core"
)

// The oracle knows the true rates, lengths and caches of the engines, keeps tiers strict and has no delays. It gives a
// lower bound of the waste and an upper bound of the work that is kept during a flood. No policy has to reach them.

// minWaste returns the percentage of the computed prompt tokens that must be wasted because no tier may be shed while a
// lower one runs: work that runs when shedding becomes necessary is suspended unless it ends within the deadline of the
// tier that is shed. The prompt stays cached, so only the generated tokens are computed again.
func minWaste(rs []*request) float64 {
	shortestDeadline, computed, recomputed := math.Inf(1), 0.0, 0.0
	for _, r := range rs {
		if computed += r.computed; r.refused && r.src.deadline > 0 {
			shortestDeadline = min(shortestDeadline, r.src.deadline.Seconds())
		}
	}
	for _, r := range rs {
		if r.suspensions > 0 && r.suspendedRest > shortestDeadline {
			recomputed += r.suspendedTokens
		}
	}
	return 100 * recomputed / max(1, computed)
}

// maxKept returns the share of the requests outside the flood that can be good during it, if engines may take the given
// number of seconds between tokens. It treats all work as a flow: each tier gets the capacity that the more urgent ones
// leave, its workspaces share it by weight, and each workspace serves its requests outside the flood first, in order of
// length. Of a prompt only the quarter that no other request shares is computed. Requests without a deadline, or with
// one after the flood, can be served then.
func maxKept(rs []*request, tokenInterval float64) float64 {
	rate, decodePerPrompt := 0.0, math.Inf(1) // generated tokens per second, and those that a prompt token costs
	for _, s := range speeds {
		d := max(0, (tokenInterval*s-baseStepTime)/stepTimePerRequest) / tokenInterval
		rate += 3 * d
		decodePerPrompt = min(decodePerPrompt, d/2/(prefillRate*s))
	}
	capacity := rate * (arrivalsEnd - disturbanceStart).Seconds()
	kept, others := 0, 0
	for tier := range core.Tier(core.Tiers) {
		byWorkspace := map[core.WorkspaceID][]*request{}
		cost := func(r *request) float64 { return r.decode + r.prefill/4*decodePerPrompt }
		demand := map[core.WorkspaceID]float64{}
		for _, r := range rs {
			at := r.arrived.Sub(epoch)
			if r.src.tier != tier || r.src.order || at < disturbanceStart {
				continue
			}
			if at+r.src.deadline >= arrivalsEnd || r.src.deadline == 0 {
				if !r.src.flood {
					others++
					kept++
				}
			} else {
				byWorkspace[r.src.workspace] = append(byWorkspace[r.src.workspace], r)
				demand[r.src.workspace] += cost(r)
			}
		}
		// Max-min fairness satisfies the workspaces with the lowest demand for their weight first.
		byDemand := slices.Clone(workspaces)
		slices.SortStableFunc(byDemand, func(a, b workspace) int {
			return cmp.Compare(demand[a.id]/float64(a.weight), demand[b.id]/float64(b.weight))
		})
		weights := 10.0
		for _, w := range byDemand {
			share := min(demand[w.id], capacity*float64(w.weight)/weights)
			weights -= float64(w.weight)
			capacity -= share
			queue := byWorkspace[w.id]
			slices.SortStableFunc(queue, func(a, b *request) int {
				if a.src.flood != b.src.flood {
					return lo.Ternary(b.src.flood, -1, 1)
				}
				return cmp.Compare(cost(a), cost(b))
			})
			for _, r := range queue {
				if share -= cost(r); !r.src.flood {
					others++
					if share > -1e-6 {
						kept++
					}
				}
			}
		}
	}
	return float64(kept) / float64(max(1, others))
}
