package commands

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/report"
	"monsoondale/core/workspace"
	"monsoondale/io/operator"
	wire "monsoondale/wire/operator"
)

var update = flag.Bool("update", false, "rewrite generated documents")

// memoryStore keeps objects in memory. It is not safe for concurrent use. loseWrites makes the outcome of every write
// unknown.
type memoryStore struct {
	objects    map[string]operator.StoredObject
	last       core.Revision
	loseWrites bool
}

func (s *memoryStore) Get(_ context.Context, kind, name string) (operator.StoredObject, error) {
	o := s.objects[kind+"/"+name]
	o.Kind, o.Name = kind, name
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, kind, name, value string, old core.Revision) (core.Revision, error) {
	if s.loseWrites {
		return 0, &operator.UndeterminedError{Err: context.DeadlineExceeded}
	}
	if cur := s.objects[kind+"/"+name]; cur.Version != old {
		return 0, &operator.ConflictError{Current: cur}
	}
	s.last++
	s.objects[kind+"/"+name] = operator.StoredObject{Kind: kind, Name: name, Version: s.last, Value: value}
	return s.last, nil
}

func (s *memoryStore) List(_ context.Context, kind string) (out []operator.StoredObject, _ error) {
	for _, o := range s.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, nil
}

// fakeInstance is an instance whose configuration is that of a compiler. Its report counts a single request.
type fakeInstance struct{ compiler *workspace.Compiler }

func (i fakeInstance) Ready() (bool, string) { return true, "" }

func (i fakeInstance) Status(context.Context) (wire.Status, error) {
	p := i.compiler.Plan()
	return wire.Status{
		Instance: "entry-1", Revision: int(p.Revision()), Workspaces: len(p.Workspaces()),
		Instances: []wire.Instance{{Name: "entry-1", Centre: "a", State: "live", Ready: true, Revision: int(p.Revision())}},
		Problems:  append(operator.Problems(p), wire.Problem{Kind: "workspace", Name: "oulu", Version: 3, Stale: true, Detail: "two\nlines"}),
	}, nil
}

func (i fakeInstance) Report(context.Context) (wire.Report, error) {
	r := report.NewRecorder("entry-1", reportTime)
	r.Accept("helsinki", 1, "draft").Finish(report.OnTime, report.RequestStats{})
	var agg report.Aggregator
	agg.Merge(r.Publication(reportTime, false))
	return agg.Report(reportTime, nil), nil
}

func (i fakeInstance) SetLogLevel(string) error { return nil }

var reportTime = time.Unix(1_700_000_000, 0)

const deskTemplate = `{"template": "desk", // comment
"params": [{"name": "weight", "type": "int", "default": 1, "max": 50}],
"share": "${weight}", "kinds": [{"name": "draft", "tier": 1, "pool": "drafting"}]}
`

const helsinkiWorkspace = `{"workspace": "helsinki", "template": "desk", "params": {"weight": 20}}`

// shell runs commands against an operator API in this process.
type shell struct {
	t      *testing.T
	dir    string
	server string
	store  *memoryStore

	terminal bool
}

func newShell(t *testing.T) *shell {
	return newShellWith(t, func(i fakeInstance) operator.Instance { return i })
}

// newShellWith returns a shell whose operator API belongs to the instance that the function returns.
func newShellWith(t *testing.T, instance func(fakeInstance) operator.Instance) *shell {
	s := &memoryStore{objects: map[string]operator.StoredObject{}}
	c := workspace.NewCompiler()
	server := httptest.NewServer(operator.NewHandler(operator.Options{
		Store: s, Checker: c, Instance: instance(fakeInstance{c}), Keys: map[string][32]byte{"aino": sha256.Sum256([]byte("k"))},
		OnWrite: func(o operator.StoredObject) {
			c.Apply(workspace.DecodeObject(o.Kind, o.Name, o.Version, o.Value, false))
		},
		ResolveTimeout: 50 * time.Millisecond,
	}))
	t.Cleanup(server.Close)
	t.Setenv("MONSOONDALE_SERVER", server.URL)
	t.Setenv("MONSOONDALE_KEY", "k")
	return &shell{t: t, dir: t.TempDir(), server: server.URL, store: s}
}

