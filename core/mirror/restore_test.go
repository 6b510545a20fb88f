package mirror_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

// versioned is an object with a content that only grows as long as the store loses nothing.
func versioned(name string, rev core.Revision, version int) mirror.Item {
	return mirror.Item{Name: name, Revision: rev, Body: strconv.AppendInt(nil, int64(version), 10)}
}

// versionOf returns the content of an object.
func versionOf(it mirror.Item) int {
	n, err := strconv.Atoi(string(it.Body))
	if err != nil {
		panic(err) // all bodies are of versioned
	}
	return n
}

var restorable = mirror.Options{Grace: grace, RestoredGrace: grace, Outdated: func(known, offered mirror.Item, removed bool) bool {
	return versionOf(offered) < versionOf(known) || removed && versionOf(offered) == versionOf(known)
}}

// versions returns the contents of a mirror.
func versions(m *mirror.Mirror) map[string]int {
	out := map[string]int{}
	for _, it := range m.Items() {
		out[it.Name] = versionOf(it)
	}
	return out
}

// kept returns the highest revision of what a mirror keeps.
func kept(m *mirror.Mirror) core.Revision {
	rev, _ := m.Kept()
	return rev
}

// Guards against an older content, a removed object or a missing one that a restored store brings into force, and against passing any of
// them on to an instance that has read the store before it heard of others.
func TestRestoredStore(t *testing.T) {
	g := NewWithT(t)
	at := core.NewRevision
	m := mirror.New(restorable)
	m.Replace(begin, []mirror.Item{versioned("newer", at(1, 5), 2), versioned("left", at(1, 2), 1), versioned("lost", at(1, 6), 1)}, at(1, 6), false)
	left := versioned("left", at(1, 7), 1)
	left.Deleted = true
	m.Apply(begin, []mirror.Item{left}, at(1, 7), false)
	restored := []mirror.Item{versioned("newer", at(2, 3), 1), versioned("left", at(2, 2), 1)}
	m.Replace(begin, restored, at(2, 4), false)
	g.Expect(versions(m)).To(Equal(map[string]int{"newer": 2, "lost": 1}))
	g.Expect(m.Doubts()).To(HaveLen(1), "lost may be written again")

	started := mirror.New(restorable)
	started.Replace(begin, restored, at(2, 4), false)
	g.Expect(kept(m)).To(BeNumerically(">", kept(started)), "this is why it fetches a copy")
	started.Follow(begin, m.Snapshot().Since(1))
	g.Expect(versions(started)).To(Equal(map[string]int{"newer": 2}))
	g.Expect(kept(started)).To(Equal(kept(m)))
	started.Replace(begin, restored, at(2, 4), false)
	g.Expect(versions(started)).To(Equal(map[string]int{"newer": 2}), "also after the next list")

	m.Replace(begin, []mirror.Item{versioned("lost", at(1, 6), 1)}, at(1, 9), false)
	m.Apply(begin, []mirror.Item{versioned("newer", at(1, 10), 1)}, at(1, 10), false)
	g.Expect(versions(m)).To(Equal(map[string]int{"newer": 2, "lost": 1}), "late answers of the former era")
	m.Apply(begin, []mirror.Item{versioned("newer", at(2, 5), 2), versioned("left", at(2, 6), 2)}, at(2, 6), true)
	g.Expect(versions(m)).To(Equal(map[string]int{"newer": 2, "left": 2, "lost": 1}), "written again, and by a later process")
	g.Expect(kept(m)).To(BeZero())
	g.Expect(m.Expire(begin.Add(grace))).To(BeTrue())
	g.Expect(versions(m)).To(Equal(map[string]int{"newer": 2, "left": 2}))
}

