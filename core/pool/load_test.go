package pool_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// workload is a stream of similar requests.
type workload struct {
	name      string
	rank      int
	prompt    core.Tokens
	events    int
	objective time.Duration
	rate      func(s float64) float64 // requests per second at time s, in seconds
}

// result counts the outcomes of the requests of a workload.
type result struct {
	total, ontime, late, refused, abandoned int
	rejected, broken                        int           // attempts with that outcome, each followed by another
	longestRefusedWait                      time.Duration // longest time from arrival to refusal
	attempts                                []attempt     // only of workloads with a patience
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

// simulation runs instances, each with a pool, against engines with a fixed number of slots, in simulated time. Reports
// reach the other instances after reportDelay.
type simulation struct {
	cluster
	now      time.Time
	pending  events
	pools    []*pool.Pool
	running  map[core.EndpointID]int
	waiting  map[core.EndpointID][]func()
	slowdown map[core.EndpointID]float64
	index    map[core.EndpointID]int
	rng      *rand.Rand
	results  map[string]*result
	// longestQueue is the largest number of requests that waited at one engine.
	longestQueue int
	sent, waited int      // requests that reached an engine, and that had to wait there
	windows      [][2]int // sent and waited, by half a second
	keepers      *keepers
}

// cluster describes the instances and engines of a simulation.
type cluster struct {
	instances, engines, slots int
	// engineQueueLimit is the number of waiting requests at which an engine rejects further ones; 0 for no limit.
	engineQueueLimit int
	reportInterval   time.Duration // between reports
	// summaryInterval is the time between the sums of a data centre, which replace the reports of its instances elsewhere; 0
	// if all instances send reports to each other.
	summaryInterval time.Duration
	centres         int // number of data centres; 3 if 0
	// breaksRequests reports whether an engine breaks every request at time s, in seconds.
	breaksRequests func(engine int, s float64) bool
	// absentEngines are the first ones, which are listed only from absentUntil on.
	absentEngines int
	absentUntil   time.Duration
	// slowdowns are the relative service times, assigned to the engines in rotation; higher is slower.
	slowdowns []float64
	callers   map[string]callers // by workload; callers of others do not return
	// keeperDown reports whether the first keeper of a data centre is down at time s, in seconds; nil if there are no keepers.
	keeperDown func(centre int, s float64) bool
	// lossy loses one in 20 messages about places, and repeats another one.
	lossy  bool
	limits pool.Limits
	// groups is the number of groups of the engines of a data centre; 0 means 1.
	groups int
}

const (
	simulatedEventInterval = 28 * time.Millisecond // between events of simulatedEventTokens each
	simulatedEventTokens   = 7
	simulatedTimePerToken  = 7 * time.Microsecond  // per token of a prompt
	simulatedMinFirstEvent = 30 * time.Millisecond // time to the first event for an empty prompt
	abandonAfter           = 2 * time.Second
	reportDelay            = 3 * time.Millisecond  // from an instance to another
	listSpread             = 30 * time.Millisecond // time in which all instances learn of a change of the list
	resendDelay            = 3 * time.Millisecond  // from sending a request that fails until it is submitted again
)

// smallCluster returns a cluster of the size that a small company runs: six instances, and engines of three speeds.
func smallCluster(engines int) cluster {
	return cluster{instances: 6, engines: engines, slots: 11, reportInterval: 40 * time.Millisecond, slowdowns: []float64{1.8, 1, 0.36}}
}

// simulate runs the workloads for the given span and returns the results by the name of the workload.
func simulate(seed uint64, f cluster, span time.Duration, workloads ...workload) map[string]*result {
	return run(seed, f, span, workloads...).results
}

// run runs the workloads for the given span and returns the simulation at its end.
func run(seed uint64, f cluster, span time.Duration, workloads ...workload) *simulation {
	s := &simulation{
		cluster: f, now: begin, running: map[core.EndpointID]int{}, waiting: map[core.EndpointID][]func(){}, slowdown: map[core.EndpointID]float64{}, index: map[core.EndpointID]int{},
		rng: rand.New(rand.NewPCG(seed, 1)), results: map[string]*result{},
	}
	list := endpoints(f.engines, f.slots)
	s.centres = cmp.Or(s.centres, 3)
	for i := range list {
		list[i].Centre = s.centre(i)
		s.index[list[i].ID] = i
		s.slowdown[list[i].ID] = f.slowdowns[i/s.centres%len(f.slowdowns)]
	}
	for i := range f.instances {
		p := pool.New(s.poolOptions(i))
		p.SetEndpoints(begin, list[f.absentEngines:])
		if f.absentEngines > 0 {
			s.after(f.absentUntil+time.Duration(s.rng.Int64N(int64(listSpread))), func() { p.SetEndpoints(s.now, list) })
		}
		s.pools = append(s.pools, p)
	}
	end := begin.Add(span)
	for _, w := range workloads {
		s.results[w.name] = &result{}
		s.scheduleArrival(w, end)
	}
	if s.summaryInterval == 0 {
		s.after(0, func() { s.exchangeReports(end) })
	} else {
		for i := range s.pools {
			s.after(time.Duration(s.rng.Int64N(int64(s.cluster.reportInterval))), func() { s.exchangeReport(end, i) })
		}
		for c := range s.centres {
			s.after(time.Duration(s.rng.Int64N(int64(s.summaryInterval))), func() { s.exchangeSums(end, c) })
		}
	}
	s.after(0, func() { s.tick(end) })
	if f.keeperDown != nil {
		s.after(0, func() { s.exchangeRooms(end) })
	}
	for s.pending.Len() > 0 {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.do()
	}
	return s
}

// after schedules do for the time d from now.
func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.pending, event{s.now.Add(d), do})
}

