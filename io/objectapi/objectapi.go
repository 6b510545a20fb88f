// Package objectapi is a client of the platform's object API.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"monsoondale/common/bounded"
	"monsoondale/core"
	"monsoondale/core/object"
	"monsoondale/wire/platform"
)

// Options configures a Client. Zero fields have the defaults given below.
type Options struct {
	BaseURL      string            // URL of the API, without a trailing slash
	Transport    http.RoundTripper // default: a new one with at most 64 connections
	Timeout      time.Duration     // of one call, for Watch in addition to its wait; default 2 s
	ListTimeout  time.Duration     // of a listing, which may be tens of megabytes; default 10 s
	Rate         rate.Limit        // calls per second of this client; default 200
	Burst        int               // calls at once; default 100
	MaxListBytes int64             // of a listing or of changes; default 96 MiB, enough for 48,000 workspaces of 1 KB in JSON
}

// Counters counts the calls of a client by outcome.
type Counters struct {
	Reads, Writes, Watches                       int64
	Conflicts, Throttled, Undetermined, Failures int64
}

// Client calls the object API. It is safe for concurrent use and never retries a call.
type Client struct {
	opts    Options
	http    *http.Client
	limiter *rate.Limiter

	reads, writes, watches, conflicts, throttled, undetermined, failures atomic.Int64
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.ListTimeout <= 0 {
		o.ListTimeout = 10 * time.Second
	}
	if o.Rate <= 0 {
		o.Rate = 200
	}
	if o.Burst <= 0 {
		o.Burst = 100
	}
	if o.MaxListBytes <= 0 {
		o.MaxListBytes = 96 << 20
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost:    64,
			MaxConnsPerHost:        64,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
		}
	}
	o.BaseURL = strings.TrimSuffix(o.BaseURL, "/")
	return &Client{opts: o, http: &http.Client{Transport: o.Transport}, limiter: rate.NewLimiter(o.Rate, o.Burst)}
}

// Counters returns the counts of the calls made so far.
func (c *Client) Counters() Counters {
	return Counters{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load(),
		Conflicts: c.conflicts.Load(), Throttled: c.throttled.Load(),
		Undetermined: c.undetermined.Load(), Failures: c.failures.Load(),
	}
}

// Get returns the value and version of an object. The error is object.ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) ([]byte, core.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	c.reads.Add(1)
	body, h, err := c.read(ctx, c.objectURL(kind, name), object.MaxValue)
	if err != nil {
		return nil, 0, err
	}
	version, err := parseVersion(h)
	if err != nil {
		c.failures.Add(1)
		return nil, 0, err
	}
	return body, version, nil
}

// Put writes an object if it has the given version, or, with version 0, if it does not exist. It returns the new
// version. Errors of package object tell whether the write took effect.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte, version core.Revision) (core.Revision, error) {
	if len(value) > object.MaxValue {
		return 0, errors.Wrapf(object.ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	return c.write(ctx, http.MethodPut, kind, name, value, version)
}

// Delete deletes an object if it has the given version. It returns the version of the tombstone.
func (c *Client) Delete(ctx context.Context, kind, name string, version core.Revision) (core.Revision, error) {
	if version <= 0 {
		return 0, errors.Errorf("delete %s/%s: a version is required", kind, name)
	}
	return c.write(ctx, http.MethodDelete, kind, name, nil, version)
}

// List returns the objects of a kind, possibly with tombstones, and the revision of the listing.
func (c *Client) List(ctx context.Context, kind string) (platform.Items, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ListTimeout)
	defer cancel()
	c.reads.Add(1)
	return c.readItems(ctx, c.objectURL(kind))
}

// Watch waits up to wait for changes of a kind after a revision. Without a change it returns no items and the current
// revision. The error is object.ErrGone if the revision is too old.
func (c *Client) Watch(ctx context.Context, kind string, after core.Revision, wait time.Duration) (platform.Items, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.Timeout)
	defer cancel()
	c.watches.Add(1)
	q := url.Values{"after": {strconv.FormatInt(int64(after), 10)}, "wait": {strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)}}
	return c.readItems(ctx, c.objectURL(kind)+"?"+q.Encode())
}

func (c *Client) readItems(ctx context.Context, u string) (platform.Items, error) {
	body, _, err := c.read(ctx, u, c.opts.MaxListBytes)
	if err != nil {
		return platform.Items{}, err
	}
	var out platform.Items
	if err := json.Unmarshal(body, &out); err != nil {
		c.failures.Add(1)
		return platform.Items{}, errors.Wrap(err, "decode objects")
	}
	return out, nil
}

