// Package order runs each non-idempotent request (an order) at most once, whichever instance receives it. Before an
// order is dispatched, its idempotency key is claimed in the object API; the result is recorded there for repeats.
// Unlike other core packages, it does its own I/O and blocks, so that a claim is a single call.
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
	// ClaimValidity is how long a claim permits a dispatch, counted from the sending of its write on the holder's clock.
	ClaimValidity = 5 * time.Second

	// maxClockSkew is the assumed upper bound on the difference between the clocks of two instances.
	maxClockSkew = 2 * time.Second

	kindClaim  = "claim"  // kind of head and archive objects
	kindResult = "result" // kind of the objects that hold large results
)

// Store is the subset of the object API that claims use. It returns the errors of package object.
type Store interface {
	Get(ctx context.Context, kind, name string) ([]byte, core.Revision, error)
	Put(ctx context.Context, kind, name string, value []byte, version core.Revision) (core.Revision, error)
	Delete(ctx context.Context, kind, name string, version core.Revision) (core.Revision, error)
}

// ErrLocalShard is returned by Options.Forward if this instance owns the claim shard.
var ErrLocalShard = errors.New("this instance owns the claim shard")

// Options configures a Registry. A zero field takes the default given in its comment.
type Options struct {
	Store Store
	// Self identifies this process. It must differ after a restart; otherwise this instance reports the claims of the
	// previous process as lost, while others report them as still running.
	Self core.InstanceID
	// Alive reports whether an instance is still running. It decides whether a repeat of a claimed key is answered
	// with "in progress" or "unknown". The default reports false.
	Alive func(core.InstanceID) bool
	// Forward sends an entry to the owner of a claim shard. After any error, or after ForwardTimeout without an answer, the
	// entry is written directly. Without Forward, all entries are.
	Forward func(ctx context.Context, shard int, c peer.Claim) (peer.Claimed, error)
	Now     func() time.Time // default time.Now

	Timeout        time.Duration // of a claim, or of one try to record a change; default 3 s
	ForwardTimeout time.Duration // of a call to the owner, after which the entry is also written directly; default 1 s
	// Retention is how long entries are kept, by the wall clocks of the instances; default 24 h. An instance whose clock
	// is ahead by this much or more drops keys too early.
	Retention    time.Duration
	RetryTimeout time.Duration // after which retries in the background are abandoned; default 10 min
	// WriteRate is the number of head writes per second over all shards; default 400, the part of the object API's
	// write rate that is left for orders. It is divided evenly among the shards, and each shard has one owner, so the
	// total does not grow with the number of instances. Entries that arrive faster are batched.
	WriteRate float64
	// DirectWriteRate is the number of head writes per second of this instance to shards that other instances own;
	// default 50. Without this limit, a slow object API would make all instances write directly, and so become slower.
	DirectWriteRate float64
	HeadBytes       int // size above which a head is rolled over, which bounds the size of a write; default 64 KB
	ArchiveBytes    int // size up to which rollovers extend the last archive; default 448 KB
	MaxArchives     int // archives per shard, above which claims are refused with code 1111; default 2048
	MaxWaiting      int // waiting entries per shard, above which claims are refused with code 1105; default 2048
	MaxBackground   int // concurrent background tasks; default 1024
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Alive == nil {
		o.Alive = func(core.InstanceID) bool { return false }
	}
	setDefault(&o.Timeout, 3*time.Second)
	setDefault(&o.ForwardTimeout, time.Second)
	setDefault(&o.Retention, 24*time.Hour)
	setDefault(&o.RetryTimeout, 10*time.Minute)
	setDefault(&o.WriteRate, 400)
	setDefault(&o.DirectWriteRate, 50)
	setDefault(&o.HeadBytes, 64<<10)
	setDefault(&o.ArchiveBytes, 448<<10)
	setDefault(&o.MaxArchives, 2048)
	setDefault(&o.MaxWaiting, 2048)
	setDefault(&o.MaxBackground, 1024)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Counters are the running totals of a Registry. The quotient of Entries and Writes is the average size of a batch.
type Counters struct {
	Claims, Won, Forwarded, Served    int64
	Writes, Entries, Reads, Conflicts int64
	Undetermined                      int64 // writes whose response was lost
	Rollovers, Dropped                int64 // archives written, and archives dropped after the retention time
	Background, Abandoned             int64 // changes retried in the background, and those that were abandoned
}

type counters struct {
	claims, won, forwarded, served, writes, entries, reads, conflicts atomic.Int64
	undetermined, rollovers, dropped, background, abandoned           atomic.Int64
}

// Registry implements Claims on the object API. It is safe for concurrent use.
type Registry struct {
	opts          Options
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	counters      counters
	shards        [Shards]shard
	directLimiter *rate.Limiter
	archives      archiveCache

	mu     sync.Mutex
	closed bool
	tasks  int
	active map[core.AttemptID]struct{} // attempts of this instance that are neither settled nor abandoned
}

var _ Claims = (*Registry)(nil)

// New returns a Registry. Close stops its background work.
func New(opts Options) *Registry {
	opts.setDefaults()
	r := &Registry{opts: opts, active: map[core.AttemptID]struct{}{}, directLimiter: rate.NewLimiter(rate.Limit(opts.DirectWriteRate), directBurst)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for i := range r.shards {
		r.shards[i] = shard{number: i, index: map[int][]uint64{}, claimArrived: make(chan struct{}, 1), limiter: rate.NewLimiter(rate.Limit(opts.WriteRate/Shards), writeBurst)}
	}
	return r
}

// Close stops background work and waits for it to end. Waiting claims fail with code 1105.
func (r *Registry) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
}

// Drain waits until no background task is left, so that no result or voided claim is lost at shutdown.
func (r *Registry) Drain(ctx context.Context) error {
	for {
		r.mu.Lock()
		n := r.tasks
		r.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d background changes of claims are not recorded", n)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Counters returns the totals since the start.
func (r *Registry) Counters() Counters {
	c := &r.counters
	return Counters{
		Claims: c.claims.Load(), Won: c.won.Load(), Forwarded: c.forwarded.Load(), Served: c.served.Load(),
		Writes: c.writes.Load(), Entries: c.entries.Load(), Reads: c.reads.Load(), Conflicts: c.conflicts.Load(),
		Undetermined: c.undetermined.Load(), Rollovers: c.rollovers.Load(), Dropped: c.dropped.Load(),
		Background: c.background.Load(), Abandoned: c.abandoned.Load(),
	}
}

// Claim implements Claims.
func (r *Registry) Claim(ctx context.Context, key core.OrderKey, fingerprint string) (Ticket, *Result, error) {
	r.counters.claims.Add(1)
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	t, res, err := r.claim(ctx, key, fingerprint)
	var ended *ownClaimEndedError
	if errors.As(err, &ended) {
		t, res, err = r.claim(ctx, key, fingerprint)
	}
	if errors.As(err, &ended) {
		err = holderLost(ended.cur)
	}
	return t, res, err
}

// claim tries once to claim the key.
func (r *Registry) claim(ctx context.Context, key core.OrderKey, fingerprint string) (Ticket, *Result, error) {
	e := &Entry{
		Key: HashKey(key), Fingerprint: fingerprint, Attempt: core.AttemptID(core.NewID()), Holder: r.opts.Self,
		Time: r.opts.Now().UnixMilli(), State: StateClaimed,
	}
	if err := e.validate(); err != nil {
		return Ticket{}, nil, core.Errorf(core.CodeBadRequest, "%v", err)
	}
	r.addActive(e.Attempt)
	a := r.submit(ctx, e)
	if a.err != nil || !a.won {
		if a.mayBeWritten {
			r.retryInBackground(r.voidOf(e), nil)
		} else {
			r.removeActive(e.Attempt)
		}
		if a.err != nil {
			return Ticket{}, nil, a.err
		}
		return r.answerRepeat(ctx, e, a.entry)
	}
	t := Ticket{Key: key, Fingerprint: fingerprint, Attempt: e.Attempt, Expires: a.sentAt.Add(ClaimValidity)}
	if !t.Valid(r.opts.Now()) {
		r.retryInBackground(r.voidOf(e), nil)
		return Ticket{}, nil, core.Errorf(core.CodeClaimExpired, "the claim took longer than %v", ClaimValidity)
	}
	r.counters.won.Add(1)
	return t, nil, nil
}

// answerRepeat returns the result of claim e, which lost to the current entry cur of its key.
func (r *Registry) answerRepeat(ctx context.Context, e, cur *Entry) (Ticket, *Result, error) {
	switch {
	case cur.hasVoided(e.Attempt):
		return Ticket{}, nil, core.Errorf(core.CodeClaimExpired, "the claim was given up before it was written")
	case cur.Fingerprint != e.Fingerprint:
		return Ticket{}, nil, core.Errorf(core.CodeKeyMismatch, "the key was first used at %s", formatTime(cur.Time))
	case cur.State == StateDone || cur.State == StateFailed:
		res, err := r.loadResult(ctx, cur)
		return Ticket{}, res, err
	case cur.Holder == r.opts.Self && !r.isActive(cur.Attempt):
		return Ticket{}, nil, &ownClaimEndedError{cur}
	case cur.Holder == r.opts.Self || r.opts.Alive(cur.Holder) || r.mayDispatch(cur):
		err := core.Errorf(core.CodeInProgress, "claimed at %s", formatTime(cur.Time))
		err.RetryAfter = time.Second
		return Ticket{}, nil, err
	}
	return Ticket{}, nil, holderLost(cur)
}

func holderLost(cur *Entry) error {
	return core.Errorf(core.CodeHolderLost, "claimed at %s by %s", formatTime(cur.Time), cur.Holder)
}

// ownClaimEndedError reports that a key is claimed by an attempt of this instance that is no longer active. It was abandoned, or
// it was settled after its claim had been read; the key must be read once more to tell which.
type ownClaimEndedError struct{ cur *Entry }

func (e *ownClaimEndedError) Error() string { return "attempt " + string(e.cur.Attempt) + " has ended" }

// mayDispatch reports whether the holder of claim e may still dispatch the order. The instance list may drop a live
// holder, so its absence proves nothing until the claim has expired on every clock; hence maxClockSkew.
func (r *Registry) mayDispatch(e *Entry) bool {
	return r.opts.Now().Sub(time.UnixMilli(e.Time)) < ClaimValidity+maxClockSkew
}

// loadResult returns the recorded result of a finished entry.
func (r *Registry) loadResult(ctx context.Context, e *Entry) (*Result, error) {
	res := &Result{Status: e.Status, Media: e.Media, Body: e.Body, Unframed: e.Unframed}
	switch e.ResultObject {
	case "":
		return res, nil
	case resultNotKept:
		return nil, core.Errorf(core.CodeOutcomeUnknown, "the order finished with status %d; its answer was too large to be kept", e.Status)
	}
	r.counters.reads.Add(1)
	v, _, err := r.opts.Store.Get(ctx, kindResult, e.ResultObject)
	if err == nil {
		var kept Result
		if err = json.Unmarshal(v, &kept); err == nil {
			res.Body = kept.Body
			return res, nil
		}
	}
	if errors.Is(err, object.ErrNotFound) {
		return nil, core.Errorf(core.CodeOutcomeUnknown, "the order finished with status %d; its answer is no longer kept", e.Status)
	}
	return nil, core.Errorf(core.CodeStoreDown, "read the recorded result: %v", err)
}

// Finish implements Claims. If the store does not respond in time, Finish returns an error and records the result in
// the background; the order did run, and its caller must be answered accordingly.
func (r *Registry) Finish(ctx context.Context, t Ticket, done bool, res Result) error {
	e := r.newEntry(t, StateFailed)
	if done {
		e.State = StateDone
	}
	e.Status, e.Media, e.Unframed = res.Status, res.Media, res.Unframed
	if len(e.Media) > 256 {
		e.Media = ""
	}
	var resultObject []byte
	if len(res.Body) <= InlineBytes {
		e.Body = res.Body
	} else {
		v, err := json.Marshal(Result{Status: res.Status, Media: e.Media, Body: res.Body, Unframed: res.Unframed})
		if err != nil {
			return errors.Wrap(err, "encode result")
		}
		if len(v) > object.MaxValue {
			e.ResultObject = resultNotKept
		} else {
			resultObject, e.ResultObject = v, string(t.Attempt)
		}
	}
	return r.settle(ctx, e, resultObject)
}

// Void implements Claims. If the store does not respond in time, Void returns an error and retries in the background.
func (r *Registry) Void(ctx context.Context, t Ticket) error {
	return r.settle(ctx, r.newEntry(t, StateVoid), nil)
}

func (r *Registry) newEntry(t Ticket, s State) *Entry {
	return &Entry{Key: HashKey(t.Key), Fingerprint: t.Fingerprint, Attempt: t.Attempt, Holder: r.opts.Self, Time: r.opts.Now().UnixMilli(), State: s}
}

func (r *Registry) voidOf(e *Entry) *Entry {
	v := *e
	v.State = StateVoid
	return &v
}

// settle writes a settled entry, and its result object if there is one. If the store does not respond in time, it
// retries in the background.
func (r *Registry) settle(ctx context.Context, e *Entry, resultObject []byte) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	err := r.writeSettled(timeoutCtx, e, resultObject)
	var rejected *rejectedError
	if err == nil || errors.As(err, &rejected) {
		r.removeActive(e.Attempt)
		return err
	}
	r.retryInBackground(e, resultObject)
	// Not wrapped: err may have a code of class "not run", which is about the write and not about the order.
	return errors.Errorf("%s is being recorded in the background: %v", e.State, err)
}

// rejectedError reports that the current entry of a key rules out a change permanently.
type rejectedError struct{ want, cur *Entry }

func (e *rejectedError) Error() string {
	return "attempt " + string(e.want.Attempt) + " cannot become " + string(e.want.State) + ": the key is " +
		string(e.cur.State) + " by attempt " + string(e.cur.Attempt)
}

// writeSettled writes a settled entry, preceded by its result object if there is one.
func (r *Registry) writeSettled(ctx context.Context, e *Entry, resultObject []byte) error {
	if resultObject != nil {
		r.counters.writes.Add(1)
		_, err := r.opts.Store.Put(ctx, kindResult, e.ResultObject, resultObject, 0)
		// The name is the attempt id, so an existing object is an earlier copy of the same result.
		if err != nil && object.Conflict(err) == nil {
			return errors.Wrap(err, "write result object")
		}
	}
	a := r.submit(ctx, e)
	switch {
	case a.err != nil:
		return a.err
	case !a.won:
		return &rejectedError{want: e, cur: a.entry}
	}
	return nil
}

// retryInBackground retries a change in the background. If MaxBackground tasks are running or RetryTimeout passes, the
// change is abandoned: the entry stays claimed, and repeats of the key are answered with "unknown".
func (r *Registry) retryInBackground(e *Entry, resultObject []byte) {
	r.counters.background.Add(1)
	ok := r.startTask(func() {
		defer r.removeActive(e.Attempt)
		bo := &backoff.ExponentialBackOff{InitialInterval: 100 * time.Millisecond, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: 10 * time.Second}
		_, err := backoff.Retry(r.ctx, func() (struct{}, error) {
			ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timeout)
			defer cancel()
			err := r.writeSettled(ctx, e, resultObject)
			if rejected := (*rejectedError)(nil); errors.As(err, &rejected) {
				return struct{}{}, backoff.Permanent(err)
			}
			return struct{}{}, err
		}, backoff.WithBackOff(bo), backoff.WithMaxElapsedTime(r.opts.RetryTimeout))
		if err != nil {
			r.counters.abandoned.Add(1)
		}
	})
	if !ok {
		r.counters.abandoned.Add(1)
		r.removeActive(e.Attempt)
	}
}

// startTask runs f in the background. It returns false if too many tasks are running or the Registry is closed.
func (r *Registry) startTask(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.tasks >= r.opts.MaxBackground {
		return false
	}
	r.tasks++
	r.wg.Go(func() {
		defer func() {
			r.mu.Lock()
			r.tasks--
			r.mu.Unlock()
		}()
		f()
	})
	return true
}

func (r *Registry) addActive(a core.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[a] = struct{}{}
}

func (r *Registry) removeActive(a core.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, a)
}

