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

// parts are left out of the policy.
type parts struct {
	core admission.Feature
	draw bool // the random choice of the shard
}

// fleet runs the real core: holders, owners and the floor protocol, with message delays.
type fleet struct {
	s       *sim
	without parts
	pool    core.Pool
	engines map[core.EndpointID]*engine
	ids     []core.ShardID
	shards  []*admission.Shard
	holders []*instance
	split   []routing.ShardSpec
	waiting map[core.RequestID]*request
}

type instance struct {
	id      core.InstanceID
	chooser *routing.Chooser
	held    [][]*request // by shard
	dead    bool
}

func newFleet(s *sim, es []*engine, instances int, rng *rand.Rand, without parts) *fleet {
	f := &fleet{s: s, without: without, pool: core.Pool(lo.Ternary(es[0].service, "orders", "chat")), engines: map[core.EndpointID]*engine{}, waiting: map[core.RequestID]*request{}}
	specs := lo.Map(es, func(e *engine, i int) endpoint.Spec {
		f.engines[e.id] = e
		return endpoint.Spec{ID: e.id, Pool: f.pool, Service: e.service, Centre: core.DataCentre(fmt.Sprint("dc", i%3))}
	})
	split := routing.SplitShards(specs, 64)
	f.split = split
	f.shards = make([]*admission.Shard, len(split))
	for i, sp := range split {
		f.ids = append(f.ids, sp.ID)
		f.own(i, "first")
		s.every(50*time.Millisecond, func() {
			if sh := f.shards[i]; !s.now.Before(sh.NextTick(s.now)) {
				f.do(i, sh.Tick(s.now))
			}
		})
		for _, spec := range sp.Endpoints {
			f.report(i, f.engines[spec.ID], rng)
		}
	}
	for i := range instances {
		in := &instance{id: core.InstanceID(fmt.Sprint("h", i)), held: make([][]*request, len(split))}
		in.chooser = routing.NewChooser(routing.ChooserOptions{Self: in.id, Centre: core.DataCentre(fmt.Sprint("dc", i%3)), Deterministic: without.draw})
		in.chooser.SetShards(split)
		f.holders = append(f.holders, in)
		s.after(time.Duration(i)*150*time.Millisecond, func() { s.every(time.Second, func() { f.sync(in) }) })
	}
	return f
}

