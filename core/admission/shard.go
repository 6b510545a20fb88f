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
	syncGrace = 2 * time.Second
	// floorLease is the validity of a floor that this shard raises; it is renewed while the need lasts.
	floorValidity = 2 * time.Second
	// raiseEvery spaces the requests for confirmation.
	confirmFloorInterval = 500 * time.Millisecond
	// warmup is how long a new owner may not know of running requests: holders sync each second.
	warmup = 2 * time.Second
	// maxGap is the gap between due ticks after which the owner must assume that others took it for dead and shed
	// work on that assumption.
	maxTickDelay = 2 * time.Second
	// sweepEvery is the tick interval while asks are queued, idleEvery otherwise.
	busyTickInterval = 50 * time.Millisecond
	idleTickInterval = time.Second
	// checkEvery spaces the search for silent holders.
	timeoutCheckInterval = 250 * time.Millisecond
	// urgentUse is how long after the last ask of a tier the headroom against lower tiers is kept.
	headroomWindow = time.Minute
	// scanLimit bounds the endpoints that one decision compares; a larger shard is sampled.
	maxComparedNodes = 64
	// patience is the prefill backlog below which a free endpoint is always used.
	acceptableBacklog = 100 * time.Millisecond
	// calm is how long after a floor the reserve stays unused. In a lasting overload the floor falls and rises again
	// within seconds, and work that was resumed in between would only be suspended once more.
	agingPause = 5 * time.Second
	// heavyShare is the share of a shard's slots from which a caller counts as heavy.
	heavyShare = 0.08
	// lightUse is how long after the last ask of a light caller slots are kept for the next one.
	lightWindow = 10 * time.Second
	// maxHeadroom bounds the headroom, as a share of the slots.
	maxHeadroomShare = 0.2
	// keptAlpha smooths the share of asks that are granted here.
	grantedShareSmoothing = 0.02
	// flowIdle is how long the debt of an idle flow is remembered.
	flowExpiry = time.Minute
	// missMargin is the share of the time to the deadline that the estimated wait may use. The rest covers errors
	// of the estimate, since an answer that is refused early can be retried and a late one is wasted.
	deadlineMargin = 0.8
)

// node is an endpoint within a shard.
type node struct {
	*endpoint.Tracker
	index          int32
	availableIndex int // position in Shard.avail, -1 if it has no free slot
	free           int // as counted in Shard.free
	slots          int
	cachedShare    float64 // cached share of the current ask's prompt
	shareDecision  uint64  // decision for which share is valid
	listed         bool
	id             core.EndpointID
	lastProbe      time.Time                     // last grant while failing or on probation
	refusedUntil   map[core.InstanceID]time.Time // holders whose dial failed, until when they get other endpoints
}

// grant is a granted slot.
type grant struct {
	id              core.GrantID
	ask             *Ask
	node            *node // nil if adopted from a holder that names an unknown endpoint
	endpoint        core.EndpointID
	caller          *caller
	grantedAt       time.Time
	uncached        float64
	slotSeconds     float64
	estimatedTokens float64
	backlog         time.Duration
	tokens          core.Tokens // generated as of sampled
	age             time.Duration
	suspending      bool
	suspendSent     time.Time // when the suspension was last asked for
	adopted         bool
}

type holder struct {
	lastSeen time.Time
	digest   uint64
	running  int
}

