package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"monsoondale/core"
	"monsoondale/core/membership"
	"monsoondale/core/object"
	"monsoondale/core/report"
	"monsoondale/io/engine"
	"monsoondale/io/objectapi"
	"monsoondale/io/peer"
	"monsoondale/wire/operator"
)

const (
	// publishInterval bounds the period whose counts are lost if an instance crashes.
	publishInterval = 10 * time.Second
	// maxPublishAttempts bounds the attempts of a write that conflicts with another publisher.
	maxPublishAttempts = 4
	// maxPublishedBytes bounds the size of a data centre's object; the object API accepts up to 1 MB.
	maxPublishedBytes = 900 << 10
	// maxCompactRows bounds the rows that an instance of a large fleet sends to the publisher; 16 rows take 6 KB.
	maxCompactRows = 16
	// smallFleetSize is the number of instances up to which a report asks every instance for its latest counts.
	smallFleetSize = 32
	// countRetention is how long the counts of a process are kept after its end.
	countRetention = 7 * 24 * time.Hour

	kindReport  = "report"
	taskPublish = "publish"
)

// publisher writes the counts of a data centre's instances to the object API. One instance collects them for its data
// centre, so that the number of writes depends only on the number of data centres.
type publisher struct {
	self     core.InstanceID
	centre   core.DataCentre
	log      logr.Logger
	recorder *report.Recorder
	routing  *routingState
	loop     *controlLoop
	view     *membership.View
	client   *peer.Client
	objects  *objectapi.Client

	published, failures metrics.Counter
}

func providePublisher(i do.Injector) (*publisher, error) {
	s, reg := do.MustInvoke[*Settings](i), do.MustInvoke[metrics.Registry](i)
	return &publisher{
		self: s.Name, centre: s.Centre, log: do.MustInvoke[logr.Logger](i), recorder: do.MustInvoke[*report.Recorder](i),
		routing: do.MustInvoke[*routingState](i), loop: do.MustInvoke[*controlLoop](i), view: do.MustInvoke[*gossip](i).view, client: do.MustInvoke[*peer.Client](i),
		objects:   do.MustInvoke[*objectapi.Client](i),
		published: metrics.GetOrRegisterCounter("report.published", reg),
		failures:  metrics.GetOrRegisterCounter("report.failures", reg),
	}, nil
}

func provideLoadReader(i do.Injector) (*loadReader, error) {
	return &loadReader{
		loop: do.MustInvoke[*controlLoop](i), client: do.MustInvoke[*engine.Client](i), nextEvent: map[core.EndpointID]int{},
		failures: metrics.GetOrRegisterCounter("load.failures", do.MustInvoke[metrics.Registry](i)),
	}, nil
}

// peerReport returns the counts of this process for another instance. In a large fleet they are compacted, because the
// counts of a thousand workspaces would take 0.5 MB in each publishInterval.
func (p *publisher) peerReport() operator.Publication {
	if len(p.routing.load().addr) > smallFleetSize {
		return report.Compact(p.localCounts(false), maxCompactRows)
	}
	return p.localCounts(false)
}

// localCounts returns the counts of this process.
func (p *publisher) localCounts(final bool) operator.Publication {
	return p.recorder.Publication(time.Now(), final)
}

// run publishes the counts of the data centre at an interval while this instance is the first one assigned to it.
func (p *publisher) run(ctx context.Context) {
	t := time.NewTicker(publishInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var assigned []core.InstanceID
		if p.loop.call(ctx, func() { assigned = p.view.Assigned(time.Now(), p.centre, taskPublish) }) != nil {
			return
		}
		if len(assigned) > 0 && assigned[0] == p.self {
			p.publish(ctx, p.collectCounts(ctx, p.centre))
		}
	}
}

// publishFinal publishes the final counts of this process at shutdown.
func (p *publisher) publishFinal(ctx context.Context) {
	p.publish(ctx, []operator.Publication{p.localCounts(true)})
}

// collectCounts asks the instances of a data centre for their counts, or all instances if centre is empty.
func (p *publisher) collectCounts(ctx context.Context, centre core.DataCentre) []operator.Publication {
	var peers []membership.Member
	if p.loop.call(ctx, func() { peers = p.view.Instances("") }) != nil {
		return nil
	}
	answers := make(chan *operator.Publication, len(peers))
	n := 0
	for _, m := range peers {
		if m.ID == p.self || centre != "" && m.Centre != centre {
			continue
		}
		n++
		go func() { answers <- p.fetchCounts(ctx, m.Address) }()
	}
	out := []operator.Publication{p.localCounts(false)}
	for range n {
		if a := <-answers; a != nil {
			out = append(out, *a)
		}
	}
	return out
}

// fetchCounts returns the counts of a peer, or nil if it does not answer.
func (p *publisher) fetchCounts(ctx context.Context, addr string) *operator.Publication {
	raw, err := p.client.Report(ctx, addr)
	if err != nil {
		return nil
	}
	var pub operator.Publication
	if json.Unmarshal(raw, &pub) != nil {
		return nil
	}
	return &pub
}

// publish merges publications into the object of the data centre. It is safe to repeat after a lost response: merging the
// same counts again changes nothing.
func (p *publisher) publish(ctx context.Context, pubs []operator.Publication) {
	var err error
	for range maxPublishAttempts {
		if err = p.publishOnce(ctx, pubs); object.Conflict(err) == nil {
			break
		}
	}
	if err != nil && ctx.Err() == nil {
		p.failures.Inc(1)
		return
	}
	p.published.Inc(1)
}

// publishOnce reads, merges and writes the object once. It fails with a conflict if another publisher wrote in between.
func (p *publisher) publishOnce(ctx context.Context, pubs []operator.Publication) error {
	var l report.Aggregator
	value, version, err := p.objects.Get(ctx, kindReport, string(p.centre))
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := l.MergeEncoded(string(value)); err != nil {
			p.log.Error(err, "the stored counts are unreadable and will be replaced", "centre", p.centre)
		}
	}
	for _, pub := range pubs {
		l.Merge(pub)
	}
	l.DropBefore(time.Now().Add(-countRetention))
	body, err := l.Encode(maxPublishedBytes)
	if err != nil {
		return err
	}
	_, err = p.objects.Put(ctx, kindReport, string(p.centre), []byte(body), version)
	return err
}

// mergedReport merges the published counts of all data centres and, in a small fleet, the latest counts of every
// instance.
func (p *publisher) mergedReport(ctx context.Context) (operator.Report, error) {
	var l report.Aggregator
	items, err := p.objects.List(ctx, kindReport)
	unknown := err != nil
	for _, it := range items.Items {
		if !it.Deleted && l.MergeEncoded(it.Value) != nil {
			unknown = true
		}
	}
	var live []core.InstanceID
	if e := p.loop.call(ctx, func() {
		for _, m := range p.view.Instances("") {
			live = append(live, m.ID)
		}
	}); e != nil {
		return operator.Report{}, e
	}
	if len(live) <= smallFleetSize {
		for _, pub := range p.collectCounts(ctx, "") {
			l.Merge(pub)
		}
	} else {
		l.Merge(p.localCounts(false))
	}
	rep := l.Report(time.Now(), live)
	if unknown {
		rep.Missing = append(rep.Missing, operator.Missing{Instance: report.StoredCounts, Until: rep.Time})
	}
	return rep, nil
}
