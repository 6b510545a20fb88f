// Package mirror keeps a local copy of a collection of objects in the platform's store. Updates come from the store or
// from another instance's copy. The revision of a mirror never decreases, so that an old list cannot replace a newer
// one. If the store was restored from a copy, see core.Revision, the mirror keeps contents that are newer than those in
// the store.
package mirror

import (
	"slices"
	"sort"
	"time"

	"monsoondale/core"
)

// Item is one object of a collection. Body is its content in the store's encoding.
type Item struct {
	Name     string        // empty if it could not be read
	Revision core.Revision // revision of the last change; 0 if it could not be read
	Body     []byte
	// Deleted marks an object that was removed from the store.
	Deleted bool
	// Kept, if not 0, is the revision that Body had before the store was restored: the store has an older content, as of Revision. Of a
	// removal it is the former revision of that, and the store has the object again; Body is then the last content.
	Kept core.Revision
	// Unreadable is the reason why the name, the revision or the content could not be read; empty if they could.
	Unreadable string
}

// Identified reports whether it is known which object this is. Items of which it is not known must not be applied.
func (it *Item) Identified() bool { return it.Name != "" && it.Revision > 0 }

// content returns the revision of the content.
func (it *Item) content() core.Revision {
	if it.Kept > 0 {
		return it.Kept
	}
	return it.Revision
}

// Doubt is an object that a mirror keeps although it is missing in the store, because it may be written again.
type Doubt struct {
	Name     string
	Revision core.Revision // as of which the object is missing
	Last     core.Revision // of the object's last change that is known to whoever keeps it
	Since    time.Time     // when it was found to be missing
}

// Copy is the content of another instance's mirror as of a revision, or the changes to it.
type Copy struct {
	Items    []Item // also removals
	Doubts   []Doubt
	Revision core.Revision
	Full     bool          // Items holds all objects
	Part     bool          // Items may lack changes up to Revision
	Since    core.Revision // with neither Full nor Part: Items and Doubts hold all changes from Since to Revision
}

// Options configures a Mirror.
type Options struct {
	// Grace is how long an object is kept that is missing after an outage of the store, because it may be written
	// again. 0 removes it immediately.
	Grace time.Duration
	// RestoredGrace is the same for an object that a store lacks which was restored from a copy.
	RestoredGrace time.Duration
	// Outdated reports whether an offered item is an earlier state of an object than the known one, or, if that is the last
	// state before its removal, not a later one. It is asked about items of a later era than the known one. Nil for never.
	Outdated func(known, offered Item, removed bool) bool
}

// entry is an object and its state.
type entry struct {
	Item
	missingSince time.Time     // zero if the object is in the store
	missingAt    core.Revision // as of which it was found to be missing
}

// Mirror is a copy of a collection. It is not safe for concurrent use.
type Mirror struct {
	o          Options
	items      map[string]*entry
	rev        core.Revision // all changes up to this revision are known
	lastChange core.Revision // revision of the newest change that was applied
	synced     bool
	partial    bool          // objects may be missing
	mergedAt   core.Revision // newest revision of which some changes up to it may be missing, as in a partial list
	missing    int           // objects that are missing in the store
	keeps      bool          // some items may have Kept set
	// removals are the latest removals, oldest first, of objects that have not been written again; all of these after completeSince are
	// among them.
	removals      []Item
	completeSince core.Revision
}

const (
	// maxRemovals is the number of removals that are kept for other instances.
	maxRemovals = 256
	// maxRemovedBytes is the size of the largest content that is kept with a removal.
	maxRemovedBytes = 1 << 10
)

// New returns an empty mirror.
func New(o Options) *Mirror { return &Mirror{o: o, items: map[string]*entry{}} }

// Synced reports whether a complete list has been received.
func (m *Mirror) Synced() bool { return m.synced }

// Partial reports whether the mirror has received no list of all objects, but one of a part of them.
func (m *Mirror) Partial() bool { return m.partial }

// Behind reports whether a partial list, of which some changes may be missing here, is newer than Revision.
func (m *Mirror) Behind() bool { return m.mergedAt > m.rev }

// Revision returns the revision up to which all changes are known.
func (m *Mirror) Revision() core.Revision { return m.rev }

// LastChange returns the revision of the newest change that was applied.
func (m *Mirror) LastChange() core.Revision { return m.lastChange }

