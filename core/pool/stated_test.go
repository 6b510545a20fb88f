package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// gap is the longest pause between events in these tests.
const gap = 400 * time.Millisecond

// unequalEngines returns a pool with a slow and a quick engine, e00 and e01, which have stated how slow they are. Reading a prompt
// takes 18 µs a token, and an event 20 ms, at an engine of usual speed.
func unequalEngines(g *WithT, slots int) *pool.Pool {
	p := newPool(endpoints(2, slots))
	slowness := map[core.EndpointID]float64{"e00": 2.8, "e01": 0.55}
	now := begin.Add(-time.Minute)
	for i := range 60 {
		req := request(1, now)
		req.Prompt = core.Tokens(500 + 250*(i%20))
		req.Exclude = []core.EndpointID{endpoints(2, slots)[i%2].ID}
		granted := grant(g, p.Submit(now, req))
		s := slowness[granted.Endpoint.ID]
		p.RecordLoad(now, granted, pool.StatedLoad{Running: 1, Slots: slots, Slowness: s})
		first := time.Duration(s * float64(26*time.Millisecond+18*time.Microsecond*time.Duration(req.Prompt)))
		p.RecordFirstEvent(now.Add(first), granted)
		p.RecordEvents(granted, 10, time.Duration(s*float64(200*time.Millisecond)), 0)
		p.Release(now.Add(first), granted, pool.Served)
		now = now.Add(500 * time.Millisecond)
	}
	return p
}

// stream returns a request for a stream that arrives now and is on time within a second.
func stream(prompt core.Tokens, now time.Time) pool.Request {
	return pool.Request{
		Tier: 1, Prompt: prompt, MaxOutput: 100, Arrived: now, Objective: now.Add(time.Second), GapObjective: gap, Deadline: now.Add(3 * time.Second),
	}
}

// Long and short prompts arrive while only a slow engine has free slots. Guards against reading a long prompt there, which makes
// all streams of that engine pause for too long, and against leaving its slots unused: short prompts get them, and long ones if
// they would be late otherwise.
func TestLongPromptsAmongSlowEngines(t *testing.T) {
	g := NewWithT(t)
	p := unequalEngines(g, 4)
	var quick []*pool.Grant
	for range 5 { // the quick engine first, then a stream at the slow one
		granted := grant(g, p.Submit(begin, stream(100, begin)))
		p.RecordFirstEvent(begin.Add(10*time.Millisecond), granted)
		if granted.Endpoint.ID == "e01" {
			quick = append(quick, granted)
		}
	}
	g.Expect(quick).To(HaveLen(4))

	now := begin.Add(20 * time.Millisecond)
	long, next := p.Submit(now, stream(9000, now)), p.Submit(now, stream(9000, now))
	short := grant(g, p.Submit(now, stream(600, now)))
	g.Expect(short.Endpoint.ID).To(BeEquivalentTo("e00"))
	g.Expect(decision(long)).To(BeNil())

	p.RecordEvents(quick[0], 10, 110*time.Millisecond, 0)
	p.Release(now, quick[0], pool.Served)
	g.Expect(grant(g, long).Endpoint.ID).To(BeEquivalentTo("e01"))
	g.Expect(decision(next)).To(BeNil())
	p.Tick(now.Add(900 * time.Millisecond))
	p.Tick(now.Add(905 * time.Millisecond))
	g.Expect(grant(g, next).Endpoint.ID).To(BeEquivalentTo("e00"), "it can no longer be on time elsewhere")
}

// Guards against a prediction that needs many responses to follow the speed of an engine, and against keeping a short slow spell.
func TestStatedSlowness(t *testing.T) {
	g := NewWithT(t)
	p := unequalEngines(g, 4)
	expected := func(now time.Time) time.Duration {
		req := stream(1000, now)
		req.Exclude = []core.EndpointID{"e00"}
		granted := grant(g, p.Submit(now, req))
		p.Release(now, granted, pool.Cancelled)
		return granted.ExpectedLatency
	}
	usual := expected(begin)
	p.ApplyReport(begin, "peer", true, pool.Report{Samples: []pool.Sample{
		{Endpoint: "e01", PromptBacklog: 1000, Latency: time.Duration(5.5 * float64(44*time.Millisecond)), Slowness: 5.5},
	}})
	g.Expect(expected(begin)).To(BeNumerically("~", 10*usual, 3*usual), "one response anywhere is enough")
	g.Expect(expected(begin.Add(time.Second))).To(BeNumerically("<=", 3*usual))
}
