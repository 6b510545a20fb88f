// Package network is an in-memory network between named processes for tests. It also works with the fake clock of
// testing/synctest. It can block traffic between two processes in either direction, freeze processes and kill them.
package network

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxBufferedBytes bounds the unread bytes in one direction of a connection, like the socket buffers of a kernel.
const maxBufferedBytes = 1 << 20

// Network connects the processes. Bytes take the latency in each direction.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	changed   *sync.Cond // on mu; signals changes of listeners, cuts and freezes. Connections have their own condition
	hosts     map[string]*Host
	listeners map[string]*listener // by address
	lastPort  int
	cuts      map[[2]string]bool // keys are {from, to}
	frozen    map[string]bool
	conns     map[*conn]struct{}
}

// New returns a network without processes. Latency applies to each direction.
func New(latency time.Duration) *Network {
	n := &Network{
		latency: latency, hosts: map[string]*Host{}, listeners: map[string]*listener{}, cuts: map[[2]string]bool{},
		frozen: map[string]bool{}, conns: map[*conn]struct{}{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Host is a process in the network.
type Host struct {
	net    *Network
	name   string
	killed bool
}

// Host returns the running process with the name. It creates one if there is none or the last one was killed.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[name]; h != nil && !h.killed {
		return h
	}
	h := &Host{net: n, name: name}
	n.hosts[name] = h
	return h
}

// Cut blocks all bytes from one process to another. New connections between them, in either direction, time out.
func (n *Network) Cut(from, to string) { n.update(func() { n.cuts[[2]string{from, to}] = true }) }

// Restore ends a cut in one direction.
func (n *Network) Restore(from, to string) { n.update(func() { delete(n.cuts, [2]string{from, to}) }) }

// Heal ends all cuts and unfreezes all processes.
func (n *Network) Heal() { n.update(func() { clear(n.cuts); clear(n.frozen) }) }

// Freeze blocks all traffic of a process. Others can still connect to it, because the kernel completes the handshake.
func (n *Network) Freeze(name string) { n.update(func() { n.frozen[name] = true }) }

// Unfreeze ends the effect of Freeze.
func (n *Network) Unfreeze(name string) { n.update(func() { delete(n.frozen, name) }) }

// IsFrozen reports whether the process is frozen.
func (n *Network) IsFrozen(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[name]
}

// WaitUnfrozen blocks while the process is frozen.
func (n *Network) WaitUnfrozen(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.frozen[name] {
		n.changed.Wait()
	}
}

// ResetConns resets the connections between two processes. New ones are possible.
func (n *Network) ResetConns(a, b string) {
	n.update(func() {
		for c := range n.conns {
			if c.local == a && c.remote == b || c.local == b && c.remote == a {
				c.in.err = errReset
			}
		}
	})
}

// Kill ends a process: its listeners are closed and all its connections are reset. Further network calls of the process
// fail.
func (n *Network) Kill(name string) {
	n.update(func() {
		if h := n.hosts[name]; h != nil {
			h.killed = true
		}
		delete(n.frozen, name)
		for _, l := range n.listeners {
			if l.host.name == name {
				l.close()
			}
		}
		for c := range n.conns {
			if c.local == name || c.remote == name {
				c.in.err = errReset
				c.killed = c.killed || c.local == name
			}
		}
	})
}

// update applies a change and wakes all waiters.
func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.changed.Broadcast()
	for c := range n.conns {
		c.wake.Broadcast()
	}
}

var errReset error = syscall.ECONNRESET

// isStalled reports whether bytes from one process do not reach another. n.mu is held.
func (n *Network) isStalled(from, to string) bool {
	return n.cuts[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
}

// wakeAfter wakes the waiters of a condition after d.
func (n *Network) wakeAfter(d time.Duration, wake *sync.Cond) *time.Timer {
	return time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		wake.Broadcast()
	})
}

// Listen opens a listener. Port 0 selects a free port.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.killed {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRNOTAVAIL}
	}
	if ip, ok := strings.CutSuffix(address, ":0"); ok {
		n.lastPort++
		address = fmt.Sprintf("%s:%d", ip, 10000+n.lastPort)
	}
	if l := n.listeners[address]; l != nil && !l.closed {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: addr(address)}
	n.listeners[address] = l
	return l, nil
}

