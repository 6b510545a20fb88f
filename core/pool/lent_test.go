package pool_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// keepers is the part of a simulation in which one instance of each data centre grants its places.
type keepers struct {
	asks map[pool.AskID]*simulatedAsk
	next uint64
	held map[pool.PlaceID]bool
	sent map[int]int // messages by sender
}

// simulatedAsk is an ask that has no decision yet.
type simulatedAsk struct {
	holder, keeper int
	group          int
	ticket         *pool.Ticket
	lent           *pool.Ticket // at the keeper
	req            pool.Request
	received       bool      // by the keeper
	answered       time.Time // when it was decided; zero before
}

const (
	askTimeout    = 25 * time.Millisecond  // without a sign of the keeper
	keeperSilence = 600 * time.Millisecond // after which another instance is the keeper
)

// simulatedObserver passes on what becomes of the places of an instance.
type simulatedObserver struct {
	s      *simulation
	holder int
}

func (o simulatedObserver) PlaceBegan(id pool.PlaceID) {
	o.s.toKeeper(o.holder, id, func(k *pool.Pool) {
		k.LentBegan(o.s.origin(o.holder, int(id.Keeper-1)), o.s.askID(o.holder, id.Number))
	})
}

func (o simulatedObserver) PlaceFreed(id pool.PlaceID, served bool) {
	delete(o.s.keepers.held, id)
	o.s.toKeeper(o.holder, id, func(k *pool.Pool) {
		k.LentFreed(o.s.now, o.s.origin(o.holder, int(id.Keeper-1)), o.s.askID(o.holder, id.Number), served)
		o.s.answer(int(id.Keeper - 1))
	})
}

func (o simulatedObserver) AskDecided() {}

func (s *simulation) askID(holder int, n uint64) pool.AskID {
	return pool.AskID{Holder: core.InstanceID(fmt.Sprint(holder)), Number: n}
}

// origin returns the sender of the reports in which a keeper sees the requests of a holder.
func (s *simulation) origin(holder, keeper int) core.InstanceID {
	if holder%s.centres == keeper%s.centres {
		return core.InstanceID(fmt.Sprint(holder))
	}
	return core.InstanceID(fmt.Sprint("centre ", holder%s.centres))
}

func (s *simulation) poolOptions(i int) pool.Options {
	o := pool.Options{Centre: s.centre(i), Seed: uint64(i) * 977, Limits: s.limits}
	if s.keeperDown != nil {
		if s.keepers == nil {
			s.keepers = &keepers{asks: map[pool.AskID]*simulatedAsk{}, held: map[pool.PlaceID]bool{}, sent: map[int]int{}}
		}
		o.Keeper, o.Places = pool.KeeperID(i+1), simulatedObserver{s, i}
	}
	return o
}

// messageDelay returns 1 to 3 ms.
func (s *simulation) messageDelay() time.Duration {
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
}

// down reports whether an instance, one of the first keepers, is down.
func (s *simulation) down(i int, at time.Time) bool {
	return s.keeperDown != nil && i < s.centres && s.keeperDown(i, at.Sub(begin).Seconds())
}

// keeperOf returns the instance that others take for the keeper of a data centre.
func (s *simulation) keeperOf(centre, group int) int {
	if group > 0 {
		return centre + (group+1)*s.centres
	}
	if s.down(centre, s.now) && s.down(centre, s.now.Add(-keeperSilence)) {
		return centre + s.centres
	}
	return centre
}

// deliver delivers a message.
func (s *simulation) deliver(from int, do func()) {
	if s.down(from, s.now) {
		return
	}
	s.keepers.sent[from]++
	n := 1
	if s.lossy {
		switch s.rng.IntN(20) {
		case 0:
			n = 0
		case 1:
			n = 2
		}
	}
	for range n {
		s.after(s.messageDelay(), do)
	}
}

// toKeeper delivers a message to the keeper that has granted a place.
func (s *simulation) toKeeper(holder int, id pool.PlaceID, do func(k *pool.Pool)) {
	s.deliver(holder, func() {
		if i := int(id.Keeper - 1); !s.down(i, s.now) {
			do(s.pools[i])
		}
	})
}

