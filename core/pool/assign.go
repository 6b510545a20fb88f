package pool

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

const (
	// durationWeight is the weight of the predicted time from the first to the last event in the score of an endpoint. A
	// higher weight prefers endpoints with a short time between events to those with an early first event. 1/3 gave worse
	// service on scale days.
	durationWeight = 1.0 / 8
	// minRemotePenalty is added to the score of endpoints in other data centres: traffic between data centres costs money
	// and adds a few milliseconds. The older the reports of other data centres, the more of the slots that seem free there
	// have been taken since, so remoteAgeWeight times their age is added too.
	minRemotePenalty = 8 * time.Millisecond
	remoteAgeWeight  = 0.4
	// failurePenalty is the time that a failed attempt costs. The score of an endpoint includes it in proportion to the
	// failure rate.
	failurePenalty = 600 * time.Millisecond
	// missPenalty is added to the score of an endpoint that is predicted to miss the objective.
	missPenalty = time.Second
	// rankDelay is added to the arrival of a request once for each rank before the requests of a tier are ordered by
	// arrival. It is a fraction of the objectives, which are 0.25 to 0.8 s, so that no rank starves. 0.3 s gave worse
	// service on scale days.
	rankDelay = 100 * time.Millisecond
	// scoreSpreadMicros bounds, in microseconds, the part of a score that differs by instance.
	scoreSpreadMicros = 2000
)

// enqueue inserts a ticket into the queue in the order of precedes.
func (p *Pool) enqueue(t *Ticket) {
	i := sort.Search(len(p.queue), func(i int) bool { return precedes(t, p.queue[i]) })
	p.queue = slices.Insert(p.queue, i, t)
}

// precedes reports whether t comes before u in the queue: retried requests first, then those that can still be on time,
// then by tier. Within a tier, requests that can still be on time are ordered by arrival and rank, late ones newest
// first.
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
		if t.due != u.due {
			return t.due
		}
		// Newest first, because the caller of the newest request will wait the longest before it gives up. With oldest
		// first, callers would be served shortly before they give up, and each later one would wait as long.
		return t.req.Arrived.After(u.req.Arrived)
	}
	return t.effectiveArrival().Before(u.effectiveArrival())
}