// restoredStore is a store that is restored at times, with mirrors of several instances. Each object has an owner that writes rising
// versions, and again what the store has lost: the same version of a configuration, a later state of an endpoint.
type restoredStore struct {
	t        *rapid.T
	config   bool
	version  int // highest one
	now      time.Time
	era      core.Era
	log      []versionedWrite // by revision, from 1 on
	owned    map[string]versionedWrite
	lost     map[string]time.Time // by owner: since when the store lacks its last write
	mirrors  []*mirror.Mirror
	late     []func() // answers on their way
	versions []map[string]int
	removed  []map[string]int // last versions of objects that were found to be removed
}

type versionedWrite struct {
	name    string
	version int
	deleted bool
}

func (s *restoredStore) rev(n int) core.Revision { return core.NewRevision(s.era, int64(n)) }

func (s *restoredStore) write(w versionedWrite) {
	s.log = append(s.log, w)
	s.owned[w.name] = w
	delete(s.lost, w.name)
}

// items returns the objects of the store.
func (s *restoredStore) items() []mirror.Item {
	state := map[string]mirror.Item{}
	for i, w := range s.log {
		if delete(state, w.name); !w.deleted {
			state[w.name] = versioned(w.name, s.rev(i+1), w.version)
		}
	}
	return slices.Collect(maps.Values(state))
}

// restore drops the last writes.
func (s *restoredStore) restore(n int) {
	kept := max(len(s.log)-n, 1)
	for _, w := range s.log[kept:] {
		if _, ok := s.lost[w.name]; !ok {
			s.lost[w.name] = s.now
		}
	}
	s.log = slices.Clone(s.log[:kept])
	s.era++
}

// writeAgain lets an owner write what the store has lost.
func (s *restoredStore) writeAgain(name string) {
	w := s.owned[name]
	if !s.config && !w.deleted {
		s.version++
		w.version = s.version
	}
	s.write(w)
}

func (s *restoredStore) send(i int, apply func(m *mirror.Mirror)) {
	m := s.mirrors[i]
	f := func() {
		if s.mirrors[i] == m {
			apply(m)
			s.check(i)
		}
	}
	switch rapid.SampledFrom([]string{"now", "now", "later", "lost"}).Draw(s.t, "arrives") {
	case "now":
		f()
	case "later":
		s.late = append(s.late, f)
	}
}

// read lets an instance call the store: a list, or the changes since the revision of its mirror.
func (s *restoredStore) read(i int) {
	m, items, rev, now := s.mirrors[i], s.items(), s.rev(len(s.log)), s.now
	since := m.Revision()
	if !m.Synced() || since.Era() != s.era || rapid.Bool().Draw(s.t, "list") {
		s.send(i, func(m *mirror.Mirror) { m.Replace(now, items, rev, false) })
		return
	}
	var changes []mirror.Item
	for n := since.Number(); n < int64(len(s.log)); n++ {
		w := s.log[n]
		it := versioned(w.name, s.rev(int(n)+1), w.version)
		it.Deleted = w.deleted
		changes = append(changes, it)
	}
	s.send(i, func(m *mirror.Mirror) { m.Apply(now, changes, rev, false) })
}

// follow lets an instance fetch a copy if another one's digest says that it has something newer.
func (s *restoredStore) follow(i, from int) bool {
	m, o := s.mirrors[i], s.mirrors[from]
	var since core.Revision
	switch {
	case !o.Synced() || i == from:
		return false
	case !m.Synced():
	case o.LastChange() > max(m.LastChange(), m.Revision()) || m.Behind() && o.LastChange() > m.Revision():
		since = m.Revision()
	case kept(o) > kept(m):
		since = 1
	default:
		return false
	}
	c := o.Snapshot().Since(since)
	s.send(i, func(m *mirror.Mirror) { m.Follow(s.now, c) })
	return true
}

