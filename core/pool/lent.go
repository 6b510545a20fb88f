package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
)

const (
	// roomValidity is how long a statement of free places in another data centre counts.
	roomValidity = 500 * time.Millisecond
	// lentMargin is how much older than a report a lent place must be for the report to show it.
	lentMargin = 30 * time.Millisecond
	// askInterval is how often the asks that wait are considered while no place is free.
	askInterval = 5 * time.Millisecond
	// maxMissing is the number of reports of the holder in a row that must lack a lent place before it is dropped.
	maxMissing = 2
)

// KeeperID identifies the process of an instance that grants places to others: a hash of its name and start. 0 is none.
type KeeperID uint32

// NewKeeperID returns the id of a process that was started at a time in Unix milliseconds.
func NewKeeperID(name core.InstanceID, start int64) KeeperID {
	h := xxhash.Sum64String(string(name)) ^ uint64(start)*0x9E3779B97F4A7C15
	return KeeperID(h>>33) | 1
}

// PlaceID identifies a place that a keeper has granted.
type PlaceID struct {
	Keeper KeeperID
	Number uint64 // of the holder's ask
}

// AskID identifies an ask for a place. A Holder may be this instance itself.
type AskID struct {
	Holder core.InstanceID
	Number uint64
}

// Ask is a request of a holder for one of the keeper's places.
type Ask struct {
	ID AskID
	// Origin is the sender of the reports that show the requests of the holder: the holder, or its data centre.
	Origin core.InstanceID
	// Own marks a request of this instance itself.
	Own bool
	// Final marks one that another data centre has redirected.
	Final bool
	// Group, one of Groups, is the group of endpoints to choose from.
	Group, Groups int
}

// PlaceObserver is told what becomes of places, while locks are held; its methods must not block or call the pool.
type PlaceObserver interface {
	// PlaceBegan is called when the response at a place of another keeper has begun.
	PlaceBegan(id PlaceID)
	// PlaceFreed is called when such a place is free again. served reports whether the request was served.
	PlaceFreed(id PlaceID, served bool)
	// AskDecided is called when TakeDecided has something to return.
	AskDecided()
}

// Redirect is the decision of a keeper that an ask is to be made in another data centre, or, if Centre is empty, that the holder is
// to decide itself.
type Redirect struct{ Centre core.DataCentre }

func (Redirect) decision() {}

// DecidedAsk is the decision on an ask.
type DecidedAsk struct {
	Ask
	Decision
}

// lentPlace is a place that is granted to another instance.
type lentPlace struct {
	endpoint *endpointState
	prompt   core.Tokens
	at       time.Time
	began    bool
	probe    bool // the endpoint is being probed
}

// originPlaces are the places lent to the holders whose requests one sender of reports shows.
type originPlaces struct {
	places  map[AskID]*lentPlace
	missing map[core.EndpointID]int // reports in a row that showed too few
}

// room is the number of free places that the keeper of another data centre has stated, less the asks redirected there since.
type room struct {
	free int
	at   time.Time
}

// groupOf returns the group of an endpoint.
func (e *endpointState) groupOf(groups int) int { return int(e.hash % uint64(groups)) }

// covers reports whether an endpoint belongs to the group of an ask.
func (a *Ask) covers(e *endpointState) bool { return a.Groups <= 1 || e.groupOf(a.Groups) == a.Group }

// minGroup is the number of endpoints in a data centre below which there are no keepers: they would have little to choose from, and most
// asks would be redirected.
const minGroup = 4

// Groups returns the number of groups of at most width endpoints in the data centre of this instance. It is 0 if there are fewer than minGroup,
// or if an order to move to another version tells which of them requests may go to: each instance draws and counts its own requests then.
func (p *Pool) Groups(width int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.orderedEndpoints {
		if e.Centre == p.o.Centre {
			n++
		}
	}
	if n < minGroup || p.restricts() {
		return 0
	}
	return (n + width - 1) / width
}

// Lend queues an ask of another instance, or of this one, as Submit does. TakeDecided returns the decision.
func (p *Pool) Lend(now time.Time, a Ask, req Request) *Ticket {
	return p.submit(now, &Ticket{req: req, ask: &a})
}

