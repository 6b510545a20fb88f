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
	"monsoondale/internal/guard"
)

// use notes that a slot is put to use.
func (x *run) use() {
	now := x.o.Now()
	x.sent, x.first, x.refused = now, time.Time{}, time.Time{}
	x.alive, x.progress = now, now
}

// chat dispatches a chat and follows its stream through breaks and suspensions until it ends.
func (x *run) chat(ctx context.Context, slot Slot, b *Permit, w ChatWork) (Outcome, error) {
	id := x.q.Attempt.Request()
	suspended, err := x.exchange(ctx, slot, w.Sink, true, func(ctx context.Context, yield func(Event) error) error {
		return x.o.Engine.Chat(ctx, b, slot.Address, ChatRequest{Request: id, NonIdempotent: x.q.Ask.Once, Key: w.Key, Body: w.Body}, yield)
	})
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		return Outcome{}, unsent
	}
	pause := newPause()
	for mark := 0; ; {
		var e *core.Error
		switch {
		case err == nil:
			x.release(slot, admission.OutcomeDone)
			return x.whole(w.Sink), nil
		case ctx.Err() != nil || errors.Is(err, errCaller):
			x.stop(slot)
			return x.end(slot, admission.OutcomeCancelled, core.Errorf(core.CodeCancelled, "caller gone")), nil
		case errors.As(err, &e):
			if e.Code == core.CodeWrongAnswer { // the engine may still be at work
				x.stop(slot)
			}
			return x.end(slot, admission.OutcomeFailed, e), nil
		case errors.Is(err, ErrUnknownStream):
			return x.end(slot, admission.OutcomeFailed, x.broken(slot, err)), nil
		case suspended:
			x.release(slot, admission.OutcomeSuspended)
			x.settle(true)
			x.stats.Suspensions++
			if slot, e = x.reacquire(ctx, slot); e != nil {
				x.stats.ResumeFailed = true
				return x.fail(e), nil
			}
			x.use()
			pause.Reset()
		default:
			var wait time.Duration
			if x.last > mark {
				pause.Reset()
			} else {
				wait = pause.NextBackOff()
			}
			if x.text == 0 && errors.Is(err, ErrIdle) {
				// An engine that keeps the connection may be busy with a long prefill. The deadline and Limit
				// bound the wait.
				x.alive = x.o.Now()
			}
			if now := x.o.Now(); !now.Add(wait).Before(x.giveUp()) {
				x.stop(slot)
				return x.end(slot, admission.OutcomeFailed, x.broken(slot, err)), nil
			}
			if serr := sleep(ctx, wait); serr != nil {
				err = serr
				continue
			}
		}
		mark = x.last
		x.stats.Resumes++
		suspended, err = x.exchange(ctx, slot, w.Sink, false, func(ctx context.Context, yield func(Event) error) error {
			if guard.DispatchAgain.Load() {
				return x.o.Engine.Chat(ctx, &Permit{attempt: x.q.Attempt}, slot.Address, ChatRequest{Request: id, NonIdempotent: x.q.Ask.Once, Key: w.Key, Body: w.Body}, yield)
			}
			return x.o.Engine.Resume(ctx, slot.Address, id, mark, yield)
		})
		switch {
		case !errors.Is(err, syscall.ECONNREFUSED):
			x.refused = time.Time{}
		case x.refused.IsZero():
			x.refused = x.o.Now()
		}
	}
}

// newPause returns the pauses between attempts to resume a stream that does not progress.
func newPause() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval = 50*time.Millisecond, time.Second
	return p
}

// giveUp returns when a stream without progress is given up.
func (x *run) giveUp() time.Time {
	t := x.alive.Add(x.o.ResumeTimeout)
	if limit := x.progress.Add(x.o.StallTimeout); limit.Before(t) {
		t = limit
	}
	if !x.refused.IsZero() {
		if limit := x.refused.Add(x.o.RefusedTimeout); limit.Before(t) {
			t = limit
		}
	}
	if d := x.q.Ask.Deadline; x.text == 0 && !d.IsZero() && d.Before(t) {
		t = d
	}
	return t
}

// broken returns the error of a stream that could not be resumed.
func (x *run) broken(slot Slot, err error) *core.Error {
	switch {
	case !x.answer || x.q.Ask.Once:
		return core.Errorf(core.CodeOutcomeUnknown, "endpoint %s: %v", slot.Endpoint, err)
	case x.text == 0 && !x.q.Ask.Deadline.IsZero() && x.o.Now().After(x.q.Ask.Deadline):
		return core.Errorf(core.CodeLateAfterStart, "endpoint %s: %v", slot.Endpoint, err)
	}
	return core.Errorf(core.CodeTruncated, "endpoint %s: %v", slot.Endpoint, err)
}

