// Package engine is the client of model engines: chats in the OpenAI format with resumable streams, load reports,
// cache events and orders.
package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/tmaxmax/go-sse"

	"monsoondale/common/status"
	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/internal/testhook"
	"monsoondale/io/internal/roundtrip"
	wire "monsoondale/wire/engine"
)

// Options configures a Client.
type Options struct {
	roundtrip.Options
	// FirstEventTimeout limits the wait for the response to a dispatch, and then for its first event; default 15 s, enough
	// for a long prefill. After it the stream is resumed, which is harmless if the engine is only slow.
	FirstEventTimeout time.Duration
	// EventTimeout limits the wait between events, and for the response to a resume; default 3 s, a hundred times the
	// target for the time between tokens.
	EventTimeout time.Duration
	// MaxEventBytes limits the size of one event; default 256 KiB.
	MaxEventBytes int
	// MaxStreamBytes limits the size of one stream; default 64 MiB.
	MaxStreamBytes int64
	// MaxReplyBytes limits the size of all other responses; default 1 MiB.
	MaxReplyBytes int64
}

// Client sends requests to any number of engines. It is safe for concurrent use.
type Client struct {
	opts Options
	rt   *roundtrip.Client
}

var _ dispatch.Engine = (*Client)(nil)

// New returns a Client.
func New(o Options) *Client {
	o.FirstEventTimeout = lo.CoalesceOrEmpty(o.FirstEventTimeout, 15*time.Second)
	o.EventTimeout = lo.CoalesceOrEmpty(o.EventTimeout, 3*time.Second)
	o.MaxEventBytes = lo.CoalesceOrEmpty(o.MaxEventBytes, 256<<10)
	o.MaxStreamBytes = lo.CoalesceOrEmpty(o.MaxStreamBytes, 64<<20)
	o.MaxReplyBytes = lo.CoalesceOrEmpty(o.MaxReplyBytes, 1<<20)
	return &Client{opts: o, rt: roundtrip.New(o.Options)}
}

// Close closes idle connections.
func (c *Client) Close() { c.rt.Close() }

var (
	// ErrTruncated means that a stream ended without its end mark.
	ErrTruncated = errors.New("stream ended without [DONE]")
	// ErrStaleFence means that an engine refused an order because it has seen a newer fence.
	ErrStaleFence = errors.New("stale fence")
)

// Chat dispatches a chat. See dispatch.Engine.
func (c *Client) Chat(ctx context.Context, permit *dispatch.Permit, address string, q dispatch.ChatRequest, yield func(dispatch.Event) error) error {
	header := http.Header{"Content-Type": {"application/json"}}
	if q.Key != "" {
		header.Set("Idempotency-Key", q.Key)
	}
	return c.stream(ctx, permit, q.Request, 0, c.opts.FirstEventTimeout, roundtrip.Request{
		Method: http.MethodPost, Address: address, Path: "/v1/chat/completions", Body: q.Body, DedicatedConn: q.NonIdempotent, Header: header,
	}, yield)
}

// Resume continues a stream, over a new connection. See dispatch.Engine.
func (c *Client) Resume(ctx context.Context, address string, id core.RequestID, after int, yield func(dispatch.Event) error) error {
	firstTimeout := c.opts.EventTimeout
	if after == 0 {
		firstTimeout = c.opts.FirstEventTimeout // the prefill may still be running
	}
	return c.stream(ctx, nil, id, after, firstTimeout, roundtrip.Request{
		Method: http.MethodGet, Address: address, Path: "/v1/streams/" + string(id), DedicatedConn: true,
		Header: http.Header{"Last-Event-Id": {strconv.Itoa(after)}},
	}, yield)
}

// Cancel stops a request, over a new connection. The engine keeps the tokens computed so far.
func (c *Client) Cancel(ctx context.Context, address string, id core.RequestID) error {
	return c.call(ctx, roundtrip.Request{
		ID: id, Method: http.MethodDelete, Address: address, Path: "/v1/streams/" + string(id), DedicatedConn: true,
	}, nil, nil)
}

