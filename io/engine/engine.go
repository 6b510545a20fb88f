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

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/internal/testhook"
	"monsoondale/io/internal/roundtrip"
	wire "monsoondale/wire/engine"
)

// Options configures a Client.
type Options struct {
	roundtrip.Options
	// FirstEventTimeout is how long an engine may stay silent after a dispatch; default 15 s, enough for a long prefill. The
	// stream is then resumed, which is harmless if the engine is only slow.
	FirstEventTimeout time.Duration
	// EventTimeout is how long an engine may stay silent between events, and before it answers a resume; default 3 s,
	// a hundred times the target between tokens.
	EventTimeout time.Duration
	// MaxEventBytes bounds the size of one event in bytes; default 256 KiB.
	MaxEventBytes int
	// MaxStreamBytes bounds the size of one stream in bytes; default 64 MiB.
	MaxStreamBytes int64
	// MaxReplyBytes bounds all other answers in bytes; default 1 MiB.
	MaxReplyBytes int64
}

// Client talks to any number of engines. It is safe for concurrent use.
type Client struct {
	o  Options
	rt *roundtrip.Client
}

var _ dispatch.Engine = (*Client)(nil)

// New returns a Client.
func New(o Options) *Client {
	o.FirstEventTimeout = lo.CoalesceOrEmpty(o.FirstEventTimeout, 15*time.Second)
	o.EventTimeout = lo.CoalesceOrEmpty(o.EventTimeout, 3*time.Second)
	o.MaxEventBytes = lo.CoalesceOrEmpty(o.MaxEventBytes, 256<<10)
	o.MaxStreamBytes = lo.CoalesceOrEmpty(o.MaxStreamBytes, 64<<20)
	o.MaxReplyBytes = lo.CoalesceOrEmpty(o.MaxReplyBytes, 1<<20)
	return &Client{o: o, rt: roundtrip.New(o.Options)}
}

// Close closes unused connections.
func (c *Client) Close() { c.rt.Close() }

var (
	// ErrTruncated is the error of a stream that ended without its end mark.
	ErrTruncated = errors.New("stream ended without [DONE]")
	// ErrStaleFence is the error of an order whose fence is older than one that the engine has seen.
	ErrStaleFence = errors.New("stale fence")
)

// Chat dispatches a chat. See dispatch.Engine.
func (c *Client) Chat(ctx context.Context, b *dispatch.Permit, address string, q dispatch.ChatRequest, yield func(dispatch.Event) error) error {
	header := http.Header{"Content-Type": {"application/json"}}
	if q.Key != "" {
		header.Set("Idempotency-Key", q.Key)
	}
	return c.stream(ctx, b, q.Request, 0, c.o.FirstEventTimeout, roundtrip.Request{
		Method: http.MethodPost, Address: address, Path: "/v1/chat/completions", Body: q.Body, DedicatedConn: q.NonIdempotent, Header: header,
	}, yield)
}

// Resume continues a stream. See dispatch.Engine.
func (c *Client) Resume(ctx context.Context, address string, r core.RequestID, after int, yield func(dispatch.Event) error) error {
	first := c.o.EventTimeout
	if after == 0 {
		first = c.o.FirstEventTimeout // the prefill may be under way
	}
	return c.stream(ctx, nil, r, after, first, roundtrip.Request{
		Method: http.MethodGet, Address: address, Path: "/v1/streams/" + string(r),
		Header: http.Header{"Last-Event-Id": {strconv.Itoa(after)}},
	}, yield)
}

// Cancel stops a request; the engine keeps its tokens.
func (c *Client) Cancel(ctx context.Context, address string, r core.RequestID) error {
	return c.call(ctx, roundtrip.Request{
		Method: http.MethodDelete, Address: address, Path: "/v1/streams/" + string(r),
		Header: http.Header{roundtrip.RequestIDHeader: {string(r)}},
	}, nil, nil)
}

