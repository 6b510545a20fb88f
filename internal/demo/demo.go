// Package demo runs two small deployments in one process over loopback connections, places traffic and compares every
// count with the endpoints' own logs.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/internal/check"
	"monsoondale/internal/fake"
	"monsoondale/internal/fake/fleet"
	wire "monsoondale/wire/engine"
	"monsoondale/wire/peer"
)

// Counts is what the instances report of one pool, merged over all instances of the region.
type Counts struct {
	Dispatched int // requests sent to endpoints
	Done       int // dispatched requests whose answer arrived complete, whether or not the caller still waited
	Cancelled  int // dispatched requests that were cancelled because their caller had gone
	NotRun     int // requests answered with a code of class "not run"
}

// Report is the instances' own report.
type Report struct {
	Text  string // as an operator sees it
	Pools map[string]Counts
}

// Options configures a run.
type Options struct {
	Launch fleet.LaunchFunc
	// Report reads the merged report from an instance's operator listener (URL without a trailing slash).
	Report func(ctx context.Context, c *http.Client, operator, key string) (Report, error)
	Out    io.Writer
}

const (
	// runTimeout bounds a run, so that a fault ends in a message instead of a hanging command.
	runTimeout = 50 * time.Second
	// configTimeout is the time within which an accepted configuration must be in force on all instances.
	configTimeout = 13 * time.Second
	// settleTimeout bounds the wait for work that goes on after its callers have gone, and for the reports to include it.
	settleTimeout = 10 * time.Second
	// waveCount is the number of waves of traffic, see request.
	waveCount = 3
)

// Run runs the demo. The error names the first count that differs; all of them are printed.
func Run(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	results := make([]result, len(deployments))
	var wg sync.WaitGroup
	for i, d := range deployments {
		wg.Go(func() { results[i] = runDeployment(ctx, o, d) })
	}
	wg.Wait()
	var problems []string
	for _, r := range results {
		fmt.Fprint(o.Out, r.output)
		problems = append(problems, r.problems...)
	}
	if len(problems) > 0 {
		return errors.Errorf("%d differences, the first: %s", len(problems), problems[0])
	}
	fmt.Fprintln(o.Out, "All counts agree with the endpoints' logs.")
	return nil
}

// result is the outcome of one deployment.
type result struct {
	output   string
	problems []string
}

func (r *result) addProblem(format string, args ...any) {
	p := fmt.Sprintf(format, args...)
	r.problems = append(r.problems, p)
	r.output += "DIFFERS: " + p + "\n"
}

func runDeployment(ctx context.Context, o Options, d deployment) (r result) {
	start := time.Now()
	r.output = "== " + d.title + "\n"
	opts := d.fleet
	opts.Launch = o.Launch
	f, err := fleet.Start(ctx, opts)
	defer func() {
		if err := f.Stop(ctx); err != nil {
			r.addProblem("%s: graceful shutdown: %v", d.title, err)
		}
	}()
	if err != nil {
		r.addProblem("%s: start: %v", d.title, err)
		return r
	}
	keys, err := configure(ctx, f, d)
	if err != nil {
		r.addProblem("%s: configuration: %v", d.title, err)
		return r
	}
	configured := time.Since(start)
	outcomes, answers := sendTraffic(ctx, f, d.traffic(), keys)
	logs, err := waitIdle(ctx, f)
	if err != nil {
		r.addProblem("%s: endpoint logs: %v", d.title, err)
		return r
	}
	report, err := awaitReport(ctx, o, f, logs, answers)
	if err != nil {
		r.addProblem("%s: report: %v", d.title, err)
	}
	r.output += fmt.Sprintf("configuration in force after %v, traffic ended after %v\n", configured.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	r.output += formatTables(answers, logs) + strings.TrimRight(report.Text, "\n") + "\n"
	for _, f := range check.Verify(answers, logs) {
		r.addProblem("%s", f)
	}
	for _, p := range unexpectedOutcomes(outcomes, logs) {
		r.addProblem("%s", p)
	}
	for _, p := range countMismatches(f, report, logs, answers) {
		r.addProblem("%s", p)
	}
	return r
}

// configure applies the template at one instance and the workspaces at another one, and returns the API keys.
func configure(ctx context.Context, f *fleet.Fleet, d deployment) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return nil, err
	}
	if err := f.Put(ctx, 0, "template", d.template, d.document); err != nil {
		return nil, err
	}
	keys := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.workspaces)) {
		keys[name] = core.NewID()
		document := fmt.Sprintf(`{"workspace": %q, "template": %q, "params": %s, "keys": [%q]}`, name, d.template, d.workspaces[name], fleet.HashKey(keys[name]))
		if err := f.Put(ctx, 0, "workspace", name, document); err != nil {
			return nil, err
		}
	}
	for _, key := range keys {
		if err := f.WaitModelListed(ctx, key, d.model); err != nil {
			return nil, err
		}
	}
	return keys, nil
}

