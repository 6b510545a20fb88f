// Package quota enforces the quota of each workspace across all instances, without a call to another instance while a
// request is served. A quota has a rate and a burst; in any window, the usage may reach the rate times the window plus
// the burst. Each instance counts its own usage immediately and that of the others when their reports arrive. While it
// receives no reports from some instances, it uses only a share of the remaining quota, and leaves the rest to them;
// see SetShare.
package quota

import (
	"time"

	"monsoondale/core"
	"monsoondale/core/route"
)

// sliceCount is the number of slices of a window. Usage is counted by slice and leaves the window with its slice. The
// rings of an account have one more slice, the one that is being filled.
const sliceCount = 32

// Usage is a number of units by workspace.
type Usage map[core.WorkspaceID]float64

// Less urgent requests, which have a reserve above 0, are throttled if a request has been refused within the last
// window and less than throttleBelow of the quota is left: they are refused if they would raise the usage in the last
// throttleSlices slices above throttleRateShare of the part of the quota for these slices. Otherwise, a workspace that
// exceeds its quota would use all of it at once again and again, and then have every request refused, urgent or not,
// until that usage leaves the window.
const (
	throttleBelow  = 0.6
	throttleSlices = 4
	// smallRequestShare is the part of meanCost up to which a request is exempt from throttling and from the reserve of
	// Take. A small request takes few units from others, and is worth as much to its caller as a large one.
	smallRequestShare = 0.25
	// meanCostWeight is the weight of the newest request in meanCost, the mean units of about 100 requests that fit the
	// remaining quota, including those refused because of the reserve or the throttling. The mean starts at 0.
	meanCostWeight = 0.01
	// throttleRateShare leaves a part of the rate and of the burst for bursts of urgent requests.
	throttleRateShare = 0.95
)

// Report is the usage that an instance sends to the others.
type Report struct {
	Start time.Time // start of the sender's process
	Used  Usage     // by the sender, or its data centre as far as it knows, since its start
	Total Usage     // by all instances in the window, as far as the sender knows
	// Local means that the sender is in the data centre of this instance.
	Local bool
	// Validity is the time for which Total counts, but at least reportValidity.
	Validity time.Duration
	// Age is the time since which the report is true on average.
	Age time.Duration
}

// maxUsageAge bounds the time by which usage is assumed to be older than the report that states it.
const maxUsageAge = time.Second

// usedAt returns the mean time at which the units were used that a report states beyond the previous one, which arrived at a
// time. If all of it counted as used on arrival, it would leave the window too late.
func (r *Report) usedAt(now, previous time.Time) time.Time {
	age := r.Age
	if !previous.IsZero() {
		age += now.Sub(previous) / 2
	}
	return now.Add(-min(age, maxUsageAge))
}

// totalValid reports whether the total of a report that arrived at a time still counts.
func (r *Report) totalValid(now, at time.Time) bool {
	return now.Sub(at) <= max(r.Validity, reportValidity)
}

// Options configures a Ledger.
type Options struct {
	// Window is the span in which usage is counted.
	Window time.Duration
	// Start is the time at which this process started. Usage before that is learned from instances that started
	// earlier, or from a Record. Until it is known, the usage before Start is assumed to be the whole quota at first, and
	// to fall to zero within a window.
	Start time.Time
}

// account holds the usage of one workspace in rings of slices. Slices are numbered by time.
type account struct {
	quota route.Quota
	// sinceShareLowered is the usage of this instance and the instances it receives reports from since SetShare last
	// lowered the share, or since the start; beforeShareLowered is older usage.
	sinceShareLowered, beforeShareLowered [sliceCount + 1]float64
	newestSlice                           int64   // number of the newest slice
	meanCost                              float64 // see meanCostWeight
	// countedSince is the time of the first request since the workspace has had a quota. Earlier ones took nothing. Zero if there was none.
	countedSince time.Time
	// lastRefusal is the time at which a request was last refused.
	lastRefusal time.Time
	// nextRetryAt is the time after which the next refused request is told to retry: until then, the retries of those
	// refused earlier take this instance's part of the rate.
	nextRetryAt time.Time
	used        float64 // units taken by this instance since it started
	centreUsed  float64 // units taken in this instance's data centre since then, as far as known
}

