package dispatch

import (
	"sync"
	"time"
)

// pauseCheckInterval is the interval of the clock checks, and so the error in the measured length of a pause.
const pauseCheckInterval = 250 * time.Millisecond

// pauseDetector detects pauses of the whole process that are longer than maxGrantAge, by gaps between periodic reads of
// the clock. A response that waited in a socket during a pause looks recent to the goroutine that reads it afterwards, so
// the time of its arrival is not enough to tell the age of a grant.
type pauseDetector struct {
	now func() time.Time

	mu        sync.Mutex
	users     int
	timer     *time.Timer
	lastCheck time.Time
	pauseEnd  time.Time // end of the last pause
}

// addUser starts the periodic checks if this is the only user.
func (d *pauseDetector) addUser() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users++
	if d.users > 1 {
		return
	}
	d.lastCheck = d.now()
	if d.timer == nil {
		d.timer = time.AfterFunc(pauseCheckInterval, d.tick)
	} else {
		d.timer.Reset(pauseCheckInterval)
	}
}

// removeUser stops the periodic checks if no user is left.
func (d *pauseDetector) removeUser() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.users--; d.users == 0 {
		d.timer.Stop()
	}
}

// tick checks for a pause and schedules the next check.
func (d *pauseDetector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check()
	if d.users > 0 {
		d.timer.Reset(pauseCheckInterval)
	}
}

// check records a pause if the previous check is too long ago.
func (d *pauseDetector) check() {
	now := d.now()
	if elapsed(now, d.lastCheck) > maxGrantAge {
		d.pauseEnd = now
	}
	d.lastCheck = now
}

// pausedSince reports whether a pause of the process ended after t.
func (d *pauseDetector) pausedSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check()
	return d.pauseEnd.After(t)
}

// elapsed returns the time since t by the monotonic or the wall clock, whichever is longer: only the wall clock advances
// while a machine is suspended.
func elapsed(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
