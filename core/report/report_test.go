package report_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/report"
	"monsoondale/wire/operator"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a request that is counted in no column or in two columns.
func TestCountsAddUpUnderConcurrency(t *testing.T) {
	g := NewWithT(t)
	r := report.NewRecorder("a", start)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 500 {
				q := r.Accept("helsinki", core.Tier(j%core.Tiers), "draft")
				if j%50 == 49 {
					continue // keeps running
				}
				q.Finish(report.Outcome(j%5), report.RequestStats{Wait: time.Duration(j) * time.Millisecond, Prefilled: 10, Generated: 5, Wasted: 2, WasteReason: report.WasteReason(j % 5)})
				q.Finish(report.Failed, report.RequestStats{Prefilled: 1000})
				if i == 0 && j%100 == 0 {
					for _, row := range r.Publication(start, false).Rows {
						g.Expect(report.SumOutcomes(row.Counts)).To(Equal(row.Counts.Asked))
					}
				}
			}
		})
	}
	wg.Wait()
	var agg report.Aggregator
	agg.Merge(r.Publication(start, false))
	total := agg.Report(start, nil).Total
	g.Expect(total.Asked).To(Equal(4000))
	g.Expect(total.Running).To(Equal(80))
	g.Expect(report.SumOutcomes(total)).To(Equal(4000))
	g.Expect(total.Prefilled).To(Equal(39_200))
	g.Expect(total.Waits.Count).To(Equal(3920))
}

// Guards against a publication that later requests modify.
func TestPublicationIsImmutable(t *testing.T) {
	g := NewWithT(t)
	r := report.NewRecorder("a", start)
	r.Accept("w", 0, "k").Finish(report.OnTime, report.RequestStats{})
	p := r.Publication(start, false)
	r.Accept("w", 0, "k").Finish(report.OnTime, report.RequestStats{})
	g.Expect(p.Rows[0].Counts.Waits.Buckets[0]).To(Equal(1))
}

func TestOrders(t *testing.T) {
	g := NewWithT(t)
	r := report.NewRecorder("a", start)
	running := r.Accept("w", 0, "engrave")
	running.MarkClaimed()
	running.MarkClaimed()
	r.Accept("w", 0, "engrave").Finish(report.OnTime, report.RequestStats{Order: report.OrderDone})
	r.Accept("w", 0, "engrave").Finish(report.Refused, report.RequestStats{})
	q := r.Accept("w", 0, "engrave")
	q.MarkClaimed()
	q.Finish(report.OutcomeOf(core.CodeOutcomeUnknown), report.RequestStats{})
	g.Expect(r.Publication(start, false).Rows[0].Counts.Orders).To(Equal(operator.Orders{Claimed: 3, Done: 1, Unknown: 1}))
}

// Guards against duplicated, lost or reordered publications that change the counts.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []operator.Publication
		want := 0
		for _, name := range []core.InstanceID{"a", "b", "a"} {
			r := report.NewRecorder(name, start)
			for i := range rapid.IntRange(1, 6).Draw(t, "publications") {
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					r.Accept("w", 1, "k").Finish(report.OnTime, report.RequestStats{})
					want++
				}
				all = append(all, r.Publication(start.Add(time.Duration(i)*time.Second), false))
			}
			last := all[len(all)-1]
			// The last publication arrives. Earlier ones may be lost, duplicated or late.
			all = append(all[:len(all)-1], rapid.SliceOfN(rapid.SampledFrom(all), 0, 8).Draw(t, "duplicated")...)
			all = append(all, last)
		}
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var agg report.Aggregator
		for _, p := range all {
			agg.Merge(p)
		}
		if got := agg.Report(start, nil).Total.Asked; got != want {
			t.Fatalf("counted %d of %d requests", got, want)
		}
	})
}

// Guards against dropping the counts of a lost instance, and against hiding that its later counts are missing.
func TestLostInstance(t *testing.T) {
	g := NewWithT(t)
	var agg report.Aggregator
	lost, ended, running := report.NewRecorder("lost", start), report.NewRecorder("ended", start), report.NewRecorder("running", start)
	lost.Accept("w", 1, "k").Finish(report.OnTime, report.RequestStats{})
	lost.Accept("w", 1, "k")
	ended.Accept("w", 1, "k").Finish(report.Late, report.RequestStats{})
	running.Accept("w", 1, "k")
	agg.Merge(lost.Publication(start.Add(10*time.Second), false))
	agg.Merge(ended.Publication(start.Add(10*time.Second), true))
	now := start.Add(time.Minute)
	agg.Merge(running.Publication(now, false))
	restarted := report.NewRecorder("lost", start.Add(40*time.Second))
	agg.Merge(restarted.Publication(now, false))
	rep := agg.Report(now, []core.InstanceID{"running", "lost", "silent"})
	g.Expect(rep.Total.Asked).To(Equal(4))
	g.Expect(rep.Total.Ontime).To(Equal(1))
	g.Expect(rep.Total.Lost).To(Equal(1))
	g.Expect(rep.Total.Running).To(Equal(1))
	g.Expect(report.SumOutcomes(rep.Total)).To(Equal(4))
	g.Expect(rep.Missing).To(HaveLen(2))
	g.Expect(rep.Missing[0]).To(HaveField("Instance", "lost"))
	g.Expect(rep.Missing[0].Since).To(Equal(int(start.Add(10 * time.Second).UnixMilli())))
	g.Expect(rep.Missing[0].Until).To(Equal(int(start.Add(40 * time.Second).UnixMilli())))
	g.Expect(rep.Missing[1]).To(Equal(operator.Missing{Instance: "silent", Until: rep.Time}))
	agg.DropBefore(start.Add(30 * time.Second))
	g.Expect(agg.Publications()).To(HaveLen(2))
}

func TestCompactKeepsAllCounts(t *testing.T) {
	g := NewWithT(t)
	r := report.NewRecorder("a", start)
	for i := range 50 {
		for range i + 1 {
			r.Accept(core.WorkspaceID(rune('A'+i)), 1, "k").Finish(report.OnTime, report.RequestStats{Wait: time.Second})
		}
	}
	p := report.Compact(r.Publication(start, false), 5)
	g.Expect(p.Rows).To(HaveLen(6))
	var agg report.Aggregator
	agg.Merge(p)
	g.Expect(agg.Report(start, nil).Total.Asked).To(Equal(50 * 51 / 2))

	var full, decoded report.Aggregator
	full.Merge(r.Publication(start, false))
	value, err := full.Encode(3000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<=", 3000))
	g.Expect(decoded.MergeEncoded(value)).To(Succeed())
	g.Expect(decoded.MergeEncoded(value)).To(Succeed(), "merged a second time")
	g.Expect(decoded.Report(start, nil).Total).To(Equal(full.Report(start, nil).Total))
	_, err = full.Encode(100)
	g.Expect(err).To(HaveOccurred())
}

func BenchmarkRecord(b *testing.B) {
	r := report.NewRecorder("a", start)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Accept("w", 1, "k").Finish(report.OnTime, report.RequestStats{Wait: time.Millisecond})
		}
	})
}