// Shard is the queue and the slot account of one shard of a pool. It is not safe for concurrent use.
type Shard struct {
	opts             Options
	now              time.Time
	started          time.Time
	nextTick         time.Time // of the next tick
	lastRateUpdate   time.Time // last Judge
	lastTimeoutCheck time.Time // last look for timeouts
	lastExpiry       time.Time // last expiry of flows
	rand             *rand.Rand
	grantSeq         uint64

	queues  [core.Tiers]*tierQueue
	queued  map[core.RequestID]*item
	grants  map[core.RequestID]*grant
	holders map[core.InstanceID]*holder
	running [core.Tiers]int

	nodes       map[core.EndpointID]*node
	nodeList    []*node // in the order of their appearance
	available   []*node // nodes with a free slot
	freeSlots   int     // sum of free slots
	totalSlots  int     // sum of slots
	prefixes    *endpoint.PrefixIndex
	decision    uint64
	nodeByIndex []*node // by node.index, which the prefix index uses; nil if gone, never used again
	scanStart   int     // where the next sampled scan starts

	suspendingCount  int                   // running requests whose suspension was asked for
	lastSuspension   time.Time             // when a suspension was last asked for
	noVictimUntil    [core.Tiers]time.Time // no lower-tier request could be suspended until then
	lastAsk          [core.Tiers]time.Time // for the headroom
	meanRunning      [core.Tiers]float64   // usual number of running requests
	lastLightAsk     [core.Tiers]time.Time // last ask of a caller that is not heavy
	floorUntil       [core.Tiers]time.Time // validity of a floor of that tier
	confirmedUntil   [core.Tiers]time.Time // validity of a confirmation for that floor
	lastConfirmFloor [core.Tiers]time.Time // when confirmation was last asked for

	endedGrants     map[core.GrantID]time.Time // recent releases, which a late sync must not adopt again
	meanSlotSeconds float64                    // seconds per slot use
	slotTimeRatio   float64                    // observed slot time over its estimate
	grantedShare    float64                    // share of the queued asks that is granted here; others are withdrawn
	prefillRate     float64                    // mean prefill rate of the endpoints
	tokenInterval   float64                    // mean seconds between tokens
	onProbation     int                        // endpoints on probation
	ratesKnown      bool                       // the rates rest on observations
	serviceTime     float64                    // mean seconds of a request of a plain service
	effects         []Effect
}

// New returns an empty Shard.
func New(o Options) *Shard {
	o = o.withDefaults()
	o.Endpoint.FixedSlots = o.Endpoint.FixedSlots || o.Disabled&LearnedSlots != 0
	h := fnv.New64a()
	h.Write([]byte(o.Self))
	h.Write([]byte(o.Shard))
	s := &Shard{
		opts: o, rand: rand.New(rand.NewPCG(h.Sum64(), xxhash.Sum64String(o.Epoch))),
		queued: map[core.RequestID]*item{}, grants: map[core.RequestID]*grant{},
		endedGrants: map[core.GrantID]time.Time{}, holders: map[core.InstanceID]*holder{}, nodes: map[core.EndpointID]*node{},
		prefixes: endpoint.NewPrefixIndex(o.MaxPrefixes, o.CacheHalfLife), meanSlotSeconds: 1, slotTimeRatio: 1, grantedShare: 1, prefillRate: 8000, tokenInterval: 0.02, serviceTime: 0.1,
	}
	for i := range s.queues {
		s.queues[i] = newTierQueue()
	}
	return s
}

// Ask queues a request and grants it a slot if one is free. An ask of a request that has a live grant returns the
// same grant again, unless the ask excludes the granted endpoint: then the dial failed, and the slot is returned.
func (s *Shard) Ask(now time.Time, a Ask) []Effect {
	s.begin(now)
	a.Tier = min(max(a.Tier, 0), core.Tiers-1)
	if g := s.grants[a.Request]; g != nil {
		if !isExcluded(&a, g.endpoint) {
			g.ask.Holder = a.Holder
			return s.takeEffectsWith(s.grantEffect(g, 0))
		}
		s.endGrant(now, g, Release{Grant: g.id, Request: a.Request, Outcome: OutcomeRefused})
	}
	if it := s.queued[a.Request]; it != nil {
		if it.ask.Pin == a.Pin && len(it.ask.Exclude) == len(a.Exclude) {
			it.ask.Holder = a.Holder
			return s.takeEffects(now)
		}
		s.dequeue(now, it)
	}
	if err := s.checkServable(&a); err != nil {
		s.grantFreeSlots(now) // the slot of a refused dial may have become free
		return s.takeEffectsWith(Refuse{Request: a.Request, Holder: a.Holder, Err: err})
	}
	s.opts.LowestTier = max(s.opts.LowestTier, a.Tier) // the configuration may be newer than the option
	s.lastAsk[a.Tier] = now
	it := &item{ask: &a, queuedAt: now, estimatedTokens: float64(max(1, a.Prefill+a.Decode))}
	it.slotSeconds = s.estimateSlotSeconds(&a)
	s.queued[a.Request] = it
	q := s.queues[a.Tier]
	if a.Pin != "" || len(a.Exclude) > 0 {
		q.pushHead(it)
	} else {
		q.push(it, s.flowKeyOf(it.ask))
		if !s.isHeavy(it.caller) {
			s.lastLightAsk[a.Tier] = now
		}
	}
	s.grantFreeSlots(now)
	if s.queued[a.Request] == it {
		if len(s.queued) > s.opts.MaxQueued {
			s.trimQueue(now)
		}
		if s.queued[a.Request] == it {
			s.enforceDeadline(now, it)
		}
	}
	return s.takeEffects(now)
}

