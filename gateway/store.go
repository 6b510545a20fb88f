package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/mirror"
	"monsoondale/core/pool"
	"monsoondale/core/rollout"
	"monsoondale/core/route"
)

// Collection is a mirrored set of objects in the store.
type Collection int

// Collections.
const (
	Configurations Collection = iota
	Endpoints
	Instances
	// Rollouts are orders to move services to other versions. They are followed only if Settings.Rollouts says so.
	Rollouts
	collectionCount
)

func (c Collection) String() string {
	return [...]string{"configuration", "endpoints", "instances", "rollouts"}[c]
}

// ErrHistoryDropped is returned by Store.Watch if the store has discarded changes after the given revision, or was restored
// since. The collection must then be listed.
var ErrHistoryDropped = errors.New("history dropped by the store")

// ErrNotSent is part of an error of which the store was not asked, as it was restored since.
var ErrNotSent = errors.New("not sent to the restored store")

// ErrIncomplete is returned by Store.List, together with objects, if there may be others that cannot be read.
var ErrIncomplete = errors.New("list incomplete")

// InstanceEntry is the entry of an instance in the store.
type InstanceEntry struct {
	Name    core.InstanceID
	Address string // of its mesh listener, IP:PORT
	Centre  core.DataCentre
}

// ErrChanged means that another instance may have written an object meanwhile.
var ErrChanged = errors.New("changed by another instance")

// Store gives access to the objects in the platform's store.
type Store interface {
	// List returns all objects of a collection and the store's revision. With ErrIncomplete, it returns a part of the objects.
	// Objects that cannot be read are returned as far as they can, see mirror.Item; so does Watch.
	List(ctx context.Context, c Collection) ([]mirror.Item, core.Revision, error)
	// Watch waits up to the given time for changes after a revision, or returns ErrHistoryDropped, also if the revision is of
	// another era of the store. List and Watch return no answers of an earlier era than a known one.
	Watch(ctx context.Context, c Collection, since core.Revision, wait time.Duration) ([]mirror.Item, core.Revision, error)
	// Register writes the entry of this instance. It returns the era of the store that has it.
	Register(ctx context.Context, m InstanceEntry) (core.Era, error)
	// Deregister removes the entry of another instance.
	Deregister(ctx context.Context, name core.InstanceID) error
	// Save fails with ErrChanged if another instance has written the object since the last call of Save or Load, or
	// if the store was restored since. Otherwise it writes an object that remains in the store when all instances have stopped. Load reads it; ok is false if
	// there is none.
	Save(ctx context.Context, name string, body []byte) error
	Load(ctx context.Context, name string) (body []byte, ok bool, err error)
	// Table, Endpoint and InstanceEntry decode objects. Table returns nil for an object that is not a configuration.
	Table(it mirror.Item) (*route.Table, error)
	Endpoint(it mirror.Item) (route.Service, pool.Endpoint, error)
	InstanceEntry(it mirror.Item) (InstanceEntry, error)
	// Order decodes an order to move a service to another version. One that can be identified but not carried out is returned with the
	// reason.
	Order(it mirror.Item) (route.Service, rollout.Order, error)
	// SaveOrderState writes the state of an order that has not changed since it was read, or fails with ErrChanged.
	SaveOrderState(ctx context.Context, it mirror.Item, o rollout.Order, s rollout.State) error
}