// own gives shard i a new owner, which knows nothing; holders repeat their asks.
func (f *fleet) own(i int, name core.InstanceID) {
	f.shards[i] = admission.New(admission.Options{Pool: f.pool, Shard: f.split[i].ID, Self: name, Epoch: fmt.Sprint(name, i), Disabled: f.without.core})
	f.do(i, f.shards[i].SetEndpoints(f.s.now, f.split[i].Endpoints))
	again := lo.Filter(lo.Values(f.waiting), func(r *request, _ int) bool { return r.asked[i] })
	slices.SortFunc(again, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, r := range again {
		r.asked[i] = false
		r.asks--
		f.ask(r, i)
	}
}

// report sends load and cache events with their delay; a tenth of the event batches is lost.
func (f *fleet) report(i int, e *engine, rng *rand.Rand) {
	gap := false
	f.s.every(time.Second, func() {
		r := endpoint.Report{Endpoint: e.id, Time: f.s.now, Running: len(e.decodes), Waiting: len(e.prompts)}
		ev := endpoint.Report{Endpoint: e.id, Time: f.s.now, Events: e.events, Gap: gap}
		e.events, gap = nil, rng.IntN(10) == 0
		lost := gap || f.s.news.noCache
		if e.dead {
			return
		}
		f.s.after(f.s.news.late, func() {
			if !f.s.news.noLoads {
				f.do(i, f.shards[i].ApplyReport(f.s.now, r))
			}
			if !lost {
				f.do(i, f.shards[i].ApplyReport(f.s.now, ev))
			}
		})
	})
}

// hold assigns a request to a live instance, as the load balancer does.
func (f *fleet) hold(r *request) {
	k := xxhash.Sum64String(string(r.id))
	for r.holder = f.holders[k%uint64(len(f.holders))]; r.holder.dead; k++ {
		r.holder = f.holders[k%uint64(len(f.holders))]
	}
}

func (f *fleet) submit(r *request) {
	f.hold(r)
	r.left = r.decode
	r.asked = make([]bool, len(f.shards))
	r.waiting = f.s.now
	f.waiting[r.id] = r
	order := r.holder.chooser.Choose(f.s.now, f.pool, lo.Ternary(f.without.core&admission.PrefixAffinity == 0, r.prefixes, nil))
	f.ask(r, slices.Index(f.ids, order[0]))
	others := func() {
		if f.waiting[r.id] == r {
			for _, id := range order[1:min(3, len(order))] {
				f.ask(r, slices.Index(f.ids, id))
			}
		}
	}
	f.s.after(hedgeAfter, others)
}

func (f *fleet) ask(r *request, i int) {
	if r.asked[i] {
		return
	}
	r.asked[i] = true
	r.asks++
	a := admission.Ask{
		Request: r.id, Holder: r.holder.id, Workspace: r.src.workspace, Caller: r.caller, Tier: r.src.tier, Weight: r.src.weight,
		Prefill: core.Tokens(r.prefill), Decode: core.Tokens(r.src.decode), Prefixes: r.prefixes,
		Once: r.src.order, Exclude: r.exclude,
	}
	if r.src.deadline > 0 && r.first.IsZero() {
		a.Deadline = r.arrived.Add(r.src.deadline)
	}
	if r.grant.Grant != "" {
		a.Pin = r.grant.Endpoint
	}
	f.s.after(oneWay, func() { f.do(i, f.shards[i].Ask(f.s.now, a)) })
}

// do carries out the effects of shard i.
func (f *fleet) do(i int, es []admission.Effect) {
	for _, e := range es {
		switch e := e.(type) {
		case admission.Grant:
			f.s.after(oneWay, func() { f.granted(i, e) })
		case admission.Refuse:
			f.checkShed(e)
			f.s.after(oneWay, func() { f.refusedBy(i, e) })
		case admission.Suspend:
			f.s.after(oneWay, func() { f.suspend(i, e) })
		case admission.RequestSync:
			f.s.after(2*oneWay, func() { f.syncFull(i, e.Holder) })
		case admission.ConfirmFloor:
			f.collect(i, e.Tier)
		}
	}
}

// checkShed marks refusals because of overload while an engine runs work of a lower tier.
func (f *fleet) checkShed(e admission.Refuse) {
	r := f.waiting[e.Request]
	if r == nil || e.Err.Code != core.CodeOverloaded && e.Err.Code != core.CodeDeadline {
		return
	}
	for _, h := range f.holders {
		for _, held := range h.held {
			if slices.ContainsFunc(held, func(x *request) bool { return x.src.tier > r.src.tier }) {
				r.inverted = true
				return
			}
		}
	}
}

func (f *fleet) release(i int, rel admission.Release) {
	f.s.after(oneWay, func() { f.do(i, f.shards[i].Release(f.s.now, rel)) })
}

func (f *fleet) granted(i int, g admission.Grant) {
	r := f.waiting[g.Request]
	if r == nil {
		f.release(i, admission.Release{Grant: g.Grant, Request: g.Request, Outcome: admission.OutcomeUnused})
		return
	}
	delete(f.waiting, r.id)
	for k := range f.shards {
		if k != i && r.asked[k] {
			f.s.after(oneWay, func() { f.do(k, f.shards[k].Withdraw(f.s.now, r.id)) })
		}
	}
	h := r.holder
	h.chooser.RecordGrant(f.s.now, f.ids[i], r.prefixes)
	h.chooser.UpdateLoad(f.s.now, f.ids[i], f.shards[i].Stats().Wait, f.shards[i].Stats().Free)
	r.worst = max(r.worst, f.s.now.Sub(r.waiting))
	r.grant, r.shard = g, i
	h.held[i] = append(h.held[i], r)
	was := r.left
	end := func(o admission.Outcome) {
		h.held[i] = lo.Without(h.held[i], r)
		f.release(i, r.observed(g.Grant, o, was-r.left, f.s.now))
	}
	done, failed := func() { end(admission.OutcomeDone) }, func() { end(admission.OutcomeFailed) }
	if f.engines[g.Endpoint].start(r, done, failed) {
		return
	}
	end(admission.OutcomeRefused)
	if r.stops > 0 { // it can only resume where it ran
		r.broken, r.ended = true, f.s.now
		return
	}
	r.exclude = append(r.exclude, g.Endpoint)
	r.grant = admission.Grant{}
	f.requeue(r, i)
}

// observed returns the release of a slot.
func (r *request) observed(g core.GrantID, o admission.Outcome, decoded float64, now time.Time) admission.Release {
	return admission.Release{
		Grant: g, Request: r.id, Outcome: o, Prefill: core.Tokens(r.prefill), Cached: core.Tokens(r.cached),
		Decode: core.Tokens(decoded), FirstToken: max(0, r.first.Sub(r.dispatch)), Total: now.Sub(r.dispatch),
	}
}

// requeue asks shard i again for a request that had a slot.
func (f *fleet) requeue(r *request, i int) {
	clear(r.asked)
	r.asks, r.waiting = 0, f.s.now
	f.waiting[r.id] = r
	f.ask(r, i)
}

// drop handles a caller that hangs up.
func (f *fleet) drop(r *request) {
	r.ended = f.s.now
	if f.waiting[r.id] == r {
		delete(f.waiting, r.id)
		for k := range f.shards {
			if r.asked[k] {
				f.s.after(oneWay, func() { f.do(k, f.shards[k].Withdraw(f.s.now, r.id)) })
			}
		}
		return
	}
	before := r.left
	if f.unhold(r) {
		f.release(r.shard, r.observed(r.grant.Grant, admission.OutcomeCancelled, before-r.left, f.s.now))
	}
}

// unhold stops a running request and reports whether it ran.
func (f *fleet) unhold(r *request) bool {
	if r.holder == nil || !slices.Contains(r.holder.held[r.shard], r) {
		return false
	}
	r.holder.held[r.shard] = lo.Without(r.holder.held[r.shard], r)
	r.on.stop(r)
	return true
}

// lose drops a request with its holder, without a word to the owners.
func (f *fleet) lose(r *request) {
	r.ended, r.holder.dead = f.s.now, true
	delete(f.waiting, r.id)
	f.unhold(r)
}

// unlist shows all owners and holders that an endpoint is leaving or gone.
func (f *fleet) unlist(e *engine, leaving bool) {
	for i, sp := range f.split {
		k := slices.IndexFunc(sp.Endpoints, func(s endpoint.Spec) bool { return s.ID == e.id })
		if k < 0 {
			continue
		}
		list := slices.Clone(sp.Endpoints)
		if list[k].Leaving = true; !leaving {
			list = slices.Delete(list, k, k+1)
		}
		f.split[i].Endpoints = list
		f.do(i, f.shards[i].SetEndpoints(f.s.now, list))
	}
	for _, h := range f.holders {
		h.chooser.SetShards(f.split)
	}
}

func (f *fleet) refusedBy(i int, e admission.Refuse) {
	r := f.waiting[e.Request]
	if r == nil {
		return
	}
	h := r.holder
	h.chooser.UpdateLoad(f.s.now, f.ids[i], f.shards[i].Stats().Wait, f.shards[i].Stats().Free)
	r.asks--
	if r.asks == 0 {
		for k := range f.shards {
			f.ask(r, k)
		}
	}
	if r.asks > 0 {
		return
	}
	delete(f.waiting, r.id)
	if r.tries++; r.tries > r.src.retries || e.Err.RetryAfter <= 0 {
		r.refused, r.ended = true, f.s.now
		return
	}
	f.s.after(e.Err.RetryAfter, func() {
		r.id += "r"
		r.arrived = f.s.now
		f.submit(r)
	})
}

func (f *fleet) suspend(i int, e admission.Suspend) {
	h := f.holders[slices.IndexFunc(f.holders, func(h *instance) bool { return h.id == e.Holder })]
	r, ok := lo.Find(h.held[i], func(r *request) bool { return r.id == e.Request && r.grant.Grant == e.Grant })
	if !ok {
		return
	}
	h.held[i] = lo.Without(h.held[i], r)
	before := r.left
	f.engines[r.grant.Endpoint].stop(r)
	if r.stops++; r.stops == 1 {
		r.stopped, r.rest = r.decode-r.left, r.left/r.on.rate()
	}
	f.release(i, r.observed(e.Grant, admission.OutcomeSuspended, before-r.left, f.s.now))
	f.requeue(r, i)
}

func (f *fleet) sync(h *instance) {
	for i := range f.shards {
		if h.dead || len(h.held[i]) == 0 {
			continue
		}
		y := admission.Sync{Holder: h.id, Count: len(h.held[i])}
		for k, r := range h.held[i] {
			y.Digest ^= xxhash.Sum64String(string(r.id))
			if k < 16 {
				y.Running = append(y.Running, f.progress(r))
			}
		}
		f.s.after(oneWay, func() {
			f.do(i, f.shards[i].Sync(f.s.now, y))
			h.chooser.UpdateLoad(f.s.now, f.ids[i], f.shards[i].Stats().Wait, f.shards[i].Stats().Free)
		})
	}
}

func (f *fleet) progress(r *request) admission.Running {
	return admission.Running{
		Request: r.id, Grant: r.grant.Grant, Endpoint: r.grant.Endpoint, Workspace: r.src.workspace, Caller: r.caller, Tier: r.src.tier,
		Weight: r.src.weight, Prefill: core.Tokens(r.prefill), Decode: core.Tokens(r.src.decode),
		Tokens: f.engines[r.grant.Endpoint].tokens(r), Age: f.s.now.Sub(r.dispatch), Once: r.src.order,
	}
}

func (f *fleet) syncFull(i int, id core.InstanceID) {
	h := f.holders[slices.IndexFunc(f.holders, func(h *instance) bool { return h.id == id })]
	if h.dead {
		return
	}
	y := admission.Sync{Holder: id, Count: len(h.held[i]), Full: true}
	for _, r := range h.held[i] {
		y.Digest ^= xxhash.Sum64String(string(r.id))
		y.Running = append(y.Running, f.progress(r))
	}
	f.s.after(oneWay, func() { f.do(i, f.shards[i].Sync(f.s.now, y)) })
}

// collect spreads a floor and confirms it to shard i once no other shard runs lower tiers.
func (f *fleet) collect(i int, t core.Tier) {
	until := f.s.now.Add(2 * time.Second)
	for k, sh := range f.shards {
		if k != i {
			f.s.after(oneWay, func() { f.do(k, sh.ApplyFloor(f.s.now, t, until)) })
		}
	}
	var check func(tries int)
	check = func(tries int) {
		lower := 0
		for k, sh := range f.shards {
			if k != i {
				lower += sh.RunningBelow(t)
			}
		}
		if lower == 0 {
			f.s.after(oneWay, func() { f.do(i, f.shards[i].FloorConfirmed(f.s.now, t, until)) })
		} else if tries > 0 {
			f.s.after(50*time.Millisecond, func() { check(tries - 1) })
		}
	}
	f.s.after(4*oneWay, func() { check(9) })
}
