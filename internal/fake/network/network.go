// Package network is an in-memory network between named processes for tests, also on the fake clock of
// testing/synctest. It can cut pairs of processes in either direction, freeze processes and kill them.
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

// buffer bounds the bytes under way in one direction of a connection, like the buffers of a kernel.
const buffer = 1 << 20

// Network connects the processes. Latency is the time that bytes take in one direction.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	changed   *sync.Cond // on mu: listeners, cuts and freezes; each connection has a condition of its own
	hosts     map[string]*Host
	listeners map[string]*listener // by address
	ports     int
	cut       map[[2]string]bool // from, to
	frozen    map[string]bool
	conns     map[*conn]struct{}
}

// New returns a network without processes.
func New(latency time.Duration) *Network {
	n := &Network{
		latency: latency, hosts: map[string]*Host{}, listeners: map[string]*listener{}, cut: map[[2]string]bool{},
		frozen: map[string]bool{}, conns: map[*conn]struct{}{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Host is a process as seen by the network.
type Host struct {
	n    *Network
	name string
	dead bool
}

// Host returns the running process with a name; a killed one is succeeded by a new one.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[name]; h != nil && !h.dead {
		return h
	}
	h := &Host{n: n, name: name}
	n.hosts[name] = h
	return h
}

// Cut stalls all bytes from one process to another; new connections between them time out.
func (n *Network) Cut(from, to string) { n.set(func() { n.cut[[2]string{from, to}] = true }) }

// Restore ends a cut in one direction.
func (n *Network) Restore(from, to string) { n.set(func() { delete(n.cut, [2]string{from, to}) }) }

// Heal ends all cuts and thaws all processes.
func (n *Network) Heal() { n.set(func() { clear(n.cut); clear(n.frozen) }) }

// Freeze stalls all traffic of a process. Others can still connect to it, as the kernel accepts connections.
func (n *Network) Freeze(name string) { n.set(func() { n.frozen[name] = true }) }

// Unfreeze ends a freeze.
func (n *Network) Unfreeze(name string) { n.set(func() { delete(n.frozen, name) }) }

// IsFrozen reports whether the process is frozen.
func (n *Network) IsFrozen(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[name]
}

// WaitUnfrozen waits while the process is frozen.
func (n *Network) WaitUnfrozen(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.frozen[name] {
		n.changed.Wait()
	}
}

// ResetConns resets the connections between two processes; new ones are possible.
func (n *Network) ResetConns(a, b string) {
	n.set(func() {
		for c := range n.conns {
			if c.local == a && c.remote == b || c.local == b && c.remote == a {
				c.in.err = reset
			}
		}
	})
}

// Kill ends a process: its listeners close and all its connections are reset. What it still tries fails.
func (n *Network) Kill(name string) {
	n.set(func() {
		if h := n.hosts[name]; h != nil {
			h.dead = true
		}
		delete(n.frozen, name)
		for _, l := range n.listeners {
			if l.host.name == name {
				l.close()
			}
		}
		for c := range n.conns {
			if c.local == name || c.remote == name {
				c.in.err = reset
				c.dead = c.dead || c.local == name
			}
		}
	})
}

func (n *Network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.changed.Broadcast()
	for c := range n.conns {
		c.wake.Broadcast()
	}
}

var reset error = syscall.ECONNRESET

// stalled reports whether bytes from one process don't reach another. n.mu is held.
func (n *Network) stalled(from, to string) bool {
	return n.cut[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
}

// after wakes the waiters of a condition once d has passed.
func (n *Network) after(d time.Duration, wake *sync.Cond) *time.Timer {
	return time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		wake.Broadcast()
	})
}

// Listen opens a listener; port 0 selects a free port.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	n := h.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.dead {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRNOTAVAIL}
	}
	if ip, ok := strings.CutSuffix(address, ":0"); ok {
		n.ports++
		address = fmt.Sprintf("%s:%d", ip, 10000+n.ports)
	}
	if l := n.listeners[address]; l != nil && !l.closed {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: addr(address)}
	n.listeners[address] = l
	return l, nil
}

