// Package instancelist is a fake of the platform's instance list, which shows changes with a delay.
package instancelist

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"monsoondale/internal/fake"
	"monsoondale/wire/platform"
)

// Options configures a List.
type Options struct {
	Lag time.Duration // delay until a change is visible
}

// Fault is the document of PUT /fault.
type Fault struct {
	Down   bool `json:"down,omitempty"`   // answer 503
	Hang   bool `json:"hang,omitempty"`   // accept calls but send no answers
	Slow   int  `json:"slow,omitempty"`   // additional latency in milliseconds
	Lag    int  `json:"lag,omitempty"`    // additional lag in milliseconds
	Frozen bool `json:"frozen,omitempty"` // keep showing what the first read under this fault returned
}

// snapshot is the content of the list after a change.
type snapshot struct {
	at   time.Time
	list platform.Instances
}

// List is the fake instance list. It implements http.Handler.
type List struct {
	fake.FaultControl[Fault]
	opts Options
	mux  *http.ServeMux

	mu      sync.Mutex
	items   map[string]platform.Instance
	history []snapshot // ascending by time; the last one is the current content
	frozen  *platform.Instances
	reads   int
}

// New returns an empty list.
func New(o Options) *List {
	l := &List{opts: o, mux: http.NewServeMux(), items: map[string]platform.Instance{}}
	l.mux.Handle("/fault", &l.FaultControl)
	l.mux.HandleFunc("GET /instances", l.get)
	l.mux.HandleFunc("PUT /instances/{name}", l.put)
	l.mux.HandleFunc("DELETE /instances/{name}", l.remove)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Put adds or replaces an entry.
func (l *List) Put(it platform.Instance) {
	l.update(func() { l.items[it.Name] = it })
}

// Remove removes an entry.
func (l *List) Remove(name string) {
	l.update(func() { delete(l.items, name) })
}

// Reads returns the number of reads over HTTP since the start.
func (l *List) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Visible returns the content that readers see now.
func (l *List) Visible() platform.Instances {
	f := l.Fault()
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Frozen && l.frozen != nil {
		return *l.frozen
	}
	until := time.Now().Add(-l.opts.Lag - fake.Millis(f.Lag))
	out := platform.Instances{Items: []platform.Instance{}}
	for _, s := range l.history {
		if s.at.After(until) {
			break
		}
		out = s.list
	}
	l.frozen = nil
	if f.Frozen {
		l.frozen = &out
	}
	return out
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	fake.WriteJSON(w, http.StatusOK, l.Visible())
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	var it platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&it); err != nil {
		fake.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	it.Name = r.PathValue("name")
	it.State = cmp.Or(it.State, platform.InstanceStateLive)
	l.Put(it)
	fake.WriteJSON(w, http.StatusOK, it)
}

func (l *List) remove(w http.ResponseWriter, r *http.Request) {
	if l.admit(w, r) {
		l.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	}
}

func (l *List) update(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
	now := time.Now()
	items := slices.SortedFunc(maps.Values(l.items), func(x, y platform.Instance) int { return cmp.Compare(x.Name, y.Name) })
	revision := 1
	if n := len(l.history); n > 0 {
		revision = l.history[n-1].list.Revision + 1
	}
	l.history = append(l.history, snapshot{at: now, list: platform.Instances{Revision: revision, Items: items}})
	if len(l.history) > 10_000 { // bounds the memory of long runs; no lag in use spans that many changes
		l.history = slices.Clone(l.history[5_000:])
	}
}

func (l *List) admit(w http.ResponseWriter, r *http.Request) bool {
	f := l.Fault()
	if !fake.Sleep(r.Context(), fake.Millis(f.Slow)) || !l.WaitWhile(r.Context(), func(f Fault) bool { return f.Hang }) {
		return false
	}
	if l.Fault().Down {
		fake.WriteError(w, http.StatusServiceUnavailable, "the instance list is down")
		return false
	}
	return true
}