// Withdraw takes an ask back. A holder withdraws only what it waits for, so that a grant that crossed with the
// withdrawal is unused.
func (s *Shard) Withdraw(now time.Time, r core.RequestID) []Effect {
	s.begin(now)
	if it := s.queued[r]; it != nil {
		s.dequeue(now, it)
		s.grantedShare -= grantedShareSmoothing * s.grantedShare
	}
	if g := s.grants[r]; g != nil {
		s.endGrant(now, g, Release{Grant: g.id, Request: r, Outcome: OutcomeUnused})
		s.grantFreeSlots(now)
	}
	return s.takeEffects(now)
}

// Release returns a slot. A release that names another grant than the live one is ignored, since it was repeated
// or overtaken.
func (s *Shard) Release(now time.Time, r Release) []Effect {
	s.begin(now)
	if g := s.grants[r.Request]; g != nil && g.id == r.Grant {
		s.endGrant(now, g, r)
		s.grantFreeSlots(now)
	}
	return s.takeEffects(now)
}

// Endpoints takes over the pool's part of the instance list. Running requests of endpoints that vanished keep
// their accounts until they are released.
func (s *Shard) SetEndpoints(now time.Time, list []endpoint.Spec) []Effect {
	s.begin(now)
	for _, n := range s.nodeList {
		n.listed = false
	}
	for _, spec := range list {
		n := s.nodes[spec.ID]
		if n == nil {
			n = &node{Tracker: endpoint.NewTracker(now, spec, s.opts.Endpoint), index: int32(len(s.nodeByIndex)), availableIndex: -1, id: spec.ID}
			s.nodeByIndex = append(s.nodeByIndex, n)
			s.nodes[spec.ID] = n
			s.nodeList = append(s.nodeList, n)
			for _, g := range s.sortedGrants(func(g *grant) bool { return g.node == nil && g.endpoint == spec.ID }) {
				n.Adopt(now)
				g.node = n
			}
		}
		n.SetSpec(spec)
		n.listed = true
		s.updateTotals(n)
	}
	kept := s.nodeList[:0]
	for _, n := range s.nodeList {
		if n.listed {
			kept = append(kept, n)
			continue
		}
		delete(s.nodes, n.id)
		s.prefixes.Forget(n.index)
		s.nodeByIndex[n.index] = nil
		for _, g := range s.grants {
			if g.node == n {
				g.node = nil
			}
		}
		s.updateTotals(n)
	}
	clear(s.nodeList[len(kept):])
	s.nodeList = kept
	s.refuseUnservable(now)
	s.grantFreeSlots(now)
	return s.takeEffects(now)
}

// Report takes a lagged load report or cache events of an endpoint.
func (s *Shard) ApplyReport(now time.Time, r endpoint.Report) []Effect {
	s.begin(now)
	n := s.nodes[r.Endpoint]
	if n == nil {
		return s.takeEffects(now)
	}
	if r.Gap {
		s.prefixes.RecordGap(r.Time, n.index)
	}
	for _, e := range r.Events {
		if e.Evict {
			s.prefixes.Evict(n.index, e.Prefix)
		} else {
			s.prefixes.Store(r.Time, n.index, []core.PrefixHash{e.Prefix})
		}
	}
	if len(r.Events) == 0 && !r.Gap {
		n.RecordLoad(r)
		s.updateTotals(n)
		s.grantFreeSlots(now)
	}
	return s.takeEffects(now)
}

