package config_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/config"
)

func newWorkspace(name string, v core.Revision, value string) config.Object {
	return config.Object{Kind: config.KindWorkspace, Name: name, Version: v, Value: value, Deleted: value == ""}
}

// Guards against an older version, an older listing or a late push that reverts an accepted change.
func TestVersionsNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	s := config.New(config.Options{})
	apply := func(o config.Object) bool {
		ok, err := s.Apply(o)
		g.Expect(err).NotTo(HaveOccurred())
		return ok
	}
	g.Expect(apply(newWorkspace("a", 5, "five"))).To(BeTrue())
	g.Expect(apply(newWorkspace("a", 4, "four"))).To(BeFalse())
	g.Expect(apply(newWorkspace("a", 5, "again"))).To(BeFalse())
	g.Expect(apply(newWorkspace("a", 7, ""))).To(BeTrue())
	g.Expect(apply(newWorkspace("a", 6, "six"))).To(BeFalse(), "the tombstone has a higher version")
	_, ok := s.Get(config.KindWorkspace, "a")
	g.Expect(ok).To(BeFalse())
	g.Expect(apply(newWorkspace("b", 9, "nine"))).To(BeTrue())
	_, err := s.ApplyListing(config.KindWorkspace, 8, []config.Object{newWorkspace("c", 3, "three")})
	g.Expect(err).NotTo(HaveOccurred())
	_, ok = s.Get(config.KindWorkspace, "b")
	g.Expect(ok).To(BeTrue(), "a listing older than the object doesn't delete it")
	_, err = s.ApplyListing(config.KindWorkspace, 12, []config.Object{newWorkspace("b", 9, "nine")})
	g.Expect(err).NotTo(HaveOccurred())
	_, ok = s.Get(config.KindWorkspace, "c")
	g.Expect(ok).To(BeFalse(), "a later listing lacks it")
	g.Expect(apply(newWorkspace("c", 3, "three"))).To(BeFalse())
	g.Expect(apply(newWorkspace("never seen", 11, "late"))).To(BeFalse(), "complete up to 12, so it was deleted")
	g.Expect(s.HighestVersion()).To(BeEquivalentTo(12))
}

// Guards against instances that don't converge, or that revert to older versions, under any order of watches, pushes
// and gossip.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []config.Object // the object API's history; the version is the index + 1
		sets := make([]*config.Set, 3)
		seen := make([]map[string]core.Revision, len(sets))
		for i := range sets {
			sets[i] = config.New(config.Options{MaxTombstones: 2})
			seen[i] = map[string]core.Revision{}
		}
		objectsAt := func(at int) []config.Object { // the live objects at a revision
			m := map[string]config.Object{}
			for _, o := range history[:at] {
				m[string(o.Kind)+o.Name] = o
			}
			var out []config.Object
			for _, o := range m {
				if !o.Deleted {
					out = append(out, o)
				}
			}
			return out
		}
		list := func(s *config.Set, at int) {
			for _, k := range config.Kinds {
				var ofKind []config.Object
				for _, o := range objectsAt(at) {
					if o.Kind == k {
						ofKind = append(ofKind, o)
					}
				}
				if _, err := s.ApplyListing(k, core.Revision(at), ofKind); err != nil {
					t.Fatal(err)
				}
			}
		}
		pick := rapid.IntRange(0, len(sets)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				history = append(history, config.Object{
					Kind: rapid.SampledFrom(config.Kinds).Draw(t, "kind"), Name: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"),
					Version: core.Revision(len(history) + 1), Value: "v", Deleted: rapid.Bool().Draw(t, "deleted"),
				})
			},
			"push": func(t *rapid.T) {
				if len(history) > 0 {
					_, _ = sets[pick.Draw(t, "to")].Apply(rapid.SampledFrom(history).Draw(t, "object"))
				}
			},
			"watch": func(t *rapid.T) {
				s := sets[pick.Draw(t, "set")]
				for _, k := range config.Kinds {
					after := s.CompleteRevision(k)
					var items []config.Object
					for _, o := range history[max(0, after):] {
						if o.Kind == k {
							items = append(items, o)
						}
					}
					if after != config.NoRevision {
						_, _ = s.ApplyChanges(k, after, core.Revision(len(history)), items)
					}
				}
			},
			"list": func(t *rapid.T) { list(sets[pick.Draw(t, "set")], rapid.IntRange(0, len(history)).Draw(t, "at")) },
			"gossip": func(t *rapid.T) {
				a, b := sets[pick.Draw(t, "a")], sets[pick.Draw(t, "b")]
				_, _ = a.Merge(b.Delta(a.Digest()))
			},
			"": func(t *rapid.T) {
				for i, s := range sets {
					snap := s.Snapshot()
					for _, o := range append(snap.Templates, snap.Workspaces...) {
						id := string(o.Kind) + o.Name
						if o.Version < seen[i][id] {
							t.Fatalf("set %d went back from %d to %d on %s", i, seen[i][id], o.Version, id)
						}
						seen[i][id] = o.Version
						last := o
						for _, l := range history {
							if l.Kind == o.Kind && l.Name == o.Name && l.Version <= s.Digest().Revision {
								last = l
							}
						}
						if last.Version > o.Version {
							t.Fatalf("set %d has version %d of %s, but claims to be complete up to %d", i, o.Version, id, s.Digest().Revision)
						}
					}
				}
			},
		})
		list(sets[0], len(history))
		for range 2 {
			for i := range sets {
				if _, err := sets[i].Merge(sets[0].Delta(sets[i].Digest())); err != nil {
					t.Fatal(err)
				}
			}
		}
		want := config.New(config.Options{})
		list(want, len(history))
		for i, s := range sets {
			if s.Digest().Hash != want.Digest().Hash {
				t.Fatalf("set %d differs: %v, want %v", i, s.Snapshot(), want.Snapshot())
			}
		}
	})
}

// Guards against a Set that takes more than 1 KB of memory per workspace at the target of 48,000 workspaces.
func TestMemory(t *testing.T) {
	g := NewWithT(t)
	const n = 48000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := config.New(config.Options{})
	bytes := 0
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		value := fmt.Sprintf(`{"workspace":%q,"template":"desk","params":{"weight":%d,"region":"fi-south"},"keys":[%q,%q]}`,
			name, rand.IntN(100), strings.Repeat("a", 64), strings.Repeat("b", 64))
		bytes += len(value)
		ok, err := s.Apply(newWorkspace(name, core.Revision(i+1), strings.Clone(value)))
		g.Expect(ok, err).To(BeTrue())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perObject := (after.HeapAlloc - before.HeapAlloc) / n
	t.Logf("%d bytes of memory per workspace with a value of %d bytes", perObject, bytes/n)
	g.Expect(perObject).To(BeNumerically("<=", 1024))
	runtime.KeepAlive(s)

	small := config.New(config.Options{MaxBytes: 100})
	_, err := small.Apply(newWorkspace("a", 1, strings.Repeat("x", 200)))
	g.Expect(err).To(MatchError(config.ErrFull))
}
