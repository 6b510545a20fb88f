package dispatch

import (
	"sync"
	"time"
)

// pauseCheckInterval is the interval of the pulse; pauses of the process longer than grantLife are noticed with this error.
const pauseCheckInterval = 250 * time.Millisecond

// pauseDetector notices pauses of the whole process. An answer that waited in a socket during a pause looks fresh to the
// goroutine that reads it afterwards, so the age of a grant cannot be told from its arrival alone.
type pauseDetector struct {
	now func() time.Time

	mu        sync.Mutex
	users     int
	timer     *time.Timer
	lastCheck time.Time
	pauseEnd  time.Time // end of the last pause
}

// addUser starts the pulse if it does not run.
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

// removeUser stops the pulse after its last user.
func (d *pauseDetector) removeUser() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.users--; d.users == 0 {
		d.timer.Stop()
	}
}

func (d *pauseDetector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check()
	if d.users > 0 {
		d.timer.Reset(pauseCheckInterval)
	}
}

func (d *pauseDetector) check() {
	now := d.now()
	if elapsed(now, d.lastCheck) > maxGrantAge {
		d.pauseEnd = now
	}
	d.lastCheck = now
}

// pausedSince reports whether the process was paused at some time after t.
func (d *pauseDetector) pausedSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check()
	return d.pauseEnd.After(t)
}

// elapsed returns the time since t by the monotonic clock or, if that is longer, by the wall clock, which also
// advances while a machine is suspended.
func elapsed(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
