// Package faults injects every fault at every step of requests, orders, configuration changes, engine orders, drains and
// floods. Small but complete deployments run in one process, on an in-memory network and the virtual clock of
// testing/synctest.
package faults

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/order"
	"monsoondale/core/routing"
	"monsoondale/instance"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/network"
	"monsoondale/internal/fake/service"
	"monsoondale/internal/testhook"
	wire "monsoondale/wire/engine"
	"monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

func TestMain(m *testing.M) {
	// All meters of the process share one goroutine, so it must not start inside a synctest bubble.
	metrics.NewMeter().Stop()
	debug.SetGCPercent(400) // with the default, garbage collection takes a fifth of the time of hundreds of deployments
	flag.Parse()
	code := m.Run()
	if code == 0 && *writePage {
		if err := page.save(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

const (
	region = "r"
	apiKey = "key"
	// faultTime is the duration of a fault that can end. It is longer than the pause after which an instance drops its
	// owner state (2 s), and shorter than the suspicion of an instance (5 s).
	faultTime = 4 * time.Second
	latency   = 500 * time.Microsecond
)

const template = `{
  "template": "desk", "params": [], "share": 10,
  "kinds": [
    {"name": "urgent", "tier": 0, "pool": "drafting", "deadline": "20s", "tokens": 20},
    {"name": "draft", "tier": 1, "pool": "drafting", "deadline": "20s", "tokens": 40},
    {"name": "short", "tier": 1, "pool": "drafting", "deadline": "3s", "tokens": 40},
    {"name": "review", "tier": 3, "pool": "drafting", "tokens": 200},
    {"name": "v%d", "tier": 2, "pool": "drafting", "tokens": 20},
    {"name": "engrave", "tier": 0, "pool": "orders", "service": "orders", "once": true, "method": "POST", "path": "/engrave", "deadline": "20s"},
    {"name": "stock", "tier": 2, "pool": "orders", "service": "orders", "method": "GET", "path": "/stock/", "deadline": "20s"}
  ]
}`

var tiers = map[string]int{"urgent": 0, "draft": 1, "short": 1, "review": 3}

// run is one deployment in a synctest bubble. Its subject is the request at whose steps faults are injected.
type run struct {
	t           *testing.T
	network     *network.Network
	fleet       *fleet.Fleet
	stop        map[string]context.CancelFunc // of instances
	holder      string
	owner       string // owner of the shard that the subject asks first
	workload    string
	traffic     sync.WaitGroup
	stopTraffic chan struct{}

	mu              sync.Mutex
	subject         string // request id
	armed           bool
	step            string // at which the fault is injected
	inject          func()
	injected        chan struct{}
	orderKey        string // of the subject
	subjectEndpoint string // endpoint that received the subject
	history         check.History
	executing       map[*check.Execution]struct{}
	requestTiers    map[string]int // tiers of the requests that an endpoint received
	streamEvents    map[string]int
	dead            map[string]bool
}

// options configure the deployment of a run.
type options struct {
	workload string
	settings func(map[string]any)
	engine   engine.Options
	service  service.Options
	services int
	listLag  time.Duration
}

// start starts a deployment and waits until it serves the configuration.
func start(t *testing.T, o options) *run {
	r := &run{
		t: t, network: network.New(latency), stop: map[string]context.CancelFunc{}, workload: o.workload, stopTraffic: make(chan struct{}),
		injected: make(chan struct{}), executing: map[*check.Execution]struct{}{}, requestTiers: map[string]int{}, streamEvents: map[string]int{},
		dead: map[string]bool{},
	}
	r.history.Killed = map[string]time.Time{}
	r.history.TierOf = func(a check.Answer) (int, string) {
		if a.Chat != nil {
			return tiers[a.Chat.Model], "drafting"
		}
		return lo.Ternary(a.OrderKey != "", 0, 2), "orders"
	}
	e := o.engine
	e.Model, e.ReportLag = "drafting", 300*time.Millisecond
	if e.DecodeRate == 0 {
		e.DecodeRate = 100
	}
	o.service.Delay = max(o.service.Delay, 100*time.Millisecond)
	var err error
	r.fleet, err = fleet.Start(t.Context(), fleet.Options{
		Region: region, Centres: 2, Instances: 4, ListLag: max(o.listLag, 200*time.Millisecond),
		Engines:  []fleet.EnginePool{{Pool: "drafting", Count: 3, Options: e}},
		Services: []fleet.ServicePool{{Pool: "orders", Count: max(1, o.services), Options: o.service}},
		Network:  func(p string) fleet.Network { return r.network.Host(p) },
		Wrap:     r.observe, Launch: r.launch, Settings: o.settings,
	})
	r.must(err)
	r.chooseRoles()
	time.Sleep(2 * time.Second)
	r.must(r.fleet.Put(t.Context(), 0, "template", "desk", fmt.Sprintf(template, 0)))
	r.must(r.fleet.Put(t.Context(), 0, "workspace", "hel", fmt.Sprintf(`{"workspace":"hel","template":"desk","params":{},"keys":[%q]}`, fleet.HashKey(apiKey))))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r.must(r.fleet.WaitModelListed(ctx, apiKey, "draft"))
	time.Sleep(2 * time.Second)
	return r
}

func (r *run) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// launch starts an instance on the simulated network, with a probe that reports its steps.
func (r *run) launch(ctx context.Context, b []byte) (fleet.RunningInstance, error) {
	s, err := instance.ParseSettings("settings", b, "")
	if err != nil {
		return nil, err
	}
	name := string(s.Name)
	ctx, r.stop[name] = context.WithCancel(context.WithoutCancel(ctx))
	return instance.Start(ctx, instance.Options{
		Settings: s, Log: logr.Discard(), Network: r.network.Host(name), Probe: testhook.Probe{
			OnStep: func(s testhook.Step, at core.InstanceID, q core.RequestID) {
				r.reachStep(string(s), string(at), string(q))
			},
			OnControlStep: func() { r.network.WaitUnfrozen(name) },
		},
	})
}

// chooseRoles picks two instances of the first data centre: the owner, which owns the shard that requests in this centre
// prefer, and the holder, which is the other one.
func (r *run) chooseRoles() {
	pool := lo.Ternary(r.workload == "order", "orders", "drafting")
	ids := lo.Map(r.fleet.Instances, func(i *fleet.Instance, _ int) routing.Instance {
		return routing.Instance{ID: core.InstanceID(i.Name), Centre: core.DataCentre(i.Centre)}
	})
	c := routing.Candidates(ids, pool+"/"+region+"-1/0", region+"-1")
	r.owner, r.holder = string(c[0]), string(c[1])
}

// arm calls inject when the subject reaches the step. If the subject is an order, orderKey is its key.
func (r *run) arm(step, orderKey string, inject func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed, r.step, r.orderKey, r.inject, r.subject = true, step, orderKey, inject, ""
}

// reachStep handles a step that a process reports. The first request that the holder accepts while armed is the subject;
// background traffic does not use the holder.
func (r *run) reachStep(step, process, request string) {
	r.mu.Lock()
	if r.armed && r.subject == "" && step == string(testhook.Accepted) && process == r.holder {
		r.subject = request
	}
	var inject func()
	if r.armed && r.inject != nil && step == r.step && (request == "" || request == r.subject) {
		inject, r.inject = r.inject, nil
		defer close(r.injected)
	}
	r.mu.Unlock()
	if inject != nil {
		inject()
	}
}

var tierMarker = regexp.MustCompile(`tier=(\d)`)

// observe wraps the handler of a stand-in. It records what endpoints execute and reports the steps that messages to the
// stand-ins mark.
func (r *run) observe(process string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch {
		case process == "objects":
			r.observeObjects(w, req, h)
		case process == "list":
			h.ServeHTTP(w, req)
			if req.Method == http.MethodPut {
				r.reachStep("leaving listed", "", "")
			}
		case req.URL.Path == "/orders":
			r.reachStep(lo.Ternary(req.Method == http.MethodPost, "command received", "read back"), process, "")
			h.ServeHTTP(w, req)
		case req.URL.Path == "/log", strings.HasPrefix(req.URL.Path, "/load"), strings.HasPrefix(req.URL.Path, "/cache"), req.Method == http.MethodDelete:
			h.ServeHTTP(w, req)
		default:
			r.observeEndpoint(process, w, req, h)
		}
	})
}

func (r *run) observeObjects(w http.ResponseWriter, req *http.Request, h http.Handler) {
	step := ""
	if req.Method == http.MethodPut {
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		switch kind, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/objects/"), "/"); kind {
		case "claim":
			step = r.claimStep(string(body))
		case "report":
			step = "report published"
		case "lease":
			step = "lease written"
		default:
			step = "change written"
		}
	}
	h.ServeHTTP(w, req)
	if step != "" {
		r.reachStep(step, "", "")
	}
}

