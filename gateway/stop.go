package gateway

import (
	"context"
	"log"
	"time"

	"github.com/go-logr/logr"
)

const (
	// balancerDelay is how long after a failing health check new requests are served. The load balancer checks once a
	// second and sends no more connections after two failures. The platform excuses work that is cut off at the end of the
	// grace period if it was sent within three seconds of SIGTERM, which may be handled late.
	balancerDelay = 2700 * time.Millisecond
	// cutOffMargin is the time before SIGKILL at which the requests that are still running are cut off, and exitMargin the
	// time before it at which the process exits even if their responses have not been written. In short grace periods they
	// are cutOffShare and exitShare of it, as the platform excuses work that is cut off in the last sixth.
	cutOffMargin = 600 * time.Millisecond
	exitMargin   = 250 * time.Millisecond
	cutOffShare  = 0.15
	exitShare    = 0.06
	// lingerTime is how long a request on a new connection may take to arrive after the last request has ended, and lingerShare the part of
	// the time until the exit of the process that it may take at least.
	lingerTime  = time.Second
	lingerShare = 0.5
)

// Stop shuts the gateway down. It fails the health checks, serves new requests until the load balancer has reacted, and
// then waits for the requests in progress until shortly before the end of the grace period.
func (g *Gateway) Stop() { g.stopOnce.Do(g.stop) }

func (g *Gateway) stop() {
	started := time.Now()
	grace := g.o.Settings.ShutdownGrace
	cutOff := started.Add(grace - min(cutOffMargin, share(grace, cutOffShare)))
	exit := started.Add(grace - min(exitMargin, share(grace, exitShare)))
	g.leaving.Store(true)
	g.proxy.BeginShutdown(cutOff)
	g.log.Info("stopping", "requests", g.proxy.ActiveRequests(), "grace", grace.String())
	time.Sleep(min(balancerDelay, time.Until(cutOff)/2))
	g.proxy.RefuseNew()
	ctx, cancel := context.WithDeadline(context.Background(), cutOff)
	defer cancel()
	if !waitUntilZero(ctx, g.proxy.ActiveRequests) {
		g.proxy.CutOff()
	}
	g.endConnections(cutOff, exit)
	cut := g.proxy.CutRequests() + g.proxy.ActiveRequests()
	for _, s := range g.servers {
		s.Close() // fails only if it is closed already
	}
	g.cancel()
	g.mesh.Close()
	g.log.Info("stopped", "cut", cut, "took", time.Since(started).String())
}

// endConnections ends the connections of callers. A request of which bytes have arrived is answered, however late the process is: only
// the time of exit limits that. http.Server.Shutdown answers no request that it has read, and closes idle connections without looking.
// Requests are cut off at cutOff, or once the connections without a request have been ended.
func (g *Gateway) endConnections(cutOff, exit time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), exit)
	defer cancel()
	linger, cancel := context.WithDeadline(ctx, lingerEnd(time.Now(), cutOff, exit))
	defer cancel()
	work, cancel := context.WithDeadline(ctx, cutOff)
	defer cancel()
	g.callers.EndIdle()
	go g.callers.CloseEmpty(ctx) // fails only if it is closed already
	if !waitUntilZero(linger, g.callerConnections) {
		g.callers.EndUnused()
	}
	if !waitUntilZero(work, g.callerConnections) {
		g.proxy.CutOff()
	}
	waitUntilZero(ctx, g.callerConnections)
}

// lingerEnd returns until when connections without a request are kept from now on. It may be after cutOff, as callers may have
// connected just before.
func lingerEnd(now, cutOff, exit time.Time) time.Time {
	linger := max(cutOff.Sub(now), share(exit.Sub(now), lingerShare))
	return now.Add(min(linger, lingerTime))
}

// callerConnections returns the number of open connections of callers, and at least 1 while more are accepted.
func (g *Gateway) callerConnections() int {
	select {
	case <-g.callersServed:
		return g.proxy.OpenConnections()
	default:
		return max(g.proxy.OpenConnections(), 1)
	}
}

// share returns a part of a duration.
func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// waitUntilZero waits until count returns 0, and reports whether it has before ctx ends.
func waitUntilZero(ctx context.Context, count func() int) bool {
	for count() > 0 {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, 10*time.Millisecond)
	}
	return true
}

// Reload applies the retry settings. All other settings stay as they were at the start of the process, and a changed address
// is only logged.
func (g *Gateway) Reload(s *Settings) {
	old := g.o.Settings
	g.budgets.configure(s)
	g.log.Info("settings reloaded", "addresses changed", old.CallerAddress != s.CallerAddress || old.ReadyAddress != s.ReadyAddress || old.MeshAddress != s.MeshAddress || old.StoreAddress != s.StoreAddress)
}

// newServerLogger returns a logger for an http.Server that writes to l.
func newServerLogger(l logr.Logger) *log.Logger { return log.New(serverLogWriter{l}, "", 0) }

// serverLogWriter writes each message of an http.Server as a log line.
type serverLogWriter struct{ logr.Logger }

func (l serverLogWriter) Write(p []byte) (int, error) {
	l.Info("http server", "message", string(p))
	return len(p), nil
}
