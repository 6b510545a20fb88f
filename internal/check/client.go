// Package check verifies the invariants of a scheduler run from the outside: it reads the answers that callers
// received, the logs of the endpoints and the content of the object API, but no internal state of the scheduler.
package check

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"monsoondale/core"
	"monsoondale/wire/engine"
)

// Client sends requests as a caller of one workspace.
type Client struct {
	HTTP   *http.Client
	Base   string // URL of an instance's caller listener
	Key    string // API key
	Caller string // value of X-Caller, may be empty
	Header http.Header
}

// Error is the error object of an answer.
type Error struct {
	Code    core.Code `json:"code"`
	Class   string    `json:"class"`
	Message string    `json:"message"`
	Request string    `json:"request"`
}

// Answer holds a caller's request and the answer to it.
type Answer struct {
	Label          string       // set by the test; TallyByLabel groups answers by it
	Request        string       // X-Request-Id of the answer, empty if none arrived
	Chat           *engine.Chat // the chat request, nil for a plain service
	Method         string
	Path           string
	Body           string // body sent to a plain service
	OrderKey       string // idempotency key, qualified by the API key; empty for idempotent requests
	Status         int    // 0 if no answer arrived
	Text           string // generated text, or the body of a plain service's answer
	CleanEnd       bool   // the answer ended regularly: with [DONE], or with its whole body
	Error          *Error
	RetryAfter     string   // value of Retry-After
	HungUp         bool     // the caller closed the connection on purpose
	ProtocolErrors []string // protocol violations in the answer, such as a chunk of another request
	Err            error    // error of the connection
	Start          time.Time
	FirstText      time.Duration // time to the first text, 0 if there was none
	Duration       time.Duration
}

// Complete reports whether the answer looks complete to the caller.
func (a Answer) Complete() bool { return a.CleanEnd && a.Error == nil && a.Status/100 == 2 }

// NotRun reports whether the answer says that the request was not run.
func (a Answer) NotRun() bool {
	return a.Error != nil && (a.Error.Class == core.ClassNotRun.String() || a.Error.Code.Class() == core.ClassNotRun)
}

// Chat sends a chat request and reads the answer. If hangUp is positive, the client closes the connection after that
// many non-empty chunks of text.
func (c *Client) Chat(ctx context.Context, chat engine.Chat, hangUp int) (a Answer) {
	body, err := json.Marshal(chat)
	a = Answer{Chat: &chat, Method: http.MethodPost, Path: "/v1/chat/completions", Start: time.Now(), Err: err}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res := c.send(ctx, &a, body)
	defer func() { a.Duration = time.Since(a.Start) }()
	if res == nil {
		return a
	}
	defer res.Body.Close()
	switch {
	case res.StatusCode != http.StatusOK:
		a.readError(res.Body)
	case chat.Stream:
		a.readStream(res.Body, hangUp)
	default:
		a.readCompletion(res.Body)
	}
	return a
}

// Call sends a request to a plain service; path starts with /services/. Order is the idempotency key or empty. If
// hangUp is positive, the client closes the connection after that time.
func (c *Client) Call(ctx context.Context, method, path, order, body string, hangUp time.Duration) (a Answer) {
	a = Answer{Method: method, Path: path, Body: body, Start: time.Now()}
	if order != "" {
		a.OrderKey = c.Key + "/" + order
	}
	if hangUp > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hangUp)
		defer cancel()
	}
	res := c.send(ctx, &a, []byte(body), "Idempotency-Key", order)
	defer func() {
		a.Duration = time.Since(a.Start)
		a.HungUp = hangUp > 0 && !a.CleanEnd
	}()
	if res == nil {
		return a
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		a.readError(res.Body)
		return a
	}
	b, err := io.ReadAll(res.Body)
	a.Text, a.Err, a.CleanEnd = string(b), err, err == nil
	return a
}

// send sends the request and fills in status and headers of the answer. It returns nil if no answer arrived.
func (c *Client) send(ctx context.Context, a *Answer, body []byte, header ...string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, a.Method, c.Base+a.Path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return nil
	}
	// Without GetBody, net/http does not retry the request on its own.
	r.GetBody = nil
	for k, v := range c.Header {
		r.Header[k] = v
	}
	header = append(header, "Authorization", "Bearer "+c.Key, "X-Caller", c.Caller, "Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		if header[i+1] != "" {
			r.Header.Set(header[i], header[i+1])
		}
	}
	res, err := c.HTTP.Do(r)
	if err != nil {
		a.Err = err
		return nil
	}
	a.Status, a.Request, a.RetryAfter = res.StatusCode, res.Header.Get("X-Request-Id"), res.Header.Get("Retry-After")
	if a.Request == "" {
		a.ProtocolErrors = append(a.ProtocolErrors, "the answer has no X-Request-Id")
	}
	return res
}

func (a *Answer) readError(r io.Reader) {
	b, err := io.ReadAll(r)
	a.Err = err
	a.setError(b)
}

// setError sets a.Error if b is an error body.
func (a *Answer) setError(b []byte) {
	var body struct {
		Error *Error `json:"error"`
	}
	if json.Unmarshal(b, &body) == nil && body.Error != nil {
		a.Error = body.Error
		if a.OrderKey == "" && a.Error.Request != "" && a.Error.Request != a.Request { // Verify checks the id for orders
			a.addProtocolError("the error names request %s", a.Error.Request)
		}
		if a.Error.Code != 0 && a.Error.Code.Class().String() != a.Error.Class {
			a.addProtocolError("code %d has class %q", a.Error.Code, a.Error.Class)
		}
	}
}

func (a *Answer) readCompletion(r io.Reader) {
	b, err := io.ReadAll(r)
	if err != nil {
		a.Err = err
		return
	}
	var c engine.Chunk
	if err := json.Unmarshal(b, &c); err != nil || len(c.Choices) == 0 || c.Choices[0].Message == nil {
		a.setError(b)
		if a.Error == nil {
			a.addProtocolError("the answer is not a chat completion")
		}
		return
	}
	a.checkRequestID(c)
	a.Text, a.CleanEnd = c.Choices[0].Message.Content, true
	a.FirstText = time.Since(a.Start)
}

func (a *Answer) readStream(r io.Reader, hangUp int) {
	parts := 0
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			a.Err = err
			return
		}
		if a.CleanEnd {
			a.addProtocolError("the stream continues after [DONE]")
			return
		}
		if ev.Data == "[DONE]" {
			a.CleanEnd = true
			continue
		}
		if a.setError([]byte(ev.Data)); a.Error != nil {
			continue
		}
		var c engine.Chunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
			a.addProtocolError("a chunk is not valid JSON")
			continue
		}
		a.checkRequestID(c)
		if len(c.Choices) == 0 || c.Choices[0].Delta == nil || c.Choices[0].Delta.Content == "" {
			continue
		}
		if parts++; parts == 1 {
			a.FirstText = time.Since(a.Start)
		}
		a.Text += c.Choices[0].Delta.Content
		if hangUp > 0 && parts >= hangUp {
			a.HungUp = true
			return
		}
	}
	if !a.CleanEnd && a.Error == nil && a.Err == nil {
		a.Err = errors.WithStack(io.ErrUnexpectedEOF)
	}
}

func (a *Answer) checkRequestID(c engine.Chunk) {
	if c.Id != a.Request && len(a.ProtocolErrors) == 0 {
		a.addProtocolError("a chunk names request %s", c.Id)
	}
}

func (a *Answer) addProtocolError(format string, args ...any) {
	a.ProtocolErrors = append(a.ProtocolErrors, errors.Errorf(format, args...).Error())
}
