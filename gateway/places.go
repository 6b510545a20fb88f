package gateway

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/fleet"
	"monsoondale/core/places"
	"monsoondale/core/pool"
	"monsoondale/core/route"
	"monsoondale/io/mesh"
	wire "monsoondale/wire/mesh"
)

const (
	// groupWidth is the number of endpoints of a service in a data centre above which they are divided into groups, each with a keeper.
	groupWidth = 64
	// freedDelay and beganDelay are how long messages that places are free, or that responses began, wait for others to the same keeper.
	freedDelay, beganDelay = 2 * time.Millisecond, 20 * time.Millisecond
	// roomInterval is how often keepers tell those of other data centres their free places.
	roomInterval = 100 * time.Millisecond
	// maxAskTries is the number of grants of endpoints that get no requests here after which this instance decides itself.
	maxAskTries = 3
	// maxAskAge bounds the times that an ask states.
	maxAskAge = time.Hour
	// maxItems is the number of asks, answers and waiting asks in a message, which must fit into a datagram.
	maxItems = 100
	// maxTickGap is the time between two ticks above which this process was late itself.
	maxTickGap = 20 * time.Millisecond
	// pendingMargin is how long after the deadline of its request an ask is forgotten, if no decision has come.
	pendingMargin = time.Second
	// maxPendingAsks bounds the asks that wait at a keeper. Those beyond it are decided by their holders.
	maxPendingAsks = 20000
)

// PlacesMode tells whether keepers grant the places of endpoints.
type PlacesMode string

// Modes of places.
const (
	PlacesAuto PlacesMode = "auto" // except in flat fleets; the default
	PlacesOff  PlacesMode = "off"  // each instance decides itself
)

// placesKey is a group of the endpoints of a service in a data centre.
type placesKey struct {
	service route.Service
	group   int
}

func (k placesKey) String() string { return string(k.service) + "#" + strconv.Itoa(k.group) }

// keeper is the instance that grants the places of a group.
type keeper struct {
	name    core.InstanceID
	address string
	id      pool.KeeperID
	start   int64
	centre  core.DataCentre
}

// heldAsk is an ask of this instance.
type heldAsk struct {
	service       route.Service
	pool          *pool.Pool
	ticket        *pool.Ticket
	req           pool.Request
	group, groups int
	tries         int
	number        uint64 // of the ask
	keeper        keeper // that was asked
	since         time.Time
}

// pendingAsk is an ask that this instance is to decide.
type pendingAsk struct {
	pool    *pool.Pool
	ticket  *pool.Ticket // nil until it is queued
	address string       // of the holder; empty for this instance
	expires time.Time    // after the deadline of the request
}

// keptPlaces asks the keepers of places, and is the keeper of some itself.
type keptPlaces struct {
	g    *Gateway
	mode PlacesMode
	id   pool.KeeperID
	self core.InstanceID

	// mesh is nil until the sockets are open; messages that arrive before it is set are lost.
	mesh atomic.Pointer[mesh.Mesh]
	// wake is signalled when a pool has decided asks, and changed when a message is due.
	wake, changed chan struct{}

	// mu is taken while the locks of pools are held, so no method of a pool may be called under it.
	mu       sync.Mutex
	asker    *places.Asker[*heldAsk]
	byTicket map[*pool.Ticket]*heldAsk
	pending  map[pool.AskID]*pendingAsk
	groups   map[route.Service]int
	keepers  map[placesKey]keeper
	far      map[core.DataCentre]map[placesKey]keeper
	granters map[pool.KeeperID]keeper // that this instance has got places of
	held     map[pool.PlaceID]bool    // granted by others
	outbox   map[string]*outgoing     // by address
	sealed   []*outgoing              // messages that are full, and to be sent now
	resolved map[string]*net.UDPAddr

	// Only the control goroutine uses these.
	lastSigns, lastRooms time.Time
	lastTick             time.Time
}

