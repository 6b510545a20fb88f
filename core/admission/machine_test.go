package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"monsoondale/core"
	. "monsoondale/core/admission"
	"monsoondale/core/endpoint"
)

// machine runs random operations of holders on a Shard, and checks the effects against a model of what the holders hold.
type machine struct {
	t              *rapid.T
	s              *Shard
	now            time.Time
	seq            int
	asks           map[core.RequestID]Ask      // asks that have not ended
	queued         map[core.RequestID]bool     // waiting for a grant or refusal
	held           map[core.RequestID]Grant    // granted and in use
	confirmedUntil map[core.Tier]time.Time     // end of the confirmations
	suspended      map[core.RequestID]struct{} // suspended and not resumed yet
	engines        int
}

const machineMaxQueued = 6

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: start, engines: 2,
		s:    New(Options{Epoch: "t", MaxQueued: machineMaxQueued, Endpoint: endpoint.Options{InitialSlots: 2}}),
		asks: map[core.RequestID]Ask{}, queued: map[core.RequestID]bool{}, held: map[core.RequestID]Grant{},
		confirmedUntil: map[core.Tier]time.Time{}, suspended: map[core.RequestID]struct{}{},
	}
	m.checkEffects(m.s.SetEndpoints(m.now, specs(m.engines)))
	return m
}

// checkEffects checks effects and updates the model.
func (m *machine) checkEffects(es []Effect) {
	for _, e := range es {
		switch e := e.(type) {
		case Grant:
			if old, ok := m.held[e.Request]; ok && old.Grant != e.Grant {
				m.t.Fatalf("request %s holds grants %s and %s", e.Request, old.Grant, e.Grant)
			}
			if _, ok := m.asks[e.Request]; !ok {
				m.t.Fatalf("grant %s for request %s, which is not waiting", e.Grant, e.Request)
			}
			if x := m.asks[e.Request].Exclude; lo.Contains(x, e.Endpoint) {
				m.t.Fatalf("request %s got the excluded endpoint %s", e.Request, e.Endpoint)
			}
			if p := m.asks[e.Request].Pin; p != "" && p != e.Endpoint {
				m.t.Fatalf("request %s was pinned to %s and got %s", e.Request, p, e.Endpoint)
			}
			m.held[e.Request] = e
			delete(m.queued, e.Request)
		case Refuse:
			m.checkRefusal(e)
		case Suspend:
			g, ok := m.held[e.Request]
			if ok && g.Grant == e.Grant && m.asks[e.Request].Once {
				m.t.Fatalf("non-idempotent request %s is to be suspended", e.Request)
			}
		}
	}
	st := m.s.Stats()
	if n := lo.Sum(st.Queued[:]); n != len(m.queued) {
		m.t.Fatalf("%d asks queued, %d waiting at holders", n, len(m.queued))
	}
}

// checkRefusal checks that a refusal is permitted and ends its ask.
func (m *machine) checkRefusal(e Refuse) {
	a := m.asks[e.Request]
	if e.Err.Code.Class() != core.ClassNotRun {
		m.t.Fatalf("refusal with code %d", e.Err.Code)
	}
	if e.Err.Code == core.CodeDeadline || e.Err.Code == core.CodeOverloaded {
		if a.Pin != "" {
			m.t.Fatalf("request %s was shed after it had run in part", e.Request)
		}
		for r := range m.held {
			if m.asks[r].Tier > a.Tier {
				m.t.Fatalf("tier %d was shed while %s of tier %d runs", a.Tier, r, m.asks[r].Tier)
			}
		}
		confirmed := lo.SomeBy(lo.Range(int(a.Tier)+1), func(t int) bool { return m.confirmedUntil[core.Tier(t)].After(m.now) })
		if a.Tier < core.Tiers-1 && !confirmed {
			m.t.Fatalf("tier %d was shed without confirmation", a.Tier)
		}
	}
	delete(m.queued, e.Request)
	delete(m.asks, e.Request)
}

