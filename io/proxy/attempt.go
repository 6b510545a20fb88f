package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core/pool"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
)

const (
	// wholeLimit is the largest response in bytes that is held back until it is complete. A larger one is passed on as
	// it arrives.
	wholeLimit = 1 << 20
	// patienceFactor and patienceLeast bound the wait for a response that another endpoint could give: a multiple of
	// what the pool predicts, and no less than a third of the time after which callers leave. At 400 ms, busy endpoints
	// were taken for dead ones in every burst.
	patienceFactor = 4
	patienceLeast  = 650 * time.Millisecond
	// silence is the pause within a stream after which another endpoint continues it. Callers abandon a stream after
	// two seconds or more.
	silence = 1200 * time.Millisecond
	// useless is the time left below which a request is not sent again.
	useless = 20 * time.Millisecond
)

var (
	errUnsigned = errors.New("success without the endpoint's signature")
	errSilent   = errors.New("no response in time")
	errEncoded  = errors.New("response with an encoding that was not asked for")
	errSkipped  = errors.New("event out of order")
	errLarge    = errors.New("response is too large to hold")
)

// attempt is one sending of a request to one endpoint.
type attempt struct {
	x       *exchange
	ctx     context.Context
	grant   *pool.Grant
	outcome pool.Outcome
	resp    *endpoint.Response
	started time.Time
	// impatient ends the attempt if no response begins; nil if no other endpoint may be asked.
	impatient *time.Timer
	// paid tells that the repeat after an attempt that was ended for its silence has been counted.
	paid atomic.Bool
}

// attempt sends the request to an endpoint and passes the response on. It reports whether the request is to be sent to
// another endpoint.
func (x *exchange) attempt(ctx context.Context, g *pool.Grant) (result, bool) {
	x.endpoint = g.Endpoint.ID
	x.exclude = append(x.exclude, g.Endpoint.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{x: x, ctx: ctx, grant: g, outcome: pool.Cancelled, started: time.Now()}
	defer func() { x.pool.Done(time.Now(), g, a.outcome) }()
	if patience := x.patience(g); patience > 0 {
		a.impatient = time.AfterFunc(patience, func() {
			// An endpoint that answers others is only busy, and what it has done for this request would be lost.
			if x.pool.RespondedSince(g) || !x.f.o.Budgets.TakeRetry(x.service) {
				return
			}
			a.paid.Store(true)
			cancel(errSilent)
		})
		defer a.impatient.Stop()
	}
	return a.send()
}

// began records that the response has begun.
func (a *attempt) began() {
	if a.impatient != nil {
		a.impatient.Stop()
	}
	a.x.pool.RecordFirstEvent(time.Now(), a.grant)
}

func (a *attempt) send() (result, bool) {
	x := a.x
	s := ForwardInfo{Endpoint: a.grant.Endpoint.ID, Timeout: time.Until(x.deadline), LastEvent: x.last}
	if x.ws != nil {
		s.Workspace = x.ws.ID
	}
	if s.Timeout < time.Millisecond {
		return x.unserved("deadline", elsewhere), false
	}
	h := forwarded(x.r.Header)
	x.f.o.Headers.SetForwardHeaders(h, s)
	resp, err := x.f.o.Client.Do(a.ctx, a.grant.Endpoint.Address, endpoint.Request{
		ID: x.call.ID, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		NonIdempotent: !x.route.Retryable(),
	})
	var unsent *endpoint.NotSentError
	switch {
	case errors.As(err, &unsent):
		x.cause = err
		if a.ctx.Err() == nil {
			a.outcome = pool.Unreachable
		}
		return x.again(a.ctx, "endpoint unreachable")
	case err != nil:
		x.sent++
		x.ran++
		return a.broke(err)
	}
	defer resp.Close()
	a.resp = resp
	x.sent++
	v := x.f.o.Headers.ParseResponse(resp.Response)
	switch {
	case v.Misdirected:
		a.outcome = pool.Moved
		a.skip()
		return x.again(a.ctx, "endpoint moved")
	case v.NotRun:
		a.outcome = pool.Rejected
		a.skip()
		return x.again(a.ctx, "endpoint rejected the request")
	}
	x.ran++
	success := resp.StatusCode < 300
	switch {
	case success && !v.Signed:
		return a.broke(errUnsigned)
	case resp.Header.Get("Content-Encoding") != "":
		return a.broke(errEncoded)
	case x.route.Kind == route.Stream && success:
		return a.stream()
	default:
		return a.whole()
	}
}

// patience returns how long to wait for the beginning of a response before another endpoint is asked; 0 if none may be.
func (x *exchange) patience(g *pool.Grant) time.Duration {
	if !x.route.Retryable() || x.ran+1 >= x.route.Attempts {
		return 0
	}
	return max(patienceFactor*g.ExpectedLatency, patienceLeast)
}

// skip reads a response that is not passed on, so that its connection can be used again.
func (a *attempt) skip() {
	if n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, wholeLimit)); err == nil && n < wholeLimit {
		a.resp.MarkBodyRead()
	}
}

