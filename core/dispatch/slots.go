package dispatch

import (
	"context"

	"monsoondale/core"
	"monsoondale/core/admission"
)

// Slot is a granted slot on one endpoint.
type Slot struct {
	Shard    core.ShardID
	Grant    core.GrantID
	Endpoint core.EndpointID
	Address  string
}

// Slots acquires and releases slots, whichever instance owns the shards of a pool.
type Slots interface {
	// Acquire waits for a slot. The error is a *core.Error of class "not run", or the error of the context. A request
	// that holds a slot may later be suspended through the Suspender of its instance.
	Acquire(ctx context.Context, pool core.Pool, ask admission.Ask) (Slot, error)
	// Release gives the slot back. It does not block.
	Release(slot Slot, rel admission.Release)
	// Progress sets the number of tokens generated so far, which the next sync reports to the owner.
	Progress(slot Slot, request core.RequestID, tokens core.Tokens)
}

// Suspender suspends running requests at the request of an owner.
type Suspender interface {
	// Suspend reports whether the request was suspended. It returns false if the request has ended or cannot be
	// suspended.
	Suspend(ctx context.Context, request core.RequestID, grant core.GrantID) bool
}
