// Package spec checks the Promela specifications of this directory with the model checker Spin, exhaustively for small
// bounds. It needs Spin and gcc.
package spec

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// guard is a safeguard of a protocol: a preprocessor define removes it, and then an assertion must fail.
type guard struct{ define, assertion string }

var specs = []struct {
	name       string
	defineSets []string // sets of defines with which no assertion may fail
	guards     []guard
}{
	{"order", []string{"", "-DA=2 -DFAULTS=3"}, []guard{
		{"NO_CONDITION", "dispatched<=1"},
		{"NO_ATTEMPT", "dispatched<=1"},
		{"NO_TICKET", "told[id]"},
		{"NO_VOID", "notrun[cur]"},
	}},
	{"slot", []string{""}, []guard{
		{"NO_BEGIN", "dispatches<=1"},
		{"NO_PROOF", "dispatches<=1"},
	}},
	{"floor", []string{""}, []guard{
		{"NO_SILENCE", "low[1]"},
		{"NO_SENDTIME", "low[1]"},
		{"NO_WAIT", "low[1]"},
		{"NO_LAG", "low[1]"},
	}},
	{"config", []string{"", "-DRESTARTS=1 -DLOST=2"}, []guard{
		{"NO_CONDITION", "base[version]==(version-1)"},
		{"NO_ID", "was"},
		{"NO_ORDER", "v>=applied[i]"},
		{"NO_READY", ">=forced"},
		{"NO_ASK", ">=forced"},
	}},
	{"fence", []string{""}, []guard{
		{"NO_FENCE", "f>=carries[e]"},
		{"NO_READBACK", "carries[0]==mine"},
		{"NO_WAIT", "now>=expiry"},
		{"NO_EXPIRY", "now<expiry"},
	}},
}

// semaphore limits the verifiers that run at the same time, because each takes up to a gigabyte.
var semaphore = make(chan struct{}, 3)

var (
	errorCount = regexp.MustCompile(`errors: (\d+)`)
	stateCount = regexp.MustCompile(`(\d+) states, stored`)
	violation  = regexp.MustCompile(`pan:1: (.*) \(at depth`)
)

// Guards against a protocol that violates its invariant for some order of events, and against a specification that does
// not detect this: with any one guard removed, Spin must find the violation that the guard prevents.
func TestSpecifications(t *testing.T) {
	for _, tool := range []string{"spin", "gcc"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Fatalf("%s is required (.ci/run installs spin): %v", tool, err)
		}
	}
	for _, s := range specs {
		for _, defines := range s.defineSets {
			t.Run(strings.TrimSpace(s.name+" "+defines), func(t *testing.T) {
				t.Parallel()
				out := runVerifier(t, s.name, strings.Fields(defines)...)
				if m := errorCount.FindStringSubmatch(out); m == nil || m[1] != "0" || incomplete(out) {
					t.Errorf("assertion violated, or search incomplete:\n%s", out)
				}
				n, _ := strconv.Atoi(firstGroup(stateCount, out)) // 0 fails below
				if n == 0 {
					t.Errorf("no states in the output of the verifier:\n%s", out)
				}
				fmt.Printf("spec %s %s: %d states, no violation\n", s.name, defines, n)
			})
		}
		for _, g := range s.guards {
			t.Run(s.name+" "+g.define, func(t *testing.T) {
				t.Parallel()
				out := runVerifier(t, s.name, "-D"+g.define)
				if got := firstGroup(violation, out); !strings.HasPrefix(got, "assertion violated") || !strings.Contains(got, g.assertion) {
					t.Errorf("found %q, expected a violation of %s:\n%s", got, g.assertion, out)
				}
				fmt.Printf("spec %s without its guard (%s): %s\n", s.name, g.define, firstGroup(violation, out))
			})
		}
	}
}

// runVerifier generates and runs Spin's verifier for a specification, in a temporary directory. It returns the output.
func runVerifier(t *testing.T, name string, defines ...string) string {
	t.Helper()
	semaphore <- struct{}{}
	defer func() { <-semaphore }()
	dir := t.TempDir()
	text, err := os.ReadFile(name + ".pml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "spec.pml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	runCommand := func(args ...string) string {
		cmd := exec.CommandContext(t.Context(), args[0], args[1:]...)
		cmd.Dir = dir
		var out bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &out
		if err := cmd.Run(); err != nil {
			t.Fatalf("%v: %v\n%s", args, err, &out)
		}
		return out.String()
	}
	runCommand(append(append([]string{"spin"}, defines...), "-a", "spec.pml")...)
	runCommand("gcc", "-O2", "-w", "-DSAFETY", "-DVECTORSZ=4096", "-o", "pan", "pan.c")
	return runCommand("./pan", "-m200000", "-w22")
}

// incomplete reports whether the verifier did not search all states.
func incomplete(out string) bool {
	for _, s := range []string{"Search not completed", "max search depth too small", "out of memory"} {
		if strings.Contains(out, s) {
			return true
		}
	}
	return false
}

// firstGroup returns the text of the first group of a match, or "".
func firstGroup(re *regexp.Regexp, s string) string {
	if m := re.FindStringSubmatch(s); m != nil {
		return m[1]
	}
	return ""
}