// submit submits a request to an instance, which asks the keeper of its data centre.
func (s *simulation) submit(i int, req pool.Request) *pool.Ticket {
	if s.keepers == nil {
		return s.pools[i].Submit(s.now, req)
	}
	group := s.rng.IntN(max(s.groups, 1))
	a := &simulatedAsk{holder: i, group: group, keeper: s.keeperOf(i%s.centres, group), ticket: s.pools[i].Open(req), req: req}
	s.ask(a, false)
	return a.ticket
}

// ask sends an ask to its keeper.
func (s *simulation) ask(a *simulatedAsk, final bool) {
	s.keepers.next++
	id := s.askID(a.holder, s.keepers.next)
	s.keepers.asks[id] = a
	k := a.keeper
	s.deliver(a.holder, func() {
		if s.down(k, s.now) || a.received {
			return
		}
		a.received = true
		a.lent = s.pools[k].Lend(s.now, pool.Ask{ID: id, Origin: s.origin(a.holder, k), Own: a.holder == k, Final: final, Group: a.group, Groups: s.groups}, a.req)
		s.answer(k)
	})
	s.after(askTimeout, func() { s.checkAsk(id, a) })
}

// checkAsk has a request decided by its holder if the keeper gives no sign.
func (s *simulation) checkAsk(id pool.AskID, a *simulatedAsk) {
	switch {
	case s.keepers.asks[id] == nil:
	case a.received && !s.down(a.keeper, s.now) && (a.answered.IsZero() || s.now.Sub(a.answered) < 6*askTimeout):
		s.after(askTimeout, func() { s.checkAsk(id, a) })
	default:
		delete(s.keepers.asks, id)
		s.pools[a.holder].Enqueue(s.now, a.ticket, "test")
	}
}

// answer sends the decisions of a keeper to the holders.
func (s *simulation) answer(k int) {
	if s.keepers == nil {
		return
	}
	if s.down(k, s.now) {
		return
	}
	for _, d := range s.pools[k].TakeDecided() {
		if a := s.keepers.asks[d.ID]; a != nil {
			a.answered = s.now // signs of the keeper end
		}
		if d.Own {
			s.receive(k, d)
		} else {
			s.deliver(k, func() { s.receive(k, d) })
		}
	}
}

// receive applies the decision of a keeper at the holder.
func (s *simulation) receive(k int, d pool.DecidedAsk) {
	a := s.keepers.asks[d.ID]
	delete(s.keepers.asks, d.ID)
	handBack := func() {
		s.deliver(holderOf(d.ID), func() {
			if !s.down(k, s.now) {
				s.pools[k].LentFreed(s.now, d.Origin, d.ID, false)
				s.answer(k)
			}
		})
	}
	g, granted := d.Decision.(*pool.Grant)
	place := pool.PlaceID{Keeper: pool.KeeperID(k + 1), Number: d.ID.Number}
	switch {
	case a == nil && granted && d.Own:
		s.pools[k].Release(s.now, g, pool.Cancelled)
	case a == nil && granted:
		if !s.keepers.held[place] {
			handBack()
		}
	case a == nil:
	case granted && d.Own:
		s.pools[k].Decide(a.ticket, g)
	case granted:
		if s.pools[a.holder].Adopt(s.now, a.ticket, g.Kept(place)) == pool.Adopted {
			s.keepers.held[place] = true
		} else {
			handBack()
			s.pools[a.holder].Enqueue(s.now, a.ticket, "test")
		}
	default:
		r, redirected := d.Decision.(pool.Redirect)
		switch {
		case redirected && r.Centre != "":
			s.ask(&simulatedAsk{holder: a.holder, group: a.group, keeper: s.keeperOf(int(r.Centre[0]-'a'), a.group), ticket: a.ticket, req: a.req}, true)
		case redirected:
			s.pools[a.holder].Enqueue(s.now, a.ticket, "test")
		default:
			s.pools[a.holder].Decide(a.ticket, d.Decision)
		}
	}
}

// holderOf returns the index of the holder of an ask.
func holderOf(id pool.AskID) int {
	i, _ := strconv.Atoi(string(id.Holder))
	return i
}

