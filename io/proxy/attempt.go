package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/framing"
	"monsoondale/common/peerconn"
	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/quarantine"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
)

const (
	// maxBufferedBytes is the size of the largest response that is buffered. A larger one counts as broken.
	maxBufferedBytes = 1 << 20
	// maxDiscardedBytes and discardTimeout limit the reading of a response that is not relayed. Such a body is a short text
	// that arrives with the header.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 20 * time.Millisecond
	// minTimeForRetry is the time left until the deadline below which a request is not retried.
	minTimeForRetry = 20 * time.Millisecond
)

var (
	errUnsigned           = errors.New("successful response without the endpoint's signature")
	errNoResponse         = errors.New("no response in time") // or a pause within a stream
	errUnexpectedEncoding = errors.New("response has a content encoding that was not requested")
	errEventOrder         = errors.New("event out of order")
	errOtherContent       = errors.New("response is not the continuation of the stream")
	errTruncated          = errors.New("stream ended inside an event")
	errNoEvents           = errors.New("connection ended before the first event of a stream")
	errUnknownEnd         = errors.New("connection ended, and the endpoint did not state whether the stream is complete")
	errEndpointClosed     = errors.New("endpoint leaves or asked to wait")
	errRunOnce            = errors.New("request may have run, and its route does not allow another run any more")
	errUnprovenRefusal    = errors.New("refusal of an endpoint that does not state that the request did not run")
	errTooLarge           = errors.New("response or event is too large to buffer")
)

// attempt is one attempt to serve a request at one endpoint.
type attempt struct {
	x        *exchange
	parent   context.Context // of all attempts of the request
	ctx      context.Context
	cancel   context.CancelCauseFunc
	grant    *pool.Grant
	started  time.Time
	sentAt   atomic.Pointer[time.Time] // when the request was sent; nil before
	after    string                    // id of the event after which a stream continues; empty for a new stream
	revisit  bool                      // the request was sent to this endpoint before
	outcome  pool.Outcome
	trace    endpoint.Trace
	resp     *endpoint.Response
	err      error        // why there is no response
	info     ResponseInfo // of resp
	known    int          // number of requests known to be at the endpoint when it stated its load
	takeover takeover
	standby  standbyState
	begun    time.Time // when the first bytes of the body were read; zero if none were
	// servedRecorded is set once the endpoint is known not to crash under the request.
	servedRecorded bool
	unread         bool // its response was not read for a while, as the caller had not read what came before
	trial          bool // it is sent in spite of the quarantined parts of its prompt
}

