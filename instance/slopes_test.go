package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/config"
	"monsoondale/core/endpoint"
	"monsoondale/core/membership"
	"monsoondale/core/report"
	"monsoondale/core/workspace"
	"monsoondale/internal/fake"
	"monsoondale/internal/fake/instancelist"
	"monsoondale/internal/fake/objectapi"
	lists "monsoondale/io/instancelist"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

// The benchmarks in this file measure how costs grow with the size of a deployment. docs/CAPACITY.md is computed from
// these slopes:
//
//	go test ./instance -run '^$' -bench Slope -benchtime 2s

// fleetList returns an instance list with n instances and four engines per instance, in twelve data centres of five
// regions.
func fleetList(n int) platform.Instances {
	l := platform.Instances{Revision: 1}
	add := func(role platform.InstanceRole, name, pool string, k int) {
		centre := k % 12
		l.Items = append(l.Items, platform.Instance{
			Name: name, Role: role, Region: fmt.Sprint("region-", centre%5), Centre: fmt.Sprint("centre-", centre),
			Address: fmt.Sprintf("10.%d.%d.%d:7003", centre, k/250, k%250), Pool: pool, State: platform.InstanceStateLive,
		})
	}
	for k := range n {
		add(platform.InstanceRoleEntry, fmt.Sprint("entry-", k), "", k)
	}
	for k := range 4 * n {
		add(platform.InstanceRoleEngine, fmt.Sprint("engine-", k), fmt.Sprint("model-", k%7), k)
	}
	return l
}

// BenchmarkSlopeList measures what a change of the instance list costs each instance: the message and the new routing
// table.
func BenchmarkSlopeList(b *testing.B) {
	for _, n := range []int{8, 40, 200, 920} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			list := fleetList(n)
			s := &Settings{Name: "entry-0", Region: "region-0", Centre: "centre-0", Limits: Limits{Width: 64}}
			v := membership.New(membership.Options{Self: s.Name, Region: s.Region, Centre: s.Centre})
			before := heapBytes()
			v.Apply(time.Now(), list)
			t := buildTable(time.Now(), v, s)
			heldBytes := heapBytes() - before
			body, _ := json.Marshal(v.Members())
			for b.Loop() {
				list.Revision++
				v.Apply(time.Now(), list)
				t = buildTable(time.Now(), v, s)
			}
			b.ReportMetric(float64(heldBytes), "held-B")
			b.ReportMetric(float64(len(body)), "message-B")
			b.ReportMetric(float64(len(t.shards)), "shards")
		})
	}
}

// configObjects returns three templates and n workspaces.
func configObjects(n int) []config.Object {
	const template = `{"template":"t%d","params":[{"name":"weight","type":"int","default":10,"min":1,"max":100}],"share":"${weight}",
"kinds":[{"name":"question","tier":0,"pool":"model-0","deadline":"2s","tokens":80},{"name":"draft","tier":1,"pool":"model-1","deadline":"20s","tokens":400},
{"name":"order","tier":0,"pool":"orders","service":"orders","once":true,"method":"POST","path":"/order","deadline":"5s"}]}`
	out := make([]config.Object, 0, n+3)
	for k := range 3 {
		out = append(out, config.Object{Kind: config.KindTemplate, Name: fmt.Sprint("t", k), Version: core.Revision(k + 1), Value: fmt.Sprintf(template, k)})
	}
	for k := range n {
		out = append(out, config.Object{
			Kind: config.KindWorkspace, Name: fmt.Sprint("workspace-", k), Version: core.Revision(k + 4),
			Value: fmt.Sprintf(`{"workspace":"workspace-%d","template":"t%d","params":{"weight":%d},"keys":["%064x"]}`, k, k%3, 1+k%20, k+1),
		})
	}
	return out
}

