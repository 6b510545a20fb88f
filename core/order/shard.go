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
	"monsoondale/internal/testhook"
)

const (
	maxBatchEntries = 256
	// claimHeadTime is the age up to which rollovers leave a claim in the head; most orders finish within it.
	claimHeadTime = 10 * time.Minute
	// reservedArchives is the number of archives above MaxArchives that are reserved for results.
	reservedArchives = 64
	maxCachedBytes   = 16 << 20 // total size of the cached archive objects
	writeBurst       = 8        // burst of the rate limit of one shard, in writes
	directBurst      = 50       // burst of the rate limit of direct writes, in writes
	// resultWait is how long a batch of results waits for a claim to share its write when less than half of
	// writeBurst is left. A delayed claim holds up an order before it starts, a delayed result only after it ended.
	resultWait = 150 * time.Millisecond
	// maxWriteGap bounds the gap that an instance leaves after a write, see throttle. With a longer one, claims would take
	// too long at an object API that needs most of a second for each write.
	maxWriteGap = 150 * time.Millisecond
	// maxArchiveSpan is the age of the oldest entry up to which an archive is extended. It bounds how much longer than
	// the retention time that entry is kept.
	maxArchiveSpan = time.Hour
)

// pendingWrite is an entry that waits to be written. The fields cancelled and sentAt are guarded by the shard's mu.
type pendingWrite struct {
	entry     *Entry
	answer    chan answer // buffered
	cancelled bool
	sentAt    time.Time // of the first write of the entry that may have taken effect; zero if there is none
	headRead  bool      // the shard's head was read after the entry arrived; used by processQueue only
}

// shard is a claim shard. At most one goroutine at a time (processQueue) writes its head object.
type shard struct {
	number int

	mu      sync.Mutex
	waiting []*pendingWrite
	running bool  // processQueue is running
	lastErr error // of the last batch, for error messages

	claimArrived chan struct{} // wakes throttle
	remoteOwner  atomic.Bool   // another instance owns the shard but did not respond

	// Used by processQueue only.
	head        *Head         // nil if unknown
	version     core.Revision // of head
	nextUntried int           // lowest archive number that no write was tried with
	gapEnd      time.Time     // end of the gap after the last write that took effect
	limiter     *rate.Limiter
	unused      *unusedObjects   // left over from a failed head write, or nil
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
	case a := <-p.answer: // answered in the meantime
		return a
	default:
	}
	err := core.Errorf(core.CodeStoreDown, "the object API did not answer in time")
	if s.lastErr != nil {
		err.Detail += ": " + s.lastErr.Error()
	}
	return answer{err: err, mayBeWritten: !p.sentAt.IsZero(), sentAt: p.sentAt}
}

// startWorker starts processQueue. It returns false if the Registry is closed.
func (r *Registry) startWorker(s *shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.wg.Go(func() { r.processQueue(s) })
	return true
}

// processQueue writes the waiting entries in batches until none is left or the Registry is closed.
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
		// After a conflict the current head is known. A pause would only make it outdated again.
		if headChanged = errors.Is(err, errChanged); headChanged {
			continue
		}
		if err == nil {
			bo.Reset()
			continue
		}
		wait := bo.NextBackOff()
		if t := (*object.ThrottledError)(nil); errors.As(err, &t) {
			wait = max(wait, min(t.Retry, time.Second))
		}
		r.sleep(wait)
	}
}

