package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/platform/fake"
)

const (
	crashEndpoints  = 8
	crashingPart    = "bad0bad0"
	crashInterval   = 100 * time.Millisecond // between requests with the part
	crashFaults     = 4 * time.Second        // length of the time with faults
	contactTime     = 3 * time.Second        // after which all instances must know the part
	knownTime       = 4 * time.Second        // for which it is checked that they do
	toleratedSends  = 3                      // of requests with the part meanwhile
	firstPort       = 21000                  // of endpoints, below the ports that the kernel gives to connections
	soundCallers    = 8
	crashesPerSeeds = 3 // one of so many seeds is played with crashes, which take longer
)

// Guards against instances that forget a part of prompts that crashes endpoints, or never learn it, while they are killed, stopped,
// paused and cut off from the store; and against sound requests that are refused with it.
func TestSoakOfCrashes(t *testing.T) {
	defer func(n int) { *seeds = n }(*seeds)
	*seeds = max(*seeds/crashesPerSeeds, 1)
	forEachSeed(t, failedCrashSeeds, func(w *world) {
		w.grace, w.slots = 3*time.Second, 8
		w.playCrashes()
	})
}

// crashLoad counts the requests of callers and those that reach endpoints.
type crashLoad struct {
	w            *world
	mu           sync.Mutex
	counting     bool
	arrived      int // with the part
	sent, served int // sound ones
}

// behave crashes the endpoint under a request with the part.
func (l *crashLoad) behave(r *http.Request) fake.Behaviour {
	if !fake.HasPart(r, crashingPart) {
		return fake.Behaviour{Pause: 20 * time.Millisecond}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counting {
		l.arrived++
	}
	return fake.Behaviour{Crash: true, CrashAfter: 1}
}

// send sends a request to a random instance, and reports whether it was served.
func (l *crashLoad) send(id string, parts ...string) bool {
	i := l.w.instances[rand.IntN(len(l.w.instances))]
	r := fake.NewRequest(i.address(), "/stream/", id, 2*time.Second)
	fake.SetParts(r, "m", parts...)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// sound sends sound requests until stop is closed.
func (l *crashLoad) sound(caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		l.mu.Lock()
		counts := l.counting
		l.mu.Unlock()
		ok := l.send(fmt.Sprint("sound-", caller, "-", n), "aa01", "aa02", fmt.Sprintf("%04x%04x", caller, n))
		l.mu.Lock()
		if counts {
			l.sent++
			if ok {
				l.served++
			}
		}
		l.mu.Unlock()
	}
}

// playCrashes plays one seed.
func (w *world) playCrashes() {
	g, l := NewWithT(w.t), &crashLoad{w: w}
	defer w.open()()
	for n := range crashEndpoints {
		address := net.JoinHostPort(fmt.Sprintf("%s.%d.100", network, w.slot+1), fmt.Sprint(firstPort+n))
		e, err := fake.NewEndpointAt(fmt.Sprint("e", n), address, l.behave)
		g.Expect(err).ToNot(HaveOccurred())
		defer e.Close()
		service := []string{"s", "t"}[n/6] // the configuration sends a part of the requests to t
		register := func() { w.store.Put("servers", e.ID, e.Entry(service, "ready", w.slots)) }
		register()
		e.OnStart(register)
		w.endpoints = append(w.endpoints, e)
	}
	defer w.startInstances()()
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range soundCallers {
		callers.Go(func() { l.sound(n, stop) })
	}
	callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(crashInterval):
			}
			callers.Go(func() {
				l.send(fmt.Sprint("bad-", n), "aa01", crashingPart, "aa02", fmt.Sprintf("ffff%04x", n))
			})
		}
	})
	w.playSeries(crashFaults, instanceFaults)
	w.log("faults end")
	time.Sleep(contactTime)
	g.Eventually(w.allReady, "10s", "20ms").Should(BeTrue())
	l.mu.Lock()
	l.counting = true
	l.mu.Unlock()
	time.Sleep(knownTime)
	close(stop)
	callers.Wait()
	crashes := 0
	for _, e := range w.endpoints {
		crashes += len(e.Crashes())
	}
	if l.arrived > toleratedSends && crashes-l.arrived >= 5 {
		w.violation("%d requests with the part reached endpoints %v after the last fault; %d crashes in all:\n%s", l.arrived, contactTime, crashes, w.logLines(`"msg":"part`))
	}
	if l.sent < 20 || 2*l.served < l.sent {
		w.violation("%d of %d sound requests were served:\n%s", l.served, l.sent, w.logLines(`"msg":"part`))
	}
	w.t.Logf("%d crashes, %d requests with the part afterwards, %d of %d sound ones served", crashes, l.arrived, l.served, l.sent)
	if len(w.violations) > 0 {
		w.t.Error(w.report())
	}
}
