package pool

import (
	"slices"
	"time"

	"monsoondale/core"
)

// noticeRetention is how long a notice of an endpoint that is not listed is remembered. Entries that were removed while the
// store was away return within seconds.
const noticeRetention = 10 * time.Minute

// Notice is what an endpoint states about itself in a response.
type Notice struct {
	// Leaving means that the endpoint is shutting down.
	Leaving bool
	// Wait is the time for which the endpoint wants no requests from this instance; 0 if it states none.
	Wait time.Duration
	// InvalidWait is the stated time if it is not valid.
	InvalidWait string
}

// noticeState combines the notices of one start of an endpoint. It applies until the endpoint starts again, whatever its
// entry states, and also after its entry was removed and written again.
type noticeState struct {
	incarnation   int64
	address       string
	leaving       bool
	waitUntil     time.Time
	invalidLogged bool
	updated       time.Time
}

// appliesTo reports whether the notices concern the start that an entry describes. Earlier starts are included, since the
// entry is then out of date.
func (n *noticeState) appliesTo(e *Endpoint) bool {
	switch {
	case n == nil:
		return false
	case e.Incarnation != n.incarnation || n.incarnation != 0:
		return e.Incarnation <= n.incarnation
	}
	return e.Address == n.address // the start is unknown
}

// closed reports whether the endpoint wants no requests now.
func (n *noticeState) closed(now time.Time) bool {
	return n != nil && (n.leaving || now.Before(n.waitUntil))
}

// RecordNotice records what the endpoint of a grant has stated about itself. A wait is never shortened by a later notice or
// by a success: the endpoint has stated when it has room.
func (p *Pool) RecordNotice(now time.Time, g *Grant, v Notice) {
	if !v.Leaving && v.Wait <= 0 && v.InvalidWait == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.notices[g.Endpoint.ID]
	switch {
	case n == nil || !n.appliesTo(&g.Endpoint):
		n = &noticeState{incarnation: g.Endpoint.Incarnation, address: g.Endpoint.Address}
		p.notices[g.Endpoint.ID] = n
	case n.incarnation != g.Endpoint.Incarnation:
		return // late response of an earlier start
	}
	n.updated = now
	if v.Leaving && !n.leaving {
		n.leaving = true
		p.o.Log.Info("endpoint leaving", "endpoint", g.Endpoint.ID, "incarnation", n.incarnation, "request", g.req.ID)
	}
	if until := now.Add(v.Wait); v.Wait > 0 && until.After(n.waitUntil) {
		if !now.Before(n.waitUntil) { // no line for each request that is turned away meanwhile
			p.o.Log.Info("endpoint waits", "endpoint", g.Endpoint.ID, "span", v.Wait.String(), "request", g.req.ID)
		}
		n.waitUntil = until
	}
	if v.InvalidWait != "" && !n.invalidLogged {
		n.invalidLogged = true
		p.o.Log.Info("invalid wait of endpoint ignored", "endpoint", g.Endpoint.ID, "stated", v.InvalidWait, "request", g.req.ID)
	}
	g.endpointState.notice = n
	if e := p.endpoints[g.Endpoint.ID]; e != nil && n.appliesTo(&e.Endpoint) {
		e.notice = n
	}
	p.assign(now)
}

// Accepts reports whether the endpoint of a grant still accepts requests. Between the grant and the sending, its entry or a
// response to another request may have changed that. It is called when the connection is open.
func (p *Pool) Accepts(now time.Time, g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.connected = now
	return g.endpointState.accepts(now) && !p.barred(now, g.endpointState)
}

// Leaving reports whether the endpoint of a grant is shutting down, according to its entry or its own responses.
func (p *Pool) Leaving(g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return g.endpointState.leaving()
}

// pruneNotices drops the notices of endpoints that have not been listed for long.
func (p *Pool) pruneNotices(now time.Time) {
	for id, n := range p.notices {
		if p.endpoints[id] == nil && now.Sub(n.updated) > noticeRetention {
			delete(p.notices, id)
		}
	}
}

// waitEnd returns when the first of the endpoints that are not leaving accepts requests again. ok is false if there is none,
// or one that has not asked to wait.
func (p *Pool) waitEnd(now time.Time, exclude []core.EndpointID) (end time.Time, ok bool) {
	for _, e := range p.orderedEndpoints {
		switch {
		case e.leaving() || slices.Contains(exclude, e.ID):
			continue
		case !e.notice.closed(now):
			return time.Time{}, false
		case !ok || e.notice.waitUntil.Before(end):
			end, ok = e.notice.waitUntil, true
		}
	}
	return end, ok
}
