package quarantine

import (
	"slices"
	"time"

	"monsoondale/core"
	"monsoondale/core/route"
)

const (
	// maxCrashes bounds the crashes that are kept, the newest ones.
	maxCrashes = 64
	// maxPromptParts bounds the parts of one prompt that a crash implicates, and maxCrashParts those of all prompts.
	maxPromptParts = 256
	maxCrashParts  = 512
	// maxCrashPrompts bounds the prompts of a crash that are told to others.
	maxCrashPrompts = 32
	// maxCountedRequests bounds the requests of a crash that are told apart.
	maxCountedRequests = 32
	// sameCrashTime is the time within which failures of requests at one process are due to the same crash. Entries of endpoints may
	// not tell two processes apart, which start seconds after a crash.
	sameCrashTime = 1500 * time.Millisecond
)

// Process is one start of an endpoint.
type Process struct {
	Service     route.Service
	Endpoint    core.EndpointID
	Incarnation int64 // 0 if unknown
}

// crashID identifies a crash in the whole fleet.
type crashID struct {
	Process
	ordinal int // of the crash, if the process seems to crash repeatedly
}

// crash is a crash of an endpoint.
type crash struct {
	crashID
	learned time.Time
	parts   map[Part]*evidence
	// requests are those that were at the endpoint, by their own parts.
	requests []core.PartID
	own      []Prompt // of requests of this instance
	near     []Prompt // of requests of other instances of the data centre
	told     told
}

// evidence is what a crash says about a part.
type evidence struct {
	requests []core.PartID // own parts of the requests
	// servedBefore is the number of requests of the service that had been served.
	servedBefore int
	cleared      bool // a request with the part has been served since
}

// RecordCrash records that an endpoint has crashed while a request was there whose response had not begun, or just had.
func (l *Ledger) RecordCrash(now time.Time, p Process, prompt *Prompt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	id := crashID{Process: p}
	for _, c := range l.crashes {
		if c.Process == p && c.ordinal >= id.ordinal {
			id.ordinal = c.ordinal
			if now.Sub(c.learned) > sameCrashTime {
				id.ordinal++
			}
		}
	}
	c := l.crash(now, id)
	sample := l.sample(prompt)
	l.implicate(c, &sample, func(Part) bool { return false })
	if len(sample.Shared) > 0 && len(c.own) < maxCrashPrompts {
		c.own = append(c.own, sample)
		c.told, l.urgent = told{}, true
	}
	l.judge(now)
}

// crash returns the crash with an id, which it adds if needed.
func (l *Ledger) crash(now time.Time, id crashID) *crash {
	for _, c := range l.crashes {
		if c.crashID == id {
			return c
		}
	}
	c := &crash{crashID: id, learned: now, parts: map[Part]*evidence{}}
	l.crashes = append(l.crashes, c)
	if n := len(l.crashes) - maxCrashes; n > 0 {
		l.crashes = slices.Delete(l.crashes, 0, n)
	}
	return c
}

// sample returns a prompt with at most maxPromptParts shared parts, of which those that other crashes implicate come first.
func (l *Ledger) sample(p *Prompt) Prompt {
	s := *p
	n := len(p.Shared)
	if n <= maxPromptParts {
		return s
	}
	var implicated, others []core.PartID
	for i := range n {
		id := p.Shared[(l.sampled+i)%n]
		if l.hasEvidence(p.part(id)) {
			implicated = append(implicated, id)
		} else {
			others = append(others, id)
		}
	}
	l.sampled += maxPromptParts
	s.Shared = append(implicated, others...)[:maxPromptParts]
	return s
}

// implicate records that a request was at the endpoint when it crashed. cleared tells for which parts that is out of date.
func (l *Ledger) implicate(c *crash, p *Prompt, cleared func(Part) bool) {
	if len(c.requests) >= maxCountedRequests && !slices.Contains(c.requests, p.Own) {
		return
	}
	c.requests = appendNew(c.requests, p.Own)
	for _, id := range p.Shared {
		part := p.part(id)
		v := c.parts[part]
		if v == nil {
			if len(c.parts) >= maxCrashParts {
				continue
			}
			l.changes++
			v = &evidence{cleared: cleared(part), servedBefore: l.servedRequests[part.Service]}
			c.parts[part] = v
		}
		v.requests = appendNew(v.requests, p.Own)
	}
}

// appendNew appends an id unless the list has it.
func appendNew(list []core.PartID, id core.PartID) []core.PartID {
	if slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}

