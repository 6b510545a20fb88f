// Package admission decides which request gets which slot. A Shard holds the queue and the slots of one shard of a
// pool. It is pure: time is passed in, and the caller carries out the effects that its methods return.
package admission

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
	"monsoondale/core/endpoint"
)

// Options configures a Shard. Zero fields take the stated defaults.
type Options struct {
	Pool      core.Pool
	Shard     core.ShardID
	Self      core.InstanceID // the owner
	Epoch     string          // makes grant ids unique across owners and restarts; default random
	MaxQueued int             // bound of queued asks, default 2000
	// Lowest is the least urgent tier that any kind of the pool uses. Its asks may be shed without confirmation.
	// The default, and the safe choice while the configuration is unknown, is the last tier. Tier 0 cannot be
	// stated: a pool that only has tier 0 pays for one confirmation.
	LowestTier    core.Tier
	Endpoint      endpoint.Options
	Headroom      float64       // slots kept free of lower tiers, in standard deviations of each higher tier's use, default 0.8
	LightReserve  float64       // share of slots kept free of callers that use a large part of the shard, default 0.08
	AgedReserve   float64       // share of slots that the lowest waiting tier keeps, default 0.05
	AgingDelay    time.Duration // wait after which the lowest tier may use the reserve, default 2 s
	MaxPrefixes   int           // bound of the prefix index, default 32768
	CacheHalfLife time.Duration // half-life of a cache estimate, default 2 min
	Disabled      Feature       // parts of the policy to leave out, for tests only
}

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = 2000
	}
	if o.LowestTier <= 0 || !o.LowestTier.Valid() {
		o.LowestTier = core.Tiers - 1
	}
	if o.Headroom <= 0 {
		o.Headroom = 0.8
	}
	if o.LightReserve <= 0 {
		o.LightReserve = 0.08
	}
	if o.AgedReserve <= 0 {
		o.AgedReserve = 0.05
	}
	if o.AgingDelay <= 0 {
		o.AgingDelay = 2 * time.Second
	}
	if o.MaxPrefixes <= 0 {
		o.MaxPrefixes = 32768
	}
	if o.CacheHalfLife <= 0 {
		o.CacheHalfLife = 2 * time.Minute
	}
	if o.Epoch == "" {
		o.Epoch = core.NewID()[:16]
	}
	return o
}

const (
	// holderTimeout frees the slots of a holder that has not sent a sync; holders send one each second.
	holderTimeout = 5 * time.Second
	// syncSlack is how old a grant must be before its absence from a full sync frees it: the grant may have
	// been on its way when the sync was written.
	syncSlack = 2 * time.Second
	// floorLease is the validity of a floor that this shard raises; it is renewed while the need lasts.
	floorLease = 2 * time.Second
	// raiseEvery spaces the requests for confirmation.
	raiseEvery = 500 * time.Millisecond
	// warmup is how long a new owner may not know of running requests: holders sync each second.
	warmup = 2 * time.Second
	// maxGap is the gap between due ticks after which the owner must assume that others took it for dead and shed
	// work on that assumption.
	maxGap = 2 * time.Second
	// sweepEvery is the tick interval while asks are queued, idleEvery otherwise.
	sweepEvery = 50 * time.Millisecond
	idleEvery  = time.Second
	// checkEvery spaces the search for silent holders.
	checkEvery = 250 * time.Millisecond
	// urgentUse is how long after the last ask of a tier the headroom against lower tiers is kept.
	urgentUse = time.Minute
	// scanLimit bounds the endpoints that one decision compares; a larger shard is sampled.
	scanLimit = 64
	// patience is the prefill backlog below which a free endpoint is always used.
	patience = 100 * time.Millisecond
	// calm is how long after a floor the reserve stays unused. In a lasting overload the floor falls and rises again
	// within seconds, and work that was resumed in between would only be suspended once more.
	calm = 5 * time.Second
	// heavyShare is the share of a shard's slots from which a caller counts as heavy.
	heavyShare = 0.08
	// lightUse is how long after the last ask of a light caller slots are kept for the next one.
	lightUse = 10 * time.Second
	// maxHeadroom bounds the headroom, as a share of the slots.
	maxHeadroom = 0.2
	// keptAlpha smooths the share of asks that are granted here.
	keptAlpha = 0.02
	// flowIdle is how long the debt of an idle flow is remembered.
	flowIdle = time.Minute
	// missMargin is the share of the time to the deadline that the estimated wait may use. The rest covers errors
	// of the estimate, since an answer that is refused early can be retried and a late one is wasted.
	missMargin = 0.8
)

