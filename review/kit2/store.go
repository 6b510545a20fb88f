package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoondale/platform/fake"
	"monsoondale/platform/wire"
)

// platformStore is the platform's store, as far as PROTOCOL.md tells of it and the cases need it.
type platformStore struct {
	server *httptest.Server

	mu      sync.Mutex
	rev     int
	objects map[string]map[string]*object
	events  []change
	changed chan struct{} // closed and replaced at each change
	silent  bool
	dropped int // newest revision that is no longer in the history
}

// history is how long the store keeps changes (SYSTEM.md: 20 s of history).
const history = 20 * time.Second

type object struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type objectMetadata struct {
	Name       string   `json:"name"`
	Rev        int      `json:"rev"`
	Created    int      `json:"created,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
}

type change struct {
	kind      string
	rev       int
	at        time.Time
	object    object
	tombstone bool
}

// answerTime is how long a call takes (SYSTEM.md: 4 ms an answer).
const answerTime = 4 * time.Millisecond

func newStore() *platformStore {
	s := &platformStore{rev: 10, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	s.server = httptest.NewServer(s)
	return s
}

func (s *platformStore) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

func (s *platformStore) close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// setSilent makes the store answer nothing, or answer new connections again. A connection on which a response was due meanwhile returns
// nothing further.
func (s *platformStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

func (s *platformStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator and the servers do, and returns when the store has acknowledged it.
func (s *platformStore) put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the case passed a value without a JSON form
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, &object{Metadata: objectMetadata{Name: name}, Spec: b})
	return time.Now()
}

// remove removes an object, and returns when the store has acknowledged it.
func (s *platformStore) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
	return time.Now()
}

func (s *platformStore) write(kind string, o *object) {
	s.rev++
	o.Metadata.Rev = s.rev
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, change{kind: kind, rev: s.rev, at: time.Now(), object: *o})
	s.wake()
}

func (s *platformStore) erase(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	gone := *o
	gone.Metadata.Rev = s.rev
	s.events = append(s.events, change{kind: kind, rev: s.rev, at: time.Now(), object: gone, tombstone: true})
	s.wake()
}

// ServeHTTP serves /objects/KIND, /objects/KIND/NAME and /objects/KIND/NAME/status.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, status := strings.CutSuffix(name, "/status")
	if n, err := url.PathUnescape(name); err == nil {
		name = n
	}
	var o object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	if s.silent { // nothing is done, and nothing is sent on this connection any more
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.mu.Unlock()
		s.watch(w, r, kind)
		return
	}
	code, body := s.answer(r, kind, name, status, &o)
	s.mu.Unlock()
	send(w, code, body)
}

func send(w http.ResponseWriter, code int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(b) // the caller may have left
}

// answer carries out a call other than a watch. The caller holds mu.
func (s *platformStore) answer(r *http.Request, kind, name string, status bool, o *object) (code int, body any) {
	if name == "" && o.Metadata.Name != "" {
		name = o.Metadata.Name
	}
	current := s.objects[kind][name]
	rev := o.Metadata.Rev
	if n, err := strconv.Atoi(r.URL.Query().Get("rev")); err == nil {
		rev = n
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []json.RawMessage{}
		after := r.URL.Query().Get("after")
		for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
			if n > after {
				items = append(items, encode(*s.objects[kind][n]))
			}
		}
		return http.StatusOK, wire.List{Items: items, StoreRevision: s.rev}
	case r.Method == http.MethodPost && current != nil:
		return http.StatusConflict, current
	case r.Method == http.MethodPost:
		o.Metadata.Name = name
		s.write(kind, o)
		return http.StatusCreated, o
	case current == nil:
		return http.StatusNotFound, map[string]any{}
	case r.Method == http.MethodGet:
		return http.StatusOK, current
	case rev != 0 && rev != current.Metadata.Rev:
		return http.StatusConflict, current
	case r.Method == http.MethodDelete:
		s.erase(kind, name)
		return http.StatusOK, current
	case status:
		next := *current
		next.Status = o.Status
		s.write(kind, &next)
		return http.StatusOK, next
	}
	if string(o.Spec) == string(current.Spec) { // a PUT that changes nothing
		return http.StatusOK, current
	}
	next := &object{Metadata: objectMetadata{Name: name}, Spec: o.Spec, Status: current.Status}
	s.write(kind, next)
	return http.StatusOK, next
}

// watch answers as soon as there is a change of a kind after a revision, or after the time that the call states.
func (s *platformStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err1 := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > history {
			s.dropped = s.events[0].rev
			s.events = s.events[1:]
		}
		events, changed, silent, rev, gone := []wire.Event{}, s.changed, s.silent, s.rev, since < s.dropped
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				text := encode(e.object)
				events = append(events, wire.Event{Object: &text, Tombstone: e.tombstone})
			}
		}
		s.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			send(w, http.StatusOK, wire.Events{Events: events, StoreRevision: rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns an object as the store sends it.
func encode(o object) json.RawMessage {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err) // its parts have been decoded
	}
	return b
}

// configuration returns a configuration of one service with a route for orders and one for look-ups, as the operator writes it.
func configuration(version int, service string, tenants []any) map[string]any {
	route := func(name, kind string) any {
		return fake.Route(name, kind, map[string]any{"timeout_ms": 3000, "priority": 2, "service": service})
	}
	return fake.Configuration(version, func(c map[string]any) {
		c["routes"] = []any{route("engrave-order", "non_idempotent"), route("order-status", "idempotent")}
		c["services"] = []any{map[string]any{"name": service, "max_conns": 96, "health_path": "/health"}}
		c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		c["tenants"] = tenants
	})
}

// tenant returns an entry of the configuration.
func tenant(name, key string, rate, burst float64) map[string]any {
	return map[string]any{"name": name, "api_keys": []any{key}, "rate_per_s": rate, "burst": burst, "unit": "tokens", "plain_tokens": 200}
}
