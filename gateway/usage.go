package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/quota"
	wire "monsoondale/wire/mesh"
)

const (
	// usageObjectName is the name of the object that holds the usage of workspaces.
	usageObjectName = "use"
	// recordInterval is the time between two records. If all instances stop at once, the usage since the last record is
	// only estimated.
	recordInterval = time.Second
)

// recordUsage writes the usage of workspaces to the store if a record is due and this instance is the first of those that
// watch the store. Two instances that cannot reach each other may both write; either record contains what both used
// before they lost contact. A write that the store executes late does not replace a newer record.
func (g *Gateway) recordUsage(ctx context.Context, now time.Time) {
	if now.Sub(g.lastRecordAttempt) < recordInterval || g.recording.Load() || g.leaving.Load() || g.table == nil || !g.table.RequiresKey() {
		return
	}
	if !g.watch.first(now) {
		return
	}
	g.lastRecordAttempt = now
	g.budgets.mu.Lock()
	complete, r := g.budgets.ledger.Complete(now), g.budgets.ledger.Record(now)
	g.budgets.mu.Unlock()
	if !complete {
		return // an incomplete record would overwrite the one to be restored
	}
	b, err := json.Marshal(wire.Record{
		Time:   int(r.At.UnixMilli()),
		Slices: lo.MapKeys(r.Slices, func(_ []float64, id core.WorkspaceID) string { return string(id) }),
	})
	if err != nil {
		g.log.Error(err, "cannot encode usage record")
		return
	}
	g.recording.Store(true)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer g.recording.Store(false)
		err := g.o.Store.Save(ctx, usageObjectName, b)
		// This instance has taken over from another one, or the store was restored, and may have an older record.
		for n := 0; n < 2 && errors.Is(err, ErrChanged); n++ {
			err = g.o.Store.Save(ctx, usageObjectName, b)
		}
		if err != nil && ctx.Err() == nil {
			g.log.Info("use not recorded", "cause", err.Error())
		}
	}()
}

// restoreUsage reads the usage of workspaces before the start of this process. It gives up once that usage has left the
// window.
func (g *Gateway) restoreUsage(ctx context.Context) {
	for ctx.Err() == nil && time.Since(g.start) < g.o.Settings.QuotaWindow {
		if g.config.Load().Table == nil {
			sleep(ctx, minStoreBackoff) // until the ledger has the quotas of the configuration
			continue
		}
		b, ok, err := g.o.Store.Load(ctx, usageObjectName)
		var w wire.Record
		if err == nil && ok {
			err = json.Unmarshal(b, &w)
		}
		if err != nil {
			g.log.Info("use not restored", "cause", err.Error())
			sleep(ctx, maxStoreBackoff)
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