// node is an endpoint within a shard.
type node struct {
	*endpoint.Tracker
	index   int32
	avail   int // position in Shard.avail, -1 if it has no free slot
	free    int // as counted in Shard.free
	slots   int
	share   float64 // cached share of the current ask's prompt
	mark    uint64  // decision for which share is valid
	listed  bool
	id      core.EndpointID
	probed  time.Time                     // last grant while failing or on probation
	refused map[core.InstanceID]time.Time // holders whose dial failed, until when they get other endpoints
}

// grant is a granted slot.
type grant struct {
	id         core.GrantID
	ask        *Ask
	node       *node // nil if adopted from a holder that names an unknown endpoint
	endpoint   core.EndpointID
	caller     *caller
	at         time.Time
	uncached   float64
	hold       float64
	cost       float64
	backlog    time.Duration
	tokens     core.Tokens // generated as of sampled
	age        time.Duration
	suspending bool
	asked      time.Time // when the suspension was last asked for
	adopted    bool
}

type holder struct {
	seen   time.Time
	digest uint64
	count  int
}

// Shard is the queue and the slot account of one shard of a pool. It is not safe for concurrent use.
type Shard struct {
	o       Options
	now     time.Time
	born    time.Time
	due     time.Time // of the next tick
	learned time.Time // last Judge
	checked time.Time // last look for timeouts
	expired time.Time // last expiry of flows
	rand    *rand.Rand
	seq     uint64

	queues  [core.Tiers]*tierQueue
	queued  map[core.RequestID]*item
	grants  map[core.RequestID]*grant
	holders map[core.InstanceID]*holder
	running [core.Tiers]int

	nodes  map[core.EndpointID]*node
	order  []*node // in the order of their appearance
	avail  []*node // nodes with a free slot
	free   int     // sum of free slots
	slots  int     // sum of slots
	prefix *endpoint.PrefixIndex
	mark   uint64
	index  []*node // by node.index, which the prefix index uses; nil if gone, never used again
	scan   int     // where the next sampled scan starts

	suspending int                   // running requests whose suspension was asked for
	stopped    time.Time             // when a suspension was last asked for
	noVictim   [core.Tiers]time.Time // no lower-tier request could be suspended until then
	lastAsk    [core.Tiers]time.Time // for the headroom
	load       [core.Tiers]float64   // usual number of running requests
	lastLight  [core.Tiers]time.Time // last ask of a caller that is not heavy
	floors     [core.Tiers]time.Time // validity of a floor of that tier
	confirmed  [core.Tiers]time.Time // validity of a confirmation for that floor
	raised     [core.Tiers]time.Time // when confirmation was last asked for

	ended    map[core.GrantID]time.Time // recent releases, which a late sync must not adopt again
	meanHold float64                    // seconds per slot use
	ratio    float64                    // observed slot time over its estimate
	kept     float64                    // share of the queued asks that is granted here; others are withdrawn
	rate     float64                    // mean prefill rate of the endpoints
	between  float64                    // mean seconds between tokens
	probing  int                        // endpoints on probation
	known    bool                       // the rates rest on observations
	took     float64                    // mean seconds of a request of a plain service
	effects  []Effect
}

// New returns an empty Shard.
func New(o Options) *Shard {
	o = o.withDefaults()
	o.Endpoint.FixedSlots = o.Endpoint.FixedSlots || o.Disabled&LearnedSlots != 0
	h := fnv.New64a()
	h.Write([]byte(o.Self))
	h.Write([]byte(o.Shard))
	s := &Shard{
		o: o, rand: rand.New(rand.NewPCG(h.Sum64(), xxhash.Sum64String(o.Epoch))),
		queued: map[core.RequestID]*item{}, grants: map[core.RequestID]*grant{},
		ended: map[core.GrantID]time.Time{}, holders: map[core.InstanceID]*holder{}, nodes: map[core.EndpointID]*node{},
		prefix: endpoint.NewPrefixIndex(o.MaxPrefixes, o.CacheHalfLife), meanHold: 1, ratio: 1, kept: 1, rate: 8000, between: 0.02, took: 0.1,
	}
	for i := range s.queues {
		s.queues[i] = newTierQueue()
	}
	return s
}

