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
	// publishEvery bounds the counts that are lost with an instance.
	publishEvery = 10 * time.Second
	// publishTries bounds the repetitions of a write that conflicts with another publisher.
	publishTries = 4
	// publishBytes bounds the object of a data centre; the object API accepts 1 MB.
	publishBytes = 900 << 10
	// publishRows bounds the rows that an instance of a large fleet hands to the publisher, 6 KB with 16.
	publishRows = 16
	// smallFleet is the number of instances up to which a report asks every instance for its latest counts.
	smallFleet = 32
	// keepCounts is how long the counts of an ended process are kept.
	keepCounts = 7 * 24 * time.Hour

	kindReport  = "report"
	taskPublish = "publish"
)

// publisher writes the counts of a data centre's instances to the object API: one instance gathers them, so that the
// number of writes follows the number of data centres.
type publisher struct {
	self     core.InstanceID
	centre   core.DataCentre
	log      logr.Logger
	recorder *report.Recorder
	tables   *tables
	loop     *loop
	view     *membership.View
	client   *peer.Client
	objects  *objectapi.Client

	published, failures metrics.Counter
}

func providePublisher(i do.Injector) (*publisher, error) {
	s, reg := do.MustInvoke[*Settings](i), do.MustInvoke[metrics.Registry](i)
	return &publisher{
		self: s.Name, centre: s.Centre, log: do.MustInvoke[logr.Logger](i), recorder: do.MustInvoke[*report.Recorder](i),
		tables: do.MustInvoke[*tables](i), loop: do.MustInvoke[*loop](i), view: do.MustInvoke[*gossip](i).view, client: do.MustInvoke[*peer.Client](i),
		objects:   do.MustInvoke[*objectapi.Client](i),
		published: metrics.GetOrRegisterCounter("report.published", reg),
		failures:  metrics.GetOrRegisterCounter("report.failures", reg),
	}, nil
}

func provideReports(i do.Injector) (*reports, error) {
	return &reports{
		loop: do.MustInvoke[*loop](i), client: do.MustInvoke[*engine.Client](i), next: map[core.EndpointID]int{},
		failures: metrics.GetOrRegisterCounter("load.failures", do.MustInvoke[metrics.Registry](i)),
	}, nil
}

// answer returns the counts that a publisher or a report asked for. In a large fleet they are compacted here, because a
// thousand workspaces take 0.5 MB every publishEvery.
func (p *publisher) answer() operator.Publication {
	if len(p.tables.load().addr) > smallFleet {
		return report.Compact(p.own(false), publishRows)
	}
	return p.own(false)
}

// own returns the counts of this process.
func (p *publisher) own(final bool) operator.Publication {
	return p.recorder.Publication(time.Now(), final)
}

func (p *publisher) run(ctx context.Context) {
	t := time.NewTicker(publishEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var chosen []core.InstanceID
		if p.loop.do(ctx, func() { chosen = p.view.Assigned(time.Now(), p.centre, taskPublish) }) != nil {
			return
		}
		if len(chosen) > 0 && chosen[0] == p.self {
			p.write(ctx, p.gather(ctx, p.centre))
		}
	}
}

// last publishes the final counts of a regular end.
func (p *publisher) last(ctx context.Context) {
	p.write(ctx, []operator.Publication{p.own(true)})
}

// gather asks the instances of a data centre, or of all if it is empty, for their counts.
func (p *publisher) gather(ctx context.Context, centre core.DataCentre) []operator.Publication {
	var peers []membership.Member
	if p.loop.do(ctx, func() { peers = p.view.Instances("") }) != nil {
		return nil
	}
	answers := make(chan *operator.Publication, len(peers))
	n := 0
	for _, m := range peers {
		if m.ID == p.self || centre != "" && m.Centre != centre {
			continue
		}
		n++
		go func() { answers <- p.ask(ctx, m.Address) }()
	}
	out := []operator.Publication{p.own(false)}
	for range n {
		if a := <-answers; a != nil {
			out = append(out, *a)
		}
	}
	return out
}

func (p *publisher) ask(ctx context.Context, addr string) *operator.Publication {
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

// write merges publications into the object of the data centre. A lost answer needs no care: merging the same counts
// again changes nothing.
func (p *publisher) write(ctx context.Context, pubs []operator.Publication) {
	var err error
	for range publishTries {
		if err = p.writeOnce(ctx, pubs); object.Conflict(err) == nil {
			break
		}
	}
	if err != nil && ctx.Err() == nil {
		p.failures.Inc(1)
		return
	}
	p.published.Inc(1)
}

func (p *publisher) writeOnce(ctx context.Context, pubs []operator.Publication) error {
	var l report.Ledger
	value, version, err := p.objects.Get(ctx, kindReport, string(p.centre))
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := l.Decode(string(value)); err != nil {
			p.log.Error(err, "the stored counts are unreadable and will be replaced", "centre", p.centre)
		}
	}
	for _, pub := range pubs {
		l.Merge(pub)
	}
	l.Trim(time.Now().Add(-keepCounts))
	body, err := l.Encode(publishBytes)
	if err != nil {
		return err
	}
	_, err = p.objects.Put(ctx, kindReport, string(p.centre), []byte(body), version)
	return err
}

// report adds up the published counts of all data centres and, in a small fleet, the latest ones of every instance.
func (p *publisher) report(ctx context.Context) (operator.Report, error) {
	var l report.Ledger
	items, err := p.objects.List(ctx, kindReport)
	unknown := err != nil
	for _, it := range items.Items {
		if !it.Deleted && l.Decode(it.Value) != nil {
			unknown = true
		}
	}
	var live []core.InstanceID
	if e := p.loop.do(ctx, func() {
		for _, m := range p.view.Instances("") {
			live = append(live, m.ID)
		}
	}); e != nil {
		return operator.Report{}, e
	}
	if len(live) <= smallFleet {
		for _, pub := range p.gather(ctx, "") {
			l.Merge(pub)
		}
	} else {
		l.Merge(p.own(false))
	}
	rep := l.Report(time.Now(), live)
	if unknown {
		rep.Missing = append(rep.Missing, operator.Missing{Instance: report.Stored, Until: rep.Time})
	}
	return rep, nil
}
