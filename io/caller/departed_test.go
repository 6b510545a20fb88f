package caller_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/common/peerconn"
	"monsoondale/io/caller"
	"monsoondale/io/internal/roundtrip"
)

// Guards against sending a request whose caller has left before it is read, which net/http notices only after that.
func TestRequestOfDepartedCallerIsNotDispatched(t *testing.T) {
	// With one processor, the goroutine of net/http that notices the close runs after the request has been sent.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range []struct{ name, path, body string }{
		{"call", "/services/desk/status", "{}"},
		{"order", "/services/desk/engrave", "{}"},
		{"chat", chatPath, chatBody("draft", true)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var arrivals atomic.Int64
			endpoint := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { arrivals.Add(1) }))
			r := newFixture(caller.Options{}, roundtrip.Options{}, endpoint)
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).ToNot(HaveOccurred())
			s := caller.NewServer(r.handler)
			go s.Serve(peerconn.NewListener(inner, 1))
			defer s.Close()
			// The only connection that the listener allows delays the reading of the requests that follow.
			first, err := net.Dial("tcp4", inner.Addr().String())
			g.Expect(err).ToNot(HaveOccurred())
			const requests = 20
			for i := range requests {
				conn, err := net.Dial("tcp4", inner.Addr().String())
				g.Expect(err).ToNot(HaveOccurred())
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nIdempotency-Key: k%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", c.path, i, len(c.body), c.body)
				conn.Close()
			}
			first.Close()
			g.Eventually(func() int { return len(r.outcomes()) }, "5s").Should(Equal(requests))
			g.Expect(arrivals.Load()).To(BeZero())
		})
	}
}
