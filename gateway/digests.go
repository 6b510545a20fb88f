package gateway

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/fleet"
	"monsoondale/core/quarantine"
	"monsoondale/core/quota"
	"monsoondale/core/route"
	wire "monsoondale/wire/mesh"
)

const (
	// fleetInterval is how often changes of the fleet by time alone, such as an instance that has become silent, are applied.
	fleetInterval = 50 * time.Millisecond
	// maxForwarded is the number of summaries that are passed on with one digest, which must fit into a datagram.
	maxForwarded = 4
	// farFetchDelay is how long a newer revision in another data centre must have been known before it is fetched from there
	// by an instance that has not received the summary itself. Those that have fetch at once and are nearer.
	farFetchDelay = 400 * time.Millisecond
)

// updateFleet applies what follows from the time that has passed: who is heard, and which instances watch the store.
func (g *Gateway) updateFleet(now time.Time) {
	heard, running := g.fleet.Count(now)
	g.budgets.setInstanceCounts(heard, running)
	g.updateWatch(now)
	g.chooseKeepers(now)
	for _, c := range g.fleet.Changes(now) {
		if c.Instance != "" {
			g.log.Info("instance heard", "instance", c.Instance, "centre", c.Centre, "silent", !c.Heard, "leaving", c.Leaving, "since", c.Silence.String(), "heard", heard, "all", running)
		} else {
			g.log.Info("centre heard", "centre", c.Centre, "silent", !c.Heard, "since", c.Silence.String(), "heard", heard, "all", running)
		}
	}
}

// updateWatch decides whether this instance watches the store.
func (g *Gateway) updateWatch(now time.Time) {
	g.watch.setIndex(g.fleet.WatcherIndex(now, g.watch.reads(now)))
	if g.watch.watches() != g.stated.watches {
		g.stateWatch(now)
	}
}

// watchStatement is what this instance last stated of its watch.
type watchStatement struct{ watches, proven bool }

// stateWatch logs a change of the watch and tells the others at once.
func (g *Gateway) stateWatch(now time.Time) {
	g.stated = watchStatement{g.watch.watches(), g.watch.proven(now)}
	g.log.Info("store watch", "watches", g.stated.watches, "reads", g.stated.proven, "others", g.fleet.Watchers(now))
	g.fleet.Hasten()
}

// sendDigests sends the digest and, from a relay, the summary of the data centre, if they are due.
func (g *Gateway) sendDigests(now time.Time) {
	state, summary := g.fleet.Due(now)
	if state {
		d := g.newDigest(now, g.fleet.Interval())
		for s, p := range g.pools {
			if !g.uses(s) {
				continue
			}
			d.Pools = append(d.Pools, encodeReport(s, p.TakeReport()))
		}
		g.budgets.mu.Lock()
		r := g.budgets.ledger.Report(now)
		g.budgets.mu.Unlock()
		d.Used, d.Total = g.encodeUsage(now, r)
		parts := g.quarantine.Report(now, quarantine.Near)
		d.Crashes, d.Parts = encodeCrashes(parts.Crashes), encodeParts(parts.Entries)
		d.Rollouts = g.encodeOrders(now, false)
		n := min(len(g.forward), maxForwarded)
		d.Far, g.forward = g.forward[:n:n], g.forward[n:]
		g.send(d, g.fleet.StateTargets())
	}
	if summary {
		d := g.newDigest(now, g.fleet.SummaryInterval())
		d.Far = []wire.Summary{g.newSummary(now, &d)}
		g.send(d, g.fleet.SummaryTargets(now, int64(d.Number)))
	}
}

// uses reports whether requests are sent to a service. Entries of endpoints may name any number of other services, which
// must not fill the digests.
func (g *Gateway) uses(s route.Service) bool { return g.table != nil && g.table.Uses(s) }

// newDigest returns a digest without loads and usage.
func (g *Gateway) newDigest(now time.Time, every time.Duration) wire.Digest {
	g.digestNumber++
	return wire.Digest{
		From: string(g.o.Settings.Name), Address: g.o.Settings.MeshAddress, Centre: string(g.o.Settings.Centre),
		Start: int(g.start.UnixMilli()), Number: g.digestNumber, Every: int(every.Milliseconds()),
		Routes: int(g.mirrors[Configurations].LastChange()), Entries: int(g.mirrors[Endpoints].LastChange()),
		Members: int(g.mirrors[Instances].LastChange()), Orders: int(g.mirrors[Rollouts].LastChange()), Leaving: g.leaving.Load(), Blind: g.watch.unreadable.Load() > 0, Watching: g.watch.proven(now), Kept: g.kept(), Era: int(g.era.Load()), Power: g.places.power(),
	}
}

