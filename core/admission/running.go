package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/endpoint"
)

// Sync reconciles the grants of a holder with the running requests that it reports. Unknown requests are adopted. If the
// digest differs, the holder is asked for its full list. Grants that a full list lacks are freed.
func (s *Shard) Sync(now time.Time, sync Sync) []Effect {
	s.begin(now)
	h := s.holders[sync.Holder]
	if h == nil {
		h = &holder{}
		s.holders[sync.Holder] = h
	}
	h.lastSeen = now
	for _, r := range sync.Running {
		if g := s.grants[r.Request]; g != nil && (g.id == r.Grant || r.Grant == "") {
			s.recordProgress(now, g, r)
		} else if r.Grant == "" {
			continue // unknown request without its grant; the digest differs too
		} else if _, ok := s.endedGrants[r.Grant]; !ok {
			s.adopt(now, sync.Holder, r)
		}
	}
	if sync.Full {
		runs := lo.SliceToMap(sync.Running, func(r Running) (core.GrantID, bool) { return r.Grant, true })
		lost := s.sortedGrants(func(g *grant) bool {
			return g.ask.Holder == sync.Holder && !runs[g.id] && now.Sub(g.grantedAt) >= syncGrace
		})
		for _, g := range lost {
			s.endGrant(now, g, Release{})
		}
	} else if sync.Count != h.running || sync.Digest != h.digest {
		s.effects = append(s.effects, RequestSync{Holder: sync.Holder})
	}
	s.grantFreeSlots(now)
	return s.takeEffects(now)
}

// recordProgress updates the endpoint's token interval from the tokens generated since the last sample.
func (s *Shard) recordProgress(now time.Time, g *grant, r Running) {
	if g.node != nil && g.tokens > 0 && r.Tokens > g.tokens && r.Age > g.age {
		g.node.RecordProgress(now, r.Tokens-g.tokens, r.Age-g.age)
		s.updateTotals(g.node)
	}
	if r.Age > g.age {
		g.tokens, g.age = r.Tokens, r.Age
	}
}

// adopt records a request that runs under a grant of another owner, or under a grant that was considered lost. It replaces
// any grant or queued ask of the request.
func (s *Shard) adopt(now time.Time, from core.InstanceID, r Running) {
	if g := s.grants[r.Request]; g != nil {
		s.endGrant(now, g, Release{Grant: g.id, Request: r.Request, Outcome: OutcomeUnused})
	}
	if it := s.queued[r.Request]; it != nil {
		s.dequeue(now, it)
	}
	g := &grant{
		id: r.Grant, endpoint: r.Endpoint, grantedAt: now, tokens: r.Tokens, age: r.Age, adopted: true,
		ask: &Ask{
			Request: r.Request, Holder: from, Workspace: r.Workspace, Caller: r.Caller, Weight: r.Weight,
			Tier: min(max(r.Tier, 0), core.Tiers-1), Prefill: r.Prefill, Decode: r.Decode, Once: r.Once,
		},
	}
	n := s.nodes[r.Endpoint]
	if n != nil {
		n.Adopt(now)
	}
	s.addGrant(g, n)
}

// addGrant adds a grant to the counts of its tier, caller, holder and endpoint.
func (s *Shard) addGrant(g *grant, n *node) {
	s.grants[g.ask.Request] = g
	s.running[g.ask.Tier]++
	g.caller = s.queues[g.ask.Tier].callerOf(s.flowKeyOf(g.ask))
	g.caller.running++
	h := s.holders[g.ask.Holder]
	if h == nil {
		h = &holder{lastSeen: g.grantedAt}
		s.holders[g.ask.Holder] = h
	}
	h.running++
	h.digest ^= xxhash.Sum64String(string(g.ask.Request))
	if n != nil {
		g.node = n
		s.updateTotals(n)
	}
}

// removeGrant reverts addGrant. The unstarted prompt tokens will not be computed.
func (s *Shard) removeGrant(g *grant, unstarted float64) {
	delete(s.grants, g.ask.Request)
	s.running[g.ask.Tier]--
	g.caller.running--
	if g.suspending {
		s.suspendingCount--
	}
	if h := s.holders[g.ask.Holder]; h != nil {
		h.running--
		h.digest ^= xxhash.Sum64String(string(g.ask.Request))
	}
	if n := g.node; n != nil {
		g.node = nil
		n.Release(unstarted)
		s.updateTotals(n)
	}
}

