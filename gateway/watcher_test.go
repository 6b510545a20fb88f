package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/fleet"
)

// Guards against renewing all watches at the same time: if all of them stall, a leaving endpoint receives requests for
// more than two seconds (kaivo-urn hunt-f82f-39).
func TestWatchRenewalsAreStaggered(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(1_700_000_000, 0)
	var ends []time.Duration
	for index := range fleet.StoreWatchers { // instances with different start times
		s := new(watchState)
		s.setIndex(index)
		w := &storeWatcher{collection: Endpoints, watch: s}
		s.claims[Endpoints].Answer(begin, time.Hour)
		for now := begin.Add(time.Duration(index) * 137 * time.Millisecond); now.Before(begin.Add(20 * time.Second)); {
			now = now.Add(w.watchDuration(now))
			ends = append(ends, now.Sub(begin))
		}
	}
	for at := 3 * time.Second; at < 18*time.Second; at += 10 * time.Millisecond {
		found := false
		for _, e := range ends {
			found = found || e >= at && e < at+fleet.WatchPeriod/fleet.StoreWatchers
		}
		g.Expect(found).To(BeTrue(), "no watch is renewed within %v after %v", fleet.WatchPeriod/fleet.StoreWatchers, at)
	}
}

// Guards against an instance that counts as reading a restored store because of what it has read before, or of a late answer.
func TestClaimsEndWithTheirEra(t *testing.T) {
	g := NewWithT(t)
	s := newWatchState()
	now := time.Now()
	s.answered(Configurations, 1, time.Minute)
	s.answered(Endpoints, 1, time.Minute)
	g.Expect(s.reads(now)).To(BeTrue())
	ctx, release := s.inEra(t.Context(), 1)
	s.answered(Endpoints, 2, time.Minute)
	g.Expect(s.reads(now)).To(BeFalse())
	g.Eventually(ctx.Done()).Should(BeClosed(), "its watches end")
	g.Expect(release()).To(BeTrue())
	s.answered(Configurations, 1, time.Minute)
	g.Expect(s.reads(now)).To(BeFalse(), "late")
	s.answered(Configurations, 2, time.Minute)
	g.Expect(s.reads(now)).To(BeTrue())
}