// scheduleArrival schedules the next request of a workload.
func (s *simulation) scheduleArrival(w workload, end time.Time) {
	rate := max(w.rate(s.now.Sub(begin).Seconds()), 0.1)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.After(end) {
			return
		}
		s.scheduleArrival(w, end)
		s.request(w)
	})
}

// request submits a request to a random instance.
func (s *simulation) request(w workload) {
	s.results[w.name].total++
	i := s.rng.IntN(len(s.pools))
	for s.down(i, s.now) { // callers go to another one
		i = s.rng.IntN(len(s.pools))
	}
	p := s.pools[i]
	req := pool.Request{
		Tier: 1, Rank: w.rank, Prompt: w.prompt, MaxOutput: core.Tokens(simulatedEventTokens * max(1, int(float64(w.events)*s.rng.ExpFloat64()))),
		Arrived: s.now, Objective: s.now.Add(w.objective), Deadline: s.now.Add(abandonAfter), Stream: w.events > 1,
	}
	s.callers[w.name].prepare(s, &req)
	s.poll(w, p, s.submit(i, req), req)
}

// poll checks a ticket every millisecond; io/proxy waits on Ticket.Decided instead.
func (s *simulation) poll(w workload, p *pool.Pool, t *pool.Ticket, req pool.Request) {
	switch d := decision(t).(type) {
	case *pool.Grant:
		s.send(w, p, d, req)
	case pool.Refusal:
		r := s.results[w.name]
		r.refused++
		r.longestRefusedWait = max(r.longestRefusedWait, s.now.Sub(req.Arrived))
		s.refused(w, req, d)
	default:
		s.after(time.Millisecond, func() { s.poll(w, p, t, req) })
	}
}

// send sends a request to the engine of a grant, and submits it again if the engine rejects or breaks it.
func (s *simulation) send(w workload, p *pool.Pool, granted *pool.Grant, req pool.Request) {
	r := s.results[w.name]
	id := granted.Endpoint.ID
	resend := func(count *int, o pool.Outcome) {
		s.after(resendDelay, func() {
			*count++
			p.Release(s.now, granted, o)
			req.Exclude = append(req.Exclude, id)
			s.poll(w, p, p.Submit(s.now, req), req)
		})
	}
	if s.breaksRequests != nil && s.breaksRequests(s.index[id], s.now.Sub(begin).Seconds()) {
		resend(&r.broken, pool.Broken)
		return
	}
	step := time.Duration(float64(simulatedEventInterval) * s.slowdown[id])
	n := int(req.MaxOutput / simulatedEventTokens)
	accepted := s.runOnEngine(id, req.Prompt, func(first time.Duration, done func()) {
		s.after(first, func() {
			p.RecordLoad(s.now, granted, pool.StatedLoad{Running: s.running[id], Waiting: len(s.waiting[id]), Slots: s.slots})
			p.RecordFirstEvent(s.now, granted)
			took := s.now.Sub(req.Arrived) + waited(&req)
			s.served(w, req, took)
			switch {
			case took <= w.objective:
				r.ontime++
			case took <= abandonAfter:
				r.late++
			default:
				r.abandoned++
			}
			s.after(step*time.Duration(n), func() {
				done()
				p.RecordEvents(granted, n, step*time.Duration(n), 0)
				p.Release(s.now, granted, pool.Served)
			})
		})
	})
	if !accepted {
		resend(&r.rejected, pool.Rejected)
	}
}

