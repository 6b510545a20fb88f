package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
)

// reportValidity is the time after which the report of another instance is dropped. Reports arrive several times a
// second, so an older one means that the instance has stopped or is unreachable.
const reportValidity = time.Second

// peerSumInterval is how often the reported loads are summed again while requests are queued and no report arrives, so
// that expired reports are dropped.
const peerSumInterval = reportValidity / 4

const (
	// peerRateWeight is the weight of the newest report in another instance's rate of first events.
	peerRateWeight = 0.1
	// peerServiceTimeWeight is the weight of the newest reports in the mean service time of the other instances, which is relied on
	// after minPeerServiceTimes of them.
	peerServiceTimeWeight = 0.05
	minPeerServiceTimes   = 20
	// maxUnreported bounds the result of unreported, and with it the time that the loop in chooseEndpoint takes.
	maxUnreported = 512
)

// peerLoad is the load that the other instances put on one endpoint: the sum of their last reports.
type peerLoad struct {
	running       int
	pendingPrompt core.Tokens
}

// peerReport is the last report of another instance or data centre, and its rate of first events, which stands for its request
// rate.
type peerReport struct {
	at         time.Time     // when it was true
	validity   time.Duration // the time for which it counts
	sameCentre bool
	loads      []Load // one per endpoint, by id
	queued     int    // sum of waiting and late
	running    int    // requests at listed endpoints, when the loads were last summed, without those in lent
	lent       int    // requests at places that this instance has lent
	waiting    []int
	late       int
	rate       average // first events per second, of which a report has at most maxReportEntries
}

// Load is the load that one instance puts on one endpoint.
type Load struct {
	Endpoint      core.EndpointID
	Running       int
	PendingPrompt core.Tokens // prompt tokens of requests without a first event
	// Kept of the running requests are under grants of a keeper.
	Kept   int
	Keeper KeeperID

	lent int // of them, those that this instance counts as lent
}

// add returns the sum of two loads of one endpoint. Of two keepers, the one that has granted more is kept.
func (l Load) add(m Load) Load {
	sum := Load{Endpoint: m.Endpoint, Running: l.Running + m.Running, PendingPrompt: l.PendingPrompt + m.PendingPrompt, Kept: l.Kept, Keeper: l.Keeper}
	switch {
	case l.Keeper == m.Keeper:
		sum.Kept += m.Kept
	case m.Kept > l.Kept:
		sum.Kept, sum.Keeper = m.Kept, m.Keeper
	}
	return sum
}

// uncountedPrompt returns the part of PendingPrompt that does not belong to lent places. The report does not tell them apart, and the
// keeper knows sooner when a response begins.
func (l *Load) uncountedPrompt() core.Tokens {
	if l.Running <= 0 {
		return 0
	}
	return l.PendingPrompt * core.Tokens(l.Running-l.lent) / core.Tokens(l.Running)
}

// ownLoad returns the load of this instance at an endpoint.
func (e *endpointState) ownLoad() Load {
	l := Load{Endpoint: e.ID, Running: e.ownRunning, PendingPrompt: e.pendingPrompt, Kept: e.kept[e.keeper]}
	if l.Kept > 0 {
		l.Keeper = e.keeper
	}
	return l
}

// Sample is a measured time to the first event. PromptBacklog is the number of prompt tokens that the endpoint had to
// process before it, including those of the request itself.
type Sample struct {
	Endpoint      core.EndpointID
	PromptBacklog core.Tokens
	Latency       time.Duration
	Slowness      float64 // stated by the endpoint; 0 if not
	Load          int     // requests there, as the endpoint stated; 0 if not
}

// maxReportEntries bounds the samples and, separately, the failures of a report. Usually there are only a few of each
// between two reports.
const maxReportEntries = 32

// maxCentreSamples bounds the samples of a report of a data centre.
const maxCentreSamples = 64

// Report is the state of a pool that an instance sends to the others.
type Report struct {
	Loads   []Load
	Waiting []int // queued requests that can still be on time, by tier
	Late    int   // queued requests that cannot
	// Samples and Failures cover the time since the last report. Failures has the endpoint of each attempt whose outcome
	// was Broken, Unreachable, Silent or TimedOut.
	Samples  []Sample
	Work     []Work // likewise
	Failures []core.EndpointID
	// Age is the time since which the report is true on average; only for reports of a data centre.
	Age time.Duration
	// Validity is the time for which the report counts, but at least reportValidity.
	Validity time.Duration
}

