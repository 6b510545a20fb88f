package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/retry"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against exceeding the budget of the fleet in any window when every instance uses its whole part.
func TestBudgetOfFleet(t *testing.T) {
	const (
		window    = 10 * time.Second
		ratio     = 0.2
		extra     = 52.0
		instances = 6
	)
	g := NewWithT(t)
	type sample struct{ requests, retries float64 }
	var steps []sample // counts of all instances in steps of 100 ms
	fleet := make([]*retry.Budget, instances)
	for i := range fleet {
		fleet[i] = retry.New(retry.Options{Window: window, Ratio: ratio, Extra: extra, Margin: 0.8})
	}
	for step := range 400 {
		now := begin.Add(time.Duration(step) * 100 * time.Millisecond)
		var s sample
		for i, b := range fleet {
			for range (step / 40 * (i + 1)) % 5 { // load that changes and differs by instance
				b.CountRequest(now)
				s.requests++
			}
			for b.Take(now, instances) {
				s.retries++
			}
		}
		steps = append(steps, s)
	}
	for i := range steps {
		var total sample
		for _, s := range steps[max(0, i-99) : i+1] {
			total.requests += s.requests
			total.retries += s.retries
		}
		previous := sample{}
		for _, s := range steps[max(0, i-199):max(0, i-99)] {
			previous.requests += s.requests
		}
		g.Expect(total.retries).To(BeNumerically("<=", ratio*max(total.requests, previous.requests)+extra), "window that ends at step %d", i)
	}
}

// Guards against a budget that does not recover once it is used up.
func TestBudgetRecovers(t *testing.T) {
	g := NewWithT(t)
	b := retry.New(retry.Options{Window: 10 * time.Second, Ratio: 0.2, Extra: 10, Margin: 1})
	n := 0
	for b.Take(begin, 1) {
		n++
	}
	g.Expect(n).To(Equal(10))
	g.Expect(b.Take(begin.Add(5*time.Second), 1)).To(BeFalse())
	g.Expect(b.Take(begin.Add(11*time.Second), 1)).To(BeTrue())
}

// Guards against a budget that keeps its old limits when the settings change, and against new limits that forget the
// retries already taken.
func TestConfigure(t *testing.T) {
	const window = 10 * time.Second
	for _, c := range []struct {
		name    string
		o       retry.Options
		allowed int // after 6 of 10 retries have been taken
	}{
		{"lower", retry.Options{Window: window, Extra: 8, Margin: 1}, 2},
		{"below what was taken", retry.Options{Window: window, Extra: 4, Margin: 1}, 0},
		{"higher", retry.Options{Window: window, Extra: 12, Margin: 1}, 6},
		{"longer window", retry.Options{Window: 2 * window, Extra: 10, Margin: 1}, 4},
		{"shorter window", retry.Options{Window: window / 10, Extra: 10, Margin: 1}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := retry.New(retry.Options{Window: window, Extra: 10, Margin: 1})
			take := func(now time.Time, most int) int {
				n := 0
				for n < most && b.Take(now, 1) {
					n++
				}
				return n
			}
			g.Expect(take(begin, 3)).To(Equal(3))
			now := begin.Add(5 * time.Second)
			g.Expect(take(now, 3)).To(Equal(3))
			b.Configure(now, c.o)
			g.Expect(take(now, 100)).To(Equal(c.allowed))
			g.Expect(take(now.Add(c.o.Window*11/10), 100)).To(Equal(int(c.o.Extra)), "when all has left the window")
		})
	}
}
