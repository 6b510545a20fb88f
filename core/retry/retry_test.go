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