// hasEvidence reports whether there is evidence against a part.
func (l *Ledger) hasEvidence(part Part) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool {
		v := c.parts[part]
		return v != nil && !v.cleared
	})
}

// clear discards the evidence against a part.
func (l *Ledger) clear(part Part) {
	for _, c := range l.crashes {
		if v := c.parts[part]; v != nil && !v.cleared {
			v.cleared = true
			l.changes++
		}
	}
}

// count is the evidence against a part.
type count struct {
	crashes  int       // that no quarantined part explains
	first    time.Time // when the first and the last of them were learned of
	last     time.Time
	others   int // requests of the service without the part that have been served since the first of them
	beside   int // requests that were at the endpoints, those with the part included
	requests map[core.PartID]bool
	served   bool // the part has been served before
}

// common reports whether the part is likely to have been beside another one: it has been served, or most of the requests under the
// crashes have it, several under each. An instance that has just started knows of nothing that has been served.
func (n count) common() bool {
	return n.served || len(n.requests) > n.crashes+1 && 2*len(n.requests) > n.beside
}

// tally sums up the evidence against each part. A crash that a quarantined part explains does not count against others, except for
// parts that have never been served and were under more crashes: the quarantined one may have been beside them by chance.
func (l *Ledger) tally() map[Part]count {
	all := map[Part]int{} // crashes, explained or not
	for _, c := range l.crashes {
		for part, v := range c.parts {
			if !v.cleared {
				all[part]++
			}
		}
	}
	var quarantined []*entry
	for _, e := range l.entries {
		if e.Quarantined {
			quarantined = append(quarantined, e)
		}
	}
	counts := map[Part]count{}
	for _, c := range l.crashes {
		explained := 0 // crashes under the strongest explanation; 0 if there is none
		for _, e := range quarantined {
			if c.parts[e.Part] != nil {
				explained = max(explained, e.Crashes, all[e.Part])
			}
		}
		for part, v := range c.parts {
			served := l.served.Contains(part)
			if v.cleared || all[part] <= explained || served && explained > 0 {
				continue
			}
			n, ok := counts[part]
			if !ok {
				n = count{served: served, first: c.learned, others: l.servedRequests[part.Service] - v.servedBefore, requests: map[core.PartID]bool{}}
			}
			n.crashes++
			n.beside += len(c.requests)
			n.last = c.learned
			for _, id := range v.requests {
				n.requests[id] = true
			}
			counts[part] = n
		}
	}
	return counts
}

// judge quarantines the parts against which there is enough evidence, those with the strongest first: what they explain no
// longer counts against others. Parts with equal evidence can't be told apart.
func (l *Ledger) judge(now time.Time) {
	for {
		best := count{}
		var parts []Part
		for part, n := range l.tally() {
			if e := l.entries[part]; e != nil && e.Quarantined || !l.sufficient(part, n) {
				continue
			}
			switch c := n.compare(best); {
			case c > 0:
				best, parts = n, []Part{part}
			case c == 0:
				parts = append(parts, part)
			}
		}
		if len(parts) == 0 {
			return
		}
		for _, part := range parts {
			l.quarantine(now, part, best)
		}
	}
}

// sufficient reports whether the evidence against a part is enough for a quarantine.
func (l *Ledger) sufficient(part Part, n count) bool {
	switch {
	case n.crashes >= outageCrashes && n.last.Sub(n.first) >= outageTime:
		return true
	case n.crashes >= certainCrashes:
		return !n.common() || n.others >= minOthers
	case n.common():
		return false
	case l.quarantinedElsewhere(part):
		return n.crashes >= knownCrashes
	}
	return n.crashes >= minCrashes && len(n.requests) >= minRequests
}

// quarantinedElsewhere reports whether a part is quarantined for another model or service.
func (l *Ledger) quarantinedElsewhere(part Part) bool {
	for _, e := range l.entries {
		if e.Quarantined && e.ID == part.ID && e.Scope != part.Scope {
			return true
		}
	}
	return false
}

// compare orders evidence by its strength.
func (n count) compare(m count) int {
	switch {
	case m.crashes == 0:
		return 1
	case n.common() != m.common():
		if m.common() {
			return 1
		}
		return -1
	case n.crashes != m.crashes:
		return n.crashes - m.crashes
	}
	// A part that is always beside another one is in more requests, if it is in others too.
	return len(m.requests) - len(n.requests)
}
