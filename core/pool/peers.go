package pool

import (
	"time"

	"monsoondale/core"
)

// reportValidity is how long the load that another instance reported counts. Reports come several times a second, so
// an older one means that the instance is dead or cut off.
const reportValidity = time.Second

// sumEvery is how often the reports are added up again if none arrives, so that old ones stop to count.
const sumEvery = reportValidity / 4

const (
	// rateWeight is the weight of the newest report in an instance's rate of requests.
	rateWeight = 0.1
	// unseenMost bounds the number of requests that are considered when an endpoint is chosen, and with it the time
	// that takes.
	unseenMost = 512
)

type load struct {
	running int
	reading core.Tokens
}

// heard is what counts of the last report of another instance.
type heard struct {
	at      time.Time
	loads   map[core.EndpointID]Load
	waiting []int
	rate    average // responses that begin, per second
}

// Load is what one instance has at one endpoint.
type Load struct {
	Endpoint      core.EndpointID
	Running       int
	PendingPrompt core.Tokens // prompt tokens of requests whose response has not begun
}

// Sample is a response that began: how many prompt tokens the endpoint had to read up to the end of the request's
// prompt, and how long the response took to begin.
type Sample struct {
	Endpoint      core.EndpointID
	PromptBacklog core.Tokens
	Latency       time.Duration
}

// reportSamples bounds the samples and the failures of a report; there are a few in the time between two digests.
const reportSamples = 32

// Report is what an instance tells the others of a pool.
type Report struct {
	Loads   []Load
	Waiting []int // requests that wait and can be on time, by tier
	// Samples and Failed are what was seen since the last report: responses that began, and endpoints that broke a
	// request or could not be reached.
	Samples []Sample
	Failed  []core.EndpointID
}

// Report returns this instance's requests at each endpoint that has any, and what it has seen since the last call.
func (p *Pool) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Samples: p.samples, Failed: p.failed, Waiting: make([]int, core.Tiers)}
	p.samples, p.failed = nil, nil
	p.place = p.rng.Float64()
	for _, a := range p.order {
		a.told = a.running
		if a.running > 0 {
			r.Loads = append(r.Loads, Load{Endpoint: a.ID, Running: a.running, PendingPrompt: a.reading})
		}
	}
	for _, t := range p.queue {
		if !t.late {
			r.Waiting[min(max(t.work.Tier, 0), core.Tiers-1)]++
		}
	}
	return r
}

// ApplyReport takes over what another instance reports. Failures count only if it is near, in the same data centre: an endpoint
// may fail for some callers only.
func (p *Pool) ApplyReport(now time.Time, from core.InstanceID, near bool, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := heard{at: now, rate: p.peers[from].rate, loads: make(map[core.EndpointID]Load, len(r.Loads)), waiting: r.Waiting}
	for _, l := range r.Loads {
		h.loads[l.Endpoint] = l
	}
	if before, ok := p.peers[from]; ok {
		h.rate.add(float64(len(r.Samples))/max(now.Sub(before.at), time.Millisecond).Seconds(), rateWeight)
	}
	p.peers[from] = h
	for _, s := range r.Samples {
		if a := p.accounts[s.Endpoint]; a != nil {
			p.model.first(a, s.PromptBacklog, s.Latency)
			if near {
				p.judge(now, a, func() { a.warn(now, false, p.rng) })
			}
		}
	}
	for _, id := range r.Failed {
		if a := p.accounts[id]; a != nil && near {
			p.judge(now, a, func() { a.warn(now, true, p.rng) })
		}
	}
	p.sum(now)
	p.assign(now)
}

// sum adds up the reports that count.
func (p *Pool) sum(now time.Time) {
	p.summed = now
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
				a.others.reading += l.PendingPrompt
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

// unseen returns how many requests of other instances are expected to hold a slot, or to take the next free one, that
// their last reports do not show as running: those that they have sent since and those that waited there. Of both, only
// as many are left as requests last, compared with the age of the report.
func (p *Pool) unseen(now time.Time) int {
	n := 0.0
	for _, h := range p.peers {
		age := max(now.Sub(h.at), time.Millisecond)
		m := h.rate.value * age.Seconds()
		for _, w := range h.waiting {
			m += float64(w)
		}
		n += m * min(1, p.stay.value/float64(age))
	}
	return min(int(n), unseenMost)
}
