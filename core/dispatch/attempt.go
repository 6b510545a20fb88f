// Package dispatch drives one request at its holder: it acquires a slot, dispatches the request at most once,
// resumes and suspends its stream, and ends it with exactly one final outcome.
package dispatch

import (
	"net"
	"sync"

	"github.com/pkg/errors"

	"monsoondale/core"
)

// Attempt is the right to dispatch one request. It is created once per request, and it is the only source of
// Begun tokens, which endpoint clients require, and of Failures, which callers are told. A Failure of class
// "not run" therefore cannot exist for a request that may have reached an endpoint.
type Attempt struct {
	request core.RequestID

	mu     sync.Mutex
	permit *Permit // the dispatch in force, nil while the request has not left the holder
	ended  bool    // a Failure was given out or the request finished; no further dispatch is possible
}

// NewAttempt returns the right to dispatch the request once.
func NewAttempt(id core.RequestID) *Attempt { return &Attempt{request: id} }

// Request returns the id of the request.
func (a *Attempt) Request() core.RequestID { return a.request }

// Begin uses up the right to dispatch. It returns false if the right is used up or the request has ended.
func (a *Attempt) Begin() (*Permit, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.permit != nil || a.ended {
		return nil, false
	}
	a.permit = &Permit{attempt: a}
	return a.permit, true
}

// Restore returns the right to dispatch. It needs the proof that the dispatch in force sent no byte; a proof
// that belongs to another request or to an earlier dispatch is refused.
func (a *Attempt) Restore(proof *NotSentError) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if proof == nil || proof.permit == nil || proof.permit != a.permit || a.ended {
		return false
	}
	a.permit = nil
	return true
}

// Began reports whether the request may have reached an endpoint.
func (a *Attempt) Began() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.permit != nil
}

// Fail ends the request with an error for its caller. An error of class "not run" is replaced by "outcome
// unknown" if the request may have reached an endpoint.
func (a *Attempt) Fail(err *core.Error) Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.permit != nil && err.Code.Class() == core.ClassNotRun {
		err = core.Errorf(core.CodeOutcomeUnknown, "after dispatch: %v", err)
	}
	return Failure{err: err, request: a.request}
}

// Permit permits one dispatch. Clients of endpoints take it before they send anything.
type Permit struct {
	attempt *Attempt

	mu   sync.Mutex
	used bool
}

// Use uses up the permission. Clients call it before connecting and give up on an error.
func (p *Permit) Use() error {
	if p == nil || p.attempt == nil {
		return errors.New("dispatch without a begun attempt")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used {
		return errors.Errorf("request %s is already dispatched", p.attempt.request)
	}
	p.used = true
	return nil
}

// NotSentError is an error that proves that no byte of a dispatch was sent.
type NotSentError struct {
	permit *Permit
	op     *net.OpError
}

// ProveNotSent returns the proof that this dispatch sent nothing, or nil if op is not a failed TCP dial. The client
// must have used no other connection for the dispatch.
func (p *Permit) ProveNotSent(op *net.OpError) *NotSentError {
	if p == nil || op == nil || op.Op != "dial" {
		return nil
	}
	return &NotSentError{permit: p, op: op}
}

// Error returns the dial error.
func (e *NotSentError) Error() string { return "not sent: " + e.op.Error() }

// Unwrap returns the dial error.
func (e *NotSentError) Unwrap() error { return e.op }

// Failure is the final error of a request. Only Attempt.Fail makes one.
type Failure struct {
	err     *core.Error
	request core.RequestID
}

// Err returns the numbered error, nil for the zero Failure.
func (f Failure) Err() *core.Error { return f.err }

// Request returns the id of the failed request.
func (f Failure) Request() core.RequestID { return f.request }
