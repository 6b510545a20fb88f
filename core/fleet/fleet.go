package fleet

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

const (
	// maxFlat is the number of instances up to which each sends its state to all others.
	maxFlat = 12
	// minInterval is the shortest time between two states of an instance.
	minInterval = 40 * time.Millisecond
	// maxReceivedPerSecond is the number of states per second that an instance of a large data centre receives.
	maxReceivedPerSecond = 150
	// minSummaryInterval is the shortest time between two summaries of a relay.
	minSummaryInterval = 200 * time.Millisecond
	// relays is the number of instances of a data centre that send summaries.
	relays = 2
	// relayDelay is the time for which an instance listens to the others before it acts as a relay. Otherwise each instance
	// that starts, or resumes after it stood still, would take itself for the first one.
	relayDelay = 400 * time.Millisecond
	// An instance is silent once silenceFactor times the time in which its next message was due has passed, but at least
	// minValidity. With a fifth of all messages lost, one message in 3,000 intervals is preceded by so many losses in a row.
	silenceFactor = 5
	minValidity   = 600 * time.Millisecond
	// maxPromise bounds the interval that a message may state.
	maxPromise = 10 * time.Second
	// stoppedAfter is the time without a message after which an instance no longer counts as running.
	stoppedAfter = 30 * time.Second
	// minAssumed is the number of instances that is assumed at least until the list of instances is known.
	minAssumed = 8
)

// Member identifies an instance.
type Member struct {
	Name    core.InstanceID
	Address string          // IP:PORT
	Centre  core.DataCentre // empty if unknown
}

// State is what an instance states about itself.
type State struct {
	Member
	Start  int64 // of the process, in Unix milliseconds
	Number int64 // of the message, increasing within a process
	// Every is the time in which the next message of the sender is due; 0 if not stated.
	Every   time.Duration
	Leaving bool // shutting down
	Blind   bool // its last call to the store has failed
	// Watching reports whether it watches the store for all, and the store answers it.
	Watching bool
	// Power is that of its processor, in thousandths of a core, if it may grant places of endpoints; else 0.
	Power int
}

// Summary is what a relay states about the instances of its data centre, itself included.
type Summary struct {
	Relay   Member
	Start   int64 // of the relay's process
	Number  int64
	Every   time.Duration
	Heard   int // instances that are heard
	Running int // instances that may be running
	// Silent are the listed instances that are not heard.
	Silent []core.InstanceID
	// Watchers are the first instances by name that watch the store, and that the store answers.
	Watchers []core.InstanceID
	// Young reports whether an instance has started recently.
	Young bool
}

// member is the state of another instance.
type member struct {
	State
	lastHeard    time.Time // zero if never, or not since this process stood still
	trackedSince time.Time // when it was added, or when this process last resumed after it had stood still
	before       process   // the one that the present one replaced
	replaced     time.Time // when it did; zero if none was heard before
	loggedHeard  bool
}

// process is a process of an instance and its last message. Clocks may be set back, so that a later start is no proof of a later
// process.
type process struct {
	start, number int64
}

// summary is the last summary of a relay.
type summary struct {
	Summary
	at time.Time
}

// centre is what is known of another data centre.
type centre struct {
	byRelay     map[core.InstanceID]*summary
	lastHeard   time.Time
	loggedHeard bool
}

// Options configures a Fleet.
type Options struct {
	Self Member
	// YoungFor is the time after its start for which an instance counts as young.
	YoungFor time.Duration
}

// Fleet is one instance's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	o                      Options
	members                map[core.InstanceID]*member
	centres                map[core.DataCentre]*centre
	listKnown              bool
	locals                 []*member // for which local is true
	interval               time.Duration
	lastState, lastSummary time.Time // when Due reported them
	listeningSince         time.Time // when Due was first called, or when this process last resumed after it stood still
	relaySince             time.Time // when this instance last became a relay
	lastRelayed            time.Time // when Due last reported a summary
	watches                bool      // watches the store for all, or tries to
	vacantSince            time.Time // since when too few others watch the store; zero if enough do
	rounds                 uint32    // goldenStep times the number of states that were sent
}

// New returns a Fleet that knows only the instance itself.
func New(o Options) *Fleet {
	return &Fleet{o: o, members: map[core.InstanceID]*member{}, centres: map[core.DataCentre]*centre{}, interval: minInterval}
}

// List applies the list of instances in the store. Instances that stopped and are no longer listed are forgotten.
func (f *Fleet) List(now time.Time, list []Member) {
	changed := false
	listed := make(map[core.InstanceID]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
		if m.Name != f.o.Self.Name {
			changed = f.add(now, m) || changed
		}
	}
	for name, e := range f.members {
		if !listed[name] && f.stopped(now, e) {
			delete(f.members, name)
			changed = true
		}
	}
	if changed {
		f.updateLocals()
	}
	f.listKnown = true
}

