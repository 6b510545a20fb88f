// Package service is a fake of a plain order service.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/internal/fake"
	"monsoondale/wire/engine"
)

// Route is a path of the service. Each call of a POST route has an effect; calls are not deduplicated.
type Route struct {
	Method string
	Path   string        // exact, or a prefix if it ends with a slash
	Field  string        // field of the JSON body by which effects are counted, such as an order number
	Delay  time.Duration // before the effect
}

// Options configures a Service. If Routes is empty, DefaultRoutes is used.
type Options struct {
	Name   string
	Routes []Route
	Delay  time.Duration // added to each route's delay
}

// DefaultRoutes are the routes of both demo deployments: engraving and badge orders, payments, stock and status.
var DefaultRoutes = []Route{
	{Method: http.MethodPost, Path: "/engrave", Field: "order"},
	{Method: http.MethodPost, Path: "/badges", Field: "order"},
	{Method: http.MethodPost, Path: "/pay", Field: "payment"},
	{Method: http.MethodGet, Path: "/stock/"},
	{Method: http.MethodGet, Path: "/status/"},
}

// Fault is the document of PUT /fault. From Lose on, n affects the next n calls and -1 all of them.
type Fault struct {
	Down   bool `json:"down,omitempty"`   // answer 503 without effect
	Freeze bool `json:"freeze,omitempty"` // accept calls, but do nothing and send no answers
	Slow   int  `json:"slow,omitempty"`   // additional delay in milliseconds before the effect
	Late   int  `json:"late,omitempty"`   // additional delay in milliseconds between effect and answer
	Lose   int  `json:"lose,omitempty"`   // calls that take effect, but whose answer is lost
	Drop   int  `json:"drop,omitempty"`   // calls that are lost before they take effect
	Reject int  `json:"reject,omitempty"` // calls answered 500 without effect
	Swap   int  `json:"swap,omitempty"`   // answers that carry another request's id
	Short  int  `json:"short,omitempty"`  // answers that end in the middle of their body
}

// Service is the fake service. It implements http.Handler.
type Service struct {
	fake.FaultControl[Fault]
	opts Options

	mu      sync.Mutex
	runs    []*engine.Run
	effects map[string]int // by field and value, such as "order 17"
}

// New returns a service.
func New(o Options) *Service {
	if len(o.Routes) == 0 {
		o.Routes = DefaultRoutes
	}
	return &Service{opts: o, effects: map[string]int{}}
}

// Log returns one entry per request id in order of arrival. The key of an entry is the business key; its state is done
// once the effect has taken place.
func (s *Service) Log() engine.Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := engine.Log{Items: []engine.Run{}}
	for _, r := range s.runs {
		out.Items = append(out.Items, *r)
	}
	return out
}

// Effects returns the number of effects of a business key, such as "order 17".
func (s *Service) Effects(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[key]
}

// Stock returns the stock that the service reports for a path. It depends only on the path.
func Stock(path string) int { return int(xxhash.Sum64String(path) % 1000) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fault":
		s.FaultControl.ServeHTTP(w, r)
		return
	case "/log":
		fake.WriteJSON(w, http.StatusOK, s.Log())
		return
	}
	i := slices.IndexFunc(s.opts.Routes, func(t Route) bool {
		return t.Method == r.Method && (t.Path == r.URL.Path || strings.HasSuffix(t.Path, "/") && strings.HasPrefix(r.URL.Path, t.Path))
	})
	if i < 0 {
		fake.WriteError(w, http.StatusNotFound, "no such path")
		return
	}
	s.serve(w, r, s.opts.Routes[i])
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request, route Route) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		fake.WriteError(w, http.StatusBadRequest, "X-Request-Id is required")
		return
	}
	key := ""
	if route.Field != "" {
		var fields map[string]any
		if json.Unmarshal(body, &fields) != nil {
			fake.WriteError(w, http.StatusBadRequest, "the body must be a JSON object")
			return
		}
		value, _ := fields[route.Field].(string)
		key = route.Field + " " + value
	}
	if !s.WaitWhile(r.Context(), func(f Fault) bool { return f.Freeze }) {
		return
	}
	f := s.Fault()
	if f.Down {
		fake.WriteError(w, http.StatusServiceUnavailable, "the service is down")
		return
	}
	if s.ConsumeFault(func(f *Fault) *int { return &f.Drop }) {
		fake.AbortConnection()
	}
	run := s.logDispatch(id, key, r.URL.Path)
	reject := s.ConsumeFault(func(f *Fault) *int { return &f.Reject })
	// A service finishes its work even if the client disconnects.
	time.Sleep(s.opts.Delay + route.Delay + fake.Millis(f.Slow))
	effects := s.finish(run, key, reject)
	time.Sleep(fake.Millis(f.Late))
	if reject {
		fake.WriteError(w, http.StatusInternalServerError, "the service failed")
		return
	}
	if s.ConsumeFault(func(f *Fault) *int { return &f.Lose }) {
		fake.AbortConnection()
	}
	s.writeAnswer(w, r, id, key, effects)
}

// writeAnswer sends an answer that a checker can compute: the path and, depending on the route, the business key and
// the number of its effects, or the value looked up.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, id, key string, effects int) {
	out := map[string]any{"path": r.URL.Path}
	switch last := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]; {
	case key != "":
		out["key"], out["accepted"], out["effect"] = key, true, effects
	case strings.HasPrefix(r.URL.Path, "/status/"):
		out["effects"] = s.Effects("order " + last)
	default:
		out["stock"] = Stock(r.URL.Path)
	}
	if s.ConsumeFault(func(f *Fault) *int { return &f.Swap }) {
		id = "other-" + id
	}
	w.Header().Set("X-Request-Id", id)
	if s.ConsumeFault(func(f *Fault) *int { return &f.Short }) {
		w.Header().Set("Content-Length", "4096")
		_, _ = io.WriteString(w, `{"path":`)
		_ = http.NewResponseController(w).Flush() // the connection is closed in any case
		fake.AbortConnection()
	}
	fake.WriteJSON(w, http.StatusOK, out)
}

// logDispatch logs a received call and returns its log entry.
func (s *Service) logDispatch(id, key, path string) *engine.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.runs, func(r *engine.Run) bool { return r.Request == id })
	if i < 0 {
		i = len(s.runs)
		s.runs = append(s.runs, &engine.Run{
			Request: id, Key: key, Path: path, Start: int(time.Now().UnixMilli()), State: engine.RunStateRunning,
		})
	}
	s.runs[i].Dispatches++
	return s.runs[i]
}

// finish ends the run, applies the effect unless the call is rejected, and returns the number of effects of the key.
func (s *Service) finish(run *engine.Run, key string, rejected bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.End = int(time.Now().UnixMilli())
	if rejected {
		run.State = engine.RunStateFailed
		return 0
	}
	run.State = engine.RunStateDone
	if key != "" {
		s.effects[key]++
	}
	return s.effects[key]
}
