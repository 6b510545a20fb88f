package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/mirror"
	"monsoondale/core/pool"
	"monsoondale/core/rollout"
	"monsoondale/core/route"
	wire "monsoondale/wire/mesh"
)

const (
	// orderInterval is how often orders are decided on, and orderRetryDelay the time after a failed write of a state.
	orderInterval   = 100 * time.Millisecond
	orderRetryDelay = 300 * time.Millisecond
	// evidenceInterval is the time between two messages that state what was seen.
	evidenceInterval = 200 * time.Millisecond
	// millionths is the scale of shares in messages.
	millionths = 1e6
	// maxOrderAge bounds the age of an order, and of news of it, in messages.
	maxOrderAge = 24 * time.Hour
)

// order is an order to move a service to another version, as this instance knows it. Only the control goroutine uses it, but for writing.
type order struct {
	rollout.Order
	item  mirror.Item
	seen  time.Time // when it was given, by the earliest account
	pool  *pool.Pool
	gate  *rollout.Gate
	fleet *rollout.Judge // of what all instances have seen
	own   *rollout.Judge // of what this one has seen

	step       rollout.Step
	heard      time.Time     // when the decider last confirmed the step
	beat       int           // number of that confirmation
	shareSince time.Time     // when the share last changed
	final      rollout.State // decided or read, if it is final; remains if the store loses it
	why        string        // of the last decision
	peers      map[source]rollout.Evidence
	centres    map[core.DataCentre]rollout.Evidence

	stopped        bool      // the evidence of this instance is against the target
	stated, summed time.Time // when what was seen was last stated, by this instance and for its data centre
	retryAt        time.Time
	written        chan error // result of a write in progress; nil if there is none
}

// source is an instance since a start, or a data centre as a whole.
type source struct {
	instance core.InstanceID
	start    int64
	centre   core.DataCentre
}

// activateOrders applies the list of orders.
func (g *Gateway) activateOrders(now time.Time, items []mirror.Item) {
	var odd skipped
	listed := map[route.Service]bool{}
	for _, it := range items {
		s, o, err := g.o.Store.Order(it)
		if err != nil {
			odd.add(it, err.Error())
			listed[route.Service(it.Name)] = true // the order before stays in force
			continue
		}
		listed[s] = true
		g.activateOrder(now, s, o, it)
	}
	g.skipped[Rollouts].replace(g.log, Rollouts, odd)
	for s, o := range g.rollouts {
		if !listed[s] {
			g.log.Info("order withdrawn", "service", s, "target", o.Target, "state", o.State.String())
			if o.pool != nil {
				o.pool.SetRollout(now, nil)
			}
			delete(g.rollouts, s)
		}
	}
	g.attachOrders(now)
}

// activateOrder applies an order. One that replaces another begins anew.
func (g *Gateway) activateOrder(now time.Time, s route.Service, o rollout.Order, it mirror.Item) {
	known := g.rollouts[s]
	if known != nil && known.ID == o.ID {
		if it.Revision == known.item.Revision {
			return // its state may be that of the order before
		}
		known.item = it
		if o.State == rollout.Pending && known.State != rollout.Pending || o.State != known.State {
			g.log.Info("order state read", "service", s, "target", o.Target, "state", o.State.String(), "revision", it.Revision)
		}
		known.State = o.State
		if o.State.Final() {
			known.final = o.State
		}
		return
	}
	if known != nil && known.Target == o.Target {
		o.State = rollout.Pending // the state is that of the order before, which may have been written just now
	}
	n := &order{
		Order: o, item: it, seen: now, heard: now, shareSince: now, fleet: rollout.NewJudge(now), own: rollout.NewJudge(now),
		peers: map[source]rollout.Evidence{}, centres: map[core.DataCentre]rollout.Evidence{},
	}
	if o.State.Final() {
		n.final = o.State
	}
	g.rollouts[s] = n
	g.log.Info("order seen", "service", s, "target", o.Target, "span", o.Duration.String(), "state", o.State.String(), "invalid", o.Invalid, "revision", it.Revision, "replaces", known != nil)
	g.fleet.Hasten()
}