// runOnEngine runs a request once a slot is free, in order of arrival. It returns false if the queue of the engine is
// full.
func (s *simulation) runOnEngine(id core.EndpointID, prompt core.Tokens, run func(first time.Duration, done func())) bool {
	start := func() {
		s.running[id]++
		first := time.Duration(s.slowdown[id] * float64(simulatedMinFirstEvent+simulatedTimePerToken*time.Duration(prompt)))
		run(first, func() {
			s.running[id]--
			if q := s.waiting[id]; len(q) > 0 {
				s.waiting[id] = q[1:]
				q[0]()
			}
		})
	}
	s.sent++
	window := int(s.now.Sub(begin) / (500 * time.Millisecond))
	for len(s.windows) <= window {
		s.windows = append(s.windows, [2]int{})
	}
	s.windows[window][0]++
	switch {
	case s.running[id] < s.slots:
		start()
	case s.engineQueueLimit > 0 && len(s.waiting[id]) >= s.engineQueueLimit:
		return false
	default:
		s.waited++
		s.windows[window][1]++
		s.waiting[id] = append(s.waiting[id], start)
		s.longestQueue = max(s.longestQueue, len(s.waiting[id]))
	}
	return true
}

// centre returns the data centre of an instance or engine.
func (s *simulation) centre(i int) core.DataCentre {
	return core.DataCentre("abcdefgh"[i%s.centres : i%s.centres+1])
}

// exchangeReports sends the reports of all instances to all others. In a fleet with sums, exchangeReport does.
func (s *simulation) exchangeReports(end time.Time) {
	for i := range s.pools {
		s.sendReport(i)
	}
	if s.now.Before(end) {
		s.after(s.cluster.reportInterval, func() { s.exchangeReports(end) })
	}
}

// exchangeReport sends the report of one instance to those of its data centre.
func (s *simulation) exchangeReport(end time.Time, i int) {
	s.sendReport(i)
	if s.now.Before(s.lastReport(end)) {
		s.after(s.cluster.reportInterval, func() { s.exchangeReport(end, i) })
	}
}

// sendReport sends the report of an instance to all others, or only to those of its data centre if there are sums.
func (s *simulation) sendReport(i int) {
	r := s.pools[i].TakeReport()
	if s.down(i, s.now) {
		return
	}
	for j, other := range s.pools {
		if same := i%s.centres == j%s.centres; j != i && (same || s.summaryInterval == 0) && !s.down(j, s.now) {
			s.after(reportDelay, func() { other.ApplyReport(s.now, core.InstanceID(fmt.Sprint(i)), same, r) })
		}
	}
}

// exchangeSums sends the sum of a data centre to the instances elsewhere, one of which passes it on with its next report.
func (s *simulation) exchangeSums(end time.Time, c int) {
	relay := c
	if s.keepers != nil {
		relay = s.keeperOf(c, 0)
	}
	r := s.pools[relay].CentreReport(s.now)
	delay := reportDelay + time.Duration(s.rng.Int64N(int64(s.reportInterval)))
	for j, other := range s.pools {
		if j%s.centres != c {
			r.Validity = 5 * s.summaryInterval
			s.after(delay, func() { other.ApplyReport(s.now, core.InstanceID(fmt.Sprint("centre ", c)), false, r) })
		}
	}
	if s.now.Before(s.lastReport(end)) {
		s.after(s.summaryInterval, func() { s.exchangeSums(end, c) })
	}
}

