package dispatch

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"monsoondale/core"
)

// Event is one checked event of an engine's stream: its chunk names the request, and its id follows the one
// before it. An Event with ID 0 tells only that the engine has accepted the request to dispatch or resume.
type Event struct {
	ID              int    // event id, starting at 1
	Data            string // the chunk as the engine sent it
	HasText         bool   // carries generated text
	FinishedChoices []int  // choices for which the event tells why the engine stopped generating
	Usage           *Usage // set in the chunk that reports token counts
	UsageOnly       bool   // carries nothing but token counts
}

// Usage holds the token counts of an engine for a whole request.
type Usage struct{ Prompt, Cached, Generated core.Tokens }

// ChatRequest is a request to a model engine.
type ChatRequest struct {
	Request       core.RequestID
	NonIdempotent bool   // non-idempotent: sent on a connection of its own
	Key           string // idempotency key, empty for none
	Body          []byte // JSON in the OpenAI chat format, with stream set
}

// ErrUnknownStream is the error of Resume if the engine does not know the request.
var ErrUnknownStream = errors.New("the engine does not know the stream")

// ErrIdle is the error of an engine that holds the connection but sends nothing for too long.
var ErrIdle = errors.New("the engine is silent")

// Engine is the client of model engines.
//
// Chat and Resume pass each event to yield and return nil only after the engine's end mark. Other results are
// *NotSent (Chat only: no byte was sent), *core.Error (a final failure: the engine refused the request or its
// answer is wrong), an error returned by yield, or any other error for a stream that broke or fell silent.
type Engine interface {
	Chat(ctx context.Context, permit *Permit, address string, req ChatRequest, yield func(Event) error) error
	// Resume continues the stream of a request after the event id that was received last.
	Resume(ctx context.Context, address string, id core.RequestID, after int, yield func(Event) error) error
	// Cancel stops a request; the engine keeps its tokens for a later Resume.
	Cancel(ctx context.Context, address string, id core.RequestID) error
}

// CallRequest is a request to a plain service.
type CallRequest struct {
	Request       core.RequestID
	NonIdempotent bool // non-idempotent: sent on a connection of its own
	Method        string
	Path          string // decoded, starting with a slash
	Query         string
	Header        http.Header // only headers that may be passed on
	Body          []byte
}

// Reply is the complete answer of a plain service.
type Reply struct {
	Status int
	Media  string // content type
	Body   []byte
}

// Service is the client of plain services. Its errors are as those of Engine.Chat.
type Service interface {
	Call(ctx context.Context, permit *Permit, address string, req CallRequest) (Reply, error)
}
