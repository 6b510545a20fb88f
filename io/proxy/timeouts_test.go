package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/route"
)

// A caller that was turned away returns, with what is left of its time. Guards against counting its objective anew.
func TestReturningCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, route.Route{Name: "r", Kind: route.Stream, Resumable: true, Attempts: 2, Objective: 400 * time.Millisecond}, 4, []core.EndpointID{"a"}, func(r *fleetRun) {
			r.stream(1, func() {})
		})
		defer f.tick()()
		for i := range 20 {
			f.send("/", fmt.Sprint("first", i), 5*time.Second)
		}
		f.send("/", "returns", 4700*time.Millisecond)
		g.Expect(f.logged(`"waited"`)).To(HaveLen(1))
		g.Expect(f.logged(`"waited":300`, "returns")).To(HaveLen(1))

		x := &exchange{handler: f.h, route: &route.Route{Name: "r", Objective: 400 * time.Millisecond}, arrived: time.Now(), info: RequestInfo{Timeout: 4700 * time.Millisecond}}
		x.setDeadlines()
		req := x.poolRequest()
		g.Expect(req.Waited).To(Equal(300 * time.Millisecond))
		g.Expect(req.Objective).To(Equal(x.arrived.Add(100 * time.Millisecond)))
	})
}
