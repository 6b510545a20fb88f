// Package proxy serves the requests of callers: it finds the route and the workspace, keeps quotas and repeat budgets,
// waits for an endpoint, sends the request there and passes the response on, byte for byte.
package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
)

const (
	// unconfigured is the Retry-After of an instance that knows no configuration yet; a start takes about as long.
	noConfigRetryAfter = 500 * time.Millisecond
	// elsewhere is the Retry-After of an instance that is about to end: another one can take the request at once.
	otherInstanceRetryAfter = 50 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 5 * time.Second
	// drainLimit bounds what is read of a body that is not used, in bytes. It is that of the runtime's server, which does
	// the same for connections that are kept.
	maxDrainBytes = 256 << 10
	// writeGrace is how long after its deadline a response may still be written to a slow caller.
	writeGrace = 500 * time.Millisecond
	// moveAfter is the wait after which a request counts for the quota at the time at which it is sent.
	redateAfter = 200 * time.Millisecond
	// forever is the deadline of requests that state none.
	defaultTimeout = 10 * time.Minute
)

// RequestInfo is what a caller states in the header of a request.
type RequestInfo struct {
	ID      core.RequestID
	APIKey  string        // empty if there is none
	Timeout time.Duration // how long the caller waits; 0 if it does not say
	Prompt  core.Tokens
	Output  core.Tokens // upper bound
	// TokensStated tells that the numbers of tokens were given.
	TokensStated bool
	// LastEventID is the last event of the stream that the caller has received; empty for a new stream.
	LastEventID string
}

// ForwardInfo is what an instance states in the header of a request to an endpoint.
type ForwardInfo struct {
	Endpoint  core.EndpointID
	Workspace core.WorkspaceID // empty if the route is public
	Timeout   time.Duration    // time until the caller gives up
	LastEventID string
}

// ResponseInfo is what the header of an endpoint's response says of the request.
type ResponseInfo struct {
	Signed      bool // bears the endpoint's signature
	NotRun      bool // the endpoint did not run the request
	Misdirected bool // another endpoint has the address; the request did not run
}

// HeaderCodec translates between headers and what they mean.
type HeaderCodec interface {
	ParseRequest(h http.Header) RequestInfo
	SetForwardHeaders(h http.Header, s ForwardInfo)
	ParseResponse(r *http.Response) ResponseInfo
}

// Budgets bounds the use of workspaces and the repeats of services over all instances.
type Budgets interface {
	// TakeQuota counts units of a workspace, or returns the time after which they are within the quota. Requests of a higher
	// rank leave a part of it to more urgent ones.
	TakeQuota(id core.WorkspaceID, rank int, units float64) (time.Duration, bool)
	// ReturnQuota gives back the units of a request that did not run.
	ReturnQuota(taken time.Time, id core.WorkspaceID, units float64)
	// RedateQuota counts units that were taken at a time as used now, when the request is sent.
	RedateQuota(taken time.Time, id core.WorkspaceID, units float64)
	// CountRequest counts a request for a service.
	CountRequest(s route.Service)
	// TakeRetry reports whether a request may be sent once more, and counts it if so.
	TakeRetry(s route.Service) bool
}

// Config is the configuration at one moment.
type Config struct {
	Table *route.Table
	Pools map[route.Service]*pool.Pool
}

// Options configures a Front.
type Options struct {
	Headers HeaderCodec
	Client  *endpoint.Client
	Budgets Budgets
	// Config returns the configuration in force; Table is nil before one is known.
	Config  func() Config
	Log     logr.Logger
	Metrics metrics.Registry
}

// Handler is the handler of callers' requests.
type Handler struct {
	o              Options
	keepAlivesOff  atomic.Bool
	refusing       atomic.Bool
	active         atomic.Int64
	openConns      atomic.Int64 // connections of callers
	keepAliveLimit atomic.Int64 // number of open connections from which they are not kept; 0 for none
	stats          stats
}

// New returns a Front.
func New(o Options) *Handler {
	return &Handler{o: o, stats: newStats(o.Metrics)}
}

// DisableKeepAlives makes the front ask callers to close their connections. Requests are served as before.
func (h *Handler) DisableKeepAlives() { h.keepAlivesOff.Store(true) }

// RefuseNew makes the front refuse new requests, so that callers go to another instance.
func (h *Handler) RefuseNew() { h.refusing.Store(true) }

// TrackConnections returns a hook for the server that counts connections. While more than crowded are open, responses end theirs.
func (h *Handler) TrackConnections(limit int) func(net.Conn, http.ConnState) {
	h.keepAliveLimit.Store(int64(max(limit, 1)))
	return func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			h.openConns.Add(1)
		case http.StateClosed, http.StateHijacked:
			h.openConns.Add(-1)
		}
	}
}

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int { return int(h.active.Load()) }

