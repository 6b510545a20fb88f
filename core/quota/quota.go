// Package quota keeps the use of each workspace within its quota on all instances together, without a call to another
// instance on a request's path. A quota of a rate and a burst allows, in any window, the rate times the window and the
// burst. Each instance counts its own use at once and that of the others when their counters arrive. While an instance
// cannot hear some of the others, it leaves them their equal part of what is left.
package quota

import (
	"time"

	"monsoondale/core"
	"monsoondale/core/route"
)

// slices is the number of parts of a window that are counted apart; use leaves the window with its part.
const slices = 32

// Usage is units by workspace.
type Usage map[core.WorkspaceID]float64

// Once a quota has been exhausted, and until less urgent requests have not been refused for a window, their use in
// paceSlices slices is held to the part of the quota for these, while less than paceBelow of it is left. Otherwise a
// workspace that asks for too much uses its quota up at once again and again, and is then refused everything, urgent or
// not, until that use leaves the window.
const (
	paceBelow  = 0.6
	paceSlices = 4
	// smallShare is the part of the mean cost of a request up to which one is not held to that: it takes little from
	// others, and is worth as much to its caller.
	smallShare = 0.25
	// meanWeight is the weight of the newest request in the mean cost; about the last 100 count.
	meanWeight = 0.01
	// paceShare is the part of the rate that they may bring the use to, so that some is left for bursts of urgent ones.
	paceShare = 0.95
)

// Report is what an instance tells the others.
type Report struct {
	Start time.Time // of its process
	Used  Usage     // by the instance itself since its start
	Total Usage     // by all instances in the window, as far as it knows
}

// Options configures a Ledger.
type Options struct {
	// Window is the span in which use is counted.
	Window time.Duration
	// Start is the time at which this process started. It learns of use before that from instances that are older, or
	// from a Record. Until then, that use counts as the whole quota at first and less and less until it has left the
	// window.
	Start time.Time
}

// account is the use of one workspace. Slices are numbered by time.
type account struct {
	quota route.Quota
	// ours is the use of this instance and those that it hears since the last split; before is older use.
	ours, before [slices + 1]float64
	newest       int64   // number of the newest slice
	mean         float64 // units of a request that is within the quota
	// exhausted is when a request was last refused.
	exhausted time.Time
	// promised is the time up to which requests that were refused here have been told to come back.
	promised time.Time
	used     float64 // by this instance since it started
}

type peer struct {
	Report
	at time.Time
}

// reportValidity is how long another instance's total counts after it arrived.
const reportValidity = time.Second

// Ledger holds the accounts of all workspaces. It is not safe for concurrent use.
type Ledger struct {
	o        Options
	accounts map[core.WorkspaceID]*account
	peers    map[core.InstanceID]*peer
	share    float64 // part of what is left that may be used here
	restored bool    // use before the start is known
}

// New returns an empty ledger that may use the whole of each quota.
func New(o Options) *Ledger {
	return &Ledger{o: o, accounts: map[core.WorkspaceID]*account{}, peers: map[core.InstanceID]*peer{}, share: 1}
}

// Configure puts the quotas of a configuration in force.
func (l *Ledger) Configure(workspaces []route.Workspace) {
	seen := make(map[core.WorkspaceID]bool, len(workspaces))
	for _, w := range workspaces {
		seen[w.ID] = true
		if l.accounts[w.ID] == nil {
			l.accounts[w.ID] = &account{}
		}
		l.accounts[w.ID].quota = w.Quota
	}
	for id := range l.accounts {
		if !seen[id] {
			delete(l.accounts, id)
		}
	}
}

func (l *Ledger) number(t time.Time) int64 { return t.UnixNano() / int64(l.o.Window/slices) }

// advance drops the slices that have left the window.
func (a *account) advance(n int64) {
	if n-a.newest > slices {
		a.ours, a.before = [slices + 1]float64{}, [slices + 1]float64{}
		a.newest = n
	}
	for a.newest < n {
		a.newest++
		i := a.newest % (slices + 1)
		a.ours[i], a.before[i] = 0, 0
	}
}

