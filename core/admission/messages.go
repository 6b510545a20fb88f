package admission

import (
	"time"

	"monsoondale/core"
)

// Ask is a request for a slot on an endpoint of the shard. Its holder is the instance that serves the caller.
type Ask struct {
	Request         core.RequestID
	Holder          core.InstanceID
	Workspace       core.WorkspaceID
	Caller          core.CallerID
	Tier            core.Tier
	Weight          core.Weight
	Prefill, Decode core.Tokens       // estimates
	Prefixes        []core.PrefixHash // hashes of prompt prefixes of increasing length
	Deadline        time.Time         // for the first token; zero for none
	Once            bool              // not idempotent, so never suspended
	Pin             core.EndpointID   // endpoint on which a suspended request must resume
	Exclude         []core.EndpointID // endpoints that the holder failed to dial for this request
}

// Outcome is how the use of a granted slot ended.
type Outcome string

// Values of Outcome.
const (
	OutcomeUnused    Outcome = "unused"    // the holder used the grant of another shard
	OutcomeRefused   Outcome = "refused"   // the dial failed; no byte was sent
	OutcomeSuspended Outcome = "suspended" // stopped in favour of a higher tier, resumed later
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Release frees a slot and carries the holder's measurements.
type Release struct {
	Grant                   core.GrantID
	Request                 core.RequestID
	Outcome                 Outcome
	Prefill, Cached, Decode core.Tokens   // prompt tokens, prompt tokens served from cache, generated tokens
	FirstToken, Total       time.Duration // from dispatch to the first token and to the end
}

// Running is a running request of a holder.
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

// Sync reports the slots that a holder uses. Digest is the XOR of the xxhash values of the running request ids.
type Sync struct {
	Holder  core.InstanceID
	Count   int
	Digest  uint64
	Full    bool      // Running lists all requests instead of a sample
	Running []Running // a sample may leave out Grant and the description of the request
}

// Effect is an action that the caller of a Shard method must carry out.
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

// Refuse ends an ask without a slot. Nothing was dispatched.
type Refuse struct {
	Request core.RequestID
	Holder  core.InstanceID
	Err     *core.Error
}

// Suspend asks a holder to suspend a running request. The holder answers with a Release of OutcomeSuspended.
type Suspend struct {
	Request core.RequestID
	Holder  core.InstanceID
	Grant   core.GrantID
}

// ConfirmFloor asks the other candidates of the pool to apply and confirm a floor; see Shard.FloorConfirmed.
type ConfirmFloor struct {
	Tier core.Tier
}

// RequestSync asks a holder for its full list of running requests.
type RequestSync struct {
	Holder core.InstanceID
}

func (Grant) effect()        {}
func (Refuse) effect()       {}
func (Suspend) effect()      {}
func (ConfirmFloor) effect() {}
func (RequestSync) effect()  {}
