package lease

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/wire/engine"
)

// ErrFenced means that an engine refused a command because it has seen a higher fence.
var ErrFenced = errors.New("the engine has seen a higher fence")

// Engine is a client of model engines.
type Engine interface {
	// Orders returns the command in force at an engine.
	Orders(ctx context.Context, address string) (engine.Order, error)
	// Order sends a command to an engine. It fails with ErrFenced if the engine refused the fence. After any other error
	// the command may or may not have taken effect. Commands are declarative: an engine that is executing a command must
	// not start again when the command is repeated.
	Order(ctx context.Context, address string, o engine.Order) error
}

// State is the current or desired state of an engine.
type State struct{ Model, Adapter, Version, Role string }

// Target is the desired state of one engine.
type Target struct {
	Endpoint core.EndpointID
	Address  string
	Leaving  bool // keeps its state, and does not count as a copy of its model
	Desired  State
}

// Command is a command of a plan.
type Command struct {
	Target Target
	Load   bool // whether the engine reads weights from the weight store
}

// Plan returns the commands that lead from the current to the desired states, in a safe order. Engines whose state could not
// be read get no command. The last copy of a model is not removed while work waits for the model; that command follows once
// another engine has the model or the work is done. Engines in pending were sent a command whose effect is not visible yet.
// They come first, because their old copies cannot be relied on. The order is the same at every instance, so that a
// successor repeats pending commands before it sends others.
func Plan(targets []Target, current map[core.EndpointID]State, pending map[core.EndpointID]bool, hasWaiting func(model string) bool) []Command {
	copies := map[string]int{}
	for _, t := range targets {
		if state, ok := current[t.Endpoint]; ok && !t.Leaving && state.Model != "" {
			copies[state.Model]++
		}
	}
	var commands []Command
	for _, t := range targets {
		state, ok := current[t.Endpoint]
		if !ok || t.Leaving || state == t.Desired {
			continue
		}
		loaded := State{state.Model, state.Adapter, state.Version, t.Desired.Role}
		commands = append(commands, Command{Target: t, Load: loaded != t.Desired && t.Desired.Model != ""})
	}
	// After the pending ones come engines without a model, since their commands only add copies, and then engines whose
	// model has the most copies.
	slices.SortStableFunc(commands, func(a, b Command) int {
		ha, hb := current[a.Target.Endpoint], current[b.Target.Endpoint]
		return cmp.Or(
			cmp.Compare(lo.Ternary(pending[a.Target.Endpoint], 0, 1), lo.Ternary(pending[b.Target.Endpoint], 0, 1)),
			cmp.Compare(lo.Ternary(ha.Model == "", 0, 1), lo.Ternary(hb.Model == "", 0, 1)),
			cmp.Compare(copies[hb.Model], copies[ha.Model]),
			cmp.Compare(a.Target.Endpoint, b.Target.Endpoint),
		)
	})
	return lo.Filter(commands, func(c Command, _ int) bool {
		model := current[c.Target.Endpoint].Model
		if model == "" || model == c.Target.Desired.Model {
			return true
		}
		// Copies that this plan adds don't count until an engine reports them.
		if copies[model] <= 1 && !pending[c.Target.Endpoint] && hasWaiting(model) {
			return false
		}
		copies[model]--
		return true
	})
}

// ControllerOptions configures a Controller. Zero fields take the defaults given with them.
type ControllerOptions struct {
	Lease       *Lease
	Engine      Engine
	Targets     func() []Target         // returns the desired states of the pool's engines
	HasWaiting  func(model string) bool // reports whether work waits for a model; default always
	LoadLimiter *rate.Limiter           // rate of loads from the weight store, default one per 10 s
	Now         func() time.Time        // default time.Now
	Timeout     time.Duration           // of one call to an engine, less than the lease's margin; default half of it
	ResendAfter time.Duration           // how long after an accepted command without effect it is repeated, default 2 min
}

// Counters counts the actions of a Controller.
type Counters struct {
	// Commands sent, calls to engines that failed, and commands refused because of a higher fence.
	Sent, Failed, Fenced int64
	// Commands not sent, because the lease is not held for long enough, the load rate is used up, or the engine has the
	// last copy of a model.
	SkippedNoLease, SkippedRate, SkippedLastCopy int64
}

// Controller keeps trying to hold the lease of a pool, and commands the pool's engines while it holds the lease.
type Controller struct {
	opts    ControllerOptions
	mu      sync.Mutex
	fence   core.Fence // of the last Reconcile
	pending map[core.EndpointID]pendingCommand
	counts  struct{ sent, failed, fenced, skippedNoLease, skippedRate, skippedLastCopy atomic.Int64 }
}

// pendingCommand is a command whose effect is not visible yet.
type pendingCommand struct {
	desired State
	sentAt  time.Time
}

