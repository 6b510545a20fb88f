package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/config"
	"monsoondale/core/membership"
	"monsoondale/core/object"
	"monsoondale/core/workspace"
	"monsoondale/io/instancelist"
	"monsoondale/io/objectapi"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

const (
	// gossipEvery is how often revisions are exchanged with one peer of the own and one of another data centre.
	gossipInterval = time.Second
	// pollEvery is how often a chosen instance reads the instance list.
	pollInterval = time.Second
	// watchWait is how long a watch waits for changes. It bounds the calls per second of an idle fleet.
	watchTimeout = 20 * time.Second
	// watchPause is the delay after a failed watch, and between the checks of an instance that is not chosen.
	watchRetryDelay = time.Second
	// consultAfter is how long a starting instance waits for the object API before it relies on its peers.
	peerFallbackAfter = time.Second
	// maxConsulted bounds the peers that a starting instance asks then.
	maxQueriedPeers = 32
	// aloneAfter is after how long without any successful gossip an instance watches and polls by itself.
	isolatedAfter = 5 * time.Second
)

// The tasks for which two instances of each data centre are chosen.
const (
	taskPoll  = "poll"
	taskWatch = "watch"
)

// gossip keeps the instance list and the configuration up to date. The view and the set belong to the control loop.
type gossip struct {
	self        core.InstanceID
	incarnation string // identifies this process among those with the same name
	log         logr.Logger
	loop        *controlLoop
	view        *membership.View
	configSet   *config.Set
	client      *peer.Client
	objects     *objectapi.Client
	list        *instancelist.Client
	routing     *routingState
	// changed is called on the loop's goroutine after the list changed.
	onListChange func()
	// apply is called on the loop's goroutine with objects that are new.
	onNewObjects func([]workspace.Object)

	lastExchange time.Time            // last successful exchange
	upToDate     bool                 // the configuration is not older than what was in force before this start
	listedKinds  map[config.Kind]bool // kinds whose objects were read from the object API by this instance

	rounds, failures, pushes metrics.Counter
}

func (g *gossip) registerMetrics(reg metrics.Registry) {
	g.rounds = metrics.GetOrRegisterCounter("gossip.rounds", reg)
	g.failures = metrics.GetOrRegisterCounter("gossip.failures", reg)
	g.pushes = metrics.GetOrRegisterCounter("gossip.pushes", reg)
}

// run exchanges revisions until ctx ends.
func (g *gossip) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	every(ctx, gossipInterval, func() {
		var to []membership.Member
		if g.loop.call(ctx, func() { to = g.view.GossipPartners(time.Now(), r) }) == nil {
			g.exchangeAll(ctx, to)
		}
	})
}

