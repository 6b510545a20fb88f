package fleet

import (
	"maps"
	"slices"
	"time"

	"monsoondale/core"
)

const (
	// StoreWatchers is the number of instances that watch the store. It is fixed, so that the calls to the store do not
	// grow with the fleet, and above one because a watch may stall and an instance may lose its connection to the
	// store.
	StoreWatchers = 3
	// WatchPeriod is the time after which a watch is renewed, because it may have stalled. The watching instances renew
	// theirs at staggered times, one in each third of the period.
	WatchPeriod = StoreWatchers * 400 * time.Millisecond
	// minWatch is the shortest duration of a watch, unless it is to show whether the store answers.
	minWatch = WatchPeriod / 6
	// probeWatch is the duration of a watch that is to show whether the store answers.
	probeWatch = time.Millisecond
	// answerSlack is how late the store may answer without being taken for silent.
	answerSlack = 300 * time.Millisecond
	// A claim of another instance to watch the store counts until claimFactor times the time in which its next message was
	// due has passed, but at least minClaimValidity. That is less than Validity, as a claim that is missed costs only calls.
	claimFactor      = 3
	minClaimValidity = 400 * time.Millisecond
	// takeOverDelay is the time in which an instance that takes over the watch can show that it reads the store, beside the
	// time until messages are sent. takeOverFactor is how many times as many others try when it has passed.
	takeOverDelay  = 100 * time.Millisecond
	takeOverFactor = 4
)

// Claim is the proof that an instance reads a collection of the store: its calls are answered, the latest one in time. An
// instance that has not read the store since its start has none.
type Claim struct {
	until time.Time
}

// Answer records an answer of the store, after which the next call is sent within pause.
func (c *Claim) Answer(now time.Time, pause time.Duration) { c.until = now.Add(pause + answerSlack) }

// Call records a call that the store is to answer within wait. It does not restore a claim that has lapsed.
func (c *Claim) Call(now time.Time, wait time.Duration) {
	if c.Holds(now) {
		c.until = now.Add(wait + answerSlack)
	}
}

// Drop ends the claim until the next answer.
func (c *Claim) Drop() { c.until = time.Time{} }

// Holds reports whether the store has answered and no answer is overdue.
func (c *Claim) Holds(now time.Time) bool { return now.Before(c.until) }

// WatchDuration returns the duration of the next watch of a collection by the instance with an index of WatcherIndex: until
// its next renewal time. Renewal times are multiples of WatchPeriod since the Unix epoch, plus an offset that depends on the
// index. Without a claim, the store is asked to answer at once.
func WatchDuration(now time.Time, index int, claimed bool) time.Duration {
	if !claimed {
		return probeWatch
	}
	offset := WatchPeriod / StoreWatchers * time.Duration(max(index, 0))
	d := offset - time.Duration(now.UnixNano())%WatchPeriod
	for d < minWatch {
		d += WatchPeriod
	}
	return d
}

// claims reports whether an instance is heard to watch the store.
func (e *member) claims(now time.Time) bool {
	return e.Watching && !e.Leaving && !e.lastHeard.IsZero() && now.Sub(e.lastHeard) <= claimValidity(e.Every)
}

// claimValidity returns how long after a message a claim in it counts.
func claimValidity(every time.Duration) time.Duration {
	return max(claimFactor*min(max(every, 0), maxPromise), minClaimValidity)
}

// claimants returns the other instances that are heard to watch the store.
func (f *Fleet) claimants(now time.Time) map[core.InstanceID]bool {
	names := map[core.InstanceID]bool{}
	for name, e := range f.members {
		if e.claims(now) {
			names[name] = true
		}
	}
	if f.Flat() {
		return names
	}
	for _, c := range f.centres {
		var last *summary
		for _, s := range c.byRelay {
			if now.Sub(s.at) <= claimValidity(s.Every+f.Interval()) && (last == nil || s.at.After(last.at)) {
				last = s
			}
		}
		if last != nil {
			for _, name := range last.Watchers {
				names[name] = true
			}
		}
	}
	delete(names, f.o.Self.Name)
	return names
}

// Watchers returns the other instances that are heard to watch the store, in order.
func (f *Fleet) Watchers(now time.Time) []core.InstanceID {
	return slices.Sorted(maps.Keys(f.claimants(now)))
}

// WatcherIndex decides whether this instance watches the store for all, and returns its position among those that do, or -1.
// claimed reports whether it reads the store. The first one that does also records what must outlast all processes.
//
// An instance gives its place up only to others that have shown that they read the store. Fewer than StoreWatchers of these
// are joined by the first instances by name that may be able to; while they do not show it, more and more of the others try.
func (f *Fleet) WatcherIndex(now time.Time, claimed bool) int {
	claimants := f.claimants(now)
	preceding := 0
	for name := range claimants {
		if name < f.o.Self.Name {
			preceding++
		}
	}
	vacant := StoreWatchers - len(claimants)
	switch {
	case vacant <= 0:
		f.vacantSince = time.Time{}
		f.watches = f.watches && claimed && preceding < StoreWatchers
	case !f.watches && f.listened(now):
		if f.vacantSince.IsZero() {
			f.vacantSince = now
		}
		f.watches = f.candidateRank(now, claimants) < f.candidates(vacant, now.Sub(f.vacantSince))
	}
	if !f.watches {
		return -1
	}
	return min(preceding, StoreWatchers-1)
}

// listened reports whether this instance has had the time to hear who watches the store.
func (f *Fleet) listened(now time.Time) bool {
	return !f.listeningSince.IsZero() && now.Sub(f.listeningSince) >= takeOverDelay+f.Interval()
}

// candidates returns how many instances try to take over some places that have been vacant for a time.
func (f *Fleet) candidates(vacant int, since time.Duration) int {
	step := takeOverDelay + f.Interval()
	if !f.Flat() {
		step += f.SummaryInterval()
	}
	n := vacant
	for ; since >= step && n < len(f.members); since -= step {
		n *= takeOverFactor
	}
	return n
}

// candidateRank returns the number of other instances before this one by name that may be able to take over a place.
func (f *Fleet) candidateRank(now time.Time, claimants map[core.InstanceID]bool) int {
	excluded := map[core.InstanceID]bool{}
	for id, c := range f.centres {
		if s := f.heard(now, c); s != nil {
			for _, name := range s.Silent {
				excluded[name] = true
			}
		} else if id != f.o.Self.Centre {
			// no instance of this data centre is heard
			for name, e := range f.members {
				excluded[name] = excluded[name] || !f.local(e) && e.Centre == id
			}
		}
	}
	rank := 0
	for name, e := range f.members {
		if name >= f.o.Self.Name || claimants[name] || excluded[name] || e.Leaving || e.Blind {
			continue
		}
		if e.heard(now) || !f.local(e) {
			rank++
		}
	}
	return rank
}

// ownClaimants returns the first instances by name that watch the store, of those of this data centre, this one included if
// claimed is set.
func (f *Fleet) ownClaimants(now time.Time, claimed bool) []core.InstanceID {
	var names []core.InstanceID
	if claimed {
		names = append(names, f.o.Self.Name)
	}
	for name, e := range f.members {
		if e.Centre == f.o.Self.Centre && e.claims(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), StoreWatchers)]
}