// newAttempt returns an attempt that has not begun. tried lists the endpoints of earlier attempts.
func (x *exchange) newAttempt(ctx context.Context, g *pool.Grant, after string, tried []core.EndpointID) *attempt {
	a := &attempt{x: x, parent: ctx, grant: g, started: time.Now(), after: after, revisit: slices.Contains(tried, g.Endpoint.ID), outcome: pool.Cancelled}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// run sends the request, unless the attempt did so as a standby, and relays the response. It reports whether the request is to be
// retried.
func (a *attempt) run() (r result, retry bool) {
	x := a.x
	x.endpointID = a.grant.Endpoint.ID
	x.framing, x.unfinishedBytes = "", 0
	defer func() {
		x.standby = a.endTakeover(retry)
		a.release(a.outcome)
	}()
	if !a.settled() {
		a.watchResponse()
	}
	x.tried = append(x.tried, a.grant.Endpoint.ID)
	if a.wasStandby() {
		x.stage = stageRun
		<-a.standby.opened
	} else {
		x.stage = stageConnect
		a.open(func() { x.stage = stageRun })
	}
	return a.receive()
}

// release frees what the attempt holds.
func (a *attempt) release(o pool.Outcome) {
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel(nil)
	a.x.handler.memory.used.Add(-a.standby.reserved)
	a.x.pool.Release(time.Now(), a.grant, o)
}

// recordResponseStart records the time to the first event.
func (a *attempt) recordResponseStart() {
	now := time.Now()
	if a.begun.IsZero() {
		a.begun = now
	}
	a.x.pool.RecordFirstEvent(now, a.grant)
}

// sinceBegun returns how long ago the endpoint began the body of its response; 0 if it has not.
func (a *attempt) sinceBegun() time.Duration {
	if a.begun.IsZero() {
		return 0
	}
	return time.Since(a.begun)
}

// open sends the request and reads the header of the response. It does not change the exchange, as the attempt may be a standby.
// beforeSend is called before the request is sent.
func (a *attempt) open(beforeSend func()) {
	x := a.x
	forwardInfo := ForwardInfo{Endpoint: a.grant.Endpoint.ID, Timeout: time.Until(x.deadline), LastEventID: a.after}
	if x.workspace != nil {
		forwardInfo.Workspace = x.workspace.ID
	}
	if forwardInfo.Timeout < time.Millisecond {
		a.err = &endpoint.NotSentError{Cause: errDeadline}
		return
	}
	h := forwardHeader(x.r.Header)
	x.handler.o.Headers.SetForwardHeaders(h, forwardInfo)
	a.resp, a.err = x.handler.o.Client.Do(a.ctx, a.grant.Endpoint.Address, endpoint.Request{
		ID: x.info.ID, Peer: endpoint.Peer{ID: a.grant.Endpoint.ID, Incarnation: a.grant.Endpoint.Incarnation}, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		NonIdempotent: !x.route.Retryable(),
		OnHeader:      a.recordNotice,
		Trace:         &a.trace,
		BeforeSend: func() error {
			if !x.pool.Accepts(time.Now(), a.grant) {
				return errEndpointClosed
			}
			if err := a.maySend(); err != nil {
				return err
			}
			if a.mayBeSecondRun() && !x.retryable() {
				return errRunOnce
			}
			// Last, as the checks before may wait for locks.
			now := time.Now()
			if x.callerLeft() {
				return peerconn.ErrClosed
			}
			if !now.Before(x.deadline) {
				return errDeadline
			}
			beforeSend()
			a.sentAt.Store(&now)
			return nil
		},
	})
	x.handler.stats.avoided.Inc(int64(a.trace.Avoided))
}

// mayBeSecondRun reports whether the request may have run, or may run now, at another endpoint. That of a standby always may.
func (a *attempt) mayBeSecondRun() bool { return a.wasStandby() || a.x.possibleRuns > 0 }

// sinceSent returns how long ago the request was sent; 0 if it was not.
func (a *attempt) sinceSent(now time.Time) time.Duration {
	if at := a.sentAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// sent reports whether the request may have reached the endpoint.
func (a *attempt) sent() bool {
	var unsent *endpoint.NotSentError
	return !errors.As(a.err, &unsent)
}

// outcomeIfNotRun returns the outcome of an attempt at an endpoint that certainly did not run the request. ok is false if it may have
// run.
func (a *attempt) outcomeIfNotRun() (o pool.Outcome, reason string, ok bool) {
	if _, ok := a.stoppedByQuarantine(); ok {
		return pool.Cancelled, quarantineReason, true
	}
	switch {
	case !a.sent() && errors.Is(a.err, errEndpointClosed):
		return pool.Cancelled, "endpoint leaves or waits", true
	case !a.sent() && errors.Is(a.err, errRunOnce):
		return pool.Cancelled, "route allows one run", true
	case !a.sent() && (a.ctx.Err() != nil || errors.Is(a.err, peerconn.ErrClosed) || errors.Is(a.err, errDeadline)):
		return pool.Cancelled, "endpoint unreachable", true
	case !a.sent() && isTimeout(a.err):
		return pool.TimedOut, "endpoint unreachable", true
	case !a.sent():
		return pool.Unreachable, "endpoint unreachable", true
	case a.err != nil:
		return 0, "", false
	case a.info.Misdirected && a.x.info.Conditional: // it may have its address all the same
		return pool.Cancelled, "endpoint moved or does not meet the condition", true
	case a.info.Misdirected:
		return pool.Moved, "endpoint moved", true
	case a.info.NotRun && a.info.Notice.Wait > 0:
		return pool.Deferred, "endpoint rejected the request", true
	case a.info.NotRun && a.mayBeTooLarge(): // which says nothing about the endpoint
		return pool.Cancelled, "endpoint rejected the request", true
	case a.info.NotRun && a.revisit: // which may be due to the request, and says no more than before
		return pool.Cancelled, "endpoint rejected the request", true
	case a.info.NotRun:
		return pool.Rejected, "endpoint rejected the request", true
	}
	return 0, "", false
}

// mayBeTooLarge reports whether an endpoint that states free slots has rejected a request that is much larger than others. The memory of
// the endpoint may be smaller.
func (a *attempt) mayBeTooLarge() bool {
	l := a.info.Load
	return a.info.NotRun && l.Slots > 0 && l.Waiting == 0 && l.Running < l.Slots && a.x.pool.UnusuallyLarge(a.grant)
}

// notRunProof returns what shows that the endpoint did not run the request; empty if it may have run.
func (a *attempt) notRunProof() string {
	switch _, _, notRun := a.outcomeIfNotRun(); {
	case !notRun:
		return ""
	case !a.sent():
		return "not sent"
	case a.info.Misdirected:
		return "misdirected"
	}
	return "stated by the endpoint"
}

// isTimeout reports whether an error is that of an operation which was given up.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// failure returns why the request may have run and its response is not relayed, or nil.
func (a *attempt) failure() error {
	switch {
	case a.err != nil:
		return a.err
	case a.succeeded() && !a.info.Signed:
		return errUnsigned
	case promisesNotRun(a.resp.StatusCode):
		return errUnprovenRefusal
	case a.resp.Header.Get("Content-Encoding") != "":
		return errUnexpectedEncoding
	}
	return nil
}

// succeeded reports whether the status of the response is that of a success.
func (a *attempt) succeeded() bool { return a.resp.StatusCode < 300 }

// receive relays the response or decides about a retry.
func (a *attempt) receive() (result, bool) {
	x := a.x
	x.trace = a.trace
	if a.sent() {
		x.sends++
	}
	if a.resp != nil {
		x.recordFraming(a.resp.Framing)
		x.statedLoad, x.knownLoad = a.info.Load, a.known
	}
	if o, reason, ok := a.outcomeIfNotRun(); ok {
		a.outcome = o
		if a.resp != nil {
			a.discardBody()
		} else {
			x.cause = a.err
		}
		return a.handleNotRun(reason)
	}
	x.recordRun(a.grant.Endpoint.ID)
	switch err := a.failure(); {
	case err != nil:
		return a.handleFailedAttempt(err)
	case x.route.Kind == route.Stream && a.succeeded():
		return a.relayStream()
	default:
		return a.relayBuffered()
	}
}

// recordNotice reads the header of a response and records what the endpoint states about itself. Of a response to another
// request, only that it leaves counts: a late copy of a rejection would extend the wait. On a connection that has carried requests for
// another endpoint, or another start of this one, such a response may be about that one.
func (a *attempt) recordNotice(r *http.Response, matched bool) {
	info := a.x.handler.o.Headers.ParseResponse(r)
	if matched {
		a.info, a.known = info, a.x.pool.RecordLoad(time.Now(), a.grant, info.Load)
	} else {
		info.Notice = pool.Notice{Leaving: info.Notice.Leaving && !a.trace.MultiplePeers}
		a.x.handler.stats.extra.Inc(1)
	}
	a.x.pool.RecordNotice(time.Now(), a.grant, info.Notice)
}

// promisesNotRun reports whether a status tells callers that the request did not run. It is relayed only with proof.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// discardBody reads a response that is not relayed, so that its connection can be reused. It gives up if the body is long
// or late, because another endpoint can serve the request.
func (a *attempt) discardBody() {
	a.resp.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on closed connections
	if n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxDiscardedBytes)); err == nil && n < maxDiscardedBytes {
		a.resp.MarkBodyRead()
	}
}

