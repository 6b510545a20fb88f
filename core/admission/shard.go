// Package admission implements admission control for one shard of a pool: it queues requests by tier, workspace and
// caller, grants them slots on endpoints, and sheds or suspends work under overload. A Shard does no I/O and reads no
// clock: the current time is passed in, and the caller carries out the effects that the methods return.
//
// The instance that runs a Shard is the owner of the shard. An instance that asks it for slots on behalf of callers is a
// holder. A floor is a tier below which no slots are granted and running work is suspended; tier 0 is the most urgent
// one. The candidates of a pool are the instances that may own one of its shards.
package admission

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
	"monsoondale/core/endpoint"
)

// Options configures a Shard. Zero fields take the defaults given with them.
type Options struct {
	Pool      core.Pool
	Shard     core.ShardID
	Self      core.InstanceID // instance that owns the shard
	Epoch     string          // prefix of grant ids, unique per owner and restart; default random
	MaxQueued int             // maximum number of queued asks, default 2000
	// LowestTier is the least urgent tier that any kind of the pool uses. Its asks may be shed without confirmation.
	// The default is the last tier, which is safe while the configuration is unknown. Tier 0 cannot be set, so a pool
	// that only has tier 0 needs a confirmation before it sheds.
	LowestTier    core.Tier
	Endpoint      endpoint.Options
	Headroom      float64       // slots kept free of lower tiers, in standard deviations of each higher tier's running requests, default 0.8
	LightReserve  float64       // share of the slots that heavy callers leave free for light ones, default 0.08
	AgedReserve   float64       // share of the slots that the lowest waiting tier may use despite higher tiers, default 0.05
	AgingDelay    time.Duration // wait after which the lowest tier may use AgedReserve, default 2 s
	MaxPrefixes   int           // maximum number of prefixes in the index, default 32768
	CacheHalfLife time.Duration // half-life of the confidence in a cache estimate, default 2 min
	Disabled      Feature       // policy features to turn off, for tests only
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
	// holderTimeout is how long after its last sync a holder loses its slots. Holders send a sync each second.
	holderTimeout = 5 * time.Second
	// syncGrace is the age from which a grant that a full sync lacks is freed. A younger grant may still have been in
	// transit when the holder wrote the sync.
	syncGrace = 2 * time.Second
	// floorValidity is how long a floor raised by this shard applies. The floor is renewed while the overload lasts.
	floorValidity = 2 * time.Second
	// confirmFloorInterval is the minimum time between two ConfirmFloor effects of a tier.
	confirmFloorInterval = 500 * time.Millisecond
	// warmup is how long a new owner may not know all running requests, since holders send a sync each second.
	warmup = 2 * time.Second
	// maxTickDelay is the delay of a tick after which the owner must assume that peers considered it dead and shed work
	// on that assumption.
	maxTickDelay = 2 * time.Second
	// Tick intervals while asks are queued, and otherwise.
	busyTickInterval = 50 * time.Millisecond
	idleTickInterval = time.Second
	// timeoutCheckInterval is the time between checks for timed-out holders.
	timeoutCheckInterval = 250 * time.Millisecond
	// headroomWindow is how long after the last ask of a tier slots are kept free of lower tiers.
	headroomWindow = time.Minute
	// maxComparedNodes is the maximum number of endpoints compared per decision. Larger shards are sampled.
	maxComparedNodes = 64
	// acceptableBacklog is the prefill backlog below which a free endpoint is used without waiting for a better one.
	acceptableBacklog = 100 * time.Millisecond
	// agingPause is how long the reserve stays unused after a floor or a suspension. In a lasting overload the floor is
	// lowered and raised again within seconds, and work resumed in between would be suspended again.
	agingPause = 5 * time.Second
	// heavyShare is the share of the shard's slots from which a caller counts as heavy.
	heavyShare = 0.08
	// lightWindow is how long after the last ask of a light caller slots are kept for the next one.
	lightWindow = 10 * time.Second
	// maxHeadroomShare is the maximum headroom, as a share of the slots.
	maxHeadroomShare = 0.2
	// grantedShareSmoothing is the weight of one sample in Shard.grantedShare.
	grantedShareSmoothing = 0.02
	// flowExpiry is how long the fair-queueing state of an idle workspace or caller is kept.
	flowExpiry = time.Minute
	// deadlineMargin is the share of the time to the deadline that the estimated wait may use. The rest allows for
	// estimation errors: a request refused early can be retried, while work that ends late is wasted.
	deadlineMargin = 0.8
)

// node is an endpoint of the shard.
type node struct {
	*endpoint.Tracker
	index          int32 // in Shard.nodeByIndex and the prefix index
	availableIndex int   // position in Shard.available, -1 without a free slot
	free           int   // as included in Shard.freeSlots
	slots          int
	cachedShare    float64 // share of the current ask's prompt that is cached here
	shareDecision  uint64  // Shard.decision for which cachedShare is valid
	listed         bool
	id             core.EndpointID
	lastProbe      time.Time                     // last grant while failing or on probation
	refusedUntil   map[core.InstanceID]time.Time // holders whose dial failed, and until when they get other endpoints
}

