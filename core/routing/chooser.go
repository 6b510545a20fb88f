package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/endpoint"
)

// ChooserOptions configures a Chooser.
type ChooserOptions struct {
	Self          core.InstanceID // seeds the random order, so that it differs between instances
	Centre        core.DataCentre
	Deterministic bool // orders by weight without randomness, for tests only
}

// Parameters of the shard weights. Shards are drawn at random in proportion to their weight, which spreads the asks of
// many instances that have the same outdated load information.
const (
	localWeight     = 4.0                   // factor for the own data centre, which saves a round trip between data centres
	affinityWeight  = 16.0                  // factor for a shard that has cached the whole prompt
	waitHalving     = 50 * time.Millisecond // wait that halves the weight
	assumedFree     = 4.0                   // free slots per endpoint that are assumed without load information
	loadValidity    = 5 * time.Second       // load information fades to the assumption within this time
	failureValidity = 2 * time.Second       // how long an owner that did not answer is chosen last
	failedWeight    = 1e-6
)

// subsetSize is the number of shards of a pool that an instance asks first. Rendezvous hashing gives each instance its own
// subset, so that all shards are used evenly. If instances asked all 26 shards of a pool at the target size, each would
// hold slots in about 140 shards, and confirming them would take 34 KB/s of a budget of 5 KB/s.
const subsetSize = 3

// Chooser orders the shards of a pool by how soon they are likely to serve a request. It is not safe for concurrent use.
type Chooser struct {
	opts         ChooserOptions
	rand         *rand.Rand
	pools        map[core.Pool][]*shard
	shards       map[core.ShardID]*shard
	shardByIndex []*shard // by shard.index, the key in the prefix index; nil if gone
	prefixes     *endpoint.PrefixIndex
}

// shard is what a Chooser knows of a shard.
type shard struct {
	id            core.ShardID
	index         int32
	local         bool
	endpoints     int
	wait          time.Duration
	free          float64
	loadTime      time.Time
	failedAt      time.Time
	cachedShare   float64
	sortKey       float64
	outsideSubset bool // asked after the shards of the subset
}

// NewChooser returns a Chooser without shards.
func NewChooser(o ChooserOptions) *Chooser {
	return &Chooser{
		opts: o, rand: rand.New(rand.NewPCG(xxhash.Sum64String(string(o.Self)), 1)),
		pools: map[core.Pool][]*shard{}, shards: map[core.ShardID]*shard{},
		prefixes: endpoint.NewPrefixIndex(16384, 2*time.Minute),
	}
}

// SetShards replaces the known shards. Load information and failures of shards that remain are kept.
func (c *Chooser) SetShards(specs []ShardSpec) {
	previous := c.shards
	c.pools, c.shards = map[core.Pool][]*shard{}, make(map[core.ShardID]*shard, len(specs))
	for _, spec := range specs {
		s := previous[spec.ID]
		if s == nil {
			s = &shard{id: spec.ID, index: int32(len(c.shardByIndex)), local: spec.Centre == c.opts.Centre}
			c.shardByIndex = append(c.shardByIndex, s)
		}
		delete(previous, spec.ID)
		s.endpoints = 0
		for _, e := range spec.Endpoints {
			if !e.Leaving {
				s.endpoints++
			}
		}
		c.shards[s.id] = s
		if s.endpoints > 0 {
			c.pools[spec.Pool] = append(c.pools[spec.Pool], s)
		}
	}
	for _, list := range c.pools {
		c.selectSubset(list)
	}
	for _, s := range previous {
		c.shardByIndex[s.index] = nil
		c.prefixes.Forget(s.index)
	}
}

// selectSubset selects the shards that this instance asks first. It prefers those of the own data centre, but includes at
// least one of another data centre, so that the loss of a data centre does not empty the subset.
func (c *Chooser) selectSubset(list []*shard) {
	ranked := slices.SortedFunc(slices.Values(list), func(a, b *shard) int {
		return cmp.Compare(hash(string(c.opts.Self), string(b.id)), hash(string(c.opts.Self), string(a.id)))
	})
	local, remote := lo.FilterReject(ranked, func(s *shard, _ int) bool { return s.local })
	maxLocal := subsetSize
	if len(remote) > 0 {
		maxLocal--
	}
	local = local[:min(maxLocal, len(local))]
	first := append(local, remote[:min(subsetSize-len(local), len(remote))]...)
	for _, s := range list {
		s.outsideSubset = !slices.Contains(first, s)
	}
}

// UpdateLoad records the wait and the number of free slots from the response of a shard's owner.
func (c *Chooser) UpdateLoad(now time.Time, id core.ShardID, wait time.Duration, free int) {
	if s := c.shards[id]; s != nil {
		s.wait, s.free, s.loadTime, s.failedAt = wait, float64(free), now, time.Time{}
	}
}

// RecordGrant records that a request with these prefixes was granted a slot in the shard.
func (c *Chooser) RecordGrant(now time.Time, id core.ShardID, prefixes []core.PrefixHash) {
	if s := c.shards[id]; s != nil {
		c.prefixes.Store(now, s.index, prefixes)
	}
}

// RecordFailure records that the owner of the shard did not answer.
func (c *Chooser) RecordFailure(now time.Time, id core.ShardID) {
	if s := c.shards[id]; s != nil {
		s.failedAt = now
	}
}

// Choose returns the shards of the pool that have endpoints, best first, those of the instance's subset before all others.
// It counts one free slot of the first shard as used, assuming that the caller asks it.
func (c *Chooser) Choose(now time.Time, pool core.Pool, prefixes []core.PrefixHash) []core.ShardID {
	list := c.pools[pool]
	for _, s := range list {
		s.cachedShare = 0
	}
	if len(prefixes) > 0 && len(list) > 1 {
		c.prefixes.Match(now, prefixes, func(i int32, share float64) {
			if s := c.shardByIndex[i]; s != nil {
				s.cachedShare = share
			}
		})
	}
	order := make([]*shard, len(list))
	for i, s := range list {
		// Dividing exponential variates by the weights makes each shard the smallest with a probability proportional to its
		// weight.
		s.sortKey = c.rand.ExpFloat64() / c.weight(now, s)
		if c.opts.Deterministic {
			s.sortKey = 1 / c.weight(now, s)
		}
		order[i] = s
	}
	slices.SortFunc(order, func(a, b *shard) int {
		if a.outsideSubset != b.outsideSubset {
			return lo.Ternary(b.outsideSubset, -1, 1)
		}
		return cmp.Compare(a.sortKey, b.sortKey)
	})
	ids := make([]core.ShardID, len(order))
	for i, s := range order {
		ids[i] = s.id
	}
	if len(order) > 0 {
		order[0].free = max(0, order[0].free-1)
	}
	return ids
}

// weight returns the weight of a shard, from its load, its cached share of the prompt, its data centre and failures.
func (c *Chooser) weight(now time.Time, s *shard) float64 {
	free := assumedFree * float64(s.endpoints)
	wait := 0.0
	if age := now.Sub(s.loadTime); !s.loadTime.IsZero() && age < loadValidity {
		confidence := 1 - float64(age)/float64(loadValidity)
		free = confidence*s.free + (1-confidence)*free
		wait = confidence * float64(s.wait)
	}
	weight := (free + 0.1) / (1 + wait/float64(waitHalving)) * (1 + affinityWeight*s.cachedShare)
	if s.local {
		weight *= localWeight
	}
	if !s.failedAt.IsZero() && now.Sub(s.failedAt) < failureValidity {
		weight *= failedWeight
	}
	return weight
}