// add adds an instance if it is not known, or has another address or data centre, and reports whether it was added.
func (f *Fleet) add(now time.Time, m Member) bool {
	e := f.members[m.Name]
	switch {
	case e == nil || e.Address != m.Address:
		f.members[m.Name] = &member{State: State{Member: m}, trackedSince: now}
	case m.Centre != "" && e.Centre != m.Centre:
		e.Centre = m.Centre
	default:
		return false
	}
	return true
}

// getOrAdd returns the state of an instance, which it adds if needed.
func (f *Fleet) getOrAdd(now time.Time, m Member) *member {
	if f.add(now, m) {
		f.updateLocals()
	}
	return f.members[m.Name]
}

// updateLocals determines the instances that receive the states of this one, and its interval, after a change of the members.
func (f *Fleet) updateLocals() {
	f.locals = f.locals[:0]
	for _, e := range f.members {
		if f.local(e) {
			f.locals = append(f.locals, e)
		}
	}
	sort.Slice(f.locals, func(i, j int) bool { return f.locals[i].Name < f.locals[j].Name })
	f.interval = minInterval
	if !f.Flat() {
		f.interval = max(minInterval, time.Duration(len(f.locals))*time.Second/maxReceivedPerSecond)
	}
}

// RecordState records the state of another instance, and reports whether it is newer than the ones before. An earlier start is that
// of a process whose clock was set back if the present process is silent, else a late message of an earlier process.
func (f *Fleet) RecordState(now time.Time, s State) bool {
	if s.Name == f.o.Self.Name {
		return false
	}
	e := f.getOrAdd(now, s.Member)
	if s.Start == e.before.start && s.Number <= e.before.number {
		return false
	}
	if !newer(s.Start, s.Number, e.Start, e.Number) && (s.Start == e.Start || e.heard(now)) {
		return false
	}
	if e.Start != 0 && s.Start != e.Start {
		e.before, e.replaced = process{e.Start, e.Number}, now
	}
	s.Centre = e.Centre
	e.State, e.lastHeard = s, now
	return true
}

// newer reports whether a message of a process comes after another one of it or of a process with an earlier start.
func newer(start, number, lastStart, lastNumber int64) bool {
	return start > lastStart || start == lastStart && number > lastNumber
}

// RecordSummary records a summary of another data centre. fresh reports whether it is newer than the ones before of the same
// relay, as in RecordState, and primary whether its relay is the one whose sums count while several relays are heard.
func (f *Fleet) RecordSummary(now time.Time, s Summary) (fresh, primary bool) {
	id := s.Relay.Centre
	if id == "" || id == f.o.Self.Centre {
		return false, false
	}
	c := f.centres[id]
	if c == nil {
		c = &centre{byRelay: map[core.InstanceID]*summary{}}
		f.centres[id] = c
	}
	if last := c.byRelay[s.Relay.Name]; last != nil && !newer(s.Start, s.Number, last.Start, last.Number) &&
		(s.Start == last.Start || f.valid(now, last)) {
		return false, false
	}
	f.getOrAdd(now, s.Relay)
	c.byRelay[s.Relay.Name] = &summary{Summary: s, at: now}
	c.lastHeard = now
	primary = true
	for name, r := range c.byRelay {
		if !f.valid(now, r) {
			delete(c.byRelay, name)
		} else if name < s.Relay.Name {
			primary = false
		}
	}
	return true, primary
}

// valid reports whether the relay of a summary is heard. A summary reaches this instance with the state of another one, whose
// interval is added.
func (f *Fleet) valid(now time.Time, s *summary) bool {
	return now.Sub(s.at) <= Validity(s.Every+f.Interval())
}

// Validity returns how long after a message its sender counts as heard.
func Validity(every time.Duration) time.Duration {
	return max(silenceFactor*min(max(every, 0), maxPromise), minValidity)
}

// heard reports whether an instance is heard.
func (e *member) heard(now time.Time) bool {
	return !e.lastHeard.IsZero() && now.Sub(e.lastHeard) <= Validity(e.Every)
}

// heard returns the summary of a data centre that counts the most instances, of the relays that are heard, or nil.
func (f *Fleet) heard(now time.Time, c *centre) *summary {
	var best *summary
	if c == nil {
		return nil
	}
	for _, s := range c.byRelay {
		if f.valid(now, s) && (best == nil || s.Heard > best.Heard) {
			best = s
		}
	}
	return best
}

// CentreHeard reports whether a relay of another data centre is heard.
func (f *Fleet) CentreHeard(now time.Time, id core.DataCentre) bool {
	return f.heard(now, f.centres[id]) != nil
}

// Flat reports whether each instance sends its state to all others.
func (f *Fleet) Flat() bool { return len(f.members)+1 <= maxFlat }

