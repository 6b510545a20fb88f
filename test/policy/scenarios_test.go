package policy

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
)

// Times of a run. Arrivals are measured after the warm-up; a flood or straggler starts later. Then all work may drain.
const (
	warmUp = 20 * time.Second
	upset  = 30 * time.Second
	stop   = 80 * time.Second
	drain  = 600 * time.Second
)

var (
	seeds  = []uint64{1, 2, 3, 4, 5}
	speeds = []float64{1, 1, 0.7, 1, 1.4, 1} // of three hardware generations, repeated
)

// source is one kind of work of one workspace.
type source struct {
	workspace core.WorkspaceID
	weight    core.Weight
	tier      core.Tier
	deadline  time.Duration // until the first token, 0 for none
	prefill   float64       // means
	decode    float64
	rate      float64 // requests per second
	callers   int
	from, to  time.Duration
	flood     bool
	large     bool // one caller that asks for far more than the others
	order     bool // goes to the plain services
	sessions  int  // of each caller, 0 for 3
	patience  time.Duration
	retries   int // after refusals
}

// kinds are the four tiers with their share of the load.
var kinds = []struct {
	deadline        time.Duration
	prefill, decode float64
	share           float64
}{
	{2 * time.Second, 300, 60, 0.25},
	{8 * time.Second, 800, 200, 0.35},
	{15 * time.Second, 400, 100, 0.2},
	{0, 4000, 800, 0.2},
}

// tenant is a workspace with its number of callers.
type tenant struct {
	id      core.WorkspaceID
	weight  core.Weight
	callers int
}

var workspaces = []tenant{{"a", 4, 12}, {"b", 3, 9}, {"c", 1, 3}, {"d", 1, 3}, {"e", 1, 3}}

// work returns the engine seconds of a request at the target batch.
func work(prefill, decode float64) float64 {
	return decode*target/batch + prefill/prefillRate/2
}

// load returns the normal mix at a share of the fleet's capacity.
func load(share float64) []*source {
	capacity := lo.Sum(speeds) * 3
	var out []*source
	for t, k := range kinds {
		for _, w := range workspaces {
			rate := share * capacity * k.share * float64(w.weight) / 10 / work(k.prefill, k.decode)
			out = append(out, &source{workspace: w.id, weight: w.weight, tier: core.Tier(t), deadline: k.deadline, prefill: k.prefill, decode: k.decode, rate: rate, callers: w.callers, to: stop})
		}
	}
	return out
}

// flooded adds to the sources that match a multiple of their rate while the upset lasts.
func flooded(base []*source, times float64, match func(*source) bool) []*source {
	out := slices.Clone(base)
	for _, s := range base {
		if match(s) {
			f := *s
			f.rate, f.from, f.flood = s.rate*times, upset, true
			out = append(out, &f)
		}
	}
	return out
}

// deployment is the normal mix at the size of a deployment: one large caller makes half of the requests of tiers 1 and 3
// in each of the two large workspaces, and orders go to three plain services.
func deployment(share float64) []*source {
	out := load(share)
	for _, s := range slices.Clone(out) {
		if s.weight > 1 && s.tier%2 == 1 {
			s.rate /= 2
			large := *s
			large.callers, large.large = 1, true
			out = append(out, &large)
		}
	}
	for _, w := range workspaces {
		out = append(out, &source{
			workspace: w.id, weight: w.weight, deadline: 5 * time.Second, prefill: 1, decode: 80, rate: 3 * float64(w.weight),
			callers: w.callers, to: stop, order: true,
		})
	}
	return out
}

func each(ss []*source, f func(*source)) []*source {
	lo.ForEach(ss, func(s *source, _ int) { f(s) })
	return ss
}

// tier matches the engines' work of a tier.
func tier(t core.Tier) func(*source) bool {
	return func(s *source) bool { return s.tier == t && !s.order }
}

type scenario struct {
	name      string
	sources   func() []*source
	faults    func(*world)
	instances int // 0 for 6
	chunks    int // of each engine's cache, 0 for cacheChunks
}

// world is what faults act on.
type world struct {
	s   *sim
	es  []*engine
	d   dispatcher // of the engines
	all []*request
}

func straggle(w *world) {
	w.s.after(upset, func() { w.es[0].advance(); w.es[0].speed /= 5; w.es[0].plan() })
}

