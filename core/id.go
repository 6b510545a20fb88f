// Package core defines the ids, units and result codes that the other packages share.
package core

import (
	"crypto/rand"
	"encoding/hex"
)

// InstanceID names an instance, which is one process of the scheduler.
type InstanceID string

// DataCentre names a data centre within a region.
type DataCentre string

// Region names a group of data centres whose endpoints can serve the same requests.
type Region string

// WorkspaceID names a workspace.
type WorkspaceID string

// TemplateID names a workspace template.
type TemplateID string

// EndpointID names an endpoint: a model engine or a plain service.
type EndpointID string

// SoftwareVersion names a version of the software of endpoints. Versions have no order.
type SoftwareVersion string

// CallerID names a caller within a workspace.
type CallerID string

// KindID names a kind of work within a workspace.
type KindID string

// Pool names a group of endpoints of a region that serve the same model or service.
type Pool string

// ShardID names a shard of a pool. The instance that owns the shard holds its queue and slots.
type ShardID string

// RequestID identifies a request from acceptance to its final outcome.
type RequestID string

// GrantID identifies one grant of a slot.
type GrantID string

// AttemptID identifies one attempt to claim an order key.
type AttemptID string

// OrderKey is a caller's idempotency key, qualified by its workspace.
type OrderKey string

// PartID identifies a part of a prompt, such as a system prompt that requests share.
type PartID string

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

// Weight is the share of capacity of a workspace, relative to the other workspaces of its tier.
type Weight int

// Revision is a revision of the object API, which grows with every write. A store that was restored from a copy may give out
// revisions again, and states its era, which is then in the high bits: revisions of a later era are higher.
type Revision int64

const (
	// eraShift is the number of bits of a revision within an era.
	eraShift = 40
	// MaxStoreRevision is the highest revision within an era, and MaxEra the highest era.
	MaxStoreRevision = 1<<eraShift - 1
	MaxEra           = 1<<(62-eraShift) - 1
)

// Era is the number of times that a store has been restored, or 0 if it does not state that.
type Era int64

// NewRevision returns the revision with a number in an era. The number is at most MaxStoreRevision, the era at most MaxEra.
func NewRevision(era Era, number int64) Revision { return Revision(int64(era)<<eraShift | number) }

// Era returns the era of a revision.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns the revision within its era, as the store states it.
func (r Revision) Number() int64 { return int64(r) & MaxStoreRevision }

// Fence is a fencing token. A command to an engine is stale if its fence is lower than
// that of the last accepted command.
type Fence int64

// NewID returns a random 128-bit id in hexadecimal. It is used for requests, grants and attempts.
func NewID() string {
	var b [16]byte
	rand.Read(b[:]) // never returns an error
	return hex.EncodeToString(b[:])
}
