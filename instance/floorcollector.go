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
	// floorLease is how long a candidate keeps a floor without renewal.
	floorLease = 2 * time.Second
	// confirmTime is how long a collected confirmation may be relied on, counted from before the messages were
	// sent. It is shorter than floorLease, so that it ends before the first candidate lowers the floor again.
	confirmationValidity = 1500 * time.Millisecond
	// floorEvery is the pause between two rounds of collecting.
	floorCollectInterval = 400 * time.Millisecond
)

// floors collects confirmations of raised floors. One goroutine per raised pool and tier runs while a shard keeps
// asking for it. The owner of the pool's first shard collects on behalf of the other owners, so that the messages
// follow the number of candidates and not its square.
type floorCollector struct {
	self    core.InstanceID
	routing *routingState
	client  *peer.Client
	loop    *controlLoop

	mu         sync.Mutex
	lastWanted map[floorKey]time.Time // last request per floor
	validUntil map[floorKey]time.Time // until when the last complete round may be relied on
}

type floorKey struct {
	pool core.Pool
	tier core.Tier
}

// raise starts or prolongs the collection for a floor.
func (f *floorCollector) raise(ctx context.Context, pool core.Pool, t core.Tier) {
	f.request(ctx, floorKey{pool, t}, f.collect)
}

// want notes that a floor is needed and runs collect for it unless it is running.
func (f *floorCollector) request(ctx context.Context, key floorKey, collect func(context.Context, floorKey)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, running := f.lastWanted[key]
	f.lastWanted[key] = time.Now()
	if !running {
		go collect(ctx, key)
	}
}

// collect keeps the shards of this instance informed of the confirmations while the floor is wanted.
func (f *floorCollector) collect(ctx context.Context, key floorKey) {
	for ; ctx.Err() == nil && f.stillWanted(key); sleep(ctx, floorCollectInterval) {
		if until := f.confirmedUntil(ctx, key); !until.IsZero() {
			f.loop.floorConfirmed(key.pool, key.tier, until)
		}
	}
}

// still reports whether the floor was asked for within the last lease, and otherwise ends its collection.
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

// obtain returns until when all candidates confirmed, or zero. It asks the coordinator of the pool, and the candidates
// themselves if this instance is the coordinator or cannot reach it.
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

// coordinator returns the owner of the pool's first shard.
func (f *floorCollector) coordinator(pool core.Pool) (core.InstanceID, string) {
	t := f.routing.load()
	if shards := t.pools[pool]; len(shards) > 0 {
		return f.routing.owner(t.shards[shards[0]])
	}
	return "", ""
}

// serve collects on behalf of another owner and returns how long the confirmations of the last complete round still
// hold, 0 if there are none.
func (f *floorCollector) validityFor(ctx context.Context, key floorKey) time.Duration {
	f.request(ctx, key, f.collect)
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.validUntil[key]))
}

// round asks all voters of the pool once and reports whether every one of them confirmed or left the list.
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

// confirm asks one candidate. An unreachable candidate blocks the floor for as long as it is listed: it may be on the
// other side of a network cut, where it still serves lower tiers.
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
