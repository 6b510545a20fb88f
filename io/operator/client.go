package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/bounded"
	"monsoondale/core"
	"monsoondale/core/workspace"
	wire "monsoondale/wire/operator"
)

// maxResponseBytes is the size of the largest response; a report has a row for each of up to 48,000 workspaces.
const maxResponseBytes = 128 << 20

// Client calls the operator API of one instance.
type Client struct {
	base, key string
	http      *http.Client
}

// NewClient returns a client for a base URL such as http://10.0.0.5:7002.
func NewClient(base, key string) *Client { return NewClientWithTransport(base, key, nil) }

// NewClientWithTransport returns a client that uses the transport; nil means http.DefaultTransport.
func NewClientWithTransport(base, key string, t http.RoundTripper) *Client {
	return &Client{strings.TrimSuffix(base, "/"), key, &http.Client{Timeout: time.Minute, Transport: t}}
}

// TrustAuthorities makes the client accept server certificates of these authorities instead of those of the system.
func (c *Client) TrustAuthorities(authorities *x509.CertPool) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}
	c.http.Transport = t
	return c
}

// APIError is an error response of the API. Current is the stored object if the change conflicts with it.
type APIError struct {
	Err     *core.Error
	Current *wire.Object
}

// Error returns the result code and the message.
func (r *APIError) Error() string { return r.Err.Error() }

// Unwrap returns the result code.
func (r *APIError) Unwrap() error { return r.Err }

// Get reads a template or workspace. If it does not exist, the error has code 1405.
func (c *Client) Get(ctx context.Context, kind, name string) (wire.Object, error) {
	return call[wire.Object](ctx, c, http.MethodGet, objectPath(kind, name), nil, nil)
}

// List lists the templates or workspaces without their documents.
func (c *Client) List(ctx context.Context, kind string) (wire.Objects, error) {
	return call[wire.Objects](ctx, c, http.MethodGet, "/"+kind+"s", nil, nil)
}

// Change describes a change of an object. Version is the version that it replaces, 0 to create the object.
type Change struct {
	Kind, Name string
	File       string // name of the document in error messages
	Text       string // the document; ignored by Delete
	Version    int
	DryRun     bool
}

// Put creates or replaces an object. If the response is lost, the object is read back to find out whether it changed.
func (c *Client) Put(ctx context.Context, ch Change) (wire.Change, error) {
	return c.change(ctx, http.MethodPut, ch, []byte(ch.Text))
}

// Delete deletes an object.
func (c *Client) Delete(ctx context.Context, ch Change) (wire.Change, error) {
	return c.change(ctx, http.MethodDelete, ch, nil)
}

func (c *Client) change(ctx context.Context, method string, ch Change, text []byte) (wire.Change, error) {
	id := core.NewID()
	header := http.Header{"X-Change-Id": {id}}
	if ch.Version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.Itoa(ch.Version)))
	}
	query := url.Values{}
	if ch.DryRun {
		query.Set("dry-run", "true")
	}
	if ch.File != "" {
		query.Set("file", ch.File)
	}
	path := objectPath(ch.Kind, ch.Name)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	out, err := call[wire.Change](ctx, c, method, path, header, text)
	var apiErr *APIError
	if err == nil || ch.DryRun || errors.As(err, &apiErr) || notSent(err) {
		return out, err
	}
	// The response was lost. The change id of the stored object tells whether the change was made.
	if o, getErr := c.Get(ctx, ch.Kind, ch.Name); getErr == nil && o.Change == id {
		return wire.Change{Kind: ch.Kind, Name: ch.Name, Version: o.Version, Change: id}, nil
	}
	return out, core.Errorf(core.CodeChangeUnknown, "%s/%s, change %s: %v", ch.Kind, ch.Name, id, err)
}

// notSent reports whether the dial failed, which proves that nothing was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Status returns the state of all instances.
func (c *Client) Status(ctx context.Context) (wire.Status, error) {
	return call[wire.Status](ctx, c, http.MethodGet, "/status", nil, nil)
}

// History returns the latest changes; kind and name may be empty.
func (c *Client) History(ctx context.Context, kind, name string, limit int) (wire.History, error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	if kind != "" {
		q.Set("kind", kind)
	}
	if name != "" {
		q.Set("name", name)
	}
	return call[wire.History](ctx, c, http.MethodGet, "/history?"+q.Encode(), nil, nil)
}

// Report returns the merged counts of all instances.
func (c *Client) Report(ctx context.Context) (wire.Report, error) {
	return call[wire.Report](ctx, c, http.MethodGet, "/report", nil, nil)
}

// SetLogLevel sets the log level of the instance.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	b, err := json.Marshal(wire.Level{Level: wire.LevelLevel(level)})
	if err != nil {
		return errors.Wrap(err, "encode level")
	}
	_, err = call[wire.Level](ctx, c, http.MethodPut, "/loglevel", nil, b)
	return err
}

func objectPath(kind, name string) string {
	if kind != workspace.ObjectTemplate {
		kind = workspace.ObjectWorkspace
	}
	return "/" + kind + "s/" + url.PathEscape(name)
}

// call sends one request and decodes the response. Error responses of the API are returned as *APIError.
func call[T any](ctx context.Context, c *Client, method, path string, header http.Header, text []byte) (T, error) {
	var out T
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(text))
	if err != nil {
		return out, errors.Wrap(err, "build operator API request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if text != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, errors.Wrap(err, "call the operator API")
	}
	defer resp.Body.Close()
	b, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return out, errors.Wrap(err, "read the response of the operator API")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var f wire.Failure
		if err := json.Unmarshal(b, &f); err != nil || f.Error.Code == 0 {
			return out, errors.Errorf("the operator API answered %s", resp.Status)
		}
		return out, &APIError{&core.Error{Code: core.Code(f.Error.Code), Detail: f.Error.Message}, f.Error.Current}
	}
	return out, errors.Wrap(json.Unmarshal(b, &out), "decode the response of the operator API")
}
