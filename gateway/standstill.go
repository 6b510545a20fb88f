package gateway

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// standstillInterval is the time between two checks of whether the process runs, and minStandstill the shortest gap between two
	// checks that is logged, which allows at most ten lines a second.
	standstillInterval = 20 * time.Millisecond
	minStandstill      = 100 * time.Millisecond
)

// standstill notices that the process did not run for a time.
type standstill struct {
	now, wall time.Time     // of the last check, the latter without a monotonic clock
	used      time.Duration // processor time until the last check
}

// check returns how long ago the last check was, and how much processor time the process has used since. The wall clock also shows a
// gap during which the monotonic clock did not advance.
func (s *standstill) check(now, wall time.Time, used time.Duration) (gap, spent time.Duration) {
	if !s.now.IsZero() {
		gap, spent = max(now.Sub(s.now), wall.Sub(s.wall)), used-s.used
	}
	*s = standstill{now, wall, used}
	return gap, spent
}

// watchStandstill logs when the process did not run for minStandstill, and measures by how much it is late. It has a goroutine of its own, as the control goroutine may also
// be late because of its work. A process that was busy has used processor time in the gap.
func (g *Gateway) watchStandstill(ctx context.Context) {
	for s := (standstill{}); ctx.Err() == nil; sleep(ctx, standstillInterval) {
		now := time.Now()
		gap, spent := s.check(now, now.Round(0), processorTime())
		g.lateness.Check(now, gap-standstillInterval)
		if gap >= minStandstill {
			g.log.Info("process stood still", "gap", gap.String(), "processor", spent.String())
		}
	}
}

// processorTime returns the processor time that this process has used, or 0 if it is not known.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