// attachOrders passes orders to pools that do not have them yet.
func (g *Gateway) attachOrders(now time.Time) {
	for s, o := range g.rollouts {
		if p := g.pools[s]; p != nil && p != o.pool && o.Target != "" {
			heard, _ := g.fleet.Count(now)
			r := g.o.Settings.Rollouts
			o.pool, o.gate = p, rollout.NewGate(now, &o.Order, r.Exposure, r.Slack/2/float64(max(heard, 1)), r.Rollback/2)
			p.SetRollout(now, o.gate)
			g.updateGate(now, o)
		}
	}
}

// updateGate passes what was decided to the pool.
func (g *Gateway) updateGate(now time.Time, o *order) {
	if o.pool == nil {
		return
	}
	state := o.State
	if o.final == rollout.Reverted || o.final == rollout.Complete && o.State == rollout.Complete {
		state = o.final // the others go on until the store has it
	}
	o.pool.UpdateRollout(now, func(gate *rollout.Gate) {
		gate.Step, gate.Heard = o.step, o.heard
		gate.SetState(now, state)
	})
}

// evidence returns what the instances have seen; with near, those of this data centre only.
func (g *Gateway) evidence(o *order, own rollout.Evidence, near bool) rollout.Evidence {
	total := own.Clone()
	flat := g.fleet.Flat()
	for s, e := range o.peers {
		if s.centre == g.o.Settings.Centre || flat && !near {
			total.Add(e)
		}
	}
	if !flat && !near {
		for c, e := range o.centres {
			if c != g.o.Settings.Centre {
				total.Add(e)
			}
		}
	}
	return total
}

// updateOrders judges the versions, and decides on the orders if this instance acts for all.
func (g *Gateway) updateOrders(ctx context.Context, now time.Time) {
	if len(g.rollouts) == 0 && g.orders.Load() == nil || now.Sub(g.ordersUpdated) < orderInterval {
		return
	}
	g.ordersUpdated = now
	var list wire.Orders
	for _, s := range slices.Sorted(maps.Keys(g.rollouts)) {
		o := g.rollouts[s]
		g.receiveWrite(now, s, o)
		var r pool.RolloutReport
		if o.pool != nil {
			r, _ = o.pool.Rollout(now)
		}
		total := g.evidence(o, r.Evidence, false)
		var verdict rollout.Verdict
		if !o.State.Final() {
			verdict = o.fleet.Judge(now, total)
		}
		if v := o.own.Judge(now, r.Evidence); v.Bad && o.gate != nil && !o.stopped && !o.State.Final() {
			o.stopped = true
			g.log.Info("version avoided here", "service", s, "target", o.Target, "verdict", v.String())
			o.pool.UpdateRollout(now, func(gate *rollout.Gate) { gate.Stopped = true })
		}
		if g.watch.first(now) {
			g.decideOrder(ctx, now, s, o, r, verdict)
		}
		g.updateGate(now, o)
		list.Orders = append(list.Orders, g.describeOrder(now, s, o, r, total, verdict))
	}
	g.orders.Store(&list)
}

// decideOrder decides on an order for all instances.
func (g *Gateway) decideOrder(ctx context.Context, now time.Time, s route.Service, o *order, r pool.RolloutReport, verdict rollout.Verdict) {
	o.heard = now
	o.beat++
	state := o.final
	if !o.final.Final() {
		var share float64
		share, state, o.why = o.Decide(rollout.Situation{
			Age: now.Sub(o.seen), Exposure: g.o.Settings.Rollouts.Exposure, Verdict: verdict, Share: o.step.Share, ShareFor: now.Sub(o.shareSince),
			TargetSlots: r.TargetSlots, OtherSlots: r.OtherSlots, Others: r.Others, OtherRunning: r.OtherRunning,
		})
		share = math.Round(share*millionths) / millionths // as the others hear it
		if o.step.Bad {
			share, state, o.why = 0, rollout.Reverted, "decided before"
		}
		bad := state == rollout.Reverted
		if share != o.step.Share || bad != o.step.Bad {
			g.setStep(now, s, o, rollout.Step{Number: o.step.Number + 1, Share: share, Bad: bad})
		}
		if state.Final() {
			o.final = state
			responses, wrong := g.evidence(o, r.Evidence, false).Target()
			g.log.Info("order decided", "service", s, "target", o.Target, "state", state.String(), "age", now.Sub(o.seen).String(), "why", o.why, "responses", responses, "bad", wrong,
				"slots", r.TargetSlots, "other slots", r.OtherSlots, "running", r.OtherRunning)
			metrics.GetOrRegisterCounter("rollout."+state.String(), g.metrics).Inc(1)
		}
	}
	if state == o.State || o.written != nil || now.Before(o.retryAt) {
		return
	}
	written := make(chan error, 1)
	o.written = written
	it, of := o.item, o.Order
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		written <- g.o.Store.SaveOrderState(ctx, it, of, state)
	}()
}

