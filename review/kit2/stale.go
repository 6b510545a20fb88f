package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"monsoondale/platform/fake"
)

// stale cuts the machine off from the store while the operator changes the configuration several times, and judges which configuration
// the machine goes by when it has been in touch again for contact_ms.
func stale(c *run) (bool, error) {
	const (
		cut         = 5500 * time.Millisecond // core_cut of the site: for_s 5.5
		gap         = 330 * time.Millisecond  // config_storm of the site: gap_s 0.33, for_s 4.0
		changes     = 12
		configTime  = 2 * time.Second // config_ms
		outerTime   = 5 * time.Second // outer_ms, should the cut count as a disruption of the store
		fillers     = 2500            // routes that bring the configuration to 0.85 MB, of at most value_bytes (1 MiB)
		clients     = 10
		interval    = 100 * time.Millisecond
		watchedTime = 24 * time.Second // after the cut
	)
	store := newStore()
	c.onClose(store.close)
	config := func(version int, service string) map[string]any {
		m := configuration(version, service, []any{tenant("desk", "key", 0, 0)})
		m["services"] = []any{
			map[string]any{"name": "orders-old", "max_conns": 96, "health_path": "/health"},
			map[string]any{"name": "orders-new", "max_conns": 96, "health_path": "/health"},
		}
		routes := m["routes"].([]any)
		for i := range fillers {
			name := fmt.Sprintf("undertaker-%04d-spelling-checks-of-names-and-dates-of-the-desk", i)
			routes = append(routes, fake.Route(name, "idempotent", map[string]any{
				"host": fmt.Sprintf("undertaker-%04d.example", i), "timeout_ms": 2500, "service": "orders-old",
				"sticky": false, "public": false, "resumable": false,
			}))
		}
		m["routes"] = routes
		return m
	}
	text, err := json.Marshal(config(1, "orders-old"))
	if err != nil {
		return false, err
	}
	c.note("the configuration has %d bytes; the store takes 1048576", len(text))
	servers := map[string]*backend{}
	for i, service := range []string{"orders-old", "orders-old", "orders-old", "orders-new", "orders-new", "orders-new"} {
		b, err := newBackend(fmt.Sprintf("i-%s-%d", service, i), service)
		if err != nil {
			return false, err
		}
		servers[b.id] = b
		c.onClose(b.end)
		store.put("servers", b.id, b.entry(int(time.Now().UnixMilli())))
	}
	store.put("config", "main", config(1, "orders-old"))
	g, err := c.gateway("front-1", store.address(), memoryMB, map[string]bool{})
	if err != nil {
		return false, err
	}
	if err := g.awaitReady(8 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var cs []*client
	for i := range clients {
		cl := newClient(g.front)
		cs = append(cs, cl)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * interval / clients)
			t := time.NewTicker(interval)
			defer t.Stop()
			for {
				cl.send(http.MethodGet, "/order-status/1", "key", 3*time.Second)
				select {
				case <-t.C:
				case <-stop:
					return
				}
			}
		}()
	}
	begin := time.Now()
	if c.trouble {
		store.setSilent(true)
		c.note("the machine is cut off from the store")
	}
	var acked time.Time
	for i := range changes {
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * gap)))
		service := "orders-old"
		if i == changes-1 {
			service = "orders-new"
		}
		acked = store.put("config", "main", config(2+3*i, service))
		c.noteAt(acked, "version %d, route order-status to %s, is acknowledged", 2+3*i, service)
	}
	time.Sleep(time.Until(begin.Add(cut)))
	back := time.Now()
	if c.trouble {
		store.setSilent(false)
		c.note("the cut has ended")
	}
	time.Sleep(watchedTime)
	close(stop)
	wg.Wait()
	c.writeRequests(cs, servers)

	from := acked.Add(configTime + outerTime)
	if c.trouble && from.Before(back.Add(contact)) {
		from = back.Add(contact)
	}
	c.noteAt(from, "from here on, the machine is in touch, and requests must go by the last version")
	clientSent := map[string]time.Time{}
	for _, cl := range cs {
		for _, s := range cl.requests() {
			clientSent[s.id] = s.at
		}
	}
	old, last := 0, time.Time{}
	for _, b := range servers {
		for _, a := range b.all() {
			if at := clientSent[a.id]; b.service == "orders-old" && a.ran && at.After(from) {
				old++
				if at.After(last) {
					last = at
				}
			}
		}
	}
	if old > 0 {
		c.note("CONFIG: %d requests that were sent after that were run by the service of the older versions, the last one sent %d ms after the cut", old, last.Sub(back).Milliseconds())
	}
	return old > 0, nil
}