// CentreReport returns the sum of the reports of this instance and of the others in its data centre, and the samples since the
// last call.
func (p *Pool) CentreReport(now time.Time) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Samples: p.centreSamples, Work: p.centreWork, Waiting: p.waitingByTier()}
	r.Late = len(p.queue) - lo.Sum(r.Waiting)
	p.centreSamples, p.centreWork = nil, nil
	loads := map[core.EndpointID]Load{}
	for _, e := range p.orderedEndpoints {
		if e.ownRunning > 0 {
			loads[e.ID] = e.ownLoad()
		}
	}
	reports := 1
	for _, pr := range p.peers {
		if !pr.sameCentre {
			continue
		}
		reports++
		r.Age += now.Sub(pr.at)
		r.Late += pr.late
		for tier, n := range pr.waiting {
			if tier < len(r.Waiting) {
				r.Waiting[tier] += n
			}
		}
		for _, l := range pr.loads {
			sum := loads[l.Endpoint]
			loads[l.Endpoint] = sum.add(l)
		}
	}
	r.Age /= time.Duration(reports)
	for _, e := range p.orderedEndpoints {
		if l, ok := loads[e.ID]; ok {
			r.Loads = append(r.Loads, l)
		}
	}
	return r
}

// waitingByTier returns the number of queued requests that can still be on time, by tier.
func (p *Pool) waitingByTier() []int {
	waiting := make([]int, core.Tiers)
	for _, t := range p.queue {
		if !t.late {
			waiting[min(max(t.req.Tier, 0), core.Tiers-1)]++
		}
	}
	return waiting
}

// addCentreSample keeps a sample for the next report of the data centre.
func (p *Pool) addCentreSample(s Sample) {
	if len(p.centreSamples) < maxCentreSamples {
		p.centreSamples = append(p.centreSamples, s)
	}
}

// TakeReport returns this instance's load on each endpoint it uses, its queue, and the samples and failures since the
// last call. It clears the samples and failures, and draws a new value of assumedPosition for the time until the next
// report.
func (p *Pool) TakeReport() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Samples: p.samples, Work: p.newWork, Failures: p.failures, Waiting: p.waitingByTier()}
	r.Late = len(p.queue) - lo.Sum(r.Waiting)
	p.samples, p.newWork, p.failures = nil, nil, nil
	p.assumedPosition = p.rng.Float64()
	for _, e := range p.orderedEndpoints {
		e.reportedRunning = e.ownRunning
		if e.ownRunning > 0 {
			r.Loads = append(r.Loads, e.ownLoad())
		}
	}
	return r
}

// ApplyReport stores the report of another instance, or of another data centre. Its samples always count in the latency model.
// They count as successes, and its failures count at all, only if that instance is in the same data centre, as an endpoint may
// be unreachable from some data centres only.
func (p *Pool) ApplyReport(now time.Time, from core.InstanceID, sameCentre bool, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := &peerReport{
		at: now.Add(-r.Age), validity: max(r.Validity, reportValidity), sameCentre: sameCentre,
		loads: loadsByEndpoint(r.Loads), waiting: r.Waiting, late: r.Late,
		queued: lo.Sum(r.Waiting) + r.Late,
	}
	since := now.Add(-reportValidity) // earliest time of the outcomes
	pr.loads = p.reconcileLent(from, pr.at, pr.loads)
	if previous := p.peers[from]; previous != nil {
		since = previous.at
		pr.rate = previous.rate
		pr.rate.add(float64(len(r.Samples))/max(pr.at.Sub(previous.at), time.Millisecond).Seconds(), peerRateWeight)
	}
	p.replacePeer(from, pr)
	for _, s := range r.Samples {
		if e := p.endpoints[s.Endpoint]; e != nil {
			e.stated.record(pr.at, s.Slowness)
			if s.Load > 0 {
				l := StatedLoad{Running: min(s.Load, e.Slots), Waiting: max(s.Load-e.Slots, 0), Slots: e.Slots, Slowness: s.Slowness}
				e.statedLoad.record(now, l, e.reportedLoad(), toldGain)
			}
			p.model.addSample(e, s)
			if sameCentre {
				p.addCentreSample(s)
				p.updateAndLog(now, e, func() { e.recordPeerOutcome(now, since, false, p.rng) })
			}
		}
	}
	for _, w := range r.Work {
		if e := p.endpoints[w.Endpoint]; e != nil {
			p.addWork(pr.at, e, w)
			if sameCentre {
				p.addCentreWork(w)
			}
		}
	}
	for _, id := range r.Failures {
		if e := p.endpoints[id]; e != nil && sameCentre {
			p.updateAndLog(now, e, func() { e.recordPeerOutcome(now, since, true, p.rng) })
		}
	}
	p.sumPeerLoads(now)
	p.assign(now)
}

