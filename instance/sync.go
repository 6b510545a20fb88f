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
	// syncEvery is how often a holder confirms its slots to owners.
	syncInterval = time.Second
	// syncShards bounds the shards per period, so that a holder with slots in many shards stays within its budget of
	// bytes. At the target size, 17 shards per region, each is confirmed every 2 s; owners wait 5 s.
	maxSyncShards = 10
	// syncSamples is how many running requests report their progress in one period, over all shards.
	maxSyncSamples = 32
	// minSample is how many of them a shard gets at least.
	minShardSamples = 2
)

// keepSynced confirms the slots in use to their owners until ctx ends. A new owner learns of running requests this
// way, and the slots of a dead holder expire without it.
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

// syncRound selects the shards of each period in turn.
type syncRound struct {
	reportedIdle map[core.ShardID]bool // told that the holder has no slots there
	last         core.ShardID
}

// next returns the shards to confirm now: those with slots in use, and those where the last slot was returned since.
func (r *syncRound) nextShards(shards []core.ShardID, running map[core.ShardID][]admission.Running) []core.ShardID {
	due := lo.Filter(shards, func(id core.ShardID, _ int) bool { return len(running[id]) > 0 || !r.reportedIdle[id] })
	slices.Sort(due)
	if len(due) > maxSyncShards {
		at, _ := slices.BinarySearch(due, r.last+"\x00")
		due = append(due[at:], due[:at]...)[:maxSyncShards]
		r.last = due[len(due)-1]
	}
	for _, id := range due {
		r.reportedIdle[id] = len(running[id]) == 0
	}
	return due
}

// accounts lists the running requests by shard, in the order of their ids.
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

// syncShard sends one account: a digest with a sample. Samples begin with the lowest ids, so that successive ones show
// the progress of the same requests.
func (s *slotClient) syncShard(ctx context.Context, id core.ShardID, running []admission.Running, sample int) {
	synced, err := s.sendSync(ctx, id, running, running[:min(sample, len(running))], false)
	if err != nil {
		return // the owner is unreachable or changing; the next period tries again
	}
	s.recordLoad(id, synced.Wait, synced.Free)
	if synced.Resend {
		all := s.runningByShard()[id]
		s.sendSync(ctx, id, all, all, true)
	}
}

// sendSync confirms the running requests and reports the progress of the sample.
func (s *slotClient) sendSync(ctx context.Context, id core.ShardID, running, sample []admission.Running, full bool) (wire.Synced, error) {
	route, ok := s.routing.load().shards[id]
	if !ok {
		return wire.Synced{}, errNotOwner
	}
	y := admission.Sync{Holder: s.self, Count: len(running), Full: full, Running: sample}
	for _, r := range running {
		y.Digest ^= xxhash.Sum64String(string(r.Request))
	}
	switch owner, addr := s.routing.owner(route); owner {
	case "":
		return wire.Synced{}, errNotOwner
	case s.self:
		return s.loop.applySync(ctx, id, y)
	default:
		return s.client.Sync(ctx, addr, peer.EncodeSync(id, y))
	}
}
