package proxy

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core/route"
)

// stats counts what became of requests.
type stats struct {
	registry metrics.Registry
	repeated metrics.Counter
	waited   metrics.Timer
	first    metrics.Timer
	whole    metrics.Timer
}

func newStats(r metrics.Registry) stats {
	return stats{
		registry: r,
		repeated: metrics.GetOrRegisterCounter("request.repeated", r),
		waited:   metrics.GetOrRegisterTimer("request.wait", r),
		first:    metrics.GetOrRegisterTimer("request.first", r),
		whole:    metrics.GetOrRegisterTimer("request.whole", r),
	}
}

// record counts a request and writes its log line.
func (x *exchange) record(r result) {
	now := time.Now()
	s := &x.f.stats
	metrics.GetOrRegisterCounter("request.status."+strconv.Itoa(r.status), s.registry).Inc(1)
	s.waited.Update(x.waited)
	s.whole.Update(now.Sub(x.arrived))
	values := []any{
		"request", x.call.ID, "status", r.status, "reason", r.reason, "total", ms(now.Sub(x.arrived)),
	}
	if t := x.view.Table; t != nil {
		values = append(values, "config", t.Version())
	}
	if x.route != nil {
		values = append(values, "route", x.route.Name, "tier", x.tier(), "limit", ms(x.deadline.Sub(x.arrived)))
		if x.route.Kind == route.Stream {
			values = append(values, "prompt", x.call.Prompt, "output", x.call.Output)
		}
	}
	if x.ws != nil {
		values = append(values, "workspace", x.ws.ID)
	}
	if x.endpoint != "" {
		values = append(values, "endpoint", x.endpoint, "sent", x.sent, "ran", x.ran, "running", x.running, "expected", ms(x.expected))
	}
	if x.cost > 0 {
		values = append(values, "units", x.cost)
	}
	if x.state.Slots > 0 {
		values = append(values, "wait", ms(x.waited), "waiting", x.state.Waiting, "free", x.state.Free, "slots", x.state.Slots,
			"peers", x.state.Peers, "age", ms(x.state.ReportAge))
	}
	if x.retry > 0 {
		values = append(values, "retry", ms(x.retry))
	}
	if !x.first.IsZero() {
		s.first.Update(x.first.Sub(x.arrived))
		values = append(values, "first", ms(x.first.Sub(x.arrived)))
	}
	if x.last != "" {
		values = append(values, "last", x.last)
	}
	if x.cause != nil {
		values = append(values, "cause", x.cause.Error())
	}
	if r.abort {
		values = append(values, "aborted", true)
	}
	x.f.o.Log.Info("request", values...)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ms returns a duration in milliseconds with a tenth.
func ms(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