// Floor suspends the work of tiers below t until then, on behalf of another shard of the pool.
func (s *Shard) ApplyFloor(now time.Time, t core.Tier, until time.Time) []Effect {
	s.begin(now)
	if t.Valid() {
		s.floorUntil[t] = latest(s.floorUntil[t], until)
		s.suspendBelow(now, t)
	}
	return s.takeEffects(now)
}

// Confirmed tells that all other candidates of the pool keep the floor t until then, and that no lower tier runs
// at their shards. It permits shedding of tier t and of less urgent ones.
func (s *Shard) FloorConfirmed(now time.Time, t core.Tier, until time.Time) []Effect {
	s.begin(now)
	if t.Valid() {
		s.floorUntil[t] = latest(s.floorUntil[t], until)
		s.confirmedUntil[t] = latest(s.confirmedUntil[t], until)
		s.suspendBelow(now, t)
		s.checkDeadlines(now)
	}
	return s.takeEffects(now)
}

// Tick advances timeouts, learned limits and refusals.
func (s *Shard) Tick(now time.Time) []Effect {
	s.begin(now)
	if now.Sub(s.lastTimeoutCheck) >= timeoutCheckInterval {
		s.lastTimeoutCheck = now
		s.expireHolders(now)
	}
	if now.Sub(s.lastRateUpdate) >= time.Second {
		s.lastRateUpdate = now
		s.updateRates(now)
	}
	if now.Sub(s.lastExpiry) >= flowExpiry/2 {
		s.lastExpiry = now
		for _, q := range s.queues {
			q.expireIdle(now, flowExpiry)
		}
	}
	s.grantFreeSlots(now)
	s.checkDeadlines(now)
	s.nextTick = s.tickTime(now)
	return s.takeEffects(now)
}

// Next tells when Tick is due. A tick that is more than two seconds late counts as a pause of the whole process, after
// which the shard drops its grants.
func (s *Shard) NextTick(now time.Time) time.Time {
	if next := s.tickTime(now); s.nextTick.IsZero() || next.Before(s.nextTick) {
		s.nextTick = next
	}
	return s.nextTick
}

func (s *Shard) tickTime(now time.Time) time.Time {
	if len(s.queued) > 0 {
		return now.Add(busyTickInterval)
	}
	return now.Add(idleTickInterval)
}

