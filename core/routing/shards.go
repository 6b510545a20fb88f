// Package routing selects the owner of a shard and, at a holder, the shard to ask.
package routing

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/endpoint"
)

// Instance is a live instance.
type Instance struct {
	ID     core.InstanceID
	Centre core.DataCentre
}

// candidates is how many instances may act as owner of a shard.
const maxCandidates = 3

// Rank returns the instances in rendezvous order for the key, those of the data centre first. When an instance
// comes or goes, the order of the others does not change.
func Rank(list []Instance, key string, centre core.DataCentre) []core.InstanceID {
	type ranked struct {
		Instance
		hash uint64
	}
	rs := lo.Map(list, func(i Instance, _ int) ranked { return ranked{i, hash(string(i.ID), key)} })
	slices.SortFunc(rs, func(a, b ranked) int {
		if local := a.Centre == centre; local != (b.Centre == centre) {
			return lo.Ternary(local, -1, 1)
		}
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
	})
	return lo.Map(rs, func(r ranked, _ int) core.InstanceID { return r.ID })
}

// Owner returns the first instance in rendezvous order, or an empty id if there is none.
func Owner(list []Instance, key string, centre core.DataCentre) core.InstanceID {
	return lo.FirstOrEmpty(Rank(list, key, centre))
}

// Candidates returns the instances that may act as owner, the owner first.
func Candidates(list []Instance, key string, centre core.DataCentre) []core.InstanceID {
	// With enough instances in the data centre the others need not be ranked, which at 920 instances takes most of the time.
	local := lo.Filter(list, func(i Instance, _ int) bool { return i.Centre == centre })
	if len(local) >= maxCandidates {
		list = local
	}
	r := Rank(list, key, centre)
	return r[:min(maxCandidates, len(r))]
}

// ShardSpec is one shard of a pool.
type ShardSpec struct {
	ID        core.ShardID // pool/centre/index
	Pool      core.Pool
	Centre    core.DataCentre
	Index     int
	Endpoints []endpoint.Spec
}

// Split divides endpoints into shards: by pool and data centre, and by endpoint hash where there are more than width
// of them. An endpoint keeps its shard while the number of shards stays the same, and most do when it changes.
func SplitShards(specs []endpoint.Spec, maxEndpoints int) []ShardSpec {
	type key struct {
		pool   core.Pool
		centre core.DataCentre
	}
	var shards []ShardSpec
	for key, group := range lo.GroupBy(specs, func(s endpoint.Spec) key { return key{s.Pool, s.Centre} }) {
		n := (len(group) + max(1, maxEndpoints) - 1) / max(1, maxEndpoints)
		parts := make([][]endpoint.Spec, n)
		for _, s := range group {
			i := shardIndex(string(s.ID), n)
			parts[i] = append(parts[i], s)
		}
		for i, p := range parts {
			slices.SortFunc(p, func(a, b endpoint.Spec) int { return cmp.Compare(a.ID, b.ID) })
			id := core.ShardID(fmt.Sprintf("%s/%s/%d", key.pool, key.centre, i))
			shards = append(shards, ShardSpec{ID: id, Pool: key.pool, Centre: key.centre, Index: i, Endpoints: p})
		}
	}
	slices.SortFunc(shards, func(a, b ShardSpec) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Index, b.Index))
	})
	return shards
}

// slot returns the rendezvous choice of an id among n slots.
func shardIndex(id string, n int) int {
	best, most := 0, uint64(0)
	for i := range n {
		if h := hash(id, fmt.Sprint(i)); h > most {
			best, most = i, h
		}
	}
	return best
}

func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(a)
	d.WriteString("\x00")
	d.WriteString(b)
	return d.Sum64()
}
