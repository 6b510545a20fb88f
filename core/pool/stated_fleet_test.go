package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/pool"
)

// The reports of 95 instances in five data centres show loads that are up to 0.4 s old. Guards against requests that find all slots of
// an engine taken although responses have stated the load there since, and against serving fewer.
func TestStatedLoadsInFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		seed uint64
		rate float64 // relative to that of a calm day
	}{{"busy", 22, 1.3}, {"full", 24, 1.6}, {"overloaded", 23, 2}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			waited, served := map[pool.Limits]float64{}, map[pool.Limits]float64{}
			for _, l := range []pool.Limits{pool.SlotLimits, pool.LearnedLimits} {
				f := fleetCluster()
				f.limits = l
				s := run(c.seed, f, 4*time.Second,
					workload{"draft", 0, 6600, 50, 400 * time.Millisecond, constant(93 * c.rate)},
					workload{"dedication", 1, 628, 40, 200 * time.Millisecond, constant(75 * c.rate)},
					workload{"check", 2, 1800, 3, 250 * time.Millisecond, constant(205 * c.rate)},
				)
				n, ontime, total := 0, 0, 0
				for _, k := range s.results {
					total += k.total
					n += k.ontime + k.late + k.abandoned
					ontime += k.ontime
				}
				waited[l], served[l] = ratio(s.waited, n), ratio(n, total)
				t.Logf("limits %d: served %.3f, on time %.3f, waited %.3f", l, served[l], ratio(ontime, total), waited[l])
			}
			g.Expect(waited[pool.LearnedLimits]).To(BeNumerically("<", waited[pool.SlotLimits]))
			g.Expect(served[pool.LearnedLimits]).To(BeNumerically(">=", served[pool.SlotLimits]-0.01))
		})
	}
}

// Reports that are older than what an endpoint states. Guards against sending to an endpoint that is full, against leaving places empty,
// and against a correction that lasts after newer reports.
func TestStatedLoadCorrectsReports(t *testing.T) {
	for _, c := range []struct {
		name     string
		reported int // requests of another instance
		stated   pool.StatedLoad
		after    time.Duration // from the statement to the next request
		granted  bool
	}{
		{"full", 0, pool.StatedLoad{Running: 4, Waiting: 2, Slots: 4}, 0, false},
		{"full earlier", 0, pool.StatedLoad{Running: 4, Waiting: 2, Slots: 4}, 150 * time.Millisecond, true},
		{"empty", 3, pool.StatedLoad{Running: 1, Slots: 4}, 0, true},
		{"empty earlier", 3, pool.StatedLoad{Running: 1, Slots: 4}, 150 * time.Millisecond, false},
		{"nothing stated", 3, pool.StatedLoad{}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := pool.New(pool.Options{Centre: "a", Limits: pool.LearnedLimits})
			p.SetEndpoints(begin, endpoints(1, 4))
			granted := grant(g, p.Submit(begin, request(1, begin)))
			now := begin.Add(time.Second)
			p.ApplyReport(now, "other", true, pool.Report{Loads: []pool.Load{{Endpoint: "e00", Running: c.reported}}})
			p.RecordLoad(now, granted, c.stated)
			now = now.Add(c.after)
			g.Expect(decision(p.Submit(now, request(1, now))) != nil).To(Equal(c.granted))
		})
	}
}
