package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
	ran    bool
}

// backend is a server of a plain service. It runs requests in slots and queues a few more.
type backend struct {
	id, service string
	http        *httptest.Server
	slots       int
	work        time.Duration
	busy        chan struct{}
	waiting     atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	ended    bool
}

const (
	serverSlots = 6
	serverQueue = 24
	serverWork  = 60 * time.Millisecond
)

func newBackend(id, service string) (*backend, error) {
	b := &backend{id: id, service: service, slots: serverSlots, work: serverWork, busy: make(chan struct{}, serverSlots)}
	b.http = httptest.NewUnstartedServer(b)
	b.http.Config.IdleTimeout = 5 * time.Second
	b.http.Start()
	return b, nil
}

func (b *backend) address() string { return strings.TrimPrefix(b.http.URL, "http://") }

// end ends the server.
func (b *backend) end() {
	b.mu.Lock()
	was := b.ended
	b.ended = true
	b.mu.Unlock()
	if !was {
		b.http.CloseClientConnections()
		b.http.Close()
	}
}

// entry returns what the server writes of itself to the store.
func (b *backend) entry(born int) map[string]any {
	return map[string]any{
		"service": b.service, "addr": b.address(), "zone": "fi-south-a", "version": "v1", "slots": b.slots, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": born,
	}
}

// ServeHTTP serves one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has left
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	notRun := func(status int) {
		b.record(arrival{id: id, server: b.id, at: at})
		h.Set("Not-Run", "1")
		w.WriteHeader(status)
	}
	running, waiting := len(b.busy), b.waiting.Load()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, b.slots))
	switch {
	case r.URL.Path == "/health":
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusOK)
		return
	case id == "":
		notRun(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != b.id:
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case waiting >= serverQueue:
		notRun(http.StatusServiceUnavailable)
		return
	}
	b.waiting.Add(1)
	select {
	case b.busy <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.busy }()
	b.record(arrival{id: id, server: b.id, at: at, ran: true})
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	text := "answer to " + id + " with " + strconv.Itoa(len(body)) + " bytes"
	h.Set("Response-Seal", "seal."+b.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	io.WriteString(w, text) // the sender may have left
}

func (b *backend) record(a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, a)
}

func (b *backend) all() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