func newKeptPlaces(g *Gateway) *keptPlaces {
	k := &keptPlaces{
		g: g, mode: g.o.Places, self: g.o.Settings.Name, id: pool.NewKeeperID(g.o.Settings.Name, g.start.UnixMilli()),
		wake: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		// Numbers differ from those of the processes before, whose places keepers may still count.
		asker:    places.NewAsker[*heldAsk](uint64(g.start.UnixMilli()) << 20),
		byTicket: map[*pool.Ticket]*heldAsk{}, pending: map[pool.AskID]*pendingAsk{}, groups: map[route.Service]int{}, keepers: map[placesKey]keeper{},
		far: map[core.DataCentre]map[placesKey]keeper{}, granters: map[pool.KeeperID]keeper{}, held: map[pool.PlaceID]bool{}, outbox: map[string]*outgoing{}, resolved: map[string]*net.UDPAddr{},
	}
	k.asker.OnDoubt = func(id core.InstanceID, doubted bool) {
		g.log.Info("keeper doubted", "keeper", id, "doubted", doubted)
	}
	metrics.NewRegisteredFunctionalGauge("places.held", g.metrics, func() int64 {
		return int64(lo.SumBy(lo.Values(g.config.Load().Pools), func(p *pool.Pool) int { return p.Lent() }))
	})
	return k
}

func (k *keptPlaces) count(name string) {
	metrics.GetOrRegisterCounter("places."+name, k.g.metrics).Inc(1)
}

// power returns the power of this instance as a candidate, or 0 if it is none.
func (k *keptPlaces) power() int {
	if k.mode == PlacesOff {
		return 0
	}
	return max(k.g.o.Settings.ProcessorPower, 1)
}

// centreOrigin is the sender of the sums of a data centre.
func centreOrigin(id core.DataCentre) core.InstanceID { return core.InstanceID("centre " + id) }

