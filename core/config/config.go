// Package config holds the replica of the configuration objects that each instance keeps. It is updated by listings and
// watches of the object API and by gossip with peers. Versions never decrease: an object is replaced only by a higher
// version, and a deletion is a version too. A Set is not safe for concurrent use.
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

// Kind is a kind of configuration object, under its name in the object API.
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

// Options limits the size of a Set. Zero fields get their defaults.
type Options struct {
	MaxBytes      int // names and values; default 96 MB, for 48,000 workspaces of 2 KB
	MaxTombstones int // per kind; default 4096, two days of changes at the target size
}

// item is the latest known version of an object.
type item struct {
	version core.Revision
	value   string
	deleted bool
}

// collection holds the objects of one kind by name, including tombstones.
type collection struct {
	items            map[string]item
	completeRevision core.Revision // every change up to this revision is applied
	trimmedRevision  core.Revision // deletions up to this revision may lack a tombstone
	hash             uint64        // XOR of the hashes of all live objects
	tombstones       int
}

// NoRevision is the complete revision of a Set that never had a full listing. It differs from 0, which is the revision
// of an empty object API.
const NoRevision core.Revision = -1

// Set holds the highest known version of each configuration object.
type Set struct {
	opts           Options
	kinds          map[Kind]*collection
	size           int
	highestVersion core.Revision
}

// New returns an empty set.
func New(opts Options) *Set {
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = 96 << 20
	}
	if opts.MaxTombstones <= 0 {
		opts.MaxTombstones = 4096
	}
	s := &Set{opts: opts, kinds: map[Kind]*collection{}}
	for _, k := range Kinds {
		s.kinds[k] = &collection{items: map[string]item{}, completeRevision: NoRevision}
	}
	return s
}

// Apply applies an object if its version is higher than the known one, and reports whether it did.
func (s *Set) Apply(o Object) (bool, error) { return s.apply(o, false) }

func (s *Set) apply(o Object, acceptOlder bool) (bool, error) {
	c, ok := s.kinds[o.Kind]
	if !ok || o.Name == "" || o.Version <= 0 {
		return false, errors.Errorf("invalid configuration object %.20q/%.80q of version %d", o.Kind, o.Name, o.Version)
	}
	old, known := c.items[o.Name]
	// A version up to the complete revision is already applied, or was superseded by a deletion whose tombstone was
	// dropped or never received.
	if o.Version <= max(old.version, c.completeRevision) && !acceptOlder {
		return false, nil
	}
	if o.Deleted {
		o.Value = ""
	}
	size := s.size + len(o.Value) - len(old.value)
	if !known {
		size += len(o.Name)
	}
	if size > s.opts.MaxBytes {
		return false, errors.Wrapf(ErrFull, "%s/%s", o.Kind, o.Name)
	}
	s.size = size
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
	s.highestVersion = max(s.highestVersion, o.Version)
	if c.tombstones > s.opts.MaxTombstones {
		s.trimTombstones(c)
	}
	return true, nil
}

