package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"monsoondale/platform/fake"
)

// sent is one request of a client.
type sent struct {
	id       string
	at, end  time.Time
	status   int    // 0 if there was no answer
	failure  string // why there was none
	complete bool
}

// client sends requests over kept connections, one at a time.
type client struct {
	http    *http.Client
	address func() string
	mu      sync.Mutex
	all     []sent
}

// clientNumber makes the ids of requests unique.
var clientNumber struct {
	sync.Mutex
	n int
}

func nextID() string {
	clientNumber.Lock()
	defer clientNumber.Unlock()
	clientNumber.n++
	return fmt.Sprintf("9c41%012x", clientNumber.n)
}

func newClient(address func() string) *client {
	return &client{address: address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}, Timeout: 5 * time.Second}}
}

// send sends one request and records what became of it.
func (c *client) send(method, path, key string, deadline time.Duration) sent {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("plate ", 100))
	}
	return c.do(method, path, key, body, deadline)
}

// do sends a request.
func (c *client) do(method, path, key string, body io.Reader, deadline time.Duration) sent {
	s := sent{id: nextID(), at: time.Now()}
	r, err := http.NewRequest(method, "http://"+c.address()+path, body)
	if err != nil {
		panic(err) // the case passed an invalid address or path
	}
	r.Host = fake.Host
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(r)
	if err == nil {
		s.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		s.complete = err == nil
	}
	if err != nil {
		s.failure = err.Error()
	}
	s.end = time.Now()
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	return s
}

func (c *client) requests() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}
