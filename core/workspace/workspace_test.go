package workspace_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/workspace"
	"monsoondale/wire/config"
)

const deskTemplate = `{
  // A desk that drafts texts and engraves plates.
  "template": "desk",
  "params": [
    {"name": "weight", "type": "int", "default": 10, "min": 1, "max": 100},
    {"name": "limit", "type": "duration", "default": "20s", "min": "1s", "max": "1m"},
    {"name": "town", "type": "string", "default": "north", "max": 10},
    {"name": "rush", "type": "bool", "default": false},
  ],
  "share": "${weight}",
  "kinds": [
    {"name": "draft", "tier": 1, "pool": "drafting-${town}", "deadline": "${limit}", "tokens": 400},
    {"name": "engrave", "tier": 0, "pool": "orders", "service": "orders", "once": true, "method": "POST", "path": "/engrave", "deadline": "5s"},
    {"name": "status", "tier": 2, "pool": "orders", "service": "orders", "method": "GET"},
  ],
}`

func hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func newTemplate(version int, text string) workspace.Object {
	return workspace.Object{Kind: workspace.ObjectTemplate, Name: "desk", Version: core.Revision(version), Value: text}
}

func newWorkspace(version int, name, params string, keys ...string) workspace.Object {
	quoted := make([]string, len(keys))
	for i, k := range keys {
		quoted[i] = `"` + hash(k) + `"`
	}
	return workspace.Object{
		Kind: workspace.ObjectWorkspace, Name: name, Version: core.Revision(version),
		Value: fmt.Sprintf("{\"workspace\": %q, \"template\": \"desk\",\n\"params\": {%s},\n\"keys\": [%s]}", name, params, strings.Join(quoted, ",")),
	}
}

func compile(objects ...workspace.Object) (*workspace.Compiler, *workspace.Plan) {
	c := workspace.NewCompiler()
	c.Apply(objects...)
	return c, c.Plan()
}

func findByKey(p *workspace.Plan, key string) *workspace.Workspace {
	w, _ := p.FindByKey(sha256.Sum256([]byte(key)))
	return w
}

func TestPlanResolvesRequests(t *testing.T) {
	g := NewWithT(t)
	_, p := compile(newTemplate(1, deskTemplate), newWorkspace(2, "helsinki", `"weight": 20, "limit": "30s", "town": "south"`, "k1"))
	g.Expect(p.Problems()).To(BeEmpty())
	g.Expect(p.Revision()).To(Equal(core.Revision(2)))
	w := findByKey(p, "k1")
	g.Expect(w.ID).To(Equal(core.WorkspaceID("helsinki")))
	g.Expect(w.Weight).To(Equal(core.Weight(20)))
	k, ok := w.KindForModel("draft")
	g.Expect(ok).To(BeTrue())
	g.Expect(k).To(Equal(workspace.Kind{ID: "draft", Tier: 1, Pool: "drafting-south", Deadline: 30 * time.Second, EstimatedTokens: 400}))
	_, ok = w.KindForModel("engrave")
	g.Expect(ok).To(BeFalse(), "a service kind is no model")
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/engrave", "engrave"},
		{"POST", "/engrave/7", "engrave"},
		{"POST", "/engraver", ""},
		{"GET", "/engrave", "status"},
		{"GET", "", "status"},
		{"DELETE", "/engrave", ""},
	} {
		k, ok := w.KindForService("orders", c.method, c.path)
		g.Expect(string(k.ID)).To(Equal(c.want), "%s %s", c.method, c.path)
		g.Expect(ok).To(Equal(c.want != ""))
	}
	g.Expect(findByKey(p, "other")).To(BeNil())
}