// DialContext opens a connection. It fails with a *net.OpError with Op "dial", as net.Dialer does.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := h.n
	defer context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})()
	ready := time.Now().Add(2 * n.latency)
	defer n.after(2*n.latency, n.changed).Stop()
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
		case h.dead:
			return fail(syscall.ENETDOWN)
		case ctx.Err() != nil:
			return fail(ctx.Err())
		case n.frozen[h.name] || n.cut[[2]string{h.name, to}] || n.cut[[2]string{to, h.name}] || time.Now().Before(ready):
			n.changed.Wait()
			continue
		case l == nil || l.closed:
			return fail(syscall.ECONNREFUSED)
		}
		ab, ba := &pipe{}, &pipe{}
		c := &conn{n: n, local: h.name, remote: to, in: ba, out: ab, laddr: addr(h.name), raddr: l.address, wake: sync.NewCond(&n.mu)}
		s := &conn{n: n, local: to, remote: h.name, in: ab, out: ba, laddr: l.address, raddr: addr(h.name), wake: sync.NewCond(&n.mu)}
		c.peer, s.peer = s, c
		n.conns[c], n.conns[s] = struct{}{}, struct{}{}
		l.queue = append(l.queue, s)
		n.changed.Broadcast()
		return c, nil
	}
}

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String returns the address as host:port; callers of the scheduler are known by the part before the colon.
func (a addr) String() string {
	if strings.Contains(string(a), ":") {
		return string(a)
	}
	return string(a) + ":1"
}

type listener struct {
	host    *Host
	address addr
	queue   []*conn
	closed  bool
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	n := l.host.n
	n.mu.Lock()
	defer n.mu.Unlock()
	for !l.closed && (len(l.queue) == 0 || n.frozen[l.host.name]) {
		n.changed.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil
}

// Close closes the listener and resets the connections that wait for Accept.
func (l *listener) Close() error {
	l.host.n.set(l.close)
	return nil
}

// close closes the listener. The network's mu is held.
func (l *listener) close() {
	l.closed = true
	for _, c := range l.queue {
		c.out.err = reset
		c.peer.wake.Broadcast()
	}
	l.queue = nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return l.address }

// pipe is one direction of a connection.
type pipe struct {
	parts []part
	size  int
	eof   bool      // the writer closed
	err   error     // the connection was reset
	since time.Time // when eof arrives
	gone  bool      // the reader closed
}

type part struct {
	at time.Time // when it arrives
	b  []byte
}

// conn is one end of a connection.
type conn struct {
	n             *Network
	local, remote string
	in, out       *pipe
	laddr, raddr  addr
	closed, dead  bool
	peer          *conn
	wake          *sync.Cond // on n.mu

	read, write deadline
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func (c *conn) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.laddr, Addr: c.raddr, Err: err}
}

// Read reads what has arrived.
func (c *conn) Read(b []byte) (int, error) {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch now := time.Now(); {
		case c.closed:
			return 0, c.fail("read", net.ErrClosed)
		case c.dead:
			return 0, c.fail("read", reset)
		case c.read.passed():
			return 0, c.fail("read", os.ErrDeadlineExceeded)
		case n.stalled(c.remote, c.local):
		case len(c.in.parts) > 0 && !now.Before(c.in.parts[0].at):
			p := &c.in.parts[0]
			k := copy(b, p.b)
			if p.b = p.b[k:]; len(p.b) == 0 {
				c.in.parts = c.in.parts[1:]
			}
			c.in.size -= k
			c.peer.wake.Broadcast()
			return k, nil
		case c.in.err != nil && len(c.in.parts) == 0:
			return 0, c.fail("read", c.in.err)
		case c.in.eof && len(c.in.parts) == 0 && !now.Before(c.in.since):
			return 0, io.EOF
		}
		c.wake.Wait()
	}
}

// Write sends bytes; it waits while too many are under way.
func (c *conn) Write(b []byte) (int, error) {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.fail("write", net.ErrClosed)
		case c.dead, (c.in.err != nil || c.out.gone) && !n.stalled(c.remote, c.local):
			return 0, c.fail("write", syscall.EPIPE)
		case c.write.passed():
			return 0, c.fail("write", os.ErrDeadlineExceeded)
		case c.out.size < buffer:
			c.out.parts = append(c.out.parts, part{time.Now().Add(n.latency), append([]byte(nil), b...)})
			c.out.size += len(b)
			n.after(n.latency, c.peer.wake)
			return len(b), nil
		}
		c.wake.Wait()
	}
}

// Close sends the end of the stream; what the other end still sends is answered by a reset.
func (c *conn) Close() error {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.out.eof, c.out.since, c.in.gone = true, time.Now().Add(n.latency), true
	n.after(n.latency, c.peer.wake)
	delete(n.conns, c)
	for _, d := range []*deadline{&c.read, &c.write} {
		if d.timer != nil {
			d.timer.Stop()
		}
	}
	c.wake.Broadcast()
	return nil
}

// LocalAddr returns the own address.
func (c *conn) LocalAddr() net.Addr { return c.laddr }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.raddr }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.deadline(&c.read, t)
	c.deadline(&c.write, t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline(&c.read, t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.deadline(&c.write, t)
	return nil
}

func (c *conn) deadline(d *deadline, t time.Time) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.at, d.timer = t, nil
	if wait := time.Until(t); !t.IsZero() && !c.closed && wait > 0 {
		d.timer = c.n.after(wait, c.wake)
	}
	c.wake.Broadcast()
}
