package pool

import (
	"math"
	"slices"
	"time"

	"monsoondale/core"
)

const (
	// lateWaitShare is the part of the time from arrival to deadline for which a late request may be queued. With a fifth or more,
	// callers waited longer and were refused all the same.
	lateWaitShare = 0.1
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals. minRetryAfter is also used for refusals for which no
	// time is estimated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// returnSpread is the ratio of the longest to the shortest Retry-After of callers that wait for the same time.
	returnSpread = 1.25
	// arrivalSpan is the time that the arrival rate covers.
	arrivalSpan = time.Second
	// minSpareShare is the part of the drain rate that is assumed to be left for callers that return, however many requests arrive.
	minSpareShare = 0.03
	// minServiceTimes is the number of completions from which on the drain rate is known.
	minServiceTimes = 10
	// toldStep and toldSteps are the resolution and the length of what is kept of the times that callers were told.
	toldStep  = 100 * time.Millisecond
	toldSteps = 128
	// usualSpan is the time that the usual rate of a workspace covers. Beyond maxGrowth times the growth of all, the predicted wait counts for
	// more, at most maxSurge times as much; below minSurgeRate requests a second, the growth is not known well enough.
	usualSpan    = time.Minute
	maxGrowth    = 1.25
	maxSurge     = 4
	minSurgeRate = 4
	// maxWorkspaces bounds the workspaces whose growth is kept.
	maxWorkspaces = 1024
	// maxExcess bounds the result of excess.
	maxExcess = 4
	// maxKinds bounds the kinds of requests of which means are kept.
	maxKinds = 64
	// minRecordedWait is the predicted wait from which on waits are compared with it. minWaitRatio and maxWaitRatio bound the ratio,
	// waitRatioWeight is the weight of the newest one.
	minRecordedWait            = 5 * time.Millisecond
	minWaitRatio, maxWaitRatio = 0.5, 4
	waitRatioWeight            = 0.05
	// refusalGain is how much more the predicted wait counts for requests of which fewer are refused than of more urgent ones. The
	// objective of these may be shorter, so that they would be refused first.
	refusalGain = 5
	// waitRatioDecay is the part of the difference to 1 that a ratio loses with each refusal on arrival, so that it is measured again.
	waitRatioDecay = 0.01
	// arrivalMargin is how much more than the predicted wait a request must have left on arrival. Without a margin, half of those that are refused
	// were queued first.
	arrivalMargin = 1.3
	// waitingRatio is the part of the predicted wait that counts for a request that was not refused on arrival.
	waitingRatio = 0.7
)

// Overload is the reason of refusals of requests that can't be on time.
const Overload = "overload"

// kind distinguishes requests by what their callers expect.
type kind struct {
	rank      int
	objective time.Duration
	stream    bool
}

// kind returns the kind of a request.
func (r *Request) kind() kind {
	k := kind{rank: r.Rank, stream: r.Stream}
	if !r.Objective.IsZero() {
		k.objective = r.Objective.Sub(r.Arrived) + r.Waited
	}
	return k
}

// admission is what predictions of the wait of requests are based on.
type admission struct {
	arrivals rate
	granted  rate // requests that got a slot
	late     rate // late requests among them
	refused  rate // requests that were refused because of an overload
	kinds    map[kind]*kindStats
	// workspaces has the growth of each workspace, all that of all together.
	workspaces map[core.WorkspaceID]*surgeMeter
	all        surgeMeter
	drain      float64 // see drainRate; as of the present call of assign
	// away is the number of callers that were turned away and for which no place has become free since, at awayAt.
	away   float64
	awayAt time.Time
	told   toldTimes
	// reserved is the number of slots that are kept for callers that return in the time that they were told, at reservedAt.
	reserved   float64
	reservedAt time.Time
}

// toldTimes are the shortest Retry-After by the time of the refusal, in steps of toldStep.
type toldTimes [toldSteps]struct {
	step int64
	told time.Duration
}