// Guards against errors that do not tell the operator which field is wrong and what to change.
func TestTemplateRules(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"name", `"template": "desk"`, `"template": "Desk"`, `template/desk:3: template: "Desk" is not a valid name; use 1 to 63 lower-case letters`},
		{"other name", `"template": "desk"`, `"template": "table"`, `is named "table" but is stored as "desk"`},
		{"type", `"type": "int"`, `"type": "integer"`, `params[0].type: "integer" is not a parameter type; use int, number, string, duration, bool or enum`},
		{"default", `"default": 10`, `"default": 0`, `template/desk:5: params[0].default: 0 is out of range; use a value of 1 to 100`},
		{"default type", `"default": 10`, `"default": "10"`, `params[0].default: "10" is not a whole number; use a number such as 10, without quotes`},
		{"bounds", `"max": 100`, `"max": 0`, `params[0].max: the maximum 0 is below the minimum 1`},
		{"bound type", `"max": "1m"`, `"max": 60`, `params[1].max: 60 is not a duration; use a string such as "20s" or "1m30s"`},
		{"bool bounds", `"default": false`, `"default": false, "max": 1`, `params[3].max: a parameter of type bool has no bounds; remove min and max`},
		{"enum values", `"type": "bool", "default": false`, `"type": "enum"`, `params[3].values: an enum needs values`},
		{"twice", `"name": "limit"`, `"name": "weight"`, `params[1].name: parameter "weight" is defined twice`},
		{"reference", `"share": "${weight}"`, `"share": "${wieght}"`, `share: there is no parameter "wieght"; define it in params, or use weight, limit, town, rush`},
		{"unclosed", `drafting-${town}`, `drafting-${town`, `kinds[0].pool: a reference is not closed; write it as ${name}`},
		{"mixed", `"share": "${weight}"`, `"share": "1${weight}"`, `share: "1${weight}" mixes a reference with text in a field of type int; use a single reference`},
		{"reference type", `"tokens": 400`, `"tokens": "${rush}"`, `kinds[0].tokens: parameter "rush" is of type bool; use a parameter of type int`},
		{"tier", `"tier": 1`, `"tier": 4`, `template/desk:12: kinds[0].tier: 4 is not valid; use a whole number of 0 to 3`},
		{"tier missing", `"tier": 1, `, ``, `kinds[0].tier: the field is missing; use a whole number of 0 to 3`},
		{"tier by parameter", `"tier": 1`, `"tier": "${weight}"`, `kinds[0].tier: 10 is not valid`},
		{"bound by parameter", `"default": 10, "min": 1, "max": 100`, `"default": 10, "min": 1, "max": 20000`, `share: the share is 20000 if weight is 20000; use a whole number of 1 to 10000`},
		{"pool", `"pool": "orders", "service": "orders", "once"`, `"pool": "", "service": "orders", "once"`, `kinds[1].pool: the field is missing or empty`},
		{"deadline", `"deadline": "5s"`, `"deadline": "5"`, `kinds[1].deadline: "5" is not a duration`},
		{"long deadline", `"deadline": "5s"`, `"deadline": "25h"`, `kinds[1].deadline: 25h0m0s is out of range; use 0s (none) to 24h0m0s`},
		{"path", `"path": "/engrave"`, `"path": "engrave"`, `kinds[1].path: "engrave" is not valid; use a path such as /orders/new`},
		{"method", `"method": "POST"`, `"method": "post"`, `kinds[1].method: "post" is not valid; use GET, HEAD, POST`},
		{"once", `"once": true`, `"once": "yes"`, `kinds[1].once: "yes" is neither true nor false`},
		{"path without service", `"tokens": 400`, `"path": "/x"`, `kinds[0].path: only a kind with a service has a path; remove it or add service`},
		{"same name", `"name": "status"`, `"name": "draft"`, `kinds[2].name: kinds[0] is also named "draft"; rename one of them`},
		{"shadowed", `"service": "orders", "once": true, "method": "POST", "path": "/engrave"`, `"service": "orders"`, `kinds[2].path: kinds[1] matches every request of this kind first; place it before kinds[1]`},
		{"unknown field", `"tokens": 400`, `"token": 400`, `template/desk:12: kinds[0].token: unknown field; remove it or use one of adapter, deadline`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(deskTemplate, c.old, c.new, 1)
			g.Expect(text).NotTo(Equal(deskTemplate))
			_, err := workspace.NewCompiler().Check(newTemplate(0, text))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(err.(*core.Error).Code).To(Equal(core.CodeBadTemplate))
		})
	}
}