// lastReport returns when the last reports are sent. If messages are lost, those after the end show which places are free.
func (s *simulation) lastReport(end time.Time) time.Time {
	if s.lossy {
		return end.Add(30 * time.Second) // the longest requests last 20 s
	}
	return end
}

// tick calls Tick on all pools every 5 ms, until 5 s after end.
func (s *simulation) tick(end time.Time) {
	for i, p := range s.pools {
		if p.Waiting() > 0 {
			p.Tick(s.now)
		}
		s.answer(i)
	}
	if s.now.Before(end.Add(5*time.Second)) || s.now.Before(s.lastReport(end)) {
		s.after(5*time.Millisecond, func() { s.tick(end) })
	}
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// burst returns a rate of v, and of x times v from second from to second to.
func burst(v, x, from, to float64) func(float64) float64 {
	return func(s float64) float64 {
		if s >= from && s < to {
			return v * x
		}
		return v
	}
}

func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Requests of the least urgent rank arrive at ten times their usual rate. Guards against a queue in order of arrival, in
// which they delay urgent requests as much as each other, and against urgent requests that starve the others.
func TestFloodOfLeastUrgentRequests(t *testing.T) {
	g := NewWithT(t)
	r := simulate(1, smallCluster(9), 12*time.Second,
		workload{"draft", 0, 6600, 40, 400 * time.Millisecond, constant(20)},
		workload{"check", 2, 1800, 40, 400 * time.Millisecond, burst(20, 10, 3, 12)},
	)
	draft, check := r["draft"], r["check"]
	t.Logf("draft %+v, check %+v", *draft, *check)
	// The less urgent requests must not starve: their on-time ratio may be lower, but must exceed 1/4 of the ratio of all
	// requests together.
	urgent, other := ratio(draft.ontime, draft.total), ratio(check.ontime, check.total)
	g.Expect(urgent).To(BeNumerically(">=", 0.9))
	g.Expect(other).To(BeNumerically(">", ratio(draft.ontime+check.ontime, draft.total+check.total)/4))
}

// A burst leaves a backlog. Guards against serving late requests oldest first, which serves callers shortly before they
// give up and makes every later one wait as long, and against callers that are refused after a long wait.
func TestBacklogAfterBurst(t *testing.T) {
	g := NewWithT(t)
	r := simulate(2, smallCluster(9), 10*time.Second, workload{"draft", 0, 6600, 50, 400 * time.Millisecond, burst(30, 4, 2, 6)})
	d := r["draft"]
	t.Logf("draft %+v", *d)
	g.Expect(d.abandoned).To(BeNumerically("<", d.total/50), "served after their callers had given up")
	// Twice the wait that lateWaitShare allows, which is a tenth of abandonAfter, plus 30 ms.
	g.Expect(d.longestRefusedWait).To(BeNumerically("<=", abandonAfter/5+30*time.Millisecond))
}

// The queue takes longer than the objective. Guards against refusing a caller only after its objective of 400 ms has
// passed, although the miss was certain on arrival: a late request is refused after lateWaitShare of the 2 s to its
// deadline, that is 200 ms.
func TestRefusalBehindLongQueue(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 1))
	now := begin
	submit := func() *pool.Ticket {
		req := request(1, now)
		req.Deadline = now.Add(2 * time.Second)
		return p.Submit(now, req)
	}
	for range 30 { // one request every 100 ms
		granted := grant(g, submit())
		now = now.Add(100 * time.Millisecond)
		p.RecordFirstEvent(now, granted)
		p.Release(now, granted, pool.Served)
	}
	for range 10 {
		submit()
	}
	last := submit()
	now = now.Add(210 * time.Millisecond)
	p.Tick(now)
	g.Expect(decision(last)).To(BeAssignableToTypeOf(pool.Refusal{}))
}

// Requests arrive at a steady rate below the capacity of engines of different speed. Guards against requests that are
// refused or late while there is free capacity.
func TestSteadyLoad(t *testing.T) {
	g := NewWithT(t)
	r := simulate(3, smallCluster(18), 15*time.Second,
		workload{"draft", 0, 6600, 55, 400 * time.Millisecond, constant(30)},
		workload{"dedication", 1, 628, 42, 250 * time.Millisecond, constant(28)},
		workload{"check", 2, 1800, 3, 250 * time.Millisecond, constant(60)},
	)
	for name, k := range r {
		t.Logf("%s %+v", name, *k)
		g.Expect(ratio(k.ontime, k.total)).To(BeNumerically(">=", 0.97), name)
		g.Expect(k.refused).To(BeZero(), name)
	}
}

