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
	tickEvery = 50 * time.Millisecond
	// maxGap is the longest pause between two steps of the loop after which the instance may still act as owner.
	// After a longer one other instances may have replaced it.
	maxGap = 2 * time.Second
)

// loop holds the control state of an instance. One goroutine runs all functions sent to it, so that the state needs
// no locks.
type loop struct {
	self   core.InstanceID
	log    logr.Logger
	calls  chan func()
	ended  chan struct{} // closed when run returns
	tables *tables
	// newShard creates the state of a shard that this instance begins to own.
	newShard func(r *route) *admission.Shard
	// suspend carries out a Suspend effect, raise collects confirmations of a floor, and announce makes sure that the
	// instances which may shed work of a pool know that this one is a candidate. They must not block.
	suspend  func(s admission.Suspend)
	raise    func(pool core.Pool, t core.Tier)
	announce func(pool core.Pool)
	probe    guard.Probe

	// State of the loop's goroutine.
	shards  map[core.ShardID]*owned
	floors  map[floorKey]time.Time // confirmed floors and when they end, also for shards not acted for yet
	waiters map[waiter]chan<- wire.Answer
	known   map[core.Pool]core.Revision // list revision that all voters of a pool are known to have
	last    time.Time

	gaps, grants, refusals metrics.Counter
}

// owned is the state of a shard that this instance owns, or acts as owner of.
type owned struct {
	route *route
	shard *admission.Shard
	used  time.Time // last ask, release or sync
}

type waiter struct {
	shard   core.ShardID
	request core.RequestID
}

// idleShard is how long the state of an unused shard is kept after its last message.
const idleShard = time.Minute

func newLoop(self core.InstanceID, log logr.Logger, t *tables, reg metrics.Registry) *loop {
	return &loop{
		self: self, log: log, tables: t,
		calls:    make(chan func(), 1024),
		ended:    make(chan struct{}),
		shards:   map[core.ShardID]*owned{},
		waiters:  map[waiter]chan<- wire.Answer{},
		floors:   map[floorKey]time.Time{},
		known:    map[core.Pool]core.Revision{},
		gaps:     metrics.GetOrRegisterCounter("control.gaps", reg),
		grants:   metrics.GetOrRegisterCounter("owner.grants", reg),
		refusals: metrics.GetOrRegisterCounter("owner.refusals", reg),
	}
}

// run executes the control functions until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.ended)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	l.last = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.calls:
			l.probe.Wait()
			l.checkGap()
			f()
		case <-tick.C:
			l.probe.Wait()
			l.checkGap()
			l.tick()
		}
	}
}

// checkGap drops the owner state after a pause: another instance may have acted as owner meanwhile, and the floors
// that this one confirmed have expired.
func (l *loop) checkGap() {
	now := time.Now()
	gap := now.Sub(l.last)
	l.last = now
	if gap <= maxGap {
		return
	}
	l.gaps.Inc(1)
	l.log.Info("paused for too long; dropped owner state", "gap", gap, "shards", len(l.shards))
	for id := range l.shards {
		l.drop(id)
	}
}