func TestWorkspaceRules(t *testing.T) {
	c, _ := compile(newTemplate(1, deskTemplate), newWorkspace(2, "helsinki", "", "k1"))
	for _, x := range []struct {
		name string
		o    workspace.Object
		want string
	}{
		{"unknown parameter", newWorkspace(0, "turku", `"wieght": 2`), `workspace/turku:2: params.wieght: template "desk" has no such parameter; remove it or use weight, limit, town, rush`},
		{"range", newWorkspace(0, "turku", `"weight": 101`), `workspace/turku:2: params.weight: 101 is out of range; use a value of 1 to 100`},
		{"type", newWorkspace(0, "turku", `"rush": "yes"`), `params.rush: "yes" is neither true nor false`},
		{"string length", newWorkspace(0, "turku", `"town": "a-long-name"`), `params.town: "a-long-name" has 11 bytes; use a string of at most 10 bytes`},
		{"field of a kind", newWorkspace(0, "turku", `"town": "a/b"`), `workspace/turku:2: params.town: in kinds[0].pool of template "desk", "drafting-a/b" is not valid; use 1 to 64 letters`},
		{"null", newWorkspace(0, "turku", `"town": null`), `params.town: the value is neither a number, a string, true nor false`},
		{"foreign key", newWorkspace(0, "turku", "", "k2", "k1"), `workspace/turku:3: keys[1]: the key belongs to workspace "helsinki"; use another key`},
		{"repeated key", newWorkspace(0, "turku", "", "k2", "k2"), `keys[1]: the key is listed twice`},
		{"no template", workspace.Object{Kind: "workspace", Name: "turku", Value: "{\n\"workspace\": \"turku\",\n\"template\": \"none\"}"}, `workspace/turku:3: template: there is no template "none"; create it first or correct the name`},
		{"key in clear", workspace.Object{Kind: "workspace", Name: "turku", Value: `{"workspace": "turku", "template": "desk", "keys": ["secret"]}`}, `keys[0]: not a SHA-256 hash in hexadecimal; use the 64 digits`},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := c.Check(x.o)
			g.Expect(err).To(MatchError(ContainSubstring(x.want)))
			g.Expect(err.Error()).NotTo(ContainSubstring("secret"), "a key must not be repeated in an error")
		})
	}
}

// Guards against accepting a template change that makes a workspace invalid.
func TestTemplateChangeIsCheckedAgainstItsWorkspaces(t *testing.T) {
	g := NewWithT(t)
	c, _ := compile(newTemplate(1, deskTemplate), newWorkspace(2, "helsinki", `"weight": 20`), newWorkspace(3, "turku", ""))
	affected, err := c.Check(newTemplate(0, strings.Replace(deskTemplate, `"max": 100`, `"max": 15`, 1)))
	g.Expect(affected).To(Equal(2))
	g.Expect(err).To(MatchError(ContainSubstring("workspace/helsinki: params.weight: 20 is out of range; use a value of 1 to 15")))
	_, err = c.Check(workspace.Object{Kind: workspace.ObjectTemplate, Name: "desk", Deleted: true})
	g.Expect(err).To(MatchError(ContainSubstring("the template is used by 2 workspaces: helsinki, turku; delete these")))
	g.Expect(c.Check(newTemplate(0, strings.Replace(deskTemplate, `"max": 100`, `"max": 50`, 1)))).To(Equal(2))
}

// Guards against an invalid object that affects others, or that replaces the version in force.
func TestInvalidObjectsKeepTheirLastValidForm(t *testing.T) {
	g := NewWithT(t)
	c, _ := compile(newTemplate(1, deskTemplate), newWorkspace(2, "helsinki", `"weight": 20`, "k1"), newWorkspace(3, "turku", "", "k2"))
	c.Apply(newTemplate(4, strings.Replace(deskTemplate, `"default": 10, "min": 1, "max": 100`, `"default": 5, "min": 1, "max": 15`, 1)), newWorkspace(5, "oulu", `"weight": "x"`, "k3"))
	p := c.Plan()
	g.Expect(findByKey(p, "k1").Weight).To(Equal(core.Weight(20)), "the last valid form")
	g.Expect(findByKey(p, "k2").Weight).To(Equal(core.Weight(5)), "the new form")
	g.Expect(findByKey(p, "k3")).To(BeNil())
	g.Expect(p.Problems()).To(HaveLen(2))
	g.Expect(p.Problems()[0].Stale).To(BeTrue())
	g.Expect(p.Problems()[1].Stale).To(BeFalse())

	c.Apply(newTemplate(6, "{"), newWorkspace(7, "helsinki", `"weight": 3`, "k1"), workspace.Object{Kind: "workspace", Name: "turku", Version: 8, Value: "{"})
	c.Apply(newTemplate(9, deskTemplate))
	p = c.Plan()
	g.Expect(findByKey(p, "k1").Weight).To(Equal(core.Weight(3)))
	g.Expect(findByKey(p, "k2").Weight).To(Equal(core.Weight(5)))
	g.Expect(p.Problems()).To(HaveLen(2), "turku does not parse, oulu does not compile: %v", p.Problems())

	c.Apply(workspace.Object{Kind: "template", Name: "desk", Version: 10, Deleted: true})
	g.Expect(findByKey(c.Plan(), "k1").Weight).To(Equal(core.Weight(3)))
	g.Expect(c.Plan().Problems()).To(HaveLen(3))
	c.Apply(newWorkspace(11, "turku", "", "k2"), newWorkspace(12, "oulu", "", "k3"), newTemplate(13, deskTemplate))
	g.Expect(c.Plan().Problems()).To(BeEmpty())
}

