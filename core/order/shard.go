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
	batchEntries = 256
	// keepClaims is how long a claim stays in the head at rollovers; most orders finish within it.
	keepClaims = 10 * time.Minute
	// settleReserve is the number of archives above MaxArchives that results may still use.
	settleReserve = 64
	cachedBytes   = 16 << 20 // decoded archives, in bytes of their objects
	// writeBurst is the number of writes of a shard that need not wait for the rate after a quiet time.
	writeBurst  = 8
	directBurst = 50
	// settleWait is how long results wait for a claim to share its write when writes are scarce. Claims delay a
	// caller before its order starts, results only after it ended.
	settleWait = 150 * time.Millisecond
	// extendFor is how long an archive is extended. It bounds how much longer than the retention time the oldest
	// entry of an archive is kept.
	extendFor = time.Hour
)

// op is one entry waiting to be written. Its flags are guarded by the shard's mu.
type op struct {
	want      *Entry
	answer    chan answer // buffered
	cancelled bool
	sent      time.Time // of the first write that includes the entry and may have taken effect
}

// shard serializes the writes of one head object: one goroutine at a time processes what is waiting.
type shard struct {
	n int

	mu      sync.Mutex
	waiting []*op
	busy    bool
	fault   error // of the last step, for messages

	arrived chan struct{} // signals a claim
	foreign atomic.Bool   // another instance owns the shard but did not answer

	// Used by the goroutine that set busy.
	head     *Head // nil if unknown
	version  core.Revision
	attempts int // lowest archive number that was not tried
	pace     *rate.Limiter
	trash    *garbage         // of a write whose answer was lost, or nil
	index    map[int][]uint64 // sorted key prefixes by archive number
}

// join adds an entry to the next write of its shard and waits for the outcome.
func (b *Registry) join(ctx context.Context, n int, e *Entry) answer {
	s := &b.shards[n]
	o := &op{want: e, answer: make(chan answer, 1)}
	s.mu.Lock()
	if len(s.waiting) >= b.o.MaxWaiting && e.State == StateClaimed {
		s.mu.Unlock()
		return answer{err: core.Errorf(core.CodeStoreDown, "%d orders are waiting for the object API", b.o.MaxWaiting)}
	}
	s.waiting = append(s.waiting, o)
	start := !s.busy
	if start && !b.spawn(s) {
		s.waiting = nil
		s.mu.Unlock()
		return answer{err: core.Errorf(core.CodeStoreDown, "the instance is shutting down")}
	}
	s.busy = true
	s.mu.Unlock()
	if e.State == StateClaimed {
		select {
		case s.arrived <- struct{}{}:
		default:
		}
	}

	select {
	case a := <-o.answer:
		return a
	case <-ctx.Done():
	case <-b.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.cancelled = true
	select {
	case a := <-o.answer: // answered meanwhile
		return a
	default:
	}
	err := core.Errorf(core.CodeStoreDown, "the object API did not answer in time")
	if s.fault != nil {
		err.Detail += ": " + s.fault.Error()
	}
	return answer{err: err, maybe: !o.sent.IsZero(), sent: o.sent}
}

func (b *Registry) spawn(s *shard) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.wg.Go(func() { b.run(s) })
	return true
}

// run processes what is waiting until nothing is left or the Book is closed.
func (b *Registry) run(s *shard) {
	bo := &backoff.ExponentialBackOff{InitialInterval: 10 * time.Millisecond, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: 500 * time.Millisecond}
	for changed := false; ; {
		if !changed {
			b.pause(s)
		}
		batch := b.take(s)
		if batch == nil {
			return
		}
		err := b.step(s, batch)
		s.mu.Lock()
		s.fault = err
		if err != nil {
			s.waiting = append(batch, s.waiting...)
		}
		s.mu.Unlock()
		if err == nil {
			bo.Reset()
			continue
		}
		// After a conflict the head in force is known, and would be outdated again after a pause.
		if changed = errors.Is(err, errChanged); changed {
			continue
		}
		wait := bo.NextBackOff()
		if t := (*object.ThrottledError)(nil); errors.As(err, &t) {
			wait = max(wait, min(t.Retry, time.Second))
		}
		b.wait(wait)
	}
}

func (b *Registry) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-b.ctx.Done():
	}
}

