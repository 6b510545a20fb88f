package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

var errFailedCall = errors.New("failed call")

// failingStore answers lists and watches until failFrom, and from failUntil on.
type failingStore struct {
	Store
	failFrom, failUntil time.Time
	immediately         bool // calls fail at once rather than that they get no answer
	listed              bool // lists succeed all the time
	observed            bool // so do calls that do not concern endpoints
}

// call returns after the time that a call takes that is answered after wait, and fails if its answer is late by more than limit.
func (s *failingStore) call(wait, limit time.Duration) error {
	start := time.Now()
	due := start.Add(wait)
	if due.Before(s.failFrom) || !start.Before(s.failUntil) {
		time.Sleep(wait)
		return nil
	}
	if s.immediately {
		time.Sleep(max(time.Until(s.failFrom), 0))
		return errFailedCall
	}
	if s.failUntil.After(due) {
		due = s.failUntil
	}
	time.Sleep(min(time.Until(due), wait+limit))
	if time.Now().Before(due) {
		return errFailedCall
	}
	return nil
}

func (s *failingStore) Watch(_ context.Context, c Collection, rev core.Revision, wait time.Duration) ([]mirror.Item, core.Revision, error) {
	if s.observed && c != Endpoints {
		time.Sleep(wait)
		return nil, rev, nil
	}
	return nil, rev, s.call(wait, 500*time.Millisecond)
}

func (s *failingStore) List(_ context.Context, c Collection) ([]mirror.Item, core.Revision, error) {
	if s.listed || s.observed && c != Endpoints {
		return nil, 1, nil
	}
	return nil, 1, s.call(0, 1500*time.Millisecond)
}

// follow follows all collections until ctx ends, and sends updates of the endpoints.
func follow(ctx context.Context, store Store, updates chan<- update) {
	var wg sync.WaitGroup
	defer wg.Wait()
	calls, watch := new(contact), new(watchState)
	for c := range collectionCount {
		to := updates
		if c != Endpoints {
			to = make(chan update, 1000)
		}
		w := &storeWatcher{collection: c, store: observedStore{store, calls}, log: logr.Discard(), updates: to, watch: watch, mirrorRevision: new(atomic.Int64), contact: calls}
		wg.Go(func() { w.run(ctx) })
	}
}

// Guards against an instance that drops sound endpoints whose entries expired while the store was silent: a watch that gets no answer
// fails late, and the outage counted from then on.
func TestOutageBeginsWithSilence(t *testing.T) {
	for _, c := range []struct {
		name        string
		after       time.Duration // from the start of the watcher to that of the outage
		length      time.Duration
		immediately bool
		listed      bool
		observed    bool
		outage      bool
	}{
		{"silent after the start of a watch", 4850 * time.Millisecond, 2500 * time.Millisecond, false, false, false, true}, // it fails 1.65 s later
		{"silent during a watch", 5300 * time.Millisecond, 2500 * time.Millisecond, false, false, false, true},
		{"silent before the end of a watch", 5900 * time.Millisecond, 2500 * time.Millisecond, false, false, false, true},
		{"silent for 0.4 s", 5 * time.Second, 400 * time.Millisecond, false, false, false, false},
		{"silent connection, other calls are answered", 5 * time.Second, 2500 * time.Millisecond, false, true, true, false},
		{"silent until the watch has failed", 5 * time.Second, 2500 * time.Millisecond, false, true, false, true},
		{"down for 0.5 s", 5 * time.Second, 500 * time.Millisecond, true, false, false, false},
		{"down for 1.5 s", 5 * time.Second, 1500 * time.Millisecond, true, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 20 { // the pauses between watches are random
				synctest.Test(t, func(t *testing.T) {
					begin := time.Now()
					store := &failingStore{immediately: c.immediately, listed: c.listed, observed: c.observed, failFrom: begin.Add(c.after), failUntil: begin.Add(c.after + c.length)}
					updates := make(chan update, 100)
					ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
					defer cancel()
					follow(ctx, store, updates)
					outage := false
					for len(updates) > 0 {
						outage = (<-updates).afterOutage || outage
					}
					NewWithT(t).Expect(outage).To(Equal(c.outage))
				})
			}
		})
	}
}
