package dispatch

import (
	"sync"
	"time"
)

// pulseTime is the interval of the pulse; pauses of the process longer than grantLife are noticed with this error.
const pulseTime = 250 * time.Millisecond

// pulse notices pauses of the whole process. An answer that waited in a socket during a pause looks fresh to the
// goroutine that reads it afterwards, so the age of a grant cannot be told from its arrival alone.
type pulse struct {
	now func() time.Time

	mu     sync.Mutex
	users  int
	timer  *time.Timer
	last   time.Time
	resume time.Time // end of the last pause
}

// enter starts the pulse if it does not run.
func (p *pulse) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.users++
	if p.users > 1 {
		return
	}
	p.last = p.now()
	if p.timer == nil {
		p.timer = time.AfterFunc(pulseTime, p.beat)
	} else {
		p.timer.Reset(pulseTime)
	}
}

// leave stops the pulse after its last user.
func (p *pulse) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.users--; p.users == 0 {
		p.timer.Stop()
	}
}

func (p *pulse) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.look()
	if p.users > 0 {
		p.timer.Reset(pulseTime)
	}
}

func (p *pulse) look() {
	now := p.now()
	if age(now, p.last) > grantLife {
		p.resume = now
	}
	p.last = now
}

// pausedSince reports whether the process was paused at some time after t.
func (p *pulse) pausedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.look()
	return p.resume.After(t)
}

// age returns the time since t by the monotonic clock or, if that is longer, by the wall clock, which also
// advances while a machine is suspended.
func age(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