func (o *toldTimes) record(now time.Time, d time.Duration) {
	step := now.UnixNano() / int64(toldStep)
	e := &o[step%toldSteps]
	if e.step != step {
		e.step, e.told = step, d
	}
	e.told = min(e.told, d)
}

// due reports whether callers that were turned away a time ago were told to return by now, or may have been told so by another instance.
func (o *toldTimes) due(now time.Time, ago time.Duration) bool {
	step := now.Add(-ago).UnixNano() / int64(toldStep)
	e := &o[step%toldSteps]
	return e.step != step || float64(e.told) <= returnSpread*float64(ago)
}

// kindStats is what was learned about the requests of a kind.
type kindStats struct {
	prompt average // tokens
	// waitRatio is how long requests wait in relation to the prediction, as more urgent ones that arrive later go first.
	waitRatio average
	refused   average // share of the requests
}

// rate is an exponentially weighted number of events per second.
type rate struct {
	value       float64
	first, last time.Time
}

// addOver records an event. span is the time that the rate covers.
func (r *rate) addOver(now time.Time, span time.Duration) {
	if r.first.IsZero() {
		r.first = now
	}
	r.value, r.last = r.over(now, span)+1/span.Seconds(), now
}

// over returns the rate over the last span.
func (r *rate) over(now time.Time, span time.Duration) float64 {
	return r.value * math.Exp(-float64(now.Sub(r.last))/float64(span))
}

func (r *rate) add(now time.Time) { r.addOver(now, arrivalSpan) }

func (r *rate) perSecond(now time.Time) float64 { return r.over(now, arrivalSpan) }

// surgeMeter compares the rate of requests with the usual one.
type surgeMeter struct{ recent, usual rate }

func (w *surgeMeter) add(now time.Time) {
	w.recent.add(now)
	w.usual.addOver(now, usualSpan)
}

// factor returns how many times the usual rate requests arrive.
func (w *surgeMeter) factor(now time.Time) float64 {
	covered := 1 - math.Exp(-float64(now.Sub(w.usual.first))/float64(usualSpan)) // less than 1 until it has been learned
	return w.recent.perSecond(now) * covered / w.usual.over(now, usualSpan)
}

// surge returns by how much the requests of a workspace have grown more than all, as far as that is beyond maxGrowth; from 1 to maxSurge.
func (a *admission) surge(now time.Time, id core.WorkspaceID) float64 {
	w := a.workspaces[id]
	if w == nil || w.recent.perSecond(now) < minSurgeRate {
		return 1
	}
	return min(max(w.factor(now)/a.all.factor(now)/maxGrowth, 1), maxSurge)
}

// recordWorkspace records a request of a workspace.
func (a *admission) recordWorkspace(now time.Time, id core.WorkspaceID) {
	a.all.add(now)
	w := a.workspaces[id]
	if w == nil {
		if a.workspaces == nil || len(a.workspaces) >= maxWorkspaces { // those that have left are not kept for ever
			a.workspaces = map[core.WorkspaceID]*surgeMeter{}
		}
		w = &surgeMeter{}
		a.workspaces[id] = w
	}
	w.add(now)
}

// recordArrival records a request that enters the queue for the first time.
func (a *admission) recordArrival(now time.Time, t *Ticket) {
	t.kind = a.kind(&t.req)
	t.due = t.req.Waited > 0 && a.told.due(now, t.req.Waited)
	if t.req.Retried || t.spare {
		return
	}
	a.arrivals.add(now)
	if t.req.Workspace != "" {
		a.recordWorkspace(now, t.req.Workspace)
	}
	if k := t.kind; k != nil {
		k.prompt.add(float64(t.req.Prompt), requestWeight)
	}
}

