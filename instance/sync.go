package instance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
)

const (
	// syncInterval is how often a holder reports the slots that it uses to the owners of their shards.
	syncInterval = time.Second
	// maxSyncShards bounds the shards per interval, so that a holder with slots in many shards stays within its bandwidth
	// budget. At the target size of 17 shards per region each shard is synced every 2 s; owners expire slots after 5 s.
	maxSyncShards = 10
	// maxSyncSamples bounds the running requests whose progress is reported in one interval, over all shards.
	maxSyncSamples = 32
	// minShardSamples is the minimum number of requests whose progress is reported to each shard.
	minShardSamples = 2
)

// syncPeriodically reports the slots in use to the owners of their shards until ctx ends. A new owner learns about
// running requests this way, and the slots of a failed holder expire because its syncs cease.
func (s *slotClient) syncPeriodically(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	round := syncRound{reportedIdle: map[core.ShardID]bool{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		running := s.runningByShard()
		for _, id := range round.nextShards(lo.Keys(s.routing.load().shards), running) {
			go s.syncShard(ctx, id, running[id], max(minShardSamples, maxSyncSamples/max(1, len(running))))
		}
	}
}

// syncRound selects the shards to sync in each interval, in turn if there are more than maxSyncShards.
type syncRound struct {
	reportedIdle map[core.ShardID]bool // shards whose owner has been told that the holder uses no slots there
	last         core.ShardID
}

// nextShards returns the shards to sync now: those with slots in use, and those whose last slot has been released since
// the previous sync.
func (r *syncRound) nextShards(shards []core.ShardID, running map[core.ShardID][]admission.Running) []core.ShardID {
	due := lo.Filter(shards, func(id core.ShardID, _ int) bool { return len(running[id]) > 0 || !r.reportedIdle[id] })
	slices.Sort(due)
	if len(due) > maxSyncShards {
		next, _ := slices.BinarySearch(due, r.last+"\x00")
		due = append(due[next:], due[:next]...)[:maxSyncShards]
		r.last = due[len(due)-1]
	}
	for _, id := range due {
		r.reportedIdle[id] = len(running[id]) == 0
	}
	return due
}

// runningByShard returns the running requests of each shard, sorted by request id.
func (s *slotClient) runningByShard() map[core.ShardID][]admission.Running {
	s.mu.Lock()
	m, t := map[core.ShardID][]admission.Running{}, s.routing.load()
	for id, h := range s.running {
		shard := t.currentShard(h.slot)
		m[shard] = append(m[shard], admission.Running{
			Request: id, Grant: h.slot.Grant, Endpoint: h.slot.Endpoint,
			Workspace: h.ask.Workspace, Caller: h.ask.Caller, Tier: h.ask.Tier, Weight: h.ask.Weight,
			Prefill: h.ask.Prefill, Decode: h.ask.Decode, Tokens: h.tokens, Age: time.Since(h.start), Once: h.ask.Once,
		})
	}
	s.mu.Unlock()
	for _, list := range m {
		slices.SortFunc(list, func(a, b admission.Running) int { return cmp.Compare(a.Request, b.Request) })
	}
	return m
}

// syncShard sends one sync: a digest of all running requests and the progress of a sample of them. Samples begin with
// the lowest request ids, so that successive samples show the progress of the same requests.
func (s *slotClient) syncShard(ctx context.Context, id core.ShardID, running []admission.Running, sample int) {
	synced, err := s.sendSync(ctx, id, running, running[:min(sample, len(running))], false)
	if err != nil {
		return // the owner is unreachable or changing; the next interval tries again
	}
	s.recordLoad(id, synced.Wait, synced.Free)
	if synced.Resend {
		all := s.runningByShard()[id]
		s.sendSync(ctx, id, all, all, true)
	}
}

// sendSync sends the digest of the running requests and the progress of the sample to the owner of the shard. With full
// set, the sample must contain all running requests.
func (s *slotClient) sendSync(ctx context.Context, id core.ShardID, running, sample []admission.Running, full bool) (wire.Synced, error) {
	route, ok := s.routing.load().shards[id]
	if !ok {
		return wire.Synced{}, errNotOwner
	}
	msg := admission.Sync{Holder: s.self, Count: len(running), Full: full, Running: sample}
	for _, r := range running {
		msg.Digest ^= xxhash.Sum64String(string(r.Request))
	}
	switch owner, addr := s.routing.owner(route); owner {
	case "":
		return wire.Synced{}, errNotOwner
	case s.self:
		return s.loop.applySync(ctx, id, msg)
	default:
		return s.client.Sync(ctx, addr, peer.EncodeSync(id, msg))
	}
}
