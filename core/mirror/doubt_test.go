package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/mirror"
)

const (
	grace     = 1800 * time.Millisecond
	minOutage = time.Second
	recovery  = 2500 * time.Millisecond
	watchers  = 3 // of the instances; the others never read the store
	instances = 6
)

// write is a change that the store has acknowledged.
type write struct {
	name    string
	deleted bool
}

// site is a store with the mirrors of several instances.
type site struct {
	t         *rapid.T
	now       time.Time
	log       []write // by revision, from 1 on
	instances []*instance
	responses []response // on their way
	away      time.Time  // since when the store is away for all; zero if it is not
	returned  time.Time  // when it last returned
	// lost are the objects that were removed while the store was away, and not written again.
	lost    map[string]bool
	fetches int
}

// instance is a process with a mirror.
type instance struct {
	m         *mirror.Mirror
	cut       time.Time // since when it cannot read the store; zero if it can
	outageEnd time.Time
	listed    bool      // has read the store since its start
	started   time.Time // zero for the first process
	last      map[string]core.Revision
	floor     map[string]core.Revision // revisions that objects must not come back with
	held      map[string]core.Revision // objects that were there, as in the store, when that was lost for all
}

// response is what an instance learns from the store or from another instance's copy.
type response struct {
	to    *instance
	apply func(now time.Time, m *mirror.Mirror)
}

func newSite(t *rapid.T) *site {
	s := &site{t: t, now: begin, lost: map[string]bool{}}
	for range instances {
		s.instances = append(s.instances, &instance{m: mirror.New(mirror.Options{Grace: grace}), last: map[string]core.Revision{}, floor: map[string]core.Revision{}})
	}
	return s
}

func (s *site) revision() core.Revision { return core.Revision(len(s.log)) }

// state returns the revisions of the objects that are in the store as of a revision.
func (s *site) state(rev core.Revision) map[string]core.Revision {
	out := map[string]core.Revision{}
	for i, w := range s.log[:rev] {
		if delete(out, w.name); !w.deleted {
			out[w.name] = core.Revision(i + 1)
		}
	}
	return out
}

func (s *site) items(rev core.Revision) []mirror.Item {
	var out []mirror.Item
	state := s.state(rev)
	for _, name := range slices.Sorted(maps.Keys(state)) {
		out = append(out, item(name, state[name]))
	}
	return out
}

// write lets the store execute a write. Removals of what is not there change nothing.
func (s *site) write(name string, deleted bool) {
	if _, ok := s.state(s.revision())[name]; deleted && !ok {
		return
	}
	s.log = append(s.log, write{name, deleted})
	if delete(s.lost, name); deleted && !s.away.IsZero() {
		s.lost[name] = true
	}
}

func (s *site) setCut(i *instance, cut bool) {
	switch {
	case cut && i.cut.IsZero():
		i.cut = s.now
	case !cut && !i.cut.IsZero():
		if s.now.Sub(i.cut) >= minOutage {
			i.outageEnd = s.now
		}
		i.cut = time.Time{}
	}
}

// read returns the response to a call of an instance to the store.
func (s *site) read(i *instance, kind string) response {
	rev, since := s.revision(), i.m.Revision()
	afterOutage, starting := !i.outageEnd.IsZero() && s.now.Sub(i.outageEnd) < recovery, !i.started.IsZero() && s.now.Sub(i.started) < recovery
	outage := func(m *mirror.Mirror) bool { return afterOutage || starting && m.HasMissing() }
	items := s.items(rev)
	if !i.listed && kind != "part" {
		kind = "list"
	}
	i.listed = true
	switch kind {
	case "part":
		items = items[:len(items)/2]
		return response{i, func(now time.Time, m *mirror.Mirror) { m.Merge(now, items, rev, outage(m)) }}
	case "list":
		return response{i, func(now time.Time, m *mirror.Mirror) { m.Replace(now, items, rev, outage(m)) }}
	}
	var changes []mirror.Item
	for n, w := range s.log[since:] {
		it := item(w.name, since+core.Revision(n+1))
		it.Deleted = w.deleted
		changes = append(changes, it)
	}
	return response{i, func(now time.Time, m *mirror.Mirror) { m.Apply(now, changes, rev, outage(m)) }}
}

// wants reports whether an instance fetches another one's copy when it hears its digest.
func (s *site) wants(to, from *instance) bool {
	rev := from.m.LastChange()
	return to != from && from.m.Synced() && (!to.m.Synced() || rev > max(to.m.LastChange(), to.m.Revision()) || to.m.Behind() && rev > to.m.Revision())
}

// fetch returns another instance's copy.
func (s *site) fetch(to, from *instance) response {
	s.fetches++
	since := core.Revision(0)
	if to.m.Synced() {
		since = to.m.Revision()
	}
	c := from.m.Snapshot().Since(since)
	return response{to, func(now time.Time, m *mirror.Mirror) { m.Follow(now, c) }}
}

// receive applies a response and checks the mirror.
func (s *site) receive(r response) {
	r.apply(s.now, r.to.m)
	s.check(r.to)
}

