package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/quarantine"
)

const (
	// provenAfter is how long an endpoint must have been sending a response before it counts as served, and before a crash does not
	// implicate its request any more. An endpoint crashes when it begins a response.
	provenAfter = time.Second
	// crashProbeTimeout is the time limit for finding out whether an endpoint accepts connections.
	crashProbeTimeout = 100 * time.Millisecond
	// crashProbeValidity is how long the result is used for other requests that failed there.
	crashProbeValidity = 500 * time.Millisecond
	// maxCrashProbes bounds the endpoints of which the result is kept.
	maxCrashProbes = 256
	// quarantineReason is the reason of responses to requests that are not sent because of a quarantined part.
	quarantineReason = "part of the prompt crashes endpoints"
)

// quarantineError reports that a request must not be sent because a part of its prompt is in quarantine.
type quarantineError struct{ part core.PartID }

func (e *quarantineError) Error() string { return "part in quarantine: " + string(e.part) }

// Quarantine is what an instance knows of parts of prompts that crash endpoints; see quarantine.Ledger.
type Quarantine interface {
	// Quarantined returns a part of a prompt because of which its request must not be sent.
	Quarantined(now time.Time, p *quarantine.Prompt) (quarantine.Part, bool)
	// MayRepeat reports whether a request whose endpoint has crashed may be sent to another one.
	MayRepeat(now time.Time, p *quarantine.Prompt) bool
	RecordCrash(now time.Time, process quarantine.Process, p *quarantine.Prompt)
	RecordServed(now time.Time, p *quarantine.Prompt)
}

// ReserveTrial reports whether this instance may send a request in spite of its quarantined parts, to find out whether they are sound.
type ReserveTrial func(ctx context.Context, p *quarantine.Prompt) bool

// crashProbes finds out whether endpoints accept connections, once for all requests that fail there at the same time.
type crashProbes struct {
	mu      sync.Mutex
	results map[quarantine.Process]*crashProbe
}

// crashProbe is the attempt to open a connection to an endpoint.
type crashProbe struct {
	started time.Time
	done    chan struct{}
	refused bool
}

// refused reports whether an endpoint refuses connections.
func (c *crashProbes) refused(p quarantine.Process, address string) bool {
	c.mu.Lock()
	now := time.Now()
	probe := c.results[p]
	if probe != nil && now.Sub(probe.started) < crashProbeValidity {
		c.mu.Unlock()
		<-probe.done
		return probe.refused
	}
	if c.results == nil || len(c.results) >= maxCrashProbes {
		c.results = map[quarantine.Process]*crashProbe{}
	}
	probe = &crashProbe{started: now, done: make(chan struct{})}
	c.results[p] = probe
	c.mu.Unlock()
	defer close(probe.done)
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		conn.Close()
	}
	probe.refused = errors.Is(err, syscall.ECONNREFUSED)
	return probe.refused
}

// process returns the start of the endpoint at which the attempt is made.
func (a *attempt) process() quarantine.Process {
	e := a.grant.Endpoint
	return quarantine.Process{Service: a.x.service, Endpoint: e.ID, Incarnation: e.Incarnation}
}

// setPrompt determines the parts of the prompt, for which the service must be known.
func (x *exchange) setPrompt() {
	x.prompt = quarantine.NewPrompt(quarantine.Scope{Service: x.service, Model: x.info.Model}, x.info.Parts)
}

// refuseQuarantined refuses a request with a quarantined part, unless it may be sent to find out whether the part is sound.
func (x *exchange) refuseQuarantined() (result, bool) {
	part, ok := x.quarantined()
	if !ok {
		return result{}, false
	}
	if reserve := x.handler.o.ReserveTrial; reserve != nil && reserve(x.r.Context(), &x.prompt) {
		x.trial = true
		return result{}, false
	}
	x.recordQuarantine(part)
	return x.refuse(http.StatusServiceUnavailable, quarantineReason, quarantine.RetryAfter), true
}

// quarantined returns a part of the prompt because of which the request must not be sent.
func (x *exchange) quarantined() (core.PartID, bool) {
	q := x.handler.o.Quarantine
	if q == nil || len(x.info.Parts) == 0 {
		return "", false
	}
	part, ok := q.Quarantined(time.Now(), &x.prompt)
	return part.ID, ok
}

// recordQuarantine counts a request that was not sent because of a part.
func (x *exchange) recordQuarantine(part core.PartID) {
	x.quarantinedPart = part
	metrics.GetOrRegisterCounter("request.quarantined", x.handler.stats.registry).Inc(1)
}

// maySend returns an error if the request must not be sent because of a part of its prompt, which may have become known while it waited.
func (a *attempt) maySend() error {
	if part, ok := a.x.quarantined(); ok && !a.trial {
		return &quarantineError{part}
	}
	return nil
}

// mayRepeatAfter reports whether a request may be sent to another endpoint after a failure, which may have been the end of its
// endpoint.
func (a *attempt) mayRepeatAfter(err error) bool {
	x := a.x
	if x.handler.o.Quarantine == nil || len(x.info.Parts) == 0 {
		return true
	}
	if !a.recordCrash(err) {
		_, ok := x.quarantined()
		return !ok
	}
	return x.handler.o.Quarantine.MayRepeat(time.Now(), &x.prompt)
}

// recordCrash records a crash of the endpoint if the failure of the attempt is due to one, and the response had not begun or just had. It
// reports whether that is so.
func (a *attempt) recordCrash(err error) bool {
	x := a.x
	q := x.handler.o.Quarantine
	if q == nil || len(x.info.Parts) == 0 || !isConnectionEnd(err) || a.sinceBegun() >= provenAfter || x.pool.Leaving(a.grant) {
		return false
	}
	if p := a.process(); x.handler.probes.refused(p, a.grant.Endpoint.Address) {
		x.handler.o.Log.Info("endpoint crashed", "request", x.info.ID, "endpoint", p.Endpoint, "parts", x.loggedParts(), "begun", milliseconds(a.sinceBegun()))
		q.RecordCrash(time.Now(), p, &x.prompt)
		return true
	}
	return false
}

// isConnectionEnd reports whether an error is due to the end of a connection, rather than to a time limit or to what was sent.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errTruncated, errNoEvents, errUnknownEnd, errMissingEvent} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// recordServed records that the endpoint has served the request, or sends its response for so long that it does not crash under it.
func (a *attempt) recordServed() {
	if q := a.x.handler.o.Quarantine; q != nil && len(a.x.info.Parts) > 0 && a.succeeded() && !a.servedRecorded {
		a.servedRecorded = true
		q.RecordServed(time.Now(), &a.x.prompt)
	}
}

// stoppedByQuarantine returns the part because of which the request was not sent, if that is why.
func (a *attempt) stoppedByQuarantine() (core.PartID, bool) {
	var err *quarantineError
	if a.sent() || !errors.As(a.err, &err) {
		return "", false
	}
	return err.part, true
}
