package gateway

import (
	"net"
	"sort"
	"time"

	"monsoondale/core"
	wire "monsoondale/wire/mesh"
)

const (
	// digestValidity is how long after its last digest an instance counts as reachable; a few digests may be lost.
	digestValidity = 600 * time.Millisecond
	// memberExpiry is the time without a digest after which an instance is assumed to have stopped for good.
	memberExpiry = 30 * time.Second
	// storeWatchers is the number of instances that watch the store. It is fixed, so that the calls to the store do not
	// grow with the fleet, and above one because a watch may stall and an instance may lose its connection to the
	// store.
	storeWatchers = 3
	// assumedFleet is the minimum number of instances that is assumed until the list of instances is known.
	assumedFleet = 8
)

// member is the state of another instance.
type member struct {
	Member
	udp          *net.UDPAddr
	lastDigest   time.Time
	processStart int64     // in milliseconds
	sequence     int64     // number of its last digest
	leaving      bool      // it announced its shutdown
	listed       bool      // it has an entry in the store
	trackedSince time.Time // when it was added, or when this process last resumed after a stall
	silent       bool      // it is unreachable, as of the last log line
	storeLost    bool      // it cannot read the store
	revisions    [collections]core.Revision
}

// members holds the other instances. Only the control goroutine uses it.
type members struct {
	self   core.InstanceID
	byName map[core.InstanceID]*member
	listed bool // the list of instances is known
}

// getOrAdd returns the entry of an instance. It adds the entry if there is none with that address.
func (ms *members) getOrAdd(now time.Time, m Member) (*member, error) {
	e := ms.byName[m.Name]
	if e != nil && e.Address == m.Address {
		if m.Centre != "" {
			e.Centre = m.Centre
		}
		return e, nil
	}
	udp, err := net.ResolveUDPAddr("udp4", m.Address)
	if err != nil {
		return nil, err
	}
	e = &member{Member: m, udp: udp, trackedSince: now, silent: true}
	ms.byName[m.Name] = e
	return e, nil
}

// recordDigest stores the state in a digest and reports whether the digest is newer than the previous ones.
func (ms *members) recordDigest(now time.Time, d *wire.Digest) (*member, bool) {
	e, err := ms.getOrAdd(now, Member{Name: core.InstanceID(d.From), Address: d.Address})
	if err != nil {
		return nil, false
	}
	start, sequence := int64(d.Start), int64(d.Number)
	if start < e.processStart || start == e.processStart && sequence <= e.sequence {
		return e, false
	}
	e.processStart, e.sequence, e.lastDigest, e.leaving = start, sequence, now, d.Leaving
	e.storeLost = d.Blind
	e.revisions = [collections]core.Revision{
		Configurations: core.Revision(d.Routes), Endpoints: core.Revision(d.Entries), Members: core.Revision(d.Members),
	}
	return e, true
}

// count returns the number of reachable instances and of all that may be running, including this one.
func (ms *members) count(now time.Time) (reachable, total int) {
	reachable, total = 1, 1
	for _, e := range ms.byName {
		last := e.lastDigest
		if last.IsZero() {
			last = e.trackedSince
		}
		switch {
		case !e.lastDigest.IsZero() && now.Sub(e.lastDigest) <= digestValidity:
			reachable++
			total++
		case e.leaving || now.Sub(last) > memberExpiry:
		default:
			total++
		}
	}
	if !ms.listed {
		total = max(total, assumedFleet)
	}
	return reachable, total
}

// startedWithin reports whether a reachable instance started less than d ago.
func (ms *members) startedWithin(now time.Time, d time.Duration) bool {
	for _, e := range ms.byName {
		if now.Sub(e.lastDigest) <= digestValidity && now.UnixMilli()-e.processStart < d.Milliseconds() {
			return true
		}
	}
	return false
}

// watchSlot returns the position of this instance among those that watch the store for all, or -1 if it is not one of
// them. These are the first reachable instances by name that can read the store.
func (ms *members) watchSlot(now time.Time) int {
	preceding := 0
	for name, e := range ms.byName {
		if name < ms.self && !e.lastDigest.IsZero() && now.Sub(e.lastDigest) <= digestValidity && !e.leaving && !e.storeLost {
			preceding++
		}
	}
	if preceding >= storeWatchers {
		return -1
	}
	return preceding
}

// remoteDigestEvery is the number of digests of which instances in other data centres receive one, in fleets of more
// than fullRateFleet instances, because traffic between data centres costs money.
const remoteDigestEvery = 2

// digestAddresses returns the addresses to which a digest is sent. Unreachable instances are included, so that one that
// restarts learns of the others without the store.
func (ms *members) digestAddresses(centre core.DataCentre, digestNumber int) []*net.UDPAddr {
	out := make([]*net.UDPAddr, 0, len(ms.byName))
	for _, e := range ms.byName {
		if len(ms.byName) >= fullRateFleet && e.Centre != centre && digestNumber%remoteDigestEvery != 0 {
			continue
		}
		out = append(out, e.udp)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}
