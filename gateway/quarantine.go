package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/quarantine"
	"monsoondale/core/route"
	wire "monsoondale/wire/mesh"
)

const (
	// partsObjectName is the name of the object that holds the quarantined parts.
	partsObjectName = "parts"
	// partsPatience is how long an instance that starts waits for the quarantined parts before it serves requests.
	partsPatience = time.Second
	// trialTimeout is the time limit for reserving a trial, and trialInterval the time between two tries, which call the store.
	trialTimeout  = 500 * time.Millisecond
	trialInterval = time.Second
)

// partsRecord is the state of the record of the quarantined parts in the store.
type partsRecord struct {
	known   atomic.Bool // those from before the start of this process are known, or have not been found in time
	saving  atomic.Bool // it is being written
	unsaved atomic.Bool // the last write has failed

	reserving atomic.Bool // a trial is being reserved
	lastTrial time.Time   // when one was last to be reserved; guarded by reserving

	recorder quarantine.Recorder // used by the control goroutine only
}

// saveParts writes the quarantined parts to the store if they have changed and this instance is the first of those that watch the
// store.
func (g *Gateway) saveParts(ctx context.Context, now time.Time) {
	r := &g.parts
	if r.unsaved.Swap(false) {
		r.recorder.Failed()
	}
	if r.saving.Load() || !g.watch.first(now) || !r.recorder.Due(now, g.quarantine) {
		return
	}
	r.saving.Store(true)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		defer r.saving.Store(false)
		err := g.writeParts(ctx)
		if errors.Is(err, ErrChanged) { // by an instance that has reserved a trial, or that was the first one before
			if _, err = g.loadParts(ctx); err == nil {
				err = g.writeParts(ctx)
			}
		}
		if err != nil && ctx.Err() == nil {
			g.log.Info("parts not recorded", "cause", err.Error())
			r.unsaved.Store(true)
		}
	}()
}

// writeParts writes the quarantined parts, and the crashes that may lead to others, to the store.
func (g *Gateway) writeParts(ctx context.Context) error {
	r := g.quarantine.Record(time.Now())
	b, err := json.Marshal(wire.Parts{Parts: encodeParts(r.Entries), Crashes: encodeCrashes(r.Crashes)})
	if err != nil {
		return errors.WithStack(err)
	}
	return g.o.Store.Save(ctx, partsObjectName, b)
}

// loadParts reads the quarantined parts from the store. It returns their number.
func (g *Gateway) loadParts(ctx context.Context) (int, error) {
	b, ok, err := g.o.Store.Load(ctx, partsObjectName)
	if err != nil || !ok {
		return 0, err
	}
	var w wire.Parts
	if err := json.Unmarshal(b, &w); err != nil {
		return 0, errors.Wrap(err, "decode parts")
	}
	g.applyQuarantine(time.Now(), w.Crashes, w.Parts, false)
	return len(w.Parts), nil
}

// restoreParts reads the quarantined parts from before the start of this process. Requests are served once they are known, or after
// partsPatience.
func (g *Gateway) restoreParts(ctx context.Context) {
	patience := time.AfterFunc(partsPatience, func() { g.parts.known.Store(true) })
	defer patience.Stop()
	for wait := minStoreBackoff; ctx.Err() == nil; wait = min(2*wait, maxStoreBackoff) {
		n, err := g.loadParts(ctx)
		if err == nil {
			g.log.Info("parts restored", "parts", n)
			g.parts.known.Store(true)
			return
		}
		g.log.Info("parts not restored", "cause", err.Error())
		sleep(ctx, wait)
	}
}

// reserveTrial reports whether this instance may send a request in spite of its quarantined parts. The store decides which instance may:
// of those that write the record at once, one succeeds.
func (g *Gateway) reserveTrial(ctx context.Context, p *quarantine.Prompt) bool {
	if !g.quarantine.TrialDue(time.Now(), p) || !g.parts.reserving.CompareAndSwap(false, true) {
		return false
	}
	defer g.parts.reserving.Store(false)
	if time.Since(g.parts.lastTrial) < trialInterval {
		return false
	}
	g.parts.lastTrial = time.Now()
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	_, err := g.loadParts(ctx)
	if now := time.Now(); err == nil {
		if !g.quarantine.TrialDue(now, p) {
			return false // another instance has sent one
		}
		g.quarantine.StartTrial(now, p)
		err = g.writeParts(ctx)
	}
	if err != nil {
		g.log.Info("no trial", "cause", err.Error())
	}
	return err == nil
}

