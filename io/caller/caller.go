// Package caller is the HTTP front end for callers: chats in the OpenAI format and requests to plain services.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"monsoondale/common/peerconn"
	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/core/order"
	"monsoondale/core/workspace"
	"monsoondale/internal/testhook"
)

// WorkspaceFinder looks up workspaces by the SHA-256 hash of an API key.
type WorkspaceFinder interface {
	Find(hash [sha256.Size]byte) (*workspace.Workspace, bool)
}

// Runner runs accepted requests; *dispatch.Runner implements it.
type Runner interface {
	Run(ctx context.Context, q dispatch.Request) dispatch.Outcome
}

// Options configures a Handler. Workspaces and Runner are required.
type Options struct {
	Workspaces WorkspaceFinder
	Runner     Runner
	Recorder   Recorder
	// Ready reports whether a configuration is in force; nil means always.
	Ready func() bool
	// MaxBodyBytes limits the size of request bodies; default 1 MiB.
	MaxBodyBytes int64
	// BodyTimeout limits the time to read a request body; default 15 s.
	BodyTimeout time.Duration
	// MaxAnswerBytes limits the size of complete answers that are assembled from a stream; default 16 MiB.
	MaxAnswerBytes int
	// WriteTimeout limits the time of each write to the caller; default 15 s. Without it, a caller that stops reading
	// would hold its slot forever.
	WriteTimeout time.Duration
	// KeepAliveInterval is how long a started stream may carry no data before a comment is sent; default 10 s. Load
	// balancers and callers commonly close a silent connection after 30 s or more.
	KeepAliveInterval time.Duration
	// DefaultTokens is the estimate of generated tokens for kinds without one; default 256.
	DefaultTokens core.Tokens
}

// Handler serves callers.
type Handler struct {
	opts   Options
	mux    *http.ServeMux
	tracer trace.Tracer

	mu       sync.Mutex
	running  int
	draining bool
	drained  chan struct{} // closed when draining and no request is running
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.Recorder == nil {
		o.Recorder = nopRecorder{}
	}
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	o.MaxBodyBytes = lo.CoalesceOrEmpty(o.MaxBodyBytes, 1<<20)
	o.BodyTimeout = lo.CoalesceOrEmpty(o.BodyTimeout, 15*time.Second)
	o.MaxAnswerBytes = lo.CoalesceOrEmpty(o.MaxAnswerBytes, 16<<20)
	o.WriteTimeout = lo.CoalesceOrEmpty(o.WriteTimeout, 15*time.Second)
	o.KeepAliveInterval = lo.CoalesceOrEmpty(o.KeepAliveInterval, 10*time.Second)
	o.DefaultTokens = lo.CoalesceOrEmpty(o.DefaultTokens, 256)
	h := &Handler{opts: o, mux: http.NewServeMux(), tracer: otel.Tracer("monsoondale/caller"), drained: make(chan struct{})}
	h.mux.HandleFunc("POST /v1/chat/completions", h.handle((*exchange).chat))
	h.mux.HandleFunc("GET /v1/models", h.handle((*exchange).models))
	h.mux.HandleFunc("/services/{service}/{path...}", h.handle((*exchange).service))
	h.mux.HandleFunc("/", h.handle(func(x *exchange) { x.reject(core.CodeNotFound, "%s %.100s", x.r.Method, x.r.URL.Path) }))
	return h
}

// NewServer returns a server for callers that limits the time and size of request headers. h limits the bodies. The server
// notices closed connections without reading if its listener is a peerconn.Listener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ConnContext: peerconn.WithConn, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 32 << 10}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, core.NewID())
	h.mux.ServeHTTP(w, r)
}

// Drain refuses new requests with code 1108 and waits until no request is running. If ctx ends first, it returns the
// error of ctx and requests are still running.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.running == 0 {
			close(h.drained)
		}
	}
	h.mu.Unlock()
	if testhook.SkipDrain.Load() {
		return nil
	}
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// begin counts a request, or returns false while the handler drains.
func (h *Handler) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.running++
	return true
}

// beginBackground counts work that continues after its request has been answered.
func (h *Handler) beginBackground() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running++
}

// end reverses begin or beginBackground.
func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running--; h.running == 0 && h.draining {
		close(h.drained)
	}
}

const headerRequestID, headerIdempotencyKey = "X-Request-Id", "Idempotency-Key"

// exchange is one request of a caller and its response.
type exchange struct {
	*Handler
	w       http.ResponseWriter
	rc      *http.ResponseController
	r       *http.Request
	start   time.Time
	attempt *dispatch.Attempt
	ws      *workspace.Workspace
}

