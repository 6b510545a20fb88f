package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/common/framing"
	"monsoondale/common/peerconn"
	"monsoondale/io/caller"
	"monsoondale/io/internal/roundtrip"
)

// Guards against an answer that ended with the connection of its service, of which the end may be missing, and that the
// caller gets with a length, also as the recorded answer of an order.
func TestUnframedAnswer(t *testing.T) {
	const body = "a plain answer"
	for _, c := range []struct {
		name, path, length string
		want               framing.Framing
	}{
		{"call", "/services/desk/status", "", framing.Close},
		{"order", "/services/desk/engrave", "", framing.Close},
		{"order, with a length", "/services/desk/engrave", fmt.Sprintf("Content-Length: %d\r\n", len(body)), framing.Length},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int64
			service := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				io.Copy(io.Discard, r.Body)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 201 Created\r\nX-Request-Id: %s\r\nContent-Type: text/plain\r\n%s\r\n%s", r.Header.Get("X-Request-Id"), c.length, body)
			}))
			r := newFixture(caller.Options{}, roundtrip.Options{}, service)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).ToNot(HaveOccurred())
			s := caller.NewServer(r.handler)
			go s.Serve(peerconn.NewListener(l, 0))
			defer s.Close()
			for range 2 { // the second answer to an order is the recorded one
				conn, err := net.Dial("tcp4", l.Addr().String())
				g.Expect(err).ToNot(HaveOccurred())
				defer conn.Close()
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}", c.path)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).ToNot(HaveOccurred())
				g.Expect(framing.Of(resp)).To(Equal(c.want))
				g.Expect(resp.StatusCode).To(Equal(201))
				b, err := io.ReadAll(resp.Body)
				g.Expect(err).ToNot(HaveOccurred())
				g.Expect(string(b)).To(Equal(body))
			}
			if c.path != "/services/desk/status" {
				g.Expect(runs.Load()).To(Equal(int64(1)))
			}
		})
	}
}
