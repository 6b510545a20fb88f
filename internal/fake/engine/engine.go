// Package engine is a fake model engine with continuous batching and a bounded prefix cache.
package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/tmaxmax/go-sse"

	"monsoondale/internal/fake"
	"monsoondale/wire/engine"
)

// Options configures an Engine. Zero values are replaced by the defaults stated below.
type Options struct {
	Name        string
	Model       string        // loaded at start-up
	PrefillRate float64       // prompt tokens per second of a lone request, default 20000; shared by all prefills
	DecodeRate  float64       // generated tokens per second of a lone request, default 200
	HalvingLoad float64       // number of additional requests that halves the rates of each request, default 16
	BatchSize   int           // number of concurrent requests, default 256; others queue in order of arrival
	CacheTokens int           // size of the prefix cache in tokens, default 65536
	ReportLag   time.Duration // age of load reports and delay of cache events
	LoseEvery   int           // every LoseEvery-th cache event is lost, 0 for none
	Linger      time.Duration // how long a run continues after its client disconnected; generated tokens are kept
	LoadTime    time.Duration // time to load a model
	Fenced      bool          // reject orders with an old fence
}

// Fault is the document of PUT /fault. Of integer fields, n affects the next n requests and -1 all of them.
type Fault struct {
	Down   bool    `json:"down,omitempty"`   // answer 503 to all requests
	Freeze bool    `json:"freeze,omitempty"` // make no progress and send no answers
	Slow   float64 `json:"slow,omitempty"`   // factor on the duration of all work
	Reject int     `json:"reject,omitempty"` // requests that are logged, then answered 500
	Break  int     `json:"break,omitempty"`  // streams whose connection breaks in the middle, resumed ones included
	Swap   int     `json:"swap,omitempty"`   // streams whose chunks carry another request's id from the middle on
	Skip   int     `json:"skip,omitempty"`   // streams that omit one event in the middle
	Short  int     `json:"short,omitempty"`  // streams that end in the middle without [DONE]
	Forget bool    `json:"forget,omitempty"` // answer 404 to requests to resume
}

// Engine is the fake engine. It implements http.Handler.
type Engine struct {
	fake.FaultControl[Fault]
	opts Options
	mux  *http.ServeMux

	mu             sync.Mutex
	runs           map[string]*run
	active         []*run // in order of arrival; the first opts.BatchSize are executed, the others wait
	cache          cache
	loadSamples    []engine.Load
	currentOrder   engine.Order
	acceptedOrders []engine.Order // all that were accepted
	readyAt        time.Time      // when the model is or will be loaded
	changed        chan struct{}  // closed when active changes
}

// run is a received request and the state of its generation.
type run struct {
	chat       engine.Chat
	tokens     []string // the complete answer
	generated  int      // number of tokens generated
	clients    int      // connected clients
	active     bool     // generate is running
	prefilling bool
	startCount int                // starts of generate
	stop       context.CancelFunc // stops generate
	changed    chan struct{}      // closed on each new token and on each change of state
	entry      engine.Run         // entry of the log
}

// New returns an engine.
func New(o Options) *Engine {
	o.PrefillRate = cmp.Or(o.PrefillRate, 20_000)
	o.DecodeRate = cmp.Or(o.DecodeRate, 200)
	o.HalvingLoad = cmp.Or(o.HalvingLoad, 16)
	o.BatchSize = cmp.Or(o.BatchSize, 256)
	o.CacheTokens = cmp.Or(o.CacheTokens, 65_536)
	e := &Engine{
		opts: o, mux: http.NewServeMux(), runs: map[string]*run{}, changed: make(chan struct{}),
		cache:        cache{maxBlocks: o.CacheTokens * bytesPerToken / BlockSize, lag: o.ReportLag, loseEvery: o.LoseEvery},
		currentOrder: engine.Order{Model: o.Model},
	}
	e.mux.Handle("/fault", &e.FaultControl)
	e.mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) { fake.WriteJSON(w, http.StatusOK, e.Log()) })
	e.handle("POST /v1/chat/completions", e.handleChat)
	e.handle("GET /v1/streams/{request}", e.handleResume)
	e.handle("DELETE /v1/streams/{request}", e.handleCancel)
	e.handle("GET /load", e.handleLoad)
	e.handle("GET /cache", e.handleCacheEvents)
	e.handle("GET /orders", func(w http.ResponseWriter, _ *http.Request) { fake.WriteJSON(w, http.StatusOK, e.CurrentOrder()) })
	e.handle("POST /orders", e.handleOrder)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Log returns the log of all received requests in order of arrival.
