package admission

import (
	"time"

	"monsoondale/core"
)

// Ask requests a slot on an endpoint of a shard.
type Ask struct {
	Request         core.RequestID
	Holder          core.InstanceID
	Workspace       core.WorkspaceID
	Caller          core.CallerID
	Tier            core.Tier
	Weight          core.Weight
	Prefill, Decode core.Tokens       // estimates
	Prefixes        []core.PrefixHash // hashes of growing prompt prefixes, shortest first
	Deadline        time.Time         // when the first token is due, zero for none
	Once            bool              // non-idempotent: never suspended
	Pin             core.EndpointID   // set when a suspended request resumes: the only endpoint it may use
	Exclude         []core.EndpointID // endpoints whose dial failed for this request
}

// Outcome tells how a granted slot was used.
type Outcome string

// The outcomes of a grant.
const (
	OutcomeUnused    Outcome = "unused"    // another shard's grant was used
	OutcomeRefused   Outcome = "refused"   // the dial failed; no byte was sent
	OutcomeSuspended Outcome = "suspended" // stopped in favour of a higher tier; will be resumed
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Release returns a slot with what its holder observed.
type Release struct {
	Grant                   core.GrantID
	Request                 core.RequestID
	Outcome                 Outcome
	Prefill, Cached, Decode core.Tokens   // prompt tokens, those of them served from cache, generated tokens
	FirstToken, Total       time.Duration // from dispatch to the first token, and to the end
}

// Running describes one running request of a holder.
type Running struct {
	Request         core.RequestID
	Grant           core.GrantID
	Endpoint        core.EndpointID
	Workspace       core.WorkspaceID
	Caller          core.CallerID
	Tier            core.Tier
	Weight          core.Weight
	Prefill, Decode core.Tokens   // estimates
	Tokens          core.Tokens   // generated so far
	Age             time.Duration // since dispatch
	Once            bool
}

// Sync tells the owner which slots a holder uses. Digest is the XOR of the xxhash values of the running request ids.
type Sync struct {
	Holder  core.InstanceID
	Count   int
	Digest  uint64
	Full    bool      // Running is the whole list, not a sample
	Running []Running // in a sample, Grant and what describes the request may be empty
}

// Effect is something that the caller of a Shard method has to carry out.
type Effect interface{ effect() }

// Grant gives a request a slot on an endpoint.
type Grant struct {
	Request  core.RequestID
	Holder   core.InstanceID
	Grant    core.GrantID
	Endpoint core.EndpointID
	Address  string
	Wait     time.Duration // time spent in the queue
}

// Refuse ends an ask without a slot; nothing was dispatched.
type Refuse struct {
	Request core.RequestID
	Holder  core.InstanceID
	Err     *core.Error
}

// Suspend asks a holder to suspend a running request; the holder answers with a Release of outcome "suspended".
type Suspend struct {
	Request core.RequestID
	Holder  core.InstanceID
	Grant   core.GrantID
}

// Raise asks for confirmations of a floor from the other candidates of the pool; see Shard.Confirmed.
type ConfirmFloor struct {
	Tier core.Tier
}

// Resend asks a holder for its full list of running requests.
type RequestSync struct {
	Holder core.InstanceID
}

func (Grant) effect()        {}
func (Refuse) effect()       {}
func (Suspend) effect()      {}
func (ConfirmFloor) effect() {}
func (RequestSync) effect()  {}