// One data centre has too few engines. Guards against requests that wait for local engines while remote ones are idle.
func TestDataCentreShortOfEngines(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(3, 4)
	list[0].Centre, list[1].Centre, list[2].Centre = "a", "b", "b"
	p := newPool(list)
	for range 12 {
		grant(g, p.Submit(begin, request(1, begin)))
	}
}

// largeCluster returns a cluster of 60 instances, which exchange reports five times less often than those of
// smallCluster, and of 60 engines, which reject requests if 4 are queued.
func largeCluster() cluster {
	return cluster{instances: 60, engines: 60, slots: 11, engineQueueLimit: 4, reportInterval: 200 * time.Millisecond, slowdowns: []float64{1.8, 1, 0.36}}
}

// Many instances have stale reports. Guards against all instances choosing the engines that looked best in the last
// reports, which then reject requests while others have free slots.
func TestManyInstancesWithStaleReports(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r := simulate(4, largeCluster(), 6*time.Second,
		workload{"draft", 0, 6600, 42, 400 * time.Millisecond, constant(200)},
		workload{"dedication", 1, 628, 32, 250 * time.Millisecond, constant(186)},
		workload{"check", 2, 1800, 3, 300 * time.Millisecond, constant(411)},
	)
	for name, k := range r {
		t.Logf("%s %+v", name, *k)
		g.Expect(ratio(k.rejected, k.total)).To(BeNumerically("<=", 0.02), name)
		g.Expect(ratio(k.ontime, k.total)).To(BeNumerically(">=", 0.95), name)
	}
}

// Some engines break every request, in a large cluster where each instance sends few requests to each engine. Guards
// against instances that do not share failures, so that each loses several requests to each broken engine.
func TestManyInstancesWithBrokenEngines(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := largeCluster()
	f.breaksRequests = func(engine int, s float64) bool { return engine%9 == 6 && s >= 2 && s < 4 }
	r := simulate(5, f, 8*time.Second,
		workload{"draft", 0, 6600, 42, 400 * time.Millisecond, constant(100)},
		workload{"check", 2, 1800, 3, 300 * time.Millisecond, constant(300)},
	)
	broken := 0
	for name, k := range r {
		t.Logf("%s %+v", name, *k)
		broken += k.broken
	}
	// Six broken engines, of the fastest, which get most requests, and three data centres: three failures suspend an engine, and
	// two more requests may be in flight or be probes.
	g.Expect(broken).To(BeNumerically("<=", 6*3*5))
}

// The rate of requests triples in a large cluster. Guards against several instances that fill the same free slot: the
// excess requests queue at the engines, where their order can no longer change, and all are late.
func TestFloodInLargeCluster(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := largeCluster()
	f.engineQueueLimit = 40
	f.slowdowns = []float64{1}
	var served, ontime int
	for name, k := range simulate(6, f, 5*time.Second,
		workload{"draft", 0, 6600, 42, 400 * time.Millisecond, burst(200, 3, 2, 8)},
		workload{"dedication", 1, 628, 32, 250 * time.Millisecond, burst(186, 3, 2, 8)},
		workload{"check", 2, 1800, 3, 300 * time.Millisecond, burst(411, 3, 2, 8)},
	) {
		t.Logf("%s %+v", name, *k)
		served += k.ontime + k.late + k.abandoned
		ontime += k.ontime
	}
	g.Expect(ratio(ontime, served)).To(BeNumerically(">=", 0.8))
}

// Requests are so short, at few engines in a large cluster, that slots are reused several times between two reports.
// Guards against counting requests as running that have ended since the report.
func TestShortRequestsInLargeCluster(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := largeCluster()
	f.engines, f.slots, f.slowdowns = 4, 6, []float64{1}
	k := simulate(7, f, 6*time.Second, workload{"order", 0, 0, 1, 120 * time.Millisecond, constant(200)})["order"]
	t.Logf("%+v", *k)
	g.Expect(ratio(k.ontime, k.total)).To(BeNumerically(">=", 0.95))
}
