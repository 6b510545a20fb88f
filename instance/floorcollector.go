package instance

import (
	"context"
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
)

const (
	// floorLease is how long a voter keeps a floor without renewal.
	floorLease = 2 * time.Second
	// confirmationValidity is how long collected confirmations are valid, counted from before the messages were sent. It
	// is shorter than floorLease, so it ends before the first voter lowers the floor again.
	confirmationValidity = 1500 * time.Millisecond
	// floorCollectInterval is the delay between two rounds of collecting confirmations.
	floorCollectInterval = 400 * time.Millisecond
)

// floorCollector collects the confirmations of raised floors. A floor is the lowest tier of a pool that is still served;
// a shard sheds requests only after all voters of the pool confirmed that no lower tier runs at their shards. One
// goroutine per pool and tier runs while a shard keeps asking for the floor. The owner of the pool's first shard collects
// on behalf of the other owners, so the number of messages is linear in the number of candidates, not quadratic.
type floorCollector struct {
	self    core.InstanceID
	routing *routingState
	client  *peer.Client
	loop    *controlLoop

	mu         sync.Mutex
	lastWanted map[floorKey]time.Time // when each floor was last requested
	validUntil map[floorKey]time.Time // end of the validity of the last complete round
}

// floorKey identifies a floor.
type floorKey struct {
	pool core.Pool
	tier core.Tier
}

// raise starts or prolongs the collection of confirmations for a floor.
func (f *floorCollector) raise(ctx context.Context, pool core.Pool, t core.Tier) {
	f.request(ctx, floorKey{pool, t}, f.collect)
}

// request records that a floor is needed, and starts collect for it unless that is running already.
func (f *floorCollector) request(ctx context.Context, key floorKey, collect func(context.Context, floorKey)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, running := f.lastWanted[key]
	f.lastWanted[key] = time.Now()
	if !running {
		go collect(ctx, key)
	}
}

// collect passes confirmations to the shards of this instance for as long as the floor is wanted.
func (f *floorCollector) collect(ctx context.Context, key floorKey) {
	for ; ctx.Err() == nil && f.stillWanted(key); sleep(ctx, floorCollectInterval) {
		if until := f.confirmedUntil(ctx, key); !until.IsZero() {
			f.loop.floorConfirmed(key.pool, key.tier, until)
		}
	}
}

// stillWanted reports whether the floor was requested within the last floorLease. If not, it removes the floor's state.
func (f *floorCollector) stillWanted(key floorKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastWanted[key]) < floorLease {
		return true
	}
	delete(f.lastWanted, key)
	delete(f.validUntil, key)
	return false
}

// confirmedUntil returns the time until which all voters confirmed the floor, or the zero time if they did not. It asks
// the coordinator of the pool, or the voters themselves if this instance is the coordinator or cannot reach it.
func (f *floorCollector) confirmedUntil(ctx context.Context, key floorKey) time.Time {
	sent := time.Now()
	if id, addr := f.coordinator(key.pool); id != "" && id != f.self {
		m, err := f.client.Floor(ctx, addr, wire.Floor{
			Pool: string(key.pool), Tier: int(key.tier), Lease: int(floorLease.Milliseconds()), From: string(f.self), Collect: true,
		})
		switch {
		case err == nil && m.Confirmed:
			return sent.Add(time.Duration(m.Lease) * time.Millisecond)
		case err == nil:
			return time.Time{}
		}
	}
	if !f.confirmedByAll(ctx, key) {
		return time.Time{}
	}
	until := sent.Add(confirmationValidity)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.validUntil[key] = until
	return until
}

// coordinator returns the owner of the pool's first shard and its address, unless all candidates are suspected.
func (f *floorCollector) coordinator(pool core.Pool) (core.InstanceID, string) {
	t := f.routing.load()
	if shards := t.pools[pool]; len(shards) > 0 {
		if id, addr := f.routing.owner(t.shards[shards[0]]); !f.routing.suspected(id) {
			return id, addr
		}
	}
	return "", ""
}

// validityFor collects on behalf of another owner. It returns how long the confirmations of the last complete round are
// still valid, or 0 if there are none.
func (f *floorCollector) validityFor(ctx context.Context, key floorKey) time.Duration {
	f.request(ctx, key, f.collect)
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.validUntil[key]))
}

// confirmedByAll asks all voters of the pool once and reports whether each of them confirmed the floor or is no longer
// listed.
func (f *floorCollector) confirmedByAll(ctx context.Context, key floorKey) bool {
	t := f.routing.load()
	ids := t.voters(time.Now(), key.pool)
	results := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { results <- f.confirmedBy(ctx, key, id, t.addr[id]) }()
	}
	confirmed := true
	for range ids {
		confirmed = <-results && confirmed
	}
	return confirmed
}

// confirmedBy asks one voter. An unreachable voter blocks the floor for as long as it is listed: it may be on the other
// side of a network partition and still serve lower tiers there.
func (f *floorCollector) confirmedBy(ctx context.Context, key floorKey, id core.InstanceID, addr string) bool {
	if id == f.self {
		n, err := f.loop.applyFloor(ctx, key.pool, key.tier, floorLease)
		return err == nil && n == 0
	}
	m, err := f.client.Floor(ctx, addr, wire.Floor{
		Pool: string(key.pool), Tier: int(key.tier), Lease: int(floorLease.Milliseconds()), From: string(f.self),
	})
	if err == nil {
		return m.Confirmed
	}
	_, listed := f.routing.load().addr[id]
	return !listed
}
