package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
)

// slowWriter is the response of a caller that reads slowly: each write takes a time.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(b)
}

// A caller reads its stream slowly, beside sound ones. Guards against taking the pause of its endpoint, which waits to be read, for a failure
// of the endpoint, against a slow caller that holds more than a bounded buffer, and against one that delays others.
func TestSlowCallerBesideOthers(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				const last = 60
				var runs atomic.Int64
				f := newFleet(t, resumable, 8, []core.EndpointID{"a", "b"}, func(r *fleetRun) {
					if r.id == "slow" {
						runs.Add(1)
					}
					r.stream(last, func() { r.sleep(20 * time.Millisecond) })
				})
				defer f.tick()()
				var wg sync.WaitGroup
				defer wg.Wait()
				w := &slowWriter{httptest.NewRecorder(), delay}
				wg.Go(func() {
					r := httptest.NewRequest(http.MethodPost, "http://h.example/", nil)
					r.Header.Set("Id", "slow")
					r.Header.Set("Within", "10m")
					f.h.ServeHTTP(w, r)
				})
				for i := range 4 {
					wg.Go(func() {
						id := fmt.Sprint("sound", i)
						time.Sleep(time.Duration(i) * 300 * time.Millisecond)
						start := time.Now()
						g.Expect(f.send("/", id, time.Minute).body).To(Equal(events(last)))
						g.Expect(time.Since(start)).To(BeNumerically("<=", 1500*time.Millisecond))
					})
				}
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(f.h.memory.used.Load()).To(BeNumerically("<=", 5*maxEventBytes))
				}
				wg.Wait()
				g.Expect(w.Body.String()).To(Equal(events(last)))
				g.Expect(runs.Load()).To(Equal(int64(1)), "%v", f.logged("standby"))
				g.Expect(f.logged("endpoint suspended")).To(BeEmpty())
				g.Expect(f.h.memory.used.Load()).To(BeZero())
			})
		})
	}
}

// An endpoint cuts off responses that nobody reads for a while. Guards against taking that for its failure, so that it gets no more requests of
// sound callers.
func TestEndpointCutsOffSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var sends sync.Map
		f := newFleet(t, resumable, 8, []core.EndpointID{"a"}, func(r *fleetRun) {
			slow := r.id[0] == 's' && r.after == ""
			r.stream(3, func() {
				if _, cut := sends.LoadOrStore(r.id, true); cut && slow { // after the first event
					r.sleep(1500 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}
			})
		})
		defer f.tick()()
		var wg sync.WaitGroup
		defer wg.Wait()
		for i := range 4 {
			wg.Go(func() {
				defer func() { _ = recover() }() // the response is broken off
				r := httptest.NewRequest(http.MethodPost, "http://h.example/", nil)
				r.Header.Set("Id", fmt.Sprint("slow", i))
				r.Header.Set("Within", "5s")
				f.h.ServeHTTP(&slowWriter{httptest.NewRecorder(), 2 * time.Second}, r)
			})
		}
		time.Sleep(2500 * time.Millisecond)
		g.Expect(f.logged("endpoint suspended")).To(BeEmpty())
		g.Expect(f.pool.TakeReport().Failures).To(BeEmpty())
		g.Expect(f.send("/", "other", time.Second).body).To(Equal(events(3)))
	})
}