// exchange is one request of a caller.
type exchange struct {
	handler   *Handler
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	info      RequestInfo
	config    Config
	route     *route.Route
	workspace *route.Workspace
	service   route.Service
	pool      *pool.Pool
	body      []byte
	cost      float64   // in units of the workspace's quota
	charged   float64   // of them that are counted
	chargedAt time.Time // when they were counted

	arrived, deadline time.Time
	objective         time.Time

	sends           int               // times that the request was sent
	possibleRuns    int               // endpoints that may have run it
	tried           []core.EndpointID // endpoints that are not tried again
	headerSent      bool              // the response's header has been passed on
	fallback        *bufferedResponse // failure of an endpoint, passed on if no other one serves the request
	lastEventID     string            // id of the last event that the caller has
	firstByte       time.Time         // when the response or its first event was passed on
	endpointID      core.EndpointID
	queueTime       time.Duration
	expectedLatency time.Duration // to the first event, as the pool predicted
	endpointLoad    int           // load of the endpoint when it was chosen
	poolState       pool.State    // of the pool at the last decision
	retryAfter      time.Duration // told to the caller
	cause           error
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{handler: h, w: w, r: r, rc: http.NewResponseController(w), info: h.o.Headers.ParseRequest(r.Header), config: h.o.Config(), arrived: time.Now()}
	x.lastEventID = x.info.LastEventID
	if limit := h.keepAliveLimit.Load(); h.keepAlivesOff.Load() || limit > 0 && h.openConns.Load() > limit {
		w.Header().Set("Connection", "close")
	}
	result := x.serve()
	x.logRequest(result)
	if result.abort {
		// Closes the connection, so that the caller sees that the response is not complete.
		panic(http.ErrAbortHandler)
	}
}

// result is how a request of a caller ended.
type result struct {
	status int
	reason string
	abort  bool
}

// refuse answers with a status that promises that the request has not run.
func (x *exchange) refuse(status int, reason string, retry time.Duration) result {
	if x.charged > 0 {
		x.handler.o.Budgets.ReturnQuota(x.chargedAt, x.workspace.ID, x.charged)
		x.charged = 0
	}
	x.retryAfter = retry
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	return x.respondError(status, reason)
}

// fail answers with a status of our own.
func (x *exchange) respondError(status int, reason string) result {
	if x.headerSent {
		return result{status: status, reason: reason, abort: true}
	}
	if x.fallback != nil {
		return x.writeResponse(x.fallback, reason)
	}
	x.drainBody()
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	x.rc.SetWriteDeadline(time.Now().Add(writeGrace)) // fails only on connections that are gone
	x.w.WriteHeader(status)
	io.WriteString(x.w, reason+"\n")
	return result{status: status, reason: reason}
}

// drain reads what is left of the request's body, within limits. A connection that is closed with unread data is reset,
// and the caller may lose the response.
func (x *exchange) drainBody() {
	if x.body != nil || x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	x.rc.SetReadDeadline(x.arrived.Add(bodyTimeout)) // fails only on connections that are gone
	if _, err := io.CopyN(io.Discard, x.r.Body, maxDrainBytes); err != nil && err != io.EOF && x.cause == nil {
		x.cause = err
	}
	x.rc.SetReadDeadline(time.Time{})
}

// serve finds out where the request goes and sends it there.
func (x *exchange) serve() result {
	t := x.config.Table
	if t == nil {
		return x.refuse(http.StatusServiceUnavailable, "no configuration yet", noConfigRetryAfter)
	}
	if x.handler.refusing.Load() {
		return x.refuse(http.StatusServiceUnavailable, "shutting down", otherInstanceRetryAfter)
	}
	var ok bool
	if x.route, ok = t.Match(x.r.Host, x.r.URL.EscapedPath()); !ok {
		return x.respondError(http.StatusNotFound, "no such route")
	}
	if x.info.APIKey != "" {
		x.workspace, _ = t.Workspace(x.info.APIKey)
	}
	if x.workspace == nil && t.RequiresKey() && !x.route.Public {
		return x.respondError(http.StatusUnauthorized, "unknown key")
	}
	if r, ok := x.readBody(t.Limits().BodyBytes); !ok {
		return r
	}
	x.setDeadlines()
	x.service = x.route.PickService(xxhash.Sum64String(string(x.info.ID)))
	x.pool = x.config.Pools[x.service]
	x.handler.o.Budgets.CountRequest(x.service)
	if x.pool == nil {
		return x.refuse(http.StatusServiceUnavailable, "no endpoints", noConfigRetryAfter)
	}
	if x.workspace != nil {
		x.cost = x.workspace.Quota.Cost(x.info.Prompt+x.info.Output, x.info.TokensStated)
		if wait, ok := x.handler.o.Budgets.TakeQuota(x.workspace.ID, int(x.route.Tier), x.cost); !ok {
			return x.refuse(http.StatusTooManyRequests, "quota", wait)
		}
		x.charged, x.chargedAt = x.cost, time.Now()
	}
	return x.dispatch()
}

