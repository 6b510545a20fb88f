package commands

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a part that on-call cannot find or release, and against releasing it for more services than asked for.
func TestParts(t *testing.T) {
	var asked string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.RequestURI
		switch {
		case r.Method == http.MethodGet:
			w.Write([]byte(`{"parts":[{"service":"s","model":"m","id":"5c1e07a2","version":1,"quarantined":true,"crashes":3,"requests":4,"trials":1,"idle":2100}]}`))
		case strings.Contains(r.RequestURI, "unknown"):
			w.WriteHeader(http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
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
		{"list", nil, exitOK, "GET /parts", "5c1e07a2  s        m      3        4         1       2s ago", ""},
		{"release", []string{"--release", "5c1e07a2"}, exitOK, "DELETE /parts/5c1e07a2?", "", ""},
		{"release for a model", []string{"--release", "a b", "--model", "m", "--service", ""}, exitOK, "DELETE /parts/a%20b?model=m&service=", "", ""},
		{"unknown part", []string{"--release", "unknown"}, exitFailure, "DELETE /parts/unknown?", "", `part "unknown" is not in quarantine`},
		{"model without release", []string{"--model", "m"}, exitUsage, "", "", "go with --release"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			asked = ""
			var out, errs bytes.Buffer
			args := append([]string{"parts", strings.TrimPrefix(s.URL, "http://")}, c.args...)
			g.Expect(execute(args, &streams{in: strings.NewReader(""), out: &out, err: &errs})).To(Equal(c.code), errs.String())
			g.Expect(asked).To(Equal(c.asked))
			g.Expect(out.String()).To(ContainSubstring(c.out))
			g.Expect(errs.String()).To(ContainSubstring(c.err))
		})
	}
}
