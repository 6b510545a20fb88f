package instance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/core/endpoint"
)

// suspectTime is how long an instance that could not be reached is passed over.
const suspectDuration = 5 * time.Second

// route is one shard with the instances that may own it.
type route struct {
	id         core.ShardID
	pool       core.Pool
	centre     core.DataCentre
	specs      []endpoint.Spec
	candidates []core.InstanceID // in order of preference
}

// table is an immutable routing snapshot. The control loop replaces it, traffic reads it.
type routingTable struct {
	shards      map[core.ShardID]*route
	pools       map[core.Pool][]core.ShardID
	shardOf     map[core.EndpointID]core.ShardID
	addr        map[core.InstanceID]string // peer addresses of the listed instances
	claimOwners []core.InstanceID          // owner of each claim shard
	// acted holds when an instance was last a candidate of a pool. An instance that has not yet seen the latest list
	// may still act as owner, so that floors need its confirmation too.
	lastCandidate map[core.Pool]map[core.InstanceID]time.Time
	// revision is that of the instance list. since is the revision from which on this instance has been a candidate
	// of a shard without interruption.
	revision       core.Revision
	candidateSince map[core.ShardID]core.Revision
}

// current returns the shard that the slot's endpoint belongs to now: shards are split anew when a pool grows.
func (t *routingTable) currentShard(slot dispatch.Slot) core.ShardID {
	if id, ok := t.shardOf[slot.Endpoint]; ok {
		return id
	}
	return slot.Shard
}

// actedFor is how long a former candidate still has to confirm floors. It exceeds the age at which every instance
// reads the list itself.
const candidateGrace = 10 * time.Second

// inherit takes over from the previous snapshot since when this instance has been a candidate, and which former
// candidates may still act as owners.
func (t *routingTable) carryOver(now time.Time, self core.InstanceID, old *routingTable) {
	t.candidateSince = map[core.ShardID]core.Revision{}
	for id, r := range t.shards {
		if !slices.Contains(r.candidates, self) {
			continue
		}
		t.candidateSince[id] = t.revision
		if since, ok := old.candidateSince[id]; ok {
			t.candidateSince[id] = since
		}
	}
	t.lastCandidate = map[core.Pool]map[core.InstanceID]time.Time{}
	for pool, ids := range old.lastCandidate {
		t.lastCandidate[pool] = lo.PickBy(ids, func(_ core.InstanceID, at time.Time) bool { return now.Sub(at) < candidateGrace })
	}
	markCandidates := func(shards map[core.ShardID]*route) {
		for _, r := range shards {
			if t.lastCandidate[r.pool] == nil {
				t.lastCandidate[r.pool] = map[core.InstanceID]time.Time{}
			}
			for _, id := range r.candidates {
				t.lastCandidate[r.pool][id] = now
			}
		}
	}
	markCandidates(old.shards)
	markCandidates(t.shards)
}

// voters lists the instances that have to confirm a floor of the pool: its candidates, and its recent candidates
// that are still listed.
func (t *routingTable) voters(now time.Time, pool core.Pool) []core.InstanceID {
	var ids []core.InstanceID
	for _, shard := range t.pools[pool] {
		ids = append(ids, t.shards[shard].candidates...)
	}
	for id, at := range t.lastCandidate[pool] {
		if _, listed := t.addr[id]; listed && now.Sub(at) < candidateGrace {
			ids = append(ids, id)
		}
	}
	return lo.Uniq(ids)
}

// tables publishes the current snapshot and the instances that were unreachable a moment ago.
type routingState struct {
	self    core.InstanceID
	current atomic.Pointer[routingTable]

	mu          sync.Mutex
	suspects    map[core.InstanceID]time.Time   // until when
	lastContact map[core.InstanceID]peerContact // what peers said last
}

// heard is what a peer said of itself in its last message.
type peerContact struct {
	time        time.Time
	incarnation string // identifies its process
	revision    int    // configuration in force
}

func newTables(self core.InstanceID) *routingState {
	t := &routingState{self: self, suspects: map[core.InstanceID]time.Time{}, lastContact: map[core.InstanceID]peerContact{}}
	t.current.Store(&routingTable{})
	return t
}

func (t *routingState) load() *routingTable { return t.current.Load() }

// suspect passes over an instance for suspectTime. Suspicion is local: it never permits shedding.
func (t *routingState) suspect(id core.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[id] = time.Now().Add(suspectDuration)
}

// heard notes a message of a peer's process and ends the suspicion of it.
func (t *routingState) recordContact(id core.InstanceID, incarnation string, revision int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects, id)
	t.lastContact[id] = peerContact{time: time.Now(), incarnation: incarnation, revision: revision}
}

// seen returns what a peer said last.
func (t *routingState) contact(id core.InstanceID) (peerContact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.lastContact[id]
	return c, ok
}

// start returns the start id of the process that was last heard under a name, or "".
func (t *routingState) incarnation(id core.InstanceID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact[id].incarnation
}

// suspected reports whether the instance is passed over.
func (t *routingState) suspected(id core.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.suspects[id])
}

// owner returns the first candidate that is not suspected, and its address. It returns "" if there is none.
func (t *routingState) owner(r *route) (core.InstanceID, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, id := range r.candidates {
		if until, ok := t.suspects[id]; ok && now.Before(until) {
			continue
		}
		return id, t.load().addr[id]
	}
	return "", ""
}
