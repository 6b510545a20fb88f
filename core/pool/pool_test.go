package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// endpoints returns n endpoints with the given slots in data centre a.
func endpoints(n, slots int) []pool.Endpoint {
	out := make([]pool.Endpoint, n)
	for i := range out {
		out[i] = pool.Endpoint{ID: core.EndpointID(fmt.Sprintf("e%02d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Centre: "a", Slots: slots}
	}
	return out
}

func newPool(list []pool.Endpoint) *pool.Pool {
	p := pool.New(pool.Options{Centre: "a"})
	p.SetEndpoints(begin, list)
	return p
}

func work(tier core.Tier, now time.Time) pool.Request {
	return pool.Request{Tier: tier, Prompt: 1000, MaxOutput: 100, Arrived: now, Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(10 * time.Second)}
}

// decision returns the decision if there is one.
func decision(t *pool.Ticket) pool.Decision {
	select {
	case d := <-t.Decided:
		return d
	default:
		return nil
	}
}

func grant(g *WithT, t *pool.Ticket) *pool.Grant {
	d, ok := decision(t).(*pool.Grant)
	g.Expect(ok).To(BeTrue(), "no grant")
	return d
}

// Guards against more requests at an engine than it works on at once, which would wait there in an order that cannot
// change.
func TestSlots(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(2, 3))
	count := map[core.EndpointID]int{}
	var grants []*pool.Grant
	for range 6 {
		gr := grant(g, p.Submit(begin, work(1, begin)))
		count[gr.Endpoint.ID]++
		grants = append(grants, gr)
	}
	g.Expect(count).To(Equal(map[core.EndpointID]int{"e00": 3, "e01": 3}))
	waiting := p.Submit(begin, work(1, begin))
	g.Expect(decision(waiting)).To(BeNil())
	p.Done(begin, grants[0], pool.Served)
	g.Expect(grant(g, waiting).Endpoint.ID).To(Equal(grants[0].Endpoint.ID))
}

// Guards against slots that are given although another instance has taken them, and against slots of a dead instance
// that stay taken.
func TestLoadOfOtherInstances(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 2))
	p.ApplyReport(begin, "other", true, pool.Report{Loads: []pool.Load{{Endpoint: "e00", Running: 2}}})
	ticket := p.Submit(begin, work(1, begin))
	g.Expect(decision(ticket)).To(BeNil())
	p.ApplyReport(begin.Add(50*time.Millisecond), "third", true, pool.Report{})
	g.Expect(decision(ticket)).To(BeNil())
	p.ApplyReport(begin.Add(1100*time.Millisecond), "third", true, pool.Report{})
	g.Expect(decision(ticket)).ToNot(BeNil())
}

// Guards against a less urgent request that takes the slot for which a more urgent one waits, here or elsewhere.
func TestUrgency(t *testing.T) {
	for _, c := range []struct {
		name  string
		here  []core.Tier // waiting here, in order of arrival
		there []int       // waiting at another instance, by tier
		first int         // index of the request that gets the slot; -1 for none
	}{
		{"arrival within a tier", []core.Tier{1, 1}, nil, 0},
		{"more urgent one first", []core.Tier{2, 1}, nil, 1},
		{"more urgent one elsewhere", []core.Tier{2, 2}, []int{0, 1, 0, 0}, -1},
		{"less urgent one elsewhere", []core.Tier{1, 2}, []int{0, 0, 1, 0}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPool(endpoints(1, 1))
			busy := grant(g, p.Submit(begin, work(0, begin)))
			var tickets []*pool.Ticket
			for i, tier := range c.here {
				tickets = append(tickets, p.Submit(begin, work(tier, begin.Add(time.Duration(i)*time.Millisecond))))
			}
			if c.there != nil {
				p.ApplyReport(begin, "other", true, pool.Report{Waiting: c.there})
			}
			p.Done(begin.Add(10*time.Millisecond), busy, pool.Served)
			first := -1
			for i, tk := range tickets {
				if decision(tk) != nil {
					first = i
				}
			}
			g.Expect(first).To(Equal(c.first))
		})
	}
}

// Guards against work for endpoints that are leaving, gone, or another incarnation with an old record of failures.
func TestList(t *testing.T) {
	g := NewWithT(t)
	list := endpoints(2, 1)
	p := newPool(list)
	list[0].Leaving = true
	p.SetEndpoints(begin, list)
	g.Expect(grant(g, p.Submit(begin, work(1, begin))).Endpoint.ID).To(Equal(core.EndpointID("e01")))
	p.SetEndpoints(begin, list[1:])
	ticket := p.Submit(begin, work(1, begin))
	g.Expect(decision(ticket)).To(BeNil())
	list[1].Incarnation = 7
	p.SetEndpoints(begin, list[1:])
	g.Expect(grant(g, ticket).Endpoint.Incarnation).To(Equal(int64(7)))
}

// Guards against a request that waits for a service without endpoints until its deadline.
func TestNoEndpoints(t *testing.T) {
	g := NewWithT(t)
	p := newPool(nil)
	r, ok := decision(p.Submit(begin, work(1, begin))).(pool.Refusal)
	g.Expect(ok).To(BeTrue())
	g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
}

