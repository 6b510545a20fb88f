// Package soak_test runs gateways as processes against stand-ins of the platform, harms them from outside, and checks from
// what callers and endpoints see that the promises of docs/platform.md hold. All random choices follow from a seed.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"monsoondale/platform/fake"
)

var (
	seeds     = flag.Int("seeds", 12, "number of seeds to run")
	firstSeed = flag.Uint64("first", 1, "first seed; the others follow it")
	parallel  = flag.Int("worlds", 3, "number of seeds that run at once")
	size      = flag.Int("instances", 3, "number of instances")
	keep      = flag.String("keep", "", "directory for the logs of seeds that fail; default: they are removed")
)

const (
	trouble        = 6 * time.Second // length of the time with faults
	recovery       = 5 * time.Second // within which all instances serve again after it
	endpoints      = 4
	callersPerNode = 10
)

// failedSeeds are seeds that broke a promise, each with its cause. They are run first.
var failedSeeds = []uint64{}

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	var err error
	if binary, err = gexec.Build("monsoondale"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	gexec.CleanupBuildArtifacts()
	os.Exit(code)
}

// Guards against broken promises under faults that come in overlapping series: lost, repeated, truncated or foreign
// responses, requests that run twice or after they were refused, instances that end by themselves or do not recover.
func TestSoak(t *testing.T) {
	all := append([]uint64(nil), failedSeeds...)
	for n := range *seeds {
		all = append(all, *firstSeed+uint64(n))
	}
	slots := make(chan int, *parallel) // each has its own addresses
	for n := range *parallel {
		slots <- n
	}
	for _, seed := range all {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slot := <-slots
			defer func() { slots <- slot }()
			run(t, seed, slot)
		})
	}
}

// world is one deployment under test.
type world struct {
	t         *testing.T
	seed      uint64
	dir       string
	store     *fake.Store
	endpoints []*fake.Endpoint
	links     []*link // to the endpoints
	instances []*instance

	mu         sync.Mutex
	version    int // of the configuration
	outcomes   []outcome
	violations []string
	hostile    []float64  // share of the requests of each endpoint that get a faulty response
	faulty     *rand.Rand // draws these responses
	events     []string   // what was done, with times
	started    time.Time
}

// random returns a source of random numbers for one purpose.
func (w *world) random(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(purpose)))
}

func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) record(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, o)
}

// run plays one seed.
func run(t *testing.T, seed uint64, slot int) {
	g := NewWithT(t)
	w := &world{t: t, seed: seed, store: fake.NewStore(), hostile: make([]float64, endpoints), started: time.Now()}
	w.faulty = w.random("responses")
	defer w.store.Close()
	var err error
	w.dir, err = os.MkdirTemp("", "soak")
	g.Expect(err).ToNot(HaveOccurred())
	defer w.cleanUp()
	w.configure()
	for n := range endpoints {
		e := fake.NewEndpoint(fmt.Sprint("e", n), func(r *http.Request) fake.Behaviour { return w.behaviour(n, r.URL.Path) })
		defer e.Close()
		w.endpoints, w.links = append(w.endpoints, e), append(w.links, openLink(t, e.Address()))
		w.register(n, "ready")
	}
	for n := range *size {
		i := &instance{w: w, name: fmt.Sprint("instance-", n), ip: fmt.Sprintf("127.77.%d.%d", slot+1, n+1), store: openLink(t, w.store.Address())}
		w.instances = append(w.instances, i)
		i.writeSettings()
		i.start()
		defer i.close()
	}
	g.Eventually(w.allReady, "10s", "20ms").Should(BeTrue())

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, i := range w.instances {
		for n := range callersPerNode {
			wg.Go(func() { w.caller(ctx, i, n) })
		}
	}
	w.playFaults()
	w.log("faults end")
	w.configure()
	if !eventually(recovery, w.allReady) {
		w.violation("not all instances are ready %v after the faults", recovery)
	}
	cancel()
	wg.Wait()
	w.checkRecovery()
	time.Sleep(500 * time.Millisecond) // for requests that run although they were refused
	w.checkOutcomes()
	for _, v := range w.violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if t.Failed() {
		for _, e := range w.events {
			t.Log(e)
		}
	}
}

