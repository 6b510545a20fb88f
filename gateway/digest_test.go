package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/pool"
	wire "monsoondale/wire/mesh"
)

// Guards against a report that reaches other instances changed or in part.
func TestDigestKeepsReport(t *testing.T) {
	g := NewWithT(t)
	r := pool.Report{
		Loads:   []pool.Load{{Endpoint: "e1", Running: 2, PendingPrompt: 300}},
		Waiting: []int{0, 3},
		Samples: []pool.Sample{{Endpoint: "e2", PromptBacklog: 1200, Latency: 85 * time.Millisecond}},
	}
	r.Failed = append(r.Failed, "e3")
	w := digest("s", r)
	g.Expect(w.Service).To(Equal("s"))
	got, err := report(&w)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(got).To(Equal(r))
}

// Guards against a digest of another version or a spoilt one that ends the process.
func TestReportOfUnequalLists(t *testing.T) {
	for _, w := range []wire.Pool{
		{Endpoints: []string{"e1"}},
		{Endpoints: []string{"e1"}, Running: []int{1}},
		{Seen: []string{"e1"}, First: []int{1}},
		{Seen: []string{"e1"}, Ahead: []int{1}},
	} {
		_, err := report(&w)
		NewWithT(t).Expect(err).To(HaveOccurred())
	}
}
