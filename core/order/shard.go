package order

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/core/object"
	"monsoondale/internal/guard"
)

const (
	maxBatchEntries = 256
	// claimHeadTime is how long a claim stays in the head at rollovers; most orders finish within it.
	claimHeadTime = 10 * time.Minute
	// reservedArchives is the number of archives above MaxArchives that results may still use.
	reservedArchives = 64
	maxCachedBytes   = 16 << 20 // decoded archives, in bytes of their objects
	// writeBurst is the number of writes of a shard that need not wait for the rate after a quiet time.
	writeBurst  = 8
	directBurst = 50
	// resultWait is how long results wait for a claim to share its write when writes are scarce. Claims delay a
	// caller before its order starts, results only after it ended.
	resultWait = 150 * time.Millisecond
	// maxArchiveSpan is how long an archive is extended. It bounds how much longer than the retention time the oldest
	// entry of an archive is kept.
	maxArchiveSpan = time.Hour
)

// pendingWrite is one entry waiting to be written. Its flags are guarded by the shard's mu.
type pendingWrite struct {
	entry     *Entry
	answer    chan answer // buffered
	cancelled bool
	sentAt    time.Time // of the first write that includes the entry and may have taken effect
}

// shard serializes the writes of one head object: one goroutine at a time processes what is waiting.
type shard struct {
	number int

	mu      sync.Mutex
	waiting []*pendingWrite
	running bool
	lastErr error // of the last step, for messages

	claimArrived chan struct{} // signals a claim
	remoteOwner  atomic.Bool   // another instance owns the shard but did not answer

	// Used by the goroutine that set busy.
	head        *Head // nil if unknown
	version     core.Revision
	nextUntried int // lowest archive number that was not tried
	limiter     *rate.Limiter
	unused      *unusedObjects   // of a write whose answer was lost, or nil
	index       map[int][]uint64 // sorted key prefixes by archive number
}

// enqueue adds an entry to the next write of its shard and waits for the outcome.
func (r *Registry) enqueue(ctx context.Context, n int, e *Entry) answer {
	s := &r.shards[n]
	p := &pendingWrite{entry: e, answer: make(chan answer, 1)}
	s.mu.Lock()
	if len(s.waiting) >= r.opts.MaxWaiting && e.State == StateClaimed {
		s.mu.Unlock()
		return answer{err: core.Errorf(core.CodeStoreDown, "%d orders are waiting for the object API", r.opts.MaxWaiting)}
	}
	s.waiting = append(s.waiting, p)
	start := !s.running
	if start && !r.startWorker(s) {
		s.waiting = nil
		s.mu.Unlock()
		return answer{err: core.Errorf(core.CodeStoreDown, "the instance is shutting down")}
	}
	s.running = true
	s.mu.Unlock()
	if e.State == StateClaimed {
		select {
		case s.claimArrived <- struct{}{}:
		default:
		}
	}

	select {
	case a := <-p.answer:
		return a
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.cancelled = true
	select {
	case a := <-p.answer: // answered meanwhile
		return a
	default:
	}
	err := core.Errorf(core.CodeStoreDown, "the object API did not answer in time")
	if s.lastErr != nil {
		err.Detail += ": " + s.lastErr.Error()
	}
	return answer{err: err, mayBeWritten: !p.sentAt.IsZero(), sentAt: p.sentAt}
}

func (r *Registry) startWorker(s *shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.wg.Go(func() { r.processQueue(s) })
	return true
}

// processQueue processes what is waiting until nothing is left or the Book is closed.
func (r *Registry) processQueue(s *shard) {
	bo := &backoff.ExponentialBackOff{InitialInterval: 10 * time.Millisecond, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: 500 * time.Millisecond}
	for headChanged := false; ; {
		if !headChanged {
			r.throttle(s)
		}
		batch := r.nextBatch(s)
		if batch == nil {
			return
		}
		err := r.writeBatch(s, batch)
		s.mu.Lock()
		s.lastErr = err
		if err != nil {
			s.waiting = append(batch, s.waiting...)
		}
		s.mu.Unlock()
		if err == nil {
			bo.Reset()
			continue
		}
		// After a conflict the head in force is known, and would be outdated again after a pause.
		if headChanged = errors.Is(err, errChanged); headChanged {
			continue
		}
		wait := bo.NextBackOff()
		if t := (*object.ThrottledError)(nil); errors.As(err, &t) {
			wait = max(wait, min(t.Retry, time.Second))
		}
		r.sleep(wait)
	}
}

func (r *Registry) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// throttle waits until the rates permit the next write, and longer if only results are waiting and writes are scarce.
func (r *Registry) throttle(s *shard) {
	now := r.opts.Now()
	delay := untilPermitted(s.limiter, now)
	if s.remoteOwner.Load() {
		delay = max(delay, untilPermitted(r.directLimiter, now))
		s.head = nil // others write too: a read costs less than a write that conflicts
	}
	r.sleep(delay)
	if s.limiter.TokensAt(now) >= writeBurst/2 {
		return
	}
	select {
	case <-s.claimArrived:
	default:
	}
	s.mu.Lock()
	onlyResults := len(s.waiting) > 0 && !slices.ContainsFunc(s.waiting, func(p *pendingWrite) bool { return p.entry.State == StateClaimed })
	s.mu.Unlock()
	if onlyResults {
		select {
		case <-s.claimArrived:
		case <-time.After(resultWait):
		case <-r.ctx.Done():
		}
	}
}

// untilPermitted returns the time until a limiter permits one event.
func untilPermitted(l *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - l.TokensAt(now)
	return time.Duration(max(0, missing) / float64(l.Limit()) * float64(time.Second))
}

// nextBatch returns the next entries to write, or nil after it marked the shard idle.
func (r *Registry) nextBatch(s *shard) []*pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(p *pendingWrite) bool { return p.cancelled })
	if len(s.waiting) == 0 || r.ctx.Err() != nil {
		s.running = false
		return nil
	}
	n, size := 0, 0
	for n < len(s.waiting) && n < maxBatchEntries && size < r.opts.HeadBytes {
		size += s.waiting[n].entry.size()
		n++
	}
	batch := slices.Clone(s.waiting[:n])
	s.waiting = slices.Delete(s.waiting, 0, n)
	return batch
}

