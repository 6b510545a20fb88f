package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/membership"
	"monsoondale/wire/platform"
)

func instanceList(revision, entries int, leaving ...string) platform.Instances {
	l := platform.Instances{Revision: revision}
	for i := range entries {
		l.Items = append(l.Items, platform.Instance{
			Name: fmt.Sprint("i", i), Role: platform.InstanceRoleEntry, Region: "fi", Centre: fmt.Sprint("c", i%3), Address: fmt.Sprint("10.0.0.", i, ":1"),
			State: platform.InstanceStateLive,
		})
	}
	for i := range 2 {
		l.Items = append(l.Items, platform.Instance{
			Name: fmt.Sprint("e", i), Role: platform.InstanceRoleEngine, Region: "fi", Centre: "c0", Pool: "drafting", State: platform.InstanceStateLive, Fenced: i == 0,
		})
	}
	for i, it := range l.Items {
		if lo.Contains(leaving, it.Name) {
			l.Items[i].State = platform.InstanceStateLeaving
		}
	}
	return l
}

func ids(list []membership.Member) []core.InstanceID {
	return lo.Map(list, func(m membership.Member, _ int) core.InstanceID { return m.ID })
}

// Guards against an older list, from a slow poll or from gossip, that brings back a leaving endpoint or removes an instance.
func TestRevisionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	v := membership.New(membership.Options{Self: "i0", Region: "fi", Centre: "c0"})
	now := time.Now()
	g.Expect(v.Stale(now)).To(BeTrue())
	g.Expect(v.Apply(now, instanceList(5, 6, "e0", "i1"))).To(BeTrue())
	g.Expect(v.Apply(now, instanceList(4, 3))).To(BeFalse())
	g.Expect(v.Apply(now.Add(2*time.Second), instanceList(5, 3))).To(BeFalse())
	g.Expect(v.Stale(now.Add(2*time.Second + membership.StaleAfter - 1))).To(BeFalse())
	g.Expect(v.Stale(now.Add(2*time.Second + membership.StaleAfter))).To(BeTrue())
	g.Expect(v.Endpoints("fi", "drafting")[0].Leaving).To(BeTrue())
	g.Expect(v.Endpoints("fi", "drafting")[0].Fenced).To(BeTrue())
	g.Expect(v.Endpoints("elsewhere", "drafting")).To(BeEmpty())
	g.Expect(v.Pools("fi")).To(Equal([]core.Pool{"drafting"}))
	g.Expect(ids(v.Live(now, "fi"))).To(Equal([]core.InstanceID{"i0", "i2", "i3", "i4", "i5"}))
	g.Expect(v.Listed("i1")).To(BeTrue(), "a leaving holder may finish its orders")
	g.Expect(v.Listed("e0")).To(BeFalse())
	g.Expect(v.Apply(now, membership.ToInstances(v.Members()))).To(BeFalse())

	w := membership.New(membership.Options{Self: "i3"})
	g.Expect(w.Apply(now, membership.ToInstances(v.Members()))).To(BeTrue())
	g.Expect(w.Members()).To(Equal(v.Members()))

	g.Expect(v.Apply(now, instanceList(6, 1))).To(BeTrue())
	g.Expect(v.Listed("i1")).To(BeFalse())
	v.MarkLeaving()
	self, ok := v.Self()
	g.Expect(ok && self.Leaving).To(BeTrue())
	g.Expect(v.Live(now, "fi")).To(BeEmpty())
}

// Guards against a view that differs from the platform's list after gossip by deltas, whichever revisions a peer has seen.
func TestDeltas(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	lists := []platform.Instances{instanceList(3, 2), instanceList(4, 4, "e0"), instanceList(5, 3), instanceList(6, 5, "i1"), instanceList(7, 1, "e1")}
	for from := range lists {
		for to := from; to < len(lists); to++ {
			poller, reader := membership.New(membership.Options{Self: "i0"}), membership.New(membership.Options{Self: "i9"})
			for _, l := range lists[:to+1] {
				poller.Apply(now, l)
			}
			reader.Apply(now, lists[from])
			reader.Merge(now, poller.Delta(reader.Revision()))
			g.Expect(reader.Members()).To(Equal(poller.Members()), "from %d to %d", from, to)
		}
	}
	late, poller := membership.New(membership.Options{Self: "i9"}), membership.New(membership.Options{Self: "i0"})
	poller.Apply(now, lists[3])
	late.Apply(now, lists[0])
	late.Merge(now, poller.Delta(late.Revision()))
	g.Expect(late.Members()).To(Equal(poller.Members()), "the poller knows no older revision, so it sends the whole list")
}