// exchangeRooms tells the keepers of the free places elsewhere, every 100 ms.
func (s *simulation) exchangeRooms(end time.Time) {
	for i := range s.centres * max(s.groups, 1) {
		c, group := i%s.centres, i/s.centres
		k := s.keeperOf(c, group)
		if s.down(k, s.now) {
			continue
		}
		free := s.pools[k].Room(s.now, group, s.groups)
		for other := range s.centres {
			if other != c {
				s.keepers.sent[k]++
				s.after(s.messageDelay(), func() { s.pools[s.keeperOf(other, group)].SetRoom(s.now, s.centre(c), free) })
			}
		}
	}
	if s.now.Before(end) {
		s.after(100*time.Millisecond, func() { s.exchangeRooms(end) })
	}
}

// gridCluster returns a cluster like the largest ones: 73 instances in three data centres, and 60 engines.
func gridCluster() cluster {
	return cluster{
		instances: 73, centres: 3, engines: 60, slots: 10, slowdowns: []float64{1, 2.8, 0.55},
		reportInterval: 160 * time.Millisecond, summaryInterval: 200 * time.Millisecond,
	}
}

// gridLoad is about 0.8 of what the engines of gridCluster can serve.
func gridLoad() []workload {
	return []workload{
		{"draft", 0, 6600, 30, 400 * time.Millisecond, constant(235)},
		{"dedication", 1, 628, 22, 250 * time.Millisecond, constant(290)},
		{"check", 2, 1800, 8, 250 * time.Millisecond, constant(415)},
	}
}

func neverDown(int, float64) bool { return false }

// Many instances send to the same engines. Guards against requests that find others waiting at the engine, whose queue knows no
// urgency, because each instance decides by old reports; and against lent places that are never freed.
func TestRequestsThatWaitAtEngines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		down   func(int, float64) bool
		waited float64 // largest part of the requests that wait at engines
	}{
		{"each decides", nil, 1},
		{"keepers", neverDown, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := gridCluster()
			f.keeperDown = c.down
			s := run(12, f, 6*time.Second, gridLoad()...)
			for name, k := range s.results {
				t.Logf("%s %+v", name, *k)
			}
			t.Logf("waited at engines %d of %d, longest queue %d", s.waited, s.sent, s.longestQueue)
			g.Expect(ratio(s.waited, s.sent)).To(BeNumerically("<", c.waited))
			for i, p := range s.pools {
				g.Expect(p.Lent()).To(BeZero(), "instance %d", i)
			}
		})
	}
}

// Keepers fail while requests are served. Guards against requests that are never decided, against requests that wait at engines once
// another keeper grants, and against lent places that are never freed.
func TestKeeperFailures(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		down  func(centre int, s float64) bool
		lossy bool
	}{
		{"killed", func(_ int, s float64) bool { return s >= 1.5 }, false},
		{"one of them killed", func(c int, s float64) bool { return c == 1 && s >= 1.5 }, false},
		{"silent for a moment", func(_ int, s float64) bool { return s >= 1.5 && s < 1.8 }, false},
		{"silent until replaced, then back", func(_ int, s float64) bool { return s >= 1 && s < 2 }, false},
		{"messages lost and repeated", neverDown, true},
		{"killed while messages are lost and repeated", func(_ int, s float64) bool { return s >= 1.5 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := gridCluster()
			f.keeperDown, f.lossy = c.down, c.lossy
			s := run(13, f, 5*time.Second, gridLoad()...)
			total, ended, ontime := 0, 0, 0
			for _, k := range s.results {
				total, ended, ontime = total+k.total, ended+k.ontime+k.late+k.refused+k.abandoned, ontime+k.ontime
			}
			t.Logf("on time %d of %d, sent and waited %v", ontime, total, s.windows)
			g.Expect(ended).To(Equal(total))
			for i, w := range s.windows {
				if i >= 6 && i < 10 && !c.lossy { // more than 1 s after the failure
					g.Expect(ratio(w[1], w[0])).To(BeNumerically("<", 0.05), "window %d", i)
				}
			}
			for i, p := range s.pools {
				if !s.down(i, s.now) {
					g.Expect(p.Lent()).To(BeZero(), "instance %d", i)
				}
			}
		})
	}
}

