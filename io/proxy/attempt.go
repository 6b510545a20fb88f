package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/framing"
	"monsoondale/common/peerconn"
	"monsoondale/core/pool"
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
	// responseTimeoutFactor and minResponseTimeout determine how long to wait for a response to begin before another
	// endpoint is tried: a multiple of the latency that the pool predicts, but at least about a third of the two seconds
	// or more after which callers give up. With a minimum of 400 ms, endpoints that were only busy were treated as
	// failed in every burst.
	responseTimeoutFactor = 4
	minResponseTimeout    = 650 * time.Millisecond
	// streamSilenceTimeout is the time without a complete event, after the first bytes of a resumable stream, after which
	// another endpoint continues it. Callers abandon a silent stream after two seconds or more.
	streamSilenceTimeout = 1200 * time.Millisecond
	// takeoverInterval is the time between two tries to find another endpoint for a request whose endpoint is silent.
	takeoverInterval = 100 * time.Millisecond
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
	errUnprovenRefusal    = errors.New("refusal of an endpoint that does not state that the request did not run")
	errTooLarge           = errors.New("response or event is too large to buffer")
)

// attempt is one attempt to serve a request at one endpoint.
type attempt struct {
	x       *exchange
	ctx     context.Context
	grant   *pool.Grant
	outcome pool.Outcome
	resp    *endpoint.Response
	info    ResponseInfo // of resp
	started time.Time
	cancel  context.CancelCauseFunc
	// responseTimer runs until the response begins, unless the request may not be retried.
	responseTimer takeoverTimer

	mu       sync.Mutex
	ended    bool
	takeover *pool.Grant // of the endpoint that serves the request next
}

// tryEndpoint sends the request to an endpoint and relays the response. It reports whether the request is to be retried
// at another endpoint.
func (x *exchange) tryEndpoint(ctx context.Context, g *pool.Grant) (r result, retry bool) {
	x.endpointID = g.Endpoint.ID
	x.tried = append(x.tried, g.Endpoint.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{x: x, ctx: ctx, grant: g, outcome: pool.Cancelled, started: time.Now(), cancel: cancel}
	defer func() { a.end(retry) }()
	if timeout := x.responseTimeout(g); timeout > 0 {
		req := x.poolRequest()
		req.Retried = true
		a.responseTimer.start(timeout, func() bool {
			// An endpoint that responds to other requests is only busy; cancelling would waste the work it has done so
			// far. From then on only the deadline limits the wait for this response.
			return x.pool.RespondedSince(g) || a.takeOver(req)
		})
		defer a.responseTimer.stop()
	}
	return a.send()
}

// takeOver cancels the attempt because its endpoint is silent, if another endpoint has a free slot for the request and a retry is
// left in the budget. Without another endpoint, cancelling would only waste the work done so far. It returns false if it is to be
// tried again.
func (a *attempt) takeOver(req pool.Request) bool {
	x, now := a.x, time.Now()
	if req.Deadline.Sub(now) < minTimeForRetry {
		return true
	}
	g := x.pool.Acquire(now, req)
	if g == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || slices.Contains(req.Exclude, g.Endpoint.ID) || !x.handler.o.Budgets.TakeRetry(x.service) {
		x.pool.Release(now, g, pool.Cancelled)
		return a.ended
	}
	x.handler.o.Log.Info("takeover", "request", x.info.ID, "endpoint", a.grant.Endpoint.ID, "next", g.Endpoint.ID, "begun", req.Begun,
		"running", milliseconds(now.Sub(a.started)))
	a.takeover = g
	a.cancel(errNoResponse)
	return true
}

// end releases the slot of the attempt. The slot that takeOver has acquired is kept for the retry.
func (a *attempt) end(retry bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	x, now := a.x, time.Now()
	x.pool.Release(now, a.grant, a.outcome)
	switch {
	case a.takeover == nil:
	case retry:
		x.takeover = a.takeover
	default:
		x.pool.Release(now, a.takeover, pool.Cancelled)
	}
}

// takenOver reports whether another endpoint and a retry have been acquired for the request.
func (a *attempt) takenOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.takeover != nil
}

// takeoverTimer calls a function after a time, and then every takeoverInterval until it returns true.
type takeoverTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *takeoverTimer) start(d time.Duration, f func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.timer = time.AfterFunc(d, func() {
		if !f() {
			t.start(takeoverInterval, f)
		}
	})
}