// chooseKeepers decides who keeps the places of this data centre. It runs on the control goroutine.
func (g *Gateway) chooseKeepers(now time.Time) {
	k := g.places
	if k.mode == PlacesOff {
		return
	}
	others, ok := g.fleet.Candidates(now)
	var candidates []places.Candidate
	members := map[core.InstanceID]fleet.Candidate{}
	for _, c := range others {
		candidates = append(candidates, places.Candidate{Name: c.Name, Power: c.Power})
		members[c.Name] = c
	}
	if !g.leaving.Load() {
		candidates = append(candidates, places.Candidate{Name: k.self, Power: k.power()})
		members[k.self] = fleet.Candidate{Member: fleet.Member{Name: k.self, Address: g.o.Settings.MeshAddress}, Start: g.start.UnixMilli()}
	}
	groups, keepers := map[route.Service]int{}, map[placesKey]keeper{}
	if ok {
		for s, p := range g.pools {
			if !g.uses(s) {
				continue
			}
			groups[s] = p.Groups(groupWidth)
			for i := range groups[s] {
				key := placesKey{s, i}
				if m, ok := members[places.Keeper(key.String(), candidates)]; ok {
					keepers[key] = keeper{name: m.Name, address: m.Address, start: m.Start, id: pool.NewKeeperID(m.Name, m.Start), centre: g.o.Settings.Centre}
				}
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, c := range keepers {
		if last := k.keepers[key]; last.id != c.id {
			g.log.Info("keeper", "service", key.service, "group", key.group, "keeper", c.name, "before", last.name, "candidates", len(candidates))
		}
	}
	for key, last := range k.keepers {
		if _, ok := keepers[key]; !ok {
			g.log.Info("keeper", "service", key.service, "group", key.group, "keeper", "", "before", last.name, "candidates", len(candidates))
		}
	}
	k.groups, k.keepers = groups, keepers
}

// ownKeepers returns the keepers of this data centre for its summary.
func (k *keptPlaces) ownKeepers() []wire.Keeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []wire.Keeper
	for key, c := range k.keepers {
		out = append(out, c.wire(key))
	}
	return out
}

func (c keeper) wire(key placesKey) wire.Keeper {
	return wire.Keeper{Service: string(key.service), Group: key.group, Name: string(c.name), Address: c.address, Start: int(c.start), Centre: string(c.centre)}
}

func newKeeper(w *wire.Keeper, centre core.DataCentre) (placesKey, keeper) {
	name := core.InstanceID(w.Name)
	return placesKey{route.Service(w.Service), w.Group}, keeper{name: name, address: w.Address, start: int64(w.Start), id: pool.NewKeeperID(name, int64(w.Start)), centre: centre}
}

// setFarKeepers records the keepers of another data centre.
func (k *keptPlaces) setFarKeepers(_ time.Time, centre core.DataCentre, list []wire.Keeper) {
	keepers := make(map[placesKey]keeper, len(list))
	for i := range list {
		key, c := newKeeper(&list[i], centre)
		keepers[key] = c
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.far[centre] = keepers
}

// localReason returns why a request is decided by its holder, or "".
func localReason(req *pool.Request) string {
	switch {
	case len(req.Only) > 0 || req.Returning:
		return "returns"
	case req.Begun:
		return "begun"
	}
	return ""
}

// Submit implements proxy.Places: it asks the keeper, or has the pool decide.
func (k *keptPlaces) Submit(now time.Time, s route.Service, p *pool.Pool, req pool.Request) *pool.Ticket {
	k.mu.Lock()
	h := &heldAsk{service: s, pool: p, req: req, groups: k.groups[s], since: now}
	if h.groups > 1 {
		h.group = int(xxhash.Sum64String(string(req.ID)) % uint64(h.groups))
	}
	c, ok := k.keepers[placesKey{s, h.group}]
	why := localReason(&req)
	if ok && why == "" && !k.asker.MayAsk(now, c.name) {
		why = "doubt"
	}
	k.mu.Unlock()
	if !ok {
		return p.Submit(now, req)
	}
	h.ticket = p.Open(req)
	if why != "" {
		k.decideHere(now, h, why)
		return h.ticket
	}
	k.ask(now, h, c, false)
	return h.ticket
}

// decideHere has the pool of this instance decide.
func (k *keptPlaces) decideHere(now time.Time, h *heldAsk, why string) {
	k.count("local." + why)
	h.pool.Enqueue(now, h.ticket, "local: "+why)
}

// ask asks a keeper for a place.
func (k *keptPlaces) ask(now time.Time, h *heldAsk, c keeper, final bool) {
	k.count("asked")
	timeout := places.AckTimeout
	switch {
	case c.name == k.self:
		timeout = 0
	case c.centre != k.g.o.Settings.Centre:
		timeout = places.FarAckTimeout
	}
	if h.pool.Closed(h.ticket) { // withdrawn between two asks
		return
	}
	k.mu.Lock()
	number := k.asker.Begin(now, c.name, timeout, h)
	h.number, h.keeper = number, c
	k.byTicket[h.ticket] = h
	k.mu.Unlock()
	if c.name == k.self {
		k.lend(now, h.pool, pool.Ask{ID: pool.AskID{Holder: k.self, Number: number}, Origin: k.self, Own: true, Final: final, Group: h.group, Groups: h.groups}, h.req, "")
		k.drain(now)
		return
	}
	k.add(now, c.address, 0, func(m *wire.Places) { m.Asks = append(m.Asks, encodeAsk(now, number, h, final)) })
	k.flush(now)
}

// Withdraw implements proxy.Places.
func (k *keptPlaces) Withdraw(now time.Time, p *pool.Pool, t *pool.Ticket) *pool.Grant {
	k.mu.Lock()
	h := k.byTicket[t]
	if h != nil {
		delete(k.byTicket, t)
		k.asker.Withdraw(h.number)
		k.tellWithdrawn(now, h)
	}
	k.mu.Unlock()
	if h != nil && h.keeper.name == k.self {
		k.withdraw(now, pool.AskID{Holder: k.self, Number: h.number})
	}
	return p.Withdraw(now, t)
}

// tellWithdrawn tells the keeper that an ask is to be dropped. The caller holds mu.
func (k *keptPlaces) tellWithdrawn(now time.Time, h *heldAsk) {
	if h.keeper.name != k.self {
		number := int(h.number)
		k.addLocked(now, h.keeper.address, freedDelay, func(m *wire.Places) { m.Withdrawn = append(m.Withdrawn, number) })
	}
}

// lend queues an ask at the pool of this instance.
func (k *keptPlaces) lend(now time.Time, p *pool.Pool, a pool.Ask, req pool.Request, address string) {
	k.mu.Lock()
	if k.pending[a.ID] != nil || len(k.pending) >= maxPendingAsks && !a.Own {
		k.mu.Unlock()
		return
	}
	k.pending[a.ID] = &pendingAsk{pool: p, address: address, expires: req.Deadline.Add(pendingMargin)}
	k.mu.Unlock()
	t := p.Lend(now, a, req)
	k.mu.Lock()
	if e := k.pending[a.ID]; e != nil {
		e.ticket = t
	}
	k.mu.Unlock()
}

// withdraw removes an ask from the queue of this instance.
func (k *keptPlaces) withdraw(now time.Time, id pool.AskID) {
	k.mu.Lock()
	e := k.pending[id]
	delete(k.pending, id)
	k.mu.Unlock()
	if e != nil && e.ticket != nil {
		e.pool.Withdraw(now, e.ticket)
	}
}

// drain passes on what the pools of this instance have decided.
func (k *keptPlaces) drain(now time.Time) {
	for s, p := range k.g.config.Load().Pools {
		k.drainPool(now, s, p)
	}
	k.flush(now)
}

// drainPool passes on what a pool has decided; flush sends it.
func (k *keptPlaces) drainPool(now time.Time, s route.Service, p *pool.Pool) {
	for _, d := range p.TakeDecided() {
		k.mu.Lock()
		e := k.pending[d.ID]
		delete(k.pending, d.ID)
		k.mu.Unlock()
		g, granted := d.Decision.(*pool.Grant)
		switch {
		case d.Own:
			k.decided(now, p, d)
		case e == nil && granted: // withdrawn
			p.LentFreed(now, d.Origin, d.ID, false)
		case e != nil:
			if granted {
				k.count("lent")
				k.add(now, e.address, 0, func(m *wire.Places) { m.Answers = append(m.Answers, encodeGrant(d.ID, g)) })
			} else {
				w := k.encodeDecision(placesKey{s, d.Group}, d)
				k.add(now, e.address, 0, func(m *wire.Places) { m.Answers = append(m.Answers, w) })
			}
		}
	}
}

// decided applies the decision on an ask of this instance at its own pool.
func (k *keptPlaces) decided(now time.Time, p *pool.Pool, d pool.DecidedAsk) {
	h, ok := k.end(k.self, d.ID.Number)
	switch v := d.Decision.(type) {
	case *pool.Grant:
		v.Decider = "keeper"
		if !ok || !p.Decide(h.ticket, v) {
			p.Release(now, v, pool.Cancelled)
			return
		}
		k.granted(now, h)
	case pool.Refusal:
		if ok {
			v.Decider = "keeper"
			k.count("refused")
			p.Decide(h.ticket, v)
		}
	case pool.Redirect:
		if !ok {
			return
		}
		if c, ok := k.farKeeper(v.Centre, placesKey{h.service, h.group}); ok {
			k.redirect(now, h, c)
		} else {
			k.decideHere(now, h, "keeper")
		}
	}
}

// granted counts a grant and the time that it took.
func (k *keptPlaces) granted(now time.Time, h *heldAsk) {
	k.count("granted")
	metrics.GetOrRegisterTimer("places.wait", k.g.metrics).Update(now.Sub(h.since))
}

// redirect asks the keeper of another data centre.
func (k *keptPlaces) redirect(now time.Time, h *heldAsk, c keeper) {
	k.count("redirected")
	k.mu.Lock()
	may := k.asker.MayAsk(now, c.name)
	k.mu.Unlock()
	if !may {
		k.decideHere(now, h, "doubt")
		return
	}
	k.ask(now, h, c, true)
}

// farKeeper returns the keeper of a group in another data centre.
func (k *keptPlaces) farKeeper(centre core.DataCentre, key placesKey) (keeper, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.far[centre][key]
	return c, ok
}

// end ends an ask that a keeper has decided.
func (k *keptPlaces) end(name core.InstanceID, number uint64) (*heldAsk, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.asker.End(name, number)
	if ok {
		delete(k.byTicket, h.ticket)
	}
	return h, ok
}

// receive applies a message of another instance.
func (k *keptPlaces) receive(now time.Time, m *wire.Places) {
	if k.mode == PlacesOff || core.InstanceID(m.From) == k.self || k.mesh.Load() == nil {
		return
	}
	pools := k.g.config.Load().Pools
	from, centre := core.InstanceID(m.From), core.DataCentre(m.Centre)
	origin := from
	if centre != k.g.o.Settings.Centre {
		origin = centreOrigin(centre)
	}
	id := func(number int) pool.AskID { return pool.AskID{Holder: from, Number: uint64(number)} }
	for _, e := range m.Ended {
		for s, p := range pools {
			if e.Service != "" && e.Service != string(s) {
				continue
			}
			for _, n := range e.Began {
				p.LentBegan(origin, id(n))
			}
			for _, n := range e.Served {
				p.LentFreed(now, origin, id(n), true)
			}
			for _, n := range e.Unserved {
				p.LentFreed(now, origin, id(n), false)
			}
		}
	}
	for _, n := range m.Withdrawn {
		k.withdraw(now, id(n))
	}
	for _, r := range m.Rooms {
		if p := pools[route.Service(r.Service)]; p != nil && origin != from {
			p.SetRoom(now, centre, min(max(r.Free, -maxFigure), maxFigure))
		}
	}
	for i := range m.Asks {
		a := &m.Asks[i]
		p := pools[route.Service(a.Service)]
		if p == nil || k.g.leaving.Load() {
			k.add(now, m.Address, 0, func(w *wire.Places) { w.Answers = append(w.Answers, wire.Answer{Number: a.Number}) })
			continue
		}
		groups := min(max(a.Groups, 1), maxFigure)
		k.lend(now, p, pool.Ask{ID: id(a.Number), Origin: origin, Final: a.Final, Group: max(a.Group, 0) % groups, Groups: groups}, decodeAsk(now, a), m.Address)
	}
	if len(m.Answers) > 0 || len(m.Waiting) > 0 {
		k.receiveAnswers(now, from, m)
	}
	k.drain(now)
	if len(m.Asks) > 0 {
		k.mu.Lock()
		for i := range m.Asks {
			if n := m.Asks[i].Number; k.pending[id(n)] != nil {
				k.addLocked(now, m.Address, 0, func(w *wire.Places) { w.Waiting = append(w.Waiting, n) })
			}
		}
		k.mu.Unlock()
		k.flush(now)
	}
}

// receiveAnswers applies the decisions of a keeper on asks of this instance.
func (k *keptPlaces) receiveAnswers(now time.Time, from core.InstanceID, m *wire.Places) {
	granter := keeper{name: from, address: m.Address, start: int64(m.Start), id: pool.NewKeeperID(from, int64(m.Start)), centre: core.DataCentre(m.Centre)}
	k.mu.Lock()
	for _, n := range m.Waiting {
		k.asker.Sign(now, from, uint64(n))
	}
	k.granters[granter.id] = granter
	k.mu.Unlock()
	for i := range m.Answers {
		a := &m.Answers[i]
		handBack := func(s route.Service) {
			k.count("returned")
			k.addEnded(now, m.Address, s, freedDelay, func(e *wire.Ended) { e.Unserved = append(e.Unserved, a.Number) })
		}
		place := pool.PlaceID{Keeper: granter.id, Number: uint64(a.Number)}
		h, ok := k.end(from, uint64(a.Number))
		switch {
		case !ok:
			if a.Endpoint != "" && !k.holds(place) { // else the answer has arrived twice
				handBack("")
			}
		case a.Endpoint != "":
			k.hold(place, true) // before the request may end
			adoption := h.pool.Adopt(now, h.ticket, decodeGrant(place, a))
			if adoption != pool.Adopted {
				k.hold(place, false)
				handBack(h.service)
			}
			switch adoption {
			case pool.Adopted:
				k.granted(now, h)
			case pool.Unfit:
				h.req.Exclude = append(slices.Clone(h.req.Exclude), core.EndpointID(a.Endpoint))
				if h.tries++; h.tries < maxAskTries && !h.pool.Restricts() {
					k.ask(now, h, granter, granter.centre != k.g.o.Settings.Centre)
				} else {
					k.decideHere(now, h, "unfit")
				}
			}
		case a.Reason != "":
			k.count("refused")
			h.pool.Decide(h.ticket, pool.Refusal{RetryAfter: milliseconds(min(max(a.Retry, 1), maxFigure)), Reason: a.Reason, State: decodeState(a), Decider: "keeper"})
		case a.Keeper != nil && granter.centre == k.g.o.Settings.Centre:
			_, c := newKeeper(a.Keeper, core.DataCentre(a.Keeper.Centre))
			k.redirect(now, h, c)
		default:
			k.decideHere(now, h, "keeper")
		}
	}
}

// hold records that a place is held, or is no longer.
func (k *keptPlaces) hold(id pool.PlaceID, held bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held {
		k.held[id] = true
	} else {
		delete(k.held, id)
	}
}

func (k *keptPlaces) holds(id pool.PlaceID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[id]
}

// tick does what is due by time alone. It runs on the control goroutine.
func (k *keptPlaces) tick(now time.Time) {
	if k.mode == PlacesOff {
		return
	}
	k.mu.Lock()
	var overdue []*heldAsk
	if now.Sub(k.lastTick) <= maxTickGap { // after a gap, answers may not have been read yet
		overdue = k.asker.Overdue(now)
	}
	k.lastTick = now
	for _, h := range overdue {
		delete(k.byTicket, h.ticket)
		k.tellWithdrawn(now, h) // so that no place is granted in vain
	}
	if now.Sub(k.lastSigns) >= places.SignInterval {
		k.lastSigns = now
		for id, e := range k.pending {
			if now.After(e.expires) { // the decision went with the pool of a service that is no longer used
				delete(k.pending, id)
				continue
			}
			if e.address != "" {
				k.addLocked(now, e.address, 0, func(m *wire.Places) { m.Waiting = append(m.Waiting, int(id.Number)) })
			}
		}
	}
	var kept []placesKey
	groups := k.groups
	if now.Sub(k.lastRooms) >= roomInterval && len(k.far) > 0 {
		k.lastRooms = now
		for key, c := range k.keepers {
			if c.name == k.self {
				kept = append(kept, key)
			}
		}
	}
	k.mu.Unlock()
	for _, h := range overdue {
		k.decideHere(now, h, "silent")
	}
	for _, key := range kept {
		p := k.g.pools[key.service]
		if p == nil {
			continue
		}
		r := wire.Room{Service: string(key.service), Group: key.group, Free: p.Room(now, key.group, groups[key.service])}
		k.mu.Lock()
		for _, far := range k.far {
			if c, ok := far[key]; ok {
				k.addLocked(now, c.address, 0, func(m *wire.Places) { m.Rooms = append(m.Rooms, r) })
			}
		}
		k.mu.Unlock()
	}
	k.flush(now)
}

// run passes on decisions and sends messages when they are due.
func (k *keptPlaces) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			k.drain(time.Now())
		case <-k.changed:
		case <-timer.C:
		}
		now := time.Now()
		next := k.flush(now)
		timer.Reset(max(next.Sub(now), 0))
	}
}

