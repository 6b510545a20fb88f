// Package objectapi is a fake of the platform's object API.
package objectapi

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"monsoondale/internal/fake"
	"monsoondale/wire/platform"
)

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Options configures an API. Reads and Writes limit the calls per second; 0 means unlimited.
type Options struct {
	Reads, Writes float64
	Latency       time.Duration // added to each call
}

// Fault is the document of PUT /fault. For Lose and Drop, n affects the next n writes and -1 all of them.
type Fault struct {
	Down     bool   `json:"down,omitempty"`     // answer 503 without effect
	Hang     bool   `json:"hang,omitempty"`     // accept calls but send no answers
	Slow     int    `json:"slow,omitempty"`     // additional latency in milliseconds
	Lose     int    `json:"lose,omitempty"`     // writes that take effect, but whose answer is lost
	Drop     int    `json:"drop,omitempty"`     // writes that are lost before they take effect
	Throttle bool   `json:"throttle,omitempty"` // answer 429
	Compact  bool   `json:"compact,omitempty"`  // delete tombstones: watches from older revisions get 410
	Kind     string `json:"kind,omitempty"`     // if set, only calls of this kind are affected
}

// Counters counts calls since the start. Waiting is the current number of waiting watches.
type Counters struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Watches   int `json:"watches"`
	Waiting   int `json:"waiting"`
	Conflicts int `json:"conflicts"`
	Throttled int `json:"throttled"`
	Lost      int `json:"lost"`
}

type key struct{ kind, name string }

// API is the fake object API. It implements http.Handler.
type API struct {
	fake.FaultControl[Fault]
	opts          Options
	mux           *http.ServeMux
	reads, writes *rate.Limiter

	mu             sync.Mutex
	objects        map[key]platform.Item
	revision       int
	oldestRevision int // watches from revisions below this one get 410
	changed        chan struct{}
	counters       Counters
}

// New returns an empty API.
func New(o Options) *API {
	a := &API{
		opts: o, mux: http.NewServeMux(), reads: newLimiter(o.Reads), writes: newLimiter(o.Writes),
		objects: map[key]platform.Item{}, changed: make(chan struct{}),
	}
	a.mux.Handle("/fault", &a.FaultControl)
	a.mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { fake.WriteJSON(w, http.StatusOK, a.Counters()) })
	a.mux.HandleFunc("GET /objects/{kind}", a.list)
	a.mux.HandleFunc("GET /objects/{kind}/{name}", a.get)
	a.mux.HandleFunc("PUT /objects/{kind}/{name}", a.write)
	a.mux.HandleFunc("DELETE /objects/{kind}/{name}", a.write)
	return a
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Counters returns a copy of the call counters.
func (a *API) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters
}

// Items returns the objects of a kind ascending by version, tombstones included.
func (a *API) Items(kind string) []platform.Item {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changedAfter(kind, 0)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, r, a.reads, &a.counters.Reads) {
		return
	}
	a.mu.Lock()
	it, ok := a.objects[key{r.PathValue("kind"), r.PathValue("name")}]
	a.mu.Unlock()
	if ok {
		w.Header().Set("ETag", etag(it.Version))
	}
	if !ok || it.Deleted {
		fake.WriteError(w, http.StatusNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, it.Value) // an error means that the client has disconnected
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	q := r.URL.Query()
	if !q.Has("after") {
		if a.admit(w, r, a.reads, &a.counters.Reads) {
			a.mu.Lock()
			out := platform.Items{Revision: a.revision, Items: a.changedAfter(kind, 0)}
			a.mu.Unlock()
			fake.WriteJSON(w, http.StatusOK, out)
		}
		return
	}
	after, afterErr := strconv.Atoi(q.Get("after"))
	wait, waitErr := strconv.ParseFloat(lo.CoalesceOrEmpty(q.Get("wait"), "0"), 64)
	if afterErr != nil || waitErr != nil || wait < 0 {
		fake.WriteError(w, http.StatusBadRequest, "after must be a revision and wait a number of seconds")
		return
	}
	if !a.admit(w, r, a.reads, &a.counters.Watches) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait*float64(time.Second)))
	defer cancel()
	out, ok := a.watch(ctx, kind, after)
	if r.Context().Err() != nil || !a.applyOutage(w, r) { // an outage that began meanwhile also ends waiting watches
		return
	}
	if !ok {
		fake.WriteError(w, http.StatusGone, "the revision is too old; list the objects")
		return
	}
	fake.WriteJSON(w, http.StatusOK, out)
}

// watch waits until an object of the kind changes after the revision, the kind's Down fault is set or ctx ends, and
// returns the changed objects. It reports false if the revision is too old.
func (a *API) watch(ctx context.Context, kind string, after int) (platform.Items, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.Waiting++
	defer func() { a.counters.Waiting-- }()
	for {
		if after < a.oldestRevision {
			return platform.Items{}, false
		}
		out := platform.Items{Revision: a.revision, Items: a.changedAfter(kind, after)}
		changed, faultChanged := a.changed, a.FaultChanged()
		down := a.faultFor(kind).Down
		a.mu.Unlock()
		ended := len(out.Items) > 0 || down
		if !ended {
			select {
			case <-changed:
			case <-faultChanged:
			case <-ctx.Done():
				ended = true
			}
		}
		a.mu.Lock()
		if ended {
			return out, true
		}
	}
}

