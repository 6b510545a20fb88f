package instance

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/internal/testhook"
	wire "monsoondale/wire/peer"
)

const (
	// tickInterval is the interval of the control loop's periodic work.
	tickInterval = 50 * time.Millisecond
	// maxPause is the longest pause between two iterations of the loop after which the instance may still act as owner.
	// After a longer pause other instances may have taken over its shards.
	maxPause = 2 * time.Second
)

// controlLoop holds the control state of an instance. A single goroutine runs all functions sent to it, so the state
// needs no locks.
type controlLoop struct {
	self    core.InstanceID
	log     logr.Logger
	calls   chan func()
	ended   chan struct{} // closed when run returns
	routing *routingState
	// newShard creates the state of a shard that this instance begins to own.
	newShard func(r *route) *admission.Shard
	// The callbacks below must not block. suspend carries out a Suspend effect.
	suspend func(s admission.Suspend)
	// raiseFloor collects the confirmations of a floor.
	raiseFloor func(pool core.Pool, t core.Tier)
	// announceCandidacy makes sure that the instances that may shed requests of a pool know that this one is a candidate.
	announceCandidacy func(pool core.Pool)
	probe             testhook.Probe

	// The fields below belong to the loop's goroutine.
	shards        map[core.ShardID]*ownedShard
	floors        map[floorKey]time.Time // expiry of each floor in force; kept per pool, for shards that are owned later too
	waiters       map[waiterKey]chan<- wire.Answer
	voterRevision map[core.Pool]core.Revision // revision of the instance list that all voters of a pool are known to have
	lastStep      time.Time

	pauses, grants, refusals metrics.Counter
}

// ownedShard is the state of a shard that this instance owns, or for which it acts as owner.
type ownedShard struct {
	route    *route
	shard    *admission.Shard
	lastUsed time.Time // last ask, release or sync
}

// waiterKey identifies an ask that waits for its answer.
type waiterKey struct {
	shard   core.ShardID
	request core.RequestID
}

// idleShardTTL is how long the state of a shard is kept after its last message if another instance is its owner.
const idleShardTTL = time.Minute

func newControlLoop(self core.InstanceID, log logr.Logger, routing *routingState, reg metrics.Registry) *controlLoop {
	return &controlLoop{
		self: self, log: log, routing: routing,
		calls:         make(chan func(), 1024),
		ended:         make(chan struct{}),
		shards:        map[core.ShardID]*ownedShard{},
		waiters:       map[waiterKey]chan<- wire.Answer{},
		floors:        map[floorKey]time.Time{},
		voterRevision: map[core.Pool]core.Revision{},
		pauses:        metrics.GetOrRegisterCounter("control.gaps", reg),
		grants:        metrics.GetOrRegisterCounter("owner.grants", reg),
		refusals:      metrics.GetOrRegisterCounter("owner.refusals", reg),
	}
}

// run executes the functions sent to the loop, and the periodic work, until ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	defer close(l.ended)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	l.lastStep = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.calls:
			l.probe.ReportControlStep()
			l.checkPause()
			f()
		case <-tick.C:
			l.probe.ReportControlStep()
			l.checkPause()
			l.tick()
		}
	}
}

// checkPause drops the owner state after a long pause of the loop: another instance may have acted as owner in the
// meantime, and the floors that this instance confirmed have expired.
func (l *controlLoop) checkPause() {
	now := time.Now()
	pause := now.Sub(l.lastStep)
	l.lastStep = now
	if pause <= maxPause {
		return
	}
	l.pauses.Inc(1)
	l.log.Info("paused for too long; dropped owner state", "gap", pause, "shards", len(l.shards))
	for id := range l.shards {
		l.dropShard(id)
	}
}

// dropShard discards the state of a shard. The holders of its queued asks repeat them.
func (l *controlLoop) dropShard(id core.ShardID) {
	delete(l.shards, id)
	for k, ch := range l.waiters {
		if k.shard == id {
			ch <- wire.Answer{Request: string(k.request), Code: codeNotOwner}
			delete(l.waiters, k)
		}
	}
}

// codeNotOwner marks an answer that stands for errNotOwner. It is used only inside the process, never on the wire.
const codeNotOwner = -1

// tick runs the timers of the owned shards, and removes expired floors and idle shards.
func (l *controlLoop) tick() {
	now := time.Now()
	maps.DeleteFunc(l.floors, func(_ floorKey, until time.Time) bool { return now.After(until) })
	for id, o := range l.shards {
		if !now.Before(o.shard.NextTick(now)) {
			l.applyEffects(o, o.shard.Tick(now))
		}
		if now.Sub(o.lastUsed) > idleShardTTL && len(o.route.candidates) > 0 && o.route.candidates[0] != l.self {
			l.dropShard(id)
		}
	}
}

// call runs f on the loop's goroutine and waits for it. After an error f may still run later, so the caller must not use
// the variables that f writes.
func (l *controlLoop) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post runs f on the loop's goroutine without waiting for it. It does nothing once the loop has ended.
func (l *controlLoop) post(f func()) {
	select {
	case l.calls <- f:
	case <-l.ended:
	}
}

