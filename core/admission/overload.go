package admission

import (
	"math"
	"slices"
	"time"

	"monsoondale/core"
	"monsoondale/internal/testhook"
)

const (
	// suspendRetryInterval is the time after which an unanswered Suspend effect is repeated.
	suspendRetryInterval = time.Second
	// maxProbeSlotTime is the maximum estimated slot time of a probe, in multiples of the mean.
	maxProbeSlotTime = 1.0
	// probeInterval is the minimum time between two probes of an endpoint.
	probeInterval = time.Second
)

// checkDeadlines enforces the deadlines of the queued asks, the floor in force and the bound of the queue.
func (s *Shard) checkDeadlines(now time.Time) {
	s.noVictimUntil = [core.Tiers]time.Time{}
	if f := s.currentFloor(now); f < core.Tiers-1 {
		s.suspendBelow(now, f)
	}
	var items []*item
	for _, q := range s.queues {
		q.forEach(func(it *item) bool {
			if !it.ask.Deadline.IsZero() {
				items = append(items, it)
			}
			return true
		})
	}
	for _, it := range items {
		if s.queued[it.ask.Request] == it {
			s.enforceDeadline(now, it)
		}
	}
	s.trimQueue(now)
}

// enforceDeadline acts if a queued ask is expected to miss its deadline. It suspends lower-tier work in its favour; without
// such work, it sheds the ask if that is permitted.
func (s *Shard) enforceDeadline(now time.Time, it *item) {
	if it.ask.Deadline.IsZero() || it.ask.Pin != "" {
		return
	}
	timeLeft := it.ask.Deadline.Sub(now) - s.startDelay(it)
	wait := s.expectedWait(it)
	if wait <= time.Duration(float64(timeLeft)*deadlineMargin) {
		return
	}
	if s.deadlineUnreachable(it) {
		if s.enabled(EarlyRefusal) && s.ratesKnown && s.mayShed(now, it) {
			s.shedItem(now, it, core.CodeDeadline)
		}
		return
	}
	if it.victimGrant != "" {
		if g := s.grants[it.victimRequest]; g != nil && g.id == it.victimGrant && g.suspending {
			s.suspend(now, g) // repeats the effect if the holder has not answered
			return
		}
		it.victimGrant = ""
	}
	if g := s.selectVictim(now, it); g != nil {
		it.victimGrant, it.victimRequest = g.id, g.ask.Request
		s.suspend(now, g)
		return
	}
	if s.enabled(EarlyRefusal) {
		s.tryShed(now, it, core.CodeDeadline)
	}
}

// startDelay returns the expected time from dispatch to the event that the deadline applies to: the first token of an
// engine, on the endpoint with the longest cached prefix, or the response of a plain service.
func (s *Shard) startDelay(it *item) time.Duration {
	if s.isService() {
		return seconds(s.serviceTime)
	}
	if it.uncached == 0 {
		best := 0.0
		s.matchPrefixes(s.now, it.ask, func(_ int32, share float64) { best = max(best, share) })
		it.uncached = max(1, float64(it.ask.Prefill)*(1-best))
	}
	return seconds(it.uncached / s.prefillRate)
}

// deadlineUnreachable reports whether even an idle endpoint would have missed the deadline. No floor is raised for such an
// ask, since stopping the lower tiers would not help it.
func (s *Shard) deadlineUnreachable(it *item) bool {
	return s.startDelay(it) > it.ask.Deadline.Sub(it.queuedAt)
}

// startsTooLate reports whether the first token would miss the deadline on the given endpoint, the best one available.
func (s *Shard) startsTooLate(now time.Time, it *item, n *node) bool {
	if !s.enabled(EarlyRefusal) || it.ask.Deadline.IsZero() || it.ask.Pin != "" || !n.RatesKnown() || s.deadlineUnreachable(it) {
		return false
	}
	uncached := float64(it.ask.Prefill)
	if n.shareDecision == s.decision {
		uncached *= 1 - n.cachedShare
	}
	return now.Add(seconds(n.TimeToFirstToken(now, uncached))).After(it.ask.Deadline)
}