// Ask queues a request and grants it a slot if one is free. An ask of a request that has a live grant returns the
// same grant again, unless the ask excludes the granted endpoint: then the dial failed, and the slot is returned.
func (s *Shard) Ask(now time.Time, a Ask) []Effect {
	s.enter(now)
	a.Tier = min(max(a.Tier, 0), core.Tiers-1)
	if g := s.grants[a.Request]; g != nil {
		if !excluded(&a, g.endpoint) {
			g.ask.Holder = a.Holder
			return s.emit(s.granted(g, 0))
		}
		s.end(now, g, Release{Grant: g.id, Request: a.Request, Outcome: OutcomeRefused})
	}
	if it := s.queued[a.Request]; it != nil {
		if it.ask.Pin == a.Pin && len(it.ask.Exclude) == len(a.Exclude) {
			it.ask.Holder = a.Holder
			return s.leave(now)
		}
		s.unqueue(now, it)
	}
	if err := s.impossible(&a); err != nil {
		s.drain(now) // the slot of a refused dial may have become free
		return s.emit(Refuse{Request: a.Request, Holder: a.Holder, Err: err})
	}
	s.o.LowestTier = max(s.o.LowestTier, a.Tier) // the configuration may be newer than the option
	s.lastAsk[a.Tier] = now
	it := &item{ask: &a, at: now, cost: float64(max(1, a.Prefill+a.Decode))}
	it.hold = s.estimate(&a)
	s.queued[a.Request] = it
	q := s.queues[a.Tier]
	if a.Pin != "" || len(a.Exclude) > 0 {
		q.pushHead(it)
	} else {
		q.push(it, s.flowOf(it.ask))
		if !s.heavy(it.caller) {
			s.lastLight[a.Tier] = now
		}
	}
	s.drain(now)
	if s.queued[a.Request] == it {
		if len(s.queued) > s.o.MaxQueued {
			s.overflow(now)
		}
		if s.queued[a.Request] == it {
			s.rescue(now, it)
		}
	}
	return s.leave(now)
}

// Withdraw takes an ask back. A holder withdraws only what it waits for, so that a grant that crossed with the
// withdrawal is unused.
func (s *Shard) Withdraw(now time.Time, r core.RequestID) []Effect {
	s.enter(now)
	if it := s.queued[r]; it != nil {
		s.unqueue(now, it)
		s.kept -= keptAlpha * s.kept
	}
	if g := s.grants[r]; g != nil {
		s.end(now, g, Release{Grant: g.id, Request: r, Outcome: OutcomeUnused})
		s.drain(now)
	}
	return s.leave(now)
}

// Release returns a slot. A release that names another grant than the live one is ignored, since it was repeated
// or overtaken.
func (s *Shard) Release(now time.Time, r Release) []Effect {
	s.enter(now)
	if g := s.grants[r.Request]; g != nil && g.id == r.Grant {
		s.end(now, g, r)
		s.drain(now)
	}
	return s.leave(now)
}

// Endpoints takes over the pool's part of the instance list. Running requests of endpoints that vanished keep
// their accounts until they are released.
func (s *Shard) SetEndpoints(now time.Time, list []endpoint.Spec) []Effect {
	s.enter(now)
	for _, n := range s.order {
		n.listed = false
	}
	for _, spec := range list {
		n := s.nodes[spec.ID]
		if n == nil {
			n = &node{Tracker: endpoint.NewTracker(now, spec, s.o.Endpoint), index: int32(len(s.index)), avail: -1, id: spec.ID}
			s.index = append(s.index, n)
			s.nodes[spec.ID] = n
			s.order = append(s.order, n)
			for _, g := range s.sorted(func(g *grant) bool { return g.node == nil && g.endpoint == spec.ID }) {
				n.Adopt(now)
				g.node = n
			}
		}
		n.SetSpec(spec)
		n.listed = true
		s.refresh(n)
	}
	kept := s.order[:0]
	for _, n := range s.order {
		if n.listed {
			kept = append(kept, n)
			continue
		}
		delete(s.nodes, n.id)
		s.prefix.Forget(n.index)
		s.index[n.index] = nil
		for _, g := range s.grants {
			if g.node == n {
				g.node = nil
			}
		}
		s.refresh(n)
	}
	clear(s.order[len(kept):])
	s.order = kept
	s.refuseImpossible(now)
	s.drain(now)
	return s.leave(now)
}

