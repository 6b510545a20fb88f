// Package endpoint is the client of endpoints over HTTP/1.1. Each call sends one request at most once. It tells a
// request that was certainly not sent apart from one that may have been, and matches responses to requests by the
// request id that endpoints echo, because a faulty endpoint may send a response twice or late.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"monsoondale/common/dial"
	"monsoondale/core"
)

const (
	// dialTimeout bounds a TCP connect. Another endpoint is tried afterwards, which is sooner than the second SYN that
	// TCP sends after a second.
	dialTimeout = 200 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before the kernel gives the connection up.
	unacknowledged = 1500 * time.Millisecond
	// idleDefault is how long an unused connection is kept if the endpoint does not say.
	idleDefault = 5 * time.Second
	// idleMargin is how long before the endpoint's own idle timeout a connection is given up.
	idleMargin = time.Second
	// onceIdle is how long a connection may have been unused for a request that cannot be repeated: an endpoint that
	// closes a connection while such a request is on its way leaves its fate unknown.
	onceIdle = 300 * time.Millisecond
	// strays is the number of responses to other requests that are skipped before the connection is given up.
	strays = 4
	// readBuffer is the size of a connection's read buffer in bytes; an event of a stream is a few hundred.
	readBuffer = 4 << 10
)

// NotSentError is an error that proves that no byte of the request was sent.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ErrMismatchedResponse reports a connection on which only responses to other requests arrived.
var ErrMismatchedResponse = errors.New("response to another request")

// Options configures a Client.
type Options struct {
	// RequestIDHeader is the response header that repeats the request's id.
	RequestIDHeader string
	// MaxIdle is the number of unused connections kept for each endpoint; default 8.
	MaxIdle int
	// Dial opens connections; default a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Request is one request to an endpoint.
type Request struct {
	ID     core.RequestID
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent marks a request that must not be sent on a connection that has been unused for long.
	NonIdempotent bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	o    Options
	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	until time.Time // when it is no longer used
	since time.Time // when it became unused
}

// New returns a Client.
func New(o Options) *Client {
	if o.MaxIdle <= 0 {
		o.MaxIdle = 8
	}
	if o.Dial == nil {
		d := dial.New(dial.Options{Timeout: dialTimeout, AckTimeout: unacknowledged, KeepAliveIdle: 2 * time.Second, KeepAliveProbes: 2})
		o.Dial = d.DialContext
	}
	return &Client{o: o, idle: map[string][]*conn{}}
}

// Response is the response to one request. Close must be called.
type Response struct {
	*http.Response
	// Reused tells that the connection had served another request.
	Reused bool

	ctx     context.Context // of the exchange
	c       *Client
	conn    *conn
	address string
	written chan error // receives the result of sending the request
	stop    func() bool
	whole   bool
	closed  bool
}

// Do sends a request to an address and returns the response once its header has arrived. The response's body reads
// until ctx ends.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	cn, reused, err := c.connection(ctx, address, r.NonIdempotent)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	resp := &Response{Reused: reused, ctx: ctx, c: c, conn: cn, address: address, written: make(chan error, 1)}
	resp.stop = context.AfterFunc(ctx, func() { cn.SetDeadline(past) })
	var sent int
	payload := r.encode()
	// Small requests fit into the socket's buffer. The others are sent while the response is read, because an endpoint
	// may answer before it has read the whole body.
	if len(payload) <= readBuffer {
		sent, err = cn.Write(payload)
		resp.written <- err
		if err != nil && sent == 0 {
			resp.Close()
			return nil, &NotSentError{Cause: errors.Wrap(err, "write")}
		}
	} else {
		go func() {
			_, err := cn.Write(payload)
			resp.written <- err
		}()
	}
	for range strays {
		hr, err := http.ReadResponse(cn.r, &http.Request{Method: r.Method})
		if err != nil {
			resp.Close()
			if cause := context.Cause(ctx); cause != nil {
				return nil, cause
			}
			return nil, errors.Wrap(err, "read the response")
		}
		if hr.StatusCode < 200 {
			continue
		}
		if id := hr.Header.Get(c.o.RequestIDHeader); id != "" && id != string(r.ID) {
			if _, err := io.Copy(io.Discard, io.LimitReader(hr.Body, 1<<20)); err != nil {
				resp.Close()
				return nil, errors.Wrap(err, "skip a response to another request")
			}
			continue
		}
		resp.Response = hr
		return resp, nil
	}
	resp.Close()
	return nil, errors.WithStack(ErrMismatchedResponse)
}

