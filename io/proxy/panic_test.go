package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core/pool"
	"monsoondale/core/route"
)

// panickingBudgets is a Budgets that panics when a request is counted, which is after its body has been read.
type panickingBudgets struct{ Budgets }

func (panickingBudgets) CountRequest(route.Service) { panic("out of order") }

// fixedHeaders is a HeaderCodec for which all requests are the same. Its other methods panic.
type fixedHeaders struct{ HeaderCodec }

func (fixedHeaders) ParseRequest(http.Header) RequestInfo { return RequestInfo{ID: "r1"} }

// Guards against a request that disappears from the log because its handler panics, and against the memory of its body that stays
// reserved.
func TestPanic(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	registry := metrics.NewRegistry()
	config := Config{
		Table: route.New(route.Options{Routes: []route.Route{{Host: "h.example", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}}}}),
		Pools: map[route.Service]*pool.Pool{},
	}
	h := New(Options{
		Headers: fixedHeaders{}, Budgets: panickingBudgets{}, Metrics: registry, Config: func() Config { return config },
		Log: funcr.NewJSON(func(l string) { lines = append(lines, l) }, funcr.Options{}),
	})
	r := httptest.NewRequest(http.MethodPost, "http://h.example/", strings.NewReader("body"))
	g.Expect(func() { h.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler), "net/http closes the connection without a line of its own")
	g.Expect(lines).To(ContainElement(And(ContainSubstring(`"msg":"panic"`), ContainSubstring(`"request":"r1"`), ContainSubstring("out of order"))))
	g.Expect(registry.Get("request.panics").(metrics.Counter).Count()).To(Equal(int64(1)))
	g.Expect(h.memory.used.Load()).To(BeZero())
}
