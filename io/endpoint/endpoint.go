// Package endpoint is an HTTP/1.1 client for endpoints. It sends each request at most once and distinguishes requests
// that were certainly not sent from those that may have been.
//
// A faulty endpoint may send a response twice or late. Responses are matched to requests by the request id that endpoints echo, and
// no id is sent twice on one connection, so that a copy of an earlier response to the same request is not taken for the one that is
// due. A response without an id is accepted only if it is the first one on its connection.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"monsoondale/common/carried"
	"monsoondale/common/dial"
	"monsoondale/common/framing"
	"monsoondale/common/status"
	"monsoondale/core"
)

const (
	// dialTimeout is the time limit for opening a TCP connection. Trying another endpoint after it is faster than waiting
	// for the second SYN, which TCP sends after one second.
	dialTimeout = 200 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged, or unread with full buffers, before the kernel closes the
	// connection. A sound endpoint, its host or the path to it may be silent for two seconds, after which the kernel may take as
	// long again until it sends the bytes once more. Linux also closes a connection that has been idle for ackTimeout once a single
	// probe is unanswered, whatever the number of probes, so that it must leave time for some of them after keepAliveIdle.
	ackTimeout = 4500 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before it is probed.
	keepAliveIdle = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint states no timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is how long before the idle timeout of the endpoint a connection is closed.
	idleMargin = time.Second
	// nonIdempotentMaxIdle is how long a connection may have been idle to be used for a request that is not idempotent. If
	// the endpoint closes an idle connection while such a request is in flight, it is unknown whether the request ran.
	nonIdempotentMaxIdle = 300 * time.Millisecond
	// maxResponsesRead is the number of responses, the interim ones and those to other requests included, that are read before the
	// connection is closed.
	maxResponsesRead = 1 + status.MaxInterim
	// readBufferBytes is the size of the read buffer of a connection; an event of a stream has a few hundred bytes.
	readBufferBytes = 4 << 10
	// maxHeaderBytes is the size of the largest response header, with the status line.
	maxHeaderBytes = 32 << 10
	// maxSkippedBytes is the size of the largest body that is skipped because the response belongs to another request.
	maxSkippedBytes = 64 << 10
)

// errHeaderTooLarge reports a response whose header exceeds maxHeaderBytes.
var errHeaderTooLarge = errors.New("response header is too large")

// NotSentError is an error that guarantees that no byte of the request was sent.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ErrMismatchedResponse reports that only responses to other requests arrived on a connection.
var ErrMismatchedResponse = errors.New("response to another request")

