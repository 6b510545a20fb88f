package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/core/membership"
)

// announceEvery is the pause between two attempts to tell an instance of the list.
const announceRetryDelay = 100 * time.Millisecond

// announcer tells the voters of a pool's floors of the instance list that made this instance a candidate, before it
// acts as owner. Otherwise a voter with an older list could collect confirmations without asking this instance, and shed
// a higher tier while this instance serves a lower one.
type announcer struct {
	self    core.InstanceID
	loop    *controlLoop
	gossip  *gossip
	routing *routingState

	mu      sync.Mutex
	running map[core.Pool]bool
}

// start announces this instance to the voters of the pool, unless that is under way.
func (a *announcer) start(ctx context.Context, pool core.Pool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[pool] {
		return
	}
	a.running[pool] = true
	go a.run(ctx, pool)
}

// run tells the voters until all of them have the list that made this instance a candidate of the pool's shards.
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

// tellAll tells all voters at the same time and returns the revision that all of them have.
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

// tell exchanges gossip with a voter until it has the revision or is no voter any more. A voter that stays unreachable
// for actedFor has read the list itself by then.
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