// pause waits until the rates permit the next write, and longer if only results are waiting and writes are scarce.
func (b *Registry) pause(s *shard) {
	now := b.o.Now()
	delay := until(s.pace, now)
	if s.foreign.Load() {
		delay = max(delay, until(b.direct, now))
		s.head = nil // others write too: a read costs less than a write that conflicts
	}
	b.wait(delay)
	if s.pace.TokensAt(now) >= writeBurst/2 {
		return
	}
	select {
	case <-s.arrived:
	default:
	}
	s.mu.Lock()
	settles := len(s.waiting) > 0 && !slices.ContainsFunc(s.waiting, func(o *op) bool { return o.want.State == StateClaimed })
	s.mu.Unlock()
	if settles {
		select {
		case <-s.arrived:
		case <-time.After(settleWait):
		case <-b.ctx.Done():
		}
	}
}

// until returns the time until a limiter permits one event.
func until(l *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - l.TokensAt(now)
	return time.Duration(max(0, missing) / float64(l.Limit()) * float64(time.Second))
}

// take returns the next entries to write, or nil after it marked the shard idle.
func (b *Registry) take(s *shard) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(o *op) bool { return o.cancelled })
	if len(s.waiting) == 0 || b.ctx.Err() != nil {
		s.busy = false
		return nil
	}
	n, size := 0, 0
	for n < len(s.waiting) && n < batchEntries && size < b.o.HeadBytes {
		size += s.waiting[n].want.size()
		n++
	}
	batch := slices.Clone(s.waiting[:n])
	s.waiting = slices.Delete(s.waiting, 0, n)
	return batch
}

// errChanged means that the head in force is another than the one that was assumed; the step is repeated with it.
var errChanged = errors.New("the head object changed")

