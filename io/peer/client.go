// Package peer exchanges messages between instances: JSON over HTTP/2 with one connection per pair, in cleartext or
// over TLS.
package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"monsoondale/common/bounded"
	wire "monsoondale/wire/peer"
)

// Paths of the messages.
const (
	pathAsk      = "/peer/ask"
	pathRelease  = "/peer/release"
	pathWithdraw = "/peer/withdraw"
	pathSync     = "/peer/sync"
	pathSuspend  = "/peer/suspend"
	pathFloor    = "/peer/floor"
	pathClaim    = "/peer/claim"
	pathGossip   = "/peer/gossip"
	pathReport   = "/peer/report"
)

const (
	// maxMessageBytes limits the size of a message. The largest one is a gossip response with the whole configuration:
	// 48,000 workspaces of 1 KB in JSON.
	maxMessageBytes = 96 << 20
	// pingAfter and pingTimeout detect a frozen or unreachable peer on a connection without traffic.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections. Pings on a connection to each peer would make the traffic of an instance grow
	// with the size of the fleet.
	idleTimeout = 3 * time.Second
	// callTimeout limits messages that are answered immediately; an ask has only the deadline of its context.
	callTimeout = 2 * time.Second
)

// ErrRejected means that the peer responded with an error status, so it is alive.
var ErrRejected = errors.New("peer rejected the message")

// Client sends messages to other instances. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	key       string
	scheme    string
	tracer    trace.Tracer
}

// Options configures a Client.
type Options struct {
	Key  string // sent to peers; shared by all instances
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS returns the configuration for a connection to a host. It is called for each connection, so that new connections
	// use replaced certificates. Nil means cleartext; otherwise HTTP/2 is negotiated by ALPN.
	TLS func(host string) *tls.Config
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	var p http.Protocols
	t := &http.Transport{
		Protocols:              &p,
		DialContext:            o.dial,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	c := &Client{transport: t, key: o.Key, scheme: "http", tracer: newTracer()}
	if o.TLS == nil {
		p.SetUnencryptedHTTP2(true)
		return c
	}
	c.scheme = "https"
	p.SetHTTP2(true)
	t.DialTLSContext = o.dialTLS
	return c
}

func (o *Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return o.Dial(ctx, network, address)
}

func (o *Options) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	raw, err := o.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := tls.Client(raw, o.TLS(host))
	if err := c.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Ask asks the owner at addr for a slot and waits for the answer until ctx ends.
func (c *Client) Ask(ctx context.Context, addr string, m wire.Ask) (wire.Answer, error) {
	return call[wire.Answer](ctx, c, addr, pathAsk, m)
}

// Release returns a slot to the owner at addr.
func (c *Client) Release(ctx context.Context, addr string, m wire.Release) error {
	_, err := callWithTimeout[struct{}](ctx, c, addr, pathRelease, m)
	return err
}

// Withdraw withdraws an ask from the owner at addr.
func (c *Client) Withdraw(ctx context.Context, addr string, m wire.Withdraw) error {
	_, err := callWithTimeout[struct{}](ctx, c, addr, pathWithdraw, m)
	return err
}

// Sync tells the owner at addr which slots are in use.
func (c *Client) Sync(ctx context.Context, addr string, m wire.Sync) (wire.Synced, error) {
	return callWithTimeout[wire.Synced](ctx, c, addr, pathSync, m)
}

// Suspend asks the holder at addr to suspend a running request.
func (c *Client) Suspend(ctx context.Context, addr string, m wire.Suspend) (wire.Suspended, error) {
	return callWithTimeout[wire.Suspended](ctx, c, addr, pathSuspend, m)
}

// Floor asks the candidate at addr to apply a floor and confirm it.
func (c *Client) Floor(ctx context.Context, addr string, m wire.Floor) (wire.Floored, error) {
	return callWithTimeout[wire.Floored](ctx, c, addr, pathFloor, m)
}

// Claim forwards an order claim to the instance at addr, which batches the writes of its claim shard.
func (c *Client) Claim(ctx context.Context, addr string, m wire.Claim) (wire.Claimed, error) {
	return call[wire.Claimed](ctx, c, addr, pathClaim, m)
}

// Gossip exchanges revisions and changes with the instance at addr.
func (c *Client) Gossip(ctx context.Context, addr string, m wire.Gossip) (wire.Gossip, error) {
	return callWithTimeout[wire.Gossip](ctx, c, addr, pathGossip, m)
}

// Report returns the counters of the instance at addr.
func (c *Client) Report(ctx context.Context, addr string) (json.RawMessage, error) {
	return callWithTimeout[json.RawMessage](ctx, c, addr, pathReport, struct{}{})
}

// callWithTimeout is call limited by callTimeout.
func callWithTimeout[Resp, Req any](ctx context.Context, c *Client, addr, path string, m Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call[Resp](ctx, c, addr, path, m)
}

// newTracer returns the tracer of client and server. They create their spans without otelhttp, which computes the
// attributes of its histograms for each message even if they are turned off; metrics are counted by go-metrics.
func newTracer() trace.Tracer { return otel.Tracer("monsoondale/peer") }

// call sends a message by POST and decodes the response.
func call[Resp, Req any](ctx context.Context, c *Client, addr, path string, m Req) (resp Resp, err error) {
	ctx, span := c.tracer.Start(ctx, strings.TrimPrefix(path, "/peer/"), trace.WithSpanKind(trace.SpanKindClient))
	defer func() {
		if err != nil {
			span.RecordError(err)
		}
		span.End()
	}()
	body, err := json.Marshal(m)
	if err != nil {
		return resp, errors.Wrapf(err, "encode %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return resp, errors.Wrapf(err, "build message %s", path)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	// RoundTrip instead of http.Client avoids redirects and cookies.
	r, err := c.transport.RoundTrip(req)
	if err != nil {
		return resp, errors.Wrapf(err, "peer %s", addr)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return resp, errors.Wrapf(ErrRejected, "peer %s %s: %s", addr, path, r.Status)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&resp); err != nil {
		return resp, errors.Wrapf(err, "peer %s %s", addr, path)
	}
	return resp, nil
}
