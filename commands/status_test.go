package commands

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against control sequences in files and pipes, and against a watch that prints unchanged lines again.
func TestStatusWatch(t *testing.T) {
	for _, c := range []struct {
		name     string
		terminal bool
		args     string
		code     int
		want     []string // expected in the output, each as often as times says
		times    int
		errs     string
	}{
		{"terminal", true, "--count 2", exitOK, []string{"\x1b[H\x1b[2J", "INSTANCE  CENTRE  STATE", "entry-1   a       live"}, 2, ""},
		{"pipe", false, "--count 3", exitOK, []string{"entry-1: centre a, live, ready, revision 0\n", "workspace/oulu: version 3 is not in force: two; lines\n"}, 1, ""},
		{"JSON", true, "--count 2 -o json", exitOK, []string{`"instance":"entry-1"`}, 2, ""},
		{"terminal without answer", true, "--count 2 --server http://127.0.0.1:1", exitOK, []string{"no answer: call the operator API"}, 2, ""},
		{"pipe without answer", false, "--count 3 --server http://127.0.0.1:1", exitOK, []string{"http://127.0.0.1:1: no answer"}, 1, ""},
		{"wrong key", false, "--key wrong", exitFailure, nil, 0, "1404 forbidden"},
		{"interval", false, "--every 0s", exitUsage, nil, 0, "--every must be above 0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newShell(t)
			s.terminal = c.terminal
			code, out, errs := s.run("", strings.Fields("status --watch --every 10ms "+c.args)...)
			g.Expect(code).To(Equal(c.code), errs)
			for _, w := range c.want {
				g.Expect(strings.Count(out, w)).To(Equal(c.times), "%q in %s", w, out)
			}
			g.Expect(strings.Contains(out, "\x1b")).To(Equal(c.terminal && !strings.Contains(c.args, "json")))
			g.Expect(errs).To(ContainSubstring(c.errs))
		})
	}
}

// Guards against completions that omit a command, and against running a command in place of completing it.
func TestCompletion(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"monsoondale sta", "standin status"},
		{"monsoondale get ", "template workspace"},
		{"monsoondale status --w", "--watch"},
		{"monsoondale standin eng", "engine"},
		{"monsoondale validate " + os.TempDir()[:2], os.TempDir() + "/"},
	} {
		t.Run(c.line, func(t *testing.T) {
			g := NewWithT(t)
			t.Setenv("COMP_LINE", c.line)
			code, out, errs := (&shell{t: t}).run("")
			g.Expect(code).To(Equal(exitOK), errs)
			g.Expect(strings.Fields(out)).To(ContainElements(strings.Fields(c.want)))
		})
	}
}
