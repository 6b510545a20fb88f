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

// ErrHistoryDropped reports that the store no longer has the changes after a revision; the collection is to be listed.
var ErrHistoryDropped = errors.New("history is gone")

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
	// Register writes the entry of this instance.
	Register(ctx context.Context, m Member) error
	// Deregister removes the entry of another instance.
	Deregister(ctx context.Context, name core.InstanceID) error
	// Save writes an object that outlives all processes, and Load reads it; ok is false if there is none.
	Save(ctx context.Context, name string, body []byte) error
	Load(ctx context.Context, name string) (body []byte, ok bool, err error)
	// Table, Endpoint and Member decode objects. Table returns nil for an object that is no configuration.
	Table(it mirror.Item) (*route.Table, error)
	Endpoint(it mirror.Item) (route.Service, pool.Endpoint, error)
	Member(it mirror.Item) (Member, error)
}