// push tells three peers of a change at once. It runs on the loop's goroutine.
func (g *gossip) pushChange(ctx context.Context) {
	g.pushes.Inc(1)
	to := g.view.PushTargets(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	go g.exchangeAll(ctx, to)
}

func (g *gossip) exchangeAll(ctx context.Context, to []membership.Member) {
	for _, m := range to {
		go g.exchange(ctx, m)
	}
}

// exchange sends the own revisions to a peer, merges what it answers, and sends what the peer lacks. It returns the
// revision of the instance list that the peer has then, or 0 if it did not answer.
func (g *gossip) exchange(ctx context.Context, to membership.Member) core.Revision {
	var digest wire.Gossip
	if g.loop.call(ctx, func() { digest = g.digest() }) != nil {
		return 0
	}
	g.rounds.Inc(1)
	resp, err := g.client.Gossip(ctx, to.Address, digest)
	if err != nil {
		g.failures.Inc(1)
		if !errors.Is(err, peer.ErrRejected) && ctx.Err() == nil {
			g.routing.suspect(to.ID)
			g.loop.call(ctx, func() { g.view.Suspect(time.Now(), to.ID) })
		}
		return 0
	}
	g.routing.recordContact(to.ID, resp.Start, resp.Force)
	var reply wire.Gossip
	peerBehind := false
	if g.loop.call(ctx, func() {
		g.lastExchange = time.Now()
		g.merge(ctx, resp)
		reply = g.reply(resp)
		peerBehind = reply.Delta || reply.Members != nil
	}) == nil && peerBehind {
		if resp, err = g.client.Gossip(ctx, to.Address, reply); err != nil {
			return 0
		}
	}
	return core.Revision(resp.List)
}

// receive merges the news of a peer and answers with what it lacks.
func (g *gossip) receive(ctx context.Context, m wire.Gossip) (wire.Gossip, error) {
	var resp wire.Gossip
	g.routing.recordContact(core.InstanceID(m.From), m.Start, m.Force)
	if err := g.loop.call(ctx, func() {
		g.merge(ctx, m)
		resp = g.reply(m)
	}); err != nil {
		return wire.Gossip{}, err
	}
	return resp, nil
}

func (g *gossip) digest() wire.Gossip {
	d := g.configSet.Digest()
	return wire.Gossip{
		From: string(g.self), Start: g.incarnation, Config: int(d.Revision), Hash: d.Hash, List: int(g.view.Revision()),
		Age: int(g.view.Age(time.Now()).Milliseconds()), Force: int(g.configSet.Top()),
	}
}

// answer returns the own revisions together with what the sender of m lacks.
func (g *gossip) reply(m wire.Gossip) wire.Gossip {
	out := g.digest()
	if core.Revision(m.List) < g.view.Revision() {
		out.Members = lo.ToPtr(g.view.Delta(core.Revision(m.List)))
	}
	if g.configSet.Ready() && core.Revision(m.Config) <= core.Revision(out.Config) {
		d := g.configSet.Delta(config.Digest{Revision: core.Revision(m.Config), Hash: m.Hash})
		if len(d.Objects) > 0 || d.Revision > d.After {
			out.Delta, out.Full, out.After, out.Config = true, d.Full, int(d.After), int(d.Revision)
			out.Objects = config.ToWire(d.Objects)
		}
	}
	return out
}

// merge takes over the news of a message. It runs on the loop's goroutine, since ctx bounds only the pushes.
func (g *gossip) merge(ctx context.Context, m wire.Gossip) {
	now := time.Now()
	g.view.MarkHeard(now, core.InstanceID(m.From))
	if m.Members != nil {
		if g.view.Merge(now, *m.Members) {
			g.onListChange()
		}
	}
	g.view.Confirm(now, core.Revision(m.List), time.Duration(m.Age)*time.Millisecond)
	if m.Delta {
		fresh, err := g.configSet.Merge(config.Delta{
			After: core.Revision(m.After), Revision: core.Revision(m.Config), Full: m.Full, Objects: config.FromWire(m.Objects),
		})
		if err != nil {
			g.log.Error(err, "cannot apply configuration from peer", "peer", m.From)
		}
		g.applyObjects(context.WithoutCancel(ctx), fresh)
	}
}

// takeList applies a newer instance list.
func (g *gossip) applyList(list platform.Instances) {
	if g.view.Apply(time.Now(), list) {
		g.onListChange()
	}
}

// takeObjects puts new configuration objects in force and passes them on.
func (g *gossip) applyObjects(ctx context.Context, fresh []config.Object) {
	if len(fresh) == 0 {
		return
	}
	g.onNewObjects(lo.Map(fresh, func(o config.Object, _ int) workspace.Object {
		return workspace.Decode(string(o.Kind), o.Name, o.Version, o.Value, o.Deleted)
	}))
	g.pushChange(ctx)
}

// poll reads the instance list while this instance is chosen to, or gets no news from peers.
func (g *gossip) pollList(ctx context.Context) {
	every(ctx, pollInterval, func() {
		due := false
		if g.loop.call(ctx, func() {
			now := time.Now()
			due = g.view.SelfAssigned(now, taskPoll) || g.view.Stale(now)
		}) != nil || !due {
			return
		}
		list, err := g.list.List(ctx)
		if err != nil {
			return // the client counts failures; the last list stays in force
		}
		g.loop.call(ctx, func() { g.applyList(list) })
	})
}

// consult asks all peers for their configuration while the object API does not answer, and reports whether at least one
// answered. The highest versions of those that answer are in force then.
func (g *gossip) queryPeers(ctx context.Context) bool {
	var peers []membership.Member
	if g.loop.call(ctx, func() {
		peers = lo.Filter(g.view.Instances(""), func(m membership.Member, _ int) bool { return m.ID != g.self })
	}) != nil {
		return false
	}
	answered := make(chan bool, len(peers))
	for _, m := range lo.Samples(peers, maxQueriedPeers) {
		go func() { answered <- g.exchange(ctx, m) > 0 }()
	}
	anyAnswered := false
	for range min(len(peers), maxQueriedPeers) {
		anyAnswered = <-answered || anyAnswered
	}
	return anyAnswered
}

// watch follows the changes of one kind of object while this instance is chosen to, has no configuration, or gets
// no news from peers.
func (g *gossip) watch(ctx context.Context, kind config.Kind) {
	for ctx.Err() == nil {
		due := false
		var after core.Revision
		if g.loop.call(ctx, func() {
			now := time.Now()
			due = g.view.SelfAssigned(now, taskWatch) || !g.configSet.Ready() || now.Sub(g.lastExchange) > isolatedAfter
			if after = g.configSet.Complete(kind); !g.upToDate && !g.listedKinds[kind] {
				due, after = true, config.Unlisted // the peers' copy may be older than what was accepted
			}
		}) != nil {
			return
		}
		if !due {
			sleep(ctx, watchRetryDelay)
			continue
		}
		if err := g.watchOnce(ctx, kind, after); err != nil && ctx.Err() == nil {
			sleep(ctx, watchRetryDelay)
		}
	}
}

func (g *gossip) watchOnce(ctx context.Context, kind config.Kind, after core.Revision) error {
	if after != config.Unlisted {
		items, err := g.objects.Watch(ctx, string(kind), after, watchTimeout)
		if err == nil {
			return g.loop.call(ctx, func() {
				fresh, err := g.configSet.Changes(kind, after, core.Revision(items.Revision), decodeItems(items))
				g.logConfigError(err, kind)
				g.applyObjects(ctx, fresh)
			})
		}
		if !errors.Is(err, object.ErrGone) {
			return err
		}
	}
	items, err := g.objects.List(ctx, string(kind))
	if err != nil {
		return err
	}
	return g.loop.call(ctx, func() {
		g.listedKinds[kind] = true
		fresh, err := g.configSet.Listing(kind, core.Revision(items.Revision), decodeItems(items))
		g.logConfigError(err, kind)
		g.applyObjects(ctx, fresh)
	})
}

// objectsOf returns the configuration objects of an answer of the object API, without their past.
func decodeItems(items platform.Items) []config.Object {
	objects := config.FromItems(items.Items)
	for i := range objects {
		objects[i].Value = workspace.WithoutPast(objects[i].Value)
	}
	return objects
}

func (g *gossip) logConfigError(err error, kind config.Kind) {
	if err != nil {
		g.log.Error(err, "cannot apply configuration", "kind", kind)
	}
}

// every calls f periodically until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
