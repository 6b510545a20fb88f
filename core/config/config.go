// Package config holds an instance's copy of the configuration objects. The copy never goes back: an object is
// replaced only by a higher version, and a deletion is a version too. It is used by one goroutine.
package config

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/internal/testhook"
	"monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

// Kind is a kind of configuration object. Its value is its kind in the object API.
type Kind string

// The kinds of configuration objects.
const (
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindTemplate, KindWorkspace}

// ErrFull means that an object was not applied because the set has reached its size limit.
var ErrFull = errors.New("the configuration exceeds its size limit")

// Object is one version of a configuration object. A deleted object is a tombstone without value.
type Object struct {
	Kind    Kind
	Name    string
	Version core.Revision
	Value   string
	Deleted bool
}

// Options bounds a Set. Zero fields have the defaults that are stated with them.
type Options struct {
	MaxBytes      int // names and values: 96 MB, 48,000 workspaces at 2 KB
	MaxTombstones int // per kind: 4096, two days of changes at target size
}

type item struct {
	version core.Revision
	value   string
	deleted bool
}

type collection struct {
	items      map[string]item
	complete   core.Revision // every change up to this revision is applied
	trimmed    core.Revision // deletions up to this revision may lack a tombstone
	hash       uint64        // XOR of the hashes of all live objects
	tombstones int
}

// Unlisted is the revision of a set that no listing was applied to. An empty object API has revision 0.
const Unlisted core.Revision = -1

// Set is the set of configuration objects with the highest versions seen.
type Set struct {
	o     Options
	kinds map[Kind]*collection
	bytes int
	top   core.Revision
}

// New returns an empty set.
func New(o Options) *Set {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 96 << 20
	}
	if o.MaxTombstones <= 0 {
		o.MaxTombstones = 4096
	}
	s := &Set{o: o, kinds: map[Kind]*collection{}}
	for _, k := range Kinds {
		s.kinds[k] = &collection{items: map[string]item{}, complete: Unlisted}
	}
	return s
}

// Apply applies an object if its version is higher than the known one, and reports whether it did.
func (s *Set) Apply(o Object) (bool, error) { return s.apply(o, false) }

func (s *Set) apply(o Object, older bool) (bool, error) {
	c, ok := s.kinds[o.Kind]
	if !ok || o.Name == "" || o.Version <= 0 {
		return false, errors.Errorf("invalid configuration object %.20q/%.80q of version %d", o.Kind, o.Name, o.Version)
	}
	old, known := c.items[o.Name]
	// A version that the complete revision covers is applied already, or was replaced by a deletion whose tombstone
	// was dropped or never seen.
	if o.Version <= max(old.version, c.complete) && !older {
		return false, nil
	}
	if o.Deleted {
		o.Value = ""
	}
	size := s.bytes + len(o.Value) - len(old.value)
	if !known {
		size += len(o.Name)
	}
	if size > s.o.MaxBytes {
		return false, errors.Wrapf(ErrFull, "%s/%s", o.Kind, o.Name)
	}
	s.bytes = size
	if known && !old.deleted {
		c.hash ^= hash(o.Kind, o.Name, old.version)
	}
	if known && old.deleted {
		c.tombstones--
	}
	if o.Deleted {
		c.tombstones++
	} else {
		c.hash ^= hash(o.Kind, o.Name, o.Version)
	}
	c.items[o.Name] = item{version: o.Version, value: o.Value, deleted: o.Deleted}
	s.top = max(s.top, o.Version)
	if c.tombstones > s.o.MaxTombstones {
		s.trim(c)
	}
	return true, nil
}

// trim drops the older half of the tombstones. Only those that are covered by the complete revision may go, because
// Apply refuses the versions that it covers.
func (s *Set) trim(c *collection) {
	var old []string
	for name, it := range c.items {
		if it.deleted && it.version <= c.complete {
			old = append(old, name)
		}
	}
	slices.SortFunc(old, func(a, b string) int { return cmp.Compare(c.items[a].version, c.items[b].version) })
	for _, name := range old[:min(len(old), max(0, c.tombstones-s.o.MaxTombstones/2))] {
		c.trimmed = max(c.trimmed, c.items[name].version)
		s.bytes -= len(name)
		c.tombstones--
		delete(c.items, name)
	}
}