func (c *Client) read(ctx context.Context, u string, limit int64) ([]byte, http.Header, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		c.throttled.Add(1)
		return nil, nil, &object.ThrottledError{Retry: time.Second}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "object API URL")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.failures.Add(1)
		return nil, nil, errors.Wrap(err, "read objects")
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, limit)
	if err != nil {
		c.failures.Add(1)
		return nil, nil, errors.Wrap(err, "read objects")
	}
	if err := c.statusError(resp, body); err != nil {
		return nil, nil, errors.Wrapf(err, "GET %s", req.URL.Path)
	}
	return body, resp.Header, nil
}

func (c *Client) write(ctx context.Context, method, kind, name string, value []byte, version core.Revision) (core.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		c.throttled.Add(1)
		return 0, &object.ThrottledError{Retry: time.Second}
	}
	c.writes.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.objectURL(kind, name), io.NopCloser(bytes.NewReader(value)))
	if err != nil {
		return 0, errors.Wrap(err, "object API URL")
	}
	req.ContentLength = int64(len(value))
	if len(value) == 0 {
		req.Body = http.NoBody
	}
	// Without GetBody the transport cannot rewind the body and retry on a new connection. A retried conditional write
	// would conflict with its own first attempt.
	req.GetBody = nil
	if version > 0 {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(version), 10)))
	} else {
		req.Header.Set("If-None-Match", "*")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if notSent(err) {
			c.failures.Add(1)
			return 0, errors.Wrapf(object.ErrUnavailable, "%s %s/%s: %v", method, kind, name, err)
		}
		return 0, c.undeterminedError(err)
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, 7*object.MaxValue) // a conflict has the value as a JSON string, with up to 6 characters per byte
	switch {
	case resp.StatusCode == http.StatusConflict:
		if err != nil {
			return 0, c.undeterminedError(err) // the caller then reads the object
		}
		var it platform.Item
		if err := json.Unmarshal(body, &it); err != nil {
			return 0, c.undeterminedError(errors.Wrap(err, "decode conflict"))
		}
		c.conflicts.Add(1)
		return 0, &object.ConflictError{Kind: kind, Name: name, Version: core.Revision(it.Version), Value: []byte(it.Value), Deleted: it.Deleted}
	case resp.StatusCode/100 == 2:
		v, err := parseVersion(resp.Header)
		if err != nil {
			return 0, c.undeterminedError(err)
		}
		return v, nil
	case resp.StatusCode >= 500:
		return 0, c.undeterminedError(errors.Errorf("%s %s/%s: status %d", method, kind, name, resp.StatusCode))
	}
	return 0, errors.Wrapf(c.statusError(resp, body), "%s %s/%s", method, kind, name)
}

// undeterminedError counts and wraps the error of a write that may have taken effect.
func (c *Client) undeterminedError(err error) error {
	c.undetermined.Add(1)
	return &object.UndeterminedError{Err: err}
}

// statusError returns the error for the status of a response, or nil for 2xx.
func (c *Client) statusError(resp *http.Response, body []byte) error {
	if resp.StatusCode/100 == 2 {
		return nil
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		c.throttled.Add(1)
		s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil || s < 0 {
			s = 1
		}
		return &object.ThrottledError{Retry: min(time.Duration(s), 60) * time.Second}
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return object.ErrNotFound
	case http.StatusGone:
		return object.ErrGone
	case http.StatusRequestEntityTooLarge:
		return object.ErrTooLarge
	}
	c.failures.Add(1)
	return errors.Errorf("object API status %d: %.200s", resp.StatusCode, body)
}

func (c *Client) objectURL(parts ...string) string {
	u := c.opts.BaseURL + "/objects"
	for _, p := range parts {
		u += "/" + url.PathEscape(p)
	}
	return u
}

// notSent reports whether the error proves that nothing was sent, because the dial failed.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func parseVersion(h http.Header) (core.Revision, error) {
	s, err := strconv.Unquote(h.Get("ETag"))
	if err != nil {
		return 0, errors.Errorf("malformed ETag %.40q", h.Get("ETag"))
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v <= 0 {
		return 0, errors.Errorf("malformed ETag %.40q", h.Get("ETag"))
	}
	return core.Revision(v), nil
}
