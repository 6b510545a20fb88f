package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/io/endpoint"
)

// serve answers each connection with a function that gets its number.
func serve(t *testing.T, answer func(n int, c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				answer(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func respond(c net.Conn, id, extra, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nEcho: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// exchange sends a request and returns the body of the response and whether the connection had been used before.
func exchange(c *endpoint.Client, address, id string, once bool, size int) (string, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, endpoint.Request{
		ID: core.RequestID(id), Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size), NonIdempotent: once,
	})
	if err != nil {
		return "", false, err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		resp.MarkBodyRead()
	}
	return string(b), resp.Reused, err
}

// Guards against "not sent" for a request that may have arrived, which would be run again.
func TestNotSent(t *testing.T) {
	g := NewWithT(t)
	c := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
	var unsent *endpoint.NotSentError
	_, _, err := exchange(c, "127.0.0.1:1", "r", true, 0)
	g.Expect(errors.As(err, &unsent)).To(BeTrue(), "refused connection")
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { http.ReadRequest(r) })
	_, _, err = exchange(c, address, "r", true, 0)
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.As(err, &unsent)).To(BeFalse(), "read, then closed")
}

// Guards against a response that belongs to another request, however it got onto the connection.
func TestStrayResponses(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra func(c net.Conn, last string) // sent before the response
	}{
		{"response to an earlier request", func(c net.Conn, last string) { respond(c, "earlier", "", "stray") }},
		{"two of them", func(c net.Conn, last string) { respond(c, "earlier", "", "stray"); respond(c, "other", "", "stray") }},
		{"informational response", func(c net.Conn, last string) { io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					c.extra(conn, "")
					respond(conn, "r", "", "own")
				}
			})
			body, _, err := exchange(endpoint.New(endpoint.Options{RequestIDHeader: "Echo"}), address, "r", false, 0)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(body).To(Equal("own"))
		})
	}
}

// Guards against a second use of connections that are closed, have something left over, or whose endpoint wants to close
// them.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		header string
		after  string // sent after the response
		close  bool
		size   int // of the body, which is not read if it is large
		reused bool
	}{
		{"kept", "", "", false, 0, true},
		{"closing", "Connection: close\r\n", "", false, 0, false},
		{"short lifetime", "Keep-Alive: timeout=1\r\n", "", false, 0, false},
		{"left over", "", "HTTP/1.1 200 OK\r\n", false, 0, false},
		{"closed", "", "", true, 0, false},
		{"answered before the request was read", "", "", false, 8 << 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if c.size == 0 {
						io.Copy(io.Discard, req.Body)
					}
					respond(conn, "r", c.header, "own")
					io.WriteString(conn, c.after)
					if c.close {
						return
					}
					if c.size > 0 {
						time.Sleep(time.Second)
						return
					}
				}
			})
			client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
			body, _, err := exchange(client, address, "r", false, c.size)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(body).To(Equal("own"))
			time.Sleep(50 * time.Millisecond)
			_, reused, err := exchange(client, address, "r", false, c.size)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(reused).To(Equal(c.reused))
		})
	}
}

// Guards against a request that may run only once on a connection that the endpoint may be closing.
func TestOnceUsesFreshConnections(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			respond(conn, "r", "", "own")
		}
	})
	client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
	_, _, err := exchange(client, address, "r", false, 0)
	g.Expect(err).ToNot(HaveOccurred())
	time.Sleep(400 * time.Millisecond)
	_, reused, err := exchange(client, address, "r", true, 0)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(reused).To(BeFalse())
}

// Guards against a request that reaches an endpoint after its caller has left: bytes that the network holds back are
// delivered even after the connection was closed, unless it is reset.
func TestAbandonedRequestsAreReset(t *testing.T) {
	g := NewWithT(t)
	ends := make(chan error, 1)
	address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			ends <- err
			return
		}
		_, err := r.ReadByte()
		ends <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"}).Do(ctx, address, endpoint.Request{ID: "r", Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	var end error
	g.Eventually(ends, "2s").Should(Receive(&end))
	g.Expect(errors.Is(end, syscall.ECONNRESET)).To(BeTrue(), "%v", end)
}
