package endpoint_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	. "monsoondale/core/endpoint"
)

var start = time.Unix(1_000_000, 0)

// simulatedEngine is an engine whose time between tokens grows linearly with its batch.
type simulatedEngine struct {
	tracker            *Tracker
	now                time.Time
	baseInterval       time.Duration // time between tokens with one request
	intervalPerRequest time.Duration // added by each further request
}

// run keeps all slots of the engine in use for the given time.
func (e *simulatedEngine) run(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(250 * time.Millisecond) {
		for e.tracker.Free() > 0 {
			e.tracker.Grant(e.now, 100)
		}
		for range min(e.tracker.Running(), 16) {
			e.tracker.RecordProgress(e.now, 10, 10*(e.baseInterval+time.Duration(e.tracker.Running()-1)*e.intervalPerRequest))
		}
		for e.tracker.Running() > 0 {
			e.tracker.Release(0)
		}
		e.tracker.Tick(e.now)
	}
}

// Guards against a slot limit that stays far above or below the one that meets the target time between tokens.
func TestSlotLimitIsLearned(t *testing.T) {
	for _, c := range []struct {
		name        string
		base, extra time.Duration
		least, most int
	}{
		{"fast", 10 * time.Millisecond, 500 * time.Microsecond, 30, 44},
		{"slow", 20 * time.Millisecond, 5 * time.Millisecond, 2, 4},
		{"misses the target when idle", 60 * time.Millisecond, 6 * time.Millisecond, 6, 13},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := &simulatedEngine{tracker: NewTracker(start, Spec{}, Options{}), now: start, baseInterval: c.base, intervalPerRequest: c.extra}
			e.run(60 * time.Second)
			g.Expect(e.tracker.Slots()).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
		})
	}
}

// Guards against an estimated time to the first token that ignores granted work.
func TestTimeToFirstTokenIncludesBacklog(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(start, Spec{}, Options{})
	idle := tracker.TimeToFirstToken(start, 1000)
	backlog := tracker.Grant(start, 4000)
	g.Expect(backlog).To(BeZero())
	g.Expect(tracker.TimeToFirstToken(start, 1000)).To(BeNumerically("~", 5*idle, 1e-6))
	g.Expect(tracker.TimeToFirstToken(start.Add(time.Minute), 1000)).To(BeNumerically("~", idle, 1e-6))
	tracker.Release(4000)
	g.Expect(tracker.TimeToFirstToken(start, 1000)).To(BeNumerically("~", idle, 1e-6), "an unused grant leaves no backlog")
}

// Guards against a prefill rate that is distorted by a single outlier or by the wait behind other requests.
func TestPrefillRate(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(start, Spec{}, Options{})
	for i := range 60 {
		first := 500 * time.Millisecond // 1000 tokens at 2000/s
		if i == 50 {
			first = 20 * time.Second
		}
		tracker.RecordCompletion(start, Completion{Uncached: 1000, Decode: 50, FirstToken: first + time.Second, Total: first + 2*time.Second, Backlog: time.Second})
	}
	g.Expect(tracker.PrefillRate()).To(BeNumerically("~", 2000, 200))
}

// Guards against stragglers that are not put on probation or never leave it, and against probation of normal endpoints.
func TestStragglers(t *testing.T) {
	g := NewWithT(t)
	trackers := make([]*Tracker, 6)
	for i := range trackers {
		trackers[i] = NewTracker(start, Spec{}, Options{})
	}
	tokenIntervals := []time.Duration{10, 12, 15, 20, 20, 100} // ms between tokens: different hardware generations and one straggler
	addSamples := func() {
		for i, tracker := range trackers {
			for range 5 {
				tracker.RecordProgress(start, 10, 10*tokenIntervals[i]*time.Millisecond)
			}
		}
		UpdateProbation(trackers)
	}
	addSamples()
	for i, tracker := range trackers {
		g.Expect(tracker.OnProbation()).To(Equal(i == 5), "endpoint %d", i)
	}
	g.Expect(trackers[5].Slots()).To(Equal(1))
	tokenIntervals[5] = 15
	for range 10 {
		addSamples()
	}
	g.Expect(trackers[5].OnProbation()).To(BeFalse())
	g.Expect(trackers[5].Slots()).To(BeNumerically(">", 1))
	for i := range tokenIntervals {
		tokenIntervals[i] *= 10
	}
	for range 10 {
		addSamples()
	}
	for _, tracker := range trackers {
		g.Expect(tracker.OnProbation()).To(BeFalse(), "all endpoints are slow, so none is a straggler")
	}
}

