package order

import (
	"context"
	"time"

	"monsoondale/core"
)

// State is the state of an order key, as stored in its entry.
type State string

// The states of an order key. All but StateClaimed are called settled.
const (
	StateClaimed State = "claimed" // an attempt may run the order
	StateDone    State = "done"    // the order succeeded, and its result is recorded
	StateFailed  State = "failed"  // the order failed or its outcome is unknown, and the failure is recorded
	StateVoid    State = "void"    // the order was not run; the key may be claimed again
)

// Result is the recorded response of an order. It is stored in JSON under the names of its fields.
type Result struct {
	Status   int
	Media    string // content type
	Body     []byte
	Unframed bool `json:",omitempty"` // the end of a connection ended the body, of which the end may be missing
}

// Ticket is a successful claim. It permits a dispatch only while Valid returns true.
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
	// Claim claims the key. On success, the ticket permits one dispatch and the result is nil. If the key has a
	// recorded result, that result is returned. Otherwise the error is a *core.Error that tells why the key cannot
	// be claimed, such as 1105, 1106, 1107, 1111 or 3002.
	Claim(ctx context.Context, key core.OrderKey, fingerprint string) (Ticket, *Result, error)
	// Finish records the result of a dispatched order; done is false if the endpoint reported a failure.
	Finish(ctx context.Context, t Ticket, done bool, res Result) error
	// Void releases the key of an order that was certainly not run.
	Void(ctx context.Context, t Ticket) error
}
