// Package fake provides what the fakes of the external systems share: an HTTP server, JSON answers and fault injection.
// The fakes are for tests and the demo. They implement the protocols of docs/design.md, section 12.
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
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

// WriteError answers with an error in the format of the OpenAI API.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// AbortConnection closes the client's connection, also if the answer is not complete. It does not return.
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

// Millis converts a number of milliseconds, the unit of durations in fault documents.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// FaultControl holds the injected faults of a fake, as set by PUT /fault or SetFault. F is the type of the fault
// document; its zero value means no fault.
type FaultControl[F any] struct {
	mu      sync.Mutex
	fault   F
	changed chan struct{} // closed on the next change; nil until FaultChanged is called
}

// Fault returns the current faults.
func (c *FaultControl[F]) Fault() F {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// SetFault replaces all faults.
func (c *FaultControl[F]) SetFault(f F) { c.UpdateFault(func(p *F) { *p = f }) }

// UpdateFault lets fn change the faults in place.
func (c *FaultControl[F]) UpdateFault(fn func(*F)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(&c.fault)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// ConsumeFault reports whether a counted fault applies now. The selected field holds the number of times that the fault
// applies; each call decrements it. A negative field applies without limit.
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

// FaultChanged returns a channel that is closed on the next change of the faults.
func (c *FaultControl[F]) FaultChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// WaitWhile blocks while cond holds for the faults. It reports false if ctx ended first.
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

// ServeHTTP handles PUT /fault, which replaces all faults, and GET /fault. Unknown fields are rejected, so that a test
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

// ListenFunc opens a listener like net.Listen.
type ListenFunc func(network, address string) (net.Listener, error)

// Server serves a fake on a loopback address. It can be stopped and started again on the same address.
type Server struct {
	handler http.Handler
	listen  ListenFunc
	mu      sync.Mutex
	addr    string
	server  *http.Server
}

// Serve starts a server on addr, such as 127.0.0.1:0.
func Serve(addr string, h http.Handler) (*Server, error) { return ServeOn(net.Listen, addr, h) }

// ServeOn starts a server on addr whose listeners are opened by listen.
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

// Start starts the server again after Stop, on the same address.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	l, err := s.listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "listen for fake")
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(l) }(s.server) // returns when Stop closes the listener
	return nil
}

// Stop closes the listener and all connections without waiting for requests, like a killed process.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close() // the listener is closed even if there is an error
		s.server = nil
	}
}
