package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	drainService = "desk-orders"
	// contact, drainTime and outage are contact_ms, drain_ms and the length of an outage of the store (site: for_s 4.5).
	contact   = 3 * time.Second
	drainTime = 2 * time.Second
	outage    = 4500 * time.Millisecond
	// tolerance is by how much this process may notice an arrival late.
	tolerance = 10 * time.Millisecond
)

// drain plays outages of the store and, once the store has been stable for contact_ms, servers that leave without reporting that they
// drain: their entry is removed, and they serve on for drain_ms and a little longer (PROTOCOL.md, service discovery).
func drain(c *run) (bool, error) {
	const (
		servers     = 16 // of which two are 0.125; scale_in of the site has share 0.13
		rounds      = 8
		roundLength = 12700 * time.Millisecond // no multiple of any period of the machine
		clients     = 50
		interval    = 100 * time.Millisecond // between two requests of a client
		linger      = 1500 * time.Millisecond
	)
	store := newStore()
	c.onClose(store.close)
	store.put("config", "main", configuration(1, drainService, []any{tenant("desk", "key", 0, 0)}))
	var mu sync.Mutex
	live, all := map[string]*backend{}, map[string]*backend{}
	number := 0
	add := func() error {
		number++
		b, err := newBackend(fmt.Sprintf("i-%04d", number), drainService)
		if err != nil {
			return err
		}
		mu.Lock()
		live[b.id], all[b.id] = b, b
		mu.Unlock()
		store.put("servers", b.id, b.entry(int(time.Now().UnixMilli())))
		return nil
	}
	for range servers {
		if err := add(); err != nil {
			return false, err
		}
	}
	c.onClose(func() {
		for _, b := range all {
			b.end()
		}
	})
	g, err := c.gateway("front-1", store.address(), memoryMB, map[string]bool{})
	if err != nil {
		return false, err
	}
	if err := g.awaitReady(8 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

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
				cl.send(http.MethodPost, "/engrave-order/1", "key", 3*time.Second)
				select {
				case <-t.C:
				case <-stop:
					return
				}
			}
		}()
	}
	own := watchLateness()
	removed := map[string]time.Time{}
	stableFrom := map[string]time.Time{} // from when the machine was in touch when the server left
	var broken []string
	for round := range rounds {
		begin := time.Now()
		if c.trouble {
			store.setSilent(true)
			c.note("round %d: the store is silent", round+1)
		}
		time.Sleep(outage)
		back := time.Now()
		if c.trouble {
			store.setSilent(false)
			c.note("round %d: the store is back", round+1)
		}
		// Three times, two servers leave one after the other.
		for _, d := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 850 * time.Millisecond} {
			time.Sleep(time.Until(back.Add(contact + d)))
			for _, id := range oldest(&mu, live, 2) {
				mu.Lock()
				b := live[id]
				delete(live, id)
				mu.Unlock()
				at := store.remove("servers", id)
				removed[id], stableFrom[id] = at, back.Add(contact)
				c.noteAt(at, "%s leaves: the store has acknowledged the removal of its entry", id)
				time.AfterFunc(drainTime+linger, b.end)
				time.Sleep(30 * time.Millisecond)
			}
		}
		time.Sleep(time.Until(begin.Add(roundLength - 500*time.Millisecond)))
		clientSent := map[string]time.Time{}
		for _, cl := range cs {
			for _, s := range cl.requests() {
				clientSent[s.id] = s.at
			}
		}
		for id, at := range removed {
			for _, a := range all[id].all() {
				if late := a.at.Sub(at); late > drainTime+tolerance && !own.during(a.at) && !clientSent[a.id].IsZero() && clientSent[a.id].After(stableFrom[id]) {
					broken = append(broken, fmt.Sprintf("request %s, sent at %.3f s, reached %s %d ms after its removal was acknowledged, ran: %t",
						a.id, clientSent[a.id].Sub(c.began).Seconds(), id, late.Milliseconds(), a.ran))
				}
			}
			latest := time.Duration(0)
			for _, a := range all[id].all() {
				latest = max(latest, a.at.Sub(at))
			}
			c.note("%s: the last request reached it %d ms after that", id, latest.Milliseconds())
			delete(removed, id)
		}
		if len(broken) > 0 {
			break
		}
		for len(live) < servers {
			if err := add(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(begin.Add(roundLength)))
	}
	close(stop)
	wg.Wait()
	c.writeRequests(cs, all)
	for _, b := range broken {
		c.note("DRAIN: %s", b)
	}
	return len(broken) > 0, nil
}

// oldest returns the ids of the first servers that were started.
func oldest(mu *sync.Mutex, live map[string]*backend, n int) []string {
	mu.Lock()
	defer mu.Unlock()
	var ids []string
	for id := range live {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids[:min(n, len(ids))]
}

// writeRequests writes what was sent, answered and run.
func (c *run) writeRequests(cs []*client, servers map[string]*backend) {
	ran := map[string][]string{}
	for _, b := range servers {
		for _, a := range b.all() {
			what := "not run"
			if a.ran {
				what = "run"
			}
			ran[a.id] = append(ran[a.id], fmt.Sprintf("%s by %s at %.3f", what, a.server, a.at.Sub(c.began).Seconds()))
		}
	}
	var all []sent
	for _, cl := range cs {
		all = append(all, cl.requests()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	counts := map[int]int{}
	for _, s := range all {
		counts[s.status]++
		c.noteAt(s.at, "%s -> %d%s in %d ms; %v", s.id, s.status, s.failure, s.end.Sub(s.at).Milliseconds(), ran[s.id])
	}
	c.note("answers by status (0 is none): %v", counts)
}

// lateness holds the times at which this process did not run for longer than half of tolerance.
type lateness struct {
	mu    sync.Mutex
	spans [][2]time.Time
}

func watchLateness() *lateness {
	l := &lateness{}
	go func() {
		for last := time.Now(); ; {
			time.Sleep(time.Millisecond)
			now := time.Now()
			if now.Sub(last) > tolerance/2 {
				l.mu.Lock()
				l.spans = append(l.spans, [2]time.Time{last, now})
				l.mu.Unlock()
			}
			last = now
		}
	}()
	return l
}

// during reports whether this process was late shortly before a time.
func (l *lateness) during(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.spans {
		if at.After(s[0]) && at.Before(s[1].Add(50*time.Millisecond)) {
			return true
		}
	}
	return false
}