// peer is the last report of another instance.
type peer struct {
	Report
	at     time.Time // of arrival
	before Report    // the last one of the process before
}

// reportValidity is how long the total of another instance's report is used at least.
const reportValidity = time.Second

// Ledger holds the accounts of all workspaces. It is not safe for concurrent use.
type Ledger struct {
	o               Options
	accounts        map[core.WorkspaceID]*account
	peers           map[core.InstanceID]*peer
	centres         map[core.DataCentre]*centre // the other ones, whose usage is reported in sums
	share           float64                     // see SetShare
	instances       int                         // see SetInstances
	priorUsageKnown bool                        // Restore has been called, possibly with an empty record
}

// New returns an empty ledger with a share of 1.
func New(o Options) *Ledger {
	return &Ledger{o: o, accounts: map[core.WorkspaceID]*account{}, peers: map[core.InstanceID]*peer{}, centres: map[core.DataCentre]*centre{}, share: 1}
}

// Configure replaces the quotas. The usage of workspaces that remain is kept.
func (l *Ledger) Configure(workspaces []route.Workspace) {
	seen := make(map[core.WorkspaceID]bool, len(workspaces))
	for _, w := range workspaces {
		seen[w.ID] = true
		if l.accounts[w.ID] == nil {
			l.accounts[w.ID] = &account{}
		}
		a := l.accounts[w.ID]
		if a.quota.Rate <= 0 {
			a.countedSince = time.Time{}
		}
		a.quota = w.Quota
	}
	for id := range l.accounts {
		if !seen[id] {
			delete(l.accounts, id)
		}
	}
}

// maxExpired bounds the part of a quota by which expired reduces the usage: in a slice that has more usage, it may all lie at
// the end.
const maxExpired = 0.05

// expired estimates how much of the usage in the oldest slice has left the window, from the time since the start of the newest
// slice. limit is that of the window.
func (l *Ledger) expired(now time.Time, a *account, limit float64) float64 {
	sliceLength := int64(l.o.Window / sliceCount)
	elapsed := float64(now.UnixNano()%sliceLength) / float64(sliceLength)
	oldest := a.sinceShareLowered[(a.newestSlice+1)%(sliceCount+1)]
	return elapsed * min(max(oldest, 0), maxExpired*limit)
}

// sliceNumber returns the number of the slice that contains t.
func (l *Ledger) sliceNumber(t time.Time) int64 { return t.UnixNano() / int64(l.o.Window/sliceCount) }

// advance makes slice n the newest one and clears the slices that have left the window.
func (a *account) advance(n int64) {
	if n-a.newestSlice > sliceCount {
		a.sinceShareLowered, a.beforeShareLowered = [sliceCount + 1]float64{}, [sliceCount + 1]float64{}
		a.newestSlice = n
	}
	for a.newestSlice < n {
		a.newestSlice++
		i := a.newestSlice % (sliceCount + 1)
		a.sinceShareLowered[i], a.beforeShareLowered[i] = 0, 0
	}
}

// add counts units as used in slice n. It does nothing if the slice has left the window.
func (a *account) add(n int64, units float64) {
	if a.newestSlice-n <= sliceCount {
		a.sinceShareLowered[n%(sliceCount+1)] += units
	}
}

// recentUsage returns the usage in the last throttleSlices slices.
func (a *account) recentUsage(n int64) float64 {
	total := 0.0
	for i := n - throttleSlices + 1; i <= n; i++ {
		k := i % (sliceCount + 1)
		total += a.sinceShareLowered[k] + a.beforeShareLowered[k]
	}
	return total
}