// step decides a batch with one conditional write at most. On an error nothing was answered, and the batch must be
// tried again; entries that were already written are then recognised by their attempt ids.
func (b *Registry) step(s *shard, batch []*op) error {
	ctx, cancel := context.WithTimeout(b.ctx, b.o.Timeout)
	defer cancel()
	fresh := s.head == nil
	if fresh {
		if err := b.load(ctx, s); err != nil {
			return err
		}
	}
	now := b.o.Now()
	h := s.head.clone()
	trash := &garbage{}
	if s.trash != nil {
		*trash = *s.trash
	}
	expired, entries := h.expire(now.Add(-b.o.Retention))
	for _, a := range expired {
		trash.archives = append(trash.archives, a.Number)
	}
	trash.entries = append(trash.entries, entries...)

	full, err := b.roll(ctx, s, h, batch, now, trash)
	if err != nil {
		return err
	}
	if err := b.loadIndex(ctx, s, h); err != nil {
		return err
	}

	answers := make([]answer, len(batch))
	var dirty, unsure bool
	for i, o := range batch {
		cur, _ := h.find(o.want.Key)
		if cur == nil {
			if cur, err = b.archived(ctx, s, h, o.want.Key); err != nil {
				return err
			}
		}
		next, write, won := merge(cur, o.want)
		if write && (full && o.want.State == StateClaimed || h.size()+next.size() > maxHead-(64<<10)) {
			answers[i].err = core.Errorf(core.CodeClaimsFull, "claim shard %d holds %d archives", s.n, len(h.Archives))
			continue
		}
		if write {
			h.set(next)
			dirty = true
		}
		unsure = unsure || !write && !(next.State == StateDone || next.State == StateFailed)
		answers[i].entry, answers[i].won = next, won
	}
	switch {
	case dirty:
		if err := b.commit(ctx, s, h, batch); err != nil {
			// The write may have taken effect; clean checks each number against the head then in force.
			s.trash = &garbage{archives: lo.Uniq(trash.archives), orphans: lo.Uniq(trash.orphans)}
			if object.Undetermined(err) {
				s.trash.entries = trash.entries
			}
			return err
		}
		s.trash = nil
		b.clean(s, h, trash)
	case unsure && !fresh:
		// The cached head may be outdated; an answer such as "in progress" needs the one in force.
		before := s.version
		if err := b.load(ctx, s); err != nil {
			return err
		}
		if s.version != before {
			return errChanged
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range batch {
		answers[i].sent = o.sent
		o.answer <- answers[i]
	}
	return nil
}

// load reads the head in force.
func (b *Registry) load(ctx context.Context, s *shard) error {
	s.head = nil
	b.n.reads.Add(1)
	v, version, err := b.o.Store.Get(ctx, kindClaim, headName(s.n))
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

// commit writes the head on condition that it is still the one that h was derived from.
func (b *Registry) commit(ctx context.Context, s *shard, h *Head, batch []*op) error {
	v, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	// The send time is read after all waiting and before the write: it starts the validity of the tickets.
	now := b.o.Now()
	first, ok := s.markSent(batch, now)
	if !ok {
		return errChanged
	}
	s.pace.ReserveN(now, 1) // commits that go over the rate delay the next ones
	if s.foreign.Load() {
		b.direct.ReserveN(now, 1)
	}
	b.n.writes.Add(1)
	b.n.entries.Add(int64(len(batch)))
	version, err := b.o.Store.Put(ctx, kindClaim, headName(s.n), v, s.version)
	if err == nil {
		s.head, s.version = h, version
		return nil
	}
	if !object.Undetermined(err) {
		s.unmark(first)
	}
	if c := object.Conflict(err); c != nil {
		b.n.conflicts.Add(1)
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
		b.n.undetermined.Add(1)
		s.head = nil // read back before anything else is decided
	}
	return errors.Wrap(err, "write head")
}

// markSent records the send time of the first write of each entry and returns the entries that had none. It reports
// false if a waiter gave up meanwhile: that waiter knows that its entry was not written, so it must be left out.
func (s *shard) markSent(batch []*op, now time.Time) (first []*op, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = lo.Filter(batch, func(o *op, _ int) bool { return o.sent.IsZero() })
	if slices.ContainsFunc(first, func(o *op) bool { return o.cancelled }) {
		return nil, false
	}
	for _, o := range first {
		o.sent = now
	}
	return first, true
}

// unmark withdraws markSent after a write that certainly did not take effect, so that waiters that give up later
// need not void their entries. Those that gave up during the write do so in any case.
func (s *shard) unmark(first []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range first {
		o.sent = time.Time{}
	}
}

// roll moves entries of a full head to a new archive object. The archive is written first; until the head lists
// it, it has no effect. It reports whether the shard has no room for claims.
func (b *Registry) roll(ctx context.Context, s *shard, h *Head, batch []*op, now time.Time, trash *garbage) (full bool, err error) {
	if h.size() <= b.o.HeadBytes {
		return false, nil
	}
	settles := slices.ContainsFunc(batch, func(o *op) bool { return o.want.State != StateClaimed })
	if len(h.Archives) >= b.o.MaxArchives && (!settles || len(h.Archives) >= b.o.MaxArchives+settleReserve) {
		return true, nil
	}
	full = len(h.Archives) >= b.o.MaxArchives
	archive, keep := h.split(now.Add(-keepClaims), b.o.HeadBytes/2)
	if len(archive) == 0 {
		return full, nil
	}
	line := Archive{OldestTime: archive[0].Time}
	for _, e := range archive {
		line.OldestTime, line.NewestTime = min(line.OldestTime, e.Time), max(line.NewestTime, e.Time)
	}
	// The last archive is extended while it is small and young: archives are many times larger than heads, so that
	// few of them are listed, and yet each write of a head is short. Being immutable, it is replaced by a new one.
	if last, ok := lo.Last(h.Archives); ok && last.Bytes+h.size() <= b.o.ArchiveBytes && now.UnixMilli()-last.OldestTime < extendFor.Milliseconds() {
		old, err := b.archive(ctx, s, last.Number)
		if err != nil {
			s.head = nil
			return full, err
		}
		archive = newest(old.Entries, archive)
		line.OldestTime, line.NewestTime = min(line.OldestTime, last.OldestTime), max(line.NewestTime, last.NewestTime)
		trash.orphans = append(trash.orphans, last.Number)
		h.Archives = h.Archives[:len(h.Archives)-1]
	}
	a := &Head{Entries: archive}
	v, err := json.Marshal(a)
	if err != nil {
		return full, errors.Wrap(err, "encode archive")
	}
	n := max(h.NextArchive, s.attempts)
	for ; ; n++ {
		b.n.writes.Add(1)
		_, err := b.o.Store.Put(ctx, kindClaim, archiveName(s.n, n), v, 0)
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
		s.attempts = n + 1
	}
	b.n.rollovers.Add(1)
	for i := h.NextArchive; i < n; i++ {
		trash.orphans = append(trash.orphans, i)
	}
	line.Number, line.Bytes = n, len(v)
	h.Archives = append(h.Archives, line)
	h.NextArchive = n + 1
	h.Entries = slices.Clone(keep)
	s.index[n] = a.prefixes()
	b.cache.add(archiveName(s.n, n), a, len(v))
	return full, nil
}

// newest joins the entries of an archive with later ones, which replace those of the same key.
func newest(old, later []*Entry) []*Entry {
	replaced := lo.SliceToMap(later, func(e *Entry) (string, bool) { return e.Key, true })
	return append(lo.Filter(old, func(e *Entry, _ int) bool { return !replaced[e.Key] }), later...)
}

func prefix(key string) uint64 {
	b, err := hex.DecodeString(key)
	if err != nil || len(b) < 16 {
		return 0 // entries are checked when they are decoded
	}
	return binary.BigEndian.Uint64(b[8:]) // the first byte is common to the keys of a shard
}

func (h *Head) prefixes() []uint64 {
	out := make([]uint64, 0, len(h.Entries))
	for _, e := range h.Entries {
		out = append(out, prefix(e.Key))
	}
	slices.Sort(out)
	return out
}

// loadIndex reads the archives whose keys are not known yet. A new owner of a shard does this once; 8 at a time
// keep it within a few seconds for 2048 archives without using up the API's read rate.
func (b *Registry) loadIndex(ctx context.Context, s *shard, h *Head) error {
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
			a, err := b.archive(ctx, s, n)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			s.index[n] = a.prefixes()
			return nil
		})
	}
	err := g.Wait()
	if err != nil {
		s.head = nil // an archive may have been dropped since the head was read
	}
	return err
}

