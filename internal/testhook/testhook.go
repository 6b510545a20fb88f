// Package testhook holds what the fault tests need inside an instance: a probe that tells when a step is reached, and
// switches that remove single safeguards, so that a test can show that the checker notices their absence. Production
// code sets neither.
package testhook

import (
	"sync/atomic"

	"monsoondale/core"
)

// Step is a point in the life of a request that no message to an outside system marks.
type Step string

// The steps that a Probe is told of.
const (
	Accepted    Step = "accepted"      // the holder has taken the request over
	Claimed     Step = "claimed"       // the order's claim is written and the holder knows it
	Queued      Step = "queued"        // the owner has taken the ask
	Granted     Step = "granted"       // the holder has received a slot
	AboutToSend Step = "about to send" // the right to dispatch is used up, nothing was sent
	Released    Step = "released"      // the owner has taken the slot back
)

// Probe observes an instance. Its zero value does nothing.
type Probe struct {
	// OnStep is called on the goroutine that reaches a step. It must not block.
	OnStep func(s Step, at core.InstanceID, r core.RequestID)
	// OnControlStep is called before each step of the control loop. Blocking in it stands for a paused process.
	OnControlStep func()
}

// ReportStep tells the probe of a step.
func (p Probe) ReportStep(s Step, at core.InstanceID, r core.RequestID) {
	if p.OnStep != nil {
		p.OnStep(s, at, r)
	}
}

// ReportControlStep calls the gate.
func (p Probe) ReportControlStep() {
	if p.OnControlStep != nil {
		p.OnControlStep()
	}
}

// Switches that remove a safeguard while they are set.
var (
	RedispatchBrokenStreams atomic.Bool // a broken stream is dispatched again instead of resumed
	TreatErrorsAsNotSent    atomic.Bool // any error of a dispatch counts as proof that nothing was sent
	ShedUnconfirmed         atomic.Bool // a shard sheds without the confirmation of the others, and while lower tiers run
	AcceptTruncated         atomic.Bool // a stream that ends without its end mark counts as complete
	AcceptForeignChunks     atomic.Bool // chunks that name another request are passed on
	SkipClaimReadBack       atomic.Bool // a claim whose write was not answered counts as written
	GrantOnLeaving          atomic.Bool // owners grant slots on leaving endpoints
	SkipDrain               atomic.Bool // shutdown does not wait for running requests
	AcceptOlderVersions     atomic.Bool // the answer of a watch replaces objects of higher versions
)