// Replace applies a list of all objects as of a revision, and reports whether anything changed. A list that is older
// than the mirror is ignored, and objects that are newer than the list are kept. afterOutage states that the store was
// unavailable shortly before, so that missing objects may return.
func (m *Mirror) Replace(now time.Time, items []Item, rev core.Revision, afterOutage bool) bool {
	if m.synced && rev < m.rev {
		return false
	}
	changed := !m.synced
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Name] = true
		changed = m.upsert(it, rev) || changed
	}
	for name, e := range m.items {
		if listed[name] || e.Revision > rev {
			continue
		}
		switch {
		case m.grace(e, rev, afterOutage) > 0:
			m.setMissing(e, now, rev)
		default:
			m.remove(name, rev)
			changed = true
		}
	}
	for i, r := range m.removals {
		if r.Kept > 0 && !listed[r.Name] && r.Revision <= rev {
			m.removals[i].Kept = 0
		}
	}
	if rev > m.rev {
		m.lastChange = max(m.lastChange, rev) // others may know objects that were removed in between
	}
	m.completeList(rev)
	return changed
}

// grace returns how long an object is kept that is missing as of a revision; 0 if it isn't.
func (m *Mirror) grace(e *entry, rev core.Revision, afterOutage bool) time.Duration {
	switch {
	case rev.Era() > e.Revision.Era():
		return m.o.RestoredGrace
	case afterOutage:
		return m.o.Grace
	}
	return 0
}

// completeList records a list of all objects as of a revision. Those that were written and removed since Revision are not known.
func (m *Mirror) completeList(rev core.Revision) {
	if rev > m.rev+1 {
		m.completeSince = max(m.completeSince, rev)
	}
	m.rev, m.synced, m.partial = rev, true, false
}

// Merge applies a list of a part of the objects, or a part of the changes up to a revision, and reports whether anything changed.
// Objects that are missing in the list are kept, and may have changed.
func (m *Mirror) Merge(now time.Time, items []Item, rev core.Revision, afterOutage bool) bool {
	changed := m.apply(now, items, rev, afterOutage) || !m.synced
	if !m.synced {
		m.synced, m.partial, m.completeSince = true, true, rev
	}
	m.mergedAt = max(m.mergedAt, rev)
	return changed
}

// Follow applies another instance's copy, and reports whether an object changed. What is in doubt there is in doubt here for the rest
// of the grace period. An object that a copy lacks without its removal is in doubt too, and others are asked for it: its
// instance may have started after the object vanished.
func (m *Mirror) Follow(now time.Time, c Copy) bool {
	changed := m.followKept(c.Items)
	if c.Full && m.synced && c.Revision < m.rev {
		return changed
	}
	changed = changed || !m.synced
	doubted := make(map[string]bool, len(c.Doubts))
	for _, d := range c.Doubts {
		doubted[d.Name] = true
	}
	listed := make(map[string]bool, len(c.Items))
	for _, it := range c.Items {
		switch {
		case it.Deleted && it.Kept > 0:
			continue // see followKept
		case it.Deleted:
			// Not as of the copy's revision: its instance may not know that the object was written again.
			changed = m.apply(now, []Item{it}, it.Revision, false) || changed
			continue
		case !doubted[it.Name]:
			changed = m.upsert(it, max(it.Revision, c.Revision)) || changed
		case m.items[it.Name] != nil || !m.synced || it.Revision > m.rev:
			// It was there as of its own revision, but not as of that of the copy.
			changed = m.upsert(it, it.Revision) || changed
		}
		listed[it.Name] = true
		m.mergedAt = max(m.mergedAt, it.Revision) // above c.Revision if its instance is behind
	}
	unexplained := false
	if !c.Part {
		for name, e := range m.items {
			switch {
			case listed[name] || e.Revision > c.Revision || !c.Full && e.Revision <= c.Since:
			case m.grace(e, c.Revision, true) > 0:
				m.setMissing(e, now, c.Revision)
				unexplained = true
			default:
				m.remove(name, c.Revision)
				changed = true
			}
		}
	}
	for _, d := range c.Doubts {
		e := m.items[d.Name]
		switch {
		case e == nil || e.Revision >= d.Revision:
		case e.Revision > d.Last: // an earlier state of it has been missing since then
			m.setMissing(e, now, d.Revision)
		default:
			m.setMissing(e, d.Since, d.Revision)
		}
	}
	switch {
	case c.Full && !unexplained:
		m.completeList(c.Revision)
	case !m.synced:
		m.synced, m.completeSince, m.partial = true, c.Revision, true
	case !c.Full && !c.Part && !unexplained && c.Since <= m.rev:
		m.rev = max(m.rev, c.Revision)
	}
	m.mergedAt = max(m.mergedAt, c.Revision)
	return changed
}