// Lower returns the number of running requests that are less urgent than t. For a floor to be confirmed it must be
// zero. A new owner counts one more until every holder had time to sync.
func (s *Shard) RunningBelow(t core.Tier) int {
	n := 0
	for i := max(0, t+1); i < core.Tiers; i++ {
		n += s.running[i]
	}
	if s.now.Sub(s.started) < warmup {
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
	st := Stats{Running: s.running, Slots: s.totalSlots, Free: s.freeSlots, Floor: s.currentFloor(s.now), Probing: s.onProbation}
	hold := 0.0
	for i, q := range s.queues {
		st.Queued[i] = q.count
		hold += q.slotSeconds
	}
	st.Wait = s.queueDelay(hold * s.slotTimeRatio * s.grantedShare)
	return st
}

// enter starts a call. After a gap between due ticks the owner was frozen: others may have taken over its requests
// and shed work because it was silent, so that it drops all grants and hands its asks back.
func (s *Shard) begin(now time.Time) {
	if s.started.IsZero() {
		s.started, s.lastRateUpdate, s.lastExpiry = now, now, now
	}
	if !s.nextTick.IsZero() && now.Sub(s.nextTick) > maxTickDelay {
		for t := range s.queues {
			s.queues[t].forEach(func(it *item) bool {
				s.refuse(it, core.Errorf(core.CodeNotReady, "owner %s was paused", s.opts.Self))
				return true
			})
			s.queues[t] = newTierQueue()
		}
		clear(s.queued)
		for _, g := range s.sortedGrants(func(*grant) bool { return true }) {
			s.removeGrant(g, g.uncached)
		}
		clear(s.holders)
		s.floorUntil, s.confirmedUntil = [core.Tiers]time.Time{}, [core.Tiers]time.Time{}
		s.started = now
		s.nextTick = s.tickTime(now)
	}
	s.now = latest(s.now, now)
}

// leave ends a call and returns its effects.
func (s *Shard) takeEffects(now time.Time) []Effect {
	s.NextTick(now)
	e := s.effects
	s.effects = nil
	return e
}

func (s *Shard) takeEffectsWith(e Effect) []Effect {
	s.effects = append(s.effects, e)
	return s.takeEffects(s.now)
}

func (s *Shard) refuse(it *item, err *core.Error) {
	s.effects = append(s.effects, Refuse{Request: it.ask.Request, Holder: it.ask.Holder, Err: err})
}

func (s *Shard) dequeue(now time.Time, it *item) {
	delete(s.queued, it.ask.Request)
	s.queues[it.ask.Tier].remove(now, it)
}

// impossible returns an error if no listed endpoint can ever serve the ask.
func (s *Shard) checkServable(a *Ask) *core.Error {
	if a.Pin != "" {
		if s.nodes[a.Pin] == nil || isExcluded(a, a.Pin) {
			return core.Errorf(core.CodeNoEndpoint, "endpoint %s cannot continue the request", a.Pin)
		}
		return nil
	}
	for _, n := range s.nodeList {
		if !n.Spec().Leaving && !isExcluded(a, n.id) {
			return nil
		}
	}
	err := core.Errorf(core.CodeNoEndpoint, "shard %s", s.opts.Shard)
	err.RetryAfter = s.jitter(time.Second)
	return err
}

func (s *Shard) refuseUnservable(now time.Time) {
	var gone []*item
	for _, q := range s.queues {
		q.forEach(func(it *item) bool {
			if s.checkServable(it.ask) != nil {
				gone = append(gone, it)
			}
			return true
		})
	}
	for _, it := range gone {
		s.refuse(it, s.checkServable(it.ask))
		s.dequeue(now, it)
	}
}

// estimate returns the expected slot seconds of an ask.
func (s *Shard) estimateSlotSeconds(a *Ask) float64 {
	if s.isService() {
		return s.serviceTime
	}
	return float64(a.Prefill)/s.prefillRate + float64(a.Decode)*s.tokenInterval
}

// isService reports whether the pool consists of plain services.
func (s *Shard) isService() bool { return len(s.nodeList) > 0 && s.nodeList[0].Spec().Service }

// wait estimates the queueing delay behind that many slot seconds, as they really last.
func (s *Shard) queueDelay(hold float64) time.Duration {
	if hold == 0 && s.freeSlots > 0 {
		return 0
	}
	return seconds((hold + s.meanSlotSeconds) / float64(max(1, s.totalSlots)))
}

// spread scatters a delay, so that refused callers do not return all at once.
func (s *Shard) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(max(d, 500*time.Millisecond)) * (0.5 + s.rand.Float64()))
}

// refresh updates the shard's totals after a change of a node.
func (s *Shard) updateTotals(n *node) {
	free, slots := 0, 0
	if n.listed {
		free, slots = n.Free(), n.Slots()
	}
	s.freeSlots += free - n.free
	s.totalSlots += slots - n.slots
	n.free, n.slots = free, slots
	switch {
	case free > 0 && n.availableIndex < 0:
		n.availableIndex = len(s.available)
		s.available = append(s.available, n)
	case free == 0 && n.availableIndex >= 0:
		last := s.available[len(s.available)-1]
		s.available[n.availableIndex] = last
		last.availableIndex = n.availableIndex
		s.available = s.available[:len(s.available)-1]
		n.availableIndex = -1
	}
}

// floor returns the most urgent floor in force.
func (s *Shard) currentFloor(now time.Time) core.Tier {
	for t := range core.Tier(core.Tiers) {
		if s.floorUntil[t].After(now) {
			return t
		}
	}
	return core.Tiers - 1
}

func isExcluded(a *Ask, id core.EndpointID) bool {
	for _, x := range a.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
