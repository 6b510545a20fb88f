package admission

import (
	"container/heap"
	"time"

	"monsoondale/core"
)

// item is a queued ask.
type item struct {
	ask             *Ask
	queuedAt        time.Time
	estimatedTokens float64 // estimated tokens
	slotSeconds     float64 // estimated slot seconds
	caller          *caller // nil for items at the head of the tier
	uncached        float64 // prompt tokens not cached anywhere, 0 if not estimated yet
	pushedBefore    float64 // slot seconds that its caller had queued before it, as of caller.served
	removed         bool    // granted or withdrawn; still in its caller's slice
	granted         bool
	victimGrant     core.GrantID   // grant that is being suspended in favour of this item
	victimRequest   core.RequestID // its request
}

// tierQueue is the queue of one tier: items at its head (resumed requests, and requests whose dial was refused),
// then start-time fair queueing over workspaces, and over the callers within a workspace.
type tierQueue struct {
	head         []*item
	workspaces   map[core.WorkspaceID]*workspace
	active       flowHeap[*workspace] // workspaces with queued items, by start tag
	virtualTime  float64              // virtual time: start tag of the last service
	activeWeight float64              // sum over active
	count        int
	slotSeconds  float64 // slot seconds of all items
}

type workspace struct {
	id          core.WorkspaceID
	weight      float64
	startTag    float64 // tag of its next service
	virtualTime float64 // virtual time of its callers
	callers     map[core.CallerID]*caller
	active      flowHeap[*caller]
	heapIndex   int // in tierQueue.active, -1 if idle
	idleSince   time.Time
}

type caller struct {
	id            core.CallerID
	workspace     *workspace
	startTag      float64
	items         []*item
	firstLive     int     // index of the first item that may be live
	liveCount     int     // live items
	slotSeconds   float64 // slot seconds of its live items
	pushedSeconds float64 // slot seconds of all items ever pushed, less those withdrawn
	servedSeconds float64 // slot seconds of all items granted
	heapIndex     int
	idleSince     time.Time
	running       int // running requests
}

func newTierQueue() *tierQueue {
	return &tierQueue{workspaces: map[core.WorkspaceID]*workspace{}}
}

// flow returns the records of a caller, created if needed.
func (q *tierQueue) callerOf(key flowKey) *caller {
	w := q.workspaces[key.workspace]
	if w == nil {
		w = &workspace{id: key.workspace, weight: float64(max(1, key.weight)), callers: map[core.CallerID]*caller{}, heapIndex: -1, startTag: q.virtualTime}
		q.workspaces[key.workspace] = w
	}
	if n := float64(max(1, key.weight)); n != w.weight {
		if w.heapIndex >= 0 {
			q.activeWeight += n - w.weight
		}
		w.weight = n
	}
	f := w.callers[key.caller]
	if f == nil {
		f = &caller{id: key.caller, workspace: w, heapIndex: -1, startTag: w.virtualTime}
		w.callers[key.caller] = f
	}
	return f
}

// pushHead adds an item to those that are served before the fair queues.
func (q *tierQueue) pushHead(it *item) {
	q.head = append(q.head, it)
	q.count++
	q.slotSeconds += it.slotSeconds
}

// push adds an item to its caller's queue.
func (q *tierQueue) push(it *item, key flowKey) {
	f := q.callerOf(key)
	w := f.workspace
	it.caller = f
	it.pushedBefore = f.pushedSeconds
	f.pushedSeconds += it.slotSeconds
	f.items = append(f.items, it)
	f.liveCount++
	f.slotSeconds += it.slotSeconds
	q.count++
	q.slotSeconds += it.slotSeconds
	if f.heapIndex < 0 {
		f.startTag = max(f.startTag, w.virtualTime)
		heap.Push(&w.active, f)
	}
	if w.heapIndex < 0 {
		w.startTag = max(w.startTag, q.virtualTime)
		q.activeWeight += w.weight
		heap.Push(&q.active, w)
	}
}