// endGrant frees the slot of a grant, updates the estimates from its outcome, and corrects the charge of its flow. An empty
// outcome means that the holder is gone or has lost the request.
func (s *Shard) endGrant(now time.Time, g *grant, r Release) {
	n := g.node
	s.endedGrants[g.id] = now
	actual := float64(r.Prefill - r.Cached + r.Decode)
	unstarted := 0.0
	switch r.Outcome {
	case OutcomeUnused:
		actual, unstarted = 0, g.uncached
	case OutcomeRefused:
		actual, unstarted = 0, g.uncached
		if n != nil {
			n.RecordFailure(now, true, g.ask.Caller)
			if n.refusedUntil == nil {
				n.refusedUntil = map[core.InstanceID]time.Time{}
			}
			n.refusedUntil[g.ask.Holder] = now.Add(holderTimeout)
		}
	case OutcomeFailed:
		if n != nil {
			n.RecordFailure(now, false, g.ask.Caller)
		}
	case OutcomeDone:
		if n != nil && !g.adopted {
			n.RecordCompletion(now, endpoint.Completion{Uncached: r.Prefill - r.Cached, Decode: r.Decode, FirstToken: r.FirstToken, Total: r.Total, Backlog: g.backlog})
		}
		slotTime := r.Total
		if slotTime <= 0 {
			slotTime = now.Sub(g.grantedAt)
		}
		if !g.adopted && slotTime > 0 {
			s.meanSlotSeconds = smooth(s.meanSlotSeconds, slotTime.Seconds())
			if g.slotSeconds > 0 {
				s.slotTimeRatio = smooth(s.slotTimeRatio, min(max(slotTime.Seconds()/g.slotSeconds, s.slotTimeRatio/3), s.slotTimeRatio*3))
			}
		}
	default:
		if r.Prefill+r.Decode == 0 {
			actual = g.estimatedTokens
		}
	}
	if !g.adopted {
		s.queues[g.ask.Tier].correctCharge(s.flowKeyOf(g.ask), actual-g.estimatedTokens)
	}
	s.removeGrant(g, unstarted)
}

// smooth returns an exponential moving average with weight 0.1 for the sample.
func smooth(est, x float64) float64 { return est + 0.1*(x-est) }

// expireHolders frees the slots of holders that have sent no sync for holderTimeout.
func (s *Shard) expireHolders(now time.Time) {
	expired := s.sortedGrants(func(g *grant) bool {
		seen := g.grantedAt
		if h := s.holders[g.ask.Holder]; h != nil {
			seen = latest(seen, h.lastSeen)
		}
		return now.Sub(seen) >= holderTimeout
	})
	for _, g := range expired {
		s.endGrant(now, g, Release{})
	}
	for id, h := range s.holders {
		if h.running == 0 && now.Sub(h.lastSeen) > time.Minute {
			delete(s.holders, id)
		}
	}
	for id, at := range s.endedGrants {
		if now.Sub(at) > holderTimeout {
			delete(s.endedGrants, id)
		}
	}
}

// updateRates updates the slot limits and the probation of the endpoints, and the mean rates of the shard.
func (s *Shard) updateRates(now time.Time) {
	trackers := make([]*endpoint.Tracker, len(s.nodeList))
	prefillRate, tokenInterval, serviceTime, sampled := 0.0, 0.0, 0.0, 0.0
	for i, n := range s.nodeList {
		trackers[i] = n.Tracker
		n.Tick(now)
		if !n.OnProbation() {
			prefillRate += n.PrefillRate()
			tokenInterval += n.TokenInterval()
			serviceTime += n.SlotTime(0, 0)
			s.ratesKnown = s.ratesKnown || n.RatesKnown()
			sampled++
		}
		for id, until := range n.refusedUntil {
			if !now.Before(until) {
				delete(n.refusedUntil, id)
			}
		}
	}
	if s.enabled(Probation) {
		endpoint.UpdateProbation(trackers)
	}
	s.onProbation = 0
	for _, n := range s.nodeList {
		if n.OnProbation() {
			s.onProbation++
		}
		s.updateTotals(n)
	}
	for t := range s.meanRunning {
		s.meanRunning[t] = smooth(s.meanRunning[t], float64(s.running[t]))
	}
	if sampled > 0 {
		s.prefillRate, s.tokenInterval, s.serviceTime = prefillRate/sampled, tokenInterval/sampled, serviceTime/sampled
	}
}

// sortedGrants returns the grants that satisfy keep, ordered by id so that effects do not depend on map order.
func (s *Shard) sortedGrants(keep func(*grant) bool) []*grant {
	gs := lo.Filter(lo.Values(s.grants), func(g *grant, _ int) bool { return keep(g) })
	slices.SortFunc(gs, func(a, b *grant) int { return strings.Compare(string(a.id), string(b.id)) })
	return gs
}
