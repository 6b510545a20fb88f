// Package fake holds what the stand-ins of the outside systems share. The stand-ins are test code: they speak the
// protocols of docs/design.md, section 12, and can be told to fail.
package fake

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client has gone
}

// WriteError answers with a message in the form of OpenAI errors.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// AbortConnection closes the client's connection without an answer, or in the middle of one.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Sleep waits for d on the runtime's clock. It reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Millis converts the milliseconds of a fault document.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// FaultControl holds the faults of a stand-in, as set by PUT /fault or Set. F is the fault document; its zero value means
// no fault.
type FaultControl[F any] struct {
	mu      sync.Mutex
	fault   F
	changed chan struct{} // closed on the next change
}

// Fault returns the faults in force.
func (c *FaultControl[F]) Fault() F {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// SetFault replaces the faults.
func (c *FaultControl[F]) SetFault(f F) { c.UpdateFault(func(p *F) { *p = f }) }

// UpdateFault changes the faults in place, for example to count one down.
func (c *FaultControl[F]) UpdateFault(fn func(*F)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.fault)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// ConsumeFault counts down the field that fn selects: a positive value permits that many faults, a negative one any number.
func (c *FaultControl[F]) ConsumeFault(field func(*F) *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := field(&c.fault)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// FaultChanged returns a channel that is closed when the faults change.
func (c *FaultControl[F]) FaultChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// WaitWhile blocks as long as cond holds for the faults. It reports false if ctx ended first.
func (c *FaultControl[F]) WaitWhile(ctx context.Context, cond func(F) bool) bool {
	for {
		changed := c.FaultChanged()
		if !cond(c.Fault()) {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// ServeHTTP answers PUT /fault, which replaces the faults, and GET /fault. Unknown fields are refused so that a test
// cannot set a fault that does not exist.
func (c *FaultControl[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f F
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		c.SetFault(f)
	}
	WriteJSON(w, http.StatusOK, c.Fault())
}

// ListenFunc opens a listener, as net.Listen does.
type ListenFunc func(network, address string) (net.Listener, error)

// Server serves a stand-in on a loopback address. Stop refuses new connections and breaks the open ones, as a killed
// process does; Start listens on the same address again.
type Server struct {
	handler http.Handler
	listen  ListenFunc
	mu      sync.Mutex
	addr    string
	server  *http.Server
}

// Serve listens on addr, such as 127.0.0.1:0.
func Serve(addr string, h http.Handler) (*Server, error) { return ServeOn(net.Listen, addr, h) }

// ServeOn listens on addr with another network.
func ServeOn(listen ListenFunc, addr string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, listen: listen, addr: addr}
	return s, s.Start()
}

// Addr returns the bound address as host:port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start listens again after Stop.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	l, err := s.listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(l) }(s.server) // returns when Stop closes the listener
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close() // the listener is closed in any case
		s.server = nil
	}
}
