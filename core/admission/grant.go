package admission

import (
	"math"
	"strconv"
	"time"

	"monsoondale/core"
)

// grantFreeSlots grants free slots to queued asks in the order of their tiers, except for the reserve of the lowest waiting
// tier.
func (s *Shard) grantFreeSlots(now time.Time) {
	for len(s.queued) > 0 {
		if !s.grantNext(now) {
			return
		}
	}
}

// grantNext grants a slot to the next queued ask, or sheds that ask. It reports whether an ask left the queue.
func (s *Shard) grantNext(now time.Time) bool {
	floor := s.currentFloor(now)
	if t, ok := s.agedTier(now); ok && t <= floor && s.grantFrom(now, t) {
		return true
	}
	for t := range floor + 1 {
		q := s.queues[t]
		if q.count == 0 {
			continue
		}
		if s.freeSlots <= s.headroomSlots(now, t) {
			// Requests that resume on leaving endpoints need no free slot, since those endpoints have none.
			if s.grantHead(now, q, true) {
				return true
			}
			continue
		}
		if s.grantFrom(now, t) {
			return true
		}
		// Slots reserved for light callers of this tier must not go to less urgent tiers.
		if it := q.peek(); it != nil && s.reservedForLight(now, t, it) {
			return false
		}
	}
	return false
}

// agedTier returns the lowest waiting tier if it may use the reserve: its next ask has waited for AgingDelay, higher tiers
// are waiting too, and the tier has fewer running requests than the reserve allows.
func (s *Shard) agedTier(now time.Time) (core.Tier, bool) {
	low := core.Tier(-1)
	higher := 0
	for t := core.Tiers - 1; t > 0; t-- {
		if s.queues[t].count > 0 {
			low = core.Tier(t)
			break
		}
	}
	if low <= 0 || !s.enabled(AgingReserve) || now.Sub(s.lastSuspension) < agingPause {
		return 0, false
	}
	for t := range low {
		if now.Sub(s.floorUntil[t]) < agingPause {
			return 0, false
		}
		higher += s.queues[t].count
	}
	if higher == 0 || float64(s.running[low]) >= max(1, math.Floor(s.opts.AgedReserve*float64(s.totalSlots))) {
		return 0, false
	}
	q := s.queues[low]
	if len(q.head) > 0 && now.Sub(q.head[0].queuedAt) >= s.opts.AgingDelay {
		return low, true
	}
	it := q.peek()
	return low, it != nil && now.Sub(it.queuedAt) >= s.opts.AgingDelay
}

// headroomSlots returns the number of slots kept free of tier t while more urgent tiers are in use. It is proportional to
// the standard deviation of their running requests, which grows with the square root of the number. The parts of the
// tiers are added up, because each tier is protected only by what tier t leaves free beyond the headroom of that tier.
func (s *Shard) headroomSlots(now time.Time, t core.Tier) int {
	active, sum := false, 0.0
	for u := range t {
		active = active || !s.lastAsk[u].IsZero() && now.Sub(s.lastAsk[u]) < headroomWindow
		sum += math.Sqrt(s.meanRunning[u])
	}
	if !active || !s.enabled(Headroom) {
		return 0
	}
	return int(min(math.Ceil(s.opts.Headroom*sum), maxHeadroomShare*float64(s.totalSlots)))
}

// grantFrom grants a slot to the first ask of the tier that can use a free one.
func (s *Shard) grantFrom(now time.Time, t core.Tier) bool {
	q := s.queues[t]
	if s.grantHead(now, q, false) {
		return true
	}
	it := q.peek()
	if it == nil || s.freeSlots <= 0 {
		return false
	}
	if s.reservedForLight(now, t, it) {
		// A heavy caller may come first because its earlier requests used fewer tokens than estimated.
		if it = q.peekOther(s.isHeavy); it == nil {
			return false
		}
	}
	return s.grantItem(now, it)
}

// reservedForLight reports whether the item's caller is heavy and all free slots are reserved for light callers.
func (s *Shard) reservedForLight(now time.Time, t core.Tier, it *item) bool {
	return s.enabled(CallerFairness) && s.isHeavy(it.caller) && s.freeSlots <= s.headroomSlots(now, t)+s.lightReserveSlots(now, t)
}

// isHeavy reports whether a caller uses a large share of the slots.
func (s *Shard) isHeavy(c *caller) bool {
	return float64(c.running) >= max(2, heavyShare*float64(s.totalSlots))
}

// lightReserveSlots returns the number of slots kept free of heavy callers of a tier, so that light callers need not wait
// for a release. It is 0 for tier 0, whose work is too urgent to wait while slots are free, and 0 if no light caller has
// used the tier recently.
func (s *Shard) lightReserveSlots(now time.Time, t core.Tier) int {
	if t == 0 || s.lastLightAsk[t].IsZero() || now.Sub(s.lastLightAsk[t]) > lightWindow {
		return 0
	}
	return int(math.Round(s.opts.LightReserve * float64(s.totalSlots)))
}

// grantHead grants a slot to the first item in the head of the queue that can use one. If leaving is set, only items that
// resume on leaving endpoints are considered.
func (s *Shard) grantHead(now time.Time, q *tierQueue, leaving bool) bool {
	for _, it := range q.head {
		if leaving {
			if n := s.nodes[it.ask.Pin]; n == nil || !n.Spec().Leaving {
				continue
			}
		}
		if s.grantItem(now, it) {
			return true
		}
	}
	return false
}

