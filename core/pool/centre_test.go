package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// Guards against loads of a data centre that are counted twice, left out, or kept after they have expired, when they are
// reported to another data centre as a sum.
func TestCentreReport(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(2, 4)
	relay, far := newPool(list), newPool(list)
	now := begin
	relay.ApplyReport(now, "near", true, pool.Report{Loads: []pool.Load{{Endpoint: list[0].ID, Running: 2, PendingPrompt: 100}}, Waiting: []int{0, 1}})
	relay.ApplyReport(now, "elsewhere", false, pool.Report{Loads: []pool.Load{{Endpoint: list[0].ID, Running: 1}}})
	own := grant(g, relay.Submit(now, request(0, now)))

	now = now.Add(100 * time.Millisecond)
	r := relay.CentreReport(now)
	running := map[core.EndpointID]int{}
	for _, l := range r.Loads {
		running[l.Endpoint] = l.Running
	}
	want := map[core.EndpointID]int{list[0].ID: 2}
	want[own.Endpoint.ID]++
	g.Expect(running).To(Equal(want), "own load and that of the instance in the data centre, but not of others")
	g.Expect(r.Waiting[1]).To(Equal(1))
	g.Expect(r.Age).To(Equal(50*time.Millisecond), "mean of its own load and a report 100 ms old")

	far.ApplyReport(now, "centre near", false, pool.Report{Loads: []pool.Load{{Endpoint: list[0].ID, Running: 4}, {Endpoint: list[1].ID, Running: 4}}, Validity: 2 * time.Second})
	free, _ := far.Free(now.Add(1900 * time.Millisecond))
	g.Expect(free).To(BeZero())
	far.ApplyReport(now.Add(2100*time.Millisecond), "another", false, pool.Report{})
	free, _ = far.Free(now.Add(2100 * time.Millisecond))
	g.Expect(free).To(Equal(8), "the report has expired")
}