// applyQuarantine applies what another instance tells about crashes and parts.
func (g *Gateway) applyQuarantine(now time.Time, crashes []wire.Crash, parts []wire.Part, near bool) {
	g.quarantine.Apply(now, quarantine.Report{Crashes: decodeCrashes(crashes), Entries: decodeParts(parts)}, near)
}

// listParts responds with the quarantined parts.
func (g *Gateway) listParts(w http.ResponseWriter, _ *http.Request) {
	b, err := json.Marshal(wire.Parts{Parts: encodeParts(g.quarantine.Entries(time.Now()))})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b) // only the operator is affected by a failed write
}

// releaseParts ends the quarantine of a part, on all instances, for all services and models or for those that the query names.
func (g *Gateway) releaseParts(w http.ResponseWriter, r *http.Request) {
	now, q, n := time.Now(), r.URL.Query(), 0
	for _, e := range g.quarantine.Entries(now) {
		if e.ID != core.PartID(r.PathValue("id")) || q.Has("service") && q.Get("service") != string(e.Service) || q.Has("model") && q.Get("model") != e.Model {
			continue
		}
		if g.quarantine.Release(now, e.Part) {
			n++
		}
	}
	if n == 0 {
		http.Error(w, "no such part in quarantine", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// encodeCrashes converts crashes to their wire format.
func encodeCrashes(crashes []quarantine.Crash) []wire.Crash {
	return lo.Map(crashes, func(c quarantine.Crash, _ int) wire.Crash {
		return wire.Crash{
			Service: string(c.Service), Endpoint: string(c.Endpoint), Born: int(c.Incarnation), Ordinal: c.Ordinal,
			Prompts: lo.Map(c.Prompts, func(p quarantine.CrashPrompt, _ int) wire.Prompt {
				return wire.Prompt{Model: p.Model, Shared: fromPartIDs(p.Shared), Served: fromPartIDs(p.Served), Own: string(p.Own)}
			}),
		}
	})
}

// decodeCrashes converts crashes from their wire format.
func decodeCrashes(crashes []wire.Crash) []quarantine.Crash {
	return lo.Map(crashes, func(w wire.Crash, _ int) quarantine.Crash {
		service := route.Service(w.Service)
		c := quarantine.Crash{Process: quarantine.Process{Service: service, Endpoint: core.EndpointID(w.Endpoint), Incarnation: int64(w.Born)}, Ordinal: w.Ordinal}
		for _, p := range w.Prompts {
			c.Prompts = append(c.Prompts, quarantine.CrashPrompt{
				Prompt: quarantine.Prompt{Scope: quarantine.Scope{Service: service, Model: p.Model}, Shared: toPartIDs(p.Shared), Own: core.PartID(p.Own)},
				Served: toPartIDs(p.Served),
			})
		}
		return c
	})
}

// encodeParts converts entries of the quarantine to their wire format.
func encodeParts(entries []quarantine.Entry) []wire.Part {
	return lo.Map(entries, func(e quarantine.Entry, _ int) wire.Part {
		return wire.Part{
			Service: string(e.Service), Model: e.Model, Id: string(e.ID), Version: int(e.Version), Quarantined: e.Quarantined,
			Crashes: e.Crashes, Requests: e.Requests, Trials: e.Trials, Idle: int(e.Idle.Milliseconds()),
		}
	})
}

// decodeParts converts entries of the quarantine from their wire format.
func decodeParts(parts []wire.Part) []quarantine.Entry {
	return lo.Map(parts, func(w wire.Part, _ int) quarantine.Entry {
		return quarantine.Entry{
			Part:    quarantine.Part{Scope: quarantine.Scope{Service: route.Service(w.Service), Model: w.Model}, ID: core.PartID(w.Id)},
			Version: int64(w.Version), Quarantined: w.Quarantined, Crashes: w.Crashes, Requests: w.Requests, Trials: w.Trials,
			Idle: milliseconds(min(max(w.Idle, 0), maxFigure)),
		}
	})
}

// fromPartIDs converts ids of parts to their wire format.
func fromPartIDs(ids []core.PartID) []string {
	return lo.Map(ids, func(id core.PartID, _ int) string { return string(id) })
}

// toPartIDs converts ids of parts from their wire format.
func toPartIDs(ids []string) []core.PartID {
	return lo.Map(ids, func(id string, _ int) core.PartID { return core.PartID(id) })
}
