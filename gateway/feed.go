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
	// watchWait is the time until a watch is renewed, because it may have gone deaf. The instances that watch take turns,
	// so that one of them renews its watch in each third of that time, and the others learn of what it finds: a change
	// has to be in force within two seconds.
	watchWait = watchers * 400 * time.Millisecond
	// membersWait is the same for the list of instances, which other instances tell as well.
	membersWait = 10 * time.Second
	// askPeers is how long a process that starts waits for another instance's copy before it asks the store.
	askPeers = 150 * time.Millisecond
	// idle is how often an instance that does not watch the store looks whether it has to.
	idle = 100 * time.Millisecond
	// relistLeast and relistMost bound the pause after a failed call to the store.
	relistLeast = 60 * time.Millisecond
	relistMost  = 700 * time.Millisecond
	// lapse is the outage of the store after which missing objects may be written again, and lapsedFor how long after
	// its return. Entries of live endpoints are back within two seconds.
	lapse     = time.Second
	lapsedFor = 2500 * time.Millisecond
)

// batch is the pause between two watches of a collection, in which its changes are gathered: each call to the store has
// a price, and heartbeats of endpoints may cause many changes.
var batch = []time.Duration{Configurations: 0, Endpoints: 200 * time.Millisecond, Members: 200 * time.Millisecond}

// update is what a feed or another instance says of a collection.
type update struct {
	collection Collection
	items      []mirror.Item
	rev        core.Revision
	whole      bool // items are all objects
	lapsed     bool // the store was away shortly before
	from       string
}

// feed follows a collection in the store.
type feed struct {
	collection Collection
	store      Store
	log        logr.Logger
	out        chan<- update
	watching   *atomic.Int64 // number of this instance among those that watch the store, or -1
	lostAll    *atomic.Int64 // number of feeds that have lost the store
	known      *atomic.Int64 // revision of the mirror, which other instances' copies raise; 0 before it is known

	rev      core.Revision
	listed   bool
	lost     time.Time // when the store was lost; zero if it is there
	returned time.Time
}

// run follows the collection until ctx ends.
func (f *feed) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = relistLeast, relistMost
	pause(ctx, askPeers)
	for ctx.Err() == nil {
		if rev := core.Revision(f.known.Load()); rev > f.rev {
			f.rev, f.listed = rev, true
		}
		if f.listed && f.lost.IsZero() && f.watching.Load() < 0 {
			pause(ctx, idle)
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryDropped):
			f.log.Info("history dropped", "collection", f.collection.String(), "revision", f.rev)
			f.listed = false
		case err != nil:
			if f.lost.IsZero() {
				f.lost = time.Now()
				f.lostAll.Add(1)
				f.log.Info("store lost", "collection", f.collection.String(), "revision", f.rev, "cause", err.Error())
			}
			f.listed = f.listed && f.collection != Endpoints
			pause(ctx, b.NextBackOff())
		default:
			b.Reset()
			if !f.lost.IsZero() {
				now := time.Now()
				f.log.Info("store regained", "collection", f.collection.String(), "revision", f.rev, "away", now.Sub(f.lost).String())
				f.lost = time.Time{}
				f.lostAll.Add(-1)
			}
			if d := batch[f.collection]; d > 0 {
				// Spreads the calls of the instances.
				pause(ctx, d/2+rand.N(d))
			}
		}
	}
}

// step makes one call and passes on what it returns.
func (f *feed) step(ctx context.Context) error {
	u := update{collection: f.collection, from: "store"}
	var err error
	if f.listed {
		u.items, u.rev, err = f.store.Watch(ctx, f.collection, f.rev, f.wait(time.Now()))
	} else {
		u.whole = true
		u.items, u.rev, err = f.store.List(ctx, f.collection)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	if !f.lost.IsZero() && now.Sub(f.lost) >= lapse {
		f.returned = now
	}
	u.lapsed = !f.returned.IsZero() && now.Sub(f.returned) < lapsedFor
	f.rev, f.listed = max(f.rev, u.rev), true
	if len(u.items) == 0 && !u.whole {
		return nil
	}
	select {
	case f.out <- u:
	case <-ctx.Done():
	}
	return nil
}

// wait returns how long the next watch waits: until this instance's turn to renew it, by the time of day.
func (f *feed) wait(now time.Time) time.Duration {
	if f.collection == Members {
		return membersWait
	}
	turn := watchWait / watchers * time.Duration(max(f.watching.Load(), 0))
	d := turn - time.Duration(now.UnixNano())%watchWait
	for d < watchWait/2 {
		d += watchWait
	}
	return d
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
