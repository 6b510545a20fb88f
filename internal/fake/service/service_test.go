package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/wire/engine"
)

func call(h http.Handler, method, path, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
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

// Guards against a service that hides duplicates or miscounts effects under faults: the checks of orders rely on these
// counts.
func TestEffects(t *testing.T) {
	type step struct {
		method, path, id, body string
		status                 int
		answer                 string
	}
	order := `{"order":"17"}`
	for _, tc := range []struct {
		name    string
		fault   Fault
		steps   []step
		effects int
		runs    []int // dispatches per log entry
	}{
		{"one order", Fault{}, []step{
			{"POST", "/engrave", "r1", order, 200, `"effect":1`},
			{"GET", "/status/17", "r2", "", 200, `"effects":1`},
		}, 1, []int{1, 1}},
		{"nothing is deduplicated", Fault{}, []step{
			{"POST", "/engrave", "r1", order, 200, `"effect":1`},
			{"POST", "/engrave", "r1", order, 200, `"effect":2`},
			{"POST", "/badges", "r2", order, 200, `"effect":3`},
		}, 3, []int{2, 1}},
		{"answer lost after effect", Fault{Lose: 1}, []step{{"POST", "/engrave", "r1", order, 0, ""}}, 1, []int{1}},
		{"lost before effect", Fault{Drop: 1}, []step{{"POST", "/engrave", "r1", order, 0, ""}}, 0, []int{}},
		{"rejected", Fault{Reject: 1}, []step{{"POST", "/engrave", "r1", order, 500, ""}}, 0, []int{1}},
		{"down", Fault{Down: true}, []step{{"POST", "/engrave", "r1", order, 503, ""}}, 0, []int{}},
		{"unknown path or body", Fault{}, []step{
			{"GET", "/engrave", "r1", "", 404, ""},
			{"POST", "/engrave", "r1", "17", 400, ""},
		}, 0, []int{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := New(Options{Delay: 20 * time.Millisecond})
				s.SetFault(tc.fault)
				for _, p := range tc.steps {
					w := call(s, p.method, p.path, p.id, p.body)
					g.Expect(w.Code).To(Equal(p.status))
					g.Expect(w.Body.String()).To(ContainSubstring(p.answer))
					if p.status == 200 {
						g.Expect(w.Header().Get("X-Request-Id")).To(Equal(p.id))
					}
				}
				g.Expect(s.Effects("order 17")).To(Equal(tc.effects))
				runs := []int{}
				for _, r := range s.Log().Items {
					g.Expect(r.State).NotTo(Equal(engine.RunStateRunning))
					runs = append(runs, r.Dispatches)
				}
				g.Expect(runs).To(Equal(tc.runs))
			})
		})
	}
}
