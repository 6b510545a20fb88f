// Package e2e tests the built command with one process for each instance and stand-in.
package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/process"
	"monsoondale/io/engine"
	wire "monsoondale/wire/engine"
	"monsoondale/wire/platform"
)

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

const template = `// The urgent kinds come first.
{
  "template": "desk",
  "params": [{"name": "weight", "type": "int", "default": 10, "min": 1, "max": 100}],
  "share": "${weight}",
  "kinds": [
    {"name": "question", "tier": 0, "pool": "drafting", "deadline": "20s", "tokens": 20},
    {"name": "draft", "tier": 1, "pool": "drafting", "deadline": "20s", "tokens": 100},
    {"name": "review", "tier": 3, "pool": "drafting", "tokens": 400},
    {"name": "engrave", "tier": 0, "pool": "orders", "service": "orders", "once": true, "method": "POST", "path": "/engrave", "deadline": "20s"},
    {"name": "stock", "tier": 2, "pool": "orders", "service": "orders", "method": "GET", "path": "/stock/", "deadline": "20s"},
  ],
}`

var (
	binary string
	ctx    = context.Background()
	key    = core.NewID()
)

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("monsoondale")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// deploy starts a deployment, applies the template and a workspace with the command line, and waits until each
// instance serves it.
func deploy(opts process.Options) *process.Deployment {
	opts.Binary, opts.Dir, opts.ListLag = binary, GinkgoT().TempDir(), 200*time.Millisecond
	d, err := process.Start(ctx, opts)
	DeferCleanup(d.Stop)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int { return len(readyInstances(d)) }, "10s", "50ms").Should(Equal(opts.Instances))
	writeFile(opts.Dir, "desk.json", template)
	writeFile(opts.Dir, "helsinki.json", fmt.Sprintf(`{"workspace": "helsinki", "template": "desk", "params": {"weight": 20}, "keys": [%q]}`, fleet.HashKey(key)))
	out, code := runCLI(d, "apply", filepath.Join(opts.Dir, "desk.json"), filepath.Join(opts.Dir, "helsinki.json"))
	Expect(code).To(BeZero(), out)
	for n := range d.Instances {
		Eventually(func() bool { return client(d, n).Chat(ctx, chat("question", "hello", 5), 0).Complete() }, "13s", "50ms").
			Should(BeTrue(), "instance %d does not serve the workspace", n)
		Eventually(func() bool { return get(client(d, n), "/services/orders/stock/1").Complete() }, "5s", "50ms").Should(BeTrue())
	}
	return d
}

func writeFile(dir, name, text string) {
	Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
}

// runCLI runs an operator command against the first instance. It returns the output and the exit code.
func runCLI(d *process.Deployment, args ...string) (string, int) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "MONSOONDALE_SERVER=http://"+d.Instances[0].OperatorAddr, "MONSOONDALE_KEY="+d.OperatorKey)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// readyInstances returns the instances that report to be ready.
func readyInstances(d *process.Deployment) (out []*process.Process) {
	for _, p := range d.Instances {
		if r, err := http.Get("http://" + p.OperatorAddr + "/readyz"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				out = append(out, p)
			}
		}
	}
	return out
}

func client(d *process.Deployment, n int) *check.Client {
	return &check.Client{HTTP: http.DefaultClient, Base: "http://" + d.Instances[n].CallerAddr, Key: key, Caller: "clerk"}
}

func chat(kind, text string, tokens int) wire.Chat {
	return wire.Chat{Model: kind, Messages: []wire.Message{{Role: "user", Content: text}}, MaxTokens: tokens}
}

func get(c *check.Client, path string) check.Answer {
	return c.Call(ctx, http.MethodGet, path, "", "", 0)
}

func order(c *check.Client, key string) check.Answer {
	return c.Call(ctx, http.MethodPost, "/services/orders/engrave", key, `{"order": "`+key+`"}`, 0)
}

