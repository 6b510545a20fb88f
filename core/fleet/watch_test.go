package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/fleet"
)

const (
	answerTime   = 10 * time.Millisecond
	dialTimeout  = time.Second
	watchTimeout = 500 * time.Millisecond // beyond the duration of the watch
	fetchTime    = 60 * time.Millisecond
	farFetchTime = 400 * time.Millisecond
	longestPause = 300 * time.Millisecond
	shortBackoff = 60 * time.Millisecond
	longBackoff  = 700 * time.Millisecond
)

// store simulates the platform's store. It is always sound.
type store struct {
	rev core.Revision
	// trusting makes instances count as able to read the store until a call has failed. Of those, the first ones watch it.
	trusting bool
}

// watcher simulates how an instance follows a collection of the store.
type watcher struct {
	index   int
	decided time.Time // when index was last determined
	claim   fleet.Claim
	stated  bool // what the last message said of the claim
	rev     core.Revision
	cut     bool // off from the store
	failing bool // the last call has failed
	backoff time.Duration

	calling bool
	lost    bool      // the call will not be answered
	due     time.Time // when it is answered without a change, or fails
	next    time.Time // when the next call is sent
	calls   int

	copied  core.Revision // revision of a copy that is being fetched
	copyDue time.Time
}

// watching returns what an instance states of its watch.
func (w *network) watching(e *instance) bool {
	if w.store.trusting {
		return !e.watcher.failing
	}
	return e.watcher.index >= 0 && e.watcher.claim.Holds(w.now)
}

// indexAmong returns the position of an instance among the first of some that watch the store, or -1.
func indexAmong(others []core.InstanceID, self core.InstanceID) int {
	n := 0
	for _, name := range others {
		if name < self {
			n++
		}
	}
	if n >= fleet.StoreWatchers {
		return -1
	}
	return n
}

// heard fetches the copy of another instance if it is newer.
func (r *watcher) heard(now time.Time, rev core.Revision) {
	if rev > r.rev && r.copyDue.IsZero() {
		r.copied, r.copyDue = rev, now.Add(fetchTime)
	}
}

// watch advances an instance's watch of the store.
func (w *network) watch(e *instance) {
	r := &e.watcher
	if !r.copyDue.IsZero() && !w.now.Before(r.copyDue) {
		r.rev, r.copyDue = max(r.rev, r.copied), time.Time{}
	}
	if w.now.Sub(r.decided) >= 50*time.Millisecond {
		r.decided = w.now
		r.index = e.fleet.WatcherIndex(w.now, r.claim.Holds(w.now))
		if w.store.trusting {
			r.index = indexAmong(e.fleet.Watchers(w.now), e.Name)
		}
	}
	if r.calling {
		w.finishCall(r)
	}
	if !r.calling && !w.now.Before(r.next) && (r.index >= 0 || r.failing || r.rev == 0) {
		d := fleet.WatchDuration(w.now, r.index, r.claim.Holds(w.now) || w.store.trusting)
		r.claim.Call(w.now, d)
		r.calling, r.lost, r.due = true, r.cut, w.now.Add(d+answerTime)
		switch {
		case r.cut && r.failing:
			r.due = w.now.Add(dialTimeout)
		case r.cut:
			r.due = w.now.Add(d + watchTimeout)
		}
		r.calls++
	}
	if p := w.watching(e); p != r.stated {
		r.stated = p
		e.fleet.Hasten()
	}
}

// finishCall ends a call if it is answered now, or has failed.
func (w *network) finishCall(r *watcher) {
	if r.cut && !r.lost {
		r.lost, r.due = true, r.due.Add(watchTimeout)
	}
	late := !w.now.Before(r.due)
	switch {
	case r.lost && late:
		r.claim.Drop()
		r.calling, r.failing = false, true
		r.backoff = min(max(2*r.backoff, shortBackoff), longBackoff)
		r.next = w.now.Add(r.backoff)
	case !r.lost && (late || w.store.rev > r.rev):
		r.rev = w.store.rev
		r.claim.Answer(w.now, longestPause)
		r.calling, r.failing, r.backoff = false, false, 0
		r.next = w.now.Add(longestPause/3 + time.Duration(w.rng.Int64N(int64(longestPause*2/3))))
	}
}

// restart replaces the process of an instance. It knows the list of instances, and nothing else.
func (w *network) restart(e *instance) {
	var list []fleet.Member
	for _, o := range w.instances {
		list = append(list, o.Member)
	}
	e.down, e.start, e.number, e.forward = false, w.now.UnixMilli(), 0, nil
	e.fleet = fleet.New(fleet.Options{Self: e.Member, YoungFor: 8 * time.Second})
	e.fleet.List(w.now, list)
	e.watcher = watcher{index: -1, cut: e.watcher.cut, next: w.now.Add(150 * time.Millisecond)}
}

// disturbance is a random series of cuts, kills and starts.
type disturbance struct {
	w    *network
	rng  *rand.Rand
	last map[*instance]time.Time // when an instance was last disturbed; the future while it lasts
	todo []action
}

type action struct {
	at time.Time
	do func()
}

func (d *disturbance) after(delay time.Duration, do func()) {
	d.todo = append(d.todo, action{d.w.now.Add(delay), do})
}

func (d *disturbance) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int64N(int64(high-low)))
}

