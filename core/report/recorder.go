// Package report counts what became of requests, merges the counts of instances and renders them.
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

// Outcome is the column that a finished request is counted in.
type Outcome int

// The outcomes of a request. Each accepted request gets exactly one.
const (
	OnTime  Outcome = iota // answered completely before its deadline
	Late                   // answered completely after its deadline
	Refused                // certainly not run
	Failed                 // run and failed
	Unknown                // may or may not have run
)

// OutcomeOf returns the outcome of a request that ended with a result code.
func OutcomeOf(c core.Code) Outcome {
	switch c.Class() {
	case core.ClassNotRun:
		return Refused
	case core.ClassFailed:
		return Failed
	}
	return Unknown
}

// WasteReason tells why tokens were prefilled or generated in vain.
type WasteReason int

// The reasons for tokens thrown away.
const (
	WasteNone      WasteReason = iota
	WasteCancelled             // the caller closed the connection
	WasteFailed                // the endpoint failed or its answer was rejected
	WasteLate                  // the deadline passed while the request ran
	WasteSuspended             // a suspended request could not be resumed
)

// OrderOutcome tells what became of a claimed order key.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderNone OrderOutcome = iota // no key was claimed
	OrderDone
	OrderFailed
	OrderVoid // certainly not run; the key is free again
	OrderUnknown
)

// RequestStats describes a finished request. Thrown is the part of Prefilled-Cached+Generated that was of no use.
type RequestStats struct {
	Wait                         time.Duration // in the queue
	Prefilled, Cached, Generated core.Tokens   // prompt tokens, those of them served from cache, generated tokens
	Wasted                       core.Tokens
	WasteReason                  WasteReason
	Order                        OrderOutcome
	Replayed                     bool // answered with the recorded result of an order key, without a dispatch
	Cancelled                    bool // failed because its caller closed the connection
}

// WaitBounds are the upper bounds of the wait buckets; one more bucket has no bound.
var WaitBounds = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute, 5 * time.Minute,
}

// Recorder counts the requests of one start of an instance. It is safe for concurrent use. Workspaces without
// requests cost nothing.
type Recorder struct {
	instance core.InstanceID
	start    string
	since    time.Time
	cells    sync.Map // cellKey → *cell

	mu       sync.Mutex
	sequence int
}

type cellKey struct {
	workspace core.WorkspaceID
	tier      core.Tier
	kind      core.KindID
}

// cell holds the counts of one kind of work. Its mutex makes a publication consistent, so that its columns add up.
type cell struct {
	mu     sync.Mutex
	counts operator.Counts
}

// Request is an accepted request. It is counted as running until Finish.
type Request struct {
	cell     *cell
	claimed  bool
	finished bool
}

// NewRecorder returns a Recorder with a new start id.
func NewRecorder(instance core.InstanceID, now time.Time) *Recorder {
	return &Recorder{instance: instance, start: core.NewID(), since: now}
}

// Accept counts a request as asked.
func (r *Recorder) Accept(workspace core.WorkspaceID, tier core.Tier, kind core.KindID) *Request {
	key := cellKey{workspace, tier, kind}
	v, ok := r.cells.Load(key)
	if !ok {
		v, _ = r.cells.LoadOrStore(key, &cell{})
	}
	c := v.(*cell)
	c.mu.Lock()
	c.counts.Asked++
	c.counts.Running++
	c.mu.Unlock()
	return &Request{cell: c}
}

// MarkClaimed counts the order key of the request as claimed. Further calls have no effect.
func (q *Request) MarkClaimed() {
	q.cell.mu.Lock()
	defer q.cell.mu.Unlock()
	q.claim()
}

func (q *Request) claim() {
	if !q.claimed && !q.finished {
		q.claimed = true
		q.cell.counts.Orders.Claimed++
	}
}

// Finish moves the request from running to the column of its outcome. Only the first call counts, so that a deferred
// call may follow an explicit one. An order outcome implies Claimed.
func (q *Request) Finish(o Outcome, f RequestStats) {
	q.cell.mu.Lock()
	defer q.cell.mu.Unlock()
	if q.finished {
		return
	}
	if f.Order != OrderNone {
		q.claim()
	}
	q.finished = true
	c := &q.cell.counts
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
	if f.Replayed {
		c.Replayed++
	}
	if f.Cancelled {
		c.Cancelled++
	}
	c.Prefilled += int(f.Prefilled)
	c.Cached += int(f.Cached)
	c.Generated += int(f.Generated)
	if n := thrown(&c.Thrown, f.WasteReason); n != nil {
		*n += int(f.Wasted)
	}
	if q.claimed {
		*order(&c.Orders, f.Order)++
	}
	addWait(&c.Waits, f.Wait)
}

func thrown(t *operator.Thrown, r WasteReason) *int {
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

// order returns the column of an order outcome. A claimed order that ends without one is unknown.
func order(o *operator.Orders, out OrderOutcome) *int {
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

func addWait(w *operator.Waits, d time.Duration) {
	if w.Buckets == nil {
		w.Buckets = make([]int, len(WaitBounds)+1)
	}
	i, _ := slices.BinarySearch(WaitBounds, d)
	w.Buckets[i]++
	w.Count++
	w.Sum += int(d.Microseconds())
}

// Publication returns all counts since the start, with the next sequence number. Final marks the last publication of
// a regular end.
func (r *Recorder) Publication(now time.Time, final bool) operator.Publication {
	// The rows are read under the lock: a higher sequence never has older counts.
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return operator.Publication{
		Instance: string(r.instance), Start: r.start, Sequence: r.sequence,
		Since: int(r.since.UnixMilli()), Time: int(now.UnixMilli()), Final: final, Rows: r.Rows(),
	}
}

// Rows returns all counts since the start.
func (r *Recorder) Rows() []operator.Row {
	rows := []operator.Row{}
	r.cells.Range(func(k, v any) bool {
		key, c := k.(cellKey), v.(*cell)
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

// OtherWorkspaces is the workspace name of rows that Compact combined; no workspace can have it.
const OtherWorkspaces = "(other)"

// Compact combines the rows with the fewest requests into rows of the workspace Other, by tier and kind, so that a
// publication of many workspaces stays within the object API's limit. All counts are kept.
func Compact(p operator.Publication, rows int) operator.Publication {
	if len(p.Rows) <= rows {
		return p
	}
	sorted := slices.SortedStableFunc(slices.Values(p.Rows), func(a, b operator.Row) int { return cmp.Compare(b.Counts.Asked, a.Counts.Asked) })
	rest := lo.Map(sorted[rows:], func(r operator.Row, _ int) operator.Row {
		r.Workspace = OtherWorkspaces
		return r
	})
	p.Rows = combine(slices.Concat(sorted[:rows], rest))
	return p
}

// combine adds up the rows with equal workspace, tier and kind and sorts them.
func combine(rows []operator.Row) []operator.Row {
	sums := map[cellKey]*operator.Row{}
	for _, r := range rows {
		key := cellKey{core.WorkspaceID(r.Workspace), core.Tier(r.Tier), core.KindID(r.Kind)}
		if sums[key] == nil {
			sums[key] = &operator.Row{Workspace: r.Workspace, Tier: r.Tier, Kind: r.Kind}
		}
		add(&sums[key].Counts, r.Counts)
	}
	out := lo.Map(lo.Values(sums), func(r *operator.Row, _ int) operator.Row { return *r })
	slices.SortFunc(out, compareRows)
	return out
}

// add adds src to dst. Dst must not share its buckets with another value.
func add(dst *operator.Counts, src operator.Counts) {
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