// receiveWrite notes the result of a write of an order's state. Its new revision arrives with the next watch.
func (g *Gateway) receiveWrite(now time.Time, s route.Service, o *order) {
	select {
	case err := <-o.written:
		o.written, o.retryAt = nil, now.Add(orderRetryDelay)
		if err != nil {
			g.log.Info("order state not written", "service", s, "target", o.Target, "cause", shorten(err.Error(), maxLoggedCause))
		}
	default:
	}
}

// setStep puts a decision in force.
func (g *Gateway) setStep(now time.Time, s route.Service, o *order, step rollout.Step) {
	if step.Share != o.step.Share {
		o.shareSince = now
	}
	g.log.Info("share changed", "service", s, "target", o.Target, "step", step.Number, "share", step.Share, "before", o.step.Share, "bad", step.Bad, "age", now.Sub(o.seen).String(), "why", o.why)
	o.step = step
	g.fleet.Hasten()
}

// encodeOrders states the orders in progress, and what was seen of the versions: by this instance, or by its data centre.
func (g *Gateway) encodeOrders(now time.Time, centre bool) []wire.Rollout {
	var list []wire.Rollout
	for _, s := range slices.Sorted(maps.Keys(g.rollouts)) {
		o := g.rollouts[s]
		if o.State.Final() {
			continue
		}
		w := wire.Rollout{
			Service: string(s), Order: strconv.FormatUint(o.ID, 16), Age: int(now.Sub(o.seen).Milliseconds()), Step: o.step.Number,
			Share: int(math.Round(o.step.Share * millionths)), Since: int(now.Sub(o.heard).Milliseconds()), Beat: o.beat, Bad: o.step.Bad,
		}
		list = append(list, w)
		last := &o.stated
		if centre {
			last = &o.summed
		}
		if now.Sub(*last) < evidenceInterval {
			continue
		}
		*last = now
		seen := rollout.Evidence{}
		if o.pool != nil {
			r, _ := o.pool.Rollout(now)
			seen = r.Evidence
		}
		if centre {
			seen = g.evidence(o, seen, true)
		}
		for _, name := range slices.Sorted(maps.Keys(seen)) {
			list[len(list)-1].Routes = append(list[len(list)-1].Routes, wire.Seen{Route: name, Target: encodeCounts(seen[name].Target), Others: encodeCounts(seen[name].Others)})
		}
	}
	return list
}

// applyOrders applies what another instance, or a data centre, states of orders.
func (g *Gateway) applyOrders(now time.Time, from source, list []wire.Rollout) {
	for i := range list {
		w := &list[i]
		s := route.Service(w.Service)
		o := g.rollouts[s]
		if o == nil || strconv.FormatUint(o.ID, 16) != w.Order {
			continue
		}
		seen, ok := decodeSeen(w.Routes)
		if !ok { // what was decided counts all the same
			g.log.Info("order evidence skipped", "instance", from.instance, "centre", from.centre, "service", s)
			seen = nil
		}
		if w.Share < 0 || w.Share > millionths || w.Step < 0 || w.Age < 0 || w.Since < 0 {
			g.log.Info("order report skipped", "instance", from.instance, "centre", from.centre, "service", s)
			continue
		}
		if at := now.Add(-min(milliseconds(w.Age), maxOrderAge)); at.Before(o.seen) {
			o.seen = at
		}
		switch {
		case len(seen) == 0: // not stated each time
		case from.instance != "":
			o.peers[from] = seen
		default:
			o.centres[from.centre] = seen
		}
		stated := rollout.Step{Number: w.Step, Share: float64(w.Share) / millionths, Bad: w.Bad}
		heard := now.Add(-min(milliseconds(w.Since), maxOrderAge))
		if later := rollout.Later(o.step, stated); later != o.step {
			o.why = "stated by " + string(from.instance) + string(from.centre)
			g.setStep(now, s, o, later)
			o.heard, o.beat = heard, w.Beat
			g.updateGate(now, o)
		} else if stated.Number == o.step.Number && w.Beat > o.beat {
			// Only a further confirmation counts: each instance that passes one on would make it younger by the delay of its message.
			o.heard, o.beat = heard, w.Beat
		}
	}
}