func (e *Engine) Log() engine.Log {
	e.mu.Lock()
	defer e.mu.Unlock()
	items := lo.Map(slices.Collect(maps.Values(e.runs)), func(r *run, _ int) engine.Run {
		l := r.entry
		l.Tokens = r.generated
		return l
	})
	slices.SortFunc(items, func(x, y engine.Run) int {
		return cmp.Or(cmp.Compare(x.Start, y.Start), cmp.Compare(x.Request, y.Request))
	})
	return engine.Log{Items: items}
}

// CurrentOrder returns the last accepted order.
func (e *Engine) CurrentOrder() engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentOrder
}

// IgnoreFences makes the engine accept orders with any fence from now on.
func (e *Engine) IgnoreFences() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.Fenced = false
}

// Orders returns all accepted orders.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.acceptedOrders)
}

// handle registers a handler to which the faults freeze and down apply. All of its responses echo the request id.
func (e *Engine) handle(pattern string, h http.HandlerFunc) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Request-Id"); id != "" {
			w.Header().Set("X-Request-Id", id)
		}
		if !e.WaitWhile(r.Context(), func(f Fault) bool { return f.Freeze }) {
			return
		}
		if e.Fault().Down {
			fake.WriteError(w, http.StatusServiceUnavailable, "the engine is down")
			return
		}
		h(w, r)
	})
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	var c engine.Chat
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || id == "" || len(c.Messages) == 0 {
		fake.WriteError(w, http.StatusBadRequest, "X-Request-Id and messages are required")
		return
	}
	w.Header().Set("X-Request-Id", id)
	reject := e.ConsumeFault(func(f *Fault) *int { return &f.Reject })
	q, loading := e.accept(id, c, reject)
	switch {
	case reject:
		fake.WriteError(w, http.StatusInternalServerError, "the engine failed")
	case loading:
		fake.WriteError(w, http.StatusServiceUnavailable, "the model is being loaded")
	case c.Stream:
		e.streamAnswer(w, r, q, 0)
	default:
		e.writeCompletion(w, r, q)
	}
}

// accept logs a dispatch and starts its run. If the request id was dispatched before, the old run is cancelled and the
// request runs again.
func (e *Engine) accept(id string, c engine.Chat, reject bool) (q *run, loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	old := e.runs[id]
	q = &run{chat: c, changed: make(chan struct{}), entry: engine.Run{
		Request: id, Path: "/v1/chat/completions", Start: int(now.UnixMilli()), State: engine.RunStateRunning, Prompt: PromptTokens(c.Messages), Dispatches: 1,
	}}
	if old != nil {
		e.stopRun(old, engine.RunStateCancelled)
		q.entry.Dispatches += old.entry.Dispatches
	}
	e.runs[id] = q
	loading = now.Before(e.readyAt)
	if reject || loading {
		e.endRun(q, engine.RunStateFailed)
		return q, loading
	}
	q.tokens = answerTokens(c)
	e.startRun(q)
	return q, false
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(cmp.Or(r.Header.Get("Last-Event-ID"), "0"))
	e.mu.Lock()
	q := e.runs[r.PathValue("request")]
	if q != nil && q.entry.State == engine.RunStateFailed {
		q = nil
	}
	if q != nil {
		q.entry.Resumes++
	}
	e.mu.Unlock()
	if q == nil || err != nil || last < 0 || last > len(q.tokens)+2 || e.Fault().Forget {
		fake.WriteError(w, http.StatusNotFound, "no such stream")
		return
	}
	w.Header().Set("X-Request-Id", q.entry.Request)
	e.streamAnswer(w, r, q, last)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.runs[r.PathValue("request")]
	if q == nil {
		fake.WriteError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.stopRun(q, engine.RunStateCancelled)
	w.Header().Set("X-Request-Id", q.entry.Request)
	fake.WriteJSON(w, http.StatusOK, map[string]any{"request": q.entry.Request, "tokens": q.generated, "state": q.entry.State})
}

// attach registers a client of the run and continues the run if it was stopped. The run stops when its last client has
// been gone for opts.Linger.
func (e *Engine) attach(q *run) (detach func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q.clients++
	e.startRun(q)
	return func() {
		e.mu.Lock()
		q.clients--
		idle := q.clients == 0 && q.active
		starts := q.startCount
		e.mu.Unlock()
		if !idle {
			return
		}
		time.AfterFunc(e.opts.Linger, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if q.clients == 0 && q.active && q.startCount == starts {
				e.stopRun(q, engine.RunStateCancelled)
			}
		})
	}
}

