package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/fleet"
	"monsoondale/core/mirror"
)

const (
	// instanceWatchDuration is the duration of a watch of the list of instances, which also learn of each other from
	// digests, and of the orders, which are rare.
	instanceWatchDuration = 10 * time.Second
	// startDelay is how long a watcher waits after its start for another instance's copy before it calls the store.
	startDelay = 150 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call to the store.
	minStoreBackoff = 60 * time.Millisecond
	maxStoreBackoff = 700 * time.Millisecond
	// After an outage of the store of at least minOutage, missing objects may be written again within recoveryPeriod of
	// its end. Entries of live endpoints are back within two seconds.
	minOutage      = time.Second
	recoveryPeriod = 2500 * time.Millisecond
	// slowAnswer is the delay from which an answer does not prove that the store was there all the time. A healthy store answers in
	// milliseconds.
	slowAnswer = 200 * time.Millisecond
)

// batchPause is the mean pause between two watches of a collection, in which changes accumulate: calls to the store are
// limited, and heartbeats of endpoints may cause many changes.
var batchPause = []time.Duration{Configurations: 0, Endpoints: 200 * time.Millisecond, Instances: 200 * time.Millisecond, Rollouts: 200 * time.Millisecond}

// maxPause returns the longest pause between two watches of a collection.
func maxPause(c Collection) time.Duration { return batchPause[c] * 3 / 2 }

// storeSource is the source of updates from the store.
const storeSource = "store"

// update holds changes of a collection, from the store or another instance.
type update struct {
	collection  Collection
	items       []mirror.Item
	doubts      []mirror.Doubt // of another instance's copy
	rev         core.Revision
	list        bool          // items holds a list, with or without changes
	complete    bool          // items holds all objects
	part        bool          // items lacks some of the changes up to rev
	since       core.Revision // with neither complete nor part: items holds all changes from since to rev
	afterOutage bool          // the store was unavailable shortly before
	source      string        // storeSource, or the name of the instance whose copy was fetched
}

// apply applies an update, of which items are those that can be identified, to the mirror of its collection.
func (u *update) apply(now time.Time, m *mirror.Mirror, items []mirror.Item) bool {
	switch {
	case u.source != storeSource:
		return m.Follow(now, mirror.Copy{Items: items, Doubts: u.doubts, Revision: u.rev, Full: u.complete, Part: u.part, Since: u.since})
	case u.complete:
		return m.Replace(now, items, u.rev, u.afterOutage)
	case u.part || u.since > m.Revision():
		return m.Merge(now, items, u.rev, u.afterOutage)
	}
	return m.Apply(now, items, u.rev, u.afterOutage)
}

// storeWatcher follows a collection in the store.
type storeWatcher struct {
	collection     Collection
	store          Store
	log            logr.Logger
	updates        chan<- update
	watch          *watchState
	mirrorRevision *atomic.Int64 // revision of the mirror, also from copies of other instances; 0 before the first list
	contact        *contact      // of all calls to the store

	rev         core.Revision
	sent        core.Revision // of the last update; there were no changes from there to rev
	hasBaseline bool          // all objects as of rev are known, so that the collection can be watched from there
	incomplete  string        // why the last list was incomplete; empty if it was not
	outageStart time.Time     // when the first call of the current outage failed; zero if there is none
	silentSince time.Time     // earliest time at which that outage may have begun
	failures    int           // failed calls since then
	watched     bool          // the last call that succeeded was a watch
	dropped     int           // watches in a row that found their history dropped
	outageEnd   time.Time     // end of the last outage of at least minOutage
}

// run follows the collection until ctx ends.
func (w *storeWatcher) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minStoreBackoff, maxStoreBackoff
	sleep(ctx, startDelay)
	for ctx.Err() == nil {
		if rev := core.Revision(w.mirrorRevision.Load()); rev > w.rev {
			w.noticeEra(time.Now(), rev)
			w.rev, w.sent, w.hasBaseline = rev, rev, true
		}
		// Only those that watch the store read orders there, the others copies.
		if (w.hasBaseline && w.outageStart.IsZero() || w.collection == Rollouts) && !w.watch.watches() {
			w.endOutage()
			w.watch.await(ctx, w.collection)
			continue
		}
		err := w.fetch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryDropped):
			w.log.Info("history dropped", "collection", w.collection.String(), "revision", w.rev)
			w.hasBaseline = false
			if w.dropped++; w.dropped > 1 { // the revision of the last list too
				sleep(ctx, b.NextBackOff())
			}
		case err != nil:
			w.failures++
			if w.outageStart.IsZero() {
				w.outageStart, w.failures = time.Now(), 1
				w.watch.unreadable.Add(1)
				w.log.Info("store lost", "collection", w.collection.String(), "revision", w.rev, "cause", shorten(err.Error(), maxLoggedCause))
			}
			// After an error, endpoints are listed again. Other collections are watched again from the last revision.
			w.hasBaseline = w.hasBaseline && w.collection != Endpoints
			sleep(ctx, b.NextBackOff())
		default:
			if w.watched {
				w.dropped = 0
			}
			if w.dropped == 0 {
				b.Reset()
			}
			if !w.outageStart.IsZero() {
				now := time.Now()
				w.log.Info("store regained", "collection", w.collection.String(), "revision", w.rev, "away", now.Sub(w.outageStart).String())
				w.outageStart = time.Time{}
				w.watch.unreadable.Add(-1)
			}
			if d := batchPause[w.collection]; d > 0 {
				// The random part spreads the calls of the instances over time.
				sleep(ctx, maxPause(w.collection)-rand.N(d))
			}
		}
	}
}

