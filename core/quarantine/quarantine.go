package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"monsoondale/core"
	"monsoondale/core/route"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined, if they were under minRequests requests, told apart
	// by their own parts. Fewer happen by chance to the parts of a session whose requests are repeated beside the one that crashes endpoints.
	minCrashes  = 3
	minRequests = 3
	// certainCrashes is the number after which it is quarantined in any case. For a common part, minCrashes is not enough, and
	// minOthers requests without it must have been served since: else no endpoint may be up, and no part can be cleared.
	certainCrashes = 5
	minOthers      = 10
	// outageCrashes, over outageTime, are enough even if nothing is served. Many endpoints may crash at once for another reason.
	outageCrashes = 10
	outageTime    = 3 * time.Second
	// knownCrashes replaces these numbers for a part that is quarantined for another model or service.
	knownCrashes = 1
	// suspectCrashes is the number of crashes after which a request with the part is not repeated when its endpoint has crashed.
	suspectCrashes = 2
	// maxTrials is the number of requests in the whole fleet that may be sent in spite of a quarantine, to find out whether
	// the part is sound. trialDelays are the times before each.
	maxTrials = 2
	// forgetAfter is the time without a request after which a quarantine ends, and after which crashes no longer count.
	forgetAfter = 10 * time.Minute
	// maxQuarantined and maxEntries bound the parts that are quarantined, and all entries.
	maxQuarantined = 256
	maxEntries     = 1024
	// maxServed bounds the parts of which it is known that they have been served.
	maxServed = 8192
	// RetryAfter is the time after which callers of requests with a quarantined part may ask again.
	RetryAfter = 30 * time.Second
)

// trialDelays are the times between the quarantine, the first and the second trial.
var trialDelays = [maxTrials]time.Duration{5 * time.Second, 30 * time.Second}

// Scope is where a part is read. The same part may be sound for another model.
type Scope struct {
	Service route.Service
	Model   string
}

// Part is a part of a prompt.
type Part struct {
	Scope
	ID core.PartID
}

// Prompt lists the parts of a request's prompt.
type Prompt struct {
	Scope
	Shared []core.PartID // parts that other requests may share
	Own    core.PartID   // of this request or its session; empty if the prompt has no parts
}

// NewPrompt returns the prompt with the given parts, of which the last one is the request's own.
func NewPrompt(s Scope, parts []core.PartID) Prompt {
	if len(parts) == 0 {
		return Prompt{Scope: s}
	}
	n := len(parts) - 1
	return Prompt{Scope: s, Shared: parts[:n:n], Own: parts[n]}
}

// part returns a part of the prompt.
func (p *Prompt) part(id core.PartID) Part { return Part{p.Scope, id} }

// Entry is what is known of a part. The highest version counts.
type Entry struct {
	Part
	Version     int64
	Quarantined bool
	Crashes     int           // under the part, when it was quarantined
	Requests    int           // under which they were
	Trials      int           // requests that have been sent in spite of the quarantine
	Idle        time.Duration // since a request with the part was last refused
}

// entry is an Entry of a Ledger.
type entry struct {
	Entry
	asked     time.Time // when a request with the part was last refused; replaces Idle
	changed   time.Time
	nextTrial time.Time
	fewest    int // number of quarantined parts in the request, of those refused, that has fewest; 0 if none was refused
	told      told
}

// Options configures a Ledger.
type Options struct {
	// Log receives a line for each part that is quarantined or released.
	Log logr.Logger
}

// Ledger holds what an instance knows of parts and crashes. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	log     logr.Logger
	crashes []*crash // the newest last
	entries map[Part]*entry
	served  *simplelru.LRU[Part, struct{}]
	// servedRequests is the number of requests with parts that this instance has served.
	servedRequests map[route.Service]int
	clock          int64 // highest version of an entry
	changes        int   // number of changes of the result of Record
	conclusions    int   // number of those that concern quarantined parts and their trials
	urgent         bool  // there is something that the others should learn at once
	rotate         int   // makes successive reports tell all quarantined parts in turn
	sampled        int   // makes successive crashes sample all parts of long prompts in turn
}

