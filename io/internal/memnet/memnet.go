// Package memnet is an in-memory network for tests that use the fake clock of testing/synctest, which does not work
// with real sockets.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects dialers to listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	dials     int
}

// New returns an empty network.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener. It replaces an earlier one at the same address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{}), address: addr(address)}
	n.listeners[address] = l
	return l
}

// Dial connects to the listener at the address. Without a listener the connection is refused.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.dials++
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: ctx.Err()}
	}
}

// Dials returns the number of calls of Dial.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }

type listener struct {
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	address addr
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes the listener refuse further connections.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return l.address }
