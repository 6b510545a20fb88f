package quarantine

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
)

const (
	// tells is how often news are told, as messages may be lost.
	tells = 5
	// maxReportBytes bounds the parts in a report, which is sent with others in a datagram.
	maxReportBytes = 16 << 10
	// maxReportEntries bounds the entries in a report.
	maxReportEntries = 16
	// reportDelay is the time that a report of a crash may take.
	reportDelay = time.Second
	// maxVersion bounds the versions that others may state, so that later ones can be represented.
	maxVersion = 1 << 50
	// partBytes is the size of a part in a report, in addition to that of its id.
	partBytes = 3
)

// Audience is who receives a report.
type Audience int

// Audiences.
const (
	// Near are the instances that hear this one itself.
	Near Audience = iota
	// Far are those of other data centres, which hear one instance for all of a data centre.
	Far
	audiences
)

// told counts how often something has been told to each audience.
type told [audiences]int

// Crash reports a crash of an endpoint.
type Crash struct {
	Process
	Ordinal int
	Prompts []CrashPrompt // of requests that were there
}

// CrashPrompt is a prompt in a report of a crash.
type CrashPrompt struct {
	Prompt
	Served []core.PartID // the shared parts that have been served before
}

// Report is what an instance tells others.
type Report struct {
	Crashes []Crash
	Entries []Entry
}

// Report returns what is to be told to an audience now.
func (l *Ledger) Report(now time.Time, to Audience) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) == 0 && len(l.entries) == 0 {
		return Report{}
	}
	l.expire(now)
	var r Report
	size := 0
	for _, c := range l.crashes {
		prompts := c.own
		if to == Far {
			prompts = append(prompts[:len(prompts):len(prompts)], c.near...)
		}
		if c.told[to] >= tells || len(prompts) == 0 {
			continue
		}
		out := Crash{Process: c.Process, Ordinal: c.ordinal}
		for _, p := range prompts {
			if n := promptBytes(&p); size == 0 || size+n <= maxReportBytes {
				size += n
				out.Prompts = append(out.Prompts, l.crashPrompt(p))
			}
		}
		if len(out.Prompts) > 0 {
			c.told[to]++
			r.Crashes = append(r.Crashes, out)
		}
	}
	r.Entries = l.reportEntries(now, to)
	return r
}

// promptBytes returns the size of a prompt in a report, in which served parts stand twice.
func promptBytes(p *Prompt) int {
	n := len(p.Own) + len(p.Model) + len(p.Service)
	for _, id := range p.Shared {
		n += 2 * (len(id) + partBytes)
	}
	return n
}

// reportEntries returns quarantined parts, all in turn, and those that have been released lately.
func (l *Ledger) reportEntries(now time.Time, to Audience) []Entry {
	var quarantined, released []*entry
	for _, e := range l.entries {
		switch {
		case e.Quarantined:
			quarantined = append(quarantined, e)
		case e.told[to] < tells:
			released = append(released, e)
		}
	}
	var out []Entry
	for _, e := range released[:min(len(released), maxReportEntries)] {
		e.told[to]++
		out = append(out, e.export(now))
	}
	slices.SortFunc(quarantined, func(a, b *entry) int { return int(b.Version - a.Version) })
	for i := range min(len(quarantined), maxReportEntries) {
		out = append(out, quarantined[(l.rotate+i)%len(quarantined)].export(now))
	}
	l.rotate += maxReportEntries
	return out
}

// crashPrompt returns a prompt as it is reported.
func (l *Ledger) crashPrompt(p Prompt) CrashPrompt {
	return CrashPrompt{p, lo.Filter(p.Shared, func(id core.PartID, _ int) bool { return l.served.Contains(p.part(id)) })}
}

// TakeUrgent reports whether there is something new that others should learn at once.
func (l *Ledger) TakeUrgent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	urgent := l.urgent
	l.urgent = false
	return urgent
}