// Guards against endpoints that keep getting work although their requests fail while their health check passes, and
// against endpoints that never return.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes []pool.Outcome
		open     bool
	}{
		{"one broken response", []pool.Outcome{pool.Broken}, true},
		{"three in a row", []pool.Outcome{pool.Broken, pool.Broken, pool.Broken}, false},
		{"one rejection", []pool.Outcome{pool.Rejected}, true},
		{"three rejections in a row", []pool.Outcome{pool.Rejected, pool.Rejected, pool.Rejected}, false},
		{"refused connection", []pool.Outcome{pool.Unreachable}, false},
		{"other endpoint at the address", []pool.Outcome{pool.Moved}, false},
		{"callers that leave", []pool.Outcome{pool.Cancelled, pool.Cancelled, pool.Cancelled, pool.Cancelled}, true},
		{"one in ten", []pool.Outcome{pool.Served, pool.Served, pool.Served, pool.Served, pool.Broken, pool.Served, pool.Served, pool.Served, pool.Served, pool.Served}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPool(endpoints(1, 1))
			now := begin
			for _, o := range c.outcomes {
				gr := grant(g, p.Submit(now, work(1, now)))
				now = now.Add(10 * time.Millisecond)
				p.Done(now, gr, o)
			}
			free, _ := p.Free(now)
			g.Expect(free == 1).To(Equal(c.open))
			ticket := p.Submit(now.Add(9*time.Second), work(1, now.Add(9*time.Second)))
			g.Expect(decision(ticket)).ToNot(BeNil(), "returns after the longest suspension")
		})
	}
}

// Guards against a suspended endpoint that gets a full load of requests as soon as its suspension has run out.
func TestProbe(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 4))
	p.Done(begin, grant(g, p.Submit(begin, work(1, begin))), pool.Unreachable)
	now := begin.Add(time.Second)
	probe := grant(g, p.Submit(now, work(1, now)))
	second := p.Submit(now, work(1, now))
	g.Expect(decision(second)).To(BeNil())
	p.Done(now.Add(50*time.Millisecond), probe, pool.Served)
	g.Expect(decision(second)).ToNot(BeNil())
}

// Guards against a grant that is lost when its caller leaves at the same moment.
func TestWithdraw(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 1))
	granted := p.Submit(begin, work(1, begin))
	gr := p.Withdraw(begin, granted)
	g.Expect(gr).ToNot(BeNil())
	waiting := p.Submit(begin, work(1, begin))
	g.Expect(p.Withdraw(begin, waiting)).To(BeNil())
	g.Expect(p.Waiting()).To(BeZero())
	p.Done(begin, gr, pool.Cancelled)
	free, slots := p.Free(begin)
	g.Expect([]int{free, slots}).To(Equal([]int{1, 1}))
}

// Guards against long prompts at slow endpoints while a fast one is free: the pool learns the speeds from first events.
func TestLongPromptsGoToFastEndpoints(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(2, 8))
	perToken := map[core.EndpointID]time.Duration{"e00": 40 * time.Microsecond, "e01": 8 * time.Microsecond}
	now := begin
	for i := range 200 {
		w := work(1, now)
		w.Prompt = core.Tokens(500 + 137*(i%20))
		gr := grant(g, p.Submit(now, w))
		p.RecordFirstEvent(now.Add(20*time.Millisecond+time.Duration(w.Prompt)*perToken[gr.Endpoint.ID]), gr)
		now = now.Add(300 * time.Millisecond)
		p.Done(now, gr, pool.Served)
	}
	long := work(1, now)
	long.Prompt = 20000
	g.Expect(grant(g, p.Submit(now, long)).Endpoint.ID).To(Equal(core.EndpointID("e01")))
}

// Guards against slots that stay taken for ever by instances that are gone, at the only one that is left.
func TestLoadOfSilentInstances(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 2))
	p.ApplyReport(begin, "other", true, pool.Report{Loads: []pool.Load{{Endpoint: "e00", Running: 2}}, Waiting: []int{5}})
	g.Expect(decision(p.Submit(begin, work(1, begin)))).To(BeNil())
	later := begin.Add(1100 * time.Millisecond)
	grant(g, p.Submit(later, work(1, later)))
}

// Guards against an instance that leaves its own slots unused until others have reported, and against one that takes
// slots for which others wait.
func TestTurns(t *testing.T) {
	g := NewWithT(t)
	p := newPool(endpoints(1, 2))
	first, second := grant(g, p.Submit(begin, work(1, begin))), grant(g, p.Submit(begin, work(1, begin)))
	p.RecordFirstEvent(begin, first)
	p.Done(begin.Add(time.Second), first, pool.Served)
	p.Report()
	p.ApplyReport(begin.Add(time.Second), "other", true, pool.Report{Waiting: []int{0, 1000}})
	now := begin.Add(1100 * time.Millisecond)
	waiting := p.Submit(now, work(1, now))
	g.Expect(decision(waiting)).To(BeNil(), "a slot that all know of, for which 1,000 others wait")
	p.Done(now, second, pool.Served)
	grant(g, waiting)
}
