// Package service is a client of plain services.
package service

import (
	"context"
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/common/framing"
	"monsoondale/common/status"
	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/io/internal/roundtrip"
)

// Options configures a Client.
type Options struct {
	roundtrip.Options
	// MaxReplyBytes limits the size of a response body; default 4 MiB.
	MaxReplyBytes int64
}

// Client sends requests to any number of services. It is safe for concurrent use.
type Client struct {
	opts Options
	rt   *roundtrip.Client
}

var _ dispatch.Service = (*Client)(nil)

// New returns a Client.
func New(o Options) *Client {
	o.MaxReplyBytes = lo.CoalesceOrEmpty(o.MaxReplyBytes, 4<<20)
	return &Client{opts: o, rt: roundtrip.New(o.Options)}
}

// Close closes idle connections.
func (c *Client) Close() { c.rt.Close() }

// ForwardedHeaders are the request headers that are forwarded to services.
var ForwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", "Idempotency-Key"}

// Call forwards a request to the service and returns the whole response, whatever its status. Only ctx limits the
// time.
func (c *Client) Call(ctx context.Context, permit *dispatch.Permit, address string, q dispatch.CallRequest) (dispatch.Reply, error) {
	header := http.Header{}
	for _, h := range ForwardedHeaders {
		if v := q.Header.Values(h); len(v) > 0 {
			header[h] = v
		}
	}
	resp, err := c.rt.Do(ctx, permit, roundtrip.Request{
		ID: q.Request, Method: q.Method, Address: address, Path: q.Path, Query: q.Query, Header: header, Body: q.Body, DedicatedConn: q.NonIdempotent,
	})
	switch {
	case errors.Is(err, status.ErrUndefined):
		return dispatch.Reply{}, core.Errorf(core.CodeServiceRejected, "%v", err)
	case err != nil:
		return dispatch.Reply{}, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(roundtrip.RequestIDHeader) == "" {
		return dispatch.Reply{}, core.Errorf(core.CodeWrongAnswer, "answer names no request")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, c.opts.MaxReplyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return dispatch.Reply{}, core.Errorf(core.CodeServiceRejected, "answer exceeds %d bytes", tooLarge.Limit)
	case err != nil && ctx.Err() != nil:
		return dispatch.Reply{}, context.Cause(ctx)
	case err != nil:
		return dispatch.Reply{}, core.Errorf(core.CodeTruncated, "%v", err)
	}
	media := resp.Header.Get("Content-Type")
	if _, _, err := mime.ParseMediaType(media); err != nil {
		media = "application/octet-stream"
	}
	return dispatch.Reply{Status: resp.StatusCode, Media: media, Body: body, Unframed: framing.Of(resp) == framing.Close}, nil
}
