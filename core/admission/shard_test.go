package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core"
	. "monsoondale/core/admission"
	"monsoondale/core/endpoint"
)

var start = time.Unix(1_000_000, 0)

// at returns the time d after the warm-up of a new owner.
func at(d time.Duration) time.Time { return start.Add(10*time.Second + d) }

func specs(n int) []endpoint.Spec {
	return lo.Map(lo.Range(n), func(i, _ int) endpoint.Spec {
		return endpoint.Spec{ID: core.EndpointID(fmt.Sprintf("e%d", i)), Pool: "chat", Address: fmt.Sprintf("e%d:1", i)}
	})
}

// newWarmShard returns a shard of n engines with the given number of slots each, ticked past its warm-up.
func newWarmShard(n, slots int, o Options) *Shard {
	o.Epoch, o.Endpoint.InitialSlots = "t", slots
	s := New(o)
	s.SetEndpoints(start, specs(n))
	for d := time.Duration(0); d < 10*time.Second; d += time.Second {
		s.Tick(start.Add(d))
	}
	return s
}

// runTicks ticks the shard as its control loop would and returns all effects.
func runTicks(s *Shard, from, to time.Duration) (es []Effect) {
	for d := from; d <= to; d += 50 * time.Millisecond {
		es = append(es, s.Tick(at(d))...)
	}
	return es
}

func ask(id string, t core.Tier) Ask {
	return Ask{Request: core.RequestID(id), Holder: "h", Workspace: "w", Caller: "c", Tier: t, Weight: 1, Prefill: 100, Decode: 50}
}

func grants(es []Effect) []Grant        { return effectsOf[Grant](es) }
func refusals(es []Effect) []Refuse     { return effectsOf[Refuse](es) }
func suspensions(es []Effect) []Suspend { return effectsOf[Suspend](es) }

func effectsOf[E Effect](es []Effect) []E {
	return lo.FilterMap(es, func(e Effect, _ int) (E, bool) { x, ok := e.(E); return x, ok })
}

func doneRelease(g Grant) Release {
	return Release{Grant: g.Grant, Request: g.Request, Outcome: OutcomeDone, Prefill: 100, Decode: 50, FirstToken: 20 * time.Millisecond, Total: time.Second}
}

// Guards against a less urgent ask overtaking a more urgent one.
func TestTiersAreServedInOrder(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	first := grants(s.Ask(at(0), ask("first", 3)))
	g.Expect(first).To(HaveLen(1))
	for _, tier := range []core.Tier{3, 1, 2, 0} {
		g.Expect(grants(s.Ask(at(0), ask(fmt.Sprint(tier), tier)))).To(BeEmpty())
	}
	held := first[0]
	for _, want := range []core.RequestID{"0", "1", "2", "3"} {
		next := grants(s.Release(at(time.Millisecond), doneRelease(held)))
		g.Expect(next).To(HaveLen(1))
		g.Expect(next[0].Request).To(Equal(want))
		held = next[0]
	}
}

// Guards against a workspace or caller that gets a larger share by queueing more asks.
func TestFairness(t *testing.T) {
	for _, c := range []struct {
		name string
		flow func(i int) (core.WorkspaceID, core.CallerID, core.Weight)
		want map[string]int // grants among the first 40
	}{
		{"workspaces by weight", func(i int) (core.WorkspaceID, core.CallerID, core.Weight) {
			return lo.Ternary[core.WorkspaceID](i%2 == 0, "a", "b"), "c", lo.Ternary[core.Weight](i%2 == 0, 3, 1)
		}, map[string]int{"a/c": 30, "b/c": 10}},
		{"callers of one workspace", func(i int) (core.WorkspaceID, core.CallerID, core.Weight) {
			return "a", lo.Ternary[core.CallerID](i%10 == 0, "small", "large"), 1
		}, map[string]int{"a/small": 20, "a/large": 20}},
		{"many callers of one workspace against one of another", func(i int) (core.WorkspaceID, core.CallerID, core.Weight) {
			if i%10 == 0 {
				return "b", "c", 1
			}
			return "a", core.CallerID(fmt.Sprint(i % 10)), 1
		}, map[string]int{"b/c": 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newWarmShard(1, 1, Options{})
			held := grants(s.Ask(at(0), ask("first", 1)))[0]
			flows := map[core.RequestID]string{}
			for i := range 400 {
				a := ask(fmt.Sprint(i), 1)
				a.Workspace, a.Caller, a.Weight = c.flow(i)
				flows[a.Request] = string(a.Workspace) + "/" + string(a.Caller)
				s.Ask(at(0), a)
			}
			got := map[string]int{}
			for range 40 {
				held = grants(s.Release(at(time.Second), doneRelease(held)))[0]
				got[flows[held.Request]]++
			}
			for flow, n := range c.want {
				g.Expect(got[flow]).To(BeNumerically("~", n, 1), "%s of %v", flow, got)
			}
		})
	}
}