// NewController returns a Controller, which acts when Run or Reconcile is called.
func NewController(o ControllerOptions) *Controller {
	if o.LoadLimiter == nil {
		o.LoadLimiter = rate.NewLimiter(rate.Every(10*time.Second), 1)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Timeout <= 0 || o.Timeout >= o.Lease.opts.Margin {
		o.Timeout = o.Lease.opts.Margin / 2
	}
	if o.ResendAfter <= 0 {
		o.ResendAfter = 2 * time.Minute
	}
	if o.HasWaiting == nil {
		o.HasWaiting = func(string) bool { return true }
	}
	return &Controller{opts: o, pending: map[core.EndpointID]pendingCommand{}}
}

// Counters returns the current counts.
func (c *Controller) Counters() Counters {
	n := &c.counts
	return Counters{
		Sent: n.sent.Load(), Failed: n.failed.Load(), Fenced: n.fenced.Load(),
		SkippedNoLease: n.skippedNoLease.Load(), SkippedRate: n.skippedRate.Load(), SkippedLastCopy: n.skippedLastCopy.Load(),
	}
}

// Run renews the lease and reconciles the engines until the context ends, and then releases the lease. Errors are passed to
// report, which may be nil.
func (c *Controller) Run(ctx context.Context, report func(error)) {
	var wg sync.WaitGroup
	defer func() {
		wg.Wait()
		rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.Lease.opts.Margin)
		defer cancel()
		if err := c.opts.Lease.Release(rctx); err != nil && report != nil {
			report(err)
		}
	}()
	loop := func(f func(context.Context) error) {
		for {
			if err := f(ctx); err != nil && ctx.Err() == nil && report != nil {
				report(err)
			}
			select {
			case <-time.After(c.opts.Lease.StepInterval()):
			case <-ctx.Done():
				return
			}
		}
	}
	// Separate loops, so that slow engines don't delay the renewal of the lease.
	wg.Go(func() { loop(c.opts.Lease.Step) })
	wg.Go(func() { loop(c.Reconcile) })
}

// Reconcile reads the state of all engines and sends commands to those that differ from their target. It does nothing
// without the lease.
func (c *Controller) Reconcile(ctx context.Context) error {
	fence, ok := c.opts.Lease.CommandFence()
	if !ok {
		return nil
	}
	targets := c.opts.Targets()
	current, highest := c.readStates(ctx, targets)
	if highest > fence {
		return c.opts.Lease.RaiseFence(ctx, highest)
	}
	c.prunePending(fence, targets, current)
	plan := Plan(targets, current, c.pendingEndpoints(), c.opts.HasWaiting)
	differing := lo.CountBy(targets, func(t Target) bool {
		h, ok := current[t.Endpoint]
		return ok && !t.Leaving && h != t.Desired
	})
	c.counts.skippedLastCopy.Add(int64(differing - len(plan)))
	var firstErr error
	for _, cmd := range plan {
		if err := c.send(ctx, cmd); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// readStates returns the states of the engines that answer, and the highest fence that they report.
func (c *Controller) readStates(ctx context.Context, targets []Target) (map[core.EndpointID]State, core.Fence) {
	var mu sync.Mutex
	states := make(map[core.EndpointID]State, len(targets))
	var highest core.Fence
	var g errgroup.Group
	g.SetLimit(16)
	for _, t := range targets {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
			defer cancel()
			o, err := c.opts.Engine.Orders(ctx, t.Address)
			if err != nil {
				c.counts.failed.Add(1)
				return nil // an engine gets no commands until it answers
			}
			mu.Lock()
			defer mu.Unlock()
			states[t.Endpoint] = State{o.Model, o.Adapter, o.Version, o.Role}
			highest = max(highest, core.Fence(o.Fence))
			return nil
		})
	}
	_ = g.Wait() // the functions never return an error
	return states, highest
}

// pendingEndpoints returns the endpoints with a pending command.
func (c *Controller) pendingEndpoints() map[core.EndpointID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo.MapValues(c.pending, func(pendingCommand, core.EndpointID) bool { return true })
}

// prunePending removes commands that have taken effect. After a change of the fence the others are repeated at once.
func (c *Controller) prunePending(fence core.Fence, targets []Target, current map[core.EndpointID]State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence != c.fence {
		c.fence = fence
		c.pending = lo.MapValues(c.pending, func(s pendingCommand, _ core.EndpointID) pendingCommand { return pendingCommand{desired: s.desired} })
	}
	listed := lo.SliceToMap(targets, func(t Target) (core.EndpointID, bool) { return t.Endpoint, true })
	for id, s := range c.pending {
		if !listed[id] || current[id] == s.desired {
			delete(c.pending, id)
		}
	}
}

// send sends a command unless it is pending, exceeds the load rate or the lease is not held for long enough.
func (c *Controller) send(ctx context.Context, cmd Command) error {
	t := cmd.Target
	now := c.opts.Now()
	c.mu.Lock()
	s, ok := c.pending[t.Endpoint]
	c.mu.Unlock()
	if ok && s.desired == t.Desired && now.Sub(s.sentAt) < c.opts.ResendAfter {
		return nil // already sent
	}
	if cmd.Load && !c.opts.LoadLimiter.AllowN(now, 1) {
		c.counts.skippedRate.Add(1)
		return nil
	}
	fence, ok := c.opts.Lease.CommandFence()
	if !ok {
		c.counts.skippedNoLease.Add(1)
		return nil
	}
	c.mu.Lock()
	c.pending[t.Endpoint] = pendingCommand{t.Desired, now}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	c.counts.sent.Add(1)
	err := c.opts.Engine.Order(ctx, t.Address, engine.Order{
		Fence: int(fence), Model: t.Desired.Model, Adapter: t.Desired.Adapter, Version: t.Desired.Version, Role: t.Desired.Role,
	})
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, ErrFenced) {
		// Either the next Reconcile reads the higher fence, or the lease was taken over.
		c.counts.fenced.Add(1)
		delete(c.pending, t.Endpoint)
	} else {
		c.counts.failed.Add(1)
		c.pending[t.Endpoint] = pendingCommand{desired: t.Desired} // may have taken effect; repeated if the next Reconcile reads another state
	}
	return errors.Wrapf(err, "send command to endpoint %s", t.Endpoint)
}