// archived returns the newest archived entry of a key, or nil.
func (b *Registry) archived(ctx context.Context, s *shard, h *Head, key string) (*Entry, error) {
	p := prefix(key)
	for _, a := range slices.Backward(h.Archives) {
		if _, ok := slices.BinarySearch(s.index[a.Number], p); !ok {
			continue
		}
		ar, err := b.archive(ctx, s, a.Number)
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

func (b *Registry) archive(ctx context.Context, s *shard, n int) (*Head, error) {
	name := archiveName(s.n, n)
	if a := b.cache.get(name); a != nil {
		return a, nil
	}
	b.n.reads.Add(1)
	v, _, err := b.o.Store.Get(ctx, kindClaim, name)
	if err != nil {
		return nil, errors.Wrapf(err, "read archive %s", name)
	}
	a, err := DecodeHead(v)
	if err != nil {
		return nil, errors.Wrapf(err, "archive %s", name)
	}
	b.cache.add(name, a, len(v))
	return a, nil
}

// archives caches decoded archive objects, which are immutable. The oldest are dropped above cachedBytes.
type archives struct {
	mu    sync.Mutex
	items map[string]*Head
	sizes map[string]int
	order []string
	bytes int
}

func (c *archives) get(name string) *Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[name]
}

func (c *archives) add(name string, h *Head, size int) {
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
	for c.bytes > cachedBytes && len(c.order) > 1 {
		old := c.order[0]
		c.order = c.order[1:]
		c.bytes -= c.sizes[old]
		delete(c.items, old)
		delete(c.sizes, old)
	}
}

// garbage lists the objects that are unused once a head write took effect.
type garbage struct {
	archives []int    // dropped after the retention time, with the result objects of their entries
	orphans  []int    // replaced, or skipped by a rollover
	entries  []*Entry // dropped head entries, for their result objects
}

// clean deletes garbage in the background. Objects that remain after a failure cost space only.
func (b *Registry) clean(s *shard, h *Head, t *garbage) {
	// An archive number below next that the head in force doesn't list can never be listed again.
	listed := lo.SliceToMap(h.Archives, func(a Archive) (int, bool) { return a.Number, true })
	unlisted := func(n int, _ int) bool { return n < h.NextArchive && !listed[n] }
	archives, orphans, entries := lo.Filter(t.archives, unlisted), lo.Filter(t.orphans, unlisted), t.entries
	if len(archives)+len(orphans)+len(entries) == 0 {
		return
	}
	b.n.dropped.Add(int64(len(archives)))
	b.task(func() {
		for _, n := range archives {
			ctx, cancel := context.WithTimeout(b.ctx, b.o.Timeout)
			if a, err := b.archive(ctx, s, n); err == nil {
				entries = append(entries, a.Entries...)
			}
			cancel()
			b.remove(kindClaim, archiveName(s.n, n))
		}
		for _, n := range orphans {
			b.remove(kindClaim, archiveName(s.n, n))
		}
		for _, e := range entries {
			if e.ResultObject != "" && e.ResultObject != notKept {
				b.remove(kindResult, e.ResultObject)
			}
		}
	})
}

func (b *Registry) remove(kind, name string) {
	ctx, cancel := context.WithTimeout(b.ctx, b.o.Timeout)
	defer cancel()
	b.n.reads.Add(1)
	_, version, err := b.o.Store.Get(ctx, kind, name)
	if err != nil {
		return
	}
	b.n.writes.Add(1)
	_, _ = b.o.Store.Delete(ctx, kind, name, version) // best effort, see clean
}
