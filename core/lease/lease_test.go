package lease_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/core/lease"
	"monsoondale/core/object/objecttest"
	"monsoondale/wire/engine"
)

// clock is the clock of an instance, which may differ from that of others.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func newLease(s lease.Store, id core.InstanceID, offset time.Duration) *lease.Lease {
	c := &clock{}
	c.offset.Store(int64(offset))
	return lease.New(lease.Options{Store: s, Self: id, Pool: "drafting", Now: c.now})
}

func holds(l *lease.Lease) bool { _, ok := l.CommandFence(); return ok }

// Guards against two instances that may send commands at the same time, under clock offsets, pauses, lost and late writes
// and any order of steps.
func TestAtMostOneHolderSends(t *testing.T) {
	for seed := range 30 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &objecttest.Store{LateDelay: 7 * time.Second}
				s.SetLatency(10 * time.Millisecond)
				t.Cleanup(s.WaitLate)
				r := uint64(seed)*2654435761 + 12345
				var mu sync.Mutex
				next := func(n uint64) uint64 {
					mu.Lock()
					defer mu.Unlock()
					r = r*6364136223846793005 + 1442695040888963407
					return (r >> 33) % n
				}
				s.SetFaultFunc(func(objecttest.Call) objecttest.Fault {
					return []objecttest.Fault{0, 0, 0, 0, objecttest.Lost, objecttest.Late, objecttest.Dropped, objecttest.Down}[next(8)]
				})
				leases := []*lease.Lease{newLease(s, "a", 0), newLease(s, "b", time.Hour), newLease(s, "c", -24*time.Hour)}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				var wg sync.WaitGroup
				for _, l := range leases {
					wg.Go(func() {
						for ctx.Err() == nil {
							_ = l.Step(ctx) // faults are expected
							pause := l.StepInterval()
							if next(10) == 0 {
								pause = time.Duration(next(40)) * time.Second // paused
							}
							time.Sleep(pause)
						}
					})
				}
				var fence core.Fence
				var held int
				for ctx.Err() == nil {
					n := 0
					for _, l := range leases {
						if f, ok := l.CommandFence(); ok {
							n++
							g.Expect(f).To(BeNumerically(">=", fence), "fences never decrease")
							fence = f
						}
					}
					g.Expect(n).To(BeNumerically("<=", 1))
					held += n
					time.Sleep(100 * time.Millisecond)
				}
				wg.Wait()
				g.Expect(held).To(BeNumerically(">", 100), "the lease is held part of the time")
			})
		})
	}
}

// Guards against a holder that sends after its lease expired during a pause, and against a successor that takes over early.
func TestExpiryAndTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		s := &objecttest.Store{}
		a, b := newLease(s, "a", 0), newLease(s, "b", -time.Hour)
		g.Expect(a.Step(ctx)).To(Succeed())
		g.Expect(b.Step(ctx)).To(Succeed())
		fa, ok := a.CommandFence()
		g.Expect(ok).To(BeTrue())
		time.Sleep(13*time.Second - time.Nanosecond) // a is paused from here
		g.Expect(holds(a)).To(BeTrue())
		time.Sleep(time.Nanosecond)
		g.Expect(holds(a)).To(BeFalse(), "2 s before the expiry")
		time.Sleep(4*time.Second - time.Nanosecond)
		g.Expect(b.Step(ctx)).To(Succeed())
		g.Expect(holds(b)).To(BeFalse(), "the record was unchanged for less than 17 s")
		time.Sleep(time.Nanosecond)
		g.Expect(b.Step(ctx)).To(Succeed())
		fb, ok := b.CommandFence()
		g.Expect(ok).To(BeTrue())
		g.Expect(fb).To(BeNumerically(">", fa))
		g.Expect(a.Step(ctx)).To(Succeed())
		g.Expect(holds(a)).To(BeFalse())
		g.Expect(b.Release(ctx)).To(Succeed())
		g.Expect(holds(b)).To(BeFalse())
		g.Expect(a.Step(ctx)).To(Succeed())
		fa, ok = a.CommandFence()
		g.Expect(ok).To(BeTrue(), "a released lease is free at once")
		g.Expect(fa).To(BeNumerically(">", fb))
		restarted := newLease(s, "a", 0)
		g.Expect(restarted.Step(ctx)).To(Succeed())
		g.Expect(holds(restarted)).To(BeFalse(), "a restarted process does not take over the lease of its predecessor")
	})
}

