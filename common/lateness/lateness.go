// Package lateness measures the recent delays of a process, in which it did not run or was busy.
package lateness

import (
	"sync"
	"time"
)

// window is the time for which a delay is remembered at least; it is forgotten after twice that.
const window = 10 * time.Second

// Meter measures delays by checks that are to be made at an interval. It is safe for concurrent use.
type Meter struct {
	interval time.Duration

	mu            sync.Mutex
	checked       time.Time // when the last check was made; zero before
	turned        time.Time // when latest was begun
	latest, older time.Duration
}

// New returns a Meter of checks at an interval.
func New(interval time.Duration) *Meter { return &Meter{interval: interval} }

// Check records a check, which came by delay later than the interval after the one before.
func (m *Meter) Check(now time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checked = now
	if now.Sub(m.turned) >= window {
		m.turned, m.older, m.latest = now, m.latest, 0
	}
	m.latest = max(m.latest, delay)
}

// Longest returns the longest recent delay. A check that is overdue counts.
func (m *Meter) Longest(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var overdue time.Duration
	if !m.checked.IsZero() {
		overdue = now.Sub(m.checked) - m.interval
	}
	return max(m.latest, m.older, overdue)
}
