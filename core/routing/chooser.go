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
	Self          core.InstanceID // seeds the random order, so that instances choose differently
	Centre        core.DataCentre
	Deterministic bool // always the shard of the highest weight first, for tests only
}

// Weights of the choice. Each shard is drawn in proportion to its weight, which spreads the asks of many instances
// that have the same old news.
const (
	nearWeight     = 4.0                   // own data centre: saves a round trip between data centres
	affinityWeight = 16.0                  // the whole prompt is cached in the shard
	waitUnit       = 50 * time.Millisecond // a wait of this length halves the weight
	guess          = 4.0                   // free slots per endpoint that are assumed without news
	newsLife       = 5 * time.Second       // news fade towards the assumption
	failedFor      = 2 * time.Second       // an owner that did not answer is the last choice
	failedWeight   = 1e-6
)

// subset is how many shards of a pool an instance asks first. Each instance has its own by rendezvous, so that together
// they use all shards evenly. With all 26 shards of a pool at the target size, each instance would hold slots in about
// 140 shards, and confirming them would take 34 KB/s of a budget of 5 KB/s.
const subset = 3

// Chooser orders the shards of a pool by their prospects for a request. It is not safe for concurrent use.
type Chooser struct {
	o      ChooserOptions
	rand   *rand.Rand
	pools  map[core.Pool][]*shard
	shards map[core.ShardID]*shard
	index  []*shard // by shard.index, nil if gone
	prefix *endpoint.PrefixIndex
}

type shard struct {
	id        core.ShardID
	index     int32
	near      bool
	endpoints int
	wait      time.Duration
	free      float64
	news      time.Time
	failed    time.Time
	share     float64
	order     float64
	further   bool // not in the subset
}

// NewChooser returns a Chooser without shards.
func NewChooser(o ChooserOptions) *Chooser {
	return &Chooser{
		o: o, rand: rand.New(rand.NewPCG(xxhash.Sum64String(string(o.Self)), 1)),
		pools: map[core.Pool][]*shard{}, shards: map[core.ShardID]*shard{},
		prefix: endpoint.NewPrefixIndex(16384, 2*time.Minute),
	}
}

// Shards replaces the known shards; what is known of those that stay is kept.
func (c *Chooser) SetShards(specs []ShardSpec) {
	old := c.shards
	c.pools, c.shards = map[core.Pool][]*shard{}, make(map[core.ShardID]*shard, len(specs))
	for _, spec := range specs {
		s := old[spec.ID]
		if s == nil {
			s = &shard{id: spec.ID, index: int32(len(c.index)), near: spec.Centre == c.o.Centre}
			c.index = append(c.index, s)
		}
		delete(old, spec.ID)
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
	for _, s := range old {
		c.index[s.index] = nil
		c.prefix.Forget(s.index)
	}
}

// selectSubset marks the shards that this instance asks first: those of the own data centre before others, but at least
// one of another data centre, so that the loss of one does not empty the subset.
func (c *Chooser) selectSubset(list []*shard) {
	ranked := slices.SortedFunc(slices.Values(list), func(a, b *shard) int {
		return cmp.Compare(hash(string(c.o.Self), string(b.id)), hash(string(c.o.Self), string(a.id)))
	})
	near, far := lo.FilterReject(ranked, func(s *shard, _ int) bool { return s.near })
	room := subset
	if len(far) > 0 {
		room--
	}
	near = near[:min(room, len(near))]
	first := append(near, far[:min(subset-len(near), len(far))]...)
	for _, s := range list {
		s.further = !slices.Contains(first, s)
	}
}

// News records the wait and the free slots that an owner stated in an answer.
func (c *Chooser) UpdateLoad(now time.Time, id core.ShardID, wait time.Duration, free int) {
	if s := c.shards[id]; s != nil {
		s.wait, s.free, s.news, s.failed = wait, float64(free), now, time.Time{}
	}
}

// Granted records that a request with these prefixes got a slot in the shard.
func (c *Chooser) RecordGrant(now time.Time, id core.ShardID, prefixes []core.Prefix) {
	if s := c.shards[id]; s != nil {
		c.prefix.Store(now, s.index, prefixes)
	}
}

// Failed records that the owner of the shard did not answer.
func (c *Chooser) RecordFailure(now time.Time, id core.ShardID) {
	if s := c.shards[id]; s != nil {
		s.failed = now
	}
}

// Choose returns the shards of the pool that have endpoints, best first, those of the own subset before all others. The first one is assumed to be asked.
func (c *Chooser) Choose(now time.Time, pool core.Pool, prefixes []core.Prefix) []core.ShardID {
	list := c.pools[pool]
	for _, s := range list {
		s.share = 0
	}
	if len(prefixes) > 0 && len(list) > 1 {
		c.prefix.Match(now, prefixes, func(i int32, share float64) {
			if s := c.index[i]; s != nil {
				s.share = share
			}
		})
	}
	order := make([]*shard, len(list))
	for i, s := range list {
		// The smallest of exponential variates divided by the weights falls on each shard in proportion to its weight.
		s.order = c.rand.ExpFloat64() / c.weight(now, s)
		if c.o.Deterministic {
			s.order = 1 / c.weight(now, s)
		}
		order[i] = s
	}
	slices.SortFunc(order, func(a, b *shard) int {
		if a.further != b.further {
			return lo.Ternary(b.further, -1, 1)
		}
		return cmp.Compare(a.order, b.order)
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

func (c *Chooser) weight(now time.Time, s *shard) float64 {
	free := guess * float64(s.endpoints)
	wait := 0.0
	if age := now.Sub(s.news); !s.news.IsZero() && age < newsLife {
		trust := 1 - float64(age)/float64(newsLife)
		free = trust*s.free + (1-trust)*free
		wait = trust * float64(s.wait)
	}
	w := (free + 0.1) / (1 + wait/float64(waitUnit)) * (1 + affinityWeight*s.share)
	if s.near {
		w *= nearWeight
	}
	if !s.failed.IsZero() && now.Sub(s.failed) < failedFor {
		w *= failedWeight
	}
	return w
}
