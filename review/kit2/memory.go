package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memory returns the anonymous memory of the process in MB, a part of what it occupies; 0 if it has ended.
func (p *gatewayProcess) memory() float64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return float64(kb) / 1024
		}
	}
	return 0
}

// memory plays a burst of requests with bodies as large as the configuration allows. Like the platform, it kills the machine's process when
// that exceeds memory_mb, and starts it again.
func memory(c *run) (bool, error) {
	const (
		limit      = 134 // memory_mb of the site
		orders     = "archeb-app"
		lookups    = "stock-lookup"
		bodyBytes  = 4194304 // max_body_bytes
		kept       = 1000    // clients that keep a connection and place an order every 12 s, of 4100 descriptors
		quick      = 20      // clients that place five orders a second
		usual      = 5       // clients that send large bodies
		more       = 7       // and as many more come in a burst: 2.4 times the usual
		burstStart = 13 * time.Second
		burstTime  = 5 * time.Second
		length     = 24 * time.Second
		restart    = 500 * time.Millisecond
	)
	store := newStore()
	c.onClose(store.close)
	servers := map[string]*backend{}
	for i, service := range []string{orders, orders, orders, lookups, lookups, lookups} {
		b, err := newBackend(fmt.Sprintf("i-%d", i), service)
		if err != nil {
			return false, err
		}
		servers[b.id] = b
		c.onClose(b.end)
		store.put("servers", b.id, b.entry(int(time.Now().UnixMilli())))
	}
	config := configuration(1, orders, []any{tenant("school", "key", 0, 0)})
	config["services"] = []any{
		map[string]any{"name": orders, "max_conns": 110, "health_path": "/health"},
		map[string]any{"name": lookups, "max_conns": 110, "health_path": "/health"},
	}
	config["routes"].([]any)[1].(map[string]any)["service"] = lookups
	store.put("config", "main", config)
	g, err := c.gateway("front-1", store.address(), limit, map[string]bool{})
	if err != nil {
		return false, err
	}
	if err := g.awaitReady(8 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	stop, begin := make(chan struct{}), time.Now()
	burstEnd := begin.Add(burstStart + burstTime)
	var wg sync.WaitGroup
	var cs []*client
	play := func(n int, pause time.Duration, until time.Time, send func(cl *client)) {
		for i := range n {
			cl := newClient(g.front)
			cs = append(cs, cl)
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(pause * time.Duration(i) / time.Duration(n))
				for time.Now().Before(until) {
					send(cl)
					select {
					case <-time.After(pause):
					case <-stop:
						return
					}
				}
			}()
		}
	}
	end := begin.Add(length)
	body := strings.Repeat("plate ", bodyBytes/6)
	order := func(cl *client) { cl.send(http.MethodPost, "/engrave-order/1", "key", 3*time.Second) }
	upload := func(cl *client) { cl.sendBody("/order-status/1", "key", body, 3*time.Second) }
	c.note("before the clients come: %.1f MB of %d", g.memory(), limit)
	play(kept, 12*time.Second, end, order)
	play(quick, 200*time.Millisecond, end, order)
	play(usual, 60*time.Millisecond, end, upload)
	peak, kills, burst := 0.0, 0, false
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c.trouble && !burst && time.Since(begin) >= burstStart {
			burst = true
			c.note("the burst begins: %d clients more; the most memory so far: %.1f MB", more, peak)
			play(more, 60*time.Millisecond, burstEnd, upload)
		}
		now := g.memory()
		peak = max(peak, now)
		if now <= limit {
			continue
		}
		kills++
		c.note("the process has %.1f MB of %d: the platform kills it", now, limit)
		g.signal(syscall.SIGKILL)
		<-g.ended()
		time.Sleep(restart)
		if err := g.start(); err != nil {
			return false, err
		}
	}
	close(stop)
	wg.Wait()
	c.writeRequests(cs, servers)
	c.note("the process had %.1f MB at most, of %d, and was killed %d times", peak, limit, kills)
	ran := map[string]bool{}
	for _, b := range servers {
		for _, a := range b.all() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	lost := 0
	for _, cl := range cs {
		for _, s := range cl.requests() {
			if ran[s.id] && !s.complete && s.end.Sub(s.at) < 2*time.Second {
				lost++
				c.noteAt(s.at, "LOST: %s was run, and its connection was closed without an answer: %s", s.id, s.failure)
			}
		}
	}
	c.note("%d requests were run and got no answer, as their connection was closed; three are allowed", lost)
	return lost > 3, nil
}
