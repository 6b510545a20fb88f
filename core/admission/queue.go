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
	estimatedTokens float64 // to compute and generate
	slotSeconds     float64 // estimated time in a slot
	caller          *caller // nil for items in tierQueue.head
	uncached        float64 // prompt tokens that no endpoint has cached, 0 if not estimated yet
	pushedBefore    float64 // caller.pushedSeconds before this item was added
	removed         bool    // granted or withdrawn, but still in caller.items
	granted         bool
	victimGrant     core.GrantID   // grant that is being suspended to make room for this item
	victimRequest   core.RequestID // request of that grant
}

// tierQueue is the queue of one tier. Items in head (resumed requests, and requests whose dial was refused) come first.
// The others are served by start-time fair queueing over workspaces, and over callers within a workspace.
type tierQueue struct {
	head         []*item
	workspaces   map[core.WorkspaceID]*workspace
	active       flowHeap[*workspace] // workspaces with queued items, by start tag
	virtualTime  float64              // start tag of the last item served
	activeWeight float64              // sum over the active workspaces
	count        int
	slotSeconds  float64 // sum over all items
}

// workspace is the fair-queueing state of a workspace in a tier.
type workspace struct {
	id          core.WorkspaceID
	weight      float64
	startTag    float64 // start tag of its next item
	virtualTime float64 // of its callers
	callers     map[core.CallerID]*caller
	active      flowHeap[*caller]
	heapIndex   int // in tierQueue.active, -1 if idle
	idleSince   time.Time
}

// caller is the fair-queueing state of a caller within a workspace.
type caller struct {
	id            core.CallerID
	workspace     *workspace
	startTag      float64
	items         []*item
	firstLive     int     // index of the first item that may not have been removed
	liveCount     int     // items not removed
	slotSeconds   float64 // sum over the live items
	pushedSeconds float64 // sum over all items pushed since it was idle, less withdrawn ones at the tail
	servedSeconds float64 // sum over all items granted, and withdrawn ones not at the tail
	heapIndex     int
	idleSince     time.Time
	running       int // running requests
}

func newTierQueue() *tierQueue {
	return &tierQueue{workspaces: map[core.WorkspaceID]*workspace{}}
}

// callerOf returns the state of a caller, which it creates if needed.
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
	c := w.callers[key.caller]
	if c == nil {
		c = &caller{id: key.caller, workspace: w, heapIndex: -1, startTag: w.virtualTime}
		w.callers[key.caller] = c
	}
	return c
}

// pushHead adds an item that is served before the fair queues.
func (q *tierQueue) pushHead(it *item) {
	q.head = append(q.head, it)
	q.count++
	q.slotSeconds += it.slotSeconds
}