func (r *Registry) isActive(a core.AttemptID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.active[a]
	return ok
}

// answer is the outcome of a submitted entry.
type answer struct {
	entry        *Entry // the current entry of the key
	won          bool   // the submitted change took effect
	err          error
	mayBeWritten bool      // the change was not confirmed, but may still be written
	sentAt       time.Time // just before the entry was first sent to the store or to the owner of its shard
}

// decided reports whether the answer settles what became of the entry, so that it need not be submitted another way.
func (a answer) decided() bool {
	var e *core.Error
	return a.err == nil || errors.As(a.err, &e) && e.Code == core.CodeClaimsFull
}

// submit writes an entry through the owner of its claim shard. If the owner cannot be reached or does not answer within
// ForwardTimeout, the entry is written directly as well, and the first outcome counts: if it is the object API that is slow,
// the entry is further ahead in the queue of the owner. Writing the same entry both ways is safe, because merge is
// idempotent by attempt id.
func (r *Registry) submit(ctx context.Context, e *Entry) answer {
	n, err := ShardOf(e.Key)
	if err != nil {
		return answer{err: core.Errorf(core.CodeBadRequest, "%v", err)}
	}
	if r.opts.Forward == nil {
		return r.enqueue(ctx, n, e)
	}
	sentAt := r.opts.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	directCtx, stopDirect := context.WithCancel(ctx)
	defer stopDirect()
	forwarded := make(chan answer, 1)
	go func() {
		a := r.forward(ctx, n, e)
		forwarded <- a
		if a.decided() {
			stopDirect()
		}
	}()
	select {
	case a := <-forwarded:
		if errors.Is(a.err, ErrLocalShard) {
			r.shards[n].remoteOwner.Store(false)
			return r.enqueue(ctx, n, e)
		}
		if a.decided() {
			a.sentAt = sentAt
			return a
		}
	case <-time.After(r.opts.ForwardTimeout):
	}
	r.shards[n].remoteOwner.Store(true)
	a := r.enqueue(directCtx, n, e)
	if a.err != nil {
		select {
		case f := <-forwarded:
			if f.decided() {
				a = f
			}
		default:
		}
	}
	a.sentAt, a.mayBeWritten = sentAt, !a.won // the other way may still lead to a write
	return a
}

