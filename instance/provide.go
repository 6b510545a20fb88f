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
	"monsoondale/internal/guard"
	"monsoondale/io/engine"
	"monsoondale/io/instancelist"
	"monsoondale/io/objectapi"
	"monsoondale/io/peer"
	"monsoondale/io/service"
	wire "monsoondale/wire/peer"
)

// startID identifies this process among those that had or will have the same instance name.
type startID string

// provide registers the parts of an instance.
func provide(i do.Injector) {
	do.ProvideValue(i, startID(core.NewID()[:12]))
	do.Provide(i, func(i do.Injector) (*plans, error) {
		p := &plans{}
		p.current.Store(do.MustInvoke[*workspace.Compiler](i).Plan())
		return p, nil
	})
	do.Provide(i, func(do.Injector) (*workspace.Compiler, error) { return workspace.NewCompiler(), nil })
	do.Provide(i, func(i do.Injector) (*tables, error) { return newTables(do.MustInvoke[*Settings](i).Name), nil })
	do.Provide(i, func(i do.Injector) (*loop, error) {
		l := newLoop(do.MustInvoke[*Settings](i).Name, do.MustInvoke[logr.Logger](i), do.MustInvoke[*tables](i), do.MustInvoke[metrics.Registry](i))
		l.probe = do.MustInvoke[guard.Probe](i)
		return l, nil
	})
	do.Provide(i, func(i do.Injector) (*peer.Client, error) {
		sec, err := do.Invoke[secure](i)
		if err != nil {
			return nil, err
		}
		return peer.NewClient(peer.Options{
			Key: do.MustInvoke[*Settings](i).Keys.PeerKey, Dial: do.MustInvoke[Network](i).DialContext, TLS: sec.peers(),
		}), nil
	})
	do.Provide(i, provideSecure)
	do.Provide(i, func(i do.Injector) (*objectapi.Client, error) {
		return objectapi.New(objectapi.Options{
			Base: do.MustInvoke[*Settings](i).Platform.Objects, Transport: transport(do.MustInvoke[Network](i), 64),
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
	do.Provide(i, provideEngineKeeper)
	do.Provide(i, func(i do.Injector) (*floors, error) {
		return &floors{
			self: do.MustInvoke[*Settings](i).Name, tables: do.MustInvoke[*tables](i), client: do.MustInvoke[*peer.Client](i),
			local: do.MustInvoke[*loop](i), wanted: map[floorKey]time.Time{}, valid: map[floorKey]time.Time{},
		}, nil
	})
	do.Provide(i, provideSlots)
	do.Provide(i, provideGossip)
	do.Provide(i, provideBook)
	do.Provide(i, provideRunner)
	do.Provide(i, provideReports)
	do.Provide(i, providePublisher)
}

func provideEngineKeeper(i do.Injector) (*engineKeeper, error) {
	return &engineKeeper{
		self: do.MustInvoke[*Settings](i).Name, region: do.MustInvoke[*Settings](i).Region,
		log: do.MustInvoke[logr.Logger](i), tables: do.MustInvoke[*tables](i), plan: do.MustInvoke[*plans](i),
		loop: do.MustInvoke[*loop](i), objects: do.MustInvoke[*objectapi.Client](i), client: do.MustInvoke[*engine.Client](i),
		loads:    rate.NewLimiter(rate.Every(loadsEvery), loadBurst),
		failures: metrics.GetOrRegisterCounter("engines.failures", do.MustInvoke[metrics.Registry](i)),
	}, nil
}

func provideSlots(i do.Injector) (*slots, error) {
	s := do.MustInvoke[*Settings](i)
	return &slots{
		self: s.Name, tables: do.MustInvoke[*tables](i), client: do.MustInvoke[*peer.Client](i), local: do.MustInvoke[*loop](i),
		choose:  routing.NewChooser(routing.ChooserOptions{Self: s.Name, Centre: s.Centre}),
		running: map[core.RequestID]*held{},
	}, nil
}

func provideGossip(i do.Injector) (*gossip, error) {
	s := do.MustInvoke[*Settings](i)
	g := &gossip{
		self: s.Name, start: string(do.MustInvoke[startID](i)), log: do.MustInvoke[logr.Logger](i), loop: do.MustInvoke[*loop](i),
		view: membership.New(membership.Options{Self: s.Name, Region: s.Region, Centre: s.Centre}),
		set:  config.New(config.Options{}), client: do.MustInvoke[*peer.Client](i), objects: do.MustInvoke[*objectapi.Client](i),
		list: do.MustInvoke[*instancelist.Client](i), tables: do.MustInvoke[*tables](i), listed: map[config.Kind]bool{},
	}
	g.register(do.MustInvoke[metrics.Registry](i))
	return g, nil
}

func provideRunner(i do.Injector) (*dispatch.Runner, error) {
	return dispatch.NewRunner(dispatch.Options{
		Slots: do.MustInvoke[*slots](i), Engine: do.MustInvoke[*engine.Client](i), Service: do.MustInvoke[*service.Client](i),
		Claims: do.MustInvoke[*order.Registry](i), Holder: do.MustInvoke[*Settings](i).Name, Probe: do.MustInvoke[guard.Probe](i),
	}), nil
}

// provideBook connects order claims with the object API and with the owners of claim shards.
func provideBook(i do.Injector) (*order.Registry, error) {
	s, g := do.MustInvoke[*Settings](i), do.MustInvoke[*gossip](i)
	return order.New(order.Options{
		Store: do.MustInvoke[*objectapi.Client](i),
		// A restarted process has another holder name, so that the claims of its predecessor count as lost.
		Self:  core.InstanceID(string(s.Name) + "/" + g.start),
		Alive: g.alive,
		Forward: func(ctx context.Context, shard int, c wire.Claim) (wire.Claimed, error) {
			id, addr := g.claimOwner(shard)
			switch id {
			case "":
				return wire.Claimed{}, errors.New("no owner is known")
			case s.Name:
				return wire.Claimed{}, order.ErrLocalShard
			}
			return g.client.Claim(ctx, addr, c)
		},
	}), nil
}

// alive reports whether the process that holds a claim may still run: its instance is listed, and no later process
// has its name.
func (g *gossip) alive(holder core.InstanceID) bool {
	name, start, _ := strings.Cut(string(holder), "/")
	if core.InstanceID(name) == g.self {
		return start == g.start
	}
	t := g.tables.load()
	if _, listed := t.addr[core.InstanceID(name)]; !listed {
		return false
	}
	known := g.tables.start(core.InstanceID(name))
	return known == "" || known == start
}

// claimOwner returns the instance that groups the writes of a claim shard.
func (g *gossip) claimOwner(shard int) (core.InstanceID, string) {
	t := g.tables.load()
	if shard >= len(t.claims) {
		return "", ""
	}
	id := t.claims[shard]
	if g.tables.suspected(id) {
		return "", ""
	}
	return id, t.addr[id]
}

// shardFactory returns the function that creates the state of a shard.
func shardFactory(s *Settings) func(*route) *admission.Shard {
	return func(r *route) *admission.Shard {
		return admission.New(admission.Options{
			Pool: r.pool, Shard: r.id, Self: s.Name, MaxQueued: s.Limits.Queue, Endpoint: endpoint.Options{},
		})
	}
}

// routing state that a change of the instance list leads to.
type routes struct {
	table *table
	specs []routing.ShardSpec
}

// buildTable computes the shards of the region, their candidates and the owners of claim shards.
func buildTable(now time.Time, v *membership.View, s *Settings) routes {
	t := &table{
		shards: map[core.ShardID]*route{}, pools: map[core.Pool][]core.ShardID{}, shardOf: map[core.EndpointID]core.ShardID{},
		addr: map[core.InstanceID]string{}, revision: v.Revision(),
	}
	all := v.Instances(s.Region)
	for _, m := range all {
		t.addr[m.ID] = m.Address
	}
	// A leaving instance stops acting as owner; while only leaving ones are left, they go on.
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
	var out routes
	for _, pool := range v.Pools(s.Region) {
		for _, spec := range routing.SplitShards(v.Endpoints(s.Region, pool), s.Limits.Width) {
			out.specs = append(out.specs, spec)
			t.pools[pool] = append(t.pools[pool], spec.ID)
			t.shards[spec.ID] = &route{
				id: spec.ID, pool: pool, centre: spec.Centre, specs: spec.Endpoints,
				candidates: routing.Candidates(ranked, string(spec.ID), spec.Centre),
			}
			for _, e := range spec.Endpoints {
				t.shardOf[e.ID] = spec.ID
			}
		}
	}
	for n := range order.Shards {
		t.claims = append(t.claims, routing.Owner(ranked, claimKey(n), ""))
	}
	out.table = t
	return out
}

// claimKey is the rendezvous key of a claim shard.
func claimKey(n int) string { return "claim/" + strconv.Itoa(n) }
