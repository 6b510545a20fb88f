package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoondale/platform/fake"
)

const (
	// contact and inForce are bounds of cwm-edau: contact_ms and config_ms.
	contact = 3 * time.Second
	inForce = 2 * time.Second
	// kills is how often the processes that are cut off are killed, one time every killInterval.
	kills        = 4
	killInterval = 1400 * time.Millisecond
	// restartDelay is the time between the end of a process and the start of the next one.
	restartDelay = 500 * time.Millisecond
	revokedKey   = "key-2"
)

// watchersRestarted cuts three of eight machines off from the store, and kills their processes again and again. A new configuration takes a key
// away, and the other five machines are asked with that key.
func watchersRestarted(w *world, trouble bool) (bool, error) {
	configuration := func(version int, keys ...any) map[string]any {
		return fake.Configuration(version, func(c map[string]any) {
			tenants := c["tenants"].([]any)
			tenants[0].(map[string]any)["api_keys"] = keys
		})
	}
	w.store.Put("config", "main", configuration(1, "key", revokedKey))
	var mu sync.Mutex
	runs, ranTooLate := 0, 0
	sent := map[string]time.Duration{} // after the change, by request
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("i-%d", i)
		e := fake.NewEndpoint(id, func(r *http.Request) fake.Behaviour {
			request := fake.RequestID(r)
			mu.Lock()
			runs++
			if sent[request] > inForce {
				ranTooLate++
			}
			mu.Unlock()
			w.note("%s runs request %s", id, request)
			return fake.Behaviour{}
		})
		defer e.Close()
		entry := e.Entry("s", "ready", 8)
		entry["born"] = time.Now().UnixMilli()
		w.store.Put("servers", id, entry)
	}
	if err := w.startGateways("a", "a", "a", "b", "b", "b", "c", "c"); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)

	cutOff, others := w.gateways[:3], w.gateways[3:]
	if trouble {
		for _, g := range cutOff {
			if err := g.store.cutOff(); err != nil {
				return false, err
			}
			w.note("%s is cut off from the store", g.name)
		}
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	restarted := make(chan error, 1)
	go func() { restarted <- w.killAgain(begun, cutOff, trouble) }()
	time.Sleep(time.Until(begun.Add(2500 * time.Millisecond)))
	w.store.Put("config", "main", configuration(2, "key"))
	changed := time.Now()
	w.note("the store has accepted version 2, which takes %s away", revokedKey)

	refused := 0
	var wg sync.WaitGroup
	for _, g := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Timeout: 5 * time.Second}
			for time.Since(changed) < 6*time.Second {
				id := fmt.Sprintf("%08x", w.nextID.Add(1))
				r := fake.NewRequest(g.front(), "/again/x", id, 2*time.Second)
				r.Header.Set("Authorization", "Token "+revokedKey)
				at := time.Since(changed)
				mu.Lock()
				sent[id] = at
				mu.Unlock()
				w.note("request %s with %s sent to %s, %d ms after the change", id, revokedKey, g.name, at.Milliseconds())
				resp, err := c.Do(r)
				status := 0
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					status = resp.StatusCode
				}
				w.note("request %s answered with %d", id, status)
				if status == http.StatusUnauthorized {
					mu.Lock()
					refused++
					mu.Unlock()
				}
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	if err := <-restarted; err != nil {
		return false, err
	}
	for _, g := range others {
		if g.ended() {
			return false, errors.New(g.name + " has ended by itself")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("requests with the key that were sent to undisturbed machines later than %v after the change, and run: %d; run at all: %d; refused: %d", inForce, ranTooLate, runs, refused)
	if runs+refused == 0 {
		return false, errors.New("no request was answered as expected")
	}
	return ranTooLate > 0, nil
}

// killAgain kills the processes of some gateways again and again, and starts them again.
func (w *world) killAgain(begun time.Time, gateways []*instance, trouble bool) error {
	for i := range kills {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * killInterval)))
		if !trouble {
			continue
		}
		for _, g := range gateways {
			g.kill()
		}
		w.note("the processes that are cut off are killed")
		time.Sleep(restartDelay)
		for _, g := range gateways {
			if err := w.startProcess(g); err != nil {
				return err
			}
		}
		w.note("they start again")
	}
	return nil
}
