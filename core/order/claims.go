package order

import (
	"context"
	"time"

	"monsoondale/core"
)

// State is the state of an order key.
type State string

// The states of an order key. A void entry may be claimed again.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateVoid    State = "void"
)

// Result is the recorded answer of an order.
type Result struct {
	Status int
	Media  string // content type
	Body   []byte
}

// Ticket is a won claim. Dispatch is allowed only while Valid returns true.
type Ticket struct {
	Key         core.OrderKey
	Fingerprint string // fingerprint of the request
	Attempt     core.AttemptID
	Expires     time.Time // by the holder's own clock
}

// Valid reports whether the claim still permits a dispatch at now.
func (t Ticket) Valid(now time.Time) bool { return now.Before(t.Expires) }

// Claims claims order keys and records results.
type Claims interface {
	// Claim claims the key. On success the ticket permits one dispatch and the result is nil. If the key has
	// a recorded result, that result is returned. Otherwise the error is a *core.Error: 1105, 1106, 1107,
	// 1111 or 3002.
	Claim(ctx context.Context, key core.OrderKey, fingerprint string) (Ticket, *Result, error)
	// Finish records the result of a dispatched order; done is false if the endpoint reported a failure.
	Finish(ctx context.Context, t Ticket, done bool, res Result) error
	// Void frees the key of an order that was certainly not run.
	Void(ctx context.Context, t Ticket) error
}
