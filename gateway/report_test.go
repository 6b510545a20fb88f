package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/pool"
	wire "monsoondale/wire/mesh"
)

// Guards against losing or changing parts of a report on its way to other instances.
func TestEncodeReport(t *testing.T) {
	g := NewWithT(t)
	r := pool.Report{
		Loads:   []pool.Load{{Endpoint: "e1", Running: 2, PendingPrompt: 300}},
		Waiting: []int{0, 3},
		Late:    2,
		Samples: []pool.Sample{{Endpoint: "e2", PromptBacklog: 1200, Latency: 85 * time.Millisecond, Slowness: 2.5, Load: 7}},
		Work:    []pool.Work{{Endpoint: "e4", Load: 5, Time: 23456 * time.Microsecond}},
	}
	r.Failures = append(r.Failures, "e3")
	w := encodeReport("s", r)
	g.Expect(w.Service).To(Equal("s"))
	got, err := decodeReport(&w)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(got).To(Equal(r))
}

// Guards against a panic caused by a corrupt digest or one of another version.
func TestDecodeReportWithUnequalLists(t *testing.T) {
	for _, w := range []wire.Pool{
		{Endpoints: []string{"e1"}},
		{Endpoints: []string{"e1"}, Running: []int{1}},
		{Seen: []string{"e1"}, First: []int{1}},
		{Seen: []string{"e1"}, Ahead: []int{1}},
		{Seen: []string{"e1"}, Ahead: []int{1}, First: []int{1}, Pace: []int{100, 100}},
		{Seen: []string{"e1"}, Ahead: []int{1}, First: []int{1}, Stated: []int{3, 4}},
		{Ran: []string{"e1"}, Beside: []int{1}},
		{Ran: []string{"e1"}, Took: []int{1}},
		{Took: []int{1}},
	} {
		_, err := decodeReport(&w)
		NewWithT(t).Expect(err).To(HaveOccurred())
	}
}