// TakeDecided returns the asks that have been decided since the last call.
func (p *Pool) TakeDecided() []DecidedAsk {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.decidedAsks
	p.decidedAsks = nil
	return d
}

// full reports whether asks wait and no place is free for them. To go through the whole queue at each of the messages of a fleet would
// take the processor of a small machine, so those that wait are considered every askInterval only.
func (p *Pool) full(now time.Time) bool {
	if !slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.ask != nil }) {
		return false
	}
	return !slices.ContainsFunc(p.orderedEndpoints, func(e *endpointState) bool {
		return e.Centre == p.o.Centre && e.freeSlots() > 0 && e.available(now)
	})
}

// lend counts the place of a grant as lent to the holder of an ask. The grant is not to be released.
func (p *Pool) lend(a *Ask, g *Grant) {
	o := p.lent[a.Origin]
	if o == nil {
		o = &originPlaces{places: map[AskID]*lentPlace{}, missing: map[core.EndpointID]int{}}
		p.lent[a.Origin] = o
	}
	if o.places[a.ID] != nil { // the ask has arrived twice
		p.dropLent(a.Origin, a.ID)
		p.lent[a.Origin] = o
	}
	e := g.endpointState
	o.places[a.ID] = &lentPlace{endpoint: e, prompt: g.req.Prompt, at: g.sent, probe: g.probe}
	e.lent++
	e.lentPrompt += g.req.Prompt
}

// LentBegan records that the response at a lent place has begun.
func (p *Pool) LentBegan(origin core.InstanceID, id AskID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.lent[origin]; o != nil && o.places[id] != nil {
		o.places[id].begin()
	}
}

// begin no longer counts the prompt of a lent place as not read, and lets the next request probe the endpoint.
func (l *lentPlace) begin() {
	if !l.began {
		l.began = true
		l.endpoint.lentPrompt -= l.prompt
		if l.probe {
			l.endpoint.probing = false
		}
	}
}

// LentFreed frees a lent place. served reports whether its request was served there.
func (p *Pool) LentFreed(now time.Time, origin core.InstanceID, id AskID, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.lent[origin]
	if o == nil || o.places[id] == nil {
		return
	}
	if served {
		if o.places[id].probe {
			o.places[id].endpoint.endSuspension()
		}
		p.serviceTime.add(float64(now.Sub(o.places[id].at)), requestWeight)
	}
	p.dropLent(origin, id)
	p.assign(now)
}

// dropLent frees a lent place.
func (p *Pool) dropLent(origin core.InstanceID, id AskID) {
	o := p.lent[origin]
	l := o.places[id]
	l.begin()
	l.endpoint.lent--
	p.forgetGone(l.endpoint)
	delete(o.places, id)
	if len(o.places) == 0 {
		delete(p.lent, origin)
	}
}

// Lent returns the number of places that are lent to other instances.
func (p *Pool) Lent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, o := range p.lent {
		n += len(o.places)
	}
	return n
}

// reconcileLent drops the places that an origin holds no longer according to its reports, and sets the part of each load that
// is counted as lent already. at is the time at which the report was true.
func (p *Pool) reconcileLent(origin core.InstanceID, at time.Time, loads []Load) []Load {
	o := p.lent[origin]
	if o == nil {
		return loads
	}
	loads = slices.Clone(loads)
	type count struct {
		all, old int
		oldest   AskID
	}
	booked := map[core.EndpointID]*count{}
	for id, l := range o.places {
		c := booked[l.endpoint.ID]
		if c == nil {
			c = &count{}
			booked[l.endpoint.ID] = c
		}
		c.all++
		if at.Sub(l.at) < lentMargin {
			continue
		}
		if c.old == 0 || l.at.Before(o.places[c.oldest].at) {
			c.oldest = id
		}
		c.old++
	}
	shown := map[core.EndpointID]int{}
	for i := range loads {
		l := &loads[i]
		l.lent = 0
		if c := booked[l.Endpoint]; c != nil && l.Keeper == p.o.Keeper {
			l.lent = min(l.Kept, c.all)
			shown[l.Endpoint] = l.Kept
		}
	}
	for id, c := range booked {
		if c.old <= shown[id] {
			delete(o.missing, id)
			continue
		}
		if o.missing[id]++; o.missing[id] >= maxMissing {
			p.dropLent(origin, c.oldest) // the others of them with the next reports
		}
	}
	return loads
}

