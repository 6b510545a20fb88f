package rollout

import (
	"time"

	"monsoondale/core"
)

const (
	// MinDuration is the shortest order that is carried out. Within less, a version can't be judged and streams can't end.
	MinDuration = 3 * time.Second
	// canaryPart is the part of the exposure that the target gets until it is trusted; the rest covers repeats and what is under way.
	canaryPart = 0.9
	// trustAfter is the part of the duration after which a version with nothing against it is trusted: until then it may turn bad, and
	// more than the exposure can't be taken back.
	trustAfter = 0.55
	// doubtUntil is the part of the duration after which a version that is still suspect is reverted: a good one that is reverted can be
	// tried again, and a bad one that is trusted has had its exposure.
	doubtUntil = 0.74
	// growthStep is the part of the duration between two shares of growth.
	growthStep = 0.04
	// drainUntil is the part of the duration after which an order is completed even if requests run at endpoints of other versions, and
	// revertAfter the one after which an order that can't be completed is reverted.
	drainUntil, revertAfter = 0.9, 0.8
	// settleTime is how long all instances must have had the full share before the others are stopped.
	settleTime = time.Second
)

var growth = []float64{0.25, 0.5, 1}

// Order asks for the traffic of a service to be moved to the target version.
type Order struct {
	ID       uint64 // distinguishes two orders for one service
	Target   core.SoftwareVersion
	Duration time.Duration
	// Invalid is why the order can't be carried out; empty if it can.
	Invalid string
	// State is what the store says of it.
	State State
}

// State is the state of an order.
type State int

// States of an order; the last two are final.
const (
	Pending State = iota
	Running
	Complete
	Reverted
)

func (s State) String() string { return [...]string{"pending", "running", "complete", "reverted"}[s] }

// Final reports whether the state is final.
func (s State) Final() bool { return s == Complete || s == Reverted }

// Step is a decision about an order. Of two steps of one order, the one with the higher number holds; see Later.
type Step struct {
	Number int
	Share  float64 // of the service's requests that may go to the target, 0 to 1
	Bad    bool    // the target is bad, for good
}

// Later returns which of two steps holds. What is bad stays bad, and of two deciders the more careful one holds.
func Later(a, b Step) Step {
	switch {
	case a.Bad != b.Bad && a.Bad, a.Bad == b.Bad && a.Number > b.Number, a.Bad == b.Bad && a.Number == b.Number && a.Share <= b.Share:
		return a
	}
	return b
}

// Situation is what a decision is based on.
type Situation struct {
	Age          time.Duration // since the order was given
	Exposure     float64       // share that a version may get before it is trusted
	Verdict      Verdict
	Share        float64       // present one
	ShareFor     time.Duration // for how long
	TargetSlots  int           // of endpoints of the target that accept requests
	OtherSlots   int           // of the other ones
	Others       int           // listed endpoints of other versions
	OtherRunning int           // requests there
}

// Decide returns the share that the target is to get, the state of the order, and why.
func (o *Order) Decide(s Situation) (share float64, state State, why string) {
	part := float64(s.Age) / float64(max(o.Duration, 1))
	switch {
	case o.State.Final():
		return 0, o.State, "final"
	case o.Invalid != "":
		return 0, Reverted, o.Invalid
	case o.Duration < MinDuration:
		return 0, Reverted, "too short to judge a version"
	case s.Verdict.Bad:
		return 0, Reverted, s.Verdict.String()
	case s.TargetSlots == 0 && part >= revertAfter:
		return 0, Reverted, "no endpoints of the target"
	case s.TargetSlots == 0:
		return 0, Running, "no endpoints of the target yet"
	case s.Others == 0 && s.Share < 1:
		return 1, Running, "no endpoints of other versions"
	case part < trustAfter && s.Others > 0:
		return canaryPart * s.Exposure, Running, "not judged yet"
	case part < trustAfter: // no endpoints of other versions are listed, perhaps for a moment only
		return 1, Running, "no endpoints of other versions, not judged yet"
	case s.Verdict.Suspect && part < doubtUntil:
		return max(canaryPart*s.Exposure, s.Share), Running, "suspect: " + s.Verdict.String()
	case s.Verdict.Suspect && s.Share <= canaryPart*s.Exposure+shareTolerance:
		return 0, Reverted, "still suspect: " + s.Verdict.String()
	}
	// The target takes no more than its slots carry, unless there are no others.
	room := 1.0
	if s.OtherSlots > 0 {
		room = min(float64(s.TargetSlots)/float64(s.OtherSlots)/minRoom, 1)
	}
	share = min(s.Share, room)
	if s.Share <= canaryPart*s.Exposure+shareTolerance || s.ShareFor >= time.Duration(growthStep*float64(o.Duration)) {
		share = min(grow(s.Share), room)
	}
	switch {
	case share < 1 && part >= drainUntil:
		return 0, Reverted, "too few endpoints of the target"
	case share < 1:
		return share, Running, "growing"
	case s.Share >= 1 && s.ShareFor >= settleTime && (s.OtherRunning == 0 || part >= drainUntil):
		return 1, Complete, "all traffic moved"
	}
	return 1, Running, "waiting for requests at other endpoints to end"
}

// grow returns the share after a given one.
func grow(share float64) float64 {
	for _, v := range growth {
		if v > share {
			return v
		}
	}
	return 1
}

// shareTolerance is by how much a share may differ that was rounded for a message.
const shareTolerance = 1e-6

// minRoom is the number of slots of the target, for each of the others, from which it takes all traffic.
const minRoom = 0.5
