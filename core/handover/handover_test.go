package handover

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const maxStandbys = 3

// endpointWork is what an endpoint does, as seen from outside the machine.
type endpointWork int

const (
	idle endpointWork = iota
	working
	serving // it works, and what it sends is relayed
	stopped // it was cancelled, or has ended
)

// world is the machine together with what its events and actions mean for the endpoints.
type world struct {
	m        Machine
	first    endpointWork
	relayed  Progress // parts of the first endpoint that were relayed
	standbys [maxStandbys + 1]endpointWork
	after    [maxStandbys + 1]Progress // that a standby continues after
	ended    bool                      // the first endpoint's attempt has ended
	broken   string                    // the rule that was broken
}

// step applies an event and its action, and checks the rules.
func (w world) step(e Event) world {
	before := w
	current := w.m.current
	a := w.m.Step(e)
	switch e := e.(type) {
	case Started:
		w.expect(a == Nothing || a == Refuse, "the start of a standby has no other effect")
		possible := before.first == serving && before.atWork() == 0 && e.After == before.relayed
		w.expect((a == Nothing) == possible, "a standby starts beside a first endpoint that serves, and no other standby, after the last part that was relayed")
		if a == Nothing {
			b := w.m.Started()
			w.standbys[b], w.after[b] = working, e.After
		}
	case Progressed:
		w.expect((a != Refuse) == (before.first == serving), "the parts of an endpoint are relayed if it serves the request, and only then")
		if a != Refuse {
			w.relayed++
		}
	case Proved:
		w.expect((a == CancelFirst) == before.beside(e.Standby), "a standby that responds beside the first endpoint gets the request, and no other one")
	case OverlapEnded:
		want := Nothing
		switch {
		case !before.beside(e.Standby):
		case e.Silence >= MaxSilence:
			want = CancelFirst
		default:
			want = CancelStandby
		}
		w.expect(a == want, "a sound endpoint is given up only for a standby that has responded, one that was silent for longer also at the end of an overlap")
	case Failed:
		w.expect(a == Nothing, "the failure of a standby changes nothing for others")
		if w.standbys[e.Standby] == working {
			w.standbys[e.Standby] = stopped
		}
	case FirstFailed:
		w.expect(a == Nothing, "the failure of the first endpoint leaves the standby at work")
		w.first = stopped
		w.expect(before.atWork() == 0 || w.m.Taken(), "a standby at work gets the request when the first endpoint has failed")
		if w.m.Taken() && before.standbys[current] == working {
			w.expect(w.after[current] == w.relayed, "the standby that serves continues after the last part that was relayed")
			w.standbys[current] = serving
		}
	case Ended:
		w.first, w.ended = stopped, true
	}
	switch a {
	case CancelStandby:
		w.expect(before.standbys[current] == working || before.standbys[current] == serving, "only a standby at work is cancelled")
		w.standbys[current] = stopped
	case CancelFirst:
		w.expect(before.first == serving, "only an endpoint that serves is given up")
		w.expect(before.standbys[current] == working, "an endpoint is given up only for a standby at work")
		w.expect(w.after[current] == w.relayed, "the standby that serves continues after the last part that was relayed")
		w.first, w.standbys[current] = stopped, serving
	}
	w.expect(w.atWork() <= 1, "one standby works at a time")
	w.expect(!w.ended || w.atWork() == 0, "no standby works after the end")
	servers := 0
	if w.first == serving {
		servers++
	}
	for b, s := range w.standbys {
		if s == serving {
			servers++
			w.expect(w.m.Taken(), "the machine knows who serves")
		}
		w.expect(b == 0 || w.m.Has(Standby(b)) == (s == working || s == serving), "the machine knows who is at work")
	}
	w.expect(servers <= 1, "one endpoint serves")
	w.expect(servers == 1 || w.ended || w.first == stopped, "an endpoint serves until the end")
	return w
}

// beside reports whether a standby works beside the first endpoint.
func (w *world) beside(b Standby) bool { return w.first == serving && w.standbys[b] == working }

func (w *world) atWork() (n int) {
	for _, s := range w.standbys {
		if s == working || s == serving {
			n++
		}
	}
	return n
}

func (w *world) expect(ok bool, rule string) {
	if !ok && w.broken == "" {
		w.broken = rule
	}
}

// possible returns the events that may happen next, late ones included: those of a standby that was cancelled, and parts of a first
// endpoint that was.
func (w *world) possible() []Event {
	var out []Event
	for b := Standby(1); b <= w.m.Started(); b++ {
		if s := w.standbys[b]; s != serving {
			out = append(out, Proved{b}, Failed{b})
		}
		out = append(out, OverlapEnded{b, time.Second}, OverlapEnded{b, MaxSilence})
	}
	if w.m.Started() < maxStandbys {
		out = append(out, Started{w.relayed}, Started{w.relayed - 1})
	}
	if w.ended {
		return out
	}
	if w.relayed < 3 && (w.first == serving || w.first == stopped && w.m.Taken()) {
		out = append(out, Progressed{})
	}
	return append(out, FirstFailed{}, Ended{})
}

