package faults

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/core/lease"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/service"
	ioengine "monsoondale/io/engine"
	"monsoondale/io/objectapi"
	"monsoondale/io/operator"
	wire "monsoondale/wire/engine"
)

// instanceIndex returns the index of an instance in the fleet.
func (r *run) instanceIndex(name string) int {
	_, n, _ := lo.FindIndexOf(r.fleet.Instances, func(i *fleet.Instance) bool { return i.Name == name })
	return n
}

// startConfigWatch records every 250 ms which version of the configuration each instance shows, until the traffic ends.
func (r *run) startConfigWatch() {
	for _, i := range r.fleet.Instances {
		r.traffic.Go(func() {
			for !r.isDead(i.Name) {
				if v := r.shownVersion(i); v >= 0 {
					r.mu.Lock()
					r.history.Observed = append(r.history.Observed, check.ObservedVersion{Instance: i.Name, At: time.Now(), Version: v})
					r.mu.Unlock()
				}
				select {
				case <-r.stopTraffic:
					return
				case <-time.After(250 * time.Millisecond):
				}
			}
		})
	}
}

// shownVersion reads the version that an instance shows to callers as the name of a model. It returns -1 if there is
// none.
func (r *run) shownVersion(inst *fleet.Instance) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.CallerAddr()+"/v1/models", nil)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := r.fleet.HTTP.Do(req)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var body struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if decodeJSON(resp.Body, &body) != nil {
		return -1
	}
	for _, m := range body.Data {
		if v, err := strconv.Atoi(strings.TrimPrefix(m.ID, "v")); err == nil {
			return v
		}
	}
	return -1
}

// putTemplate writes a version of the template through an instance, like an operator who has read the expected version of
// the object.
func (r *run) putTemplate(name string, version int, expected int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := r.fleet.OperatorClient(r.instanceIndex(name))
	_, err := client.Put(ctx, operator.Change{Kind: "template", Name: "desk", File: "desk", Text: fmt.Sprintf(template, version), Version: expected})
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Accepted = append(r.history.Accepted, check.AcceptedVersion{At: time.Now(), Version: version})
	}
	return err
}

func (r *run) currentVersion(name string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	o, err := r.fleet.OperatorClient(r.instanceIndex(name)).Get(ctx, "template", "desk")
	if err != nil {
		return 0
	}
	return o.Version
}

// changeOutcome describes what the operator of a change was told.
func changeOutcome(err error) string {
	var apiErr *operator.APIError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &apiErr):
		return fmt.Sprintf("%s %d", apiErr.Err.Code.Class(), apiErr.Err.Code)
	}
	return "lost"
}

// runChange runs a cell of a configuration change: version 1 through the holder, during which the fault is injected, and
// version 3 through another instance afterwards.
func (c cell) runChange(t *testing.T) (res result) {
	res.cell = c
	synctest.Test(t, func(t *testing.T) {
		r := start(t, options{workload: "chat"})
		r.startConfigWatch()
		time.Sleep(time.Second)
		before := r.currentVersion(r.holder)
		rival := make(chan error, 1)
		r.arm(c.step, "", func() {
			c.injector(r)()
			if c.faults[0].name == "two operators at once" {
				r.traffic.Go(func() { rival <- r.putTemplate(r.owner, 2, before) })
			}
		})
		r.reachStep("asked", "", "")
		err := r.putTemplate(r.holder, 1, before)
		r.reachStep("answered", "", "")
		res.outcome = changeOutcome(err)
		select {
		case <-r.injected:
		case <-time.After(20 * time.Second):
			res.addProblem("the step was not reached")
		}
		time.Sleep(faultTime)
		r.heal()
		if len(rival) > 0 {
			if other := changeOutcome(<-rival); (err == nil) == (other == "accepted") || other != "accepted" && other != "not run 1403" || err != nil && res.outcome != "not run 1403" {
				res.addProblem("the operators were told %s and %s", res.outcome, other)
			}
		}
		time.Sleep(time.Second)
		r.mu.Lock()
		seen := slices.Clone(r.history.Observed)
		r.mu.Unlock()
		if res.outcome == "not run 1406" && lo.SomeBy(seen, func(s check.ObservedVersion) bool { return s.Version == 1 }) {
			res.addProblem("a rejected change was in force")
		}
		name := r.otherInstances()[0]
		for until := time.Now().Add(recoveryBound); ; time.Sleep(500 * time.Millisecond) {
			if err := r.putTemplate(name, 3, r.currentVersion(name)); err == nil {
				break
			} else if time.Now().After(until) {
				res.addProblem("no change is accepted after the fault: %v", err)
				break
			}
		}
		time.Sleep(check.InForceBound + time.Second)
		res.violations = r.finish()
	})
	return res
}