// stream sends q and passes on the events after the given id. The engine may stay silent for first before it
// answers, and as long again before its first event.
func (c *Client) stream(ctx context.Context, b *dispatch.Permit, r core.RequestID, after int, first time.Duration, q roundtrip.Request, yield func(dispatch.Event) error) error {
	q.Header.Set(roundtrip.RequestIDHeader, string(r))
	q.Header.Set("Accept", "text/event-stream")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(first, func() { cancel(dispatch.ErrIdle) })
	defer silence.Stop()

	resp, err := c.rt.Do(ctx, b, q)
	if err != nil {
		return err
	}
	silence.Stop()
	defer resp.Body.Close()
	if err := c.check(resp, r); err != nil {
		return err
	}
	if err := yield(dispatch.Event{}); err != nil {
		return err
	}

	body := &patientReader{r: http.MaxBytesReader(nil, resp.Body, c.o.MaxStreamBytes), timer: silence, wait: first}
	events, done := newChecker(r, after), false
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: c.o.MaxEventBytes}) {
		if err != nil {
			var tooLarge *http.MaxBytesError
			if errors.Is(err, bufio.ErrTooLong) || errors.As(err, &tooLarge) {
				return core.Errorf(core.CodeWrongAnswer, "stream exceeds a size limit: %v", err)
			}
			return lo.CoalesceOrEmpty(context.Cause(ctx), err)
		}
		body.wait = c.o.EventTimeout
		if ev.Data == "[DONE]" {
			// The end mark may carry the next id, or none.
			if id := ev.LastEventID; id != "" && id != strconv.Itoa(events.last) && id != strconv.Itoa(events.last+1) {
				return core.Errorf(core.CodeWrongAnswer, "end mark has event id %.20q after %d", id, events.last)
			}
			done = true
			break
		}
		e, err := events.check(ev)
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
	// Reading to the end of the body lets the connection be reused. It usually arrives with the end mark; an answer
	// is not held up for longer than this.
	body.wait = 20 * time.Millisecond
	_, _ = io.CopyN(io.Discard, body, 1)
	return nil
}

// check verifies status, request id and media type of a stream.
func (c *Client) check(resp *http.Response, r core.RequestID) error {
	id := resp.Header.Get(roundtrip.RequestIDHeader)
	if id != "" && id != string(r) {
		return core.Errorf(core.CodeWrongAnswer, "answer names request %.40q", id)
	}
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
	if id == "" {
		return core.Errorf(core.CodeWrongAnswer, "answer names no request")
	}
	if media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type")); err != nil || media != "text/event-stream" {
		return core.Errorf(core.CodeWrongAnswer, "content type %.60q instead of a stream", resp.Header.Get("Content-Type"))
	}
	return nil
}

// present tells whether a JSON value is there and is not empty, without keeping it.
type present bool

// UnmarshalJSON notes a value that is not null, "", [] or {}.
func (p *present) UnmarshalJSON(b []byte) error {
	*p = len(b) > 2 && string(b) != "null"
	return nil
}

// checker checks the events of one stream. It keeps its decoder and what it decodes into, because this runs for each
// token.
type checker struct {
	request core.RequestID
	last    int // id of the last event
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

func newChecker(r core.RequestID, last int) *checker {
	c := &checker{request: r, last: last}
	c.decoder = json.NewDecoder(&c.data)
	return c
}

// decode decodes the data of an event, which must be a single JSON value, into c.chunk.
func (c *checker) decode(data string) error {
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
	c.decoder = json.NewDecoder(&c.data) // the old one may hold a part of rest
	return nil
}

// check checks an event that must belong to the request and follow the last one.
func (c *checker) check(ev sse.Event) (dispatch.Event, error) {
	if ev.Type == "error" {
		return dispatch.Event{}, core.Errorf(core.CodeEngineError, "%.200q", ev.Data)
	}
	id := c.last + 1
	if ev.LastEventID != strconv.Itoa(id) {
		return dispatch.Event{}, core.Errorf(core.CodeWrongAnswer, "event id %.20q after %d", ev.LastEventID, c.last)
	}
	k := &c.chunk
	clear(k.Choices[:cap(k.Choices)]) // fields that are missing would keep the values of an earlier event
	k.ID, k.Choices, k.Usage = "", k.Choices[:0], nil
	if err := c.decode(ev.Data); err != nil {
		return dispatch.Event{}, core.Errorf(core.CodeWrongAnswer, "event %d: %v", id, err)
	}
	if k.ID != string(c.request) && !testhook.AcceptForeignChunks.Load() {
		return dispatch.Event{}, core.Errorf(core.CodeWrongAnswer, "event %d names request %.40q", id, k.ID)
	}
	c.last = id
	e := dispatch.Event{ID: id, Data: ev.Data}
	for _, x := range k.Choices {
		e.HasText = e.HasText || bool(x.Delta.Content || x.Delta.Refusal || x.Delta.Tools)
		if x.Finish {
			e.FinishedChoices = append(e.FinishedChoices, x.Index)
		}
	}
	if u := k.Usage; u != nil {
		e.Usage = &dispatch.Usage{Prompt: core.Tokens(u.PromptTokens), Generated: core.Tokens(u.CompletionTokens)}
		if d := u.PromptTokensDetails; d != nil {
			e.Usage.Cached = core.Tokens(d.CachedTokens)
		}
		e.UsageOnly = len(k.Choices) == 0
	}
	return e, nil
}

// patientReader runs a timer while a read waits, so that a slow receiver is not taken for a silent engine.
type patientReader struct {
	r     io.Reader
	timer *time.Timer
	wait  time.Duration
}

// Read reads from the stream.
func (p *patientReader) Read(b []byte) (int, error) {
	p.timer.Reset(p.wait)
	defer p.timer.Stop()
	return p.r.Read(b)
}
