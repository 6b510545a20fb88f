package routing_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/endpoint"
	"monsoondale/core/routing"
)

// The benchmarks of this file measure how the cost of choosing owners and shards grows with the number of instances:
//
//	go test ./core/admission ./core/routing -run '^$' -bench Slope

// deployment returns n instances and about four times as many endpoints, with seven models in twelve data centres of five
// regions.
func deployment(n int) ([]routing.Instance, []endpoint.Spec) {
	centre := func(i int) core.DataCentre { return core.DataCentre(fmt.Sprint("dc", i%12)) }
	live := lo.Map(lo.Range(n), func(i, _ int) routing.Instance {
		return routing.Instance{ID: core.InstanceID(fmt.Sprint("entry-", i)), Centre: centre(i)}
	})
	return live, lo.Map(lo.Range(n*3600/920), func(i, _ int) endpoint.Spec {
		pool := core.Pool(fmt.Sprintf("region-%d/model-%d", i%12%5, i/12%7))
		return endpoint.Spec{ID: core.EndpointID(fmt.Sprint("engine-", i)), Pool: pool, Centre: centre(i)}
	})
}

// BenchmarkSlopeOwners measures what an instance computes after a change of the instance list: the shards, their owners and
// candidates. The floor messages are those of an overload of all pools, in which each pool asks every candidate once a
// second and gets a response.
func BenchmarkSlopeOwners(b *testing.B) {
	for _, n := range []int{8, 40, 200, 920} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			live, specs := deployment(n)
			var shards []routing.ShardSpec
			var owners []core.InstanceID
			candidates := map[core.Pool]map[core.InstanceID]bool{}
			for b.Loop() {
				shards = routing.SplitShards(specs, 64)
				owners = owners[:0]
				clear(candidates)
				for _, s := range shards {
					cs := routing.Candidates(live, string(s.ID), s.Centre)
					owners = append(owners, cs[0])
					if candidates[s.Pool] == nil {
						candidates[s.Pool] = map[core.InstanceID]bool{}
					}
					for _, c := range cs {
						candidates[s.Pool][c] = true
					}
				}
			}
			messages := lo.SumBy(lo.Values(candidates), func(cs map[core.InstanceID]bool) int { return 2 * (len(cs) - 1) })
			b.ReportMetric(float64(len(shards)), "shards")
			b.ReportMetric(float64(len(shards))/float64(len(candidates)), "shards/pool")
			b.ReportMetric(float64(lo.Max(lo.Values(lo.CountValues(owners)))), "owned-max")
			b.ReportMetric(float64(messages)/float64(n), "floor-messages/s/instance")
		})
	}
}

// BenchmarkSlopeChoose measures the choice of the shard for one request, and the memory of the Chooser.
func BenchmarkSlopeChoose(b *testing.B) {
	for _, n := range []int{8, 40, 200, 920} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			_, specs := deployment(n)
			shards := routing.SplitShards(specs, 64)
			before := heapBytes()
			ch := routing.NewChooser(routing.ChooserOptions{Self: "entry-0", Centre: "dc0"})
			ch.SetShards(shards)
			now := time.Unix(1000, 0)
			for i := range 20000 { // fills the prefix index
				ch.RecordGrant(now, shards[i%len(shards)].ID, []core.PrefixHash{core.PrefixHash(i)})
			}
			held := heapBytes() - before
			i := 0
			for b.Loop() {
				i++
				ch.Choose(now, shards[i%len(shards)].Pool, []core.PrefixHash{core.PrefixHash(i % 20000), 2, 3, 4})
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Guards against candidates that differ from the first instances of the full ranking, since Candidates does not rank all.
func TestCandidatesAreFirstInOrder(t *testing.T) {
	g := NewWithT(t)
	live, _ := deployment(40)
	for n := range 40 {
		for _, centre := range []core.DataCentre{"dc0", "dc11", "none"} {
			want := routing.Rank(live[:n], fmt.Sprint(n), centre)
			g.Expect(routing.Candidates(live[:n], fmt.Sprint(n), centre)).To(Equal(want[:min(3, n)]))
		}
	}
}
