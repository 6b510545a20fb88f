package dispatch

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"monsoondale/core"
)

// Event is a validated event of an engine's stream: its chunk belongs to the request, and its id follows the previous
// one. An Event with ID 0 only signals that the engine has accepted the dispatch or the resume.
type Event struct {
	ID              int    // event id, starting at 1
	Data            string // the chunk as the engine sent it
	HasText         bool   // contains generated text
	FinishedChoices []int  // choices for which the event has a finish reason
	Usage           *Usage // set in the chunk that reports token counts
	UsageOnly       bool   // contains nothing but token counts
}

// Usage holds the token counts that an engine reports for a whole request.
type Usage struct{ Prompt, Cached, Generated core.Tokens }

// ChatRequest is a chat completion request to a model engine.
type ChatRequest struct {
	Request       core.RequestID
	NonIdempotent bool   // sent on a connection of its own
	Key           string // idempotency key, empty for none
	Body          []byte // JSON in the OpenAI chat format, with stream set
}

// ErrUnknownStream is returned by Engine.Resume if the engine does not know the request.
var ErrUnknownStream = errors.New("the engine does not know the stream")

// ErrIdle is returned if an engine keeps the connection open but sends nothing for too long.
var ErrIdle = errors.New("the engine is silent")

// Engine is the client of model engines.
//
// Chat and Resume pass each event to yield and return nil only after the end mark of the stream. Their error is a
// *NotSentError (only from Chat: no byte was sent), a *core.Error (a final failure: the engine refused the request or
// its answer is invalid), an error returned by yield, ErrUnknownStream, ErrIdle, or any other error if the connection
// broke.
type Engine interface {
	Chat(ctx context.Context, permit *Permit, address string, req ChatRequest, yield func(Event) error) error
	// Resume continues the stream of a request after the event with the given id.
	Resume(ctx context.Context, address string, id core.RequestID, after int, yield func(Event) error) error
	// Cancel stops a request; the engine keeps the generated tokens for a later Resume.
	Cancel(ctx context.Context, address string, id core.RequestID) error
}

// CallRequest is a request to a plain service.
type CallRequest struct {
	Request       core.RequestID
	NonIdempotent bool // sent on a connection of its own
	Method        string
	Path          string // decoded, starting with a slash
	Query         string
	Header        http.Header // only headers that may be passed on
	Body          []byte
}

// Reply is the complete response of a plain service, or the collected answer of a chat.
type Reply struct {
	Status   int
	Media    string // content type
	Body     []byte
	Unframed bool // the end of the connection ended the body, of which the end may be missing
}

// Service is the client of plain services. Call returns a *NotSentError if no byte was sent, a *core.Error for a final
// failure, and any other error if the connection broke.
type Service interface {
	Call(ctx context.Context, permit *Permit, address string, req CallRequest) (Reply, error)
}
