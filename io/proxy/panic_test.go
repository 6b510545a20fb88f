package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
)

// panickingHeaders is a HeaderCodec whose methods panic after the request has been identified.
type panickingHeaders struct{ HeaderCodec }

func (panickingHeaders) ParseRequest(http.Header) RequestInfo { return RequestInfo{ID: "r1"} }

// Guards against a request that disappears from the log because its handler panics.
func TestPanicIsLogged(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	registry := metrics.NewRegistry()
	h := New(Options{
		Headers: panickingHeaders{}, Metrics: registry, Config: func() Config { return Config{} },
		Log: funcr.NewJSON(func(l string) { lines = append(lines, l) }, funcr.Options{}),
	})
	serve := func() {
		h.ServeHTTP(panickingWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "/", nil))
	}
	g.Expect(serve).To(PanicWith(http.ErrAbortHandler), "net/http closes the connection without a line of its own")
	g.Expect(lines).To(ContainElement(And(ContainSubstring(`"msg":"panic"`), ContainSubstring(`"request":"r1"`), ContainSubstring("out of order"))))
	g.Expect(registry.Get("request.panics").(metrics.Counter).Count()).To(Equal(int64(1)))
}

// panickingWriter panics when a status is written.
type panickingWriter struct{ *httptest.ResponseRecorder }

func (panickingWriter) WriteHeader(int) { panic("out of order") }