// stream sends q and yields the events with an id above after. firstTimeout limits the wait for the response, and
// again the wait for the first event. yield is called with an empty event as soon as the response is accepted.
func (c *Client) stream(ctx context.Context, permit *dispatch.Permit, id core.RequestID, after int, firstTimeout time.Duration, q roundtrip.Request, yield func(dispatch.Event) error) error {
	q.ID = id
	q.Header.Set("Accept", "text/event-stream")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(firstTimeout, func() { cancel(dispatch.ErrIdle) })
	defer idleTimer.Stop()

	resp, err := c.rt.Do(ctx, permit, q)
	switch {
	case errors.Is(err, status.ErrUndefined) && q.Method != http.MethodGet: // not a resume, whose errors have no code
		return core.Errorf(core.CodeEngineError, "%v", err)
	case err != nil:
		return err
	}
	idleTimer.Stop()
	defer resp.Body.Close()
	if err := c.checkResponse(resp); err != nil {
		return err
	}
	if err := yield(dispatch.Event{}); err != nil {
		return err
	}

	body := &idleTimerReader{r: http.MaxBytesReader(nil, resp.Body, c.opts.MaxStreamBytes), timer: idleTimer, timeout: firstTimeout}
	checker, done := newEventChecker(id, after), false
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: c.opts.MaxEventBytes}) {
		if err != nil {
			var tooLarge *http.MaxBytesError
			if errors.Is(err, bufio.ErrTooLong) || errors.As(err, &tooLarge) {
				return core.Errorf(core.CodeWrongAnswer, "stream exceeds a size limit: %v", err)
			}
			return lo.CoalesceOrEmpty(context.Cause(ctx), err)
		}
		body.timeout = c.opts.EventTimeout
		if ev.Data == "[DONE]" {
			// The end mark may have no id, the last id or the next one.
			if endID := ev.LastEventID; endID != "" && endID != strconv.Itoa(checker.lastID) && endID != strconv.Itoa(checker.lastID+1) {
				return core.Errorf(core.CodeWrongAnswer, "end mark has event id %.20q after %d", endID, checker.lastID)
			}
			done = true
			break
		}
		e, err := checker.check(ev)
		if err != nil {
			return err
		}
		if err := yield(e); err != nil {
			return err
		}
	}
	if !done && !testhook.AcceptTruncated.Load() {
		return lo.CoalesceOrEmpty(context.Cause(ctx), ErrTruncated)
	}
	// The connection can be reused only if the body is read to its end, which usually arrives with the end mark. The
	// timeout keeps a late end from delaying the answer.
	body.timeout = 20 * time.Millisecond
	_, _ = io.CopyN(io.Discard, body, 1)
	return nil
}

// checkResponse checks the status and media type of a stream, and that it has the request id.
func (c *Client) checkResponse(resp *http.Response) error {
	if s := resp.StatusCode; s != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		resume := resp.Request.Method == http.MethodGet
		switch {
		case resume && (s == http.StatusNotFound || s == http.StatusGone):
			return dispatch.ErrUnknownStream
		case resume:
			return errors.Errorf("resume refused: status %d: %.200q", s, detail)
		}
		return core.Errorf(core.CodeEngineError, "status %d: %.200q", s, detail)
	}
	if resp.Header.Get(roundtrip.RequestIDHeader) == "" {
		return core.Errorf(core.CodeWrongAnswer, "answer names no request")
	}
	if media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type")); err != nil || media != "text/event-stream" {
		return core.Errorf(core.CodeWrongAnswer, "content type %.60q instead of a stream", resp.Header.Get("Content-Type"))
	}
	return nil
}

// present records whether a JSON value is present and not empty, without storing the value.
type present bool

// UnmarshalJSON sets p to whether the value is something other than null, "", [] or {}.
func (p *present) UnmarshalJSON(b []byte) error {
	*p = len(b) > 2 && string(b) != "null"
	return nil
}

