package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/endpoint"
	"monsoondale/core/routing"
)

// disabledFeatures names the features of the policy that a run does without.
type disabledFeatures struct {
	core        admission.Feature
	randomShard bool // the random choice of the shard
}

// coreDispatcher runs the real scheduling core: holders, shard owners and the floor protocol, with message delays.
type coreDispatcher struct {
	sim        *sim
	disabled   disabledFeatures
	pool       core.Pool
	engines    map[core.EndpointID]*engine
	shardIDs   []core.ShardID
	shards     []*admission.Shard
	instances  []*instance
	shardSpecs []routing.ShardSpec
	waiting    map[core.RequestID]*request
}

// instance is an instance in its role as holder of requests.
type instance struct {
	id      core.InstanceID
	chooser *routing.Chooser
	running [][]*request // by shard
	dead    bool
}

// newCoreDispatcher splits the engines into shards, each with its owner, and starts instances that hold requests.
func newCoreDispatcher(s *sim, engines []*engine, instances int, rng *rand.Rand, disabled disabledFeatures) *coreDispatcher {
	d := &coreDispatcher{sim: s, disabled: disabled, pool: core.Pool(lo.Ternary(engines[0].service, "orders", "chat")), engines: map[core.EndpointID]*engine{}, waiting: map[core.RequestID]*request{}}
	specs := lo.Map(engines, func(e *engine, i int) endpoint.Spec {
		d.engines[e.id] = e
		return endpoint.Spec{ID: e.id, Pool: d.pool, Service: e.service, Centre: core.DataCentre(fmt.Sprint("dc", i%3))}
	})
	shardSpecs := routing.SplitShards(specs, 64)
	d.shardSpecs = shardSpecs
	d.shards = make([]*admission.Shard, len(shardSpecs))
	for i, sp := range shardSpecs {
		d.shardIDs = append(d.shardIDs, sp.ID)
		d.replaceOwner(i, "first")
		s.every(50*time.Millisecond, func() {
			if sh := d.shards[i]; !s.now.Before(sh.NextTick(s.now)) {
				d.apply(i, sh.Tick(s.now))
			}
		})
		for _, spec := range sp.Endpoints {
			d.startReports(i, d.engines[spec.ID], rng)
		}
	}
	for i := range instances {
		inst := &instance{id: core.InstanceID(fmt.Sprint("h", i)), running: make([][]*request, len(shardSpecs))}
		inst.chooser = routing.NewChooser(routing.ChooserOptions{Self: inst.id, Centre: core.DataCentre(fmt.Sprint("dc", i%3)), Deterministic: disabled.randomShard})
		inst.chooser.SetShards(shardSpecs)
		d.instances = append(d.instances, inst)
		s.after(time.Duration(i)*150*time.Millisecond, func() { s.every(time.Second, func() { d.sendSync(inst) }) })
	}
	return d
}

