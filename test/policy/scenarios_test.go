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

// Times of a run. Requests that arrive after the warm-up are measured; floods and faults start later. From the end of
// the arrivals until the end of the run the remaining work may finish.
const (
	warmUp           = 20 * time.Second
	disturbanceStart = 30 * time.Second
	arrivalsEnd      = 80 * time.Second
	runEnd           = 600 * time.Second
)

var (
	seeds  = []uint64{1, 2, 3, 4, 5}
	speeds = []float64{1, 1, 0.7, 1, 1.4, 1} // of three hardware generations; each value is the speed of three engines
)

// source generates the requests of one tier of one workspace.
type source struct {
	workspace   core.WorkspaceID
	weight      core.Weight
	tier        core.Tier
	deadline    time.Duration // until the first token, 0 for none
	meanPrefill float64       // tokens
	meanDecode  float64
	rate        float64 // requests per second
	callers     int
	from, to    time.Duration
	flood       bool
	largeCaller bool          // one caller that asks for far more than the others
	order       bool          // goes to the plain services
	sessions    int           // of each caller, 0 for 3
	patience    time.Duration // mean time until a caller hangs up, 0 for never
	maxRetries  int           // after refusals
}

// tierMix describes the requests of the four tiers and their share of the load.
var tierMix = []struct {
	deadline        time.Duration
	prefill, decode float64
	share           float64
}{
	{2 * time.Second, 300, 60, 0.25},
	{8 * time.Second, 800, 200, 0.35},
	{15 * time.Second, 400, 100, 0.2},
	{0, 4000, 800, 0.2},
}

// workspace is a workspace with its weight and its number of callers.
type workspace struct {
	id      core.WorkspaceID
	weight  core.Weight
	callers int
}

var workspaces = []workspace{{"a", 4, 12}, {"b", 3, 9}, {"c", 1, 3}, {"d", 1, 3}, {"e", 1, 3}}

// engineSeconds returns the time that a request takes of an engine of speed 1 at the target batch size.
func engineSeconds(prefill, decode float64) float64 {
	return decode*targetTokenInterval/targetBatch + prefill/prefillRate/2
}

// normalLoad returns the mix of all tiers and workspaces at a share of the engines' capacity.
func normalLoad(share float64) []*source {
	capacity := lo.Sum(speeds) * 3
	var out []*source
	for t, k := range tierMix {
		for _, w := range workspaces {
			rate := share * capacity * k.share * float64(w.weight) / 10 / engineSeconds(k.prefill, k.decode)
			out = append(out, &source{workspace: w.id, weight: w.weight, tier: core.Tier(t), deadline: k.deadline, meanPrefill: k.prefill, meanDecode: k.decode, rate: rate, callers: w.callers, to: arrivalsEnd})
		}
	}
	return out
}

// withFlood adds a flood to the sources that match: a multiple of their rate from disturbanceStart on.
func withFlood(base []*source, factor float64, match func(*source) bool) []*source {
	out := slices.Clone(base)
	for _, s := range base {
		if match(s) {
			f := *s
			f.rate, f.from, f.flood = s.rate*factor, disturbanceStart, true
			out = append(out, &f)
		}
	}
	return out
}

// deploymentLoad returns the normal load with two additions: one large caller makes half of the requests of tiers 1 and
// 3 in each of the two large workspaces, and orders go to three plain services.
func deploymentLoad(share float64) []*source {
	out := normalLoad(share)
	for _, s := range slices.Clone(out) {
		if s.weight > 1 && s.tier%2 == 1 {
			s.rate /= 2
			large := *s
			large.callers, large.largeCaller = 1, true
			out = append(out, &large)
		}
	}
	for _, w := range workspaces {
		out = append(out, &source{
			workspace: w.id, weight: w.weight, deadline: 5 * time.Second, meanPrefill: 1, meanDecode: 80, rate: 3 * float64(w.weight),
			callers: w.callers, to: arrivalsEnd, order: true,
		})
	}
	return out
}

func forEach(ss []*source, f func(*source)) []*source {
	lo.ForEach(ss, func(s *source, _ int) { f(s) })
	return ss
}

// inTier matches the sources of a tier that use engines.
func inTier(t core.Tier) func(*source) bool {
	return func(s *source) bool { return s.tier == t && !s.order }
}

type scenario struct {
	name        string
	sources     func() []*source
	disturb     func(*deployment)
	instances   int // 0 for 6
	cacheChunks int // of each engine's cache, 0 for defaultCacheChunks
}

// deployment is what the faults of a scenario act on.
type deployment struct {
	sim        *sim
	engines    []*engine
	dispatcher dispatcher // of the engines
	requests   []*request
}

// slowEngine turns an engine into a straggler with a fifth of its speed.
func slowEngine(d *deployment) {
	d.sim.after(disturbanceStart, func() { d.engines[0].advance(); d.engines[0].speed /= 5; d.engines[0].scheduleNext() })
}