// drop forgets a shard. Its queued asks are repeated by their holders.
func (l *loop) drop(id core.ShardID) {
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

func (l *loop) tick() {
	now := time.Now()
	maps.DeleteFunc(l.floors, func(_ floorKey, until time.Time) bool { return now.After(until) })
	for id, o := range l.shards {
		if !now.Before(o.shard.NextTick(now)) {
			l.apply(o, o.shard.Tick(now))
		}
		if now.Sub(o.used) > idleShard && len(o.route.candidates) > 0 && o.route.candidates[0] != l.self {
			l.drop(id)
		}
	}
}

// do runs f on the loop's goroutine and waits for it. After an error f may still run later, so that the caller must not
// touch what f writes.
func (l *loop) do(ctx context.Context, f func()) error {
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
func (l *loop) post(f func()) {
	select {
	case l.calls <- f:
	case <-l.ended:
	}
}

// acting returns the state of a shard if this instance is one of its candidates.
func (l *loop) acting(id core.ShardID) *owned {
	if o := l.shards[id]; o != nil {
		o.used = time.Now()
		return o
	}
	r, ok := l.tables.load().shards[id]
	if !ok {
		return nil
	}
	if !slices.Contains(r.candidates, l.self) {
		return nil
	}
	if l.known[r.pool] < l.tables.load().since[id] {
		// An instance with an older list would not ask this one to confirm a floor.
		l.announce(r.pool)
		return nil
	}
	o := &owned{route: r, shard: l.newShard(r), used: time.Now()}
	l.shards[id] = o
	now := time.Now()
	l.apply(o, o.shard.SetEndpoints(now, r.specs))
	// A floor that was confirmed before this instance began to act holds all the same: the shard that collected the
	// confirmation sheds because of it.
	for k, until := range l.floors {
		switch {
		case !now.Before(until):
			delete(l.floors, k)
		case k.pool == r.pool:
			l.apply(o, o.shard.ApplyFloor(now, k.tier, until))
		}
	}
	return o
}

// reroute gives the owned shards their new endpoints after a change of the instance list, and drops the shards of
// which this instance is no longer a candidate.
func (l *loop) reroute(t *table) {
	t.inherit(time.Now(), l.self, l.tables.load())
	l.tables.current.Store(t)
	for id, o := range l.shards {
		r, ok := t.shards[id]
		switch {
		case !ok: // all endpoints are gone
			r = &route{id: id, pool: o.route.pool, centre: o.route.centre}
		case !slices.Contains(r.candidates, l.self):
			l.drop(id)
			continue
		}
		o.route = r
		l.apply(o, o.shard.SetEndpoints(time.Now(), r.specs))
	}
}

// announceNew announces this instance for the pools of which it has become a candidate. It does so before it has to act,
// because an instance that takes over from a dead owner cannot reach that one any more.
func (l *loop) announceNew() {
	for pool := range l.tables.load().pools {
		if l.unannounced(pool) {
			l.announce(pool)
		}
	}
}

// unannounced reports whether voters of the pool may not know yet that this instance is a candidate.
func (l *loop) unannounced(pool core.Pool) bool {
	t := l.tables.load()
	return slices.ContainsFunc(t.pools[pool], func(id core.ShardID) bool { return l.known[pool] < t.since[id] })
}

// ask queues an ask and waits for its answer. When ctx ends first the ask is withdrawn, and a grant that was already
// made is returned.
func (l *loop) ask(ctx context.Context, shard core.ShardID, a admission.Ask) (wire.Answer, error) {
	ch := make(chan wire.Answer, 1)
	key := waiter{shard, a.Request}
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
		l.post(func() { l.abandon(key, ch) })
		return wire.Answer{}, ctx.Err()
	}
}

func (l *loop) enqueue(key waiter, a admission.Ask, ch chan wire.Answer) {
	o := l.acting(key.shard)
	if o == nil {
		ch <- wire.Answer{Code: codeNotOwner}
		return
	}
	if old := l.waiters[key]; old != nil {
		old <- wire.Answer{Code: codeNotOwner} // the holder asked again over another connection
	}
	l.waiters[key] = ch
	l.probe.Reach(guard.Queued, l.self, a.Request)
	l.apply(o, o.shard.Ask(time.Now(), a))
}

// abandon ends an ask whose waiter has gone.
func (l *loop) abandon(key waiter, ch chan wire.Answer) {
	select {
	case m := <-ch: // answered before the waiter left
		if m.Grant != "" {
			l.releaseNow(key.shard, admission.Release{Grant: core.GrantID(m.Grant), Request: key.request, Outcome: admission.OutcomeUnused})
		}
		return
	default:
	}
	if l.waiters[key] == (chan<- wire.Answer)(ch) {
		delete(l.waiters, key)
		l.withdrawNow(key)
	}
}

// withdraw takes back an ask on behalf of a remote holder.
func (l *loop) withdraw(shard core.ShardID, r core.RequestID) {
	l.post(func() {
		key := waiter{shard, r}
		if ch := l.waiters[key]; ch != nil {
			ch <- wire.Answer{Code: codeNotOwner}
			delete(l.waiters, key)
		}
		l.withdrawNow(key)
	})
}

func (l *loop) withdrawNow(key waiter) {
	if o := l.shards[key.shard]; o != nil {
		l.apply(o, o.shard.Withdraw(time.Now(), key.request))
	}
}

// release returns a slot.
func (l *loop) release(shard core.ShardID, r admission.Release) {
	l.post(func() { l.releaseNow(shard, r) })
}

func (l *loop) releaseNow(shard core.ShardID, r admission.Release) {
	if o := l.shards[shard]; o != nil {
		o.used = time.Now()
		l.apply(o, o.shard.Release(time.Now(), r))
		l.probe.Reach(guard.Released, l.self, r.Request)
	}
}

// sync applies a holder's account of its slots.
func (l *loop) sync(ctx context.Context, shard core.ShardID, y admission.Sync) (wire.Synced, error) {
	var m wire.Synced
	err := errNotOwner
	if e := l.do(ctx, func() {
		o := l.acting(shard)
		if o == nil {
			return
		}
		err = nil
		for _, e := range l.apply(o, o.shard.Sync(time.Now(), y)) {
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
func (l *loop) apply(o *owned, effects []admission.Effect) []admission.Effect {
	for _, e := range effects {
		switch e := e.(type) {
		case admission.Grant:
			l.grants.Inc(1)
			if !l.deliver(o, e.Request, wire.Answer{
				Request: string(e.Request), Grant: string(e.Grant), Endpoint: string(e.Endpoint), Address: e.Address,
				Wait: int(e.Wait.Milliseconds()), Free: o.shard.Stats().Free,
			}) {
				// The holder's connection broke; it asks again if it still wants a slot.
				l.releaseNow(o.route.id, admission.Release{Grant: e.Grant, Request: e.Request, Outcome: admission.OutcomeUnused})
			}
		case admission.Refuse:
			if e.Err.Code == core.CodeNotReady { // the shard was paused and gave up its queue: ask the owner again
				l.deliver(o, e.Request, wire.Answer{Code: codeNotOwner})
				continue
			}
			l.refusals.Inc(1)
			l.deliver(o, e.Request, wire.Answer{
				Request: string(e.Request), Code: int(e.Err.Code), Detail: e.Err.Detail, Retry: int(e.Err.RetryAfter.Milliseconds()),
			})
		case admission.Suspend:
			l.suspend(e)
		case admission.ConfirmFloor:
			l.raise(o.route.pool, e.Tier)
		case admission.RequestSync: // part of the answer to a sync
		}
	}
	return effects
}

func (l *loop) deliver(o *owned, r core.RequestID, m wire.Answer) bool {
	key := waiter{o.route.id, r}
	ch := l.waiters[key]
	if ch == nil {
		return false
	}
	delete(l.waiters, key)
	ch <- m
	return true
}

// floor applies a floor to the shards of a pool and returns how many requests of lower tiers still run at them.
func (l *loop) floor(ctx context.Context, pool core.Pool, t core.Tier, lease time.Duration) (int, error) {
	n := 0
	err := l.do(ctx, func() {
		now := time.Now()
		until := now.Add(lease)
		l.floors[floorKey{pool, t}] = until
		for _, o := range l.shards {
			if o.route.pool == pool {
				l.apply(o, o.shard.ApplyFloor(now, t, until))
				n += o.shard.RunningBelow(t)
			}
		}
	})
	if err != nil {
		return 0, err
	}
	return n, nil
}

// confirmed tells the shards of a pool that all candidates confirmed the floor until the given time.
func (l *loop) confirmed(pool core.Pool, t core.Tier, until time.Time) {
	l.post(func() {
		for _, o := range l.shards {
			if o.route.pool == pool {
				l.apply(o, o.shard.FloorConfirmed(time.Now(), t, until))
			}
		}
	})
}
