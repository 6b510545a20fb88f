package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// started returns an entry of the endpoint e00 with an incarnation.
func started(incarnation int64, address string) pool.Endpoint {
	return pool.Endpoint{ID: "e00", Address: address, Centre: "a", Slots: 4, Incarnation: incarnation}
}

// Guards against requests to an endpoint that has announced its shutdown in a response, however its entry changes
// afterwards, and against a new start that gets none.
func TestLeavingEndpointStaysClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		lists  [][]pool.Endpoint // after the notice
		served bool
	}{
		{"entry unchanged", [][]pool.Endpoint{{started(5, "10.0.0.1:80")}}, false},
		{"entry with other slots", [][]pool.Endpoint{{{ID: "e00", Address: "10.0.0.1:80", Centre: "b", Slots: 9, Incarnation: 5}}}, false},
		{"removed and written again", [][]pool.Endpoint{{}, {started(5, "10.0.0.1:80")}}, false},
		{"older copy", [][]pool.Endpoint{{started(4, "10.0.0.1:80")}}, false},
		{"older copy and current one", [][]pool.Endpoint{{started(4, "10.0.0.1:80")}, {started(5, "10.0.0.1:80")}}, false},
		{"same start at another address", [][]pool.Endpoint{{started(5, "10.0.0.2:80")}}, false},
		{"new start", [][]pool.Endpoint{{started(6, "10.0.0.1:80")}}, true},
		{"new start, older copy, new start", [][]pool.Endpoint{{started(6, "10.0.0.1:80")}, {started(5, "10.0.0.1:80")}, {started(6, "10.0.0.1:80")}}, true},
		{"start without incarnation", [][]pool.Endpoint{{started(0, "10.0.0.1:80")}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPool([]pool.Endpoint{started(5, "10.0.0.1:80")})
			granted := grant(g, p.Submit(begin, request(1, begin)))
			p.RecordNotice(begin, granted, pool.Notice{Leaving: true})
			g.Expect(p.Accepts(begin, granted)).To(BeFalse(), "a request that was granted but not sent")
			p.Release(begin, granted, pool.Served)
			for _, l := range c.lists {
				p.SetEndpoints(begin, l)
			}
			now := begin.Add(time.Minute)
			_, served := decision(p.Submit(now, request(1, now))).(*pool.Grant)
			g.Expect(served).To(Equal(c.served))
		})
	}
}

// Guards against requests to an endpoint within the time that it asked for, whatever happens meanwhile, and against treating
// the wait as a failure: after it, the endpoint gets its full load at once.
func TestWaitingEndpoint(t *testing.T) {
	for _, c := range []struct {
		name      string
		meanwhile func(p *pool.Pool, other *pool.Grant)
		until     time.Duration
	}{
		{"nothing", func(*pool.Pool, *pool.Grant) {}, 3 * time.Second},
		{"success of an earlier request", func(p *pool.Pool, other *pool.Grant) { p.Release(begin.Add(time.Second), other, pool.Served) }, 3 * time.Second},
		{"success at another instance", func(p *pool.Pool, _ *pool.Grant) {
			p.ApplyReport(begin.Add(time.Second), "peer", true, pool.Report{Samples: []pool.Sample{{Endpoint: "e00", PromptBacklog: 100, Latency: time.Millisecond}}})
		}, 3 * time.Second},
		{"failure and success at another instance", func(p *pool.Pool, _ *pool.Grant) {
			for range 5 {
				p.ApplyReport(begin.Add(time.Second), "peer", true, pool.Report{Failures: []core.EndpointID{"e00"}})
			}
			for range 5 {
				p.ApplyReport(begin.Add(1100*time.Millisecond), "peer", true, pool.Report{Samples: []pool.Sample{{Endpoint: "e00", PromptBacklog: 100, Latency: time.Millisecond}}})
			}
		}, 3 * time.Second},
		{"entry written again", func(p *pool.Pool, _ *pool.Grant) {
			p.SetEndpoints(begin.Add(time.Second), nil)
			p.SetEndpoints(begin.Add(time.Second), []pool.Endpoint{started(5, "10.0.0.1:80")})
		}, 3 * time.Second},
		{"shorter wait", func(p *pool.Pool, other *pool.Grant) {
			p.RecordNotice(begin.Add(time.Second), other, pool.Notice{Wait: 100 * time.Millisecond})
		}, 3 * time.Second},
		{"longer wait", func(p *pool.Pool, other *pool.Grant) {
			p.RecordNotice(begin.Add(time.Second), other, pool.Notice{Wait: 3 * time.Second})
		}, 4 * time.Second},
		{"new start", func(p *pool.Pool, _ *pool.Grant) {
			p.SetEndpoints(begin.Add(time.Second), []pool.Endpoint{started(6, "10.0.0.1:80")})
		}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPool([]pool.Endpoint{started(5, "10.0.0.1:80")})
			rejected, other := grant(g, p.Submit(begin, request(1, begin))), grant(g, p.Submit(begin, request(1, begin)))
			p.RecordNotice(begin, rejected, pool.Notice{Wait: 3 * time.Second})
			p.Release(begin, rejected, pool.Deferred)
			c.meanwhile(p, other)
			for _, at := range []time.Duration{time.Second, c.until - 10*time.Millisecond} {
				if c.until > time.Second { // meanwhile ends at one second
					r, ok := decision(p.Submit(begin.Add(at), request(1, begin.Add(at)))).(pool.Refusal)
					if ok {
						g.Expect(r.RetryAfter).To(BeNumerically(">=", c.until-at), "callers are told when there is room")
						g.Expect(r.RetryAfter).To(BeNumerically("<=", max(2*(c.until-at), 200*time.Millisecond)))
					}
					free, _ := p.Free(begin.Add(at))
					g.Expect(free).To(BeZero(), at.String())
				}
			}
			free, _ := p.Free(begin.Add(c.until))
			g.Expect(free).To(BeNumerically(">=", 2))
		})
	}
}

// Guards against refusing a request that can still be on time when the endpoint accepts requests again.
func TestShortWaitIsAwaited(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 1))
	first := grant(g, p.Submit(begin, request(1, begin)))
	p.RecordNotice(begin, first, pool.Notice{Wait: 100 * time.Millisecond})
	p.Release(begin, first, pool.Deferred)
	ticket := p.Submit(begin, request(1, begin))
	g.Expect(decision(ticket)).To(BeNil())
	p.Tick(begin.Add(100 * time.Millisecond))
	grant(g, ticket)
}