// signal sends to a channel of capacity 1 unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// placeObserver passes what becomes of the places of a service on to their keepers.
type placeObserver struct {
	k       *keptPlaces
	service route.Service
}

func (k *keptPlaces) observer(s route.Service) pool.PlaceObserver { return placeObserver{k, s} }

// PlaceBegan implements pool.PlaceObserver.
func (o placeObserver) PlaceBegan(id pool.PlaceID) {
	o.tell(id, beganDelay, func(e *wire.Ended) { e.Began = append(e.Began, int(id.Number)) })
}

// PlaceFreed implements pool.PlaceObserver.
func (o placeObserver) PlaceFreed(id pool.PlaceID, served bool) {
	o.k.hold(id, false)
	o.tell(id, freedDelay, func(e *wire.Ended) {
		if served {
			e.Served = append(e.Served, int(id.Number))
		} else {
			e.Unserved = append(e.Unserved, int(id.Number))
		}
	})
}

func (o placeObserver) tell(id pool.PlaceID, delay time.Duration, change func(e *wire.Ended)) {
	o.k.mu.Lock()
	c, ok := o.k.granters[id.Keeper]
	o.k.mu.Unlock()
	if ok {
		o.k.addEnded(time.Now(), c.address, o.service, delay, change)
	}
}

// AskDecided implements pool.PlaceObserver.
func (o placeObserver) AskDecided() { signal(o.k.wake) }