// runDrain runs a cell of a graceful shutdown of the holder with running chats and, unless an endpoint fails, an order.
func (c cell) runDrain(t *testing.T) (res result) {
	res.cell = c
	synctest.Test(t, func(t *testing.T) {
		r := start(t, options{workload: "chat", service: service.Options{Delay: 3 * time.Second}})
		var running sync.WaitGroup
		var mu sync.Mutex
		var drain check.Drain
		startRequest := func(ask func() check.Answer) {
			running.Go(func() {
				a := ask()
				mu.Lock()
				defer mu.Unlock()
				drain.Answers = append(drain.Answers, a)
			})
		}
		r.arm(c.step, "", c.injector(r))
		// The requests run longer than the 7 s after which a shutdown that does not wait closes connections.
		startRequest(func() check.Answer { return r.chat(r.holder, "review", 1000) })
		startRequest(func() check.Answer { return r.chat(r.holder, "draft", 300) })
		if !slices.ContainsFunc(c.faults, func(f fault) bool { return strings.Contains(f.name, "endpoint") }) {
			startRequest(func() check.Answer { return r.order(r.holder, "held") })
		}
		time.Sleep(500 * time.Millisecond)
		r.reachStep("running", "", "")
		time.Sleep(100 * time.Millisecond)
		drain.Instance = r.holder
		stopped := make(chan struct{})
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			drain.Err = r.fleet.Instances[r.instanceIndex(r.holder)].Stop(ctx)
			close(stopped)
		}()
		go func() {
			time.Sleep(2200 * time.Millisecond)
			r.reachStep("drain begun", "", "")
		}()
		select {
		case <-r.injected:
		case <-time.After(20 * time.Second):
			res.addProblem("the step was not reached")
		}
		time.Sleep(faultTime)
		r.heal()
		running.Wait()
		<-stopped
		r.history.Drains = append(r.history.Drains, drain)
		r.mu.Lock()
		r.dead[r.holder] = true
		r.mu.Unlock()
		r.removeDead()
		res.outcome = fmt.Sprintf("%d complete", lo.CountBy(drain.Answers, check.Answer.Complete))
		r.checkRecovery(&res)
		res.violations = r.finish()
	})
	return res
}

// runCommand runs a cell of engine orders: a controller with each instance, on the instance's network, and a change of
// the desired version during the fault.
func (c cell) runCommand(t *testing.T) (res result) {
	res.cell = c
	synctest.Test(t, func(t *testing.T) {
		r := start(t, options{workload: "chat", engine: engine.Options{Fenced: true, LoadTime: time.Second}})
		// One engine does not check fences, so that only reading back corrects it.
		unfenced, _ := lo.Find(r.fleet.Endpoints, func(e *fleet.Endpoint) bool { return e.Engine != nil && e.Centre == region+"-2" })
		unfenced.Engine.IgnoreFences()
		var mu sync.Mutex
		desired := "1"
		controllers := r.startControllers(func() string {
			mu.Lock()
			defer mu.Unlock()
			return desired
		})
		time.Sleep(30 * time.Second) // the first holder takes the lease and commands all engines
		r.holder = controllers.holder()
		r.owner = lo.Without(r.live(), r.holder)[0]
		r.arm(c.step, "", c.injector(r))
		mu.Lock()
		desired = "2"
		mu.Unlock()
		select {
		case <-r.injected:
		case <-time.After(30 * time.Second):
			res.addProblem("the step was not reached")
		}
		time.Sleep(commandFaultTime)
		mu.Lock()
		desired = "3"
		mu.Unlock()
		time.Sleep(10 * time.Second)
		r.heal()
		begin := time.Now()
		// An expired lease is free after its length and margin (17 s). A command may be sent again after 2 min only.
		for !r.converged("3") && time.Since(begin) < 3*time.Minute {
			time.Sleep(time.Second)
		}
		res.outcome = fmt.Sprintf("in force, lease moved: %v", controllers.holder() != r.holder)
		if !r.converged("3") {
			res.addProblem("the engines do not carry the desired version 3 min after the fault")
		}
		for _, e := range r.fleet.Endpoints {
			if e.Engine == nil || e == unfenced {
				continue
			}
			orders := e.Engine.Orders()
			for i := range orders[min(1, len(orders)):] {
				if orders[i+1].Fence < orders[i].Fence {
					res.addProblem("%s accepted fence %d after %d", e.Name, orders[i+1].Fence, orders[i].Fence)
				}
			}
		}
		// The version at an engine never decreases, whichever holder sends: holders agree on the desired version, and one
		// whose lease has expired must not send.
		for _, e := range r.fleet.Endpoints {
			if e.Engine != nil && e != unfenced {
				versions := lo.Map(e.Engine.Orders(), func(o wire.Order, _ int) string { return o.Version })
				for i := range versions[min(1, len(versions)):] {
					if versions[i+1] < versions[i] {
						res.addProblem("%s went from version %s to %s", e.Name, versions[i], versions[i+1])
					}
				}
			}
		}
		controllers.stop()
		res.violations = r.finish()
	})
	return res
}

