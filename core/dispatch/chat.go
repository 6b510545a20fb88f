package dispatch

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/internal/testhook"
)

// startGrant resets the figures that are kept per grant, as the slot is put to use.
func (x *run) startGrant() {
	now := x.opts.Now()
	x.dispatchedAt, x.firstTokenAt, x.refusedSince = now, time.Time{}, time.Time{}
	x.lastContact, x.lastEventAt = now, now
}

// runChat dispatches a chat and receives its stream, across broken connections and suspensions, until it ends.
func (x *run) runChat(ctx context.Context, slot Slot, permit *Permit, work ChatWork) (Outcome, error) {
	id := x.req.Attempt.Request()
	suspended, err := x.exchange(ctx, slot, work.Sink, true, func(ctx context.Context, yield func(Event) error) error {
		return x.opts.Engine.Chat(ctx, permit, slot.Address, ChatRequest{Request: id, NonIdempotent: x.req.Ask.Once, Key: work.Key, Body: work.Body}, yield)
	})
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		return Outcome{}, unsent
	}
	bo := newResumeBackoff()
	for resumedAfter := 0; ; {
		var e *core.Error
		switch {
		case err == nil:
			x.release(slot, admission.OutcomeDone)
			return x.completeChat(work.Sink), nil
		case ctx.Err() != nil || errors.Is(err, errCallerGone):
			x.cancelWork(slot)
			return x.releaseAndFail(slot, admission.OutcomeCancelled, core.Errorf(core.CodeCancelled, "caller gone")), nil
		case errors.As(err, &e):
			if e.Code == core.CodeWrongAnswer { // the engine may still be generating
				x.cancelWork(slot)
			}
			return x.releaseAndFail(slot, admission.OutcomeFailed, e), nil
		case errors.Is(err, ErrUnknownStream):
			return x.releaseAndFail(slot, admission.OutcomeFailed, x.streamError(slot, err)), nil
		case suspended:
			x.release(slot, admission.OutcomeSuspended)
			x.endSuspension(true)
			x.stats.Suspensions++
			if slot, e = x.reacquire(ctx, slot); e != nil {
				x.stats.ResumeFailed = true
				return x.fail(e), nil
			}
			x.startGrant()
			bo.Reset()
		default:
			var wait time.Duration
			if x.lastEventID > resumedAfter {
				bo.Reset()
			} else {
				wait = bo.NextBackOff()
			}
			if x.textEvents == 0 && errors.Is(err, ErrIdle) {
				// An engine that keeps the connection open may be busy with a long prefill. The deadline and
				// StallTimeout still limit the wait.
				x.lastContact = x.opts.Now()
			}
			if now := x.opts.Now(); !now.Add(wait).Before(x.resumeDeadline()) {
				x.cancelWork(slot)
				return x.releaseAndFail(slot, admission.OutcomeFailed, x.streamError(slot, err)), nil
			}
			if sleepErr := sleep(ctx, wait); sleepErr != nil {
				err = sleepErr
				continue
			}
		}
		resumedAfter = x.lastEventID
		x.stats.Resumes++
		suspended, err = x.exchange(ctx, slot, work.Sink, false, func(ctx context.Context, yield func(Event) error) error {
			if testhook.RedispatchBrokenStreams.Load() {
				return x.opts.Engine.Chat(ctx, &Permit{attempt: x.req.Attempt}, slot.Address, ChatRequest{Request: id, NonIdempotent: x.req.Ask.Once, Key: work.Key, Body: work.Body}, yield)
			}
			return x.opts.Engine.Resume(ctx, slot.Address, id, resumedAfter, yield)
		})
		switch {
		case !errors.Is(err, syscall.ECONNREFUSED):
			x.refusedSince = time.Time{}
		case x.refusedSince.IsZero():
			x.refusedSince = x.opts.Now()
		}
	}
}

// newResumeBackoff returns the backoff between attempts to resume a stream that makes no progress.
func newResumeBackoff() *backoff.ExponentialBackOff {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = 50*time.Millisecond, time.Second
	return bo
}