// newSummary returns the summary of this instance's data centre that goes with a digest.
func (g *Gateway) newSummary(now time.Time, d *wire.Digest) wire.Summary {
	s := g.fleet.Summary(now, d.Watching, now.Sub(g.start) < g.o.Settings.QuotaWindow)
	w := wire.Summary{
		From: d.From, Address: d.Address, Centre: d.Centre, Start: d.Start, Number: d.Number, Every: d.Every,
		Heard: s.Heard, Running: s.Running, Silent: fromIDs(s.Silent), Watchers: fromIDs(s.Watchers), Watching: fromIDs(s.Watchers), Young: s.Young,
		Routes: d.Routes, Entries: d.Entries, Members: d.Members, Orders: d.Orders, Kept: d.Kept, Era: d.Era,
	}
	w.Keepers = g.places.ownKeepers()
	for name, p := range g.pools {
		if !g.uses(name) {
			continue
		}
		r := p.CentreReport(now)
		w.Age = max(w.Age, int(r.Age.Milliseconds()))
		w.Pools = append(w.Pools, encodeReport(name, r))
	}
	g.budgets.mu.Lock()
	r := g.budgets.ledger.CentreReport(now)
	g.budgets.mu.Unlock()
	w.Used, w.Total = g.encodeUsage(now, r)
	parts := g.quarantine.Report(now, quarantine.Far)
	w.Crashes, w.Parts = encodeCrashes(parts.Crashes), encodeParts(parts.Entries)
	w.Rollouts = g.encodeOrders(now, true)
	return w
}

// encodeUsage converts the usage of workspaces to its wire format. The total is sent only while an instance that is heard has
// been running for less than the window.
func (g *Gateway) encodeUsage(now time.Time, r quota.Report) (used, total map[string]float64) {
	name := func(_ float64, id core.WorkspaceID) string { return string(id) }
	used = lo.MapKeys(r.Used, name)
	if g.fleet.AnyYoung(now) {
		total = lo.MapKeys(r.Total, name)
	}
	return used, total
}

// send sends a digest to instances. A lost digest is not sent again.
func (g *Gateway) send(d wire.Digest, to []fleet.Member) {
	b, err := json.Marshal(d)
	if err != nil {
		g.log.Error(err, "cannot encode digest")
		return
	}
	metrics.GetOrRegisterCounter("digest.sent", g.metrics).Inc(int64(len(to)))
	metrics.GetOrRegisterCounter("digest.bytes", g.metrics).Inc(int64(len(to) * len(b)))
	for _, m := range to {
		a, err := g.resolve(m.Address)
		if err == nil {
			err = g.mesh.SendDigest(b, a)
		}
		if err != nil {
			metrics.GetOrRegisterCounter("digest.unsent", g.metrics).Inc(1)
		}
	}
}

// resolve returns the socket address of an IP:PORT.
func (g *Gateway) resolve(address string) (*net.UDPAddr, error) {
	if a := g.addresses[address]; a != nil {
		return a, nil
	}
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	g.addresses[address] = a
	return a, nil
}

// handleDigest applies a digest of another instance.
func (g *Gateway) handleDigest(ctx context.Context, now time.Time, d *wire.Digest) {
	from := fleet.Member{Name: core.InstanceID(d.From), Address: d.Address, Centre: core.DataCentre(d.Centre)}
	if _, err := g.resolve(d.Address); err != nil {
		g.log.Info("digest skipped", "instance", d.From, "cause", err.Error())
		return
	}
	if !g.fleet.RecordState(now, fleet.State{
		Member: from, Start: int64(d.Start), Number: int64(d.Number), Every: milliseconds(d.Every), Leaving: d.Leaving, Blind: d.Blind,
		Watching: d.Watching && g.isCurrent(d.Era), Power: d.Power,
	}) {
		return
	}
	summarizes := false
	for i := range d.Far {
		own := d.Far[i].From == d.From
		summarizes = summarizes || own
		g.handleSummary(ctx, now, &d.Far[i], own)
	}
	if summarizes {
		return // without loads and usage of its own
	}
	g.applyQuarantine(now, d.Crashes, d.Parts, true)
	g.applyOrders(now, source{instance: from.Name, start: int64(d.Start), centre: from.Centre}, d.Rollouts)
	sameCentre := from.Centre == g.o.Settings.Centre
	// What an instance elsewhere has done is part of the sum of its data centre.
	if sameCentre || g.fleet.Flat() || !g.fleet.CentreHeard(now, from.Centre) {
		g.applyReports(now, from.Name, sameCentre, d.Pools, 0, fleet.Validity(milliseconds(d.Every)))
		g.budgets.mu.Lock()
		g.budgets.ledger.ApplyReport(now, from.Name, quota.Report{
			Start: time.UnixMilli(int64(d.Start)), Used: usage(d.Used), Total: usage(d.Total), Local: sameCentre,
			Validity: fleet.Validity(milliseconds(d.Every)),
		})
		g.budgets.mu.Unlock()
	}
	g.fetchNewer(ctx, now, from, d.Routes, d.Entries, d.Members, d.Orders)
	g.fetchFirst(ctx, now, from, d.Routes, d.Entries)
	g.fetchKept(ctx, now, from, d.Kept)
}