// errChanged means that the head in force is another than the one that was assumed; the step is repeated with it.
var errChanged = errors.New("the head object changed")

// writeBatch decides a batch with one conditional write at most. On an error nothing was answered, and the batch must be
// tried again; entries that were already written are then recognised by their attempt ids.
func (r *Registry) writeBatch(s *shard, batch []*pendingWrite) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timeout)
	defer cancel()
	justLoaded := s.head == nil
	if justLoaded {
		if err := r.loadHead(ctx, s); err != nil {
			return err
		}
	}
	now := r.opts.Now()
	h := s.head.clone()
	unused := &unusedObjects{}
	if s.unused != nil {
		*unused = *s.unused
	}
	expired, entries := h.expire(now.Add(-r.opts.Retention))
	for _, a := range expired {
		unused.archives = append(unused.archives, a.Number)
	}
	unused.entries = append(unused.entries, entries...)

	full, err := r.rollOver(ctx, s, h, batch, now, unused)
	if err != nil {
		return err
	}
	if err := r.loadIndex(ctx, s, h); err != nil {
		return err
	}

	answers := make([]answer, len(batch))
	var dirty, needsCurrentHead bool
	for i, p := range batch {
		cur, _ := h.find(p.entry.Key)
		if cur == nil {
			if cur, err = r.findArchived(ctx, s, h, p.entry.Key); err != nil {
				return err
			}
		}
		next, write, won := merge(cur, p.entry)
		if write && (full && p.entry.State == StateClaimed || h.size()+next.size() > maxHeadBytes-(64<<10)) {
			answers[i].err = core.Errorf(core.CodeClaimsFull, "claim shard %d holds %d archives", s.number, len(h.Archives))
			continue
		}
		if write {
			h.put(next)
			dirty = true
		}
		needsCurrentHead = needsCurrentHead || !write && !(next.State == StateDone || next.State == StateFailed)
		answers[i].entry, answers[i].won = next, won
	}
	switch {
	case dirty:
		if err := r.writeHead(ctx, s, h, batch); err != nil {
			// The write may have taken effect; clean checks each number against the head then in force.
			s.unused = &unusedObjects{archives: lo.Uniq(unused.archives), orphans: lo.Uniq(unused.orphans)}
			if object.Undetermined(err) {
				s.unused.entries = unused.entries
			}
			return err
		}
		s.unused = nil
		r.deleteUnused(s, h, unused)
	case needsCurrentHead && !justLoaded:
		// The cached head may be outdated; an answer such as "in progress" needs the one in force.
		before := s.version
		if err := r.loadHead(ctx, s); err != nil {
			return err
		}
		if s.version != before {
			return errChanged
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, p := range batch {
		answers[i].sentAt = p.sentAt
		p.answer <- answers[i]
	}
	return nil
}

// loadHead reads the head in force.
func (r *Registry) loadHead(ctx context.Context, s *shard) error {
	s.head = nil
	r.counters.reads.Add(1)
	v, version, err := r.opts.Store.Get(ctx, kindClaim, headName(s.number))
	if errors.Is(err, object.ErrNotFound) {
		s.head, s.version = &Head{}, 0
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read head")
	}
	h, err := DecodeHead(v)
	if err != nil {
		return err
	}
	s.head, s.version = h, version
	return nil
}

// writeHead writes the head on condition that it is still the one that h was derived from.
func (r *Registry) writeHead(ctx context.Context, s *shard, h *Head, batch []*pendingWrite) error {
	v, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	// The send time is read after all waiting and before the write: it starts the validity of the tickets.
	now := r.opts.Now()
	newlySent, ok := s.markSent(batch, now)
	if !ok {
		return errChanged
	}
	s.limiter.ReserveN(now, 1) // commits that go over the rate delay the next ones
	if s.remoteOwner.Load() {
		r.directLimiter.ReserveN(now, 1)
	}
	r.counters.writes.Add(1)
	r.counters.entries.Add(int64(len(batch)))
	version, err := r.opts.Store.Put(ctx, kindClaim, headName(s.number), v, s.version)
	if err == nil {
		s.head, s.version = h, version
		return nil
	}
	if !object.Undetermined(err) {
		s.unmarkSent(newlySent)
	}
	if c := object.Conflict(err); c != nil {
		r.counters.conflicts.Add(1)
		s.head = nil
		if c.Deleted {
			s.head, s.version = &Head{}, 0
		} else if cur, err := DecodeHead(c.Value); err == nil {
			s.head, s.version = cur, c.Version
		}
		return errChanged
	}
	if object.Undetermined(err) && guard.SkipReadBack.Load() {
		s.head = nil
		return nil
	}
	if object.Undetermined(err) {
		r.counters.undetermined.Add(1)
		s.head = nil // read back before anything else is decided
	}
	return errors.Wrap(err, "write head")
}

// markSent records the send time of the first write of each entry and returns the entries that had none. It reports
// false if a waiter gave up meanwhile: that waiter knows that its entry was not written, so it must be left out.
func (s *shard) markSent(batch []*pendingWrite, now time.Time) (newlySent []*pendingWrite, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newlySent = lo.Filter(batch, func(p *pendingWrite, _ int) bool { return p.sentAt.IsZero() })
	if slices.ContainsFunc(newlySent, func(p *pendingWrite) bool { return p.cancelled }) {
		return nil, false
	}
	for _, p := range newlySent {
		p.sentAt = now
	}
	return newlySent, true
}

// unmarkSent withdraws markSent after a write that certainly did not take effect, so that waiters that give up later
// need not void their entries. Those that gave up during the write do so in any case.
func (s *shard) unmarkSent(newlySent []*pendingWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range newlySent {
		p.sentAt = time.Time{}
	}
}

// rollOver moves entries of a full head to a new archive object. The archive is written first; until the head lists
// it, it has no effect. It reports whether the shard has no room for claims.
func (r *Registry) rollOver(ctx context.Context, s *shard, h *Head, batch []*pendingWrite, now time.Time, unused *unusedObjects) (full bool, err error) {
	if h.size() <= r.opts.HeadBytes {
		return false, nil
	}
	hasResults := slices.ContainsFunc(batch, func(p *pendingWrite) bool { return p.entry.State != StateClaimed })
	if len(h.Archives) >= r.opts.MaxArchives && (!hasResults || len(h.Archives) >= r.opts.MaxArchives+reservedArchives) {
		return true, nil
	}
	full = len(h.Archives) >= r.opts.MaxArchives
	archive, kept := h.split(now.Add(-claimHeadTime), r.opts.HeadBytes/2)
	if len(archive) == 0 {
		return full, nil
	}
	info := ArchiveInfo{OldestTime: archive[0].Time}
	for _, e := range archive {
		info.OldestTime, info.NewestTime = min(info.OldestTime, e.Time), max(info.NewestTime, e.Time)
	}
	// The last archive is extended while it is small and young: archives are many times larger than heads, so that
	// few of them are listed, and yet each write of a head is short. Being immutable, it is replaced by a new one.
	if last, ok := lo.Last(h.Archives); ok && last.Bytes+h.size() <= r.opts.ArchiveBytes && now.UnixMilli()-last.OldestTime < maxArchiveSpan.Milliseconds() {
		old, err := r.loadArchive(ctx, s, last.Number)
		if err != nil {
			s.head = nil
			return full, err
		}
		archive = mergeArchived(old.Entries, archive)
		info.OldestTime, info.NewestTime = min(info.OldestTime, last.OldestTime), max(info.NewestTime, last.NewestTime)
		unused.orphans = append(unused.orphans, last.Number)
		h.Archives = h.Archives[:len(h.Archives)-1]
	}
	a := &Head{Entries: archive}
	v, err := json.Marshal(a)
	if err != nil {
		return full, errors.Wrap(err, "encode archive")
	}
	n := max(h.NextArchive, s.nextUntried)
	for ; ; n++ {
		r.counters.writes.Add(1)
		_, err := r.opts.Store.Put(ctx, kindClaim, archiveName(s.number, n), v, 0)
		if err == nil {
			break
		}
		c := object.Conflict(err)
		if c == nil {
			return full, errors.Wrap(err, "write archive")
		}
		// The archive was left by a rollover that ended before its head write, or belongs to one in progress.
		// With the same content it can be listed; otherwise another number is used, because replacing the
		// object could change an archive that the other writer is about to list.
		if bytes.Equal(c.Value, v) {
			break
		}
		s.nextUntried = n + 1
	}
	r.counters.rollovers.Add(1)
	for i := h.NextArchive; i < n; i++ {
		unused.orphans = append(unused.orphans, i)
	}
	info.Number, info.Bytes = n, len(v)
	h.Archives = append(h.Archives, info)
	h.NextArchive = n + 1
	h.Entries = slices.Clone(kept)
	s.index[n] = a.keyPrefixes()
	r.archives.add(archiveName(s.number, n), a, len(v))
	return full, nil
}

// mergeArchived joins the entries of an archive with later ones, which replace those of the same key.
func mergeArchived(old, later []*Entry) []*Entry {
	replaced := lo.SliceToMap(later, func(e *Entry) (string, bool) { return e.Key, true })
	return append(lo.Filter(old, func(e *Entry, _ int) bool { return !replaced[e.Key] }), later...)
}

func keyPrefix(key string) uint64 {
	b, err := hex.DecodeString(key)
	if err != nil || len(b) < 16 {
		return 0 // entries are checked when they are decoded
	}
	return binary.BigEndian.Uint64(b[8:]) // the first byte is common to the keys of a shard
}

func (h *Head) keyPrefixes() []uint64 {
	out := make([]uint64, 0, len(h.Entries))
	for _, e := range h.Entries {
		out = append(out, keyPrefix(e.Key))
	}
	slices.Sort(out)
	return out
}

// loadIndex reads the archives whose keys are not known yet. A new owner of a shard does this once; 8 at a time
// keep it within a few seconds for 2048 archives without using up the API's read rate.
func (r *Registry) loadIndex(ctx context.Context, s *shard, h *Head) error {
	listed := make(map[int]bool, len(h.Archives))
	var missing []int
	for _, a := range h.Archives {
		listed[a.Number] = true
		if s.index[a.Number] == nil {
			missing = append(missing, a.Number)
		}
	}
	for n := range s.index {
		if !listed[n] {
			delete(s.index, n)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(8)
	for _, n := range missing {
		g.Go(func() error {
			a, err := r.loadArchive(ctx, s, n)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			s.index[n] = a.keyPrefixes()
			return nil
		})
	}
	err := g.Wait()
	if err != nil {
		s.head = nil // an archive may have been dropped since the head was read
	}
	return err
}

// findArchived returns the newest findArchived entry of a key, or nil.
func (r *Registry) findArchived(ctx context.Context, s *shard, h *Head, key string) (*Entry, error) {
	p := keyPrefix(key)
	for _, a := range slices.Backward(h.Archives) {
		if _, ok := slices.BinarySearch(s.index[a.Number], p); !ok {
			continue
		}
		ar, err := r.loadArchive(ctx, s, a.Number)
		if err != nil {
			s.head = nil
			return nil, err
		}
		if e, _ := ar.find(key); e != nil {
			return e, nil
		}
	}
	return nil, nil
}

func (r *Registry) loadArchive(ctx context.Context, s *shard, n int) (*Head, error) {
	name := archiveName(s.number, n)
	if a := r.archives.get(name); a != nil {
		return a, nil
	}
	r.counters.reads.Add(1)
	v, _, err := r.opts.Store.Get(ctx, kindClaim, name)
	if err != nil {
		return nil, errors.Wrapf(err, "read archive %s", name)
	}
	a, err := DecodeHead(v)
	if err != nil {
		return nil, errors.Wrapf(err, "archive %s", name)
	}
	r.archives.add(name, a, len(v))
	return a, nil
}

// archiveCache caches decoded archive objects, which are immutable. The oldest are dropped above cachedBytes.
type archiveCache struct {
	mu    sync.Mutex
	items map[string]*Head
	sizes map[string]int
	order []string
	bytes int
}

func (c *archiveCache) get(name string) *Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[name]
}

func (c *archiveCache) add(name string, h *Head, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		c.items, c.sizes = map[string]*Head{}, map[string]int{}
	}
	if c.items[name] != nil {
		return
	}
	c.items[name], c.sizes[name] = h, size
	c.order = append(c.order, name)
	c.bytes += size
	for c.bytes > maxCachedBytes && len(c.order) > 1 {
		old := c.order[0]
		c.order = c.order[1:]
		c.bytes -= c.sizes[old]
		delete(c.items, old)
		delete(c.sizes, old)
	}
}

// unusedObjects lists the objects that are unused once a head write took effect.
type unusedObjects struct {
	archives []int    // dropped after the retention time, with the result objects of their entries
	orphans  []int    // replaced, or skipped by a rollover
	entries  []*Entry // dropped head entries, for their result objects
}

// deleteUnused deletes garbage in the background. Objects that remain after a failure cost space only.
func (r *Registry) deleteUnused(s *shard, h *Head, unused *unusedObjects) {
	// An archive number below next that the head in force doesn't list can never be listed again.
	listed := lo.SliceToMap(h.Archives, func(a ArchiveInfo) (int, bool) { return a.Number, true })
	unlisted := func(n int, _ int) bool { return n < h.NextArchive && !listed[n] }
	archives, orphans, entries := lo.Filter(unused.archives, unlisted), lo.Filter(unused.orphans, unlisted), unused.entries
	if len(archives)+len(orphans)+len(entries) == 0 {
		return
	}
	r.counters.dropped.Add(int64(len(archives)))
	r.startTask(func() {
		for _, n := range archives {
			ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timeout)
			if a, err := r.loadArchive(ctx, s, n); err == nil {
				entries = append(entries, a.Entries...)
			}
			cancel()
			r.deleteObject(kindClaim, archiveName(s.number, n))
		}
		for _, n := range orphans {
			r.deleteObject(kindClaim, archiveName(s.number, n))
		}
		for _, e := range entries {
			if e.ResultObject != "" && e.ResultObject != resultNotKept {
				r.deleteObject(kindResult, e.ResultObject)
			}
		}
	})
}

func (r *Registry) deleteObject(kind, name string) {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timeout)
	defer cancel()
	r.counters.reads.Add(1)
	_, version, err := r.opts.Store.Get(ctx, kind, name)
	if err != nil {
		return
	}
	r.counters.writes.Add(1)
	_, _ = r.opts.Store.Delete(ctx, kind, name, version) // best effort, see clean
}
