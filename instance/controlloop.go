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
	"monsoondale/internal/guard"
	wire "monsoondale/wire/peer"
)

const (
	// tickEvery is the period of the control loop's own work.
	tickInterval = 50 * time.Millisecond
	// maxGap is the longest pause between two steps of the loop after which the instance may still act as owner.
	// After a longer one other instances may have replaced it.
	maxPause = 2 * time.Second
)

// loop holds the control state of an instance. One goroutine runs all functions sent to it, so that the state needs
// no locks.
type controlLoop struct {
	self    core.InstanceID
	log     logr.Logger
	calls   chan func()
	ended   chan struct{} // closed when run returns
	routing *routingState
	// newShard creates the state of a shard that this instance begins to own.
	newShard func(r *route) *admission.Shard
	// suspend carries out a Suspend effect, raise collects confirmations of a floor, and announce makes sure that the
	// instances which may shed work of a pool know that this one is a candidate. They must not block.
	suspend           func(s admission.Suspend)
	raiseFloor        func(pool core.Pool, t core.Tier)
	announceCandidacy func(pool core.Pool)
	probe             guard.Probe

	// State of the loop's goroutine.
	shards        map[core.ShardID]*ownedShard
	floors        map[floorKey]time.Time // confirmed floors and when they end, also for shards not acted for yet
	waiters       map[waiterKey]chan<- wire.Answer
	voterRevision map[core.Pool]core.Revision // list revision that all voters of a pool are known to have
	lastStep      time.Time

	gaps, grants, refusals metrics.Counter
}

// owned is the state of a shard that this instance owns, or acts as owner of.
type ownedShard struct {
	route    *route
	shard    *admission.Shard
	lastUsed time.Time // last ask, release or sync
}

type waiterKey struct {
	shard   core.ShardID
	request core.RequestID
}

// idleShard is how long the state of an unused shard is kept after its last message.
const idleShardTTL = time.Minute

func newControlLoop(self core.InstanceID, log logr.Logger, t *routingState, reg metrics.Registry) *controlLoop {
	return &controlLoop{
		self: self, log: log, routing: t,
		calls:         make(chan func(), 1024),
		ended:         make(chan struct{}),
		shards:        map[core.ShardID]*ownedShard{},
		waiters:       map[waiterKey]chan<- wire.Answer{},
		floors:        map[floorKey]time.Time{},
		voterRevision: map[core.Pool]core.Revision{},
		gaps:          metrics.GetOrRegisterCounter("control.gaps", reg),
		grants:        metrics.GetOrRegisterCounter("owner.grants", reg),
		refusals:      metrics.GetOrRegisterCounter("owner.refusals", reg),
	}
}

// run executes the control functions until ctx ends.
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
			l.probe.Wait()
			l.checkPause()
			f()
		case <-tick.C:
			l.probe.Wait()
			l.checkPause()
			l.tick()
		}
	}
}

// checkGap drops the owner state after a pause: another instance may have acted as owner meanwhile, and the floors
// that this one confirmed have expired.
func (l *controlLoop) checkPause() {
	now := time.Now()
	pause := now.Sub(l.lastStep)
	l.lastStep = now
	if pause <= maxPause {
		return
	}
	l.gaps.Inc(1)
	l.log.Info("paused for too long; dropped owner state", "gap", pause, "shards", len(l.shards))
	for id := range l.shards {
		l.dropShard(id)
	}
}

// drop forgets a shard. Its queued asks are repeated by their holders.
func (l *controlLoop) dropShard(id core.ShardID) {
	delete(l.shards, id)
	for k, ch := range l.waiters {
		if k.shard == id {
			ch <- wire.Answer{Request: string(k.request), Code: codeNotOwner}
			delete(l.waiters, k)
		}
	}
}

// codeNotOwner marks an answer inside the process that stands for errNotOwner; it never leaves it.
const codeNotOwner = -1

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

// do runs f on the loop's goroutine and waits for it. After an error f may still run later, so that the caller must not
// touch what f writes.
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

// post runs f on the loop's goroutine and does not wait for it. It does nothing once the loop has ended.
func (l *controlLoop) post(f func()) {
	select {
	case l.calls <- f:
	case <-l.ended:
	}
}

// acting returns the state of a shard if this instance is one of its candidates.
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
		// An instance with an older list would not ask this one to confirm a floor.
		l.announceCandidacy(r.pool)
		return nil
	}
	o := &ownedShard{route: r, shard: l.newShard(r), lastUsed: time.Now()}
	l.shards[id] = o
	now := time.Now()
	l.applyEffects(o, o.shard.SetEndpoints(now, r.specs))
	// A floor that was confirmed before this instance began to act holds all the same: the shard that collected the
	// confirmation sheds because of it.
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