// sum returns the usage in all slices.
func sum(s *[sliceCount + 1]float64) float64 {
	total := 0.0
	for _, v := range s {
		total += v
	}
	return total
}

// limit returns the units that a quota allows in a window.
func (l *Ledger) limit(q route.Quota) float64 { return q.Rate*l.o.Window.Seconds() + q.Burst }

// SetShare sets the part of each quota that this instance and those it receives reports from may use; the rest is left
// to the other instances. When the share decreases, usage up to now is assumed to be known to the instances on all
// sides of a partition, and counts against the whole quota instead of the share. The gateway sets the share to the
// number of reachable instances divided by that of all instances.
func (l *Ledger) SetShare(share float64) {
	if share < l.share {
		for _, a := range l.accounts {
			for i, v := range a.sinceShareLowered {
				a.beforeShareLowered[i] += v
				a.sinceShareLowered[i] = 0
			}
		}
	}
	l.share = share
}

// SetInstances sets the number of instances among which the rate of a quota is divided for the retries of refused requests.
func (l *Ledger) SetInstances(n int) { l.instances = n }

// Take reports whether a request of the given units is within the quota, and counts it if so. Otherwise it returns how
// long to wait until a retry is expected to succeed; requests that were refused earlier are to retry first. reserve is
// the part of the quota, from 0 to 1, that is left for more urgent requests for a window after a request has been
// refused. Workspaces without a quota have no limit.
func (l *Ledger) Take(now time.Time, id core.WorkspaceID, units, reserve float64) (time.Duration, bool) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 {
		return 0, true
	}
	if a.countedSince.IsZero() {
		a.countedSince = now
	}
	n := l.sliceNumber(now)
	a.advance(n)
	limit := l.limit(a.quota)
	reported, knownSince := l.reportedUsage(now, id)
	unknownUsage := 0.0
	if elapsedShare := now.Sub(knownSince).Seconds() / l.o.Window.Seconds(); elapsedShare < 1 && !l.priorUsageKnown {
		unknownUsage = limit * (1 - elapsedShare*elapsedShare)
	}
	usedBefore, usedSince := sum(&a.beforeShareLowered), sum(&a.sinceShareLowered)-l.expired(now, a, limit)
	remaining := l.share*(limit-max(usedBefore, unknownUsage)) - usedSince
	if reported > usedBefore+usedSince { // another instance knows of more usage
		remaining = min(remaining, l.share*(limit-reported))
	}
	if units > remaining {
		a.lastRefusal = now
		return l.scheduleRetry(now, a, units, l.waitFor(a, units-remaining)), false
	}
	a.meanCost += meanCostWeight * (units - a.meanCost)
	if allowed := l.share * limit; reserve > 0 && units > smallRequestShare*a.meanCost && now.Sub(a.lastRefusal) < l.o.Window {
		switch reserved := reserve * allowed; {
		case units > remaining-reserved:
			a.lastRefusal = now
			return l.scheduleRetry(now, a, units, l.waitFor(a, units+reserved-remaining)), false
		case remaining < throttleBelow*allowed && a.recentUsage(n)+units > throttleRateShare*allowed*throttleSlices/sliceCount:
			a.lastRefusal = now
			return l.scheduleRetry(now, a, units, l.o.Window/sliceCount), false
		}
	}
	a.add(n, units)
	a.used += units
	a.centreUsed += units
	return 0, true
}

// Usage returns the units that all instances have used in the window, as far as this one knows, and those that the quota allows
// these instances; both are 0 if the workspace has no quota.
func (l *Ledger) Usage(now time.Time, id core.WorkspaceID) (used, allowed float64) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 {
		return 0, 0
	}
	a.advance(l.sliceNumber(now))
	reported, _ := l.reportedUsage(now, id)
	limit := l.limit(a.quota)
	return max(sum(&a.beforeShareLowered)+sum(&a.sinceShareLowered)-l.expired(now, a, limit), reported), l.share * limit
}

