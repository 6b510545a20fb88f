package instance

import (
	"strconv"

	"github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/report"
	"monsoondale/io/caller"
)

// recorder counts the requests of callers in the report and the metrics.
type recorder struct {
	report  *report.Recorder
	metrics metrics.Registry
}

var _ caller.Recorder = recorder{}

// Rejected counts a request that ended before it was accepted.
func (r recorder) Rejected(c core.Code) {
	metrics.GetOrRegisterCounter("rejected."+strconv.Itoa(int(c)), r.metrics).Inc(1)
}

// Accepted counts a request and returns a function that records its outcome.
func (r recorder) Accepted(l caller.Labels) func(caller.Summary) {
	q := r.report.Accept(l.Workspace, l.Tier, l.Kind)
	return func(e caller.Summary) {
		tier := strconv.Itoa(int(l.Tier))
		metrics.GetOrRegisterCounter("requests."+e.Outcome.String()+"."+tier, r.metrics).Inc(1)
		if e.Stats.TimeToFirst > 0 {
			metrics.GetOrRegisterTimer("first."+tier, r.metrics).Update(e.Stats.TimeToFirst)
		}
		metrics.GetOrRegisterTimer("wait."+tier, r.metrics).Update(e.Stats.Wait)
		q.Finish(outcomeOf(e), requestStatsOf(e))
	}
}

func outcomeOf(e caller.Summary) report.Outcome {
	switch e.Outcome {
	case caller.OutcomeInTime:
		return report.OnTime
	case caller.OutcomeLate:
		return report.Late
	case caller.OutcomeRefused:
		return report.Refused
	case caller.OutcomeFailed:
		return report.Failed
	}
	return report.Unknown
}

// orderOutcomeOf returns the outcome of the order key that the request claimed. A request that was not run has released
// its claim. A request that was answered from another request's claim has none of its own.
func orderOutcomeOf(e caller.Summary) report.OrderOutcome {
	if !e.Stats.Claimed || e.Replayed {
		return report.OrderNone
	}
	switch e.Outcome {
	case caller.OutcomeInTime, caller.OutcomeLate:
		return report.OrderDone
	case caller.OutcomeFailed:
		return report.OrderFailed
	case caller.OutcomeUnknown:
		return report.OrderUnknown
	}
	return report.OrderVoid
}

func requestStatsOf(e caller.Summary) report.RequestStats {
	stats := report.RequestStats{
		Wait: e.Stats.Wait, Prefilled: e.Stats.Prefill, Cached: e.Stats.Cached, Generated: e.Stats.Decode, Wasted: e.Stats.Wasted,
		Replayed: e.Replayed, Cancelled: e.Code == core.CodeCancelled, Order: orderOutcomeOf(e),
	}
	if stats.Wasted > 0 {
		switch {
		case e.Code == core.CodeCancelled || e.Code == core.CodeCallerGone:
			stats.WasteReason = report.WasteCancelled
		case e.Stats.ResumeFailed:
			stats.WasteReason = report.WasteSuspended
		case e.Code == core.CodeLateAfterStart:
			stats.WasteReason = report.WasteLate
		default:
			stats.WasteReason = report.WasteFailed
		}
	}
	return stats
}