// handleSummary applies the summary of another data centre. direct means that its relay has sent it to this instance, which
// then passes it on.
func (g *Gateway) handleSummary(ctx context.Context, now time.Time, w *wire.Summary, direct bool) {
	if !g.isCurrent(w.Era) {
		w.Watching = nil
	}
	relay := fleet.Member{Name: core.InstanceID(w.From), Address: w.Address, Centre: core.DataCentre(w.Centre)}
	fresh, primary := g.fleet.RecordSummary(now, fleet.Summary{
		Relay: relay, Start: int64(w.Start), Number: int64(w.Number), Every: milliseconds(w.Every), Heard: w.Heard, Running: w.Running,
		Silent: toIDs(w.Silent), Watchers: toIDs(w.Watching), Young: w.Young,
	})
	if !fresh {
		return
	}
	if direct {
		g.forward = append(slices.DeleteFunc(g.forward, func(s wire.Summary) bool { return s.From == w.From }), *w)
	}
	g.applyQuarantine(now, w.Crashes, w.Parts, false)
	g.applyOrders(now, source{centre: relay.Centre}, w.Rollouts)
	validity := fleet.Validity(milliseconds(w.Every) + g.fleet.Interval())
	if primary {
		g.places.setFarKeepers(now, relay.Centre, w.Keepers)
		g.applyReports(now, centreOrigin(relay.Centre), false, w.Pools, reportAge(w.Age), validity)
	}
	g.budgets.mu.Lock()
	g.budgets.ledger.ApplyCentreReport(now, relay.Centre, relay.Name, quota.Report{
		Start: time.UnixMilli(int64(w.Start)), Used: usage(w.Used), Total: usage(w.Total), Validity: validity, Age: reportAge(w.Age),
	})
	g.budgets.mu.Unlock()
	if direct || !g.behindSince[Rollouts].IsZero() && now.Sub(g.behindSince[Rollouts]) > farFetchDelay ||
		!g.behindSince[Configurations].IsZero() && now.Sub(g.behindSince[Configurations]) > farFetchDelay ||
		!g.behindSince[Endpoints].IsZero() && now.Sub(g.behindSince[Endpoints]) > farFetchDelay {
		g.fetchNewer(ctx, now, relay, w.Routes, w.Entries, w.Members, w.Orders)
		g.fetchKept(ctx, now, relay, w.Kept)
		return
	}
	for c, rev := range []int{Configurations: w.Routes, Endpoints: w.Entries, Instances: w.Members, Rollouts: w.Orders} {
		if core.Revision(rev) > g.mirrors[c].LastChange() && (Collection(c) != Rollouts || g.o.Settings.Rollouts.Enabled) && g.behindSince[c].IsZero() {
			g.behindSince[c] = now
		}
	}
}

// applyReports applies the loads of an instance or a data centre.
func (g *Gateway) applyReports(now time.Time, from core.InstanceID, sameCentre bool, pools []wire.Pool, age, validity time.Duration) {
	for i := range pools {
		p := g.pools[route.Service(pools[i].Service)]
		if p == nil {
			continue
		}
		r, err := decodeReport(&pools[i])
		if err != nil {
			g.log.Info("pool report skipped", "instance", from, "service", pools[i].Service, "cause", err.Error())
			continue
		}
		r.Age, r.Validity = age, validity+age
		p.ApplyReport(now, from, sameCentre, r)
	}
}

// fetchNewer fetches another instance's copies of the collections of which it has a newer revision.
func (g *Gateway) fetchNewer(ctx context.Context, now time.Time, m fleet.Member, routes, entries, members, orders int) {
	for c, rev := range []int{Configurations: routes, Endpoints: entries, Instances: members, Rollouts: orders} {
		if Collection(c) == Rollouts && !g.o.Settings.Rollouts.Enabled {
			continue
		}
		g.fetchIfNewer(ctx, now, Collection(c), m, core.Revision(rev))
	}
}

// usage converts the usage of workspaces from its wire format.
func usage(w map[string]float64) quota.Usage {
	return lo.MapKeys(w, func(_ float64, name string) core.WorkspaceID { return core.WorkspaceID(name) })
}

// fromIDs converts ids of instances to their wire format.
func fromIDs(ids []core.InstanceID) []string {
	return lo.Map(ids, func(id core.InstanceID, _ int) string { return string(id) })
}

// toIDs converts ids of instances from their wire format.
func toIDs(names []string) []core.InstanceID {
	return lo.Map(names, func(name string, _ int) core.InstanceID { return core.InstanceID(name) })
}

// milliseconds converts milliseconds to a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
