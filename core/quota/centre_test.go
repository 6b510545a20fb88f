package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/quota"
	"monsoondale/core/route"
)

// local returns the report of an instance of the same data centre.
func local(l *quota.Ledger, now time.Time) quota.Report {
	r := l.Report(now)
	r.Local = true
	return r
}

// Guards against usage of another data centre that is counted twice, because several relays report it, or not at all, because
// the relays change.
func TestUsageOfDataCentre(t *testing.T) {
	g := NewWithT(t)
	start := begin.Add(-window)
	// b1, b2 and b3 are in one data centre; far is in another one.
	b1, b2, b3, far := newLedger(start), newLedger(start), newLedger(start), newLedger(start)
	now := begin
	take := func(l *quota.Ledger, n int) {
		for range n {
			_, ok := l.Take(now, "w", 1, 0)
			g.Expect(ok).To(BeTrue())
		}
	}
	remaining := func() float64 {
		r := far.Report(now)
		return limit - r.Total["w"]
	}
	exchangeLocally := func() {
		all := map[core.InstanceID]*quota.Ledger{"b1": b1, "b2": b2, "b3": b3}
		for from, l := range all {
			for to, other := range all {
				if to != from {
					other.ApplyReport(now, from, local(l, now))
				}
			}
		}
	}
	report := func(relay core.InstanceID, l *quota.Ledger) {
		far.ApplyCentreReport(now, "b", relay, l.CentreReport(now))
	}

	exchangeLocally()
	report("b1", b1)
	report("b2", b2)
	take(b1, 50)
	take(b3, 50)
	exchangeLocally()
	report("b1", b1)
	report("b2", b2)
	g.Expect(remaining()).To(BeNumerically("==", limit-100), "two relays report the same usage")

	now = now.Add(100 * time.Millisecond)
	b1 = newLedger(now) // restarts
	take(b2, 10)
	exchangeLocally()
	report("b2", b2)
	report("b1", b1)
	g.Expect(remaining()).To(BeNumerically("==", limit-110), "a relay restarted")

	take(b1, 10)
	exchangeLocally()
	report("b1", b1)
	report("b2", b2)
	g.Expect(remaining()).To(BeNumerically("==", limit-120), "usage of the restarted relay")

	now = now.Add(5 * time.Second) // no relay is heard meanwhile
	take(b3, 30)
	exchangeLocally()
	report("b3", b3)
	g.Expect(remaining()).To(BeNumerically("==", limit-120), "usage from before is not counted again")

	take(b3, 5)
	exchangeLocally()
	report("b3", b3)
	g.Expect(remaining()).To(BeNumerically("==", limit-125))

	left := 0.0
	for ok := true; ok; {
		for range 5 {
			if _, ok = far.Take(now, "w", 1, 0); ok {
				left++
			}
		}
		b3.ApplyCentreReport(now, "a", "far", far.CentreReport(now))
		report("b3", b3)
	}
	g.Expect(left).To(BeNumerically("~", limit-155, 5), "usage meanwhile is known from the total")
}

// fleetLoad is the demand of one workspace on a large fleet.
type fleetLoad struct {
	name   string
	demand float64 // in relation to the rate
	loss   float64 // part of the reports that are lost
	cut    bool    // one data centre is cut off for three seconds
}

// quotaUse is what becomes of the demand.
type quotaUse struct {
	total, refused float64 // units
	owedRefused    float64 // of those refused, units that were within the limit together with all demand in the window before
	highest        float64 // usage in a window
}

const (
	fleetSize, fleetCentres = 95, 5
	fleetRate               = 36_000.0 // tokens per second
	fleetLimit              = fleetRate*8 + fleetRate
	requestUnits            = 1900.0
	// stateInterval and summaryInterval are the intervals of states and summaries in a fleet of this size.
	stateInterval, summaryInterval = 120 * time.Millisecond, 200 * time.Millisecond
	// allowedExcess and allowedSlack are what the platform tolerates beyond the limit in a window.
	allowedExcess, allowedSlack = 0.1, 140_000.0
)

