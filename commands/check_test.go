package commands

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a check that passes a wrong configuration, or that does not say what it changes. The example of docs/cli.md is its first
// case.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	read := func(name string) string { // the adapter has the platform's names
		b, err := os.ReadFile(filepath.Join("..", "platform", "testdata", "check", name))
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	sound := read("force.json")
	next := write("next.json", read("next.json"))
	force := write("force.json", sound)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/objects/config/main" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Write([]byte(`{"metadata": {"name": "main"}, "spec": ` + sound + `}`))
	}))
	defer s.Close()
	problems := read("problems.txt")
	const changes = `route "draft": targets drafts (1) to draft (1); requests go to other endpoints
route "draft": timeout 9s to 300ms; longer requests get 504
`
	for _, c := range []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"errors and changes", []string{next, "--against", force}, exitFailure, problems + changes},
		{"against the store", []string{next, "--against", s.URL + "/objects/config/main"}, exitFailure, problems + changes},
		{"sound", []string{force}, exitOK, "force.json: ok\n"},
		{"json", []string{force, "-o", "json"}, exitOK, "{\n  \"problems\": []\n}\n"},
		{"no such file", []string{filepath.Join(dir, "none")}, exitFailure, ""},
		{"no configuration", []string{write("broken.json", "{")}, exitUsage, ""},
		{"no such object", []string{force, "--against", s.URL + "/none"}, exitFailure, ""},
		{"settings that can't be read", []string{force, "--settings", filepath.Join(dir, "none")}, exitUsage, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errs bytes.Buffer
			code := execute(append([]string{"check"}, c.args...), &streams{out: &out, err: &errs})
			g.Expect(code).To(Equal(c.code), errs.String())
			g.Expect(string(bytes.ReplaceAll(out.Bytes(), []byte(dir+"/"), nil))).To(Equal(c.out))
		})
	}
}
