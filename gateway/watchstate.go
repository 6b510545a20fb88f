package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"monsoondale/core"
	"monsoondale/core/fleet"
)

// watchState is whether this instance watches the store for all, as the control goroutine decides, and what the calls of the
// goroutines that follow the collections show of the store.
type watchState struct {
	index      atomic.Int64 // position of this instance among those that watch the store, or -1
	unreadable atomic.Int64 // number of collections of which the last call has failed
	wake       [collectionCount]chan struct{}

	mu     sync.Mutex
	claims [collectionCount]fleet.Claim
	era    core.Era      // latest one that is known; claims of an earlier one have been dropped
	begun  chan struct{} // closed and replaced when an era begins
}

// newWatchState returns the state of an instance that does not watch the store.
func newWatchState() *watchState {
	s := &watchState{begun: make(chan struct{})}
	s.index.Store(-1)
	for c := range s.wake {
		s.wake[c] = make(chan struct{}, 1)
	}
	return s
}

// setIndex sets the position of this instance among those that watch the store, and returns the previous one.
func (s *watchState) setIndex(index int) (previous int) {
	previous = int(s.index.Swap(int64(index)))
	if previous < 0 && index >= 0 {
		for _, w := range s.wake {
			select {
			case w <- struct{}{}:
			default: // not awaited since the last time
			}
		}
	}
	return previous
}

// watches reports whether this instance watches the store, or tries to.
func (s *watchState) watches() bool { return s.index.Load() >= 0 }

// await waits until this instance is to watch the store, or ctx ends.
func (s *watchState) await(ctx context.Context, c Collection) {
	if s.watches() {
		return
	}
	select {
	case <-s.wake[c]:
	case <-ctx.Done():
	}
}

// called records a call that concerns a collection and that the store is to answer within wait.
func (s *watchState) called(c Collection, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims[c].Call(time.Now(), wait)
}

// enter records that an era of the store has begun, in which nothing has been read yet.
func (s *watchState) enter(era core.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterLocked(era)
}

func (s *watchState) enterLocked(era core.Era) {
	if era <= s.era {
		return
	}
	s.era = era
	for c := range s.claims {
		s.claims[c].Drop()
	}
	close(s.begun)
	s.begun = make(chan struct{})
}

// inEra returns a context that ends when a later era is known, and a function that releases it and reports whether one is.
func (s *watchState) inEra(ctx context.Context, era core.Era) (context.Context, func() (ended bool)) {
	s.mu.Lock()
	begun, ended := s.begun, era < s.era
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if ended {
		cancel()
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-begun:
			cancel()
		case <-done:
		}
	}()
	return ctx, func() bool {
		close(done)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		return era < s.era
	}
}

// answered records an answer of the store in an era, after which the next call is sent within pause.
func (s *watchState) answered(c Collection, era core.Era, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era < s.era {
		return
	}
	s.enterLocked(era)
	s.claims[c].Answer(time.Now(), pause)
}

// failed records that a call that concerns a collection has failed.
func (s *watchState) failed(c Collection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims[c].Drop()
}

// resume discards what was known of the store before this process stood still.
func (s *watchState) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.claims {
		s.claims[c].Drop()
	}
}

// claimed reports whether the answers of the store show that this instance reads a collection.
func (s *watchState) claimed(now time.Time, c Collection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims[c].Holds(now)
}

// reads reports whether this instance reads the collections whose changes have to be in force in time. The list of instances is
// not among them: its watches are long, and instances also learn of each other from digests.
func (s *watchState) reads(now time.Time) bool {
	return s.claimed(now, Configurations) && s.claimed(now, Endpoints)
}

// proven reports whether this instance watches the store and has shown that it reads it.
func (s *watchState) proven(now time.Time) bool { return s.watches() && s.reads(now) }

// first reports whether this instance is the first of those that watch the store and have shown that they read it.
func (s *watchState) first(now time.Time) bool { return s.index.Load() == 0 && s.reads(now) }
