// Package quota keeps the use of each workspace within its quota on all instances together, without a call to another
// instance on a request's path. Each instance keeps a copy of the workspace's token bucket, takes its own use from it
// at once and that of the others when their counters arrive. While an instance cannot hear some of the others, it
// leaves them their equal part of the rate.
package quota

import (
	"time"

	"monsoondale/core"
	"monsoondale/core/route"
)

// Use is the units that an instance has used for a workspace since it started.
type Use map[core.WorkspaceID]float64

type bucket struct {
	quota route.Quota
	level float64
	used  float64 // by this instance since it started
	at    time.Time
}

type peer struct {
	start int64
	used  Use
}

// Ledger holds the buckets of all workspaces. It is not safe for concurrent use.
type Ledger struct {
	buckets map[core.WorkspaceID]*bucket
	peers   map[core.InstanceID]*peer
	share   float64 // part of each rate that may be used here
	start   int64
}

// New returns an empty ledger that may use the whole of each rate. start is the time at which this process started, in
// Unix milliseconds.
func New(start int64) *Ledger {
	return &Ledger{buckets: map[core.WorkspaceID]*bucket{}, peers: map[core.InstanceID]*peer{}, share: 1, start: start}
}

// Configure puts the quotas of a configuration in force. A new bucket starts empty, because earlier processes may have
// used the burst.
func (l *Ledger) Configure(now time.Time, workspaces []route.Workspace) {
	seen := make(map[core.WorkspaceID]bool, len(workspaces))
	for _, w := range workspaces {
		seen[w.ID] = true
		b := l.buckets[w.ID]
		if b == nil {
			b = &bucket{at: now}
			l.buckets[w.ID] = b
		}
		b.fill(now, l.share)
		b.quota = w.Quota
		b.level = min(b.level, b.quota.Burst*l.share)
	}
	for id := range l.buckets {
		if !seen[id] {
			delete(l.buckets, id)
		}
	}
}

func (b *bucket) fill(now time.Time, share float64) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.quota.Burst*share, b.level+b.quota.Rate*share*d.Seconds())
		b.at = now
	}
}

// Share sets the part of each rate that may be used here and by the instances heard: the rest belongs to instances
// that cannot be heard. What the bucket holds shrinks with it.
func (l *Ledger) Share(now time.Time, share float64) {
	if share == l.share {
		return
	}
	for _, b := range l.buckets {
		b.fill(now, l.share)
		if share < l.share && b.level > 0 {
			b.level *= share / l.share
		}
	}
	l.share = share
}

// Take reports whether a request of the given units is within the quota and counts it if so. Otherwise it returns the
// time after which it would be. Workspaces without a quota are not limited.
func (l *Ledger) Take(now time.Time, id core.WorkspaceID, units float64) (time.Duration, bool) {
	b := l.buckets[id]
	if b == nil || b.quota.Rate <= 0 {
		return 0, true
	}
	b.fill(now, l.share)
	// A request larger than the burst passes on a full bucket, or it never could.
	need := min(units, b.quota.Burst*l.share)
	if b.level < need {
		return time.Duration((need - b.level) / (b.quota.Rate * l.share) * float64(time.Second)), false
	}
	b.level -= units
	b.used += units
	return 0, true
}

// Return gives back the units of a request that did not run.
func (l *Ledger) Return(id core.WorkspaceID, units float64) {
	if b := l.buckets[id]; b != nil && b.quota.Rate > 0 {
		b.level += units
		b.used -= units
	}
}

// Used returns what this instance has used since it started.
func (l *Ledger) Used() Use {
	u := make(Use, len(l.buckets))
	for id, b := range l.buckets {
		if b.used != 0 {
			u[id] = b.used
		}
	}
	return u
}

// Hear counts what another instance has used since its last report. start is the time at which its process started, in
// Unix milliseconds. What a process used before this one started is not counted: the empty buckets stand for it.
func (l *Ledger) Hear(now time.Time, from core.InstanceID, start int64, used Use) {
	p := l.peers[from]
	switch {
	case p == nil && start < l.start:
		l.peers[from] = &peer{start: start, used: used}
		return
	case p == nil:
		p = &peer{}
		l.peers[from] = p
	case start < p.start:
		return // a late message of an earlier process
	case start > p.start:
		p.used = nil // a new process counts from zero
	}
	for id, v := range used {
		if b := l.buckets[id]; b != nil {
			b.fill(now, l.share)
			b.level -= v - p.used[id]
		}
	}
	p.start, p.used = start, used
}