// Options configures a Client.
type Options struct {
	// RequestIDHeader is the header with the request id, which responses echo. The client sets it.
	RequestIDHeader string
	// MaxIdle is the maximum number of idle connections to each endpoint; default 8.
	MaxIdle int
	// Dial opens connections; default a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Peer is the start of an endpoint for which a request is meant. The process at its address may be another one.
type Peer struct {
	ID          core.EndpointID
	Incarnation int64 // 0 if unknown
}

// Request is one request to an endpoint.
type Request struct {
	ID     core.RequestID
	Peer   Peer
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent marks a request that must not be sent on a connection that has been idle for long.
	NonIdempotent bool
	// BeforeSend is called when a connection is available, immediately before the request is sent. After an error, nothing
	// is sent. May be nil.
	BeforeSend func() error
	// OnHeader is called with the header of each final response that arrives on the connection while this request waits for
	// its own. matched is false for a response to another request. May be nil.
	OnHeader func(r *http.Response, matched bool)
	// Trace, if it is not nil, is filled in while the request is sent.
	Trace *Trace
}

// Trace tells on which connection a request was sent. It is zero if there was none.
type Trace struct {
	Conn    uint64 // number of the connection, unique within the process
	Carried int    // number of requests that were sent on the connection before
	Extra   int    // number of responses to other requests that arrived while this one waited
	Avoided int    // number of idle connections that were not used, as they had carried the id
	// MultiplePeers reports whether the connection has carried requests for more than one peer, so that it is unknown which of them
	// a response to another request is about.
	MultiplePeers bool
}

// connections is the number of connections that all clients have opened.
var connections atomic.Uint64

// Client sends requests. It is safe for concurrent use.
type Client struct {
	o    Options
	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	number    uint64
	carried   carried.IDs
	peer      Peer          // of the first request
	mixed     bool          // it has carried requests for more than one peer
	responses int           // number of responses read, without the informational ones
	r         *bufio.Reader // reads from Conn through headerLimiter
	limiter   *headerLimiter
	expires   time.Time // when the connection must no longer be used
	idleSince time.Time
}

// headerLimiter limits the number of bytes that are read from a connection while a header is expected.
type headerLimiter struct {
	conn    net.Conn
	limited bool
	left    int // if limited
}

func (l *headerLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// readResponse reads the header of a response of limited size.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.limiter.limited, c.limiter.left = true, maxHeaderBytes
	defer func() { c.limiter.limited = false }()
	return http.ReadResponse(c.r, &http.Request{Method: method})
}

// New returns a Client.
func New(o Options) *Client {
	if o.MaxIdle <= 0 {
		o.MaxIdle = 8
	}
	if o.Dial == nil {
		d := dial.New(dial.Options{Timeout: dialTimeout, AckTimeout: ackTimeout, KeepAliveIdle: keepAliveIdle, KeepAliveProbes: 2})
		o.Dial = d.DialContext
	}
	return &Client{o: o, idle: map[string][]*conn{}}
}

// Response is the response to one request. Close must be called.
type Response struct {
	*http.Response
	// Reused reports whether the connection had served another request.
	Reused bool
	// Framing is what indicates the end of the body.
	Framing framing.Framing

	ctx      context.Context // of the request
	client   *Client
	conn     *conn
	address  string
	written  chan error  // receives the result of sending the request
	stop     func() bool // detaches the connection from ctx, whose end resets it
	bodyRead bool
	closed   bool
}

// Do sends a request to an address and returns the response once its header has arrived. When ctx ends, reads of the body
// fail.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	r.ID = core.RequestID(textproto.TrimString(string(r.ID))) // as it is sent
	if r.Trace == nil {
		r.Trace = &Trace{}
	}
	cn, reused, err := c.connection(ctx, address, &r)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := r.beforeSend(ctx); err != nil {
		cn.Close()
		return nil, &NotSentError{Cause: err}
	}
	if len(cn.carried) == 0 {
		cn.peer = r.Peer
	}
	cn.mixed = cn.mixed || cn.peer != r.Peer
	r.Trace.Conn, r.Trace.Carried, r.Trace.MultiplePeers = cn.number, len(cn.carried), cn.mixed
	cn.carried.Add(carried.Hash(string(r.ID)))
	resp := &Response{Reused: reused, ctx: ctx, client: c, conn: cn, address: address, written: make(chan error, 1)}
	// The goroutine that reads the response may be late, or be writing to a slow caller.
	resp.stop = context.AfterFunc(ctx, cn.reset)
	var sent int
	payload := r.encode(c.o.RequestIDHeader)
	// Small requests fit into the socket buffer. Larger ones are sent while the response is read, because an endpoint may
	// respond before it has read the whole body.
	if len(payload) <= readBufferBytes {
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
	for range maxResponsesRead {
		hr, err := cn.readResponse(r.Method)
		if err != nil {
			resp.Close()
			if cause := context.Cause(ctx); cause != nil {
				return nil, cause
			}
			return nil, errors.Wrap(err, "read response")
		}
		interim, err := status.Check(hr.StatusCode, hr.Header)
		if err != nil {
			resp.Close()
			return nil, err
		}
		if interim {
			continue
		}
		id := hr.Header.Get(c.o.RequestIDHeader)
		cn.responses++
		matched := id != "" && id == string(r.ID) || id == "" && cn.responses == 1
		if r.OnHeader != nil {
			r.OnHeader(hr, matched)
		}
		if !matched {
			r.Trace.Extra++
			n, err := io.Copy(io.Discard, io.LimitReader(hr.Body, maxSkippedBytes))
			if err == nil && n == maxSkippedBytes {
				err = ErrMismatchedResponse
			}
			if err != nil {
				resp.Close()
				return nil, errors.Wrap(err, "skip response to another request")
			}
			continue
		}
		resp.Response, resp.Framing = hr, framing.Of(hr)
		if resp.Framing == framing.Close {
			hr.Body = closeDelimitedBody{hr.Body, resp}
		}
		return resp, nil
	}
	resp.Close()
	return nil, errors.WithStack(ErrMismatchedResponse)
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	resp *Response
}

// Read returns io.EOF only if the connection ended in order.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if broken := b.resp.writeFailure(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// writeFailure ends the sending of the request, and returns the error of the connection that it met, or nil. The kernel reports a reset
// only once, to whichever of sending and reading comes first; the other one then sees an orderly end.
func (r *Response) writeFailure() error {
	r.conn.SetWriteDeadline(past) // fails only on closed connections
	err := <-r.written
	r.written <- err
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) { // EPIPE: the end of the response came before
		return nil
	}
	return errors.Wrap(err, "send the request")
}