// expectedWait estimates how long the item still has to wait. Holders queue an ask at several shards and withdraw it when
// one of them grants it, so only a share of the work ahead will be served here.
func (s *Shard) expectedWait(it *item) time.Duration {
	queuedSeconds := s.queues[it.ask.Tier].workAhead(it)
	for t := range it.ask.Tier {
		queuedSeconds += s.queues[t].slotSeconds
	}
	return s.queueDelay(max(0, queuedSeconds*s.slotTimeRatio*s.grantedShare-float64(s.suspendingCount)*s.meanSlotSeconds))
}

// tryShed refuses an ask because of overload if that is permitted. Otherwise it raises the floor, which stops lower tiers
// here and asks the other candidates to confirm the same. It reports whether the ask was refused.
func (s *Shard) tryShed(now time.Time, it *item, code core.Code) bool {
	if !s.mayShed(now, it) {
		if it.ask.Pin == "" {
			s.raiseFloor(now, it.ask.Tier)
		}
		return false
	}
	s.shedItem(now, it, code)
	return true
}

// mayShed reports whether the ask may be refused because of overload: it is of the lowest tier, or no lower tier runs at any
// candidate. A request that has run in part is never shed, since its refusal would be reported as "not run".
func (s *Shard) mayShed(now time.Time, it *item) bool {
	t := it.ask.Tier
	return it.ask.Pin == "" && (testhook.ShedUnconfirmed.Load() || t >= s.opts.LowestTier || s.RunningBelow(t) == 0 && s.isConfirmed(now, t))
}

// shedItem refuses a queued ask because of overload, with the expected wait as the delay before a retry.
func (s *Shard) shedItem(now time.Time, it *item, code core.Code) {
	wait := s.expectedWait(it)
	err := core.Errorf(code, "pool %s, tier %d, estimated wait %s", s.opts.Pool, it.ask.Tier, wait.Round(time.Millisecond))
	err.RetryAfter = s.jitter(wait)
	s.refuse(it, err)
	s.dequeue(now, it)
}

// isConfirmed reports whether all candidates confirmed a floor that covers tier t.
func (s *Shard) isConfirmed(now time.Time, t core.Tier) bool {
	for u := range t + 1 {
		if s.confirmedUntil[u].After(now) {
			return true
		}
	}
	return false
}

// raiseFloor raises the floor to t for floorValidity and asks for its confirmation. It does nothing if this
// shard has raised a more urgent floor that is in force.
func (s *Shard) raiseFloor(now time.Time, t core.Tier) {
	for u := range t {
		if s.floorUntil[u].After(now) && now.Sub(s.lastConfirmFloor[u]) < floorValidity {
			return
		}
	}
	s.floorUntil[t] = latest(s.floorUntil[t], now.Add(floorValidity))
	s.suspendBelow(now, t)
	if s.lastConfirmFloor[t].IsZero() || now.Sub(s.lastConfirmFloor[t]) >= confirmFloorInterval {
		s.lastConfirmFloor[t] = now
		s.effects = append(s.effects, ConfirmFloor{Tier: t})
	}
}

// trimQueue sheds asks of the lowest queued tier while the queue exceeds its bound. Asks that may not be shed yet stay
// queued beyond the bound until the floor is confirmed.
func (s *Shard) trimQueue(now time.Time) {
	for len(s.queued) > s.opts.MaxQueued {
		var it *item
		for t := core.Tiers - 1; t >= 0 && it == nil; t-- {
			it = s.queues[t].shedCandidate()
		}
		if it == nil {
			return
		}
		if !s.tryShed(now, it, core.CodeOverloaded) {
			return
		}
	}
}

// suspendBelow suspends all suspendable work of tiers less urgent than t.
func (s *Shard) suspendBelow(now time.Time, t core.Tier) {
	n := 0
	for u := t + 1; u < core.Tiers; u++ {
		n += s.running[u]
	}
	if n == 0 {
		return
	}
	for _, g := range s.sortedGrants(func(g *grant) bool { return g.ask.Tier > t && s.suspendable(g) }) {
		s.suspend(now, g)
	}
}