// outcome is a request with its last answer.
type outcome struct {
	request
	check.Answer
}

// sendTraffic places the traffic, wave by wave, and returns the last answer per request and all answers.
func sendTraffic(ctx context.Context, f *fleet.Fleet, traffic []request, keys map[string]string) ([]outcome, []check.Answer) {
	var mu sync.Mutex
	var outcomes []outcome
	answers := warmUp(ctx, f, traffic, keys)
	for wave := range waveCount {
		var wg sync.WaitGroup
		for _, q := range traffic {
			if q.wave != wave {
				continue
			}
			wg.Go(func() {
				c := f.Client(q.instance, keys[q.workspace], q.caller)
				all := q.send(ctx, c)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{q, all[len(all)-1]})
				answers = append(answers, all...)
			})
		}
		wg.Wait()
	}
	return outcomes, answers
}

// warmUp asks each instance for an idempotent request of each pool until it is answered: instances learn of endpoints
// from the instance list, which lags.
func warmUp(ctx context.Context, f *fleet.Fleet, traffic []request, keys map[string]string) (out []check.Answer) {
	idempotent := lo.Filter(traffic, func(q request, _ int) bool { return q.order == "" && q.hangUpParts == 0 })
	for _, q := range lo.UniqBy(idempotent, func(q request) string { return q.pool }) {
		for at := range f.Instances {
			for end := time.Now().Add(settleTimeout); ; {
				a := q.send(ctx, f.Client(at, keys[q.workspace], q.caller))
				out = append(out, a...)
				if a[0].Complete() || time.Now().After(end) || !fake.Sleep(ctx, 100*time.Millisecond) {
					break
				}
			}
		}
	}
	return out
}

// send sends the request. A repeat that finds its order still in progress is sent again.
func (q request) send(ctx context.Context, c *check.Client) (out []check.Answer) {
	for end := time.Now().Add(settleTimeout); ; {
		var a check.Answer
		if q.chat != nil {
			a = c.Chat(ctx, *q.chat, q.hangUpParts)
		} else {
			a = c.Call(ctx, q.method, q.path, q.order, q.body, q.hangUpAfter)
		}
		a.Label = q.pool
		out = append(out, a)
		again := q.wave == waveCount-1 && a.Error != nil && a.Error.Code == core.CodeInProgress && time.Now().Before(end)
		if !again || !fake.Sleep(ctx, 200*time.Millisecond) {
			return out
		}
	}
}

// waitIdle waits until no endpoint runs anything and returns the logs.
func waitIdle(ctx context.Context, f *fleet.Fleet) ([]check.Log, error) {
	for end := time.Now().Add(settleTimeout); ; {
		logs, err := f.Logs(ctx)
		if err != nil {
			return nil, err
		}
		running := 0
		for _, s := range check.SumByPool(logs) {
			running += s.Running
		}
		if running == 0 || time.Now().After(end) || !fake.Sleep(ctx, 50*time.Millisecond) {
			return logs, nil
		}
	}
}

// awaitReport reads the report until it agrees with the logs or the time is up. Reports are merged on demand, but an
// instance notes the end of an abandoned request slightly after its endpoint does.
func awaitReport(ctx context.Context, o Options, f *fleet.Fleet, logs []check.Log, answers []check.Answer) (Report, error) {
	for end := time.Now().Add(settleTimeout); ; {
		report, err := o.Report(ctx, f.HTTP, "http://"+f.Instances[0].OperatorAddr(), f.OperatorKey)
		if err == nil && len(countMismatches(f, report, logs, answers)) == 0 || time.Now().After(end) || !fake.Sleep(ctx, 200*time.Millisecond) {
			return report, err
		}
	}
}

