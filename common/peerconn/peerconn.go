// Package peerconn tells when the peer of an accepted TCP connection has closed it, and lets the peer tell an orderly close
// from a broken connection. The server of net/http learns of a close only by reading, so it misses one that arrived together
// with the request, or behind bytes of the next request; and it always closes in order. Its limits on connections that wait for a
// request can't change while it serves; those of a Listener can.
package peerconn

import (
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// checkInterval is the time between two checks of the connections from which nobody reads.
const checkInterval = 100 * time.Millisecond

// ErrClosed is the cause of contexts that ended because the peer closed the connection.
var ErrClosed = errors.New("connection closed by the peer")

// Limits are time limits of connections that wait for a request; 0 for no limit.
type Limits struct {
	Header time.Duration // from the first bytes of a request, or from the accept of its connection, to the end of its header
	Idle   time.Duration // between two requests
}

// Listener accepts TCP connections and limits the number of those that are open.
type Listener struct {
	net.Listener
	limits atomic.Pointer[Limits]
	// endIdle and endUnused are set when EndIdle and EndUnused have been called.
	endIdle, endUnused atomic.Bool
	slots              chan struct{} // one element for each open connection; nil if their number is not limited
	closed             chan struct{}
	once               sync.Once

	mu       sync.Mutex
	conns    map[*Conn]struct{} // open connections
	watches  map[*watch]struct{}
	checking bool // a goroutine checks the watches
}

// NewListener returns a listener with at most maxOpen open connections, or any number if it is 0. Further connections wait
// to be accepted.
func NewListener(l net.Listener, maxOpen int) *Listener {
	var slots chan struct{}
	if maxOpen > 0 {
		slots = make(chan struct{}, maxOpen)
	}
	out := &Listener{Listener: l, slots: slots, closed: make(chan struct{}), conns: map[*Conn]struct{}{}, watches: map[*watch]struct{}{}}
	out.SetLimits(Limits{})
	return out
}

// SetLimits sets the limits of all connections for which TrackState is used. A wait ends by the longest limit since it began; one for the
// next request, since the response before: the peer may go by any of them.
func (l *Listener) SetLimits(limits Limits) {
	l.limits.Store(&limits)
	for _, c := range l.openConns() {
		c.mu.Lock()
		c.idleLimit = max(c.idleLimit, limits.Idle)
		if c.wait.active {
			c.wait.extend(&limits)
		}
		c.mu.Unlock()
	}
}

// openConns returns the open connections.
func (l *Listener) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// EndIdle ends the waits between two requests, as if their limit had ended: connections on which bytes of a request have arrived are
// served. http.Server.Shutdown does not answer requests that it reads, and closes idle connections without looking.
func (l *Listener) EndIdle() {
	l.endIdle.Store(true)
	l.endWaits()
}

// EndUnused ends the waits for the first request of a connection in the same way.
func (l *Listener) EndUnused() {
	l.endUnused.Store(true)
	l.endWaits()
}

// endWaits ends the reads of connections whose wait has ended.
func (l *Listener) endWaits() {
	for _, c := range l.openConns() {
		c.mu.Lock()
		if c.endedByListener() {
			c.Conn.SetReadDeadline(past) // fails only on closed connections
		}
		c.mu.Unlock()
	}
}

// past is a deadline that makes every read fail.
var past = time.Unix(1, 0)

// Accept waits for a connection. It returns a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	if l.slots != nil {
		select {
		case l.slots <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	conn := &Conn{Conn: c, listener: l}
	if sc, ok := c.(syscall.Conn); ok {
		if conn.raw, err = sc.SyscallConn(); err != nil {
			conn.raw = nil // only if c is not a connection; an error of Accept would end the server
		}
	}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// remove forgets a connection and makes room for another one.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.release()
}

// release makes room for another connection.
func (l *Listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// emptyCheckInterval is the time between two checks whether connections wait to be accepted.
const emptyCheckInterval = time.Millisecond

// CloseEmpty closes the listener once no connections wait to be accepted, or when ctx ends: the kernel resets those that wait. Connections
// must be accepted meanwhile.
func (l *Listener) CloseEmpty(ctx context.Context) error {
	t := time.NewTicker(emptyCheckInterval)
	defer t.Stop()
	for l.waiting() && ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return l.Close()
}

// waiting reports whether connections wait to be accepted, if that is known.
func (l *Listener) waiting() bool {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		waiting = err == nil && n > 0
	})
	return waiting && err == nil // Control fails only if the listener is closed
}

// Close closes the listener. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	raw      syscall.RawConn // nil if the connection has no socket
	reading  atomic.Int32    // number of calls of Read in progress
	once     sync.Once
	mu       sync.Mutex // guards the read deadline too, while the connection waits
	wait     wait
	early    int // bytes of the next request that were read during a request; see Read
	// idleLimit is the longest idle limit since something was last written.
	idleLimit time.Duration
}

