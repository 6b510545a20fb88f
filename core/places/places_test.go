package places_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/places"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against weak instances as keepers, and against keepers that change because of an instance that is none.
func TestKeeper(t *testing.T) {
	g := NewWithT(t)
	var all []places.Candidate
	for i := range 24 {
		all = append(all, places.Candidate{Name: core.InstanceID(fmt.Sprint("i", i)), Power: []int{192, 400, 0, 250}[i%4]})
	}
	kept := map[core.InstanceID]int{}
	for i := range 1000 {
		key := fmt.Sprint("service#", i)
		k := places.Keeper(key, all)
		kept[k]++
		var others []places.Candidate
		for _, c := range all {
			if c.Name != all[i%24].Name {
				others = append(others, c)
			}
		}
		if all[i%24].Name != k {
			g.Expect(places.Keeper(key, others)).To(Equal(k))
		}
	}
	for _, c := range all {
		if c.Power >= 200 {
			g.Expect(kept[c.Name]).To(BeNumerically("~", 1000/12, 45), string(c.Name))
		} else {
			g.Expect(kept[c.Name]).To(BeZero(), string(c.Name))
		}
	}
	g.Expect(places.Keeper("s", nil)).To(BeEmpty())
}

// Each step of an ask, and a keeper that stops at it. Guards against requests that wait for a keeper that is gone, and against a
// keeper that is never tried again, or by many at once.
func TestAsker(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at   time.Duration
		do   string // ask, sign, end, withdraw
		want string // of MayAsk after it, and the values that are overdue
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"answered", []step{{0, "ask", "true []"}, {2 * ms, "end", "true []"}, {time.Second, "", "true []"}}},
		{"no sign", []step{{0, "ask", "true []"}, {79 * ms, "", "true []"}, {80 * ms, "", "false [1]"}, {279 * ms, "", "false []"}, {280 * ms, "", "true []"}}},
		{"sign, then none", []step{{0, "ask", "true []"}, {2 * ms, "sign", "true []"}, {100 * ms, "sign", "true []"}, {399 * ms, "", "true []"}, {400 * ms, "", "false [1]"}}},
		{"one ask tries it", []step{{0, "ask", ""}, {80 * ms, "", "false [1]"}, {280 * ms, "ask", "false []"}, {359 * ms, "", "false []"}, {360 * ms, "", "false [2]"}, {559 * ms, "", "false []"}, {560 * ms, "", "true []"}}},
		{"trusted again", []step{{0, "ask", ""}, {80 * ms, "", "false [1]"}, {280 * ms, "ask", "false []"}, {285 * ms, "end", "true []"}}},
		{"try withdrawn", []step{{0, "ask", ""}, {80 * ms, "", "false [1]"}, {280 * ms, "ask", "false []"}, {285 * ms, "withdraw", "true []"}}},
		{"late answer", []step{{0, "ask", ""}, {80 * ms, "", "false [1]"}, {90 * ms, "late", "false []"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := places.NewAsker[int](0)
			var number uint64
			for i, s := range c.steps {
				now := begin.Add(s.at)
				switch s.do {
				case "ask":
					number = a.Begin(now, "k", places.AckTimeout, int(number)+1)
				case "sign":
					a.Sign(now, "k", number)
				case "end", "late":
					_, ok := a.End("k", number)
					g.Expect(ok).To(Equal(s.do == "end"))
					_, ok = a.End("k", number)
					g.Expect(ok).To(BeFalse(), "decided twice")
				case "withdraw":
					a.Withdraw(number)
				}
				overdue := append([]int{}, a.Overdue(now)...)
				if got := fmt.Sprint(a.MayAsk(now, "k"), overdue); s.want != "" {
					g.Expect(got).To(Equal(s.want), "step %d", i)
				}
			}
		})
	}
}