// New returns a Ledger that knows nothing.
func New(o Options) *Ledger {
	served, err := simplelru.NewLRU[Part, struct{}](maxServed, nil)
	if err != nil {
		panic(err) // only for a size of 0
	}
	return &Ledger{log: o.Log, entries: map[Part]*entry{}, served: served, servedRequests: map[route.Service]int{}}
}

// Quarantined returns a quarantined part of a prompt, if there is one. The request must not be sent then.
func (l *Ledger) Quarantined(now time.Time, p *Prompt) (Part, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.quarantined(p)
	for _, e := range found {
		e.asked = now
		if e.fewest == 0 || len(found) < e.fewest {
			e.fewest = len(found)
		}
	}
	if len(found) == 0 {
		return Part{}, false
	}
	return found[0].Part, true
}

// quarantined returns the entries of the quarantined parts of a prompt.
func (l *Ledger) quarantined(p *Prompt) []*entry {
	if len(l.entries) == 0 {
		return nil
	}
	var found []*entry
	add := func(id core.PartID) {
		if e := l.entries[p.part(id)]; e != nil && e.Quarantined && !slices.Contains(found, e) {
			found = append(found, e)
		}
	}
	for _, id := range p.Shared {
		add(id)
	}
	add(p.Own)
	return found
}

// MayRepeat reports whether a request whose endpoint has crashed may be sent to another one.
func (l *Ledger) MayRepeat(now time.Time, p *Prompt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.quarantined(p)) > 0 {
		return false
	}
	l.expire(now)
	counts := l.tally()
	return !slices.ContainsFunc(p.Shared, func(id core.PartID) bool {
		n := counts[p.part(id)]
		return !n.common() && n.crashes >= suspectCrashes
	})
}

// RecordServed records that a request has been served, which clears its shared parts.
func (l *Ledger) RecordServed(now time.Time, p *Prompt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servedRequests[p.Service]++
	for _, id := range p.Shared[:min(len(p.Shared), maxPromptParts)] {
		l.served.Add(p.part(id), struct{}{})
	}
	for _, id := range append(p.Shared[:len(p.Shared):len(p.Shared)], p.Own) {
		part := p.part(id)
		if e := l.entries[part]; e != nil && e.Quarantined || l.hasEvidence(part) {
			l.release(now, part, "served")
		}
	}
}

// Release ends the quarantine of a part, and reports whether there was one. The crashes so far no longer count.
func (l *Ledger) Release(now time.Time, part Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[part]
	if e == nil || !e.Quarantined {
		return false
	}
	l.release(now, part, "operator")
	return true
}

// release clears a part of the crashes so far.
func (l *Ledger) release(now time.Time, part Part, reason string) {
	e := l.entry(now, part)
	if e.Quarantined {
		l.log.Info("part released", "service", part.Service, "model", part.Model, "part", part.ID, "reason", reason, "version", l.clock+1)
		l.conclude()
		l.urgent = true
	}
	l.clear(part)
	e.Quarantined, e.Trials, e.fewest = false, 0, 0
	l.update(now, e)
	l.prune()
}

// entry returns the entry of a part, which it adds if needed.
func (l *Ledger) entry(now time.Time, part Part) *entry {
	e := l.entries[part]
	if e == nil {
		e = &entry{Entry: Entry{Part: part}, asked: now, changed: now}
		l.entries[part] = e
	}
	return e
}

// update gives an entry a new version, which the other instances must learn.
func (l *Ledger) update(now time.Time, e *entry) {
	l.clock++
	e.Version, e.changed, e.told = l.clock, now, told{}
}

