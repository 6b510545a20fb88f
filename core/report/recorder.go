// Package report counts the outcomes of requests, merges the counts of all instances and renders them as a report. Each
// instance publishes its cumulative counts at an interval; an Aggregator merges these publications.
package report

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/wire/operator"
)

// Outcome is the result of a finished request. Each outcome has a column in the report.
type Outcome int

// The outcomes of a request. Each accepted request gets exactly one.
const (
	OnTime  Outcome = iota // complete response before the deadline
	Late                   // complete response after the deadline
	Refused                // guaranteed not to have run
	Failed                 // ran and failed
	Unknown                // may or may not have run
)

// OutcomeOf returns the outcome of a request that ended with an error code.
func OutcomeOf(c core.Code) Outcome {
	switch c.Class() {
	case core.ClassNotRun:
		return Refused
	case core.ClassFailed:
		return Failed
	}
	return Unknown
}

// WasteReason is the reason why prefilled or generated tokens were wasted.
type WasteReason int

// The reasons for wasted tokens.
const (
	WasteNone      WasteReason = iota
	WasteCancelled             // the caller closed the connection
	WasteFailed                // the endpoint failed or its response was rejected
	WasteLate                  // the deadline passed while the request ran
	WasteSuspended             // a suspended request could not be resumed
)

// OrderOutcome is the result of an order, which is identified by its claimed order key.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderNone OrderOutcome = iota // no key was claimed
	OrderDone
	OrderFailed
	OrderVoid // guaranteed not to have run; the key is free again
	OrderUnknown
)

// RequestStats holds the measurements of a finished request. Wasted is the part of Prefilled-Cached+Generated that was
// of no use.
type RequestStats struct {
	Wait                         time.Duration // time in the queue
	Prefilled, Cached, Generated core.Tokens   // prompt tokens, the part of them served from the cache, generated tokens
	Wasted                       core.Tokens
	WasteReason                  WasteReason
	Order                        OrderOutcome
	Replayed                     bool // answered with the recorded result of the order, without a dispatch
	Cancelled                    bool // failed because the caller closed the connection
}

// WaitBounds lists the inclusive upper bounds of the histogram buckets for queue times. One more bucket is unbounded.
var WaitBounds = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute, 5 * time.Minute,
}

// Recorder counts the requests of one start of an instance. It is safe for concurrent use. Workspaces without requests
// take no memory.
type Recorder struct {
	instance core.InstanceID
	start    string
	since    time.Time
	counters sync.Map // rowKey → *counter

	mu       sync.Mutex
	sequence int
}

type rowKey struct {
	workspace core.WorkspaceID
	tier      core.Tier
	kind      core.KindID
}

// counter holds the counts of one row. Its mutex makes a published row consistent, so that its columns add up.
type counter struct {
	mu     sync.Mutex
	counts operator.Counts
}

// Request is an accepted request. It counts as running until Finish is called.
type Request struct {
	counter  *counter
	claimed  bool
	finished bool
}

// NewRecorder returns a Recorder with a new start ID.
func NewRecorder(instance core.InstanceID, now time.Time) *Recorder {
	return &Recorder{instance: instance, start: core.NewID(), since: now}
}

// Accept counts a request as asked and running.
func (r *Recorder) Accept(workspace core.WorkspaceID, tier core.Tier, kind core.KindID) *Request {
	key := rowKey{workspace, tier, kind}
	v, ok := r.counters.Load(key)
	if !ok {
		v, _ = r.counters.LoadOrStore(key, &counter{})
	}
	c := v.(*counter)
	c.mu.Lock()
	c.counts.Asked++
	c.counts.Running++
	c.mu.Unlock()
	return &Request{counter: c}
}

// MarkClaimed counts the order key of the request as claimed. Further calls have no effect.
func (q *Request) MarkClaimed() {
	q.counter.mu.Lock()
	defer q.counter.mu.Unlock()
	q.markClaimedLocked()
}

func (q *Request) markClaimedLocked() {
	if !q.claimed && !q.finished {
		q.claimed = true
		q.counter.counts.Orders.Claimed++
	}
}

// Finish moves the request from running to the column of its outcome. Only the first call counts, so that a deferred
// call may follow an explicit one. An order outcome implies MarkClaimed.
func (q *Request) Finish(o Outcome, stats RequestStats) {
	q.counter.mu.Lock()
	defer q.counter.mu.Unlock()
	if q.finished {
		return
	}
	if stats.Order != OrderNone {
		q.markClaimedLocked()
	}
	q.finished = true
	c := &q.counter.counts
	c.Running--
	switch o {
	case OnTime:
		c.Ontime++
	case Late:
		c.Late++
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	default:
		c.Unknown++
	}
	if stats.Replayed {
		c.Replayed++
	}
	if stats.Cancelled {
		c.Cancelled++
	}
	c.Prefilled += int(stats.Prefilled)
	c.Cached += int(stats.Cached)
	c.Generated += int(stats.Generated)
	if n := wasteColumn(&c.Thrown, stats.WasteReason); n != nil {
		*n += int(stats.Wasted)
	}
	if q.claimed {
		*orderColumn(&c.Orders, stats.Order)++
	}
	recordWait(&c.Waits, stats.Wait)
}