// eventChecker checks the events of one stream. It reuses its decoder and the decoded chunk, since it runs for each
// token.
type eventChecker struct {
	request core.RequestID
	lastID  int // id of the last event
	data    strings.Reader
	decoder *json.Decoder // reads data
	chunk   struct {
		ID      string `json:"id"`
		Choices []struct {
			Index int `json:"index"`
			Delta struct {
				Content present `json:"content"`
				Refusal present `json:"refusal"`
				Tools   present `json:"tool_calls"`
			} `json:"delta"`
			Finish present `json:"finish_reason"`
		} `json:"choices"`
		Usage *wire.Usage `json:"usage"`
	}
}

func newEventChecker(r core.RequestID, last int) *eventChecker {
	c := &eventChecker{request: r, lastID: last}
	c.decoder = json.NewDecoder(&c.data)
	return c
}

// decode decodes the data of an event, which must be a single JSON value, into c.chunk.
func (c *eventChecker) decode(data string) error {
	start := c.decoder.InputOffset()
	c.data.Reset(data)
	if err := c.decoder.Decode(&c.chunk); err != nil {
		return errors.WithStack(err)
	}
	rest := data[c.decoder.InputOffset()-start:]
	if rest == "" {
		return nil
	}
	if strings.Trim(rest, " \t\r\n") != "" {
		return errors.Errorf("%.20q follows the value", rest)
	}
	c.decoder = json.NewDecoder(&c.data) // the old decoder may have buffered a part of rest
	return nil
}

// check validates an event, which must belong to the request and have the id after lastID, and converts it.
func (c *eventChecker) check(ev sse.Event) (dispatch.Event, error) {
	if ev.Type == "error" {
		return dispatch.Event{}, core.Errorf(core.CodeEngineError, "%.200q", ev.Data)
	}
	id := c.lastID + 1
	if ev.LastEventID != strconv.Itoa(id) {
		return dispatch.Event{}, core.Errorf(core.CodeWrongAnswer, "event id %.20q after %d", ev.LastEventID, c.lastID)
	}
	chunk := &c.chunk
	clear(chunk.Choices[:cap(chunk.Choices)]) // otherwise missing fields would keep the values of an earlier event
	chunk.ID, chunk.Choices, chunk.Usage = "", chunk.Choices[:0], nil
	if err := c.decode(ev.Data); err != nil {
		return dispatch.Event{}, core.Errorf(core.CodeWrongAnswer, "event %d: %v", id, err)
	}
	if chunk.ID != string(c.request) && !testhook.AcceptForeignChunks.Load() {
		return dispatch.Event{}, core.Errorf(core.CodeWrongAnswer, "event %d names request %.40q", id, chunk.ID)
	}
	c.lastID = id
	e := dispatch.Event{ID: id, Data: ev.Data}
	for _, x := range chunk.Choices {
		e.HasText = e.HasText || bool(x.Delta.Content || x.Delta.Refusal || x.Delta.Tools)
		if x.Finish {
			e.FinishedChoices = append(e.FinishedChoices, x.Index)
		}
	}
	if u := chunk.Usage; u != nil {
		e.Usage = &dispatch.Usage{Prompt: core.Tokens(u.PromptTokens), Generated: core.Tokens(u.CompletionTokens)}
		if d := u.PromptTokensDetails; d != nil {
			e.Usage.Cached = core.Tokens(d.CachedTokens)
		}
		e.UsageOnly = len(chunk.Choices) == 0
	}
	return e, nil
}

// idleTimerReader runs a timer only while a read is blocked, so that the time a slow caller takes does not count as
// silence of the engine.
type idleTimerReader struct {
	r       io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read reads from the stream.
func (p *idleTimerReader) Read(b []byte) (int, error) {
	p.timer.Reset(p.timeout)
	defer p.timer.Stop()
	return p.r.Read(b)
}
