package pool

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

const (
	// durationShare is the part of the predicted duration after the first event that counts in the choice of an endpoint,
	// of which 1/3 served scale days worse.
	durationShare = 1.0 / 8
	// remote is the time by which an endpoint of the own data centre is preferred over a faster one elsewhere. Bytes
	// between data centres cost money, and the hop costs a few milliseconds.
	remote = 8 * time.Millisecond
	// doubt is the time that a certain failure would cost; endpoints are marked down by their failure rate times this.
	doubt = 600 * time.Millisecond
	// missed is the mark-down of an endpoint that would miss the objective.
	missed = time.Second
	// rankStep is how much longer than a request of the next more urgent rank one has to wait to come first. It is part
	// of the objectives of 0.25 to 0.8 s, so that no rank waits for all others; 0.3 s served scale days worse.
	rankStep = 100 * time.Millisecond
	// lateWait is the part of the time to its deadline that a request may wait if it cannot be on time. Waits of a fifth
	// and more held callers that were refused in the end.
	lateWait = 0.1
	// retryLeast and retryMost bound the time after which a refused caller may come back.
	retryLeast = 200 * time.Millisecond
	retryMost  = 3 * time.Second
)

// enqueue puts a ticket into the queue by precedence: requests that can still be on time before late ones, then by
// tier, then by arrival and rank.
func (p *Pool) enqueue(t *Ticket) {
	i := sort.Search(len(p.queue), func(i int) bool { return before(t, p.queue[i]) })
	p.queue = slices.Insert(p.queue, i, t)
}

func before(a, b *Ticket) bool {
	if a.work.Resumed != b.work.Resumed {
		return a.work.Resumed
	}
	if a.late != b.late {
		return b.late
	}
	if a.work.Tier != b.work.Tier {
		return a.work.Tier < b.work.Tier
	}
	if a.late {
		// The newest late request is the one whose caller still waits longest. Oldest first would serve callers that are
		// about to leave, and make each later one wait as long.
		return a.work.Arrived.After(b.work.Arrived)
	}
	return a.turn().Before(b.turn())
}

// turn is the time by which requests of one tier are ordered.
func (t *Ticket) turn() time.Time { return t.work.Arrived.Add(time.Duration(t.work.Rank) * rankStep) }

