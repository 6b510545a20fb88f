//go:build !race

package faults

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"monsoondale/internal/check"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/process"
	"monsoondale/io/operator"
	wire "monsoondale/wire/engine"
)

// TestProcesses freezes real processes with SIGSTOP. Unlike a freeze in a synctest bubble this stops their timers too,
// so that processes see a gap of the clock.
func TestProcesses(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "monsoondale")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "monsoondale").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, tc := range []struct {
		name   string
		frozen func(d *process.Deployment) *process.Process
	}{
		{"holder", func(d *process.Deployment) *process.Process { return d.Instances[0] }},
		{"another instance", func(d *process.Deployment) *process.Process { return d.Instances[1] }},
		{"engine", func(d *process.Deployment) *process.Process { return d.Engines[0] }},
		{"service", func(d *process.Deployment) *process.Process { return d.Services[0] }},
		{"object API", func(d *process.Deployment) *process.Process { return d.Objects }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d, err := process.Start(t.Context(), process.Options{
				Binary: binary, Dir: t.TempDir(), Centres: 1, Instances: 3, Engines: 2, Services: 1,
				EngineFlags: []string{"--decode", "100"}, ServiceFlags: []string{"--delay", "300ms"}, ListLag: 200 * time.Millisecond,
			})
			t.Cleanup(d.Stop)
			if err != nil {
				t.Fatal(err)
			}
			ctx := t.Context()
			eventually := func(what string, f func() bool) {
				t.Helper()
				for until := time.Now().Add(15 * time.Second); !f(); time.Sleep(100 * time.Millisecond) {
					if time.Now().After(until) {
						t.Fatal(what)
					}
				}
			}
			for _, o := range []operator.Change{
				{Kind: "template", Name: "desk", File: "desk", Text: fmt.Sprintf(template, 0)},
				{Kind: "workspace", Name: "hel", File: "hel", Text: fmt.Sprintf(`{"workspace":"hel","template":"desk","params":{},"keys":[%q]}`, fleet.HashKey(apiKey))},
			} {
				eventually("the configuration is not accepted", func() bool {
					_, err := operator.NewClient("http://"+d.Instances[0].OperatorAddr, d.OperatorKey).Put(ctx, o)
					return err == nil
				})
			}
			var mu sync.Mutex
			var answers []check.Answer
			record := func(a check.Answer) check.Answer {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				return a
			}
			client := func(n int) *check.Client {
				return &check.Client{HTTP: http.DefaultClient, Base: "http://" + d.Instances[n].CallerAddr, Key: apiKey, Caller: "clerk"}
			}
			chat := func(n, tokens int) check.Answer {
				return record(client(n).Chat(ctx, wire.Chat{
					Model: "draft", MaxTokens: tokens, Stream: true, Messages: []wire.Message{{Role: "user", Content: fmt.Sprint("tier=1 ", n, tokens)}},
				}, 0))
			}
			order := func(n int, key string) check.Answer {
				return record(client(n).Call(ctx, http.MethodPost, "/services/orders/engrave", key, fmt.Sprintf(`{"order":%q}`, key), 0))
			}
			for n := range d.Instances {
				eventually("the instance does not serve", func() bool { return chat(n, 5).Complete() && order(n, fmt.Sprint("first-", n)).Complete() })
			}
			var requests sync.WaitGroup
			for n := range d.Instances {
				requests.Go(func() { chat(n, 200) })
				for i := range 8 {
					requests.Go(func() {
						time.Sleep(time.Duration(i) * 100 * time.Millisecond)
						order(n, fmt.Sprint("plate-", n, "-", i))
					})
				}
			}
			time.Sleep(350 * time.Millisecond)
			p := tc.frozen(d)
			p.Freeze()
			time.Sleep(6 * time.Second) // longer than the validity of grants (2 s) and claims (5 s)
			p.Unfreeze()
			requests.Wait()
			for n := range d.Instances {
				for i := range 8 {
					eventually("the order key is not usable", func() bool {
						a := order((n+1)%3, fmt.Sprint("plate-", n, "-", i))
						return a.Complete() || a.Error != nil && a.Error.Class == "unknown"
					})
				}
				eventually("the instance does not serve any more", func() bool { return chat(n, 6).Complete() })
			}
			var logs []check.Log
			for _, e := range append(append([]*process.Process{}, d.Engines...), d.Services...) {
				items, err := check.FetchLog(ctx, http.DefaultClient, e.Addr)
				if err != nil {
					t.Fatal(err)
				}
				logs = append(logs, check.Log{Endpoint: e.Name, Items: items})
			}
			for _, f := range check.Verify(answers, logs) {
				t.Error(f)
			}
		})
	}
}
