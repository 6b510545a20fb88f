// Package order claims the keys of non-idempotent requests, so that each of them runs at most once whichever
// instance receives it. Unlike other core packages it waits for its store itself: a claim is one call to its user.
package order

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"monsoondale/core"
	"monsoondale/core/object"
	"monsoondale/wire/peer"
)

const (
	// ClaimValidity is how long after its write was sent a claim permits a dispatch, by the holder's clock.
	ClaimValidity = 5 * time.Second

	// clockSlack is the assumed difference between the clocks of two instances.
	clockSlack = 2 * time.Second

	kindClaim  = "claim"
	kindResult = "result"
)

// Store is the part of the object API that claims use. Its errors are those of package object.
type Store interface {
	Get(ctx context.Context, kind, name string) ([]byte, core.Revision, error)
	Put(ctx context.Context, kind, name string, value []byte, version core.Revision) (core.Revision, error)
	Delete(ctx context.Context, kind, name string, version core.Revision) (core.Revision, error)
}

// ErrLocalShard is returned by Options.Forward if this instance owns the claim shard itself.
var ErrLocalShard = errors.New("this instance owns the claim shard")

// Options configures a Book. Zero fields have the defaults that are stated with them.
type Options struct {
	Store Store
	// Self names this process. A restarted process needs another name, or the claims of its predecessor count
	// as lost at this instance and as running at others.
	Self core.InstanceID
	// Alive reports whether an instance still runs; it decides between "in progress" and "unknown".
	Alive func(core.InstanceID) bool
	// Forward sends an entry to the owner of a claim shard. Any error leads to a direct write. Optional.
	Forward func(ctx context.Context, shard int, c peer.Claim) (peer.Claimed, error)
	Now     func() time.Time // time.Now

	Timeout        time.Duration // time a claim may take: 3 s
	ForwardTimeout time.Duration // time for the owner's answer before writing directly: 1 s
	// Retention is how long entries are kept: 24 h, by the wall clocks of the instances. A clock that is ahead by
	// this time or more drops keys too early.
	Retention    time.Duration
	RetryTimeout time.Duration // time after which a background change is given up: 10 min
	// WriteRate is the rate of head writes per second over all shards: 400, what the object API leaves for orders. Each
	// shard has its part of it, and a shard has one owner, so the sum does not grow with the number of instances.
	// Entries that arrive above the rate share writes.
	WriteRate float64
	// DirectWriteRate is the rate of head writes per second of this instance to shards that it doesn't own: 50. Without this
	// bound, a slow object API would make all instances write directly and so become slower.
	DirectWriteRate float64
	HeadBytes       int // size above which a head is rolled over, and so the bytes of a write: 64 KB
	ArchiveBytes    int // size up to which rollovers extend the last archive: 448 KB
	MaxArchives     int // archives per shard above which claims are refused with 1111: 2048
	MaxWaiting      int // entries waiting per shard above which claims are refused with 1105: 2048
	MaxBackground   int // changes continued in the background at a time: 1024
}

func (o *Options) defaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Alive == nil {
		o.Alive = func(core.InstanceID) bool { return false }
	}
	set(&o.Timeout, 3*time.Second)
	set(&o.ForwardTimeout, time.Second)
	set(&o.Retention, 24*time.Hour)
	set(&o.RetryTimeout, 10*time.Minute)
	set(&o.WriteRate, 400)
	set(&o.DirectWriteRate, 50)
	set(&o.HeadBytes, 64<<10)
	set(&o.ArchiveBytes, 448<<10)
	set(&o.MaxArchives, 2048)
	set(&o.MaxWaiting, 2048)
	set(&o.MaxBackground, 1024)
}

func set[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Counters counts what a Book did. Entries per write is the effect of group commit.
type Counters struct {
	Claims, Won, Forwarded, Served    int64
	Writes, Entries, Reads, Conflicts int64
	Undetermined                      int64 // writes whose answer was lost
	Rollovers, Dropped                int64 // archives written, and dropped after the retention time
	Background, Abandoned             int64 // changes continued in the background, and given up
}

type counters struct {
	claims, won, forwarded, served, writes, entries, reads, conflicts atomic.Int64
	undetermined, rollovers, dropped, background, abandoned           atomic.Int64
}

// Registry implements Claims on the object API. It is safe for concurrent use.
type Registry struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	n      counters
	shards [Shards]shard
	direct *rate.Limiter
	cache  archives

	mu     sync.Mutex
	closed bool
	tasks  int
	active map[core.AttemptID]struct{} // own attempts that are neither settled nor given up
}