// claimStep returns the step that a written claim object marks for the subject, or "".
func (r *run) claimStep(body string) string {
	r.mu.Lock()
	key := order.HashKey(core.OrderKey("hel/" + r.orderKey))
	r.mu.Unlock()
	for _, c := range check.Claims([]platform.Item{{Kind: "claim", Value: body}}) {
		if c.Key == key {
			return lo.Ternary(c.State == peer.ClaimStateClaimed, "claim written", "result recorded")
		}
	}
	return ""
}

func (r *run) observeEndpoint(process string, w http.ResponseWriter, req *http.Request, h http.Handler) {
	id := req.Header.Get("X-Request-Id")
	body, err := io.ReadAll(req.Body)
	if err != nil { // the connection broke while the body was read
		panic(http.ErrAbortHandler)
	}
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	execution := &check.Execution{Endpoint: process, Request: id, From: time.Now(), Pool: lo.Ternary(strings.Contains(process, "drafting"), "drafting", "orders")}
	r.mu.Lock()
	switch m := tierMarker.FindSubmatch(body); {
	case m != nil:
		execution.Tier, _ = strconv.Atoi(string(m[1]))
		r.requestTiers[id] = execution.Tier
	case execution.Pool == "orders":
		execution.Tier = lo.Ternary(req.Method == http.MethodPost, 0, 2)
	default:
		execution.Tier, execution.Resumed = r.requestTiers[id], true
	}
	if id == r.subject && r.subjectEndpoint == "" {
		r.subjectEndpoint = process
	}
	r.executing[execution] = struct{}{}
	r.mu.Unlock()
	r.reachStep("sent", process, id)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		execution.To = time.Now()
		delete(r.executing, execution)
		r.history.Executions = append(r.history.Executions, *execution)
	}()
	h.ServeHTTP(&stepWriter{ResponseWriter: w, r: r, request: id, endpoint: process, tokens: maxTokens(body)}, req)
}