// replaceOwner gives shard i a new owner without any state. Holders repeat their asks.
func (d *coreDispatcher) replaceOwner(i int, name core.InstanceID) {
	d.shards[i] = admission.New(admission.Options{Pool: d.pool, Shard: d.shardSpecs[i].ID, Self: name, Epoch: fmt.Sprint(name, i), Disabled: d.disabled.core})
	d.apply(i, d.shards[i].SetEndpoints(d.sim.now, d.shardSpecs[i].Endpoints))
	repeated := lo.Filter(lo.Values(d.waiting), func(r *request, _ int) bool { return r.asked[i] })
	slices.SortFunc(repeated, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, r := range repeated {
		r.asked[i] = false
		r.openAsks--
		d.ask(r, i)
	}
}

// startReports sends the load and the cache events of an engine to the owner of shard i every second, with the delay
// of the reports. A tenth of the batches of cache events is lost.
func (d *coreDispatcher) startReports(i int, e *engine, rng *rand.Rand) {
	gap := false
	d.sim.every(time.Second, func() {
		load := endpoint.Report{Endpoint: e.id, Time: d.sim.now, Running: len(e.decoding), Waiting: len(e.prefilling)}
		cacheEvents := endpoint.Report{Endpoint: e.id, Time: d.sim.now, Events: e.cacheEvents, Gap: gap}
		e.cacheEvents, gap = nil, rng.IntN(10) == 0
		lost := gap || d.sim.reporting.cacheEventsLost
		if e.dead {
			return
		}
		d.sim.after(d.sim.reporting.delay, func() {
			if !d.sim.reporting.loadsLost {
				d.apply(i, d.shards[i].ApplyReport(d.sim.now, load))
			}
			if !lost {
				d.apply(i, d.shards[i].ApplyReport(d.sim.now, cacheEvents))
			}
		})
	})
}

// assignHolder assigns a request to a live instance, as the load balancer does.
func (d *coreDispatcher) assignHolder(r *request) {
	hash := xxhash.Sum64String(string(r.id))
	for r.holder = d.instances[hash%uint64(len(d.instances))]; r.holder.dead; hash++ {
		r.holder = d.instances[hash%uint64(len(d.instances))]
	}
}

// submit asks the preferred shard, and after hedgeAfter two more if the request still waits.
func (d *coreDispatcher) submit(r *request) {
	d.assignHolder(r)
	r.remaining = r.decode
	r.asked = make([]bool, len(d.shards))
	r.queuedAt = d.sim.now
	d.waiting[r.id] = r
	choices := r.holder.chooser.Choose(d.sim.now, d.pool, lo.Ternary(d.disabled.core&admission.PrefixAffinity == 0, r.prefixes, nil))
	d.ask(r, slices.Index(d.shardIDs, choices[0]))
	askOthers := func() {
		if d.waiting[r.id] == r {
			for _, id := range choices[1:min(3, len(choices))] {
				d.ask(r, slices.Index(d.shardIDs, id))
			}
		}
	}
	d.sim.after(hedgeAfter, askOthers)
}

// ask asks the owner of shard i for a slot, unless the request has already asked it.
func (d *coreDispatcher) ask(r *request, i int) {
	if r.asked[i] {
		return
	}
	r.asked[i] = true
	r.openAsks++
	ask := admission.Ask{
		Request: r.id, Holder: r.holder.id, Workspace: r.src.workspace, Caller: r.caller, Tier: r.src.tier, Weight: r.src.weight,
		Prefill: core.Tokens(r.prefill), Decode: core.Tokens(r.src.meanDecode), Prefixes: r.prefixes,
		Once: r.src.order, Exclude: r.exclude,
	}
	if r.src.deadline > 0 && r.firstToken.IsZero() {
		ask.Deadline = r.arrived.Add(r.src.deadline)
	}
	if r.grant.Grant != "" {
		ask.Pin = r.grant.Endpoint
	}
	d.sim.after(oneWayDelay, func() { d.apply(i, d.shards[i].Ask(d.sim.now, ask)) })
}

// apply carries out the effects that shard i returned.
func (d *coreDispatcher) apply(i int, effects []admission.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admission.Grant:
			d.sim.after(oneWayDelay, func() { d.handleGrant(i, e) })
		case admission.Refuse:
			d.markInversion(e)
			d.sim.after(oneWayDelay, func() { d.handleRefusal(i, e) })
		case admission.Suspend:
			d.sim.after(oneWayDelay, func() { d.handleSuspend(i, e) })
		case admission.RequestSync:
			d.sim.after(2*oneWayDelay, func() { d.sendFullSync(i, e.Holder) })
		case admission.ConfirmFloor:
			d.confirmFloor(i, e.Tier)
		}
	}
}

// markInversion marks a request that is refused because of overload while an engine runs work of a lower tier.
func (d *coreDispatcher) markInversion(refusal admission.Refuse) {
	r := d.waiting[refusal.Request]
	if r == nil || refusal.Err.Code != core.CodeOverloaded && refusal.Err.Code != core.CodeDeadline {
		return
	}
	for _, inst := range d.instances {
		for _, running := range inst.running {
			if slices.ContainsFunc(running, func(x *request) bool { return x.src.tier > r.src.tier }) {
				r.inverted = true
				return
			}
		}
	}
}

func (d *coreDispatcher) sendRelease(i int, release admission.Release) {
	d.sim.after(oneWayDelay, func() { d.apply(i, d.shards[i].Release(d.sim.now, release)) })
}

