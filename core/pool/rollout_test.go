package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/rollout"
)

// TestVersions shows that requests go to the versions that an order allows, and that what was granted before a verdict is not sent after it.
func TestVersions(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1800000000, 0)
	p := New(Options{})
	p.SetEndpoints(now, []Endpoint{{ID: "a", Version: "v1", Slots: 2}, {ID: "b", Version: "v2", Slots: 2}})
	gate := rollout.NewGate(now, &rollout.Order{Target: "v2", State: rollout.Running}, 0.1, 5, time.Second)
	p.SetRollout(now, gate)
	acquire := func(id core.RequestID) *Grant {
		return p.Acquire(now, Request{ID: id, Arrived: now, Deadline: now.Add(time.Second)})
	}
	step := func(s rollout.Step) {
		p.UpdateRollout(now, func(gate *rollout.Gate) { gate.Step, gate.Heard = rollout.Later(gate.Step, s), now })
	}
	first, second := acquire("1"), acquire("2")
	g.Expect(first.Endpoint.ID).To(Equal(core.EndpointID("a")))
	g.Expect(second.Endpoint.ID).To(Equal(core.EndpointID("a")))
	g.Expect(acquire("3")).To(BeNil(), "the other version gets nothing, though it has free slots")
	step(rollout.Step{Number: 1, Share: 1})
	third := acquire("4")
	g.Expect(third.Endpoint.ID).To(Equal(core.EndpointID("b")))
	g.Expect(p.Accepts(now, third)).To(BeTrue())
	p.Release(now, first, Served)
	p.Release(now, second, ServerError)
	step(rollout.Step{Number: 2, Bad: true})
	g.Expect(p.Accepts(now, third)).To(BeFalse())
	g.Expect(acquire("5").Endpoint.ID).To(Equal(core.EndpointID("a")))
	r, ok := p.Rollout(now)
	g.Expect(ok).To(BeTrue())
	g.Expect([]int{r.Requests, r.Exposed, r.TargetSlots, r.OtherSlots, r.Others, r.OtherRunning}).To(Equal([]int{4, 1, 2, 2, 1, 1}))
	others := r.Evidence[""].Others[rollout.Group("a")]
	g.Expect(others).To(Equal(rollout.Count{Ended: 2, Failed: 1}))
}