// actAsOwner returns the state of a shard, and creates it if this instance is one of the shard's candidates. It returns
// nil if this instance may not act as owner.
func (l *controlLoop) actAsOwner(id core.ShardID) *ownedShard {
	if o := l.shards[id]; o != nil {
		o.lastUsed = time.Now()
		return o
	}
	r, ok := l.routing.load().shards[id]
	if !ok {
		return nil
	}
	if !slices.Contains(r.candidates, l.self) {
		return nil
	}
	if l.voterRevision[r.pool] < l.routing.load().candidateSince[id] {
		// A voter with an older instance list would not ask this instance to confirm a floor.
		l.announceCandidacy(r.pool)
		return nil
	}
	o := &ownedShard{route: r, shard: l.newShard(r), lastUsed: time.Now()}
	l.shards[id] = o
	now := time.Now()
	l.applyEffects(o, o.shard.SetEndpoints(now, r.endpoints))
	// Floors that this instance confirmed before it began to act as owner apply too: the shard that collected the
	// confirmations relies on them when it sheds requests.
	for k, until := range l.floors {
		switch {
		case !now.Before(until):
			delete(l.floors, k)
		case k.pool == r.pool:
			l.applyEffects(o, o.shard.ApplyFloor(now, k.tier, until))
		}
	}
	return o
}

// applyTable puts a new routing table in force after a change of the instance list. It updates the endpoints of the owned
// shards, and drops the shards of which this instance is no longer a candidate.
func (l *controlLoop) applyTable(t *routingTable) {
	t.carryOver(time.Now(), l.self, l.routing.load())
	l.routing.current.Store(t)
	for id, o := range l.shards {
		r, ok := t.shards[id]
		switch {
		case !ok: // the shard has no endpoints any more
			r = &route{id: id, pool: o.route.pool, centre: o.route.centre}
		case !slices.Contains(r.candidates, l.self):
			l.dropShard(id)
			continue
		}
		o.route = r
		l.applyEffects(o, o.shard.SetEndpoints(time.Now(), r.endpoints))
	}
}

// announceNewPools announces this instance for the pools of which it has become a candidate. It does so before it has to
// act as owner: once it takes over from a failed owner, that voter can no longer be reached.
func (l *controlLoop) announceNewPools() {
	for pool := range l.routing.load().pools {
		if l.needsAnnouncement(pool) {
			l.announceCandidacy(pool)
		}
	}
}

// needsAnnouncement reports whether some voters of the pool may not know yet that this instance is a candidate.
func (l *controlLoop) needsAnnouncement(pool core.Pool) bool {
	t := l.routing.load()
	return slices.ContainsFunc(t.pools[pool], func(id core.ShardID) bool { return l.voterRevision[pool] < t.candidateSince[id] })
}

// ask queues an ask and waits for its answer. If ctx ends first, the ask is withdrawn, and a slot that was already
// granted is released.
func (l *controlLoop) ask(ctx context.Context, shard core.ShardID, a admission.Ask) (wire.Answer, error) {
	ch := make(chan wire.Answer, 1)
	key := waiterKey{shard, a.Request}
	select {
	case l.calls <- func() { l.enqueue(key, a, ch) }:
	case <-ctx.Done():
		return wire.Answer{}, ctx.Err()
	}
	select {
	case m := <-ch:
		if m.Code == codeNotOwner {
			return m, errNotOwner
		}
		return m, nil
	case <-ctx.Done():
		l.post(func() { l.abandonAsk(key, ch) })
		return wire.Answer{}, ctx.Err()
	}
}

// enqueue passes an ask to its shard and registers ch for the answer.
func (l *controlLoop) enqueue(key waiterKey, ask admission.Ask, ch chan wire.Answer) {
	o := l.actAsOwner(key.shard)
	if o == nil {
		ch <- wire.Answer{Code: codeNotOwner}
		return
	}
	if previous := l.waiters[key]; previous != nil {
		previous <- wire.Answer{Code: codeNotOwner} // the holder asked again over another connection
	}
	l.waiters[key] = ch
	l.probe.ReportStep(testhook.Queued, l.self, ask.Request)
	l.applyEffects(o, o.shard.Ask(time.Now(), ask))
}

// abandonAsk ends an ask whose caller no longer waits for the answer.
func (l *controlLoop) abandonAsk(key waiterKey, ch chan wire.Answer) {
	select {
	case m := <-ch: // answered before the caller stopped waiting
		if m.Grant != "" {
			l.releaseInLoop(key.shard, admission.Release{Grant: core.GrantID(m.Grant), Request: key.request, Outcome: admission.OutcomeUnused})
		}
		return
	default:
	}
	if l.waiters[key] == (chan<- wire.Answer)(ch) {
		delete(l.waiters, key)
		l.withdrawInLoop(key)
	}
}