// sleep waits for d or until the Registry is closed.
func (r *Registry) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// throttle waits until the rate limits permit the next write, and until the gap after the last write has passed: without
// it, the instance that won a write would always win the next one too, because others learn the new version no earlier than
// it does and need as long as it does to write. If only results are waiting and less than half of writeBurst is left, it
// also waits for a claim, for up to resultWait.
func (r *Registry) throttle(s *shard) {
	now := r.opts.Now()
	delay := max(untilPermitted(s.limiter, now), min(s.gapEnd.Sub(now), maxWriteGap))
	if s.remoteOwner.Load() {
		delay = max(delay, untilPermitted(r.directLimiter, now))
		s.head = nil // other instances write too: a read is cheaper than a conflicting write
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

// untilPermitted returns how long it takes until the limiter permits an event.
func untilPermitted(l *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - l.TokensAt(now)
	return time.Duration(max(0, missing) / float64(l.Limit()) * float64(time.Second))
}

// nextBatch removes and returns the next entries to write. If there are none, it clears running and returns nil.
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

// errChanged means that a batch must be repeated at once, because the head object or the batch itself changed.
var errChanged = errors.New("the head object changed")

// writeBatch applies a batch to the head with at most one conditional write, and answers its waiters. After an error,
// none was answered and the batch must be retried; entries that were written nevertheless are then recognised by their
// attempt ids.
func (r *Registry) writeBatch(s *shard, batch []*pendingWrite) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timeout)
	defer cancel()
	if s.head == nil {
		if err := r.loadHead(ctx, s, batch); err != nil {
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
		needsCurrentHead = needsCurrentHead || !write && !p.headRead && !(next.State == StateDone || next.State == StateFailed)
		answers[i].entry, answers[i].won = next, won
	}
	switch {
	case dirty:
		if err := r.writeHead(ctx, s, h, batch); err != nil {
			// The write may have taken effect: deleteUnused will check each archive number against the head that is
			// then current.
			s.unused = &unusedObjects{archives: lo.Uniq(unused.archives), orphans: lo.Uniq(unused.orphans)}
			if object.Undetermined(err) {
				s.unused.entries = unused.entries
			}
			return err
		}
		s.unused = nil
		r.deleteUnused(s, h, unused)
	case needsCurrentHead:
		// The cached head may be outdated, and an answer such as "in progress" must rest on one that was read after the
		// question. A head that changes all the time would never be the same in two reads.
		before := s.version
		if err := r.loadHead(ctx, s, batch); err != nil {
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

// loadHead reads the current head for a batch.
func (r *Registry) loadHead(ctx context.Context, s *shard, batch []*pendingWrite) error {
	s.head = nil
	r.counters.reads.Add(1)
	v, version, err := r.opts.Store.Get(ctx, kindClaim, headName(s.number))
	if errors.Is(err, object.ErrNotFound) {
		s.setHead(&Head{}, 0, batch)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read head")
	}
	h, err := DecodeHead(v)
	if err != nil {
		return err
	}
	s.setHead(h, version, batch)
	return nil
}

// setHead sets the head to one that was read for a batch.
func (s *shard) setHead(h *Head, version core.Revision, batch []*pendingWrite) {
	s.head, s.version = h, version
	for _, p := range batch {
		p.headRead = true
	}
}

// writeHead replaces the head with h, on condition that the stored head is still the one that h was derived from.
func (r *Registry) writeHead(ctx context.Context, s *shard, h *Head, batch []*pendingWrite) error {
	v, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	// The validity of the tickets starts here, after all waiting and just before the write.
	now := r.opts.Now()
	newlySent, ok := s.markSent(batch, now)
	if !ok {
		return errChanged
	}
	s.limiter.ReserveN(now, 1) // a write above the rate delays the next ones
	if s.remoteOwner.Load() {
		r.directLimiter.ReserveN(now, 1)
	}
	r.counters.writes.Add(1)
	r.counters.entries.Add(int64(len(batch)))
	version, err := r.opts.Store.Put(ctx, kindClaim, headName(s.number), v, s.version)
	if err == nil {
		s.head, s.version = h, version
		end := r.opts.Now()
		s.gapEnd = end.Add(min(end.Sub(now), maxWriteGap))
		return nil
	}
	if !object.Undetermined(err) {
		s.unmarkSent(newlySent)
	}
	if c := object.Conflict(err); c != nil {
		r.counters.conflicts.Add(1)
		s.head = nil
		if c.Deleted {
			s.setHead(&Head{}, 0, batch)
		} else if cur, err := DecodeHead(c.Value); err == nil {
			s.setHead(cur, c.Version, batch)
		}
		return errChanged
	}
	if object.Undetermined(err) && testhook.SkipClaimReadBack.Load() {
		s.head = nil
		return nil
	}
	if object.Undetermined(err) {
		r.counters.undetermined.Add(1)
		s.head = nil // forces a read before the next decision
	}
	return errors.Wrap(err, "write head")
}

// markSent sets the send time of the entries that have none, and returns them. It returns false if the waiter of one of
// them gave up in the meantime: that waiter reported its entry as not written, so the entry must be left out.
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

// unmarkSent undoes markSent after a write that certainly did not take effect, so that waiters that give up later need
// not void their entries. Waiters that gave up during the write do so in any case.
func (s *shard) unmarkSent(newlySent []*pendingWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range newlySent {
		p.sentAt = time.Time{}
	}
}

// rollOver moves entries of a full head to a new archive object. It writes the archive, which has no effect until a head
// lists it, and changes h accordingly. It reports whether the shard has no room for further claims.
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
	info := Archive{OldestTime: archive[0].Time}
	for _, e := range archive {
		info.OldestTime, info.NewestTime = min(info.OldestTime, e.Time), max(info.NewestTime, e.Time)
	}
	// The last archive is extended while it is small and young. Archives can so be many times larger than heads: the head
	// lists few of them, and yet each head write is small. Archives are immutable, so a new one replaces the last.
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
		// The archive was left by a rollover that failed before its head write, or belongs to one in progress. If it
		// has the same content, it can be listed. Otherwise the next number is tried, because replacing the object
		// could change an archive that the other writer is about to list.
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

// mergeArchived returns the entries of an archive and the later ones, which replace those of the same key.
func mergeArchived(old, later []*Entry) []*Entry {
	replaced := lo.SliceToMap(later, func(e *Entry) (string, bool) { return e.Key, true })
	return append(lo.Filter(old, func(e *Entry, _ int) bool { return !replaced[e.Key] }), later...)
}

// keyPrefix returns the part of a key hash that the index holds.
func keyPrefix(key string) uint64 {
	b, err := hex.DecodeString(key)
	if err != nil || len(b) < 16 {
		return 0 // cannot happen: entries are validated when they are decoded
	}
	return binary.BigEndian.Uint64(b[8:]) // the first byte differs little within a shard
}

// keyPrefixes returns the sorted prefixes of the keys.
func (h *Head) keyPrefixes() []uint64 {
	out := make([]uint64, 0, len(h.Entries))
	for _, e := range h.Entries {
		out = append(out, keyPrefix(e.Key))
	}
	slices.Sort(out)
	return out
}

// loadIndex reads the archives that are not indexed yet. A new owner of a shard reads all of them once: with 8
// concurrent reads this takes a few seconds for 2048 archives, without using up the read rate of the object API.
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
		s.head = nil // the archive may have been dropped since the head was read
	}
	return err
}

// findArchived returns the newest archived entry of a key, or nil.
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

// loadArchive returns an archive from the cache or the store.
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

// archiveCache holds decoded archive objects, which are immutable. Above maxCachedBytes the oldest are dropped.
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

// unusedObjects lists the objects that can be deleted once a head write took effect.
type unusedObjects struct {
	archives []int    // dropped after the retention time, deleted with the result objects of their entries
	orphans  []int    // archives that a rollover replaced or skipped
	entries  []*Entry // entries dropped from the head, whose result objects are deleted
}

// deleteUnused deletes unused objects in the background. Objects that remain after a failure only take up space.
func (r *Registry) deleteUnused(s *shard, h *Head, unused *unusedObjects) {
	// An archive number below NextArchive that the current head doesn't list will never be listed again.
	listed := lo.SliceToMap(h.Archives, func(a Archive) (int, bool) { return a.Number, true })
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

// deleteObject deletes an object if it exists. Errors are ignored.
func (r *Registry) deleteObject(kind, name string) {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timeout)
	defer cancel()
	r.counters.reads.Add(1)
	_, version, err := r.opts.Store.Get(ctx, kind, name)
	if err != nil {
		return
	}
	r.counters.writes.Add(1)
	_, _ = r.opts.Store.Delete(ctx, kind, name, version) // best effort, see deleteUnused
}
