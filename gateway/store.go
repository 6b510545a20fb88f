package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/mirror"
	"monsoondale/core/pool"
	"monsoondale/core/route"
)

// Collection is a set of objects in the store that is mirrored.
type Collection int

// Collections.
const (
	Configurations Collection = iota
	Endpoints
	Members
	collections
)

func (c Collection) String() string {
	return [...]string{"configuration", "endpoints", "instances"}[c]
}

// ErrHistory reports that the store no longer has the changes after a revision; the collection is to be listed.
var ErrHistory = errors.New("history is gone")

// Member is the entry of an instance in the store.
type Member struct {
	Name    core.InstanceID
	Address string // of its messages, IP:PORT
	Centre  core.DataCentre
}

// Store is the platform's store.
type Store interface {
	// List returns all objects of a collection and the store's revision.
	List(ctx context.Context, c Collection) ([]mirror.Item, core.Revision, error)
	// Watch waits for changes after a revision, or returns ErrHistory.
	Watch(ctx context.Context, c Collection, since core.Revision, wait time.Duration) ([]mirror.Item, core.Revision, error)
	// Announce writes the entry of this instance.
	Announce(ctx context.Context, m Member) error
	// Retire removes the entry of another one.
	Retire(ctx context.Context, name core.InstanceID) error
	// Keep writes an object that outlives all processes, and Kept reads it; ok is false if there is none.
	Keep(ctx context.Context, name string, body []byte) error
	Kept(ctx context.Context, name string) (body []byte, ok bool, err error)
	// Table, Endpoint and Member decode objects. Table returns nil for an object that is no configuration.
	Table(it mirror.Item) (*route.Table, error)
	Endpoint(it mirror.Item) (route.Service, pool.Endpoint, error)
	Member(it mirror.Item) (Member, error)
}