// again decides whether a request that an endpoint did not run is sent to another one.
func (x *exchange) again(ctx context.Context, reason string) (result, bool) {
	switch {
	case x.r.Context().Err() != nil:
		return x.left(), false
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent), time.Until(x.deadline) < useless:
		return x.unserved("deadline", elsewhere), false
	case x.sent > 0 && !x.f.o.Budgets.TakeRetry(x.service):
		return x.unserved(reason+", repeats exhausted", retryRejected), false
	case len(x.exclude) > maxSends:
		return x.unserved(reason, retryRejected), false
	}
	return result{reason: reason}, true
}

const (
	// retryRejected is the Retry-After of a request that no endpoint accepted; endpoints that reject in error are
	// suspended within that time.
	retryRejected = 300 * time.Millisecond
	// maxSends bounds how many endpoints are tried for one request that none of them ran.
	maxSends = 4
)

// broke handles a response that did not come or was spoilt: the request may have run.
func (a *attempt) broke(err error) (result, bool) {
	x := a.x
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	x.cause = err
	if x.r.Context().Err() != nil && x.route.Kind != route.AtMostOnce {
		return x.left(), false
	}
	if errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(x.deadline) {
		return x.fail(http.StatusGatewayTimeout, "deadline"), false
	}
	a.outcome = pool.Broken
	switch {
	case !x.route.Retryable():
		return x.fail(http.StatusBadGateway, "endpoint failed"), false
	case x.ran >= x.route.Attempts:
		return x.fail(http.StatusBadGateway, "endpoint failed, attempts exhausted"), false
	case time.Until(x.deadline) < useless:
		return x.fail(http.StatusGatewayTimeout, "deadline"), false
	case !a.paid.Load() && !x.f.o.Budgets.TakeRetry(x.service):
		return x.fail(http.StatusBadGateway, "endpoint failed, repeats exhausted"), false
	}
	return result{reason: "endpoint failed"}, true
}

// whole passes a response on once it is complete.
func (a *attempt) whole() (result, bool) {
	x, resp := a.x, a.resp
	a.began()
	b, err := io.ReadAll(io.LimitReader(resp.Body, wholeLimit+1))
	if err == nil && len(b) > wholeLimit {
		err = errLarge
	}
	if err != nil {
		return a.broke(err)
	}
	resp.MarkBodyRead()
	a.outcome = pool.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome = pool.Failed
	}
	if x.begun {
		return result{status: resp.StatusCode, reason: "endpoint would not continue", abort: true}, false
	}
	w := &held{status: resp.StatusCode, header: resp.Header, body: b}
	if a.outcome == pool.Failed && a.another() {
		x.held = w
		return result{reason: "endpoint answered " + strconv.Itoa(resp.StatusCode)}, true
	}
	return x.answer(w, "served"), false
}

// held is a whole response of an endpoint.
type held struct {
	status int
	header http.Header
	body   []byte
}

// another reports whether a request that an endpoint has run to a failure is sent to another one, and counts the repeat.
func (a *attempt) another() bool {
	x := a.x
	return x.route.Retryable() && x.ran < x.route.Attempts && a.ctx.Err() == nil &&
		time.Until(x.deadline) > max(a.grant.ExpectedLatency, useless) && x.f.o.Budgets.TakeRetry(x.service)
}

// answer passes a whole response on.
func (x *exchange) answer(w *held, reason string) result {
	h := x.w.Header()
	relay(h, w.header)
	h.Set("Content-Length", strconv.Itoa(len(w.body)))
	x.rc.SetWriteDeadline(x.deadline.Add(writeGrace)) // fails only on connections that are gone
	x.w.WriteHeader(w.status)
	x.begun, x.first = true, time.Now()
	if _, err := x.w.Write(w.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.cause = err
		return result{status: statusLeft, reason: "caller left", abort: true}
	}
	return result{status: w.status, reason: reason}
}