// quarantine puts a part into quarantine.
func (l *Ledger) quarantine(now time.Time, part Part, n count) {
	e := l.entry(now, part)
	e.Quarantined, e.Crashes, e.Requests, e.Trials, e.fewest = true, n.crashes, len(n.requests), 0, 0
	e.asked, e.nextTrial = now, now.Add(trialDelays[0])
	l.update(now, e)
	l.conclude()
	l.urgent = true
	l.log.Info("part quarantined", "service", part.Service, "model", part.Model, "part", part.ID, "crashes", e.Crashes, "requests", e.Requests,
		"served", n.served, "version", e.Version, "from", "crashes")
	l.prune()
}

// conclude counts a change of quarantined parts or their trials.
func (l *Ledger) conclude() {
	l.changes++
	l.conclusions++
}

// prune removes the entries beyond the bounds: of the quarantined ones, those for which no request has come for longest.
func (l *Ledger) prune() {
	remove := func(bound int, counts func(e *entry) bool, last func(e *entry) time.Time) {
		var list []*entry
		for _, e := range l.entries {
			if counts(e) {
				list = append(list, e)
			}
		}
		if len(list) <= bound {
			return
		}
		slices.SortFunc(list, func(a, b *entry) int { return last(a).Compare(last(b)) })
		for _, e := range list[:len(list)-bound] {
			delete(l.entries, e.Part)
		}
	}
	if len(l.entries) > maxQuarantined {
		remove(maxQuarantined, func(e *entry) bool { return e.Quarantined }, func(e *entry) time.Time { return e.asked })
	}
	if len(l.entries) > maxEntries {
		remove(maxEntries-maxQuarantined, func(e *entry) bool { return !e.Quarantined }, func(e *entry) time.Time { return e.changed })
	}
}

// expire forgets crashes and entries that are too old.
func (l *Ledger) expire(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.learned) > forgetAfter })
	for part, e := range l.entries {
		switch {
		case e.Quarantined && now.Sub(e.asked) > forgetAfter:
			l.log.Info("part released", "service", part.Service, "model", part.Model, "part", part.ID, "reason", "no requests", "version", e.Version)
			l.conclude()
			delete(l.entries, part)
		case !e.Quarantined && now.Sub(e.changed) > forgetAfter:
			delete(l.entries, part)
		}
	}
}

// TrialDue reports whether a request that is refused may be sent to find out whether its quarantined parts are sound. The caller has
// to make sure that no other instance sends one, and then call StartTrial.
func (l *Ledger) TrialDue(now time.Time, p *Prompt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.quarantined(p)
	for _, e := range found {
		// A request with more quarantined parts than others tells less about each.
		if e.Trials >= maxTrials || now.Before(e.nextTrial) || e.fewest > 0 && len(found) > e.fewest {
			return false
		}
	}
	return len(found) > 0
}

// StartTrial records that a request is sent in spite of its quarantined parts.
func (l *Ledger) StartTrial(now time.Time, p *Prompt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.quarantined(p) {
		e.Trials++
		e.scheduleTrial(now)
		l.update(now, e)
		l.conclude()
		l.log.Info("trial of part", "service", e.Service, "model", e.Model, "part", e.ID, "trials", e.Trials)
	}
}

// scheduleTrial sets the time of the next trial.
func (e *entry) scheduleTrial(now time.Time) {
	if e.Trials < maxTrials {
		e.nextTrial = now.Add(trialDelays[e.Trials])
	}
}

// Entries returns the quarantined parts, those with the latest requests first.
func (l *Ledger) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var out []Entry
	for _, e := range l.entries {
		if e.Quarantined {
			out = append(out, e.export(now))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Idle, b.Idle), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Service, b.Service))
	})
	return out
}

// Size returns the numbers of quarantined parts and of crashes that count.
func (l *Ledger) Size() (quarantined, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.Quarantined {
			quarantined++
		}
	}
	return quarantined, len(l.crashes)
}

// export returns an entry as others see it.
func (e *entry) export(now time.Time) Entry {
	out := e.Entry
	out.Idle = max(now.Sub(e.asked), 0)
	return out
}