// Guards against a caller that accumulates credit while it is idle and then delays others.
func TestIdleCallerGainsNoCredit(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	held := grants(s.Ask(at(0), ask("first", 1)))[0]
	busy := func(id string) Ask { a := ask(id, 1); a.Caller = "busy"; return a }
	for i := range 100 {
		s.Ask(at(0), busy(fmt.Sprint("busy", i)))
	}
	for range 50 { // the other caller is idle
		held = grants(s.Release(at(time.Second), doneRelease(held)))[0]
	}
	for i := range 50 {
		s.Ask(at(time.Second), ask(fmt.Sprint("idle", i), 1))
	}
	n := 0
	for range 20 {
		held = grants(s.Release(at(time.Second), doneRelease(held)))[0]
		if strings.HasPrefix(string(held.Request), "idle") {
			n++
		}
	}
	g.Expect(n).To(BeNumerically("~", 10, 1))
}

// Guards against a caller that gains by using more tokens than estimated. The difference is charged at release.
func TestUnderstatedTokensAreCharged(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	held := grants(s.Ask(at(0), ask("first", 1)))[0]
	owner := map[core.RequestID]core.CallerID{}
	for i := range 200 {
		a := ask(fmt.Sprint(i), 1)
		a.Caller = lo.Ternary[core.CallerID](i%2 == 0, "honest", "understated")
		owner[a.Request] = a.Caller
		s.Ask(at(0), a)
	}
	n := map[core.CallerID]int{}
	for range 40 {
		r := doneRelease(held)
		if owner[held.Request] == "understated" {
			r.Decode = 350 // three times the estimate of 150 tokens
		}
		held = grants(s.Release(at(time.Second), r))[0]
		n[owner[held.Request]]++
	}
	g.Expect(n["honest"]).To(BeNumerically("~", 30, 2))
}

// Guards against a repeated ask that gets a second slot, and against losing a request after a repeat.
func TestAskIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(2, 1, Options{})
	first := grants(s.Ask(at(0), ask("a", 1)))
	g.Expect(grants(s.Ask(at(1), ask("a", 1)))).To(Equal(first))
	s.Ask(at(2), ask("b", 1))
	s.Ask(at(3), ask("c", 1))
	g.Expect(s.Ask(at(4), ask("c", 1))).To(BeEmpty())
	g.Expect(s.Stats().Queued[1]).To(Equal(1))
	// A repeat that excludes the granted endpoint releases its slot and gets another endpoint when one is free.
	again := ask("a", 1)
	again.Exclude = []core.EndpointID{first[0].Endpoint}
	g.Expect(s.Stats().Running[1]).To(Equal(2))
	for _, e := range grants(s.Ask(at(5), again)) {
		g.Expect(e.Endpoint).NotTo(Equal(first[0].Endpoint))
	}
	g.Expect(s.Release(at(6), doneRelease(first[0]))).To(BeEmpty(), "an old grant must not free the slot twice")
}

