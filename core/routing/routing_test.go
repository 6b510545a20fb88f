package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/endpoint"
	"monsoondale/core/routing"
)

var instances = lo.Map(lo.Range(9), func(i, _ int) routing.Instance {
	return routing.Instance{ID: core.InstanceID(fmt.Sprintf("i%d", i)), Centre: core.DataCentre(fmt.Sprintf("dc%d", i%3))}
})

// Guards against a remote owner while a local instance is live, and against a change of the order of the remaining
// instances when one is removed.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		key := rapid.String().Draw(t, "key")
		gone := rapid.IntRange(0, len(instances)-1).Draw(t, "gone")
		all := routing.Rank(instances, key, "dc1")
		centre := map[core.InstanceID]core.DataCentre{}
		for _, i := range instances {
			centre[i.ID] = i.Centre
		}
		for i, id := range all {
			g.Expect(centre[id] == "dc1").To(Equal(i < 3), "%v", all)
		}
		rest := routing.Rank(lo.Filter(instances, func(_ routing.Instance, i int) bool { return i != gone }), key, "dc1")
		g.Expect(rest).To(Equal(lo.Without(all, instances[gone].ID)))
		g.Expect(routing.Owner(instances, key, "dc1")).To(Equal(all[0]))
		g.Expect(routing.Candidates(instances, key, "dc1")).To(Equal(all[:3]))
	})
}

// Guards against shards that lose or share endpoints, mix data centres or far exceed the maximum number of endpoints.
func TestSplitShards(t *testing.T) {
	for _, c := range []struct{ endpoints, width, shards int }{
		{0, 64, 0}, {18, 64, 3}, {192, 64, 3}, {600, 64, 12}, {3600, 64, 57},
	} {
		t.Run(fmt.Sprint(c.endpoints), func(t *testing.T) {
			g := NewWithT(t)
			specs := fleet(c.endpoints)
			shards := routing.SplitShards(specs, c.width)
			g.Expect(shards).To(HaveLen(c.shards))
			seen := map[core.EndpointID]bool{}
			for _, s := range shards {
				g.Expect(s.ID).To(Equal(core.ShardID(fmt.Sprintf("chat/%s/%d", s.Centre, s.Index))))
				g.Expect(len(s.Endpoints)).To(BeNumerically("<", 2*c.width))
				for _, e := range s.Endpoints {
					g.Expect(e.Centre).To(Equal(s.Centre))
					g.Expect(seen[e.ID]).To(BeFalse())
					seen[e.ID] = true
				}
			}
			g.Expect(seen).To(HaveLen(c.endpoints))
		})
	}
}

// Guards against a choice that ignores the data centre, the reported load, cached prefixes or failures.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	shards := routing.SplitShards(fleet(18), 64)
	prefixes := []core.PrefixHash{1, 2, 3}
	for _, c := range []struct {
		name  string
		news  func(*routing.Chooser)
		shard core.ShardID
		least float64 // share of the choices
	}{
		{"own data centre", func(*routing.Chooser) {}, "chat/dc0/0", 0.6},
		{"queue in the own data centre", func(c *routing.Chooser) {
			c.UpdateLoad(now, "chat/dc0/0", 2*time.Second, 0)
			c.UpdateLoad(now, "chat/dc1/0", 0, 40)
			c.UpdateLoad(now, "chat/dc2/0", time.Second, 0)
		}, "chat/dc1/0", 0.9},
		{"affinity", func(c *routing.Chooser) { c.RecordGrant(now, "chat/dc2/0", prefixes) }, "chat/dc2/0", 0.6},
		{"owner does not answer", func(c *routing.Chooser) { c.RecordFailure(now, "chat/dc0/0"); c.RecordFailure(now, "chat/dc1/0") }, "chat/dc2/0", 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := 0
			for i := range 500 {
				ch := routing.NewChooser(routing.ChooserOptions{Self: core.InstanceID(fmt.Sprint(i)), Centre: "dc0"})
				ch.SetShards(shards)
				c.news(ch)
				order := ch.Choose(now, "chat", prefixes)
				g.Expect(order).To(HaveLen(3))
				if order[0] == c.shard {
					n++
				}
			}
			g.Expect(float64(n) / 500).To(BeNumerically(">=", c.least))
		})
	}
}

// Guards against many instances that choose the same shard because they have the same load information.
func TestChooseSpreads(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	first := map[core.ShardID]int{}
	for i := range 600 {
		ch := routing.NewChooser(routing.ChooserOptions{Self: core.InstanceID(fmt.Sprint(i)), Centre: "elsewhere"})
		ch.SetShards(routing.SplitShards(fleet(18), 64))
		for j := range 3 {
			ch.UpdateLoad(now, core.ShardID(fmt.Sprintf("chat/dc%d/0", j)), 0, 10+j)
		}
		first[ch.Choose(now, "chat", nil)[0]]++
	}
	for id, n := range first {
		g.Expect(n).To(BeNumerically("~", 200, 60), "%s", id)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 3600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			ch := routing.NewChooser(routing.ChooserOptions{Self: "i1", Centre: "dc1"})
			ch.SetShards(routing.SplitShards(fleet(n), 64))
			b.ReportAllocs()
			for b.Loop() {
				ch.Choose(now, "chat", []core.PrefixHash{1, 2, 3, 4})
			}
		})
	}
}

func fleet(n int) []endpoint.Spec {
	return lo.Map(lo.Range(n), func(i, _ int) endpoint.Spec {
		return endpoint.Spec{ID: core.EndpointID(fmt.Sprintf("e%d", i)), Pool: "chat", Centre: core.DataCentre(fmt.Sprintf("dc%d", i%3))}
	})
}

// Guards against an instance that uses every shard of a large pool, and against subsets that leave shards unused or are
// limited to one data centre.
func TestChooseSubset(t *testing.T) {
	g := NewWithT(t)
	var specs []routing.ShardSpec
	for i := range 26 {
		specs = append(specs, routing.ShardSpec{
			ID: core.ShardID(fmt.Sprint("s", i)), Pool: "p", Centre: core.DataCentre(fmt.Sprint("dc", i%2)), Index: i,
			Endpoints: []endpoint.Spec{{ID: core.EndpointID(fmt.Sprint("e", i)), Pool: "p"}},
		})
	}
	used := map[core.ShardID]int{}
	for i := range 184 {
		ch := routing.NewChooser(routing.ChooserOptions{Self: core.InstanceID(fmt.Sprint("i", i)), Centre: core.DataCentre(fmt.Sprint("dc", i%2))})
		ch.SetShards(specs)
		first := map[core.ShardID]bool{}
		for range 50 {
			ids := ch.Choose(time.Now(), "p", nil)
			g.Expect(ids).To(HaveLen(26))
			for _, id := range ids[:3] {
				first[id] = true
			}
		}
		g.Expect(first).To(HaveLen(3))
		centres := map[core.DataCentre]bool{}
		for _, s := range specs {
			if first[s.ID] {
				used[s.ID]++
				centres[s.Centre] = true
			}
		}
		g.Expect(centres).To(HaveLen(2))
	}
	for _, s := range specs {
		g.Expect(used[s.ID]).To(BeNumerically("~", 184*3/26, 15), "shard %s", s.ID)
	}
}