// wasteColumn returns the column of a waste reason, or nil for WasteNone.
func wasteColumn(t *operator.Thrown, r WasteReason) *int {
	switch r {
	case WasteCancelled:
		return &t.Cancelled
	case WasteFailed:
		return &t.Failed
	case WasteLate:
		return &t.Late
	case WasteSuspended:
		return &t.Suspended
	}
	return nil
}

// orderColumn returns the column of an order outcome. A claimed order that ends without an outcome counts as unknown.
func orderColumn(o *operator.Orders, out OrderOutcome) *int {
	switch out {
	case OrderDone:
		return &o.Done
	case OrderFailed:
		return &o.Failed
	case OrderVoid:
		return &o.Void
	}
	return &o.Unknown
}

func recordWait(w *operator.Waits, d time.Duration) {
	if w.Buckets == nil {
		w.Buckets = make([]int, len(WaitBounds)+1)
	}
	i, _ := slices.BinarySearch(WaitBounds, d)
	w.Buckets[i]++
	w.Count++
	w.Sum += int(d.Microseconds())
}

// Publication returns all counts since the start, with the next sequence number. final marks the last publication
// before an orderly shutdown.
func (r *Recorder) Publication(now time.Time, final bool) operator.Publication {
	// The rows are read under the lock, so that a higher sequence number never has older counts.
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return operator.Publication{
		Instance: string(r.instance), Start: r.start, Sequence: r.sequence,
		Since: int(r.since.UnixMilli()), Time: int(now.UnixMilli()), Final: final, Rows: r.Rows(),
	}
}

// Rows returns all counts since the start, by workspace, tier and kind.
func (r *Recorder) Rows() []operator.Row {
	rows := []operator.Row{}
	r.counters.Range(func(k, v any) bool {
		key, c := k.(rowKey), v.(*counter)
		c.mu.Lock()
		counts := c.counts
		counts.Waits.Buckets = slices.Clone(counts.Waits.Buckets)
		c.mu.Unlock()
		rows = append(rows, operator.Row{Workspace: string(key.workspace), Tier: int(key.tier), Kind: string(key.kind), Counts: counts})
		return true
	})
	slices.SortFunc(rows, compareRows)
	return rows
}

func compareRows(a, b operator.Row) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Kind, b.Kind))
}

// OtherWorkspaces is the workspace name of the rows that Compact combined. It is not a valid name for a workspace.
const OtherWorkspaces = "(other)"

// Compact keeps the rows with the most requests and combines the others by tier and kind into rows of OtherWorkspaces,
// so that a publication of many workspaces stays within the size limit of the object API. All counts are kept.
func Compact(p operator.Publication, rows int) operator.Publication {
	if len(p.Rows) <= rows {
		return p
	}
	sorted := slices.SortedStableFunc(slices.Values(p.Rows), func(a, b operator.Row) int { return cmp.Compare(b.Counts.Asked, a.Counts.Asked) })
	rest := lo.Map(sorted[rows:], func(r operator.Row, _ int) operator.Row {
		r.Workspace = OtherWorkspaces
		return r
	})
	p.Rows = combineRows(slices.Concat(sorted[:rows], rest))
	return p
}

// combineRows adds up the rows with equal workspace, tier and kind and sorts the result.
func combineRows(rows []operator.Row) []operator.Row {
	sums := map[rowKey]*operator.Row{}
	for _, r := range rows {
		key := rowKey{core.WorkspaceID(r.Workspace), core.Tier(r.Tier), core.KindID(r.Kind)}
		if sums[key] == nil {
			sums[key] = &operator.Row{Workspace: r.Workspace, Tier: r.Tier, Kind: r.Kind}
		}
		addCounts(&sums[key].Counts, r.Counts)
	}
	out := lo.Map(lo.Values(sums), func(r *operator.Row, _ int) operator.Row { return *r })
	slices.SortFunc(out, compareRows)
	return out
}

// addCounts adds src to dst. dst must not share its buckets with another value.
func addCounts(dst *operator.Counts, src operator.Counts) {
	dst.Asked += src.Asked
	dst.Ontime += src.Ontime
	dst.Late += src.Late
	dst.Refused += src.Refused
	dst.Failed += src.Failed
	dst.Unknown += src.Unknown
	dst.Running += src.Running
	dst.Lost += src.Lost
	dst.Replayed += src.Replayed
	dst.Cancelled += src.Cancelled
	dst.Prefilled += src.Prefilled
	dst.Cached += src.Cached
	dst.Generated += src.Generated
	dst.Thrown.Cancelled += src.Thrown.Cancelled
	dst.Thrown.Failed += src.Thrown.Failed
	dst.Thrown.Late += src.Thrown.Late
	dst.Thrown.Suspended += src.Thrown.Suspended
	dst.Orders.Claimed += src.Orders.Claimed
	dst.Orders.Done += src.Orders.Done
	dst.Orders.Failed += src.Orders.Failed
	dst.Orders.Void += src.Orders.Void
	dst.Orders.Unknown += src.Orders.Unknown
	dst.Waits.Count += src.Waits.Count
	dst.Waits.Sum += src.Waits.Sum
	if n := len(src.Waits.Buckets) - len(dst.Waits.Buckets); n > 0 {
		dst.Waits.Buckets = append(dst.Waits.Buckets, make([]int, n)...)
	}
	for i, n := range src.Waits.Buckets {
		dst.Waits.Buckets[i] += n
	}
}