// trimTombstones drops the older half of the tombstones, but only those up to the complete revision: Apply refuses
// versions up to it, so that the deleted objects cannot reappear.
func (s *Set) trimTombstones(c *collection) {
	var removable []string
	for name, it := range c.items {
		if it.deleted && it.version <= c.completeRevision {
			removable = append(removable, name)
		}
	}
	slices.SortFunc(removable, func(a, b string) int { return cmp.Compare(c.items[a].version, c.items[b].version) })
	for _, name := range removable[:min(len(removable), max(0, c.tombstones-s.opts.MaxTombstones/2))] {
		c.trimmedRevision = max(c.trimmedRevision, c.items[name].version)
		s.size -= len(name)
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

// ApplyChanges applies changes of a kind as a watch reports them, and returns those that were new. items holds every
// change later than after and up to revision.
func (s *Set) ApplyChanges(kind Kind, after, revision core.Revision, items []Object) ([]Object, error) {
	changed, err := s.applyAll(items, testhook.AcceptOlderVersions.Load())
	if c := s.kinds[kind]; err == nil && c != nil && after <= c.completeRevision {
		c.completeRevision = max(c.completeRevision, revision)
	}
	return changed, err
}

// ApplyListing applies a complete listing of a kind made at a revision, and returns the objects that changed. Known
// objects that the listing lacks were deleted, unless their version is higher than the revision.
func (s *Set) ApplyListing(kind Kind, revision core.Revision, items []Object) ([]Object, error) {
	c := s.kinds[kind]
	if c == nil {
		return nil, errors.Errorf("unknown kind %.20q", kind)
	}
	changed, err := s.applyAll(items, false)
	if err != nil || revision <= c.completeRevision {
		return changed, err
	}
	listedVersions := lo.SliceToMap(items, func(o Object) (string, core.Revision) { return o.Name, o.Version })
	for name, it := range maps.Clone(c.items) {
		// An object that is listed with a lower version isn't skipped: that version is the tombstone of an earlier
		// deletion, kept by a peer.
		if it.deleted || it.version > revision || listedVersions[name] == it.version {
			continue
		}
		// The version of the deletion is unknown. The revision of the listing stands in for it: it is not lower than
		// the version of the deletion, and lower than that of any later write.
		o := Object{Kind: kind, Name: name, Version: revision, Deleted: true}
		if it.version == revision {
			continue // a listing includes the object of its own revision
		}
		if ok, err := s.Apply(o); err != nil {
			return changed, err
		} else if ok {
			changed = append(changed, o)
		}
	}
	c.completeRevision = revision
	c.trimmedRevision = revision // a listing has no tombstones of earlier deletions
	return changed, nil
}

func (s *Set) applyAll(items []Object, acceptOlder bool) ([]Object, error) {
	var changed []Object
	var firstErr error
	for _, o := range items {
		ok, err := s.apply(o, acceptOlder)
		if ok {
			changed = append(changed, o)
		}
		if err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return changed, firstErr
}

// CompleteRevision returns the revision up to which every change of a kind is applied. A watch continues after it. It
// is NoRevision until a listing or the full delta of a peer was applied.
func (s *Set) CompleteRevision(kind Kind) core.Revision {
	if c := s.kinds[kind]; c != nil {
		return c.completeRevision
	}
	return NoRevision
}

// Ready reports whether the complete objects of each kind were received at least once.
func (s *Set) Ready() bool {
	return lo.EveryBy(Kinds, func(k Kind) bool { return s.kinds[k].completeRevision != NoRevision })
}

// HighestVersion returns the highest applied version, which identifies the configuration in force.
func (s *Set) HighestVersion() core.Revision { return s.highestVersion }

// Digest summarises a Set for gossip. Sets with equal hashes hold the same versions of the same live objects.
type Digest struct {
	Revision core.Revision // every change up to this revision is applied
	Hash     string
}

// Digest returns the digest of the set.
func (s *Set) Digest() Digest {
	d := Digest{Revision: lo.Min(lo.Map(Kinds, func(k Kind, _ int) core.Revision { return s.kinds[k].completeRevision }))}
	var h uint64
	for _, k := range Kinds {
		h ^= s.kinds[k].hash
	}
	d.Hash = fmt.Sprintf("%016x", h)
	return d
}

// Delta holds the changes later than revision After and up to Revision. A full delta holds all objects instead, so that
// objects missing from it were deleted.
type Delta struct {
	After, Revision core.Revision
	Full            bool
	Objects         []Object
}

// Delta returns the objects that a peer with digest d lacks, ordered by version. The delta is full if the peer has no
// complete revision, or if it may lack deletions whose tombstones were dropped here and its objects differ.
func (s *Set) Delta(d Digest) Delta {
	own := s.Digest()
	out := Delta{After: d.Revision, Revision: own.Revision}
	sameObjects := d.Hash == own.Hash
	missingTombstones := lo.SomeBy(Kinds, func(k Kind) bool { return d.Revision < s.kinds[k].trimmedRevision })
	if d.Revision != NoRevision && sameObjects && (missingTombstones || d.Revision >= own.Revision) {
		// If tombstones are missing, the peer couldn't pass on all deletions up to the revision of this Set, so it
		// must not adopt that revision.
		out.Revision = d.Revision
		return out
	}
	out.Full = d.Revision == NoRevision || missingTombstones
	for _, k := range Kinds {
		for name, it := range s.kinds[k].items {
			if out.Full || it.version > d.Revision && (!sameObjects || it.deleted) {
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
		changed, err := s.applyAll(d.Objects, false)
		if err != nil {
			return changed, err
		}
		for _, c := range s.kinds {
			if d.After <= c.completeRevision {
				c.completeRevision = max(c.completeRevision, d.Revision)
			}
		}
		return changed, nil
	}
	byKind := lo.GroupBy(d.Objects, func(o Object) Kind { return o.Kind })
	var changed []Object
	for _, k := range Kinds {
		objects, err := s.ApplyListing(k, d.Revision, byKind[k])
		changed = append(changed, objects...)
		if err != nil {
			return changed, err
		}
	}
	return changed, nil
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

// Snapshot holds the live objects of a Set, ordered by name.
type Snapshot struct {
	Revision              core.Revision
	Templates, Workspaces []Object
}

// Snapshot returns the live objects. Later changes to the Set don't affect it.
func (s *Set) Snapshot() Snapshot {
	return Snapshot{Revision: s.highestVersion, Templates: s.liveObjects(KindTemplate), Workspaces: s.liveObjects(KindWorkspace)}
}

func (s *Set) liveObjects(k Kind) []Object {
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

// FromPlatform converts objects received from the object API and skips those of unknown kinds.
func FromPlatform(items []platform.Item) []Object {
	return lo.FilterMap(items, func(it platform.Item, _ int) (Object, bool) {
		o := Object{Kind: Kind(it.Kind), Name: it.Name, Version: core.Revision(it.Version), Value: it.Value, Deleted: it.Deleted}
		return o, slices.Contains(Kinds, o.Kind)
	})
}

// FromPeer converts objects received by gossip and skips those of unknown kinds.
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