// resumeDeadline returns the time at which a stream that makes no progress is abandoned.
func (x *run) resumeDeadline() time.Time {
	t := x.lastContact.Add(x.opts.ResumeTimeout)
	if limit := x.lastEventAt.Add(x.opts.StallTimeout); limit.Before(t) {
		t = limit
	}
	if !x.refusedSince.IsZero() {
		if limit := x.refusedSince.Add(x.opts.RefusedTimeout); limit.Before(t) {
			t = limit
		}
	}
	if d := x.req.Ask.Deadline; x.textEvents == 0 && !d.IsZero() && d.Before(t) {
		t = d
	}
	return t
}

// streamError returns the error of a stream that could not be resumed.
func (x *run) streamError(slot Slot, err error) *core.Error {
	switch {
	case !x.engineAnswered || x.req.Ask.Once:
		return core.Errorf(core.CodeOutcomeUnknown, "endpoint %s: %v", slot.Endpoint, err)
	case x.textEvents == 0 && !x.req.Ask.Deadline.IsZero() && x.opts.Now().After(x.req.Ask.Deadline):
		return core.Errorf(core.CodeLateAfterStart, "endpoint %s: %v", slot.Endpoint, err)
	}
	return core.Errorf(core.CodeTruncated, "endpoint %s: %v", slot.Endpoint, err)
}

// exchange receives events over one connection until it ends. It returns true if a suspension stopped the stream; the
// caller must then call endSuspension. Any other suspension has ended when exchange returns. If a cancellation overtook
// the dispatch or the resume at the engine, the stream would continue in spite of it or be lost; the exchange can
// therefore be suspended only once the engine has answered or must have received the request.
func (x *run) exchange(ctx context.Context, slot Slot, sink Sink, first bool, connect func(context.Context, func(Event) error) error) (bool, error) {
	name := "resume"
	if first {
		name = "dispatch"
	}
	parentCtx := ctx
	ctx, span := x.span(parentCtx, name, slot)
	defer func() { span.End() }()
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	x.mu.Lock()
	x.slot, x.cancel, x.streaming, x.assumedArrival = slot, cancel, false, time.Time{}
	if first {
		x.assumedArrival = x.opts.Now().Add(assumedArrivalTime)
	}
	x.mu.Unlock()
	answered := false
	err := connect(streamCtx, func(e Event) error {
		now := x.opts.Now()
		x.lastContact = now
		x.engineAnswered = true
		if !answered {
			answered = true
			x.mu.Lock()
			x.streaming = true
			x.mu.Unlock()
			span.End()
			_, span = x.span(parentCtx, "stream", slot)
		}
		if e.ID == 0 {
			return nil
		}
		return x.handleEvent(e, now, slot, sink)
	})
	if err != nil {
		span.RecordError(err)
	}

	x.mu.Lock()
	x.streaming, x.assumedArrival = false, time.Time{}
	s := x.suspension
	x.mu.Unlock()
	if s == nil {
		return false, err
	}
	var e *core.Error
	var unsent *NotSentError
	if err == nil && x.allChoicesFinished() || ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, ErrUnknownStream) ||
		errors.As(err, &e) || errors.As(err, &unsent) {
		x.endSuspension(false)
		return false, err
	}
	<-s.decided
	if !s.stopped {
		x.endSuspension(false)
		return false, err
	}
	// An engine may also send the end mark when it is cancelled. The answer is complete only if the engine told for all
	// choices why it stopped.
	return true, errSuspended
}

// allChoicesFinished reports whether the engine has sent a finish reason for every choice.
func (x *run) allChoicesFinished() bool {
	w, _ := x.req.Work.(ChatWork)
	return len(x.finishedChoices) >= max(1, w.Choices)
}

// endSuspension ends the suspension in progress, if any, and tells its caller whether the run is suspended.
func (x *run) endSuspension(suspended bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.suspension; s != nil {
		s.suspended = suspended
		x.suspension = nil
		close(s.ended)
	}
}

