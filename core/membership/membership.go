// Package membership holds an instance's view of the instance list, merged from polls, watches and gossip, and which peers
// are reachable. A View is not safe for concurrent use and reads no clock: the current time is passed in.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/endpoint"
	"monsoondale/internal/testhook"
	"monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

const (
	// SuspectTimeout is how long an instance is avoided after a refused dial or a dropped connection.
	SuspectTimeout = 5 * time.Second
	// SilenceTimeout is how long a peer must be silent before others act without its confirmation. It exceeds MaxTickGap
	// by more than a peer needs to detect its own gap.
	SilenceTimeout = 5 * time.Second
	// MaxTickGap is the longest gap between the ticks of this instance after which its owner state is still valid.
	MaxTickGap = 2 * time.Second
	// StaleAfter is the age of the list from which an instance reads the list itself. Confirmations by the pollers spread
	// by gossip in about log2(n) seconds, 6 s among the 77 instances of a data centre at the target size. Changes are
	// pushed at once and don't depend on this.
	StaleAfter = 8 * time.Second

	assignedPerCentre = 2       // instances per data centre that perform a task
	pushTargets       = 3       // peers that a change is pushed to
	maxMembers        = 1 << 16 // entries of a list; longer lists are ignored
	maxRemoved        = 4096    // removed entries kept for deltas, enough for several days at the target size
)

// Member is one entry of the instance list.
type Member struct {
	ID      core.InstanceID
	Role    platform.InstanceRole
	Region  core.Region
	Centre  core.DataCentre
	Address string
	Pool    core.Pool
	Leaving bool
	Fenced  bool
}

// Options describes this instance.
type Options struct {
	Self   core.InstanceID
	Region core.Region
	Centre core.DataCentre
}

// View holds the list with the highest revision seen so far, and what this instance has observed of its peers.
type View struct {
	opts           Options
	revision       core.Revision
	confirmedAt    time.Time // when the list was last known to be current
	members        map[core.InstanceID]Member
	changedAt      map[core.InstanceID]core.Revision // revision by which an entry had changed
	removedAt      map[core.InstanceID]core.Revision // revision by which an entry had been removed
	deltaStart     core.Revision                     // changedAt and removedAt are complete after this revision
	instances      []Member                          // members of role entry, by id
	endpoints      map[core.Pool][]endpoint.Spec
	leaving        bool // set locally, before the list shows it
	suspectedUntil map[core.InstanceID]time.Time
	lastHeard      map[core.InstanceID]time.Time
}

// New returns an empty view.
func New(o Options) *View {
	return &View{
		opts: o, members: map[core.InstanceID]Member{},
		changedAt: map[core.InstanceID]core.Revision{}, removedAt: map[core.InstanceID]core.Revision{},
		endpoints:      map[core.Pool][]endpoint.Spec{},
		suspectedUntil: map[core.InstanceID]time.Time{}, lastHeard: map[core.InstanceID]time.Time{},
	}
}

