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
	unconfigured = 500 * time.Millisecond
	// elsewhere is the Retry-After of an instance that is about to end: another one can take the request at once.
	elsewhere = 50 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 5 * time.Second
	// drainLimit bounds what is read of a body that is not used, in bytes. It is that of the runtime's server, which does
	// the same for connections that are kept.
	drainLimit = 256 << 10
	// writeGrace is how long after its deadline a response may still be written to a slow caller.
	writeGrace = 500 * time.Millisecond
	// moveAfter is the wait after which a request counts for the quota at the time at which it is sent.
	moveAfter = 200 * time.Millisecond
	// forever is the deadline of requests that state none.
	forever = 10 * time.Minute
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
	LastEvent string
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
	o        Options
	leaving  atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64
	open     atomic.Int64 // connections of callers
	crowded  atomic.Int64 // number of open connections from which they are not kept; 0 for none
	stats    stats
}

// New returns a Front.
func New(o Options) *Handler {
	return &Handler{o: o, stats: newStats(o.Metrics)}
}

// DisableKeepAlives makes the front ask callers to close their connections. Requests are served as before.
func (f *Handler) DisableKeepAlives() { f.leaving.Store(true) }

// RefuseNew makes the front refuse new requests, so that callers go to another instance.
func (f *Handler) RefuseNew() { f.refusing.Store(true) }

// TrackConnections returns a hook for the server that counts connections. While more than crowded are open, responses end theirs.
func (f *Handler) TrackConnections(crowded int) func(net.Conn, http.ConnState) {
	f.crowded.Store(int64(max(crowded, 1)))
	return func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			f.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			f.open.Add(-1)
		}
	}
}

// ActiveRequests returns the number of requests in progress.
func (f *Handler) ActiveRequests() int { return int(f.active.Load()) }

// exchange is one request of a caller.
type exchange struct {
	f       *Handler
	w       http.ResponseWriter
	r       *http.Request
	rc      *http.ResponseController
	call    RequestInfo
	view    Config
	route   *route.Route
	ws      *route.Workspace
	service route.Service
	pool    *pool.Pool
	body    []byte
	cost    float64   // in units of the workspace's quota
	units   float64   // of them that are counted
	taken   time.Time // when they were counted

	arrived, deadline time.Time
	objective         time.Time

	sent     int               // times that the request was sent
	ran      int               // endpoints that may have run it
	exclude  []core.EndpointID // endpoints that are not tried again
	begun    bool              // the response's header has been passed on
	held     *held             // failure of an endpoint, passed on if no other one serves the request
	last     string            // id of the last event that the caller has
	first    time.Time         // when the response or its first event was passed on
	endpoint core.EndpointID
	waited   time.Duration
	expected time.Duration // to the first event, as the pool predicted
	running  int           // load of the endpoint when it was chosen
	state    pool.State    // of the pool at the last decision
	retry    time.Duration // told to the caller
	cause    error
}

// ServeHTTP serves one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	x := &exchange{f: f, w: w, r: r, rc: http.NewResponseController(w), call: f.o.Headers.ParseRequest(r.Header), view: f.o.Config(), arrived: time.Now()}
	x.last = x.call.LastEventID
	if most := f.crowded.Load(); f.leaving.Load() || most > 0 && f.open.Load() > most {
		w.Header().Set("Connection", "close")
	}
	result := x.serve()
	x.record(result)
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
	if x.units > 0 {
		x.f.o.Budgets.ReturnQuota(x.taken, x.ws.ID, x.units)
		x.units = 0
	}
	x.retry = retry
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	return x.fail(status, reason)
}