// grantItem grants a slot to the item, or sheds the item if it would start too late. It reports whether the item left the
// queue.
func (s *Shard) grantItem(now time.Time, it *item) bool {
	n := s.selectNode(now, it.ask)
	if n == nil {
		return false
	}
	// No floor is raised here: the estimate is for one endpoint, and stopping the lower tiers would not change it.
	if s.startsTooLate(now, it, n) && s.mayShed(now, it) {
		s.shedItem(now, it, core.CodeDeadline)
		return true
	}
	if it.ask.Pin == "" && s.worthWaiting(now, n) {
		return false
	}
	s.grantSlot(now, it, n)
	return true
}

// worthWaiting reports whether the prefill backlog of the best free endpoint is so long that a slot of another endpoint is
// likely to become free much sooner. Otherwise long prompts delay urgent requests by seconds when the only free slots are
// on the endpoints that process those prompts.
func (s *Shard) worthWaiting(now time.Time, n *node) bool {
	backlog := n.Backlog(now)
	if backlog < acceptableBacklog || backlog < 4*seconds(s.meanSlotSeconds/float64(max(1, s.totalSlots))) {
		return false
	}
	for i := range min(len(s.nodeList), maxComparedNodes) {
		m := s.nodeList[(s.scanStart+i)%len(s.nodeList)]
		if m.slots > 0 && !m.OnProbation() && !m.Failing() && m.Backlog(now) < backlog/4 {
			return true
		}
	}
	return false
}

// selectNode returns the available endpoint of the lowest cost for an ask, or nil.
func (s *Shard) selectNode(now time.Time, a *Ask) *node {
	if a.Pin != "" {
		// A resumed request may return to a leaving endpoint, since it is not new work.
		n := s.nodes[a.Pin]
		if n == nil || n.free <= 0 && !n.Spec().Leaving {
			return nil
		}
		return n
	}
	if len(s.available) == 0 {
		return nil
	}
	s.decision++
	s.matchPrefixes(now, a, func(ep int32, share float64) {
		if n := s.nodeByIndex[ep]; n != nil {
			n.shareDecision, n.cachedShare = s.decision, share
		}
	})
	var best *node
	lowest := math.Inf(1)
	consider := func(n *node) {
		if len(a.Exclude) > 0 && isExcluded(a, n.id) || len(n.refusedUntil) > 0 && now.Before(n.refusedUntil[a.Holder]) {
			return
		}
		uncached := float64(a.Prefill)
		if n.shareDecision == s.decision {
			uncached *= 1 - n.cachedShare
		}
		cost := n.Cost(now, uncached, a.Decode)
		if n.OnProbation() || n.Failing() {
			cost = s.probeCost(now, a, n, cost)
		}
		if cost < lowest || cost == lowest && best != nil && n.index < best.index {
			best, lowest = n, cost
		}
	}
	for i := range min(len(s.available), maxComparedNodes) {
		consider(s.available[(s.scanStart+i)%len(s.available)])
	}
	if len(s.available) > maxComparedNodes {
		s.scanStart += maxComparedNodes
	}
	return best
}

// matchPrefixes calls f for each endpoint that may have cached a prefix of the prompt, with the expected cached share.
func (s *Shard) matchPrefixes(now time.Time, a *Ask, f func(ep int32, share float64)) {
	if len(a.Prefixes) > 0 && s.enabled(PrefixAffinity) {
		s.prefixes.Match(now, a.Prefixes, f)
	}
}

// grantSlot grants a queued ask a slot on the node.
func (s *Shard) grantSlot(now time.Time, it *item, n *node) {
	q := s.queues[it.ask.Tier]
	q.charge(it, s.flowKeyOf(it.ask))
	s.dequeue(now, it)
	s.grantSeq++
	uncached := float64(it.ask.Prefill)
	if n.shareDecision == s.decision {
		uncached *= 1 - n.cachedShare
	}
	if it.ask.Pin != "" {
		uncached = 0
	}
	g := &grant{
		id:  core.GrantID(s.opts.Epoch + "-" + strconv.FormatUint(s.grantSeq, 36)),
		ask: it.ask, endpoint: n.id, grantedAt: now, uncached: uncached, slotSeconds: it.slotSeconds, estimatedTokens: it.estimatedTokens,
	}
	if n.OnProbation() || n.Failing() {
		n.lastProbe = now
	}
	g.backlog = n.Grant(now, uncached)
	if now.After(it.queuedAt) {
		s.grantedShare += grantedShareSmoothing * (1 - s.grantedShare)
	}
	s.prefixes.Store(now, n.index, it.ask.Prefixes)
	s.addGrant(g, n)
	s.effects = append(s.effects, s.grantEffect(g, now.Sub(it.queuedAt)))
}

// grantEffect returns the effect that tells the holder about a grant.
func (s *Shard) grantEffect(g *grant, wait time.Duration) Grant {
	e := Grant{Request: g.ask.Request, Holder: g.ask.Holder, Grant: g.id, Endpoint: g.endpoint, Wait: wait}
	if g.node != nil {
		e.Address = g.node.Spec().Address
	}
	return e
}
