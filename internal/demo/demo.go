// Package demo runs two small deployments in one process over loopback connections, sends traffic and compares all
// counts of the instances with the logs of the endpoints.
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

// Counts holds the counts that the instances report for one pool, merged over all instances of the region.
type Counts struct {
	Dispatched int // requests sent to endpoints
	Done       int // dispatched requests whose complete answer arrived, whether or not the caller was still connected
	Cancelled  int // dispatched requests that were cancelled because their caller had disconnected
	NotRun     int // requests answered with a code of class "not run"
}

// Report is the merged report of the instances.
type Report struct {
	Text  string // as printed for an operator
	Pools map[string]Counts
}

// Options configures Run.
type Options struct {
	Launch fleet.LaunchFunc
	// Report reads the merged report from the operator listener of an instance. The URL operator has no trailing slash.
	Report func(ctx context.Context, c *http.Client, operator, key string) (Report, error)
	// Network returns the network of a named process, as in fleet.Options; default that of the operating system.
	Network func(process string) fleet.Network
	Out     io.Writer
}

const (
	// runTimeout bounds the whole demo, so that a fault leads to an error message instead of a hanging command.
	runTimeout = 50 * time.Second
	// configTimeout is the time within which accepted configuration must be in force at all instances.
	configTimeout = 13 * time.Second
	// settleTimeout bounds each wait for a state that is reached with a delay: endpoints known to all instances, the end
	// of an order in progress, idle endpoints after their callers have disconnected, a report that includes all requests.
	settleTimeout = 10 * time.Second
	// claimTimeout is the time after which an instance refuses an order that it could not claim, see order.Options.
	claimTimeout = 3 * time.Second
	// waveCount is the number of waves of traffic, see request.
	waveCount = 3
)

// Run runs the demo. It prints all differences; the error contains the first one.
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
		return errors.Errorf("%d differences; the first: %s", len(problems), problems[0])
	}
	fmt.Fprintln(o.Out, "All counts agree with the endpoints' logs.")
	return nil
}

// result is the output and the differences of one deployment.
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
	opts.Launch, opts.Network = o.Launch, o.Network
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

// configure creates the template and the workspaces, waits until all instances use them, and returns the API keys by
// workspace.
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

// outcome is a request with the last answer to it.
type outcome struct {
	request
	check.Answer
}

// sendTraffic sends the traffic wave by wave. It returns the outcome of each request and all answers.
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
				all := q.send(ctx, f, keys[q.workspace])
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

// warmUp sends each instance one idempotent request of each pool until it is answered: the instance list, from which
// instances learn the endpoints, shows changes with a delay.
func warmUp(ctx context.Context, f *fleet.Fleet, traffic []request, keys map[string]string) (out []check.Answer) {
	idempotent := lo.Filter(traffic, func(q request, _ int) bool { return q.order == "" && q.hangUpParts == 0 })
	for _, q := range lo.UniqBy(idempotent, func(q request) string { return q.pool }) {
		for instance := range f.Instances {
			for deadline := time.Now().Add(settleTimeout); ; {
				q.instance = instance
				a := q.send(ctx, f, keys[q.workspace])
				out = append(out, a...)
				if a[0].Complete() || time.Now().After(deadline) || !fake.Sleep(ctx, 100*time.Millisecond) {
					break
				}
			}
		}
	}
	return out
}

// send sends the request and returns all answers. An order is sent again, as its code advises, if the object API did not answer
// in time; and in the last wave, or after such an answer, while the order is still in progress.
func (q request) send(ctx context.Context, f *fleet.Fleet, key string) (out []check.Answer) {
	c := f.Client(q.instance, key, q.caller)
	storeWasSlow := false
	for deadline := time.Now().Add(settleTimeout); ; {
		var a check.Answer
		if q.chat != nil {
			a = c.Chat(ctx, *q.chat, q.hangUpParts)
		} else {
			a = q.call(ctx, f, c)
		}
		a.Label = q.pool
		out = append(out, a)
		slow := q.order != "" && a.Error != nil && a.Error.Code == core.CodeStoreDown && a.Duration >= claimTimeout
		storeWasSlow = storeWasSlow || slow
		inProgress := a.Error != nil && a.Error.Code == core.CodeInProgress && (q.wave == waveCount-1 || storeWasSlow)
		retry := (slow || inProgress) && time.Now().Before(deadline)
		if !retry || !fake.Sleep(ctx, 200*time.Millisecond) {
			return out
		}
	}
}

// call sends a request to a plain service. If the caller is to hang up, it does so while the request runs.
func (q request) call(ctx context.Context, f *fleet.Fleet, c *check.Client) check.Answer {
	if q.hangUpAtRun == "" {
		return c.Call(ctx, q.method, q.path, q.order, q.body, 0)
	}
	ctx, hangUp := context.WithCancel(ctx)
	defer hangUp()
	go func() {
		for !isLogged(f, q.hangUpAtRun) && fake.Sleep(ctx, 5*time.Millisecond) {
		}
		hangUp()
	}()
	return c.Call(ctx, q.method, q.path, q.order, q.body, settleTimeout)
}

