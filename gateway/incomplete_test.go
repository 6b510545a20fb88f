package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

// scriptedStore answers the next watch and the next list as set.
type scriptedStore struct {
	Store
	changes    []mirror.Item
	changedTo  core.Revision
	list       []mirror.Item
	listedAt   core.Revision
	incomplete bool
}

func (s *scriptedStore) Watch(context.Context, Collection, core.Revision, time.Duration) ([]mirror.Item, core.Revision, error) {
	return s.changes, s.changedTo, nil
}

func (s *scriptedStore) List(context.Context, Collection) ([]mirror.Item, core.Revision, error) {
	if s.incomplete {
		return s.list, s.listedAt, ErrIncomplete
	}
	return s.list, s.listedAt, nil
}

// Guards against a revision up to which an instance claims to know all changes, although a list lacked some, and against one that stays
// behind for good although a complete list, or all changes, have come.
func TestRevisionOfIncompleteStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	m := mirror.New(mirror.Options{})
	updates := make(chan update, 1)
	s := &scriptedStore{}
	w := &storeWatcher{collection: Instances, store: s, updates: updates, watch: new(watchState)}
	item := func(name string, rev core.Revision) []mirror.Item {
		return []mirror.Item{{Name: name, Revision: rev}}
	}
	unnamed := []mirror.Item{{Revision: 1}}
	for i, c := range []struct {
		changes    []mirror.Item
		changedTo  core.Revision
		list       []mirror.Item // nil if none is expected
		listedAt   core.Revision
		incomplete bool
		revision   core.Revision // of the mirror afterwards
		behind     bool
		known      []string
	}{
		{nil, 0, item("a", 9), 10, true, 0, true, []string{"a"}},
		{item("b", 12), 12, item("a", 9), 14, true, 0, true, []string{"a", "b"}},
		{item("b", 15), 15, item("c", 3), 16, false, 16, false, []string{"c"}},
		{nil, 20, nil, 0, false, 16, false, []string{"c"}},
		{item("d", 22), 22, nil, 0, false, 22, false, []string{"c", "d"}},
		{unnamed, 25, item("e", 26), 30, true, 22, true, []string{"c", "d", "e"}},
		{item("f", 31), 31, item("e", 26), 32, true, 22, true, []string{"c", "d", "e", "f"}},
		{item("f", 33), 33, item("f", 33), 34, false, 34, false, []string{"f"}},
		{item("g", 35), 35, nil, 0, false, 35, false, []string{"f", "g"}},
		{unnamed, 36, item("f", 33), 37, true, 35, true, []string{"f", "g"}},
		{item("h", 39), 39, item("i", 40), 44, true, 39, false, []string{"f", "g", "h", "i"}}, // after a copy of another instance
	} {
		if i == 10 {
			m.Apply(now, nil, 38, false)
		}
		s.changes, s.changedTo, s.list, s.listedAt, s.incomplete = c.changes, c.changedTo, c.list, c.listedAt, c.incomplete
		g.Expect(w.fetch(t.Context())).To(Succeed())
		select {
		case u := <-updates:
			var items []mirror.Item
			for _, it := range u.items {
				if it.Identified() {
					items = append(items, it)
				}
			}
			u.apply(now, m, items)
		default:
			g.Expect(c.changes).To(BeEmpty(), "step %d", i)
		}
		g.Expect(m.Revision()).To(Equal(c.revision), "step %d", i)
		g.Expect(m.Behind()).To(Equal(c.behind), "step %d", i)
		var names []string
		for _, it := range m.Items() {
			names = append(names, it.Name)
		}
		g.Expect(names).To(Equal(c.known), "step %d", i)
	}
}

// Guards against an instance that never asks others for what a list from the store lacked, or asks them all the time.
func TestCatchUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	gw := &Gateway{}
	m := mirror.New(mirror.Options{})
	gw.mirrors[Endpoints] = m
	m.Replace(now, []mirror.Item{{Name: "a", Revision: 1}}, 5, false)
	g.Expect(gw.mayCatchUp(now, Endpoints, 8)).To(BeFalse(), "complete")
	m.Merge(now, []mirror.Item{{Name: "b", Revision: 8}}, 10, false)
	g.Expect(gw.mayCatchUp(now, Endpoints, 5)).To(BeFalse(), "the other one knows no more")
	g.Expect(gw.mayCatchUp(now, Endpoints, 8)).To(BeTrue())
	g.Expect(gw.fetches[Endpoints].start(now, "x")).To(BeTrue())
	g.Expect(gw.mayCatchUp(now.Add(900*time.Millisecond), Endpoints, 8)).To(BeFalse())
	g.Expect(gw.mayCatchUp(now.Add(time.Second), Endpoints, 8)).To(BeTrue())
}