func maxTokens(body []byte) int {
	var c wire.Chat
	if json.Unmarshal(body, &c) != nil || c.MaxTokens == 0 {
		return 0
	}
	return c.MaxTokens
}

// stepWriter reports the steps that the parts of an answer mark.
type stepWriter struct {
	http.ResponseWriter
	r                 *run
	request, endpoint string
	tokens            int
	events            int
}

// Write counts the events of a stream; a plain answer is one part.
func (w *stepWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if strings.Contains(string(b), "data:") || w.tokens == 0 {
		w.events++
		if w.events == 1 {
			w.r.reachStep("first byte", w.endpoint, w.request)
		}
		if w.tokens > 0 && w.events == w.tokens/2 {
			w.r.reachStep("mid-stream", w.endpoint, w.request)
		}
	}
	if strings.Contains(string(b), "[DONE]") || w.tokens == 0 {
		w.r.reachStep("last byte", w.endpoint, w.request)
	}
	return n, err
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *stepWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *stepWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// kill ends an instance or an endpoint without a graceful shutdown.
func (r *run) kill(name string) {
	r.network.Kill(name)
	r.mu.Lock()
	if r.dead[name] {
		r.mu.Unlock()
		return
	}
	r.dead[name] = true
	r.history.Killed[name] = time.Now()
	r.mu.Unlock()
	if stop := r.stop[name]; stop != nil {
		stop()
	}
	if e := r.endpoint(name); e != nil {
		go e.Server.Stop()
	}
}

// removeDead removes killed processes from the platform's instance list.
func (r *run) removeDead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.dead {
		r.fleet.InstanceList.Remove(name)
	}
}

func (r *run) isDead(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead[name]
}

