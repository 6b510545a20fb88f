package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/pool"
	"monsoondale/io/endpoint"
	"monsoondale/io/internal/memnet"
)

// leavingHeaders are the headers of fleets whose endpoints may state that they leave.
type leavingHeaders struct{ fleetHeaders }

func (leavingHeaders) ParseResponse(r *http.Response) ResponseInfo {
	return ResponseInfo{Signed: true, Notice: pool.Notice{Leaving: r.Header.Get("Leaving") != ""}}
}

// Guards against an endpoint that gets no more requests because the one that had its address before had stated that it leaves: a copy of
// that response arrives on a connection of before, in answer to a request for the endpoint.
func TestLeavingOfFormerEndpointAtAddress(t *testing.T) {
	former := pool.Endpoint{ID: "a", Address: "x:1", Slots: 4, Incarnation: 5}
	for _, c := range []struct {
		name   string
		next   pool.Endpoint
		status int // of requests after the copy
	}{
		{"another endpoint", pool.Endpoint{ID: "b", Address: "x:1", Slots: 4, Incarnation: 6}, http.StatusOK},
		{"another start of the endpoint", pool.Endpoint{ID: "a", Address: "x:1", Slots: 4, Incarnation: 6}, http.StatusOK},
		{"the same start", former, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				l := n.Listen("x:1")
				defer l.Close()
				go func() {
					for i := 0; ; i++ {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go serveLeaving(conn, i == 0)
					}
				}()
				f := newFleet(t, resumable, 4, nil, nil)
				f.h.o.Headers = leavingHeaders{}
				f.h.o.Client = endpoint.New(endpoint.Options{RequestIDHeader: "Echo", Dial: n.Dial})
				defer f.h.o.Client.CloseIdleExcept(func(string) bool { return false })
				defer f.tick()()
				f.pool.SetEndpoints(time.Now(), []pool.Endpoint{former})
				g.Expect(f.send("/again/", "r1", time.Second).status).To(Equal(http.StatusOK))
				f.pool.SetEndpoints(time.Now(), []pool.Endpoint{c.next})
				f.send("/again/", "r2", time.Second) // its connection ends after the copy
				g.Expect(f.send("/again/", "r3", 3*time.Second).status).To(Equal(c.status), "%v", f.logged())
			})
		})
	}
}

// serveLeaving serves a connection. With leaving, its process leaves: it responds to one request, and to the next one with a copy of that
// response and the end of the connection.
func serveLeaving(conn net.Conn, leaving bool) {
	defer conn.Close()
	header, id := "", ""
	if leaving {
		header = "Leaving: 1\r\n"
	}
	r := bufio.NewReader(conn)
	for i := 0; !leaving || i < 2; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !leaving || i == 0 {
			id = req.Header.Get("Id")
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEcho: %s\r\n%sContent-Length: 0\r\n\r\n", id, header)
	}
}
