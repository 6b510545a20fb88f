package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	wire "monsoondale/wire/peer"
)

// MessageHandler handles the messages of other instances.
type MessageHandler interface {
	Ask(ctx context.Context, m wire.Ask) (wire.Answer, error)
	Release(ctx context.Context, m wire.Release) (struct{}, error)
	Withdraw(ctx context.Context, m wire.Withdraw) (struct{}, error)
	Sync(ctx context.Context, m wire.Sync) (wire.Synced, error)
	Suspend(ctx context.Context, m wire.Suspend) (wire.Suspended, error)
	Floor(ctx context.Context, m wire.Floor) (wire.Floored, error)
	Claim(ctx context.Context, m wire.Claim) (wire.Claimed, error)
	Gossip(ctx context.Context, m wire.Gossip) (wire.Gossip, error)
	Report(ctx context.Context, m struct{}) (json.RawMessage, error)
}

// NewHandler returns the handler of the peer listener. Messages whose key acceptKey rejects get status 401.
func NewHandler(m MessageHandler, acceptKey func(key string) bool) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathAsk, m.Ask)
	handle(mux, pathRelease, m.Release)
	handle(mux, pathWithdraw, m.Withdraw)
	handle(mux, pathSync, m.Sync)
	handle(mux, pathSuspend, m.Suspend)
	handle(mux, pathFloor, m.Floor)
	handle(mux, pathClaim, m.Claim)
	handle(mux, pathGossip, m.Gossip)
	handle(mux, pathReport, m.Report)
	return authenticate(mux, acceptKey)
}

// NewServer returns an HTTP server for HTTP/2, in cleartext or, if it is served over TLS, negotiated by ALPN.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP2(true)
	p.SetHTTP1(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: callTimeout,
		// Each queued ask of a holder occupies a stream.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1 << 16},
	}
}

func authenticate(next http.Handler, acceptKey func(key string) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !acceptKey(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")) {
			http.Error(w, "unknown peer key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func handle[Req, Resp any](mux *http.ServeMux, path string, f func(context.Context, Req) (Resp, error)) {
	tracer := newTracer()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer.Start(ctx, path, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		var m Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&m); err != nil {
			http.Error(w, "cannot decode message: "+err.Error(), http.StatusBadRequest)
			return
		}
		resp, err := f(ctx, m)
		if err != nil {
			span.RecordError(err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(resp)
	})
}
