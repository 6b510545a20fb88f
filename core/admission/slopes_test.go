package admission_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
	. "monsoondale/core/admission"
)

// The benchmarks of this file measure how the cost of a shard grows with the size of a deployment:
//
//	go test ./core/admission ./core/routing -run '^$' -bench Slope

// loadedShard is a shard under a constant load of requests.
type loadedShard struct {
	s          *Shard
	now        time.Time
	held       []Grant
	asked      int
	workspaces int // workspaces
}

// newLoadedShard returns a shard with the given number of queued asks and all slots in use, or half of its slots in use
// without a queue.
func newLoadedShard(endpoints, queue, workspaces int) *loadedShard {
	l := &loadedShard{s: newWarmShard(endpoints, 8, Options{MaxQueued: 1 << 20}), now: at(0), workspaces: workspaces}
	for l.s.Stats().Queued[1] < queue || queue == 0 && l.s.Stats().Free > endpoints {
		l.ask()
	}
	return l
}

func (l *loadedShard) ask() {
	l.asked++
	a := ask(fmt.Sprint("request-", l.asked), 1)
	a.Workspace = core.WorkspaceID(fmt.Sprint("workspace-", l.asked%l.workspaces))
	a.Deadline = l.now.Add(1000 * time.Hour)
	for j := range 8 {
		a.Prefixes = append(a.Prefixes, core.PrefixHash(l.asked%100*8+j))
	}
	l.held = append(l.held, grants(l.s.Ask(l.now, a))...)
}

// replaceOldest ends the oldest running request and asks for a slot for another one.
func (l *loadedShard) replaceOldest() {
	g := l.held[0]
	l.held = l.held[1:]
	l.held = append(l.held, grants(l.s.Release(l.now, doneRelease(g)))...)
	l.ask()
}

// tickSecond advances the time by a second with all due ticks, and sends the sync that keeps the grants.
func (l *loadedShard) tickSecond() {
	l.held = append(l.held, grants(l.s.Sync(l.now, Sync{Holder: "h"}))...)
	for end := l.now.Add(time.Second); l.now.Before(end); {
		l.now = l.s.NextTick(l.now)
		l.held = append(l.held, grants(l.s.Tick(l.now))...)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSlopeEndpoints measures one request, and the ticks of one second, by the number of endpoints of the shard. Pools
// are split into shards of about 64 endpoints at most.
func BenchmarkSlopeEndpoints(b *testing.B) {
	for _, n := range []int{6, 16, 32, 64} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			before := heapBytes()
			l := newLoadedShard(n, 0, 100)
			held := heapBytes() - before
			for b.Loop() {
				l.replaceOldest()
			}
			b.ReportMetric(held, "held-B")
			reportTick(b, l)
		})
	}
}

// BenchmarkSlopeQueue measures the same by the number of queued asks, of which there are at most 2,000 by default.
func BenchmarkSlopeQueue(b *testing.B) {
	for _, n := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprint("queued=", n), func(b *testing.B) {
			before := heapBytes()
			l := newLoadedShard(64, n, 100)
			held := heapBytes() - before
			for b.Loop() {
				l.replaceOldest()
			}
			b.ReportMetric(held, "held-B")
			reportTick(b, l)
		})
	}
}

// BenchmarkSlopeWorkspaces measures the same with 1,000 queued asks, by the number of workspaces that used the shard within
// the last minute.
func BenchmarkSlopeWorkspaces(b *testing.B) {
	for _, n := range []int{3_000, 12_000, 24_000, 48_000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			before := heapBytes()
			l := newLoadedShard(64, 1000, n)
			for range n {
				l.replaceOldest()
			}
			held := heapBytes() - before
			for b.Loop() {
				l.replaceOldest()
			}
			b.ReportMetric(held, "held-B")
			reportTick(b, l)
		})
	}
}

// BenchmarkSlopeHolders measures the handling of the syncs that the owner of a shard with 512 slots receives each second, by
// the number of instances that hold its slots.
func BenchmarkSlopeHolders(b *testing.B) {
	for _, n := range []int{8, 40, 200, 512} {
		b.Run(fmt.Sprint("holders=", n), func(b *testing.B) {
			s := newWarmShard(64, 8, Options{})
			syncs := make([]Sync, n)
			for i := range 512 {
				a := ask(fmt.Sprint("request-", i), 1)
				a.Holder = core.InstanceID(fmt.Sprint("entry-", i%n))
				y := &syncs[i%n]
				y.Holder = a.Holder
				for _, g := range grants(s.Ask(at(0), a)) {
					y.Count++
					y.Digest ^= xxhash.Sum64String(string(g.Request))
					if len(y.Running) < 16 {
						y.Running = append(y.Running, Running{Request: g.Request, Grant: g.Grant, Tokens: 100, Age: time.Second})
					}
				}
			}
			for b.Loop() {
				for _, y := range syncs {
					s.Sync(at(0), y)
				}
			}
			b.ReportMetric(float64(n), "messages/s")
		})
	}
}

// reportTick measures the ticks of ten seconds, outside of the benchmark loop, in which no time passes. Ten seconds of ticks
// before that let the state left by the loop expire.
func reportTick(b *testing.B, l *loadedShard) {
	for range 10 {
		l.tickSecond()
	}
	t := time.Now()
	for range 10 {
		l.tickSecond()
	}
	b.ReportMetric(float64(time.Since(t).Microseconds())/10, "tick-us/s")
}
