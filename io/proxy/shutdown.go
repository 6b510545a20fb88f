package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core/pool"
	"monsoondale/core/route"
)

const (
	shutdownReason = "shutting down"
	cutOffReason   = "cut at the end of the grace period"
	// cutOffWriteTimeout limits the writing of a response that is in progress when requests are cut off.
	cutOffWriteTimeout = 100 * time.Millisecond
)

// errCutOff is the cause of contexts of requests that are cut off at the end of the grace period.
var errCutOff = errors.New("end of the grace period")

// past is a deadline that makes every read fail.
var past = time.Unix(1, 0)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	end      atomic.Pointer[time.Time] // when requests will be cut off; nil if the handler is not shutting down
	refusing chan struct{}             // closed when new requests are refused
	cutOff   context.Context           // ends when requests are cut off
	doCutOff context.CancelFunc
	cutCount atomic.Int64
}

func (s *shutdown) init() {
	s.refusing = make(chan struct{})
	s.cutOff, s.doCutOff = context.WithCancel(context.Background())
}

// BeginShutdown makes all further responses ask the caller to close the connection. Requests are still served, except for those
// that are expected to last beyond end, the time of CutOff.
func (h *Handler) BeginShutdown(end time.Time) { h.shutdown.end.Store(&end) }

// RefuseNew makes the handler refuse new requests, and those that wait for an endpoint and certainly did not run, so that callers try
// another instance. It must be called once.
func (h *Handler) RefuseNew() { close(h.shutdown.refusing) }

// CutOff ends all requests: with an error, or by closing the connection of a response that has begun.
func (h *Handler) CutOff() { h.shutdown.doCutOff() }

// CutRequests returns the number of requests that CutOff has ended.
func (h *Handler) CutRequests() int { return int(h.shutdown.cutCount.Load()) }

// setConnectionHeader asks the caller to close the connection if the handler is shutting down or has too many connections. It is
// called before the header of a response is written.
func (h *Handler) setConnectionHeader(header http.Header) {
	if limit := h.keepAliveLimit.Load(); h.shutdown.end.Load() != nil || limit > 0 && h.openConns.Load() > limit {
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

// outlastsShutdown reports whether the request, at the endpoint of a grant, is expected to be cut off at the end of the grace
// period, while another instance could serve it.
func (x *exchange) outlastsShutdown(g *pool.Grant) bool {
	end := x.handler.shutdown.end.Load()
	if end == nil || !x.fresh() || x.deadline.Before(*end) {
		return false
	}
	d := g.ExpectedLatency
	if x.route.Kind == route.Stream {
		d = g.ExpectedDuration
	}
	return time.Now().Add(d).After(*end)
}

// refuseForShutdown refuses a request that another instance can serve at once.
func (x *exchange) refuseForShutdown() result {
	return x.refuse(http.StatusServiceUnavailable, shutdownReason, shortRetryAfter)
}

// attemptContext returns the context of the attempts. It ends at the deadline of the request, and when requests are cut off.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(x.workContext())
	stop := context.AfterFunc(x.handler.shutdown.cutOff, func() {
		x.rc.SetWriteDeadline(time.Now().Add(cutOffWriteTimeout)) // fails only on closed connections
		cancel(errCutOff)
	})
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	return ctx, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}

// limitBodyRead limits the time for reading the body. stop must be called after it. With lift, it lifts the limit; else the limit holds
// until the body has been read to its end, or the connection is closed.
func (x *exchange) limitBodyRead() (stop func(lift bool)) {
	x.rc.SetReadDeadline(x.arrived.Add(bodyTimeout)) // fails only on closed connections
	done := make(chan struct{})
	detach := context.AfterFunc(x.handler.shutdown.cutOff, func() {
		x.rc.SetReadDeadline(past)
		close(done)
	})
	return func(lift bool) {
		if !detach() {
			<-done
		}
		if lift {
			x.rc.SetReadDeadline(time.Time{})
		}
	}
}

// isCutOff reports whether requests have been cut off.
func (x *exchange) isCutOff() bool { return x.handler.shutdown.cutOff.Err() != nil }

// endForCutOff ends a request that is cut off at the end of the grace period.
func (x *exchange) endForCutOff() result {
	if x.fresh() {
		return x.refuse(http.StatusServiceUnavailable, cutOffReason, shortRetryAfter)
	}
	return x.respondError(http.StatusBadGateway, cutOffReason)
}

// endForWriteError ends a request whose response could not be written.
func (x *exchange) endForWriteError(err error) result {
	x.cause = err
	if x.isCutOff() && !x.callerLeft() {
		return result{status: http.StatusBadGateway, reason: cutOffReason, abort: true}
	}
	return x.endForCallerLeft()
}