// forward sends an entry to the owner of its claim shard. The error is ErrLocalShard if this instance is the owner.
func (r *Registry) forward(ctx context.Context, n int, e *Entry) answer {
	c, err := r.opts.Forward(ctx, n, entryMessage(e))
	switch {
	case err != nil:
		return answer{err: err}
	case c.Code != 0:
		return answer{err: core.Errorf(core.Code(c.Code), "%s", c.Detail)}
	case c.Entry == nil:
		return answer{err: errors.New("the owner of the claim shard sent no entry")}
	}
	cur, err := parseEntry(*c.Entry)
	if err != nil {
		return answer{err: err}
	}
	if cur.Key != e.Key || c.Won && e.State != StateVoid && (cur.Attempt != e.Attempt || cur.State != e.State) {
		return answer{err: errors.New("the owner of the claim shard sent another entry")}
	}
	r.counters.forwarded.Add(1)
	if !c.Won && e.State == StateClaimed && cur.Attempt == e.Attempt && cur.State == StateVoid {
		cur.VoidedAttempts = nil // this attempt itself was voided; answerRepeat reports that
	}
	return answer{entry: cur, won: c.Won}
}

// Serve handles an entry that another instance forwarded to this instance as the owner of its claim shard.
func (r *Registry) Serve(ctx context.Context, c peer.Claim) peer.Claimed {
	r.counters.served.Add(1)
	e, err := parseEntry(c)
	if err != nil {
		return peer.Claimed{Code: int(core.CodeBadRequest), Detail: err.Error()}
	}
	n, _ := ShardOf(e.Key) // checked by parseEntry
	r.shards[n].remoteOwner.Store(false)
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	a := r.enqueue(ctx, n, e)
	if a.err != nil {
		out := peer.Claimed{Code: int(core.CodeStoreDown), Detail: a.err.Error()}
		if ce := (*core.Error)(nil); errors.As(a.err, &ce) {
			out.Code, out.Detail = int(ce.Code), ce.Detail
		}
		return out
	}
	w := entryMessage(a.entry)
	if e.State == StateClaimed && a.entry.hasVoided(e.Attempt) {
		w.Attempt, w.State = string(e.Attempt), peer.ClaimStateVoid // peer.Claim has no list of voided attempts
	}
	return peer.Claimed{Entry: &w, Won: a.won}
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