// Apply applies the report of another instance. near means that it was told to its Near audience.
func (l *Ledger) Apply(now time.Time, r Report, near bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(r.Crashes) == 0 && len(r.Entries) == 0 {
		return
	}
	l.expire(now)
	for i := range r.Crashes {
		l.applyCrash(now, &r.Crashes[i], near)
	}
	for i := range r.Entries {
		l.applyEntry(now, &r.Entries[i], near)
	}
	if len(r.Crashes) > 0 {
		l.judge(now)
	}
	l.prune()
}

// applyCrash adds the evidence of another instance.
func (l *Ledger) applyCrash(now time.Time, r *Crash, near bool) {
	c := l.crash(now, crashID{r.Process, r.Ordinal})
	for i := range r.Prompts {
		p := r.Prompts[i].Prompt
		p.Shared = p.Shared[:min(len(p.Shared), maxPromptParts)]
		for _, id := range r.Prompts[i].Served {
			if !l.served.Contains(p.part(id)) {
				l.served.Add(p.part(id), struct{}{})
			}
		}
		l.implicate(c, &p, func(part Part) bool { return l.lately(now, part) })
		known := slices.ContainsFunc(c.near, func(q Prompt) bool { return q.Scope == p.Scope && q.Own == p.Own })
		if near && !known && len(c.near) < maxCrashPrompts {
			c.near = append(c.near, p)
			c.told[Far], l.urgent = 0, true
		}
	}
}

// lately reports whether a part has been released so lately that the crash of a report is likely to have been before.
func (l *Ledger) lately(now time.Time, part Part) bool {
	e := l.entries[part]
	return e != nil && !e.Quarantined && now.Sub(e.changed) < reportDelay
}

// applyEntry applies an entry of another instance. Of two entries with one version, a release counts: it is due to a request that
// was served.
func (l *Ledger) applyEntry(now time.Time, r *Entry, near bool) {
	e := l.entries[r.Part]
	if r.Version <= 0 || r.Version > maxVersion {
		return
	}
	l.clock = max(l.clock, r.Version)
	switch {
	case e == nil && r.Quarantined && r.Idle > forgetAfter:
		return
	case e != nil && r.Version < e.Version:
		e.told = told{} // the sender lacks this version
		return
	case e != nil && r.Version == e.Version && r.Quarantined == e.Quarantined:
		if at := now.Add(-r.Idle); at.After(e.asked) {
			e.asked = at
		}
		return
	case e != nil && r.Version == e.Version && r.Quarantined:
		return
	case (e == nil || !e.Quarantined) && r.Quarantined && r.Crashes < certainCrashes && l.served.Contains(r.Part):
		l.reject(now, r)
		return
	}
	if e == nil {
		e = l.entry(now, r.Part)
	}
	trials, quarantined := e.Trials, e.Quarantined
	if !r.Quarantined {
		l.clear(r.Part)
		l.served.Add(r.Part, struct{}{})
		e.fewest = 0
	}
	e.Entry, e.asked, e.changed, e.told = *r, now.Add(-r.Idle), now, told{tells, tells}
	if near {
		e.told[Far] = 0
	}
	if e.Quarantined && (!quarantined || e.Trials > trials) {
		e.scheduleTrial(now)
	}
	if e.Quarantined != quarantined || e.Trials != trials {
		l.conclude()
	}
	switch {
	case e.Quarantined && !quarantined:
		l.log.Info("part quarantined", "service", e.Service, "model", e.Model, "part", e.ID, "crashes", e.Crashes, "requests", e.Requests, "version", e.Version, "from", "another instance")
	case !e.Quarantined && quarantined:
		l.log.Info("part released", "service", e.Service, "model", e.Model, "part", e.ID, "reason", "another instance", "version", e.Version)
	}
}

// reject releases a part that another instance has quarantined without knowing that it has been served. Unlike after other releases,
// the crashes so far still count, as the part may have turned bad since.
func (l *Ledger) reject(now time.Time, r *Entry) {
	l.update(now, l.entry(now, r.Part))
	l.urgent = true
	l.log.Info("part released", "service", r.Service, "model", r.Model, "part", r.ID, "reason", "served before", "crashes", r.Crashes, "version", l.clock)
}
