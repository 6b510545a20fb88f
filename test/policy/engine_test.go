package policy

import (
	"container/heap"
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/endpoint"
)

// Engine model. A batch of 12 requests decodes at the target of 30 ms between tokens on an engine of speed 1. While a
// prompt is computed, decoding runs at half speed. Engines accept every request at once and have no priorities.
const (
	prefillRate         = 6000.0                // prompt tokens per second
	baseStepTime        = 0.012                 // seconds between tokens: baseStepTime + batch size * stepTimePerRequest
	stepTimePerRequest  = 0.0015                // seconds
	targetBatch         = 12                    // requests
	defaultCacheChunks  = 300                   // prefixes
	targetTokenInterval = 0.030                 // seconds
	oneWayDelay         = time.Millisecond      // between any two processes
	hedgeAfter          = 20 * time.Millisecond // until further shards are asked
)

var epoch = time.Unix(1_000_000, 0)

// sim is a discrete-event simulation in virtual time.
type sim struct {
	now       time.Time
	seq       int
	events    eventHeap
	reporting reportConditions
}

// reportConditions describe how the reports of engines reach the owners of their shards.
type reportConditions struct {
	delay                      time.Duration // until a report arrives
	loadsLost, cacheEventsLost bool          // lost, and the owners are not told
}

// event is a function that runs at a time. seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after schedules f at the present time plus d. Events of the same time run in the order of their scheduling.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(max(0, d)), s.seq, f})
}

func (s *sim) every(d time.Duration, f func()) { s.after(d, func() { f(); s.every(d, f) }) }

