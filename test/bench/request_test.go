// Package bench measures the latency, processor time and memory that the scheduler adds to a request:
//
//	go test ./test/bench -run '^$' -bench . -benchtime 3000x
package bench

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"monsoondale/core"
	"monsoondale/instance"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/fleet"
	wire "monsoondale/wire/engine"
)

const template = `{"template": "bench", "params": [], "share": 10,
  "kinds": [{"name": "question", "tier": 0, "pool": "drafting", "tokens": 1}]}`

// deploy starts instances with two engines that answer at once. It returns the fleet and the API key of a workspace.
func deploy(b *testing.B, instances int) (*fleet.Fleet, string) {
	ctx := context.Background()
	f, err := fleet.Start(ctx, fleet.Options{
		Region: "bench", Centres: 1, Instances: instances,
		Engines: []fleet.EnginePool{{Pool: "drafting", Count: 2, Options: engine.Options{
			PrefillRate: math.MaxInt32, DecodeRate: math.MaxInt32, HalvingLoad: math.MaxInt32, BatchSize: 1024, CacheTokens: 1 << 20,
		}}},
		Launch: func(ctx context.Context, settings []byte) (fleet.RunningInstance, error) {
			s, err := instance.ParseSettings("settings", settings, "")
			if err != nil {
				return nil, err
			}
			return instance.Launch(ctx, s, logr.Discard(), func(instance.LogLevel) {})
		},
	})
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		f.Stop(ctx)
	})
	if err != nil {
		b.Fatal(err)
	}
	key := core.NewID()
	putUntilAccepted := func(kind, name, text string) {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if err := f.Put(ctx, 0, kind, name, text); err == nil {
				return
			} else if time.Now().After(end) {
				b.Fatal(err)
			}
		}
	}
	putUntilAccepted("template", "bench", template)
	putUntilAccepted("workspace", "bench", fmt.Sprintf(`{"workspace": "bench", "template": "bench", "params": {}, "keys": [%q]}`, fleet.HashKey(key)))
	if err := f.WaitModelListed(ctx, key, "question"); err != nil {
		b.Fatal(err)
	}
	for n := range instances {
		for !f.Client(n, key, "bench").Chat(ctx, question(), 0).Complete() {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return f, key
}

func question() wire.Chat {
	return wire.Chat{Model: "question", Stream: true, Messages: []wire.Message{{Role: "user", Content: "Is the date right?"}}, MaxTokens: 1}
}

// BenchmarkAddedLatency sends requests directly to an engine and through an instance by turns. A single instance owns
// the shard; of three instances at most one does.
func BenchmarkAddedLatency(b *testing.B) {
	for _, n := range []int{1, 3} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			f, key := deploy(b, n)
			engineClient := &check.Client{HTTP: f.HTTP, Base: "http://" + f.Endpoints[0].Server.Addr()}
			var directTimes, instanceTimes []time.Duration
			k := 0
			for b.Loop() {
				k++
				engineClient.Header = http.Header{"X-Request-Id": {core.NewID()}}
				directTimes = append(directTimes, measureChat(b, engineClient))
				instanceTimes = append(instanceTimes, measureChat(b, f.Client(k%n, key, "bench")))
			}
			slices.Sort(directTimes)
			slices.Sort(instanceTimes)
			for _, q := range []struct {
				name string
				at   float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				direct, viaInstance := percentile(directTimes, q.at), percentile(instanceTimes, q.at)
				b.ReportMetric(float64((viaInstance - direct).Microseconds()), q.name+"-added-µs")
				b.ReportMetric(float64(viaInstance)/float64(direct), q.name+"-ratio")
			}
		})
	}
}

// measureChat returns the time of one complete request.
func measureChat(b *testing.B, c *check.Client) time.Duration {
	start := time.Now()
	a := c.Chat(context.Background(), question(), 0)
	if !a.Complete() {
		b.Fatalf("%+v", a)
	}
	return time.Since(start)
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkCost compares processor time and memory per request of callers that use an engine directly with those of
// callers that use it through an instance. Both include the callers and the engine.
func BenchmarkCost(b *testing.B) {
	f, key := deploy(b, 3)
	engineClient := &check.Client{HTTP: f.HTTP, Base: "http://" + f.Endpoints[0].Server.Addr()}
	var directCost, instanceCost cost
	for b.Loop() {
		directCost = directCost.add(runParallel(b, func(int) *check.Client {
			c := *engineClient
			c.Header = http.Header{"X-Request-Id": {core.NewID()}}
			return &c
		}))
		instanceCost = instanceCost.add(runParallel(b, func(n int) *check.Client { return f.Client(n, key, "bench") }))
	}
	n := float64(directCost.requests)
	added := (instanceCost.cpu - directCost.cpu).Seconds() / n
	b.ReportMetric(added*1e6, "added-cpu-µs/request")
	b.ReportMetric(1/added, "requests/s/core")
	b.ReportMetric(float64(instanceCost.cpu)/float64(directCost.cpu), "cpu-ratio")
	b.ReportMetric(float64(instanceCost.bytes-directCost.bytes)/n, "added-B/request")
	b.ReportMetric(float64(instanceCost.allocs-directCost.allocs)/n, "added-allocs/request")
}

// cost is what a number of requests consumed.
type cost struct {
	requests      int
	cpu           time.Duration
	bytes, allocs uint64
}

func (c cost) add(o cost) cost {
	return cost{c.requests + o.requests, c.cpu + o.cpu, c.bytes + o.bytes, c.allocs + o.allocs}
}

// runParallel sends 64 requests at the same time and returns their cost.
func runParallel(b *testing.B, client func(n int) *check.Client) cost {
	const callers = 64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			if a := client(n).Chat(context.Background(), question(), 0); !a.Complete() {
				b.Errorf("%+v", a)
			}
		})
	}
	wg.Wait()
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	return cost{callers, cpu, after.TotalAlloc - before.TotalAlloc, after.Mallocs - before.Mallocs}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
