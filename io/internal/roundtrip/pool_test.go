package roundtrip_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/io/internal/memnet"
	"monsoondale/io/internal/roundtrip"
)

// connLog records what the connections of a server carried.
type connLog struct {
	mu          sync.Mutex
	connections int
	open        int
	repeated    int // requests whose id had gone over their connection before
}

// run serves a listener and echoes request ids except for the path /silent.
func (s *connLog) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.open++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *connLog) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	carried := map[string]bool{}
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id, header := req.Header.Get("X-Request-Id"), ""
		if req.URL.Path != "/silent" {
			header = "X-Request-Id: " + id + "\r\n"
		}
		s.mu.Lock()
		if id == "" || carried[id] {
			s.repeated++
		}
		s.mu.Unlock()
		carried[id] = true
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(id), id); err != nil {
			return
		}
	}
}

// get sends a request and returns the body of the response.
func get(ctx context.Context, c *roundtrip.Client, address string, q roundtrip.Request) (string, error) {
	q.Method, q.Address = "GET", address
	resp, err := c.Do(ctx, nil, q)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a request id that goes over a connection for the second time, where a copy of the first response would be taken for the
// second one, against more connections than that takes, and against connections that remember ids without an end.
func TestNoIDTwiceOnConnection(t *testing.T) {
	id := func(i int) roundtrip.Request {
		return roundtrip.Request{ID: core.RequestID(fmt.Sprint("r", i)), Path: "/x"}
	}
	tests := []struct {
		name        string
		request     func(i int) roundtrip.Request
		requests    int
		connections int
	}{
		{"different ids", id, 500, 1},
		{"as many ids as a connection remembers", id, 1100, 3},
		{"each id twice in a row", func(i int) roundtrip.Request { return id(i / 2) }, 200, 2},
		{"each id four times in a row", func(i int) roundtrip.Request { return id(i / 4) }, 200, 4},
		{"three ids in turn", func(i int) roundtrip.Request { return id(i % 3) }, 12, 4},
		{"no ids", func(int) roundtrip.Request { return roundtrip.Request{Path: "/x"} }, 100, 1},
		{"echo optional, echoed", func(int) roundtrip.Request { return roundtrip.Request{Path: "/load", EchoOptional: true} }, 100, 1},
		{"echo optional, not echoed", func(int) roundtrip.Request { return roundtrip.Request{Path: "/silent", EchoOptional: true} }, 10, 10},
		{"echo optional, echoed for one of two paths", func(i int) roundtrip.Request {
			return roundtrip.Request{Path: []string{"/load", "/silent"}[i%2], EchoOptional: true}
		}, 20, 11},
		{"echo optional beside others", func(i int) roundtrip.Request {
			return []roundtrip.Request{id(i), {Path: "/silent", EchoOptional: true}}[i%2]
		}, 20, 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			s := &connLog{}
			go s.run(l)
			c := roundtrip.New(roundtrip.Options{})
			defer c.Close()
			for i := range tt.requests {
				_, err := get(t.Context(), c, l.Addr().String(), tt.request(i))
				g.Expect(err).NotTo(HaveOccurred())
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			g.Expect(s.repeated).To(Equal(0))
			g.Expect(s.connections).To(Equal(tt.connections))
		})
	}
}

// Guards against one connection for two requests at the same time.
func TestConcurrentRequests(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	s := &connLog{}
	go s.run(l)
	c := roundtrip.New(roundtrip.Options{})
	defer c.Close()
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for i := range 50 {
				id := core.RequestID(fmt.Sprint("r", i)) // as in the other goroutines
				if body, err := get(t.Context(), c, l.Addr().String(), roundtrip.Request{ID: id, Path: "/x"}); err != nil || body != string(id) {
					t.Errorf("response %q, error %v to request %s", body, err, id)
				}
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.repeated).To(Equal(0))
}

// Guards against idle connections that are kept for too long, and against connections that are left open after Close.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := memnet.New()
		l := n.Listen("e:1")
		defer l.Close()
		s := &connLog{}
		go s.run(l)
		open := func() int {
			synctest.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.open
		}
		c := roundtrip.New(roundtrip.Options{Dial: n.Dial, IdleConnTimeout: 10 * time.Second})
		for range 3 { // reuse restarts the time limit
			_, err := get(t.Context(), c, "e:1", roundtrip.Request{Path: "/x"})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(9 * time.Second)
			g.Expect(open()).To(Equal(1))
		}
		g.Expect(n.Dials()).To(Equal(1))
		time.Sleep(2 * time.Second)
		g.Expect(open()).To(Equal(0))

		for range 2 {
			_, err := get(t.Context(), c, "e:1", roundtrip.Request{ID: "r", Path: "/x"})
			g.Expect(err).NotTo(HaveOccurred())
		}
		resp, err := c.Do(t.Context(), nil, roundtrip.Request{ID: "r", Method: "GET", Address: "e:1", Path: "/x"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(open()).To(Equal(3))
		c.Close()
		g.Expect(open()).To(Equal(1))
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		g.Expect(open()).To(Equal(0))
	})
}