// streamAnswer sends the events after the id last: one per token, then usage, then [DONE].
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, q *run, last int) {
	defer e.attach(q)()
	s, err := sse.Upgrade(w, r)
	if err != nil {
		fake.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	if s.Flush() != nil { // the headers tell the client that the request was received
		return
	}
	total := len(q.tokens) + 2
	// Faults are injected in the middle of the rest of the stream.
	faultAt := last + (total-last)/2
	id, faultInjected := q.entry.Request, false
	for eventID := last + 1; eventID <= total; eventID++ {
		if !e.awaitTokens(r, q, min(eventID, len(q.tokens))) {
			return
		}
		if eventID > faultAt && !faultInjected {
			faultInjected = true
			switch {
			case e.ConsumeFault(func(f *Fault) *int { return &f.Break }):
				_ = s.Flush()
				fake.AbortConnection()
			case e.ConsumeFault(func(f *Fault) *int { return &f.Short }):
				return
			case e.ConsumeFault(func(f *Fault) *int { return &f.Skip }):
				continue
			case e.ConsumeFault(func(f *Fault) *int { return &f.Swap }):
				id = "other-" + id
			}
		}
		m := &sse.Message{ID: sse.ID(strconv.Itoa(eventID))}
		if eventID == total {
			m.AppendData("[DONE]")
		} else {
			m.AppendData(string(lo.Must(json.Marshal(e.newChunk(q, id, eventID)))))
		}
		if s.Send(m) != nil || s.Flush() != nil {
			return
		}
	}
}

// writeCompletion waits for the whole answer and sends it as one JSON document.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, q *run) {
	defer e.attach(q)()
	if !e.awaitTokens(r, q, len(q.tokens)) {
		return
	}
	if e.ConsumeFault(func(f *Fault) *int { return &f.Break }) {
		fake.AbortConnection()
	}
	c := e.newChunk(q, q.entry.Request, len(q.tokens)+1)
	c.Object = "chat.completion"
	c.Choices[0].Delta = nil
	c.Choices[0].Message = &engine.Message{Role: "assistant", Content: strings.Join(q.tokens, "")}
	fake.WriteJSON(w, http.StatusOK, c)
}