// kind returns what was learned about the kind of a request, or nil if there are too many kinds.
func (a *admission) kind(req *Request) *kindStats {
	key := req.kind()
	k := a.kinds[key]
	if k == nil && len(a.kinds) < maxKinds {
		if a.kinds == nil {
			a.kinds = map[kind]*kindStats{}
		}
		k = &kindStats{waitRatio: average{1, 1}}
		a.kinds[key] = k
	}
	return k
}

// refusalGap returns by how much fewer requests of a kind are refused than of the more urgent kind with the most refusals; 0 if there is none.
func (a *admission) refusalGap(req *Request, k *kindStats) float64 {
	gap := 0.0
	for key, other := range a.kinds {
		if key.rank < req.Rank {
			gap = max(gap, other.refused.value-k.refused.value)
		}
	}
	return gap
}

// recordRefused records whether a request was refused because of an overload.
func (t *Ticket) recordRefused(refused bool) {
	if t.kind == nil || t.req.Retried || t.spare {
		return
	}
	v := 0.0
	if refused {
		v = 1
	}
	t.kind.refused.add(v, requestWeight)
}

// recordWait records the wait of a request that gets a slot, or that is refused although a slot was expected in time; rest is how much longer it
// would have waited.
func (p *Pool) recordWait(now time.Time, t *Ticket, rest time.Duration) {
	if rest == 0 {
		p.admission.granted.add(now)
		if t.late {
			p.admission.late.add(now)
		}
	}
	if t.expectedWait < minRecordedWait {
		return
	}
	if k := t.kind; k != nil {
		ratio := float64(now.Sub(t.req.Arrived)+rest) / float64(t.expectedWait)
		k.waitRatio.add(min(max(ratio, minWaitRatio), maxWaitRatio), waitRatioWeight)
	}
}

// typicalPrompt returns the number of prompt tokens by which a request is judged: its own, but at most the mean of its kind, so that
// long requests are not refused before shorter ones.
func (t *Ticket) typicalPrompt() core.Tokens {
	if t.kind != nil && t.kind.prompt.n > 0 {
		return min(t.req.Prompt, core.Tokens(t.kind.prompt.value))
	}
	return t.req.Prompt
}

// refuse returns the refusal of a request that gets no endpoint now and is not to wait for one. listed reports whether an endpoint that is not
// leaving is listed for it.
func (p *Pool) refuse(now time.Time, t *Ticket, listed bool, exclude []core.EndpointID) (Refusal, bool) {
	if !listed && !t.req.Begun { // for a stream that broke off, an endpoint may be listed in time
		return Refusal{RetryAfter: minRetryAfter, Reason: "no endpoint"}, true
	}
	if end, ok := p.waitEnd(now, exclude); ok && !t.canWaitUntil(end) {
		return Refusal{RetryAfter: p.spread(end.Sub(now)), Reason: "endpoints wait"}, true
	}
	return Refusal{}, false
}