// local reports whether an instance receives the states of this one, and sends its own.
func (f *Fleet) local(e *member) bool {
	return f.Flat() || e.Centre == f.o.Self.Centre || e.Centre == ""
}

// Interval returns the time between two states that this instance sends.
func (f *Fleet) Interval() time.Duration { return f.interval }

// Due reports whether this instance sends its state now, and whether it sends a summary as a relay.
func (f *Fleet) Due(now time.Time) (state, summary bool) {
	if f.listeningSince.IsZero() {
		f.listeningSince = now
	}
	if state = now.Sub(f.lastState) >= f.Interval(); state {
		f.lastState = now
	}
	if now.Sub(f.lastSummary) >= f.SummaryInterval() {
		f.lastSummary = now
		summary = now.Sub(f.listeningSince) >= relayDelay && f.IsRelay(now)
	}
	if summary {
		if now.Sub(f.lastRelayed) > Validity(f.SummaryInterval()) {
			f.relaySince = now
		}
		f.lastRelayed = now
	}
	return state, summary
}

// Hasten makes the next state and summary due at once, as they have something new to tell.
func (f *Fleet) Hasten() { f.lastState, f.lastSummary = time.Time{}, time.Time{} }

// SummaryInterval returns the time between two summaries that this instance sends if it is a relay.
func (f *Fleet) SummaryInterval() time.Duration { return max(minSummaryInterval, f.Interval()) }

// Count returns the number of instances that are heard and of all that may be running, including this one.
func (f *Fleet) Count(now time.Time) (heard, running int) {
	heard, running = 1, 1
	summed := map[core.DataCentre]bool{}
	if !f.Flat() {
		for id, c := range f.centres {
			if s := f.heard(now, c); s != nil {
				summed[id] = true
				heard, running = heard+max(s.Heard, 1), running+max(s.Running, s.Heard, 1)
			}
		}
	}
	for _, e := range f.members {
		if f.local(e) || !summed[e.Centre] {
			h, r := f.countMember(now, e)
			heard, running = heard+h, running+r
		}
	}
	if !f.listKnown {
		running = max(running, minAssumed)
	}
	return heard, running
}

// countMember returns 1 or 0 each for whether an instance is heard and whether it may be running.
func (f *Fleet) countMember(now time.Time, e *member) (heard, running int) {
	switch {
	case e.heard(now):
		return 1, 1
	case e.Leaving || f.stopped(now, e):
		return 0, 0
	}
	return 0, 1
}

// stopped reports whether an instance has been silent for so long that it no longer counts as running.
func (f *Fleet) stopped(now time.Time, e *member) bool {
	last := e.lastHeard
	if last.IsZero() {
		last = e.trackedSince
	}
	if c := f.centres[e.Centre]; c != nil && !f.local(e) && c.lastHeard.After(last) {
		last = c.lastHeard
	}
	return now.Sub(last) > stoppedAfter
}

// AnyYoung reports whether an instance that is heard has started recently, or this one has recently become a relay. The
// counters that others know do not cover all usage then.
func (f *Fleet) AnyYoung(now time.Time) bool {
	if !f.relaySince.IsZero() && now.Sub(f.relaySince) < f.o.YoungFor {
		return true
	}
	for _, c := range f.centres {
		if s := f.heard(now, c); s != nil && s.Young {
			return true
		}
	}
	return f.anyYoung(now, func(*member) bool { return true })
}

func (f *Fleet) anyYoung(now time.Time, counts func(*member) bool) bool {
	for _, e := range f.members {
		if counts(e) && e.heard(now) && f.young(now, e) {
			return true
		}
	}
	return false
}

// young reports whether an instance has started recently, by its clock or by when this one first heard the process.
func (f *Fleet) young(now time.Time, e *member) bool {
	return now.UnixMilli()-e.Start < f.o.YoungFor.Milliseconds() || !e.replaced.IsZero() && now.Sub(e.replaced) < f.o.YoungFor
}

// StateTargets returns the instances to which this one sends its state. Silent ones are included, so that one that restarts
// learns of the others without the store. Each call begins at another one: a full link loses the end of a burst of messages, which must
// not hit the same receivers each time.
func (f *Fleet) StateTargets() []Member {
	out := make([]Member, 0, len(f.locals))
	f.rounds += goldenStep
	n := uint64(len(f.locals))
	first := uint64(f.rounds) * n >> 32
	for i := range n {
		out = append(out, f.locals[(first+i)%n].Member)
	}
	return out
}

// goldenStep is 2^32 divided by the golden ratio. Multiples of it modulo 2^32 are spread evenly, so that consecutive bursts end at
// receivers that are far apart.
const goldenStep = 2654435769

// IsRelay reports whether this instance sends summaries: it is one of the first of its data centre by name that are heard and
// not leaving.
func (f *Fleet) IsRelay(now time.Time) bool {
	return !f.Flat() && f.relayIndex(now) < relays
}

