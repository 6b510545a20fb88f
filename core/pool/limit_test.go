package pool_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// step is the time step of a closed loop.
const step = 2 * time.Millisecond

// job is a request at an endpoint of a closed loop.
type job struct {
	pool         *pool.Pool
	req          pool.Request
	granted      *pool.Grant
	reading      float64 // seconds of work until the first event, at full speed
	left         float64 // seconds of work after it
	begun, event time.Time
	read         int
	longest      time.Duration
}

// loop plays requests against endpoints whose speed depends on the number of requests that they work on.
type loop struct {
	limits    pool.Limits
	instances int
	slots     []int
	// slowness is how long the work of one request takes at an endpoint at a time, in seconds, beside the others, relative to the
	// time that it takes alone.
	slowness func(endpoint, running int, s float64) float64
	// stated is the part of it that the endpoint states; nil if it states no load.
	stated                         func(endpoint int, s float64) float64
	rate                           float64 // requests per second
	reading, work                  float64 // mean seconds of a request
	stream                         bool
	objective, gap, reportInterval time.Duration
	span                           time.Duration
	seeds                          uint64 // number of runs; 3 if 0
}

// outcome counts what became of the requests of a loop.
type outcome struct {
	total, served, ontime, refused, waited int
	limits                                 [][]int // of each endpoint, four times a second, in the last run
}

func (o *outcome) String() string {
	return fmt.Sprintf("total %d, served %.3f, on time %.3f, refused %.3f, waited at an endpoint %.3f", o.total, ratio(o.served, o.total), ratio(o.ontime, o.total), ratio(o.refused, o.total), ratio(o.waited, o.served))
}

func (o *outcome) add(p *outcome) {
	o.total, o.served, o.ontime, o.refused, o.waited = o.total+p.total, o.served+p.served, o.ontime+p.ontime, o.refused+p.refused, o.waited+p.waited
	o.limits = p.limits
}

// eventWork is the work between two events, in seconds.
const eventWork = 0.03

func (l loop) run(seed uint64) *outcome {
	rng, now, arrival := rand.New(rand.NewPCG(seed, 2)), begin, begin
	o := &outcome{limits: make([][]int, len(l.slots))}
	list := endpoints(len(l.slots), 0)
	index := map[core.EndpointID]int{}
	for i := range list {
		list[i].Slots, index[list[i].ID] = l.slots[i], i
	}
	pools := make([]*pool.Pool, l.instances)
	for i := range pools {
		pools[i] = pool.New(pool.Options{Centre: "a", Seed: uint64(i) * 977, Limits: l.limits})
		pools[i].SetEndpoints(begin, list)
	}
	type ticket struct {
		*pool.Ticket
		job
	}
	var tickets []ticket
	running, waiting := make([][]*job, len(list)), make([][]*job, len(list))
	for n := 0; now.Before(begin.Add(l.span)); n++ {
		now = now.Add(step)
		s := now.Sub(begin).Seconds()
		for ; arrival.Before(now); arrival = arrival.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))) {
			p := pools[rng.IntN(len(pools))]
			prompt := core.Tokens(10000 * l.reading * (0.5 + rng.Float64()))
			req := pool.Request{Tier: 1, Prompt: prompt, Stream: l.stream, Arrived: now, Objective: now.Add(l.objective), GapObjective: l.gap, Deadline: now.Add(10 * l.objective)}
			o.total++
			tickets = append(tickets, ticket{p.Submit(now, req), job{pool: p, req: req, reading: float64(prompt) / 10000, left: l.work * (0.4 + 1.2*rng.Float64())}})
		}
		kept := tickets[:0]
		for _, t := range tickets {
			switch d := decision(t.Ticket).(type) {
			case nil:
				kept = append(kept, t)
			case pool.Refusal:
				o.refused++
			case *pool.Grant:
				j, e := t.job, index[d.Endpoint.ID]
				j.granted = d
				if waiting[e] = append(waiting[e], &j); len(running[e]) >= l.slots[e] {
					o.waited++
				}
			}
		}
		tickets = kept
		for e := range list {
			for len(running[e]) < l.slots[e] && len(waiting[e]) > 0 {
				running[e], waiting[e] = append(running[e], waiting[e][0]), waiting[e][1:]
			}
			progress := step.Seconds() / l.slowness(e, len(running[e]), s)
			rest := running[e][:0]
			for _, j := range running[e] {
				l.advance(now, j, e, progress, len(running[e]), len(waiting[e]))
				if j.reading > 0 || j.left > 0 {
					rest = append(rest, j)
					continue
				}
				o.served++
				if !l.stream {
					j.begun = now
				}
				if !j.begun.After(j.req.Objective) && (l.gap == 0 || j.longest <= l.gap) {
					o.ontime++
				}
				if !l.stream {
					l.state(now, j, e, len(running[e]), len(waiting[e]))
					j.pool.RecordFirstEvent(now, j.granted)
				} else if j.read > 1 {
					j.pool.RecordEvents(j.granted, j.read-1, j.event.Sub(j.begun), j.longest)
				}
				j.pool.Release(now, j.granted, pool.Served)
			}
			running[e] = rest
		}
		for i, p := range pools {
			if n%4 == 0 {
				p.Tick(now)
			}
			if (n+i*7)%int(l.reportInterval/step) != 0 {
				continue
			}
			r := p.TakeReport()
			for j, other := range pools {
				if j != i {
					other.ApplyReport(now, core.InstanceID(fmt.Sprint(i)), true, r)
				}
			}
		}
		if n%125 == 0 {
			for e, status := range pools[0].Status(now) {
				o.limits[e] = append(o.limits[e], status.Limit)
			}
		}
	}
	return o
}