// fail answers with a status of our own.
func (x *exchange) fail(status int, reason string) result {
	if x.begun {
		return result{status: status, reason: reason, abort: true}
	}
	if x.held != nil {
		return x.answer(x.held, reason)
	}
	x.drain()
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
func (x *exchange) drain() {
	if x.body != nil || x.r.Body == nil || x.r.Body == http.NoBody {
		return
	}
	x.rc.SetReadDeadline(x.arrived.Add(bodyTimeout)) // fails only on connections that are gone
	if _, err := io.CopyN(io.Discard, x.r.Body, drainLimit); err != nil && err != io.EOF && x.cause == nil {
		x.cause = err
	}
	x.rc.SetReadDeadline(time.Time{})
}

// serve finds out where the request goes and sends it there.
func (x *exchange) serve() result {
	t := x.view.Table
	if t == nil {
		return x.refuse(http.StatusServiceUnavailable, "no configuration yet", unconfigured)
	}
	if x.f.refusing.Load() {
		return x.refuse(http.StatusServiceUnavailable, "shutting down", elsewhere)
	}
	var ok bool
	if x.route, ok = t.Match(x.r.Host, x.r.URL.EscapedPath()); !ok {
		return x.fail(http.StatusNotFound, "no such route")
	}
	if x.call.APIKey != "" {
		x.ws, _ = t.Workspace(x.call.APIKey)
	}
	if x.ws == nil && t.RequiresKey() && !x.route.Public {
		return x.fail(http.StatusUnauthorized, "unknown key")
	}
	if r, ok := x.read(t.Limits().BodyBytes); !ok {
		return r
	}
	x.bound()
	x.service = x.route.PickService(xxhash.Sum64String(string(x.call.ID)))
	x.pool = x.view.Pools[x.service]
	x.f.o.Budgets.CountRequest(x.service)
	if x.pool == nil {
		return x.refuse(http.StatusServiceUnavailable, "no endpoints", unconfigured)
	}
	if x.ws != nil {
		x.cost = x.ws.Quota.Cost(x.call.Prompt+x.call.Output, x.call.TokensStated)
		if wait, ok := x.f.o.Budgets.TakeQuota(x.ws.ID, int(x.route.Tier), x.cost); !ok {
			return x.refuse(http.StatusTooManyRequests, "quota", wait)
		}
		x.units, x.taken = x.cost, time.Now()
	}
	return x.run()
}

// read reads the request's body.
func (x *exchange) read(limit int64) (result, bool) {
	if limit <= 0 {
		limit = 1 << 20
	}
	if x.r.ContentLength > limit {
		return x.fail(http.StatusRequestEntityTooLarge, "body too large"), false
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
		return x.fail(http.StatusRequestEntityTooLarge, "body too large"), false
	case err != nil:
		x.cause = err
		return x.fail(http.StatusRequestTimeout, "body not received"), false
	}
	x.body = b
	return result{}, true
}

// bound sets the times by which the request is on time and useless.
func (x *exchange) bound() {
	wait := x.call.Timeout
	if wait <= 0 {
		wait = forever
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
func (x *exchange) useful() time.Time {
	if d := x.route.AbandonAfter(); d > 0 && !x.begun {
		if t := x.arrived.Add(d); t.Before(x.deadline) {
			return t
		}
	}
	return x.deadline
}

func (x *exchange) tier() core.Tier {
	if x.ws != nil && x.ws.HasTier {
		return x.ws.Tier
	}
	return x.route.Tier
}

// run waits for an endpoint and sends the request, again elsewhere where that is allowed, until a response has been
// passed on or nothing more can be done.
func (x *exchange) run() result {
	ctx, cancel := context.WithDeadlineCause(x.context(), x.deadline, errDeadline)
	defer cancel()
	for {
		g, r := x.acquire(ctx)
		if g == nil {
			return r
		}
		r, again := x.attempt(ctx, g)
		if !again {
			return r
		}
		x.f.stats.repeated.Inc(1)
		x.f.o.Log.Info("repeat", "request", x.call.ID, "route", x.route.Name, "endpoint", g.Endpoint.ID, "reason", r.reason,
			"cause", text(x.cause), "sent", x.sent, "ran", x.ran, "after", x.last)
	}
}

// errDeadline is the cause of contexts that end at a request's deadline.
var errDeadline = errors.New("deadline")

// context returns the context of work for the request. An order that has been sent runs on when its caller leaves.
func (x *exchange) context() context.Context {
	if x.route.Kind == route.AtMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// acquire waits for an endpoint.
func (x *exchange) acquire(ctx context.Context) (*pool.Grant, result) {
	if x.r.Context().Err() != nil {
		return nil, x.left()
	}
	start := time.Now()
	t := x.pool.Submit(start, pool.Request{
		ID: x.call.ID, Tier: x.tier(), Prompt: x.call.Prompt, MaxOutput: x.call.Output, Arrived: x.arrived,
		Rank: int(x.route.Tier), Objective: x.objective, Deadline: x.useful(), Exclude: x.exclude, Resumed: x.sent > 0,
	})
	defer func() { x.waited += time.Since(start) }()
	select {
	case d := <-t.Decided:
		switch d := d.(type) {
		case *pool.Grant:
			if now := time.Now(); x.sent == 0 && x.units > 0 && now.Sub(x.taken) > moveAfter {
				x.f.o.Budgets.RedateQuota(x.taken, x.ws.ID, x.units)
				x.taken = now
			}
			x.state, x.expected, x.running = d.State, d.ExpectedLatency, d.EndpointLoad
			return d, result{}
		case pool.Refusal:
			x.state = d.State
			return nil, x.unserved(d.Reason, d.RetryAfter)
		}
	case <-x.r.Context().Done():
		if g := x.pool.Withdraw(time.Now(), t); g != nil {
			x.pool.Done(time.Now(), g, pool.Cancelled)
		}
		return nil, x.left()
	case <-ctx.Done():
		if g := x.pool.Withdraw(time.Now(), t); g != nil {
			x.pool.Done(time.Now(), g, pool.Cancelled)
		}
	}
	return nil, x.unserved("deadline", elsewhere)
}

// unserved ends a request for which no endpoint is to be had.
func (x *exchange) unserved(reason string, retry time.Duration) result {
	if x.ran > 0 {
		return x.fail(http.StatusBadGateway, reason+" after a failure")
	}
	return x.refuse(http.StatusServiceUnavailable, reason, retry)
}

// left ends a request whose caller has gone.
func (x *exchange) left() result {
	if x.ran == 0 && x.units > 0 {
		x.f.o.Budgets.ReturnQuota(x.taken, x.ws.ID, x.units)
		x.units = 0
	}
	return result{status: statusLeft, reason: "caller left", abort: true}
}

// statusLeft marks requests whose caller closed the connection, in logs and counters only.
const statusLeft = 499