// awaitTokens waits until the run has generated n tokens. It reports false if the client has disconnected, and aborts
// the connection if the run was stopped.
func (e *Engine) awaitTokens(r *http.Request, q *run, n int) bool {
	for {
		e.mu.Lock()
		generated, active, changed := q.generated, q.active, q.changed
		e.mu.Unlock()
		if !e.WaitWhile(r.Context(), func(f Fault) bool { return f.Freeze }) {
			return false
		}
		if generated >= n {
			return true
		}
		if !active {
			// The client of a cancelled run gets a broken connection.
			fake.AbortConnection()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (e *Engine) newChunk(q *run, id string, n int) engine.Chunk {
	c := engine.Chunk{Id: id, Object: "chat.completion.chunk", Created: q.entry.Start / 1000, Model: q.chat.Model, Choices: []engine.Choice{{}}}
	if n <= len(q.tokens) {
		c.Choices[0].Delta = &engine.Delta{Content: q.tokens[n-1]}
		if n == 1 {
			c.Choices[0].Delta.Role = "assistant"
		}
		return c
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Choices[0].Delta = &engine.Delta{}
	c.Choices[0].FinishReason = "stop"
	c.Usage = &engine.Usage{
		PromptTokens: q.entry.Prompt, CompletionTokens: len(q.tokens), TotalTokens: q.entry.Prompt + len(q.tokens),
		PromptTokensDetails: &engine.Details{CachedTokens: q.entry.Cached},
	}
	return c
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	until := int(time.Now().Add(-e.opts.ReportLag).UnixMilli())
	l := engine.Load{Time: until}
	for _, s := range e.loadSamples {
		if s.Time > until {
			break
		}
		l.Running, l.Waiting, l.Cache = s.Running, s.Waiting, s.Cache
	}
	factor := e.slowdown(max(l.Running, 1))
	l.Prefill, l.Decode, l.State = e.opts.PrefillRate/factor, e.opts.DecodeRate/factor, "ready"
	if time.Now().Before(e.readyAt) {
		l.State = "loading"
	}
	e.mu.Unlock()
	fake.WriteJSON(w, http.StatusOK, l)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("after"), "0"))
	if err != nil {
		fake.WriteError(w, http.StatusBadRequest, "after must be a sequence number")
		return
	}
	e.mu.Lock()
	out := engine.Events{Items: e.cache.eventsAfter(time.Now(), after)}
	e.mu.Unlock()
	fake.WriteJSON(w, http.StatusOK, out)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		fake.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fenced && o.Fence < e.currentOrder.Fence {
		fake.WriteJSON(w, http.StatusConflict, e.currentOrder)
		return
	}
	if o.Model != e.currentOrder.Model || o.Adapter != e.currentOrder.Adapter || o.Version != e.currentOrder.Version {
		e.readyAt = time.Now().Add(e.opts.LoadTime)
	}
	e.currentOrder = o
	e.acceptedOrders = append(e.acceptedOrders, o)
	fake.WriteJSON(w, http.StatusOK, o)
}

// startRun starts generate for an unfinished run unless it is active. e.mu is held.
func (e *Engine) startRun(q *run) {
	if q.active || q.generated == len(q.tokens) {
		return
	}
	hit := e.cache.access(time.Now(), PrefixHashes(q.chat.Messages)) * BlockSize / bytesPerToken
	if q.startCount++; q.startCount == 1 {
		q.entry.Cached = hit
	}
	ctx, cancel := context.WithCancel(context.Background())
	q.active, q.stop, q.entry.State, q.entry.End = true, cancel, engine.RunStateRunning, 0
	e.active = append(e.active, q)
	e.recordLoad()
	// A continued run prefills the tokens generated so far along with the prompt.
	go e.generate(ctx, q, q.entry.Prompt-hit+q.generated)
}

// stopRun ends the run with the given state if it is active; its tokens are kept. e.mu is held.
func (e *Engine) stopRun(q *run, state engine.RunState) {
	if q.active {
		e.endRun(q, state)
	}
}

// endRun makes a run inactive and records its state. e.mu is held.
func (e *Engine) endRun(q *run, state engine.RunState) {
	q.active = false
	if q.stop != nil {
		q.stop()
	}
	q.entry.State, q.entry.End = state, int(time.Now().UnixMilli())
	e.active = lo.Without(e.active, q)
	close(q.changed)
	q.changed = make(chan struct{})
	e.recordLoad()
}

// recordLoad samples the load for delayed reports and wakes waiting runs. e.mu is held.
func (e *Engine) recordLoad() {
	n := min(len(e.active), e.opts.BatchSize)
	e.loadSamples = append(e.loadSamples, engine.Load{
		Time: int(time.Now().UnixMilli()), Running: n, Waiting: len(e.active) - n,
		Cache: float64(len(e.cache.blocks)) / float64(max(1, e.cache.maxBlocks)),
	})
	if len(e.loadSamples) > 8192 {
		e.loadSamples = slices.Clone(e.loadSamples[4096:])
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// slowdown returns the factor by which work takes longer when n requests run.
func (e *Engine) slowdown(n int) float64 { return 1 + float64(n-1)/e.opts.HalvingLoad }

// generate executes a run: it waits for a place in the batch, then simulates prefill and decode.
func (e *Engine) generate(ctx context.Context, q *run, prefill int) {
	for {
		e.mu.Lock()
		waiting, changed := slices.Index(e.active, q) >= e.opts.BatchSize, e.changed
		e.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	const chunkTokens = 256 // prompt tokens processed in one iteration of the batch
	iterationEnd := time.Now()
	for left := prefill; left > 0; left -= chunkTokens {
		e.mu.Lock()
		q.prefilling = true
		prefilling := lo.CountBy(e.active, func(q *run) bool { return q.prefilling })
		factor := float64(prefilling) * e.slowdown(min(len(e.active), e.opts.BatchSize)-prefilling+1)
		e.mu.Unlock()
		if iterationEnd = e.waitIteration(ctx, iterationEnd, factor*float64(min(left, chunkTokens))/e.opts.PrefillRate); iterationEnd.IsZero() {
			break
		}
	}
	e.mu.Lock()
	q.prefilling = false
	e.mu.Unlock()
	for !iterationEnd.IsZero() {
		e.mu.Lock()
		factor := e.slowdown(min(len(e.active), e.opts.BatchSize))
		e.mu.Unlock()
		if iterationEnd = e.waitIteration(ctx, iterationEnd, factor/e.opts.DecodeRate); iterationEnd.IsZero() || !e.addToken(ctx, q) {
			return
		}
	}
}

// waitIteration waits for one iteration of the given seconds, counted from the end of the previous iteration so that
// timer delays do not accumulate. It returns the end of the iteration, or the zero time if the run was stopped.
func (e *Engine) waitIteration(ctx context.Context, previousEnd time.Time, seconds float64) time.Time {
	if e.Fault().Freeze {
		if !e.WaitWhile(ctx, func(f Fault) bool { return f.Freeze }) {
			return time.Time{}
		}
		previousEnd = time.Now()
	}
	if f := e.Fault(); f.Slow > 0 {
		seconds *= f.Slow
	}
	iterationEnd := previousEnd.Add(time.Duration(seconds * float64(time.Second)))
	if !fake.Sleep(ctx, time.Until(iterationEnd)) {
		return time.Time{}
	}
	return iterationEnd
}

// addToken counts one generated token. It reports false after the last token or if the run was stopped.
func (e *Engine) addToken(ctx context.Context, q *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	q.generated++
	if q.generated == len(q.tokens) {
		e.endRun(q, engine.RunStateDone)
		return false
	}
	close(q.changed)
	q.changed = make(chan struct{})
	return true
}
