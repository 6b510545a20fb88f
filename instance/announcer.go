package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/core/membership"
)

// announceRetryDelay is the delay between two attempts to send the instance list to a voter.
const announceRetryDelay = 100 * time.Millisecond

// announcer makes sure, before this instance acts as owner, that the voters of a pool have the instance list that made
// it a candidate. Otherwise a voter with an older list could collect confirmations of a floor without asking this
// instance, and shed a higher tier while this instance serves a lower one.
type announcer struct {
	self    core.InstanceID
	loop    *controlLoop
	gossip  *gossip
	routing *routingState

	mu      sync.Mutex
	running map[core.Pool]bool
}

// start announces this instance to the voters of the pool, unless an announcement is already running.
func (a *announcer) start(ctx context.Context, pool core.Pool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[pool] {
		return
	}
	a.running[pool] = true
	go a.run(ctx, pool)
}

// run announces until all voters have the list that made this instance a candidate of the pool's shards.
func (a *announcer) run(ctx context.Context, pool core.Pool) {
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.running, pool)
	}()
	for unannounced := true; unannounced; {
		r := a.announceToVoters(ctx, pool)
		remaining := make(chan bool, 1)
		if a.loop.call(ctx, func() {
			a.loop.voterRevision[pool] = max(a.loop.voterRevision[pool], r)
			remaining <- a.loop.needsAnnouncement(pool)
		}) != nil {
			return
		}
		unannounced = <-remaining
	}
}

// announceToVoters announces to all voters concurrently and returns the list revision that all of them have afterwards.
func (a *announcer) announceToVoters(ctx context.Context, pool core.Pool) core.Revision {
	t := a.routing.load()
	var wg sync.WaitGroup
	for _, id := range t.voters(time.Now(), pool) {
		if id != a.self {
			wg.Go(func() { a.announceTo(ctx, pool, id, t.revision) })
		}
	}
	wg.Wait()
	return t.revision
}

// announceTo exchanges gossip with a voter until the voter has the revision or is no longer a voter. It gives up after
// candidateGrace: a voter that is unreachable for that long has read the list itself by then.
func (a *announcer) announceTo(ctx context.Context, pool core.Pool, id core.InstanceID, r core.Revision) {
	for end := time.Now().Add(candidateGrace); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, announceRetryDelay) {
		t := a.routing.load()
		if !slices.Contains(t.voters(time.Now(), pool), id) {
			return
		}
		if a.gossip.exchange(ctx, membership.Member{ID: id, Address: t.addr[id]}) >= r {
			return
		}
	}
}
