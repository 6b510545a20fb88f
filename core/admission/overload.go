package admission

import (
	"math"
	"slices"
	"time"

	"monsoondale/core"
	"monsoondale/internal/guard"
)

const (
	// suspendAgain repeats a suspension whose answer is missing.
	suspendAgain = time.Second
	// shortProbe bounds the slot time of a probe, in multiples of the mean.
	shortProbe = 1.0
	probeEvery = time.Second
)

// sweep looks for asks that would miss their deadline, and renews what a floor in force requires.
func (s *Shard) sweep(now time.Time) {
	s.noVictim = [core.Tiers]time.Time{}
	if f := s.floor(now); f < core.Tiers-1 {
		s.suspendBelow(now, f)
	}
	var items []*item
	for _, q := range s.queues {
		q.each(func(it *item) bool {
			if !it.ask.Deadline.IsZero() {
				items = append(items, it)
			}
			return true
		})
	}
	for _, it := range items {
		if s.queued[it.ask.Request] == it {
			s.rescue(now, it)
		}
	}
	s.overflow(now)
}

// rescue acts on a queued ask that is expected to miss its deadline: lower-tier work is suspended in its favour, and
// if there is none, the ask is shed as far as that is permitted.
func (s *Shard) rescue(now time.Time, it *item) {
	if it.ask.Deadline.IsZero() || it.ask.Pin != "" {
		return
	}
	slack := it.ask.Deadline.Sub(now) - s.prefillTime(it)
	wait := s.expected(it)
	if wait <= time.Duration(float64(slack)*missMargin) {
		return
	}
	if s.neverInTime(it) {
		if s.has(EarlyRefusal) && s.known && s.mayShed(now, it) {
			s.drop(now, it, core.CodeDeadline)
		}
		return
	}
	if it.relief != "" {
		if g := s.grants[it.reliefOf]; g != nil && g.id == it.relief && g.suspending {
			s.suspend(now, g) // repeated if the holder has not answered
			return
		}
		it.relief = ""
	}
	if g := s.victim(now, it); g != nil {
		it.relief, it.reliefOf = g.id, g.ask.Request
		s.suspend(now, g)
		return
	}
	if s.has(EarlyRefusal) {
		s.shed(now, it, core.CodeDeadline)
	}
}

// prefillTime returns the expected time from the start of an ask to what its deadline is about: the first token of an
// engine, with the prompt cached as far as it is anywhere, or the answer of a plain service.
func (s *Shard) prefillTime(it *item) time.Duration {
	if s.isService() {
		return seconds(s.took)
	}
	if it.uncached == 0 {
		best := 0.0
		s.match(s.now, it.ask, func(_ int32, share float64) { best = max(best, share) })
		it.uncached = max(1, float64(it.ask.Prefill)*(1-best))
	}
	return seconds(it.uncached / s.rate)
}

// neverInTime reports whether even an idle endpoint would have missed the deadline. No floor is raised for such an
// ask, because refusing it would require that all lower tiers stop without any use.
func (s *Shard) neverInTime(it *item) bool { return s.prefillTime(it) > it.ask.Deadline.Sub(it.at) }

// tooLate reports whether the first token would miss the deadline on the best endpoint available now.
func (s *Shard) tooLate(now time.Time, it *item, n *node) bool {
	if !s.has(EarlyRefusal) || it.ask.Deadline.IsZero() || it.ask.Pin != "" || !n.RatesKnown() || s.neverInTime(it) {
		return false
	}
	uncached := float64(it.ask.Prefill)
	if n.mark == s.mark {
		uncached *= 1 - n.share
	}
	return now.Add(seconds(n.TimeToFirstToken(now, uncached))).After(it.ask.Deadline)
}

// expected estimates how long the item still waits. Holders queue an ask at several shards and withdraw it when the
// first one grants it, so that only a share of the work ahead will be served here.
func (s *Shard) expected(it *item) time.Duration {
	hold := s.queues[it.ask.Tier].ahead(it)
	for t := range it.ask.Tier {
		hold += s.queues[t].hold
	}
	return s.wait(max(0, hold*s.ratio*s.kept-float64(s.suspending)*s.meanHold))
}

// shed refuses an ask because of overload if that is permitted, and otherwise prepares it: lower tiers are stopped
// here, and the other candidates are asked to confirm the same. It reports whether the ask was refused.
func (s *Shard) shed(now time.Time, it *item, code core.Code) bool {
	if !s.mayShed(now, it) {
		if it.ask.Pin == "" {
			s.need(now, it.ask.Tier)
		}
		return false
	}
	s.drop(now, it, code)
	return true
}

// mayShed reports whether the ask may be refused because of overload. One that has run in part may not, because
// "not run" would be wrong.
func (s *Shard) mayShed(now time.Time, it *item) bool {
	t := it.ask.Tier
	return it.ask.Pin == "" && (guard.ShedAlone.Load() || t >= s.o.LowestTier || s.RunningBelow(t) == 0 && s.isConfirmed(now, t))
}