func (s *site) fatalf(i *instance, format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("instance %d, store at %d, mirror at %d: %s", slices.Index(s.instances, i), s.revision(), i.m.Revision(), fmt.Sprintf(format, args...))
}

// check compares a mirror with what the store acknowledged.
func (s *site) check(i *instance) {
	got := map[string]core.Revision{}
	for _, it := range i.m.Items() {
		got[it.Name] = it.Revision
		if it.Revision < i.last[it.Name] {
			s.fatalf(i, "%s is at %d after %d", it.Name, it.Revision, i.last[it.Name])
		}
		if it.Revision <= i.floor[it.Name] {
			s.fatalf(i, "%s at %d is back", it.Name, it.Revision)
		}
	}
	inDoubt := map[string]bool{}
	for _, d := range i.m.Doubts() {
		inDoubt[d.Name] = true
	}
	present, known := s.state(s.revision()), s.state(i.m.Revision())
	for name, rev := range i.last {
		if _, ok := got[name]; ok {
			continue
		}
		if present[name] == rev {
			s.fatalf(i, "%s vanished, which is in the store", name)
		}
		if i.held[name] == rev && s.lost[name] && !s.returned.IsZero() && s.now.Sub(s.returned) < grace {
			s.fatalf(i, "%s vanished %v after the return of the store", name, s.now.Sub(s.returned))
		}
		delete(i.last, name)
		i.floor[name] = rev
	}
	for name, rev := range got {
		i.last[name] = rev
		if i.m.Synced() && rev <= i.m.Revision() && known[name] != rev && !inDoubt[name] {
			s.fatalf(i, "%s at %d is taken for present, of which the store has %d as of the mirror's revision", name, rev, known[name])
		}
	}
	for name, rev := range known {
		if _, ok := got[name]; !ok && present[name] == rev {
			s.fatalf(i, "%s at %d is unknown", name, rev)
		}
	}
}

// advance lets time pass.
func (s *site) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, i := range s.instances {
		i.m.Expire(s.now)
		s.check(i)
	}
}

// step does something at random.
func (s *site) step() {
	t := s.t
	any := func(n int) *instance { return s.instances[rapid.IntRange(0, n-1).Draw(t, "instance")] }
	name := func() string { return rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "object") }
	switch rapid.SampledFrom([]string{
		"pass", "pass", "write", "write", "remove", "cut", "back", "read", "read", "read", "digest", "digest", "digest", "digest",
		"late", "late", "restart", "away", "return", "return", "spread", "spread",
	}).Draw(t, "step") {
	case "pass":
		s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "time")) * 10 * time.Millisecond)
	case "write":
		if s.away.IsZero() {
			s.write(name(), false)
		}
	case "remove":
		s.write(name(), true) // entries also expire while the store is away
	case "cut":
		s.setCut(any(watchers), true)
	case "back":
		if s.away.IsZero() {
			s.setCut(any(watchers), false)
		}
	case "read":
		if i := any(watchers); i.cut.IsZero() {
			s.send(s.read(i, rapid.SampledFrom([]string{"list", "changes", "changes", "part"}).Draw(t, "call")))
		}
	case "digest":
		if to, from := any(instances), any(instances); s.wants(to, from) {
			s.send(s.fetch(to, from))
		}
	case "late":
		if n := len(s.responses); n > 0 {
			k := rapid.IntRange(0, n-1).Draw(t, "response")
			r := s.responses[k]
			s.responses = append(s.responses[:k], s.responses[k+1:]...)
			s.receive(r)
		}
	case "restart":
		// A process that starts around the return of the store does not know that it was away, and may take an entry that expired for one
		// that was removed. None starts here then.
		if i := any(instances); s.away.IsZero() && (s.returned.IsZero() || s.now.Sub(s.returned) >= recovery) {
			i.m, i.outageEnd, i.listed, i.started = mirror.New(mirror.Options{Grace: grace}), time.Time{}, false, s.now
			i.last, i.floor, i.held = map[string]core.Revision{}, map[string]core.Revision{}, nil
			s.drop(i)
		}
	case "away":
		if !s.away.IsZero() {
			return
		}
		s.away, s.returned, s.lost = s.now, time.Time{}, map[string]bool{}
		present := s.state(s.revision())
		// The grace period of an object that is in doubt already at one of them may end during the next outage.
		for _, i := range s.instances {
			for _, d := range i.m.Doubts() {
				delete(present, d.Name)
			}
		}
		for n, i := range s.instances {
			if n < watchers {
				s.setCut(i, true)
			}
			i.held = map[string]core.Revision{}
			for _, it := range i.m.Items() {
				if present[it.Name] == it.Revision {
					i.held[it.Name] = it.Revision
				}
			}
		}
	case "return":
		if s.away.IsZero() || s.now.Sub(s.away) < minOutage {
			return
		}
		s.comeBack()
	case "spread":
		s.spread(any(watchers), name(), rapid.Bool().Draw(t, "removed"))
	}
}

// comeBack ends an outage of the store, which all have noticed.
func (s *site) comeBack() {
	s.away, s.returned = time.Time{}, s.now
	for _, i := range s.instances[:watchers] {
		i.cut = s.now.Add(-minOutage)
		s.setCut(i, false)
	}
}