// Guards against dispatching work whose first token would miss its deadline, and against refusal codes of another class.
func TestEarlyRefusal(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	held := grants(s.Ask(at(0), ask("first", 3)))[0]
	held = grants(append(s.Release(at(time.Second), doneRelease(held)), s.Ask(at(time.Second), ask("second", 3))...))[0]
	a := ask("too late", 3)
	a.Deadline = at(1100 * time.Millisecond)
	rs := refusals(s.Ask(at(time.Second), a))
	g.Expect(rs).To(HaveLen(1))
	g.Expect(rs[0].Err.Code).To(Equal(core.CodeDeadline))
	g.Expect(rs[0].Err.Code.Class()).To(Equal(core.ClassNotRun))
	g.Expect(rs[0].Err.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(held.Request).To(BeEquivalentTo("second"))
}

// Guards against shedding a tier while a lower tier runs here or may run at another candidate.
func TestSheddingNeedsConfirmation(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	low := ask("low", 2)
	low.Once = true // cannot be suspended
	held := grants(s.Ask(at(0), low))[0]
	a := ask("urgent", 0)
	a.Deadline = at(100 * time.Millisecond)
	es := s.Ask(at(10*time.Millisecond), a)
	es = append(es, s.Tick(at(200*time.Millisecond))...)
	g.Expect(effectsOf[ConfirmFloor](es)).To(ContainElement(ConfirmFloor{Tier: 0}))
	g.Expect(suspensions(es)).To(BeEmpty())
	g.Expect(refusals(s.FloorConfirmed(at(300*time.Millisecond), 0, at(380*time.Millisecond)))).To(BeEmpty(), "lower-tier work still runs here")
	// The slot of the lower-tier request goes to the urgent one. Now only the confirmation is missing.
	g.Expect(grants(s.Release(at(400*time.Millisecond), doneRelease(held)))[0].Request).To(BeEquivalentTo("urgent"))
	b := ask("late", 0)
	b.Deadline = at(500 * time.Millisecond)
	es = append(s.Ask(at(410*time.Millisecond), b), runTicks(s, 450*time.Millisecond, 2500*time.Millisecond)...)
	g.Expect(refusals(es)).To(BeEmpty())
	g.Expect(effectsOf[ConfirmFloor](es)).NotTo(BeEmpty())
	g.Expect(refusals(s.FloorConfirmed(at(2600*time.Millisecond), 0, at(4*time.Second)))).To(HaveLen(1))
}

// Guards against an urgent ask that misses its deadline while idempotent lower-tier work runs, and against a suspended
// request that loses its position in the queue.
func TestSuspension(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 2, Options{})
	big, small := ask("big", 3), ask("small", 3)
	big.Prefill = 10000
	s.Ask(at(0), big)
	s.Ask(at(0), small)
	s.Ask(at(0), ask("queued", 3))
	a := ask("urgent", 0)
	a.Deadline = at(2500 * time.Millisecond)
	runTicks(s, 0, 1900*time.Millisecond)
	es := append(s.Ask(at(1900*time.Millisecond), a), runTicks(s, 1950*time.Millisecond, 2500*time.Millisecond)...)
	sus := suspensions(es)
	g.Expect(sus).NotTo(BeEmpty())
	g.Expect(sus[0].Request).To(BeEquivalentTo("small"), "less work to repeat than for the long prompt")
	next := grants(s.Release(at(2500*time.Millisecond), Release{Grant: sus[0].Grant, Request: "small", Outcome: OutcomeSuspended, Prefill: 100, Decode: 10}))
	g.Expect(next).To(HaveLen(1))
	g.Expect(next[0].Request).To(BeEquivalentTo("urgent"))
	back := ask("small", 3)
	back.Pin = "e0"
	g.Expect(grants(s.Ask(at(2510*time.Millisecond), back))).To(BeEmpty())
	resumed := grants(s.Release(at(3*time.Second), doneRelease(next[0])))
	g.Expect(resumed).To(HaveLen(1))
	g.Expect(resumed[0].Request).To(BeEquivalentTo("small"), "resumed before the ask that was queued earlier")
}

// Guards against a full queue that sheds urgent work first, and against an unbounded queue.
func TestQueueBound(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{MaxQueued: 3})
	s.Ask(at(0), ask("running", 0))
	for i, tier := range []core.Tier{3, 0, 3, 1, 0} {
		s.Ask(at(0), ask(fmt.Sprint(i), tier))
	}
	g.Expect(s.Stats().Queued).To(Equal([core.Tiers]int{2, 1, 0, 0}))
}

// Guards against a dead holder that keeps its slots, and against a live one that loses them.
func TestHolderTimeout(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	s.Ask(at(0), ask("a", 1))
	s.Ask(at(0), ask("b", 1))
	y := Sync{Holder: "h", Count: 1, Digest: xxhash.Sum64String("a")}
	for i := range 8 {
		g.Expect(s.Tick(at(time.Duration(i) * time.Second))).To(BeEmpty())
		g.Expect(s.Sync(at(time.Duration(i)*time.Second), y)).To(BeEmpty())
	}
	var es []Effect
	for i := 8; i < 12; i++ {
		es = append(es, s.Tick(at(time.Duration(i)*time.Second))...)
	}
	g.Expect(es).To(BeEmpty())
	g.Expect(grants(s.Tick(at(12 * time.Second)))).To(HaveLen(1))
}

