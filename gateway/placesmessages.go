package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/route"
	wire "monsoondale/wire/mesh"
)

// outgoing is a message that is sent when it is due.
type outgoing struct {
	address string
	message wire.Places
	due     time.Time
}

// add adds something to the message to an address, which is due after a delay at the latest.
func (k *keptPlaces) add(now time.Time, address string, delay time.Duration, change func(m *wire.Places)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.addLocked(now, address, delay, change)
}

func (k *keptPlaces) addLocked(now time.Time, address string, delay time.Duration, change func(m *wire.Places)) {
	o, due := k.outbox[address], now.Add(delay)
	if o == nil {
		s := k.g.o.Settings
		o = &outgoing{address: address, message: wire.Places{From: string(s.Name), Address: s.MeshAddress, Centre: string(s.Centre), Start: int(k.g.start.UnixMilli())}, due: due}
		k.outbox[address] = o
	} else if due.Before(o.due) {
		o.due = due
	}
	change(&o.message)
	if m := &o.message; len(m.Waiting)+len(m.Answers)+len(m.Asks) >= maxItems {
		delete(k.outbox, address)
		k.sealed = append(k.sealed, o)
		signal(k.changed)
	}
	if delay > 0 {
		signal(k.changed)
	}
}

// addEnded adds to what is told about the ended asks of a service.
func (k *keptPlaces) addEnded(now time.Time, address string, s route.Service, delay time.Duration, change func(e *wire.Ended)) {
	k.add(now, address, delay, func(m *wire.Places) {
		i := slices.IndexFunc(m.Ended, func(e wire.Ended) bool { return e.Service == string(s) })
		if i < 0 {
			m.Ended = append(m.Ended, wire.Ended{Service: string(s)})
			i = len(m.Ended) - 1
		}
		change(&m.Ended[i])
	})
}

// flush sends the messages that are due, and returns when the next one is.
func (k *keptPlaces) flush(now time.Time) time.Time {
	next := now.Add(time.Hour)
	type message struct {
		to *net.UDPAddr
		m  *wire.Places
	}
	var due []message
	k.mu.Lock()
	for address, o := range k.outbox {
		if o.due.After(now) {
			if o.due.Before(next) {
				next = o.due
			}
			continue
		}
		delete(k.outbox, address)
		k.sealed = append(k.sealed, o)
	}
	for _, o := range k.sealed {
		if to, err := k.resolve(o.address); err == nil {
			due = append(due, message{to, &o.message})
		}
	}
	k.sealed = nil
	k.mu.Unlock()
	for _, d := range due {
		n, err := k.mesh.Load().SendPlaces(d.m, d.to)
		if err != nil {
			k.count("unsent")
			continue
		}
		k.count("sent")
		metrics.GetOrRegisterCounter("places.bytes", k.g.metrics).Inc(int64(n))
	}
	return next
}

// resolve returns the socket address of an IP:PORT. The caller holds mu.
func (k *keptPlaces) resolve(address string) (*net.UDPAddr, error) {
	if a := k.resolved[address]; a != nil {
		return a, nil
	}
	parsed, err := netip.ParseAddrPort(address) // no names: looking them up would block
	if err != nil {
		return nil, err
	}
	a := net.UDPAddrFromAddrPort(parsed)
	k.resolved[address] = a
	return a, nil
}

// encodeAsk converts an ask to its wire format.
func encodeAsk(now time.Time, number uint64, h *heldAsk, final bool) wire.Ask {
	r := &h.req
	w := wire.Ask{
		Number: int(number), Service: string(h.service), Request: string(r.ID), Tier: int(r.Tier), Rank: r.Rank, Prompt: int(r.Prompt), Output: int(r.MaxOutput),
		Workspace: string(r.Workspace), Age: int(now.Sub(r.Arrived).Milliseconds()), Waited: int(r.Waited.Milliseconds()), Deadline: int(r.Deadline.Sub(r.Arrived).Milliseconds()), Gap: int(r.GapObjective.Milliseconds()),
		Stream: r.Stream, Retried: r.Retried, Unstalled: r.Unstalled, Final: final, Group: h.group, Groups: max(h.groups, 1),
	}
	if !r.Objective.IsZero() {
		w.Objective = max(int(r.Objective.Sub(r.Arrived).Milliseconds()), 1)
	}
	for _, id := range r.Exclude {
		w.Avoid = append(w.Avoid, string(id))
	}
	return w
}

