// Package roundtrip sends single HTTP requests to endpoints. Each request is sent at most once, and a failed TCP
// dial is distinguished from all other failures.
//
// A faulty endpoint may send a response twice or late. Responses are matched to requests by the request id that endpoints echo, and
// no id is sent twice on one connection, so that a copy of an earlier response to the same request is not taken for the one that is
// due. A response without an id is accepted only if it is the first one on its connection.
package roundtrip

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/propagation"

	"monsoondale/common/carried"
	"monsoondale/common/resets"
	"monsoondale/common/status"
	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/internal/testhook"
)

// RequestIDHeader is the header with the request id; endpoints echo it.
const RequestIDHeader = "X-Request-Id"

// ErrMismatchedResponse reports that the response on a connection that has served another request does not have the id of the
// request. It may be a copy of an earlier response, so it says nothing about the request.
var ErrMismatchedResponse = errors.New("response to another request")

// Options configures a Client.
type Options struct {
	// Dial opens connections; default a net.Dialer. A failed TCP connect must be reported as a *net.OpError with Op
	// "dial", as net.Dialer does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout limits a TCP connect; default 500 ms. Another endpoint is tried afterwards, so it is not worth waiting
	// for a second SYN, which TCP sends after a second.
	DialTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept; default 15 s. It is well below the idle timeouts of usual
	// HTTP servers, so that a request is rarely written to a connection that the server is closing.
	IdleConnTimeout time.Duration
}

// Client sends requests over HTTP/1.1.
type Client struct {
	pool      pool
	dedicated *http.Transport
}

// New returns a Client.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext
	}
	o.DialTimeout = lo.CoalesceOrEmpty(o.DialTimeout, 500*time.Millisecond)
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
				defer cancel()
				c, err := o.Dial(ctx, network, address)
				var op *net.OpError
				if err != nil && errors.As(err, &op) && op.Op == "dial" {
					return nil, &dialError{op}
				}
				if err != nil {
					return nil, err
				}
				return &resets.Conn{Conn: c}, nil
			},
			DisableCompression:     true,
			MaxResponseHeaderBytes: 32 << 10,
			ForceAttemptHTTP2:      false,
		}
	}
	c := &Client{
		pool: pool{
			transport: transport(), idleTimeout: lo.CoalesceOrEmpty(o.IdleConnTimeout, 15*time.Second), idle: map[poolKey][]*conn{},
		},
		dedicated: transport(),
	}
	c.dedicated.DisableKeepAlives = true
	return c
}

// Close closes idle connections, and those in use after their response.
func (c *Client) Close() { c.pool.close() }

// dialError marks an error of Options.Dial, so that a dial error from elsewhere is not mistaken for one.
type dialError struct{ op *net.OpError }

func (e *dialError) Error() string { return e.op.Error() }
func (e *dialError) Unwrap() error { return e.op }

// singleUseBody is a request body that prevents automatic retries: net/http retries a request only if its body is nil
// or can be rewound, and this one is neither. It is used for GET as well.
type singleUseBody struct{ bytes.Reader }

// Close does nothing.
func (*singleUseBody) Close() error { return nil }

// Request is an HTTP request to an endpoint.
type Request struct {
	// ID is sent in RequestIDHeader. A request without one gets an id of its own.
	ID              core.RequestID
	Method, Address string
	Path, Query     string // Path is unescaped
	Header          http.Header
	Body            []byte
	// DedicatedConn sends the request on a new connection, which is closed afterwards.
	DedicatedConn bool
	// EchoOptional marks a request to which an endpoint may respond without the id. It shares connections only with those of the
	// same path, and only while all responses have the id.
	EchoOptional bool
}

// Do sends the request and returns the response, whatever its status. Its body must be closed. Redirects are not followed. If permit
// is not nil, Do uses it before sending, and reports a failed dial as *dispatch.NotSentError. A response with the id of another
// request is an error with core.CodeWrongAnswer or ErrMismatchedResponse.
func (c *Client) Do(ctx context.Context, permit *dispatch.Permit, r Request) (*http.Response, error) {
	if permit != nil {
		if err := permit.Use(); err != nil {
			return nil, err
		}
	}
	if r.ID == "" {
		r.ID = core.RequestID(core.NewID())
	}
	resp, err := c.send(ctx, r)
	if err == nil {
		return resp, nil
	}
	cause := context.Cause(ctx)
	var de *dialError
	notSent := errors.As(err, &de) && cause == nil
	if testhook.TreatErrorsAsNotSent.Load() {
		de, notSent = &dialError{&net.OpError{Op: "dial", Err: err}}, true
	}
	if notSent {
		if p := permit.ProveNotSent(de.op); p != nil {
			return nil, p
		}
	}
	if cause != nil {
		return nil, cause
	}
	return nil, errors.WithStack(err)
}

// send sends the request on a connection that has not carried its id.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, err
	}
	first := len(cn.carried) == 0
	cn.carried.Add(carried.Hash(string(r.ID)))
	resp, err := cn.RoundTrip(r.httpRequest(withInterimCheck(ctx)))
	if err != nil {
		cn.Close()
		return nil, err
	}
	if _, err := status.Check(resp.StatusCode, resp.Header); err != nil {
		cn.Close()
		return nil, err
	}
	id := core.RequestID(resp.Header.Get(RequestIDHeader))
	switch {
	case id == r.ID:
	case !first:
		cn.Close()
		return nil, errors.WithMessagef(ErrMismatchedResponse, "answer names request %.40q", id)
	case id != "":
		cn.Close()
		return nil, core.Errorf(core.CodeWrongAnswer, "answer names request %.40q", id)
	}
	release := sync.OnceFunc(func() {
		if id == "" { // later, a copy of this response could not be told from one that is due
			cn.Close()
			return
		}
		c.pool.put(cn)
	})
	if resp.Body == http.NoBody {
		release()
	} else {
		resp.Body = &releasingBody{resp.Body, release}
	}
	return resp, nil
}

// withInterimCheck returns a context for a request that fails at interim responses which are none, or too many.
func withInterimCheck(ctx context.Context) context.Context {
	n := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		if n++; n > status.MaxInterim {
			return errors.Wrapf(status.ErrUndefined, "%d interim responses", n)
		}
		_, err := status.Check(code, http.Header(h))
		return err
	}})
}

// connection returns a connection for the request. A *dialError means that there is none.
func (c *Client) connection(ctx context.Context, r Request) (*conn, error) {
	if !r.DedicatedConn {
		return c.pool.get(ctx, r.poolKey(), r.ID)
	}
	cc, err := c.dedicated.NewClientConn(ctx, "http", r.Address)
	if err != nil {
		return nil, err
	}
	return &conn{ClientConn: cc}, nil
}

// poolKey returns the key of the pooled connections that may be used for the request.
func (r *Request) poolKey() poolKey {
	if r.EchoOptional {
		return poolKey{r.Address, r.Path}
	}
	return poolKey{address: r.Address}
}

// httpRequest converts the request.
func (r *Request) httpRequest(ctx context.Context) *http.Request {
	body := &singleUseBody{}
	body.Reset(r.Body)
	req := (&http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: r.Address, Path: r.Path, RawQuery: r.Query},
		Host: r.Address, Header: r.Header, Body: body, ContentLength: int64(len(r.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(RequestIDHeader, string(r.ID))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req
}