// push adds an item to its caller's queue.
func (q *tierQueue) push(it *item, key flowKey) {
	c := q.callerOf(key)
	w := c.workspace
	it.caller = c
	it.pushedBefore = c.pushedSeconds
	c.pushedSeconds += it.slotSeconds
	c.items = append(c.items, it)
	c.liveCount++
	c.slotSeconds += it.slotSeconds
	q.count++
	q.slotSeconds += it.slotSeconds
	if c.heapIndex < 0 {
		c.startTag = max(c.startTag, w.virtualTime)
		heap.Push(&w.active, c)
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

// maxScannedFlows is the maximum number of workspaces, and of callers of each, that peekOther examines.
const maxScannedFlows = 32

// peekOther returns the next item of the fair queues whose caller is not skipped, or nil. It examines a bounded number of
// flows in heap order, which approximates the order of their start tags.
func (q *tierQueue) peekOther(skip func(*caller) bool) *item {
	var best *caller
	for _, w := range q.active[:min(maxScannedFlows, len(q.active))] {
		if best != nil && w.startTag > best.workspace.startTag {
			continue
		}
		for _, c := range w.active[:min(maxScannedFlows, len(w.active))] {
			if skip(c) {
				continue
			}
			if best == nil || w.startTag < best.workspace.startTag || w == best.workspace && c.startTag < best.startTag {
				best = c
			}
		}
	}
	if best == nil {
		return nil
	}
	return best.firstItem()
}

// firstItem returns the caller's first item. The caller must have queued items.
func (c *caller) firstItem() *item {
	for c.items[c.firstLive].removed {
		c.firstLive++
	}
	return c.items[c.firstLive]
}

// charge advances the virtual time and the start tags of the flow of a granted item.
func (q *tierQueue) charge(it *item, key flowKey) {
	c := it.caller
	if c == nil {
		c = q.callerOf(key)
	} else {
		q.virtualTime = max(q.virtualTime, c.workspace.startTag)
		c.workspace.virtualTime = max(c.workspace.virtualTime, c.startTag)
		c.servedSeconds += it.slotSeconds
	}
	it.granted = true
	q.advanceTags(c, it.estimatedTokens)
}

// correctCharge charges a flow the difference between actual and estimated tokens.
func (q *tierQueue) correctCharge(key flowKey, diff float64) {
	if w := q.workspaces[key.workspace]; w != nil {
		if c := w.callers[key.caller]; c != nil {
			q.advanceTags(c, diff)
		}
	}
}

// advanceTags adds tokens to the start tags of a caller and its workspace.
func (q *tierQueue) advanceTags(c *caller, cost float64) {
	c.startTag += cost
	c.workspace.startTag += cost / c.workspace.weight
	if c.heapIndex >= 0 {
		heap.Fix(&c.workspace.active, c.heapIndex)
	}
	if c.workspace.heapIndex >= 0 {
		heap.Fix(&q.active, c.workspace.heapIndex)
	}
}

// remove takes an item out of the queue.
func (q *tierQueue) remove(now time.Time, it *item) {
	q.count--
	q.slotSeconds -= it.slotSeconds
	if q.count == 0 {
		q.slotSeconds = 0 // discards accumulated rounding errors
	}
	c := it.caller
	if c == nil {
		for i, x := range q.head {
			if x == it {
				q.head = append(q.head[:i], q.head[i+1:]...)
				break
			}
		}
		return
	}
	it.removed = true
	c.liveCount--
	c.slotSeconds -= it.slotSeconds
	if !it.granted {
		if c.items[len(c.items)-1] == it {
			c.pushedSeconds -= it.slotSeconds
		} else {
			c.servedSeconds += it.slotSeconds
		}
	}
	if c.liveCount > 0 {
		if len(c.items) > 32 && c.liveCount < len(c.items)/2 {
			c.compact()
		}
		return
	}
	c.items, c.firstLive, c.slotSeconds, c.pushedSeconds, c.servedSeconds = nil, 0, 0, 0, 0
	c.idleSince = now
	heap.Remove(&c.workspace.active, c.heapIndex)
	if len(c.workspace.active) == 0 {
		c.workspace.idleSince = now
		q.activeWeight -= c.workspace.weight
		heap.Remove(&q.active, c.workspace.heapIndex)
	}
}

// compact drops the removed items.
func (c *caller) compact() {
	kept := make([]*item, 0, c.liveCount)
	for _, it := range c.items {
		if !it.removed {
			kept = append(kept, it)
		}
	}
	c.items, c.firstLive = kept, 0
}

// workAhead estimates the slot seconds of the tier that are served before the item. With fair queueing this is at most
// the earlier work of its own caller, multiplied by the number of flows that share the tier.
func (q *tierQueue) workAhead(it *item) float64 {
	c := it.caller
	if c == nil {
		ahead := 0.0
		for _, x := range q.head {
			if x == it {
				return ahead
			}
			ahead += x.slotSeconds
		}
		return ahead
	}
	ownAhead := max(0, it.pushedBefore-c.servedSeconds)
	return min(q.slotSeconds-it.slotSeconds, q.scaleToTier(c, ownAhead))
}

// scaleToTier estimates the slot seconds that the whole tier is served in the time in which the caller is served
// callerSeconds.
func (q *tierQueue) scaleToTier(c *caller, callerSeconds float64) float64 {
	callers := max(1, len(c.workspace.active))
	weightRatio := max(q.activeWeight, c.workspace.weight) / c.workspace.weight
	// Each of the other flows has about one item ahead, even of an item that is its caller's first.
	meanSeconds := 0.0
	if q.count > 0 {
		meanSeconds = q.slotSeconds / float64(q.count)
	}
	return callerSeconds*float64(callers)*weightRatio + meanSeconds*float64(callers-1)*weightRatio/2
}

// shedCandidate returns the item to shed first when the queue is full: the last one of the caller with the most queued
// work per weight, or nil.
func (q *tierQueue) shedCandidate() *item {
	var worst *caller
	for _, w := range q.active {
		for _, c := range w.active {
			if worst == nil || c.slotSeconds*worst.workspace.weight > worst.slotSeconds*w.weight {
				worst = c
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

// forEach calls f for every queued item until f returns false. The queue must not change meanwhile.
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

// expireIdle removes the state of flows that have been idle for longer than the given time, including their charges.
func (q *tierQueue) expireIdle(now time.Time, after time.Duration) {
	for id, w := range q.workspaces {
		for callerID, c := range w.callers {
			if c.heapIndex < 0 && c.running == 0 && now.Sub(c.idleSince) > after {
				delete(w.callers, callerID)
			}
		}
		if w.heapIndex < 0 && len(w.callers) == 0 && now.Sub(w.idleSince) > after {
			delete(q.workspaces, id)
		}
	}
}

// heapEntry is a workspace or a caller in a flowHeap.
type heapEntry[F any] interface {
	less(F) bool        // by start tag, then by id to make the order deterministic
	heapPosition() *int // index in its heap, -1 if not in a heap
}

func (w *workspace) less(o *workspace) bool {
	return w.startTag < o.startTag || w.startTag == o.startTag && w.id < o.id
}

func (w *workspace) heapPosition() *int { return &w.heapIndex }

func (c *caller) less(o *caller) bool {
	return c.startTag < o.startTag || c.startTag == o.startTag && c.id < o.id
}

func (c *caller) heapPosition() *int { return &c.heapIndex }

// flowHeap is a heap of active flows, ordered by start tag. It implements heap.Interface.
type flowHeap[F heapEntry[F]] []F

func (h flowHeap[F]) Len() int           { return len(h) }
func (h flowHeap[F]) Less(i, j int) bool { return h[i].less(h[j]) }

func (h flowHeap[F]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapPosition(), *h[j].heapPosition() = i, j
}

func (h *flowHeap[F]) Push(x any) {
	entry := x.(F)
	*entry.heapPosition() = len(*h)
	*h = append(*h, entry)
}

func (h *flowHeap[F]) Pop() any {
	old := *h
	entry := old[len(old)-1]
	clear(old[len(old)-1:]) // drops the reference for the garbage collector
	*h = old[:len(old)-1]
	*entry.heapPosition() = -1
	return entry
}
