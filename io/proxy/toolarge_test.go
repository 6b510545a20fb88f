package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/pool"
)

// sizedHeaders are the headers of fleets whose endpoints state free slots when they reject a request.
type sizedHeaders struct{ fleetHeaders }

func (c sizedHeaders) ParseRequest(h http.Header) RequestInfo {
	info := c.fleetHeaders.ParseRequest(h)
	n, _ := strconv.Atoi(h.Get("Prompt"))
	info.Prompt, info.TokensStated = core.Tokens(n), true
	return info
}

func (sizedHeaders) ParseResponse(r *http.Response) ResponseInfo {
	return ResponseInfo{Signed: true, NotRun: r.Header.Get("Rejected") != "", Load: pool.StatedLoad{Running: 1, Slots: 8}}
}

// Requests are larger than the memory of the endpoints, which reject them as if they were full. Guards against trying them everywhere, and
// against suspending the endpoints for it.
func TestRequestLargerThanMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var rejected atomic.Int64
		f := newFleet(t, resumable, 8, []core.EndpointID{"a", "b", "c", "d"}, func(r *fleetRun) {
			if r.r.Header.Get("Prompt") == "90000" {
				rejected.Add(1)
				r.w.Header().Set("Rejected", "1")
				r.w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			r.stream(1, func() {})
		})
		f.h.o.Headers = sizedHeaders{}
		defer f.tick()()
		for i := range 50 {
			f.send("/", fmt.Sprint("r", i), time.Second, "Prompt", "1000")
		}
		for i := range 5 {
			g.Expect(f.send("/", fmt.Sprint("large", i), 5*time.Second, "Prompt", "90000").status).To(Equal(http.StatusServiceUnavailable))
		}
		g.Expect(rejected.Load()).To(BeNumerically("<=", 5*maxTooLarge))
		g.Expect(f.logged("endpoint suspended")).To(BeEmpty())
		g.Expect(f.send("/", "last", time.Second, "Prompt", "1000").body).To(Equal(events(1)))
	})
}