// Guards against grants on a dead endpoint, and against one refused dial or one caller that blocks a healthy endpoint.
func TestFailures(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(start, Spec{}, Options{})
	tracker.RecordProgress(start, 10, 100*time.Millisecond)
	tracker.RecordFailure(start.Add(100*time.Millisecond), true, "")
	g.Expect(tracker.Free()).To(Equal(1), "gets one request at a time")
	tracker.RecordFailure(start.Add(2*time.Second), true, "")
	g.Expect(tracker.Free()).To(BeZero())
	tracker.Tick(start.Add(5 * time.Second))
	g.Expect(tracker.Free()).To(Equal(1))
	tracker.RecordProgress(start.Add(5*time.Second), 10, 100*time.Millisecond)
	g.Expect(tracker.Free()).To(Equal(8))
	for range 10 {
		tracker.RecordFailure(start.Add(5*time.Second), false, "bad requests")
	}
	g.Expect(tracker.Free()).To(Equal(8), "one caller cannot block the endpoint")
}

// Guards against delayed reports that count granted requests twice, and against ignoring work granted by others.
func TestLoadReportCountsExcess(t *testing.T) {
	for _, c := range []struct {
		name string
		r    Report
		free int
	}{
		{"own work, reported late", Report{Time: start, Running: 5}, 8},
		{"a second owner's work", Report{Time: start, Running: 8}, 5},
		{"less than granted", Report{Time: start, Running: 1}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := NewTracker(start, Spec{}, Options{})
			for range 5 {
				tracker.Grant(start, 10)
			}
			for range 5 {
				tracker.Release(0)
			}
			tracker.RecordLoad(c.r)
			g.Expect(tracker.Free()).To(Equal(c.free))
		})
	}
}

// Guards against a learned limit for plain services, and against slots of leaving endpoints.
func TestSlotsBySpec(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewTracker(start, Spec{Service: true}, Options{ServiceSlots: 3}).Slots()).To(Equal(3))
	g.Expect(NewTracker(start, Spec{Leaving: true}, Options{}).Slots()).To(Equal(0))
}

// Guards against a prefix index that grows without bound, does not decay, or ignores evictions and gaps.
func TestPrefixIndex(t *testing.T) {
	g := NewWithT(t)
	share := func(x *PrefixIndex, now time.Time, ep int32, ps ...core.PrefixHash) (s float64) {
		x.Match(now, ps, func(e int32, c float64) {
			if e == ep {
				s = c
			}
		})
		return s
	}
	x := NewPrefixIndex(100, time.Minute)
	x.Store(start, 1, []core.PrefixHash{1, 2})
	g.Expect(share(x, start, 1, 1, 2, 3, 4)).To(BeNumerically("~", 0.5, 1e-9), "half of the prompt")
	g.Expect(share(x, start, 2, 1, 2)).To(BeZero())
	g.Expect(share(x, start.Add(time.Minute), 1, 1, 2)).To(BeNumerically("~", 0.5, 1e-9), "decayed")
	before := share(x, start.Add(time.Second), 1, 1, 2)
	x.RecordGap(start.Add(time.Second), 1)
	g.Expect(share(x, start.Add(time.Second), 1, 1, 2)).To(BeNumerically("~", 0.9*before, 1e-9), "less confidence after a gap")
	x.Evict(1, 2)
	g.Expect(share(x, start, 1, 1, 2)).To(BeNumerically("<=", 0.5), "only the shorter prefix is left")
	for i := range 10000 {
		x.Store(start, int32(i), []core.PrefixHash{core.PrefixHash(i), 7})
	}
	g.Expect(x.Len()).To(BeNumerically("<=", 100))
	g.Expect(share(x, start, 9999, 7)).To(BeNumerically("~", 1, 1e-9))
}