// fakeEngine is an engine that serves no model while it loads one, and reports the previous command until then.
type fakeEngine struct {
	fenced       bool
	current      engine.Order
	next         engine.Order // being loaded
	loading      int
	commandTimes []time.Time
}

// fakeEngines is a client of fake engines, by address.
type fakeEngines struct {
	mu          sync.Mutex
	loadTime    time.Duration // of each command
	loseAnswers bool          // responses to commands are lost
	applyGate   chan struct{} // if set, commands take effect once it is closed
	engines     map[string]*fakeEngine
}

func (f *fakeEngines) Orders(_ context.Context, address string) (engine.Order, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address].current, nil
}

func (f *fakeEngines) Order(_ context.Context, address string, o engine.Order) error {
	f.mu.Lock()
	m := f.engines[address]
	gate, loadTime := f.applyGate, f.loadTime
	if m.fenced && o.Fence < m.current.Fence {
		f.mu.Unlock()
		return lease.ErrFenced
	}
	m.commandTimes = append(m.commandTimes, time.Now())
	if fence := o.Fence; m.loading > 0 {
		o.Fence = m.next.Fence
		same := o == m.next
		o.Fence = fence
		if same { // commands are declarative, and this one is being executed
			f.mu.Unlock()
			if f.loseAnswers {
				return errors.New("connection reset")
			}
			return nil
		}
	}
	m.next = o
	m.loading++
	f.mu.Unlock()
	go func() {
		if gate != nil {
			<-gate
		}
		time.Sleep(loadTime)
		f.mu.Lock()
		defer f.mu.Unlock()
		m.loading--
		if !m.fenced || o.Fence >= m.current.Fence {
			m.current = o
		}
	}()
	if f.loseAnswers {
		return errors.New("connection reset")
	}
	return nil
}

func (f *fakeEngines) models() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]string{}
	for a, m := range f.engines {
		out[a] = m.current.Model
	}
	return out
}

// serving counts the engines that serve a model.
func (f *fakeEngines) serving(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.engines {
		if m.loading == 0 && m.current.Model == model {
			n++
		}
	}
	return n
}

func targets(models ...string) func() []lease.Target {
	return func() []lease.Target {
		var out []lease.Target
		for i, m := range models {
			id := fmt.Sprint("e", i)
			out = append(out, lease.Target{Endpoint: core.EndpointID(id), Address: id, Desired: lease.State{Model: m}})
		}
		return out
	}
}

func controller(l *lease.Lease, f *fakeEngines, desired func() []lease.Target, change func(*lease.ControllerOptions)) *lease.Controller {
	o := lease.ControllerOptions{Lease: l, Engine: f, Targets: desired, LoadLimiter: rate.NewLimiter(rate.Inf, 1), HasWaiting: func(string) bool { return false }}
	if change != nil {
		change(&o)
	}
	return lease.NewController(o)
}

// Guards against a delayed command of a former holder that stays in force at an engine that does not check the fence.
func TestLateCommandIsCorrected(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx := t.Context()
				s := &objecttest.Store{}
				f := &fakeEngines{applyGate: make(chan struct{}), engines: map[string]*fakeEngine{"e0": {fenced: fenced}}}
				a, b := newLease(s, "a", 0), newLease(s, "b", 0)
				ca, cb := controller(a, f, targets("old"), nil), controller(b, f, targets("new"), nil)
				g.Expect(a.Step(ctx)).To(Succeed())
				g.Expect(b.Step(ctx)).To(Succeed())
				g.Expect(ca.Reconcile(ctx)).To(Succeed()) // the engine applies the command only after the takeover
				delayed := f.applyGate
				f.applyGate = nil
				time.Sleep(18 * time.Second)
				g.Expect(ca.Reconcile(ctx)).To(Succeed())
				g.Expect(ca.Counters().Sent).To(BeEquivalentTo(1), "the lease expired")
				g.Expect(b.Step(ctx)).To(Succeed())
				g.Expect(cb.Reconcile(ctx)).To(Succeed())
				synctest.Wait()
				g.Expect(f.models()).To(HaveKeyWithValue("e0", "new"))
				close(delayed)
				synctest.Wait()
				if fenced {
					g.Expect(f.models()).To(HaveKeyWithValue("e0", "new"))
					return
				}
				g.Expect(f.models()).To(HaveKeyWithValue("e0", "old"))
				for range 40 {
					time.Sleep(b.StepInterval())
					g.Expect(b.Step(ctx)).To(Succeed())
					g.Expect(cb.Reconcile(ctx)).To(Succeed())
					synctest.Wait()
				}
				g.Expect(f.models()).To(HaveKeyWithValue("e0", "new"))
			})
		})
	}
}