// spread lets the store execute a write that one instance reads, and whose digest reaches all others.
func (s *site) spread(from *instance, name string, deleted bool) {
	if !from.cut.IsZero() || !s.away.IsZero() {
		return
	}
	s.receive(s.read(from, "list"))
	s.write(name, deleted)
	s.receive(s.read(from, "changes"))
	rev, present := s.state(s.revision())[name]
	for _, i := range s.instances {
		if s.wants(i, from) {
			s.receive(s.fetch(i, from))
		}
		known := core.Revision(0)
		for _, it := range i.m.Items() {
			if it.Name == name {
				known = it.Revision
			}
		}
		inDoubt := false
		for _, d := range i.m.Doubts() {
			inDoubt = inDoubt || d.Name == name
		}
		switch {
		case present && known != rev:
			s.fatalf(i, "%s is known at %d, not at %d", name, known, rev)
		case !present && known > 0 && !inDoubt:
			s.fatalf(i, "%s at %d is not known to be removed", name, known)
		}
	}
}

// send applies a response now, later or never.
func (s *site) send(r response) {
	switch rapid.SampledFrom([]string{"now", "now", "later", "lost"}).Draw(s.t, "arrives") {
	case "now":
		s.receive(r)
	case "later":
		s.responses = append(s.responses, r)
	}
}

// drop discards what is on its way to a process that has ended.
func (s *site) drop(i *instance) {
	var left []response
	for _, r := range s.responses {
		if r.to != i {
			left = append(left, r)
		}
	}
	s.responses = left
}

// settle lets all responses arrive and digests be heard until nothing is fetched any more, and compares the mirrors with the store.
func (s *site) settle() {
	for _, r := range s.responses {
		s.receive(r)
	}
	s.responses = nil
	if !s.away.IsZero() {
		s.comeBack()
	}
	for _, i := range s.instances[:watchers] {
		s.setCut(i, false)
	}
	s.write("last", false)
	for _, i := range s.instances[:watchers] {
		s.receive(s.read(i, "list"))
	}
	for range 5 {
		s.advance(grace / 2)
		s.fetches = 0
		for _, to := range s.instances {
			for _, from := range s.instances {
				if s.wants(to, from) {
					s.receive(s.fetch(to, from))
				}
			}
		}
	}
	if s.fetches > 0 {
		s.t.Fatalf("%d copies are still fetched", s.fetches)
	}
	want := s.state(s.revision())
	for _, i := range s.instances {
		got := map[string]core.Revision{}
		for _, it := range i.m.Items() {
			got[it.Name] = it.Revision
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			s.fatalf(i, "has %v, the store %v", got, want)
		}
	}
}

// Guards against mirrors that become older, lose objects of the store, keep others for good or learn late of changes, when copies with
// objects in doubt, lists and changes arrive in any order (review of 2026-12, case 1).
func TestCopiesWithDoubts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			s.step()
		}
		s.settle()
	})
}

// Guards against an old copy that brings an object back whose removal is no longer kept.
func TestOldCopyRestoresNothing(t *testing.T) {
	g := NewWithT(t)
	m := mirror.New(mirror.Options{Grace: grace})
	var items, removals []mirror.Item
	for n := range 300 {
		items = append(items, item(fmt.Sprint("e", n), 1))
		it := item(fmt.Sprint("e", n), core.Revision(10+n))
		it.Deleted = true
		removals = append(removals, it)
	}
	m.Replace(begin, items, 5, false)
	late := m.Snapshot().Since(2)
	m.Apply(begin, removals, 400, false)
	m.Follow(begin, late)
	g.Expect(names(m)).To(BeEmpty())
}

// Guards against an object that vanishes at once because another instance, which started after the object had expired during an outage
// of the store, has never known it; and against one that is kept although its removal is known.
func TestFullCopyWithoutObject(t *testing.T) {
	g := NewWithT(t)
	m, started := mirror.New(mirror.Options{Grace: grace}), mirror.New(mirror.Options{Grace: grace})
	m.Replace(begin, []mirror.Item{item("a", 1), item("b", 2), item("c", 3)}, 3, false)
	started.Replace(begin, []mirror.Item{item("b", 2), item("c", 3)}, 6, false)
	deleted := item("c", 7)
	deleted.Deleted = true
	started.Apply(begin, []mirror.Item{deleted}, 7, false)
	m.Follow(begin, started.Snapshot().Since(m.Revision()))
	g.Expect(names(m)).To(Equal([]string{"a", "b"}))
	g.Expect(m.Doubts()).To(Equal([]mirror.Doubt{{Name: "a", Revision: 7, Last: 1, Since: begin}}))
	g.Expect(m.Behind()).To(BeTrue(), "another instance may know whether a was removed")
	g.Expect(m.Expire(begin.Add(grace))).To(BeTrue())
	m.Follow(begin.Add(grace), started.Snapshot().Since(m.Revision()))
	g.Expect(m.Behind()).To(BeFalse())
	g.Expect(names(m)).To(Equal([]string{"b"}))
}
