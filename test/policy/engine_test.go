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

// Engine model. A batch of 12 decodes at the target of 30 ms between tokens on an engine of speed 1; while a prompt is
// computed, decoding runs at half speed. Engines take every request at once and have no priorities.
const (
	prefillRate = 6000.0 // prompt tokens per second
	stepBase    = 0.012  // seconds between tokens: stepBase + batch*stepEach
	stepEach    = 0.0015
	batch       = 12
	cacheChunks = 300
	target      = 0.030
	oneWay      = time.Millisecond // between any two processes
	hedgeAfter  = 20 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// sim runs events in virtual time.
type sim struct {
	now    time.Time
	seq    int
	events eventHeap
	news   conditions
}

// conditions says how engines report to the owners of their shards.
type conditions struct {
	late             time.Duration // age of the load reports
	noLoads, noCache bool          // reports or cache events are lost without notice
}

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

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(max(0, d)), s.seq, f})
}

func (s *sim) every(d time.Duration, f func()) { s.after(d, func() { f(); s.every(d, f) }) }

func (s *sim) run(until time.Time, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at.Before(until) && !stop() {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
}

// request is one request with its outcome.
type request struct {
	id                core.RequestID
	src               *source
	caller            core.CallerID
	prefill, decode   float64
	prefixes          []core.PrefixHash
	arrived           time.Time
	first, ended      time.Time
	refused           bool
	hungUp            bool // the caller left before the end
	broken            bool // its instance or endpoint died
	tries             int  // repeated after a refusal
	inverted          bool // refused because of overload while a lower tier ran
	exclude           []core.EndpointID
	on                *engine // where it was last started
	holder            *instance
	computed, redone  float64 // prompt tokens computed, and those computed again after a suspension
	left              float64 // tokens still to generate
	cached            float64
	worst             time.Duration // longest wait for a slot
	stops             int           // how often it was suspended
	stopped, rest     float64       // tokens generated, and seconds to its end, at the first suspension
	waiting, dispatch time.Time
	backlog           *job
	asks              int // open asks of the holder
	grant             admission.Grant
	shard             int
	asked             []bool
}

type job struct {
	r        *request
	prefill  float64 // still to compute
	total    float64 // to compute at its start
	finish   float64 // clock value at which decoding ends
	began    float64
	decoding bool
	done     func()
	failed   func()
}

// engine is a fake engine with continuous batching.
type engine struct {
	s       *sim
	id      core.EndpointID
	speed   float64
	last    time.Time
	clock   float64 // tokens generated per decoding request so far
	prompts []*job
	decodes []*job
	version int
	service bool                              // a plain service, which takes r.decode milliseconds
	dead    bool                              // refuses connections
	limit   int                               // chunks in the cache
	cache   map[core.PrefixHash]*list.Element // in used
	used    list.List                         // prefixes, the latest use first
	events  []endpoint.CacheEvent
}

func (e *engine) rate() float64 {
	r := e.speed / (stepBase + stepEach*float64(len(e.decodes)))
	if len(e.prompts) > 0 {
		r /= 2
	}
	return r
}

func (e *engine) advance() {
	dt := e.s.now.Sub(e.last).Seconds()
	e.last = e.s.now
	e.clock += dt * e.rate()
	if len(e.prompts) > 0 {
		x := min(dt*prefillRate*e.speed, e.prompts[0].prefill)
		e.prompts[0].prefill -= x
		e.prompts[0].r.computed += x
	}
}

// plan schedules the next completion.
func (e *engine) plan() {
	e.version++
	if e.service {
		return
	}
	v := e.version
	next := math.Inf(1)
	if len(e.prompts) > 0 {
		next = e.prompts[0].prefill / (prefillRate * e.speed)
	}
	for _, j := range e.decodes {
		next = min(next, (j.finish-e.clock)/e.rate())
	}
	if !math.IsInf(next, 1) {
		e.s.after(time.Duration(math.Ceil(max(0, next)*1e9))+1, func() {
			if v == e.version {
				e.step()
			}
		})
	}
}

func (e *engine) step() {
	e.advance()
	if len(e.prompts) > 0 && e.prompts[0].prefill <= 1e-3 {
		j := e.prompts[0]
		e.prompts = e.prompts[1:]
		if j.r.first.IsZero() {
			j.r.first = e.s.now
		}
		e.store(j.r.prefixes)
		j.decoding, j.began, j.finish = true, e.clock, e.clock+j.r.left
		e.decodes = append(e.decodes, j)
	}
	var ended []*job
	e.decodes = slices.DeleteFunc(e.decodes, func(j *job) bool {
		if j.finish <= e.clock+1e-6 {
			ended = append(ended, j)
			return true
		}
		return false
	})
	e.plan()
	for _, j := range ended {
		j.r.left = 0
		j.r.ended = e.s.now
		j.done()
	}
}

// start runs a request and calls done at its end, or failed if the engine dies. It reports whether the dial succeeded.
func (e *engine) start(r *request, done, failed func()) bool {
	if e.dead {
		return false
	}
	r.on = e
	if e.service {
		j := &job{r: r, decoding: true, done: done, failed: failed}
		r.backlog, r.dispatch = j, e.s.now
		e.decodes = append(e.decodes, j)
		e.s.after(time.Duration(r.decode)*time.Millisecond, func() {
			if slices.Contains(e.decodes, j) {
				e.decodes = lo.Without(e.decodes, j)
				r.left, r.first, r.ended = 0, e.s.now, e.s.now
				done()
			}
		})
		return true
	}
	e.advance()
	hit := 0
	for i, p := range r.prefixes {
		if _, ok := e.cache[p]; ok {
			hit = i + 1
		}
	}
	r.cached = r.prefill * float64(hit) / float64(len(r.prefixes))
	uncached := r.prefill - r.cached + 1
	if !r.first.IsZero() { // resumed: the engine kept the tokens but not the state, and computes it again
		uncached += r.decode - r.left
		r.redone += uncached
	}
	j := &job{r: r, prefill: uncached, total: uncached, done: done, failed: failed}
	r.backlog = j
	r.dispatch = e.s.now
	e.prompts = append(e.prompts, j)
	e.plan()
	return true
}

// die breaks all requests and refuses new ones.
func (e *engine) die() {
	e.advance()
	jobs := slices.Concat(e.prompts, e.decodes)
	e.dead, e.prompts, e.decodes = true, nil, nil
	e.plan()
	for _, j := range jobs {
		j.r.broken, j.r.ended = true, e.s.now
		j.failed()
	}
}

// stop takes a request out of the batch, keeping its tokens.
func (e *engine) stop(r *request) {
	e.advance()
	if r.backlog.decoding {
		r.left = max(1, r.left-(e.clock-r.backlog.began))
	} else {
		r.redone += r.backlog.total - r.backlog.prefill // will be computed again
	}
	same := func(j *job) bool { return j == r.backlog }
	e.prompts = slices.DeleteFunc(e.prompts, same)
	e.decodes = slices.DeleteFunc(e.decodes, same)
	e.plan()
}

func (e *engine) store(ps []core.PrefixHash) {
	for _, p := range ps {
		if _, ok := e.cache[p]; !ok {
			e.events = append(e.events, endpoint.CacheEvent{Prefix: p})
		}
		if x := e.cache[p]; x != nil {
			e.used.MoveToFront(x)
		} else {
			e.cache[p] = e.used.PushFront(p)
		}
	}
	for len(e.cache) > e.limit {
		oldest := e.used.Remove(e.used.Back()).(core.PrefixHash)
		delete(e.cache, oldest)
		e.events = append(e.events, endpoint.CacheEvent{Prefix: oldest, Evict: true})
	}
}

func (e *engine) tokens(r *request) core.Tokens {
	if r.backlog == nil || !r.backlog.decoding {
		return 0
	}
	e.advance()
	return core.Tokens(min(r.left, e.clock-r.backlog.began))
}

// dispatcher is a policy under test.
type dispatcher interface {
	submit(r *request)
	drop(r *request)                // the caller hung up
	lose(r *request)                // the instance that held the request died
	unlist(e *engine, leaving bool) // the instance list shows that an endpoint is leaving or gone
}

// baseline sends each request to an engine at once, without queues.
type baseline struct {
	s        *sim
	engines  []*engine
	pick     func(*baseline) int
	next     int
	out      []int
	reported []int
	gone     []bool // leaving, or refused a dial
}

func newBaseline(s *sim, es []*engine, pick func(*baseline) int) *baseline {
	b := &baseline{s: s, engines: es, pick: pick, out: make([]int, len(es)), reported: make([]int, len(es)), gone: make([]bool, len(es))}
	s.every(time.Second, func() {
		for i, e := range es {
			n := len(e.prompts) + len(e.decodes)
			if !s.news.noLoads {
				s.after(s.news.late, func() { b.reported[i] = n })
			}
		}
	})
	return b
}

func (b *baseline) submit(r *request) {
	i := b.pick(b)
	b.out[i]++
	b.s.after(oneWay, func() {
		free := func() { b.out[i]-- }
		if !r.ended.IsZero() {
			free()
		} else if !b.engines[i].start(r, free, free) {
			free()
			b.gone[i] = true
			b.submit(r)
		}
	})
}

func (b *baseline) drop(r *request) {
	r.ended = b.s.now
	if r.on != nil {
		r.on.stop(r)
		b.out[slices.Index(b.engines, r.on)]--
	}
}

func (b *baseline) lose(r *request) { b.drop(r) }

func (b *baseline) unlist(e *engine, _ bool) { b.gone[slices.Index(b.engines, e)] = true }

// least returns the first listed engine with the lowest value of x, starting from an index.
func (b *baseline) least(x []int, from int) int {
	n := len(x)
	order := lo.Map(lo.Range(n), func(i, _ int) int { return (i + from) % n })
	return lo.MinBy(lo.Reject(order, func(i, _ int) bool { return b.gone[i] }), func(i, j int) bool { return x[i] < x[j] })
}

func roundRobin(b *baseline) int {
	for b.next++; b.gone[b.next%len(b.engines)]; b.next++ {
	}
	return b.next % len(b.engines)
}

func leastOutstanding(b *baseline) int { return b.least(b.out, 0) }

func leastReported(b *baseline) int {
	b.next++ // ties go round
	return b.least(b.reported, b.next)
}
