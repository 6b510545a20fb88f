// Package roundtrip sends single HTTP requests to endpoints. Each request is sent at most once, and a failed TCP
// dial is distinguished from all other failures.
package roundtrip

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/propagation"

	"monsoondale/core/dispatch"
	"monsoondale/internal/testhook"
)

// RequestIDHeader is the header with the request id; endpoints echo it.
const RequestIDHeader = "X-Request-Id"

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
	pooled, dedicated *http.Transport
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
				return c, err
			},
			DisableCompression:     true,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        lo.CoalesceOrEmpty(o.IdleConnTimeout, 15*time.Second),
			MaxResponseHeaderBytes: 32 << 10,
			ForceAttemptHTTP2:      false,
		}
	}
	c := &Client{pooled: transport(), dedicated: transport()}
	c.dedicated.DisableKeepAlives = true
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.dedicated.CloseIdleConnections()
}

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
	Method, Address string
	Path, Query     string // Path is unescaped
	Header          http.Header
	Body            []byte
	// DedicatedConn sends the request on a new connection, which is closed afterwards.
	DedicatedConn bool
}

// Do sends the request and returns the response, whatever its status. Redirects are not followed. If permit is not nil,
// Do uses it before sending, and reports a failed dial as *dispatch.NotSentError.
func (c *Client) Do(ctx context.Context, permit *dispatch.Permit, r Request) (*http.Response, error) {
	if permit != nil {
		if err := permit.Use(); err != nil {
			return nil, err
		}
	}
	// A dial error proves that nothing was sent only if the request never got a connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
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
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	t := c.pooled
	if r.DedicatedConn {
		t = c.dedicated
	}
	// RoundTrip instead of http.Client avoids redirects, cookies and retries.
	resp, err := t.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	var de *dialError
	notSent := errors.As(err, &de) && !connected.Load()
	if testhook.TreatErrorsAsNotSent.Load() {
		de, notSent = &dialError{&net.OpError{Op: "dial", Err: err}}, true
	}
	if notSent {
		if p := permit.ProveNotSent(de.op); p != nil {
			return nil, p
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	return nil, errors.WithStack(err)
}
