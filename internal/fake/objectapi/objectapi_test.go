package objectapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/wire/platform"
)

func call(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if p := recover(); p != nil {
				w.Code = 0 // the connection was closed
			}
		}()
		h.ServeHTTP(w, r)
	}()
	return w
}

// Guards against a fake that accepts unconditional or stale writes: it would hide faults in the protocol of claims.
func TestConditionalWrites(t *testing.T) {
	type step struct {
		method, path, body, match, none string
		status                          int
		etag, value                     string
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"create once", []step{
			{"PUT", "/objects/claim/1", "a", "", "*", 200, `"1"`, ""},
			{"PUT", "/objects/claim/1", "b", "", "*", 409, `"1"`, "a"},
			{"GET", "/objects/claim/1", "", "", "", 200, `"1"`, "a"},
		}},
		{"update with the current version only", []step{
			{"PUT", "/objects/claim/1", "a", "", "*", 200, `"1"`, ""},
			{"PUT", "/objects/claim/2", "x", "", "*", 200, `"2"`, ""},
			{"PUT", "/objects/claim/1", "b", `"1"`, "", 200, `"3"`, ""},
			{"PUT", "/objects/claim/1", "c", `"1"`, "", 409, `"3"`, "b"},
		}},
		{"delete leaves a tombstone and versions never decrease", []step{
			{"PUT", "/objects/claim/1", "a", "", "*", 200, `"1"`, ""},
			{"DELETE", "/objects/claim/1", "", `"1"`, "", 200, `"2"`, ""},
			{"GET", "/objects/claim/1", "", "", "", 404, `"2"`, ""},
			{"PUT", "/objects/claim/1", "b", `"2"`, "", 409, `"2"`, ""},
			{"PUT", "/objects/claim/1", "b", "", "*", 200, `"3"`, ""},
		}},
		{"unconditional writes are refused", []step{
			{"PUT", "/objects/claim/1", "a", "", "", 400, "", ""},
			{"DELETE", "/objects/claim/1", "", "", "", 400, "", ""},
		}},
		{"values up to 1 MB", []step{
			{"PUT", "/objects/claim/1", strings.Repeat("x", MaxValueSize), "", "*", 200, `"1"`, ""},
			{"PUT", "/objects/claim/1", strings.Repeat("x", MaxValueSize+1), `"1"`, "", 413, "", ""},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			a := New(Options{})
			for _, s := range tc.steps {
				w := call(a, s.method, s.path, s.body, "If-Match", s.match, "If-None-Match", s.none)
				g.Expect(w.Code).To(Equal(s.status), "%s %s", s.method, s.path)
				g.Expect(w.Header().Get("ETag")).To(Equal(s.etag))
				switch s.status {
				case 200:
					if s.method == "GET" {
						g.Expect(w.Body.String()).To(Equal(s.value))
					}
				case 409:
					var it platform.Item
					g.Expect(json.Unmarshal(w.Body.Bytes(), &it)).To(Succeed())
					g.Expect(it.Value).To(Equal(s.value))
				}
			}
		})
	}
}

// Guards against injected faults whose effect differs from their documentation.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name      string
		fault     string
		status    int
		effective bool
	}{
		{"none", `{}`, 200, true},
		{"down", `{"down":true}`, 503, false},
		{"down for another kind", `{"down":true,"kind":"template"}`, 200, true},
		{"throttled", `{"throttle":true}`, 429, false},
		{"answer lost after effect", `{"lose":1}`, 0, true},
		{"lost before effect", `{"drop":1}`, 0, false},
		{"slow", `{"slow":5000}`, 200, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := New(Options{})
				g.Expect(call(a, "PUT", "/fault", tc.fault).Code).To(Equal(200))
				g.Expect(call(a, "PUT", "/objects/claim/1", "a", "If-None-Match", "*").Code).To(Equal(tc.status))
				g.Expect(a.Items("claim")).To(HaveLen(map[bool]int{true: 1}[tc.effective]))
			})
		})
	}
	g := NewWithT(t)
	g.Expect(call(New(Options{}), "PUT", "/fault", `{"dwon":true}`).Code).To(Equal(400))
}

// Guards against watches that miss changes, return early or are not counted as calls.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := New(Options{})
		call(a, "PUT", "/objects/template/a", "1", "If-None-Match", "*")

		start := time.Now()
		w := call(a, "GET", "/objects/template?after=1&wait=10", "")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(time.Since(start)).To(Equal(10 * time.Second))

		var wg sync.WaitGroup
		wg.Go(func() { w = call(a, "GET", "/objects/template?after=1&wait=10", "") })
		synctest.Wait()
		g.Expect(a.Counters().Waiting).To(Equal(1))
		call(a, "PUT", "/objects/workspace/b", "2", "If-None-Match", "*")
		call(a, "DELETE", "/objects/template/a", "", "If-Match", `"1"`)
		wg.Wait()
		var out platform.Items
		g.Expect(json.Unmarshal(w.Body.Bytes(), &out)).To(Succeed())
		g.Expect(out).To(Equal(platform.Items{Revision: 3, Items: []platform.Item{{Kind: "template", Name: "a", Version: 3, Deleted: true}}}))

		a.SetFault(Fault{Compact: true})
		g.Expect(call(a, "GET", "/objects/template?after=1&wait=10", "").Code).To(Equal(410))
		g.Expect(a.Counters()).To(Equal(Counters{Writes: 3, Watches: 3}))
	})
}

// Guards against a fake that does not enforce the platform's rate limits.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := New(Options{Reads: 10, Writes: 5})
		refused := func(n int, method, path string) (refused int) {
			for range n {
				if call(a, method, path, "", "If-None-Match", "*").Code == 429 {
					refused++
				}
			}
			return refused
		}
		g.Expect(refused(20, "GET", "/objects/x/y")).To(Equal(10))
		g.Expect(refused(20, "PUT", "/objects/x/y")).To(Equal(15))
		time.Sleep(time.Second)
		g.Expect(refused(20, "GET", "/objects/x")).To(Equal(10))
	})
}