// handle returns a handler that authenticates the caller and then runs f.
func (h *Handler) handle(f func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := core.RequestID(w.Header().Get(headerRequestID))
		ctx, stop := peerconn.Watch(r.Context())
		defer stop()
		ctx, span := h.tracer.Start(propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(r.Header)), "receive",
			trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", string(id))))
		defer span.End()
		x := &exchange{
			Handler: h, w: w, rc: http.NewResponseController(w), r: r.WithContext(ctx),
			start: time.Now(), attempt: dispatch.NewAttempt(id),
		}
		defer x.flush()
		if !h.begin() {
			w.Header().Set("Connection", "close")
			x.reject(core.CodeShuttingDown, "")
			return
		}
		defer h.end()
		if !h.opts.Ready() {
			x.reject(core.CodeNotReady, "")
			return
		}
		scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		ok := strings.EqualFold(scheme, "Bearer") && key != ""
		if ok {
			x.ws, ok = h.opts.Workspaces.Find(sha256.Sum256([]byte(strings.TrimSpace(key))))
		}
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			x.reject(core.CodeUnauthorized, "")
			return
		}
		f(x)
	}
}

// reject answers a request that was not accepted. Attempt.Fail ensures that the code matches what was dispatched.
func (x *exchange) reject(c core.Code, format string, args ...any) {
	f := x.attempt.Fail(core.Errorf(c, format, args...))
	x.opts.Recorder.Rejected(f.Err().Code)
	x.fail(f)
}

// defaultRetryAfter is the Retry-After of codes after which a retry is likely to succeed. The owner may give another.
var defaultRetryAfter = map[core.Code]time.Duration{
	core.CodeOverloaded: time.Second, core.CodeNoEndpoint: time.Second, core.CodeDeadline: time.Second,
	core.CodeStoreDown: time.Second, core.CodeInProgress: time.Second, core.CodeClaimsFull: 5 * time.Second,
	core.CodeShuttingDown: time.Second, core.CodeNotReady: time.Second, core.CodeClaimExpired: time.Second,
}

// fail answers with the error body and status of a failure.
func (x *exchange) fail(f dispatch.Failure) {
	e := f.Err()
	trace.SpanFromContext(x.r.Context()).SetAttributes(attribute.Int("code", int(e.Code)))
	if d := lo.CoalesceOrEmpty(e.RetryAfter, defaultRetryAfter[e.Code]); d > 0 {
		x.w.Header().Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
	x.writeJSON(e.Code.Info().Status, dispatch.NewErrorBody(f))
}

func (x *exchange) writeJSON(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all types passed here can be encoded
	}
	x.writeBody(status, "application/json", b)
}

// writeBody writes a complete response.
func (x *exchange) writeBody(status int, media string, b []byte) {
	x.writeResult(order.Result{Status: status, Media: media, Body: b})
}

// writeResult writes an answer. It gets a length only if its endpoint stated where it ends.
func (x *exchange) writeResult(res order.Result) {
	x.extendWriteDeadline()
	x.w.Header().Set("Content-Type", res.Media)
	switch {
	case res.Unframed:
		x.recordError(peerconn.DelimitByClose(x.r.Context(), x.w.Header()))
	case x.r.Method != http.MethodHead: // a response to HEAD has no body, and its length would be that of a GET
		x.w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	}
	x.w.WriteHeader(res.Status)
	if res.Status == http.StatusNoContent || res.Status == http.StatusNotModified {
		return
	}
	_, err := x.w.Write(res.Body) // fails only if the caller has disconnected
	if res.Unframed && err == nil {
		x.recordError(peerconn.ConfirmEnd(x.r.Context(), x.w))
	}
}

// recordError adds an error, if there is one, to the span of the request.
func (x *exchange) recordError(err error) {
	if err != nil {
		trace.SpanFromContext(x.r.Context()).RecordError(err)
	}
}

// extendWriteDeadline allows WriteTimeout for the next write. The error is ignored because response recorders in tests
// have no deadlines.
func (x *exchange) extendWriteDeadline() {
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.opts.WriteTimeout))
}

// flush sends buffered data and clears the write deadline for the next request on the connection.
func (x *exchange) flush() {
	_ = x.rc.Flush()
	_ = x.rc.SetWriteDeadline(time.Time{})
}

// callerID identifies the caller by the X-Caller header, else by user, else by its IP address.
func (x *exchange) callerID(user string) core.CallerID {
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		host = x.r.RemoteAddr
	}
	name := lo.CoalesceOrEmpty(x.r.Header.Get("X-Caller"), user, host)
	return core.CallerID(name[:min(len(name), 128)]) // limits the memory that owners use per caller
}

// models lists the kinds that model engines serve, in the OpenAI format. It contains only the required fields;
// "created" is 0 because kinds have no creation time.
func (x *exchange) models() {
	type model struct {
		ID      core.KindID      `json:"id"`
		Object  string           `json:"object"`
		Created int              `json:"created"`
		Owner   core.WorkspaceID `json:"owned_by"`
	}
	list := lo.FilterMap(x.ws.Kinds, func(k workspace.Kind, _ int) (model, bool) {
		return model{ID: k.ID, Object: "model", Owner: x.ws.ID}, k.Service == ""
	})
	x.writeJSON(http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}