// handleEvent updates the state of the run from an event and passes the event to the sink.
func (x *run) handleEvent(e Event, now time.Time, slot Slot, sink Sink) error {
	x.lastEventID, x.lastEventAt = e.ID, now
	if e.Usage != nil {
		x.usage = e.Usage
	}
	for _, choice := range e.FinishedChoices {
		if !slices.Contains(x.finishedChoices, choice) {
			x.finishedChoices = append(x.finishedChoices, choice)
		}
	}
	if e.HasText {
		if x.textEvents++; x.textEvents == 1 {
			x.setResponseTime(now)
		}
		if x.firstTokenAt.IsZero() {
			x.firstTokenAt = now
		}
		x.opts.Slots.Progress(slot, x.req.Attempt.Request(), core.Tokens(x.textEvents))
	}
	err := sink.Event(e)
	if err == nil {
		return nil
	}
	var coded *core.Error
	if errors.As(err, &coded) {
		return err
	}
	return errors.WithMessage(errCallerGone, err.Error())
}

// completeChat ends a request whose stream was received completely.
func (x *run) completeChat(sink Sink) Outcome {
	if x.stats.TimeToFirst == 0 { // an answer without any text
		x.setResponseTime(x.opts.Now())
	}
	reply, err := sink.FullReply()
	if err != nil {
		return x.fail(core.Errorf(core.CodeWrongAnswer, "%v", err))
	}
	return x.complete(Outcome{Reply: reply}, reply)
}

// reacquire waits for a slot on the endpoint that holds the suspended stream. After a refusal it asks again, within
// StallTimeout and while the caller waits, because giving up would waste the work that was already done.
func (x *run) reacquire(ctx context.Context, old Slot) (Slot, *core.Error) {
	ask := x.req.Ask
	ask.Pin, ask.Exclude = old.Endpoint, nil
	ask.Prefill = 0 // the engine has kept the prefill
	ask.Decode = max(1, ask.Decode-core.Tokens(x.textEvents))
	if x.textEvents > 0 {
		ask.Deadline = time.Time{} // met: the first token was delivered
	}
	bo := newResumeBackoff()
	for start := x.opts.Now(); ; {
		askedAt := x.opts.Now()
		slot, err := x.acquire(ctx, ask)
		if err == nil {
			receivedAt := x.opts.Now()
			if ctxErr := ctx.Err(); ctxErr != nil {
				x.release(slot, admission.OutcomeUnused)
				return Slot{}, core.Errorf(core.CodeCancelled, "caller gone")
			}
			if !x.grantUsable(askedAt, receivedAt) {
				x.release(slot, admission.OutcomeUnused)
				continue
			}
			return slot, nil
		}
		if ctx.Err() != nil {
			return Slot{}, core.Errorf(core.CodeCancelled, "caller gone")
		}
		var e *core.Error
		wait, limit := bo.NextBackOff(), x.opts.StallTimeout
		if errors.As(err, &e) {
			wait = max(wait, min(e.RetryAfter, 2*time.Second))
			if e.Code == core.CodeNoEndpoint {
				limit = x.opts.ResumeTimeout // the endpoint that holds the stream is gone or leaving
			}
		}
		switch {
		case e != nil && e.Code == core.CodeDeadline:
			return Slot{}, core.Errorf(core.CodeLateAfterStart, "suspended: %v", err)
		case x.opts.Now().Add(wait).After(start.Add(limit)):
			return Slot{}, core.Errorf(core.CodeTruncated, "suspended and not continued: %v", err)
		}
		if sleep(ctx, wait) != nil {
			return Slot{}, core.Errorf(core.CodeCancelled, "caller gone")
		}
	}
}

// cancelWork cancels a request at its engine, because its answer is no longer needed. Orders are never cancelled.
func (x *run) cancelWork(slot Slot) {
	if x.req.Ask.Once {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	// If the call fails, the engine stops by itself at the end of the answer; only capacity is wasted.
	if err := x.opts.Engine.Cancel(ctx, slot.Address, x.req.Attempt.Request()); err != nil {
		trace.SpanFromContext(ctx).RecordError(err)
	}
}