// Guards against a new owner that ignores work which already runs.
func TestAdoption(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{Epoch: "new", Endpoint: endpoint.Options{InitialSlots: 1}})
	s.SetEndpoints(start, specs(1))
	g.Expect(s.RunningBelow(0)).To(Equal(1), "running work is unknown until the holders have sent a sync")
	y := Sync{Holder: "h", Count: 1, Digest: xxhash.Sum64String("a")}
	g.Expect(s.Sync(start, y)).To(Equal([]Effect{RequestSync{Holder: "h"}}))
	y.Full, y.Running = true, []Running{{Request: "a", Grant: "old-1", Endpoint: "e0", Tier: 2, Workspace: "w", Caller: "c"}}
	s.Sync(start, y)
	g.Expect(s.Stats().Running[2]).To(Equal(1))
	g.Expect(grants(s.Ask(start, ask("b", 1)))).To(BeEmpty(), "the only slot is in use")
	g.Expect(grants(s.Ask(start, ask("a", 2)))[0].Grant).To(BeEquivalentTo("old-1"))
	next := grants(s.Release(start.Add(time.Second), Release{Grant: "old-1", Request: "a", Outcome: OutcomeDone}))
	g.Expect(next).To(HaveLen(1))
	y.Running = nil
	s.Sync(start.Add(time.Second), y)
	g.Expect(s.Stats().Running[1]).To(Equal(1), "a full sync must not end a grant that may be in transit")
}

// Guards against grants on leaving endpoints, and against asks that wait for removed endpoints.
func TestLeavingEndpoints(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(2, 4, Options{})
	list := specs(2)
	list[0].Leaving = true
	s.SetEndpoints(at(0), list)
	for i := range 4 {
		g.Expect(grants(s.Ask(at(0), ask(fmt.Sprint(i), 1)))[0].Endpoint).To(BeEquivalentTo("e1"))
	}
	g.Expect(grants(s.Ask(at(0), ask("waits", 1)))).To(BeEmpty())
	back := ask("resumed", 1)
	back.Pin = "e0"
	g.Expect(grants(s.Ask(at(0), back))).To(HaveLen(1), "a resumed request continues on its endpoint")
	rs := refusals(s.SetEndpoints(at(time.Second), nil))
	g.Expect(rs).To(HaveLen(1))
	g.Expect(rs[0].Err.Code).To(Equal(core.CodeNoEndpoint))
}

// Guards against an owner that acts on old grants after a pause of its process.
func TestPauseDropsGrantsAndAsks(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	s.Ask(at(0), ask("a", 1))
	s.Ask(at(0), ask("b", 1))
	rs := refusals(s.Tick(at(4 * time.Second)))
	g.Expect(rs).To(HaveLen(1))
	g.Expect(rs[0].Err.Code).To(Equal(core.CodeNotReady))
	g.Expect(s.Stats().Running[1]).To(BeZero())
	g.Expect(s.RunningBelow(0)).To(Equal(1))
}

// Guards against running work of the lowest tier whose first token would be late even on an idle endpoint, and against
// raising a floor for such a deadline.
func TestImpossibleDeadline(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{})
	held := grants(s.Ask(at(0), ask("0", 3)))[0]
	for i := range 8 { // until the rates are known
		s.Ask(at(0), ask(string(rune('a'+i)), 3))
		r := doneRelease(held)
		held = grants(s.Release(at(0), r))[0]
	}
	runTicks(s, time.Second, time.Second)
	long := ask("long", 3)
	long.Prefill, long.Deadline = 1_000_000, at(3*time.Second)
	g.Expect(refusals(s.Ask(at(time.Second), long))).To(HaveLen(1))
	long.Request, long.Tier = "urgent", 0
	es := s.Ask(at(time.Second), long)
	g.Expect(refusals(es)).To(BeEmpty())
	g.Expect(effectsOf[ConfirmFloor](es)).To(BeEmpty(), "no floor for an unreachable deadline")
}