// reroute gives the owned shards their new endpoints after a change of the instance list, and drops the shards of
// which this instance is no longer a candidate.
func (l *controlLoop) applyTable(t *routingTable) {
	t.carryOver(time.Now(), l.self, l.routing.load())
	l.routing.current.Store(t)
	for id, o := range l.shards {
		r, ok := t.shards[id]
		switch {
		case !ok: // all endpoints are gone
			r = &route{id: id, pool: o.route.pool, centre: o.route.centre}
		case !slices.Contains(r.candidates, l.self):
			l.dropShard(id)
			continue
		}
		o.route = r
		l.applyEffects(o, o.shard.SetEndpoints(time.Now(), r.specs))
	}
}

// announceNew announces this instance for the pools of which it has become a candidate. It does so before it has to act,
// because an instance that takes over from a dead owner cannot reach that one any more.
func (l *controlLoop) announceNewPools() {
	for pool := range l.routing.load().pools {
		if l.needsAnnouncement(pool) {
			l.announceCandidacy(pool)
		}
	}
}

// unannounced reports whether voters of the pool may not know yet that this instance is a candidate.
func (l *controlLoop) needsAnnouncement(pool core.Pool) bool {
	t := l.routing.load()
	return slices.ContainsFunc(t.pools[pool], func(id core.ShardID) bool { return l.voterRevision[pool] < t.candidateSince[id] })
}

// ask queues an ask and waits for its answer. When ctx ends first the ask is withdrawn, and a grant that was already
// made is returned.
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
	l.probe.Reach(guard.Queued, l.self, ask.Request)
	l.applyEffects(o, o.shard.Ask(time.Now(), ask))
}

// abandon ends an ask whose waiter has gone.
func (l *controlLoop) abandonAsk(key waiterKey, ch chan wire.Answer) {
	select {
	case m := <-ch: // answered before the waiter left
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

// withdraw takes back an ask on behalf of a remote holder.
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

func (l *controlLoop) withdrawInLoop(key waiterKey) {
	if o := l.shards[key.shard]; o != nil {
		l.applyEffects(o, o.shard.Withdraw(time.Now(), key.request))
	}
}

// release returns a slot.
func (l *controlLoop) release(shard core.ShardID, r admission.Release) {
	l.post(func() { l.releaseInLoop(shard, r) })
}

func (l *controlLoop) releaseInLoop(shard core.ShardID, r admission.Release) {
	if o := l.shards[shard]; o != nil {
		o.lastUsed = time.Now()
		l.applyEffects(o, o.shard.Release(time.Now(), r))
		l.probe.Reach(guard.Released, l.self, r.Request)
	}
}

// sync applies a holder's account of its slots.
func (l *controlLoop) applySync(ctx context.Context, shard core.ShardID, y admission.Sync) (wire.Synced, error) {
	var m wire.Synced
	err := errNotOwner
	if e := l.call(ctx, func() {
		o := l.actAsOwner(shard)
		if o == nil {
			return
		}
		err = nil
		for _, e := range l.applyEffects(o, o.shard.Sync(time.Now(), y)) {
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

// apply carries out the effects of a shard and returns them.
func (l *controlLoop) applyEffects(o *ownedShard, effects []admission.Effect) []admission.Effect {
	for _, e := range effects {
		switch e := e.(type) {
		case admission.Grant:
			l.grants.Inc(1)
			if !l.deliverAnswer(o, e.Request, wire.Answer{
				Request: string(e.Request), Grant: string(e.Grant), Endpoint: string(e.Endpoint), Address: e.Address,
				Wait: int(e.Wait.Milliseconds()), Free: o.shard.Stats().Free,
			}) {
				// The holder's connection broke; it asks again if it still wants a slot.
				l.releaseInLoop(o.route.id, admission.Release{Grant: e.Grant, Request: e.Request, Outcome: admission.OutcomeUnused})
			}
		case admission.Refuse:
			if e.Err.Code == core.CodeNotReady { // the shard was paused and gave up its queue: ask the owner again
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
		case admission.RequestSync: // part of the answer to a sync
		}
	}
	return effects
}

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

// floor applies a floor to the shards of a pool and returns how many requests of lower tiers still run at them.
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

// confirmed tells the shards of a pool that all candidates confirmed the floor until the given time.
func (l *controlLoop) floorConfirmed(pool core.Pool, t core.Tier, until time.Time) {
	l.post(func() {
		for _, o := range l.shards {
			if o.route.pool == pool {
				l.applyEffects(o, o.shard.FloorConfirmed(time.Now(), t, until))
			}
		}
	})
}