// effectiveArrival is the time by which requests of one tier are ordered: the caller's first arrival plus a delay for the rank.
func (t *Ticket) effectiveArrival() time.Time {
	return t.req.Arrived.Add(-t.req.Waited).Add(time.Duration(t.req.Rank) * rankDelay)
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
	p.updateLimits(now)
	p.unreportedRequests = -1
	p.selectActive(now)
	p.restricted = p.restricts()
	p.keeping = slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.ask != nil })
	p.admission.drain = p.drainRate(now)
	recent := now.Sub(p.lastAsks) < askInterval
	if !recent {
		p.lastAsks = now
	}
	taken := true // a place may have been taken since it was checked whether one is free
	complete := true
	var newlyLate []*Ticket
	kept := p.queue[:0]
	onTimeBefore := 0 // requests earlier in the queue that can still be on time
	for _, t := range p.queue {
		decide := p.decide
		if t.ask != nil {
			if recent && taken && p.full(now) {
				kept = append(kept, t)
				complete = false
				continue
			}
			decide, taken = p.decideAsk, false
		}
		switch d := decide(now, t).(type) {
		case nil:
			if !t.late && p.missesObjective(now, t, onTimeBefore) && !p.keepsPromise(now, t) {
				t.late = true
				newlyLate = append(newlyLate, t)
				continue
			}
			if !t.late {
				onTimeBefore++
			}
			kept = append(kept, t)
		case Refusal:
			d.State, d.Decider = p.state(now), t.local
			p.end(t, d)
		case *Grant:
			p.recordWait(now, t, 0)
			t.recordRefused(false)
			taken = true
			p.end(t, d)
		default:
			taken = true
			p.end(t, d)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	for _, t := range newlyLate {
		p.enqueue(t)
	}
	if complete {
		p.refuseLate(now, onTimeBefore)
	}
}

// end passes a decision on to the one that waits for it.
func (p *Pool) end(t *Ticket, d Decision) {
	t.closed = true
	if t.ask == nil {
		t.Decided <- d
		return
	}
	p.decidedAsks = append(p.decidedAsks, DecidedAsk{*t.ask, d})
	p.o.Places.AskDecided()
}

// decide returns a grant, a refusal, or nil if the request stays in the queue.
func (p *Pool) decide(now time.Time, t *Ticket) Decision {
	if !now.Before(t.req.Deadline) {
		return Refusal{RetryAfter: minRetryAfter, Reason: "deadline"}
	}
	t.filter = p.filter(now, &t.req)
	candidateSlots := 0 // free slots of the candidates
	listed := false
	exclude, outdated, avoidPauses := p.excluded(t), p.reportsOutdated(), p.readsWithoutPause(now, t)
	trusted := t.spare || p.anyAvailable(now, exclude, t)
	candidates := p.candidates[:0]
	for _, e := range p.orderedEndpoints {
		if slices.Contains(exclude, e.ID) || !t.allows(e) {
			continue
		}
		if !e.leaving() {
			listed = true
		}
		usable := e.available(now) || !trusted && (e.lastResort(now) || t.req.Begun && e.mayHaveAddress(now)) || t.req.Returning && e.accepts(now)
		if !usable || avoidPauses && p.interrupts(now, e, &t.req) || t.req.Unstalled && p.model.stalled(now, e) {
			continue
		}
		c := candidate{endpointState: e, freeInReports: e.capacity() - e.lent - e.peerLoad.running - e.unknown - e.reportedRunning, netReleased: e.reportedRunning - e.ownRunning}
		if outdated { // the score shows how long others wait there, by the latencies of the last requests
			c.freeInReports, c.netReleased = max(e.capacity()-e.ownRunning-e.lent, 0), 0
		}
		if t.req.Returning && c.freeInReports+c.netReleased <= 0 {
			c.freeInReports, c.netReleased = 1, 0
		}
		if c.freeInReports <= 0 && c.freeInReports+c.netReleased <= 0 {
			continue
		}
		candidateSlots += max(c.freeInReports+c.netReleased, 0)
		c.score = p.score(now, e, &t.req)
		candidates = append(candidates, c)
	}
	p.candidates = candidates
	if !t.req.Retried { // else it may have failed there
		candidates = t.preferTarget(candidates)
	}
	if p.unreportedRequests < 0 {
		p.unreportedRequests = p.unreported(now)
	}
	position := p.assumedPosition
	if t.req.Retried || outdated {
		position = 0 // its caller may be receiving the response already, or has waited for another endpoint
	}
	chosen := p.chooseEndpoint(now, candidates, int(position*float64(p.unreportedRequests+1)))
	// Leaves a free slot for each more urgent request that is queued at another instance, unless this one is retried.
	if chosen != nil && (candidateSlots > p.moreUrgentAtPeers(t.req.Tier) || t.req.Retried) {
		return p.grant(now, chosen, t)
	}
	if r, refused := p.refuse(now, t, listed, exclude); refused {
		return r
	}
	return nil
}

// anyAvailable reports whether one of the endpoints that a request may be sent to is available. Without one, those that are
// only suspected are used, and the others are probed sooner: a suspension is a reason to choose another endpoint, not to refuse
// requests.
func (p *Pool) anyAvailable(now time.Time, exclude []core.EndpointID, t *Ticket) bool {
	return slices.ContainsFunc(p.orderedEndpoints, func(e *endpointState) bool {
		return e.available(now) && !slices.Contains(exclude, e.ID) && t.allows(e)
	})
}

// candidate is an endpoint that a request may be sent to.
type candidate struct {
	*endpointState
	freeInReports int // free slots according to the last reports of all instances, this one included
	// netReleased is the number of slots that this instance released since its last report, less those it took; other
	// instances do not know of it yet.
	netReleased int
	score       time.Duration
}

// chooseEndpoint returns the endpoint for a request, or nil if no candidate has a free slot. All instances choose from
// the same reports, and would choose the same few endpoints until the next reports arrive. To spread their choices, each
// instance first simulates a random number of requests, the parameter earlier, that others have sent but not reported
// yet. Each of these goes to the endpoint with the lowest score, takes a slot and raises the score; this changes
// candidates. The simulated requests take no slots that this instance released since its last report, as no other
// instance knows of these.
func (p *Pool) chooseEndpoint(now time.Time, candidates []candidate, earlier int) *endpointState {
	for range earlier {
		c := lowestScore(candidates, func(c *candidate) bool { return c.freeInReports > 0 })
		if c == nil {
			break
		}
		c.freeInReports--
		c.score += p.model.marginalDelay(now, c.endpointState, core.Tokens(p.meanPrompt.value))
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

// interrupts reports whether reading the prompt of a request would make the streams at an endpoint pause for longer than they may.
func (p *Pool) interrupts(now time.Time, e *endpointState, req *Request) bool {
	return req.GapObjective > 0 && e.totalRunning() > 0 && p.model.pause(now, e, req) > req.GapObjective
}

// readsWithoutPause reports whether a request can still be on time, and some endpoint can read its prompt without a long pause of
// its streams, at least once slots are free there. The request then waits for such an endpoint.
func (p *Pool) readsWithoutPause(now time.Time, t *Ticket) bool {
	if t.late || t.req.Retried || t.req.GapObjective <= 0 || !t.req.Objective.IsZero() && now.Add(p.fastestFirst(now, &t.req)).After(t.req.Objective) {
		return false
	}
	for _, e := range p.orderedEndpoints {
		if e.available(now) && t.allows(e) && !p.interrupts(now, e, &t.req) {
			return true
		}
	}
	return false
}

// allows reports whether Only allows an endpoint.
func (r *Request) allows(id core.EndpointID) bool {
	return len(r.Only) == 0 || slices.Contains(r.Only, id)
}

// excluded returns the endpoints to skip for a request: those that were tried, unless no other is left.
func (p *Pool) excluded(t *Ticket) []core.EndpointID {
	req := &t.req
	if len(req.Only) > 0 {
		return nil
	}
	for _, e := range p.orderedEndpoints {
		if !e.leaving() && t.allows(e) && !slices.Contains(req.Exclude, e.ID) {
			return req.Exclude
		}
	}
	return nil
}

// score rates an endpoint for a request as a time; lower is better.
func (p *Pool) score(now time.Time, e *endpointState, req *Request) time.Duration {
	first, last := p.model.predict(now, e, req)
	s := first + time.Duration(durationWeight*float64(last-first)) + time.Duration(e.failureRate*float64(failurePenalty))
	if e.Centre != p.o.Centre {
		s += p.remotePenalty
	}
	if !req.Objective.IsZero() && now.Add(first).After(req.Objective) {
		s += missPenalty
	}
	return s + e.scoreOffset
}

// scoreOffset returns a time of up to 2 ms that depends on the instance and the endpoint, so that instances with the same reports
// choose different endpoints.
func (p *Pool) scoreOffset(id core.EndpointID) time.Duration {
	return time.Duration((xxhash.Sum64String(string(id))^p.o.Seed)%scoreSpreadMicros) * time.Microsecond
}

// grant assigns a slot of an endpoint to a request.
func (p *Pool) grant(now time.Time, e *endpointState, t *Ticket) *Grant {
	first, last := p.model.predict(now, e, &t.req)
	g := &Grant{
		Endpoint: e.Endpoint, ExpectedLatency: first, ExpectedDuration: last, RunningAtEndpoint: e.totalRunning(), State: p.state(now), Decider: t.local,
		endpointState: e, req: t.req, sent: now, promptBacklog: e.promptBacklog() + t.req.Prompt,
	}
	if e.consecutiveSuspensions > 0 {
		g.probe, e.probing = true, true
	}
	p.countGrant(e)
	if t.ask != nil && !t.ask.Own {
		p.lend(t.ask, g)
		return g
	}
	e.ownRunning++
	e.pendingPrompt += t.req.Prompt
	return g
}

// Free returns the number of free slots and of all slots of the available endpoints.
func (p *Pool) Free(now time.Time) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now)
	return s.Free, s.Slots
}

// state summarises the pool.
func (p *Pool) state(now time.Time) State {
	s := State{Waiting: len(p.queue), Peers: len(p.peers)}
	for _, e := range p.orderedEndpoints {
		if e.available(now) {
			s.Free += max(e.Slots-e.totalRunning(), 0)
			s.Slots += e.Slots
		}
	}
	for _, pr := range p.peers {
		s.ReportAge = max(s.ReportAge, now.Sub(pr.at))
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
