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

// load is a shard under a steady stream of requests.
type loadedShard struct {
	s          *Shard
	now        time.Time
	held       []Grant
	asked      int
	workspaces int // workspaces
}

// newLoad fills the slots of a shard and queues a number of asks.
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

// next ends the oldest running request and asks for another one.
func (l *loadedShard) replaceOldest() {
	g := l.held[0]
	l.held = l.held[1:]
	l.held = append(l.held, grants(l.s.Release(l.now, doneRelease(g)))...)
	l.ask()
}

// tick lets a second pass in due ticks, with the sync that keeps the grants alive.
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

// BenchmarkSlopeEndpoints measures one request, and a second of ticks, by the number of endpoints of the shard. A pool
// is split before a shard has more than 64.
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

// BenchmarkSlopeQueue measures the same by the number of queued asks. The bound of the queue is 2,000.
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

// BenchmarkSlopeWorkspaces measures the same by the number of workspaces that used the shard within the last minute, with
// 1,000 asks queued.
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

// BenchmarkSlopeHolders measures the syncs that the owner of a shard with 512 slots receives each second, and their
// number, by the number of instances that hold slots of it.
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

// reportTick measures the ticks of ten seconds outside the benchmark's loop, in which no time passes, once what the loop
// left behind has expired.
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
