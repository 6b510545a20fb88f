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
	// gossipInterval is the interval of exchanges with one peer of this data centre and one of another.
	gossipInterval = time.Second
	// pollInterval is how often an instance that is assigned to taskPoll reads the instance list.
	pollInterval = time.Second
	// watchTimeout is how long a watch request waits for changes. It bounds the request rate of an idle fleet.
	watchTimeout = 20 * time.Second
	// watchRetryDelay is the delay after a failed watch, and between the checks of an instance that is not assigned to
	// taskWatch.
	watchRetryDelay = time.Second
	// peerFallbackAfter is how long a starting instance waits for the object API before it relies on its peers.
	peerFallbackAfter = time.Second
	// maxQueriedPeers bounds the number of peers that it asks then.
	maxQueriedPeers = 32
	// isolatedAfter is how long an instance waits without a successful exchange before it watches the object API itself.
	isolatedAfter = 5 * time.Second
)

// The tasks to which two instances of each data centre are assigned.
const (
	taskPoll  = "poll"
	taskWatch = "watch"
)

// gossip keeps the instance list and the configuration up to date: it exchanges them with peers, and reads them from the
// platform. The fields view and configSet belong to the goroutine of the control loop.
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
	// onListChange is called on the loop's goroutine after the instance list changed.
	onListChange func()
	// onNewObjects is called on the loop's goroutine with new configuration objects.
	onNewObjects func([]workspace.Object)

	lastExchange time.Time            // time of the last successful exchange
	upToDate     bool                 // the configuration is not older than the one in force before this process started
	listedKinds  map[config.Kind]bool // kinds that this instance has listed from the object API

	rounds, failures, pushes metrics.Counter
}

func (g *gossip) registerMetrics(reg metrics.Registry) {
	g.rounds = metrics.GetOrRegisterCounter("gossip.rounds", reg)
	g.failures = metrics.GetOrRegisterCounter("gossip.failures", reg)
	g.pushes = metrics.GetOrRegisterCounter("gossip.pushes", reg)
}

// run exchanges gossip with peers at an interval until ctx ends.
func (g *gossip) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	every(ctx, gossipInterval, func() {
		var to []membership.Member
		if g.loop.call(ctx, func() { to = g.view.GossipPartners(time.Now(), r) }) == nil {
			g.exchangeAll(ctx, to)
		}
	})
}

// pushChange sends a change to three peers immediately. It must run on the loop's goroutine.
func (g *gossip) pushChange(ctx context.Context) {
	g.pushes.Inc(1)
	to := g.view.PushTargets(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	go g.exchangeAll(ctx, to)
}

// exchangeAll exchanges gossip with several peers concurrently, without waiting for the results.
func (g *gossip) exchangeAll(ctx context.Context, to []membership.Member) {
	for _, m := range to {
		go g.exchange(ctx, m)
	}
}

// exchange sends the digest of this instance to a peer, merges the changes that the peer returns, and sends the changes
// that the peer lacks. It returns the revision of the instance list that the peer has afterwards, or 0 if the peer did
// not answer.
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

// receive merges the changes of a peer's message and replies with the changes that the peer lacks.
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

// digest returns a message with the revisions of this instance and no changes.
func (g *gossip) digest() wire.Gossip {
	d := g.configSet.Digest()
	return wire.Gossip{
		From: string(g.self), Start: g.incarnation, Config: int(d.Revision), Hash: d.Hash, List: int(g.view.Revision()),
		Age: int(g.view.Age(time.Now()).Milliseconds()), Force: int(g.configSet.HighestVersion()),
	}
}

// reply returns the digest of this instance together with the changes that the sender of m lacks.
func (g *gossip) reply(m wire.Gossip) wire.Gossip {
	out := g.digest()
	if core.Revision(m.List) < g.view.Revision() {
		out.Members = lo.ToPtr(g.view.Delta(core.Revision(m.List)))
	}
	if g.configSet.Ready() && core.Revision(m.Config) <= core.Revision(out.Config) {
		d := g.configSet.Delta(config.Digest{Revision: core.Revision(m.Config), Hash: m.Hash})
		if len(d.Objects) > 0 || d.Revision > d.After {
			out.Delta, out.Full, out.After, out.Config = true, d.Full, int(d.After), int(d.Revision)
			out.Objects = config.ToPeer(d.Objects)
		}
	}
	return out
}

// merge applies the changes of a message. It must run on the loop's goroutine; ctx bounds only the pushes to other peers.
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
			After: core.Revision(m.After), Revision: core.Revision(m.Config), Full: m.Full, Objects: config.FromPeer(m.Objects),
		})
		if err != nil {
			g.log.Error(err, "cannot apply configuration from peer", "peer", m.From)
		}
		g.applyObjects(context.WithoutCancel(ctx), fresh)
	}
}

// applyList applies an instance list that was read from the platform, if it is newer. It must run on the loop's
// goroutine.
func (g *gossip) applyList(list platform.Instances) {
	if g.view.Apply(time.Now(), list) {
		g.onListChange()
	}
}

// applyObjects puts new configuration objects in force and pushes them to peers. It must run on the loop's goroutine.
func (g *gossip) applyObjects(ctx context.Context, fresh []config.Object) {
	if len(fresh) == 0 {
		return
	}
	g.onNewObjects(lo.Map(fresh, func(o config.Object, _ int) workspace.Object {
		return workspace.DecodeObject(string(o.Kind), o.Name, o.Version, o.Value, o.Deleted)
	}))
	g.pushChange(ctx)
}

// pollList reads the instance list at an interval while this instance is assigned to taskPoll, or its list is stale.
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

// queryPeers asks up to maxQueriedPeers peers for their configuration, and reports whether at least one answered. The
// highest versions among the answers are then in force.
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

// watch follows the changes of one kind of object while this instance is assigned to taskWatch, has no complete
// configuration, or has had no successful exchange for isolatedAfter.
func (g *gossip) watch(ctx context.Context, kind config.Kind) {
	for ctx.Err() == nil {
		due := false
		var after core.Revision
		if g.loop.call(ctx, func() {
			now := time.Now()
			due = g.view.SelfAssigned(now, taskWatch) || !g.configSet.Ready() || now.Sub(g.lastExchange) > isolatedAfter
			if after = g.configSet.CompleteRevision(kind); !g.upToDate && !g.listedKinds[kind] {
				due, after = true, config.NoRevision // the peers' copy may lack accepted changes
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

// watchOnce waits for the changes after a revision and applies them. If the object API no longer has that revision, or
// after is config.Unlisted, it lists all objects instead.
func (g *gossip) watchOnce(ctx context.Context, kind config.Kind, after core.Revision) error {
	if after != config.NoRevision {
		items, err := g.objects.Watch(ctx, string(kind), after, watchTimeout)
		if err == nil {
			return g.loop.call(ctx, func() {
				fresh, err := g.configSet.ApplyChanges(kind, after, core.Revision(items.Revision), decodeItems(items))
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
		fresh, err := g.configSet.ApplyListing(kind, core.Revision(items.Revision), decodeItems(items))
		g.logConfigError(err, kind)
		g.applyObjects(ctx, fresh)
	})
}

// decodeItems returns the configuration objects in a response of the object API, without their earlier versions.
func decodeItems(items platform.Items) []config.Object {
	objects := config.FromPlatform(items.Items)
	for i := range objects {
		objects[i].Value = workspace.WithoutHistory(objects[i].Value)
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