// followKept applies contents and removals that another instance has kept, to objects of which this one has what the store has. It reports
// whether an object changed.
func (m *Mirror) followKept(items []Item) bool {
	changed := false
	for _, it := range items {
		e := m.items[it.Name]
		switch {
		case it.Kept == 0:
		case it.Deleted && e != nil && (e.Revision > it.Revision || it.Body != nil && m.o.Outdated != nil && m.o.Outdated(e.Item, it, false)):
			// It was written after that removal.
		case it.Deleted:
			if e != nil {
				m.setPresent(e)
				delete(m.items, it.Name)
				changed = true
			}
			if i := m.removal(it.Name); i < 0 || m.removals[i].Revision <= it.Revision {
				m.recordRemoval(it)
			}
		case e != nil && it.Revision == e.Revision && it.Kept > e.Kept && m.o.Outdated != nil && m.o.Outdated(it, e.Item, false):
			e.Item, m.keeps, changed = it, true, true
		}
	}
	return changed
}

// Kept returns the highest revision of which a content, or a removal, is kept here although a restored store does not have it, 0 if there
// is none, and their number. Another instance that has a lower one may lack it, whatever the revisions of both.
func (m *Mirror) Kept() (highest core.Revision, count int) {
	if !m.keeps {
		return 0, 0
	}
	add := func(kept core.Revision) {
		if kept > 0 {
			highest, count = max(highest, kept), count+1
		}
	}
	for _, e := range m.items {
		add(e.Kept)
	}
	for _, r := range m.removals {
		add(r.Kept)
	}
	m.keeps = count > 0
	return highest, count
}

// Apply applies all changes from Revision up to a revision, and reports whether anything changed. Newer changes may be among them.
func (m *Mirror) Apply(now time.Time, items []Item, rev core.Revision, afterOutage bool) bool {
	changed := m.apply(now, items, rev, afterOutage)
	m.rev = max(m.rev, rev)
	return changed
}

func (m *Mirror) apply(now time.Time, items []Item, rev core.Revision, afterOutage bool) bool {
	changed := false
	// What was superseded within the changes was never there as of their revision.
	newest := make(map[string]core.Revision, len(items))
	for _, it := range items {
		newest[it.Name] = max(newest[it.Name], it.Revision)
	}
	for _, it := range items {
		if it.Revision < newest[it.Name] {
			continue
		}
		if !it.Deleted {
			changed = m.upsert(it, max(it.Revision, rev)) || changed
			continue
		}
		e := m.items[it.Name]
		switch {
		case e == nil && it.Revision > m.rev && afterOutage && m.o.Grace > 0 && !m.keepsRemoval(it.Name):
			m.completeSince = max(m.completeSince, it.Revision, rev) // where the object is known, it is in doubt
			m.lastChange = max(m.lastChange, it.Revision, rev)
			continue
		case e == nil && it.Revision > m.rev:
			m.recordRemoval(Item{Name: it.Name, Revision: max(it.Revision, rev), Body: it.Body}) // others may know the object
			continue
		case e == nil || it.Revision < e.Revision:
			continue
		}
		if afterOutage && m.o.Grace > 0 {
			m.setMissing(e, now, max(it.Revision, rev))
			continue
		}
		m.remove(it.Name, max(it.Revision, rev))
		m.recordRemoval(Item{Name: it.Name, Revision: max(it.Revision, rev), Body: it.Body}) // whose content may be newer
		changed = true
	}
	return changed
}

