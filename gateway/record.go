package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/quota"
	wire "monsoondale/wire/mesh"
)

const (
	// recordName is the object that holds the use of workspaces.
	recordName = "use"
	// recordEvery is the pause between two records. All instances may end at once, and what was used since the last
	// record is then only estimated.
	recordEvery = time.Second
)

// record writes the use of workspaces if it is due and this instance is the first of those that are heard. Two
// instances that cannot hear each other may both write; either record holds what both had used before.
func (g *Gateway) record(ctx context.Context, now time.Time) {
	if now.Sub(g.recorded) < recordEvery || g.recording.Load() || g.leaving.Load() || g.table == nil || !g.table.RequiresKey() {
		return
	}
	for name, m := range g.members.byName {
		if name < g.o.Settings.Name && !m.heard.IsZero() && now.Sub(m.heard) <= heardWithin && !m.leaving {
			return
		}
	}
	g.recorded = now
	g.budgets.mu.Lock()
	complete, r := g.budgets.ledger.Complete(now), g.budgets.ledger.Record(now)
	g.budgets.mu.Unlock()
	if !complete {
		return // a record with less would replace the one that is to be restored
	}
	b, err := json.Marshal(wire.Record{
		Time:   int(r.At.UnixMilli()),
		Slices: lo.MapKeys(r.Slices, func(_ []float64, id core.WorkspaceID) string { return string(id) }),
	})
	if err != nil {
		g.log.Error(err, "encode a record")
		return
	}
	g.recording.Store(true)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		defer g.recording.Store(false)
		if err := g.o.Store.Save(ctx, recordName, b); err != nil && ctx.Err() == nil {
			g.log.Info("use not recorded", "cause", err.Error())
		}
	}()
}

// restore reads the use of workspaces before this process started. It gives up once that use has left the window.
func (g *Gateway) restore(ctx context.Context) {
	for ctx.Err() == nil && time.Since(g.start) < g.o.Settings.QuotaWindow {
		if g.view.Load().Table == nil {
			pause(ctx, relistLeast) // accounts follow from the configuration
			continue
		}
		b, ok, err := g.o.Store.Load(ctx, recordName)
		var w wire.Record
		if err == nil && ok {
			err = json.Unmarshal(b, &w)
		}
		if err != nil {
			g.log.Info("use not restored", "cause", err.Error())
			pause(ctx, relistMost)
			continue
		}
		r := quota.Record{At: time.UnixMilli(int64(w.Time)), Slices: lo.MapKeys(w.Slices, func(_ []float64, name string) core.WorkspaceID {
			return core.WorkspaceID(name)
		})}
		g.budgets.mu.Lock()
		g.budgets.ledger.Restore(time.Now(), r)
		g.budgets.mu.Unlock()
		g.log.Info("use restored", "workspaces", len(r.Slices), "age", time.Since(r.At).String())
		return
	}
}
