package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/platform/fake"
)

const (
	handOverLoad    = 12 * time.Second
	handOverCallers = 40 // per instance
	minHandOvers    = 100
	// warning is how long standstills have been going on when the load begins.
	warning = time.Second
)

// Guards against two model engines that work on a request together for longer than the platform allows, because the instance that hands
// it over stands still for a moment, as processes on busy machines do (rule TWICE). Standstills of instances excuse nothing here.
func TestOverlapsBesideStandstills(t *testing.T) {
	for n, c := range []struct {
		name              string
		shortest, longest time.Duration
	}{
		{"none", 0, 0},
		{"short", 100 * time.Millisecond, 200 * time.Millisecond},
		{"long", 200 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := &world{t: t, seed: *firstSeed, slot: n, grace: 3 * time.Second, slots: 400}
			handOvers, overlaps := w.playHandOvers(c.shortest, c.longest)
			slices.Sort(overlaps)
			late, longest := 0, time.Duration(0)
			for _, o := range overlaps {
				longest = max(longest, o)
				if o >= maxOverlap {
					late++
				}
			}
			t.Log("streams handed over:", handOvers, "overlaps:", len(overlaps), "longest:", longest, "too long:", late)
			g.Expect(handOvers).To(BeNumerically(">=", minHandOvers))
			g.Expect(late).To(BeZero(), "%v", overlaps)
		})
	}
}

// playHandOvers sends streams whose first endpoint falls silent, and returns how many were handed over, and for how long two endpoints
// worked on each.
func (w *world) playHandOvers(shortest, longest time.Duration) (handOvers int, overlaps []time.Duration) {
	defer w.open()()
	for n := range endpoints - 2 {
		e := fake.NewEndpoint(fmt.Sprint("e", n), func(r *http.Request) fake.Behaviour { return w.silentFirst(n, r) })
		defer e.Close()
		w.endpoints, w.links = append(w.endpoints, e), append(w.links, openLink(w.t, e.Address()))
		w.register(n, "ready")
	}
	defer w.startInstances()()
	var wg sync.WaitGroup
	begin := time.Now().Add(warning)
	end := begin.Add(handOverLoad)
	for k, i := range w.instances {
		if longest > 0 {
			wg.Go(func() {
				for r := w.random(i.name); time.Now().Before(end); time.Sleep(between(r, 200*time.Millisecond, 700*time.Millisecond)) {
					i.pause(between(r, shortest, longest))
				}
			})
		}
		for n := range handOverCallers {
			wg.Go(func() {
				time.Sleep(time.Until(begin))
				c := &http.Client{Timeout: 6 * time.Second}
				for m := 0; time.Now().Before(end); m++ {
					resp, err := c.Do(fake.NewRequest(i.address(), "/stream/", fmt.Sprintf("%d-%d-%d", k, n, m), 5*time.Second))
					if err != nil {
						continue
					}
					io.Copy(io.Discard, resp.Body) // streams may be broken off
					resp.Body.Close()
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(maxOverlap) // until the endpoints have noticed cancellations
	for _, works := range w.works() {
		if len(works) > 1 {
			handOvers++
		}
		for n, a := range works {
			for _, b := range works[n+1:] {
				end := earlier(a.End, b.End)
				// A stand-in notices a cancellation late if this process stands still.
				if d := end.Sub(b.Start) - covered(w.own.within(b.Start, end), b.Start, end); d > 0 {
					overlaps = append(overlaps, d)
				}
			}
		}
	}
	return handOvers, overlaps
}

// silentFirst returns the behaviour of an endpoint for a stream: the first one falls silent in the midst of it, the second one takes
// some time to begin.
func (w *world) silentFirst(n int, req *http.Request) fake.Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fake.RequestID(req)
	if first, known := w.first[id]; !known {
		w.first[id] = n
		b := fake.Behaviour{Events: streamEvents, Pause: 10 * time.Millisecond}
		if w.faulty.IntN(2) == 0 {
			b.Pause, b.PauseAfter = between(w.faulty, 1300*time.Millisecond, 4*time.Second), 1
		}
		return b
	} else if first == n {
		return fake.Behaviour{Events: streamEvents}
	}
	return fake.Behaviour{Events: streamEvents, Delay: between(w.faulty, 50*time.Millisecond, 400*time.Millisecond), Pause: 10 * time.Millisecond}
}