// encode returns the bytes of the request.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	r.Header.Write(&b) // a bytes.Buffer never fails
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// connection returns a connection to the address, used or new.
func (c *Client) connection(ctx context.Context, address string, once bool) (*conn, bool, error) {
	for {
		cn := c.take(address, once)
		if cn == nil {
			break
		}
		if alive(cn) {
			return cn, true, nil
		}
		cn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := c.o.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	return &conn{Conn: n, r: bufio.NewReaderSize(n, readBuffer)}, false, nil
}

// take removes the most recently used connection of an address.
func (c *Client) take(address string, once bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	if once && now.Sub(cn.since) > onceIdle {
		return nil
	}
	c.idle[address] = list[:len(list)-1]
	if now.After(cn.until) {
		cn.Close()
		for _, old := range c.idle[address] { // unused for even longer
			old.Close()
		}
		delete(c.idle, address)
		return nil
	}
	return cn
}

// alive reports whether an unused connection is open and has nothing to read. Anything that arrived belongs to no
// request.
func alive(cn *conn) bool {
	if cn.r.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
	})
	return err == nil && open
}

// MarkBodyRead records that the body has been read to its end, which lets the connection be used again.
func (r *Response) MarkBodyRead() { r.whole = true }

// SetReadDeadline bounds the wait for the next bytes.
func (r *Response) SetReadDeadline(t time.Time) error {
	err := r.conn.SetReadDeadline(t)
	if r.ctx.Err() != nil { // ended before the new bound was set
		err = r.conn.SetReadDeadline(past)
	}
	return err
}

// past is a deadline that ends every read and write.
var past = time.Unix(1, 0)

// Close ends the exchange. The connection is kept if the response was read to its end and nothing is left over.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.stop() || !r.whole {
		r.conn.reset()
		return
	}
	if r.conn.r.Buffered() > 0 || !r.reusable() {
		r.conn.Close()
		return
	}
	if r.conn.SetDeadline(time.Time{}) != nil {
		r.conn.Close()
		return
	}
	r.c.keep(r.address, r.conn, lifetime(r.Header))
}

// reset closes a connection and discards what has not reached the endpoint, which must not run a request that has been
// given up.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0) // fails only on closed connections
	}
	c.Close()
}

// reusable reports whether the connection can serve another request: the request was sent in full and neither side
// asked for an end.
func (r *Response) reusable() bool {
	select {
	case err := <-r.written:
		if err != nil {
			return false
		}
	default:
		return false // the endpoint answered before it had read the request
	}
	return !r.Response.Close && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
}

// lifetime returns how long the endpoint keeps the connection unused.
func lifetime(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		if i := bytes.Index([]byte(v), []byte("timeout=")); i >= 0 {
			digits := v[i+len("timeout="):]
			for j, d := range digits {
				if d < '0' || d > '9' {
					digits = digits[:j]
					break
				}
			}
			if n, err := strconv.Atoi(digits); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return idleDefault
}

func (c *Client) keep(address string, cn *conn, life time.Duration) {
	if life <= 0 {
		cn.Close()
		return
	}
	cn.since = time.Now()
	cn.until = cn.since.Add(life)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= c.o.MaxIdle {
		cn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

// CloseIdleExcept closes the unused connections of addresses that are not listed.
func (c *Client) CloseIdleExcept(listed func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, list := range c.idle {
		if !listed(a) {
			for _, cn := range list {
				cn.Close()
			}
			delete(c.idle, a)
		}
	}
}