// recent returns the use in the newest slices.
func (a *account) recent(n int64) float64 {
	total := 0.0
	for i := n - paceSlices + 1; i <= n; i++ {
		k := i % (slices + 1)
		total += a.ours[k] + a.before[k]
	}
	return total
}

func sum(s *[slices + 1]float64) float64 {
	total := 0.0
	for _, v := range s {
		total += v
	}
	return total
}

// limit returns the units that may be used in a window.
func (l *Ledger) limit(q route.Quota) float64 { return q.Rate*l.o.Window.Seconds() + q.Burst }

// SetShare sets the part of each quota that may be used here and by the instances heard: the rest belongs to instances
// that cannot be heard. All use so far is known to both sides.
func (l *Ledger) SetShare(share float64) {
	if share < l.share {
		for _, a := range l.accounts {
			for i, v := range a.ours {
				a.before[i] += v
				a.ours[i] = 0
			}
		}
	}
	l.share = share
}

// Take reports whether a request of the given units is within the quota and counts it if so. Otherwise it returns the
// time after which it is expected to be, behind those that were refused before. keep is the part of the quota, from 0 to
// 1, that is left to more urgent requests once the quota has been exhausted. Workspaces without a quota are not limited.
func (l *Ledger) Take(now time.Time, id core.WorkspaceID, units, keep float64) (time.Duration, bool) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 {
		return 0, true
	}
	n := l.number(now)
	a.advance(n)
	limit := l.limit(a.quota)
	told, oldest := l.told(now, id)
	unknown := 0.0
	if age := now.Sub(oldest).Seconds() / l.o.Window.Seconds(); age < 1 && !l.restored {
		unknown = limit * (1 - age*age)
	}
	before, ours := sum(&a.before), sum(&a.ours)
	left := l.share*(limit-max(before, unknown)) - ours
	if told > before+ours {
		left = min(left, l.share*(limit-told))
	}
	if units > left {
		a.exhausted = now
		return l.promise(now, a, units, l.wait(a, units-left)), false
	}
	a.mean += meanWeight * (units - a.mean)
	if mine := l.share * limit; keep > 0 && units > smallShare*a.mean && now.Sub(a.exhausted) < l.o.Window {
		switch kept := keep * mine; {
		case units > left-kept:
			a.exhausted = now
			return l.promise(now, a, units, l.wait(a, units+kept-left)), false
		case left < paceBelow*mine && a.recent(n)+units > paceShare*mine*paceSlices/slices:
			a.exhausted = now
			return l.promise(now, a, units, l.o.Window/slices), false
		}
	}
	a.ours[n%(slices+1)] += units
	a.used += units
	return 0, true
}

// promise returns when a refused request may come back: when enough use has left the window, and not before the
// requests that were refused here earlier have had this instance's part of the rate. Otherwise all come back at once, and
// most are refused again.
func (l *Ledger) promise(now time.Time, a *account, units float64, wait time.Duration) time.Duration {
	rate := l.share * a.quota.Rate / float64(len(l.peers)+1)
	if a.promised.Before(now) {
		a.promised = now
	}
	a.promised = a.promised.Add(time.Duration(units / rate * float64(time.Second)))
	if last := now.Add(l.o.Window); a.promised.After(last) {
		a.promised = last
	}
	return max(wait, a.promised.Sub(now))
}

// told returns the largest use in the window that another instance reports, and the time since which use is known.
func (l *Ledger) told(now time.Time, id core.WorkspaceID) (float64, time.Time) {
	most, oldest := 0.0, l.o.Start
	for _, p := range l.peers {
		if now.Sub(p.at) > reportValidity {
			continue
		}
		most = max(most, p.Total[id])
		if p.Start.Before(oldest) {
			oldest = p.Start
		}
	}
	return most, oldest
}

// wait returns the time after which enough use has left the window.
func (l *Ledger) wait(a *account, missing float64) time.Duration {
	part := l.o.Window / slices
	for i := int64(1); i <= slices; i++ {
		k := (a.newest + i) % (slices + 1) // the oldest first
		if missing -= a.ours[k] + l.share*a.before[k]; missing <= 0 {
			return time.Duration(i) * part
		}
	}
	return l.o.Window
}