// Guards against removing the last copy of a model while work waits for it, also while commands are pending or their
// responses are lost.
func TestLastCopyStays(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost ", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &fakeEngines{loadTime: 40 * time.Second, loseAnswers: lost, engines: map[string]*fakeEngine{
					"e0": {current: engine.Order{Model: "a"}}, "e1": {current: engine.Order{Model: "a"}}, "e2": {current: engine.Order{Model: "b"}}, "e3": {},
				}}
				// The only copy of b moves to a and both copies of a to b, at first only the second of them.
				var swapAll atomic.Bool
				targetsNow := func() []lease.Target {
					if swapAll.Load() {
						return targets("b", "b", "a", "c")()
					}
					return targets("a", "b", "a", "c")()
				}
				c := controller(newLease(&objecttest.Store{}, "a", 0), f, targetsNow, func(o *lease.ControllerOptions) {
					o.HasWaiting = func(string) bool { return true }
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { c.Run(ctx, nil); close(done) }()
				for i := range 6000 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(f.serving("a")).To(BeNumerically(">=", 1), "%v", f.models())
					g.Expect(f.serving("b")).To(BeNumerically(">=", 1), "%v", f.models())
					swapAll.Store(i > 50) // while the first command is pending
				}
				g.Expect(f.models()).To(Equal(map[string]string{"e0": "b", "e1": "b", "e2": "a", "e3": "c"}))
				cancel()
				<-done
			})
		})
	}
}

// Guards against loads that exceed the rate limit of the weight store.
func TestLoadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeEngines{loadTime: time.Second, engines: map[string]*fakeEngine{"e0": {}, "e1": {}, "e2": {}, "e3": {current: engine.Order{Model: "a", Role: "prefill"}}}}
		c := controller(newLease(&objecttest.Store{}, "a", 0), f, targets("a", "a", "a", "a"), func(o *lease.ControllerOptions) {
			o.LoadLimiter = rate.NewLimiter(rate.Every(20*time.Second), 1)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { c.Run(ctx, nil); close(done) }()
		time.Sleep(time.Minute + 10*time.Second)
		cancel()
		<-done
		var loadTimes []time.Time
		for _, id := range []string{"e0", "e1", "e2"} {
			g.Expect(f.engines[id].commandTimes).To(HaveLen(1))
			loadTimes = append(loadTimes, f.engines[id].commandTimes[0])
		}
		g.Expect(loadTimes[1].Sub(loadTimes[0])).To(BeNumerically(">=", 20*time.Second))
		g.Expect(loadTimes[2].Sub(loadTimes[1])).To(BeNumerically(">=", 20*time.Second))
		g.Expect(f.engines["e3"].commandTimes[0].Sub(loadTimes[0])).To(BeNumerically("<", time.Second), "a change of role loads nothing")
	})
}

// Guards against engines that refuse all further commands after the lease object was deleted and its fence started again.
func TestFenceIsRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		f := &fakeEngines{engines: map[string]*fakeEngine{"e0": {fenced: true, current: engine.Order{Fence: 41}}}}
		l := newLease(&objecttest.Store{}, "a", 0)
		c := controller(l, f, targets("a"), nil)
		g.Expect(l.Step(ctx)).To(Succeed())
		g.Expect(c.Reconcile(ctx)).To(Succeed())
		g.Expect(c.Reconcile(ctx)).To(Succeed())
		synctest.Wait()
		g.Expect(f.engines["e0"].current).To(Equal(engine.Order{Fence: 42, Model: "a"}))
	})
}