// advance works on a request and records what its instance sees.
func (l loop) advance(now time.Time, j *job, e int, progress float64, running, waiting int) {
	if j.reading > 0 {
		if j.reading -= progress; j.reading <= 0 && l.stream {
			j.begun, j.event, j.read = now, now, 1
			l.state(now, j, e, running, waiting)
			j.pool.RecordFirstEvent(now, j.granted)
		}
		return
	}
	before := math.Floor(j.left / eventWork)
	if j.left -= progress; math.Floor(j.left/eventWork) < before {
		j.longest, j.event = max(j.longest, now.Sub(j.event)), now
		j.read++
	}
}

// state records the load that an endpoint states in a response.
func (l loop) state(now time.Time, j *job, e, running, waiting int) {
	if l.stated != nil {
		j.pool.RecordLoad(now, j.granted, pool.StatedLoad{Running: running, Waiting: waiting, Slots: l.slots[e], Slowness: l.stated(e, now.Sub(begin).Seconds())})
	}
}

func repeated(n, slots int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = slots
	}
	return s
}

// batch returns the slowness of an endpoint that works on requests in batches: the more, the slower, but with a higher throughput.
func batch(running int) float64 { return 1 + 0.1*float64(running-1) }

var limitLoads = []struct {
	name string
	knee int // load beyond which throughput falls; 0 for none
	loop loop
}{
	{"slow among quick ones", 0, loop{
		instances: 6, slots: repeated(9, 10), rate: 62, reading: 0.1, work: 0.6, stream: true, objective: 600 * time.Millisecond, gap: 300 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 { return batch(running) * []float64{0.55, 1, 2.8}[e%3] },
		stated:   func(e int, s float64) float64 { return []float64{0.55, 1, 2.8}[e%3] },
	}},
	{"slow beyond half of the slots", 5, loop{
		instances: 6, slots: repeated(6, 10), rate: 48, reading: 0.05, work: 0.4, stream: true, objective: 300 * time.Millisecond, gap: 300 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 {
			return batch(running) * math.Pow(max(float64(running)/5, 1), 1.5)
		},
		stated: func(int, float64) float64 { return 1 },
	}},
	{"changes every 0.6 s", 0, loop{
		instances: 6, slots: repeated(6, 8), rate: 38, reading: 0.1, work: 0.5, stream: true, objective: 500 * time.Millisecond, gap: 300 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 { return batch(running) * change(e, s) }, stated: change,
	}},
	{"recovers", 0, loop{
		instances: 6, slots: repeated(4, 8), rate: 30, reading: 0.05, work: 0.4, stream: true, objective: 400 * time.Millisecond, gap: 300 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 {
			if s > 4 && s < 8 && e == 0 {
				return batch(running) * math.Pow(max(float64(running)/2, 1), 2)
			}
			return batch(running)
		},
		stated: func(int, float64) float64 { return 1 },
	}},
	{"plain service, slow beyond half", 3, loop{
		instances: 12, stated: func(int, float64) float64 { return 0 }, slots: repeated(3, 6), rate: 270, reading: 0, work: 0.03, objective: 150 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 { return math.Pow(max(float64(running)/3, 1), 1.5) },
	}},
	{"slow ones whose streams pause", 0, loop{
		instances: 6, slots: repeated(9, 10), rate: 95, reading: 0.05, work: 0.5, stream: true, objective: 600 * time.Millisecond, gap: 200 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 { return batch(running) * []float64{0.6, 1, 4}[e%3] },
		stated:   func(e int, s float64) float64 { return []float64{0.6, 1, 4}[e%3] },
	}},
	{"long prompts", 0, loop{
		instances: 6, slots: repeated(6, 8), rate: 20, reading: 0.4, work: 0.5, stream: true, objective: 1000 * time.Millisecond, gap: 300 * time.Millisecond,
		slowness: func(e, running int, s float64) float64 { return batch(running) }, stated: func(int, float64) float64 { return 1 },
	}},
	{"many instances", 5, loop{
		instances: 73, slots: repeated(20, 10), rate: 160, reading: 0.05, work: 0.4, stream: true, objective: 300 * time.Millisecond, gap: 300 * time.Millisecond, reportInterval: 300 * time.Millisecond, span: 12 * time.Second, seeds: 1,
		slowness: func(e, running int, s float64) float64 {
			return batch(running) * math.Pow(max(float64(running)/5, 1), 1.5)
		},
		stated: func(int, float64) float64 { return 1 },
	}},
}

