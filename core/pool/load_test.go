package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// kind is a kind of requests in a simulated load.
type kind struct {
	name      string
	rank      int
	prompt    core.Tokens
	events    int
	objective time.Duration
	rate      func(s float64) float64 // requests a second at a time
}

// result counts what became of the requests of a kind.
type result struct {
	asked, ontime, late, refused, left int
	rejected, broken                   int           // sendings that ended so; the request was sent again
	held                               time.Duration // longest wait of a refused request
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// simulation runs instances with a pool each against engines that work on as many requests as they have slots, in
// simulated time. Digests reach the other instances a little later.
type simulation struct {
	fleet
	now     time.Time
	planned events
	pools   []*pool.Pool
	running map[core.EndpointID]int
	waiting map[core.EndpointID][]func()
	speed   map[core.EndpointID]float64
	number  map[core.EndpointID]int
	rng     *rand.Rand
	results map[string]*result
}

// fleet is the instances and engines of a simulation.
type fleet struct {
	instances, engines, slots int
	queue                     int           // requests that wait at an engine, beyond which it rejects; 0 for no limit
	digest                    time.Duration // between digests
	// broken tells that an engine breaks every request at a time, in seconds.
	broken func(engine int, s float64) bool
	// times is the time that engines take relative to each other, by turns; higher is slower.
	times []float64
}

const (
	simulatedStep   = 28 * time.Millisecond // between events, of which each has 7 tokens
	simulatedPrompt = 7 * time.Microsecond  // for each token of a prompt
	simulatedBase   = 30 * time.Millisecond
	abandon         = 2 * time.Second
)

// small is a fleet of the size of a small firm's.
func small(engines int) fleet {
	return fleet{instances: 6, engines: engines, slots: 11, digest: 40 * time.Millisecond, times: []float64{1.8, 1, 0.36}}
}

func simulate(seed uint64, f fleet, span time.Duration, kinds ...kind) map[string]*result {
	s := &simulation{
		fleet: f, now: begin, running: map[core.EndpointID]int{}, waiting: map[core.EndpointID][]func(){}, speed: map[core.EndpointID]float64{}, number: map[core.EndpointID]int{},
		rng: rand.New(rand.NewPCG(seed, 1)), results: map[string]*result{},
	}
	list := endpoints(f.engines, f.slots)
	for i := range list {
		list[i].Centre = core.DataCentre("abc"[i%3 : i%3+1])
		s.number[list[i].ID] = i
		s.speed[list[i].ID] = f.times[i%len(f.times)]
	}
	for i := range f.instances {
		p := pool.New(pool.Options{Centre: core.DataCentre("abc"[i%3 : i%3+1]), Seed: uint64(i) * 977})
		p.SetEndpoints(begin, list)
		s.pools = append(s.pools, p)
	}
	end := begin.Add(span)
	for _, k := range kinds {
		s.results[k.name] = &result{}
		s.arrive(k, end)
	}
	s.at(0, func() { s.digests(end) })
	s.at(0, func() { s.tick(end) })
	for s.planned.Len() > 0 {
		e := heap.Pop(&s.planned).(event)
		s.now = e.at
		e.do()
	}
	return s.results
}

func (s *simulation) at(d time.Duration, do func()) { heap.Push(&s.planned, event{s.now.Add(d), do}) }

// arrive plans the next request of a kind.
func (s *simulation) arrive(k kind, end time.Time) {
	rate := max(k.rate(s.now.Sub(begin).Seconds()), 0.1)
	s.at(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.After(end) {
			return
		}
		s.arrive(k, end)
		s.request(k)
	})
}

func (s *simulation) request(k kind) {
	s.results[k.name].asked++
	p := s.pools[s.rng.IntN(len(s.pools))]
	w := pool.Request{
		Tier: 1, Rank: k.rank, Prompt: k.prompt, MaxOutput: core.Tokens(7 * max(1, int(float64(k.events)*s.rng.ExpFloat64()))),
		Arrived: s.now, Objective: s.now.Add(k.objective), Deadline: s.now.Add(abandon),
	}
	s.await(k, p, p.Submit(s.now, w), w)
}

// await looks at a ticket every millisecond, as the gateway does through a channel.
func (s *simulation) await(k kind, p *pool.Pool, t *pool.Ticket, w pool.Request) {
	switch d := decision(t).(type) {
	case *pool.Grant:
		s.send(k, p, d, w)
	case pool.Refusal:
		r := s.results[k.name]
		r.refused++
		r.held = max(r.held, s.now.Sub(w.Arrived))
	default:
		s.at(time.Millisecond, func() { s.await(k, p, t, w) })
	}
}