// Guards against a configuration that reverts to an older version after a late or repeated delivery.
func TestVersionsNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	a := []workspace.Object{
		newTemplate(1, deskTemplate), newWorkspace(2, "helsinki", `"weight": 20`, "k1"), newWorkspace(3, "helsinki", `"weight": 30`, "k1"),
		newWorkspace(4, "turku", "", "k2"),
		{Kind: "workspace", Name: "turku", Version: 5, Deleted: true},
	}
	c, want := compile(a...)
	g.Expect(want.Workspaces()).To(HaveLen(1))
	g.Expect(c.Apply(a...)).To(BeZero())
	reversed := workspace.NewCompiler()
	for i := len(a) - 1; i >= 0; i-- {
		reversed.Apply(a[i])
		reversed.Plan()
	}
	got := reversed.Plan()
	g.Expect(got.Digest()).To(Equal(want.Digest()))
	g.Expect(got.Revision()).To(Equal(core.Revision(5)))
	g.Expect(got.Workspaces()).To(Equal(want.Workspaces()))
	g.Expect(findByKey(got, "k1").Weight).To(Equal(core.Weight(30)))
	g.Expect(findByKey(got, "k2")).To(BeNil())
}

// Guards against instances that disagree about the owner of a key after two concurrent changes assigned it to two
// workspaces.
func TestContestedKeyDoesNotDependOnOrder(t *testing.T) {
	g := NewWithT(t)
	first, second := newWorkspace(3, "helsinki", "", "k1"), newWorkspace(2, "turku", "", "k1")
	for _, order := range [][]workspace.Object{{first, second}, {second, first}} {
		c, p := compile(append([]workspace.Object{newTemplate(1, deskTemplate)}, order...)...)
		g.Expect(findByKey(p, "k1").ID).To(Equal(core.WorkspaceID("helsinki")))
		g.Expect(p.Problems()).To(HaveLen(1))
		g.Expect(p.Problems()[0].Detail).To(ContainSubstring(`belongs to workspace "helsinki"`))
		c.Apply(workspace.Object{Kind: "workspace", Name: "helsinki", Version: 4, Deleted: true})
		g.Expect(findByKey(c.Plan(), "k1").ID).To(Equal(core.WorkspaceID("turku")))
		g.Expect(c.Plan().Problems()).To(BeEmpty())
		g.Expect(findByKey(p, "k1").ID).To(Equal(core.WorkspaceID("helsinki")), "an issued plan does not change")
	}
}

// Guards against a change that modifies a Plan which the request path already reads.
func TestIssuedPlanIsImmutable(t *testing.T) {
	g := NewWithT(t)
	c, p := compile(newTemplate(1, deskTemplate), newWorkspace(2, "helsinki", "", "k1"), newWorkspace(3, "turku", "", "k2"))
	before := slices.Clone(p.Workspaces())
	c.Apply(newWorkspace(4, "helsinki", `"weight": 99`, "k3"), newWorkspace(5, "lahti", "", "k1"))
	c.Apply(workspace.Object{Kind: "workspace", Name: "turku", Version: 6, Deleted: true})
	g.Expect(p.Workspaces()).To(Equal(before))
	g.Expect(findByKey(p, "k1").Weight).To(Equal(core.Weight(10)))
	g.Expect(findByKey(p, "k3")).To(BeNil())
	g.Expect(findByKey(c.Plan(), "k1").ID).To(Equal(core.WorkspaceID("lahti")))
	g.Expect(c.Plan().Workspaces()).To(HaveLen(2))
}

// Guards against a Plan compiled incrementally, with objects in any order, that differs from one compiled at once.
func TestIncrementalPlanEqualsFullPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names, keys := []string{"a", "b", "c", "d"}, []string{"k1", "k2", "k3"}
		objects := []workspace.Object{newTemplate(1, deskTemplate)}
		for v := range rapid.IntRange(1, 30).Draw(t, "changes") {
			o := newWorkspace(v+2, rapid.SampledFrom(names).Draw(t, "name"),
				fmt.Sprintf(`"weight": %d, "town": "t%d"`, rapid.IntRange(1, 3).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "town")),
				rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 2, rapid.ID).Draw(t, "keys")...)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				o.Deleted = true
			case 1:
				o = newTemplate(v+2, strings.Replace(deskTemplate, `"tokens": 400`, fmt.Sprintf(`"tokens": %d`, v), 1))
			}
			objects = append(objects, o)
		}
		_, want := compile(objects...)
		c := workspace.NewCompiler()
		for _, o := range rapid.Permutation(objects).Draw(t, "order") {
			c.Apply(o)
			if rapid.Bool().Draw(t, "plan") {
				c.Plan()
			}
		}
		got := c.Plan()
		g := NewWithT(t)
		g.Expect(got.Workspaces()).To(Equal(want.Workspaces()))
		g.Expect(got.Problems()).To(Equal(want.Problems()))
		g.Expect(got.Digest()).To(Equal(want.Digest()))
		for _, k := range keys {
			g.Expect(findByKey(got, k)).To(Equal(findByKey(want, k)), k)
		}
	})
}