// check compares a mirror with what it had before: no version goes back, also not by a removal in between.
func (s *restoredStore) check(i int) {
	got := versions(s.mirrors[i])
	for name, v := range got {
		if v < s.versions[i][name] || v <= s.removed[i][name] {
			s.t.Fatalf("instance %d: %s has version %d after %d, or removal of %d", i, name, v, s.versions[i][name], s.removed[i][name])
		}
	}
	for name, v := range s.versions[i] {
		if _, ok := got[name]; ok {
			continue
		}
		if since, lost := s.lost[name]; lost && !s.config && !s.owned[name].deleted && s.owned[name].version == v && s.now.Sub(since) < grace {
			s.t.Fatalf("instance %d: %s vanished %v after the restore", i, name, s.now.Sub(since))
		}
		if s.config {
			s.t.Fatalf("instance %d: %s vanished", i, name)
		}
		if s.owned[name].deleted { // its owner has left; others may come back
			s.removed[i][name] = v
		}
	}
	s.versions[i] = got
}

// Guards against anything that a restored store, an answer of an earlier era or a copy undoes, and against objects that stay in force
// although nobody has written them again.
func TestRestoresUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		s := &restoredStore{t: t, config: rapid.Bool().Draw(t, "configuration"), version: 1, now: begin, era: 1, owned: map[string]versionedWrite{}, lost: map[string]time.Time{}}
		reset := func(i int) {
			o := restorable
			if s.config {
				o.Grace, o.RestoredGrace = 0, math.MaxInt64
			}
			s.mirrors[i], s.versions[i], s.removed[i] = mirror.New(o), map[string]int{}, map[string]int{}
		}
		s.mirrors, s.versions, s.removed = make([]*mirror.Mirror, n), make([]map[string]int, n), make([]map[string]int, n)
		for i := range n {
			reset(i)
		}
		s.write(versionedWrite{name: "first", version: 1})
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "object")
			switch rapid.SampledFrom([]string{"pass", "write", "write", "remove", "read", "read", "copy", "copy", "copy", "late", "late", "restore", "again", "again", "restart"}).Draw(t, "step") {
			case "pass":
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "time")) * 10 * time.Millisecond)
				for i, m := range s.mirrors {
					m.Expire(s.now)
					s.check(i)
				}
			case "write":
				s.version++
				s.write(versionedWrite{name: name, version: s.version})
			case "remove":
				if w, ok := s.owned[name]; ok && !w.deleted && !s.config {
					s.write(versionedWrite{name: name, version: w.version, deleted: true})
				}
			case "read":
				s.read(i)
			case "copy":
				s.follow(i, rapid.IntRange(0, n-1).Draw(t, "from"))
			case "late":
				if len(s.late) > 0 {
					k := rapid.IntRange(0, len(s.late)-1).Draw(t, "answer")
					f := s.late[k]
					s.late = slices.Delete(s.late, k, k+1)
					f()
				}
			case "restore":
				s.restore(rapid.IntRange(0, 6).Draw(t, "writes"))
			case "again":
				if _, ok := s.lost[name]; ok {
					s.writeAgain(name)
				}
			case "restart":
				reset(i)
			}
		}
		s.settle()
	})
}

// settle lets the owners write again what is lost and all instances hear of it, and compares the mirrors with what the owners have
// written.
func (s *restoredStore) settle() {
	for name := range s.owned {
		if _, ok := s.lost[name]; ok {
			s.writeAgain(name)
		}
	}
	for range 4 {
		s.now = s.now.Add(grace)
		for i, m := range s.mirrors {
			m.Expire(s.now)
			m.Replace(s.now, s.items(), s.rev(len(s.log)), false)
			for from := range s.mirrors {
				if o := s.mirrors[from]; kept(o) > kept(m) {
					m.Follow(s.now, o.Snapshot().Since(1))
				}
			}
			s.check(i)
		}
	}
	want := map[string]int{}
	for name, w := range s.owned {
		if !w.deleted {
			want[name] = w.version
		}
	}
	for i, m := range s.mirrors {
		if got := versions(m); fmt.Sprint(got) != fmt.Sprint(want) {
			s.t.Fatalf("instance %d has %v, not %v", i, got, want)
		}
	}
}