func hash(k Kind, name string, v core.Revision) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(k)) // never fails
	_, _ = d.WriteString("\x00" + name + "\x00")
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(v)))
	return d.Sum64()
}

// ApplyChanges applies the changes of a kind that follow the revision after, as a watch reports them, and returns those
// that were new. Revision is the revision up to which they are complete.
func (s *Set) ApplyChanges(kind Kind, after, revision core.Revision, items []Object) ([]Object, error) {
	fresh, err := s.applyAll(items, testhook.AcceptOlderVersions.Load())
	if c := s.kinds[kind]; err == nil && c != nil && after <= c.complete {
		c.complete = max(c.complete, revision)
	}
	return fresh, err
}

// ApplyListing applies a complete listing of a kind made at a revision. Known objects that it lacks were deleted if
// their versions are not higher than the revision. It returns the objects that changed.
func (s *Set) ApplyListing(kind Kind, revision core.Revision, items []Object) ([]Object, error) {
	c := s.kinds[kind]
	if c == nil {
		return nil, errors.Errorf("unknown kind %.20q", kind)
	}
	fresh, err := s.applyAll(items, false)
	if err != nil || revision <= c.complete {
		return fresh, err
	}
	listed := lo.SliceToMap(items, func(o Object) (string, core.Revision) { return o.Name, o.Version })
	for name, it := range maps.Clone(c.items) {
		// A listed lower version is the tombstone of an earlier deletion, kept by a peer.
		if it.deleted || it.version > revision || listed[name] == it.version {
			continue
		}
		// The version of the deletion is unknown. The revision of the listing is not lower, and any later
		// write has a higher one.
		o := Object{Kind: kind, Name: name, Version: revision, Deleted: true}
		if it.version == revision {
			continue // the listing cannot lack an object of its own revision
		}
		if ok, err := s.Apply(o); err != nil {
			return fresh, err
		} else if ok {
			fresh = append(fresh, o)
		}
	}
	c.complete = revision
	c.trimmed = revision // a listing doesn't show what was deleted before it
	return fresh, nil
}

func (s *Set) applyAll(items []Object, older bool) ([]Object, error) {
	var fresh []Object
	var first error
	for _, o := range items {
		ok, err := s.apply(o, older)
		if ok {
			fresh = append(fresh, o)
		}
		if err != nil && first == nil {
			first = err
		}
	}
	return fresh, first
}

// CompleteRevision returns the revision up to which every change of a kind is applied; a watch continues after it. It is
// Unlisted until a listing, or the complete set of a peer, was applied.
func (s *Set) CompleteRevision(kind Kind) core.Revision {
	if c := s.kinds[kind]; c != nil {
		return c.complete
	}
	return Unlisted
}

// Ready reports whether a complete configuration is known.
func (s *Set) Ready() bool {
	return lo.EveryBy(Kinds, func(k Kind) bool { return s.kinds[k].complete != Unlisted })
}

// HighestVersion returns the highest version applied, which is the configuration in force.
func (s *Set) HighestVersion() core.Revision { return s.top }

// Digest summarizes a set for gossip. Sets with equal hashes hold the same versions of the same objects.
type Digest struct {
	Revision core.Revision // every change up to it is applied
	Hash     string
}

// Digest returns the digest of the set.
func (s *Set) Digest() Digest {
	d := Digest{Revision: lo.Min(lo.Map(Kinds, func(k Kind, _ int) core.Revision { return s.kinds[k].complete }))}
	var h uint64
	for _, k := range Kinds {
		h ^= s.kinds[k].hash
	}
	d.Hash = fmt.Sprintf("%016x", h)
	return d
}

// Delta is what a set with the digest After lacks. A full delta also tells which objects don't exist.
type Delta struct {
	After, Revision core.Revision
	Full            bool
	Objects         []Object
}