// noPlaces ignores what becomes of places.
type noPlaces struct{}

func (noPlaces) PlaceBegan(pool.PlaceID)       {}
func (noPlaces) PlaceFreed(pool.PlaceID, bool) {}
func (noPlaces) AskDecided()                   {}

func newKeeperPool(list []pool.Endpoint) *pool.Pool {
	p := pool.New(pool.Options{Centre: "a", Keeper: 1, Places: noPlaces{}})
	p.SetEndpoints(begin, list)
	return p
}

func ask(holder core.InstanceID, n uint64) pool.Ask {
	return pool.Ask{ID: pool.AskID{Holder: holder, Number: n}, Origin: holder}
}

// Guards against an urgent ask that waits behind less urgent ones of any holder, and against places that are granted twice.
func TestOrderOfAsks(t *testing.T) {
	g := NewWithT(t)
	p := newKeeperPool(endpoints(1, 1))
	p.Lend(begin, ask("first", 1), request(1, begin))
	held := p.TakeDecided()
	g.Expect(held).To(HaveLen(1))
	for i, tier := range []core.Tier{3, 1, 2, 0} {
		p.Lend(begin, ask(core.InstanceID(fmt.Sprint("h", tier)), uint64(i)), request(tier, begin))
	}
	g.Expect(p.TakeDecided()).To(BeEmpty(), "no place is free")
	for tier := range 4 {
		now := begin.Add(time.Duration(tier+1) * 10 * time.Millisecond)
		p.LentFreed(now, held[0].Origin, held[0].ID, true)
		p.LentFreed(now, held[0].Origin, held[0].ID, true) // the message is repeated
		held = p.TakeDecided()
		g.Expect(held).To(HaveLen(1))
		g.Expect(held[0].ID.Holder).To(Equal(core.InstanceID(fmt.Sprint("h", tier))))
		g.Expect(p.Lent()).To(Equal(1))
	}
}

// A keeper takes over while requests run. Guards against counting the requests under its own grants twice, and against leaving out
// those under the grants of another.
func TestReportsOfKeptRequests(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(1, 10)
	p := newKeeperPool(list)
	for n := range uint64(2) {
		p.Lend(begin, ask("h", n+1), request(1, begin))
	}
	for _, c := range []struct {
		load pool.Load
		free int
	}{
		{pool.Load{Running: 2, Kept: 2, Keeper: 1}, 8},
		{pool.Load{Running: 5, Kept: 2, Keeper: 1}, 5},
		{pool.Load{Running: 5, Kept: 5, Keeper: 1}, 5}, // more than it has lent: it counted them as lost
		{pool.Load{Running: 2, Kept: 2, Keeper: 2}, 6}, // of another keeper
	} {
		c.load.Endpoint = list[0].ID
		p.ApplyReport(begin, "h", true, pool.Report{Loads: []pool.Load{c.load}})
		free, _ := p.Free(begin)
		g.Expect(free).To(Equal(c.free), "%+v", c.load)
	}
	later := begin.Add(200 * time.Millisecond)
	for i, lent := range []int{2, 1, 0} {
		p.ApplyReport(later, "h", true, pool.Report{})
		g.Expect(p.Lent()).To(Equal(lent), "report %d without them", i+1)
	}
}

// Guards against a grant of a keeper that overrides what the holder knows of the endpoint.
func TestAdopt(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(3, 4)
	list[1].Leaving = true
	p := newKeeperPool(list[:2])
	for _, c := range []struct {
		endpoint core.EndpointID
		want     pool.Adoption
	}{{list[0].ID, pool.Adopted}, {list[1].ID, pool.Unfit}, {list[2].ID, pool.Unfit}} {
		ticket := p.Open(request(1, begin))
		k := pool.KeptGrant{Place: pool.PlaceID{Keeper: 2, Number: 1}, Endpoint: c.endpoint}
		g.Expect(p.Adopt(begin, ticket, k)).To(Equal(c.want), string(c.endpoint))
		if c.want == pool.Adopted {
			g.Expect(p.Adopt(begin, ticket, k)).To(Equal(pool.Late), "twice")
			granted := grant(g, ticket)
			p.Release(begin, granted, pool.Unreachable) // which suspends it
			g.Expect(p.Adopt(begin, p.Open(request(1, begin)), k)).To(Equal(pool.Unfit), "suspended by proof")
		}
	}
}