// grant is a granted slot.
type grant struct {
	id              core.GrantID
	ask             *Ask
	node            *node // nil if the endpoint is not listed
	endpoint        core.EndpointID
	caller          *caller
	grantedAt       time.Time
	uncached        float64 // prompt tokens that are expected to be computed
	slotSeconds     float64
	estimatedTokens float64
	backlog         time.Duration // prefill queued at the endpoint before this request
	tokens          core.Tokens   // generated as of the last sample
	age             time.Duration // since dispatch, as of the last sample
	suspending      bool
	suspendSent     time.Time // when the last Suspend effect was emitted
	adopted         bool      // taken over from a sync instead of granted by this shard
}

// holder is an instance that holds grants of the shard.
type holder struct {
	lastSeen time.Time
	digest   uint64
	running  int
}

// Shard holds the queue, the grants and the endpoint state of one shard of a pool. It is not safe for concurrent use.
type Shard struct {
	opts             Options
	now              time.Time
	started          time.Time
	nextTick         time.Time
	lastRateUpdate   time.Time
	lastTimeoutCheck time.Time
	lastExpiry       time.Time // of the state of idle flows
	rand             *rand.Rand
	grantSeq         uint64

	queues  [core.Tiers]*tierQueue
	queued  map[core.RequestID]*item
	grants  map[core.RequestID]*grant
	holders map[core.InstanceID]*holder
	running [core.Tiers]int

	nodes       map[core.EndpointID]*node
	nodeList    []*node // in the order in which they were first listed
	available   []*node // nodes with a free slot, unordered
	freeSlots   int     // sum over the nodes
	totalSlots  int     // sum over the nodes
	prefixes    *endpoint.PrefixIndex
	decision    uint64  // number of the current decision, see node.shareDecision
	nodeByIndex []*node // by node.index, the key in the prefix index; nil if unlisted, never reused
	scanStart   int     // where the next sample of nodes starts

	suspendingCount  int                   // running requests with a pending suspension
	lastSuspension   time.Time             // when the last Suspend effect was emitted
	noVictimUntil    [core.Tiers]time.Time // no search for a victim before this time, by tier of the ask
	lastAsk          [core.Tiers]time.Time // used for the headroom
	meanRunning      [core.Tiers]float64   // smoothed number of running requests
	lastLightAsk     [core.Tiers]time.Time // last ask of a caller that was not heavy
	floorUntil       [core.Tiers]time.Time // end of the floor of each tier
	confirmedUntil   [core.Tiers]time.Time // end of the confirmation of that floor
	lastConfirmFloor [core.Tiers]time.Time // when the last ConfirmFloor effect was emitted

	endedGrants     map[core.GrantID]time.Time // recently released; a late sync must not adopt them again
	meanSlotSeconds float64                    // mean time that a request holds a slot
	slotTimeRatio   float64                    // smoothed ratio of observed to estimated slot time
	grantedShare    float64                    // share of the queued asks that are granted here; the others are withdrawn
	prefillRate     float64                    // mean over the endpoints, in tokens per second
	tokenInterval   float64                    // mean over the endpoints, in seconds
	onProbation     int                        // number of endpoints on probation
	ratesKnown      bool                       // the means include observed rates
	serviceTime     float64                    // mean seconds per request of a plain service
	effects         []Effect
}

// New returns a Shard without endpoints.
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

// Ask queues a request and grants it a slot if one is free. If the request already has a grant, the same grant is
// returned again. If the ask excludes the granted endpoint, the holder's dial failed, and the slot is released first.
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
		s.grantFreeSlots(now) // ending the grant above may have freed a slot
		return s.takeEffectsWith(Refuse{Request: a.Request, Holder: a.Holder, Err: err})
	}
	s.opts.LowestTier = max(s.opts.LowestTier, a.Tier) // a newer configuration may use lower tiers than the option says
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

// Withdraw removes an ask. Holders withdraw only asks that they still wait for, so a grant that crosses the withdrawal
// is unused and its slot is released.
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

// Release frees a slot. A release of another grant than the current one is a duplicate or arrived late, and is ignored.
func (s *Shard) Release(now time.Time, r Release) []Effect {
	s.begin(now)
	if g := s.grants[r.Request]; g != nil && g.id == r.Grant {
		s.endGrant(now, g, r)
		s.grantFreeSlots(now)
	}
	return s.takeEffects(now)
}

// SetEndpoints replaces the endpoints of the shard. Requests that run on an endpoint which is no longer listed keep their
// grants until they are released.
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