// exchange runs one connection of a stream. It reports whether the stream was stopped by a suspension that now
// waits for settle; any other suspension is settled on return. A cancellation that overtakes a request to dispatch
// or resume would be undone by it or lose the stream, so the exchange can be suspended only once the engine answers
// or must have the request.
func (x *run) exchange(ctx context.Context, slot Slot, sink Sink, first bool, do func(context.Context, func(Event) error) error) (bool, error) {
	name := "resume"
	if first {
		name = "dispatch"
	}
	parent := ctx
	ctx, span := x.span(parent, name, slot)
	defer func() { span.End() }()
	sctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	x.mu.Lock()
	x.slot, x.cancel, x.streaming, x.arrival = slot, cancel, false, time.Time{}
	if first {
		x.arrival = x.o.Now().Add(arrivalTime)
	}
	x.mu.Unlock()
	open := false
	err := do(sctx, func(e Event) error {
		now := x.o.Now()
		x.alive = now
		x.answer = true
		if !open {
			open = true
			x.mu.Lock()
			x.streaming = true
			x.mu.Unlock()
			span.End()
			_, span = x.span(parent, "stream", slot)
		}
		if e.ID == 0 {
			return nil
		}
		return x.event(e, now, slot, sink)
	})
	if err != nil {
		span.RecordError(err)
	}

	x.mu.Lock()
	x.streaming, x.arrival = false, time.Time{}
	s := x.suspension
	x.mu.Unlock()
	if s == nil {
		return false, err
	}
	var e *core.Error
	var unsent *NotSentError
	if err == nil && x.complete() || ctx.Err() != nil || errors.Is(err, errCaller) || errors.Is(err, ErrUnknownStream) ||
		errors.As(err, &e) || errors.As(err, &unsent) {
		x.settle(false)
		return false, err
	}
	<-s.decided
	if !s.stopped {
		x.settle(false)
		return false, err
	}
	// An engine may also send its end mark when it is told to stop. The answer is complete only if the engine says so.
	return true, errSuspended
}

// complete reports whether the engine told for all choices why it stopped generating.
func (x *run) complete() bool {
	w, _ := x.q.Work.(ChatWork)
	return len(x.finished) >= max(1, w.Choices)
}

// settle ends the suspension in progress.
func (x *run) settle(done bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.suspension; s != nil {
		s.done = done
		x.suspension = nil
		close(s.ended)
	}
}

// event takes note of an event and passes it on.
func (x *run) event(e Event, now time.Time, slot Slot, sink Sink) error {
	x.last, x.progress = e.ID, now
	if e.Usage != nil {
		x.usage = e.Usage
	}
	for _, choice := range e.FinishedChoices {
		if !slices.Contains(x.finished, choice) {
			x.finished = append(x.finished, choice)
		}
	}
	if e.HasText {
		if x.text++; x.text == 1 {
			x.answered(now)
		}
		if x.first.IsZero() {
			x.first = now
		}
		x.o.Slots.Progress(slot, x.q.Attempt.Request(), core.Tokens(x.text))
	}
	err := sink.Event(e)
	if err == nil {
		return nil
	}
	var wrong *core.Error
	if errors.As(err, &wrong) {
		return err
	}
	return errors.WithMessage(errCaller, err.Error())
}

// whole ends a request whose stream was received to its end.
func (x *run) whole(sink Sink) Outcome {
	if x.stats.TimeToFirst == 0 { // an answer without any text
		x.answered(x.o.Now())
	}
	reply, err := sink.FullReply()
	if err != nil {
		return x.fail(core.Errorf(core.CodeWrongAnswer, "%v", err))
	}
	return x.record(Outcome{Reply: reply}, reply)
}

// reacquire waits for a slot on the endpoint that holds the suspended stream. Refusals are temporary: the work
// has been paid for and keeps its place, so the holder asks again for as long as the caller waits.
func (x *run) reacquire(ctx context.Context, old Slot) (Slot, *core.Error) {
	ask := x.q.Ask
	ask.Pin, ask.Exclude = old.Endpoint, nil
	ask.Prefill = 0 // kept by the engine
	ask.Decode = max(1, ask.Decode-core.Tokens(x.text))
	if x.text > 0 {
		ask.Deadline = time.Time{} // the first token is delivered
	}
	pause := newPause()
	for since := x.o.Now(); ; {
		asked := x.o.Now()
		slot, err := x.acquire(ctx, ask)
		if err == nil {
			got := x.o.Now()
			if cerr := ctx.Err(); cerr != nil {
				x.release(slot, admission.OutcomeUnused)
				return Slot{}, core.Errorf(core.CodeCancelled, "caller gone")
			}
			if !x.fresh(asked, got) {
				x.release(slot, admission.OutcomeUnused)
				continue
			}
			return slot, nil
		}
		if ctx.Err() != nil {
			return Slot{}, core.Errorf(core.CodeCancelled, "caller gone")
		}
		var e *core.Error
		wait, limit := pause.NextBackOff(), x.o.StallTimeout
		if errors.As(err, &e) {
			wait = max(wait, min(e.RetryAfter, 2*time.Second))
			if e.Code == core.CodeNoEndpoint {
				limit = x.o.ResumeTimeout // the endpoint with the stream is gone or leaving
			}
		}
		switch {
		case e != nil && e.Code == core.CodeDeadline:
			return Slot{}, core.Errorf(core.CodeLateAfterStart, "suspended: %v", err)
		case x.o.Now().Add(wait).After(since.Add(limit)):
			return Slot{}, core.Errorf(core.CodeTruncated, "suspended and not continued: %v", err)
		}
		if sleep(ctx, wait) != nil {
			return Slot{}, core.Errorf(core.CodeCancelled, "caller gone")
		}
	}
}

// stop cancels work at the engine whose answer is no longer wanted. Orders are never stopped.
func (x *run) stop(slot Slot) {
	if x.q.Ask.Once {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	// The engine stops by itself at the end of the answer, so a failure costs capacity but nothing else.
	if err := x.o.Engine.Cancel(ctx, slot.Address, x.q.Attempt.Request()); err != nil {
		trace.SpanFromContext(ctx).RecordError(err)
	}
}
