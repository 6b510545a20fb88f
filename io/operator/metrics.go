package operator

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	wire "monsoondale/wire/operator"
)

var metricsContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

var quantiles = []float64{0.5, 0.95, 0.99}

var invalidNameChar = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// FormatMetrics formats a registry and the request counts of this instance in the text format of Prometheus. Names get
// the prefix monsoondale_, and characters that the format does not allow become underscores. Timers are in seconds. The
// sum of a timer or histogram is estimated from the mean of its sample, since go-metrics keeps no total.
func FormatMetrics(r metrics.Registry, rows []wire.Row) ([]byte, error) {
	f := families{}
	r.Each(func(name string, m any) {
		base := strings.Trim(invalidNameChar.ReplaceAllString(name, "_"), "_")
		switch x := m.(type) {
		case metrics.Counter:
			f.addCounter(base+"_total", x.Count())
		case metrics.Meter:
			f.addCounter(base+"_total", x.Count())
		case metrics.Gauge:
			f.addGauge(base, float64(x.Value()))
		case metrics.GaugeFloat64:
			f.addGauge(base, x.Value())
		case metrics.Timer:
			s := x.Snapshot()
			f.addSummary(base+"_seconds", s.Count(), s.Mean(), s.Percentiles(quantiles), float64(time.Second))
		case metrics.Histogram:
			s := x.Snapshot()
			f.addSummary(base, s.Count(), s.Mean(), s.Percentiles(quantiles), 1)
		}
	})
	f.addRequestCounts(rows)
	names := lo.Keys(f)
	slices.Sort(names)
	var b bytes.Buffer
	for _, n := range names {
		if _, err := expfmt.MetricFamilyToText(&b, f[n]); err != nil {
			return nil, errors.Wrap(err, "write metrics")
		}
	}
	return b.Bytes(), nil
}

// families holds metric families by name.
type families map[string]*dto.MetricFamily

func (f families) add(name string, t dto.MetricType, v *dto.Metric) {
	name = "monsoondale_" + name
	if f[name] == nil {
		f[name] = &dto.MetricFamily{Name: &name, Type: &t}
	}
	f[name].Metric = append(f[name].Metric, v)
}

// addCounter adds a counter; labels alternate between names and values.
func (f families) addCounter(name string, n int64, labels ...string) {
	m := &dto.Metric{Counter: &dto.Counter{Value: lo.ToPtr(float64(n))}}
	for _, l := range lo.Chunk(labels, 2) {
		m.Label = append(m.Label, &dto.LabelPair{Name: &l[0], Value: &l[1]})
	}
	f.add(name, dto.MetricType_COUNTER, m)
}

func (f families) addGauge(name string, v float64) {
	f.add(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &v}})
}

func (f families) addSummary(name string, count int64, mean float64, percentiles []float64, unit float64) {
	s := &dto.Summary{SampleCount: lo.ToPtr(uint64(count)), SampleSum: lo.ToPtr(mean * float64(count) / unit)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: lo.ToPtr(q), Value: lo.ToPtr(percentiles[i] / unit)})
	}
	f.add(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: s})
}

// addRequestCounts adds the request counts by tier. The workspace is not a label: 48,000 of them would overload a
// metrics collector.
func (f families) addRequestCounts(rows []wire.Row) {
	tiers := lo.GroupBy(rows, func(r wire.Row) int { return r.Tier })
	for tier := range core.Tiers {
		label := strconv.Itoa(tier)
		sum := func(count func(wire.Counts) int) int64 {
			return int64(lo.SumBy(tiers[tier], func(r wire.Row) int { return count(r.Counts) }))
		}
		if len(tiers[tier]) == 0 {
			continue
		}
		f.addCounter("asked_total", sum(func(c wire.Counts) int { return c.Asked }), "tier", label)
		for _, o := range []struct {
			name  string
			count func(wire.Counts) int
		}{
			{"ontime", func(c wire.Counts) int { return c.Ontime }},
			{"late", func(c wire.Counts) int { return c.Late }},
			{"refused", func(c wire.Counts) int { return c.Refused }},
			{"failed", func(c wire.Counts) int { return c.Failed }},
			{"unknown", func(c wire.Counts) int { return c.Unknown }},
		} {
			f.addCounter("finished_total", sum(o.count), "tier", label, "outcome", o.name)
		}
		for _, o := range []struct {
			name  string
			count func(wire.Counts) int
		}{
			{"prefilled", func(c wire.Counts) int { return c.Prefilled }},
			{"cached", func(c wire.Counts) int { return c.Cached }},
			{"generated", func(c wire.Counts) int { return c.Generated }},
			{"wasted", func(c wire.Counts) int {
				return c.Thrown.Cancelled + c.Thrown.Failed + c.Thrown.Late + c.Thrown.Suspended
			}},
		} {
			f.addCounter("tokens_total", sum(o.count), "tier", label, "use", o.name)
		}
	}
}
