// Package dispatch runs requests on the instance that accepted them (the holder). For each request, it acquires a slot,
// dispatches the request to an endpoint at most once, resumes and suspends its stream, and returns one final outcome.
package dispatch

import (
	"net"
	"sync"

	"github.com/pkg/errors"

	"monsoondale/core"
)

// Attempt tracks whether a request was dispatched. It is created once per request, and it is the only source of Permits,
// which the clients of endpoints require, and of Failures, which callers receive. Therefore no Failure of class "not run"
// can exist for a request that may have reached an endpoint.
type Attempt struct {
	request core.RequestID

	mu     sync.Mutex
	permit *Permit // of the current dispatch, nil while nothing was sent
	ended  bool    // a Failure was returned; no further dispatch is possible
}

// NewAttempt returns the Attempt of a request that was not dispatched yet.
func NewAttempt(id core.RequestID) *Attempt { return &Attempt{request: id} }

// Request returns the id of the request.
func (a *Attempt) Request() core.RequestID { return a.request }

// Begin returns the permit for the dispatch. It returns false if the request was already dispatched or has ended.
func (a *Attempt) Begin() (*Permit, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.permit != nil || a.ended {
		return nil, false
	}
	a.permit = &Permit{attempt: a}
	return a.permit, true
}

// Restore makes another dispatch possible. It needs the proof that the current dispatch sent no byte, and returns false
// if the proof belongs to another request or to an earlier dispatch.
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

// Fail ends the request with an error for its caller. If the request may have reached an endpoint, an error of class
// "not run" is replaced by "outcome unknown".
func (a *Attempt) Fail(err *core.Error) Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.permit != nil && err.Code.Class() == core.ClassNotRun {
		err = core.Errorf(core.CodeOutcomeUnknown, "after dispatch: %v", err)
	}
	return Failure{err: err, request: a.request}
}

// Permit allows one dispatch of a request. Clients of endpoints use it up before they send anything.
type Permit struct {
	attempt *Attempt

	mu   sync.Mutex
	used bool
}

// Use uses up the permit. Clients call it before they connect, and must not send anything after an error.
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

// NotSentError is a dial error that proves that no byte of a dispatch was sent.
type NotSentError struct {
	permit  *Permit
	dialErr *net.OpError
}

// ProveNotSent returns the proof that this dispatch sent nothing, or nil if err is not the error of a TCP dial. The client
// must not have used any other connection for the dispatch.
func (p *Permit) ProveNotSent(err *net.OpError) *NotSentError {
	if p == nil || err == nil || err.Op != "dial" {
		return nil
	}
	return &NotSentError{permit: p, dialErr: err}
}

// Error returns the dial error.
func (e *NotSentError) Error() string { return "not sent: " + e.dialErr.Error() }

// Unwrap returns the dial error.
func (e *NotSentError) Unwrap() error { return e.dialErr }

// Failure is the final error of a request. Only Attempt.Fail creates one.
type Failure struct {
	err     *core.Error
	request core.RequestID
}

// Err returns the error, or nil for the zero Failure.
func (f Failure) Err() *core.Error { return f.err }

// Request returns the id of the failed request.
func (f Failure) Request() core.RequestID { return f.request }
