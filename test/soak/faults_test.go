package soak_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const oddDepth = 9000 // of a nested value

// log records something that was done.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%.3f s ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// playFaults plays several series of faults at once, which overlap, and returns when all of them have been undone.
func (w *world) playFaults(length time.Duration, kinds []int) {
	w.playSeries(length, kinds)
	w.mu.Lock()
	clear(w.hostile)
	w.mu.Unlock()
	odd := w.random("odd entries")
	for range 20 {
		w.addOddEntries(odd)
	}
	for n := range w.endpoints {
		w.links[n].set(linkState{})
		w.register(n, "ready")
	}
}

// playSeries plays several series of faults at once.
func (w *world) playSeries(length time.Duration, kinds []int) {
	end := time.Now().Add(length)
	var series sync.WaitGroup
	for n := range 5 {
		r := w.random(fmt.Sprint("series", n))
		series.Go(func() {
			time.Sleep(between(r, 0, time.Second))
			for time.Now().Before(end) {
				w.playFault(r, kinds[r.IntN(len(kinds))])
				time.Sleep(between(r, 0, 600*time.Millisecond))
			}
		})
	}
	series.Wait()
}

// between returns a random duration.
func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// allFaults, calmFaults and instanceFaults are kinds of faults; the second leave instances and links alone, the last one endpoints.
var (
	instanceFaults = []int{0, 0, 1, 2, 2, 3, 4, 5, 6, 7}
	allFaults      = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 12, 13, 13, 14, 15}
	calmFaults     = []int{10, 12, 13, 13, 13, 14, 15}
)

// playFault plays one fault and undoes it.
func (w *world) playFault(r *rand.Rand, kind int) {
	i := w.instances[r.IntN(len(w.instances))]
	n := r.IntN(len(w.endpoints))
	length := between(r, 50*time.Millisecond, 1500*time.Millisecond)
	harm := func(l *link) {
		defer l.harms.begin()()
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
		i.reload(r.IntN(2) == 0)
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
		defer w.leaves[n].begin()()
		w.register(n, "draining")
		time.Sleep(length / 2)
		w.store.Delete("servers", w.endpoints[n].CurrentID())
		time.Sleep(length / 2)
		w.register(n, "ready")
	case 11:
		w.log("new configuration")
		w.configure(longTimeout, longTimeout+timeoutRange)
	case 12:
		share := r.Float64()
		w.log("endpoint %d: faulty responses to %.2f of its requests for %v", n, share, 2*length)
		defer w.links[n].harms.begin()()
		w.setHostile(n, share)
		time.Sleep(2 * length)
		w.setHostile(n, 0)
	case 13:
		w.silence(between(r, minSilence, maxSilence), n)
	case 14:
		w.change(r, 2*length)
	case 15:
		w.log("odd entries")
		w.addOddEntries(r)
	}
}

// playStops stops all instances in a series that overlaps.
func (w *world) playStops() {
	var stops sync.WaitGroup
	for _, i := range w.instances {
		stops.Go(func() {
			time.Sleep(beforeStops + between(w.random("stop "+i.name), 0, 2*time.Second))
			w.log("stop %s", i.name)
			i.stop()
		})
	}
	stops.Wait()
}

// playMassSilences makes all endpoints fall silent at once, several times, also beside a configuration whose timeouts are shorter than
// those of some requests.
func (w *world) playMassSilences() {
	r := w.random("mass silences")
	for range massSilences {
		time.Sleep(between(r, 500*time.Millisecond, 2*time.Second))
		if r.IntN(2) == 0 {
			w.log("new configuration with short timeouts")
			w.configure(minTimeout, maxTimeout)
		}
		var silences sync.WaitGroup
		for n := range w.endpoints {
			length := between(r, minSilence, maxSilence)
			silences.Go(func() { w.silence(length, n) })
		}
		silences.Wait()
	}
}

// silence makes an endpoint send nothing for a time, after which it goes on.
func (w *world) silence(length time.Duration, n int) {
	w.log("endpoint %d silent for %v", n, length)
	defer w.silences[n].begin()()
	w.endpoints[n].Silence(length)
	time.Sleep(length)
}

// change writes versions of the configuration and settings in series.
func (w *world) change(r *rand.Rand, length time.Duration) {
	w.log("new configurations and settings for %v", length)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(between(r, 20*time.Millisecond, 300*time.Millisecond)) {
		w.configure(longTimeout, longTimeout+timeoutRange)
		w.instances[r.IntN(len(w.instances))].reload(r.IntN(2) == 0)
	}
}

// addOddEntries writes an entry that describes no endpoint, and one that describes no instance.
func (w *world) addOddEntries(r *rand.Rand) {
	nested := json.RawMessage(strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth))
	values := []any{nil, 7, "text", []any{}, json.Number("1e400"), json.Number("-99999999999999999999"), "127.0.0.1:70000", nested}
	draw := func() any { return values[r.IntN(len(values))] }
	entry := w.endpoints[0].Entry("s", "ready", 4)
	fields := slices.Sorted(maps.Keys(entry))
	entry[fields[r.IntN(len(fields))]] = draw()
	instance := map[string]any{"addr": draw(), "zone": draw()}
	for kind, spec := range map[string]any{"servers": entry, "monsoondale-instances": instance} {
		if r.IntN(3) == 0 {
			spec = draw()
		}
		w.store.Put(kind, fmt.Sprint([]string{"a-odd", "odd"}[r.IntN(2)], r.IntN(100)), spec)
	}
}

func (w *world) setHostile(n int, share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostile[n] = share
}
