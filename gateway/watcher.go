package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

const (
	// watchPeriod is the time after which a watch is renewed, because it may have stalled. The watching instances renew
	// theirs at staggered times, one in each third of the period, and the others learn of the changes from it: a change
	// must be in force within two seconds.
	watchPeriod = storeWatchers * 400 * time.Millisecond
	// memberWatchWait is the duration of a watch of the list of instances, which also spreads through digests.
	memberWatchWait = 10 * time.Second
	// peerCopyWait is how long a process waits after its start for another instance's copy before it calls the store.
	peerCopyWait = 150 * time.Millisecond
	// idlePoll is how often an instance that does not watch the store checks whether it has to.
	idlePoll = 100 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call to the store.
	minStoreBackoff = 60 * time.Millisecond
	maxStoreBackoff = 700 * time.Millisecond
	// After an outage of the store of at least minOutage, missing objects may be written again within recoveryPeriod of
	// its end. Entries of live endpoints are back within two seconds.
	minOutage      = time.Second
	recoveryPeriod = 2500 * time.Millisecond
)

// batchPause is the pause between two watches of a collection, in which changes accumulate: calls to the store are
// limited, and heartbeats of endpoints may cause many changes.
var batchPause = []time.Duration{Configurations: 0, Endpoints: 200 * time.Millisecond, Members: 200 * time.Millisecond}

// update holds changes of a collection, from the store or another instance.
type update struct {
	collection  Collection
	items       []mirror.Item
	rev         core.Revision
	complete    bool // items holds all objects rather than changes
	afterOutage bool // the store was unavailable shortly before
	source      string
}

// storeWatcher follows a collection in the store.
type storeWatcher struct {
	collection     Collection
	store          Store
	log            logr.Logger
	updates        chan<- update
	watchSlot      *atomic.Int64 // position of this instance among those that watch the store, or -1
	lostCount      *atomic.Int64 // number of watchers of this instance that have lost the store
	mirrorRevision *atomic.Int64 // revision of the mirror, which copies of other instances also advance; 0 before the first list

	rev        core.Revision
	listed     bool
	lostAt     time.Time // start of the current outage; zero if there is none
	regainedAt time.Time // end of the last outage of at least minOutage
}

// run follows the collection until ctx ends.
func (w *storeWatcher) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minStoreBackoff, maxStoreBackoff
	sleep(ctx, peerCopyWait)
	for ctx.Err() == nil {
		if rev := core.Revision(w.mirrorRevision.Load()); rev > w.rev {
			w.rev, w.listed = rev, true
		}
		if w.listed && w.lostAt.IsZero() && w.watchSlot.Load() < 0 {
			sleep(ctx, idlePoll)
			continue
		}
		err := w.fetch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryDropped):
			w.log.Info("history dropped", "collection", w.collection.String(), "revision", w.rev)
			w.listed = false
		case err != nil:
			if w.lostAt.IsZero() {
				w.lostAt = time.Now()
				w.lostCount.Add(1)
				w.log.Info("store lost", "collection", w.collection.String(), "revision", w.rev, "cause", err.Error())
			}
			w.listed = w.listed && w.collection != Endpoints
			sleep(ctx, b.NextBackOff())
		default:
			b.Reset()
			if !w.lostAt.IsZero() {
				now := time.Now()
				w.log.Info("store regained", "collection", w.collection.String(), "revision", w.rev, "away", now.Sub(w.lostAt).String())
				w.lostAt = time.Time{}
				w.lostCount.Add(-1)
			}
			if d := batchPause[w.collection]; d > 0 {
				// The random part spreads the calls of the instances over time.
				sleep(ctx, d/2+rand.N(d))
			}
		}
	}
}

// fetch makes one call to the store and forwards the result.
func (w *storeWatcher) fetch(ctx context.Context) error {
	u := update{collection: w.collection, source: "store"}
	var err error
	if w.listed {
		u.items, u.rev, err = w.store.Watch(ctx, w.collection, w.rev, w.watchTimeout(time.Now()))
	} else {
		u.complete = true
		u.items, u.rev, err = w.store.List(ctx, w.collection)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	if !w.lostAt.IsZero() && now.Sub(w.lostAt) >= minOutage {
		w.regainedAt = now
	}
	u.afterOutage = !w.regainedAt.IsZero() && now.Sub(w.regainedAt) < recoveryPeriod
	w.rev, w.listed = max(w.rev, u.rev), true
	if len(u.items) == 0 && !u.complete {
		return nil
	}
	select {
	case w.updates <- u:
	case <-ctx.Done():
	}
	return nil
}

// watchTimeout returns the duration of the next watch: until the next time of day at which this instance is due to
// renew it.
func (w *storeWatcher) watchTimeout(now time.Time) time.Duration {
	if w.collection == Members {
		return memberWatchWait
	}
	offset := watchPeriod / storeWatchers * time.Duration(max(w.watchSlot.Load(), 0))
	d := offset - time.Duration(now.UnixNano())%watchPeriod
	for d < watchPeriod/2 {
		d += watchPeriod
	}
	return d
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