func (m *machine) ask(t *rapid.T) {
	m.seq++
	a := Ask{
		Request: core.RequestID(fmt.Sprint("r", m.seq)), Holder: core.InstanceID(fmt.Sprint("h", m.seq%2)),
		Workspace: core.WorkspaceID(rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace")),
		Caller:    core.CallerID(rapid.SampledFrom([]string{"c", "d"}).Draw(t, "caller")),
		Tier:      core.Tier(rapid.IntRange(0, core.Tiers-1).Draw(t, "tier")),
		Weight:    1, Prefill: core.Tokens(rapid.IntRange(1, 5000).Draw(t, "prefill")), Decode: 50,
		Once: rapid.Bool().Draw(t, "once"),
	}
	if rapid.Bool().Draw(t, "deadline") {
		a.Deadline = m.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
	}
	m.submit(a)
}

func (m *machine) submit(a Ask) {
	m.asks[a.Request] = a
	m.queued[a.Request] = true
	m.checkEffects(m.s.Ask(m.now, a))
}

func (m *machine) repeat(t *rapid.T) {
	if r, ok := m.pickRequest(t, lo.Keys(m.asks)); ok {
		if _, parked := m.suspended[r]; !parked {
			m.checkEffects(m.s.Ask(m.now, m.asks[r]))
		}
	}
}

func (m *machine) withdraw(t *rapid.T) {
	if r, ok := m.pickRequest(t, lo.Keys(m.queued)); ok {
		delete(m.queued, r)
		delete(m.asks, r)
		m.checkEffects(m.s.Withdraw(m.now, r))
	}
}

func (m *machine) release(t *rapid.T) {
	r, ok := m.pickRequest(t, lo.Keys(m.held))
	if !ok {
		return
	}
	g, a := m.held[r], m.asks[r]
	outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeDone, OutcomeSuspended, OutcomeRefused, OutcomeUnused, OutcomeFailed, OutcomeCancelled}).Draw(t, "outcome")
	if outcome == OutcomeSuspended && a.Once {
		outcome = OutcomeDone
	}
	delete(m.held, r)
	release := Release{Grant: g.Grant, Request: r, Outcome: outcome, Prefill: a.Prefill, Decode: 50, FirstToken: 50 * time.Millisecond, Total: time.Second}
	if outcome == OutcomeSuspended {
		m.suspended[r] = struct{}{}
		a.Pin = g.Endpoint
		m.asks[r] = a
	} else {
		delete(m.asks, r)
	}
	if outcome == OutcomeRefused {
		m.checkEffects(m.s.Release(m.now, release))
		a.Exclude = []core.EndpointID{g.Endpoint}
		m.submit(a)
	} else {
		m.checkEffects(m.s.Release(m.now, release))
	}
	m.checkEffects(m.s.Release(m.now, release)) // a duplicate, as after a retry of the transport
}

func (m *machine) resume(t *rapid.T) {
	if r, ok := m.pickRequest(t, lo.Keys(m.suspended)); ok {
		delete(m.suspended, r)
		m.submit(m.asks[r])
	}
}

// sync sends a sync of one holder.
func (m *machine) sync(t *rapid.T) {
	m.syncHolder(core.InstanceID(fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "holder"))))
}

func (m *machine) syncHolder(h core.InstanceID) {
	y := Sync{Holder: h}
	var all []Running
	for _, r := range sortedKeys(m.held) {
		g, a := m.held[r], m.asks[r]
		if a.Holder != h {
			continue
		}
		y.Count++
		y.Digest ^= xxhash.Sum64String(string(r))
		all = append(all, Running{Request: r, Grant: g.Grant, Endpoint: g.Endpoint, Workspace: a.Workspace, Caller: a.Caller, Tier: a.Tier, Weight: a.Weight, Prefill: a.Prefill, Decode: a.Decode, Once: a.Once})
	}
	es := m.s.Sync(m.now, y)
	m.checkEffects(es)
	if len(effectsOf[RequestSync](es)) > 0 {
		y.Full, y.Running = true, all
		m.checkEffects(m.s.Sync(m.now, y))
	}
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
	m.checkEffects(m.s.Tick(m.now))
}

