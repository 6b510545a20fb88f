package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

const (
	// A watch may go deaf without an end. Each one is renewed after watchEach for every instance that is heard, so that
	// some instance of the fleet renews one about twice a second, and the others learn of what it finds.
	watchEach = 500 * time.Millisecond
	// watchLeast and watchMost bound the time until a watch is renewed.
	watchLeast = time.Second
	watchMost  = 10 * time.Second
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
	// heard returns the number of instances that are heard, this one included.
	heard func() int

	rev      core.Revision
	listed   bool
	lost     time.Time // when the store was lost; zero if it is there
	returned time.Time
}

// run follows the collection until ctx ends.
func (f *feed) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = relistLeast, relistMost
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistory):
			f.log.Info("history dropped", "collection", f.collection.String(), "revision", f.rev)
			f.listed = false
		case err != nil:
			if f.lost.IsZero() {
				f.lost = time.Now()
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
		u.items, u.rev, err = f.store.Watch(ctx, f.collection, f.rev, f.wait())
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

// wait returns how long the next watch waits. It varies, so that the instances do not renew theirs together.
func (f *feed) wait() time.Duration {
	if f.collection == Members {
		return watchMost
	}
	d := min(max(watchEach*time.Duration(f.heard()), watchLeast), watchMost)
	return d*3/4 + rand.N(d/2)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