// read reads the request's body.
func (x *exchange) readBody(limit int64) (result, bool) {
	if limit <= 0 {
		limit = 1 << 20
	}
	if x.r.ContentLength > limit {
		return x.respondError(http.StatusRequestEntityTooLarge, "body too large"), false
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return result{}, true
	}
	x.rc.SetReadDeadline(x.arrived.Add(bodyTimeout)) // fails only on connections that are gone
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	x.rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return x.respondError(http.StatusRequestEntityTooLarge, "body too large"), false
	case err != nil:
		x.cause = err
		return x.respondError(http.StatusRequestTimeout, "body not received"), false
	}
	x.body = b
	return result{}, true
}

// bound sets the times by which the request is on time and useless.
func (x *exchange) setDeadlines() {
	wait := x.info.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if x.route.Timeout > 0 {
		wait = min(wait, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(wait)
	if x.route.Objective > 0 {
		x.objective = x.arrived.Add(x.route.Objective)
	}
}

// useful returns the time by which a response must begin, which for a stream is when the caller leaves.
func (x *exchange) responseDeadline() time.Time {
	if d := x.route.AbandonAfter(); d > 0 && !x.headerSent {
		if t := x.arrived.Add(d); t.Before(x.deadline) {
			return t
		}
	}
	return x.deadline
}

func (x *exchange) tier() core.Tier {
	if x.workspace != nil && x.workspace.HasTier {
		return x.workspace.Tier
	}
	return x.route.Tier
}

// run waits for an endpoint and sends the request, again elsewhere where that is allowed, until a response has been
// passed on or nothing more can be done.
func (x *exchange) dispatch() result {
	ctx, cancel := context.WithDeadlineCause(x.workContext(), x.deadline, errDeadline)
	defer cancel()
	for {
		g, r := x.acquireEndpoint(ctx)
		if g == nil {
			return r
		}
		r, again := x.attempt(ctx, g)
		if !again {
			return r
		}
		x.handler.stats.retries.Inc(1)
		x.handler.o.Log.Info("repeat", "request", x.info.ID, "route", x.route.Name, "endpoint", g.Endpoint.ID, "reason", r.reason,
			"cause", errorText(x.cause), "sent", x.sends, "ran", x.possibleRuns, "after", x.lastEventID)
	}
}

// errDeadline is the cause of contexts that end at a request's deadline.
var errDeadline = errors.New("deadline")

// context returns the context of work for the request. An order that has been sent runs on when its caller leaves.
func (x *exchange) workContext() context.Context {
	if x.route.Kind == route.AtMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// acquire waits for an endpoint.
func (x *exchange) acquireEndpoint(ctx context.Context) (*pool.Grant, result) {
	if x.r.Context().Err() != nil {
		return nil, x.callerLeft()
	}
	start := time.Now()
	t := x.pool.Submit(start, pool.Request{
		ID: x.info.ID, Tier: x.tier(), Prompt: x.info.Prompt, MaxOutput: x.info.Output, Arrived: x.arrived,
		Rank: int(x.route.Tier), Objective: x.objective, Deadline: x.responseDeadline(), Exclude: x.tried, Resumed: x.sends > 0,
	})
	defer func() { x.queueTime += time.Since(start) }()
	select {
	case d := <-t.Decided:
		switch d := d.(type) {
		case *pool.Grant:
			if now := time.Now(); x.sends == 0 && x.charged > 0 && now.Sub(x.chargedAt) > redateAfter {
				x.handler.o.Budgets.RedateQuota(x.chargedAt, x.workspace.ID, x.charged)
				x.chargedAt = now
			}
			x.poolState, x.expectedLatency, x.endpointLoad = d.State, d.ExpectedLatency, d.EndpointLoad
			return d, result{}
		case pool.Refusal:
			x.poolState = d.State
			return nil, x.failOrRefuse(d.Reason, d.RetryAfter)
		}
	case <-x.r.Context().Done():
		if g := x.pool.Withdraw(time.Now(), t); g != nil {
			x.pool.Done(time.Now(), g, pool.Cancelled)
		}
		return nil, x.callerLeft()
	case <-ctx.Done():
		if g := x.pool.Withdraw(time.Now(), t); g != nil {
			x.pool.Done(time.Now(), g, pool.Cancelled)
		}
	}
	return nil, x.failOrRefuse("deadline", otherInstanceRetryAfter)
}

// unserved ends a request for which no endpoint is to be had.
func (x *exchange) failOrRefuse(reason string, retry time.Duration) result {
	if x.possibleRuns > 0 {
		return x.respondError(http.StatusBadGateway, reason+" after a failure")
	}
	return x.refuse(http.StatusServiceUnavailable, reason, retry)
}

// left ends a request whose caller has gone.
func (x *exchange) callerLeft() result {
	if x.possibleRuns == 0 && x.charged > 0 {
		x.handler.o.Budgets.ReturnQuota(x.chargedAt, x.workspace.ID, x.charged)
		x.charged = 0
	}
	return result{status: statusCallerLeft, reason: "caller left", abort: true}
}

// statusLeft marks requests whose caller closed the connection, in logs and counters only.
const statusCallerLeft = 499