func (m *machine) floor(t *rapid.T) {
	tier := core.Tier(rapid.IntRange(0, core.Tiers-1).Draw(t, "floor"))
	until := m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "confirmed") {
		if until.After(m.confirmedUntil[tier]) {
			m.confirmedUntil[tier] = until
		}
		m.checkEffects(m.s.FloorConfirmed(m.now, tier, until))
		return
	}
	m.checkEffects(m.s.ApplyFloor(m.now, tier, until))
}

// replaceOwner starts a new owner, which learns of running requests by syncs only. Holders repeat their asks.
func (m *machine) replaceOwner(*rapid.T) {
	m.seq++ // grant ids must differ between owners
	m.s = New(Options{Epoch: fmt.Sprint("t", m.seq), MaxQueued: machineMaxQueued, Endpoint: endpoint.Options{InitialSlots: 2}})
	waiting := sortedKeys(m.queued)
	m.confirmedUntil = map[core.Tier]time.Time{}
	clear(m.queued)
	m.checkEffects(m.s.SetEndpoints(m.now, specs(m.engines)))
	for _, h := range []core.InstanceID{"h0", "h1"} {
		m.syncHolder(h)
	}
	for _, r := range waiting {
		m.submit(m.asks[r])
	}
}

func (m *machine) pickRequest(t *rapid.T, requests []core.RequestID) (core.RequestID, bool) {
	if len(requests) == 0 {
		return "", false
	}
	return rapid.SampledFrom(sortedKeys(lo.SliceToMap(requests, func(r core.RequestID) (core.RequestID, bool) { return r, true }))).Draw(t, "request"), true
}

// drain releases everything and checks that no asks and no used slots are left.
func (m *machine) drain() {
	for range 200 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.checkEffects(m.s.Tick(m.now))
		for _, h := range []core.InstanceID{"h0", "h1"} {
			m.syncHolder(h)
		}
		for _, r := range sortedKeys(m.suspended) {
			delete(m.suspended, r)
			m.submit(m.asks[r])
		}
		for _, r := range sortedKeys(m.held) {
			g := m.held[r]
			delete(m.held, r)
			delete(m.asks, r)
			m.checkEffects(m.s.Release(m.now, Release{Grant: g.Grant, Request: r, Outcome: OutcomeDone, Prefill: 10, Decode: 10, FirstToken: time.Millisecond, Total: time.Second}))
		}
		if len(m.queued) == 0 && len(m.held) == 0 {
			break
		}
	}
	if len(m.queued) > 0 {
		m.t.Fatalf("asks without grant or refusal: %v", sortedKeys(m.queued))
	}
	if st := m.s.Stats(); st.Running != [core.Tiers]int{} {
		m.t.Fatalf("slots leaked: %+v", st)
	}
	// Endpoints are blocked for at most eight seconds. After that every slot must be free.
	for range 12 {
		m.now = m.now.Add(time.Second)
		m.checkEffects(m.s.Tick(m.now))
	}
	if st := m.s.Stats(); st.Free != st.Slots || st.Free < m.engines {
		m.t.Fatalf("slots leaked: %+v", st)
	}
}

// Guards against shedding a tier while a lower one runs, two grants of a request, leaked slots and unanswered asks, under
// random asks, repeats, withdrawals, late and repeated releases, suspensions, floors and changes of the owner.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.ask, "ask2": m.ask, "repeat": m.repeat, "withdraw": m.withdraw, "release": m.release,
			"resume": m.resume, "sync": m.sync, "tick": m.tick, "floor": m.floor, "owner": m.replaceOwner,
		})
		m.drain()
	})
}

func sortedKeys[V any](m map[core.RequestID]V) []core.RequestID {
	ks := lo.Keys(m)
	slices.Sort(ks)
	return ks
}
