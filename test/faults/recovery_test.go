//go:build !race

package faults

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"

	"monsoondale/core/order"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/objectapi"
)

// startSteadyTraffic sends a request of the run's workload every 50 ms through an instance until stop is called.
func (r *run) startSteadyTraffic(name string) (stop func() []check.Answer) {
	var mu sync.Mutex
	var answers []check.Answer
	done := make(chan struct{})
	n := 0
	var running sync.WaitGroup
	running.Go(func() {
		for {
			n++
			key := fmt.Sprint("steady-", n)
			running.Go(func() {
				a := lo.TernaryF(r.workload == "order", func() check.Answer { return r.order(name, key) }, func() check.Answer { return r.chat(name, "draft", 5) })
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	return func() []check.Answer {
		close(done)
		running.Wait()
		return answers
	}
}

// heldUpThreshold is the time to the first text of a chat, or to the answer of an order, above which a fault held it up.
// Without a fault they take about 60 ms and 110 ms.
const heldUpThreshold = 300 * time.Millisecond

// lastHeldUp returns the number of requests that were held up or lost, and when the last of them began, counted from the
// fault.
func lastHeldUp(answers []check.Answer, faultAt time.Time) (last time.Duration, n int) {
	for _, a := range answers {
		if a.Start.Add(a.Duration).After(faultAt) && (!a.Complete() || max(a.FirstText, lo.Ternary(a.OrderKey != "", a.Duration, 0)) > heldUpThreshold) {
			n++
			last = max(last, a.Start.Sub(faultAt))
		}
	}
	return last, n
}

// frozenOwnerBound covers the freeze and the pings that detect it: each time that the suspicion of a listed owner ends
// (5 s) it is asked again.
const frozenOwnerBound = 9 * time.Second

// measurements run on the virtual clock. Each returns a duration, which must not exceed the bound, and a remark for the
// page.
var measurements = []struct {
	name    string
	bound   time.Duration
	measure func(r *run) (time.Duration, string)
}{
	{"no request is held up by a killed endpoint (listed for 4 s)", 8 * time.Second, measureHeldUp(endpoints, (*run).kill)},
	{"no request is held up by a frozen endpoint (frozen for 8 s)", 10 * time.Second, measureHeldUp(endpoints, freeze)},
	{"no request is held up by a killed owner", 6 * time.Second, measureHeldUp(owner, (*run).kill)},
	{"no request is held up by a frozen owner (frozen and listed for 8 s)", frozenOwnerBound, measureHeldUp(owner, freeze)},
	{"no order is held up by the killed owner of the only shard", 6 * time.Second, measureHeldUp(owner, (*run).kill)},
	{"no order is held up by the frozen owner of the only shard (frozen and listed for 8 s)", frozenOwnerBound, measureHeldUp(owner, freeze)},
	{"no order is held up by the leaving owner of the only shard", 3 * time.Second, measureHeldUp(owner, (*run).startShutdown)},
	{"no request is held up by a leaving owner", 3 * time.Second, measureHeldUp(owner, (*run).startShutdown)},
	{"a leaving endpoint gets no request any more", check.LeavingBound, func(r *run) (time.Duration, string) {
		stop := r.startSteadyTraffic(r.holder)
		time.Sleep(time.Second)
		begin, name := time.Now(), r.endpoints()[0]
		r.markLeaving(name)
		time.Sleep(6 * time.Second)
		stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		var last time.Duration
		for _, s := range r.history.Executions {
			if s.Endpoint == name && !s.Resumed {
				last = max(last, s.From.Sub(begin))
			}
		}
		return last, ""
	}},
	// The answer "unknown" has to wait until the claim is expired by every clock: its validity and 2 s for clock
	// differences. Otherwise a caller who finds no order after this answer could place it again while the first one can
	// still be dispatched.
	{"the key of an order whose holder died is answered definitely (killed instance listed for 1 s)", order.ClaimValidity + 3*time.Second, func(r *run) (time.Duration, string) {
		r.arm("sent", "subject", func() { r.kill(r.holder) })
		r.traffic.Go(func() { r.order(r.holder, "subject") })
		<-r.injected
		begin := time.Now()
		time.AfterFunc(time.Second, r.removeDead)
		for {
			a := r.order(r.otherInstances()[0], "subject")
			if a.Complete() || a.Error != nil && a.Error.Class == "unknown" {
				return time.Since(begin), outcome(a)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}},
	{"the key of an order that was not run is usable again after an outage of the object API", 15 * time.Second, func(r *run) (time.Duration, string) {
		r.fleet.Objects.SetFault(objectapi.Fault{Hang: true})
		first := r.order(r.holder, "subject")
		time.Sleep(faultTime)
		r.fleet.Objects.SetFault(objectapi.Fault{})
		begin := time.Now()
		for a := r.order(r.owner, "subject"); !a.Complete(); a = r.order(r.owner, "subject") {
			time.Sleep(20 * time.Millisecond)
		}
		return time.Since(begin), "first answer: " + outcome(first)
	}},
	{"a configuration is in force on the last instance", check.InForceBound, measureInForce(objectapi.Fault{})},
	{"a configuration is in force on the last instance, object API down since its acceptance", check.InForceBound, measureInForce(objectapi.Fault{Down: true})},
	{"requests lost to the kill of one instance with 20 requests/s at each of 4", 0, func(r *run) (time.Duration, string) {
		stopTraffic := lo.Map(r.live(), func(name string, _ int) func() []check.Answer { return r.startSteadyTraffic(name) })
		names := r.live()
		time.Sleep(2 * time.Second)
		begin := time.Now()
		r.kill(names[0])
		time.Sleep(3 * time.Second)
		var lostAtKilled, lostAtOthers int
		for i, stop := range stopTraffic {
			lost := lo.CountBy(stop(), func(a check.Answer) bool {
				return !a.Complete() && a.Start.Before(begin)
			})
			if i == 0 {
				lostAtKilled = lost
			} else {
				lostAtOthers += lost
			}
		}
		if lostAtOthers > 0 {
			r.t.Errorf("%d requests of other instances were lost", lostAtOthers)
		}
		return 0, fmt.Sprintf("%d of the killed instance, %d of the others", lostAtKilled, lostAtOthers)
	}},
}

// measureHeldUp measures how long after a fault requests through the holder are held up.
func measureHeldUp(targets func(*run) []string, inject func(*run, string)) func(*run) (time.Duration, string) {
	return func(r *run) (time.Duration, string) {
		stop := r.startSteadyTraffic(r.holder)
		time.Sleep(2 * time.Second)
		faultAt := time.Now()
		inject(r, targets(r)[0])
		time.AfterFunc(faultTime, r.removeDead)
		time.Sleep(8 * time.Second)
		r.heal()
		answers := stop()
		last, n := lastHeldUp(answers, faultAt)
		lost := lo.CountBy(answers, func(a check.Answer) bool { return !a.Complete() })
		return last, fmt.Sprintf("%d held up, %d of them not answered completely", n, lost)
	}
}

// startShutdown shuts an instance down gracefully.
func (r *run) startShutdown(name string) {
	i := r.fleet.Instances[r.instanceIndex(name)]
	r.traffic.Go(func() { r.must(i.Stop(r.t.Context())) })
}

// measureInForce measures the time from the acceptance of a configuration until the last instance shows it. The fault
// begins after the acceptance.
func measureInForce(f objectapi.Fault) func(*run) (time.Duration, string) {
	return func(r *run) (time.Duration, string) {
		old := r.currentVersion(r.holder)
		r.must(r.putTemplate(r.holder, 1, old))
		accepted := time.Now()
		r.fleet.Objects.SetFault(f)
		var slowest time.Duration
		for _, i := range r.fleet.Instances {
			for r.shownVersion(i) != 1 {
				time.Sleep(time.Millisecond)
			}
			slowest = max(slowest, time.Since(accepted))
		}
		return slowest, ""
	}
}

// TestRecovery measures how long faults affect requests. It guards against times beyond the bounds.
func TestRecovery(t *testing.T) {
	rows := []string{"| figure | measured | bound | seen |", "|---|---|---|---|"}
	for _, m := range measurements {
		t.Run(m.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := start(t, options{workload: lo.Ternary(strings.Contains(m.name, "order"), "order", "chat")})
				d, seen := m.measure(r)
				for _, f := range r.finish() {
					t.Error(f)
				}
				if d > m.bound {
					t.Errorf("%s: %v, bound %v; %s", m.name, d, m.bound, seen)
				}
				rows = append(rows, fmt.Sprintf("| %s | %v | %s | %s |", m.name, d.Round(time.Millisecond),
					lo.Ternary(m.bound == 0, "none", m.bound.String()), seen))
			})
		})
	}
	page.add(t, "Recovery", strings.Join(slices.Clone(rows), "\n")+"\n")
}
