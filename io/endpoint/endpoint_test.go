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

// serve starts a TCP server, which passes each connection and its sequence number to handle, and returns its address.
func serve(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) string {
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
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// respond writes a response to the request with an id; headers are additional header lines.
func respond(c net.Conn, id, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nEcho: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, headers, len(body), body)
}

// roundTrip sends a request with a body of the given size. It returns the body of the response and whether the connection
// was reused.
func roundTrip(c *endpoint.Client, address, id string, nonIdempotent bool, size int) (string, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, endpoint.Request{
		ID: core.RequestID(id), Method: "POST", Target: "/", Host: "h", Header: http.Header{"Request": {id}}, Body: make([]byte, size), NonIdempotent: nonIdempotent,
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

// Guards against NotSentError for a request that may have reached the endpoint: it would be sent and run again.
func TestNotSent(t *testing.T) {
	g := NewWithT(t)
	c := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
	var unsent *endpoint.NotSentError
	_, _, err := roundTrip(c, "127.0.0.1:1", "r", true, 0)
	g.Expect(errors.As(err, &unsent)).To(BeTrue(), "connection refused")
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { http.ReadRequest(r) })
	_, _, err = roundTrip(c, address, "r", true, 0)
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.As(err, &unsent)).To(BeFalse(), "connection closed after the request was read")
}

// Guards against returning the response to another request that a faulty endpoint sent on the connection.
func TestMismatchedResponses(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra func(c net.Conn, last string) // writes something before the response
	}{
		{"response to an earlier request", func(c net.Conn, last string) { respond(c, "earlier", "", "other") }},
		{"two responses to other requests", func(c net.Conn, last string) { respond(c, "earlier", "", "other"); respond(c, "other", "", "other") }},
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
			body, _, err := roundTrip(endpoint.New(endpoint.Options{RequestIDHeader: "Echo"}), address, "r", false, 0)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(body).To(Equal("own"))
		})
	}
}

// dialWithSmallBuffer opens a connection with a small buffer for sending.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(16 << 10)
}

// Guards against reuse of connections that are closed, have unread data, or are about to be closed by the endpoint.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		header string
		after  string // sent after the response
		close  bool
		size   int // of the request body; the endpoint reads it only if it is 0
		reused bool
	}{
		{"kept alive", "", "", false, 0, true},
		{"Connection: close", "Connection: close\r\n", "", false, 0, false},
		{"short idle timeout", "Keep-Alive: timeout=1\r\n", "", false, 0, false},
		{"unread data", "", "HTTP/1.1 200 OK\r\n", false, 0, false},
		{"closed", "", "", true, 0, false},
		{"response before the request was read", "", "", false, 1 << 20, false},
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
					respond(conn, req.Header.Get("Request"), c.header, "own")
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
			// The kernel must not take the whole body. On a busy machine, one of 8 MiB, which no buffers hold, takes seconds.
			client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo", Dial: dialWithSmallBuffer})
			body, _, err := roundTrip(client, address, "r1", false, c.size)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(body).To(Equal("own"))
			time.Sleep(50 * time.Millisecond)
			_, reused, err := roundTrip(client, address, "r2", false, c.size)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(reused).To(Equal(c.reused))
		})
	}
}

// Guards against sending a request that is not idempotent on a connection that the endpoint may be closing.
func TestNonIdempotentUsesRecentConnections(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			respond(conn, req.Header.Get("Request"), "", "own")
		}
	})
	client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
	_, _, err := roundTrip(client, address, "r1", false, 0)
	g.Expect(err).ToNot(HaveOccurred())
	time.Sleep(400 * time.Millisecond)
	_, reused, err := roundTrip(client, address, "r2", true, 0)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(reused).To(BeFalse())
}

// Guards against a request that reaches an endpoint after its caller has disconnected: TCP delivers bytes in flight even
// after the connection was closed, unless it was reset.
func TestAbandonedConnectionsAreReset(t *testing.T) {
	g := NewWithT(t)
	readErrs := make(chan error, 1)
	address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			readErrs <- err
			return
		}
		_, err := r.ReadByte()
		readErrs <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"}).Do(ctx, address, endpoint.Request{ID: "r", Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	var readErr error
	g.Eventually(readErrs, "2s").Should(Receive(&readErr))
	g.Expect(errors.Is(readErr, syscall.ECONNRESET)).To(BeTrue(), "%v", readErr)
}

// Guards against sending a request that was cancelled, or whose caller left, while it waited for a connection.
func TestNothingIsSentAfterCancellation(t *testing.T) {
	errLeft := errors.New("caller left")
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name       string
		ctx        context.Context
		beforeSend func() error
		want       error
	}{
		{"context ended", cancelled, nil, context.Canceled},
		{"refused before sending", context.Background(), func() error { return errLeft }, errLeft},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			requests := make(chan string, 10)
			address := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests <- req.RequestURI
					respond(conn, "r1", "", "")
				}
			})
			client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
			// Leaves an idle connection, on which a request could be sent without waiting.
			_, _, err := roundTrip(client, address, "r1", false, 0)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(requests).To(Receive())
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			defer cancel()
			_, err = client.Do(ctx, address, endpoint.Request{ID: "r2", Method: "GET", Target: "/r2", Host: "h", Header: http.Header{}, BeforeSend: c.beforeSend})
			var unsent *endpoint.NotSentError
			g.Expect(errors.As(err, &unsent)).To(BeTrue(), "%v", err)
			g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
			g.Consistently(requests, "50ms").ShouldNot(Receive())
		})
	}
}