// Report takes a lagged load report or cache events of an endpoint.
func (s *Shard) ApplyReport(now time.Time, r endpoint.Report) []Effect {
	s.enter(now)
	n := s.nodes[r.Endpoint]
	if n == nil {
		return s.leave(now)
	}
	if r.Gap {
		s.prefix.RecordGap(r.Time, n.index)
	}
	for _, e := range r.Events {
		if e.Evict {
			s.prefix.Evict(n.index, e.Prefix)
		} else {
			s.prefix.Store(r.Time, n.index, []core.Prefix{e.Prefix})
		}
	}
	if len(r.Events) == 0 && !r.Gap {
		n.RecordLoad(r)
		s.refresh(n)
		s.drain(now)
	}
	return s.leave(now)
}

// Floor suspends the work of tiers below t until then, on behalf of another shard of the pool.
func (s *Shard) ApplyFloor(now time.Time, t core.Tier, until time.Time) []Effect {
	s.enter(now)
	if t.Valid() {
		s.floors[t] = later(s.floors[t], until)
		s.suspendBelow(now, t)
	}
	return s.leave(now)
}

// Confirmed tells that all other candidates of the pool keep the floor t until then, and that no lower tier runs
// at their shards. It permits shedding of tier t and of less urgent ones.
func (s *Shard) FloorConfirmed(now time.Time, t core.Tier, until time.Time) []Effect {
	s.enter(now)
	if t.Valid() {
		s.floors[t] = later(s.floors[t], until)
		s.confirmed[t] = later(s.confirmed[t], until)
		s.suspendBelow(now, t)
		s.sweep(now)
	}
	return s.leave(now)
}

// Tick advances timeouts, learned limits and refusals.
func (s *Shard) Tick(now time.Time) []Effect {
	s.enter(now)
	if now.Sub(s.checked) >= checkEvery {
		s.checked = now
		s.timeouts(now)
	}
	if now.Sub(s.learned) >= time.Second {
		s.learned = now
		s.learn(now)
	}
	if now.Sub(s.expired) >= flowIdle/2 {
		s.expired = now
		for _, q := range s.queues {
			q.expire(now, flowIdle)
		}
	}
	s.drain(now)
	s.sweep(now)
	s.due = s.tickAfter(now)
	return s.leave(now)
}

// Next tells when Tick is due. A tick that is more than two seconds late counts as a pause of the whole process, after
// which the shard drops its grants.
func (s *Shard) NextTick(now time.Time) time.Time {
	if next := s.tickAfter(now); s.due.IsZero() || next.Before(s.due) {
		s.due = next
	}
	return s.due
}

func (s *Shard) tickAfter(now time.Time) time.Time {
	if len(s.queued) > 0 {
		return now.Add(sweepEvery)
	}
	return now.Add(idleEvery)
}

// Lower returns the number of running requests that are less urgent than t. For a floor to be confirmed it must be
// zero. A new owner counts one more until every holder had time to sync.
func (s *Shard) RunningBelow(t core.Tier) int {
	n := 0
	for i := max(0, t+1); i < core.Tiers; i++ {
		n += s.running[i]
	}
	if s.now.Sub(s.born) < warmup {
		n++
	}
	return n
}

// Stats describes a Shard.
type Stats struct {
	Queued  [core.Tiers]int
	Running [core.Tiers]int
	Slots   int           // of endpoints that accept work
	Free    int           // free slots
	Wait    time.Duration // estimated wait behind all that is queued
	Floor   core.Tier     // less urgent tiers get no grants; core.Tiers-1 if there is no floor
	Probing int           // endpoints on probation
}

// Stats returns the current state; Wait is what the answers to holders carry.
func (s *Shard) Stats() Stats {
	st := Stats{Running: s.running, Slots: s.slots, Free: s.free, Floor: s.floor(s.now), Probing: s.probing}
	hold := 0.0
	for i, q := range s.queues {
		st.Queued[i] = q.n
		hold += q.hold
	}
	st.Wait = s.wait(hold * s.ratio * s.kept)
	return st
}