func newOwners(w *world) {
	if f, ok := w.d.(*fleet); ok {
		w.s.after(upset+time.Second, func() {
			for i := range f.shards {
				f.own(i, "second")
			}
		})
	}
}

// lateNews makes load reports five seconds old, and later loses them all.
func lateNews(w *world) {
	w.s.news.late = 5 * time.Second
	w.s.after(upset+10*time.Second, func() { w.s.news.noLoads = true })
}

// noCacheEvents lets the owners keep outdated estimates of the caches.
func noCacheEvents(w *world) { w.s.news.noCache = true }

// leave lets an endpoint finish what it runs. The instance list shows it a second late.
func leave(w *world) {
	w.s.after(upset+time.Second, func() { w.d.unlist(w.es[0], true) })
	w.s.after(upset+20*time.Second, func() { w.d.unlist(w.es[0], false) })
}

// die kills an endpoint. The instance list shows it eight seconds late.
func die(w *world) {
	w.s.after(upset, w.es[0].die)
	w.s.after(upset+8*time.Second, func() { w.d.unlist(w.es[0], false) })
}

// killInstance kills the instance that holds an eighth of the requests and owns the first shard.
func killInstance(w *world) {
	w.s.after(upset, func() {
		for _, r := range w.all {
			h := xxhash.Sum64String(string(r.id)) % 8
			if h == 0 && !r.src.order && !r.arrived.After(w.s.now) && r.ended.IsZero() {
				r.broken = true
				w.d.lose(r)
			}
		}
	})
	if f, ok := w.d.(*fleet); ok {
		w.s.after(upset+2*oneWay, func() { f.own(0, "second") })
	}
}

var scenarios = []scenario{
	{"steady 70%", func() []*source { return load(0.7) }, nil, 0, 0},
	{"steady 95%", func() []*source { return load(0.95) }, nil, 0, 0},
	{"flood tier 3", func() []*source { return flooded(load(0.7), 9, func(s *source) bool { return s.tier == 3 }) }, nil, 0, 0},
	{"flood tier 0", func() []*source { return flooded(load(0.7), 9, func(s *source) bool { return s.tier == 0 }) }, nil, 0, 0},
	{"flood workspace", func() []*source {
		return flooded(load(0.7), 19, func(s *source) bool { return s.workspace == "e" })
	}, nil, 0, 0},
	{"flood caller", func() []*source {
		s := flooded(load(0.7), 12, func(s *source) bool { return s.workspace == "a" && s.tier == 1 })
		last := s[len(s)-1]
		last.callers, last.large = 1, true
		return s
	}, nil, 0, 0},
	{"straggler", func() []*source { return load(0.7) }, straggle, 0, 0},
	{"new owners", func() []*source { return load(0.95) }, newOwners, 0, 0},
	{"late reports", func() []*source { return deployment(0.9) }, lateNews, 8, 0},
	{"events lost", func() []*source { return deployment(0.9) }, noCacheEvents, 8, 0},
	{"endpoint leaves", func() []*source { return deployment(0.9) }, leave, 8, 0},
	{"endpoint dies", func() []*source { return deployment(0.9) }, die, 8, 0},
	{"instance dies", func() []*source { return deployment(0.9) }, killInstance, 8, 0},
	{"small caches", func() []*source {
		return each(deployment(0.9), func(s *source) { s.sessions = 12 })
	}, nil, 8, 60},
	{"hang up", func() []*source {
		return each(deployment(0.9), func(s *source) { s.patience = 10 * time.Second })
	}, nil, 8, 0},
	{"retries", func() []*source {
		return each(flooded(deployment(0.7), 9, tier(0)), func(s *source) { s.retries = 4 })
	}, nil, 8, 0},
	{"flood callers", func() []*source { // one workspace floods through many callers
		return flooded(deployment(0.7), 19, func(s *source) bool {
			s.callers = lo.Ternary(s.workspace == "e", 60, s.callers)
			return s.workspace == "e" && !s.order
		})
	}, nil, 8, 0},
	{"two floods", func() []*source {
		return flooded(deployment(0.7), 9, func(s *source) bool { return !s.order && (s.tier == 0 || s.tier == 3) })
	}, straggle, 8, 0},
}