func (a *API) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
	if err != nil {
		fake.WriteError(w, http.StatusRequestEntityTooLarge, "the value exceeds 1 MB")
		return
	}
	if !a.admit(w, r, a.writes, &a.counters.Writes) {
		return
	}
	kind := r.PathValue("kind")
	affected := a.faultFor(kind) != Fault{}
	if affected && a.ConsumeFault(func(f *Fault) *int { return &f.Drop }) {
		a.increment(&a.counters.Lost)
		fake.AbortConnection()
	}
	result, status := a.apply(r, body)
	if status == http.StatusOK && affected && a.ConsumeFault(func(f *Fault) *int { return &f.Lose }) {
		a.increment(&a.counters.Lost)
		fake.AbortConnection()
	}
	if result.Version > 0 {
		w.Header().Set("ETag", etag(result.Version))
	}
	switch status {
	case http.StatusOK:
		result.Value = "" // the client sent the value itself
		fake.WriteJSON(w, status, result)
	case http.StatusConflict:
		fake.WriteJSON(w, status, result)
	default:
		fake.WriteError(w, status, "send If-Match with a quoted version, or If-None-Match: *")
	}
}

// apply performs a conditional write and returns the resulting object and the HTTP status. If the condition is not met,
// the object is the current one.
func (a *API) apply(r *http.Request, body []byte) (platform.Item, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := key{r.PathValue("kind"), r.PathValue("name")}
	current, exists := a.objects[k]
	if !exists {
		current = platform.Item{Kind: k.kind, Name: k.name, Deleted: true}
	}
	ifMatch, ifNoneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	var ok bool
	switch {
	case ifMatch != "" && ifNoneMatch == "":
		ok = !current.Deleted && ifMatch == etag(current.Version)
	case ifNoneMatch == "*" && ifMatch == "" && r.Method == http.MethodPut:
		ok = current.Deleted
	default:
		return current, http.StatusBadRequest
	}
	if !ok {
		a.counters.Conflicts++
		return current, http.StatusConflict
	}
	a.revision++
	next := platform.Item{Kind: k.kind, Name: k.name, Version: a.revision}
	if r.Method == http.MethodDelete {
		next.Deleted = true
	} else {
		next.Value = string(body)
	}
	a.objects[k] = next
	close(a.changed)
	a.changed = make(chan struct{})
	return next, http.StatusOK
}

// changedAfter returns the objects of a kind that changed after a revision, ascending by version. a.mu is held.
func (a *API) changedAfter(kind string, revision int) []platform.Item {
	items := lo.Filter(slices.Collect(maps.Values(a.objects)), func(it platform.Item, _ int) bool {
		return it.Kind == kind && it.Version > revision
	})
	slices.SortFunc(items, func(x, y platform.Item) int { return cmp.Compare(x.Version, y.Version) })
	return items
}

// admit counts a call and applies latency, faults and the rate limit. It reports false if the call has been answered or
// its client has disconnected.
func (a *API) admit(w http.ResponseWriter, r *http.Request, l *rate.Limiter, counter *int) bool {
	a.increment(counter)
	a.compactIfRequested()
	f := a.faultFor(r.PathValue("kind"))
	if !fake.Sleep(r.Context(), a.opts.Latency+fake.Millis(f.Slow)) || !a.applyOutage(w, r) {
		return false
	}
	if f.Throttle || !l.Allow() {
		a.increment(&a.counters.Throttled)
		w.Header().Set("Retry-After", "1")
		fake.WriteError(w, http.StatusTooManyRequests, "too many calls")
		return false
	}
	return true
}

// applyOutage applies the faults hang and down. It reports false if the call must not proceed.
func (a *API) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	kind := r.PathValue("kind")
	if !a.WaitWhile(r.Context(), func(Fault) bool { return a.faultFor(kind).Hang }) {
		return false
	}
	if a.faultFor(kind).Down {
		fake.WriteError(w, http.StatusServiceUnavailable, "the object API is down")
		return false
	}
	return true
}

func (a *API) faultFor(kind string) Fault {
	f := a.Fault()
	if f.Kind != "" && f.Kind != kind {
		return Fault{}
	}
	return f
}

func (a *API) compactIfRequested() {
	if !a.Fault().Compact {
		return
	}
	a.UpdateFault(func(f *Fault) { f.Compact = false })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.oldestRevision = a.revision
	maps.DeleteFunc(a.objects, func(_ key, it platform.Item) bool { return it.Deleted })
}

func (a *API) increment(n *int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*n++
}

func etag(version int) string { return `"` + strconv.Itoa(version) + `"` }

// ParseETag returns the version in an ETag of this API, or 0 if the tag is malformed.
func ParseETag(tag string) int {
	n, _ := strconv.Atoi(strings.Trim(tag, `"`)) // versions start at 1
	return n
}