func (r *run) endpoint(name string) *fleet.Endpoint {
	e, _ := lo.Find(r.fleet.Endpoints, func(e *fleet.Endpoint) bool { return e.Name == name })
	return e
}

// endpoints names the endpoint that received the subject, or all that may receive it.
func (r *run) endpoints() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.subjectEndpoint != "" {
		return []string{r.subjectEndpoint}
	}
	return lo.FilterMap(r.fleet.Endpoints, func(e *fleet.Endpoint, _ int) (string, bool) {
		return e.Name, e.Centre == region+"-1" && e.Pool == lo.Ternary(r.workload == "order", "orders", "drafting")
	})
}

// client returns a caller that uses the named instance.
func (r *run) client(name string) *check.Client {
	for n, i := range r.fleet.Instances {
		if i.Name == name {
			return r.fleet.Client(n, apiKey, "clerk")
		}
	}
	panic("no instance " + name)
}

func (r *run) recordAnswer(a check.Answer) check.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Answers = append(r.history.Answers, a)
	return a
}

func (r *run) chat(name, kind string, tokens int) check.Answer {
	c := wire.Chat{
		Model: kind, MaxTokens: tokens, Stream: true,
		Messages: []wire.Message{{Role: "user", Content: fmt.Sprintf("tier=%d %s", tiers[kind], core.NewID())}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	return r.recordAnswer(r.client(name).Chat(ctx, c, 0))
}

func (r *run) order(name, key string) check.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	return r.recordAnswer(r.client(name).Call(ctx, http.MethodPost, "/services/orders/engrave", key, fmt.Sprintf(`{"order":%q}`, key), 0))
}

// live names the instances that were not killed.
func (r *run) live() []string {
	return lo.FilterMap(r.fleet.Instances, func(i *fleet.Instance, _ int) (string, bool) { return i.Name, !r.isDead(i.Name) })
}

// others names the live instances except the holder.
func (r *run) otherInstances() []string { return lo.Without(r.live(), r.holder) }

// startBackground starts light traffic of chats and orders at all instances except the holder.
func (r *run) startBackground() {
	for n, name := range r.otherInstances() {
		r.traffic.Go(func() {
			for i := 0; !r.isDead(name); i++ {
				switch (i + n) % 4 {
				case 0:
					r.chat(name, "review", 20)
				case 1:
					r.order(name, fmt.Sprint("plate-", n, "-", i))
				default:
					r.chat(name, "draft", 10)
				}
				select {
				case <-r.stopTraffic:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
}

// finish stops the traffic and the deployment. It returns the violations that the checker found.
func (r *run) finish() []check.Violation {
	select {
	case <-r.stopTraffic:
	default:
		close(r.stopTraffic)
	}
	r.traffic.Wait()
	r.history.End = time.Now()
	for _, e := range r.fleet.Endpoints {
		l := check.Log{Endpoint: e.Name, Pool: e.Pool}
		if e.Engine != nil {
			l.Items = e.Engine.Log().Items
		} else {
			l.Items = e.Service.Log().Items
		}
		r.history.Logs = append(r.history.Logs, l)
	}
	r.mu.Lock()
	for s := range r.executing {
		r.history.Executions = append(r.history.Executions, *s)
	}
	r.mu.Unlock()
	for _, i := range r.fleet.Instances {
		r.kill(i.Name)
	}
	for _, p := range append(lo.Map(r.fleet.Endpoints, func(e *fleet.Endpoint, _ int) string { return e.Name }), "objects", "list", fleet.ClientProcess) {
		r.network.Kill(p)
	}
	r.network.Heal()
	r.fleet.StopFakes()
	// Longer than any timer of the goroutines of killed instances, so that all of them end.
	time.Sleep(30 * time.Minute)
	return r.history.Verify()
}

// markLeaving lists an endpoint as leaving in the platform's instance list.
func (r *run) markLeaving(name string) {
	for _, it := range r.fleet.InstanceList.Visible().Items {
		if it.Name == name {
			it.State = platform.InstanceStateLeaving
			r.fleet.InstanceList.Put(it)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Leaving = append(r.history.Leaving, check.Leaving{Endpoint: name, At: time.Now()})
}