// suspend asks the holder to suspend a request. It repeats the effect if the holder has not answered in time.
func (s *Shard) suspend(now time.Time, g *grant) {
	if g.suspending && now.Sub(g.suspendSent) < suspendRetryInterval {
		return
	}
	if !g.suspending {
		g.suspending = true
		s.suspendingCount++
	}
	g.suspendSent, s.lastSuspension = now, now
	s.effects = append(s.effects, Suspend{Request: g.ask.Request, Holder: g.ask.Holder, Grant: g.id})
}

// suspendable reports whether the request may be suspended. Non-idempotent work and work of plain services may not.
func (s *Shard) suspendable(g *grant) bool {
	return s.enabled(Suspension) && !g.ask.Once && g.node != nil && !g.node.Spec().Service
}

// selectVictim returns the running request to suspend in favour of an ask, or nil: among those of the least urgent
// suspendable tier, the one with the least work to repeat.
func (s *Shard) selectVictim(now time.Time, it *item) *grant {
	t := it.ask.Tier
	if now.Before(s.noVictimUntil[t]) || s.RunningBelow(t) == 0 {
		return nil
	}
	var best *grant
	least := math.Inf(1)
	for _, g := range s.grants {
		if g.ask.Tier <= t || g.suspending || !s.suspendable(g) || isExcluded(it.ask, g.endpoint) {
			continue
		}
		lost := s.tokensToRecompute(now, g)
		switch {
		case best == nil, g.ask.Tier > best.ask.Tier, g.ask.Tier == best.ask.Tier && (lost < least || lost == least && g.id < best.id):
			best, least = g, lost
		}
	}
	if best == nil {
		s.noVictimUntil[t] = now.Add(busyTickInterval)
	}
	return best
}

// tokensToRecompute estimates the tokens that must be computed again if the engine drops the state of a suspended request.
func (s *Shard) tokensToRecompute(now time.Time, g *grant) float64 {
	age := max(0, (g.age+now.Sub(g.grantedAt)).Seconds()-g.backlog.Seconds())
	prompt := min(float64(g.ask.Prefill), age*g.node.PrefillRate())
	decodeTime := max(0, age-float64(g.ask.Prefill)/g.node.PrefillRate())
	return prompt + max(float64(g.tokens), decodeTime/g.node.TokenInterval())
}

// probeCost returns the placement cost on an endpoint that is failing or on probation. Such an endpoint gets at most one
// idempotent request per probeInterval; on probation, only short ones, and tier 0 only if no other tier is active. An ask
// without any other endpoint may use it at any time, since it would otherwise never be served.
func (s *Shard) probeCost(now time.Time, a *Ask, n *node, cost float64) float64 {
	spaced := !a.Once && now.Sub(n.lastProbe) >= probeInterval
	suited := !n.OnProbation() || s.estimateSlotSeconds(a)*s.slotTimeRatio <= maxProbeSlotTime*s.meanSlotSeconds && (a.Tier > 0 || s.activeTiers(now) == 1)
	switch {
	case spaced && suited:
		return cost - 1
	case s.hasAlternative(a):
		return math.Inf(1)
	}
	return cost
}

// hasAlternative reports whether an endpoint in normal service may take the ask, now or later.
func (s *Shard) hasAlternative(a *Ask) bool {
	return slices.ContainsFunc(s.nodeList, func(n *node) bool {
		return !n.Spec().Leaving && !n.Failing() && !n.OnProbation() && !isExcluded(a, n.id)
	})
}

// activeTiers returns the number of tiers with a recent ask.
func (s *Shard) activeTiers(now time.Time) int {
	n := 0
	for _, at := range s.lastAsk {
		if !at.IsZero() && now.Sub(at) < headroomWindow {
			n++
		}
	}
	return n
}