// expireLent drops the places of origins that have not reported for so long that their requests no longer count.
func (p *Pool) expireLent(now time.Time) {
	for origin, o := range p.lent {
		if p.peers[origin] != nil {
			continue
		}
		for id, l := range o.places {
			if now.Sub(l.at) > reportValidity {
				p.dropLent(origin, id)
			}
		}
	}
}

// SetRoom records how many places of another data centre are free, of which this one may take its part.
func (p *Pool) SetRoom(now time.Time, centre core.DataCentre, free int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rooms[centre] = &room{free: free, at: now}
	if free > 0 {
		p.assign(now)
	}
}

// Room returns the number of free places of a group in the data centre of this instance, less the requests that wait here for one.
func (p *Pool) Room(now time.Time, group, groups int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := Ask{Group: group, Groups: groups}
	n := -len(p.queue)
	for _, e := range p.orderedEndpoints {
		if e.Centre == p.o.Centre && a.covers(e) && e.available(now) {
			n += max(e.freeSlots(), 0)
		}
	}
	return n
}

// openRooms drops outdated statements of rooms, and returns the data centres that may still get asks. The keepers of all
// other data centres may use the room of one, so each takes an equal part.
func (p *Pool) openRooms(now time.Time) []core.DataCentre {
	open := p.roomsBuffer[:0]
	for c, r := range p.rooms {
		if now.Sub(r.at) > roomValidity {
			delete(p.rooms, c)
		} else if r.free >= len(p.rooms) {
			open = append(open, c)
		}
	}
	p.roomsBuffer = open
	return open
}

// redirect returns the decision to ask in another data centre, and charges its room.
func (p *Pool) redirect(c core.DataCentre) Redirect {
	p.rooms[c].free -= len(p.rooms)
	return Redirect{Centre: c}
}

// decideAsk decides an ask as decide does a request of this instance. The keeper knows the load of its endpoints, so it needs no assumptions
// about what others do meanwhile. Another data centre is asked if it has room and, by its last reports, a better endpoint.
func (p *Pool) decideAsk(now time.Time, t *Ticket) Decision {
	if !now.Before(t.req.Deadline) {
		return Refusal{RetryAfter: minRetryAfter, Reason: "deadline"}
	}
	var rooms []core.DataCentre
	if !t.ask.Final {
		rooms = p.openRooms(now)
	}
	var chosen *endpointState
	var lowest time.Duration
	usable, elsewhere := false, false
	p.selectActive(now)
	t.filter = p.filter(now, &t.req)
	avoidPauses := p.askReadsWithoutPause(now, t)
	for _, e := range p.orderedEndpoints {
		near := e.Centre == p.o.Centre
		if !t.ask.covers(e) || !e.available(now) || slices.Contains(t.req.Exclude, e.ID) || !t.allows(e) {
			continue
		}
		usable = usable || near
		if e.freeSlots() <= 0 {
			continue
		}
		elsewhere = elsewhere || !near
		if !near && !slices.Contains(rooms, e.Centre) || avoidPauses && p.interrupts(now, e, &t.req) || t.req.Unstalled && p.model.stalled(now, e) {
			continue
		}
		s := p.score(now, e, &t.req)
		if t.filter.Prefers() && !t.filter.IsTarget(e.Version) {
			s += notTargetPenalty
		}
		if chosen == nil || s < lowest {
			chosen, lowest = e, s
		}
	}
	switch {
	case chosen != nil && chosen.Centre == p.o.Centre:
		return p.grant(now, chosen, t)
	case chosen != nil:
		return p.redirect(chosen.Centre)
	case len(rooms) > 0: // the reports do not show it yet
		return p.redirect(lo.MaxBy(rooms, func(a, b core.DataCentre) bool { return p.rooms[a].free > p.rooms[b].free }))
	case !usable || elsewhere && !t.ask.Final && len(p.rooms) == 0: // without keepers elsewhere, the holder decides by reports
		return Redirect{}
	}
	if r, refused := p.refuse(now, t, true, t.req.Exclude); refused {
		return r
	}
	return nil
}

