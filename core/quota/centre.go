package quota

import (
	"iter"
	"time"

	"monsoondale/core"
)

// centre is the usage in another data centre, as its relays report it. Each relay counts from its own start and may miss
// some reports, so the counters of two relays differ. What has been counted here is the highest of their counters, each moved by
// an offset.
type centre struct {
	counted   Usage
	relays    map[core.InstanceID]*relay
	lastHeard time.Time // when a report of a relay last arrived
}

// relay is the last report of a relay. Its counters and the offset add up to what has been counted of the centre.
type relay struct {
	peer
	offset Usage
}

// CentreReport returns the report of this instance's data centre for other data centres.
func (l *Ledger) CentreReport(now time.Time) Report {
	r := l.Report(now)
	for id, a := range l.accounts {
		delete(r.Used, id)
		if a.centreUsed != 0 {
			r.Used[id] = a.centreUsed
		}
	}
	return r
}

// ApplyCentreReport counts what another data centre has used since the last report of one of its relays. The first report of
// a relay adds nothing if its process already ran when another relay was heard, as that one has reported the same usage, or
// if it ran before this process. What has been used between the two then counts only as part of its total.
func (l *Ledger) ApplyCentreReport(now time.Time, id core.DataCentre, from core.InstanceID, r Report) {
	c := l.centres[id]
	if c == nil {
		c = &centre{counted: Usage{}, relays: map[core.InstanceID]*relay{}}
		l.centres[id] = c
	}
	p := c.relays[from]
	switch {
	case p != nil && r.Start.Before(p.Start) && p.totalValid(now, p.at):
		return // late report of an earlier process
	case p == nil || !r.Start.Equal(p.Start):
		p = &relay{offset: Usage{}}
		known := c.othersHeard(now, from) || r.Start.Before(l.o.Start) || r.Start.Before(c.lastHeard)
		for w := range l.accounts {
			p.offset[w] = c.counted[w]
			if known {
				p.offset[w] -= r.Used[w]
			}
		}
		c.relays[from] = p
	}
	n, used := l.sliceNumber(now), l.sliceNumber(r.usedAt(now, c.lastHeard))
	p.peer, c.lastHeard = peer{Report: r, at: now}, now
	for w, v := range r.Used {
		a := l.accounts[w]
		if more := p.offset[w] + v - c.counted[w]; a != nil && more > 0 {
			a.advance(n)
			a.add(used, more)
			c.counted[w] += more
		}
	}
}

// othersHeard reports whether another relay than the given one is heard.
func (c *centre) othersHeard(now time.Time, from core.InstanceID) bool {
	for name, p := range c.relays {
		if name != from && p.totalValid(now, p.at) {
			return true
		}
	}
	return false
}

// reports returns the last reports of the other instances and of the relays of other data centres.
func (l *Ledger) reports() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, p := range l.peers {
			if !yield(p) {
				return
			}
		}
		for _, c := range l.centres {
			for _, p := range c.relays {
				if !yield(&p.peer) {
					return
				}
			}
		}
	}
}
