// Package core holds the named ids, units and result codes that every other package shares.
package core

import (
	"crypto/rand"
	"encoding/hex"
)

// InstanceID names an instance (a process of the scheduler).
type InstanceID string

// DataCentre names a data centre within a region.
type DataCentre string

// Region names a group of data centres whose endpoints can serve the same requests.
type Region string

// WorkspaceID names a workspace.
type WorkspaceID string

// TemplateID names a workspace template.
type TemplateID string

// EndpointID names a model engine or a plain service.
type EndpointID string

// CallerID names a caller within a workspace.
type CallerID string

// KindID names a kind of work within a workspace.
type KindID string

// Pool names the endpoints of a region that serve one model or service.
type Pool string

// ShardID names one shard of a pool; its owner holds the shard's queue and slots.
type ShardID string

// RequestID identifies a request from its acceptance to its final outcome.
type RequestID string

// GrantID identifies one grant of a slot.
type GrantID string

// AttemptID identifies one attempt to claim an order key.
type AttemptID string

// OrderKey is a caller's idempotency key, qualified by its workspace.
type OrderKey string

// PrefixHash is the hash of a prompt prefix.
type PrefixHash uint64

// Tier orders requests by urgency; 0 is the most urgent.
type Tier int

// Tiers is the number of tiers; valid tiers are 0 to Tiers-1.
const Tiers = 4

// Valid reports whether t names an existing tier.
func (t Tier) Valid() bool { return t >= 0 && t < Tiers }

// Tokens counts prompt or generated tokens.
type Tokens int64

// Weight is the share of a workspace relative to the others of its tier.
type Weight int

// Revision is the object API's revision; it rises with every write.
type Revision int64

// Fence is a fencing token; an order with a lower one than the last accepted is stale.
type Fence int64

// NewID returns a random 128-bit id in hexadecimal, used for requests, grants and attempts.
func NewID() string {
	var b [16]byte
	rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}
