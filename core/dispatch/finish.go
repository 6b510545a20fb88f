package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/order"
)

// claim claims the order key. It returns true on success, or the outcome and false if the request ends here.
func (x *run) claim(ctx context.Context) (Outcome, bool) {
	t, res, err := x.opts.Claims.Claim(ctx, x.req.Claim.Key, x.req.Claim.Fingerprint)
	switch {
	case err != nil:
		var e *core.Error
		if errors.As(err, &e) && e.Code.Class() == core.ClassUnknown {
			return x.fail(e), false // the outcome of an earlier request with this key is unknown
		}
		return x.failNotRun(ctx, err), false
	case res != nil:
		x.setResponseTime(x.opts.Now())
		return Outcome{Replay: res}, false
	}
	x.ticket, x.stats.Claimed = &t, true
	return Outcome{}, true
}

// reclaim voids an expired claim, which was never used, and claims the key again.
func (x *run) reclaim(ctx context.Context) (Outcome, bool) {
	t := *x.ticket
	x.ticket = nil
	if err := x.opts.Claims.Void(ctx, t); err != nil {
		return x.failNotRun(ctx, core.Errorf(core.CodeClaimExpired, "%v", err)), false
	}
	return x.claim(ctx)
}

// failNotRun ends a request that was not dispatched, or whose dispatches provably sent nothing.
func (x *run) failNotRun(ctx context.Context, err error) Outcome {
	var e *core.Error
	switch {
	case ctx.Err() != nil:
		e = core.Errorf(core.CodeCallerGone, "caller gone")
	case !errors.As(err, &e):
		e = core.Errorf(core.CodeNoEndpoint, "%v", err)
	}
	f := x.req.Attempt.Fail(e)
	if x.ticket != nil && f.Err().Code.Class() == core.ClassNotRun {
		voidCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
		defer cancel()
		// After an error, Void retries in the background; until it succeeds, repeats of the key are answered with
		// "in progress".
		_ = x.opts.Claims.Void(voidCtx, *x.ticket)
	}
	return Outcome{Failure: f}
}

// releaseAndFail releases the slot and ends a dispatched request with a failure.
func (x *run) releaseAndFail(slot Slot, outcome admission.Outcome, e *core.Error) Outcome {
	x.release(slot, outcome)
	return x.fail(e)
}

// fail ends a dispatched request with a failure and records it if the request is an order.
func (x *run) fail(e *core.Error) Outcome {
	switch e.Code {
	case core.CodeTruncated, core.CodeWrongAnswer, core.CodeServiceRejected:
		if x.req.Ask.Once { // the order was received, and the answer does not show whether it took effect
			e = core.Errorf(core.CodeOutcomeUnknown, "%v", e)
		}
	}
	f := x.req.Attempt.Fail(e)
	prefill, cached, decode := x.tokenCounts()
	if x.req.Attempt.Began() {
		x.stats.Prefill, x.stats.Cached, x.stats.Decode = prefill, cached, decode
		x.stats.Wasted = prefill - cached + decode
	}
	out := Outcome{Failure: f}
	if x.ticket == nil {
		return out
	}
	body, err := json.Marshal(NewErrorBody(f))
	if err != nil {
		panic(err) // cannot happen: the body has only strings and integers
	}
	return x.recordResult(out, false, order.Result{Status: f.Err().Code.Info().Status, Media: "application/json", Body: body})
}

// setTokenStats copies the token counts of an answered request to its statistics.
func (x *run) setTokenStats() {
	x.stats.Prefill, x.stats.Cached, x.stats.Decode = x.tokenCounts()
}

// complete ends an answered request and records the answer if the request is an order.
func (x *run) complete(out Outcome, r Reply) Outcome {
	x.setTokenStats()
	if x.ticket == nil {
		return out
	}
	return x.recordResult(out, r.Status < 400, order.Result{Status: r.Status, Media: r.Media, Body: r.Body, Unframed: r.Unframed})
}

// recordResult records the result of an order. If the store does not accept it within cleanupTimeout, the answer is not
// held back any longer: Outcome.RecordResult then records the result after the answer was passed on.
func (x *run) recordResult(out Outcome, done bool, res order.Result) Outcome {
	t, claims := *x.ticket, x.opts.Claims
	write := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		return claims.Finish(ctx, t, done, res)
	}
	if write() == nil {
		return out
	}
	out.RecordResult = func() {
		// An error is safe to ignore: without a recorded result, repeats of the key are answered with "in progress" or
		// "unknown", but never run.
		_, _ = backoff.Retry(context.Background(), func() (struct{}, error) { return struct{}{}, write() },
			backoff.WithMaxElapsedTime(time.Minute))
	}
	return out
}

// ErrorBody is the JSON body of a response that reports a failure to the caller.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Code    core.Code      `json:"code"`
	Class   string         `json:"class"`
	Message string         `json:"message"`
	Request core.RequestID `json:"request"`
}

// NewErrorBody returns the response body for a failure.
func NewErrorBody(f Failure) ErrorBody {
	e := f.Err()
	return ErrorBody{ErrorDetail{Code: e.Code, Class: e.Code.Class().String(), Message: e.Error(), Request: f.Request()}}
}
