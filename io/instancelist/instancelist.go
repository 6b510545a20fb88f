// Package instancelist is a client of the platform's instance list.
package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/bounded"
	"monsoondale/wire/platform"
)

// maxListBytes limits the size of a listing; 3,600 engines and 920 instances at 250 bytes take 1.1 MB.
const maxListBytes = 16 << 20

// Client reads the instance list and writes single entries.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the list at the base URL. A timeout of 0 means 2 s per call; a nil transport means a new one.
func New(base string, timeout time.Duration, rt http.RoundTripper) *Client {
	if timeout <= 0 {
		timeout = 2 * time.Second
	}
	if rt == nil {
		rt = &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: bounded.MaxHeaderBytes}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: rt}}
}

// List returns the list with its revision.
func (c *Client) List(ctx context.Context) (platform.Instances, error) {
	var out platform.Instances
	body, err := c.do(ctx, http.MethodGet, "", nil)
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(body, &out), "decode instance list")
}

// Register adds or replaces an entry. It is idempotent.
func (c *Client) Register(ctx context.Context, in platform.Instance) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	_, err = c.do(ctx, http.MethodPut, in.Name, b)
	return err
}

// MarkLeaving writes the entry with state leaving. It is idempotent.
func (c *Client) MarkLeaving(ctx context.Context, in platform.Instance) error {
	in.State = platform.InstanceStateLeaving
	return c.Register(ctx, in)
}

// Remove deletes an entry. It is idempotent.
func (c *Client) Remove(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, name, nil)
	return err
}

func (c *Client) do(ctx context.Context, method, name string, value []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := c.base + "/instances"
	if name != "" {
		u += "/" + url.PathEscape(name)
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "build instance list request")
	}
	if value != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "instance list: %s %s", method, name)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "instance list: %s %s", method, name)
	case len(body) > maxListBytes:
		return nil, errors.Errorf("instance list exceeds %d bytes", maxListBytes)
	case method == http.MethodDelete && resp.StatusCode == http.StatusNotFound:
		return nil, nil // already removed
	case resp.StatusCode/100 != 2:
		return nil, errors.Errorf("instance list: %s %s: status %d: %.200s", method, name, resp.StatusCode, body)
	}
	return body, nil
}
