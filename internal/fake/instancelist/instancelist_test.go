package instancelist

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/wire/platform"
)

func call(h http.Handler, method, path, body string) (int, platform.Instances) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	var out platform.Instances
	_ = json.Unmarshal(w.Body.Bytes(), &out) // for other answers, only the status is checked
	return w.Code, out
}

// Guards against a list that shows changes without delay or in another order.
func TestLag(t *testing.T) {
	type step struct {
		after  time.Duration
		method string
		path   string
		body   string
		status int
		want   string // visible entries as name:state
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"changes are visible after the lag", []step{
			{0, "PUT", "/instances/a", `{"role":"entry"}`, 200, ""},
			{time.Second, "GET", "/instances", "", 200, ""},
			{time.Second, "PUT", "/instances/a", `{"role":"entry","state":"leaving"}`, 200, "a:live"},
			{time.Second, "DELETE", "/instances/a", "", 204, "a:live"},
			{time.Second, "GET", "/instances", "", 200, "a:leaving"},
			{time.Second, "GET", "/instances", "", 200, ""},
		}},
		{"frozen", []step{
			{0, "PUT", "/instances/a", `{}`, 200, ""},
			{2 * time.Second, "PUT", "/fault", `{"frozen":true}`, 200, "a:live"},
			{0, "DELETE", "/instances/a", "", 204, "a:live"},
			{time.Minute, "GET", "/instances", "", 200, "a:live"},
			{0, "PUT", "/fault", `{}`, 200, ""},
		}},
		{"down and additional lag", []step{
			{0, "PUT", "/instances/a", `{}`, 200, ""},
			{2 * time.Second, "PUT", "/fault", `{"down":true,"lag":1000}`, 200, ""},
			{0, "GET", "/instances", "", 503, ""},
			{time.Second, "GET", "/instances", "", 503, "a:live"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l := New(Options{Lag: 2 * time.Second})
				revision := 0
				for i, s := range tc.steps {
					time.Sleep(s.after)
					status, out := call(l, s.method, s.path, s.body)
					g.Expect(status).To(Equal(s.status), "step %d", i)
					v := l.Visible()
					var names []string
					for _, it := range v.Items {
						names = append(names, it.Name+":"+string(it.State))
					}
					g.Expect(strings.Join(names, " ")).To(Equal(s.want), "step %d", i)
					g.Expect(v.Revision).To(BeNumerically(">=", revision))
					revision = v.Revision
					if s.path == "/instances" && status == http.StatusOK {
						g.Expect(out).To(Equal(v))
					}
				}
			})
		})
	}
}