// withdraw removes an ask on behalf of a remote holder.
func (l *controlLoop) withdraw(shard core.ShardID, r core.RequestID) {
	l.post(func() {
		key := waiterKey{shard, r}
		if ch := l.waiters[key]; ch != nil {
			ch <- wire.Answer{Code: codeNotOwner}
			delete(l.waiters, key)
		}
		l.withdrawInLoop(key)
	})
}

// withdrawInLoop removes an ask from its shard. It must run on the loop's goroutine.
func (l *controlLoop) withdrawInLoop(key waiterKey) {
	if o := l.shards[key.shard]; o != nil {
		l.applyEffects(o, o.shard.Withdraw(time.Now(), key.request))
	}
}

// release returns a slot to its shard.
func (l *controlLoop) release(shard core.ShardID, r admission.Release) {
	l.post(func() { l.releaseInLoop(shard, r) })
}

// releaseInLoop returns a slot to its shard. It must run on the loop's goroutine.
func (l *controlLoop) releaseInLoop(shard core.ShardID, r admission.Release) {
	if o := l.shards[shard]; o != nil {
		o.lastUsed = time.Now()
		l.applyEffects(o, o.shard.Release(time.Now(), r))
		l.probe.ReportStep(testhook.Released, l.self, r.Request)
	}
}

// applySync applies a holder's list of the slots that it uses.
func (l *controlLoop) applySync(ctx context.Context, shard core.ShardID, msg admission.Sync) (wire.Synced, error) {
	var m wire.Synced
	err := errNotOwner
	if e := l.call(ctx, func() {
		o := l.actAsOwner(shard)
		if o == nil {
			return
		}
		err = nil
		for _, e := range l.applyEffects(o, o.shard.Sync(time.Now(), msg)) {
			if _, ok := e.(admission.RequestSync); ok {
				m.Resend = true
			}
		}
		st := o.shard.Stats()
		m.Free, m.Wait = st.Free, int(st.Wait.Milliseconds())
	}); e != nil {
		return wire.Synced{}, e
	}
	return m, err
}

// applyEffects carries out the effects that a shard returned, and returns them.
func (l *controlLoop) applyEffects(o *ownedShard, effects []admission.Effect) []admission.Effect {
	for _, e := range effects {
		switch e := e.(type) {
		case admission.Grant:
			l.grants.Inc(1)
			if !l.deliverAnswer(o, e.Request, wire.Answer{
				Request: string(e.Request), Grant: string(e.Grant), Endpoint: string(e.Endpoint), Address: e.Address,
				Wait: int(e.Wait.Milliseconds()), Free: o.shard.Stats().Free,
			}) {
				// The holder's connection broke. It asks again if it still needs a slot.
				l.releaseInLoop(o.route.id, admission.Release{Grant: e.Grant, Request: e.Request, Outcome: admission.OutcomeUnused})
			}
		case admission.Refuse:
			if e.Err.Code == core.CodeNotReady { // the shard dropped its queue after a pause: the holder must ask again
				l.deliverAnswer(o, e.Request, wire.Answer{Code: codeNotOwner})
				continue
			}
			l.refusals.Inc(1)
			l.deliverAnswer(o, e.Request, wire.Answer{
				Request: string(e.Request), Code: int(e.Err.Code), Detail: e.Err.Detail, Retry: int(e.Err.RetryAfter.Milliseconds()),
			})
		case admission.Suspend:
			l.suspend(e)
		case admission.ConfirmFloor:
			l.raiseFloor(o.route.pool, e.Tier)
		case admission.RequestSync: // applySync puts it into the answer
		}
	}
	return effects
}

// deliverAnswer sends the answer to an ask to its waiter, and reports whether there is one.
func (l *controlLoop) deliverAnswer(o *ownedShard, r core.RequestID, m wire.Answer) bool {
	key := waiterKey{o.route.id, r}
	ch := l.waiters[key]
	if ch == nil {
		return false
	}
	delete(l.waiters, key)
	ch <- m
	return true
}

// applyFloor applies a floor to the shards of a pool for the duration of the lease, and returns how many requests of
// lower tiers still run on them.
func (l *controlLoop) applyFloor(ctx context.Context, pool core.Pool, t core.Tier, lease time.Duration) (int, error) {
	lowerRunning := 0
	err := l.call(ctx, func() {
		now := time.Now()
		until := now.Add(lease)
		l.floors[floorKey{pool, t}] = until
		for _, o := range l.shards {
			if o.route.pool == pool {
				l.applyEffects(o, o.shard.ApplyFloor(now, t, until))
				lowerRunning += o.shard.RunningBelow(t)
			}
		}
	})
	if err != nil {
		return 0, err
	}
	return lowerRunning, nil
}

// floorConfirmed tells the shards of a pool that all voters confirmed the floor until the given time.
func (l *controlLoop) floorConfirmed(pool core.Pool, t core.Tier, until time.Time) {
	l.post(func() {
		for _, o := range l.shards {
			if o.route.pool == pool {
				l.applyEffects(o, o.shard.FloorConfirmed(time.Now(), t, until))
			}
		}
	})
}