// scheduleRetry returns the time after which a refused request may retry: once enough usage has left the window, but not
// before the requests that were refused here earlier. Their retries are spaced so that the requests use this instance's
// part of the rate; otherwise all would retry at once, and most would be refused again. The rate is divided among all
// instances that may be running or have ever sent a report. No retry is delayed by more than a window for this.
func (l *Ledger) scheduleRetry(now time.Time, a *account, units float64, wait time.Duration) time.Duration {
	rate := l.share * a.quota.Rate / float64(max(l.instances, len(l.peers)+1))
	if a.nextRetryAt.Before(now) {
		a.nextRetryAt = now
	}
	a.nextRetryAt = a.nextRetryAt.Add(time.Duration(units / rate * float64(time.Second)))
	if last := now.Add(l.o.Window); a.nextRetryAt.After(last) {
		a.nextRetryAt = last
	}
	return max(wait, a.nextRetryAt.Sub(now))
}

// reportedUsage returns the highest usage in the window that another instance reports, and the time since which all
// usage is known: the start of the oldest process among this one and those with a valid report.
func (l *Ledger) reportedUsage(now time.Time, id core.WorkspaceID) (float64, time.Time) {
	highest, knownSince := 0.0, l.o.Start
	for p := range l.reports() {
		if !p.totalValid(now, p.at) {
			continue
		}
		highest = max(highest, p.Total[id])
		if p.Start.Before(knownSince) {
			knownSince = p.Start
		}
	}
	return highest, knownSince
}

// waitFor returns the time after which the missing units have left the window.
func (l *Ledger) waitFor(a *account, missing float64) time.Duration {
	sliceLength := l.o.Window / sliceCount
	for i := int64(1); i <= sliceCount; i++ {
		k := (a.newestSlice + i) % (sliceCount + 1) // the oldest first
		if missing -= a.sinceShareLowered[k] + l.share*a.beforeShareLowered[k]; missing <= 0 {
			return time.Duration(i) * sliceLength
		}
	}
	return l.o.Window
}

// counted reports whether a request that asked for units at a time took them.
func (a *account) counted(taken time.Time) bool {
	return !a.countedSince.IsZero() && !taken.Before(a.countedSince)
}

// Refund removes the units of a request that did not run, which were taken at the given time, from the usage.
func (l *Ledger) Refund(now, taken time.Time, id core.WorkspaceID, units float64) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 || !a.counted(taken) {
		return
	}
	a.advance(l.sliceNumber(now))
	a.used -= units
	a.centreUsed -= units
	a.add(l.sliceNumber(taken), -units)
}

// MoveUsage counts units that were taken at one time as used at a later time, when the request is sent. Those of a request that came
// before the workspace had a quota are taken then.
func (l *Ledger) MoveUsage(taken, sent time.Time, id core.WorkspaceID, units float64) {
	a := l.accounts[id]
	if a == nil || a.quota.Rate <= 0 {
		return
	}
	to := l.sliceNumber(sent)
	a.advance(to)
	if a.counted(taken) {
		a.add(l.sliceNumber(taken), -units)
	} else {
		a.used += units
		a.centreUsed += units
		if a.countedSince.IsZero() {
			a.countedSince = sent
		}
	}
	a.add(to, units)
}

// Report returns the report of this instance for the others.
func (l *Ledger) Report(now time.Time) Report {
	r := Report{Start: l.o.Start, Used: make(Usage, len(l.accounts)), Total: make(Usage, len(l.accounts))}
	n := l.sliceNumber(now)
	for id, a := range l.accounts {
		a.advance(n)
		if a.used != 0 {
			r.Used[id] = a.used
		}
		if t := sum(&a.sinceShareLowered) + sum(&a.beforeShareLowered); t > 0 {
			r.Total[id] = t
		}
	}
	return r
}