// handleGrant starts a request with its first grant and withdraws its other asks.
func (d *coreDispatcher) handleGrant(i int, grant admission.Grant) {
	r := d.waiting[grant.Request]
	if r == nil {
		d.sendRelease(i, admission.Release{Grant: grant.Grant, Request: grant.Request, Outcome: admission.OutcomeUnused})
		return
	}
	delete(d.waiting, r.id)
	for k := range d.shards {
		if k != i && r.asked[k] {
			d.sim.after(oneWayDelay, func() { d.apply(k, d.shards[k].Withdraw(d.sim.now, r.id)) })
		}
	}
	h := r.holder
	h.chooser.RecordGrant(d.sim.now, d.shardIDs[i], r.prefixes)
	h.chooser.UpdateLoad(d.sim.now, d.shardIDs[i], d.shards[i].Stats().Wait, d.shards[i].Stats().Free)
	r.longestQueueWait = max(r.longestQueueWait, d.sim.now.Sub(r.queuedAt))
	r.grant, r.shard = grant, i
	h.running[i] = append(h.running[i], r)
	remainingBefore := r.remaining
	release := func(outcome admission.Outcome) {
		h.running[i] = lo.Without(h.running[i], r)
		d.sendRelease(i, r.newRelease(grant.Grant, outcome, remainingBefore-r.remaining, d.sim.now))
	}
	done, failed := func() { release(admission.OutcomeDone) }, func() { release(admission.OutcomeFailed) }
	if d.engines[grant.Endpoint].start(r, done, failed) {
		return
	}
	release(admission.OutcomeRefused)
	if r.suspensions > 0 { // it can only resume where it ran
		r.failed, r.ended = true, d.sim.now
		return
	}
	r.exclude = append(r.exclude, grant.Endpoint)
	r.grant = admission.Grant{}
	d.requeue(r, i)
}

// newRelease returns the release of the request's slot with the measured times and tokens.
func (r *request) newRelease(grant core.GrantID, outcome admission.Outcome, decoded float64, now time.Time) admission.Release {
	return admission.Release{
		Grant: grant, Request: r.id, Outcome: outcome, Prefill: core.Tokens(r.prefill), Cached: core.Tokens(r.cached),
		Decode: core.Tokens(decoded), FirstToken: max(0, r.firstToken.Sub(r.dispatchedAt)), Total: now.Sub(r.dispatchedAt),
	}
}

// requeue asks shard i for another slot for a request that has lost its slot.
func (d *coreDispatcher) requeue(r *request, i int) {
	clear(r.asked)
	r.openAsks, r.queuedAt = 0, d.sim.now
	d.waiting[r.id] = r
	d.ask(r, i)
}

// cancel handles a caller that hangs up.
func (d *coreDispatcher) cancel(r *request) {
	r.ended = d.sim.now
	if d.waiting[r.id] == r {
		delete(d.waiting, r.id)
		for k := range d.shards {
			if r.asked[k] {
				d.sim.after(oneWayDelay, func() { d.apply(k, d.shards[k].Withdraw(d.sim.now, r.id)) })
			}
		}
		return
	}
	remainingBefore := r.remaining
	if d.stopRunning(r) {
		d.sendRelease(r.shard, r.newRelease(r.grant.Grant, admission.OutcomeCancelled, remainingBefore-r.remaining, d.sim.now))
	}
}

// stopRunning stops a request on its engine. It reports whether the request was running.
func (d *coreDispatcher) stopRunning(r *request) bool {
	if r.holder == nil || !slices.Contains(r.holder.running[r.shard], r) {
		return false
	}
	r.holder.running[r.shard] = lo.Without(r.holder.running[r.shard], r)
	r.engine.remove(r)
	return true
}

// loseHolder drops a request whose holder died. The owners get no message.
func (d *coreDispatcher) loseHolder(r *request) {
	r.ended, r.holder.dead = d.sim.now, true
	delete(d.waiting, r.id)
	d.stopRunning(r)
}

// delistEndpoint tells all owners and holders that an endpoint is leaving or gone.
func (d *coreDispatcher) delistEndpoint(e *engine, leaving bool) {
	for i, sp := range d.shardSpecs {
		k := slices.IndexFunc(sp.Endpoints, func(s endpoint.Spec) bool { return s.ID == e.id })
		if k < 0 {
			continue
		}
		endpoints := slices.Clone(sp.Endpoints)
		if endpoints[k].Leaving = true; !leaving {
			endpoints = slices.Delete(endpoints, k, k+1)
		}
		d.shardSpecs[i].Endpoints = endpoints
		d.apply(i, d.shards[i].SetEndpoints(d.sim.now, endpoints))
	}
	for _, h := range d.instances {
		h.chooser.SetShards(d.shardSpecs)
	}
}

