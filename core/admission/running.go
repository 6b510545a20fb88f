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

// Sync reconciles the grants of a holder with what it says it runs. Unknown running requests are adopted. If the
// digest differs, the holder is asked for its full list; grants that a full list lacks are freed.
func (s *Shard) Sync(now time.Time, y Sync) []Effect {
	s.enter(now)
	h := s.holders[y.Holder]
	if h == nil {
		h = &holder{}
		s.holders[y.Holder] = h
	}
	h.seen = now
	for _, r := range y.Running {
		if g := s.grants[r.Request]; g != nil && (g.id == r.Grant || r.Grant == "") {
			s.progress(now, g, r)
		} else if r.Grant == "" {
			continue // a sample of a request that is unknown here; the digest differs then
		} else if _, ok := s.ended[r.Grant]; !ok {
			s.adopt(now, y.Holder, r)
		}
	}
	if y.Full {
		runs := lo.SliceToMap(y.Running, func(r Running) (core.GrantID, bool) { return r.Grant, true })
		lost := s.sorted(func(g *grant) bool {
			return g.ask.Holder == y.Holder && !runs[g.id] && now.Sub(g.at) >= syncSlack
		})
		for _, g := range lost {
			s.end(now, g, Release{})
		}
	} else if y.Count != h.count || y.Digest != h.digest {
		s.effects = append(s.effects, RequestSync{Holder: y.Holder})
	}
	s.drain(now)
	return s.leave(now)
}

// progress learns from the tokens generated since the last sample.
func (s *Shard) progress(now time.Time, g *grant, r Running) {
	if g.node != nil && g.tokens > 0 && r.Tokens > g.tokens && r.Age > g.age {
		g.node.RecordProgress(now, r.Tokens-g.tokens, r.Age-g.age)
		s.refresh(g.node)
	}
	if r.Age > g.age {
		g.tokens, g.age = r.Tokens, r.Age
	}
}

// adopt enters a request that runs under a grant of another owner, or under a grant that was thought lost. It
// replaces whatever this shard had granted or queued for the request.
func (s *Shard) adopt(now time.Time, from core.InstanceID, r Running) {
	if g := s.grants[r.Request]; g != nil {
		s.end(now, g, Release{Grant: g.id, Request: r.Request, Outcome: OutcomeUnused})
	}
	if it := s.queued[r.Request]; it != nil {
		s.unqueue(now, it)
	}
	g := &grant{
		id: r.Grant, endpoint: r.Endpoint, at: now, tokens: r.Tokens, age: r.Age, adopted: true,
		ask: &Ask{
			Request: r.Request, Holder: from, Workspace: r.Workspace, Caller: r.Caller, Weight: r.Weight,
			Tier: min(max(r.Tier, 0), core.Tiers-1), Prefill: r.Prefill, Decode: r.Decode, Once: r.Once,
		},
	}
	n := s.nodes[r.Endpoint]
	if n != nil {
		n.Adopt(now)
	}
	s.enroll(g, n)
}

// enroll enters a grant into the books.
func (s *Shard) enroll(g *grant, n *node) {
	s.grants[g.ask.Request] = g
	s.running[g.ask.Tier]++
	g.caller = s.queues[g.ask.Tier].flow(s.flowOf(g.ask))
	g.caller.slots++
	h := s.holders[g.ask.Holder]
	if h == nil {
		h = &holder{seen: g.at}
		s.holders[g.ask.Holder] = h
	}
	h.count++
	h.digest ^= xxhash.Sum64String(string(g.ask.Request))
	if n != nil {
		g.node = n
		s.refresh(n)
	}
}

// detach takes a grant out of the books; unstarted is the prefill that will not run.
func (s *Shard) detach(g *grant, unstarted float64) {
	delete(s.grants, g.ask.Request)
	s.running[g.ask.Tier]--
	g.caller.slots--
	if g.suspending {
		s.suspending--
	}
	if h := s.holders[g.ask.Holder]; h != nil {
		h.count--
		h.digest ^= xxhash.Sum64String(string(g.ask.Request))
	}
	if n := g.node; n != nil {
		g.node = nil
		n.Release(unstarted)
		s.refresh(n)
	}
}