// ApplyReport applies a load report or cache events of an endpoint, both of which arrive with a delay.
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

// ApplyFloor stops grants to tiers less urgent than t until the given time and suspends their running work. Another
// shard of the pool asked for it.
func (s *Shard) ApplyFloor(now time.Time, t core.Tier, until time.Time) []Effect {
	s.begin(now)
	if t.Valid() {
		s.floorUntil[t] = latest(s.floorUntil[t], until)
		s.suspendBelow(now, t)
	}
	return s.takeEffects(now)
}

// FloorConfirmed records that all other candidates of the pool apply the floor t until the given time and that no lower
// tier runs at their shards. Tier t and less urgent tiers may then be shed.
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

// Tick handles timeouts, updates the learned rates and limits, and enforces deadlines.
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

// NextTick returns when Tick is due. A tick that is late by more than maxTickDelay counts as a pause of the whole process,
// after which the shard drops its grants.
func (s *Shard) NextTick(now time.Time) time.Time {
	if next := s.tickTime(now); s.nextTick.IsZero() || next.Before(s.nextTick) {
		s.nextTick = next
	}
	return s.nextTick
}

// tickTime returns when the tick after now is due.
func (s *Shard) tickTime(now time.Time) time.Time {
	if len(s.queued) > 0 {
		return now.Add(busyTickInterval)
	}
	return now.Add(idleTickInterval)
}

// RunningBelow returns the number of running requests that are less urgent than t, which must be zero before a floor is
// confirmed. During the warm-up of a new owner one more is counted, since not every holder has sent its sync yet.
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

// Stats is a snapshot of a Shard.
type Stats struct {
	Queued  [core.Tiers]int
	Running [core.Tiers]int
	Slots   int // of endpoints that accept work, free or not
	Free    int
	Wait    time.Duration // estimated wait of a new ask behind all queued ones
	Floor   core.Tier     // less urgent tiers get no grants; core.Tiers-1 without a floor
	Probing int           // number of endpoints on probation
}

// Stats returns the current state. Its Wait is sent to holders with each answer.
func (s *Shard) Stats() Stats {
	st := Stats{Running: s.running, Slots: s.totalSlots, Free: s.freeSlots, Floor: s.currentFloor(s.now), Probing: s.onProbation}
	queuedSeconds := 0.0
	for i, q := range s.queues {
		st.Queued[i] = q.count
		queuedSeconds += q.slotSeconds
	}
	st.Wait = s.queueDelay(queuedSeconds * s.slotTimeRatio * s.grantedShare)
	return st
}

// begin starts a method call. If the last tick is overdue, the owner was paused: peers may have taken over its requests
// and shed work because it was silent, so it drops all grants and refuses all queued asks.
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

// takeEffects ends a method call and returns its effects.
func (s *Shard) takeEffects(now time.Time) []Effect {
	s.NextTick(now)
	e := s.effects
	s.effects = nil
	return e
}

// takeEffectsWith ends a method call with one more effect.
func (s *Shard) takeEffectsWith(e Effect) []Effect {
	s.effects = append(s.effects, e)
	return s.takeEffects(s.now)
}

func (s *Shard) refuse(it *item, err *core.Error) {
	s.effects = append(s.effects, Refuse{Request: it.ask.Request, Holder: it.ask.Holder, Err: err})
}

// dequeue removes an item from the queue.
func (s *Shard) dequeue(now time.Time, it *item) {
	delete(s.queued, it.ask.Request)
	s.queues[it.ask.Tier].remove(now, it)
}

// checkServable returns an error if no listed endpoint can ever serve the ask.
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

// refuseUnservable refuses the queued asks that no listed endpoint can serve anymore.
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

// estimateSlotSeconds returns how long an ask is expected to hold a slot.
func (s *Shard) estimateSlotSeconds(a *Ask) float64 {
	if s.isService() {
		return s.serviceTime
	}
	return float64(a.Prefill)/s.prefillRate + float64(a.Decode)*s.tokenInterval
}

// isService reports whether the pool consists of plain services.
func (s *Shard) isService() bool { return len(s.nodeList) > 0 && s.nodeList[0].Spec().Service }

// queueDelay estimates the wait behind queued work of the given slot time, corrected for estimation error.
func (s *Shard) queueDelay(queuedSeconds float64) time.Duration {
	if queuedSeconds == 0 && s.freeSlots > 0 {
		return 0
	}
	return seconds((queuedSeconds + s.meanSlotSeconds) / float64(max(1, s.totalSlots)))
}

// jitter randomizes a delay, so that refused callers do not all retry at once.
func (s *Shard) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(max(d, 500*time.Millisecond)) * (0.5 + s.rand.Float64()))
}

// updateTotals updates the shard's slot counts and the list of available nodes after a change of a node.
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

// currentFloor returns the most urgent floor in force, or the last tier if there is none.
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