// refuseLate refuses the late requests for which no place is expected within the time that they may wait. onTime is the number of
// queued requests that can still be on time, which go first.
func (p *Pool) refuseLate(now time.Time, onTime int) {
	if len(p.queue) == onTime {
		return
	}
	spare := p.spareRate(now, 0)
	ahead := onTime
	kept := p.queue[:0]
	for _, t := range p.queue {
		if !t.late || t.req.Begun || t.spare || p.mayStayLate(now, t, ahead, spare) {
			if t.late {
				ahead++
			}
			kept = append(kept, t)
			continue
		}
		p.recordWait(now, t, p.wait(now, &t.req, onTime))
		decide := p.decide
		if t.ask != nil {
			decide = p.decideAsk
		}
		d := decide(now, t)
		_, refused := d.(Refusal)
		refused = refused || d == nil
		if t.recordRefused(refused); !refused { // late requests may use endpoints that others avoid
			p.end(t, d)
			continue
		}
		p.admission.refused.add(now)
		state := p.state(now)
		state.PredictedWait = max(t.expectedWait, 0)
		p.end(t, Refusal{RetryAfter: p.retryAfter(now, ahead, p.spareRate(now, onTime)), Reason: Overload, State: state, Decider: t.local})
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// keepsPromise reports whether a request whose caller returns in the time that it was told goes before others although it is late. minSpareShare
// of the drain rate is kept for these, on which Retry-After relies.
func (p *Pool) keepsPromise(now time.Time, t *Ticket) bool {
	a := &p.admission
	if !t.due || t.promised || math.IsInf(a.drain, 1) {
		return t.promised
	}
	own := a.arrivals.perSecond(now)
	rate := minSpareShare * a.drain * (own + 1) / (own + p.demandAtPeers() + 1)
	a.reserved = min(a.reserved+rate*now.Sub(a.reservedAt).Seconds(), max(rate, 1))
	a.reservedAt = now
	if a.reserved < 1 {
		return false
	}
	a.reserved--
	t.promised = true
	return true
}

// mayStayLate reports whether a late request stays in the queue: a place is expected for it within lateWaitShare of the time that its caller
// waits, when ahead requests have got theirs.
func (p *Pool) mayStayLate(now time.Time, t *Ticket, ahead int, spare float64) bool {
	span := t.req.Deadline.Sub(t.req.Arrived)
	limit := time.Duration(lateWaitShare * float64(span))
	waited := now.Sub(t.req.Arrived)
	if waited > limit {
		return false
	}
	if t.req.Retried || t.due || p.halfFree(now, &t.req) {
		return true
	}
	return math.IsInf(spare, 1) || waited.Seconds()+float64(ahead+1)/spare <= limit.Seconds()
}

// halfFree reports whether half of the slots that a request could get are free.
func (p *Pool) halfFree(now time.Time, req *Request) bool {
	free, slots := 0, 0
	for _, e := range p.orderedEndpoints {
		if p.serves(e) && e.available(now) && !slices.Contains(req.Exclude, e.ID) && req.allows(e.ID) {
			free += max(e.freeSlots(), 0)
			slots += e.capacity()
		}
	}
	return slots > 0 && 2*free >= slots
}

// drainRate returns the number of slots that become free in a second while all are in use; infinite if it is not known.
func (p *Pool) drainRate(now time.Time) float64 {
	if p.serviceTime.n < minServiceTimes {
		return math.Inf(1)
	}
	slots := 0
	for _, e := range p.orderedEndpoints {
		if p.serves(e) && e.available(now) {
			slots += max(e.capacity(), 0)
		}
	}
	return float64(slots) * float64(time.Second) / max(p.serviceTime.value, 1)
}

// spareRate returns the number of slots a second that become free for late requests and returning callers of this instance: its share of what
// the requests that arrive now, and in addition a number that is queued, do not need, and at least the rate at which late requests get slots.
func (p *Pool) spareRate(now time.Time, queued int) float64 {
	drain := p.admission.drain
	if math.IsInf(drain, 1) {
		return drain
	}
	own := p.admission.arrivals.perSecond(now)
	demand := own + p.demandAtPeers()
	share := (own + 1) / (demand + 1)
	return max(share*(drain-demand)-float64(queued)/arrivalSpan.Seconds(), share*minSpareShare*drain, p.admission.late.perSecond(now))
}

// excess returns how many requests arrive here for each that gets a slot, from 1 to maxExcess. Those in excess are refused, but would get
// slots that become free suddenly.
func (a *admission) excess(now time.Time) float64 {
	granted := a.granted.perSecond(now)
	if granted <= 0 {
		return 1
	}
	return min(1+a.refused.perSecond(now)/granted, maxExcess)
}

// demandAtPeers returns the requests a second of the other instances.
func (p *Pool) demandAtPeers() float64 {
	if p.keeping { // they ask here
		return 0
	}
	rate := 0.0
	for _, pr := range p.peers {
		rate += pr.rate.value
	}
	return rate
}

// serves reports whether the queued requests may get an endpoint here: a keeper has those of its data centre.
func (p *Pool) serves(e *endpointState) bool { return !p.keeping || e.Centre == p.o.Centre }

// missesObjective reports whether a request would miss its objective even at the fastest available endpoint, after the
// requests ahead of it have got a slot: onTimeBefore of this instance, and those of other instances. If no endpoint is available, only
// this wait counts.
func (p *Pool) missesObjective(now time.Time, t *Ticket, onTimeBefore int) bool {
	if t.req.Objective.IsZero() {
		return false
	}
	typical := t.req
	typical.Prompt = t.typicalPrompt()
	wait := p.wait(now, &t.req, onTimeBefore)
	switch {
	case t.expectedWait < 0:
		t.expectedWait = wait
		if k := t.kind; k != nil {
			wait = time.Duration(float64(wait) * k.waitRatio.value * p.admission.surge(now, t.req.Workspace) * (arrivalMargin + refusalGain*p.admission.refusalGap(&t.req, k)))
			k.waitRatio.value += waitRatioDecay * (1 - k.waitRatio.value)
		}
	default:
		wait = time.Duration(waitingRatio * float64(wait))
	}
	return now.Add(wait + p.fastestFirst(now, &typical)).After(t.req.Objective)
}

// wait predicts how long a request waits for a slot from now on.
func (p *Pool) wait(now time.Time, req *Request, onTimeBefore int) time.Duration {
	ahead := float64(onTimeBefore) + p.aheadAtPeers(req.Tier)
	if ahead == 0 {
		return 0
	}
	return time.Duration(min(ahead/p.admission.drain, math.MaxInt32) * float64(time.Second))
}

// fastestFirst returns the predicted time to the first event of a request at the fastest available endpoint; 0 if none is available.
func (p *Pool) fastestFirst(now time.Time, req *Request) time.Duration {
	fastest := time.Duration(-1)
	for _, e := range p.orderedEndpoints {
		if p.serves(e) && e.available(now) {
			if f, _ := p.model.predict(now, e, req); fastest < 0 || f < fastest {
				fastest = f
			}
		}
	}
	return max(fastest, 0)
}

// aheadAtPeers estimates how many requests that are queued at other instances go before one of a tier: those of more urgent tiers, and half of
// those of its own.
func (p *Pool) aheadAtPeers(t core.Tier) float64 {
	if p.keeping { // they wait here
		return 0
	}
	n := float64(p.moreUrgentAtPeers(t))
	if int(t) < len(p.waitingAtPeers) && t >= 0 {
		n += float64(p.waitingAtPeers[t]) / 2
	}
	return n
}

// canWaitUntil reports whether a request can wait in the queue until a time at which an endpoint accepts requests again: it
// can still be on time then, or its caller is receiving the response already.
func (t *Ticket) canWaitUntil(end time.Time) bool {
	if t.req.Begun {
		return end.Before(t.req.Deadline)
	}
	return end.Before(t.req.Objective)
}

// spread returns a time from d to returnSpread times d, so that callers that are refused together return one by one.
func (p *Pool) spread(d time.Duration) time.Duration {
	return time.Duration((1 + (returnSpread-1)*p.rng.Float64()) * float64(max(d, minRetryAfter)))
}

// retryAfter returns the time in which a place is expected for a caller that is turned away: after ahead requests and the callers that were
// turned away before it. Callers thus return one by one, in the order of their refusals.
func (p *Pool) retryAfter(now time.Time, ahead int, spare float64) time.Duration {
	if math.IsInf(spare, 1) || spare <= 0 {
		return p.spread(minRetryAfter)
	}
	a := &p.admission
	a.away = max(a.away-spare*now.Sub(a.awayAt).Seconds(), 0) + 1
	a.awayAt = now
	d := time.Duration(min((float64(ahead)+a.away)/spare, maxRetryAfter.Seconds()) * float64(time.Second))
	if d < minRetryAfter || d == maxRetryAfter {
		d = p.spread(d)
	}
	a.told.record(now, d)
	return d
}