// Guards against a memory leak: kind sets of parameter values that no workspace has any more must be removed.
func TestChangesDoNotAccumulate(t *testing.T) {
	const changes = 5_000
	c, _ := compile(newTemplate(1, deskTemplate))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range changes {
		c.Apply(newWorkspace(i+2, "helsinki", fmt.Sprintf(`"town": "t%d"`, i), "k1"))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	NewWithT(t).Expect(int(after.HeapAlloc) - int(before.HeapAlloc)).To(BeNumerically("<", changes*100))
	runtime.KeepAlive(c)
}

// generateObjects returns a template and n workspaces; every eighth has kinds of its own.
func generateObjects(n int) []workspace.Object {
	objects := []workspace.Object{newTemplate(1, deskTemplate)}
	for i := range n {
		params := fmt.Sprintf(`"weight": %d`, 1+i%100)
		if i%8 == 0 {
			params += fmt.Sprintf(`, "town": "t%d"`, i)
		}
		name := fmt.Sprintf("workspace-%05d", i)
		objects = append(objects, newWorkspace(i+2, name, params, name))
	}
	return objects
}

// Guards against an idle workspace that takes more than the target of 1 KB of memory, its stored text included.
func TestIdleWorkspaceSize(t *testing.T) {
	const n = 48_000
	objects := generateObjects(n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	c, p := compile(objects...)
	took := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	text := 0
	for _, o := range objects {
		text += len(o.Value) + len(o.Name)
	}
	size := (int(after.HeapAlloc) - int(before.HeapAlloc)) / n
	t.Logf("%d workspaces compiled in %v: %d bytes each, and %d bytes of text", n, took, size, text/n)
	g := NewWithT(t)
	g.Expect(size + text/n).To(BeNumerically("<=", 1024))
	runtime.KeepAlive(c)
	runtime.KeepAlive(p)
	runtime.KeepAlive(objects)
}

func BenchmarkCompile48000(b *testing.B) {
	objects := generateObjects(48_000)
	for b.Loop() {
		compile(objects...)
	}
}

func BenchmarkChangeOneOf48000(b *testing.B) {
	c, _ := compile(generateObjects(48_000)...)
	v := 100_000
	for b.Loop() {
		v++
		c.Apply(newWorkspace(v, "workspace-00123", fmt.Sprintf(`"weight": %d`, 1+v%100), "workspace-00123"))
		c.Plan()
	}
}

func BenchmarkChangeTemplateOf48000(b *testing.B) {
	c, _ := compile(generateObjects(48_000)...)
	v := 100_000
	for b.Loop() {
		v++
		c.Apply(newTemplate(v, strings.Replace(deskTemplate, `"tokens": 400`, fmt.Sprintf(`"tokens": %d`, v%1000), 1)))
		c.Plan()
	}
}

func BenchmarkFind(b *testing.B) {
	_, p := compile(generateObjects(48_000)...)
	h := sha256.Sum256([]byte("workspace-00123"))
	for b.Loop() {
		p.FindByKey(h)
	}
}

// Guards against instances that keep the earlier changes of every object in memory, and against losing the text or
// author together with them.
func TestWithoutHistory(t *testing.T) {
	g := NewWithT(t)
	value, err := workspace.EncodeStored(config.Stored{
		Author: "aino", Change: "c2", Text: `{"workspace": "w"}`, Time: 2, Past: []config.Past{{Change: "c1", Author: "veera", Version: 1}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	short := workspace.WithoutHistory(value)
	s, ok := workspace.DecodeStored(short)
	g.Expect(ok).To(BeTrue())
	g.Expect(s).To(Equal(config.Stored{Author: "aino", Change: "c2", Text: `{"workspace": "w"}`, Time: 2}))
	g.Expect(workspace.DecodeObject("workspace", "w", 3, short, false)).To(Equal(workspace.DecodeObject("workspace", "w", 3, value, false)))
	g.Expect(workspace.WithoutHistory(`{"workspace": "w"}`)).To(Equal(`{"workspace": "w"}`))
}
