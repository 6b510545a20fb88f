package policy

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/samber/lo"

	"monsoondale/core"
)

// onTime reports whether the response is complete and its first token met the deadline.
func (r *request) onTime() bool {
	if r.refused || r.failed || r.hungUp || r.ended.IsZero() {
		return false
	}
	return r.src.deadline == 0 || !r.firstToken.After(r.arrived.Add(r.src.deadline))
}

// good reports whether the response is on time and, for requests with a deadline, the mean interval between its tokens
// was at most twice the target. Without this condition a policy could win with batches that are too large to be useful.
func (r *request) good() bool {
	return r.onTime() && (r.src.deadline == 0 || r.ended.Sub(r.firstToken).Seconds() <= 2*targetTokenInterval*r.decode)
}

// result holds the figures of one run, in the order of columns.
type result []float64

var columns = []string{
	"good0", "good1", "good2", "good3", "waste%", "kept", "kept01", "urgent/cap",
	"p50-0", "p95-0", "p99-0", "p50-1", "p95-1", "p99-1", "p50-2", "p95-2", "p99-2", "p50-3", "p95-3", "p99-3",
	"small95", "large95", "jain", "long", "worst", "orders", "cached%", "tries", "inverted",
	"least waste", "most kept", "most kept 60",
}

// column returns the index of a column.
func column(name string) int { return slices.Index(columns, name) }

// measure computes the figures of a run. The goodput and the times leave out requests whose callers hung up.
func measure(rs []*request) result {
	out := result{}
	orders := lo.Filter(rs, func(r *request, _ int) bool { return r.src.order })
	rs = lo.Filter(rs, func(r *request, _ int) bool { return !r.src.order })
	withHangUps := rs
	rs = lo.Reject(rs, func(r *request, _ int) bool { return r.hungUp })
	for t := range core.Tier(core.Tiers) {
		out = append(out, fraction(rs, func(r *request) bool { return r.src.tier == t }, (*request).good))
	}
	// Wasted tokens are those of the prompts of requests that did not finish or whose first token was late, and those
	// computed again after a suspension. If the caller hung up, its prompt is wasted only before the first token.
	var computed, wasted float64
	for _, r := range withHangUps {
		computed += r.computed
		if r.onTime() || r.hungUp && !r.firstToken.IsZero() {
			wasted += min(r.recomputed, r.computed)
		} else {
			wasted += r.computed
		}
	}
	out = append(out, 100*wasted/max(1, computed))
	// A flood may displace lower tiers because tiers are strict, so kept01 leaves out the tiers below those that the
	// workspace and caller floods fill.
	for _, lowest := range []core.Tier{3, 1} {
		others := func(r *request) bool {
			return !r.src.flood && r.src.tier <= lowest && r.arrived.Sub(epoch) >= disturbanceStart
		}
		out = append(out, fraction(rs, others, (*request).good))
	}
	// Work of tier 0 that was served on time after the start of the disturbance, relative to the lesser of what arrived
	// and what the engines can serve at the target batch size.
	window := (arrivalsEnd - disturbanceStart).Seconds()
	var served, offered float64
	for _, r := range rs {
		if r.src.tier == 0 && r.arrived.Sub(epoch) >= disturbanceStart {
			work := r.decode*targetTokenInterval/targetBatch + (r.prefill-r.cached)/prefillRate/2
			offered += work
			if r.good() {
				served += work
			}
		}
	}
	out = append(out, served/min(offered, window*lo.Sum(speeds)*3))
	for t := range core.Tier(core.Tiers) {
		times := firstTokenTimes(rs, func(r *request) bool { return r.src.tier == t })
		out = append(out, quantile(times, 0.5), quantile(times, 0.95), quantile(times, 0.99))
	}
	inFloodedTier := func(large bool) func(*request) bool {
		return func(r *request) bool {
			return r.src.workspace == "a" && r.src.tier == 1 && r.src.largeCaller == large && r.arrived.Sub(epoch) >= disturbanceStart
		}
	}
	out = append(out, quantile(firstTokenTimes(rs, inFloodedTier(false)), 0.95), quantile(firstTokenTimes(rs, inFloodedTier(true)), 0.95))
	out = append(out, jainIndex(lo.Filter(rs, func(r *request, _ int) bool {
		return r.src.workspace == "a" && r.src.tier == 1 && r.arrived.Sub(epoch) >= disturbanceStart
	})))
	out = append(out, fraction(rs, func(r *request) bool { return r.src.tier == 3 && !r.refused && !r.failed }, func(r *request) bool { return !r.ended.IsZero() }))
	longestWait := 0.0
	for _, r := range rs {
		if r.src.tier == 3 {
			longestWait = max(longestWait, r.longestQueueWait.Seconds())
		}
	}
	out = append(out, longestWait, fraction(orders, func(*request) bool { return true }, (*request).good))
	prompts := lo.SumBy(withHangUps, func(r *request) float64 { return lo.Ternary(r.dispatchedAt.IsZero(), 0, r.prefill) })
	out = append(out, 100*lo.SumBy(withHangUps, func(r *request) float64 { return r.cached })/max(1, prompts))
	out = append(out, lo.SumBy(withHangUps, func(r *request) float64 { return 1 + float64(r.retries) })/float64(max(1, len(withHangUps))))
	out = append(out, float64(lo.CountBy(withHangUps, func(r *request) bool { return r.inverted })))
	return append(out, minWaste(withHangUps), maxKept(rs, targetTokenInterval), maxKept(rs, 2*targetTokenInterval))
}