// unexpectedOutcomes names requests whose outcome differs from that of an undisturbed run.
func unexpectedOutcomes(outcomes []outcome, logs []check.Log) (out []string) {
	states := map[string]wire.RunState{}
	for _, l := range logs {
		for _, r := range l.Items {
			states[r.Request] = r.State
		}
	}
	completedDuplicates := map[string]int{}
	for _, p := range outcomes {
		switch complete := p.Complete(); {
		case p.duplicate && complete:
			completedDuplicates[p.order]++
		case p.duplicate && p.Error != nil && p.Error.Code == core.CodeInProgress:
			completedDuplicates[p.order] += 0
		case p.hangUpParts > 0 && p.HungUp:
			if s := states[p.Request]; s != wire.RunStateCancelled {
				out = append(out, fmt.Sprintf("%s request %s: its caller hung up, but by its endpoint's log it is %q", p.kind, p.Request, s))
			}
		case p.hangUpAfter > 0 && (p.HungUp || complete):
		case !complete || p.hangUpParts > 0:
			out = append(out, fmt.Sprintf("%s request %s %s: complete=%t, status %d, error %+v, %v", p.kind, cmp.Or(p.Request, "without id"), p.order, complete, p.Status, p.Error, p.Err))
		}
	}
	for order, n := range completedDuplicates {
		if n == 0 {
			out = append(out, fmt.Sprintf("order %s was placed at two instances at once and completed at none", order))
		}
	}
	slices.Sort(out)
	return out
}

// countMismatches returns the counts of the instances' report and of the object API that differ from the endpoints' logs.
func countMismatches(f *fleet.Fleet, report Report, logs []check.Log, answers []check.Answer) (out []string) {
	compareCount := func(name string, got, want int) {
		if got != want {
			out = append(out, fmt.Sprintf("%s: %d, by endpoint logs %d", name, got, want))
		}
	}
	sums, tallies := check.SumByPool(logs), check.TallyByLabel(answers)
	for _, pool := range slices.Sorted(maps.Keys(sums)) {
		s, got := sums[pool], report.Pools[pool]
		compareCount(pool+": dispatched in the report", got.Dispatched, s.Dispatched)
		compareCount(pool+": done in the report", got.Done, s.Done)
		compareCount(pool+": cancelled in the report", got.Cancelled, s.Cancelled)
		if got.NotRun != tallies[pool].NotRun {
			out = append(out, fmt.Sprintf("%s: not run in the report: %d, by callers %d", pool, got.NotRun, tallies[pool].NotRun))
		}
		compareCount(pool+": still running", s.Running, 0)
	}
	effects, done, keys := 0, 0, map[string]bool{}
	for _, l := range logs {
		for _, r := range l.Items {
			if r.Key != "" {
				effects += r.Dispatches
			}
		}
	}
	for _, c := range check.Claims(f.Objects.Items("claim")) {
		if c.State == peer.ClaimStateDone {
			done++
		}
		keys[c.Key] = true
	}
	orders := map[string]bool{}
	for _, a := range answers {
		if a.OrderKey != "" && a.Complete() {
			orders[a.OrderKey] = true
		}
	}
	compareCount("orders recorded as done in the object API", done, effects)
	compareCount("order keys in the object API", len(keys), effects)
	compareCount("orders confirmed to callers", len(orders), effects)
	return out
}

// formatTables prints the callers' view by pool and the endpoints' view.
func formatTables(answers []check.Answer, logs []check.Log) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "callers\tasked\tcomplete\tnot run\tfailed\tunknown\thung up\tlost")
	tallies := check.TallyByLabel(answers)
	for _, pool := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[pool]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", pool, t.Asked, t.Complete, t.NotRun, t.Failed, t.Unknown, t.HungUp, t.Lost)
	}
	fmt.Fprintln(w, "endpoint logs\tdispatched\tdone\tcancelled\tfailed")
	sums := check.SumByPool(logs)
	for _, pool := range slices.Sorted(maps.Keys(sums)) {
		s := sums[pool]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", pool, s.Dispatched, s.Done, s.Cancelled, s.Failed)
	}
	_ = w.Flush() // a strings.Builder never fails
	return b.String()
}
