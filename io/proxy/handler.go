// Package proxy is the reverse proxy for callers: it matches the route and the workspace, enforces quotas and retry
// budgets, waits for an endpoint, forwards the request to it and relays the response byte for byte.
package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/common/framing"
	"monsoondale/common/peerconn"
	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/quarantine"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
)

const (
	// startupRetryAfter is the Retry-After of an instance that has no configuration, or no endpoints of a service, yet;
	// starting takes about as long.
	startupRetryAfter = 500 * time.Millisecond
	// shortRetryAfter is the Retry-After of requests that another instance can take at once because this one is shutting
	// down, and of requests that ended at their deadline.
	shortRetryAfter = 50 * time.Millisecond
	// bodyTimeout is the time limit for reading the body of a request.
	bodyTimeout = 5 * time.Second
	// maxDrainBytes limits how much of an unused request body is read. The server of net/http has the same limit for
	// connections that are kept alive.
	maxDrainBytes = 256 << 10
	// writeGrace is how long after its deadline a response may still be written to a slow caller, and how long writing an
	// error response of this instance may take.
	writeGrace = 500 * time.Millisecond
	// moveUsageAfter is the time in the queue above which the quota counts the units of a request at the time of sending
	// instead of the time of arrival.
	moveUsageAfter = 200 * time.Millisecond
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 10 * time.Minute
)

// RequestInfo is the information in the header of a caller's request.
type RequestInfo struct {
	ID        core.RequestID
	APIKey    string        // empty if there is none
	Timeout   time.Duration // how long the caller waits; 0 if not stated
	Prompt    core.Tokens   // length of the prompt
	MaxOutput core.Tokens   // maximum length of the output
	Model     string        // that is asked for; empty if not stated
	// Parts are the parts of the prompt in order. The last one is the request's or its session's own; others may be shared.
	Parts []core.PartID
	// TokensStated reports whether the header states the numbers of tokens.
	TokensStated bool
	// LastEventID is the id of the last event of the stream that the caller has received; empty for a new stream.
	LastEventID string
	// Conditional reports whether an endpoint may reject the request as misdirected because it does not meet a condition of the caller.
	Conditional bool
}

// ForwardInfo is the information that an instance adds to the header of a request to an endpoint.
type ForwardInfo struct {
	Endpoint    core.EndpointID
	Workspace   core.WorkspaceID // empty if there is none
	Timeout     time.Duration    // time left until the deadline of the request
	LastEventID string           // event after which a stream is resumed; empty for a new stream
}

// ResponseInfo is the information in the header of an endpoint's response.
type ResponseInfo struct {
	Signed      bool // the response has the endpoint's signature
	NotRun      bool // the endpoint did not run the request
	Misdirected bool // another endpoint has the address; the request did not run
	Notice      pool.Notice
	Load        pool.StatedLoad // zero if not stated
}

// HeaderCodec reads and writes the headers of the platform's protocol.
type HeaderCodec interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// SetForwardHeaders replaces the protocol's headers in a caller's request by those for an endpoint.
	SetForwardHeaders(h http.Header, info ForwardInfo)
	// ParseResponse reads the status and the header of an endpoint's response.
	ParseResponse(r *http.Response) ResponseInfo
}

// Budgets enforces the quotas of workspaces and the retry budgets of services over all instances.
type Budgets interface {
	// TakeQuota takes units from the quota of a workspace. If too few are left, it returns the time after which enough will
	// be available. Requests with a larger rank number are less urgent and leave a part of the quota to more urgent ones.
	TakeQuota(id core.WorkspaceID, rank int, units float64) (time.Duration, bool)
	// QuotaUsage returns the units that a workspace has used in the window of its quota, and those that it may use.
	QuotaUsage(id core.WorkspaceID) (used, allowed float64)
	// ReturnQuota returns the units that TakeQuota took at the time taken, for a request that did not run.
	ReturnQuota(taken time.Time, id core.WorkspaceID, units float64)
	// MoveUsage counts units that were taken at the time taken as used now, when the request is sent.
	MoveUsage(taken time.Time, id core.WorkspaceID, units float64)
	// CountRequest counts a request for a service.
	CountRequest(s route.Service)
	// TakeRetry takes one retry from the budget of a service and reports whether there was one left.
	TakeRetry(s route.Service) bool
}

