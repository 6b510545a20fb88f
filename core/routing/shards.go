// Package routing divides the endpoints of a pool into shards, selects the instance that owns each shard, and orders the
// shards that an instance asks for a slot.
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

// maxCandidates is the number of instances that may act as owner of a shard.
const maxCandidates = 3

// Rank orders the instances by rendezvous hashing of the key, those of the data centre first. When an instance is added or
// removed, the order of the others does not change.
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

// Owner returns the first instance in the order of Rank, or an empty id if there is none.
func Owner(list []Instance, key string, centre core.DataCentre) core.InstanceID {
	return lo.FirstOrEmpty(Rank(list, key, centre))
}

// Candidates returns the instances that may act as owner, in the order of Rank.
func Candidates(list []Instance, key string, centre core.DataCentre) []core.InstanceID {
	// With enough instances in the data centre the others need not be ranked, which takes most of the time at 920 instances.
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

// SplitShards divides endpoints into shards by pool and data centre, and further by a hash of the endpoint where there are
// more than maxEndpoints of them. The maximum is exceeded where the hashes are uneven. Endpoints keep their shard while the
// number of shards stays the same, and most keep it when the number changes.
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

// shardIndex returns the index among n shards that rendezvous hashing assigns to an id.
func shardIndex(id string, n int) int {
	best, highest := 0, uint64(0)
	for i := range n {
		if h := hash(id, fmt.Sprint(i)); h > highest {
			best, highest = i, h
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