// replaceOwners gives all shards new owners.
func replaceOwners(d *deployment) {
	if c, ok := d.dispatcher.(*coreDispatcher); ok {
		d.sim.after(disturbanceStart+time.Second, func() {
			for i := range c.shards {
				c.replaceOwner(i, "second")
			}
		})
	}
}

// delayReports delays all reports by five seconds and later loses all load reports.
func delayReports(d *deployment) {
	d.sim.reporting.delay = 5 * time.Second
	d.sim.after(disturbanceStart+10*time.Second, func() { d.sim.reporting.loadsLost = true })
}

// loseCacheEvents loses all cache events, so that the owners keep outdated estimates of the caches.
func loseCacheEvents(d *deployment) { d.sim.reporting.cacheEventsLost = true }

// drainEndpoint lists an endpoint as leaving, a second late, and removes it from the list later. It finishes what it
// runs.
func drainEndpoint(d *deployment) {
	d.sim.after(disturbanceStart+time.Second, func() { d.dispatcher.delistEndpoint(d.engines[0], true) })
	d.sim.after(disturbanceStart+20*time.Second, func() { d.dispatcher.delistEndpoint(d.engines[0], false) })
}

// killEndpoint kills an endpoint, which stays in the instance list for eight seconds.
func killEndpoint(d *deployment) {
	d.sim.after(disturbanceStart, d.engines[0].kill)
	d.sim.after(disturbanceStart+8*time.Second, func() { d.dispatcher.delistEndpoint(d.engines[0], false) })
}

// killInstance kills the instance that holds an eighth of the requests and owns the first shard.
func killInstance(d *deployment) {
	d.sim.after(disturbanceStart, func() {
		for _, r := range d.requests {
			h := xxhash.Sum64String(string(r.id)) % 8
			if h == 0 && !r.src.order && !r.arrived.After(d.sim.now) && r.ended.IsZero() {
				r.failed = true
				d.dispatcher.loseHolder(r)
			}
		}
	})
	if c, ok := d.dispatcher.(*coreDispatcher); ok {
		d.sim.after(disturbanceStart+2*oneWayDelay, func() { c.replaceOwner(0, "second") })
	}
}

var scenarios = []scenario{
	{"steady 70%", func() []*source { return normalLoad(0.7) }, nil, 0, 0},
	{"steady 95%", func() []*source { return normalLoad(0.95) }, nil, 0, 0},
	{"flood tier 3", func() []*source { return withFlood(normalLoad(0.7), 9, func(s *source) bool { return s.tier == 3 }) }, nil, 0, 0},
	{"flood tier 0", func() []*source { return withFlood(normalLoad(0.7), 9, func(s *source) bool { return s.tier == 0 }) }, nil, 0, 0},
	{"flood workspace", func() []*source {
		return withFlood(normalLoad(0.7), 19, func(s *source) bool { return s.workspace == "e" })
	}, nil, 0, 0},
	{"flood caller", func() []*source {
		s := withFlood(normalLoad(0.7), 12, func(s *source) bool { return s.workspace == "a" && s.tier == 1 })
		last := s[len(s)-1]
		last.callers, last.largeCaller = 1, true
		return s
	}, nil, 0, 0},
	{"straggler", func() []*source { return normalLoad(0.7) }, slowEngine, 0, 0},
	{"new owners", func() []*source { return normalLoad(0.95) }, replaceOwners, 0, 0},
	{"late reports", func() []*source { return deploymentLoad(0.9) }, delayReports, 8, 0},
	{"events lost", func() []*source { return deploymentLoad(0.9) }, loseCacheEvents, 8, 0},
	{"endpoint leaves", func() []*source { return deploymentLoad(0.9) }, drainEndpoint, 8, 0},
	{"endpoint dies", func() []*source { return deploymentLoad(0.9) }, killEndpoint, 8, 0},
	{"instance dies", func() []*source { return deploymentLoad(0.9) }, killInstance, 8, 0},
	{"small caches", func() []*source {
		return forEach(deploymentLoad(0.9), func(s *source) { s.sessions = 12 })
	}, nil, 8, 60},
	{"hang up", func() []*source {
		return forEach(deploymentLoad(0.9), func(s *source) { s.patience = 10 * time.Second })
	}, nil, 8, 0},
	{"retries", func() []*source {
		return forEach(withFlood(deploymentLoad(0.7), 9, inTier(0)), func(s *source) { s.maxRetries = 4 })
	}, nil, 8, 0},
	{"flood callers", func() []*source { // one workspace sends a flood through many callers
		return withFlood(deploymentLoad(0.7), 19, func(s *source) bool {
			s.callers = lo.Ternary(s.workspace == "e", 60, s.callers)
			return s.workspace == "e" && !s.order
		})
	}, nil, 8, 0},
	{"two floods", func() []*source {
		return withFlood(deploymentLoad(0.7), 9, func(s *source) bool { return !s.order && (s.tier == 0 || s.tier == 3) })
	}, slowEngine, 8, 0},
}

