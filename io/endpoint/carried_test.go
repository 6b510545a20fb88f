package endpoint_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/io/endpoint"
	"monsoondale/io/internal/memnet"
)

// Guards against a request id that goes over a connection for the second time, where a copy of the first response would be taken for the
// second one, against a connection for each repeated id although others have not carried it, and against connections that remember
// ids without an end.
func TestNoIDTwiceOnConnection(t *testing.T) {
	for _, c := range []struct {
		name        string
		ids         func(i int) string
		requests    int
		connections int
	}{
		{"different ids", func(i int) string { return fmt.Sprint("r", i) }, 500, 1},
		{"as many ids as a connection remembers", func(i int) string { return fmt.Sprint("r", i) }, 1100, 3},
		{"each id twice in a row", func(i int) string { return fmt.Sprint("r", i/2) }, 200, 2},
		{"each id four times in a row", func(i int) string { return fmt.Sprint("r", i/4) }, 200, 4},
		{"three ids in turn", func(i int) string { return fmt.Sprint("r", i%3) }, 12, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var mu sync.Mutex
			connections, repeated := 0, 0
			address := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
				carried := map[string]bool{}
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := req.Header.Get("Request")
					mu.Lock()
					connections = max(connections, n+1)
					if carried[id] {
						repeated++
					}
					mu.Unlock()
					carried[id] = true
					respond(conn, id, "", "own")
				}
			})
			client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
			for i := range c.requests {
				_, _, err := roundTrip(client, address, c.ids(i), false, 0)
				g.Expect(err).ToNot(HaveOccurred())
			}
			g.Expect(repeated).To(Equal(0))
			g.Expect(connections).To(Equal(c.connections))
		})
	}
}

// Guards against a connection for each non-idempotent request while as many connections as are kept have been idle for too long for
// such requests: the one that was used last is kept, not the others.
func TestConnectionUsedLastIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := memnet.New()
		l := n.Listen("x:1")
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					for r := bufio.NewReader(conn); ; {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						time.Sleep(50 * time.Millisecond)
						respond(conn, req.Header.Get("Request"), "", "own")
					}
				}()
			}
		}()
		client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo", MaxIdle: 2, Dial: n.Dial})
		defer client.CloseIdleExcept(func(string) bool { return false })
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { roundTrip(client, "x:1", fmt.Sprint("r", i), false, 0) })
		}
		wg.Wait()
		g.Expect(n.Dials()).To(Equal(2))
		time.Sleep(400 * time.Millisecond)
		for i := range 6 {
			_, _, err := roundTrip(client, "x:1", fmt.Sprint("order", i), true, 0)
			g.Expect(err).ToNot(HaveOccurred())
		}
		g.Expect(n.Dials()).To(Equal(3))
	})
}