// askReadsWithoutPause is readsWithoutPause for the endpoints that an ask may get.
func (p *Pool) askReadsWithoutPause(now time.Time, t *Ticket) bool {
	if t.late || t.req.Retried || t.req.GapObjective <= 0 {
		return false
	}
	for _, e := range p.orderedEndpoints {
		if e.Centre == p.o.Centre && t.ask.covers(e) && t.allows(e) && e.available(now) && !p.interrupts(now, e, &t.req) {
			return true
		}
	}
	return false
}

// Open returns a ticket that is not in the queue, for a request that a keeper decides. Enqueue, Adopt or Decide ends that, or Withdraw.
func (p *Pool) Open(req Request) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanPrompt.add(float64(req.Prompt), requestWeight)
	return &Ticket{req: req, Decided: make(chan Decision, 1), expectedWait: -1}
}

// Enqueue queues the request of an open ticket, which is then decided here for the reason why.
func (p *Pool) Enqueue(now time.Time, t *Ticket, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.closed {
		t.local = why
		p.admission.recordArrival(now, t)
		p.enqueue(t)
		p.assign(now)
	}
}

// Decide ends an open ticket with a decision. It reports false if the ticket was withdrawn.
func (p *Pool) Decide(t *Ticket, d Decision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.closed {
		return false
	}
	t.closed = true
	t.Decided <- d
	return true
}

// KeptGrant is a place at an endpoint that a keeper grants, and what it was based on.
type KeptGrant struct {
	Place    PlaceID
	Endpoint core.EndpointID
	// ExpectedLatency and ExpectedDuration are predictions of the times to the first and the last event.
	ExpectedLatency, ExpectedDuration time.Duration
	RunningAtEndpoint                 int
	Backlog                           core.Tokens // prompt tokens that the endpoint reads before the first event, those of the request included
	State                             State
}

// Kept returns the grant of an ask for its holder.
func (g *Grant) Kept(id PlaceID) KeptGrant {
	return KeptGrant{
		Place: id, Endpoint: g.Endpoint.ID, ExpectedLatency: g.ExpectedLatency, ExpectedDuration: g.ExpectedDuration,
		RunningAtEndpoint: g.RunningAtEndpoint, Backlog: g.promptBacklog, State: g.State,
	}
}

// Adoption is what becomes of a KeptGrant.
type Adoption int

// Adoptions. The place of a grant that was not adopted is to be handed back.
const (
	// Adopted means that the ticket has got the grant.
	Adopted Adoption = iota
	// Late means that the ticket was decided or withdrawn before.
	Late
	// Unfit means that the endpoint is not listed here, or gets no requests now.
	Unfit
)

// Adopt ends an open ticket with a grant of a keeper, unless what this instance knows of the endpoint is against it.
func (p *Pool) Adopt(now time.Time, t *Ticket, k KeptGrant) Adoption {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.closed {
		return Late
	}
	e := p.endpoints[k.Endpoint]
	if e != nil {
		t.filter = p.filter(now, &t.req)
	}
	if e == nil || !t.allows(e) || !e.available(now) && !(e.accepts(now) && e.suspicion != proven) {
		return Unfit
	}
	t.closed = true
	g := p.grant(now, e, t)
	g.ExpectedLatency, g.ExpectedDuration, g.RunningAtEndpoint, g.State = k.ExpectedLatency, k.ExpectedDuration, k.RunningAtEndpoint, k.State
	g.promptBacklog, g.place, g.Decider = max(k.Backlog, t.req.Prompt), k.Place, "keeper"
	if e.keeper != k.Place.Keeper {
		e.keeper, e.kept = k.Place.Keeper, 0
	}
	e.kept++
	t.Decided <- g
	return Adopted
}

// releasePlace tells the keeper of a grant that its place is free.
func (p *Pool) releasePlace(g *Grant, served bool) {
	if g.place == (PlaceID{}) {
		return
	}
	if e := g.endpointState; e.keeper == g.place.Keeper {
		e.kept--
	}
	p.o.Places.PlaceFreed(g.place, served)
}