// run processes events until the given time or until stop returns true.
func (s *sim) run(until time.Time, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at.Before(until) && !stop() {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
}

// request is one request with its outcome.
type request struct {
	id                             core.RequestID
	src                            *source
	caller                         core.CallerID
	prefill, decode                float64
	prefixes                       []core.PrefixHash
	arrived                        time.Time
	firstToken, ended              time.Time
	refused                        bool
	hungUp                         bool // the caller hung up before the end
	failed                         bool // its holder or its endpoint died
	retries                        int  // after refusals
	inverted                       bool // priority inversion: refused because of overload while a lower tier ran
	exclude                        []core.EndpointID
	engine                         *engine // that started it last
	holder                         *instance
	computed, recomputed           float64 // prompt tokens; recomputed ones after a suspension
	remaining                      float64 // tokens to generate
	cached                         float64
	longestQueueWait               time.Duration // for a slot
	suspensions                    int
	suspendedTokens, suspendedRest float64 // at the first suspension: generated tokens, and seconds to its end
	queuedAt, dispatchedAt         time.Time
	job                            *job
	openAsks                       int // asks of the holder that have no answer yet
	grant                          admission.Grant
	shard                          int
	asked                          []bool
}

// job is one run of a request on an engine.
type job struct {
	r            *request
	prefillLeft  float64 // tokens to compute
	prefillTotal float64 // tokens to compute at the start
	endClock     float64 // tokenClock of the engine when decoding ends
	startClock   float64
	decoding     bool
	onDone       func()
	onFailure    func()
}

// engine is a fake engine with continuous batching.
type engine struct {
	sim         *sim
	id          core.EndpointID
	speed       float64 // relative to the constants above
	lastAdvance time.Time
	tokenClock  float64 // tokens generated per decoding request so far
	prefilling  []*job
	decoding    []*job
	planVersion int                               // a scheduled completion of another version is void
	service     bool                              // a plain service, which takes r.decode milliseconds
	dead        bool                              // refuses connections
	cacheLimit  int                               // prefixes in the cache
	cache       map[core.PrefixHash]*list.Element // elements of lru
	lru         list.List                         // prefixes, the most recently used first
	cacheEvents []endpoint.CacheEvent
}

// decodeRate returns the tokens per second of each decoding request.
func (e *engine) decodeRate() float64 {
	r := e.speed / (baseStepTime + stepTimePerRequest*float64(len(e.decoding)))
	if len(e.prefilling) > 0 {
		r /= 2
	}
	return r
}

// advance brings the engine's state up to the present time.
func (e *engine) advance() {
	elapsed := e.sim.now.Sub(e.lastAdvance).Seconds()
	e.lastAdvance = e.sim.now
	e.tokenClock += elapsed * e.decodeRate()
	if len(e.prefilling) > 0 {
		computed := min(elapsed*prefillRate*e.speed, e.prefilling[0].prefillLeft)
		e.prefilling[0].prefillLeft -= computed
		e.prefilling[0].r.computed += computed
	}
}

// scheduleNext schedules the next completion of a prompt or a request. It replaces the one scheduled before.
func (e *engine) scheduleNext() {
	e.planVersion++
	if e.service {
		return
	}
	version := e.planVersion
	next := math.Inf(1)
	if len(e.prefilling) > 0 {
		next = e.prefilling[0].prefillLeft / (prefillRate * e.speed)
	}
	for _, j := range e.decoding {
		next = min(next, (j.endClock-e.tokenClock)/e.decodeRate())
	}
	if !math.IsInf(next, 1) {
		e.sim.after(time.Duration(math.Ceil(max(0, next)*1e9))+1, func() {
			if version == e.planVersion {
				e.step()
			}
		})
	}
}

// step moves a computed prompt to decoding and ends the requests that are complete.
func (e *engine) step() {
	e.advance()
	if len(e.prefilling) > 0 && e.prefilling[0].prefillLeft <= 1e-3 {
		j := e.prefilling[0]
		e.prefilling = e.prefilling[1:]
		if j.r.firstToken.IsZero() {
			j.r.firstToken = e.sim.now
		}
		e.cachePrefixes(j.r.prefixes)
		j.decoding, j.startClock, j.endClock = true, e.tokenClock, e.tokenClock+j.r.remaining
		e.decoding = append(e.decoding, j)
	}
	var ended []*job
	e.decoding = slices.DeleteFunc(e.decoding, func(j *job) bool {
		if j.endClock <= e.tokenClock+1e-6 {
			ended = append(ended, j)
			return true
		}
		return false
	})
	e.scheduleNext()
	for _, j := range ended {
		j.r.remaining = 0
		j.r.ended = e.sim.now
		j.onDone()
	}
}

// start runs a request and calls onDone at its end, or onFailure if the engine dies. It reports whether the dial
// succeeded.
func (e *engine) start(r *request, onDone, onFailure func()) bool {
	if e.dead {
		return false
	}
	r.engine = e
	if e.service {
		j := &job{r: r, decoding: true, onDone: onDone, onFailure: onFailure}
		r.job, r.dispatchedAt = j, e.sim.now
		e.decoding = append(e.decoding, j)
		e.sim.after(time.Duration(r.decode)*time.Millisecond, func() {
			if slices.Contains(e.decoding, j) {
				e.decoding = lo.Without(e.decoding, j)
				r.remaining, r.firstToken, r.ended = 0, e.sim.now, e.sim.now
				onDone()
			}
		})
		return true
	}
	e.advance()
	cached := 0
	for i, p := range r.prefixes {
		if _, ok := e.cache[p]; ok {
			cached = i + 1
		}
	}
	r.cached = r.prefill * float64(cached) / float64(len(r.prefixes))
	uncached := r.prefill - r.cached + 1
	if !r.firstToken.IsZero() { // resumed: the engine has kept the tokens but not their KV cache, and computes it again
		uncached += r.decode - r.remaining
		r.recomputed += uncached
	}
	j := &job{r: r, prefillLeft: uncached, prefillTotal: uncached, onDone: onDone, onFailure: onFailure}
	r.job = j
	r.dispatchedAt = e.sim.now
	e.prefilling = append(e.prefilling, j)
	e.scheduleNext()
	return true
}

// kill fails all requests and refuses new ones.
func (e *engine) kill() {
	e.advance()
	jobs := slices.Concat(e.prefilling, e.decoding)
	e.dead, e.prefilling, e.decoding = true, nil, nil
	e.scheduleNext()
	for _, j := range jobs {
		j.r.failed, j.r.ended = true, e.sim.now
		j.onFailure()
	}
}

// remove takes a request out of the batch and keeps its generated tokens.
func (e *engine) remove(r *request) {
	e.advance()
	if r.job.decoding {
		r.remaining = max(1, r.remaining-(e.tokenClock-r.job.startClock))
	} else {
		r.recomputed += r.job.prefillTotal - r.job.prefillLeft // will be computed again
	}
	isJob := func(j *job) bool { return j == r.job }
	e.prefilling = slices.DeleteFunc(e.prefilling, isJob)
	e.decoding = slices.DeleteFunc(e.decoding, isJob)
	e.scheduleNext()
}

// cachePrefixes adds prefixes to the cache, evicts the least recently used ones and records the cache events.
func (e *engine) cachePrefixes(prefixes []core.PrefixHash) {
	for _, p := range prefixes {
		if _, ok := e.cache[p]; !ok {
			e.cacheEvents = append(e.cacheEvents, endpoint.CacheEvent{Prefix: p})
		}
		if x := e.cache[p]; x != nil {
			e.lru.MoveToFront(x)
		} else {
			e.cache[p] = e.lru.PushFront(p)
		}
	}
	for len(e.cache) > e.cacheLimit {
		oldest := e.lru.Remove(e.lru.Back()).(core.PrefixHash)
		delete(e.cache, oldest)
		e.cacheEvents = append(e.cacheEvents, endpoint.CacheEvent{Prefix: oldest, Evict: true})
	}
}

// decodedTokens returns the tokens that a request has generated since its last start.
func (e *engine) decodedTokens(r *request) core.Tokens {
	if r.job == nil || !r.job.decoding {
		return 0
	}
	e.advance()
	return core.Tokens(min(r.remaining, e.tokenClock-r.job.startClock))
}

// dispatcher is a policy under test.
type dispatcher interface {
	submit(r *request)
	cancel(r *request)                      // the caller hung up
	loseHolder(r *request)                  // the instance that held the request died
	delistEndpoint(e *engine, leaving bool) // the instance list shows an endpoint as leaving, or no longer
}

// baseline is a policy without queues: it sends each request to an engine at once.
type baseline struct {
	sim          *sim
	engines      []*engine
	pick         func(*baseline) int
	next         int
	outstanding  []int
	reportedLoad []int
	unavailable  []bool // leaving, gone, or refused a dial
}

func newBaseline(s *sim, engines []*engine, pick func(*baseline) int) *baseline {
	b := &baseline{sim: s, engines: engines, pick: pick, outstanding: make([]int, len(engines)), reportedLoad: make([]int, len(engines)), unavailable: make([]bool, len(engines))}
	s.every(time.Second, func() {
		for i, e := range engines {
			n := len(e.prefilling) + len(e.decoding)
			if !s.reporting.loadsLost {
				s.after(s.reporting.delay, func() { b.reportedLoad[i] = n })
			}
		}
	})
	return b
}

func (b *baseline) submit(r *request) {
	i := b.pick(b)
	b.outstanding[i]++
	b.sim.after(oneWayDelay, func() {
		release := func() { b.outstanding[i]-- }
		if !r.ended.IsZero() {
			release()
		} else if !b.engines[i].start(r, release, release) {
			release()
			b.unavailable[i] = true
			b.submit(r)
		}
	})
}

func (b *baseline) cancel(r *request) {
	r.ended = b.sim.now
	if r.engine != nil {
		r.engine.remove(r)
		b.outstanding[slices.Index(b.engines, r.engine)]--
	}
}

func (b *baseline) loseHolder(r *request) { b.cancel(r) }

func (b *baseline) delistEndpoint(e *engine, _ bool) {
	b.unavailable[slices.Index(b.engines, e)] = true
}

// leastLoaded returns the first available engine with the lowest load, starting from an index.
func (b *baseline) leastLoaded(load []int, from int) int {
	n := len(load)
	order := lo.Map(lo.Range(n), func(i, _ int) int { return (i + from) % n })
	return lo.MinBy(lo.Reject(order, func(i, _ int) bool { return b.unavailable[i] }), func(i, j int) bool { return load[i] < load[j] })
}

func roundRobin(b *baseline) int {
	for b.next++; b.unavailable[b.next%len(b.engines)]; b.next++ {
	}
	return b.next % len(b.engines)
}

func leastOutstanding(b *baseline) int { return b.leastLoaded(b.outstanding, 0) }

func leastReported(b *baseline) int {
	b.next++ // engines with equal loads take turns
	return b.leastLoaded(b.reportedLoad, b.next)
}
