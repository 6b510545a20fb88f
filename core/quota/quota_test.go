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
	limit  = rate*8 + burst
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// ledger returns a ledger for one workspace whose process started a window before begin, so that all use is known.
func ledger(start time.Time) *quota.Ledger {
	l := quota.New(quota.Options{Window: window, Start: start})
	l.Configure([]route.Workspace{{ID: "w", Quota: route.Quota{Rate: rate, Burst: burst, ByTokens: true}}})
	return l
}

// drain takes single units until one is refused.
func drain(l *quota.Ledger, now time.Time) float64 {
	n := 0.0
	for {
		if _, ok := l.Take(now, "w", 1, 0); !ok {
			return n
		}
		n++
	}
}

// exchange lets each ledger hear all the others.
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

// Guards against more than the rate and the burst in any window, and against refusing what is within them.
func TestWindow(t *testing.T) {
	g := NewWithT(t)
	l := ledger(begin.Add(-window))
	g.Expect(drain(l, begin)).To(BeNumerically("==", limit))
	wait, ok := l.Take(begin, "w", 1, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", window, window/16))
	g.Expect(drain(l, begin.Add(window-window/32))).To(BeZero())
	g.Expect(drain(l, begin.Add(window+window/16))).To(BeNumerically("==", limit))
}

// Load: hot workspace. Guards against a quota that is used up by the least urgent requests, and against large requests
// that never fit because small ones take what leaves the window.
func TestUrgentRequestsKeepPartOfQuota(t *testing.T) {
	g := NewWithT(t)
	l := ledger(begin.Add(-window))
	var urgent, other, askedUrgent, askedOther float64
	for step := range 1000 { // each 20 ms for 20 s, of which the first 8 s fill the window
		now := begin.Add(time.Duration(step) * 20 * time.Millisecond)
		count := func(units, keep float64, asked, got *float64) {
			_, ok := l.Take(now, "w", units, keep)
			if now.Sub(begin) < window {
				return
			}
			*asked += units
			if ok {
				*got += units
			}
		}
		for range 4 {
			count(1, 0.1, &askedOther, &other)
		}
		if step%20 == 0 {
			count(30, 0, &askedUrgent, &urgent)
		}
	}
	g.Expect(urgent/askedUrgent).To(BeNumerically(">=", 0.9), "three quarters of the rate are asked for by urgent requests")
	g.Expect(other/askedOther).To(BeNumerically("<", 0.5), "%v of %v", other, askedOther)
}

// Load: hot workspace. Guards against callers that are all told to come back at once, of whom most are refused again.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	l := ledger(begin.Add(-window))
	for now := begin; now.Before(begin.Add(window)); now = now.Add(window / 32) {
		drain(l, now) // a steady use of the whole quota after the burst
	}
	now := begin.Add(2 * window)
	drain(l, now)
	var last time.Duration
	for n := 1; n <= 300; n++ {
		wait, ok := l.Take(now, "w", 1, 0)
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(BeNumerically(">=", last))
		g.Expect(wait).To(BeNumerically(">=", time.Duration(float64(n)/rate*float64(time.Second))), "request %d", n)
		last = wait
	}
}

// Guards against a workspace that uses its quota once on each instance.
func TestInstancesShareOneQuota(t *testing.T) {
	g := NewWithT(t)
	ledgers := map[core.InstanceID]*quota.Ledger{}
	for _, id := range []core.InstanceID{"a", "b", "c"} {
		ledgers[id] = ledger(begin.Add(-window))
	}
	exchange(begin, ledgers)
	total := 0.0
	for _, id := range []core.InstanceID{"a", "b", "c"} {
		total += drain(ledgers[id], begin)
		exchange(begin, ledgers)
	}
	g.Expect(total).To(BeNumerically("==", limit))
}

// Guards against both sides of a partition using the whole of what is left, with shares that follow the instances that
// each side hears.
func TestPartition(t *testing.T) {
	for _, c := range []struct {
		name   string
		used   float64 // before the partition
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
				sides[n] = ledger(begin.Add(-window))
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
				total += drain(sides[n], now)
			}
			g.Expect(total).To(And(BeNumerically("<=", limit), BeNumerically(">", limit-float64(len(names))-1)))
		})
	}
}

// Guards against a restarted instance that knows nothing of what the others used before its start: with instances that
// stop and start in series under a flood of one workspace, each restart added up to half of the quota.
func TestRestartLearnsFromOlderInstances(t *testing.T) {
	g := NewWithT(t)
	old := ledger(begin.Add(-window))
	g.Expect(drain(old, begin)).To(BeNumerically("==", limit))
	young := ledger(begin.Add(time.Second))
	total := 0.0
	for now := begin.Add(time.Second); now.Before(begin.Add(window - window/16)); now = now.Add(100 * time.Millisecond) {
		both := map[core.InstanceID]*quota.Ledger{"old": old, "young": young}
		exchange(now, both)
		total += drain(young, now)
	}
	g.Expect(total).To(BeZero())
}

// Guards against a full quota after the restart of all instances, when no record was read.
func TestRestartOfAll(t *testing.T) {
	g := NewWithT(t)
	l := ledger(begin)
	total := 0.0
	for now := begin; now.Before(begin.Add(window / 2)); now = now.Add(100 * time.Millisecond) {
		total += drain(l, now)
	}
	g.Expect(total).To(BeNumerically("<=", limit/4))
}

// Guards against a restart of all instances that forgets what was used: a record carries it over, and nothing is
// refused if the record says that little was used.
func TestRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		used float64
	}{{"unused", 0}, {"half", limit / 2}, {"full", limit}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := ledger(begin.Add(-window))
			for range int(c.used) {
				l.Take(begin, "w", 1, 0)
			}
			now := begin.Add(3 * time.Second)
			r := l.Record(now)
			next := ledger(now)
			g.Expect(next.Complete(now)).To(BeFalse(), "an incomplete record would replace the one to be restored")
			next.Restore(now, r)
			g.Expect(next.Complete(now)).To(BeTrue())
			g.Expect(drain(next, now)).To(BeNumerically("~", limit-c.used, 1))
		})
	}
}

// Guards against units that are lost or counted twice when a request does not run, or runs later than it was counted.
func TestReturnAndMove(t *testing.T) {
	g := NewWithT(t)
	l := ledger(begin.Add(-window))
	_, ok := l.Take(begin, "w", limit, 0)
	g.Expect(ok).To(BeTrue())
	later := begin.Add(2 * time.Second)
	l.Move(begin, later, "w", limit)
	g.Expect(drain(l, begin.Add(window+time.Second))).To(BeZero(), "counted when it was sent")
	l.Refund(later, later, "w", limit)
	g.Expect(drain(l, later)).To(BeNumerically("==", limit))
}

// Guards against a late datagram of an earlier process that makes use negative.
func TestLateReportOfEarlierProcess(t *testing.T) {
	g := NewWithT(t)
	l := ledger(begin.Add(-window))
	l.ApplyReport(begin, "b", quota.Report{Start: begin, Used: quota.Usage{"w": 10}})
	l.ApplyReport(begin, "b", quota.Report{Start: begin.Add(-time.Minute), Used: quota.Usage{"w": 500}})
	g.Expect(drain(l, begin)).To(BeNumerically("==", limit-10))
}
