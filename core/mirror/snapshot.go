package mirror

import (
	"slices"
	"sort"

	"monsoondale/core"
)

// Snapshot is the content of a mirror at a time, for other instances. It does not change.
type Snapshot struct {
	Items    []Item // sorted by name
	Doubts   []Doubt
	Revision core.Revision
	partial  bool
	// removals are the latest ones; all of these after completeSince are among them.
	removals      []Item
	completeSince core.Revision
}

// Snapshot returns the content of the mirror.
func (m *Mirror) Snapshot() *Snapshot {
	return &Snapshot{Items: m.Items(), Doubts: m.Doubts(), Revision: m.rev, partial: m.partial, removals: slices.Clone(m.removals), completeSince: m.completeSince}
}

// Since returns the changes after a revision up to which an instance knows all changes, or all objects if the changes are not known or
// the revision is 0. An instance that knows that revision also knows, or needs not know, of each doubt as of an earlier one.
func (s *Snapshot) Since(rev core.Revision) Copy {
	c := Copy{Revision: s.Revision, Since: rev}
	changes := rev > 0 && rev >= s.completeSince
	if !changes {
		c.Full, c.Part = !s.partial, s.partial
	}
	for _, it := range s.Items {
		if !changes || it.Revision > rev {
			c.Items = append(c.Items, it)
		}
	}
	for _, it := range s.removals {
		if rev > 0 && it.Revision > rev {
			c.Items = append(c.Items, it)
		}
	}
	for _, d := range s.Doubts {
		if !changes || d.Revision > rev {
			c.Doubts = append(c.Doubts, d)
		}
	}
	return c
}

// Doubts returns the objects that are missing in the store, sorted by name.
func (m *Mirror) Doubts() []Doubt {
	if m.missing == 0 {
		return nil
	}
	var out []Doubt
	for name, e := range m.items {
		if !e.missingSince.IsZero() {
			out = append(out, Doubt{Name: name, Revision: e.missingAt, Last: e.Revision, Since: e.missingSince})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
