package pool_test

import (
	"fmt"
	"testing"
	"time"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// BenchmarkAssign measures a submitted request, and a tick while requests wait, at an instance among 70 with 60 endpoints.
func BenchmarkAssign(b *testing.B) {
	const instances = 70
	list := endpointList(0, 60, 10)
	now := time.Now()
	start := func() *pool.Pool {
		p := pool.New(pool.Options{})
		p.SetEndpoints(now, list)
		for i, r := range reportsOf(instances, list[:8]) {
			r.Waiting, r.Validity = []int{1, 2, 3}, time.Hour
			p.ApplyReport(now, core.InstanceID(fmt.Sprint(i)), true, r)
		}
		return p
	}
	request := func() pool.Request {
		return pool.Request{Prompt: 900, MaxOutput: 60, Arrived: now, Objective: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour)}
	}
	b.Run("grant", func(b *testing.B) {
		p := start()
		b.ReportAllocs()
		for b.Loop() {
			if g := p.Withdraw(now, p.Submit(now, request())); g != nil {
				p.Release(now, g, pool.Cancelled)
			}
		}
	})
	b.Run("queue", func(b *testing.B) {
		p := start()
		for p.Waiting() < 20 {
			req := request()
			req.Tier = core.Tiers - 1
			p.Submit(now, req)
		}
		b.ReportAllocs()
		for b.Loop() {
			p.Tick(now)
		}
	})
	b.Run("keeper", func(b *testing.B) { // one place is freed and one ask arrives while 100 wait
		p := newKeeperPool(endpoints(60, 10))
		number, at := uint64(0), now
		lend := func() {
			number++
			p.Lend(at, ask("h", number), request())
		}
		var held []pool.DecidedAsk
		for p.Waiting() < 100 {
			lend()
			held = append(held, p.TakeDecided()...)
		}
		b.ReportAllocs()
		for b.Loop() {
			at = at.Add(1500 * time.Microsecond)
			p.LentFreed(at, held[0].Origin, held[0].ID, true)
			lend()
			held = append(held[1:], p.TakeDecided()...)
		}
	})
}