// Guards against orders of events in which a sound endpoint loses its request to one that has proved nothing, two endpoints serve it,
// a standby continues after a part that is not the last one, or works on for nobody. Tries all orders with up to three standbys.
func TestAllOrdersOfEvents(t *testing.T) {
	g := NewWithT(t)
	type visit struct {
		w    world
		path []Event
	}
	start := world{first: serving}
	seen := map[world]bool{start: true}
	type coverage struct {
		phase phase
		event string
	}
	covered := map[coverage]bool{}
	for next := []visit{{w: start}}; len(next) > 0; {
		v := next[0]
		next = next[1:]
		for _, e := range v.w.possible() {
			w := v.w.step(e)
			g.Expect(w.broken).To(BeEmpty(), "%s", describe(append(v.path, e)))
			covered[coverage{v.w.m.phase, fmt.Sprintf("%T", e)}] = true
			if !seen[w] {
				seen[w] = true
				next = append(next, visit{w, append(v.path[:len(v.path):len(v.path)], e)})
			}
		}
	}
	t.Logf("%d states", len(seen))
	g.Expect(covered).To(HaveLen(4*7-1), "each event happens in each phase, but no part after the end")
}

func describe(path []Event) string {
	var out string
	for _, e := range path {
		out += fmt.Sprintf("%T%+v ", e, e)
	}
	return out
}

// Guards against standbys that cannot prove themselves before they are cancelled, or that respond after the caller has left.
func TestCandidates(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		candidate     Candidate
		silence, left time.Duration
		want          bool
	}{
		{"quick", Candidate{Latency: 100 * ms, Limited: true, Overlap: MaxOverlap}, 1200 * ms, time.Second, true},
		{"quick, has failed to respond", Candidate{Latency: 100 * ms, Limited: true, Overlap: MaxOverlap, Tried: true}, 1200 * ms, time.Second, false},
		{"too slow for the overlap", Candidate{Latency: 300 * ms, Limited: true, Overlap: MaxOverlap}, 1200 * ms, time.Second, false},
		{"too slow for the overlap, at whose end the first endpoint has failed", Candidate{Latency: 300 * ms, Limited: true, Overlap: MaxOverlap, MayTake: true}, 1750 * ms, time.Second, true},
		{"has failed to respond, and the first endpoint too", Candidate{Latency: 100 * ms, Limited: true, Overlap: MaxOverlap, MayTake: true, Tried: true}, 1750 * ms, time.Second, true},
		{"can't get the request without a response", Candidate{Latency: 300 * ms, Limited: true, Overlap: MaxOverlap}, 1750 * ms, time.Second, true},
		{"can't get the request without a response, has failed to respond", Candidate{Latency: 100 * ms, Limited: true, Overlap: MaxOverlap, Tried: true}, 1750 * ms, time.Second, false},
		{"too slow for the caller", Candidate{Latency: 300 * ms, Limited: true, Overlap: MaxOverlap, MayTake: true}, 1750 * ms, 300 * ms, false},
		{"quick, in a short overlap", Candidate{Latency: 100 * ms, Limited: true, Overlap: 150 * ms}, 1200 * ms, time.Second, true},
		{"too slow for a short overlap", Candidate{Latency: 200 * ms, Limited: true, Overlap: 150 * ms}, 1200 * ms, time.Second, false},
		{"the first endpoint has not failed yet when a short overlap ends", Candidate{Latency: 300 * ms, Limited: true, Overlap: 150 * ms, MayTake: true}, 1800 * ms, time.Second, false},
		{"no overlap, and the first endpoint may be sound", Candidate{Latency: 100 * ms, Limited: true, MayTake: true}, 1900 * ms, time.Second, false},
		{"no overlap, and the first endpoint has failed", Candidate{Latency: 100 * ms, Limited: true, MayTake: true}, 2000 * ms, time.Second, true},
		{"no overlap, can't get the request without a response", Candidate{Latency: 100 * ms, Limited: true}, 2000 * ms, time.Second, false},
		{"slow, with no limit", Candidate{Latency: 600 * ms}, 700 * ms, time.Second, true},
		{"too slow for the caller, with no limit", Candidate{Latency: 600 * ms}, 700 * ms, 600 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(c.candidate.MayStart(c.silence, c.left)).To(Equal(c.want))
		})
	}
}

// Guards against an overlap that is longer than the platform allows when the process is as late at its end as it was before, or half as
// late again.
func TestOverlap(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ lateness, want time.Duration }{
		{0, MaxOverlap}, {50 * ms, MaxOverlap}, {75 * ms, 200 * ms}, {125 * ms, 100 * ms}, {126 * ms, 0}, {time.Second, 0},
	} {
		g := NewWithT(t)
		d := Overlap(c.lateness)
		g.Expect(d).To(Equal(c.want), "late by %v", c.lateness)
		if d > 0 {
			g.Expect(d + c.lateness*3/2 + cancelTime).To(BeNumerically("<=", OverlapBound))
		}
	}
}
