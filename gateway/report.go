package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/route"
	wire "monsoondale/wire/mesh"
)

const (
	// maxFigure bounds each figure of a report: requests, tokens, milliseconds, microseconds or percent.
	maxFigure = 1 << 30
	// maxReportAge bounds the age that a summary may state.
	maxReportAge = 10 * time.Second
)

var (
	errListLengths = errors.New("pool report has lists of different lengths")
	errFigure      = errors.New("pool report has a figure out of range")
)

// reportAge converts the age that a summary states.
func reportAge(ms int) time.Duration { return min(max(milliseconds(ms), 0), maxReportAge) }

// encodeReport converts the report of a pool to its wire format, in which the fields of the loads and of the samples are
// parallel lists. Of the loads, Endpoints holds Endpoint, Running holds Running, Reading holds PendingPrompt, Kept holds Kept and Keepers holds Keeper. Of the
// samples, Seen holds Endpoint, Ahead holds PromptBacklog, First holds Latency in milliseconds and Pace holds Slowness in percent and Stated holds Load. Of the
// measured work, Ran holds Endpoint, Beside holds Load and Took holds Time in microseconds.
func encodeReport(s route.Service, r pool.Report) wire.Pool {
	w := wire.Pool{Service: string(s), Waiting: r.Waiting, Late: r.Late}
	for _, l := range r.Loads {
		w.Endpoints = append(w.Endpoints, string(l.Endpoint))
		w.Running = append(w.Running, l.Running)
		w.Reading = append(w.Reading, int(l.PendingPrompt))
		w.Kept = append(w.Kept, l.Kept)
		w.Keepers = append(w.Keepers, int(l.Keeper))
	}
	if lo.Sum(w.Kept) == 0 {
		w.Kept, w.Keepers = nil, nil
	}
	for _, v := range r.Samples {
		w.Seen = append(w.Seen, string(v.Endpoint))
		w.Ahead = append(w.Ahead, int(v.PromptBacklog))
		w.First = append(w.First, int(v.Latency.Milliseconds()))
		w.Pace = append(w.Pace, int(math.Round(100*v.Slowness)))
		w.Stated = append(w.Stated, v.Load)
	}
	if lo.Sum(w.Pace) == 0 {
		w.Pace = nil
	}
	if lo.Sum(w.Stated) == 0 {
		w.Stated = nil
	}
	for _, v := range r.Work {
		w.Ran = append(w.Ran, string(v.Endpoint))
		w.Beside = append(w.Beside, v.Load)
		w.Took = append(w.Took, int(v.Time.Microseconds()))
	}
	for _, id := range r.Failures {
		w.Failed = append(w.Failed, string(id))
	}
	return w
}

// decodeReport converts the wire format of a pool's report, whose parallel lists must have equal lengths. Figures out of range are an
// error: loads below zero would make endpoints look emptier than empty.
func decodeReport(w *wire.Pool) (pool.Report, error) {
	r := pool.Report{Waiting: w.Waiting, Late: w.Late}
	if len(w.Running) != len(w.Endpoints) || len(w.Reading) != len(w.Endpoints) || len(w.Ahead) != len(w.Seen) || len(w.First) != len(w.Seen) ||
		len(w.Pace) > 0 && len(w.Pace) != len(w.Seen) || len(w.Stated) > 0 && len(w.Stated) != len(w.Seen) ||
		len(w.Kept) != len(w.Keepers) || len(w.Kept) > 0 && len(w.Kept) != len(w.Endpoints) ||
		len(w.Beside) != len(w.Ran) || len(w.Took) != len(w.Ran) {
		return r, errListLengths
	}
	for _, figures := range [][]int{w.Running, w.Reading, w.Ahead, w.First, w.Pace, w.Stated, w.Beside, w.Took, w.Waiting, w.Kept, {w.Late}} {
		if slices.ContainsFunc(figures, func(n int) bool { return n < 0 || n > maxFigure }) {
			return r, errFigure
		}
	}
	for i, e := range w.Endpoints {
		r.Loads = append(r.Loads, pool.Load{Endpoint: core.EndpointID(e), Running: w.Running[i], PendingPrompt: core.Tokens(w.Reading[i])})
		if len(w.Kept) > 0 {
			l := &r.Loads[i]
			l.Kept, l.Keeper = min(w.Kept[i], l.Running), pool.KeeperID(w.Keepers[i])
		}
	}
	for i, e := range w.Seen {
		s := pool.Sample{
			Endpoint: core.EndpointID(e), PromptBacklog: core.Tokens(w.Ahead[i]), Latency: time.Duration(w.First[i]) * time.Millisecond,
		}
		if len(w.Pace) > 0 {
			s.Slowness = float64(w.Pace[i]) / 100
		}
		if len(w.Stated) > 0 {
			s.Load = w.Stated[i]
		}
		r.Samples = append(r.Samples, s)
	}
	for i, e := range w.Ran {
		r.Work = append(r.Work, pool.Work{Endpoint: core.EndpointID(e), Load: w.Beside[i], Time: time.Duration(w.Took[i]) * time.Microsecond})
	}
	for _, e := range w.Failed {
		r.Failures = append(r.Failures, core.EndpointID(e))
	}
	return r, nil
}