// send sends a request to an engine, and again elsewhere if that does not serve it.
func (s *simulation) send(k kind, p *pool.Pool, d *pool.Grant, w pool.Request) {
	r := s.results[k.name]
	id := d.Endpoint.ID
	again := func(count *int, o pool.Outcome) {
		s.at(3*time.Millisecond, func() {
			*count++
			p.Done(s.now, d, o)
			w.Exclude = append(w.Exclude, id)
			s.await(k, p, p.Submit(s.now, w), w)
		})
	}
	if s.broken != nil && s.broken(s.number[id], s.now.Sub(begin).Seconds()) {
		again(&r.broken, pool.Broken)
		return
	}
	step := time.Duration(float64(simulatedStep) * s.speed[id])
	n := int(w.MaxOutput / 7)
	taken := s.engine(id, w.Prompt, func(first time.Duration, done func()) {
		s.at(first, func() {
			p.RecordFirstEvent(s.now, d)
			took := s.now.Sub(w.Arrived)
			switch {
			case took <= k.objective:
				r.ontime++
			case took <= abandon:
				r.late++
			default:
				r.left++
			}
			s.at(step*time.Duration(n), func() {
				done()
				p.RecordEvents(d, n, step*time.Duration(n))
				p.Done(s.now, d, pool.Served)
			})
		})
	})
	if !taken {
		again(&r.rejected, pool.Rejected)
	}
}

// engine runs a request in order of arrival once a slot is free. It reports false if too many wait.
func (s *simulation) engine(id core.EndpointID, prompt core.Tokens, run func(first time.Duration, done func())) bool {
	start := func() {
		s.running[id]++
		first := time.Duration(s.speed[id] * float64(simulatedBase+simulatedPrompt*time.Duration(prompt)))
		run(first, func() {
			s.running[id]--
			if q := s.waiting[id]; len(q) > 0 {
				s.waiting[id] = q[1:]
				q[0]()
			}
		})
	}
	switch {
	case s.running[id] < s.slots:
		start()
	case s.queue > 0 && len(s.waiting[id]) >= s.queue:
		return false
	default:
		s.waiting[id] = append(s.waiting[id], start)
	}
	return true
}

func (s *simulation) digests(end time.Time) {
	for i, p := range s.pools {
		r := p.Report()
		for j, other := range s.pools {
			if j != i {
				s.at(3*time.Millisecond, func() { other.ApplyReport(s.now, core.InstanceID(fmt.Sprint(i)), i%3 == j%3, r) })
			}
		}
	}
	if s.now.Before(end) {
		s.at(s.fleet.digest, func() { s.digests(end) })
	}
}

func (s *simulation) tick(end time.Time) {
	for _, p := range s.pools {
		p.Tick(s.now)
	}
	if s.now.Before(end.Add(5 * time.Second)) {
		s.at(5*time.Millisecond, func() { s.tick(end) })
	}
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// burst is a rate that is x times as high from one second to another.
func burst(v, x, from, to float64) func(float64) float64 {
	return func(s float64) float64 {
		if s >= from && s < to {
			return v * x
		}
		return v
	}
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Load: flood of the least urgent kind. Guards against a queue in order of arrival, in which the flood delays urgent
// requests as much as its own, and against an urgent kind that leaves nothing to the others.
func TestFloodOfLeastUrgentKind(t *testing.T) {
	g := NewWithT(t)
	r := simulate(1, small(9), 12*time.Second,
		kind{"draft", 0, 6600, 40, 400 * time.Millisecond, constant(20)},
		kind{"check", 2, 1800, 40, 400 * time.Millisecond, burst(20, 10, 3, 12)},
	)
	draft, check := r["draft"], r["check"]
	t.Logf("draft %+v, check %+v", *draft, *check)
	// The less urgent kind must not be starved: the limit is a quarter of the share of all requests.
	urgent, other := share(draft.ontime, draft.asked), share(check.ontime, check.asked)
	g.Expect(urgent).To(BeNumerically(">=", 0.9))
	g.Expect(other).To(BeNumerically(">", share(draft.ontime+check.ontime, draft.asked+check.asked)/4))
}

// Load: backlog after a burst. Guards against late requests that are served oldest first: callers that are about to
// leave are served, and every later one waits as long. It also guards against callers that are held and then refused.
func TestBacklogAfterBurst(t *testing.T) {
	g := NewWithT(t)
	r := simulate(2, small(9), 10*time.Second, kind{"draft", 0, 6600, 50, 400 * time.Millisecond, burst(30, 4, 2, 6)})
	d := r["draft"]
	t.Logf("draft %+v", *d)
	g.Expect(d.left).To(BeNumerically("<", d.asked/50), "served after their callers had left")
	g.Expect(d.held).To(BeNumerically("<=", abandon/5+30*time.Millisecond))
}

// Load: a queue that is longer than the objective. Guards against a caller who is held until the objective has passed and
// is refused then, although it was certain on arrival.
func TestRefusalBehindLongQueue(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 1))
	now := begin
	submit := func() *pool.Ticket {
		w := work(1, now)
		w.Deadline = now.Add(2 * time.Second)
		return p.Submit(now, w)
	}
	for range 30 { // one request every 100 ms
		d := grant(g, submit())
		now = now.Add(100 * time.Millisecond)
		p.RecordFirstEvent(now, d)
		p.Done(now, d, pool.Served)
	}
	for range 10 {
		submit()
	}
	last := submit()
	now = now.Add(210 * time.Millisecond)
	p.Tick(now)
	g.Expect(decision(last)).To(BeAssignableToTypeOf(pool.Refusal{}))
}