func (t *takeoverTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// recordResponseStart stops the response timer and records the time to the first event.
func (a *attempt) recordResponseStart() {
	a.responseTimer.stop()
	a.x.pool.RecordFirstEvent(time.Now(), a.grant)
}

// send sends the request and relays the response or decides about a retry.
func (a *attempt) send() (result, bool) {
	x := a.x
	forwardInfo := ForwardInfo{Endpoint: a.grant.Endpoint.ID, Timeout: time.Until(x.deadline), LastEventID: x.lastEventID}
	if x.workspace != nil {
		forwardInfo.Workspace = x.workspace.ID
	}
	if forwardInfo.Timeout < time.Millisecond {
		return x.failOrRefuse("deadline", shortRetryAfter), false
	}
	h := forwardHeader(x.r.Header)
	x.handler.o.Headers.SetForwardHeaders(h, forwardInfo)
	x.stage = stageConnect
	x.framing, x.unfinishedBytes = "", 0
	resp, err := x.handler.o.Client.Do(a.ctx, a.grant.Endpoint.Address, endpoint.Request{
		ID: x.info.ID, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		NonIdempotent: !x.route.Retryable(),
		NewConnection: slices.Contains(x.tried[:len(x.tried)-1], a.grant.Endpoint.ID),
		OnHeader:      a.recordNotice,
		BeforeSend: func() error {
			if x.callerLeft() {
				return peerconn.ErrClosed
			}
			if !x.pool.Accepts(time.Now(), a.grant) {
				return errEndpointClosed
			}
			x.stage = stageRun
			return nil
		},
	})
	var unsent *endpoint.NotSentError
	switch {
	case errors.As(err, &unsent):
		x.cause = err
		switch {
		case errors.Is(err, errEndpointClosed):
			return x.handleNotRun(a.ctx, "endpoint leaves or waits")
		case a.ctx.Err() == nil && !errors.Is(err, peerconn.ErrClosed):
			a.outcome = pool.Unreachable
		}
		return x.handleNotRun(a.ctx, "endpoint unreachable")
	case err != nil:
		x.sends++
		x.possibleRuns++
		return a.handleFailedAttempt(err)
	}
	defer resp.Close()
	a.resp = resp
	x.sends++
	x.recordFraming(resp.Framing)
	responseInfo := a.info
	switch {
	case responseInfo.Misdirected:
		a.outcome = pool.Moved
		a.discardBody()
		return x.handleNotRun(a.ctx, "endpoint moved")
	case responseInfo.NotRun:
		a.outcome = pool.Rejected
		if responseInfo.Notice.Wait > 0 {
			a.outcome = pool.Deferred
		}
		a.discardBody()
		return x.handleNotRun(a.ctx, "endpoint rejected the request")
	}
	x.possibleRuns++
	success := resp.StatusCode < 300
	switch {
	case success && !responseInfo.Signed:
		return a.handleFailedAttempt(errUnsigned)
	case promisesNotRun(resp.StatusCode):
		return a.handleFailedAttempt(errUnprovenRefusal)
	case resp.Header.Get("Content-Encoding") != "":
		return a.handleFailedAttempt(errUnexpectedEncoding)
	case x.route.Kind == route.Stream && success:
		return a.relayStream()
	default:
		return a.relayBuffered()
	}
}

// recordNotice reads the header of a response and records what the endpoint states about itself. Of a response to another
// request, only that it leaves counts: a late copy of a rejection would extend the wait.
func (a *attempt) recordNotice(r *http.Response, matched bool) {
	info := a.x.handler.o.Headers.ParseResponse(r)
	if matched {
		a.info = info
		a.x.statedLoad, a.x.knownLoad = info.Load, a.x.pool.RecordLoad(time.Now(), a.grant, info.Load)
	} else {
		info.Notice = pool.Notice{Leaving: info.Notice.Leaving}
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

// responseTimeout returns how long to wait for a response to begin before another endpoint is tried. It returns 0 if the
// request may not be retried.
func (x *exchange) responseTimeout(g *pool.Grant) time.Duration {
	if !x.route.Retryable() || x.possibleRuns+1 >= x.route.Attempts {
		return 0
	}
	return max(responseTimeoutFactor*g.ExpectedLatency, minResponseTimeout)
}

// discardBody reads a response that is not relayed, so that its connection can be reused. It gives up if the body is long
// or late, because another endpoint can serve the request.
func (a *attempt) discardBody() {
	a.resp.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on closed connections
	if n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxDiscardedBytes)); err == nil && n < maxDiscardedBytes {
		a.resp.MarkBodyRead()
	}
}

// handleNotRun decides whether a request that an endpoint did not run is sent to another one.
func (x *exchange) handleNotRun(ctx context.Context, reason string) (result, bool) {
	switch {
	case x.callerLeft():
		return x.endForCallerLeft(), false
	// The context has ended at the deadline, unless the response timer cancelled it.
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errNoResponse), time.Until(x.deadline) < minTimeForRetry:
		return x.failOrRefuse("deadline", shortRetryAfter), false
	case x.sends > 0 && !x.handler.o.Budgets.TakeRetry(x.service):
		return x.failOrRefuse(reason+", repeats exhausted", rejectedRetryAfter), false
	case len(x.tried) > maxTriedEndpoints:
		return x.failOrRefuse(reason, rejectedRetryAfter), false
	}
	return result{reason: reason}, true
}

