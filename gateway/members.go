package gateway

import (
	"net"
	"sort"
	"time"

	"monsoondale/core"
	wire "monsoondale/wire/mesh"
)

const (
	// heardWithin is how long ago a digest may have arrived for its sender to count as heard; a few may be lost.
	heardWithin = 600 * time.Millisecond
	// retiredAfter is how long an instance must have been silent to be taken as gone for good.
	retiredAfter = 30 * time.Second
	// watchers is the number of instances that watch the store, so that the calls to it do not grow with the fleet. More
	// than one, because a watch may go deaf and an instance may be cut off from the store.
	watchers = 3
	// unknownFleet is the number of instances that is assumed before the list of instances is known.
	unknownFleet = 8
)

// member is what is known of another instance.
type member struct {
	Member
	udp     *net.UDPAddr
	heard   time.Time
	start   int64
	number  int64
	leaving bool // it said that it is ending
	listed  bool // it has an entry in the store
	since   time.Time
	silent  bool // a log line has reported that it is not heard
	blind   bool // the store does not answer it
	changed [collections]core.Revision
}

// members holds the other instances. It belongs to the control goroutine.
type members struct {
	self   core.InstanceID
	byName map[core.InstanceID]*member
	listed bool // the list of instances is known
}

func (ms *members) get(now time.Time, m Member) (*member, error) {
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
	e = &member{Member: m, udp: udp, since: now, silent: true}
	ms.byName[m.Name] = e
	return e, nil
}

// hear records a digest and reports whether it is newer than the ones before.
func (ms *members) hear(now time.Time, d *wire.Digest) (*member, bool) {
	e, err := ms.get(now, Member{Name: core.InstanceID(d.From), Address: d.Address})
	if err != nil {
		return nil, false
	}
	start, number := int64(d.Start), int64(d.Number)
	if start < e.start || start == e.start && number <= e.number {
		return e, false
	}
	e.start, e.number, e.heard, e.leaving = start, number, now, d.Leaving
	e.blind = d.Blind
	e.changed = [collections]core.Revision{
		Configurations: core.Revision(d.Routes), Endpoints: core.Revision(d.Entries), Members: core.Revision(d.Members),
	}
	return e, true
}

// count returns the number of instances heard and of all that may be alive, this one included.
func (ms *members) count(now time.Time) (heard, all int) {
	heard, all = 1, 1
	for _, e := range ms.byName {
		last := e.heard
		if last.IsZero() {
			last = e.since
		}
		switch {
		case !e.heard.IsZero() && now.Sub(e.heard) <= heardWithin:
			heard++
			all++
		case e.leaving || now.Sub(last) > retiredAfter:
		default:
			all++
		}
	}
	if !ms.listed {
		all = max(all, unknownFleet)
	}
	return heard, all
}

// young reports whether an instance that is heard started less than a time ago.
func (ms *members) young(now time.Time, d time.Duration) bool {
	for _, e := range ms.byName {
		if now.Sub(e.heard) <= heardWithin && now.UnixMilli()-e.start < d.Milliseconds() {
			return true
		}
	}
	return false
}

// watches returns this instance's number among those that watch the store for all, the first that are heard and have an
// answer from it; -1 if it is not one of them.
func (ms *members) watches(now time.Time) int {
	before := 0
	for name, e := range ms.byName {
		if name < ms.self && !e.heard.IsZero() && now.Sub(e.heard) <= heardWithin && !e.leaving && !e.blind {
			before++
		}
	}
	if before >= watchers {
		return -1
	}
	return before
}

// remoteRound is the number of digests of which an instance in another data centre gets one, in fleets of more than
// digestFleet instances: bytes between data centres have a price.
const remoteRound = 2

// addresses returns where a digest is sent. Instances that are silent get them too, so that one that starts again
// learns of the others without the store.
func (ms *members) addresses(centre core.DataCentre, number int) []*net.UDPAddr {
	out := make([]*net.UDPAddr, 0, len(ms.byName))
	for _, e := range ms.byName {
		if len(ms.byName) >= digestFleet && e.Centre != centre && number%remoteRound != 0 {
			continue
		}
		out = append(out, e.udp)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}
