package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/fleet"
	"monsoondale/core/mirror"
)

const (
	// firstEra is the highest era of a store that has never been restored, as far as that can be told.
	firstEra = 1
	// orderGrace is how long an order to move a service to another version stays in force that a restored store lacks. Without it, the
	// version gets requests without bound.
	orderGrace = time.Minute
	// copyPatience is how long after its start an instance that has read a restored store waits for another instance's copy.
	copyPatience = time.Second
)

// registerSpread is the time within which the instances whose entries a restored store lacks write them.
const registerSpread = time.Second

// mirrorOptions returns the options of the mirror of a collection.
func mirrorOptions(store Store, c Collection) mirror.Options {
	switch c {
	case Configurations:
		// The configuration stays in force until it is written again.
		return mirror.Options{RestoredGrace: math.MaxInt64, Outdated: func(known, offered mirror.Item, removed bool) bool {
			a, errA := store.Table(known)
			b, errB := store.Table(offered)
			if errA != nil || errB != nil || a == nil || b == nil {
				return false
			}
			return b.Version() < a.Version() || removed && b.Version() == a.Version()
		}}
	case Endpoints:
		return mirror.Options{Grace: endpointGrace, RestoredGrace: endpointGrace, Outdated: func(known, offered mirror.Item, removed bool) bool {
			_, a, errA := store.Endpoint(known)
			_, b, errB := store.Endpoint(offered)
			if errA != nil || errB != nil {
				return false
			}
			return b.Precedes(&a) || removed && a.Incarnation != 0 && a.Incarnation == b.Incarnation && a.Sequence == b.Sequence
		}}
	}
	if c == Rollouts {
		return mirror.Options{Grace: endpointGrace, RestoredGrace: orderGrace}
	}
	return mirror.Options{RestoredGrace: endpointGrace}
}

// beginEra records that the mirror of a collection has followed the store into a new era.
func (g *Gateway) beginEra(u update, previous core.Era) {
	m := g.mirrors[u.collection]
	era := m.Revision().Era()
	kept := lo.CountBy(m.Items(), func(it mirror.Item) bool { return it.Kept > 0 })
	g.log.Info("store era", "collection", u.collection.String(), "era", era, "previous", previous, "revision", m.Revision().Number(),
		"kept", kept, "missing", len(m.Doubts()), "from", u.source)
	if era > g.partsEra { // the record of the restored store may be older
		g.partsEra = era
		g.parts.recorder.Failed()
	}
}

// isCurrent reports whether an instance that knows an era of the store knows the latest one. If not, or if its version does not know of
// eras, it doesn't read the store for those that do.
func (g *Gateway) isCurrent(era int) bool { return int64(era) >= g.era.Load() }

// kept returns the revisions of contents that are kept here although the store, since it was restored, has older ones, by collection; nil if
// there are none.
func (g *Gateway) kept() []int {
	out := make([]int, collectionCount)
	total := 0
	for c := range collectionCount {
		rev, n := g.mirrors[c].Kept()
		out[c], total = int(rev), total+n
	}
	g.keptCount.Store(int64(total))
	if total == 0 {
		return nil
	}
	return out
}

// fetchKept fetches another instance's copies of the collections of which it keeps contents that this instance may lack, because it has
// read the restored store before it heard of them.
func (g *Gateway) fetchKept(ctx context.Context, now time.Time, m fleet.Member, kept []int) {
	for c := range min(Collection(len(kept)), collectionCount) {
		rev := core.Revision(kept[c])
		own, _ := g.mirrors[c].Kept()
		if !g.mirrors[c].Synced() || rev <= max(own, g.keptSeen[c]) {
			continue
		}
		// All objects, with the removals after a revision.
		if g.fetch(ctx, now, c, m, 1) {
			g.keptSeen[c] = rev
		}
	}
}

// mayServe reports whether an instance that starts may serve requests. It may have read a restored store before it heard others, which
// know newer contents, so it waits for a copy for at most copyPatience.
func (g *Gateway) mayServe(now time.Time) bool {
	if !g.mirrors[Configurations].Synced() || !g.mirrors[Endpoints].Synced() {
		return false
	}
	if g.era.Load() <= firstEra || now.Sub(g.start) >= copyPatience || g.copied[Configurations] && g.copied[Endpoints] {
		return true
	}
	return g.mirrors[Instances].Synced() && !lo.ContainsBy(g.mirrors[Instances].Items(), func(it mirror.Item) bool { return it.Name != string(g.o.Settings.Name) })
}

// fetchFirst fetches copies of another instance, which has some, for an instance that starts.
func (g *Gateway) fetchFirst(ctx context.Context, now time.Time, m fleet.Member, revisions ...int) {
	if g.caughtUp || g.era.Load() <= firstEra {
		return
	}
	for c, rev := range revisions {
		if rev > 0 && !g.copied[c] {
			g.fetch(ctx, now, Collection(c), m, 1)
		}
	}
}

// checkOwnEntry lets registerAgain write the entry of this instance if a restored store lacks it.
func (g *Gateway) checkOwnEntry(items []mirror.Item) {
	era := g.mirrors[Instances].Revision().Era()
	if n := g.registered.Load(); n < 0 || n >= int64(era) {
		return
	}
	if lo.ContainsBy(items, func(it mirror.Item) bool { return it.Name == string(g.o.Settings.Name) && it.Revision.Era() == era }) {
		g.registered.Store(int64(era))
		return
	}
	select {
	case g.entryLost <- struct{}{}:
	default: // it is about to be written
	}
}

// registerAgain writes the entry of this instance, at the start and whenever a restored store lacks it.
func (g *Gateway) registerAgain(ctx context.Context) {
	g.register(ctx)
	for ctx.Err() == nil {
		if g.registered.Load() >= g.era.Load() {
			select {
			case <-ctx.Done():
				return
			case <-g.entryLost:
			}
		}
		sleep(ctx, rand.N(registerSpread))
		if g.registered.Load() < g.era.Load() {
			g.register(ctx)
			g.log.Info("instance entry written again", "era", g.registered.Load())
		}
	}
}
