package commands

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an order that on-call cannot see or stop.
func TestRollout(t *testing.T) {
	var asked string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.RequestURI
		switch {
		case r.Method == http.MethodGet:
			w.Write([]byte(`{"orders":[{"service":"s","target":"v2","state":"running","age":4100,"duration":12000,"share":90000,"responses":40,"bad":1,"verdict":"nothing against it","routes":[{"route":"r1","responses":40,"bad":1,"verdict":"nothing against it"}]}]}`))
		case strings.Contains(r.RequestURI, "unknown"):
			w.WriteHeader(http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusAccepted)
		}
	}))
	defer s.Close()
	for _, c := range []struct {
		name  string
		args  []string
		code  int
		asked string
		out   string
		err   string
	}{
		{"show", nil, exitOK, "GET /rollouts", "s        v2      running  4s   12s  9.0%   all    40         1    nothing against it", ""},
		{"stop", []string{"--stop", "a b"}, exitOK, "DELETE /rollouts/a%20b", "", ""},
		{"unknown service", []string{"--stop", "unknown"}, exitFailure, "DELETE /rollouts/unknown", "", `service "unknown" has no order in progress`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			asked = ""
			var out, errs bytes.Buffer
			args := append([]string{"rollout", strings.TrimPrefix(s.URL, "http://")}, c.args...)
			g.Expect(execute(args, &streams{in: strings.NewReader(""), out: &out, err: &errs})).To(Equal(c.code), errs.String())
			g.Expect(asked).To(Equal(c.asked))
			g.Expect(out.String()).To(ContainSubstring(c.out))
			g.Expect(errs.String()).To(ContainSubstring(c.err))
		})
	}
}
