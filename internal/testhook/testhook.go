// Package testhook holds the hooks of the fault tests in an instance: a probe that reports the steps of a request, and
// switches that disable single safeguards, so that a test can show that the checker detects their absence. Production
// code sets neither.
package testhook

import (
	"sync/atomic"

	"monsoondale/core"
)

// Step is a point in the life cycle of a request that no message to an external system marks.
type Step string

// The steps that are reported to a Probe.
const (
	Accepted    Step = "accepted"      // the holder has accepted the request
	Claimed     Step = "claimed"       // the order's claim is written and confirmed to the holder
	Queued      Step = "queued"        // the owner has queued the slot request
	Granted     Step = "granted"       // the holder has received a slot
	AboutToSend Step = "about to send" // the request counts as dispatched, but nothing was sent yet
	Released    Step = "released"      // the slot has been returned to the owner
)

// Probe observes an instance. Its zero value does nothing.
type Probe struct {
	// OnStep is called on the goroutine that reaches the step. It must not block.
	OnStep func(s Step, instance core.InstanceID, request core.RequestID)
	// OnControlStep is called before each step of the control loop. A call that blocks simulates a paused process.
	OnControlStep func()
}

// ReportStep calls OnStep if it is set.
func (p Probe) ReportStep(s Step, instance core.InstanceID, request core.RequestID) {
	if p.OnStep != nil {
		p.OnStep(s, instance, request)
	}
}

// ReportControlStep calls OnControlStep if it is set.
func (p Probe) ReportControlStep() {
	if p.OnControlStep != nil {
		p.OnControlStep()
	}
}

// Switches that disable a safeguard while they are set.
var (
	RedispatchBrokenStreams atomic.Bool // a broken stream is dispatched again instead of resumed
	TreatErrorsAsNotSent    atomic.Bool // any error of a dispatch counts as proof that nothing was sent
	ShedUnconfirmed         atomic.Bool // a shard sheds unconfirmed by the other shards, and while lower tiers run
	AcceptTruncated         atomic.Bool // a stream without an end marker counts as complete
	AcceptForeignChunks     atomic.Bool // chunks that name another request are passed on
	SkipClaimReadBack       atomic.Bool // a claim whose write got no answer counts as written
	GrantOnLeaving          atomic.Bool // owners grant slots on leaving endpoints
	SkipDrain               atomic.Bool // shutdown does not wait for running requests
	AcceptOlderVersions     atomic.Bool // the answer of a watch also replaces objects of higher versions
)
