package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
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

// extraHeaders are the headers of fleets whose endpoints state everything that a response may state.
type extraHeaders struct{ fleetHeaders }

func (extraHeaders) ParseResponse(r *http.Response) ResponseInfo {
	info := ResponseInfo{Signed: true, NotRun: r.Header.Get("Rejected") != "", Misdirected: r.StatusCode == http.StatusMisdirectedRequest}
	if r.Header.Get("Wait") != "" {
		info.Notice.Wait = time.Minute
	}
	if r.Header.Get("Load") != "" {
		info.Load = pool.StatedLoad{Running: 9, Waiting: 9, Slots: 9, Slowness: 50}
	}
	return info
}

// Guards against conclusions from a response to another request: that the endpoint is full or has moved, wants no requests for a time, is
// slow, has failed, or has responded to this request or run it.
func TestExtraResponseConcludesNothing(t *testing.T) {
	for _, c := range []struct{ name, extra string }{
		{"full", "503 Service Unavailable\r\nRejected: 1"},
		{"full, with a wait", "429 Too Many Requests\r\nRejected: 1\r\nWait: 60"},
		{"moved", "421 Misdirected Request\r\nRejected: 1"},
		{"failed", "500 Internal Server Error"},
		{"slow", "200 OK\r\nLoad: 9,9,9,5000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				l := n.Listen("x:1")
				defer l.Close()
				var runs atomic.Int64
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
								runs.Add(1)
								for range 2 {
									fmt.Fprintf(conn, "HTTP/1.1 %s\r\nEcho: other\r\nContent-Length: 0\r\n\r\n", c.extra)
									time.Sleep(20 * time.Millisecond)
								}
								fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEcho: %s\r\nContent-Length: 3\r\n\r\nown", req.Header.Get("Id"))
							}
						}()
					}
				}()
				f := newFleet(t, resumable, 4, nil, nil)
				f.h.o.Headers = extraHeaders{}
				f.h.o.Client = endpoint.New(endpoint.Options{RequestIDHeader: "Echo", Dial: n.Dial})
				defer f.h.o.Client.CloseIdleExcept(func(string) bool { return false })
				defer f.tick()()
				f.pool.SetEndpoints(time.Now(), []pool.Endpoint{{ID: "a", Address: "x:1", Slots: 4, Incarnation: 5}})
				for i := range 12 {
					path := []string{"/again/", "/once/"}[i%2]
					g.Expect(f.send(path, fmt.Sprint("r", i), time.Second)).To(Equal(fleetResponse{status: http.StatusOK, body: "own"}), "%v", f.logged())
				}
				g.Expect(runs.Load()).To(Equal(int64(12)))
				g.Expect(n.Dials()).To(Equal(1))
				for _, line := range []string{"endpoint suspended", "endpoint waits", "endpoint leaving", `"msg":"repeat"`} {
					g.Expect(f.logged(line)).To(BeEmpty())
				}
				g.Expect(f.pool.TakeReport().Failures).To(BeEmpty())
				next := f.pool.Acquire(time.Now(), pool.Request{ID: "next", Deadline: time.Now().Add(time.Second)})
				g.Expect(next).ToNot(BeNil())
				g.Expect(next.ExpectedLatency).To(BeNumerically("<", 200*time.Millisecond))
				f.pool.Release(time.Now(), next, pool.Cancelled)
			})
		})
	}
}