// handleRefusal asks all shards once those asked so far have refused. When all have refused, the caller repeats the
// request after the given time or gives up.
func (d *coreDispatcher) handleRefusal(i int, refusal admission.Refuse) {
	r := d.waiting[refusal.Request]
	if r == nil {
		return
	}
	h := r.holder
	h.chooser.UpdateLoad(d.sim.now, d.shardIDs[i], d.shards[i].Stats().Wait, d.shards[i].Stats().Free)
	r.openAsks--
	if r.openAsks == 0 {
		for k := range d.shards {
			d.ask(r, k)
		}
	}
	if r.openAsks > 0 {
		return
	}
	delete(d.waiting, r.id)
	if r.retries++; r.retries > r.src.maxRetries || refusal.Err.RetryAfter <= 0 {
		r.refused, r.ended = true, d.sim.now
		return
	}
	d.sim.after(refusal.Err.RetryAfter, func() {
		r.id += "r"
		r.arrived = d.sim.now
		d.submit(r)
	})
}

func (d *coreDispatcher) handleSuspend(i int, suspend admission.Suspend) {
	h := d.instances[slices.IndexFunc(d.instances, func(h *instance) bool { return h.id == suspend.Holder })]
	r, ok := lo.Find(h.running[i], func(r *request) bool { return r.id == suspend.Request && r.grant.Grant == suspend.Grant })
	if !ok {
		return
	}
	h.running[i] = lo.Without(h.running[i], r)
	remainingBefore := r.remaining
	d.engines[r.grant.Endpoint].remove(r)
	if r.suspensions++; r.suspensions == 1 {
		r.suspendedTokens, r.suspendedRest = r.decode-r.remaining, r.remaining/r.engine.decodeRate()
	}
	d.sendRelease(i, r.newRelease(suspend.Grant, admission.OutcomeSuspended, remainingBefore-r.remaining, d.sim.now))
	d.requeue(r, i)
}

// sendSync tells each owner which requests an instance runs: their number, a digest and the first 16.
func (d *coreDispatcher) sendSync(h *instance) {
	for i := range d.shards {
		if h.dead || len(h.running[i]) == 0 {
			continue
		}
		msg := admission.Sync{Holder: h.id, Count: len(h.running[i])}
		for k, r := range h.running[i] {
			msg.Digest ^= xxhash.Sum64String(string(r.id))
			if k < 16 {
				msg.Running = append(msg.Running, d.runningState(r))
			}
		}
		d.sim.after(oneWayDelay, func() {
			d.apply(i, d.shards[i].Sync(d.sim.now, msg))
			h.chooser.UpdateLoad(d.sim.now, d.shardIDs[i], d.shards[i].Stats().Wait, d.shards[i].Stats().Free)
		})
	}
}

func (d *coreDispatcher) runningState(r *request) admission.Running {
	return admission.Running{
		Request: r.id, Grant: r.grant.Grant, Endpoint: r.grant.Endpoint, Workspace: r.src.workspace, Caller: r.caller, Tier: r.src.tier,
		Weight: r.src.weight, Prefill: core.Tokens(r.prefill), Decode: core.Tokens(r.src.meanDecode),
		Tokens: d.engines[r.grant.Endpoint].decodedTokens(r), Age: d.sim.now.Sub(r.dispatchedAt), Once: r.src.order,
	}
}

// sendFullSync tells the owner of shard i all requests that an instance runs.
func (d *coreDispatcher) sendFullSync(i int, id core.InstanceID) {
	h := d.instances[slices.IndexFunc(d.instances, func(h *instance) bool { return h.id == id })]
	if h.dead {
		return
	}
	msg := admission.Sync{Holder: id, Count: len(h.running[i]), Full: true}
	for _, r := range h.running[i] {
		msg.Digest ^= xxhash.Sum64String(string(r.id))
		msg.Running = append(msg.Running, d.runningState(r))
	}
	d.sim.after(oneWayDelay, func() { d.apply(i, d.shards[i].Sync(d.sim.now, msg)) })
}

// confirmFloor sends the floor to all other shards and confirms it to shard i once none of them runs lower tiers. It
// checks up to ten times.
func (d *coreDispatcher) confirmFloor(i int, tier core.Tier) {
	until := d.sim.now.Add(2 * time.Second)
	for k, sh := range d.shards {
		if k != i {
			d.sim.after(oneWayDelay, func() { d.apply(k, sh.ApplyFloor(d.sim.now, tier, until)) })
		}
	}
	var check func(tries int)
	check = func(tries int) {
		lower := 0
		for k, sh := range d.shards {
			if k != i {
				lower += sh.RunningBelow(tier)
			}
		}
		if lower == 0 {
			d.sim.after(oneWayDelay, func() { d.apply(i, d.shards[i].FloorConfirmed(d.sim.now, tier, until)) })
		} else if tries > 0 {
			d.sim.after(50*time.Millisecond, func() { check(tries - 1) })
		}
	}
	d.sim.after(4*oneWayDelay, func() { check(9) })
}
