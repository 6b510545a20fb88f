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

// LostAfter is the age of the last publication at which an instance counts as lost: three publication intervals.
const LostAfter = 30 * time.Second

// StoredCounts stands for an instance in Missing if the counts that the object API keeps are not known: those of instances
// that have ended, and of data centres that this one does not reach.
const StoredCounts = "(stored counts)"

// Aggregator holds the last publication of every start of every instance. Publications are cumulative since the start, so
// a doubled one changes nothing and a lost one is made up for by the next. Merging is commutative and idempotent.
// The zero value is empty. It is not safe for concurrent use.
type Aggregator struct {
	last map[startKey]operator.Publication
}

type startKey struct {
	instance, start string
}

// Merge takes over a publication if it is later than the one held for the same start. It reports whether it was.
func (l *Aggregator) Merge(p operator.Publication) bool {
	key := startKey{p.Instance, p.Start}
	if held, ok := l.last[key]; ok && held.Sequence >= p.Sequence || p.Instance == "" || p.Start == "" || p.Sequence <= 0 {
		return false
	}
	if l.last == nil {
		l.last = map[startKey]operator.Publication{}
	}
	l.last[key] = p
	return true
}

// Publications returns what the Ledger holds, ordered by instance and time of start.
func (l *Aggregator) Publications() []operator.Publication {
	return slices.SortedFunc(maps.Values(l.last), func(a, b operator.Publication) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Start, b.Start))
	})
}

// Encode returns the value of a report object of at most limit bytes. If it would be larger, the smallest rows of each
// publication are combined; totals stay the same.
func (l *Aggregator) Encode(limit int) (string, error) {
	items := l.Publications()
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

// MergeEncoded merges the value of a report object.
func (l *Aggregator) MergeEncoded(value string) error {
	var p operator.Publications
	if err := json.Unmarshal([]byte(value), &p); err != nil {
		return errors.Wrap(err, "decode publications")
	}
	for _, x := range p.Items {
		l.Merge(x)
	}
	return nil
}

// DropBefore forgets starts whose last publication is older than before. Trimming whole starts keeps counts consistent.
func (l *Aggregator) DropBefore(before time.Time) {
	maps.DeleteFunc(l.last, func(_ startKey, p operator.Publication) bool { return int64(p.Time) < before.UnixMilli() })
}

// Report adds up all publications. Live names the instances that are expected to publish; those without any counts
// are reported as missing, as are instances that were lost before their final publication. Their counts are included
// up to their last publication.
func (l *Aggregator) Report(now time.Time, live []core.InstanceID) operator.Report {
	rep := operator.Report{
		Time: int(now.UnixMilli()), Rows: []operator.Row{}, Sources: []operator.Source{}, Missing: []operator.Missing{},
		Bounds: lo.Map(WaitBounds, func(d time.Duration, _ int) int { return int(d.Microseconds()) }),
	}
	publications := l.Publications()
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
	rep.Rows = combine(rows)
	for _, r := range rep.Rows {
		add(&rep.Total, r.Counts)
	}
	return rep
}

// SumOutcomes returns the columns that every asked request is in exactly one of.
func SumOutcomes(c operator.Counts) int {
	return c.Ontime + c.Late + c.Refused + c.Failed + c.Unknown + c.Running + c.Lost
}
