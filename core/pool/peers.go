package pool

import (
	"time"

	"monsoondale/core"
)

// reportValidity is how long the load that another instance reported counts. Reports come several times a second, so
// an older one means that the instance is dead or cut off.
const reportValidity = time.Second

type load struct {
	running int
	reading core.Tokens
}

type report struct {
	at      time.Time
	loads   map[core.EndpointID]Load
	waiting []int
}

// Load is what one instance has at one endpoint.
type Load struct {
	Endpoint core.EndpointID
	Running  int
	Reading  core.Tokens // prompt tokens of requests whose response has not begun
}

// Loads returns this instance's requests at each endpoint that has any, and the number of requests that wait, by tier.
func (p *Pool) Loads() ([]Load, []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Load
	for _, a := range p.order {
		if a.running > 0 {
			out = append(out, Load{Endpoint: a.ID, Running: a.running, Reading: a.reading})
		}
	}
	waiting := make([]int, core.Tiers)
	for _, t := range p.queue {
		if !t.late {
			waiting[min(max(t.work.Tier, 0), core.Tiers-1)]++
		}
	}
	return out, waiting
}

// Hear takes over what another instance reports.
func (p *Pool) Hear(now time.Time, from core.InstanceID, loads []Load, waiting []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := report{at: now, loads: make(map[core.EndpointID]Load, len(loads)), waiting: waiting}
	for _, l := range loads {
		r.loads[l.Endpoint] = l
	}
	p.peers[from] = r
	p.sum(now)
	p.assign(now)
}

// sum adds up the reports that count.
func (p *Pool) sum(now time.Time) {
	for _, a := range p.order {
		a.others = load{}
	}
	for id, r := range p.peers {
		if now.Sub(r.at) > reportValidity {
			delete(p.peers, id)
			continue
		}
		for e, l := range r.loads {
			if a := p.accounts[e]; a != nil {
				a.others.running += l.Running
				a.others.reading += l.Reading
			}
		}
	}
}

// ahead returns the number of requests of a more urgent tier that wait at other instances.
func (p *Pool) ahead(t core.Tier) int {
	n := 0
	for _, r := range p.peers {
		for tier, w := range r.waiting {
			if core.Tier(tier) < t {
				n += w
			}
		}
	}
	return n
}