// upsert stores an object as of a revision, unless a newer one, or its removal after that revision, is known. It reports whether it
// did.
func (m *Mirror) upsert(it Item, rev core.Revision) bool {
	e := m.items[it.Name]
	if e != nil && it.Revision <= e.Revision {
		if rev >= e.missingAt {
			m.setPresent(e)
		}
		return false
	}
	if e == nil && rev < m.rev && it.Revision <= m.rev {
		return false // its removal may have been unknown here, or is no longer kept
	}
	if i := m.removal(it.Name); i >= 0 {
		r := m.removals[i]
		if rev < r.Revision {
			return false
		}
		if e == nil && m.outdated(r, it) {
			r.Kept, r.Revision = r.content(), max(r.Revision, it.Revision)
			m.recordRemoval(r)
			return false
		}
		m.removals = slices.Delete(m.removals, i, i+1)
	}
	if e != nil && m.outdated(e.Item, it) {
		it.Body, it.Unreadable, it.Kept = e.Body, e.Unreadable, e.content()
	}
	m.keeps = m.keeps || it.Kept > 0
	m.lastChange = max(m.lastChange, it.Revision)
	if e != nil && rev < e.missingAt {
		e.Item = it // it is missing all the same
		return true
	}
	m.setPresent(e)
	m.items[it.Name] = &entry{Item: it}
	return true
}

// outdated reports whether an item of a later era is outdated.
func (m *Mirror) outdated(known, offered Item) bool {
	return m.o.Outdated != nil && known.Body != nil && offered.Revision.Era() > known.content().Era() && m.o.Outdated(known, offered, known.Deleted)
}

// HasMissing reports whether the mirror keeps objects that are missing in the store.
func (m *Mirror) HasMissing() bool { return m.missing > 0 }

// setMissing records that an object is missing in the store as of a revision, and was found to be so at a time. It is a change of
// which others have to learn.
func (m *Mirror) setMissing(e *entry, since time.Time, rev core.Revision) {
	if e.missingSince.IsZero() {
		m.missing++
	}
	known, found := e.missingAt.Era(), rev.Era()
	if e.missingSince.IsZero() || found > known || found == known && since.Before(e.missingSince) {
		e.missingSince = since
	}
	e.missingAt = max(e.missingAt, rev)
	m.lastChange = max(m.lastChange, rev)
}

// setPresent records that an object, if there is one, is not missing in the store, or is no longer in the mirror.
func (m *Mirror) setPresent(e *entry) {
	if e != nil && !e.missingSince.IsZero() {
		e.missingSince, e.missingAt = time.Time{}, 0
		m.missing--
	}
}

// Expire removes objects that have been missing for the grace period, and reports whether there were any. The removal has the revision
// as of which they are missing: who knows of that revision knows that they are in doubt, and removes them too.
func (m *Mirror) Expire(now time.Time) bool {
	if m.missing == 0 {
		return false
	}
	changed := false
	for name, e := range m.items {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= m.grace(e, e.missingAt, true) {
			m.remove(name, e.missingAt)
			changed = true
		}
	}
	return changed
}

// remove deletes an object as of a revision and records its removal.
func (m *Mirror) remove(name string, rev core.Revision) {
	e := m.items[name]
	m.setPresent(e)
	delete(m.items, name)
	r := Item{Name: name, Revision: rev}
	if e != nil {
		r.Body = e.Body
	}
	m.recordRemoval(r)
}

// removal returns the index in removals of that of an object, or -1.
func (m *Mirror) removal(name string) int {
	return slices.IndexFunc(m.removals, func(r Item) bool { return r.Name == name })
}

// keepsRemoval reports whether an object counts as removed that a restored store has again.
func (m *Mirror) keepsRemoval(name string) bool {
	i := m.removal(name)
	return i >= 0 && m.removals[i].Kept > 0
}

// recordRemoval records the removal of an object that is not in the mirror, with its last content if that is known.
func (m *Mirror) recordRemoval(r Item) {
	r.Deleted = true
	if len(r.Body) > maxRemovedBytes {
		r.Body = nil
	}
	m.lastChange = max(m.lastChange, r.Revision)
	if i := m.removal(r.Name); i >= 0 {
		r.Revision = max(r.Revision, m.removals[i].Revision)
		if old := m.removals[i]; old.Body != nil && (r.Body == nil || m.o.Outdated != nil && m.o.Outdated(old, r, false)) {
			r.Body = old.Body
		}
		m.removals = slices.Delete(m.removals, i, i+1)
	}
	m.keeps = m.keeps || r.Kept > 0
	m.removals = append(m.removals, r)
	if n := len(m.removals) - maxRemovals; n > 0 {
		m.completeSince = max(m.completeSince, m.removals[n-1].Revision)
		m.removals = m.removals[n:]
	}
}

// Items returns the objects sorted by name. Their bodies must not be changed.
func (m *Mirror) Items() []Item {
	out := make([]Item, 0, len(m.items))
	for _, e := range m.items {
		out = append(out, e.Item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