// end returns the slot of a grant, learns from its outcome, and corrects the charge of its flow. A release with an
// empty outcome stands for a holder that lost the request.
func (s *Shard) end(now time.Time, g *grant, r Release) {
	n := g.node
	s.ended[g.id] = now
	actual := float64(r.Prefill - r.Cached + r.Decode)
	unstarted := 0.0
	switch r.Outcome {
	case OutcomeUnused:
		actual, unstarted = 0, g.uncached
	case OutcomeRefused:
		actual, unstarted = 0, g.uncached
		if n != nil {
			n.RecordFailure(now, true, g.ask.Caller)
			if n.refused == nil {
				n.refused = map[core.InstanceID]time.Time{}
			}
			n.refused[g.ask.Holder] = now.Add(holderTimeout)
		}
	case OutcomeFailed:
		if n != nil {
			n.RecordFailure(now, false, g.ask.Caller)
		}
	case OutcomeDone:
		if n != nil && !g.adopted {
			n.RecordCompletion(now, endpoint.Completion{Uncached: r.Prefill - r.Cached, Decode: r.Decode, FirstToken: r.FirstToken, Total: r.Duration, Backlog: g.backlog})
		}
		took := r.Duration
		if took <= 0 {
			took = now.Sub(g.at)
		}
		if !g.adopted && took > 0 {
			s.meanHold = smooth(s.meanHold, took.Seconds())
			if g.hold > 0 {
				s.ratio = smooth(s.ratio, min(max(took.Seconds()/g.hold, s.ratio/3), s.ratio*3))
			}
		}
	default:
		if r.Prefill+r.Decode == 0 {
			actual = g.cost
		}
	}
	if !g.adopted {
		s.queues[g.ask.Tier].correct(s.flowOf(g.ask), actual-g.cost)
	}
	s.detach(g, unstarted)
}

// smooth moves an estimate a tenth of the way to a sample.
func smooth(est, x float64) float64 { return est + 0.1*(x-est) }

// timeouts frees the slots of holders that have gone silent.
func (s *Shard) timeouts(now time.Time) {
	lost := s.sorted(func(g *grant) bool {
		seen := g.at
		if h := s.holders[g.ask.Holder]; h != nil {
			seen = later(seen, h.seen)
		}
		return now.Sub(seen) >= holderTimeout
	})
	for _, g := range lost {
		s.end(now, g, Release{})
	}
	for id, h := range s.holders {
		if h.count == 0 && now.Sub(h.seen) > time.Minute {
			delete(s.holders, id)
		}
	}
	for id, at := range s.ended {
		if now.Sub(at) > holderTimeout {
			delete(s.ended, id)
		}
	}
}

// learn lets the endpoints reconsider their limits and probation, and renews the shard's mean rates.
func (s *Shard) learn(now time.Time) {
	accounts := make([]*endpoint.Tracker, len(s.order))
	rate, between, took, k := 0.0, 0.0, 0.0, 0.0
	for i, n := range s.order {
		accounts[i] = n.Tracker
		n.Tick(now)
		if !n.OnProbation() {
			rate += n.PrefillRate()
			between += n.TokenInterval()
			took += n.SlotTime(0, 0)
			s.known = s.known || n.RatesKnown()
			k++
		}
		for id, until := range n.refused {
			if !now.Before(until) {
				delete(n.refused, id)
			}
		}
	}
	if s.has(Probation) {
		endpoint.UpdateProbation(accounts)
	}
	s.probing = 0
	for _, n := range s.order {
		if n.OnProbation() {
			s.probing++
		}
		s.refresh(n)
	}
	for t := range s.load {
		s.load[t] = smooth(s.load[t], float64(s.running[t]))
	}
	if k > 0 {
		s.rate, s.between, s.took = rate/k, between/k, took/k
	}
}

// sorted returns the grants that satisfy keep in a stable order, so that effects do not depend on map order.
func (s *Shard) sorted(keep func(*grant) bool) []*grant {
	gs := lo.Filter(lo.Values(s.grants), func(g *grant, _ int) bool { return keep(g) })
	slices.SortFunc(gs, func(a, b *grant) int { return strings.Compare(string(a.id), string(b.id)) })
	return gs
}