var policies = []struct {
	name string
	make func(*sim, []*engine, int, *rand.Rand) dispatcher
}{
	{"monsoondale", func(s *sim, es []*engine, n int, r *rand.Rand) dispatcher { return newFleet(s, es, n, r, parts{}) }},
	{"round robin", func(s *sim, es []*engine, _ int, _ *rand.Rand) dispatcher { return newBaseline(s, es, roundRobin) }},
	{"least outstanding", func(s *sim, es []*engine, _ int, _ *rand.Rand) dispatcher {
		return newBaseline(s, es, leastOutstanding)
	}},
	{"least reported", func(s *sim, es []*engine, _ int, _ *rand.Rand) dispatcher { return newBaseline(s, es, leastReported) }},
}

// arrivals draws the requests of a source. Lengths differ by up to a factor of one hundred; half of a prompt is common
// to the workspace, a quarter to one of the caller's sessions.
func arrivals(s *source, n int, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	spread := func(mean float64) float64 {
		return mean * min(max(math.Exp(rng.NormFloat64()*0.8-0.32), 0.1), 10)
	}
	var out []*request
	for t := s.from.Seconds(); ; {
		t += rng.ExpFloat64() / s.rate
		at := time.Duration(t * float64(time.Second))
		if at >= s.to {
			return out
		}
		caller := fmt.Sprintf("c%d", rng.IntN(s.callers))
		if s.large {
			caller = "large"
		}
		base := xxh(string(s.workspace), int(s.tier))
		session := xxh(caller, int(base%1e9)+rng.IntN(lo.CoalesceOrEmpty(s.sessions, 3)))
		out = append(out, &request{
			id: core.RequestID(fmt.Sprintf("%d-%d", n, len(out))), src: s, caller: core.CallerID(caller), arrived: epoch.Add(at),
			prefill: math.Ceil(spread(s.prefill)), decode: math.Ceil(spread(s.decode)) + 1,
			prefixes: []core.PrefixHash{core.PrefixHash(base), core.PrefixHash(base + 1), core.PrefixHash(session), core.PrefixHash(rng.Uint64())},
		})
		r := out[len(out)-1]
		r.left = r.decode
	}
}

func xxh(s string, i int) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(fmt.Sprint(s, "/", i)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// simulate runs one policy through one scenario and returns the measured requests.
func simulate(make func(*sim, []*engine, int, *rand.Rand) dispatcher, sc scenario, seed uint64) []*request {
	s := &sim{now: epoch, news: conditions{late: time.Second}}
	newEngine := func(id string, speed float64) *engine {
		return &engine{
			s: s, id: core.EndpointID(id), speed: speed, last: epoch, limit: lo.CoalesceOrEmpty(sc.chunks, cacheChunks),
			cache: map[core.PrefixHash]*list.Element{},
		}
	}
	es := lo.Map(lo.Range(18), func(i, _ int) *engine { return newEngine(fmt.Sprintf("e%02d", i), speeds[i/3]) })
	w := &world{s: s, es: es, d: make(s, es, lo.CoalesceOrEmpty(sc.instances, 6), rand.New(rand.NewPCG(seed, 99)))}
	for n, src := range sc.sources() {
		w.all = append(w.all, arrivals(src, n, seed)...)
	}
	slices.SortStableFunc(w.all, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	var orders dispatcher
	if slices.ContainsFunc(w.all, func(r *request) bool { return r.src.order }) {
		services := lo.Map(lo.Range(3), func(i, _ int) *engine { e := newEngine(fmt.Sprint("o", i), 1); e.service = true; return e })
		orders = make(s, services, lo.CoalesceOrEmpty(sc.instances, 6), rand.New(rand.NewPCG(seed, 98)))
	}
	patience := rand.New(rand.NewPCG(seed, 97))
	for _, r := range w.all {
		d := lo.Ternary(r.src.order, orders, w.d)
		s.after(r.arrived.Sub(epoch), func() { d.submit(r) })
		if r.src.patience > 0 && !r.src.order {
			s.after(r.arrived.Sub(epoch)+time.Duration(patience.ExpFloat64()*float64(r.src.patience)), func() {
				if r.ended.IsZero() {
					r.hungUp = true
					d.drop(r)
				}
			})
		}
	}
	if sc.faults != nil {
		sc.faults(w)
	}
	open := 0
	last := epoch.Add(stop)
	s.run(epoch.Add(drain), func() bool {
		for open < len(w.all) && !w.all[open].ended.IsZero() {
			open++
		}
		return open == len(w.all) && s.now.After(last)
	})
	return lo.Filter(w.all, func(r *request, _ int) bool { return r.arrived.Sub(epoch) >= warmUp })
}