func (s *Shard) drop(now time.Time, it *item, code core.Code) {
	wait := s.expected(it)
	err := core.Errorf(code, "pool %s, tier %d, estimated wait %s", s.o.Pool, it.ask.Tier, wait.Round(time.Millisecond))
	err.Retry = s.spread(wait)
	s.refuse(it, err)
	s.unqueue(now, it)
}

// isConfirmed reports whether all candidates confirmed a floor that covers tier t.
func (s *Shard) isConfirmed(now time.Time, t core.Tier) bool {
	for u := range t + 1 {
		if s.confirmed[u].After(now) {
			return true
		}
	}
	return false
}

// need raises the floor to t for a lease and asks for its confirmation. A more urgent floor in force covers t.
func (s *Shard) need(now time.Time, t core.Tier) {
	for u := range t {
		if s.floors[u].After(now) && now.Sub(s.raised[u]) < floorLease {
			return
		}
	}
	s.floors[t] = later(s.floors[t], now.Add(floorLease))
	s.suspendBelow(now, t)
	if s.raised[t].IsZero() || now.Sub(s.raised[t]) >= raiseEvery {
		s.raised[t] = now
		s.effects = append(s.effects, ConfirmFloor{Tier: t})
	}
}

// overflow drops asks of the lowest tier while the queue is longer than its bound. What may not be shed yet stays
// queued beyond the bound until the floor is confirmed.
func (s *Shard) overflow(now time.Time) {
	for len(s.queued) > s.o.MaxQueued {
		var it *item
		for t := core.Tiers - 1; t >= 0 && it == nil; t-- {
			it = s.queues[t].longest()
		}
		if it == nil {
			return
		}
		if !s.shed(now, it, core.CodeOverloaded) {
			return
		}
	}
}

// suspendBelow asks for the suspension of all idempotent running work below the tier.
func (s *Shard) suspendBelow(now time.Time, t core.Tier) {
	n := 0
	for u := t + 1; u < core.Tiers; u++ {
		n += s.running[u]
	}
	if n == 0 {
		return
	}
	for _, g := range s.sorted(func(g *grant) bool { return g.ask.Tier > t && s.suspendable(g) }) {
		s.suspend(now, g)
	}
}

// suspend asks the holder to suspend a request, and again if it has not answered for a while.
func (s *Shard) suspend(now time.Time, g *grant) {
	if g.suspending && now.Sub(g.asked) < suspendAgain {
		return
	}
	if !g.suspending {
		g.suspending = true
		s.suspending++
	}
	g.asked, s.stopped = now, now
	s.effects = append(s.effects, Suspend{Request: g.ask.Request, Holder: g.ask.Holder, Grant: g.id})
}

// suspendable reports whether the request may be stopped. Non-idempotent work and plain services may not.
func (s *Shard) suspendable(g *grant) bool {
	return s.has(Suspension) && !g.ask.Once && g.node != nil && !g.node.Spec().Service
}

// victim returns the running request to suspend in favour of an ask: of the least urgent tier that can be stopped,
// the one that loses least.
func (s *Shard) victim(now time.Time, it *item) *grant {
	t := it.ask.Tier
	if now.Before(s.noVictim[t]) || s.RunningBelow(t) == 0 {
		return nil
	}
	var best *grant
	least := math.Inf(1)
	for _, g := range s.grants {
		if g.ask.Tier <= t || g.suspending || !s.suspendable(g) || excluded(it.ask, g.endpoint) {
			continue
		}
		w := s.waste(now, g)
		switch {
		case best == nil, g.ask.Tier > best.ask.Tier, g.ask.Tier == best.ask.Tier && (w < least || w == least && g.id < best.id):
			best, least = g, w
		}
	}
	if best == nil {
		s.noVictim[t] = now.Add(sweepEvery)
	}
	return best
}

// waste estimates the tokens that must be computed again if the engine drops the state of a suspended request.
func (s *Shard) waste(now time.Time, g *grant) float64 {
	age := max(0, (g.age+now.Sub(g.at)).Seconds()-g.backlog.Seconds())
	prompt := min(float64(g.ask.Prefill), age*g.node.PrefillRate())
	rest := max(0, age-float64(g.ask.Prefill)/g.node.PrefillRate())
	return prompt + max(float64(g.tokens), rest/g.node.TokenInterval())
}

// probe returns the cost of a placement on an endpoint that is failing or on probation. It only gets idempotent
// requests, spaced, and a straggler only short ones; tier 0 takes part only where there is no other tier. An ask that
// has no other endpoint may use it at any time, since it would otherwise never be served.
func (s *Shard) probe(now time.Time, a *Ask, n *node, cost float64) float64 {
	spaced := !a.Once && now.Sub(n.probed) >= probeEvery
	suited := !n.OnProbation() || s.estimate(a)*s.ratio <= shortProbe*s.meanHold && (a.Tier > 0 || s.tiersInUse(now) == 1)
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
	return slices.ContainsFunc(s.order, func(n *node) bool {
		return !n.Spec().Leaving && !n.Failing() && !n.OnProbation() && !excluded(a, n.id)
	})
}

func (s *Shard) tiersInUse(now time.Time) int {
	n := 0
	for _, at := range s.lastAsk {
		if !at.IsZero() && now.Sub(at) < urgentUse {
			n++
		}
	}
	return n
}