// endOutage ends an outage that this instance no longer watches, as one that does not read a collection does not lack it.
func (w *storeWatcher) endOutage() {
	if !w.outageStart.IsZero() {
		w.outageStart = time.Time{}
		w.watch.unreadable.Add(-1)
	}
}

// fetch makes one call to the store and forwards the result.
func (w *storeWatcher) fetch(ctx context.Context) error {
	start := time.Now()
	u, wait, err := w.read(ctx)
	now := time.Now()
	if err != nil {
		w.watch.failed(w.collection)
		if w.outageStart.IsZero() {
			w.silentSince = now
			if now.Sub(start) > wait { // the answer was due before the call failed
				w.silentSince = start
			}
		}
		return err
	}
	w.watch.answered(w.collection, u.rev.Era(), maxPause(w.collection))
	w.noticeEra(now, u.rev)
	if !w.outageStart.IsZero() && w.wasAway(now) {
		w.outageEnd = now
	}
	u.afterOutage = !w.outageEnd.IsZero() && now.Sub(w.outageEnd) < recoveryPeriod
	w.rev, w.hasBaseline, w.watched = max(w.rev, u.rev), true, !u.list
	if len(u.items) == 0 && !u.list {
		return nil
	}
	w.sent = u.rev
	select {
	case w.updates <- u:
	case <-ctx.Done():
	}
	return nil
}

// noticeEra takes the begin of a new era of the store for the end of an outage: entries that were lost, or expired meanwhile, are written
// again.
func (w *storeWatcher) noticeEra(now time.Time, rev core.Revision) {
	if w.rev > 0 && rev.Era() > w.rev.Era() {
		w.outageEnd = now
	}
}

// wasAway reports whether the store may have been away for minOutage before it answered now. A watch is silent for as long as there
// are no changes, so that the store may have been away since it was sent. That its connection alone was silent is proved only by
// other calls that the store answered meanwhile: the next answer does not show what was before it.
func (w *storeWatcher) wasAway(now time.Time) bool {
	return now.Sub(w.silentSince) >= minOutage && (w.failures > 1 || !w.contact.unbroken(w.silentSince, now))
}

// read returns changes of the collection, or a list of its objects, and how long the store was asked to wait for changes.
func (w *storeWatcher) read(ctx context.Context) (u update, wait time.Duration, err error) {
	u = update{collection: w.collection, source: storeSource, part: true}
	if w.hasBaseline {
		wait = w.watchDuration(time.Now())
		w.watch.called(w.collection, wait)
		watchCtx, release := w.watch.inEra(ctx, w.rev.Era())
		u.items, u.rev, err = w.store.Watch(watchCtx, w.collection, w.rev, wait)
		if ended := release(); ended && ctx.Err() == nil {
			err = ErrHistoryDropped
		}
		u.since, u.part = w.sent, !allIdentified(u.items)
		if err != nil || !w.mustList(u.items) {
			return u, wait, err
		}
	}
	changes, changedTo := u.items, u.rev
	w.watch.called(w.collection, 0)
	u.items, u.rev, err = w.store.List(ctx, w.collection)
	u.complete, u.list = err == nil, true
	cause := ""
	if errors.Is(err, ErrIncomplete) {
		cause, err = err.Error(), nil
		u.items = append(u.items, changes...)
		if !u.part {
			u.rev = changedTo // the objects that the list lacks may have changed since
		}
	}
	if cause != "" && cause != w.incomplete {
		w.log.Info("list incomplete", "collection", w.collection.String(), "revision", u.rev, "cause", shorten(cause, maxLoggedCause))
	}
	w.incomplete = cause
	return u, wait, err
}

// mustList reports whether a list is needed to apply changes: they may concern objects that the changes do not name, or that
// the last list lacked.
func (w *storeWatcher) mustList(changes []mirror.Item) bool {
	return w.incomplete != "" && len(changes) > 0 || !allIdentified(changes)
}

// allIdentified reports whether it is known which objects changes concern.
func allIdentified(changes []mirror.Item) bool {
	return !slices.ContainsFunc(changes, func(it mirror.Item) bool { return !it.Identified() })
}

// watchDuration returns the duration of the next watch. The list of instances and the orders are watched for instanceWatchDuration.
func (w *storeWatcher) watchDuration(now time.Time) time.Duration {
	if w.collection == Instances || w.collection == Rollouts {
		return instanceWatchDuration
	}
	return fleet.WatchDuration(now, int(w.watch.index.Load()), w.watch.claimed(now, w.collection))
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