// relayIndex returns the number of instances of the data centre that come before this one in the order of relays.
func (f *Fleet) relayIndex(now time.Time) int {
	preceding := 0
	for _, e := range f.locals {
		if e.Name < f.o.Self.Name && e.heard(now) && !e.Leaving {
			preceding++
		}
	}
	return preceding
}

// Summary returns the summary of this instance's data centre. The caller sets Start, Number and Every; watching and young are
// the state of this instance.
func (f *Fleet) Summary(now time.Time, watching, young bool) Summary {
	own := func(e *member) bool { return e.Centre == f.o.Self.Centre }
	s := Summary{Relay: f.o.Self, Heard: 1, Running: 1, Young: young || f.anyYoung(now, own), Watchers: f.ownClaimants(now, watching)}
	for _, e := range f.locals {
		if !own(e) {
			continue
		}
		heard, running := f.countMember(now, e)
		s.Heard, s.Running = s.Heard+heard, s.Running+running
		if heard == 0 {
			s.Silent = append(s.Silent, e.Name)
		}
	}
	return s
}

// SummaryTargets returns the instances to which a relay sends its summary: one of each other data centre, another one than
// the other relays choose, and one that is heard there if possible. While a data centre is not heard, the choice differs with
// each round.
func (f *Fleet) SummaryTargets(now time.Time, round int64) []Member {
	index := f.relayIndex(now)
	byCentre := map[core.DataCentre][]Member{}
	for _, e := range f.members {
		if !f.local(e) {
			byCentre[e.Centre] = append(byCentre[e.Centre], e.Member)
		}
	}
	var out []Member
	for id, list := range byCentre {
		silent := map[core.InstanceID]bool{}
		seed := string(f.o.Self.Centre)
		if s := f.heard(now, f.centres[id]); s != nil {
			for _, name := range s.Silent {
				silent[name] = true
			}
		} else {
			seed += strconv.FormatInt(round, 10)
		}
		rank := func(m Member) uint64 { return xxhash.Sum64String(seed + "/" + string(m.Name)) }
		sort.Slice(list, func(i, j int) bool {
			if silent[list[i].Name] != silent[list[j].Name] {
				return silent[list[j].Name]
			}
			return rank(list[i]) < rank(list[j])
		})
		out = append(out, list[index%len(list)])
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Candidate is an instance of the data centre that may grant places of endpoints.
type Candidate struct {
	Member
	Start int64
	Power int
}

// Candidates returns the other instances of this one's data centre that are heard, not leaving and may grant places of endpoints. There
// is no choice, and ok is false, in a flat fleet and until this instance has listened for some time.
func (f *Fleet) Candidates(now time.Time) (out []Candidate, ok bool) {
	if f.Flat() || f.listeningSince.IsZero() || now.Sub(f.listeningSince) < relayDelay {
		return nil, false
	}
	for _, e := range f.locals {
		if e.Centre == f.o.Self.Centre && e.Power > 0 && !e.Leaving && e.heard(now) {
			out = append(out, Candidate{Member: e.Member, Start: e.Start, Power: e.Power})
		}
	}
	return out, true
}

// Resume discards what was heard before this process stood still.
func (f *Fleet) Resume(now time.Time) {
	for _, e := range f.members {
		e.lastHeard, e.trackedSince = time.Time{}, now
	}
	for _, c := range f.centres {
		clear(c.byRelay)
		c.lastHeard = now
	}
	f.listeningSince = now
}

// Change is an instance or another data centre that is heard from now on, or no longer.
type Change struct {
	Instance core.InstanceID // empty for a data centre
	Centre   core.DataCentre
	Heard    bool
	Leaving  bool
	// Silence is the time since the last message; 0 if Heard.
	Silence time.Duration
}

// Changes returns the changes since the last call. Of the instances of other data centres, only the small fleet's are listed.
func (f *Fleet) Changes(now time.Time) []Change {
	var out []Change
	since := func(heard bool, last time.Time) time.Duration {
		if heard || last.IsZero() {
			return 0
		}
		return now.Sub(last)
	}
	for _, e := range f.locals {
		if heard := e.heard(now); heard != e.loggedHeard {
			e.loggedHeard = heard
			out = append(out, Change{Instance: e.Name, Centre: e.Centre, Heard: heard, Leaving: e.Leaving, Silence: since(heard, e.lastHeard)})
		}
	}
	for id, c := range f.centres {
		if heard := f.heard(now, c) != nil; heard != c.loggedHeard {
			c.loggedHeard = heard
			out = append(out, Change{Centre: id, Heard: heard, Silence: since(heard, c.lastHeard)})
		}
	}
	return out
}

// Size returns the number of known instances, this one included.
func (f *Fleet) Size() int { return len(f.members) + 1 }