// rejectOrder reverts an order at an operator's request.
func (g *Gateway) rejectOrder(now time.Time, s route.Service) {
	o := g.rollouts[s]
	if o == nil || o.final.Final() {
		return
	}
	o.why = "stopped by an operator"
	g.setStep(now, s, o, rollout.Step{Number: o.step.Number + 1, Bad: true})
	g.updateGate(now, o)
}

// encodeCounts converts counts to their wire format.
func encodeCounts(groups [rollout.Groups]rollout.Count) []int {
	var list []int
	for _, c := range groups {
		list = append(list, c.Began, c.Slow, c.Ended, c.Failed)
	}
	return list
}

// decodeSeen converts what was seen on routes from its wire format.
func decodeSeen(list []wire.Seen) (rollout.Evidence, bool) {
	e := rollout.Evidence{}
	for i := range list {
		target, ok1 := decodeCounts(list[i].Target)
		others, ok2 := decodeCounts(list[i].Others)
		if !ok1 || !ok2 || len(e) > rollout.MaxRoutes {
			return nil, false
		}
		e[list[i].Route] = rollout.Sides{Target: target, Others: others}
	}
	return e, true
}

func decodeCounts(list []int) (groups [rollout.Groups]rollout.Count, ok bool) {
	if len(list) != 4*rollout.Groups || slices.ContainsFunc(list, func(n int) bool { return n < 0 || n > maxFigure }) {
		return groups, false
	}
	for i := range groups {
		groups[i] = rollout.Count{Began: list[4*i], Slow: list[4*i+1], Ended: list[4*i+2], Failed: list[4*i+3]}
	}
	return groups, true
}

// describeOrder returns the state of an order for operators, and sets its metrics.
func (g *Gateway) describeOrder(now time.Time, s route.Service, o *order, r pool.RolloutReport, total rollout.Evidence, verdict rollout.Verdict) wire.Order {
	responses, bad := total.Target()
	d := wire.Order{
		Service: string(s), Target: string(o.Target), State: o.State.String(), Age: int(now.Sub(o.seen).Milliseconds()), Duration: int(o.Duration.Milliseconds()),
		Share: int(math.Round(o.step.Share * millionths)), Requests: r.Requests, Exposed: r.Exposed, Responses: responses, Bad: bad, Verdict: verdict.String(),
	}
	for _, name := range slices.Sorted(maps.Keys(total)) {
		responses, bad := rollout.Evidence{name: total[name]}.Target()
		d.Routes = append(d.Routes, wire.Verdict{Route: name, Responses: responses, Bad: bad, Verdict: rollout.JudgeRoute(name, total[name]).String()})
	}
	for name, v := range map[string]int{"share": d.Share, "requests": d.Requests, "exposed": d.Exposed, "responses": responses, "bad": bad} {
		metrics.GetOrRegisterGauge("rollout."+name, g.metrics).Update(int64(v))
	}
	return d
}

// listOrders responds with the orders that this instance knows.
func (g *Gateway) listOrders(w http.ResponseWriter, _ *http.Request) {
	list := g.orders.Load()
	if list == nil {
		list = &wire.Orders{}
	}
	b, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b) // only the operator is affected by a failed write
}

// stopOrder reverts the order for a service, on all instances.
func (g *Gateway) stopOrder(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("service")
	list := g.orders.Load()
	if list == nil || !slices.ContainsFunc(list.Orders, func(o wire.Order) bool {
		return o.Service == name && o.State != rollout.Complete.String() && o.State != rollout.Reverted.String()
	}) {
		http.Error(w, "no such order in progress", http.StatusNotFound)
		return
	}
	select {
	case g.stops <- route.Service(name):
		w.WriteHeader(http.StatusAccepted)
	case <-r.Context().Done():
	}
}
