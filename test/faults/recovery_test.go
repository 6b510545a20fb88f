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

// steady sends a request of the run's work every 50 ms through an instance until the returned function is called.
func (r *run) steady(at string) (stop func() []check.Answer) {
	var mu sync.Mutex
	var answers []check.Answer
	done := make(chan struct{})
	n := 0
	var open sync.WaitGroup
	open.Go(func() {
		for {
			n++
			key := fmt.Sprint("steady-", n)
			open.Go(func() {
				a := lo.TernaryF(r.work == "order", func() check.Answer { return r.order(at, key) }, func() check.Answer { return r.chat(at, "draft", 5) })
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
		open.Wait()
		return answers
	}
}

// slowest is the time to the first text of a chat or the answer to an order above which it was held up by the fault;
// without one they take some 60 ms and 110 ms.
const slowest = 300 * time.Millisecond

// heldUp returns when the last request that was held up or lost began, counted from the fault, and their number.
func heldUp(answers []check.Answer, at time.Time) (last time.Duration, n int) {
	for _, a := range answers {
		if a.Start.Add(a.Duration).After(at) && (!a.Complete() || max(a.FirstText, lo.Ternary(a.OrderKey != "", a.Duration, 0)) > slowest) {
			n++
			last = max(last, a.Start.Sub(at))
		}
	}
	return last, n
}

// frozenOwner is the time of the freeze and of the pings that notice it: each time that the suspicion of a listed owner
// ends (5 s) it is asked again.
const frozenOwner = 9 * time.Second

// recoveries measure on the virtual clock. Each returns the value that the page shows.
var recoveries = []struct {
	name    string
	bound   time.Duration
	measure func(r *run) (time.Duration, string)
}{
	{"no request is held up by a killed endpoint (listed for 4 s)", 8 * time.Second, struckAt(endpoints, (*run).kill)},
	{"no request is held up by a frozen endpoint (frozen for 8 s)", 10 * time.Second, struckAt(endpoints, freeze)},
	{"no request is held up by a killed owner", 6 * time.Second, struckAt(owner, (*run).kill)},
	{"no request is held up by a frozen owner (frozen and listed for 8 s)", frozenOwner, struckAt(owner, freeze)},
	{"no order is held up by the killed owner of the only shard", 6 * time.Second, struckAt(owner, (*run).kill)},
	{"no order is held up by the frozen owner of the only shard (frozen and listed for 8 s)", frozenOwner, struckAt(owner, freeze)},
	{"no order is held up by the leaving owner of the only shard", 3 * time.Second, struckAt(owner, (*run).shutdown)},
	{"no request is held up by a leaving owner", 3 * time.Second, struckAt(owner, (*run).shutdown)},
	{"a leaving endpoint gets no request any more", check.LeavingBound, func(r *run) (time.Duration, string) {
		stop := r.steady(r.holder)
		time.Sleep(time.Second)
		at, name := time.Now(), r.endpoints()[0]
		r.leave(name)
		time.Sleep(6 * time.Second)
		stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		var last time.Duration
		for _, s := range r.record.Executions {
			if s.Endpoint == name && !s.Resumed {
				last = max(last, s.From.Sub(at))
			}
		}
		return last, ""
	}},
	// The answer "unknown" has to wait until no clock lets the claim lead to a dispatch any more: its validity and 2 s for
	// the difference of the clocks. Otherwise a caller that finds no order after this answer could place it anew, and the
	// first one would still run.
	{"the key of an order whose holder died is answered definitely (killed instance listed for 1 s)", order.ClaimValidity + 3*time.Second, func(r *run) (time.Duration, string) {
		r.arm("sent", "subject", func() { r.kill(r.holder) })
		r.traffic.Go(func() { r.order(r.holder, "subject") })
		<-r.struck
		at := time.Now()
		time.AfterFunc(time.Second, r.removed)
		for {
			a := r.order(r.others()[0], "subject")
			if a.Complete() || a.Error != nil && a.Error.Class == "unknown" {
				return time.Since(at), outcome(a)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}},
	{"the key of an order that was not run is usable again after an outage of the object API", 15 * time.Second, func(r *run) (time.Duration, string) {
		r.f.Objects.SetFault(objectapi.Fault{Hang: true})
		first := r.order(r.holder, "subject")
		time.Sleep(faultTime)
		r.f.Objects.SetFault(objectapi.Fault{})
		at := time.Now()
		for a := r.order(r.owner, "subject"); !a.Complete(); a = r.order(r.owner, "subject") {
			time.Sleep(20 * time.Millisecond)
		}
		return time.Since(at), "first answer: " + outcome(first)
	}},
	{"a configuration is in force on the last instance", check.InForceBound, inForce(objectapi.Fault{})},
	{"a configuration is in force on the last instance, object API down since its acceptance", check.InForceBound, inForce(objectapi.Fault{Down: true})},
	{"requests lost to the kill of one instance with 20 requests/s at each of 4", 0, func(r *run) (time.Duration, string) {
		stops := lo.Map(r.live(), func(name string, _ int) func() []check.Answer { return r.steady(name) })
		names := r.live()
		time.Sleep(2 * time.Second)
		at := time.Now()
		r.kill(names[0])
		time.Sleep(3 * time.Second)
		var there, others int
		for i, stop := range stops {
			lost := lo.CountBy(stop(), func(a check.Answer) bool {
				return !a.Complete() && a.Start.Before(at)
			})
			if i == 0 {
				there = lost
			} else {
				others += lost
			}
		}
		if others > 0 {
			r.t.Errorf("%d requests of other instances were lost", others)
		}
		return 0, fmt.Sprintf("%d of the killed instance, %d of the others", there, others)
	}},
}

func struckAt(of func(*run) []string, f func(*run, string)) func(*run) (time.Duration, string) {
	return func(r *run) (time.Duration, string) {
		stop := r.steady(r.holder)
		time.Sleep(2 * time.Second)
		at := time.Now()
		f(r, of(r)[0])
		time.AfterFunc(faultTime, r.removed)
		time.Sleep(8 * time.Second)
		r.heal()
		answers := stop()
		last, n := heldUp(answers, at)
		lost := lo.CountBy(answers, func(a check.Answer) bool { return !a.Complete() })
		return last, fmt.Sprintf("%d held up, %d of them not answered completely", n, lost)
	}
}

// shutdown lets an instance end gracefully.
func (r *run) shutdown(name string) {
	i := r.f.Instances[r.index(name)]
	r.traffic.Go(func() { r.must(i.Stop(r.t.Context())) })
}

func inForce(f objectapi.Fault) func(*run) (time.Duration, string) {
	return func(r *run) (time.Duration, string) {
		old := r.current(r.holder)
		r.must(r.change(r.holder, 1, old))
		at := time.Now()
		r.f.Objects.SetFault(f)
		var slowest time.Duration
		for _, i := range r.f.Instances {
			for r.shown(i) != 1 {
				time.Sleep(time.Millisecond)
			}
			slowest = max(slowest, time.Since(at))
		}
		return slowest, ""
	}
}

// TestRecovery measures how long faults are felt, and guards against times beyond the bounds.
func TestRecovery(t *testing.T) {
	rows := []string{"| figure | measured | bound | seen |", "|---|---|---|---|"}
	for _, m := range recoveries {
		t.Run(m.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := start(t, options{work: lo.Ternary(strings.Contains(m.name, "order"), "order", "chat")})
				d, seen := m.measure(r)
				for _, f := range r.end() {
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
	page.section(t, "Recovery", strings.Join(slices.Clone(rows), "\n")+"\n")
}