// peek returns the next item of the fair queues, or nil.
func (q *tierQueue) peek() *item {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].active[0].firstItem()
}

// flowScan bounds the workspaces, and the callers of each, that peekOther looks at.
const maxScannedFlows = 32

// peekOther returns the next item of the fair queues that does not belong to a caller to skip, or nil. It looks at a
// bounded number of flows, in the order of their heaps, which is about that of their tags.
func (q *tierQueue) peekOther(skip func(*caller) bool) *item {
	var best *caller
	for _, w := range q.active[:min(maxScannedFlows, len(q.active))] {
		if best != nil && w.startTag > best.workspace.startTag {
			continue
		}
		for _, f := range w.active[:min(maxScannedFlows, len(w.active))] {
			if skip(f) {
				continue
			}
			if best == nil || w.startTag < best.workspace.startTag || w == best.workspace && f.startTag < best.startTag {
				best = f
			}
		}
	}
	if best == nil {
		return nil
	}
	return best.firstItem()
}

// next returns the caller's first item. It must have one.
func (f *caller) firstItem() *item {
	for f.items[f.firstLive].removed {
		f.firstLive++
	}
	return f.items[f.firstLive]
}

// charge advances the tags of the flow of an item that is granted.
func (q *tierQueue) charge(it *item, key flowKey) {
	f := it.caller
	if f == nil {
		f = q.callerOf(key)
	} else {
		q.virtualTime = max(q.virtualTime, f.workspace.startTag)
		f.workspace.virtualTime = max(f.workspace.virtualTime, f.startTag)
		f.servedSeconds += it.slotSeconds
	}
	it.granted = true
	q.advanceTags(f, it.estimatedTokens)
}

// correct charges a flow the difference between used and estimated tokens.
func (q *tierQueue) correctCharge(key flowKey, diff float64) {
	if w := q.workspaces[key.workspace]; w != nil {
		if f := w.callers[key.caller]; f != nil {
			q.advanceTags(f, diff)
		}
	}
}

func (q *tierQueue) advanceTags(f *caller, cost float64) {
	f.startTag += cost
	f.workspace.startTag += cost / f.workspace.weight
	if f.heapIndex >= 0 {
		heap.Fix(&f.workspace.active, f.heapIndex)
	}
	if f.workspace.heapIndex >= 0 {
		heap.Fix(&q.active, f.workspace.heapIndex)
	}
}

// remove takes an item out of the queue.
func (q *tierQueue) remove(now time.Time, it *item) {
	q.count--
	q.slotSeconds -= it.slotSeconds
	if q.count == 0 {
		q.slotSeconds = 0 // removes rounding errors
	}
	f := it.caller
	if f == nil {
		for i, x := range q.head {
			if x == it {
				q.head = append(q.head[:i], q.head[i+1:]...)
				break
			}
		}
		return
	}
	it.removed = true
	f.liveCount--
	f.slotSeconds -= it.slotSeconds
	if !it.granted {
		if f.items[len(f.items)-1] == it {
			f.pushedSeconds -= it.slotSeconds
		} else {
			f.servedSeconds += it.slotSeconds
		}
	}
	if f.liveCount > 0 {
		if len(f.items) > 32 && f.liveCount < len(f.items)/2 {
			f.compact()
		}
		return
	}
	f.items, f.firstLive, f.slotSeconds, f.pushedSeconds, f.servedSeconds = nil, 0, 0, 0, 0
	f.idleSince = now
	heap.Remove(&f.workspace.active, f.heapIndex)
	if len(f.workspace.active) == 0 {
		f.workspace.idleSince = now
		q.activeWeight -= f.workspace.weight
		heap.Remove(&q.active, f.workspace.heapIndex)
	}
}

func (f *caller) compact() {
	kept := make([]*item, 0, f.liveCount)
	for _, it := range f.items {
		if !it.removed {
			kept = append(kept, it)
		}
	}
	f.items, f.firstLive = kept, 0
}

