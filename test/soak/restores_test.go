package soak_test

import (
	"sync"
	"testing"
	"time"
)

// Guards against broken promises while the store comes back from older copies: entries of endpoints and versions of the configuration that
// it lost, and those that it has again, until they are written again.
func TestSoakOfRestores(t *testing.T) {
	forEachSeed(t, nil, func(w *world) {
		w.grace, w.slots, w.silent, w.longWork = 3*time.Second, 4, 2, 1
		run(w, func() {
			var restores sync.WaitGroup
			restores.Go(w.playRestores)
			w.playFaults(trouble, []int{0, 1, 2, 3, 4, 7, 8, 9, 10, 10, 10, 11, 11, 12, 13, 14, 15})
			restores.Wait()
		})
	})
}

// playRestores restores the store from copies that are up to 3 s old, at times twice in a row.
func (w *world) playRestores() {
	r := w.random("restores")
	for end := time.Now().Add(trouble); time.Now().Before(end); {
		time.Sleep(between(r, 500*time.Millisecond, 2*time.Second))
		age := between(r, 0, 3*time.Second)
		w.log("store restored from a copy of %v ago", age)
		w.store.SetDown(true)
		time.Sleep(between(r, 50*time.Millisecond, 500*time.Millisecond))
		again := w.store.Restore(age)
		w.store.SetDown(false)
		time.Sleep(between(r, 0, time.Second))
		again()
	}
}
