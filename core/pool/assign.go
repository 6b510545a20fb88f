package pool

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

const (
	// durationWeight is the weight of the predicted time from the first to the last event in the score of an endpoint.
	// 1/3 gave worse service on scale days.
	durationWeight = 1.0 / 8
	// remotePenalty is added to the score of endpoints in other data centres: traffic between data centres costs money
	// and adds a few milliseconds.
	remotePenalty = 8 * time.Millisecond
	// failurePenalty times the failure rate is added to the score of an endpoint; it is the time that a failure costs.
	failurePenalty = 600 * time.Millisecond
	// missPenalty is added to the score of an endpoint that is predicted to miss the objective.
	missPenalty = time.Second
	// rankDelay is how much earlier a request has to arrive to precede one of the next more urgent rank. It is a
	// fraction of the objectives of 0.25 to 0.8 s, so that no rank starves; 0.3 s gave worse service on scale days.
	rankDelay = 100 * time.Millisecond
	// lateWaitShare is the part of the time from arrival to deadline that a late request may wait. With a fifth and
	// more, callers waited only to be refused in the end.
	lateWaitShare = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// enqueue inserts a ticket into the queue in the order of precedes.
func (p *Pool) enqueue(t *Ticket) {
	i := sort.Search(len(p.queue), func(i int) bool { return precedes(t, p.queue[i]) })
	p.queue = slices.Insert(p.queue, i, t)
}

// precedes reports whether t comes before u in the queue: resumed requests first, then those that can still be on time,
// then by tier, then by arrival and rank.
func precedes(t, u *Ticket) bool {
	if t.req.Retried != u.req.Retried {
		return t.req.Retried
	}
	if t.late != u.late {
		return u.late
	}
	if t.req.Tier != u.req.Tier {
		return t.req.Tier < u.req.Tier
	}
	if t.late {
		// Late requests are served newest first, because the newest caller will stay the longest. Oldest first would
		// serve callers that are about to give up, and make each later one wait as long.
		return t.req.Arrived.After(u.req.Arrived)
	}
	return t.effectiveArrival().Before(u.effectiveArrival())
}

// effectiveArrival is the time by which requests of one tier are ordered: the arrival plus a delay for the rank.
func (t *Ticket) effectiveArrival() time.Time {
	return t.req.Arrived.Add(time.Duration(t.req.Rank) * rankDelay)
}

// remove deletes a ticket from the queue.
func (p *Pool) remove(t *Ticket) {
	if i := slices.Index(p.queue, t); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// assign grants free slots to the queued requests in order, and refuses requests that cannot be served. Requests that
// can no longer be on time move to the late part of the queue.
func (p *Pool) assign(now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	if now.Sub(p.lastPeerSum) >= peerSumInterval {
		p.sumPeerLoads(now)
	}
	var newlyLate []*Ticket
	kept := p.queue[:0]
	onTimeBefore := 0 // queued requests before t that can still be on time
	for _, t := range p.queue {
		switch d := p.decide(now, t); d := d.(type) {
		case nil:
			if !t.late && p.missesObjective(now, t, onTimeBefore) {
				t.late = true
				newlyLate = append(newlyLate, t)
				continue
			}
			if !t.late {
				onTimeBefore++
			}
			kept = append(kept, t)
		case Refusal:
			d.State = p.state(now)
			t.closed = true
			t.Decided <- d
		case *Grant:
			t.closed = true
			t.Decided <- d
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	for _, t := range newlyLate {
		p.enqueue(t)
	}
}

// missesObjective reports whether a request would miss its objective even at the fastest endpoint. The wait for the
// aheadOnTime requests before it follows from the recent rate of completions.
func (p *Pool) missesObjective(now time.Time, t *Ticket, onTimeBefore int) bool {
	if t.req.Objective.IsZero() {
		return false
	}
	fastest := time.Duration(-1)
	for _, e := range p.orderedEndpoints {
		if e.available(now) {
			if f, _ := p.model.predict(e, &t.req); fastest < 0 || f < fastest {
				fastest = f
			}
		}
	}
	wait := time.Duration(float64(onTimeBefore) * p.completionInterval.mean.value)
	return now.Add(wait + max(fastest, 0)).After(t.req.Objective)
}

// decide returns a grant, a refusal, or nil if the request stays in the queue.
func (p *Pool) decide(now time.Time, t *Ticket) Decision {
	if !now.Before(t.req.Deadline) {
		return Refusal{RetryAfter: minRetryAfter, Reason: "deadline"}
	}
	candidateSlots := 0
	listed := false
	exclude := p.excluded(&t.req)
	candidates := p.candidates[:0]
	for _, e := range p.orderedEndpoints {
		if slices.Contains(exclude, e.ID) {
			continue
		}
		if !e.Leaving {
			listed = true
		}
		if !e.available(now) {
			continue
		}
		c := candidate{endpointState: e, freeInReports: e.Slots - e.peerLoad.running - e.reportedRunning, netReleased: e.reportedRunning - e.ownRunning}
		if c.freeInReports <= 0 && c.freeInReports+c.netReleased <= 0 {
			continue
		}
		candidateSlots += max(c.freeInReports+c.netReleased, 0)
		c.score = p.score(now, e, &t.req)
		candidates = append(candidates, c)
	}
	p.candidates = candidates
	sendOrder := p.assumedPosition
	if t.req.Retried {
		sendOrder = 0 // its caller is already receiving, or has waited for another endpoint
	}
	chosen := p.chooseEndpoint(candidates, int(sendOrder*float64(p.unreported(now)+1)))
	if chosen != nil && (candidateSlots > p.moreUrgentAtPeers(t.req.Tier) || t.req.Retried) {
		return p.grant(now, chosen, t)
	}
	if !listed {
		return Refusal{RetryAfter: minRetryAfter, Reason: "no endpoint"}
	}
	if t.late {
		if now.Sub(t.req.Arrived) > time.Duration(lateWaitShare*float64(t.req.Deadline.Sub(t.req.Arrived))) {
			return Refusal{RetryAfter: p.retryAfter(), Reason: "overload"}
		}
	}
	return nil
}

// candidate is an endpoint that a request may be sent to.
type candidate struct {
	*endpointState
	freeInReports int // free slots as of the last reports, as all instances see them
	netReleased   int // slots that this instance released since its last report, less those it took; not yet known to others
	score         time.Duration
}

// chooseEndpoint returns the endpoint for a request, or nil. All instances choose from the same reports, and would choose the
// same few endpoints until the next ones. So each instance assumes that a random number of unreported requests,
// earlier, has been sent before its own, and that each went to the endpoint with the lowest score at that point. Slots
// that this instance released since its last report are left out there, as no other instance knows of them.
func (p *Pool) chooseEndpoint(candidates []candidate, earlier int) *endpointState {
	for range earlier {
		c := lowestScore(candidates, func(c *candidate) bool { return c.freeInReports > 0 })
		if c == nil {
			break
		}
		c.freeInReports--
		c.score += p.model.marginalDelay(c.endpointState, core.Tokens(p.meanPrompt.value))
	}
	if c := lowestScore(candidates, func(c *candidate) bool { return c.freeInReports+c.netReleased > 0 }); c != nil {
		return c.endpointState
	}
	return nil
}

// lowestScore returns the candidate with the lowest score for which fits is true, or nil.
func lowestScore(candidates []candidate, fits func(c *candidate) bool) *candidate {
	var best *candidate
	for i := range candidates {
		if c := &candidates[i]; fits(c) && (best == nil || c.score < best.score) {
			best = c
		}
	}
	return best
}

// excluded returns the endpoints to skip for a request: those that were tried, unless no other is left.
func (p *Pool) excluded(req *Request) []core.EndpointID {
	for _, e := range p.orderedEndpoints {
		if !e.Leaving && !slices.Contains(req.Exclude, e.ID) {
			return req.Exclude
		}
	}
	return nil
}

// score rates an endpoint for a request as a time; lower is better.
func (p *Pool) score(now time.Time, e *endpointState, req *Request) time.Duration {
	first, last := p.model.predict(e, req)
	s := first + time.Duration(durationWeight*float64(last-first)) + time.Duration(e.failureRate*float64(failurePenalty))
	if e.Centre != p.o.Centre {
		s += remotePenalty
	}
	if !req.Objective.IsZero() && now.Add(first).After(req.Objective) {
		s += missPenalty
	}
	// Adds up to 2 ms that depend on the instance and the endpoint, so that instances with the same reports choose
	// differently.
	return s + time.Duration((xxhash.Sum64String(string(e.ID))^p.o.Seed)%2000)*time.Microsecond
}

// grant assigns a slot of an endpoint to a request.
func (p *Pool) grant(now time.Time, e *endpointState, t *Ticket) *Grant {
	first, _ := p.model.predict(e, &t.req)
	g := &Grant{
		Endpoint: e.Endpoint, ExpectedLatency: first, RunningAtEndpoint: e.totalRunning(), State: p.state(now),
		endpointState: e, req: t.req, sent: now, promptBacklog: e.promptBacklog() + t.req.Prompt,
	}
	if e.consecutiveSuspensions > 0 {
		g.probe, e.probing = true, true
	}
	e.ownRunning++
	e.pendingPrompt += t.req.Prompt
	return g
}

// retryAfter estimates the time after which the queue is empty, at the recent rate of completions.
func (p *Pool) retryAfter() time.Duration {
	if !p.completionInterval.mean.set {
		return minRetryAfter
	}
	return min(max(time.Duration(p.completionInterval.mean.value*float64(len(p.queue)+1)), minRetryAfter), maxRetryAfter)
}

// Free returns the number of free slots and of all slots of the available endpoints.
func (p *Pool) Free(now time.Time) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now)
	return s.Free, s.Slots
}

// state returns a summary of the pool for logs.
func (p *Pool) state(now time.Time) State {
	s := State{Waiting: len(p.queue), Peers: len(p.peers)}
	for _, e := range p.orderedEndpoints {
		if e.available(now) {
			s.Free += max(e.freeSlots(), 0)
			s.Slots += e.Slots
		}
	}
	for _, r := range p.peers {
		s.ReportAge = max(s.ReportAge, now.Sub(r.at))
	}
	return s
}

// Endpoint returns the entry of an endpoint if it is listed.
func (p *Pool) Endpoint(id core.EndpointID) (Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}