// Load: steady traffic below capacity at engines of unlike speed. Guards against requests that are refused or late while
// there is room.
func TestSteadyLoad(t *testing.T) {
	g := NewWithT(t)
	r := simulate(3, small(18), 15*time.Second,
		kind{"draft", 0, 6600, 55, 400 * time.Millisecond, constant(30)},
		kind{"dedication", 1, 628, 42, 250 * time.Millisecond, constant(28)},
		kind{"check", 2, 1800, 3, 250 * time.Millisecond, constant(60)},
	)
	for name, k := range r {
		t.Logf("%s %+v", name, *k)
		g.Expect(share(k.ontime, k.asked)).To(BeNumerically(">=", 0.97), name)
		g.Expect(k.refused).To(BeZero(), name)
	}
}

// Load: one data centre short of engines. Guards against requests that wait for engines nearby while others are idle.
func TestDataCentreShortOfEngines(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(3, 4)
	list[0].Centre, list[1].Centre, list[2].Centre = "a", "b", "b"
	p := newPool(list)
	for range 12 {
		grant(g, p.Submit(begin, work(1, begin)))
	}
}

// large is a fleet whose instances hear of each other several times less often.
func large() fleet {
	return fleet{instances: 60, engines: 60, slots: 11, queue: 4, digest: 200 * time.Millisecond, times: []float64{1.8, 1, 0.36}}
}

// Load: many instances with stale reports. Guards against instances that all choose the engines that looked best in the
// last reports, which then reject requests while others have room.
func TestManyInstancesWithStaleReports(t *testing.T) {
	g := NewWithT(t)
	r := simulate(4, large(), 6*time.Second,
		kind{"draft", 0, 6600, 42, 400 * time.Millisecond, constant(200)},
		kind{"dedication", 1, 628, 32, 250 * time.Millisecond, constant(186)},
		kind{"check", 2, 1800, 3, 300 * time.Millisecond, constant(411)},
	)
	for name, k := range r {
		t.Logf("%s %+v", name, *k)
		g.Expect(share(k.rejected, k.asked)).To(BeNumerically("<=", 0.02), name)
		g.Expect(share(k.ontime, k.asked)).To(BeNumerically(">=", 0.95), name)
	}
}

// Load: engines that break every request, in a large fleet where each instance sends them few. Guards against
// instances that each have to find out alone, and send several requests to each of these engines to do so.
func TestManyInstancesWithBrokenEngines(t *testing.T) {
	g := NewWithT(t)
	f := large()
	f.broken = func(engine int, s float64) bool { return engine%9 == 2 && s >= 2 && s < 4 }
	r := simulate(5, f, 8*time.Second,
		kind{"draft", 0, 6600, 42, 400 * time.Millisecond, constant(100)},
		kind{"check", 2, 1800, 3, 300 * time.Millisecond, constant(300)},
	)
	broken := 0
	for name, k := range r {
		t.Logf("%s %+v", name, *k)
		broken += k.broken
	}
	// Seven engines and three data centres: three failures suspend an engine, and two more may be on their way or probe it.
	g.Expect(broken).To(BeNumerically("<=", 7*3*5))
}

// Load: flood in a large fleet. Guards against instances that all give a slot that came free to a request of their own,
// which then wait at the engines, where their order cannot change and all are late.
func TestFloodInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	f := large()
	f.queue = 40
	f.times = []float64{1}
	var served, ontime int
	for name, k := range simulate(6, f, 5*time.Second,
		kind{"draft", 0, 6600, 42, 400 * time.Millisecond, burst(200, 3, 2, 8)},
		kind{"dedication", 1, 628, 32, 250 * time.Millisecond, burst(186, 3, 2, 8)},
		kind{"check", 2, 1800, 3, 300 * time.Millisecond, burst(411, 3, 2, 8)},
	) {
		t.Logf("%s %+v", name, *k)
		served += k.ontime + k.late + k.left
		ontime += k.ontime
	}
	g.Expect(share(ontime, served)).To(BeNumerically(">=", 0.8))
}

// Load: short requests at few engines, in a large fleet. Guards against reports that count requests that have long ended:
// slots are used several times between two reports.
func TestShortRequestsInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	f := large()
	f.engines, f.slots, f.times = 4, 6, []float64{1}
	k := simulate(7, f, 6*time.Second, kind{"order", 0, 0, 1, 120 * time.Millisecond, constant(200)})["order"]
	t.Logf("%+v", *k)
	g.Expect(share(k.ontime, k.asked)).To(BeNumerically(">=", 0.95))
}