// countTooLarge counts a rejection of the request for its size, and returns their number.
func (x *exchange) countTooLarge() int {
	x.tooLarge++
	return x.tooLarge
}

// handleNotRun decides whether a request that an endpoint did not run is sent to another one.
func (a *attempt) handleNotRun(reason string) (result, bool) {
	x := a.x
	part, stopped := a.stoppedByQuarantine()
	switch {
	case x.callerLeft():
		a.endTakeover(false)
		return x.endForCallerLeft(), false
	case errors.Is(context.Cause(a.ctx), errCutOff):
		a.endTakeover(false)
		return x.endForCutOff(), false
	// The context has ended at the deadline, unless the response timer cancelled it.
	case a.ctx.Err() != nil && !errors.Is(context.Cause(a.ctx), errNoResponse):
		a.endTakeover(false)
		return x.failOrRefuse("deadline", shortRetryAfter), false
	case a.claimStandby():
	case stopped:
		x.recordQuarantine(part)
		return x.failOrRefuse(quarantineReason, quarantine.RetryAfter), false
	case x.possibleRuns > 0 && !x.retryable():
		return x.failOrRefuse(reason, shortRetryAfter), false
	case time.Until(x.deadline) < minTimeForRetry:
		return x.failOrRefuse("deadline", shortRetryAfter), false
	case x.possibleRuns == 0 && a.mayBeTooLarge() && x.countTooLarge() >= maxTooLarge && !x.headerWritten:
		return x.failOrRefuse("larger than the memory of the endpoints", tooLargeRetryAfter), false
	case x.possibleRuns >= x.route.Attempts && !a.canReturn():
		return x.failOrRefuse(reason+", attempts exhausted", rejectedRetryAfter), false
	case x.sends > 0 && !x.takeRetry():
		return x.failOrRefuse(reason+", repeats exhausted", rejectedRetryAfter), false
	case x.possibleRuns >= x.route.Attempts:
		// The endpoint may be full for a moment, and the request can go nowhere else.
		a.pause(returnInterval)
	case len(x.tried) > maxTriedEndpoints && !x.headerWritten:
		return x.failOrRefuse(reason, rejectedRetryAfter), false
	case len(x.tried) > maxTriedEndpoints:
		// The caller can't return to another instance, and the endpoints may be full for a moment.
		a.pause(returnInterval << min(len(x.tried)-maxTriedEndpoints-1, maxPauseDoublings))
	}
	return result{reason: reason}, true
}