// enter starts a call. After a gap between due ticks the owner was frozen: others may have taken over its requests
// and shed work because it was silent, so that it drops all grants and hands its asks back.
func (s *Shard) enter(now time.Time) {
	if s.born.IsZero() {
		s.born, s.learned, s.expired = now, now, now
	}
	if !s.due.IsZero() && now.Sub(s.due) > maxGap {
		for t := range s.queues {
			s.queues[t].each(func(it *item) bool {
				s.refuse(it, core.Errorf(core.CodeNotReady, "owner %s was paused", s.o.Self))
				return true
			})
			s.queues[t] = newTierQueue()
		}
		clear(s.queued)
		for _, g := range s.sorted(func(*grant) bool { return true }) {
			s.detach(g, g.uncached)
		}
		clear(s.holders)
		s.floors, s.confirmed = [core.Tiers]time.Time{}, [core.Tiers]time.Time{}
		s.born = now
		s.due = s.tickAfter(now)
	}
	s.now = later(s.now, now)
}

// leave ends a call and returns its effects.
func (s *Shard) leave(now time.Time) []Effect {
	s.NextTick(now)
	e := s.effects
	s.effects = nil
	return e
}

func (s *Shard) emit(e Effect) []Effect {
	s.effects = append(s.effects, e)
	return s.leave(s.now)
}

func (s *Shard) refuse(it *item, err *core.Error) {
	s.effects = append(s.effects, Refuse{Request: it.ask.Request, Holder: it.ask.Holder, Err: err})
}

func (s *Shard) unqueue(now time.Time, it *item) {
	delete(s.queued, it.ask.Request)
	s.queues[it.ask.Tier].remove(now, it)
}

// impossible returns an error if no listed endpoint can ever serve the ask.
func (s *Shard) impossible(a *Ask) *core.Error {
	if a.Pin != "" {
		if s.nodes[a.Pin] == nil || excluded(a, a.Pin) {
			return core.Errorf(core.CodeNoEndpoint, "endpoint %s cannot continue the request", a.Pin)
		}
		return nil
	}
	for _, n := range s.order {
		if !n.Spec().Leaving && !excluded(a, n.id) {
			return nil
		}
	}
	err := core.Errorf(core.CodeNoEndpoint, "shard %s", s.o.Shard)
	err.Retry = s.spread(time.Second)
	return err
}

func (s *Shard) refuseImpossible(now time.Time) {
	var gone []*item
	for _, q := range s.queues {
		q.each(func(it *item) bool {
			if s.impossible(it.ask) != nil {
				gone = append(gone, it)
			}
			return true
		})
	}
	for _, it := range gone {
		s.refuse(it, s.impossible(it.ask))
		s.unqueue(now, it)
	}
}

// estimate returns the expected slot seconds of an ask.
func (s *Shard) estimate(a *Ask) float64 {
	if s.isService() {
		return s.took
	}
	return float64(a.Prefill)/s.rate + float64(a.Decode)*s.between
}

// isService reports whether the pool consists of plain services.
func (s *Shard) isService() bool { return len(s.order) > 0 && s.order[0].Spec().Service }

// wait estimates the queueing delay behind that many slot seconds, as they really last.
func (s *Shard) wait(hold float64) time.Duration {
	if hold == 0 && s.free > 0 {
		return 0
	}
	return seconds((hold + s.meanHold) / float64(max(1, s.slots)))
}

// spread scatters a delay, so that refused callers do not return all at once.
func (s *Shard) spread(d time.Duration) time.Duration {
	return time.Duration(float64(max(d, 500*time.Millisecond)) * (0.5 + s.rand.Float64()))
}

// refresh updates the shard's totals after a change of a node.
func (s *Shard) refresh(n *node) {
	free, slots := 0, 0
	if n.listed {
		free, slots = n.Free(), n.Slots()
	}
	s.free += free - n.free
	s.slots += slots - n.slots
	n.free, n.slots = free, slots
	switch {
	case free > 0 && n.avail < 0:
		n.avail = len(s.avail)
		s.avail = append(s.avail, n)
	case free == 0 && n.avail >= 0:
		last := s.avail[len(s.avail)-1]
		s.avail[n.avail] = last
		last.avail = n.avail
		s.avail = s.avail[:len(s.avail)-1]
		n.avail = -1
	}
}

// floor returns the most urgent floor in force.
func (s *Shard) floor(now time.Time) core.Tier {
	for t := range core.Tier(core.Tiers) {
		if s.floors[t].After(now) {
			return t
		}
	}
	return core.Tiers - 1
}

func excluded(a *Ask, id core.EndpointID) bool {
	for _, x := range a.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
