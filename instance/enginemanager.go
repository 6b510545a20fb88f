package instance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/core/lease"
	"monsoondale/core/workspace"
	"monsoondale/io/engine"
	"monsoondale/io/objectapi"
	wire "monsoondale/wire/engine"
)

// engineManager reconciles the models loaded on the engines of the pools with the templates. For each pool, the owner of
// its first shard runs a controller. The controller holds a lease, so it is harmless if two instances both consider
// themselves the owner.
type engineManager struct {
	self    core.InstanceID
	region  core.Region
	log     logr.Logger
	routing *routingState
	plan    *activePlan
	loop    *controlLoop
	objects *objectapi.Client
	client  *engine.Client

	// loadLimiter limits the model loads of all pools that this instance controls, because they read from the same store
	// of model weights.
	loadLimiter *rate.Limiter
	controllers map[core.Pool]context.CancelFunc // stops the controller of each pool

	failures metrics.Counter
}

const (
	// reconcileInterval is how often controllers are started and stopped to match the pools that this instance owns.
	reconcileInterval = 2 * time.Second
	// modelLoadInterval is the average interval between two model loads, up to modelLoadBurst of which may start at once.
	modelLoadInterval = 5 * time.Second
	modelLoadBurst    = 2
)

// run starts and stops the controllers of pools until ctx ends.
func (m *engineManager) run(ctx context.Context) {
	m.controllers = map[core.Pool]context.CancelFunc{}
	every(ctx, reconcileInterval, func() {
		owned := m.ownedPools()
		for pool, stop := range m.controllers {
			if !slices.Contains(owned, pool) {
				stop()
				delete(m.controllers, pool)
			}
		}
		for _, pool := range owned {
			if m.controllers[pool] == nil {
				c, cancel := context.WithCancel(ctx)
				m.controllers[pool] = cancel
				go m.runController(c, pool)
			}
		}
	})
}

// ownedPools returns the pools with a desired state whose first shard this instance owns.
func (m *engineManager) ownedPools() []core.Pool {
	t := m.routing.load()
	return lo.Filter(lo.Keys(desiredStates(m.plan.current.Load())), func(p core.Pool, _ int) bool {
		shards := t.pools[p]
		if len(shards) == 0 {
			return false
		}
		owner, _ := m.routing.owner(t.shards[shards[0]])
		return owner == m.self
	})
}

// runController controls the engines of a pool until ctx ends.
func (m *engineManager) runController(ctx context.Context, pool core.Pool) {
	m.log.Info("controlling engines", "pool", pool)
	c := lease.NewController(lease.ControllerOptions{
		// The region is part of the name because pools of the same name in two regions are controlled separately.
		Lease:  lease.New(lease.Options{Store: m.objects, Self: m.self, Pool: core.Pool(string(m.region) + "." + string(pool))}),
		Engine: engineCommands{m.client},
		Targets: func() []lease.Target {
			return m.targets(pool)
		},
		HasWaiting:  func(string) bool { return m.hasQueuedAsks(ctx, pool) },
		LoadLimiter: m.loadLimiter,
	})
	c.Run(ctx, func(error) { m.failures.Inc(1) })
	m.log.Info("no longer controlling engines", "pool", pool)
}

// targets returns the engines of the pool with their desired state.
func (m *engineManager) targets(pool core.Pool) []lease.Target {
	desired, ok := desiredStates(m.plan.current.Load())[pool]
	if !ok {
		return nil
	}
	t := m.routing.load()
	var out []lease.Target
	for _, id := range t.pools[pool] {
		for _, e := range t.shards[id].endpoints {
			if !e.Service {
				out = append(out, lease.Target{
					Endpoint: e.ID, Address: e.Address, Leaving: e.Leaving,
					Desired: lease.State{Model: desired.Model, Adapter: desired.Adapter, Version: desired.Version},
				})
			}
		}
	}
	return out
}

// hasQueuedAsks reports whether asks are queued for the pool. If it cannot find out, it reports true.
func (m *engineManager) hasQueuedAsks(ctx context.Context, pool core.Pool) bool {
	total := 0
	err := m.loop.call(ctx, func() {
		for _, o := range m.loop.shards {
			if o.route.pool == pool {
				for _, queued := range o.shard.Stats().Queued {
					total += queued
				}
			}
		}
	})
	return err != nil || total > 0
}

// desiredStates returns the model, adapter and version that the engines of each pool should have loaded. If the kinds of
// requests of a pool disagree, the state that most of them name wins; ties are broken by order, so that all instances
// decide alike.
func desiredStates(p *workspace.Plan) map[core.Pool]workspace.ModelSpec {
	votes := map[core.Pool]map[workspace.ModelSpec]int{}
	for _, w := range p.Workspaces() {
		for _, kind := range w.Kinds {
			if kind.ModelSpec == (workspace.ModelSpec{}) {
				continue
			}
			if votes[kind.Pool] == nil {
				votes[kind.Pool] = map[workspace.ModelSpec]int{}
			}
			votes[kind.Pool][kind.ModelSpec]++
		}
	}
	return lo.MapValues(votes, func(v map[workspace.ModelSpec]int, _ core.Pool) workspace.ModelSpec {
		return slices.MinFunc(lo.Keys(v), func(a, b workspace.ModelSpec) int {
			return cmp.Or(cmp.Compare(v[b], v[a]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
		})
	})
}

// engineCommands sends the commands of a controller to engines.
type engineCommands struct{ client *engine.Client }

// Orders returns the command that is in force at an engine.
func (c engineCommands) Orders(ctx context.Context, address string) (wire.Order, error) {
	return c.client.Orders(ctx, address)
}

// Order sends a command to an engine. It returns lease.ErrFenced if the engine has seen a newer fence.
func (c engineCommands) Order(ctx context.Context, address string, o wire.Order) error {
	err := c.client.Order(ctx, address, o)
	if errors.Is(err, engine.ErrStaleFence) {
		return lease.ErrFenced
	}
	return err
}
