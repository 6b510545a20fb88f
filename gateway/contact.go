package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

// contact records when the store was there, as the calls of all goroutines show.
type contact struct {
	mu       sync.Mutex
	from, to time.Time // the latest span in which the store was never away for minOutage
}

// add records that the store was there from one time to another.
func (c *contact) add(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case from.Sub(c.to) >= minOutage:
		c.from, c.to = from, to
	case c.from.Sub(to) < minOutage:
		if from.Before(c.from) {
			c.from = from
		}
		if to.After(c.to) {
			c.to = to
		}
	}
}

// unbroken reports whether the store was never away for minOutage between two times.
func (c *contact) unbroken(from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from.Sub(from) < minOutage && to.Sub(c.to) < minOutage
}

// observedStore records the calls that a store answers in time. Those that it answers late, or not, prove nothing.
type observedStore struct {
	Store
	contact *contact
}

// observe records a call that was answered at once.
func (s observedStore) observe(sent time.Time, err error) {
	if now := time.Now(); now.Sub(sent) < slowAnswer && !errors.Is(err, ErrNotSent) && (err == nil || errors.Is(err, ErrIncomplete) || errors.Is(err, ErrHistoryDropped) || errors.Is(err, ErrChanged)) {
		s.contact.add(sent, now)
	}
}

func (s observedStore) List(ctx context.Context, c Collection) ([]mirror.Item, core.Revision, error) {
	sent := time.Now()
	items, rev, err := s.Store.List(ctx, c)
	s.observe(sent, err)
	return items, rev, err
}

// Watch also records a watch without changes that ends when it is due. An outage within it could not be noticed, but one at its
// end would have delayed the answer.
func (s observedStore) Watch(ctx context.Context, c Collection, since core.Revision, wait time.Duration) ([]mirror.Item, core.Revision, error) {
	sent := time.Now()
	items, rev, err := s.Store.Watch(ctx, c, since, wait)
	s.observe(sent, err)
	if now, due := time.Now(), sent.Add(wait); err == nil && len(items) == 0 && !now.Before(due) && now.Sub(due) < slowAnswer {
		if c == Instances { // these watches are long and end at any time
			sent = due
		}
		s.contact.add(sent, now)
	}
	return items, rev, err
}

func (s observedStore) Register(ctx context.Context, m InstanceEntry) (core.Era, error) {
	sent := time.Now()
	era, err := s.Store.Register(ctx, m)
	s.observe(sent, err)
	return era, err
}

func (s observedStore) Deregister(ctx context.Context, name core.InstanceID) error {
	sent := time.Now()
	err := s.Store.Deregister(ctx, name)
	s.observe(sent, err)
	return err
}

func (s observedStore) Save(ctx context.Context, name string, body []byte) error {
	sent := time.Now()
	err := s.Store.Save(ctx, name, body)
	s.observe(sent, err)
	return err
}

func (s observedStore) Load(ctx context.Context, name string) ([]byte, bool, error) {
	sent := time.Now()
	body, ok, err := s.Store.Load(ctx, name)
	s.observe(sent, err)
	return body, ok, err
}