// change returns a slowness that changes every 0.6 s.
func change(e int, s float64) float64 {
	return 0.6 + 2*rand.New(rand.NewPCG(uint64(e), uint64(s/0.6))).Float64()
}

// Endpoints that differ in speed, slow down long before they are full, or change. Guards against a limit that is missed, and against one
// that costs more than the measurements at half of the slots, of one endpoint in 16 at a time. Both for instances that decide by reports
// of each other, and for one that decides alone.
func TestLimitLoads(t *testing.T) {
	for _, c := range limitLoads {
		for _, instances := range []int{c.loop.instances, 1} {
			t.Run(fmt.Sprint(c.name, ", instances ", instances), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				l := c.loop
				l.instances, l.span, l.reportInterval = instances, cmp.Or(l.span, 30*time.Second), cmp.Or(l.reportInterval, 40*time.Millisecond)
				fixed, learned := &outcome{}, &outcome{}
				for seed := range cmp.Or(l.seeds, 3) {
					l.limits = pool.SlotLimits
					fixed.add(l.run(seed + 1))
					l.limits = pool.LearnedLimits
					learned.add(l.run(seed + 1))
				}
				t.Logf("slots   %v\nlearned %v\nlimits of one: %v", fixed, learned, learned.limits[len(l.slots)-1])
				g.Expect(float64(learned.ontime)).To(BeNumerically(">=", 0.95*float64(fixed.ontime)))
				if c.knee > 0 && instances == 1 {
					g.Expect(learned.served).To(BeNumerically(">", fixed.served*11/10))
					g.Expect(learned.ontime).To(BeNumerically(">", fixed.ontime*11/10))
					steady := learned.limits[0][len(learned.limits[0])*2/3:]
					below := lo.CountBy(steady, func(n int) bool { return n <= c.knee+l.slots[0]/4 })
					g.Expect(below).To(BeNumerically(">=", len(steady)*3/4), "at most a quarter of the slots above the knee, but for retries")
				}
			})
		}
	}
}
