package proxy

import (
	"net/http"
	"sync/atomic"
)

const shutdownReason = "shutting down"

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	begun    atomic.Bool
	refusing chan struct{} // closed when new requests are refused
}

func newShutdown() *shutdown { return &shutdown{refusing: make(chan struct{})} }

// BeginShutdown makes all further responses ask the caller to close the connection. Requests are still served.
func (h *Handler) BeginShutdown() { h.shutdown.begun.Store(true) }

// RefuseNew makes the handler refuse new requests, and those that wait for an endpoint and certainly did not run, so that callers try
// another instance. It must be called once.
func (h *Handler) RefuseNew() { close(h.shutdown.refusing) }

// setConnectionHeader asks the caller to close the connection if the handler is shutting down or has too many connections. It is
// called before the header of a response is written.
func (h *Handler) setConnectionHeader(header http.Header) {
	if limit := h.keepAliveLimit.Load(); h.shutdown.begun.Load() || limit > 0 && h.openConns.Load() > limit {
		header.Set("Connection", "close")
	}
}

// fresh reports whether the request certainly did not run, so that another instance can serve it.
func (x *exchange) fresh() bool { return x.possibleRuns == 0 && !x.headerWritten }

// refusing returns a channel that is closed when a request that waits for an endpoint is to be refused, or nil.
func (x *exchange) refusing() <-chan struct{} {
	if !x.fresh() {
		return nil
	}
	return x.handler.shutdown.refusing
}

// mustRefuse reports whether the request must not be sent to an endpoint because the handler is shutting down.
func (x *exchange) mustRefuse() bool {
	select {
	case <-x.refusing():
		return true
	default:
		return false
	}
}

// refuseForShutdown refuses a request that another instance can serve at once.
func (x *exchange) refuseForShutdown() result {
	return x.refuse(http.StatusServiceUnavailable, shutdownReason, shortRetryAfter)
}