// DialContext opens a connection. Its errors are of type *net.OpError with Op "dial", like those of net.Dialer.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := h.net
	defer context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})()
	handshakeDone := time.Now().Add(2 * n.latency)
	defer n.wakeAfter(2*n.latency, n.changed).Stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: err}
	}
	for {
		l := n.listeners[address]
		to := ""
		if l != nil {
			to = l.host.name
		}
		switch {
		case h.killed:
			return fail(syscall.ENETDOWN)
		case ctx.Err() != nil:
			return fail(ctx.Err())
		case n.frozen[h.name] || n.cuts[[2]string{h.name, to}] || n.cuts[[2]string{to, h.name}] || time.Now().Before(handshakeDone):
			n.changed.Wait()
			continue
		case l == nil || l.closed:
			return fail(syscall.ECONNREFUSED)
		}
		clientToServer, serverToClient := &pipe{}, &pipe{}
		client := &conn{net: n, local: h.name, remote: to, in: serverToClient, out: clientToServer, laddr: addr(h.name), raddr: l.address, wake: sync.NewCond(&n.mu)}
		server := &conn{net: n, local: to, remote: h.name, in: clientToServer, out: serverToClient, laddr: l.address, raddr: addr(h.name), wake: sync.NewCond(&n.mu)}
		client.peer, server.peer = server, client
		n.conns[client], n.conns[server] = struct{}{}, struct{}{}
		l.backlog = append(l.backlog, server)
		n.changed.Broadcast()
		return client, nil
	}
}

// addr is the address of a listener, or the name of a process that dials.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String returns the address as host:port. The scheduler identifies a caller by the host.
func (a addr) String() string {
	if strings.Contains(string(a), ":") {
		return string(a)
	}
	return string(a) + ":1"
}

type listener struct {
	host    *Host
	address addr
	backlog []*conn
	closed  bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	n := l.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for !l.closed && (len(l.backlog) == 0 || n.frozen[l.host.name]) {
		n.changed.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	return c, nil
}

// Close closes the listener and resets the connections that wait for Accept.
func (l *listener) Close() error {
	l.host.net.update(l.close)
	return nil
}

// close closes the listener. The network's mu is held.
func (l *listener) close() {
	l.closed = true
	for _, c := range l.backlog {
		c.out.err = errReset
		c.peer.wake.Broadcast()
	}
	l.backlog = nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return l.address }

// pipe holds the bytes in flight in one direction of a connection.
type pipe struct {
	segments     []segment
	buffered     int
	eof          bool      // the writer has closed
	err          error     // the connection was reset
	eofAt        time.Time // when the end of the stream arrives
	readerClosed bool      // the reader has closed
}

// segment holds the bytes of one Write.
type segment struct {
	arrival time.Time // when it reaches the reader
	data    []byte
}

// conn is one end of a connection.
type conn struct {
	net            *Network
	local, remote  string
	in, out        *pipe
	laddr, raddr   addr
	closed, killed bool
	peer           *conn
	wake           *sync.Cond // on net.mu

	readDeadline, writeDeadline deadline
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.laddr, Addr: c.raddr, Err: err}
}

// Read waits for bytes and returns those that have arrived.
func (c *conn) Read(b []byte) (int, error) {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch now := time.Now(); {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.killed:
			return 0, c.opError("read", errReset)
		case c.readDeadline.expired():
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case n.isStalled(c.remote, c.local):
		case len(c.in.segments) > 0 && !now.Before(c.in.segments[0].arrival):
			p := &c.in.segments[0]
			k := copy(b, p.data)
			if p.data = p.data[k:]; len(p.data) == 0 {
				c.in.segments = c.in.segments[1:]
			}
			c.in.buffered -= k
			c.peer.wake.Broadcast()
			return k, nil
		case c.in.err != nil && len(c.in.segments) == 0:
			return 0, c.opError("read", c.in.err)
		case c.in.eof && len(c.in.segments) == 0 && !now.Before(c.in.eofAt):
			return 0, io.EOF
		}
		c.wake.Wait()
	}
}

// Write sends bytes. It waits while maxBufferedBytes or more are unread.
func (c *conn) Write(b []byte) (int, error) {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("write", net.ErrClosed)
		case c.killed, (c.in.err != nil || c.out.readerClosed) && !n.isStalled(c.remote, c.local):
			return 0, c.opError("write", syscall.EPIPE)
		case c.writeDeadline.expired():
			return 0, c.opError("write", os.ErrDeadlineExceeded)
		case c.out.buffered < maxBufferedBytes:
			c.out.segments = append(c.out.segments, segment{time.Now().Add(n.latency), append([]byte(nil), b...)})
			c.out.buffered += len(b)
			n.wakeAfter(n.latency, c.peer.wake)
			return len(b), nil
		}
		c.wake.Wait()
	}
}

// Close sends the end of the stream. Later writes of the other end fail.
func (c *conn) Close() error {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.out.eof, c.out.eofAt, c.in.readerClosed = true, time.Now().Add(n.latency), true
	n.wakeAfter(n.latency, c.peer.wake)
	delete(n.conns, c)
	for _, d := range []*deadline{&c.readDeadline, &c.writeDeadline} {
		if d.timer != nil {
			d.timer.Stop()
		}
	}
	c.wake.Broadcast()
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.laddr }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.raddr }

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	c.setDeadline(&c.writeDeadline, t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.writeDeadline, t)
	return nil
}

func (c *conn) setDeadline(d *deadline, t time.Time) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.at, d.timer = t, nil
	if wait := time.Until(t); !t.IsZero() && !c.closed && wait > 0 {
		d.timer = c.net.wakeAfter(wait, c.wake)
	}
	c.wake.Broadcast()
}