// Delta returns what a peer with the digest d lacks, in the order of versions. A full delta is needed if the
// peer's revision is older than the tombstones kept here and its objects differ.
func (s *Set) Delta(d Digest) Delta {
	own := s.Digest()
	out := Delta{After: d.Revision, Revision: own.Revision}
	equal := d.Hash == own.Hash
	gap := lo.SomeBy(Kinds, func(k Kind) bool { return d.Revision < s.kinds[k].trimmed })
	if d.Revision != Unlisted && equal && (gap || d.Revision >= own.Revision) {
		// With a gap, the peer could not pass on the deletions up to the own revision, so it must not adopt it.
		out.Revision = d.Revision
		return out
	}
	out.Full = d.Revision == Unlisted || gap
	for _, k := range Kinds {
		for name, it := range s.kinds[k].items {
			if out.Full || it.version > d.Revision && (!equal || it.deleted) {
				out.Objects = append(out.Objects, Object{Kind: k, Name: name, Version: it.version, Value: it.value, Deleted: it.deleted})
			}
		}
	}
	slices.SortFunc(out.Objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Merge applies the delta of a peer and returns the objects that changed.
func (s *Set) Merge(d Delta) ([]Object, error) {
	if !d.Full {
		fresh, err := s.applyAll(d.Objects, false)
		if err != nil {
			return fresh, err
		}
		for _, c := range s.kinds {
			if d.After <= c.complete {
				c.complete = max(c.complete, d.Revision)
			}
		}
		return fresh, nil
	}
	by := lo.GroupBy(d.Objects, func(o Object) Kind { return o.Kind })
	var fresh []Object
	for _, k := range Kinds {
		f, err := s.ApplyListing(k, d.Revision, by[k])
		fresh = append(fresh, f...)
		if err != nil {
			return fresh, err
		}
	}
	return fresh, nil
}

// Get returns a live object.
func (s *Set) Get(kind Kind, name string) (Object, bool) {
	c := s.kinds[kind]
	if c == nil {
		return Object{}, false
	}
	it, ok := c.items[name]
	return Object{Kind: kind, Name: name, Version: it.version, Value: it.value}, ok && !it.deleted
}

// Snapshot is the configuration that a plan is compiled from: live objects by name.
type Snapshot struct {
	Revision              core.Revision
	Templates, Workspaces []Object
}

// Snapshot returns the live objects. Later changes of the set don't affect it.
func (s *Set) Snapshot() Snapshot {
	return Snapshot{Revision: s.top, Templates: s.live(KindTemplate), Workspaces: s.live(KindWorkspace)}
}

func (s *Set) live(k Kind) []Object {
	items := s.kinds[k].items
	out := make([]Object, 0, len(items))
	for name, it := range items {
		if !it.deleted {
			out = append(out, Object{Kind: k, Name: name, Version: it.version, Value: it.value})
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// FromPlatform converts objects of the object API; those of other kinds are left out.
func FromPlatform(items []platform.Item) []Object {
	return lo.FilterMap(items, func(it platform.Item, _ int) (Object, bool) {
		o := Object{Kind: Kind(it.Kind), Name: it.Name, Version: core.Revision(it.Version), Value: it.Value, Deleted: it.Deleted}
		return o, slices.Contains(Kinds, o.Kind)
	})
}

// FromPeer converts objects received by gossip; those of other kinds are left out.
func FromPeer(items []peer.Object) []Object {
	return lo.FilterMap(items, func(it peer.Object, _ int) (Object, bool) {
		o := Object{Kind: Kind(it.Kind), Name: it.Name, Version: core.Revision(it.Version), Value: it.Value, Deleted: it.Deleted}
		return o, slices.Contains(Kinds, o.Kind)
	})
}

// ToPeer converts objects for gossip.
func ToPeer(items []Object) []peer.Object {
	return lo.Map(items, func(o Object, _ int) peer.Object {
		return peer.Object{Kind: string(o.Kind), Name: o.Name, Version: int(o.Version), Value: o.Value, Deleted: o.Deleted}
	})
}