var policies = []struct {
	name          string
	newDispatcher func(*sim, []*engine, int, *rand.Rand) dispatcher
}{
	{"monsoondale", func(s *sim, es []*engine, n int, r *rand.Rand) dispatcher {
		return newCoreDispatcher(s, es, n, r, disabledFeatures{})
	}},
	{"round robin", func(s *sim, es []*engine, _ int, _ *rand.Rand) dispatcher { return newBaseline(s, es, roundRobin) }},
	{"least outstanding", func(s *sim, es []*engine, _ int, _ *rand.Rand) dispatcher {
		return newBaseline(s, es, leastOutstanding)
	}},
	{"least reported", func(s *sim, es []*engine, _ int, _ *rand.Rand) dispatcher { return newBaseline(s, es, leastReported) }},
}

// arrivals draws the requests of a source. Their lengths differ by up to a factor of one hundred. Half of a prompt is
// common to the workspace and the tier, a quarter to one of the caller's sessions.
func arrivals(s *source, n int, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	lognormal := func(mean float64) float64 {
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
		if s.largeCaller {
			caller = "large"
		}
		workspaceHash := fnv1a(string(s.workspace), int(s.tier))
		sessionHash := fnv1a(caller, int(workspaceHash%1e9)+rng.IntN(lo.CoalesceOrEmpty(s.sessions, 3)))
		out = append(out, &request{
			id: core.RequestID(fmt.Sprintf("%d-%d", n, len(out))), src: s, caller: core.CallerID(caller), arrived: epoch.Add(at),
			prefill: math.Ceil(lognormal(s.meanPrefill)), decode: math.Ceil(lognormal(s.meanDecode)) + 1,
			prefixes: []core.PrefixHash{core.PrefixHash(workspaceHash), core.PrefixHash(workspaceHash + 1), core.PrefixHash(sessionHash), core.PrefixHash(rng.Uint64())},
		})
		r := out[len(out)-1]
		r.remaining = r.decode
	}
}

func fnv1a(s string, i int) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(fmt.Sprint(s, "/", i)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// simulate runs one policy through one scenario and returns the measured requests.
func simulate(newDispatcher func(*sim, []*engine, int, *rand.Rand) dispatcher, sc scenario, seed uint64) []*request {
	s := &sim{now: epoch, reporting: reportConditions{delay: time.Second}}
	newEngine := func(id string, speed float64) *engine {
		return &engine{
			sim: s, id: core.EndpointID(id), speed: speed, lastAdvance: epoch, cacheLimit: lo.CoalesceOrEmpty(sc.cacheChunks, defaultCacheChunks),
			cache: map[core.PrefixHash]*list.Element{},
		}
	}
	engines := lo.Map(lo.Range(18), func(i, _ int) *engine { return newEngine(fmt.Sprintf("e%02d", i), speeds[i/3]) })
	depl := &deployment{sim: s, engines: engines, dispatcher: newDispatcher(s, engines, lo.CoalesceOrEmpty(sc.instances, 6), rand.New(rand.NewPCG(seed, 99)))}
	for n, src := range sc.sources() {
		depl.requests = append(depl.requests, arrivals(src, n, seed)...)
	}
	slices.SortStableFunc(depl.requests, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	var orders dispatcher
	if slices.ContainsFunc(depl.requests, func(r *request) bool { return r.src.order }) {
		services := lo.Map(lo.Range(3), func(i, _ int) *engine { e := newEngine(fmt.Sprint("o", i), 1); e.service = true; return e })
		orders = newDispatcher(s, services, lo.CoalesceOrEmpty(sc.instances, 6), rand.New(rand.NewPCG(seed, 98)))
	}
	patience := rand.New(rand.NewPCG(seed, 97))
	for _, r := range depl.requests {
		d := lo.Ternary(r.src.order, orders, depl.dispatcher)
		s.after(r.arrived.Sub(epoch), func() { d.submit(r) })
		if r.src.patience > 0 && !r.src.order {
			s.after(r.arrived.Sub(epoch)+time.Duration(patience.ExpFloat64()*float64(r.src.patience)), func() {
				if r.ended.IsZero() {
					r.hungUp = true
					d.cancel(r)
				}
			})
		}
	}
	if sc.disturb != nil {
		sc.disturb(depl)
	}
	firstOpen := 0
	arrivalsOver := epoch.Add(arrivalsEnd)
	s.run(epoch.Add(runEnd), func() bool {
		for firstOpen < len(depl.requests) && !depl.requests[firstOpen].ended.IsZero() {
			firstOpen++
		}
		return firstOpen == len(depl.requests) && s.now.After(arrivalsOver)
	})
	return lo.Filter(depl.requests, func(r *request, _ int) bool { return r.arrived.Sub(epoch) >= warmUp })
}
