package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/mirror"
	wire "monsoondale/wire/mesh"
)

// Guards against instances that keep sending requests to an endpoint that has left. After an outage of the store, an
// instance keeps missing entries for the mirror's grace period. If its copies list them as of a newer revision, the
// instances that fetch these copies without a mark never learn of the removal (kaivo-urn-grown trouble-1, seed 942476262461).
func TestCopyDoesNotHideRemoval(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	m := mirror.New(mirror.Options{Grace: time.Second})
	m.Replace(now, []mirror.Item{{Name: "e1", Revision: 1}, {Name: "e2", Revision: 2}}, 2, false)
	s := newPublishedCopy(m, nil)
	m.Apply(now, []mirror.Item{{Name: "e1", Revision: 3, Deleted: true}, {Name: "e3", Revision: 4}}, 4, true)
	s = newPublishedCopy(m, s)
	for _, since := range []core.Revision{0, 2} {
		c := s.settled.changesSince(now, since, false)
		g.Expect(c.Revision).To(Equal(2), "for an instance of the version before, which ignores marks")
		g.Expect(c.Missing).To(BeEmpty())
		c = s.changesSince(now.Add(300*time.Millisecond), since, true)
		g.Expect(c.Revision).To(Equal(4))
		g.Expect(c.Missing).To(Equal([]wire.Doubt{{Name: "e1", Revision: 4, Last: 1, Age: 300}}))
	}
	m.Expire(now.Add(2 * time.Second))
	s = newPublishedCopy(m, s)
	for _, marks := range []bool{false, true} {
		c := s.settled.changesSince(now, 2, marks)
		g.Expect(c.Revision).To(Equal(4))
		g.Expect(c.Gone).To(HaveLen(1))
		g.Expect(c.Gone[0].Name).To(Equal("e1"))
		g.Expect(c.Missing).To(BeEmpty())
	}
}

// Guards against instances that lose an endpoint which was removed and written again within one batch of changes: a copy that states
// both removes it where it is applied.
func TestCopyOfRewrittenEntry(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	first := []mirror.Item{{Name: "e1", Revision: 1}, {Name: "e2", Revision: 2}}
	m, other := mirror.New(mirror.Options{}), mirror.New(mirror.Options{})
	m.Replace(now, first, 2, false)
	other.Replace(now, first, 2, false)
	m.Apply(now, []mirror.Item{{Name: "e1", Revision: 3, Deleted: true}, {Name: "e1", Revision: 4}}, 6, false)
	c := newPublishedCopy(m, nil).changesSince(now, 2, true)
	var items []mirror.Item
	for _, it := range c.Items {
		items = append(items, mirror.Item{Name: it.Name, Revision: core.Revision(it.Revision)})
	}
	for _, it := range c.Gone {
		items = append(items, mirror.Item{Name: it.Name, Revision: core.Revision(it.Revision), Deleted: true})
	}
	other.Apply(now, items, core.Revision(c.Revision), false)
	g.Expect(other.Items()).To(Equal(m.Items()))
}

// Guards against an instance that never learns of a change because the list from the store lacked it, while others know it.
func TestCopyAfterIncompleteList(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	first := []mirror.Item{{Name: "e1", Revision: 1}, {Name: "e2", Revision: 2}}
	m, peer := mirror.New(mirror.Options{}), mirror.New(mirror.Options{})
	m.Replace(now, first, 2, false)
	peer.Replace(now, first, 2, false)
	peer.Apply(now, []mirror.Item{{Name: "e1", Revision: 3, Deleted: true}, {Name: "e2", Revision: 4}, {Name: "e3", Revision: 5}}, 5, false)
	m.Merge(now, []mirror.Item{{Name: "e3", Revision: 5}}, 6, false)
	c := newPublishedCopy(peer, nil).changesSince(now, m.Revision(), true)
	g.Expect(c.Items).To(HaveLen(2))
	g.Expect(c.Gone).To(HaveLen(1))
}

// Guards against a change that hides others from an instance: of these, the list from the store lacked some, and the change came after it.
func TestChangeAfterIncompleteList(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	m := mirror.New(mirror.Options{})
	apply := func(u update) { u.apply(now, m, u.items) }
	apply(update{items: []mirror.Item{{Name: "e1", Revision: 1}}, rev: 2, list: true, complete: true})
	apply(update{items: []mirror.Item{{Name: "e2", Revision: 5}}, rev: 6, list: true, part: true})
	g.Expect(m.Revision()).To(Equal(core.Revision(2)))
	apply(update{items: []mirror.Item{{Name: "e3", Revision: 7}}, since: 6, rev: 7})
	g.Expect(m.Revision()).To(Equal(core.Revision(2)))
	g.Expect(m.LastChange()).To(Equal(core.Revision(7)))
	apply(update{items: []mirror.Item{{Name: "e1", Revision: 4}, {Name: "e2", Revision: 5}}, since: 2, rev: 7})
	g.Expect(m.Revision()).To(Equal(core.Revision(7)))
	apply(update{items: []mirror.Item{{Name: "e4", Revision: 8}}, since: 7, rev: 8})
	g.Expect(m.Revision()).To(Equal(core.Revision(8)))
}

// Guards against one entry in doubt that holds back all other changes of its collection: instances that fetch copies send requests to
// endpoints that have long reported that they leave (review of 2026-12, case 1).
func TestDoubtHoldsBackNoOtherChange(t *testing.T) {
	for c := range collectionCount {
		t.Run(c.String(), func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1_700_000_000, 0)
			source, reader := mirror.New(mirror.Options{Grace: endpointGrace}), mirror.New(mirror.Options{Grace: endpointGrace})
			source.Replace(now, []mirror.Item{{Name: "e1", Revision: 1}, {Name: "e2", Revision: 2}}, 2, false)
			s := newPublishedCopy(source, nil)
			fetch := func(after time.Duration) {
				u := decodeCopy(now.Add(after), c, "source", reader.Revision(), s.changesSince(now.Add(after), reader.Revision(), true))
				u.apply(now.Add(after), reader, u.items)
			}
			fetch(0)
			source.Apply(now, []mirror.Item{{Name: "e1", Revision: 3, Deleted: true}}, 3, true)
			g.Expect(source.LastChange()).To(Equal(core.Revision(3)), "others learn of the doubt")
			s = newPublishedCopy(source, s)
			fetch(100 * time.Millisecond)
			source.Apply(now, []mirror.Item{{Name: "e2", Revision: 4}, {Name: "e3", Revision: 5}}, 5, true)
			s = newPublishedCopy(source, s)
			fetch(200 * time.Millisecond)
			g.Expect(reader.Items()).To(Equal([]mirror.Item{{Name: "e1", Revision: 1}, {Name: "e2", Revision: 4}, {Name: "e3", Revision: 5}}))
			g.Expect(reader.LastChange()).To(Equal(source.LastChange()))
			for _, m := range []*mirror.Mirror{source, reader} {
				g.Expect(m.Expire(now.Add(endpointGrace - time.Millisecond))).To(BeFalse())
				g.Expect(m.Expire(now.Add(endpointGrace))).To(BeTrue(), "at the reader when at the source")
				g.Expect(m.Items()).To(Equal([]mirror.Item{{Name: "e2", Revision: 4}, {Name: "e3", Revision: 5}}))
			}
		})
	}
}
