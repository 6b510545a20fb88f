// Package mirror keeps a copy of a collection of objects that changes in the platform's store or reaches this instance
// through another one. Its revision never goes down, so that an old list cannot undo a newer one.
package mirror

import (
	"sort"
	"time"

	"monsoondale/core"
)

// Item is one object of a collection. Body is its content in the store's encoding.
type Item struct {
	Name     string
	Revision core.Revision // of the object's last change
	Body     []byte
	// Deleted marks an object that was removed.
	Deleted bool
}

// Options configures a Mirror.
type Options struct {
	// Grace is how long an object is kept that is missing after the store was away; it may be written again. 0 removes
	// it at once.
	Grace time.Duration
}

type entry struct {
	Item
	missing time.Time // since when it has been missing; zero if it is listed
}

// Mirror is a copy of a collection. It is not safe for concurrent use.
type Mirror struct {
	o       Options
	items   map[string]*entry
	rev     core.Revision // up to which all changes are known
	changed core.Revision // of the newest change applied
	known   bool
	// removed are the latest removals, oldest first, and complete the revision since which none was forgotten.
	removed  []Item
	complete core.Revision
}

// removals is the number of removals that are remembered for other instances.
const removals = 256

// New returns an empty mirror.
func New(o Options) *Mirror { return &Mirror{o: o, items: map[string]*entry{}} }

// Synced reports whether a list has been received.
func (m *Mirror) Synced() bool { return m.known }

// Revision returns the revision up to which all changes are known.
func (m *Mirror) Revision() core.Revision { return m.rev }

// LastChange returns the revision of the newest change that was applied.
func (m *Mirror) LastChange() core.Revision { return m.changed }

// Replace takes over a list of all objects as of a revision, and reports whether anything changed. An older list than
// the mirror's is ignored. lapsed tells that the store was away before, so that missing objects may return.
func (m *Mirror) Replace(now time.Time, items []Item, rev core.Revision, lapsed bool) bool {
	if m.known && rev < m.rev {
		return false
	}
	changed := !m.known
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Name] = true
		changed = m.put(it) || changed
	}
	for name, e := range m.items {
		if listed[name] {
			continue
		}
		switch {
		case lapsed && m.o.Grace > 0:
			if e.missing.IsZero() {
				e.missing = now
			}
		default:
			m.drop(name, rev)
			changed = true
		}
	}
	if !m.known {
		m.complete = rev
	}
	m.rev, m.known = rev, true
	return changed
}

// Apply takes over changes up to a revision, and reports whether anything changed.
func (m *Mirror) Apply(now time.Time, items []Item, rev core.Revision, lapsed bool) bool {
	changed := false
	for _, it := range items {
		if !it.Deleted {
			changed = m.put(it) || changed
			continue
		}
		e := m.items[it.Name]
		if e == nil || it.Revision < e.Revision {
			continue
		}
		if lapsed && m.o.Grace > 0 {
			if e.missing.IsZero() {
				e.missing = now
			}
			continue
		}
		m.drop(it.Name, max(it.Revision, rev))
		changed = true
	}
	m.rev = max(m.rev, rev)
	return changed
}

func (m *Mirror) put(it Item) bool {
	e := m.items[it.Name]
	if e != nil && it.Revision <= e.Revision {
		e.missing = time.Time{}
		return false
	}
	m.items[it.Name] = &entry{Item: it}
	m.changed = max(m.changed, it.Revision)
	return true
}

// HasMissing reports whether objects are kept that the store has removed, because they may return.
func (m *Mirror) HasMissing() bool {
	for _, e := range m.items {
		if !e.missing.IsZero() {
			return true
		}
	}
	return false
}

// Expire removes objects that have been missing for the grace period, and reports whether there were any.
func (m *Mirror) Expire(now time.Time) bool {
	changed := false
	for name, e := range m.items {
		if !e.missing.IsZero() && now.Sub(e.missing) >= m.o.Grace {
			m.drop(name, m.rev)
			changed = true
		}
	}
	return changed
}

// drop removes an object.
func (m *Mirror) drop(name string, rev core.Revision) {
	delete(m.items, name)
	m.changed = max(m.changed, rev)
	m.removed = append(m.removed, Item{Name: name, Revision: rev, Deleted: true})
	if n := len(m.removed) - removals; n > 0 {
		m.complete = max(m.complete, m.removed[n-1].Revision)
		m.removed = m.removed[n:]
	}
}

// Removals returns the latest removals, and the revision since which there were no others.
func (m *Mirror) Removals() ([]Item, core.Revision) {
	return append([]Item(nil), m.removed...), m.complete
}

// Items returns the objects by name. Bodies must not be changed.
func (m *Mirror) Items() []Item {
	out := make([]Item, 0, len(m.items))
	for _, e := range m.items {
		out = append(out, e.Item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