// ahead estimates the slot seconds of the tier that are served before the item. In fair queueing the work in
// front of an item is at most its own caller's earlier work, multiplied by the number of flows that share.
func (q *tierQueue) workAhead(it *item) float64 {
	f := it.caller
	if f == nil {
		h := 0.0
		for _, x := range q.head {
			if x == it {
				return h
			}
			h += x.slotSeconds
		}
		return h
	}
	own := max(0, it.pushedBefore-f.servedSeconds)
	return min(q.slotSeconds-it.slotSeconds, q.scaleToTier(f, own))
}

// shared scales the work of one caller to that of the tier in the time in which it is served.
func (q *tierQueue) scaleToTier(f *caller, own float64) float64 {
	callers := max(1, len(f.workspace.active))
	share := max(q.activeWeight, f.workspace.weight) / f.workspace.weight
	// The other flows have about one item each in front of an item without predecessors.
	mean := 0.0
	if q.count > 0 {
		mean = q.slotSeconds / float64(q.count)
	}
	return own*float64(callers)*share + mean*float64(callers-1)*share/2
}

// longest returns the last item of the caller with the most queued work per weight, or nil; it is dropped first when
// the queue is full.
func (q *tierQueue) shedCandidate() *item {
	var worst *caller
	for _, w := range q.active {
		for _, f := range w.active {
			if worst == nil || f.slotSeconds*worst.workspace.weight > worst.slotSeconds*w.weight {
				worst = f
			}
		}
	}
	if worst == nil {
		return nil
	}
	for i := len(worst.items) - 1; i >= worst.firstLive; i-- {
		if !worst.items[i].removed {
			return worst.items[i]
		}
	}
	return nil
}

// each calls f for every queued item until it returns false. The queue must not change meanwhile.
func (q *tierQueue) forEach(f func(*item) bool) {
	for _, it := range q.head {
		if !f(it) {
			return
		}
	}
	for _, w := range q.active {
		for _, c := range w.active {
			for _, it := range c.items[c.firstLive:] {
				if !it.removed && !f(it) {
					return
				}
			}
		}
	}
}

// expire drops the records of flows that have been idle for a time, together with their debts.
func (q *tierQueue) expireIdle(now time.Time, after time.Duration) {
	for id, w := range q.workspaces {
		for cid, f := range w.callers {
			if f.heapIndex < 0 && f.running == 0 && now.Sub(f.idleSince) > after {
				delete(w.callers, cid)
			}
		}
		if w.heapIndex < 0 && len(w.callers) == 0 && now.Sub(w.idleSince) > after {
			delete(q.workspaces, id)
		}
	}
}

// entry is a workspace or a caller that has queued items.
type heapEntry[F any] interface {
	less(F) bool        // by start tag; the id makes the order the same on every run
	heapPosition() *int // index in its heap, -1 if it is in none
}

func (w *workspace) less(o *workspace) bool {
	return w.startTag < o.startTag || w.startTag == o.startTag && w.id < o.id
}

func (w *workspace) heapPosition() *int { return &w.heapIndex }

func (f *caller) less(o *caller) bool {
	return f.startTag < o.startTag || f.startTag == o.startTag && f.id < o.id
}

func (f *caller) heapPosition() *int { return &f.heapIndex }

// flowHeap implements heap.Interface.
type flowHeap[F heapEntry[F]] []F

func (h flowHeap[F]) Len() int           { return len(h) }
func (h flowHeap[F]) Less(i, j int) bool { return h[i].less(h[j]) }

func (h flowHeap[F]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapPosition(), *h[j].heapPosition() = i, j
}

func (h *flowHeap[F]) Push(x any) {
	f := x.(F)
	*f.heapPosition() = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[F]) Pop() any {
	old := *h
	f := old[len(old)-1]
	clear(old[len(old)-1:]) // lets the flow be collected
	*h = old[:len(old)-1]
	*f.heapPosition() = -1
	return f
}