// pause waits for a time, or until the request ends.
func (a *attempt) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-a.parent.Done():
	}
}

// canReturn reports whether the request may return to an endpoint that was given up, which this one is not any more if its address has
// moved.
func (a *attempt) canReturn() bool {
	x := a.x
	if a.outcome == pool.Moved {
		x.forgetGivenUp(a.grant.Endpoint.ID)
	}
	return len(x.givenUp) > 0
}

// forgetGivenUp records that the request can't return to an endpoint.
func (x *exchange) forgetGivenUp(id core.EndpointID) {
	x.givenUp = slices.DeleteFunc(x.givenUp, func(g core.EndpointID) bool { return g == id })
}

const (
	// returnInterval is the time between two tries to return to an endpoint that was given up.
	returnInterval = 200 * time.Millisecond
	// maxPauseDoublings bounds the pauses of a stream that has begun and that all endpoints reject: 3.2 s.
	maxPauseDoublings = 4
	// rejectedRetryAfter is the Retry-After of a request that no endpoint accepted. Endpoints that reject requests by
	// mistake are suspended within that time.
	rejectedRetryAfter = 300 * time.Millisecond
	// maxTooLarge is the number of endpoints with free slots after which a request that they rejected is sent to no other one.
	// tooLargeRetryAfter is its Retry-After: it may succeed only if endpoints with more memory are added.
	maxTooLarge        = 2
	tooLargeRetryAfter = 30 * time.Second
	// maxTriedEndpoints is the number of tried endpoints above which a request is not sent to another one after an
	// endpoint did not run it, or, if its response has begun, only after a pause.
	maxTriedEndpoints = 4
)

