package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/common/framing"
	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/route"
)

// stats holds the metrics of requests.
type stats struct {
	registry  metrics.Registry
	retries   metrics.Counter
	panics    metrics.Counter
	avoided   metrics.Counter // idle connections that were not used for a request, as they had carried its id
	extra     metrics.Counter // responses to other requests that arrived while a request waited for its own
	queueTime metrics.Timer
	firstByte metrics.Timer
	total     metrics.Timer
	refusal   metrics.Timer   // from arrival to a refusal because of an overload
	returned  metrics.Counter // requests whose callers have waited before
	overlap   metrics.Timer   // for which two endpoints worked on a request
	overlong  metrics.Counter // overlaps of handover.OverlapBound and more
}

func newStats(r metrics.Registry) stats {
	return stats{
		registry:  r,
		retries:   metrics.GetOrRegisterCounter("request.repeated", r),
		panics:    metrics.GetOrRegisterCounter("request.panics", r),
		avoided:   metrics.GetOrRegisterCounter("connection.avoided", r),
		extra:     metrics.GetOrRegisterCounter("response.extra", r),
		queueTime: metrics.GetOrRegisterTimer("request.wait", r),
		firstByte: metrics.GetOrRegisterTimer("request.first", r),
		total:     metrics.GetOrRegisterTimer("request.whole", r),
		refusal:   metrics.GetOrRegisterTimer("request.refused", r),
		returned:  metrics.GetOrRegisterCounter("request.returned", r),
		overlap:   metrics.GetOrRegisterTimer("standby.overlap", r),
		overlong:  metrics.GetOrRegisterCounter("standby.overlong", r),
	}
}

// recordFraming records what indicates the end of a response of an endpoint.
func (x *exchange) recordFraming(f framing.Framing) {
	x.framing = f
	metrics.GetOrRegisterCounter("response.framing."+string(f), x.handler.stats.registry).Inc(1)
}

// recordRequest updates the metrics and writes the log line of a finished request.
func (x *exchange) recordRequest(r result) {
	now := time.Now()
	s := &x.handler.stats
	metrics.GetOrRegisterCounter("request.status."+strconv.Itoa(r.status), s.registry).Inc(1)
	s.queueTime.Update(x.queueTime)
	s.total.Update(now.Sub(x.arrived))
	if r.reason == pool.Overload && r.status == http.StatusServiceUnavailable {
		s.refusal.Update(now.Sub(x.arrived))
	}
	values := []any{
		"request", x.info.ID, "status", r.status, "reason", r.reason, "total", milliseconds(now.Sub(x.arrived)),
	}
	if t := x.config.Table; t != nil {
		values = append(values, "config", t.Version())
	}
	if x.route != nil {
		values = append(values, "route", x.route.Name, "tier", x.tier(), "limit", milliseconds(x.deadline.Sub(x.arrived)))
		if x.route.Kind == route.Stream {
			values = append(values, "prompt", x.info.Prompt, "output", x.info.MaxOutput)
		}
	}
	if x.workspace != nil {
		values = append(values, "workspace", x.workspace.ID)
	}
	if x.endpointID != "" {
		values = append(values, "endpoint", x.endpointID, "sent", x.sends, "ran", x.possibleRuns, "running", x.endpointLoad, "expected", milliseconds(x.expectedLatency))
	}
	if x.trace.Conn != 0 {
		values = append(values, "conn", x.trace.Conn, "carried", x.trace.Carried)
	}
	if x.trace.Avoided > 0 {
		values = append(values, "avoided", x.trace.Avoided)
	}
	if x.trace.Extra > 0 {
		values = append(values, "extra", x.trace.Extra)
	}
	if x.statedLoad.Slots > 0 {
		values = append(values, "known", x.knownLoad, "busy", x.statedLoad.Running, "queued", x.statedLoad.Waiting, "slowness", x.statedLoad.Slowness)
	}
	if x.units > 0 {
		values = append(values, "units", x.units)
	}
	if x.quotaAllowed > 0 {
		values = append(values, "used", math.Round(x.quotaUsed), "quota", math.Round(x.quotaAllowed))
	}
	if x.poolState.Slots > 0 {
		values = append(values, "wait", milliseconds(x.queueTime), "waiting", x.poolState.Waiting, "free", x.poolState.Free, "slots", x.poolState.Slots,
			"peers", x.poolState.Peers, "age", milliseconds(x.poolState.ReportAge))
		if x.decider != "" {
			values = append(values, "decider", x.decider)
		}
	}
	if x.poolState.PredictedWait > 0 {
		values = append(values, "predicted", milliseconds(x.poolState.PredictedWait))
	}
	if x.waited > 0 {
		s.returned.Inc(1)
		values = append(values, "waited", milliseconds(x.waited))
	}
	if x.retryAfter > 0 {
		values = append(values, "retry", milliseconds(x.retryAfter))
	}
	if !x.firstByte.IsZero() {
		s.firstByte.Update(x.firstByte.Sub(x.arrived))
		values = append(values, "first", milliseconds(x.firstByte.Sub(x.arrived)), "objective", milliseconds(x.route.Objective))
	}
	if x.longestPause > 0 {
		values = append(values, "pause", milliseconds(x.longestPause), "gap", milliseconds(x.route.GapObjective))
	}
	if x.framing != "" {
		values = append(values, "framing", x.framing)
	}
	if x.unfinishedBytes > 0 {
		values = append(values, "rest", x.unfinishedBytes)
	}
	if x.lastEventID != "" {
		values = append(values, "last", x.lastEventID)
	}
	if r.status >= http.StatusInternalServerError || r.abort {
		values = append(values, "parts", x.loggedParts(), "begun", milliseconds(x.begun))
	}
	if x.quarantinedPart != "" {
		values = append(values, "part", x.quarantinedPart)
	}
	if x.trial {
		values = append(values, "trial", true)
	}
	if r.status == statusCallerLeft {
		metrics.GetOrRegisterCounter("request.left."+string(x.stage), s.registry).Inc(1)
		values = append(values, "left", x.stage)
	}
	if x.cause != nil {
		values = append(values, "cause", x.cause.Error())
	}
	if r.abort {
		values = append(values, "aborted", true)
	}
	x.handler.o.Log.Info("request", values...)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the first parts of the prompt, for the log.
func (x *exchange) loggedParts() []core.PartID {
	return x.info.Parts[:min(len(x.info.Parts), maxLoggedParts)]
}

// errorText returns the text of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// milliseconds returns a duration in milliseconds, rounded to tenths.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