// loadsByEndpoint returns the loads by id of the endpoint, the last one of each. Instances send them like this.
func loadsByEndpoint(loads []Load) []Load {
	byID := func(a, b Load) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) }
	ordered := true
	for i := 1; i < len(loads); i++ {
		ordered = ordered && byID(loads[i-1], loads[i]) < 0
	}
	if ordered {
		return loads
	}
	loads = slices.Clone(loads)
	slices.Reverse(loads)
	slices.SortStableFunc(loads, byID)
	return slices.CompactFunc(loads, func(a, b Load) bool { return a.Endpoint == b.Endpoint })
}

// replacePeer replaces the report of another instance, or drops it if pr is nil, and updates the sums of the loads.
func (p *Pool) replacePeer(id core.InstanceID, pr *peerReport) {
	if previous := p.peers[id]; previous != nil && !p.listChanged {
		p.addPeerLoads(previous, -1)
	}
	if pr == nil {
		delete(p.peers, id)
		return
	}
	p.peers[id] = pr
	if !p.listChanged {
		p.addPeerLoads(pr, 1)
	}
}

// addPeerLoads adds the loads of a report, times factor, to the endpoints.
func (p *Pool) addPeerLoads(pr *peerReport, factor int) {
	pr.running, pr.lent = 0, 0
	for i := range pr.loads {
		l := &pr.loads[i]
		if e := p.endpoints[l.Endpoint]; e != nil {
			counted := l.Running - l.lent
			e.peerLoad.running += factor * counted
			e.peerLoad.pendingPrompt += core.Tokens(factor) * l.uncountedPrompt()
			pr.running += counted
			pr.lent += l.lent
		}
	}
}

// sumPeerLoads drops expired reports and updates what follows from all of them. The loads by endpoint are summed anew only if the
// list of endpoints has changed.
func (p *Pool) sumPeerLoads(now time.Time) {
	p.lastPeerSum = now
	if p.listChanged {
		for _, e := range p.orderedEndpoints {
			e.peerLoad = peerLoad{}
		}
		for _, pr := range p.peers {
			p.addPeerLoads(pr, 1)
		}
		p.listChanged = false
	}
	p.expireLent(now)
	running, timed, age, rate := 0, 0, time.Duration(0), 0.0
	remote, remoteAge := 0, time.Duration(0)
	clear(p.waitingAtPeers)
	for id, pr := range p.peers {
		if now.Sub(pr.at) > pr.validity {
			p.replacePeer(id, nil)
			continue
		}
		if pr.lent == 0 {
			rate += pr.rate.value
			timed += pr.running
		}
		for tier, n := range pr.waiting {
			if tier == len(p.waitingAtPeers) {
				p.waitingAtPeers = append(p.waitingAtPeers, 0)
			}
			p.waitingAtPeers[tier] += n
		}
		if !pr.sameCentre {
			remote++
			remoteAge += now.Sub(pr.at)
		}
		running += pr.running
		age += time.Duration(pr.running) * now.Sub(pr.at)
	}
	p.peerLoadAge = age / time.Duration(max(running, 1))
	p.remotePenalty = minRemotePenalty + time.Duration(remoteAgeWeight*float64(remoteAge)/float64(max(remote, 1)))
	if rate > 0 && timed > 0 { // Little's law
		p.peerServiceTime.add(float64(timed)/rate, peerServiceTimeWeight)
	}
}

// moreUrgentAtPeers returns the number of requests of more urgent tiers that are queued at other instances.
func (p *Pool) moreUrgentAtPeers(t core.Tier) int {
	n := 0
	for tier, w := range p.waitingAtPeers {
		if core.Tier(tier) < t {
			n += w
		}
	}
	return n
}

// reportsOutdated reports whether most of the requests that the reports list as running have ended since, so that the reports
// do not show which slots are free.
func (p *Pool) reportsOutdated() bool {
	return p.peerServiceTime.n >= minPeerServiceTimes && p.peerLoadAge.Seconds() > p.peerServiceTime.value
}

// unreported estimates how many requests of other instances hold a slot, or will take the next free one, without being
// listed as running in the last reports: the requests sent since the report, at the recent rate of the instance and as many more as are
// refused here, and
// those that were queued at the time of the report. If the mean service time is shorter than the age of a report, only
// that fraction of them is still running.
func (p *Pool) unreported(now time.Time) int {
	n, excess := 0.0, p.admission.excess(now)
	for _, pr := range p.peers {
		if pr.lent > 0 { // this instance knows what they send
			continue
		}
		age := max(now.Sub(pr.at), time.Millisecond)
		m := excess*pr.rate.value*age.Seconds() + float64(pr.queued)
		n += m * min(1, p.serviceTime.value/float64(age))
	}
	return min(int(n), maxUnreported)
}
