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

// suspectDuration is how long an instance that could not be reached is skipped as owner.
const suspectDuration = 5 * time.Second

// route is a shard of endpoints with the instances that may own it.
type route struct {
	id         core.ShardID
	pool       core.Pool
	centre     core.DataCentre
	endpoints  []endpoint.Spec
	candidates []core.InstanceID // in order of preference
}

// routingTable is an immutable snapshot of the shards and their owners. The control loop replaces it, request handlers
// read it.
type routingTable struct {
	shards      map[core.ShardID]*route
	pools       map[core.Pool][]core.ShardID
	shardOf     map[core.EndpointID]core.ShardID
	addr        map[core.InstanceID]string // peer addresses of the listed instances
	claimOwners []core.InstanceID          // owner of each claim shard
	// lastCandidate holds when an instance was last a candidate of a pool. An instance that has not yet seen the latest
	// list may still act as owner, so floors need its confirmation too.
	lastCandidate map[core.Pool]map[core.InstanceID]time.Time
	// revision is the revision of the instance list that the snapshot was built from.
	revision core.Revision
	// candidateSince is the revision since which this instance has been a candidate of a shard without interruption.
	candidateSince map[core.ShardID]core.Revision
}

// currentShard returns the shard that the slot's endpoint belongs to now, which differs from the shard that granted the
// slot if the pool has been split anew since.
func (t *routingTable) currentShard(slot dispatch.Slot) core.ShardID {
	if id, ok := t.shardOf[slot.Endpoint]; ok {
		return id
	}
	return slot.Shard
}

// candidateGrace is how long a former candidate still has to confirm floors. It exceeds the age of the instance list at
// which every instance reads the list itself.
const candidateGrace = 10 * time.Second

// carryOver copies from the previous snapshot since when this instance has been a candidate, and which former candidates
// may still act as owners.
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

// voters returns the instances that have to confirm a floor of the pool: its candidates, and those of its former
// candidates within candidateGrace that are still listed.
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

// routingState holds the current routing table, the instances that are suspected to be down, and the last contact with
// each peer.
type routingState struct {
	self    core.InstanceID
	current atomic.Pointer[routingTable]

	mu          sync.Mutex
	suspects    map[core.InstanceID]time.Time // end of the suspicion
	lastContact map[core.InstanceID]peerContact
}

// peerContact is what a peer reported about itself in its last message.
type peerContact struct {
	receivedAt  time.Time
	incarnation string // identifies the peer's process
	revision    int    // of the configuration in force at the peer
}

func newRoutingState(self core.InstanceID) *routingState {
	t := &routingState{self: self, suspects: map[core.InstanceID]time.Time{}, lastContact: map[core.InstanceID]peerContact{}}
	t.current.Store(&routingTable{})
	return t
}

func (t *routingState) load() *routingTable { return t.current.Load() }

// suspect skips an instance as owner for suspectDuration. Suspicion is local to this instance: it never permits shedding
// of requests.
func (t *routingState) suspect(id core.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[id] = time.Now().Add(suspectDuration)
}

// recordContact records a message of a peer and ends the suspicion of it.
func (t *routingState) recordContact(id core.InstanceID, incarnation string, revision int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects, id)
	t.lastContact[id] = peerContact{receivedAt: time.Now(), incarnation: incarnation, revision: revision}
}

// contact returns the last contact with a peer.
func (t *routingState) contact(id core.InstanceID) (peerContact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.lastContact[id]
	return c, ok
}

// incarnation returns the incarnation of the process that last sent a message under the name, or "" if there was none.
func (t *routingState) incarnation(id core.InstanceID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact[id].incarnation
}

// suspected reports whether the instance is currently suspected to be down.
func (t *routingState) suspected(id core.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.suspects[id])
}

// owner returns the first candidate that is not suspected, and its address. If all are, they may only have been silent together, and
// it returns the one whose suspicion ends first. It returns "" if there are no candidates.
func (t *routingState) owner(r *route) (core.InstanceID, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var first core.InstanceID
	for _, id := range r.candidates {
		if !now.Before(t.suspects[id]) {
			first = id
			break
		}
		if first == "" || t.suspects[id].Before(t.suspects[first]) {
			first = id
		}
	}
	if first == "" {
		return "", ""
	}
	return first, t.load().addr[first]
}