func (p *Pool) remove(t *Ticket) {
	if i := slices.Index(p.queue, t); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// assign gives free slots to waiting requests in order, and refuses those that cannot be served.
func (p *Pool) assign(now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	if now.Sub(p.summed) >= sumEvery {
		p.sum(now)
	}
	var moved []*Ticket
	kept := p.queue[:0]
	ahead := 0 // requests in the queue that can still be on time
	for _, t := range p.queue {
		switch d := p.decide(now, t); d := d.(type) {
		case nil:
			if !t.late && p.overdue(now, t, ahead) {
				t.late = true
				moved = append(moved, t)
				continue
			}
			if !t.late {
				ahead++
			}
			kept = append(kept, t)
		case Refusal:
			d.State = p.state(now)
			t.done = true
			t.Decided <- d
		case *Grant:
			t.done = true
			t.Decided <- d
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	for _, t := range moved {
		p.enqueue(t)
	}
}

// overdue reports whether a request cannot be on time any more, even if it were sent once those ahead of it have been,
// as fast as requests ended here lately.
func (p *Pool) overdue(now time.Time, t *Ticket, ahead int) bool {
	if t.work.Objective.IsZero() {
		return false
	}
	best := time.Duration(-1)
	for _, a := range p.order {
		if a.open(now) {
			if f, _ := p.model.expect(a, &t.work); best < 0 || f < best {
				best = f
			}
		}
	}
	wait := time.Duration(float64(ahead) * p.served.gap.value)
	return now.Add(wait + max(best, 0)).After(t.work.Objective)
}

// decide returns a grant, a refusal, or nil if the request is to wait.
func (p *Pool) decide(now time.Time, t *Ticket) Decision {
	if !now.Before(t.work.Deadline) {
		return Refusal{RetryAfter: retryLeast, Reason: "deadline"}
	}
	free := 0
	listed := false
	exclude := p.excluded(&t.work)
	choices := p.choices[:0]
	for _, a := range p.order {
		if slices.Contains(exclude, a.ID) {
			continue
		}
		if !a.Leaving {
			listed = true
		}
		if !a.open(now) {
			continue
		}
		c := choice{account: a, seen: a.Slots - a.others.running - a.told, own: a.told - a.running}
		if c.seen <= 0 && c.seen+c.own <= 0 {
			continue
		}
		free += max(c.seen+c.own, 0)
		c.score = p.score(now, a, &t.work)
		choices = append(choices, c)
	}
	p.choices = choices
	place := p.place
	if t.work.Resumed {
		place = 0 // its caller has begun to receive, or has waited for another endpoint
	}
	best := p.best(choices, int(place*float64(p.unseen(now)+1)))
	if best != nil && (free > p.ahead(t.work.Tier) || t.work.Resumed) {
		return p.grant(now, best, t)
	}
	if !listed {
		return Refusal{RetryAfter: retryLeast, Reason: "no endpoint"}
	}
	if t.late {
		if now.Sub(t.work.Arrived) > time.Duration(lateWait*float64(t.work.Deadline.Sub(t.work.Arrived))) {
			return Refusal{RetryAfter: p.retry(), Reason: "overload"}
		}
	}
	return nil
}

// choice is an endpoint that a request may be sent to.
type choice struct {
	*account
	seen  int // free slots as of the last reports, which all instances know of
	own   int // slots that this instance has given back since its last report, less those it has taken
	score time.Duration
}

// best returns the endpoint for a request, or nil. Other instances have sent requests since their last reports, and
// others wait there; all choose from the same reports. So this instance takes a random place among them until its next
// report, and each of those before it is taken to have gone to the endpoint that was best then. Otherwise all would choose
// the same few endpoints until the next report. Slots that this instance has given back since are known to it alone.
func (p *Pool) best(choices []choice, before int) *account {
	for range before {
		c := least(choices, func(c *choice) bool { return c.seen > 0 })
		if c == nil {
			break
		}
		c.seen--
		c.score += p.model.marginal(c.account, core.Tokens(p.prompt.value))
	}
	if c := least(choices, func(c *choice) bool { return c.seen+c.own > 0 }); c != nil {
		return c.account
	}
	return nil
}

// least returns the choice with the least score of those that fit, or nil.
func least(choices []choice, fits func(c *choice) bool) *choice {
	var best *choice
	for i := range choices {
		if c := &choices[i]; fits(c) && (best == nil || c.score < best.score) {
			best = c
		}
	}
	return best
}

// excluded returns the endpoints that are not chosen for a request: those that were tried, unless no other is left.
func (p *Pool) excluded(w *Request) []core.EndpointID {
	for _, a := range p.order {
		if !a.Leaving && !slices.Contains(w.Exclude, a.ID) {
			return w.Exclude
		}
	}
	return nil
}

// score is lower for better endpoints.
func (p *Pool) score(now time.Time, a *account, w *Request) time.Duration {
	first, last := p.model.expect(a, w)
	s := first + time.Duration(durationShare*float64(last-first)) + time.Duration(a.failures*float64(doubt))
	if a.Centre != p.o.Centre {
		s += remote
	}
	if !w.Objective.IsZero() && now.Add(first).After(w.Objective) {
		s += missed
	}
	// Up to 2 ms that differ by instance and endpoint, so that instances with equal knowledge choose differently.
	return s + time.Duration((xxhash.Sum64String(string(a.ID))^p.o.Seed)%2000)*time.Microsecond
}

func (p *Pool) grant(now time.Time, a *account, t *Ticket) *Grant {
	first, _ := p.model.expect(a, &t.work)
	g := &Grant{
		Endpoint: a.Endpoint, ExpectedLatency: first, EndpointLoad: a.total(), State: p.state(now),
		acct: a, work: t.work, sent: now, ahead: a.backlog() + t.work.Prompt,
	}
	if a.strikes > 0 {
		g.probe, a.probing = true, true
	}
	a.running++
	a.reading += t.work.Prompt
	return g
}

// retry returns the time after which the queue is expected to be gone.
func (p *Pool) retry() time.Duration {
	if !p.served.gap.set {
		return retryLeast
	}
	return min(max(time.Duration(p.served.gap.value*float64(len(p.queue)+1)), retryLeast), retryMost)
}

// Free returns the number of free slots of open endpoints and the number of all their slots.
func (p *Pool) Free(now time.Time) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now)
	return s.Free, s.Slots
}

// state describes the pool for logs.
func (p *Pool) state(now time.Time) State {
	s := State{Waiting: len(p.queue), Peers: len(p.peers)}
	for _, a := range p.order {
		if a.open(now) {
			s.Free += max(a.free(), 0)
			s.Slots += a.Slots
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
	a, ok := p.accounts[id]
	if !ok {
		return Endpoint{}, false
	}
	return a.Endpoint, true
}
