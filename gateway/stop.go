package gateway

import (
	"context"
	"log"
	"time"

	"github.com/go-logr/logr"
)

const (
	// noticed is how long after a signal the balancer may still send connections: it asks once a second and waits for
	// two misses.
	noticed = 3 * time.Second
	// exitMargin is the time before SIGKILL at which the process ends, whatever is still running.
	exitMargin = 400 * time.Millisecond
)

// Stop ends the gateway: it reports that it is not ready, serves what arrives until the balancer has noticed, and waits
// for requests in progress until shortly before the grace period ends.
func (g *Gateway) Stop() {
	begun := time.Now()
	end := begun.Add(g.o.Settings.Grace - exitMargin)
	g.leaving.Store(true)
	g.front.DisableKeepAlives()
	g.log.Info("stopping", "requests", g.front.ActiveRequests(), "grace", g.o.Settings.Grace.String())
	time.Sleep(min(noticed, max(time.Until(end)/2, 0)))
	g.front.RefuseNew()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for g.front.ActiveRequests() > 0 && ctx.Err() == nil {
		pause(ctx, 10*time.Millisecond)
	}
	cut := g.front.ActiveRequests()
	for _, s := range g.servers {
		if cut > 0 {
			s.Close() // the deadline has passed
			continue
		}
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
	g.cancel()
	g.mesh.Close()
	g.log.Info("stopped", "cut", cut, "took", time.Since(begun).String())
}

// Reload puts changed settings in force. Addresses cannot change while the process runs.
func (g *Gateway) Reload(s *Settings) {
	old := g.o.Settings
	g.budgets.configure(s)
	g.log.Info("settings reloaded", "addresses changed", old.CallerAddress != s.CallerAddress || old.ReadyAddress != s.ReadyAddress || old.MeshAddress != s.MeshAddress || old.StoreAddress != s.StoreAddress)
}

// quietLog passes the server's own messages on as log lines.
func quietLog(l logr.Logger) *log.Logger { return log.New(serverLog{l}, "", 0) }

type serverLog struct{ logr.Logger }

func (l serverLog) Write(p []byte) (int, error) {
	l.Info("http server", "message", string(p))
	return len(p), nil
}