// decodeAsk converts an ask from its wire format.
func decodeAsk(now time.Time, w *wire.Ask) pool.Request {
	bounded := func(ms int) time.Duration { return min(milliseconds(min(max(ms, 0), maxFigure)), maxAskAge) }
	tokens := func(n int) core.Tokens { return core.Tokens(min(max(n, 0), maxFigure)) }
	arrived := now.Add(-bounded(w.Age))
	r := pool.Request{
		ID: core.RequestID(w.Request), Tier: core.Tier(min(max(w.Tier, 0), core.Tiers-1)), Rank: min(max(w.Rank, 0), core.Tiers-1), Prompt: tokens(w.Prompt), MaxOutput: tokens(w.Output),
		Workspace: core.WorkspaceID(w.Workspace), Arrived: arrived, Waited: bounded(w.Waited), Deadline: arrived.Add(bounded(w.Deadline)), GapObjective: bounded(w.Gap), Stream: w.Stream, Retried: w.Retried, Unstalled: w.Unstalled,
	}
	if w.Objective > 0 {
		r.Objective = arrived.Add(bounded(w.Objective))
	}
	for _, id := range w.Avoid {
		r.Exclude = append(r.Exclude, core.EndpointID(id))
	}
	return r
}

// encodeGrant converts the grant of an ask to its wire format.
func encodeGrant(id pool.AskID, g *pool.Grant) wire.Answer {
	kept := g.Kept(pool.PlaceID{})
	w := wire.Answer{
		Number: int(id.Number), Endpoint: string(kept.Endpoint), First: int(kept.ExpectedLatency.Milliseconds()), Last: int(kept.ExpectedDuration.Milliseconds()),
		Running: kept.RunningAtEndpoint, Ahead: int(kept.Backlog),
	}
	encodeState(&w, kept.State)
	return w
}

// decodeGrant converts the grant of a keeper from its wire format.
func decodeGrant(id pool.PlaceID, w *wire.Answer) pool.KeptGrant {
	bounded := func(n int) int { return min(max(n, 0), maxFigure) }
	return pool.KeptGrant{
		Place: id, Endpoint: core.EndpointID(w.Endpoint), ExpectedLatency: milliseconds(bounded(w.First)),
		ExpectedDuration: milliseconds(bounded(w.Last)), RunningAtEndpoint: bounded(w.Running), Backlog: core.Tokens(bounded(w.Ahead)), State: decodeState(w),
	}
}

// encodeDecision converts a decision other than a grant to its wire format.
func (k *keptPlaces) encodeDecision(key placesKey, d pool.DecidedAsk) wire.Answer {
	w := wire.Answer{Number: int(d.ID.Number)}
	switch v := d.Decision.(type) {
	case pool.Refusal:
		w.Reason, w.Retry = v.Reason, int(v.RetryAfter.Milliseconds())
		encodeState(&w, v.State)
	case pool.Redirect:
		if c, ok := k.farKeeper(v.Centre, key); ok {
			keeper := c.wire(key)
			w.Keeper = &keeper
		}
	default:
		panic(fmt.Sprintf("decision %T", v))
	}
	return w
}

func encodeState(w *wire.Answer, s pool.State) {
	w.Waiting, w.Free, w.Slots, w.Peers, w.Oldest = s.Waiting, s.Free, s.Slots, s.Peers, int(s.ReportAge.Milliseconds())
}

func decodeState(w *wire.Answer) pool.State {
	return pool.State{Waiting: w.Waiting, Free: w.Free, Slots: w.Slots, Peers: w.Peers, ReportAge: reportAge(w.Oldest)}
}
