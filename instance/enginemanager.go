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

// engineKeeper keeps the engines of the pools in line with the templates. For each pool, the owner of its first shard
// runs a controller; the lease makes it harmless that two instances take themselves for that owner.
type engineManager struct {
	self    core.InstanceID
	region  core.Region
	log     logr.Logger
	routing *routingState
	plan    *activePlan
	loop    *controlLoop
	objects *objectapi.Client
	client  *engine.Client

	// loads spaces the loads of all pools that this instance controls, since they read from one weight store.
	loadLimiter *rate.Limiter
	controllers map[core.Pool]context.CancelFunc

	failures metrics.Counter
}

const (
	// keepEvery is how often the pools to control are determined anew.
	reconcileInterval = 2 * time.Second
	// loadsEvery is the pause between two loads from the weight store, loadBurst how many may follow at once.
	modelLoadInterval = 5 * time.Second
	modelLoadBurst    = 2
)

func (k *engineManager) run(ctx context.Context) {
	k.controllers = map[core.Pool]context.CancelFunc{}
	every(ctx, reconcileInterval, func() {
		owned := k.ownedPools()
		for pool, stop := range k.controllers {
			if !slices.Contains(owned, pool) {
				stop()
				delete(k.controllers, pool)
			}
		}
		for _, pool := range owned {
			if k.controllers[pool] == nil {
				c, cancel := context.WithCancel(ctx)
				k.controllers[pool] = cancel
				go k.runController(c, pool)
			}
		}
	})
}

// pools lists the pools with a desired state whose first shard this instance owns.
func (k *engineManager) ownedPools() []core.Pool {
	t := k.routing.load()
	return lo.Filter(lo.Keys(desiredStates(k.plan.current.Load())), func(p core.Pool, _ int) bool {
		shards := t.pools[p]
		if len(shards) == 0 {
			return false
		}
		owner, _ := k.routing.owner(t.shards[shards[0]])
		return owner == k.self
	})
}

func (k *engineManager) runController(ctx context.Context, pool core.Pool) {
	k.log.Info("controlling engines", "pool", pool)
	c := lease.NewController(lease.ControllerOptions{
		// Pools of the same name in two regions have engines and controllers of their own.
		Lease:  lease.New(lease.Options{Store: k.objects, Self: k.self, Pool: core.Pool(string(k.region) + "." + string(pool))}),
		Engine: engineCommands{k.client},
		Targets: func() []lease.Target {
			return k.targets(pool)
		},
		HasWaiting:  func(string) bool { return k.hasQueuedAsks(ctx, pool) },
		LoadLimiter: k.loadLimiter,
	})
	c.Run(ctx, func(error) { k.failures.Inc(1) })
	k.log.Info("no longer controlling engines", "pool", pool)
}

// targets returns the desired state of the pool's engines.
func (k *engineManager) targets(pool core.Pool) []lease.Target {
	want, ok := desiredStates(k.plan.current.Load())[pool]
	if !ok {
		return nil
	}
	t := k.routing.load()
	var out []lease.Target
	for _, id := range t.pools[pool] {
		for _, e := range t.shards[id].specs {
			if !e.Service {
				out = append(out, lease.Target{
					Endpoint: e.ID, Address: e.Address, Leaving: e.Leaving,
					Desired: lease.State{Model: want.Model, Adapter: want.Adapter, Version: want.Version},
				})
			}
		}
	}
	return out
}

// waiting reports whether asks are queued for the pool. If that cannot be told, they are assumed to be.
func (k *engineManager) hasQueuedAsks(ctx context.Context, pool core.Pool) bool {
	n := 0
	err := k.loop.call(ctx, func() {
		for _, o := range k.loop.shards {
			if o.route.pool == pool {
				for _, queued := range o.shard.Stats().Queued {
					n += queued
				}
			}
		}
	})
	return err != nil || n > 0
}

// desired returns what the engines of each pool shall carry. If kinds of work disagree, the state that most of them
// name wins, and among equals the first in order, so that all instances decide alike.
func desiredStates(p *workspace.Plan) map[core.Pool]workspace.Carries {
	votes := map[core.Pool]map[workspace.Carries]int{}
	for _, w := range p.Workspaces() {
		for _, kind := range w.Kinds {
			if kind.Carries == (workspace.Carries{}) {
				continue
			}
			if votes[kind.Pool] == nil {
				votes[kind.Pool] = map[workspace.Carries]int{}
			}
			votes[kind.Pool][kind.Carries]++
		}
	}
	return lo.MapValues(votes, func(v map[workspace.Carries]int, _ core.Pool) workspace.Carries {
		return slices.MinFunc(lo.Keys(v), func(a, b workspace.Carries) int {
			return cmp.Or(cmp.Compare(v[b], v[a]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
		})
	})
}

// engineCommands sends the commands of a controller.
type engineCommands struct{ client *engine.Client }

// Orders returns what is in force at an engine.
func (c engineCommands) Orders(ctx context.Context, address string) (wire.Order, error) {
	return c.client.Orders(ctx, address)
}

// Order commands an engine.
func (c engineCommands) Order(ctx context.Context, address string, o wire.Order) error {
	err := c.client.Order(ctx, address, o)
	if errors.Is(err, engine.ErrFence) {
		return lease.ErrFenced
	}
	return err
}
