package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// log records something that was done.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%.3f s ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// playFaults plays several series of faults at once, which overlap, and returns when all of them have been undone.
func (w *world) playFaults() {
	end := time.Now().Add(trouble)
	var series sync.WaitGroup
	for n := range 5 {
		r := w.random(fmt.Sprint("series", n))
		series.Go(func() {
			time.Sleep(between(r, 0, time.Second))
			for time.Now().Before(end) {
				w.playFault(r)
				time.Sleep(between(r, 0, 600*time.Millisecond))
			}
		})
	}
	series.Wait()
	w.mu.Lock()
	clear(w.hostile)
	w.mu.Unlock()
	for n := range w.endpoints {
		w.links[n].set(linkState{})
		w.register(n, "ready")
	}
}

// between returns a random duration.
func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// playFault plays one random fault and undoes it.
func (w *world) playFault(r *rand.Rand) {
	i := w.instances[r.IntN(len(w.instances))]
	n := r.IntN(len(w.endpoints))
	length := between(r, 50*time.Millisecond, 1500*time.Millisecond)
	kind := r.IntN(13)
	harm := func(l *link) {
		s := []linkState{{delay: between(r, 0, 200*time.Millisecond)}, {silent: true}, {silentAnswer: true}, {refuse: true}}[r.IntN(4)]
		w.log("link %s for %v: %+v", l.target, length, s)
		l.set(s)
		time.Sleep(length)
		l.set(linkState{})
	}
	switch kind {
	case 0:
		w.log("kill %s", i.name)
		i.kill(length / 2)
	case 1:
		w.log("stop %s", i.name)
		i.stop()
	case 2:
		w.log("pause %s for %v", i.name, length)
		i.pause(length)
	case 3:
		w.log("new settings of %s", i.name)
		i.writeSettings()
		if r.IntN(2) == 0 {
			i.current().signal(syscall.SIGHUP)
		}
	case 4:
		w.log("stop all in turn")
		for _, i := range w.instances {
			i.stop()
		}
	case 5:
		w.log("kill all")
		var wg sync.WaitGroup
		for _, i := range w.instances {
			wg.Go(func() { i.kill(length / 3) })
		}
		wg.Wait()
	case 6:
		w.log("store down for %v", length)
		w.store.SetDown(true)
		time.Sleep(length)
		w.store.SetDown(false)
	case 7:
		harm(i.store)
	case 8:
		harm(w.links[n])
	case 9:
		share := r.Float64()
		w.log("reset %.2f of the connections of endpoint %d, and of %s to the store", share, n, i.name)
		w.links[n].reset(share)
		i.store.reset(share)
	case 10:
		w.log("endpoint %d leaves for %v", n, length)
		w.register(n, "draining")
		time.Sleep(length / 2)
		w.store.Delete("servers", w.endpoints[n].ID)
		time.Sleep(length / 2)
		w.register(n, "ready")
	case 11:
		w.log("new configuration")
		w.configure()
	case 12:
		share := r.Float64()
		w.log("endpoint %d: faulty responses to %.2f of its requests for %v", n, share, 2*length)
		w.setHostile(n, share)
		time.Sleep(2 * length)
		w.setHostile(n, 0)
	}
}

func (w *world) setHostile(n int, share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostile[n] = share
}
