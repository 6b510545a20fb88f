package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoondale/core"
	. "monsoondale/core/admission"
)

// BenchmarkDecision measures one ask and one release by the number of endpoints of the shard. Without a queue, the endpoint
// is selected in the ask, otherwise in the release.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{18, 64, 3600} {
		for _, queue := range []int{0, 200} {
			b.Run(fmt.Sprintf("endpoints=%d/queue=%d", n, queue), func(b *testing.B) {
				s := newWarmShard(n, 8, Options{MaxQueued: 100000})
				now := at(0)
				var held []Grant
				i := 0
				next := func() Ask {
					i++
					a := ask(fmt.Sprint(i), 1)
					a.Caller = core.CallerID(fmt.Sprint(i % 50))
					a.Workspace = core.WorkspaceID(fmt.Sprint(i % 5))
					a.Deadline = now.Add(1000 * time.Hour)
					for j := range 8 {
						a.Prefixes = append(a.Prefixes, core.PrefixHash(i%100*8+j))
					}
					return a
				}
				for s.Stats().Free > n*4 || queue > 0 && s.Stats().Queued[1] < queue {
					held = append(held, grants(s.Ask(now, next()))...)
				}
				asks := make([]Ask, b.N)
				for k := range asks {
					asks[k] = next()
				}
				held = slices.Grow(held, b.N)
				b.ReportAllocs()
				b.ResetTimer()
				var asking, releasing time.Duration
				take := func(es []Effect) {
					for _, e := range es {
						if g, ok := e.(Grant); ok {
							held = append(held, g)
						}
					}
				}
				for k := range b.N {
					now = now.Add(time.Millisecond)
					if !now.Before(s.NextTick(now)) {
						take(s.Sync(now, Sync{Holder: "h"})) // keeps the grants alive
						take(s.Tick(now))
					}
					t0 := time.Now()
					es := s.Ask(now, asks[k])
					t1 := time.Now()
					take(es)
					t2 := time.Now()
					es = s.Release(now, doneRelease(held[k]))
					releasing += time.Since(t2)
					asking += t1.Sub(t0)
					take(es)
				}
				b.ReportMetric(float64(asking.Nanoseconds())/float64(b.N), "ns/ask")
				b.ReportMetric(float64(releasing.Nanoseconds())/float64(b.N), "ns/release")
			})
		}
	}
}
