package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleetCluster returns a cluster of 95 instances in five data centres, which exchange reports within a data centre and sums
// between them.
func fleetCluster() cluster {
	return cluster{
		instances: 95, centres: 5, engines: 51, slots: 9, engineQueueLimit: 54, slowdowns: []float64{1, 2.8, 0.55},
		reportInterval: 127 * time.Millisecond, summaryInterval: 200 * time.Millisecond,
	}
}

// Requests of some 60 ms arrive at three quarters of the capacity of a few endpoints, each of which serves several of
// them between two reports. Guards against refusing requests because the reports, which are older than the requests last, show no
// free slot.
func TestShortRequestsInFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := fleetCluster()
	f.engines, f.slots, f.engineQueueLimit, f.slowdowns = 5, 6, 24, []float64{1}
	k := simulate(8, f, 4*time.Second, workload{"order", 0, 0, 1, 300 * time.Millisecond, burst(250, 1.6, 1, 4)})["order"]
	t.Logf("%+v", *k)
	g.Expect(ratio(k.ontime, k.total)).To(BeNumerically(">=", 0.95))
	g.Expect(ratio(k.rejected, k.total)).To(BeNumerically("<=", 0.02))
}

// The requests of a calm day. Guards against requests that queue at engines of which other data centres have made use since
// their last report, while others have free slots.
func TestCalmFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for name, k := range simulate(9, fleetCluster(), 4*time.Second,
		workload{"draft", 0, 6600, 50, 400 * time.Millisecond, constant(93)},
		workload{"dedication", 1, 628, 40, 200 * time.Millisecond, constant(75)},
		workload{"check", 2, 1800, 3, 250 * time.Millisecond, constant(205)},
	) {
		t.Logf("%s %+v", name, *k)
		g.Expect(ratio(k.ontime, k.total)).To(BeNumerically(">=", 0.95), name)
	}
}

// More requests than the engines can serve. Guards against requests that wait at engines, where their order can no longer change.
func TestOverloadedFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	served, ontime := 0, 0
	for name, k := range simulate(10, fleetCluster(), 3*time.Second,
		workload{"draft", 0, 6600, 50, 400 * time.Millisecond, burst(145, 2, 1, 3)},
		workload{"dedication", 1, 628, 40, 200 * time.Millisecond, burst(117, 2, 1, 3)},
		workload{"check", 2, 1800, 3, 250 * time.Millisecond, burst(320, 2, 1, 3)},
	) {
		t.Logf("%s %+v", name, *k)
		served += k.ontime + k.late + k.abandoned
		ontime += k.ontime
	}
	g.Expect(ratio(ontime, served)).To(BeNumerically(">=", 0.8))
}

// A third of the engines returns while requests wait everywhere. Guards against all instances sending to the empty engines at once,
// before the reports show what others have sent: the requests wait at the engines until all of them are late.
func TestReturnOfEnginesToFleet(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := fleetCluster()
	f.absentEngines, f.absentUntil = 5, time.Second
	s := run(11, f, 2500*time.Millisecond,
		workload{"draft", 0, 6600, 50, 400 * time.Millisecond, constant(360)},
		workload{"dedication", 1, 628, 40, 200 * time.Millisecond, constant(290)},
		workload{"check", 2, 1800, 3, 250 * time.Millisecond, constant(780)},
	)
	served, ontime := 0, 0
	for name, k := range s.results {
		t.Logf("%s %+v", name, *k)
		served += k.ontime + k.late + k.abandoned
		ontime += k.ontime
	}
	t.Logf("longest queue at an engine %d, on time %d of %d served", s.longestQueue, ontime, served)
	g.Expect(ratio(ontime, served)).To(BeNumerically(">=", 0.8))
}

// A few engines return while requests wait everywhere. Guards against more requests that wait at an engine than it has slots.
func TestQueueAtReturningEngines(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := fleetCluster()
	f.absentEngines, f.absentUntil = 5, 2*time.Second
	s := run(11, f, 4*time.Second,
		workload{"draft", 0, 6600, 50, 400 * time.Millisecond, constant(360)},
		workload{"dedication", 1, 628, 40, 200 * time.Millisecond, constant(290)},
		workload{"check", 2, 1800, 3, 250 * time.Millisecond, constant(780)},
	)
	g.Expect(s.longestQueue).To(BeNumerically("<=", f.slots))
}
