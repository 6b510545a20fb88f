package lateness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a process that does not know that it has just stood still, or forgets it at once, or never.
func TestLongest(t *testing.T) {
	const ms, interval = time.Millisecond, 20 * time.Millisecond
	g := NewWithT(t)
	m, now := New(interval), time.Unix(1_700_000_000, 0)
	g.Expect(m.Longest(now)).To(BeZero(), "before the first check")
	m.Check(now, 0)
	g.Expect(m.Longest(now.Add(170*ms))).To(Equal(150*ms), "a check is overdue")
	now = now.Add(170 * ms)
	m.Check(now, 150*ms)
	for now.Before(time.Unix(1_700_000_000, 0).Add(window)) {
		g.Expect(m.Longest(now)).To(Equal(150 * ms))
		now = now.Add(interval)
		m.Check(now, ms)
	}
	for range 2 * int(window/interval) {
		now = now.Add(interval)
		m.Check(now, ms)
	}
	g.Expect(m.Longest(now)).To(Equal(ms))
}
