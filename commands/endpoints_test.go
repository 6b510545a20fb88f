package commands

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a limit whose reason on-call cannot see, and against endpoints of other services than asked for.
func TestEndpoints(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI != "/endpoints" {
			w.WriteHeader(http.StatusNotFound)
		}
		w.Write([]byte(`{"endpoints":[
			{"service":"a","id":"e1","slots":10,"limit":5,"why":"more requests do not raise throughput","known":6,"speed":36,"running":5,"waiting":1,"age":120},
			{"service":"b","id":"e2","slots":6,"limit":6,"why":"slots","known":0,"speed":100,"age":-1}]}`))
	}))
	defer s.Close()
	for _, c := range []struct {
		name string
		args []string
		out  []string
		not  string
	}{
		{"all", nil, []string{"a        e1        10     5      6      5+1, 120ms ago  36%    more requests do not raise throughput", "b        e2        6      6      0      -               100%   slots"}, "e3"},
		{"one service", []string{"--service", "b"}, []string{"e2"}, "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errs bytes.Buffer
			args := append([]string{"endpoints", strings.TrimPrefix(s.URL, "http://")}, c.args...)
			g.Expect(execute(args, &streams{in: strings.NewReader(""), out: &out, err: &errs})).To(Equal(exitOK), errs.String())
			for _, line := range c.out {
				g.Expect(out.String()).To(ContainSubstring(line))
			}
			g.Expect(out.String()).ToNot(ContainSubstring(c.not))
		})
	}
}
