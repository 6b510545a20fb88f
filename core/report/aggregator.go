package report

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/wire/operator"
)

// LostAfter is the time without a publication after which an instance counts as lost: three publication intervals.
const LostAfter = 30 * time.Second

// StoredCounts is the entry in Missing for the counts that the object API keeps, if they can't be read: those of
// instances that have ended, and of data centres that this one can't reach.
const StoredCounts = "(stored counts)"

// Aggregator merges the counts of all instances. It holds the latest publication of every start of every instance.
// Publications are cumulative since the start, so that a duplicate changes nothing and the next one makes up for a lost
// one. Merging is commutative and idempotent. The zero value is empty and ready to use. An Aggregator is not safe for
// concurrent use.
type Aggregator struct {
	latest map[startKey]operator.Publication
}

// startKey identifies a start of an instance.
type startKey struct {
	instance, start string
}

// Merge stores a publication if it is later than the one held for the same start, and reports whether it did.
func (agg *Aggregator) Merge(p operator.Publication) bool {
	key := startKey{p.Instance, p.Start}
	if held, ok := agg.latest[key]; ok && held.Sequence >= p.Sequence || p.Instance == "" || p.Start == "" || p.Sequence <= 0 {
		return false
	}
	if agg.latest == nil {
		agg.latest = map[startKey]operator.Publication{}
	}
	agg.latest[key] = p
	return true
}

// Publications returns the latest publications, ordered by instance and start time.
func (agg *Aggregator) Publications() []operator.Publication {
	return slices.SortedFunc(maps.Values(agg.latest), func(a, b operator.Publication) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Start, b.Start))
	})
}

// Encode encodes the publications as the value of a report object of at most limit bytes. If the value would be larger,
// the rows of each publication with the fewest requests are combined. Totals stay the same.
func (agg *Aggregator) Encode(limit int) (string, error) {
	items := agg.Publications()
	for rows := 1 << 16; rows > 0; rows /= 2 {
		items = lo.Map(items, func(p operator.Publication, _ int) operator.Publication { return Compact(p, rows) })
		b, err := json.Marshal(operator.Publications{Items: items})
		if err != nil {
			return "", errors.Wrap(err, "encode publications")
		}
		if len(b) <= limit {
			return string(b), nil
		}
	}
	return "", errors.Errorf("%d publications exceed %d bytes", len(items), limit)
}

// MergeEncoded merges the publications in the value of a report object.
func (agg *Aggregator) MergeEncoded(value string) error {
	var p operator.Publications
	if err := json.Unmarshal([]byte(value), &p); err != nil {
		return errors.Wrap(err, "decode publications")
	}
	for _, x := range p.Items {
		agg.Merge(x)
	}
	return nil
}

// DropBefore drops the starts whose latest publication is older than before. Dropping whole starts keeps the counts
// consistent.
func (agg *Aggregator) DropBefore(before time.Time) {
	maps.DeleteFunc(agg.latest, func(_ startKey, p operator.Publication) bool { return int64(p.Time) < before.UnixMilli() })
}

// Report adds up all publications. live lists the instances that are expected to publish. Those without any counts are
// reported as missing, and so are instances that were lost before their final publication. The counts of lost instances
// are included up to their latest publication.
func (agg *Aggregator) Report(now time.Time, live []core.InstanceID) operator.Report {
	rep := operator.Report{
		Time: int(now.UnixMilli()), Rows: []operator.Row{}, Sources: []operator.Source{}, Missing: []operator.Missing{},
		Bounds: lo.Map(WaitBounds, func(d time.Duration, _ int) int { return int(d.Microseconds()) }),
	}
	publications := agg.Publications()
	var rows []operator.Row
	known := map[string]bool{}
	for i, p := range publications {
		state := operator.SourceStateRunning
		switch {
		case p.Final:
			state = operator.SourceStateEnded
		case now.UnixMilli()-int64(p.Time) > LostAfter.Milliseconds():
			state = operator.SourceStateLost
			until := rep.Time
			if next := i + 1; next < len(publications) && publications[next].Instance == p.Instance {
				until = publications[next].Since
			}
			rep.Missing = append(rep.Missing, operator.Missing{Instance: p.Instance, Start: p.Start, Since: p.Time, Until: until})
		}
		known[p.Instance] = known[p.Instance] || state == operator.SourceStateRunning || state == operator.SourceStateLost
		rep.Sources = append(rep.Sources, operator.Source{Instance: p.Instance, Start: p.Start, Sequence: p.Sequence, Since: p.Since, Time: p.Time, State: state})
		for _, r := range p.Rows {
			if state != operator.SourceStateRunning {
				r.Counts.Lost, r.Counts.Running = r.Counts.Lost+r.Counts.Running, 0
			}
			rows = append(rows, r)
		}
	}
	for _, i := range lo.Uniq(live) {
		if !known[string(i)] {
			rep.Missing = append(rep.Missing, operator.Missing{Instance: string(i), Until: rep.Time})
		}
	}
	slices.SortFunc(rep.Missing, func(a, b operator.Missing) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Since, b.Since))
	})
	rep.Rows = combineRows(rows)
	for _, r := range rep.Rows {
		addCounts(&rep.Total, r.Counts)
	}
	return rep
}

// SumOutcomes returns the sum of the columns that partition the requests: it equals Asked, because every request is
// in exactly one of them.
func SumOutcomes(c operator.Counts) int {
	return c.Ontime + c.Late + c.Refused + c.Failed + c.Unknown + c.Running + c.Lost
}