// fetchLogs returns what each endpoint ran.
func fetchLogs(d *process.Deployment) []check.Log {
	var out []check.Log
	for _, p := range append(append([]*process.Process{}, d.Engines...), d.Services...) {
		items, err := check.FetchLog(ctx, http.DefaultClient, p.Addr)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, check.Log{Endpoint: p.Name, Items: items})
	}
	return out
}

var _ = Describe("a deployment of processes", func() {
	// Guards against errors in the wiring of packages and processes, which the tests of single packages don't show.
	It("serves one request of each kind from end to end", func() {
		d := deploy(process.Options{Centres: 3, Instances: 3, Engines: 3, Services: 1})
		var answers []check.Answer
		for n, kind := range []string{"question", "draft", "review"} {
			whole, streamed := chat(kind, "an epitaph for "+kind, 30), chat(kind, "an epitaph for "+kind, 30)
			streamed.Stream = true
			answers = append(answers, client(d, n).Chat(ctx, whole, 0), client(d, n).Chat(ctx, streamed, 0))
		}
		answers = append(answers, get(client(d, 0), "/services/orders/stock/7"))
		for n := range d.Instances {
			answers = append(answers, order(client(d, n), "plate-1")) // the same key on each instance
		}
		for _, a := range answers {
			Expect(a.Complete()).To(BeTrue(), "%+v", a)
			Expect(a.Request).NotTo(BeEmpty())
		}
		Expect(check.Verify(answers, fetchLogs(d))).To(BeEmpty())

		out, code := runCLI(d, "status", "--output", "json")
		Expect(code).To(BeZero(), out)
		Expect(strings.Count(out, `"state": "live"`)).To(Equal(3), out)
		out, code = runCLI(d, "report")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("helsinki"))
	})

	// Guards against a graceful shutdown that aborts running requests or keeps accepting new ones.
	It("finishes running requests when an instance is terminated", func() {
		d := deploy(process.Options{Centres: 1, Instances: 2, Engines: 2, Services: 1, EngineFlags: []string{"--decode", "50"}})
		answer := make(chan check.Answer, 1)
		go func() { answer <- client(d, 1).Chat(ctx, chat("review", "a long review", 300), 0) }()
		time.Sleep(500 * time.Millisecond)
		d.Instances[1].Terminate()
		Eventually(func() int { return len(readyInstances(d)) }, "1s", "20ms").Should(Equal(1))
		Eventually(func() bool { return order(client(d, 1), core.NewID()).NotRun() }, "5s", "50ms").Should(BeTrue())
		a := <-answer
		Expect(a.Complete()).To(BeTrue(), "%+v", a)
		Eventually(d.Instances[1].Done(), "10s").Should(BeClosed())
		Expect(d.Instances[1].ExitCode()).To(BeZero())
		Expect(check.Verify([]check.Answer{a}, fetchLogs(d))).To(BeEmpty())
	})

	// Guards against requests that are lost when the owner of their shard fails. Places in its queue are soft state: the
	// holder asks again.
	DescribeTable("completes requests when another instance fails", func(fail func(p *process.Process)) {
		d := deploy(process.Options{Centres: 1, Instances: 4, Engines: 2, Services: 1})
		answers := make(chan check.Answer, 4000)
		var stop atomic.Bool
		var callers sync.WaitGroup
		for n := range 3 {
			callers.Go(func() {
				for i := 0; !stop.Load(); i++ {
					answers <- client(d, n).Chat(ctx, chat("question", fmt.Sprint("question ", n, i), 10), 0)
					answers <- order(client(d, n), fmt.Sprint("plate-", n, "-", i))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		fail(d.Instances[3])
		time.Sleep(6 * time.Second)
		stop.Store(true)
		callers.Wait()
		d.Instances[3].Unfreeze()
		close(answers)
		var all []check.Answer
		for a := range answers {
			Expect(a.Complete()).To(BeTrue(), "%+v", a)
			all = append(all, a)
		}
		Expect(len(all)).To(BeNumerically(">", 30))
		Expect(check.Verify(all, fetchLogs(d))).To(BeEmpty())
	},
		Entry("by a kill", (*process.Process).Kill),
		Entry("by a freeze", (*process.Process).Freeze),
	)

	// Guards against new requests at a leaving endpoint later than 3 s after the platform lists it as leaving.
	It("sends no new requests to a leaving endpoint", func() {
		d := deploy(process.Options{Centres: 1, Instances: 2, Engines: 2, Services: 1})
		Expect(d.Registry.MarkLeaving(ctx, platform.Instance{
			Name: "engine-0", Role: platform.InstanceRoleEngine, Region: process.Region, Centre: "test-0", Address: d.Engines[0].Addr, Pool: "drafting",
		})).To(Succeed())
		time.Sleep(3 * time.Second)
		before := len(fetchLogs(d)[0].Items)
		for i := range 20 {
			Expect(client(d, i%2).Chat(ctx, chat("question", fmt.Sprint(i), 5), 0).Complete()).To(BeTrue())
		}
		Expect(fetchLogs(d)[0].Items).To(HaveLen(before))
	})

	// Guards against engines that do not load the new version after a change of a template, also when the instance that
	// controls them dies.
	It("loads the versions that the templates name on all engines", func() {
		d := deploy(process.Options{Centres: 1, Instances: 2, Engines: 2, Services: 1})
		applyVersion := func(version string) string {
			text := strings.Replace(template, `"tokens": 100}`, `"tokens": 100, "model": "epitaph", "version": "`+version+`"}`, 1)
			writeFile(d.Dir(), "desk.json", text)
			out, code := runCLI(d, "apply", filepath.Join(d.Dir(), "desk.json"))
			Expect(code).To(BeZero(), out)
			return version
		}
		versions := func() []string {
			return lo.Map(d.Engines, func(p *process.Process, _ int) string {
				o, err := engine.New(engine.Options{}).Orders(ctx, p.Addr)
				Expect(err).NotTo(HaveOccurred())
				return o.Version
			})
		}
		applyVersion("1")
		Eventually(versions, "40s", "200ms").Should(HaveEach("1"))
		controller := lo.Ternary(strings.Contains(d.Log("entry-0"), "controlling engines"), 0, 1)
		d.Instances[controller].Kill()
		<-d.Instances[controller].Done()
		Expect(d.Registry.Remove(ctx, d.Instances[controller].Name)).To(Succeed())
		if controller == 0 {
			d.Instances[0] = d.Instances[1] // runCLI uses the first instance
		}
		applyVersion("2")
		Eventually(versions, "60s", "200ms").Should(HaveEach("2"))
	})

	// Guards against a configuration that is lost or reverts while the object API is down, and against idempotent
	// requests that fail with it.
	It("serves idempotent requests and refuses orders while the object API is down", func() {
		d := deploy(process.Options{Centres: 1, Instances: 2, Engines: 1, Services: 1})
		d.Objects.Freeze()
		DeferCleanup(d.Objects.Unfreeze)
		Expect(client(d, 0).Chat(ctx, chat("draft", "a text", 10), 0).Complete()).To(BeTrue())
		a := order(client(d, 1), "plate-9")
		Expect(a.NotRun()).To(BeTrue(), "%+v", a)
		Expect(a.Error.Code).To(Equal(core.CodeStoreDown))
		started, err := d.Launch(ctx)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(readyInstances(d)) }, "10s", "50ms").Should(Equal(3), "%s does not take the configuration from its peers", started.Name)
		Expect(client(d, 2).Chat(ctx, chat("draft", "a text", 10), 0).Complete()).To(BeTrue())
		d.Objects.Unfreeze()
		Eventually(func() bool { return order(client(d, 1), "plate-9").Complete() }, "10s", "100ms").Should(BeTrue())
		Expect(check.Verify(nil, fetchLogs(d))).To(BeEmpty())
	})
})
