// Package objecttest provides an in-memory object API for tests, which can inject faults into single calls.
package objecttest

import (
	"context"
	"errors"
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/core/object"
)

// Op is an operation of the object API.
type Op string

// Values of Op.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Call describes a call before it takes effect.
type Call struct {
	Op         Op
	Kind, Name string
}

// Fault is a fault injected into a call. Without a fault the call takes effect and is answered.
type Fault int

// Values of Fault.
const (
	None      Fault = iota
	Lost            // takes effect, but the response is lost
	Dropped         // doesn't take effect, and there is no response
	Late            // fails without a response, but takes effect after Store.LateDelay
	Down            // the connection is refused
	Throttled       // refused because of the rate limit
)

// ErrLost is the cause of undetermined outcomes.
var ErrLost = errors.New("connection reset")

type key struct{ kind, name string }

type value struct {
	data    []byte
	version core.Revision
	deleted bool
}

// Store is an in-memory object API.
type Store struct {
	LateDelay time.Duration // time until a call with the fault Late takes effect

	mu         sync.Mutex
	faultFunc  func(Call) Fault
	latency    time.Duration
	objects    map[key]value
	revision   core.Revision
	writes     int
	lateWrites sync.WaitGroup
}

// SetFaultFunc sets the function that selects the fault of each call. The function may change the store. With nil, no faults
// are injected.
func (s *Store) SetFaultFunc(f func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFunc = f
}

// SetLatency sets the duration of each call: half of it passes before the call takes effect and half after.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// Get returns an object.
func (s *Store) Get(ctx context.Context, kind, name string) ([]byte, core.Revision, error) {
	f := s.fault(OpGet, kind, name)
	if err := s.beforeEffect(ctx, f); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	v, ok := s.objects[key{kind, name}]
	s.mu.Unlock()
	if err := s.afterEffect(ctx, f); err != nil {
		return nil, 0, err
	}
	if !ok || v.deleted {
		return nil, 0, object.ErrNotFound
	}
	return v.data, v.version, nil
}

// Put writes an object.
func (s *Store) Put(ctx context.Context, kind, name string, data []byte, version core.Revision) (core.Revision, error) {
	if len(data) > object.MaxValue {
		return 0, object.ErrTooLarge
	}
	return s.write(ctx, OpPut, key{kind, name}, value{data: append([]byte(nil), data...)}, version)
}

// Delete deletes an object.
func (s *Store) Delete(ctx context.Context, kind, name string, version core.Revision) (core.Revision, error) {
	return s.write(ctx, OpDelete, key{kind, name}, value{deleted: true}, version)
}

func (s *Store) write(ctx context.Context, op Op, k key, v value, version core.Revision) (core.Revision, error) {
	f := s.fault(op, k.kind, k.name)
	if f == Late {
		s.lateWrites.Go(func() {
			time.Sleep(s.LateDelay)
			_, _ = s.apply(k, v, version) // the caller has already got its error
		})
	}
	if err := s.beforeEffect(ctx, f); err != nil {
		return 0, undetermined(err)
	}
	if f == Dropped || f == Late {
		return 0, undetermined(ErrLost)
	}
	r, err := s.apply(k, v, version)
	if afterErr := s.afterEffect(ctx, f); afterErr != nil {
		return 0, undetermined(afterErr)
	}
	return r, err
}

// undetermined wraps err in an UndeterminedError unless the write is certain not to have taken effect.
func undetermined(err error) error {
	var t *object.ThrottledError
	if errors.Is(err, object.ErrUnavailable) || errors.As(err, &t) {
		return err
	}
	return &object.UndeterminedError{Err: err}
}

func (s *Store) apply(k key, v value, version core.Revision) (core.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[k]
	if version == 0 && ok && !current.deleted || version != 0 && (current.deleted || current.version != version) {
		return 0, &object.ConflictError{Kind: k.kind, Name: k.name, Version: current.version, Value: current.data, Deleted: !ok || current.deleted}
	}
	if s.objects == nil {
		s.objects = map[key]value{}
	}
	s.revision++
	s.writes++
	v.version = s.revision
	s.objects[k] = v
	return v.version, nil
}

func (s *Store) fault(op Op, kind, name string) Fault {
	s.mu.Lock()
	hook := s.faultFunc
	s.mu.Unlock()
	if hook == nil {
		return None
	}
	return hook(Call{op, kind, name})
}

// beforeEffect returns the error of a call that does not take effect, after half of the latency.
func (s *Store) beforeEffect(ctx context.Context, f Fault) error {
	switch f {
	case Down:
		return object.ErrUnavailable
	case Throttled:
		return &object.ThrottledError{Retry: 100 * time.Millisecond}
	}
	return s.delay(ctx)
}

// afterEffect returns the error of a call that has taken effect, after half of the latency.
func (s *Store) afterEffect(ctx context.Context, f Fault) error {
	if f == Lost {
		return ErrLost
	}
	return s.delay(ctx)
}

func (s *Store) delay(ctx context.Context) error {
	s.mu.Lock()
	d := s.latency / 2
	s.mu.Unlock()
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Objects returns the values of the objects of a kind that are not deleted, by name.
func (s *Store) Objects(kind string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for k, v := range s.objects {
		if k.kind == kind && !v.deleted {
			out[k.name] = string(v.data)
		}
	}
	return out
}

// Writes returns the number of writes that took effect.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// WaitLate waits until all writes with the fault Late have taken effect.
func (s *Store) WaitLate() { s.lateWrites.Wait() }