// Guards against asks that wait although another data centre has room, and against sending it more than it has stated.
func TestRedirect(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(3, 1)
	list[1].Centre, list[2].Centre = "b", "c"
	p := newKeeperPool(list)
	p.SetRoom(begin, "b", 2)
	p.SetRoom(begin, "c", 0)
	var got []string
	for n := range uint64(3) {
		p.Lend(begin.Add(time.Duration(n)*10*time.Millisecond), ask("h", n), request(1, begin))
	}
	for _, d := range p.TakeDecided() {
		got = append(got, fmt.Sprintf("%T", d.Decision))
	}
	g.Expect(got).To(Equal([]string{"*pool.Grant", "pool.Redirect"}), "half of the room of b is for the keeper of c")
	p.Lend(begin.Add(40*time.Millisecond), pool.Ask{ID: pool.AskID{Holder: "h", Number: 9}, Origin: "h", Final: true}, request(0, begin))
	p.SetRoom(begin.Add(50*time.Millisecond), "b", 2)
	d := p.TakeDecided()
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].ID.Number).To(BeEquivalentTo(2), "one that was redirected already stays")
}

// A few engines return while requests wait everywhere, and the instances have keepers. Guards against more requests that wait at an
// engine than it has slots, as in TestQueueAtReturningEngines.
func TestQueueAtReturningEnginesWithKeepers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := fleetCluster()
	f.absentEngines, f.absentUntil, f.keeperDown = 5, 2*time.Second, neverDown
	s := run(11, f, 4*time.Second,
		workload{"draft", 0, 6600, 50, 400 * time.Millisecond, constant(360)},
		workload{"dedication", 1, 628, 40, 200 * time.Millisecond, constant(290)},
		workload{"check", 2, 1800, 3, 250 * time.Millisecond, constant(780)},
	)
	for name, k := range s.results {
		t.Logf("%s %+v", name, *k)
	}
	t.Logf("waited at engines %d of %d, longest queue %d", s.waited, s.sent, s.longestQueue)
	g.Expect(s.longestQueue).To(BeNumerically("<=", f.slots))
}

// Guards against messages of an instance that grow with the fleet, and against requests that wait at engines in large ones.
func TestKeepersByFleetSize(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ instances, engines, centres, groups int }{{24, 18, 3, 1}, {78, 60, 3, 1}, {300, 240, 5, 1}, {300, 240, 3, 2}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := gridCluster()
			f.instances, f.engines, f.centres, f.groups, f.keeperDown = c.instances, c.engines, c.centres, c.groups, neverDown
			f.reportInterval = max(40*time.Millisecond, time.Duration(c.instances/c.centres)*time.Second/150)
			load := gridLoad()
			for i := range load {
				load[i].rate = constant(load[i].rate(0) * float64(c.engines) / 60)
			}
			const span = time.Second
			s := run(14, f, span, load...)
			holders, keepers, instances := 0, 0, 0
			for i := range s.pools {
				if i < s.centres || i >= 2*s.centres && i < (c.groups+1)*s.centres {
					keepers = max(keepers, s.keepers.sent[i])
				} else {
					holders, instances = holders+s.keepers.sent[i], instances+1
				}
			}
			perHolder := float64(holders) / float64(instances) / span.Seconds()
			t.Logf("waited %d of %d; messages a second: %.0f of an instance, %.0f of a keeper", s.waited, s.sent, perHolder, float64(keepers)/span.Seconds())
			g.Expect(ratio(s.waited, s.sent)).To(BeNumerically("<", 0.05))
			// An ask, the first event and the end of each of the 12.5 requests a second of an instance, and some asks elsewhere.
			g.Expect(perHolder).To(BeNumerically("<", 3.5*12.5))
		})
	}
}
