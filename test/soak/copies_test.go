package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"monsoondale/platform/fake"
)

const (
	maxResends = 3 // of an order that was refused
	// formerShortest and formerLongest are how long the former id of an endpoint that has started anew stays listed.
	formerShortest, formerLongest = 200 * time.Millisecond, time.Second
	// unlistedLongest is how long it may then take until the new id is listed.
	unlistedLongest = 200 * time.Millisecond
)

// copyFaults are the kinds of faults that are played beside copies of refusals. None of them changes the entries of endpoints.
var copyFaults = []int{0, 1, 2, 2, 3, 3, 11, 11, 13, 13}

// Guards against "not run" for an order that runs, and against a second run of it, when a refusal is sent once more and bears the id of a
// request that is under way again on the same connection (incident TWICE).
func TestSoakOfCopiedRefusals(t *testing.T) {
	forEachSeed(t, nil, func(w *world) {
		w.grace, w.slots = 3*time.Second, 6
		w.copies = &copies{r: w.random("copies")}
		run(w, func() {
			var series sync.WaitGroup
			series.Go(w.playStarts)
			series.Go(w.playRefusals)
			w.playFaults(trouble, copyFaults)
			series.Wait()
		})
	})
}

// copies is what a world has in addition if its endpoints send refusals once more. The world's mu protects it.
type copies struct {
	r        *rand.Rand         // draws responses
	refusing [endpoints]float64 // share of the requests of each endpoint that are refused
}

// behaviour draws the response of an endpoint to a request.
func (c *copies) behaviour(n int) fake.Behaviour {
	b := fake.Behaviour{Events: streamEvents, Copy: true, Delay: between(c.r, 0, 100*time.Millisecond), Pause: between(c.r, 0, 15*time.Millisecond)}
	if c.r.IntN(6) == 0 {
		b.Delay = between(c.r, 100*time.Millisecond, 600*time.Millisecond)
	}
	switch c.r.IntN(3) {
	case 0:
		b.CopyLate = between(c.r, 0, 80*time.Millisecond)
	case 1:
		b.CopyLate = between(c.r, 80*time.Millisecond, 400*time.Millisecond)
	}
	if c.r.Float64() < c.refusing[n] {
		switch c.r.IntN(8) {
		case 0:
			b.Misdirected = true
		case 1, 2, 3:
			b.Reject, b.Status = true, http.StatusTooManyRequests
		default:
			b.Reject = true
		}
	}
	return b
}

// playRefusals changes which share of their requests the endpoints refuse.
func (w *world) playRefusals() {
	r := w.random("refusals")
	set := func(draw func() float64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for n := range w.copies.refusing {
			w.copies.refusing[n] = draw()
		}
	}
	for end := time.Now().Add(trouble); time.Now().Before(end); time.Sleep(between(r, 100*time.Millisecond, 600*time.Millisecond)) {
		most := []float64{0.3, 0.6, 1}[r.IntN(3)]
		set(func() float64 { return most * r.Float64() })
	}
	set(func() float64 { return 0 })
}

// playStarts has endpoints start anew: one, some, or all of them.
func (w *world) playStarts() {
	r := w.random("starts")
	for k, end := 0, time.Now().Add(trouble); time.Now().Before(end); k++ {
		time.Sleep(between(r, 0, 700*time.Millisecond))
		w.startAnew(r, k, r.Perm(endpoints)[:[]int{1, 2, 4, endpoints, endpoints}[r.IntN(5)]])
	}
}

// startAnew ends some endpoints and starts others at their addresses, which respond with 421 until they are listed under their new ids. Two
// of the addresses may change their services.
func (w *world) startAnew(r *rand.Rand, k int, which []int) {
	w.log("endpoints %v start anew", which)
	var former []string
	for _, n := range which {
		former = append(former, w.endpoints[n].CurrentID())
		end := w.links[n].harms.begin()
		w.endpoints[n].StartAnew(fmt.Sprintf("e%d-%d", n, k))
		end()
	}
	if len(which) > 1 && r.IntN(3) == 0 {
		w.mu.Lock()
		a, b := &w.services[which[0]], &w.services[which[1]]
		*a, *b = *b, *a
		w.mu.Unlock()
	}
	var entries sync.WaitGroup
	for i, n := range which {
		listed, both, unlisted := between(r, formerShortest, formerLongest), r.IntN(3) == 0, between(r, 0, unlistedLongest)
		entries.Go(func() {
			time.Sleep(listed)
			if both {
				w.register(n, "ready")
				w.store.Delete("servers", former[i])
				return
			}
			w.store.Delete("servers", former[i])
			time.Sleep(unlisted)
			w.register(n, "ready")
		})
	}
	entries.Wait()
}

// repeat sends an order that was refused again, with the same id, to any instance on a new connection, and returns the outcome of the last
// send.
func (w *world) repeat(ctx context.Context, c *http.Transport, r *rand.Rand, o outcome, timeout time.Duration) outcome {
	for n := 0; n < maxResends && ctx.Err() == nil && o.atMostOnce() && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests); n++ {
		time.Sleep(o.retry + between(r, 0, 50*time.Millisecond))
		c.CloseIdleConnections()
		refused := append(o.refused, period{o.at, o.end})
		o = w.call(c, w.instances[r.IntN(len(w.instances))], o.path, o.id, timeout)
		o.refused = refused
	}
	return o
}

// checkRefused returns which run of a request belongs to an earlier send that was said not to have run, or an empty string.
func (o *outcome) checkRefused(works []work) string {
	for _, s := range works {
		if len(o.refused) > 0 && s.Start.Before(o.at) {
			return "was said not to have run, ran, and was sent again"
		}
	}
	return ""
}

// checkCopies checks that refusals were sent once more.
func (w *world) checkCopies() {
	if w.copies == nil {
		return
	}
	var all, sameID, resent int64
	for _, e := range w.endpoints {
		a, s := e.Copies()
		all, sameID = all+a, sameID+s
	}
	for _, o := range w.outcomes {
		resent += int64(len(o.refused))
	}
	w.t.Logf("%d copies of refusals, %d of them while the request with their id ran; %d orders sent again", all, sameID, resent)
	if all == 0 {
		w.violation("no refusal was sent once more")
	}
}

// Guards against an order that ran although it was said not to have run, and that counts as run by the send that followed.
func TestRunOfRefusedSend(t *testing.T) {
	const ms = time.Millisecond
	begin := time.Unix(1_000_000_000, 0)
	refused := []period{{begin, begin.Add(100 * ms)}}
	for _, c := range []struct {
		name    string
		refused []period
		run     time.Duration // its start
		broken  bool
	}{
		{"sent once", nil, 160 * ms, false},
		{"run of the second send", refused, 160 * ms, false},
		{"run of the first send", refused, 50 * ms, true},
		{"run between them", refused, 140 * ms, true},
	} {
		o := &outcome{at: begin.Add(150 * ms), refused: c.refused}
		if got := o.checkRefused([]work{{fake.Span{Start: begin.Add(c.run)}, 0}}); (got != "") != c.broken {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}
