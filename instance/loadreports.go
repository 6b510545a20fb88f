package instance

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/endpoint"
	"monsoondale/io/engine"
)

const (
	// loadReportInterval is how often an owner reads the load reports and cache events of its engines.
	loadReportInterval = 2 * time.Second
	// loadReportTimeout bounds the requests to one engine, so that an unresponsive engine does not delay the others.
	loadReportTimeout = time.Second
)

// loadReader reads the load reports and the cache events of the engines whose shards this instance owns.
type loadReader struct {
	loop      *controlLoop
	client    *engine.Client
	nextEvent map[core.EndpointID]int // position in the cache events of each engine

	failures metrics.Counter
}

// run reads from the engines at an interval until ctx ends.
func (r *loadReader) run(ctx context.Context) {
	every(ctx, loadReportInterval, func() {
		owned := map[core.ShardID][]endpoint.Spec{}
		if r.loop.call(ctx, func() {
			for id, o := range r.loop.shards {
				owned[id] = o.route.endpoints
			}
		}) != nil {
			return
		}
		r.readAll(ctx, owned)
	})
}

// readAll reads from all engines concurrently and passes the reports to the control loop.
func (r *loadReader) readAll(ctx context.Context, owned map[core.ShardID][]endpoint.Spec) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := make(map[core.EndpointID]int, len(r.nextEvent))
	for shard, specs := range owned {
		for _, spec := range specs {
			if spec.Service {
				continue
			}
			after := r.nextEvent[spec.ID]
			wg.Go(func() {
				rep, n, err := r.readOne(ctx, spec, after)
				if err != nil {
					r.failures.Inc(1)
					n = after
				} else {
					r.loop.applyLoadReport(shard, rep)
				}
				mu.Lock()
				next[spec.ID] = n
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	r.nextEvent = next
}

// readOne returns the report of one engine and the position in its cache events to continue from.
func (r *loadReader) readOne(ctx context.Context, spec endpoint.Spec, after int) (endpoint.Report, int, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	l, err := r.client.LoadReport(ctx, spec.Address)
	if err != nil {
		return endpoint.Report{}, after, err
	}
	ev, err := r.client.CacheEvents(ctx, spec.Address, after)
	if err != nil {
		return endpoint.Report{}, after, err
	}
	rep, n := engine.NewReport(spec.ID, l, ev.Items, after)
	return rep, n, nil
}

// applyLoadReport passes a load report to the shard of its endpoint.
func (l *controlLoop) applyLoadReport(shard core.ShardID, r endpoint.Report) {
	l.post(func() {
		if o := l.shards[shard]; o != nil {
			l.applyEffects(o, o.shard.ApplyReport(time.Now(), r))
		}
	})
}