// isLogged reports whether a service has logged a request with the business key.
func isLogged(f *fleet.Fleet, key string) bool {
	return slices.ContainsFunc(f.Endpoints, func(e *fleet.Endpoint) bool {
		return e.Service != nil && slices.ContainsFunc(e.Service.Log().Items, func(r wire.Run) bool { return r.Key == key })
	})
}

// waitIdle waits until no request runs at any endpoint, up to settleTimeout, and returns the logs.
func waitIdle(ctx context.Context, f *fleet.Fleet) ([]check.Log, error) {
	for deadline := time.Now().Add(settleTimeout); ; {
		logs, err := f.Logs(ctx)
		if err != nil {
			return nil, err
		}
		running := 0
		for _, runs := range check.SumByPool(logs) {
			running += runs.Running
		}
		if running == 0 || time.Now().After(deadline) || !fake.Sleep(ctx, 50*time.Millisecond) {
			return logs, nil
		}
	}
}

// awaitReport reads the report until it agrees with the logs, up to settleTimeout. Reports are merged on demand, but an
// instance records the end of an abandoned request slightly later than its endpoint.
func awaitReport(ctx context.Context, o Options, f *fleet.Fleet, logs []check.Log, answers []check.Answer) (Report, error) {
	for deadline := time.Now().Add(settleTimeout); ; {
		report, err := o.Report(ctx, f.HTTP, "http://"+f.Instances[0].OperatorAddr(), f.OperatorKey)
		if err == nil && len(countMismatches(f, report, logs, answers)) == 0 || time.Now().After(deadline) || !fake.Sleep(ctx, 200*time.Millisecond) {
			return report, err
		}
	}
}

// unexpectedOutcomes describes the requests whose outcome is not possible in a run without faults.
func unexpectedOutcomes(outcomes []outcome, logs []check.Log) (out []string) {
	states := map[string]wire.RunState{}
	for _, l := range logs {
		for _, r := range l.Items {
			states[r.Request] = r.State
		}
	}
	completedDuplicates := map[string]int{}
	for _, o := range outcomes {
		switch complete := o.Complete(); {
		case o.duplicate && complete:
			completedDuplicates[o.order]++
		case o.duplicate && o.Error != nil && o.Error.Code == core.CodeInProgress:
			completedDuplicates[o.order] += 0
		case o.hangUpParts > 0 && o.HungUp:
			if s := states[o.Request]; s != wire.RunStateCancelled {
				out = append(out, fmt.Sprintf("%s request %s: its caller hung up, but its state in the endpoint's log is %q", o.kind, o.Request, s))
			}
		case o.hangUpAtRun != "" && (complete || o.HungUp && o.Error == nil):
		case !complete || o.hangUpParts > 0:
			out = append(out, fmt.Sprintf("%s request %s %s: complete=%t, status %d, error %+v, %v", o.kind, cmp.Or(o.Request, "without id"), o.order, complete, o.Status, o.Error, o.Err))
		}
	}
	for order, n := range completedDuplicates {
		if n == 0 {
			out = append(out, fmt.Sprintf("order %s was sent to two instances at once and completed at neither", order))
		}
	}
	slices.Sort(out)
	return out
}

// countMismatches describes the counts of the instances' report and of the object API that differ from the endpoints'
// logs.
func countMismatches(f *fleet.Fleet, report Report, logs []check.Log, answers []check.Answer) (out []string) {
	compareCount := func(name string, got, want int) {
		if got != want {
			out = append(out, fmt.Sprintf("%s: %d, but %d in the endpoint logs", name, got, want))
		}
	}
	sums, tallies := check.SumByPool(logs), check.TallyByLabel(answers)
	for _, pool := range slices.Sorted(maps.Keys(sums)) {
		s, got := sums[pool], report.Pools[pool]
		compareCount(pool+": dispatched in the report", got.Dispatched, s.Dispatched)
		compareCount(pool+": done in the report", got.Done, s.Done)
		compareCount(pool+": cancelled in the report", got.Cancelled, s.Cancelled)
		if got.NotRun != tallies[pool].NotRun {
			out = append(out, fmt.Sprintf("%s: not run in the report: %d, but callers received %d", pool, got.NotRun, tallies[pool].NotRun))
		}
		compareCount(pool+": still running", s.Running, 0)
	}
	effects, doneClaims, orderKeys := 0, 0, map[string]bool{}
	for _, l := range logs {
		for _, r := range l.Items {
			if r.Key != "" {
				effects += r.Dispatches
			}
		}
	}
	for _, c := range check.Claims(f.Objects.Items("claim")) {
		if c.State == peer.ClaimStateDone {
			doneClaims++
		}
		orderKeys[c.Key] = true
	}
	confirmedOrders := map[string]bool{}
	for _, a := range answers {
		if a.OrderKey != "" && a.Complete() {
			confirmedOrders[a.OrderKey] = true
		}
	}
	compareCount("orders recorded as done in the object API", doneClaims, effects)
	compareCount("order keys in the object API", len(orderKeys), effects)
	compareCount("orders confirmed to callers", len(confirmedOrders), effects)
	return out
}

// formatTables formats the counts of answers and of endpoint log entries by pool.
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
	_ = w.Flush() // writes to a strings.Builder never fail
	return b.String()
}