// Guards against a flood of urgent work that starves the lowest tier, and against using the reserve while a floor is in
// force or lower-tier work is suspended.
func TestAgingReserve(t *testing.T) {
	for _, c := range []struct {
		name  string
		floor bool
		stop  bool // a request of tier 2 is suspended
		low   int  // expected running requests of the lowest tier at the end
	}{{"flood", false, false, 1}, {"flood with a floor", true, false, 0}, {"flood with a suspension", false, true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newWarmShard(1, 4, Options{})
			var held []Grant
			if c.stop {
				held = grants(s.Ask(at(0), ask("victim", 2)))
			}
			for i := range 200 {
				held = append(held, grants(s.Ask(at(0), ask(fmt.Sprint(i), 0)))...)
			}
			for i := range 3 {
				s.Ask(at(0), ask(fmt.Sprint("low", i), 3))
			}
			runTicks(s, 0, 2500*time.Millisecond)
			if c.floor {
				s.ApplyFloor(at(2500*time.Millisecond), 0, at(4*time.Second))
			}
			if c.stop {
				a := ask("late", 0)
				a.Deadline = at(2700 * time.Millisecond)
				g.Expect(suspensions(s.Ask(at(2500*time.Millisecond), a))).To(HaveLen(1))
			}
			for _, x := range held { // every slot is released and granted again
				s.Release(at(2500*time.Millisecond), doneRelease(x))
			}
			g.Expect(s.Stats().Running[3]).To(Equal(c.low))
		})
	}
}

// Guards against suspending work that is more urgent than other running work.
func TestSuspensionTakesTheLowestTier(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 2, Options{})
	big := ask("lowest", 3)
	big.Prefill = 10000
	s.Ask(at(0), big)
	s.Ask(at(0), ask("middle", 2))
	runTicks(s, 0, 1900*time.Millisecond)
	a := ask("urgent", 1)
	a.Deadline = at(2100 * time.Millisecond)
	sus := suspensions(s.Ask(at(1900*time.Millisecond), a))
	g.Expect(sus).To(HaveLen(1))
	g.Expect(sus[0].Request).To(BeEquivalentTo("lowest"))
}

// Guards against a caller that uses all slots, so that the next request of another caller has to wait.
func TestLightCallersHaveReservedSlots(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(5, 8, Options{})
	light := ask("light", 1)
	light.Decode = 100000 // charges the caller, so that it comes last
	s.Ask(at(0), light)
	for i := range 60 {
		a := ask(fmt.Sprint(i), 1)
		a.Caller = "heavy"
		s.Ask(at(0), a)
	}
	g.Expect(s.Stats().Free).To(Equal(3), "8 % of 40 slots")
	g.Expect(grants(s.Ask(at(0), ask("lower", 2)))).To(BeEmpty(), "reserved slots are not for less urgent tiers")
	g.Expect(grants(s.Ask(at(0), ask("light again", 1)))).To(HaveLen(1))
}

// Guards against placing an urgent request behind a long prefill when a slot of another endpoint is about to become free.
func TestWaitsForBetterSlot(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(2, 8, Options{})
	long := ask("long", 3)
	long.Prefill = 40000
	first := grants(s.Ask(at(0), long))[0].Endpoint
	var held []Grant
	for i := range 8 { // fills the other endpoint
		a := ask(fmt.Sprint(i), 3)
		a.Exclude = []core.EndpointID{first}
		held = append(held, grants(s.Ask(at(0), a))...)
	}
	g.Expect(held).To(HaveLen(8))
	g.Expect(grants(s.Ask(at(0), ask("urgent", 0)))).To(BeEmpty())
	got := grants(s.Release(at(50*time.Millisecond), doneRelease(held[0])))
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Endpoint).NotTo(Equal(first))
}

// Guards against a full queue that sheds the asks of small callers instead of those of the caller that filled it.
func TestFullQueueShedsLargestCaller(t *testing.T) {
	g := NewWithT(t)
	s := newWarmShard(1, 1, Options{MaxQueued: 10})
	s.Ask(at(0), ask("running", 3))
	var es []Effect
	for i := range 30 {
		a := ask(fmt.Sprint(i), 3)
		a.Caller = lo.Ternary[core.CallerID](i%10 == 0, "a small one", "large")
		es = append(es, s.Ask(at(0), a)...)
	}
	g.Expect(refusals(es)).To(HaveLen(20))
	for _, r := range refusals(es) {
		g.Expect(r.Request).NotTo(BeElementOf(core.RequestID("0"), core.RequestID("10"), core.RequestID("20")))
		g.Expect(r.Err.Code).To(Equal(core.CodeOverloaded))
	}
}