// compileConfig returns the configuration that consists of the objects, in the forms that an instance holds.
func compileConfig(objects []config.Object) (*config.Set, *workspace.Compiler, *workspace.Plan) {
	set, c := config.New(config.Options{}), workspace.NewCompiler()
	for _, k := range config.Kinds {
		var ofKind []config.Object
		for _, o := range objects {
			if o.Kind == k {
				ofKind = append(ofKind, o)
			}
		}
		set.ApplyListing(k, core.Revision(len(objects)), ofKind)
	}
	for _, o := range objects {
		c.Apply(workspace.Object{Kind: string(o.Kind), Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return set, c, c.Plan()
}

// BenchmarkSlopeConfiguration measures the memory that a configuration takes, and the time to apply one changed
// workspace.
func BenchmarkSlopeConfiguration(b *testing.B) {
	for _, n := range []int{3_000, 12_000, 24_000, 48_000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			before := heapBytes()
			set, c, plan := compileConfig(configObjects(n))
			heldBytes := heapBytes() - before
			d := set.Delta(config.Digest{})
			full, _ := json.Marshal(wire.Gossip{Objects: config.ToPeer(d.Objects)})
			change, _ := json.Marshal(wire.Gossip{Objects: config.ToPeer(d.Objects[n/2 : n/2+1])})
			version := core.Revision(n + 4)
			for b.Loop() {
				version++
				k := rand.IntN(n)
				o := config.Object{
					Kind: config.KindWorkspace, Name: fmt.Sprint("workspace-", k), Version: version,
					Value: fmt.Sprintf(`{"workspace":"workspace-%d","template":"t%d","params":{"weight":%d},"keys":["%064x"]}`, k, k%3, 1+rand.IntN(20), k+1),
				}
				set.Apply(o)
				c.Apply(workspace.Object{Kind: string(o.Kind), Name: o.Name, Version: o.Version, Value: o.Value})
				plan = c.Plan()
			}
			runtime.KeepAlive(plan)
			runtime.KeepAlive(set)
			b.ReportMetric(float64(heldBytes)/float64(n), "held-B/workspace")
			b.ReportMetric(float64(len(full)), "full-B")
			b.ReportMetric(float64(len(change)), "change-B")
		})
	}
}

// BenchmarkSlopeDigest measures one side of a gossip exchange between instances that have the same state.
func BenchmarkSlopeDigest(b *testing.B) {
	for _, n := range []int{3_000, 12_000, 24_000, 48_000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			set, _, _ := compileConfig(configObjects(n))
			g := &gossip{self: "entry-0", incarnation: "0123456789ab", configSet: set, view: membership.New(membership.Options{Self: "entry-0"})}
			g.view.Apply(time.Now(), fleetList(920))
			m := g.digest()
			body, _ := json.Marshal(m)
			for b.Loop() {
				m = g.reply(m)
			}
			b.ReportMetric(float64(len(body)), "message-B")
		})
	}
}

// BenchmarkSlopeSync measures the messages by which a holder reports its slots.
func BenchmarkSlopeSync(b *testing.B) {
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint("running=", n), func(b *testing.B) {
			y := admission.Sync{Holder: "entry-100", Count: n}
			for range min(n, minShardSamples) {
				y.Running = append(y.Running, admission.Running{
					Request: core.RequestID(core.NewID()), Grant: core.GrantID(core.NewID()), Endpoint: "engine-1000",
					Workspace: "workspace-40000", Caller: "caller-100", Tier: 1, Weight: 10, Prefill: 1000, Decode: 400, Tokens: 200, Age: time.Second,
				})
			}
			var body []byte
			for b.Loop() {
				body, _ = json.Marshal(peer.EncodeSync("model-1/centre-1/0", y))
			}
			b.ReportMetric(float64(len(body)), "message-B")
		})
	}
}

