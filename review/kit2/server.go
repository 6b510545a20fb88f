package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/io/proxy"
	"monsoondale/platform"
	"monsoondale/platform/fake"
	"monsoondale/platform/wire"
)

// arrival is a request that has reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
	ran    bool
}

// backend is a server of a plain service. It runs requests in slots and queues the others.
type backend struct {
	id, service string
	http        *httptest.Server
	slots       int
	work        time.Duration
	busy        chan struct{}

	mu       sync.Mutex
	arrivals []arrival
	ended    bool
}

const (
	serverSlots = 6
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
func (b *backend) entry(born int) wire.Server {
	address, zone, version, state, seq, cold := b.address(), "fi-south-a", "v1", "ready", 1, 0.0
	return wire.Server{Service: &b.service, Addr: &address, Zone: &zone, Version: &version, Slots: &b.slots, State: &state, ColdLeftMs: &cold, Seq: &seq, Born: &born}
}

// signatureHeader returns the name of the header with the signature of a server, as the project's stand-in sends it.
var signatureHeader = sync.OnceValue(func() string {
	e := fake.NewEndpoint("probe", nil)
	defer e.Close()
	r := fake.NewRequest(e.Address(), "/again/", "probe", time.Second)
	for name := range expectation("probe") {
		r.Header.Set(name, "probe")
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		panic(err) // the stand-in listens on a loopback address
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		if strings.HasPrefix(values[0], "seal-of-") {
			return name
		}
	}
	panic("the stand-in has not signed its response")
})

// expectation returns the header with which a machine names the server that it expects.
func expectation(id string) http.Header {
	h, out := http.Header{}, http.Header{}
	platform.HeaderCodec{}.SetForwardHeaders(h, proxy.ForwardInfo{Endpoint: core.EndpointID(id)})
	for name, values := range h {
		if values[0] == id {
			out.Set(name, id)
		}
	}
	return out
}

// expected reports whether a request may be meant for a server.
func expected(h http.Header, id string) bool {
	for name := range expectation(id) {
		if v := h.Get(name); v != "" && v != id {
			return false
		}
	}
	return true
}

// ServeHTTP serves one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("Request-Id")
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the sender has left
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	switch {
	case r.URL.Path == "/health":
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusOK)
		return
	case !expected(r.Header, b.id):
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.busy }()
	b.record(arrival{id: id, server: b.id, at: at, ran: true})
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	text := "answer to " + id + " with " + strconv.FormatInt(size, 10) + " bytes"
	h.Set(signatureHeader(), "seal."+b.id+"."+id)
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