// Config holds the current routing table and the pool of each service. All requests share the pools.
type Config struct {
	Table *route.Table
	Pools map[route.Service]*pool.Pool
}

// Options configures a Handler.
type Options struct {
	Headers HeaderCodec
	Client  *endpoint.Client
	Budgets Budgets
	// Config returns the current configuration. Its Table is nil as long as no configuration is known.
	Config  func() Config
	Log     logr.Logger
	Metrics metrics.Registry
	// Quarantine and ReserveTrial may be nil.
	Quarantine   Quarantine
	ReserveTrial ReserveTrial
	// Lateness returns the longest recent delay of the process, in which it did not run or was busy; default 0.
	Lateness func() time.Duration
	// Places decides which endpoints requests get; default: the pool of each service.
	Places Places
	// MaxBuffered limits the bytes that the bodies of all requests and responses occupy at once; 0 for no limit.
	MaxBuffered int64
}

// Handler is the HTTP handler for requests of callers.
type Handler struct {
	o              Options
	shutdown       shutdown
	active         atomic.Int64
	openConns      atomic.Int64 // number of open connections of callers
	keepAliveLimit atomic.Int64 // number of open connections above which responses close them; 0 for no limit
	stats          stats
	memory         bodyMemory
	probes         crashProbes
	timeouts       routeTimeouts
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.Lateness == nil {
		o.Lateness = func() time.Duration { return 0 }
	}
	if o.Places == nil {
		o.Places = poolPlaces{}
	}
	h := &Handler{o: o, stats: newStats(o.Metrics), memory: bodyMemory{limit: o.MaxBuffered}}
	h.shutdown.init()
	metrics.NewRegisteredFunctionalGauge("bodies.bytes", o.Metrics, h.memory.used.Load)
	return h
}