// BenchmarkSlopeIdle runs complete fleets without requests. It reports the CPU time and the bytes received per instance
// and second, including all control messages.
func BenchmarkSlopeIdle(b *testing.B) {
	const measured = 10 * time.Second
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			for b.Loop() {
				stop, received := startIdleFleet(b, n)
				time.Sleep(5 * time.Second)
				bytes, cpu, heldBytes := received(), processorTime(), heapBytes()
				time.Sleep(measured)
				per := float64(n) * measured.Seconds()
				b.ReportMetric(float64(received()-bytes)/per, "B/s/instance")
				b.ReportMetric(100*(processorTime()-cpu).Seconds()/per, "%core/instance")
				b.ReportMetric(float64(heldBytes)/float64(n), "held-B/instance")
				stop()
			}
		})
	}
}

// startIdleFleet starts n instances in three data centres without workspaces and endpoints.
func startIdleFleet(b *testing.B, n int) (stop func(), received func() int64) {
	api, list := objectapi.New(objectapi.Options{}), instancelist.New(instancelist.Options{Lag: 100 * time.Millisecond})
	apiServer, err := fake.Serve("127.0.0.1:0", api)
	if err != nil {
		b.Fatal(err)
	}
	listServer, err := fake.Serve("127.0.0.1:0", list)
	if err != nil {
		b.Fatal(err)
	}
	client := lists.New("http://"+listServer.Addr(), 0, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var count atomic.Int64
	var fleet []*Instance
	for k := range n {
		settings := fmt.Sprintf(`{"name":"entry-%d","region":"r","centre":"c%d","listen":{"caller":"127.0.0.1:0","operator":"127.0.0.1:0","peer":"127.0.0.1:0"},
"platform":{"objects":"http://%s","instances":"http://%s"},"keys":{"operator":{"op":"%064x"}}}`, k, k%3, apiServer.Addr(), listServer.Addr(), 1)
		s, err := ParseSettings("settings", []byte(settings), "")
		if err != nil {
			b.Fatal(err)
		}
		in, err := Launch(ctx, s, logr.Discard(), func(LogLevel) {})
		if err != nil {
			b.Fatal(err)
		}
		fleet = append(fleet, in)
		addr := startCountingRelay(b, ctx, in.PeerAddr(), &count)
		if err := client.Register(ctx, platform.Instance{
			Name: fmt.Sprint("entry-", k), Role: platform.InstanceRoleEntry, Region: "r", Centre: fmt.Sprint("c", k%3), Address: addr, State: platform.InstanceStateLive,
		}); err != nil {
			b.Fatal(err)
		}
	}
	return func() {
		for _, in := range fleet {
			in.close()
		}
		cancel()
		apiServer.Stop()
		listServer.Stop()
	}, count.Load
}

// startCountingRelay relays connections to an instance and counts the bytes in both directions. It returns the address of
// the relay.
func startCountingRelay(b *testing.B, ctx context.Context, to string, n *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	context.AfterFunc(ctx, func() { l.Close() })
	relay := func(dst, src net.Conn) {
		defer dst.Close()
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			n.Add(int64(k))
			if _, werr := dst.Write(buf[:k]); err != nil || werr != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go relay(out, c)
			go relay(c, out)
		}
	}()
	return l.Addr().String()
}

// byteCountCalls is the number of calls over which byte counts are averaged.
const byteCountCalls = 50