// handleFailedAttempt handles a missing, truncated or invalid response, after which the request may have run. It ends
// the request if the caller has disconnected or the deadline has passed, and else decides whether to retry it.
func (a *attempt) handleFailedAttempt(err error) (result, bool) {
	x := a.x
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	x.cause, x.begun = err, a.sinceBegun()
	// An at-most-once request continues after its caller has disconnected; see workContext.
	if x.callerLeft() && x.route.Kind != route.AtMostOnce {
		return x.endForCallerLeft(), false
	}
	if errors.Is(err, errCutOff) {
		return x.endForCutOff(), false
	}
	if errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(x.deadline) {
		if a.resp == nil && time.Since(a.started) >= minResponseTimeout {
			a.outcome = pool.Silent
		}
		return x.respondError(http.StatusGatewayTimeout, "deadline"), false
	}
	if errors.Is(err, errBodyMemory) { // not the endpoint's fault
		return x.respondError(http.StatusBadGateway, "out of memory"), false
	}
	a.outcome = pool.Broken
	if a.unread && isConnectionEnd(err) { // the caller's fault
		a.outcome = pool.Cancelled
	}
	if errors.Is(err, errUnknownEnd) { // not known to be the endpoint's fault
		a.outcome = pool.Served
	}
	if errors.Is(err, errNoResponse) {
		a.outcome = pool.Silent
		x.givenUp = append(x.givenUp, a.grant.Endpoint.ID)
	}
	mayRepeat := a.mayRepeatAfter(err)
	switch {
	case !x.route.Retryable(), x.notResumable:
		return x.respondError(http.StatusBadGateway, "endpoint failed"), false
	case a.claimStandby():
	case !mayRepeat:
		return x.respondError(http.StatusBadGateway, "endpoint failed, its request may have crashed it"), false
	case time.Until(x.deadline) < minTimeForRetry:
		return x.respondError(http.StatusGatewayTimeout, "deadline"), false
	case !x.mayRunAgain():
		return x.respondError(http.StatusBadGateway, "endpoint failed, attempts exhausted"), false
	case !x.takeRetry():
		return x.respondError(http.StatusBadGateway, "endpoint failed, repeats exhausted"), false
	}
	return result{reason: "endpoint failed"}, true
}

// relayBuffered relays a response once it is complete.
func (a *attempt) relayBuffered() (result, bool) {
	x, resp := a.x, a.resp
	failed := resp.StatusCode >= http.StatusInternalServerError
	// An error says little if another endpoint has sent a part of the response, or was given up and may be sound.
	retriable := failed || !a.succeeded() && (x.headerWritten || len(x.givenUp) > 0)
	if !retriable {
		a.stopWatch()
	}
	a.recordResponseStart()
	b, err := readBuffered(resp.Body, resp.ContentLength, maxBufferedBytes, a.awaitMemory)
	if err != nil {
		return a.handleFailedAttempt(err)
	}
	// A standby works on until the response is whole.
	if !retriable && !a.keepsRequest() {
		return a.handleFailedAttempt(errNoResponse)
	}
	resp.MarkBodyRead()
	a.recordServed()
	a.outcome = pool.Served
	if failed {
		a.outcome = pool.ServerError
	}
	w := &bufferedResponse{status: resp.StatusCode, header: resp.Header, framing: resp.Framing, body: b}
	switch {
	case retriable && a.takeErrorRetry():
		if !x.headerWritten {
			x.fallback = w
		}
		return result{reason: "endpoint answered " + strconv.Itoa(resp.StatusCode)}, true
	case x.headerWritten:
		return result{status: resp.StatusCode, reason: "endpoint would not continue", abort: true}, false
	}
	return x.writeResponse(w, "served"), false
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status  int
	header  http.Header
	framing framing.Framing
	body    []byte
}

// takeErrorRetry reports whether a request to which an endpoint has responded with an error may be retried, and takes the retry from
// the budget if so.
func (a *attempt) takeErrorRetry() bool {
	x := a.x
	if a.claimStandby() {
		return true
	}
	inTime := time.Until(x.deadline) > max(a.grant.ExpectedLatency, minTimeForRetry)
	return inTime && a.ctx.Err() == nil && x.mayRunAgain() && x.takeRetry()
}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(w *bufferedResponse, reason string) result {
	h := x.w.Header()
	x.handler.setConnectionHeader(h)
	copyResponseHeader(h, w.header)
	switch {
	case w.framing == framing.Close:
		x.delimitByClose()
	case x.r.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(w.body)))
	case w.header["Content-Length"] != nil:
		h["Content-Length"] = w.header["Content-Length"] // of the body that a GET would get
	}
	x.rc.SetWriteDeadline(x.deadline.Add(writeGrace)) // fails only on closed connections
	x.w.WriteHeader(w.status)
	x.headerWritten, x.firstByte = true, time.Now()
	if _, err := x.w.Write(w.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return x.endForWriteError(err)
	}
	return result{status: w.status, reason: reason}
}