// run does what is due.
func (d *disturbance) run() {
	due := d.todo
	d.todo = nil
	for _, a := range due {
		if d.w.now.Before(a.at) {
			d.todo = append(d.todo, a)
		} else {
			a.do()
		}
	}
}

// begin starts a series at a group of instances, often the first ones, and returns how long it lasts.
func (d *disturbance) begin() time.Duration {
	n := len(d.w.instances)
	size := 1 + d.rng.IntN(n-1)
	first := 0
	if d.rng.IntN(2) == 0 {
		first = d.rng.IntN(n - size + 1)
	}
	group := d.w.instances[first : first+size]
	length := d.between(time.Second, 8*time.Second)
	cut, kills := d.rng.IntN(4) > 0, d.rng.IntN(3) > 0
	for _, e := range group {
		d.last[e] = d.w.now.Add(length + time.Second)
		e.watcher.cut = cut
	}
	d.after(length, func() {
		for _, e := range group {
			e.watcher.cut = false
		}
	})
	if kills {
		pause, down := d.between(600*time.Millisecond, 2500*time.Millisecond), d.between(50*time.Millisecond, 500*time.Millisecond)
		for at := d.between(0, 3*time.Second); at < length; at += pause {
			d.after(at, func() {
				for _, e := range group {
					e.down = true
				}
			})
			d.after(at+down, func() {
				for _, e := range group {
					d.w.restart(e)
				}
			})
		}
	}
	return length
}

// change is a change of the configuration that has to be in force at some instances by a time.
type change struct {
	at, due   time.Time
	rev       core.Revision
	undisturb []*instance
}

// playWatch simulates a fleet whose instances are cut off from the store, killed and started, and returns the longest time after
// which a change was not known to an instance in touch, 0 if all were known within bound, and the longest until one was known.
func playWatch(seed uint64, n, centres int, bound, contact, length time.Duration, trusting bool) (unseen, slowest time.Duration) {
	w := newNetwork(n, centres, 0)
	w.rng = rand.New(rand.NewPCG(seed, uint64(n)))
	w.store.rev, w.store.trusting = 1, trusting
	if w.rng.IntN(2) == 0 {
		w.loss = 0.05 * w.rng.Float64()
	}
	w.run(4 * time.Second)
	d := &disturbance{w: w, rng: w.rng, last: map[*instance]time.Time{}}
	var changes []change
	nextSeries, nextChange := w.now, w.now
	for end := w.now.Add(length); w.now.Before(end); w.run(tick) {
		d.run()
		if !w.now.Before(nextSeries) {
			nextSeries = w.now.Add(d.begin() + d.between(contact, contact+3*time.Second))
		}
		if !w.now.Before(nextChange) {
			nextChange = w.now.Add(d.between(50*time.Millisecond, 1500*time.Millisecond))
			w.store.rev++
			c := change{at: w.now, due: w.now.Add(bound), rev: w.store.rev}
			for _, e := range w.instances {
				if w.now.Sub(d.last[e]) >= contact {
					c.undisturb = append(c.undisturb, e)
				}
			}
			changes = append(changes, c)
		}
		open := changes[:0]
		for _, c := range changes {
			known := 0
			for _, e := range c.undisturb {
				switch {
				case !d.last[e].Before(c.at) || e.watcher.rev >= c.rev:
					known++
				case w.now.After(c.due):
					unseen = max(unseen, w.now.Sub(c.at))
				}
			}
			if known < len(c.undisturb) {
				open = append(open, c)
			} else if len(c.undisturb) > 0 {
				slowest = max(slowest, w.now.Sub(c.at))
			}
		}
		changes = open
	}
	return unseen, slowest
}

// Guards against changes of the store that no instance reads in time, because those that are to watch it have been cut off, killed
// or started and have not shown that they can (review of 2026-12, case 2). The bounds are those of the users' deployments.
func TestChangesAreReadInTime(t *testing.T) {
	for _, c := range []struct {
		n, centres     int
		bound, contact time.Duration
		seeds          int
		length         time.Duration
	}{
		{8, 3, 2 * time.Second, 3 * time.Second, 60, 40 * time.Second},
		{12, 3, 2 * time.Second, 3 * time.Second, 15, 40 * time.Second},
		{73, 4, 3 * time.Second, 4 * time.Second, 2, 20 * time.Second},
		{95, 5, 4 * time.Second, 5 * time.Second, 2, 20 * time.Second},
	} {
		t.Run(fmt.Sprint(c.n, " instances"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var slowest time.Duration
			for seed := range uint64(c.seeds) {
				unseen, s := playWatch(seed, c.n, c.centres, c.bound, c.contact, c.length, false)
				g.Expect(unseen).To(BeZero(), "seed %d", seed)
				slowest = max(slowest, s)
			}
			t.Logf("changes were known at all instances in touch after %v at most", slowest)
		})
	}
}

// Guards against a simulation that does not notice instances that count as able to read the store before they have shown it.
func TestSimulationNoticesUnprovenWatchers(t *testing.T) {
	noticed := 0
	for seed := range uint64(20) {
		if unseen, _ := playWatch(seed, 8, 3, 2*time.Second, 3*time.Second, 40*time.Second, true); unseen > 0 {
			noticed++
		}
	}
	NewWithT(t).Expect(noticed).To(BeNumerically(">=", 5))
}
