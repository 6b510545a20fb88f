package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/endpoint"
	"monsoondale/io/internal/roundtrip"
	wire "monsoondale/wire/engine"
)

const ordersPath = "/orders"

// call sends q with in as its JSON body and decodes the response into out; both may be nil. A status other than 2xx is
// an error.
func (c *Client) call(ctx context.Context, q roundtrip.Request, in, out any) error {
	q.EchoOptional = true
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.WithStack(err)
		}
		q.Body = b
		q.Header = http.Header{"Content-Type": {"application/json"}}
	}
	resp, err := c.rt.Do(ctx, nil, q)
	if err != nil {
		return errors.WithMessagef(err, "%s %s", q.Method, q.Path)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, c.opts.MaxReplyBytes))
	if err != nil {
		return errors.Wrapf(err, "%s %s", q.Method, q.Path)
	}
	switch s := resp.StatusCode; {
	case s == http.StatusConflict && q.Path == ordersPath:
		return errors.WithMessagef(ErrStaleFence, "%s %s", q.Method, q.Path)
	case s < 200 || s > 299:
		return errors.Errorf("%s %s: status %d: %.200q", q.Method, q.Path, s, b)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(b, out), "%s %s", q.Method, q.Path)
}

// LoadReport returns the engine's load report, which lags behind its state.
func (c *Client) LoadReport(ctx context.Context, address string) (wire.Load, error) {
	var l wire.Load
	err := c.call(ctx, roundtrip.Request{Method: http.MethodGet, Address: address, Path: "/load"}, nil, &l)
	return l, err
}

// CacheEvents returns the engine's cache events with a sequence number above after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int) (wire.Events, error) {
	var e wire.Events
	err := c.call(ctx, roundtrip.Request{
		Method: http.MethodGet, Address: address, Path: "/cache", Query: "after=" + strconv.Itoa(after),
	}, nil, &e)
	return e, err
}

// Order sends an order, which sets the model, adapter and role of the engine, on a new connection. The error wraps
// ErrStaleFence if the engine has seen a newer fence.
func (c *Client) Order(ctx context.Context, address string, o wire.Order) error {
	return c.call(ctx, roundtrip.Request{Method: http.MethodPost, Address: address, Path: ordersPath, DedicatedConn: true}, o, nil)
}

// Orders returns the order that is in force at the engine.
func (c *Client) Orders(ctx context.Context, address string) (wire.Order, error) {
	var o wire.Order
	err := c.call(ctx, roundtrip.Request{Method: http.MethodGet, Address: address, Path: ordersPath}, nil, &o)
	return o, err
}

// NewReport combines a load report with the cache events after sequence number after. It also returns the sequence
// number for the next call. Events with a malformed prefix count as lost.
func NewReport(id core.EndpointID, l wire.Load, events []wire.Event, after int) (endpoint.Report, int) {
	r := endpoint.Report{Endpoint: id, Time: time.UnixMilli(int64(l.Time)), Running: l.Running, Waiting: l.Waiting}
	for _, e := range events {
		if e.Seq <= after {
			continue // duplicate
		}
		r.Gap = r.Gap || e.Seq != after+1
		after = e.Seq
		p, err := ParsePrefix(e.Prefix)
		if err != nil {
			r.Gap = true
			continue
		}
		r.Events = append(r.Events, endpoint.CacheEvent{Prefix: p, Evict: e.Op == wire.EventOpEvict})
	}
	return r, after
}

// maxPrefixes limits the number of prefixes per prompt. Of longer conversations, the firstPrefixes shortest are kept,
// which other conversations may share, and the longest, which the next turn shares.
const maxPrefixes, firstPrefixes = 32, 4

// PrefixHashes returns the hash of the prompt up to and including each message, shortest first. Engines identify cached
// prefixes by the same hashes.
func PrefixHashes(messages []wire.Message) []core.PrefixHash {
	var d xxhash.Digest
	d.Reset()
	all := make([]core.PrefixHash, 0, len(messages))
	for _, m := range messages {
		// The zero bytes separate roles and contents; writes to a Digest never fail.
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(m.Content)
		_, _ = d.Write([]byte{0})
		all = append(all, core.PrefixHash(d.Sum64()))
	}
	if n := len(all); n > maxPrefixes {
		all = append(all[:firstPrefixes:firstPrefixes], all[n-(maxPrefixes-firstPrefixes):]...)
	}
	return all
}

// FormatPrefix formats a prefix hash as in cache events.
func FormatPrefix(p core.PrefixHash) string { return strconv.FormatUint(uint64(p), 16) }

// ParsePrefix parses a prefix hash from a cache event.
func ParsePrefix(s string) (core.PrefixHash, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	return core.PrefixHash(n), errors.WithStack(err)
}
