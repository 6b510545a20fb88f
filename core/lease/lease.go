// Package lease holds the fenced lease that lets one instance at a time command the engines of a pool, and the
// commands themselves. Clocks of instances need not agree: every period is measured by one clock only.
package lease

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/object"
)

const (
	kindLease = "lease"
	// maxLength bounds the length that a record may state, so that a malformed one cannot block a pool for long.
	maxLength = 2 * time.Minute
	// maxFence is the highest fence that is exact in every JSON decoder.
	maxFence = 1<<53 - 1
)

// Store is the part of the object API that a lease uses. Its errors are those of package object.
type Store interface {
	Get(ctx context.Context, kind, name string) ([]byte, core.Revision, error)
	Put(ctx context.Context, kind, name string, value []byte, version core.Revision) (core.Revision, error)
}

// Record is the content of a lease object.
type Record struct {
	Holder core.InstanceID `json:"holder"` // empty after a release
	Fence  core.Fence      `json:"fence"`  // raised by every new holder
	Write  string          `json:"write"`  // unique id of this write, which shows after a lost answer whose it is
	TTL    int64           `json:"length"` // milliseconds from the write to the expiry
	Expiry int64           `json:"expiry"` // Unix milliseconds by the holder's clock, for display only
}

// Options configures a Lease. Zero fields have the defaults that are stated with them.
type Options struct {
	Store Store
	Self  core.InstanceID
	Pool  core.Pool
	TTL   time.Duration // from the write to the expiry: 15 s
	// Margin is subtracted by the holder before it sends and added by a successor before it takes over: 2 s. It
	// covers the time that a command is under way and the drift of both clocks within one length.
	Margin time.Duration
	Now    func() time.Time // time.Now
}

// Lease is one instance's view of the lease of a pool. It is safe for concurrent use; Step must not run twice at a time.
type Lease struct {
	opts Options

	mu         sync.Mutex
	record     Record
	version    core.Revision // of record; 0 if the object doesn't exist
	certain    bool          // record is what was read or written last, with no open write since
	firstSeen  time.Time     // when version was first seen
	held       bool
	expiry     time.Time // by the own clock
	openWrites map[string]time.Time
}

// New returns a lease that is not held.
func New(o Options) *Lease {
	if o.TTL <= 0 {
		o.TTL = 15 * time.Second
	}
	if o.Margin <= 0 {
		o.Margin = 2 * time.Second
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Lease{opts: o, openWrites: map[string]time.Time{}}
}

// Sender returns the fence if a command may be sent now: the lease is held and expires in more than the margin. It
// must be called right before each command, because the process may have been paused since the last call.
func (l *Lease) CommandFence() (core.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Fence, l.held && l.opts.Now().Before(l.expiry.Add(-l.opts.Margin))
}

// Record returns the lease object as last seen.
func (l *Lease) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Interval is the time between steps. Two renewals may fail before the lease is lost.
func (l *Lease) StepInterval() time.Duration { return l.opts.TTL / 4 }

// Step renews the lease if it is held, and else takes it if that is allowed. An error means that the object could
// not be read or written; the lease then lapses by the own clock unless a later step succeeds.
func (l *Lease) Step(ctx context.Context) error {
	now := l.opts.Now()
	l.mu.Lock()
	if l.held && !now.Before(l.expiry) {
		l.held = false
		l.certain = false
	}
	held, certain, cur, version := l.held, l.certain, l.record, l.version
	l.mu.Unlock()

	if held && certain {
		return l.write(ctx, cur.Fence, version, l.opts.Self)
	}
	if err := l.read(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	held, cur, version = l.held, l.record, l.version
	wait := time.Duration(cur.TTL)*time.Millisecond + l.opts.Margin
	free := version == 0 || cur.Holder == "" || !l.opts.Now().Before(l.firstSeen.Add(wait))
	l.mu.Unlock()
	switch {
	case held:
		return nil // an open renewal was found to have taken effect
	case free:
		return l.write(ctx, cur.Fence+1, version, l.opts.Self)
	}
	return nil
}

// Raise writes a fence above one that an engine reported. That happens if the lease object was deleted and its
// fences began again. The write is conditional, so it fails if the higher fence is a successor's.
func (l *Lease) RaiseFence(ctx context.Context, above core.Fence) error {
	if above >= maxFence {
		return errors.Errorf("an engine reports the invalid fence %d", above)
	}
	l.mu.Lock()
	held, certain, cur, version := l.held, l.certain, l.record, l.version
	l.mu.Unlock()
	if !held || !certain || cur.Fence > above {
		return nil
	}
	return l.write(ctx, above+1, version, l.opts.Self)
}

// Release gives the lease up, so that a successor need not wait. The object stays, for its fence.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, certain, cur, version := l.held, l.certain, l.record, l.version
	l.held = false
	l.mu.Unlock()
	if !held || !certain {
		return nil
	}
	return l.write(ctx, cur.Fence, version, "")
}

func (l *Lease) read(ctx context.Context) error {
	v, version, err := l.opts.Store.Get(ctx, kindLease, string(l.opts.Pool))
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return errors.Wrap(err, "read lease")
	}
	var r Record
	if err == nil {
		if err := json.Unmarshal(v, &r); err != nil {
			return errors.Wrap(err, "decode lease")
		}
	}
	l.applyRecord(r, version)
	return nil
}

// observe adopts the object that is in force.
func (l *Lease) applyRecord(r Record, version core.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	changed := version != l.version
	if changed || l.firstSeen.IsZero() {
		l.firstSeen = now
	}
	if r.TTL <= 0 || r.TTL > maxLength.Milliseconds() {
		r.TTL = maxLength.Milliseconds()
	}
	l.record, l.version, l.certain = r, version, true
	sent, own := l.openWrites[r.Write]
	switch {
	case r.Holder != l.opts.Self || version == 0:
		l.held = false
	case own && now.Before(sent.Add(l.opts.TTL)):
		l.held, l.expiry = true, sent.Add(l.opts.TTL)
	case own:
		l.held = false
	}
	// After a change, every other open write was conditional on an older version and can no longer take effect.
	// The one in force is kept, since its record may be read again.
	maps.DeleteFunc(l.openWrites, func(id string, sent time.Time) bool {
		return id != r.Write && (changed || !now.Before(sent.Add(l.opts.TTL)))
	})
}

func (l *Lease) write(ctx context.Context, fence core.Fence, version core.Revision, holder core.InstanceID) error {
	sent := l.opts.Now()
	r := Record{Holder: holder, Fence: fence, Write: core.NewID(), TTL: l.opts.TTL.Milliseconds(), Expiry: sent.Add(l.opts.TTL).UnixMilli()}
	v, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	if holder != "" {
		l.mu.Lock()
		l.openWrites[r.Write] = sent
		l.mu.Unlock()
	}
	version, err = l.opts.Store.Put(ctx, kindLease, string(l.opts.Pool), v, version)
	if err == nil {
		l.applyRecord(r, version)
		return nil
	}
	if c := object.Conflict(err); c != nil {
		var cur Record
		if !c.Deleted {
			if err := json.Unmarshal(c.Value, &cur); err != nil {
				return errors.Wrap(err, "decode lease")
			}
			l.applyRecord(cur, c.Version)
			return nil
		}
		l.applyRecord(cur, 0)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// An open write is settled by reading the object. The expiry of the last certain write still holds.
	l.certain = l.certain && !object.Undetermined(err)
	return errors.Wrap(err, "write lease")
}