// ApplyReport counts what another instance has used since its last report. The first report of an instance that started
// before this process adds nothing: its usage up to then counts only as part of its total. A report with an earlier start than the
// last one is late, unless that one no longer counts: the instance has then restarted after its clock was set back.
func (l *Ledger) ApplyReport(now time.Time, from core.InstanceID, r Report) {
	p := l.peers[from]
	var counted Usage // the part of r.Used that must not be counted now
	switch {
	case p == nil && r.Start.Before(l.o.Start):
		counted = r.Used
	case p == nil:
		// A process that started after this one: all of its usage is new.
	case r.Start.Equal(p.Start):
		counted = p.Used // the same process: counted with its earlier reports
	case r.Start.Before(p.Start) && p.totalValid(now, p.at):
		return
	case r.Start.Equal(p.before.Start):
		counted = p.before.Used
	}
	var previous time.Time
	var before Report
	if p != nil {
		previous, before = p.at, p.before
		if !r.Start.Equal(p.Start) {
			before = p.Report
		}
	}
	n, used := l.sliceNumber(now), l.sliceNumber(r.usedAt(now, previous))
	for id, v := range r.Used {
		if a := l.accounts[id]; a != nil {
			a.advance(n)
			a.add(used, v-counted[id])
			if r.Local {
				a.centreUsed += v - counted[id]
			}
		}
	}
	l.peers[from] = &peer{Report: r, at: now, before: before}
}

// Record is a stored copy of the usage in a window, for processes that start when no other instance is running. The
// slices of a workspace are in order of time, the newest last.
type Record struct {
	At     time.Time
	Slices map[core.WorkspaceID][]float64
}

// Complete reports whether the usage in the whole window is known. Only then may a record be stored.
func (l *Ledger) Complete(now time.Time) bool {
	return l.priorUsageKnown || now.Sub(l.o.Start) >= l.o.Window
}

// Record returns the usage of all instances in the window.
func (l *Ledger) Record(now time.Time) Record {
	r := Record{At: now, Slices: make(map[core.WorkspaceID][]float64, len(l.accounts))}
	n := l.sliceNumber(now)
	for id, a := range l.accounts {
		a.advance(n)
		s := make([]float64, 0, sliceCount+1)
		for i := n - sliceCount; i <= n; i++ {
			k := i % (sliceCount + 1)
			s = append(s, a.sinceShareLowered[k]+a.beforeShareLowered[k])
		}
		if sum((*[sliceCount + 1]float64)(s)) > 0 {
			r.Slices[id] = s
		}
	}
	return r
}

// unrecordedSpan is the assumed time between the last record and the moment at which all instances had stopped, as
// records are written about once a second.
const unrecordedSpan = time.Second

// Restore adds the usage of a record to the usage before SetShare last lowered the share. An empty record means that
// there was no usage before. The usage in the slices of unrecordedSpan, which follow the record, is assumed to be that
// of the last slices before the record, in reverse order. The newest slice of the record is left out there, as it is
// incomplete.
func (l *Ledger) Restore(now time.Time, r Record) {
	if l.priorUsageKnown {
		return
	}
	l.priorUsageKnown = true
	if r.At.After(now) {
		r.At = now // clocks may differ slightly
	}
	n, at := l.sliceNumber(now), l.sliceNumber(r.At)
	sliceLength := l.o.Window / sliceCount
	for id, s := range r.Slices {
		a := l.accounts[id]
		if a == nil || len(s) != sliceCount+1 {
			continue
		}
		a.advance(n)
		add := func(number int64, v float64) {
			if n-number <= sliceCount && number <= n {
				a.beforeShareLowered[number%(sliceCount+1)] += v
			}
		}
		for i, v := range s {
			add(at-sliceCount+int64(i), v)
		}
		recent := int64(unrecordedSpan / sliceLength)
		for i := int64(1); i <= recent; i++ {
			add(at+i, s[sliceCount-i])
		}
	}
}