// beforeSend returns why the request must not be sent any more, or nil.
func (r *Request) beforeSend(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// encode returns the request in HTTP/1.1 format. Its only header line idHeader is that with the id, by which responses are matched.
func (r *Request) encode(idHeader string) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	idHeader = http.CanonicalHeaderKey(idHeader)
	r.Header.WriteSubset(&b, map[string]bool{idHeader: true}) // a bytes.Buffer never fails
	if r.ID != "" {
		http.Header{idHeader: {string(r.ID)}}.Write(&b)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// connection returns an idle or a new connection to the address, and reports whether it is reused. A request without an id needs a new
// one, as nothing tells its response from a late one to another request.
func (c *Client) connection(ctx context.Context, address string, r *Request) (*conn, bool, error) {
	for r.ID != "" {
		cn := c.takeIdle(address, r)
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
	l := &headerLimiter{conn: n}
	return &conn{Conn: n, number: connections.Add(1), r: bufio.NewReaderSize(l, readBufferBytes), limiter: l}, false, nil
}

// takeIdle removes and returns the most recently used idle connection to an address that suits a request, or nil if there is none.
func (c *Client) takeIdle(address string, r *Request) *conn {
	hash := carried.Hash(string(r.ID))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		cn := list[i]
		switch {
		case now.After(cn.expires):
			cn.Close()
			list = slices.Delete(list, i, i+1)
			c.setIdle(address, list)
		case r.NonIdempotent && now.Sub(cn.idleSince) > nonIdempotentMaxIdle: // the others have been idle for even longer
			return nil
		case cn.carried.Has(hash):
			r.Trace.Avoided++
		default:
			c.setIdle(address, slices.Delete(list, i, i+1))
			return cn
		}
	}
	return nil
}

// setIdle replaces the idle connections to an address. The caller holds mu.
func (c *Client) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = list
}

// alive reports whether an idle connection is open and has no data to read. Data on an idle connection belongs to no
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

// MarkBodyRead records that the body has been read to its end, so that the connection can be reused.
func (r *Response) MarkBodyRead() { r.bodyRead = true }

// SetReadDeadline sets the deadline for reading the next bytes of the body.
func (r *Response) SetReadDeadline(t time.Time) error {
	err := r.conn.SetReadDeadline(t)
	if r.ctx.Err() != nil { // the new deadline may have replaced the one that was set when ctx ended
		err = r.conn.SetReadDeadline(past)
	}
	return err
}

// past is a deadline that makes every read and write fail.
var past = time.Unix(1, 0)

// Close releases the connection. It is kept for other requests if the response was read to its end and no data is left.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.stop() || !r.bodyRead {
		r.conn.reset()
		return
	}
	if r.conn.r.Buffered() > 0 || !r.reusable() || r.conn.carried.Full() {
		r.conn.Close()
		return
	}
	if r.conn.SetDeadline(time.Time{}) != nil {
		r.conn.Close()
		return
	}
	r.client.putIdle(r.address, r.conn, idleTimeout(r.Header))
}

// reset closes a connection and discards bytes that have not reached the endpoint, which must not run a request that has
// been abandoned.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0) // fails only on closed connections
	}
	c.Close()
}

// reusable reports whether the connection can serve another request: the request was sent completely, the endpoint did not
// ask to close the connection, and the length of the response is known.
func (r *Response) reusable() bool {
	select {
	case err := <-r.written:
		r.written <- err // for writeFailure
		if err != nil {
			return false
		}
	default:
		return false // the endpoint responded before it had read the request
	}
	return !r.Response.Close && r.Framing != framing.Close
}

// idleTimeout returns how long an idle connection may be kept, based on the timeout in the Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
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
	return defaultIdleTimeout
}

// putIdle keeps an idle connection for at most the timeout.
func (c *Client) putIdle(address string, cn *conn, timeout time.Duration) {
	if timeout <= 0 {
		cn.Close()
		return
	}
	cn.idleSince = time.Now()
	cn.expires = cn.idleSince.Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) >= c.o.MaxIdle {
		list[0].Close() // the oldest is the least useful: non-idempotent requests need a recently used one
		list = slices.Delete(list, 0, 1)
	}
	c.idle[address] = append(list, cn)
}

// CloseIdleExcept closes the idle connections to addresses for which keep returns false.
func (c *Client) CloseIdleExcept(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, list := range c.idle {
		if !keep(a) {
			for _, cn := range list {
				cn.Close()
			}
			delete(c.idle, a)
		}
	}
}