// Refund gives back the units of a request that did not run, which were taken at the given time.
func (l *Ledger) Refund(now, taken time.Time, id core.WorkspaceID, units float64) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 {
		return
	}
	a.advance(l.number(now))
	a.used -= units
	if n := l.number(taken); a.newest-n <= slices {
		a.ours[n%(slices+1)] -= units
	}
}

// Move counts units that were taken at one time as used at a later one, when the request is sent.
func (l *Ledger) Move(taken, sent time.Time, id core.WorkspaceID, units float64) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 {
		return
	}
	to := l.number(sent)
	a.advance(to)
	from := l.number(taken)
	if a.newest-from <= slices {
		a.ours[from%(slices+1)] -= units
	}
	a.ours[to%(slices+1)] += units
}

// Report returns what this instance tells the others.
func (l *Ledger) Report(now time.Time) Report {
	r := Report{Start: l.o.Start, Used: make(Usage, len(l.accounts)), Total: make(Usage, len(l.accounts))}
	n := l.number(now)
	for id, a := range l.accounts {
		a.advance(n)
		if a.used != 0 {
			r.Used[id] = a.used
		}
		if t := sum(&a.ours) + sum(&a.before); t > 0 {
			r.Total[id] = t
		}
	}
	return r
}

// ApplyReport counts what another instance has used since its last report. What it used before this process started is only
// known as part of its total.
func (l *Ledger) ApplyReport(now time.Time, from core.InstanceID, r Report) {
	p := l.peers[from]
	var known Usage
	switch {
	case p == nil && r.Start.Before(l.o.Start):
		known = r.Used
	case p == nil:
	case r.Start.Before(p.Start):
		return // a late message of an earlier process
	case r.Start.Equal(p.Start):
		known = p.Used
	}
	n := l.number(now)
	for id, v := range r.Used {
		if a := l.accounts[id]; a != nil {
			a.advance(n)
			a.ours[n%(slices+1)] += v - known[id]
		}
	}
	l.peers[from] = &peer{Report: r, at: now}
}

// Record is the use in a window as of a time, for processes that start when no instance is left to tell them. Slices
// are in order, the newest last.
type Record struct {
	At     time.Time
	Slices map[core.WorkspaceID][]float64
}

// Complete reports whether the use of the whole window is known, which a record must hold.
func (l *Ledger) Complete(now time.Time) bool { return l.restored || now.Sub(l.o.Start) >= l.o.Window }

// Record returns the use of all instances in the window.
func (l *Ledger) Record(now time.Time) Record {
	r := Record{At: now, Slices: make(map[core.WorkspaceID][]float64, len(l.accounts))}
	n := l.number(now)
	for id, a := range l.accounts {
		a.advance(n)
		s := make([]float64, 0, slices+1)
		for i := n - slices; i <= n; i++ {
			k := i % (slices + 1)
			s = append(s, a.ours[k]+a.before[k])
		}
		if sum((*[slices + 1]float64)(s)) > 0 {
			r.Slices[id] = s
		}
	}
	return r
}

// gap is the span after a record in which use went on unrecorded: records are written about once a second.
const gap = time.Second

// Restore takes over a record. An empty one says that nothing was used before. What was used between the record and
// the end of the processes is taken to be as much as in the time before the record.
func (l *Ledger) Restore(now time.Time, r Record) {
	if l.restored {
		return
	}
	l.restored = true
	if r.At.After(now) {
		r.At = now // clocks differ a little
	}
	n, at := l.number(now), l.number(r.At)
	part := l.o.Window / slices
	for id, s := range r.Slices {
		a := l.accounts[id]
		if a == nil || len(s) != slices+1 {
			continue
		}
		a.advance(n)
		put := func(number int64, v float64) {
			if n-number <= slices && number <= n {
				a.before[number%(slices+1)] += v
			}
		}
		for i, v := range s {
			put(at-slices+int64(i), v)
		}
		recent := int64(gap / part)
		for i := int64(1); i <= recent; i++ {
			put(at+i, s[slices-i])
		}
	}
}