// fraction returns the share of good requests among the selected ones.
func fraction(rs []*request, selected, good func(*request) bool) float64 {
	n, k := 0, 0
	for _, r := range rs {
		if selected(r) {
			n++
			if good(r) {
				k++
			}
		}
	}
	return float64(k) / float64(max(1, n))
}

// firstTokenTimes returns the sorted times to the first token of the selected requests, in seconds.
func firstTokenTimes(rs []*request, selected func(*request) bool) []float64 {
	var times []float64
	for _, r := range rs {
		if selected(r) && !r.firstToken.IsZero() {
			times = append(times, r.firstToken.Sub(r.arrived).Seconds())
		}
	}
	slices.Sort(times)
	return times
}

func quantile(times []float64, q float64) float64 {
	if len(times) == 0 {
		return math.NaN()
	}
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// jainIndex returns Jain's fairness index over callers. The value of a caller is its decoded tokens relative to its
// max-min fair share of all tokens.
func jainIndex(rs []*request) float64 {
	demand, got := map[core.CallerID]float64{}, map[core.CallerID]float64{}
	total := 0.0
	for _, r := range rs {
		demand[r.caller] += r.decode
		if r.good() {
			got[r.caller] += r.decode
			total += r.decode
		}
	}
	ids := lo.Keys(demand)
	slices.SortFunc(ids, func(a, b core.CallerID) int {
		if demand[a] != demand[b] {
			return lo.Ternary(demand[a] < demand[b], -1, 1)
		}
		return strings.Compare(string(a), string(b))
	})
	sum, squares := 0.0, 0.0
	for i, id := range ids {
		fair := min(demand[id], total/float64(len(ids)-i))
		total -= fair
		x := got[id] / max(fair, 1)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(ids)) * max(squares, 1e-9))
}

// runAll runs every policy in every scenario with the selected seeds. The runs are parallel and share no state.
func runAll(seeds func(policy, scenario string) []uint64) map[string]map[string][]result {
	out := map[string]map[string][]result{}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, 5)
	for _, p := range policies {
		out[p.name] = map[string][]result{}
		for _, sc := range scenarios {
			selected := seeds(p.name, sc.name)
			rs := make([]result, len(selected))
			out[p.name][sc.name] = rs
			for i, seed := range selected {
				wg.Go(func() {
					semaphore <- struct{}{}
					rs[i] = measure(simulate(p.newDispatcher, sc, seed))
					<-semaphore
				})
			}
		}
	}
	wg.Wait()
	return out
}

// median returns the median of a column and its range.
func median(rs []result, c int) (mid, spread float64) {
	xs := lo.Map(rs, func(r result, _ int) float64 { return r[c] })
	slices.Sort(xs)
	return xs[len(xs)/2], xs[len(xs)-1] - xs[0]
}

// formatCell formats the median of a column, and half of its range if that is not zero.
func formatCell(rs []result, c int) string {
	m, d := median(rs, c)
	if math.IsNaN(m) {
		return "-"
	}
	return lo.Ternary(d == 0, fmt.Sprintf("%.3g", m), fmt.Sprintf("%.3g±%.1g", m, d/2))
}

// printTable prints the medians over the seeds, and half of their range where that is not zero.
func printTable(all map[string]map[string][]result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Println("good: share of a tier's requests that were complete and on time; waste%: share of computed prompt tokens;")
	fmt.Println("kept, kept01: good share of the requests outside the flood, all tiers and tiers 0 and 1;")
	fmt.Println("urgent/cap: good work of tier 0 over the lesser of arrivals and capacity; p50 to p99, worst: seconds, by tier;")
	fmt.Println("tries: attempts of a caller, by request; inverted: refusals of a tier while a lower one was running;")
	fmt.Println("least waste, most kept: bounds by an oracle, the latter with 30 and with 60 ms between tokens")
	fmt.Fprintln(w, "scenario\tpolicy\t"+strings.Join(columns, "\t")+"\t")
	for _, sc := range scenarios {
		for _, p := range policies {
			cells := lo.Map(columns, func(_ string, c int) string {
				return formatCell(all[p.name][sc.name], c)
			})
			fmt.Fprintf(w, "%s\t%s\t%s\t\n", sc.name, p.name, strings.Join(cells, "\t"))
		}
	}
	w.Flush()
}
