// Package places decides which instance grants the places of endpoints (the keeper), and follows what becomes of the asks of an
// instance. See docs/design/places.md.
package places

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

// minPower is the part of the strongest candidate's power that a keeper must have.
const minPower = 0.5

// Candidate is an instance that may be the keeper.
type Candidate struct {
	Name  core.InstanceID
	Power int // of its processor, in thousandths of a core; 0 if it may not
}

// Keeper returns the candidate that keeps the places known by a key, or "" if there is none. Candidates whose set changes
// by one change only the keepers that it has, or gets.
func Keeper(key string, candidates []Candidate) core.InstanceID {
	strongest := 0
	for _, c := range candidates {
		strongest = max(strongest, c.Power)
	}
	var keeper core.InstanceID
	var highest uint64
	for _, c := range candidates {
		if c.Power <= 0 || float64(c.Power) < minPower*float64(strongest) {
			continue
		}
		if h := xxhash.Sum64String(key + "/" + string(c.Name)); keeper == "" || h > highest || h == highest && c.Name < keeper {
			keeper, highest = c.Name, h
		}
	}
	return keeper
}

const (
	// AckTimeout is the time for a sign of a keeper after an ask, in the own data centre, and FarAckTimeout in another one.
	AckTimeout    = 80 * time.Millisecond
	FarAckTimeout = 120 * time.Millisecond
	// SignTimeout is the time between two signs of a keeper while an ask waits there, and SignInterval how often a keeper gives one.
	SignTimeout  = 300 * time.Millisecond
	SignInterval = 50 * time.Millisecond
	// doubtTime is how long a keeper that gives no sign is passed over, before one ask tries it.
	doubtTime = 200 * time.Millisecond
)

// Asker follows the asks of one instance, each with a value of the caller. It is not safe for concurrent use.
type Asker[T any] struct {
	// OnDoubt, if not nil, is called when a keeper is doubted, and when it is trusted again.
	OnDoubt func(keeper core.InstanceID, doubted bool)

	next   uint64
	asks   map[uint64]*ask[T]
	doubts map[core.InstanceID]*doubt
}

type ask[T any] struct {
	keeper  core.InstanceID
	expires time.Time // without a further sign of the keeper
	value   T
}

type doubt struct {
	until time.Time
	probe uint64 // the ask that tries the keeper; 0 if none
}

// NewAsker returns an Asker whose numbers follow first.
func NewAsker[T any](first uint64) *Asker[T] {
	return &Asker[T]{next: first, asks: map[uint64]*ask[T]{}, doubts: map[core.InstanceID]*doubt{}}
}

// MayAsk reports whether a keeper may be asked: it is not doubted, or is to be tried again.
func (a *Asker[T]) MayAsk(now time.Time, keeper core.InstanceID) bool {
	d := a.doubts[keeper]
	return d == nil || d.probe == 0 && !now.Before(d.until)
}

// Begin records an ask and returns its number. Without a sign of the keeper within timeout, Overdue returns it; 0 means never.
func (a *Asker[T]) Begin(now time.Time, keeper core.InstanceID, timeout time.Duration, value T) uint64 {
	a.next++
	k := &ask[T]{keeper: keeper, value: value}
	if timeout > 0 {
		k.expires = now.Add(timeout)
	}
	if d := a.doubts[keeper]; d != nil && d.probe == 0 {
		d.probe = a.next
	}
	a.asks[a.next] = k
	return a.next
}

// Sign records that an ask waits at its keeper.
func (a *Asker[T]) Sign(now time.Time, keeper core.InstanceID, number uint64) {
	if k := a.asks[number]; k != nil && k.keeper == keeper {
		a.trust(keeper)
		k.expires = now.Add(SignTimeout)
	}
}

// End ends an ask that its keeper has decided. It reports false for one that has ended before.
func (a *Asker[T]) End(keeper core.InstanceID, number uint64) (value T, ok bool) {
	k := a.asks[number]
	if k == nil || k.keeper != keeper {
		return value, false
	}
	delete(a.asks, number)
	a.trust(keeper)
	return k.value, true
}

// Withdraw ends an ask whose request needs no place any more, and returns its keeper.
func (a *Asker[T]) Withdraw(number uint64) (keeper core.InstanceID, ok bool) {
	k := a.asks[number]
	if k == nil {
		return "", false
	}
	delete(a.asks, number)
	if d := a.doubts[k.keeper]; d != nil && d.probe == number {
		d.probe = 0
	}
	return k.keeper, true
}

// Overdue ends the asks whose keepers have given no sign, which are doubted then, and returns their values.
func (a *Asker[T]) Overdue(now time.Time) []T {
	var out []T
	for number, k := range a.asks {
		if k.expires.IsZero() || now.Before(k.expires) {
			continue
		}
		delete(a.asks, number)
		out = append(out, k.value)
		d := a.doubts[k.keeper]
		if d == nil {
			d = &doubt{until: now.Add(doubtTime)}
			a.doubts[k.keeper] = d
			if a.OnDoubt != nil {
				a.OnDoubt(k.keeper, true)
			}
		}
		if d.probe == number {
			*d = doubt{until: now.Add(doubtTime)}
		}
	}
	return out
}

// Pending returns the number of asks without a decision.
func (a *Asker[T]) Pending() int { return len(a.asks) }

// trust ends the doubt of a keeper.
func (a *Asker[T]) trust(keeper core.InstanceID) {
	if a.doubts[keeper] == nil {
		return
	}
	delete(a.doubts, keeper)
	if a.OnDoubt != nil {
		a.OnDoubt(keeper, false)
	}
}
