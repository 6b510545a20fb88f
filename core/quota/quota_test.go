package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/quota"
	"monsoondale/core/route"
)

const (
	window = 8 * time.Second
	rate   = 100.0
	burst  = 100.0
	limit  = rate*8 + burst // units in a window, which is 8 s
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// newLedger returns a ledger for one workspace and a process that started at the given time. With a start one window
// before begin, all usage is known.
func newLedger(start time.Time) *quota.Ledger {
	l := quota.New(quota.Options{Window: window, Start: start})
	l.Configure([]route.Workspace{{ID: "w", Quota: route.Quota{Rate: rate, Burst: burst, ByTokens: true}}})
	return l
}

// takeAll takes single units until one is refused, and returns their number.
func takeAll(l *quota.Ledger, now time.Time) float64 {
	n := 0.0
	for {
		if _, ok := l.Take(now, "w", 1, 0); !ok {
			return n
		}
		n++
	}
}

// exchange applies the report of each ledger to all others.
func exchange(now time.Time, ledgers map[core.InstanceID]*quota.Ledger) {
	for from, l := range ledgers {
		r := l.Report(now)
		for to, other := range ledgers {
			if to != from {
				other.ApplyReport(now, from, r)
			}
		}
	}
}

// Guards against usage above the rate and the burst in any window, and against refusals below them.
func TestLimitInWindow(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(begin.Add(-window))
	g.Expect(takeAll(l, begin)).To(BeNumerically("==", limit))
	wait, ok := l.Take(begin, "w", 1, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", window, window/16))
	g.Expect(takeAll(l, begin.Add(window-window/32))).To(BeZero())
	g.Expect(takeAll(l, begin.Add(window+window/16))).To(BeNumerically("==", limit))
}

// A workspace asks for more than its quota. Guards against the least urgent requests using up the quota, and against
// large requests that never succeed because small ones take all units that leave the window.
func TestUrgentRequestsKeepPartOfQuota(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(begin.Add(-window))
	var urgent, other, requestedUrgent, requestedOther float64
	for step := range 1000 { // a step every 20 ms; those of the first window, 8 s, are not counted
		now := begin.Add(time.Duration(step) * 20 * time.Millisecond)
		count := func(units, reserve float64, requested, granted *float64) {
			_, ok := l.Take(now, "w", units, reserve)
			if now.Sub(begin) < window {
				return
			}
			*requested += units
			if ok {
				*granted += units
			}
		}
		for range 4 {
			count(1, 0.1, &requestedOther, &other)
		}
		if step%20 == 0 {
			count(30, 0, &requestedUrgent, &urgent)
		}
	}
	g.Expect(urgent/requestedUrgent).To(BeNumerically(">=", 0.9), "urgent requests ask for three quarters of the rate")
	g.Expect(other/requestedOther).To(BeNumerically("<", 0.5), "%v of %v", other, requestedOther)
}

// A workspace asks for more than its quota. Guards against telling all refused callers to retry at the same time, so
// that most of them are refused again.
func TestRetriesAreSpread(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(begin.Add(-window))
	for now := begin; now.Before(begin.Add(window)); now = now.Add(window / 32) {
		takeAll(l, now) // steady usage of the whole quota after the burst
	}
	now := begin.Add(2 * window)
	takeAll(l, now)
	var last time.Duration
	for n := 1; n <= 300; n++ {
		wait, ok := l.Take(now, "w", 1, 0)
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(BeNumerically(">=", last))
		g.Expect(wait).To(BeNumerically(">=", time.Duration(float64(n)/rate*float64(time.Second))), "request %d", n)
		last = wait
	}
}

// Guards against a workspace that gets its whole quota at each instance.
func TestInstancesShareOneQuota(t *testing.T) {
	g := NewWithT(t)
	ledgers := map[core.InstanceID]*quota.Ledger{}
	for _, id := range []core.InstanceID{"a", "b", "c"} {
		ledgers[id] = newLedger(begin.Add(-window))
	}
	exchange(begin, ledgers)
	total := 0.0
	for _, id := range []core.InstanceID{"a", "b", "c"} {
		total += takeAll(ledgers[id], begin)
		exchange(begin, ledgers)
	}
	g.Expect(total).To(BeNumerically("==", limit))
}

// Guards against each side of a partition using the whole remaining quota. The shares follow from the number of
// instances on each side.
func TestPartition(t *testing.T) {
	for _, c := range []struct {
		name   string
		used   float64 // units used before the partition
		shares []float64
	}{
		{"one of six cut off, nothing used", 0, []float64{5.0 / 6, 1.0 / 6}},
		{"one of six cut off, half used", limit / 2, []float64{5.0 / 6, 1.0 / 6}},
		{"three sides", limit / 3, []float64{0.5, 0.25, 0.25}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sides := map[core.InstanceID]*quota.Ledger{}
			names := []core.InstanceID{"a", "b", "c"}[:len(c.shares)]
			for _, n := range names {
				sides[n] = newLedger(begin.Add(-window))
			}
			for range int(c.used) {
				_, ok := sides["a"].Take(begin, "w", 1, 0)
				g.Expect(ok).To(BeTrue())
			}
			exchange(begin, sides)
			now := begin.Add(time.Second)
			total := c.used
			for i, n := range names {
				sides[n].SetShare(c.shares[i])
				total += takeAll(sides[n], now)
			}
			g.Expect(total).To(And(BeNumerically("<=", limit), BeNumerically(">", limit-float64(len(names))-1)))
		})
	}
}

// Guards against a restarted instance that ignores what the others used before its start. In a rolling restart while one
// workspace asks for more than its quota, each restart would allow extra usage of up to half of the quota.
func TestRestartLearnsFromOlderInstances(t *testing.T) {
	g := NewWithT(t)
	old := newLedger(begin.Add(-window))
	g.Expect(takeAll(old, begin)).To(BeNumerically("==", limit))
	restarted := newLedger(begin.Add(time.Second))
	total := 0.0
	for now := begin.Add(time.Second); now.Before(begin.Add(window - window/16)); now = now.Add(100 * time.Millisecond) {
		both := map[core.InstanceID]*quota.Ledger{"old": old, "restarted": restarted}
		exchange(now, both)
		total += takeAll(restarted, now)
	}
	g.Expect(total).To(BeZero())
}

// Guards against granting the full quota after a restart of all instances without a record.
func TestRestartOfAllWithoutRecord(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(begin)
	total := 0.0
	for now := begin; now.Before(begin.Add(window / 2)); now = now.Add(100 * time.Millisecond) {
		total += takeAll(l, now)
	}
	// After half a window, the usage before the start is assumed to be 1 - 0.5² = 3/4 of the quota.
	g.Expect(total).To(BeNumerically("<=", limit/4))
}

// Guards against a restart of all instances that loses the usage, which a record restores, and against refusals
// although the record shows little usage.
func TestRestoreRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		used float64
	}{{"none", 0}, {"half", limit / 2}, {"full", limit}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger(begin.Add(-window))
			for range int(c.used) {
				l.Take(begin, "w", 1, 0)
			}
			now := begin.Add(3 * time.Second)
			r := l.Record(now)
			next := newLedger(now)
			g.Expect(next.Complete(now)).To(BeFalse(), "an incomplete record would overwrite the one to be restored")
			next.Restore(now, r)
			g.Expect(next.Complete(now)).To(BeTrue())
			g.Expect(takeAll(next, now)).To(BeNumerically("~", limit-c.used, 1))
		})
	}
}

// Guards against units that are lost or counted twice when a request does not run, or runs later than the time at which
// they were taken.
func TestRefundAndMoveUsage(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(begin.Add(-window))
	_, ok := l.Take(begin, "w", limit, 0)
	g.Expect(ok).To(BeTrue())
	later := begin.Add(2 * time.Second)
	l.MoveUsage(begin, later, "w", limit)
	g.Expect(takeAll(l, begin.Add(window+time.Second))).To(BeZero(), "units count from the time of sending")
	l.Refund(later, later, "w", limit)
	g.Expect(takeAll(l, later)).To(BeNumerically("==", limit))
}

// Guards against a delayed report of an earlier process that is counted as new usage.
func TestLateReportOfEarlierProcess(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(begin.Add(-window))
	l.ApplyReport(begin, "b", quota.Report{Start: begin, Used: quota.Usage{"w": 10}})
	l.ApplyReport(begin, "b", quota.Report{Start: begin.Add(-time.Minute), Used: quota.Usage{"w": 500}})
	g.Expect(takeAll(l, begin)).To(BeNumerically("==", limit-10))
}