// BenchmarkSlopeAsk measures an ask, its grant and its release between two instances: the CPU time of both sides
// together, and the bytes in both directions.
func BenchmarkSlopeAsk(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint("concurrent=", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			direct := startAskServer(b, ctx)
			var bytes atomic.Int64
			counted := startCountingRelay(b, ctx, direct, &bytes)
			client := peer.NewClient(peer.Options{})
			exchange := func(addr string) {
				a := admission.Ask{
					Request: core.RequestID(core.NewID()), Holder: "entry-100", Workspace: "workspace-40000", Caller: "caller-100",
					Tier: 1, Weight: 10, Prefill: 1000, Decode: 300, Deadline: time.Now().Add(time.Minute), Prefixes: []core.PrefixHash{1 << 60, 1 << 61},
				}
				m, err := client.Ask(ctx, addr, peer.EncodeAsk(time.Now(), "model-1/centre-1/0", a))
				if err != nil || m.Grant == "" {
					b.Errorf("%+v, %v", m, err)
				}
				client.Release(ctx, addr, peer.EncodeRelease("model-1/centre-1/0", admission.Release{
					Request: a.Request, Grant: core.GrantID(m.Grant), Outcome: admission.OutcomeDone,
					Prefill: 1000, Cached: 500, Decode: 300, FirstToken: 300 * time.Millisecond, Total: 9 * time.Second,
				}))
			}
			exchange(direct)  // opens the connection
			exchange(counted) // opens the connection
			before := bytes.Load()
			for range byteCountCalls {
				exchange(counted)
			}
			sent := bytes.Load() - before
			cpu, requests := processorTime(), 0 // measured without the relay
			for b.Loop() {
				var wg sync.WaitGroup
				for range n {
					wg.Go(func() { exchange(direct) })
				}
				wg.Wait()
				requests += n
			}
			b.ReportMetric(float64(sent)/byteCountCalls, "B/request")
			b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(requests), "cpu-µs/request")
		})
	}
}

// startAskServer serves the peer API of an instance that owns a shard of 43 engines, and returns its address.
func startAskServer(b *testing.B, ctx context.Context) string {
	t := newRoutingState("owner")
	r := &route{id: "model-1/centre-1/0", pool: "model-1", candidates: []core.InstanceID{"owner"}}
	for k := range 43 {
		r.endpoints = append(r.endpoints, endpoint.Spec{ID: core.EndpointID(fmt.Sprint("engine-", k)), Pool: "model-1", Address: "10.0.0.1:8000"})
	}
	t.current.Store(&routingTable{shards: map[core.ShardID]*route{r.id: r}})
	l := newControlLoop("owner", logr.Discard(), t, metrics.NewRegistry())
	l.newShard = shardFactory(&Settings{Name: "owner", Limits: Limits{Queue: 4096}})
	l.suspend, l.raiseFloor = func(admission.Suspend) {}, func(core.Pool, core.Tier) {}
	go l.run(ctx)
	s, err := listen(systemNetwork{}, netip.MustParseAddrPort("127.0.0.1:0"), peer.NewServer(peer.NewHandler(&peerService{self: "owner", loop: l}, func(string) bool { return true })))
	if err != nil {
		b.Fatal(err)
	}
	context.AfterFunc(ctx, func() { s.server.Close() })
	return s.addr
}

// BenchmarkSlopeSyncWire measures a sync and its response between two instances, as BenchmarkSlopeAsk does for asks.
func BenchmarkSlopeSyncWire(b *testing.B) {
	for _, n := range []int{1, 2, 8, 32} {
		b.Run(fmt.Sprint("sample=", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var bytes atomic.Int64
			direct := startAskServer(b, ctx)
			counted := startCountingRelay(b, ctx, direct, &bytes)
			client := peer.NewClient(peer.Options{})
			y := admission.Sync{Holder: "entry-100", Count: n}
			for range n {
				y.Running = append(y.Running, admission.Running{Request: core.RequestID(core.NewID()), Tokens: 200, Age: time.Second})
			}
			exchange := func(addr string) {
				if _, err := client.Sync(ctx, addr, peer.EncodeSync("model-1/centre-1/0", y)); err != nil {
					b.Fatal(err)
				}
			}
			exchange(direct)  // opens the connection
			exchange(counted) // opens the connection
			before := bytes.Load()
			for range byteCountCalls {
				exchange(counted)
			}
			sent := bytes.Load() - before
			cpu, syncs := processorTime(), 0 // measured without the relay
			for b.Loop() {
				exchange(direct)
				syncs++
			}
			b.ReportMetric(float64(sent)/byteCountCalls, "B/sync")
			b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(syncs), "cpu-µs/sync")
		})
	}
}