// Guards against refusals below the quota and usage above it in a fleet of hundreds, in which usage elsewhere is known late
// and from sums only.
func TestQuotaOfLargeFleet(t *testing.T) {
	for _, c := range []fleetLoad{
		{"half of the quota", 0.5, 0, false},
		{"just below the quota", 0.95, 0, false},
		{"just below the quota, reports lost", 0.95, 0.05, false},
		{"three times the quota", 3, 0, false},
		{"three times the quota, reports lost", 3, 0.05, false},
		{"three times the quota, a data centre cut off", 3, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var u quotaUse
			for seed := range uint64(4) {
				v := c.run(seed)
				u = quotaUse{u.total + v.total, u.refused + v.refused, u.owedRefused + v.owedRefused, max(u.highest, v.highest)}
			}
			t.Logf("refused %.4f of the units, %.4f though owed; at most %.2f of the quota in a window", u.refused/u.total, u.owedRefused/u.total, u.highest/fleetLimit)
			g.Expect(u.owedRefused / u.total).To(BeNumerically("<=", 0.001))
			g.Expect(u.highest).To(BeNumerically("<=", fleetLimit*(1+allowedExcess)+allowedSlack))
			if c.demand > 1 {
				g.Expect((u.total-u.refused)/u.total).To(BeNumerically(">=", 0.9/c.demand), "the quota is used")
			}
		})
	}
}

// run plays the demand.
func (c *fleetLoad) run(seed uint64) quotaUse {
	const (
		tick = 10 * time.Millisecond
		span = 24 * time.Second
	)
	rng := rand.New(rand.NewPCG(3, seed))
	var ledgers []*quota.Ledger
	for range fleetSize {
		l := quota.New(quota.Options{Window: window, Start: begin.Add(-window)})
		l.Configure([]route.Workspace{{ID: "w", Quota: route.Quota{Rate: fleetRate, Burst: fleetRate, ByTokens: true}}})
		l.SetInstances(fleetSize)
		ledgers = append(ledgers, l)
	}
	centre := func(i int) int { return i % fleetCentres }
	name := func(i int) core.InstanceID { return core.InstanceID(fmt.Sprint("i", i)) }
	var u quotaUse
	var used, asked []float64 // by tick
	lastWindow := func(ticks []float64) float64 {
		sum := 0.0
		for _, v := range ticks[max(0, len(ticks)-int(window/tick)):] {
			sum += v
		}
		return sum
	}
	for now := begin; now.Before(begin.Add(span)); now = now.Add(tick) {
		at := now.Sub(begin)
		cut := func(i, j int) bool {
			return c.cut && at > 10*time.Second && at < 13*time.Second && (centre(i) == 0) != (centre(j) == 0)
		}
		for i, l := range ledgers {
			share := 1.0
			if c.cut && at > 10500*time.Millisecond && at < 13*time.Second { // silence is noticed after half a second
				share = 0.8
				if centre(i) == 0 {
					share = 0.2
				}
			}
			l.SetShare(share)
			if (at+time.Duration(i)*tick)%stateInterval == 0 {
				r := local(l, now)
				r.Total = nil // as no instance is young
				for j := centre(i); j < fleetSize; j += fleetCentres {
					if j != i && rng.Float64() >= c.loss {
						ledgers[j].ApplyReport(now, name(i), r)
					}
				}
			}
			if i/fleetCentres < 2 && (at+time.Duration(i)*tick)%summaryInterval == 0 { // a relay
				r := l.CentreReport(now)
				r.Total, r.Age = nil, stateInterval/2
				for j := range ledgers {
					if centre(j) != centre(i) && !cut(i, j) && rng.Float64() >= c.loss {
						ledgers[j].ApplyCentreReport(now, core.DataCentre(fmt.Sprint(centre(i))), name(i), r)
					}
				}
			}
		}
		used, asked = append(used, 0), append(asked, 0)
		last := len(used) - 1
		for mean := c.demand * fleetRate * tick.Seconds() / requestUnits; rng.Float64() < mean; mean-- {
			units := requestUnits * (0.5 + rng.Float64())
			u.total += units
			asked[last] += units
			if _, ok := ledgers[rng.IntN(fleetSize)].Take(now, "w", units, 0); ok {
				used[last] += units
				continue
			}
			u.refused += units
			if lastWindow(asked) <= fleetLimit {
				u.owedRefused += units
			}
		}
		u.highest = max(u.highest, lastWindow(used))
	}
	return u
}
