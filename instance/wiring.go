package instance

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/config"
	"monsoondale/core/dispatch"
	"monsoondale/core/endpoint"
	"monsoondale/core/membership"
	"monsoondale/core/order"
	"monsoondale/core/report"
	"monsoondale/core/routing"
	"monsoondale/core/workspace"
	"monsoondale/internal/testhook"
	"monsoondale/io/engine"
	"monsoondale/io/instancelist"
	"monsoondale/io/objectapi"
	"monsoondale/io/peer"
	"monsoondale/io/service"
	wire "monsoondale/wire/peer"
)

// incarnation identifies this process among all processes that run under the same instance name over time.
type incarnation string

// registerProviders registers the constructors of the components of an instance.
func registerProviders(i do.Injector) {
	do.ProvideValue(i, incarnation(core.NewID()[:12]))
	do.Provide(i, func(i do.Injector) (*activePlan, error) {
		p := &activePlan{}
		p.current.Store(do.MustInvoke[*workspace.Compiler](i).Plan())
		return p, nil
	})
	do.Provide(i, func(do.Injector) (*workspace.Compiler, error) { return workspace.NewCompiler(), nil })
	do.Provide(i, func(i do.Injector) (*routingState, error) {
		return newRoutingState(do.MustInvoke[*Settings](i).Name), nil
	})
	do.Provide(i, func(i do.Injector) (*controlLoop, error) {
		l := newControlLoop(do.MustInvoke[*Settings](i).Name, do.MustInvoke[logr.Logger](i), do.MustInvoke[*routingState](i), do.MustInvoke[metrics.Registry](i))
		l.probe = do.MustInvoke[testhook.Probe](i)
		return l, nil
	})
	do.Provide(i, func(i do.Injector) (*peer.Client, error) {
		certificates, err := do.Invoke[tlsSources](i)
		if err != nil {
			return nil, err
		}
		return peer.NewClient(peer.Options{
			Key: do.MustInvoke[*Settings](i).Keys.PeerKey, Dial: do.MustInvoke[Network](i).DialContext, TLS: certificates.clientConfig(),
		}), nil
	})
	do.Provide(i, provideTLS)
	do.Provide(i, func(i do.Injector) (*objectapi.Client, error) {
		return objectapi.New(objectapi.Options{
			BaseURL: do.MustInvoke[*Settings](i).Platform.Objects, Transport: transport(do.MustInvoke[Network](i), 64),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*instancelist.Client, error) {
		return instancelist.New(do.MustInvoke[*Settings](i).Platform.Instances, 0, transport(do.MustInvoke[Network](i), 4)), nil
	})
	do.Provide(i, func(i do.Injector) (*engine.Client, error) {
		var o engine.Options
		o.Dial = do.MustInvoke[Network](i).DialContext
		return engine.New(o), nil
	})
	do.Provide(i, func(i do.Injector) (*service.Client, error) {
		var o service.Options
		o.Dial = do.MustInvoke[Network](i).DialContext
		return service.New(o), nil
	})
	do.Provide(i, func(i do.Injector) (*report.Recorder, error) {
		return report.NewRecorder(do.MustInvoke[*Settings](i).Name, time.Now()), nil
	})
	do.Provide(i, provideEngineManager)
	do.Provide(i, func(i do.Injector) (*floorCollector, error) {
		return &floorCollector{
			self: do.MustInvoke[*Settings](i).Name, routing: do.MustInvoke[*routingState](i), client: do.MustInvoke[*peer.Client](i),
			loop: do.MustInvoke[*controlLoop](i), lastWanted: map[floorKey]time.Time{}, validUntil: map[floorKey]time.Time{},
		}, nil
	})
	do.Provide(i, provideSlots)
	do.Provide(i, provideGossip)
	do.Provide(i, provideClaims)
	do.Provide(i, provideRunner)
	do.Provide(i, provideLoadReader)
	do.Provide(i, providePublisher)
}

func provideEngineManager(i do.Injector) (*engineManager, error) {
	return &engineManager{
		self: do.MustInvoke[*Settings](i).Name, region: do.MustInvoke[*Settings](i).Region,
		log: do.MustInvoke[logr.Logger](i), routing: do.MustInvoke[*routingState](i), plan: do.MustInvoke[*activePlan](i),
		loop: do.MustInvoke[*controlLoop](i), objects: do.MustInvoke[*objectapi.Client](i), client: do.MustInvoke[*engine.Client](i),
		loadLimiter: rate.NewLimiter(rate.Every(modelLoadInterval), modelLoadBurst),
		failures:    metrics.GetOrRegisterCounter("engines.failures", do.MustInvoke[metrics.Registry](i)),
	}, nil
}

func provideSlots(i do.Injector) (*slotClient, error) {
	s := do.MustInvoke[*Settings](i)
	return &slotClient{
		self: s.Name, routing: do.MustInvoke[*routingState](i), client: do.MustInvoke[*peer.Client](i), loop: do.MustInvoke[*controlLoop](i),
		chooser: routing.NewChooser(routing.ChooserOptions{Self: s.Name, Centre: s.Centre}),
		running: map[core.RequestID]*heldSlot{},
	}, nil
}

func provideGossip(i do.Injector) (*gossip, error) {
	s := do.MustInvoke[*Settings](i)
	g := &gossip{
		self: s.Name, incarnation: string(do.MustInvoke[incarnation](i)), log: do.MustInvoke[logr.Logger](i), loop: do.MustInvoke[*controlLoop](i),
		view:      membership.New(membership.Options{Self: s.Name, Region: s.Region, Centre: s.Centre}),
		configSet: config.New(config.Options{}), client: do.MustInvoke[*peer.Client](i), objects: do.MustInvoke[*objectapi.Client](i),
		list: do.MustInvoke[*instancelist.Client](i), routing: do.MustInvoke[*routingState](i), listedKinds: map[config.Kind]bool{},
	}
	g.registerMetrics(do.MustInvoke[metrics.Registry](i))
	return g, nil
}

func provideRunner(i do.Injector) (*dispatch.Runner, error) {
	return dispatch.NewRunner(dispatch.Options{
		Slots: do.MustInvoke[*slotClient](i), Engine: do.MustInvoke[*engine.Client](i), Service: do.MustInvoke[*service.Client](i),
		Claims: do.MustInvoke[*order.Registry](i), Holder: do.MustInvoke[*Settings](i).Name, Probe: do.MustInvoke[testhook.Probe](i),
	}), nil
}

// provideClaims connects order claims with the object API and with the owners of claim shards.
func provideClaims(i do.Injector) (*order.Registry, error) {
	s, g := do.MustInvoke[*Settings](i), do.MustInvoke[*gossip](i)
	return order.New(order.Options{
		Store: do.MustInvoke[*objectapi.Client](i),
		// A restarted process has another holder name, so the claims of the previous process count as lost.
		Self:  core.InstanceID(string(s.Name) + "/" + g.incarnation),
		Alive: g.holderAlive,
		Forward: func(ctx context.Context, shard int, c wire.Claim) (wire.Claimed, error) {
			id, addr := g.claimOwner(shard)
			switch id {
			case "":
				return wire.Claimed{}, errors.New("the owner of the claim shard is unknown or unreachable")
			case s.Name:
				return wire.Claimed{}, order.ErrLocalShard
			}
			return g.client.Claim(ctx, addr, c)
		},
	}), nil
}

// holderAlive reports whether the process that holds a claim may still be running: its instance is listed, and no later
// process is known under its name.
func (g *gossip) holderAlive(holder core.InstanceID) bool {
	name, incarnation, _ := strings.Cut(string(holder), "/")
	if core.InstanceID(name) == g.self {
		return incarnation == g.incarnation
	}
	t := g.routing.load()
	if _, listed := t.addr[core.InstanceID(name)]; !listed {
		return false
	}
	known := g.routing.incarnation(core.InstanceID(name))
	return known == "" || known == incarnation
}

// claimOwner returns the instance that batches the writes of a claim shard, and its address. It returns "" if the owner
// is unknown or suspected to be down.
func (g *gossip) claimOwner(shard int) (core.InstanceID, string) {
	t := g.routing.load()
	if shard >= len(t.claimOwners) {
		return "", ""
	}
	id := t.claimOwners[shard]
	if g.routing.suspected(id) {
		return "", ""
	}
	return id, t.addr[id]
}

// shardFactory returns a function that creates the admission state of a shard.
func shardFactory(s *Settings) func(*route) *admission.Shard {
	return func(r *route) *admission.Shard {
		return admission.New(admission.Options{
			Pool: r.pool, Shard: r.id, Self: s.Name, MaxQueued: s.Limits.Queue, Endpoint: endpoint.Options{},
		})
	}
}

// builtTable is the result of buildTable: the routing table and the shards that it consists of.
type builtTable struct {
	table  *routingTable
	shards []routing.ShardSpec
}

// buildTable computes the shards of the region, their candidates and the owners of the claim shards from the instance
// list.
func buildTable(now time.Time, v *membership.View, s *Settings) builtTable {
	t := &routingTable{
		shards: map[core.ShardID]*route{}, pools: map[core.Pool][]core.ShardID{}, shardOf: map[core.EndpointID]core.ShardID{},
		addr: map[core.InstanceID]string{}, revision: v.Revision(),
	}
	all := v.Instances(s.Region)
	for _, m := range all {
		t.addr[m.ID] = m.Address
	}
	// A leaving instance stops acting as owner, unless all instances of the region are leaving.
	live := lo.Filter(all, func(m membership.Member, _ int) bool { return !m.Leaving })
	if self, ok := v.Self(); ok && self.Leaving {
		live = lo.Reject(live, func(m membership.Member, _ int) bool { return m.ID == s.Name })
	}
	if len(live) == 0 {
		live = all
	}
	ranked := lo.Map(live, func(m membership.Member, _ int) routing.Instance {
		return routing.Instance{ID: m.ID, Centre: m.Centre}
	})
	var out builtTable
	for _, pool := range v.Pools(s.Region) {
		for _, spec := range routing.SplitShards(v.Endpoints(s.Region, pool), s.Limits.Width) {
			out.shards = append(out.shards, spec)
			t.pools[pool] = append(t.pools[pool], spec.ID)
			t.shards[spec.ID] = &route{
				id: spec.ID, pool: pool, centre: spec.Centre, endpoints: spec.Endpoints,
				candidates: routing.Candidates(ranked, string(spec.ID), spec.Centre),
			}
			for _, e := range spec.Endpoints {
				t.shardOf[e.ID] = spec.ID
			}
		}
	}
	for n := range order.Shards {
		t.claimOwners = append(t.claimOwners, routing.Owner(ranked, claimKey(n), ""))
	}
	out.table = t
	return out
}

// claimKey returns the key of a claim shard for rendezvous hashing.
func claimKey(n int) string { return "claim/" + strconv.Itoa(n) }
