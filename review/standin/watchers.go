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
	// inForce is the bound within which a change of the configuration must be in force, config_ms.
	inForce = 2 * time.Second
	// restartDelay is the time between the end of a process and the start of the next one.
	restartDelay = 300 * time.Millisecond
	revokedKey   = "key-2"
)

// watchersRestarted cuts three of eight machines off from the store. Their processes are killed four times, every 1.4 s. A new configuration
// takes a key away, and
// the other five machines are asked with that key.
func watchersRestarted(w *world, trouble bool) (bool, error) {
	configuration := func(version int, keys ...any) map[string]any {
		return fake.Configuration(version, func(c map[string]any) {
			tenants := c["tenants"].([]any)
			tenants[0].(map[string]any)["api_keys"] = keys
		})
	}
	w.store.Put("config", "main", configuration(1, "key", revokedKey))
	for i := 1; i <= 3; i++ {
		e := fake.NewEndpoint(fmt.Sprintf("i-%d", i), nil)
		defer e.Close()
		w.store.Put("servers", e.ID, e.Entry("s", "ready", 8))
	}
	if err := w.startGateways(8); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)

	cutOff, others := w.gateways[:3], w.gateways[3:]
	if trouble {
		for _, g := range cutOff {
			g.store.set(true)
		}
		w.note("%s, %s and %s are cut off from the store", cutOff[0].name, cutOff[1].name, cutOff[2].name)
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	restarted := make(chan error, 1)
	go func() {
		for i := range 4 {
			time.Sleep(time.Until(begun.Add(time.Duration(i) * 1400 * time.Millisecond)))
			if !trouble {
				continue
			}
			for _, g := range cutOff {
				g.kill()
			}
			w.note("the processes that are cut off are killed")
			time.Sleep(restartDelay)
			for _, g := range cutOff {
				if err := w.startProcess(g); err != nil {
					restarted <- err
					return
				}
			}
			w.note("they start again")
		}
		restarted <- nil
	}()
	time.Sleep(time.Until(begun.Add(2500 * time.Millisecond)))
	w.store.Put("config", "main", configuration(2, "key"))
	changed := time.Now()
	w.note("the store has accepted version 2, which takes %s away", revokedKey)

	var mu sync.Mutex
	tooLate, refused := 0, 0
	var wg sync.WaitGroup
	for _, g := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Timeout: 5 * time.Second}
			for time.Since(changed) < 6*time.Second {
				id := fmt.Sprintf("%08x", w.nextID.Add(1))
				r := fake.NewRequest(g.ip+":8000", "/again/x", id, 2*time.Second)
				r.Header.Set("Authorization", "Token "+revokedKey)
				sent := time.Since(changed)
				resp, err := c.Do(r)
				status := 0
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					status = resp.StatusCode
				}
				w.note("request %s with %s, sent to %s %d ms after the change, answered with %d", id, revokedKey, g.name, sent.Milliseconds(), status)
				mu.Lock()
				switch {
				case status == http.StatusUnauthorized:
					refused++
				case status == http.StatusOK && sent > inForce:
					tooLate++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
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
	w.note("requests with the key that were sent later than %v after the change, and run: %d; refused: %d", inForce, tooLate, refused)
	if refused == 0 && tooLate == 0 {
		return false, errors.New("no request was answered as expected")
	}
	return tooLate > 0, nil
}