// commandFaultTime is long enough for the lease to expire: its length is 15 s and the margin 2 s.
const commandFaultTime = 25 * time.Second

// converged reports whether all engines carry the version.
func (r *run) converged(version string) bool {
	return lo.EveryBy(r.fleet.Endpoints, func(e *fleet.Endpoint) bool { return e.Engine == nil || e.Engine.CurrentOrder().Version == version })
}

// controllerGroup holds the engine controllers of all instances.
type controllerGroup struct {
	run    *run
	leases map[string]*lease.Lease
	stop   func()
}

// holder names the instance that holds the lease by the object API.
func (c *controllerGroup) holder() string {
	for _, it := range c.run.fleet.Objects.Items("lease") {
		var rec lease.Record
		if decodeJSON(strings.NewReader(it.Value), &rec) == nil {
			return string(rec.Holder)
		}
	}
	return ""
}

// startControllers starts an engine controller for each instance. A frozen instance keeps the desired version that it
// knew.
func (r *run) startControllers(desired func() string) *controllerGroup {
	c := &controllerGroup{run: r, leases: map[string]*lease.Lease{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, i := range r.fleet.Instances {
		net := r.network.Host(i.Name)
		store := objectapi.New(objectapi.Options{
			BaseURL: r.fleet.ObjectsURL(), Transport: &http.Transport{DialContext: net.DialContext, MaxIdleConnsPerHost: 4},
		})
		var engineOptions ioengine.Options
		engineOptions.Dial = net.DialContext
		l := lease.New(lease.Options{Store: store, Self: core.InstanceID(i.Name), Pool: "drafting"})
		c.leases[i.Name] = l
		known := desired()
		controller := lease.NewController(lease.ControllerOptions{
			Lease: l, Engine: fencedClient{ioengine.New(engineOptions)}, LoadLimiter: rate.NewLimiter(rate.Every(2*time.Second), 3),
			HasWaiting: func(string) bool { return false },
			Targets: func() []lease.Target {
				if !r.network.IsFrozen(i.Name) {
					known = desired()
				}
				return lo.FilterMap(r.fleet.Endpoints, func(e *fleet.Endpoint, _ int) (lease.Target, bool) {
					return lease.Target{
						Endpoint: core.EndpointID(e.Name), Address: e.Server.Addr(), Desired: lease.State{Model: "drafting", Version: known},
					}, e.Engine != nil
				})
			},
		})
		cctx, stop := context.WithCancel(ctx)
		kill := r.stop[i.Name]
		r.stop[i.Name] = func() { kill(); stop() }
		wg.Go(func() { controller.Run(cctx, nil) })
	}
	c.stop = func() { cancel(); wg.Wait() }
	return c
}

// fencedClient translates the apiErr of an old fence into lease.ErrFenced.
type fencedClient struct{ *ioengine.Client }

func (f fencedClient) Order(ctx context.Context, address string, o wire.Order) error {
	err := f.Client.Order(ctx, address, o)
	if errors.Is(err, ioengine.ErrStaleFence) {
		return lease.ErrFenced
	}
	return err
}

// runFlood runs a cell in which requests of tier 1 overload the engines while tier 3 runs, so that some are shed.
func (c cell) runFlood(t *testing.T) (res result) {
	res.cell = c
	synctest.Test(t, func(t *testing.T) {
		r := start(t, options{
			workload: "chat", engine: engine.Options{DecodeRate: 60, HalvingLoad: 2, BatchSize: 4},
			settings: func(s map[string]any) { s["limits"] = map[string]any{"queue": 10} },
		})
		for _, name := range r.live() {
			r.traffic.Go(func() { r.chat(name, "review", 300) })
		}
		time.Sleep(time.Second)
		r.arm(c.step, "", c.injector(r))
		for n := range 150 {
			name := r.live()[n%len(r.live())]
			r.traffic.Go(func() { r.chat(name, "short", 40) })
			time.Sleep(20 * time.Millisecond)
			if n == 10 {
				r.reachStep("flood begins", "", "")
			}
			if n == 75 {
				r.reachStep("shedding", "", "")
			}
		}
		time.Sleep(faultTime)
		r.heal()
		time.Sleep(5 * time.Second)
		r.checkRecovery(&res)
		res.violations = r.finish()
		shed := lo.CountBy(r.history.Answers, func(a check.Answer) bool {
			return a.Error != nil && (a.Error.Code == core.CodeOverloaded || a.Error.Code == core.CodeDeadline)
		})
		res.outcome = fmt.Sprintf("%d shed, %d complete", shed, lo.CountBy(r.history.Answers, check.Answer.Complete))
	})
	return res
}