// minHeaderBytes is the number of bytes with which a header begins. Fewer may be line ends after the body before, which servers skip.
const minHeaderBytes = 4

// wait is the wait for a request on a connection, at first for its first bytes, then for the end of its header.
type wait struct {
	active   bool
	first    bool // no request has been received on the connection
	inHeader bool
	received int           // bytes
	since    time.Time     // when the wait for the bytes, or for the end of the header, began
	limit    time.Duration // longest one since then
}

// begin begins the wait, of which some bytes have been received. The first request of a connection must arrive within the limit of its
// header, the others within idleLimit or a longer one.
func (w *wait) begin(first bool, received int, idleLimit time.Duration) {
	*w = wait{active: true, first: first, inHeader: first, received: received, since: time.Now()}
	if !first {
		w.limit = idleLimit
	}
}

// idle reports whether no bytes of a request have been received since the one before.
func (w *wait) idle() bool { return w.active && !w.first && w.received == 0 }

// unused reports whether no bytes have been received on the connection.
func (w *wait) unused() bool { return w.active && w.first && w.received == 0 }

// current returns which of the limits applies.
func (w *wait) current(l *Limits) time.Duration {
	if w.inHeader {
		return l.Header
	}
	return l.Idle
}

// extend makes the wait end no sooner than by the limits.
func (w *wait) extend(l *Limits) { w.limit = max(w.limit, w.current(l)) }

// deadline returns when the wait ends; zero for never.
func (w *wait) deadline(l *Limits) time.Time {
	if w.current(l) <= 0 {
		return time.Time{}
	}
	w.extend(l)
	return w.since.Add(w.limit)
}

// add counts bytes of the request.
func (w *wait) add(n int) {
	w.received += n
	if !w.inHeader && w.received >= minHeaderBytes {
		w.inHeader, w.since, w.limit = true, time.Now(), 0
	}
}

// TrackState returns a hook for http.Server.ConnState that applies the limits of the listener, and then calls next. With TLS, the
// handshake counts as a part of the first header. A connection that speaks HTTP/2 does not wait for requests any more.
func TrackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(nc net.Conn, s http.ConnState) {
		if c, ok := accepted(nc); ok {
			if s == http.StateIdle && IsHTTP2(nc) {
				c.setState(http.StateActive)
			} else {
				c.setState(s)
			}
		}
		next(nc, s)
	}
}

// IsHTTP2 reports whether the peer of a connection has chosen HTTP/2 in its TLS handshake.
func IsHTTP2(c net.Conn) bool {
	t, ok := c.(*tls.Conn)
	return ok && t.ConnectionState().NegotiatedProtocol == "h2"
}

// accepted returns the connection that a Listener accepted, without TLS.
func accepted(c net.Conn) (*Conn, bool) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		c = t.NetConn()
	}
	a, ok := c.(*Conn)
	return a, ok
}

// setState begins or ends a wait.
func (c *Conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.wait.begin(true, 0, 0)
	case http.StateActive:
		c.wait.active, c.early = false, 0
		c.Conn.SetReadDeadline(time.Time{}) // fails only on closed connections
	case http.StateIdle:
		c.wait.begin(false, c.early, c.idleLimit)
	}
}

// Read reads from the connection. While the connection waits for a request, it ends by the limits of the listener, which replace deadlines
// set before. Bytes that have arrived are read even then: the process may have been late.
func (c *Conn) Read(b []byte) (int, error) {
	c.reading.Add(1)
	defer c.reading.Add(-1)
	for {
		waiting, err := c.limitWait()
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if !waiting {
			if len(b) == 1 { // the server of net/http waits for the next request, or the close, during a request
				c.mu.Lock()
				c.early += n
				c.mu.Unlock()
			}
			return n, err
		}
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if !c.waitEnded() {
				continue // the limit is longer now
			}
			n, err = c.readArrived(b, err)
		}
		c.mu.Lock()
		c.wait.add(n)
		c.mu.Unlock()
		return n, err
	}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.idleLimit = c.listener.limits.Load().Idle
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// limitWait sets the deadline for reading if the connection waits for a request, and reports whether it does.
func (c *Conn) limitWait() (waiting bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wait.active {
		return false, nil
	}
	return true, c.Conn.SetReadDeadline(c.waitDeadline())
}

// waitEnded reports whether the time of the wait is over.
func (c *Conn) waitEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.waitDeadline()
	return !d.IsZero() && !d.After(time.Now())
}

// waitDeadline returns when the wait ends; zero for never.
func (c *Conn) waitDeadline() time.Time {
	if c.endedByListener() {
		return past
	}
	return c.wait.deadline(c.listener.limits.Load())
}

