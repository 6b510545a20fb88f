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
	// stoppedAfter is the time without a digest after which an instance no longer counts as running.
	stoppedAfter = 30 * time.Second
	// storeWatchers is the number of instances that watch the store. It is fixed, so that the calls to the store do not
	// grow with the fleet, and above one because a watch may stall and an instance may lose its connection to the
	// store.
	storeWatchers = 3
	// minAssumedInstances is the number of instances that is assumed at least until the list of instances is known.
	minAssumedInstances = 8
)

// member is the state of another instance.
type member struct {
	InstanceEntry
	udp               *net.UDPAddr
	lastDigest        time.Time
	processStart      int64     // in milliseconds
	digestNumber      int64     // number of its last digest
	leaving           bool      // it announced its shutdown
	inStore           bool      // it has an entry in the store
	trackedSince      time.Time // when it was added, or when this process last resumed after a stall
	loggedUnreachable bool      // whether the last log line about it stated it as unreachable; initially true
	storeUnreachable  bool      // it cannot read the store
	revisions         [collectionCount]core.Revision
}

// members holds the other instances. Only the control goroutine uses it.
type members struct {
	self      core.InstanceID
	byName    map[core.InstanceID]*member
	listKnown bool // the list of instances is known
}

// getOrAdd returns the state of an instance. If there is none, or one with another address, it adds a new one.
func (ms *members) getOrAdd(now time.Time, m InstanceEntry) (*member, error) {
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
	e = &member{InstanceEntry: m, udp: udp, trackedSince: now, loggedUnreachable: true}
	ms.byName[m.Name] = e
	return e, nil
}

// recordDigest stores the state in a digest and reports whether the digest is newer than the previous ones.
func (ms *members) recordDigest(now time.Time, d *wire.Digest) (*member, bool) {
	e, err := ms.getOrAdd(now, InstanceEntry{Name: core.InstanceID(d.From), Address: d.Address})
	if err != nil {
		return nil, false
	}
	start, digestNumber := int64(d.Start), int64(d.Number)
	if start < e.processStart || start == e.processStart && digestNumber <= e.digestNumber {
		return e, false
	}
	e.processStart, e.digestNumber, e.lastDigest, e.leaving = start, digestNumber, now, d.Leaving
	e.storeUnreachable = d.Blind
	e.revisions = [collectionCount]core.Revision{
		Configurations: core.Revision(d.Routes), Endpoints: core.Revision(d.Entries), Instances: core.Revision(d.Members),
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
		case e.leaving || now.Sub(last) > stoppedAfter: // does not count as running
		default:
			total++
		}
	}
	if !ms.listKnown {
		total = max(total, minAssumedInstances)
	}
	return reachable, total
}

// anyStartedWithin reports whether a reachable instance started less than d ago.
func (ms *members) anyStartedWithin(now time.Time, d time.Duration) bool {
	for _, e := range ms.byName {
		if now.Sub(e.lastDigest) <= digestValidity && now.UnixMilli()-e.processStart < d.Milliseconds() {
			return true
		}
	}
	return false
}

// watcherIndex returns the position of this instance among those that watch the store for all, or -1 if it is not one
// of them. These are the first reachable instances by name that can read the store.
func (ms *members) watcherIndex(now time.Time) int {
	preceding := 0
	for name, e := range ms.byName {
		if name < ms.self && !e.lastDigest.IsZero() && now.Sub(e.lastDigest) <= digestValidity && !e.leaving && !e.storeUnreachable {
			preceding++
		}
	}
	if preceding >= storeWatchers {
		return -1
	}
	return preceding
}

// In fleets of more than maxFullRateInstances instances, those in other data centres receive only one in
// remoteDigestEvery digests, because traffic between data centres costs money.
const remoteDigestEvery = 2

// digestAddresses returns the addresses to which a digest is sent. Unreachable instances are included, so that one that
// restarts learns of the others without the store.
func (ms *members) digestAddresses(centre core.DataCentre, digestNumber int) []*net.UDPAddr {
	out := make([]*net.UDPAddr, 0, len(ms.byName))
	for _, e := range ms.byName {
		if len(ms.byName) >= maxFullRateInstances && e.Centre != centre && digestNumber%remoteDigestEvery != 0 {
			continue
		}
		out = append(out, e.udp)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}