func (s *shell) file(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run runs a command with the given standard input. It returns the exit code, standard output and standard error.
func (s *shell) run(in string, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := execute(args, &streams{in: strings.NewReader(in), out: &out, err: &errs, terminal: s.terminal})
	return code, out.String(), errs.String()
}

// Guards against changes of the exit codes and outputs that scripts of operators rely on.
func TestOperatorCommands(t *testing.T) {
	s := newShell(t)
	desk, work := s.file("desk.json", deskTemplate), s.file("helsinki.json", helsinkiWorkspace)
	changed := s.file("changed.json", strings.Replace(deskTemplate, "drafting", "writing", 1))
	bad := s.file("bad.json", strings.Replace(deskTemplate, `"tier": 1`, `"tier": 7`, 1))
	for _, c := range []struct {
		args     string
		in       string
		code     int
		out, err string
	}{
		{"apply --dry-run " + desk, "", exitOK, `+{"template": "desk", // comment`, ""},
		{"apply " + desk + " " + work, "", exitOK, "template/desk now has version 1 (0 workspaces affected)\nworkspace/helsinki now has version 2 (1 workspaces affected)\n", ""},
		{"apply " + desk, "", exitOK, "template/desk is unchanged at version 1", ""},
		{"apply --dry-run " + changed, "", exitOK, "template/desk would be changed (1 workspaces affected)", ""},
		{"apply --version 0 " + changed, "", exitConflict, "", "changed by aino"},
		{"apply --version 7 " + changed, "", exitConflict, "", "The current document, version 1:\n{\"template\": \"desk\", // comment"},
		{"apply -", deskTemplate, exitOK, "unchanged", ""},
		{"apply -o json -", strings.Replace(deskTemplate, "drafting", "reading", 1), exitOK, `"version": 3`, ""},
		{"apply " + bad, "", exitUsage, "", bad + ":3: kinds[0].tier: 7 is not valid; use a whole number of 0 to 3"},
		{"apply " + filepath.Join(s.dir, "none.json"), "", exitUsage, "", "cannot read the document"},
		{"apply --version 1 " + desk + " " + work, "", exitUsage, "", "--version needs a single file"},
		{"get template desk", "", exitOK, "// comment\n", "template/desk version 3, changed by aino"},
		{"get template", "", exitOK, "desk  3        aino", ""},
		{"get workspace -o json", "", exitOK, `"name": "helsinki"`, ""},
		{"get workspace none", "", exitFailure, "", "1405 no such object"},
		{"get plan", "", exitUsage, "", "must be one of"},
		{"status", "", exitOK, "workspace/oulu version 3 (an earlier form is in force)\n  two\n  lines\n", ""},
		{"history", "", exitOK, "template/desk       applied", ""},
		{"history workspace helsinki -o json", "", exitOK, `"kind": "workspace"`, ""},
		{"report", "", exitOK, "helsinki / draft / tier 1", ""},
		{"report -o json", "", exitOK, `"ontime": 1`, ""},
		{"report -o html", "", exitOK, "<!DOCTYPE html>", ""},
		{"delete template desk", "", exitUsage, "", "the template is used by 1 workspaces: helsinki"},
		{"delete workspace helsinki --version 1", "", exitConflict, "", "now has version 2"},
		{"delete workspace helsinki --dry-run", "", exitOK, "workspace/helsinki would be deleted", ""},
		{"delete workspace helsinki", "", exitOK, "workspace/helsinki is deleted", ""},
		{"delete workspace helsinki", "", exitFailure, "", "1405"},
		{"status --key wrong", "", exitFailure, "", "1404 forbidden"},
	} {
		t.Run(c.args, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errs := s.run(c.in, strings.Fields(c.args)...)
			g.Expect(code).To(Equal(c.code), errs)
			g.Expect(out).To(ContainSubstring(c.out))
			g.Expect(errs).To(ContainSubstring(c.err))
		})
	}
	t.Run("unknown outcome", func(t *testing.T) {
		g := NewWithT(t)
		s.store.loseWrites = true
		code, _, errs := s.run("", "apply", work)
		g.Expect(code).To(Equal(exitUnknown))
		g.Expect(errs).To(ContainSubstring("3003 change unknown"))
	})
}

// Guards against a validation that needs a server, or that accepts files which an instance would refuse.
func TestValidate(t *testing.T) {
	s := &shell{t: t, dir: t.TempDir()}
	desk, work := s.file("desk.json", deskTemplate), s.file("helsinki.json", helsinkiWorkspace)
	duplicate := s.file("twin.json", helsinkiWorkspace)
	bad := s.file("bad.json", strings.Replace(helsinkiWorkspace, "20", "200", 1))
	settings := s.file("settings.json", `{"name": "Entry"}`)
	for _, c := range []struct {
		args     string
		code     int
		out, err string
	}{
		{"validate " + work + " " + desk, exitOK, "desk.json: template \"desk\" ok", ""},
		{"validate " + work, exitUsage, "", work + `:1: template: there is no template "desk"`},
		{"validate " + desk + " " + bad, exitUsage, "ok", bad + ":1: params.weight: 200 is out of range; use a value of at most 50"},
		{"validate " + desk + " " + work + " " + duplicate, exitUsage, "", `workspace "helsinki" is in two files`},
		{"validate --settings " + settings, exitUsage, "", settings + `:1: name: "Entry" is not a valid name`},
		{"validate", exitUsage, "", "name at least one file"},
	} {
		t.Run(c.args, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errs := s.run("", strings.Fields(c.args)...)
			g.Expect(code).To(Equal(c.code), errs)
			g.Expect(out).To(ContainSubstring(c.out))
			g.Expect(errs).To(ContainSubstring(c.err))
		})
	}
}

// Guards against a table of result codes in the documentation that differs from the code. -update rewrites it.
func TestCodesDocument(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	printCodes(&b)
	if *update {
		g.Expect(os.WriteFile("../docs/codes.md", b.Bytes(), 0o644)).To(Succeed())
	}
	have, err := os.ReadFile("../docs/codes.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(have)).To(Equal(b.String()))
}

// Guards against examples in the documentation that an instance would refuse.
func TestDocumentedExamples(t *testing.T) {
	g := NewWithT(t)
	s := &shell{t: t, dir: t.TempDir()}
	text, err := os.ReadFile("../docs/templates.md")
	g.Expect(err).NotTo(HaveOccurred())
	args := []string{"validate"}
	for i, block := range strings.Split(string(text), "```json\n")[1:] {
		doc, _, _ := strings.Cut(block, "```")
		args = append(args, s.file(fmt.Sprintf("%d.json", i), doc))
	}
	g.Expect(args).To(HaveLen(3))
	code, _, errs := s.run("", args...)
	g.Expect(code).To(Equal(exitOK), errs)
}