var _ Claims = (*Registry)(nil)

// New returns a Book. Close ends its background work.
func New(o Options) *Registry {
	o.defaults()
	b := &Registry{o: o, active: map[core.AttemptID]struct{}{}, direct: rate.NewLimiter(rate.Limit(o.DirectWriteRate), directBurst)}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for i := range b.shards {
		b.shards[i] = shard{n: i, index: map[int][]uint64{}, arrived: make(chan struct{}, 1), pace: rate.NewLimiter(rate.Limit(o.WriteRate/Shards), writeBurst)}
	}
	return b
}

// Close ends background work and waits for it. Claims that are waiting fail with 1105.
func (b *Registry) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.wg.Wait()
}

// Drain waits until no background work is left, so that a shutdown loses no result or voiding.
func (b *Registry) Drain(ctx context.Context) error {
	for {
		b.mu.Lock()
		n := b.tasks
		b.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d claim changes are not recorded", n)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Counters returns what the Book did so far.
func (b *Registry) Counters() Counters {
	n := &b.n
	return Counters{
		Claims: n.claims.Load(), Won: n.won.Load(), Forwarded: n.forwarded.Load(), Served: n.served.Load(),
		Writes: n.writes.Load(), Entries: n.entries.Load(), Reads: n.reads.Load(), Conflicts: n.conflicts.Load(),
		Undetermined: n.undetermined.Load(), Rollovers: n.rollovers.Load(), Dropped: n.dropped.Load(),
		Background: n.background.Load(), Abandoned: n.abandoned.Load(),
	}
}

// Claim implements Claims.
func (b *Registry) Claim(ctx context.Context, key core.OrderKey, print string) (Ticket, *Result, error) {
	b.n.claims.Add(1)
	ctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
	defer cancel()
	e := &Entry{
		Key: HashKey(key), Fingerprint: print, Attempt: core.AttemptID(core.NewID()), Holder: b.o.Self,
		Time: b.o.Now().UnixMilli(), State: StateClaimed,
	}
	if err := e.check(); err != nil {
		return Ticket{}, nil, core.Errorf(core.CodeBadRequest, "%v", err)
	}
	b.activate(e.Attempt)
	a := b.submit(ctx, e)
	if a.err != nil || !a.won {
		if a.maybe {
			b.persist(b.void(e), nil)
		} else {
			b.release(e.Attempt)
		}
		if a.err != nil {
			return Ticket{}, nil, a.err
		}
		return b.repeated(ctx, e, a.entry)
	}
	t := Ticket{Key: key, Fingerprint: print, Attempt: e.Attempt, Expires: a.sent.Add(ClaimValidity)}
	if !t.Valid(b.o.Now()) {
		b.persist(b.void(e), nil)
		return Ticket{}, nil, core.Errorf(core.CodeClaimExpired, "the claim took longer than %v", ClaimValidity)
	}
	b.n.won.Add(1)
	return t, nil, nil
}

// repeated answers a claim of a key that has the entry cur.
func (b *Registry) repeated(ctx context.Context, e, cur *Entry) (Ticket, *Result, error) {
	switch {
	case cur.voided(e.Attempt):
		return Ticket{}, nil, core.Errorf(core.CodeClaimExpired, "the claim was given up before it was written")
	case cur.Fingerprint != e.Fingerprint:
		return Ticket{}, nil, core.Errorf(core.CodeKeyMismatch, "the key was first used at %s", stamp(cur.Time))
	case cur.State == StateDone || cur.State == StateFailed:
		r, err := b.result(ctx, cur)
		return Ticket{}, r, err
	case cur.Holder == b.o.Self && b.isActive(cur.Attempt), cur.Holder != b.o.Self && (b.o.Alive(cur.Holder) || b.fresh(cur)):
		err := core.Errorf(core.CodeInProgress, "claimed at %s", stamp(cur.Time))
		err.RetryAfter = time.Second
		return Ticket{}, nil, err
	}
	return Ticket{}, nil, core.Errorf(core.CodeHolderLost, "claimed at %s by %s", stamp(cur.Time), cur.Holder)
}

// fresh reports whether the claim may still lead to a dispatch. The instance list may drop a live holder, so that its
// absence tells nothing before the claim has expired by any clock; the slack covers the difference of the clocks.
func (b *Registry) fresh(e *Entry) bool {
	return b.o.Now().Sub(time.UnixMilli(e.Time)) < ClaimValidity+clockSlack
}

// result returns the recorded result of a finished entry.
func (b *Registry) result(ctx context.Context, e *Entry) (*Result, error) {
	r := &Result{Status: e.Status, Media: e.Media, Body: e.Body}
	switch e.ResultObject {
	case "":
		return r, nil
	case notKept:
		return nil, core.Errorf(core.CodeOutcomeUnknown, "the order finished with status %d; its answer was too large to be kept", e.Status)
	}
	b.n.reads.Add(1)
	v, _, err := b.o.Store.Get(ctx, kindResult, e.ResultObject)
	if err == nil {
		var kept Result
		if err = json.Unmarshal(v, &kept); err == nil {
			r.Body = kept.Body
			return r, nil
		}
	}
	if errors.Is(err, object.ErrNotFound) {
		return nil, core.Errorf(core.CodeOutcomeUnknown, "the order finished with status %d; its answer is no longer kept", e.Status)
	}
	return nil, core.Errorf(core.CodeStoreDown, "read the recorded result: %v", err)
}

// Finish implements Claims. If the store does not answer within the context, the result is recorded in the
// background and the error says so; the order was run and must be answered as such.
func (b *Registry) Finish(ctx context.Context, t Ticket, done bool, r Result) error {
	e := b.entry(t, StateFailed)
	if done {
		e.State = StateDone
	}
	e.Status, e.Media = r.Status, r.Media
	if len(e.Media) > 256 {
		e.Media = ""
	}
	var large []byte
	if len(r.Body) <= InlineBytes {
		e.Body = r.Body
	} else {
		v, err := json.Marshal(Result{Status: r.Status, Media: e.Media, Body: r.Body})
		if err != nil {
			return errors.Wrap(err, "encode result")
		}
		if len(v) > object.MaxValue {
			e.ResultObject = notKept
		} else {
			large, e.ResultObject = v, string(t.Attempt)
		}
	}
	return b.settle(ctx, e, large)
}

// Void implements Claims. If the store does not answer within the context, it continues in the background.
func (b *Registry) Void(ctx context.Context, t Ticket) error {
	return b.settle(ctx, b.entry(t, StateVoid), nil)
}

func (b *Registry) entry(t Ticket, s State) *Entry {
	return &Entry{Key: HashKey(t.Key), Fingerprint: t.Fingerprint, Attempt: t.Attempt, Holder: b.o.Self, Time: b.o.Now().UnixMilli(), State: s}
}

func (b *Registry) void(e *Entry) *Entry {
	v := *e
	v.State = StateVoid
	return &v
}

func (b *Registry) settle(ctx context.Context, e *Entry, large []byte) error {
	tctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
	defer cancel()
	err := b.change(tctx, e, large)
	var refused *refusedError
	if err == nil || errors.As(err, &refused) {
		b.release(e.Attempt)
		return err
	}
	b.persist(e, large)
	// Not wrapped: err may hold a code of class "not run", which does not describe the order itself.
	return errors.Errorf("%s is being recorded in the background: %v", e.State, err)
}

// refusedError means that the entry in force excludes a change for good.
type refusedError struct{ want, cur *Entry }

func (e *refusedError) Error() string {
	return "attempt " + string(e.want.Attempt) + " cannot become " + string(e.want.State) + ": the key is " +
		string(e.cur.State) + " by attempt " + string(e.cur.Attempt)
}

// change writes a settled entry, with its result object first.
func (b *Registry) change(ctx context.Context, e *Entry, large []byte) error {
	if large != nil {
		b.n.writes.Add(1)
		_, err := b.o.Store.Put(ctx, kindResult, e.ResultObject, large, 0)
		// The name is the attempt id, so an existing object is an earlier copy of the same result.
		if err != nil && object.Conflict(err) == nil {
			return errors.Wrap(err, "write result object")
		}
	}
	a := b.submit(ctx, e)
	switch {
	case a.err != nil:
		return a.err
	case !a.won:
		return &refusedError{want: e, cur: a.entry}
	}
	return nil
}

// persist continues a change in the background. Above the bound it is given up: the entry stays claimed, and
// repeats of the key are answered with "unknown".
func (b *Registry) persist(e *Entry, large []byte) {
	b.n.background.Add(1)
	ok := b.task(func() {
		defer b.release(e.Attempt)
		bo := &backoff.ExponentialBackOff{InitialInterval: 100 * time.Millisecond, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: 10 * time.Second}
		_, err := backoff.Retry(b.ctx, func() (struct{}, error) {
			ctx, cancel := context.WithTimeout(b.ctx, b.o.Timeout)
			defer cancel()
			err := b.change(ctx, e, large)
			if refused := (*refusedError)(nil); errors.As(err, &refused) {
				return struct{}{}, backoff.Permanent(err)
			}
			return struct{}{}, err
		}, backoff.WithBackOff(bo), backoff.WithMaxElapsedTime(b.o.RetryTimeout))
		if err != nil {
			b.n.abandoned.Add(1)
		}
	})
	if !ok {
		b.n.abandoned.Add(1)
		b.release(e.Attempt)
	}
}

// task runs f in the background unless too many tasks are running or the Book is closed.
func (b *Registry) task(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.tasks >= b.o.MaxBackground {
		return false
	}
	b.tasks++
	b.wg.Go(func() {
		defer func() {
			b.mu.Lock()
			b.tasks--
			b.mu.Unlock()
		}()
		f()
	})
	return true
}

func (b *Registry) activate(a core.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active[a] = struct{}{}
}

func (b *Registry) release(a core.AttemptID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.active, a)
}

func (b *Registry) isActive(a core.AttemptID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.active[a]
	return ok
}

// answer is the outcome of a wanted entry. With an error, maybe tells that the entry may still be written.
type answer struct {
	entry *Entry
	won   bool
	err   error
	maybe bool
	sent  time.Time // before the entry was first sent to the store or its owner
}

// submit writes an entry through the owner of its claim shard, or else directly. Both ways are safe to use for the
// same entry because merge is idempotent by attempt id.
func (b *Registry) submit(ctx context.Context, e *Entry) answer {
	n, err := ShardOf(e.Key)
	if err != nil {
		return answer{err: core.Errorf(core.CodeBadRequest, "%v", err)}
	}
	if b.o.Forward == nil {
		return b.join(ctx, n, e)
	}
	sent := b.o.Now()
	fctx, cancel := context.WithTimeout(ctx, b.o.ForwardTimeout)
	c, err := b.o.Forward(fctx, n, wireEntry(e))
	cancel()
	if errors.Is(err, ErrLocalShard) {
		b.shards[n].foreign.Store(false)
		return b.join(ctx, n, e)
	}
	if err == nil && c.Code == int(core.CodeClaimsFull) {
		return answer{err: core.Errorf(core.CodeClaimsFull, "%s", c.Detail)}
	}
	if err == nil && c.Code == 0 && c.Entry != nil {
		cur, err := parseEntry(*c.Entry)
		if err == nil && cur.Key == e.Key && (!c.Won || e.State == StateVoid || (cur.Attempt == e.Attempt && cur.State == e.State)) {
			b.n.forwarded.Add(1)
			if !c.Won && e.State == StateClaimed && cur.Attempt == e.Attempt && cur.State == StateVoid {
				cur.VoidedAttempts = nil // the own attempt was voided, as repeated reports
			}
			return answer{entry: cur, won: c.Won, sent: sent}
		}
	}
	b.shards[n].foreign.Store(true)
	a := b.join(ctx, n, e)
	a.sent, a.maybe = sent, !a.won // the owner may still write the entry
	return a
}

// Serve handles an entry that another instance forwarded to this one as the owner of its claim shard.
func (b *Registry) Serve(ctx context.Context, c peer.Claim) peer.Claimed {
	b.n.served.Add(1)
	e, err := parseEntry(c)
	if err != nil {
		return peer.Claimed{Code: int(core.CodeBadRequest), Detail: err.Error()}
	}
	n, _ := ShardOf(e.Key) // checked by parseEntry
	b.shards[n].foreign.Store(false)
	ctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
	defer cancel()
	a := b.join(ctx, n, e)
	if a.err != nil {
		out := peer.Claimed{Code: int(core.CodeStoreDown), Detail: a.err.Error()}
		if ce := (*core.Error)(nil); errors.As(a.err, &ce) {
			out.Code, out.Detail = int(ce.Code), ce.Detail
		}
		return out
	}
	w := wireEntry(a.entry)
	if e.State == StateClaimed && a.entry.voided(e.Attempt) {
		w.Attempt, w.State = string(e.Attempt), peer.ClaimStateVoid // peer.Claim has no list of voided attempts
	}
	return peer.Claimed{Entry: &w, Won: a.won}
}

func stamp(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
