package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against watches that are all renewed at the same time: when they had gone deaf together, a leaving endpoint got
// work for more than two seconds (kaivo-urn hunt-f82f-39).
func TestWatchesAreRenewedInTurn(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(1_700_000_000, 0)
	var ends []time.Duration
	for number := range watchers {
		n := new(atomic.Int64)
		n.Store(int64(number))
		f := &feed{collection: Endpoints, watching: n}
		for now := begin.Add(time.Duration(number) * 137 * time.Millisecond); now.Before(begin.Add(20 * time.Second)); {
			now = now.Add(f.wait(now))
			ends = append(ends, now.Sub(begin))
		}
	}
	for at := 3 * time.Second; at < 18*time.Second; at += 10 * time.Millisecond {
		found := false
		for _, e := range ends {
			found = found || e >= at && e < at+watchWait/watchers
		}
		g.Expect(found).To(BeTrue(), "no watch is renewed within %v after %v", watchWait/watchers, at)
	}
}