// endedByListener reports whether the listener has ended the wait. The caller holds c.mu.
func (c *Conn) endedByListener() bool {
	return c.wait.idle() && c.listener.endIdle.Load() || c.wait.unused() && c.listener.endUnused.Load()
}

// readArrived reads bytes that have arrived, or returns the error if there are none.
func (c *Conn) readArrived(b []byte, none error) (int, error) {
	if c.raw == nil {
		return 0, none
	}
	n, err := 0, none
	closed := c.raw.Control(func(fd uintptr) {
		var failure error
		switch n, _, failure = unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT); {
		case failure != nil:
			n = 0
		case n == 0 && len(b) > 0:
			err = io.EOF
		default:
			err = nil
		}
	})
	if closed != nil {
		return 0, closed
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.once.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// ResetOnClose sets whether closing the connection resets it, also if the process ends, instead of ending it in order.
// The peer then loses bytes that have not reached it.
func (c *Conn) ResetOnClose(reset bool) error {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	if reset {
		return t.SetLinger(0)
	}
	return t.SetLinger(-1) // the default of the kernel
}

// PeerClosed reports whether the peer has closed or reset the connection, or its sending side, even if bytes that it sent
// before have not been read.
func (c *Conn) PeerClosed() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) { closed = peerClosed(int(fd)) })
	return closed || err != nil // Control fails only on connections that are closed
}

// peerClosed reports whether the peer of a socket has closed or reset it, or its sending side.
func peerClosed(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	// A close may follow the unread bytes.
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(p, 0)
	return err == nil && n > 0
}

type contextKey int

const (
	connKey contextKey = iota
	watchKey
)

// WithConn returns a context for the requests on a connection. It has the signature of http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if c, ok := accepted(c); ok {
		return context.WithValue(ctx, connKey, c)
	}
	return ctx
}

// DelimitByClose prepares a response that has neither a length nor chunks and ends with its connection. It must be called
// before the header is written. Until ConfirmEnd, closing the connection resets it: the peer cannot tell otherwise that the
// response is incomplete. ctx is the context of the request.
func DelimitByClose(ctx context.Context, h http.Header) error {
	h.Del("Content-Length")
	h.Set("Transfer-Encoding", "identity") // tells net/http to write no chunks; it is not sent
	return resetOnClose(ctx, true)
}

// ConfirmEnd sends the rest of a complete response that DelimitByClose has prepared, and lets its connection end in order.
func ConfirmEnd(ctx context.Context, w http.ResponseWriter) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return errors.Wrap(err, "end the response")
	}
	return resetOnClose(ctx, false)
}

func resetOnClose(ctx context.Context, reset bool) error {
	c, ok := ctx.Value(connKey).(*Conn)
	if !ok {
		return errors.New("unknown connection")
	}
	return c.ResetOnClose(reset)
}

// watch is a request during which the connection is checked.
type watch struct {
	conn   *Conn
	cancel context.CancelCauseFunc
}

// Watch returns a copy of a request's context that also ends, with the cause ErrClosed, when the peer has closed the
// connection. Without WithConn, it ends only with ctx. stop releases the resources.
func Watch(ctx context.Context) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c, ok := ctx.Value(connKey).(*Conn)
	if !ok {
		return ctx, func() { cancel(nil) }
	}
	w := &watch{conn: c, cancel: cancel}
	l := c.listener
	l.mu.Lock()
	l.watches[w] = struct{}{}
	if !l.checking {
		l.checking = true
		go l.check()
	}
	l.mu.Unlock()
	return context.WithValue(ctx, watchKey, w), func() {
		l.mu.Lock()
		delete(l.watches, w)
		l.mu.Unlock()
		cancel(nil)
	}
}

// Closed reports whether a context of Watch has ended or the peer has closed its connection, which then ends the context.
func Closed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	w, ok := ctx.Value(watchKey).(*watch)
	if !ok || !w.conn.PeerClosed() {
		return false
	}
	w.cancel(ErrClosed)
	return true
}

// ConfirmClosed reports whether the peer of a request's connection has closed it, whatever the context of the request says: that also
// ends when a read fails at its deadline.
func ConfirmClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey).(*Conn)
	return !ok || c.PeerClosed()
}

// check checks the connections of the watches until there are none.
func (l *Listener) check() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for range t.C {
		l.mu.Lock()
		if len(l.watches) == 0 {
			l.checking = false
			l.mu.Unlock()
			return
		}
		var unread []*watch
		for w := range l.watches {
			// A call of Read notices the close itself.
			if w.conn.reading.Load() == 0 {
				unread = append(unread, w)
			}
		}
		l.mu.Unlock()
		for _, w := range unread {
			if w.conn.PeerClosed() {
				w.cancel(ErrClosed)
			}
		}
	}
}