// BenchmarkSlopePublication measures the message with the counts that an instance of a large fleet sends to the publisher
// of its data centre.
func BenchmarkSlopePublication(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			r := report.NewRecorder("entry-100", time.Now())
			for k := range n {
				r.Accept(core.WorkspaceID(fmt.Sprint("workspace-", k)), core.Tier(k%4), "question").Finish(report.OnTime, report.RequestStats{Prefilled: 1000, Generated: 300})
			}
			var body []byte
			for b.Loop() {
				body, _ = json.Marshal(report.Compact(r.Publication(time.Now(), false), maxCompactRows))
			}
			b.ReportMetric(float64(len(body)), "message-B")
		})
	}
}

// BenchmarkSlopeSpread simulates in how many steps a change reaches all instances. Each instance that learns of the change
// pushes it to three random peers, and each instance exchanges gossip with one random peer per second. The hops are those
// of the pushes.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, n := range []int{8, 40, 200, 920} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, uint64(n)))
			hops, seconds, runs := 0, 0, 0
			for b.Loop() {
				h, s := simulateSpread(r, n)
				hops, seconds, runs = max(hops, h), max(seconds, s), runs+1
			}
			b.ReportMetric(float64(hops), "max-hops")
			b.ReportMetric(float64(seconds), "max-seconds")
		})
	}
}

// simulateSpread returns the number of hops of the pushes, and the seconds of exchanges until the instances that no push
// reached have the change too.
func simulateSpread(r *rand.Rand, n int) (hops, seconds int) {
	informed := make([]bool, n)
	informed[0] = true
	for frontier := []int{0}; len(frontier) > 0; hops++ {
		var next []int
		for range frontier {
			for range 3 {
				if to := r.IntN(n); !informed[to] {
					informed[to] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	for slices.Contains(informed, false) {
		seconds++
		for i := range informed {
			if to := r.IntN(n); informed[i] || informed[to] {
				informed[i], informed[to] = true, true
			}
		}
	}
	return hops, seconds
}

// BenchmarkSlopeFailure computes how many shards change their owner when instances of a region fail at the target size.
func BenchmarkSlopeFailure(b *testing.B) {
	for _, c := range []struct {
		name string
		lost func(it platform.Instance, k int) bool
	}{
		{"instance", func(_ platform.Instance, k int) bool { return k == 0 }},
		{"rack=20", func(it platform.Instance, k int) bool { return k/12 < 20 && it.Centre == "centre-0" }},
		{"centre", func(it platform.Instance, _ int) bool { return it.Centre == "centre-0" }},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := &Settings{Name: "entry-5", Region: "region-0", Centre: "centre-5", Limits: Limits{Width: 64}}
			v := membership.New(membership.Options{Self: s.Name, Region: s.Region, Centre: s.Centre})
			list := fleetList(920)
			v.Apply(time.Now(), list)
			before := buildTable(time.Now(), v, s).table
			remaining := platform.Instances{Revision: 2}
			for k, it := range list.Items {
				if it.Role != platform.InstanceRoleEntry || !c.lost(it, k) {
					remaining.Items = append(remaining.Items, it)
				}
			}
			v.Apply(time.Now(), remaining)
			var after *routingTable
			for b.Loop() {
				after = buildTable(time.Now(), v, s).table
			}
			moved, claims := 0, 0
			for id, r := range after.shards {
				if before.shards[id].candidates[0] != r.candidates[0] {
					moved++
				}
			}
			for k := range after.claimOwners {
				if before.claimOwners[k] != after.claimOwners[k] {
					claims++
				}
			}
			b.ReportMetric(float64(len(list.Items)-len(remaining.Items)), "lost")
			b.ReportMetric(float64(moved), "shards-moved")
			b.ReportMetric(float64(len(after.shards)), "shards")
			b.ReportMetric(float64(claims), "claim-shards-moved")
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