// Guards against work sent to an instance that has just refused a dial, against avoiding an instance after it has recovered,
// and against taking a peer for silent that was not contacted or was heard before a pause of this instance.
func TestSuspectAndSilent(t *testing.T) {
	g := NewWithT(t)
	v := membership.New(membership.Options{Self: "i0", Centre: "c0"})
	now := time.Now()
	v.Apply(now, instanceList(1, 6))
	v.Suspect(now, "i1")
	v.Suspect(now, "i0")
	g.Expect(v.Suspected(now, "i0")).To(BeFalse(), "the own instance is never suspect")
	g.Expect(ids(v.Live(now, ""))).NotTo(ContainElement(core.InstanceID("i1")))
	g.Expect(v.Suspected(now.Add(membership.SuspectTimeout), "i1")).To(BeFalse())
	v.Suspect(now, "i2")
	v.MarkHeard(now, "i2")
	g.Expect(v.Suspected(now, "i2")).To(BeFalse())

	g.Expect(v.Silent(now, "i2")).To(BeFalse())
	g.Expect(v.Silent(now, "i3")).To(BeFalse(), "never contacted")
	g.Expect(v.Silent(now, "unlisted")).To(BeTrue())
	later := now.Add(membership.SilenceTimeout)
	g.Expect(v.Silent(later, "i2")).To(BeTrue())
	g.Expect(v.Silent(later, "i3")).To(BeTrue())
	v.ResetHeard(later)
	g.Expect(v.Silent(later, "i2")).To(BeFalse(), "nothing was heard because this instance was paused")
}

// Guards against an instance that acts as owner after a pause, although its peers considered it silent.
func TestGapDetector(t *testing.T) {
	g := NewWithT(t)
	var detector membership.GapDetector
	now := time.Now()
	for _, tc := range []struct{ step, gap time.Duration }{
		{0, 0}, {time.Second, 0}, {membership.MaxTickGap, 0}, {membership.MaxTickGap + 1, membership.MaxTickGap + 1}, {time.Second, 0},
	} {
		now = now.Add(tc.step)
		g.Expect(detector.Tick(now)).To(Equal(tc.gap))
	}
	g.Expect(membership.SilenceTimeout).To(BeNumerically(">", membership.MaxTickGap))
}

// Guards against a task that no instance or every instance of a data centre performs, and against gossip within one data
// centre only.
func TestAssignmentAndGossip(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	assigned := map[core.InstanceID]int{}
	for i := range 12 {
		v := membership.New(membership.Options{Self: core.InstanceID(fmt.Sprint("i", i)), Centre: core.DataCentre(fmt.Sprint("c", i%3))})
		g.Expect(v.SelfAssigned(now, "poll")).To(BeTrue(), "no list is known")
		v.Apply(now, instanceList(1, 12, "i3"))
		for _, c := range []core.DataCentre{"c0", "c1", "c2"} {
			for _, id := range v.Assigned(now, c, "watch") {
				assigned[id]++
			}
		}
		g.Expect(v.SelfAssigned(now, "watch")).To(Equal(lo.Contains(v.Assigned(now, core.DataCentre(fmt.Sprint("c", i%3)), "watch"), core.InstanceID(fmt.Sprint("i", i)))))
		r := rand.New(rand.NewPCG(1, uint64(i)))
		for range 20 {
			partners := v.GossipPartners(now, r)
			g.Expect(partners).To(HaveLen(2))
			g.Expect(partners[0].Centre).To(BeEquivalentTo(fmt.Sprint("c", i%3)))
			g.Expect(partners[1].Centre).NotTo(Equal(partners[0].Centre))
			pushTargets := ids(v.PushTargets(now, r))
			g.Expect(lo.Uniq(pushTargets)).To(HaveLen(3))
			g.Expect(pushTargets).NotTo(ContainElement(core.InstanceID(fmt.Sprint("i", i))))
		}
	}
	g.Expect(assigned).To(HaveLen(6), "two per data centre, the same ones at every instance")
	g.Expect(assigned).NotTo(HaveKey(core.InstanceID("i3")))
	alone := membership.New(membership.Options{Self: "i0", Centre: "c0"})
	alone.Apply(now, instanceList(1, 1))
	g.Expect(alone.GossipPartners(now, rand.New(rand.NewPCG(1, 1)))).To(BeEmpty())
	g.Expect(alone.PushTargets(now, rand.New(rand.NewPCG(1, 1)))).To(BeEmpty())
}
