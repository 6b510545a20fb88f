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
	now     time.Time
	queue   events
	pools   []*pool.Pool
	running map[core.EndpointID]int
	waiting map[core.EndpointID][]func()
	speed   map[core.EndpointID]float64
	slots   int
	rng     *rand.Rand
	results map[string]*result
}

const (
	simulatedStep   = 28 * time.Millisecond // between events, of which each has 7 tokens
	simulatedPrompt = 7 * time.Microsecond  // for each token of a prompt
	simulatedBase   = 30 * time.Millisecond
	simulatedDigest = 40 * time.Millisecond
	abandon         = 2 * time.Second
)

func simulate(seed uint64, instances, engines, slots int, span time.Duration, kinds ...kind) map[string]*result {
	s := &simulation{
		now: begin, running: map[core.EndpointID]int{}, waiting: map[core.EndpointID][]func(){}, speed: map[core.EndpointID]float64{},
		slots: slots, rng: rand.New(rand.NewPCG(seed, 1)), results: map[string]*result{},
	}
	list := endpoints(engines, slots)
	for i := range list {
		list[i].Centre = core.DataCentre("abc"[i%3 : i%3+1])
		s.speed[list[i].ID] = []float64{1.8, 1, 0.36}[i%3]
	}
	for i := range instances {
		p := pool.New(pool.Options{Centre: core.DataCentre("abc"[i%3 : i%3+1]), Seed: uint64(i) * 977})
		p.List(begin, list)
		s.pools = append(s.pools, p)
	}
	end := begin.Add(span)
	for _, k := range kinds {
		s.results[k.name] = &result{}
		s.arrive(k, end)
	}
	s.at(0, func() { s.digest(end) })
	s.at(0, func() { s.tick(end) })
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s.results
}

func (s *simulation) at(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now.Add(d), do}) }

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
	r := s.results[k.name]
	r.asked++
	p := s.pools[s.rng.IntN(len(s.pools))]
	arrived := s.now
	n := max(1, int(float64(k.events)*s.rng.ExpFloat64()))
	t := p.Submit(s.now, pool.Work{
		Tier: 1, Rank: k.rank, Prompt: k.prompt, Output: core.Tokens(n * 7), Arrived: s.now,
		Objective: s.now.Add(k.objective), Deadline: s.now.Add(abandon),
	})
	s.await(k, p, t, arrived, n)
}

// await looks at a ticket every few milliseconds, as the gateway does through a channel.
func (s *simulation) await(k kind, p *pool.Pool, t *pool.Ticket, arrived time.Time, n int) {
	r := s.results[k.name]
	switch d := decision(t).(type) {
	case *pool.Grant:
		s.engine(d.Endpoint.ID, func(first time.Duration, done func()) {
			s.at(first, func() {
				p.First(s.now, d)
				took := s.now.Sub(arrived)
				switch {
				case took <= k.objective:
					r.ontime++
				case took <= abandon:
					r.late++
				default:
					r.left++
				}
				s.at(time.Duration(float64(simulatedStep)*s.speed[d.Endpoint.ID])*time.Duration(n), func() {
					done()
					p.Pace(d, n, time.Duration(float64(simulatedStep)*s.speed[d.Endpoint.ID])*time.Duration(n))
					p.Done(s.now, d, pool.Served)
				})
			})
		}, k.prompt)
	case pool.Refusal:
		r.refused++
		r.held = max(r.held, s.now.Sub(arrived))
	default:
		s.at(time.Millisecond, func() { s.await(k, p, t, arrived, n) })
	}
}

// engine runs a request in order of arrival once a slot is free.
func (s *simulation) engine(id core.EndpointID, run func(first time.Duration, done func()), prompt core.Tokens) {
	begin := func() {
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
	if s.running[id] < s.slots {
		begin()
		return
	}
	s.waiting[id] = append(s.waiting[id], begin)
}

func (s *simulation) digest(end time.Time) {
	for i, p := range s.pools {
		loads, waiting := p.Loads()
		for j, other := range s.pools {
			if j != i {
				s.at(3*time.Millisecond, func() { other.Hear(s.now, core.InstanceID(fmt.Sprint(i)), loads, waiting) })
			}
		}
	}
	if s.now.Before(end) {
		s.at(simulatedDigest, func() { s.digest(end) })
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
	r := simulate(1, 6, 9, 11, 12*time.Second,
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
	r := simulate(2, 6, 9, 11, 10*time.Second, kind{"draft", 0, 6600, 50, 400 * time.Millisecond, burst(30, 4, 2, 6)})
	d := r["draft"]
	t.Logf("draft %+v", *d)
	g.Expect(d.left).To(BeNumerically("<", d.asked/50), "served after their callers had left")
	g.Expect(d.held).To(BeNumerically("<=", abandon/5+30*time.Millisecond))
}

// Load: steady traffic below capacity at engines of unlike speed. Guards against requests that are refused or late while
// there is room.
func TestSteadyLoad(t *testing.T) {
	g := NewWithT(t)
	r := simulate(3, 6, 18, 11, 15*time.Second,
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
