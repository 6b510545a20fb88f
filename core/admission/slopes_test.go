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
type load struct {
	s    *Shard
	now  time.Time
	held []Grant
	n    int
	wide int // workspaces
}

// newLoad fills the slots of a shard and queues a number of asks.
func newLoad(endpoints, queue, workspaces int) *load {
	l := &load{s: warm(endpoints, 8, Options{MaxQueued: 1 << 20}), now: at(0), wide: workspaces}
	for l.s.Stats().Queued[1] < queue || queue == 0 && l.s.Stats().Free > endpoints {
		l.ask()
	}
	return l
}

func (l *load) ask() {
	l.n++
	a := ask(fmt.Sprint("request-", l.n), 1)
	a.Workspace = core.WorkspaceID(fmt.Sprint("workspace-", l.n%l.wide))
	a.Deadline = l.now.Add(1000 * time.Hour)
	for j := range 8 {
		a.Prefixes = append(a.Prefixes, core.PrefixHash(l.n%100*8+j))
	}
	l.held = append(l.held, grants(l.s.Ask(l.now, a))...)
}

// next ends the oldest running request and asks for another one.
func (l *load) next() {
	g := l.held[0]
	l.held = l.held[1:]
	l.held = append(l.held, grants(l.s.Release(l.now, done(g)))...)
	l.ask()
}

// tick lets a second pass in due ticks, with the sync that keeps the grants alive.
func (l *load) tick() {
	l.held = append(l.held, grants(l.s.Sync(l.now, Sync{Holder: "h"}))...)
	for end := l.now.Add(time.Second); l.now.Before(end); {
		l.now = l.s.NextTick(l.now)
		l.held = append(l.held, grants(l.s.Tick(l.now))...)
	}
}

func heap() float64 {
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
			before := heap()
			l := newLoad(n, 0, 100)
			held := heap() - before
			for b.Loop() {
				l.next()
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
			before := heap()
			l := newLoad(64, n, 100)
			held := heap() - before
			for b.Loop() {
				l.next()
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
			before := heap()
			l := newLoad(64, 1000, n)
			for range n {
				l.next()
			}
			held := heap() - before
			for b.Loop() {
				l.next()
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
			s := warm(64, 8, Options{})
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
func reportTick(b *testing.B, l *load) {
	for range 10 {
		l.tick()
	}
	t := time.Now()
	for range 10 {
		l.tick()
	}
	b.ReportMetric(float64(time.Since(t).Microseconds())/10, "tick-us/s")
}
