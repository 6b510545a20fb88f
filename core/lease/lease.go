// Package lease implements the fenced lease that allows one instance at a time to command the engines of a pool, and the
// controller that sends the commands. The clocks of instances need not agree: every period is measured on a single clock.
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
	// maxTTL is the maximum TTL of a record, so that a malformed record cannot block a pool for long.
	maxTTL = 2 * time.Minute
	// maxFence is the highest integer that every JSON decoder represents exactly.
	maxFence = 1<<53 - 1
)

// Store is the part of the object API that a lease uses. It returns the errors of package object.
type Store interface {
	Get(ctx context.Context, kind, name string) ([]byte, core.Revision, error)
	Put(ctx context.Context, kind, name string, value []byte, version core.Revision) (core.Revision, error)
}

// Record is the content of a lease object.
type Record struct {
	Holder core.InstanceID `json:"holder"` // empty after a release
	Fence  core.Fence      `json:"fence"`  // increased by every new holder
	Write  string          `json:"write"`  // unique id of this write; identifies it after a lost response
	TTL    int64           `json:"length"` // milliseconds from the write to the expiry
	Expiry int64           `json:"expiry"` // Unix milliseconds on the holder's clock, for display only
}

// Options configures a Lease. Zero fields take the defaults given with them.
type Options struct {
	Store Store
	Self  core.InstanceID
	Pool  core.Pool
	TTL   time.Duration // from the write to the expiry, default 15 s
	// Margin is how long before the expiry the holder stops sending commands, and how long after it a successor takes
	// over, default 2 s. It covers the transit time of a command and the drift of both clocks within one TTL.
	Margin time.Duration
	Now    func() time.Time // default time.Now
}

// Lease is one instance's view of the lease of a pool. It is safe for concurrent use, but calls of Step must not overlap.
type Lease struct {
	opts Options

	mu         sync.Mutex
	record     Record
	version    core.Revision // version of record, 0 if the object doesn't exist
	certain    bool          // no write of unknown outcome since record was read or written
	firstSeen  time.Time     // when version was first seen
	held       bool
	expiry     time.Time            // on this instance's clock
	openWrites map[string]time.Time // write id -> when it was sent; may have taken effect
}

// New returns a Lease that is not held.
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

// CommandFence returns the fence, and whether a command may be sent now: the lease is held and does not expire within the
// margin. It must be called immediately before each command, because the process may have been paused since the last call.
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

// StepInterval returns the time between calls of Step. Two consecutive renewals may fail before the lease is lost.
func (l *Lease) StepInterval() time.Duration { return l.opts.TTL / 4 }

// Step renews the lease if it is held. Otherwise it acquires the lease if that is free or has expired. An error means that
// the object could not be read or written; the lease then expires unless a later call succeeds.
func (l *Lease) Step(ctx context.Context) error {
	now := l.opts.Now()
	l.mu.Lock()
	if l.held && !now.Before(l.expiry) {
		l.held = false
		l.certain = false
	}
	held, certain, record, version := l.held, l.certain, l.record, l.version
	l.mu.Unlock()

	if held && certain {
		return l.write(ctx, record.Fence, version, l.opts.Self)
	}
	if err := l.read(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	held, record, version = l.held, l.record, l.version
	wait := time.Duration(record.TTL)*time.Millisecond + l.opts.Margin
	free := version == 0 || record.Holder == "" || !l.opts.Now().Before(l.firstSeen.Add(wait))
	l.mu.Unlock()
	switch {
	case held:
		return nil // a renewal of unknown outcome had taken effect
	case free:
		return l.write(ctx, record.Fence+1, version, l.opts.Self)
	}
	return nil
}

// RaiseFence raises the fence above one that an engine reported. An engine reports a higher fence if the lease object was
// deleted and its fences started again. The write is conditional, so it fails if the higher fence belongs to a successor.
func (l *Lease) RaiseFence(ctx context.Context, above core.Fence) error {
	if above >= maxFence {
		return errors.Errorf("an engine of pool %s reported the invalid fence %d", l.opts.Pool, above)
	}
	l.mu.Lock()
	held, certain, record, version := l.held, l.certain, l.record, l.version
	l.mu.Unlock()
	if !held || !certain || record.Fence > above {
		return nil
	}
	return l.write(ctx, above+1, version, l.opts.Self)
}

// Release releases the lease, so that a successor need not wait for the expiry. The object remains, to keep its fence.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, certain, record, version := l.held, l.certain, l.record, l.version
	l.held = false
	l.mu.Unlock()
	if !held || !certain {
		return nil
	}
	return l.write(ctx, record.Fence, version, "")
}

func (l *Lease) read(ctx context.Context) error {
	data, version, err := l.opts.Store.Get(ctx, kindLease, string(l.opts.Pool))
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return errors.Wrapf(err, "read lease of pool %s", l.opts.Pool)
	}
	var r Record
	if err == nil {
		if err := json.Unmarshal(data, &r); err != nil {
			return errors.Wrapf(err, "decode lease of pool %s", l.opts.Pool)
		}
	}
	l.applyRecord(r, version)
	return nil
}

// applyRecord applies the current content and version of the lease object.
func (l *Lease) applyRecord(r Record, version core.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	changed := version != l.version
	if changed || l.firstSeen.IsZero() {
		l.firstSeen = now
	}
	if r.TTL <= 0 || r.TTL > maxTTL.Milliseconds() {
		r.TTL = maxTTL.Milliseconds()
	}
	l.record, l.version, l.certain = r, version, true
	sent, ownWrite := l.openWrites[r.Write]
	switch {
	case r.Holder != l.opts.Self || version == 0:
		l.held = false
	case ownWrite && now.Before(sent.Add(l.opts.TTL)):
		l.held, l.expiry = true, sent.Add(l.opts.TTL)
	case ownWrite:
		l.held = false
	}
	// After a change, all other open writes were conditional on an older version and can no longer take effect. The
	// current one is kept, since its record may be read again.
	maps.DeleteFunc(l.openWrites, func(id string, sent time.Time) bool {
		return id != r.Write && (changed || !now.Before(sent.Add(l.opts.TTL)))
	})
}

// write writes a record that is conditional on the given version, and applies the record that is then in force.
func (l *Lease) write(ctx context.Context, fence core.Fence, version core.Revision, holder core.InstanceID) error {
	sent := l.opts.Now()
	r := Record{Holder: holder, Fence: fence, Write: core.NewID(), TTL: l.opts.TTL.Milliseconds(), Expiry: sent.Add(l.opts.TTL).UnixMilli()}
	data, err := json.Marshal(r)
	if err != nil {
		return errors.Wrapf(err, "encode lease of pool %s", l.opts.Pool)
	}
	if holder != "" {
		l.mu.Lock()
		l.openWrites[r.Write] = sent
		l.mu.Unlock()
	}
	version, err = l.opts.Store.Put(ctx, kindLease, string(l.opts.Pool), data, version)
	if err == nil {
		l.applyRecord(r, version)
		return nil
	}
	if c := object.Conflict(err); c != nil {
		var current Record
		if !c.Deleted {
			if err := json.Unmarshal(c.Value, &current); err != nil {
				return errors.Wrapf(err, "decode lease of pool %s", l.opts.Pool)
			}
			l.applyRecord(current, c.Version)
			return nil
		}
		l.applyRecord(current, 0)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Reading the object settles a write of unknown outcome. The expiry of the last known write remains valid.
	l.certain = l.certain && !object.Undetermined(err)
	return errors.Wrapf(err, "write lease of pool %s", l.opts.Pool)
}
