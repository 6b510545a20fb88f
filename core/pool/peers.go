package pool

import (
	"time"

	"monsoondale/core"
)

// reportValidity is the time after which the report of another instance is dropped. Reports arrive several times a
// second, so an older one means that the instance has stopped or is unreachable.
const reportValidity = time.Second

// peerSumInterval is how often the reported loads are summed again if no report arrives, so that expired reports are
// dropped.
const peerSumInterval = reportValidity / 4

const (
	// peerRateWeight is the weight of the newest report in another instance's request rate.
	peerRateWeight = 0.1
	// maxUnreported bounds the result of unreported, and with it the time that the choice of an endpoint takes.
	maxUnreported = 512
)

// totalLoad is the load of one endpoint, summed over instances.
type totalLoad struct {
	running       int
	pendingPrompt core.Tokens
}

// peerReport is the last report of another instance, and its request rate.
type peerReport struct {
	at      time.Time
	loads   map[core.EndpointID]Load
	waiting []int
	rate    average // first events per second
}

// Load is the load that one instance puts on one endpoint.
type Load struct {
	Endpoint      core.EndpointID
	Running       int
	PendingPrompt core.Tokens // prompt tokens of requests without a first event
}

// Sample is a measured time to the first event. PromptBacklog is the number of prompt tokens that the endpoint had to
// process before it, including those of the request itself.
type Sample struct {
	Endpoint      core.EndpointID
	PromptBacklog core.Tokens
	Latency       time.Duration
}

// maxReportEntries bounds the samples and the failures of a report; usually there are only a few between two digests.
const maxReportEntries = 32

// Report is the state of a pool that an instance sends to the others.
type Report struct {
	Loads   []Load
	Waiting []int // queued requests that can still be on time, by tier
	// Samples and Failures cover the time since the last report. Failures has the endpoint of each attempt whose outcome
	// was Broken or Unreachable.
	Samples  []Sample
	Failures []core.EndpointID
}

// TakeReport returns this instance's load on each endpoint it uses, its queue, and the samples and failures since the
// last call. It clears the samples and failures, and draws a new random value of sendOrder for the time until the next
// report.
func (p *Pool) TakeReport() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Samples: p.samples, Failures: p.failures, Waiting: make([]int, core.Tiers)}
	p.samples, p.failures = nil, nil
	p.assumedPosition = p.rng.Float64()
	for _, e := range p.orderedEndpoints {
		e.reportedRunning = e.ownRunning
		if e.ownRunning > 0 {
			r.Loads = append(r.Loads, Load{Endpoint: e.ID, Running: e.ownRunning, PendingPrompt: e.pendingPrompt})
		}
	}
	for _, t := range p.queue {
		if !t.late {
			r.Waiting[min(max(t.req.Tier, 0), core.Tiers-1)]++
		}
	}
	return r
}

// ApplyReport stores the report of another instance. Outcomes count only if that instance is in the same data centre,
// as an endpoint may be unreachable from some places only.
func (p *Pool) ApplyReport(now time.Time, from core.InstanceID, sameCentre bool, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := peerReport{at: now, rate: p.peers[from].rate, loads: make(map[core.EndpointID]Load, len(r.Loads)), waiting: r.Waiting}
	for _, l := range r.Loads {
		h.loads[l.Endpoint] = l
	}
	if previous, ok := p.peers[from]; ok {
		h.rate.add(float64(len(r.Samples))/max(now.Sub(previous.at), time.Millisecond).Seconds(), peerRateWeight)
	}
	p.peers[from] = h
	for _, s := range r.Samples {
		if e := p.endpoints[s.Endpoint]; e != nil {
			p.model.addSample(e, s.PromptBacklog, s.Latency)
			if sameCentre {
				p.updateAndLog(now, e, func() { e.recordPeerOutcome(now, false, p.rng) })
			}
		}
	}
	for _, id := range r.Failures {
		if e := p.endpoints[id]; e != nil && sameCentre {
			p.updateAndLog(now, e, func() { e.recordPeerOutcome(now, true, p.rng) })
		}
	}
	p.sumPeerLoads(now)
	p.assign(now)
}

// sumPeerLoads drops expired reports and sums the loads of the others by endpoint.
func (p *Pool) sumPeerLoads(now time.Time) {
	p.lastPeerSum = now
	for _, e := range p.orderedEndpoints {
		e.peerLoad = totalLoad{}
	}
	for id, r := range p.peers {
		if now.Sub(r.at) > reportValidity {
			delete(p.peers, id)
			continue
		}
		for endpointID, l := range r.loads {
			if e := p.endpoints[endpointID]; e != nil {
				e.peerLoad.running += l.Running
				e.peerLoad.pendingPrompt += l.PendingPrompt
			}
		}
	}
}

// moreUrgentAtPeers returns the number of requests of more urgent tiers that are queued at other instances.
func (p *Pool) moreUrgentAtPeers(t core.Tier) int {
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

// unreported estimates how many requests of other instances hold a slot, or will take the next free one, although the
// last reports do not list them as running: those sent since the report and those that were queued then. If requests
// take less time than the age of a report, only the corresponding part of them is still running.
func (p *Pool) unreported(now time.Time) int {
	n := 0.0
	for _, h := range p.peers {
		age := max(now.Sub(h.at), time.Millisecond)
		m := h.rate.value * age.Seconds()
		for _, w := range h.waiting {
			m += float64(w)
		}
		n += m * min(1, p.serviceTime.value/float64(age))
	}
	return min(int(n), maxUnreported)
}