// Apply replaces the list if the new one has a higher revision, and reports whether it did. A list of the same revision
// confirms the known one; an older list is ignored.
func (v *View) Apply(now time.Time, list platform.Instances) bool {
	r := core.Revision(list.Revision)
	if r == v.revision && r > 0 {
		v.confirmedAt = now
	}
	if r <= v.revision || len(list.Items) > maxMembers {
		return false
	}
	previous, first := v.members, v.revision == 0
	v.revision, v.confirmedAt = r, now
	v.members = make(map[core.InstanceID]Member, len(list.Items))
	v.instances = nil
	v.endpoints = map[core.Pool][]endpoint.Spec{} // a new map, since results of Endpoints share the old slices
	for _, it := range list.Items {
		m := Member{
			ID: core.InstanceID(it.Name), Role: it.Role, Region: core.Region(it.Region), Centre: core.DataCentre(it.Centre),
			Address: it.Address, Pool: core.Pool(it.Pool), Leaving: it.State != platform.InstanceStateLive, Fenced: it.Fenced,
		}
		v.members[m.ID] = m
		switch m.Role {
		case platform.InstanceRoleEntry:
			v.instances = append(v.instances, m)
		case platform.InstanceRoleEngine, platform.InstanceRoleService:
			v.endpoints[m.Pool] = append(v.endpoints[m.Pool], endpoint.Spec{
				ID: core.EndpointID(m.ID), Pool: m.Pool, Region: m.Region, Centre: m.Centre, Address: m.Address,
				Service: m.Role == platform.InstanceRoleService, Leaving: m.Leaving && !testhook.GrantOnLeaving.Load(), Fenced: m.Fenced,
			})
		}
	}
	v.recordChanges(r, previous, first)
	slices.SortFunc(v.instances, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range v.endpoints {
		slices.SortFunc(e, func(a, b endpoint.Spec) int { return cmp.Compare(a.ID, b.ID) })
	}
	unlisted := func(id core.InstanceID, _ time.Time) bool { return !lo.HasKey(v.members, id) }
	maps.DeleteFunc(v.suspectedUntil, unlisted)
	maps.DeleteFunc(v.lastHeard, unlisted)
	return true
}

// recordChanges records which entries differ from the previous list, for Delta.
func (v *View) recordChanges(r core.Revision, previous map[core.InstanceID]Member, first bool) {
	for id, m := range v.members {
		if prev, ok := previous[id]; !ok || prev != m {
			v.changedAt[id] = r
			delete(v.removedAt, id)
		}
	}
	for id := range previous {
		if _, ok := v.members[id]; !ok {
			v.removedAt[id] = r
			delete(v.changedAt, id)
		}
	}
	if first || len(v.removedAt) > maxRemoved {
		v.deltaStart = r
		clear(v.removedAt)
	}
}

// Delta returns the entries that changed after the revision of a peer's list, or the whole list if that revision is too
// old. At the target size an entry has 130 bytes and the list 620 KB.
func (v *View) Delta(after core.Revision) peer.Members {
	if after < v.deltaStart {
		return v.Members()
	}
	m := peer.Members{Revision: int(v.revision), After: int(after), Items: []peer.Member{}}
	for _, id := range slices.Sorted(maps.Keys(v.changedAt)) {
		if v.changedAt[id] > after {
			m.Items = append(m.Items, v.toWire(id))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.removedAt)) {
		if v.removedAt[id] > after {
			m.Gone = append(m.Gone, string(id))
		}
	}
	return m
}

// Merge applies a list or a delta received by gossip and reports whether it changed the view. A delta that starts after the
// known revision is ignored; the next exchange repeats it.
func (v *View) Merge(now time.Time, m peer.Members) bool {
	if m.After == 0 {
		return v.Apply(now, ToInstances(m))
	}
	if core.Revision(m.After) > v.revision {
		return false
	}
	merged := v.Members()
	changed := lo.KeyBy(m.Items, func(it peer.Member) string { return it.Name })
	merged.Items = lo.Reject(merged.Items, func(it peer.Member, _ int) bool {
		return lo.HasKey(changed, it.Name) || slices.Contains(m.Gone, it.Name)
	})
	merged.Items, merged.Revision = append(merged.Items, m.Items...), m.Revision
	return v.Apply(now, ToInstances(merged))
}

// Confirm records that a peer with the same revision knew it to be current the given time ago.
func (v *View) Confirm(now time.Time, r core.Revision, age time.Duration) {
	if at := now.Add(-age); r == v.revision && r > 0 && at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// Age returns the time since the list was last known to be current.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.confirmedAt) }

// Revision returns the highest revision applied, or 0 if no list is known.
func (v *View) Revision() core.Revision { return v.revision }

// Stale reports whether the list has not been confirmed for StaleAfter and must be read directly.
func (v *View) Stale(now time.Time) bool {
	return v.revision == 0 || now.Sub(v.confirmedAt) >= StaleAfter
}

// Members returns the list in the gossip format.
func (v *View) Members() peer.Members {
	ids := slices.Sorted(maps.Keys(v.members))
	return peer.Members{Revision: int(v.revision), Items: lo.Map(ids, func(id core.InstanceID, _ int) peer.Member {
		return v.toWire(id)
	})}
}

// toWire returns an entry in the gossip format.
func (v *View) toWire(id core.InstanceID) peer.Member {
	m := v.members[id]
	return peer.Member{
		Name: string(m.ID), Role: peer.MemberRole(m.Role), Region: string(m.Region), Centre: string(m.Centre),
		Address: m.Address, Pool: string(m.Pool), Fenced: m.Fenced,
		State: lo.Ternary(m.Leaving, peer.MemberStateLeaving, peer.MemberStateLive),
	}
}

// ToInstances converts a list from the gossip format to that of the instance list.
func ToInstances(m peer.Members) platform.Instances {
	return platform.Instances{Revision: m.Revision, Items: lo.Map(m.Items, func(it peer.Member, _ int) platform.Instance {
		return platform.Instance{
			Name: it.Name, Role: platform.InstanceRole(it.Role), Region: it.Region, Centre: it.Centre, Address: it.Address,
			Pool: it.Pool, State: platform.InstanceState(it.State), Fenced: it.Fenced,
		}
	})}
}

// Member returns an entry of the list.
func (v *View) Member(id core.InstanceID) (Member, bool) {
	m, ok := v.members[id]
	return m, ok
}

// Self returns the entry of this instance; ok is false until it is listed. The instance is leaving if the list says so or
// MarkLeaving was called.
func (v *View) Self() (Member, bool) {
	m, ok := v.members[v.opts.Self]
	m.Leaving = m.Leaving || v.leaving
	return m, ok
}

// MarkLeaving marks this instance as leaving before the list shows it.
func (v *View) MarkLeaving() { v.leaving = true }

// Listed reports whether the list contains an instance, live or leaving. The holder of a claim may finish its orders while
// it is leaving. Suspects count as listed, since a refused dial may be due to a partition.
func (v *View) Listed(id core.InstanceID) bool {
	m, ok := v.members[id]
	return ok && m.Role == platform.InstanceRoleEntry
}

// Instances returns the instances of a region, leaving ones included, by id. An empty region means all.
func (v *View) Instances(region core.Region) []Member {
	return lo.Filter(v.instances, func(m Member, _ int) bool { return region == "" || m.Region == region })
}

// Live returns the instances of a region that are neither leaving nor suspect, by id. An empty region means all.
func (v *View) Live(now time.Time, region core.Region) []Member {
	return lo.Filter(v.instances, func(m Member, _ int) bool {
		return (region == "" || m.Region == region) && v.usable(now, m)
	})
}

// usable reports whether an instance is neither leaving nor suspect.
func (v *View) usable(now time.Time, m Member) bool {
	return !m.Leaving && !(m.ID == v.opts.Self && v.leaving) && !v.Suspected(now, m.ID)
}

// Endpoints returns the endpoints of a pool, leaving ones included, by id. An empty region means all.
func (v *View) Endpoints(region core.Region, pool core.Pool) []endpoint.Spec {
	return lo.Filter(v.endpoints[pool], func(e endpoint.Spec, _ int) bool { return region == "" || e.Region == region })
}

// Pools returns the pools that have endpoints in a region, by name. An empty region means all.
func (v *View) Pools(region core.Region) []core.Pool {
	return lo.Filter(slices.Sorted(maps.Keys(v.endpoints)), func(p core.Pool, _ int) bool {
		return len(v.Endpoints(region, p)) > 0
	})
}

// Suspect marks an instance as suspect for SuspectTimeout, after a refused dial or a dropped connection.
func (v *View) Suspect(now time.Time, id core.InstanceID) {
	if id != v.opts.Self {
		v.suspectedUntil[id] = now.Add(SuspectTimeout)
	}
}

// Suspected reports whether an instance is suspect.
func (v *View) Suspected(now time.Time, id core.InstanceID) bool {
	until, ok := v.suspectedUntil[id]
	if ok && !now.Before(until) {
		delete(v.suspectedUntil, id)
		return false
	}
	return ok
}

// MarkHeard records a message or response of a peer, which is then no longer suspect.
func (v *View) MarkHeard(now time.Time, id core.InstanceID) {
	if _, ok := v.members[id]; ok {
		v.lastHeard[id] = now
		delete(v.suspectedUntil, id)
	}
}

// Silent reports whether nothing was heard from a peer for SilenceTimeout. For a peer that was never heard, the time counts
// from the first call, so that a peer which this instance has never contacted does not count as silent.
func (v *View) Silent(now time.Time, id core.InstanceID) bool {
	last, ok := v.lastHeard[id]
	if !ok {
		if _, listed := v.members[id]; !listed {
			return true // removed from the list
		}
		v.lastHeard[id] = now
		return false
	}
	return now.Sub(last) >= SilenceTimeout
}

// ResetHeard sets the last-heard times of all peers to now. It is called after a gap between ticks, during which this
// instance could not handle messages of peers.
func (v *View) ResetHeard(now time.Time) {
	for id := range v.lastHeard {
		v.lastHeard[id] = now
	}
}

// Assigned returns the two instances of a data centre that perform a task, such as "watch" or "poll": the first by
// rendezvous hashing among those that are neither leaving nor suspect.
func (v *View) Assigned(now time.Time, centre core.DataCentre, task string) []core.InstanceID {
	type ranked struct {
		id    core.InstanceID
		score uint64
	}
	var ranking []ranked
	for _, m := range v.instances {
		if m.Centre == centre && v.usable(now, m) {
			ranking = append(ranking, ranked{m.ID, xxhash.Sum64String(task + "\x00" + string(m.ID))})
		}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	return lo.Map(ranking[:min(assignedPerCentre, len(ranking))], func(r ranked, _ int) core.InstanceID { return r.id })
}

// SelfAssigned reports whether this instance performs a task in its own data centre. It does while no list is known, so
// that the first instance of a deployment reads the list.
func (v *View) SelfAssigned(now time.Time, task string) bool {
	return v.revision == 0 || slices.Contains(v.Assigned(now, v.opts.Centre, task), v.opts.Self)
}

// GossipPartners returns random peers for one round of gossip: one in the same data centre and one in another.
func (v *View) GossipPartners(now time.Time, r *rand.Rand) []Member {
	var local, remote []Member
	for _, m := range v.instances {
		switch {
		case m.ID == v.opts.Self || v.Suspected(now, m.ID):
		case m.Centre == v.opts.Centre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	var partners []Member
	for _, l := range [][]Member{local, remote} {
		if len(l) > 0 {
			partners = append(partners, l[r.IntN(len(l))])
		}
	}
	return partners
}

// PushTargets returns three random peers that a change is pushed to, at least one of them in another data centre if there
// is one.
func (v *View) PushTargets(now time.Time, r *rand.Rand) []Member {
	targets := v.GossipPartners(now, r)
	rest := lo.Filter(v.instances, func(m Member, _ int) bool {
		return m.ID != v.opts.Self && !v.Suspected(now, m.ID) && !slices.ContainsFunc(targets, func(o Member) bool { return o.ID == m.ID })
	})
	r.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(targets, rest[:max(0, min(pushTargets-len(targets), len(rest)))]...)
}

// GapDetector detects gaps between the ticks of this instance, for example after the process was paused.
type GapDetector struct{ last time.Time }

// Tick records a tick. It returns the time since the last tick if that exceeds MaxTickGap, else 0. After a gap the caller
// must drop its owner state before it acts as owner, because peers may have acted without it.
func (d *GapDetector) Tick(now time.Time) time.Duration {
	gap := now.Sub(d.last)
	first := d.last.IsZero()
	d.last = now
	if first || gap <= MaxTickGap {
		return 0
	}
	return gap
}