// TrackConnections returns a hook for http.Server.ConnState that counts open connections. While more than keepAliveLimit
// are open, responses ask the caller to close the connection.
func (h *Handler) TrackConnections(keepAliveLimit int) func(net.Conn, http.ConnState) {
	h.keepAliveLimit.Store(int64(max(keepAliveLimit, 1)))
	metrics.NewRegisteredFunctionalGauge("callers.open", h.o.Metrics, h.openConns.Load)
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

// OpenConnections returns the number of open connections of callers, if they are tracked.
func (h *Handler) OpenConnections() int { return int(h.openConns.Load()) }

// exchange is the processing of one request of a caller.
type exchange struct {
	handler    *Handler
	w          http.ResponseWriter
	r          *http.Request
	rc         *http.ResponseController
	info       RequestInfo
	config     Config
	route      *route.Route
	workspace  *route.Workspace
	service    route.Service
	pool       *pool.Pool
	prompt     quarantine.Prompt
	body       []byte
	reserved   int64     // bytes of buffers
	units      float64   // that the request costs in the workspace's quota; 0 if there is no workspace
	takenUnits float64   // units taken from the quota
	takenAt    time.Time // when they were taken
	// quotaUsed and quotaAllowed are the usage and the limit that led to a refusal.
	quotaUsed, quotaAllowed float64

	arrived, deadline time.Time
	objective         time.Time     // counted from the caller's first attempt
	waited            time.Duration // how long the caller has waited before this attempt

	tooLarge        int               // number of endpoints with free slots that rejected it
	sends           int               // number of times the request was sent to an endpoint
	possibleRuns    int               // number of endpoints that may have run it
	tried           []core.EndpointID // endpoints to avoid in further attempts
	givenUp         []core.EndpointID // endpoints that were silent when others took the request over; it may return there
	standby         *attempt          // has taken the request over; may be nil
	headerWritten   bool              // the header of the response has been written
	begunStatus     int               // status of a stream that has begun
	closeDelimited  bool              // the response ends with the connection, which is reset unless it is complete
	endStated       bool              // an endpoint of which events were written stated where its response ends
	eventBegun      bool              // an endpoint sent a part of the event after the last complete one
	fallback        *bufferedResponse // error response of an endpoint, relayed if no other endpoint succeeds
	lastEventID     string            // id of the last event that was written to the caller, or that its request states
	notResumable    bool              // an event without an id was written; another endpoint would send it again
	framing         framing.Framing   // of the last response of an endpoint; empty before the first one
	unfinishedBytes int               // after the last complete event of that response
	firstByte       time.Time         // when the response or its first event was written
	lastEvents      time.Time         // when events of a stream were last written
	longestPause    time.Duration     // between events of a stream
	endpointID      core.EndpointID
	trace           endpoint.Trace // of the last time that it was sent
	trial           bool           // the request is sent once in spite of its quarantined parts
	quarantinedPart core.PartID    // because of which the request was not sent
	stage           stage
	queueTime       time.Duration
	expectedLatency time.Duration // to the first event, as predicted by the pool
	endpointLoad    int           // number of requests at the endpoint when it was chosen
	statedLoad      pool.StatedLoad
	knownLoad       int           // number of requests known to be at the endpoint when it stated its load
	poolState       pool.State    // at the last decision of the pool
	decider         string        // of that decision
	retryAfter      time.Duration // in the response to the caller
	begun           time.Duration // from the beginning of the last response that failed to its failure
	cause           error
}

// stage is what a request waits for. Logs and metrics show the one in which the caller left.
type stage string

const (
	stageArrival stage = "arrival" // its body
	stageQueue   stage = "queue"   // an endpoint
	stageConnect stage = "connect" // a connection to the endpoint
	stageRun     stage = "run"     // the response
)

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	ctx, stop := peerconn.Watch(r.Context())
	defer stop()
	r = r.WithContext(ctx)
	x := &exchange{handler: h, w: w, r: r, rc: http.NewResponseController(w), info: h.o.Headers.ParseRequest(r.Header), config: h.o.Config(), arrived: time.Now(), stage: stageArrival}
	x.lastEventID = x.info.LastEventID
	defer x.recordPanic()
	defer func() { h.memory.used.Add(-x.reserved) }()
	result := x.serve()
	if x.closeDelimited && !result.abort {
		x.recordCause(peerconn.ConfirmEnd(ctx, w))
	}
	x.recordRequest(result)
	if result.reason == cutOffReason {
		h.shutdown.cutCount.Add(1)
	}
	if result.abort {
		// Closes the connection, so that the caller notices that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// recordPanic logs the request of a handler that panics, which the server of net/http does not name. The caller's connection is then
// closed without a response.
func (x *exchange) recordPanic() {
	switch p := recover(); p {
	case nil:
	case http.ErrAbortHandler:
		panic(p)
	default:
		x.logPanic(p, x.stage)
		panic(http.ErrAbortHandler)
	}
}

// logPanic logs the value and the stack of a panic at a stage of the request.
func (x *exchange) logPanic(v any, s stage) {
	x.handler.stats.panics.Inc(1)
	x.handler.o.Log.Info("panic", "request", x.info.ID, "stage", s, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
}

// delimitByClose makes the response end with the connection. It is called before the header is written.
func (x *exchange) delimitByClose() {
	x.closeDelimited = true
	x.recordCause(peerconn.DelimitByClose(x.r.Context(), x.w.Header()))
}

// recordCause records an error, or nil, unless there is an earlier one.
func (x *exchange) recordCause(err error) {
	if x.cause == nil {
		x.cause = err
	}
}

// result is the outcome of a request or of one attempt. With abort, the connection to the caller is closed.
type result struct {
	status int
	reason string
	abort  bool
}

// refuse ends a request that did not run. It returns its quota and responds with a Retry-After and with a status that
// guarantees to the caller that the request did not run.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) result {
	if x.takenUnits > 0 {
		x.handler.o.Budgets.ReturnQuota(x.takenAt, x.workspace.ID, x.takenUnits)
		x.takenUnits = 0
	}
	x.retryAfter = retryAfter
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return x.respondError(status, reason)
}

// respondError responds with an error status of this instance, or with the buffered error response of an endpoint if
// there is one. If the header of a response has been written already, it closes the connection to the caller instead.
func (x *exchange) respondError(status int, reason string) result {
	if x.headerWritten {
		return result{status: status, reason: reason, abort: true}
	}
	if x.fallback != nil {
		return x.writeResponse(x.fallback, reason)
	}
	x.drainBody()
	h := x.w.Header()
	x.handler.setConnectionHeader(h)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	x.rc.SetWriteDeadline(time.Now().Add(writeGrace)) // fails only on closed connections
	x.w.WriteHeader(status)
	io.WriteString(x.w, reason+"\n")
	return result{status: status, reason: reason}
}

// drainBody reads the rest of the request body, within limits. Closing a connection with unread data resets it, and the
// caller may lose the response. If the body does not arrive, the response ends the connection, and the time limit stays in force: the
// server would read on without one before it sends the response. It is called before the header is written.
func (x *exchange) drainBody() {
	if x.body != nil || x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	stop := x.limitBodyRead()
	_, err := io.CopyN(io.Discard, x.r.Body, maxDrainBytes)
	stop(err == io.EOF)
	if err != nil && err != io.EOF { // without an error, the server decides whether to read the rest
		x.recordCause(err)
		x.w.Header().Set("Connection", "close")
	}
}

// serve validates the request, selects its service, takes its quota and dispatches it.
func (x *exchange) serve() result {
	t := x.config.Table
	if t == nil {
		return x.refuse(http.StatusServiceUnavailable, "no configuration yet", startupRetryAfter)
	}
	if x.mustRefuse() {
		return x.refuseForShutdown()
	}
	if headerBytes(x.r) > t.Limits().HeaderBytes {
		return x.respondError(http.StatusRequestHeaderFieldsTooLarge, "header too large")
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
	if x.callerLeft() {
		return x.endForCallerLeft()
	}
	x.service = x.route.PickService(xxhash.Sum64String(string(x.info.ID)))
	x.pool = x.config.Pools[x.service]
	x.handler.o.Budgets.CountRequest(x.service)
	if x.pool == nil {
		return x.refuse(http.StatusServiceUnavailable, "no endpoints", startupRetryAfter)
	}
	x.setPrompt()
	if r, refused := x.refuseQuarantined(); refused {
		return r
	}
	if x.workspace != nil {
		x.units = x.workspace.Quota.Cost(x.info.Prompt+x.info.MaxOutput, x.info.TokensStated)
		// The rank is the tier of the route, even if the workspace has a tier.
		if wait, ok := x.handler.o.Budgets.TakeQuota(x.workspace.ID, int(x.route.Tier), x.units); !ok {
			x.quotaUsed, x.quotaAllowed = x.handler.o.Budgets.QuotaUsage(x.workspace.ID)
			return x.refuse(http.StatusTooManyRequests, "quota", wait)
		}
		x.takenUnits, x.takenAt = x.units, time.Now()
	}
	return x.dispatch()
}

// readBody reads the request body.
func (x *exchange) readBody(limit int64) (result, bool) {
	if x.r.ContentLength > limit {
		return x.respondError(http.StatusRequestEntityTooLarge, "body too large"), false
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return result{}, true
	}
	stop := x.limitBodyRead()
	b, err := readBuffered(x.r.Body, x.r.ContentLength, limit, x.reserve)
	stop(true)
	switch {
	case errors.Is(err, errBodyMemory):
		x.cause = err
		return x.refuse(http.StatusServiceUnavailable, "out of memory", shortRetryAfter), false
	case errors.Is(err, errTooLarge):
		return x.respondError(http.StatusRequestEntityTooLarge, "body too large"), false
	case err != nil && x.isCutOff():
		x.cause = err
		return x.endForCutOff(), false
	case err != nil:
		x.cause = err
		return x.respondError(http.StatusRequestTimeout, "body not received"), false
	}
	x.body = b
	return result{}, true
}

// setDeadlines sets the deadline and the latency objective of the request.
func (x *exchange) setDeadlines() {
	timeout := x.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
	x.waited = x.handler.timeouts.waited(x.route.Name, x.info.Timeout)
	if x.route.Objective > 0 {
		x.objective = x.arrived.Add(x.route.Objective - x.waited)
	}
}

// responseDeadline returns the time by which the response must begin. For a stream that certainly did not run, that is when the
// caller is assumed to abandon it. One that may have run can't be refused; its caller has not left if it is still connected.
func (x *exchange) responseDeadline() time.Time {
	if x.fresh() {
		return x.abandonment()
	}
	return x.deadline
}

// abandonment returns when the caller of a stream that has not begun is assumed to abandon it, counted from the arrival, but at most
// the deadline.
func (x *exchange) abandonment() time.Time {
	if d := x.route.AbandonAfter(); d > 0 {
		if t := x.arrived.Add(d); t.Before(x.deadline) {
			return t
		}
	}
	return x.deadline
}

// tier returns the tier of the workspace if it has one, else that of the route.
func (x *exchange) tier() core.Tier {
	if x.workspace != nil && x.workspace.HasTier {
		return x.workspace.Tier
	}
	return x.route.Tier
}

// dispatch waits for an endpoint and sends the request. It retries at other endpoints, where that is allowed, until a
// response has been relayed or no attempt is left.
func (x *exchange) dispatch() result {
	ctx, cancel := x.attemptContext()
	defer cancel()
	for {
		a, r := x.nextAttempt(ctx)
		if a == nil {
			return r
		}
		r, retry := a.run()
		if !retry {
			return r
		}
		x.handler.stats.retries.Inc(1)
		x.handler.o.Log.Info("repeat", "request", x.info.ID, "route", x.route.Name, "endpoint", a.grant.Endpoint.ID, "reason", r.reason,
			"cause", errorText(x.cause), "proof", a.notRunProof(), "took", milliseconds(a.sinceSent(time.Now())), "conn", a.trace.Conn, "carried", a.trace.Carried, "extra", a.trace.Extra, "sent", x.sends, "ran", x.possibleRuns, "after", x.lastEventID, "framing", x.framing, "rest", x.unfinishedBytes, "parts", x.loggedParts(), "begun", milliseconds(x.begun))
	}
}

// errDeadline is the cause of contexts that are cancelled at the deadline of the request.
var errDeadline = errors.New("deadline")

// workContext returns the context of the attempts. An at-most-once request continues after its caller has
// disconnected.
func (x *exchange) workContext() context.Context {
	if x.route.Kind == route.AtMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// nextAttempt returns the attempt that has taken the request over, or waits until the pool grants an endpoint for another one. The
// attempt is nil if the request has ended.
func (x *exchange) nextAttempt(ctx context.Context) (*attempt, result) {
	if a := x.standby; a != nil {
		x.standby = nil
		x.recordGrant(a.grant)
		return a, result{}
	}
	g, r := x.acquireEndpoint(ctx)
	if g == nil {
		return nil, r
	}
	a := x.newAttempt(ctx, g, x.lastEventID, x.tried)
	a.trial = x.trial && x.sends == 0
	return a, result{}
}

// acquireEndpoint waits until the pool grants an endpoint. The grant is nil if the request has ended.
func (x *exchange) acquireEndpoint(ctx context.Context) (*pool.Grant, result) {
	if x.r.Context().Err() != nil {
		return nil, x.endForCallerLeft()
	}
	if x.mustRefuse() {
		return nil, x.refuseForShutdown()
	}
	x.stage = stageQueue
	start := time.Now()
	t := x.handler.o.Places.Submit(start, x.service, x.pool, x.poolRequest())
	defer func() { x.queueTime += time.Since(start) }()
	select {
	case d := <-t.Decided:
		switch d := d.(type) {
		case *pool.Grant:
			return x.acceptGrant(d)
		case pool.Refusal:
			x.poolState, x.decider = d.State, d.Decider
			return nil, x.failOrRefuse(d.Reason, d.RetryAfter)
		}
	case <-x.r.Context().Done():
		x.withdraw(t)
		return nil, x.endForCallerLeft()
	case <-x.refusing():
		x.withdraw(t)
		return nil, x.refuseForShutdown()
	case <-ctx.Done():
		x.withdraw(t)
		if errors.Is(context.Cause(ctx), errCutOff) {
			return nil, x.endForCutOff()
		}
	}
	return nil, x.failOrRefuse("deadline", shortRetryAfter)
}

// acceptGrant uses a grant, unless the request is to be refused or cut off because the handler is shutting down.
func (x *exchange) acceptGrant(g *pool.Grant) (*pool.Grant, result) {
	if x.isCutOff() { // the slot may be that of another request that has been cut off
		x.pool.Release(time.Now(), g, pool.Cancelled)
		return nil, x.endForCutOff()
	}
	if x.mustRefuse() || x.outlastsShutdown(g) {
		x.pool.Release(time.Now(), g, pool.Cancelled)
		return nil, x.refuseForShutdown()
	}
	if now := time.Now(); x.sends == 0 && x.takenUnits > 0 && now.Sub(x.takenAt) > moveUsageAfter {
		x.handler.o.Budgets.MoveUsage(x.takenAt, x.workspace.ID, x.takenUnits)
		x.takenAt = now
	}
	x.recordGrant(g)
	return g, result{}
}

// withdraw ends the wait for an endpoint.
func (x *exchange) withdraw(t *pool.Ticket) {
	if g := x.handler.o.Places.Withdraw(time.Now(), x.pool, t); g != nil {
		x.pool.Release(time.Now(), g, pool.Cancelled)
	}
}

// poolRequest returns the request as the pool sees it.
func (x *exchange) poolRequest() pool.Request {
	req := pool.Request{
		ID: x.info.ID, Tier: x.tier(), Route: x.route.Name, Prompt: x.info.Prompt, MaxOutput: x.info.MaxOutput, Arrived: x.arrived, Waited: x.waited,
		Rank: int(x.route.Tier), Objective: x.objective, GapObjective: x.route.GapObjective, Deadline: x.responseDeadline(), Exclude: slices.Clone(x.tried),
		Stream: x.route.Kind == route.Stream, Retried: x.sends > 0, Begun: x.headerWritten,
	}
	if x.workspace != nil {
		req.Workspace = x.workspace.ID
	}
	if x.possibleRuns >= x.route.Attempts {
		req.Only, req.Returning = slices.Clone(x.givenUp), len(x.givenUp) > 0
	}
	return req
}

// retryable reports whether the request may be sent again after it may have run: by the route that it arrived on, and by the one that
// matches it now.
func (x *exchange) retryable() bool {
	if !x.route.Retryable() {
		return false
	}
	now, ok := x.handler.o.Config().Table.Match(x.r.Host, x.r.URL.EscapedPath())
	return !ok || now.Retryable()
}

// mayRunAgain reports whether the attempts of the route, or an endpoint that was given up, allow another run.
func (x *exchange) mayRunAgain() bool {
	return x.retryable() && !x.notResumable && (x.possibleRuns < x.route.Attempts || len(x.givenUp) > 0)
}

// takeRetry takes a retry from the budget of the service and reports whether there was one left.
func (x *exchange) takeRetry() bool { return x.handler.o.Budgets.TakeRetry(x.service) }

// recordRun counts a possible run at an endpoint. A return to an endpoint that was given up is not another attempt.
func (x *exchange) recordRun(id core.EndpointID) {
	if i := slices.Index(x.givenUp, id); i >= 0 {
		x.givenUp = slices.Delete(x.givenUp, i, i+1)
		return
	}
	x.possibleRuns++
}

// recordGrant keeps what a grant was based on for the log.
func (x *exchange) recordGrant(g *pool.Grant) {
	x.poolState, x.expectedLatency, x.endpointLoad, x.decider = g.State, g.ExpectedLatency, g.RunningAtEndpoint, g.Decider
}

// failOrRefuse ends a request that is not sent to a further endpoint: with an error if an endpoint may have run it, else
// with a refusal.
func (x *exchange) failOrRefuse(reason string, retryAfter time.Duration) result {
	if x.possibleRuns > 0 {
		return x.respondError(http.StatusBadGateway, reason+" after a failure")
	}
	return x.refuse(http.StatusServiceUnavailable, reason, retryAfter)
}

// callerLeft reports whether the caller has closed the connection.
func (x *exchange) callerLeft() bool { return peerconn.Closed(x.r.Context()) }

// endForCallerLeft ends a request whose caller has disconnected.
func (x *exchange) endForCallerLeft() result {
	if x.isCutOff() && !x.headerWritten && !peerconn.ConfirmClosed(x.r.Context()) {
		return x.endForCutOff() // the context ended because the read of the body was cut off just after its last byte
	}
	if x.possibleRuns == 0 && x.takenUnits > 0 {
		x.handler.o.Budgets.ReturnQuota(x.takenAt, x.workspace.ID, x.takenUnits)
		x.takenUnits = 0
	}
	return result{status: statusCallerLeft, reason: "caller left", abort: true}
}

// statusCallerLeft is the status in logs and metrics of requests whose caller closed the connection; it is never sent.
const statusCallerLeft = 499