const (
	// rejectedRetryAfter is the Retry-After of a request that no endpoint accepted. Endpoints that reject requests by
	// mistake are suspended within that time.
	rejectedRetryAfter = 300 * time.Millisecond
	// maxTriedEndpoints is the number of tried endpoints above which a request is not sent to another one after an
	// endpoint did not run it.
	maxTriedEndpoints = 4
)

// handleFailedAttempt handles a missing, truncated or invalid response, after which the request may have run. It ends
// the request if the caller has disconnected or the deadline has passed, and else decides whether to retry it.
func (a *attempt) handleFailedAttempt(err error) (result, bool) {
	x := a.x
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	x.cause = err
	// An at-most-once request continues after its caller has disconnected; see workContext.
	if x.callerLeft() && x.route.Kind != route.AtMostOnce {
		return x.endForCallerLeft(), false
	}
	if errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(x.deadline) {
		return x.respondError(http.StatusGatewayTimeout, "deadline"), false
	}
	if errors.Is(err, errBodyMemory) { // not the endpoint's fault
		return x.respondError(http.StatusBadGateway, "out of memory"), false
	}
	a.outcome = pool.Broken
	if errors.Is(err, errUnknownEnd) { // not known to be the endpoint's fault
		a.outcome = pool.Served
	}
	switch {
	case !x.route.Retryable(), x.notResumable:
		return x.respondError(http.StatusBadGateway, "endpoint failed"), false
	case x.possibleRuns >= x.route.Attempts:
		return x.respondError(http.StatusBadGateway, "endpoint failed, attempts exhausted"), false
	case time.Until(x.deadline) < minTimeForRetry:
		return x.respondError(http.StatusGatewayTimeout, "deadline"), false
	case !a.takenOver() && !x.handler.o.Budgets.TakeRetry(x.service):
		return x.respondError(http.StatusBadGateway, "endpoint failed, repeats exhausted"), false
	}
	return result{reason: "endpoint failed"}, true
}

// relayBuffered relays a response once it is complete.
func (a *attempt) relayBuffered() (result, bool) {
	x, resp := a.x, a.resp
	a.recordResponseStart()
	b, err := x.readBuffered(resp.Body, resp.ContentLength, maxBufferedBytes)
	if err != nil {
		return a.handleFailedAttempt(err)
	}
	resp.MarkBodyRead()
	a.outcome = pool.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome = pool.ServerError
	}
	if x.headerWritten {
		return result{status: resp.StatusCode, reason: "endpoint would not continue", abort: true}, false
	}
	w := &bufferedResponse{status: resp.StatusCode, header: resp.Header, framing: resp.Framing, body: b}
	if a.outcome == pool.ServerError && a.takeServerErrorRetry() {
		x.fallback = w
		return result{reason: "endpoint answered " + strconv.Itoa(resp.StatusCode)}, true
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

// takeServerErrorRetry reports whether a request to which an endpoint has responded with a server error may be retried,
// and takes the retry from the budget if so.
func (a *attempt) takeServerErrorRetry() bool {
	x := a.x
	return x.route.Retryable() && x.possibleRuns < x.route.Attempts && a.ctx.Err() == nil &&
		time.Until(x.deadline) > max(a.grant.ExpectedLatency, minTimeForRetry) && x.handler.o.Budgets.TakeRetry(x.service)
}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(w *bufferedResponse, reason string) result {
	h := x.w.Header()
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
		x.cause = err
		return result{status: statusCallerLeft, reason: "caller left", abort: true}
	}
	return result{status: w.status, reason: reason}
}