// cleanUp keeps the logs of a failed seed if that was asked for, and removes them otherwise.
func (w *world) cleanUp() {
	if w.t.Failed() && *keep != "" {
		if err := os.CopyFS(filepath.Join(*keep, fmt.Sprint(w.seed)), os.DirFS(w.dir)); err != nil {
			w.t.Log(err)
		}
	}
	if err := os.RemoveAll(w.dir); err != nil {
		w.t.Log(err)
	}
}

func (w *world) allReady() bool {
	for _, i := range w.instances {
		if !i.ready() {
			return false
		}
	}
	return true
}

// eventually polls a condition until it holds or the time is up.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// register writes the entry of an endpoint, whose address is that of its link.
func (w *world) register(n int, state string) {
	entry := w.endpoints[n].Entry("s", state, 4)
	entry["addr"] = w.links[n].address()
	w.store.Put("servers", w.endpoints[n].ID, entry)
}

// configure writes a new version of the configuration, each with one route more.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put("config", "main", fake.Configuration(w.version, func(c map[string]any) {
		for n := 2; n <= w.version; n++ {
			c["routes"] = append(c["routes"].([]any), fake.Route(fmt.Sprint("added", n), "idempotent", nil))
		}
	}))
}

// behaviour draws the response of an endpoint to a request with a path.
func (w *world) behaviour(n int, path string) fake.Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.faulty
	b := fake.Behaviour{Events: streamEvents, Pause: time.Duration(r.IntN(15)) * time.Millisecond}
	if r.Float64() >= w.hostile[n] {
		return b
	}
	switch r.IntN(10) {
	case 0:
		b.Reject = true
	case 1:
		b.DropResponse = true
	case 2:
		b.Unsigned = true
	case 3:
		b.BreakAfter = 1 + r.IntN(streamEvents)
	case 4:
		b.Status = http.StatusInternalServerError
	case 5:
		b.Misdirected = true
	case 6:
		b.Duplicate = !strings.HasPrefix(path, "/stream")
	default:
		b.Unframed, b.Reset = true, r.IntN(3) == 0
		b.CutEvents, b.Cut = r.IntN(streamEvents+1), max(0, r.IntN(40)-20)
	}
	return b
}

// checkRecovery checks that each instance serves requests with the newest configuration after the faults.
func (w *world) checkRecovery() {
	path := fmt.Sprintf("/added%d/", w.version)
	for _, i := range w.instances {
		c := &http.Transport{}
		last := outcome{}
		if !eventually(recovery, func() bool {
			last = w.call(c, i, path, fmt.Sprint("recovered-", i.name, "-", time.Now().UnixNano()), time.Second)
			return last.status == http.StatusOK
		}) {
			w.violation("%s does not serve the newest route after the faults: %+v", i.name, last)
		}
		c.CloseIdleConnections()
	}
}

// checkOutcomes checks what each caller saw.
func (w *world) checkOutcomes() {
	runs := map[string][]fake.Run{}
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	served, statuses := 0, map[int]int{}
	for _, o := range w.outcomes {
		statuses[o.status]++
		if o.status == http.StatusOK && o.err == nil {
			served++
		}
		if reason := o.check(runs[o.id]); reason != "" {
			w.violation("request %s to %s at %.3f s %s: %+v\n%+v\n%s", o.id, o.path, o.at.Sub(w.started).Seconds(), reason, o, runs[o.id], w.logLines(`"`+o.id+`"`))
		}
	}
	// Without this, a soak in which nothing is served would find nothing.
	if served*4 < len(w.outcomes) {
		w.violation("only %d of %d requests were served", served, len(w.outcomes))
	}
	w.t.Logf("%d faults, %d requests, %d served; by status: %v", len(w.events), len(w.outcomes), served, statuses)
}
