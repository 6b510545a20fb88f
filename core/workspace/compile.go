package workspace

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"monsoondale/common/jsonc"
	"monsoondale/core"
	"monsoondale/internal/testhook"
	"monsoondale/wire/config"
)

// The kinds of configuration objects in the object API.
const (
	ObjectTemplate  = "template"
	ObjectWorkspace = "workspace"
)

// MaxKeys bounds the API keys of one workspace.
const MaxKeys = 64

// maxReported bounds how many workspaces a refused template change names.
const maxReported = 10

// Object is a template or workspace as stored: its text with comments, and its version. A deleted object is a
// tombstone. File names the text in errors; empty means kind/name.
type Object struct {
	Kind    string
	Name    string
	File    string
	Version core.Revision
	Value   string
	Deleted bool
}

func (o Object) file() string { return cmp.Or(o.File, o.Kind+"/"+o.Name) }

func (o Object) ref() objectRef { return objectRef{o.Kind, o.Name} }

type objectRef struct{ kind, name string }

func (r objectRef) compare(o objectRef) int {
	return cmp.Or(cmp.Compare(r.kind, o.kind), cmp.Compare(r.name, o.name))
}

// Compiler turns configuration objects into Plans. It keeps the compiled state between changes, so that a change of
// one workspace compiles only that workspace, and a change of a template compiles its workspaces. It is safe for
// concurrent use: the control loop applies changes while operator requests check theirs.
type Compiler struct {
	mu         sync.RWMutex
	revision   core.Revision
	digest     uint64
	templates  map[string]*templateState // also names that are only referred to
	workspaces map[string]*workspaceState
	tombstones map[objectRef]core.Revision
	failures   map[objectRef]Problem

	sorted           []*Workspace // nil if it has to be rebuilt
	changesSincePlan int          // to sorted since the last Plan, which shares it
	keys             keyIndex
	sharedBuckets    [keyBuckets]bool     // the bucket belongs to an issued Plan and is copied before a change
	contestedKeys    map[KeyHash][]string // names of the workspaces that claim the same key, sorted; the first one holds it
}

// templateState is a template name with the workspaces that use it. Current is the last good form, nil if none.
type templateState struct {
	name     string
	version  core.Revision // 0 while the object does not exist
	current  *template
	users    map[*workspaceState]struct{}
	kindSets map[string]*kindSet
}

// kindSet holds the kinds that all workspaces with equal values of the kinds' parameters share.
type kindSet struct {
	kinds []Kind
	refs  int
	owner *templateState
	key   string
}

// workspaceState is the parsed form of one workspace. Current is the last good form, nil if none.
type workspaceState struct {
	name     string
	version  core.Revision
	template *templateState
	params   []paramValue
	keys     []KeyHash
	kindSet  *kindSet
	current  *Workspace
	invalid  bool // the last version could not be parsed; the fields are those of an earlier one
}

// paramValue is a parameter value of a workspace as decoded from JSON. Names are shared between workspaces.
type paramValue struct {
	name  unique.Handle[string]
	value any
}

// NewCompiler returns a Compiler without objects.
func NewCompiler() *Compiler {
	return &Compiler{
		templates:     map[string]*templateState{},
		workspaces:    map[string]*workspaceState{},
		tombstones:    map[objectRef]core.Revision{},
		failures:      map[objectRef]Problem{},
		contestedKeys: map[KeyHash][]string{},
	}
}

// Apply takes over the objects whose version is higher than the one it has, in any order, and returns their number.
// An object that fails to compile keeps its last good form and is listed in the Plan's Problems.
func (c *Compiler) Apply(objects ...Object) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	dirty := map[*workspaceState]struct{}{}
	applied := 0
	for _, o := range objects {
		ref := o.ref()
		known := c.version(ref)
		if o.Version <= known && !testhook.AcceptOlderVersions.Load() || o.Kind != ObjectTemplate && o.Kind != ObjectWorkspace {
			continue
		}
		applied++
		c.revision = max(c.revision, o.Version)
		if known > 0 {
			c.digest ^= versionHash(ref, known)
		}
		c.digest ^= versionHash(ref, o.Version)
		delete(c.failures, ref)
		delete(c.tombstones, ref)
		if o.Deleted {
			c.tombstones[ref] = o.Version
		}
		if o.Kind == ObjectTemplate {
			maps.Copy(dirty, c.applyTemplate(o))
			continue
		}
		delete(dirty, c.workspaces[o.Name])
		if e := c.applyWorkspace(o); e != nil {
			dirty[e] = struct{}{}
		}
	}
	for e := range dirty {
		c.compile(e)
	}
	return applied
}

// Version returns the version of an object that was applied last, tombstones included, or 0.
func (c *Compiler) Version(kind, name string) core.Revision {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version(objectRef{kind, name})
}

func (c *Compiler) version(ref objectRef) core.Revision {
	if v, ok := c.tombstones[ref]; ok {
		return v
	}
	if ref.kind == ObjectTemplate {
		if t, ok := c.templates[ref.name]; ok {
			return t.version
		}
	} else if e, ok := c.workspaces[ref.name]; ok {
		return e.version
	}
	return 0
}

func versionHash(ref objectRef, v core.Revision) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", ref.kind, ref.name, v))
}

// Plan returns the Plan of the applied objects. Unchanged parts are shared with earlier Plans.
func (c *Compiler) Plan() *Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sorted == nil {
		c.sorted = make([]*Workspace, 0, len(c.workspaces))
		for _, e := range c.workspaces {
			if e.current != nil {
				c.sorted = append(c.sorted, e.current)
			}
		}
		slices.SortFunc(c.sorted, compareWorkspaces)
	}
	for i := range c.sharedBuckets {
		c.sharedBuckets[i] = true
	}
	c.changesSincePlan = 0
	return &Plan{revision: c.revision, digest: c.digest, workspaces: c.sorted, keys: c.keys, problems: c.problems()}
}

func compareWorkspaces(a, b *Workspace) int { return cmp.Compare(a.ID, b.ID) }

func (c *Compiler) problems() []Problem {
	out := lo.Values(c.failures)
	for key, names := range c.contestedKeys {
		for _, n := range names[1:] {
			out = append(out, Problem{
				Kind: ObjectWorkspace, Name: n, Version: c.workspaces[n].version,
				Detail: fmt.Sprintf("keys: the key %s… belongs to workspace %q; use another key", hex.EncodeToString(key[:4]), names[0]),
			})
		}
	}
	slices.SortFunc(out, func(a, b Problem) int {
		return cmp.Or(objectRef{a.Kind, a.Name}.compare(objectRef{b.Kind, b.Name}), cmp.Compare(a.Detail, b.Detail))
	})
	return out
}

// getOrAddTemplate returns the getOrAddTemplate of a template name, which need not exist yet.
func (c *Compiler) getOrAddTemplate(name string) *templateState {
	t, ok := c.templates[name]
	if !ok {
		t = &templateState{name: name, users: map[*workspaceState]struct{}{}, kindSets: map[string]*kindSet{}}
		c.templates[name] = t
	}
	return t
}

// applyTemplate returns the workspaces to compile.
func (c *Compiler) applyTemplate(o Object) map[*workspaceState]struct{} {
	st := c.getOrAddTemplate(o.Name)
	st.version = o.Version
	if o.Deleted {
		st.version, st.current = 0, nil
		c.removeIfUnused(st)
		return st.users
	}
	t, faults := parseTemplate(o.file(), o.Name, o.Value)
	if faults != nil {
		c.recordFailure(o.ref(), o.Version, st.current != nil, faults)
		return nil
	}
	st.current = t
	st.kindSets = map[string]*kindSet{}
	return st.users
}

// removeIfUnused forgets a template name that neither exists nor is referred to.
func (c *Compiler) removeIfUnused(st *templateState) {
	if st.version == 0 && len(st.users) == 0 {
		delete(c.templates, st.name)
	}
}

// applyWorkspace returns the workspace if it has to be compiled.
func (c *Compiler) applyWorkspace(o Object) *workspaceState {
	e := c.workspaces[o.Name]
	if o.Deleted {
		if e != nil {
			c.setCurrent(e, nil)
			c.setKindSet(e, nil)
			c.setTemplate(e, nil)
			delete(c.workspaces, o.Name)
		}
		return nil
	}
	if e == nil {
		e = &workspaceState{name: strings.Clone(o.Name)}
		c.workspaces[e.name] = e
	}
	e.version, e.invalid = o.Version, false
	parsed, faults := parseWorkspace(o.file(), o.Name, o.Value)
	if faults != nil {
		e.invalid = true
		c.recordFailure(o.ref(), o.Version, e.current != nil, faults)
		return nil
	}
	c.setTemplate(e, c.getOrAddTemplate(parsed.template))
	e.params, e.keys = parsed.params, parsed.keys
	return e
}

func (c *Compiler) setTemplate(e *workspaceState, st *templateState) {
	if e.template != nil && e.template != st {
		delete(e.template.users, e)
		c.removeIfUnused(e.template)
	}
	e.template = st
	if st != nil {
		st.users[e] = struct{}{}
	}
}

func (c *Compiler) recordFailure(ref objectRef, v core.Revision, stale bool, faults jsonc.ErrorList) {
	c.failures[ref] = Problem{Kind: ref.kind, Name: ref.name, Version: v, Stale: stale, Detail: faults.Error()}
}

// compile brings a workspace up to date with its template.
func (c *Compiler) compile(e *workspaceState) {
	if e.invalid {
		return
	}
	ref := objectRef{ObjectWorkspace, e.name}
	delete(c.failures, ref)
	t := e.template.current
	if t == nil {
		c.recordFailure(ref, e.version, e.current != nil, jsonc.ErrorList{missingTemplate(ref.kind+"/"+ref.name, e.template.name)})
		return
	}
	r := &reporter{doc: &jsonc.Document{File: ref.kind + "/" + ref.name}}
	values := t.resolveParams(r, e.params)
	if len(r.faults) > 0 {
		c.recordFailure(ref, e.version, e.current != nil, r.faults)
		return
	}
	weight := t.weight(values, t.paramReporter(r))
	key := t.kindSetKey(values)
	sh, ok := e.template.kindSets[key]
	if !ok {
		sh = &kindSet{kinds: t.compileKinds(values, t.paramReporter(r)), owner: e.template, key: key}
	}
	if len(r.faults) > 0 {
		c.recordFailure(ref, e.version, e.current != nil, r.faults)
		return
	}
	c.setKindSet(e, sh)
	c.setCurrent(e, &Workspace{ID: core.WorkspaceID(e.name), Template: t.id, Weight: weight, Kinds: sh.kinds, keys: e.keys})
}

// setKindSet moves an entry to another shape. A shape without users is forgotten.
func (c *Compiler) setKindSet(e *workspaceState, sh *kindSet) {
	if e.kindSet == sh {
		return
	}
	if sh != nil {
		if sh.refs == 0 {
			sh.owner.kindSets[sh.key] = sh
		}
		sh.refs++
	}
	if old := e.kindSet; old != nil {
		if old.refs--; old.refs == 0 && old.owner.kindSets[old.key] == old {
			delete(old.owner.kindSets, old.key)
		}
	}
	e.kindSet = sh
}

// setCurrent puts a new form of a workspace in force, or removes it if w is nil.
func (c *Compiler) setCurrent(e *workspaceState, w *Workspace) {
	old := e.current
	e.current = w
	if old != nil {
		for _, k := range old.keys {
			if w == nil || !slices.Contains(w.keys, k) {
				c.releaseKey(k, e)
			}
		}
	}
	if w != nil {
		for _, k := range w.keys {
			c.claimKey(k, e)
		}
	}
	c.updateSorted(e)
}

// maxSortedUpdates is the number of changes between two Plans above which sorting again is cheaper than placing each one.
const maxSortedUpdates = 64

// updateSorted keeps the sorted slice up to date. The slice belongs to the last Plan until the first change after it.
func (c *Compiler) updateSorted(e *workspaceState) {
	c.changesSincePlan++
	if c.sorted == nil || c.changesSincePlan > maxSortedUpdates {
		c.sorted = nil
		return
	}
	if c.changesSincePlan == 1 {
		c.sorted = slices.Clone(c.sorted)
	}
	at, found := slices.BinarySearchFunc(c.sorted, core.WorkspaceID(e.name), func(w *Workspace, id core.WorkspaceID) int { return cmp.Compare(w.ID, id) })
	switch {
	case e.current == nil && found:
		c.sorted = slices.Delete(c.sorted, at, at+1)
	case e.current != nil && found:
		c.sorted[at] = e.current
	case e.current != nil:
		c.sorted = slices.Insert(c.sorted, at, e.current)
	}
}

// claimKey gives a key to a workspace. Operators' changes that give one key to two workspaces are refused, but two
// concurrent ones can both be accepted. Then the first workspace by name holds the key, which does not depend on the
// order in which an instance receives the objects.
func (c *Compiler) claimKey(k KeyHash, e *workspaceState) {
	holder := c.keys[k[0]][k]
	if holder != nil && holder.ID != core.WorkspaceID(e.name) {
		names := c.contestedKeys[k]
		if names == nil {
			names = []string{string(holder.ID)}
		}
		if !slices.Contains(names, e.name) {
			names = append(slices.Clone(names), e.name)
			slices.Sort(names)
		}
		c.contestedKeys[k] = names
		if names[0] != e.name {
			return
		}
	}
	c.writableBucket(k)[k] = e.current
}

func (c *Compiler) releaseKey(k KeyHash, e *workspaceState) {
	names := c.contestedKeys[k]
	if names == nil {
		delete(c.writableBucket(k), k)
		return
	}
	names = lo.Without(names, e.name)
	c.contestedKeys[k] = names
	c.writableBucket(k)[k] = c.workspaces[names[0]].current
	if len(names) == 1 {
		delete(c.contestedKeys, k)
	}
}

// writableBucket returns the writableBucket of a key for writing.
func (c *Compiler) writableBucket(k KeyHash) map[KeyHash]*Workspace {
	i := k[0]
	if c.keys[i] == nil {
		c.keys[i] = map[KeyHash]*Workspace{}
	} else if c.sharedBuckets[i] {
		c.keys[i] = maps.Clone(c.keys[i])
	}
	c.sharedBuckets[i] = false
	return c.keys[i]
}

// resolveParams returns the parameter resolveParams of a workspace, defaults included.
func (t *template) resolveParams(r *reporter, params []paramValue) []any {
	values := make([]any, len(t.params))
	for _, s := range params {
		name := s.name.Value()
		i, ok := t.paramIndex[name]
		if !ok {
			r.report("params."+name, fmt.Sprintf("template %q has no such parameter", t.id), "remove it or use "+t.paramNames())
			continue
		}
		v, problem, remedy := t.params[i].convert(s.value)
		if problem != "" {
			r.report("params."+name, problem, remedy)
			continue
		}
		values[i] = v
	}
	for i, p := range t.params {
		if values[i] == nil {
			values[i] = p.defaultValue
		}
		if values[i] == nil && !slices.ContainsFunc(params, func(s paramValue) bool { return s.name.Value() == p.name }) {
			r.report("params."+p.name, fmt.Sprintf("template %q needs this parameter", t.id), fmt.Sprintf("add a value of type %s", p.typ))
		}
	}
	return values
}

// paramReporter returns a complaint that attributes a fault in a substituted field to the workspace's parameters.
func (t *template) paramReporter(r *reporter) reportFunc {
	return func(field string, params []int, problem, remedy string) {
		at := "params"
		if len(params) > 0 {
			at += "." + t.params[params[0]].name
		}
		r.report(at, fmt.Sprintf("in %s of template %q, %s", field, t.id, problem), remedy)
	}
}

// kindSetKey identifies the values of the parameters that the kinds depend on.
func (t *template) kindSetKey(values []any) string {
	if len(t.kindParams) == 0 {
		return ""
	}
	var b strings.Builder
	for _, i := range t.kindParams {
		s := formatValue(values[i])
		fmt.Fprintf(&b, "%d:%s", len(s), s)
	}
	return b.String()
}

func missingTemplate(file, name string) jsonc.Error {
	return jsonc.Error{File: file, Field: "template", Problem: fmt.Sprintf("there is no template %q", name), Remedy: "create it first or correct the name"}
}

// parsedWorkspace is a workspace document that was checked by itself, without its template.
type parsedWorkspace struct {
	template string
	params   []paramValue
	keys     []KeyHash
	doc      *jsonc.Document
}

func parseWorkspace(file, name, text string) (parsedWorkspace, jsonc.ErrorList) {
	spec, doc, err := jsonc.Parse[config.Workspace](file, []byte(text))
	if err != nil {
		return parsedWorkspace{}, err.(jsonc.ErrorList)
	}
	r := &reporter{doc: doc}
	p := parsedWorkspace{template: spec.Template, doc: doc}
	checkName(r, "workspace", spec.Workspace, name)
	if !objectName.MatchString(spec.Template) {
		r.report("template", fmt.Sprintf("%q is not a valid name", spec.Template), objectNameRule)
	}
	names := lo.Keys(spec.Params)
	slices.Sort(names)
	for _, n := range names {
		switch spec.Params[n].(type) {
		case string, float64, bool:
			p.params = append(p.params, paramValue{unique.Make(n), spec.Params[n]})
		default:
			r.report("params."+n, "the value is neither a number, a string, true nor false", "use one of these")
		}
	}
	p.keys = parseKeys(r, spec.Keys)
	return p, r.faults
}

func parseKeys(r *reporter, keys []string) []KeyHash {
	if len(keys) > MaxKeys {
		r.report("keys", fmt.Sprintf("%d keys", len(keys)), fmt.Sprintf("use at most %d", MaxKeys))
	}
	var out []KeyHash
	for i, s := range keys {
		field := fmt.Sprintf("keys[%d]", i)
		b, err := hex.DecodeString(s)
		if err != nil || len(b) != len(KeyHash{}) {
			// The value is not repeated in the message: it may be a key that was pasted in place of its hash.
			r.report(field, "not a SHA-256 hash in hexadecimal", "use the 64 digits that `printf %s \"$KEY\" | sha256sum` prints")
			continue
		}
		k := KeyHash(b)
		if slices.Contains(out, k) {
			r.report(field, "the key is listed twice", "remove one of them")
			continue
		}
		out = append(out, k)
	}
	return out
}

// Check compiles a change without applying it. It returns the number of workspaces that the change affects, and a
// *core.Error (1402) that lists all violations. A template is compiled against all workspaces that use it.
func (c *Compiler) Check(o Object) (affected int, err error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var faults jsonc.ErrorList
	switch {
	case o.Kind == ObjectTemplate && o.Deleted:
		affected, faults = c.checkRemoval(o)
	case o.Kind == ObjectTemplate:
		affected, faults = c.checkTemplate(o)
	case o.Kind == ObjectWorkspace && o.Deleted:
		affected = 1
	case o.Kind == ObjectWorkspace:
		affected, faults = 1, c.checkWorkspace(o)
	default:
		return 0, core.Errorf(core.CodeBadRequest, "%q is not a kind of object; use %s or %s", o.Kind, ObjectTemplate, ObjectWorkspace)
	}
	if len(faults) > 0 {
		return affected, core.Errorf(core.CodeBadTemplate, "%s", faults.Error())
	}
	return affected, nil
}

func (c *Compiler) users(name string) []*workspaceState {
	st, ok := c.templates[name]
	if !ok {
		return nil
	}
	users := lo.Keys(st.users)
	slices.SortFunc(users, func(a, b *workspaceState) int { return cmp.Compare(a.name, b.name) })
	return users
}

func (c *Compiler) checkRemoval(o Object) (int, jsonc.ErrorList) {
	users := c.users(o.Name)
	if len(users) == 0 {
		return 0, nil
	}
	names := lo.Map(lo.Slice(users, 0, maxReported), func(e *workspaceState, _ int) string { return e.name })
	if more := len(users) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return len(users), jsonc.ErrorList{{
		File:    o.file(),
		Problem: fmt.Sprintf("the template is used by %d workspaces: %s", len(users), strings.Join(names, ", ")),
		Remedy:  "delete these or give them another template first",
	}}
}

func (c *Compiler) checkTemplate(o Object) (int, jsonc.ErrorList) {
	users := c.users(o.Name)
	t, faults := parseTemplate(o.file(), o.Name, o.Value)
	if faults != nil {
		return len(users), faults
	}
	checkedKindSets := map[string]bool{}
	failed := 0
	for _, e := range users {
		r := &reporter{doc: &jsonc.Document{File: ObjectWorkspace + "/" + e.name}}
		t.check(r, e.params, checkedKindSets)
		if len(r.faults) == 0 {
			continue
		}
		if failed++; failed <= maxReported {
			faults = append(faults, r.faults...)
		}
	}
	if failed > maxReported {
		faults = append(faults, jsonc.Error{File: o.file(), Problem: fmt.Sprintf("%d more workspaces would be invalid", failed-maxReported), Remedy: "give new parameters defaults and keep the bounds that workspaces rely on"})
	}
	return len(users), faults
}

// check compiles parameters against the template. Shapes remembers those that compiled.
func (t *template) check(r *reporter, params []paramValue, checkedKindSets map[string]bool) {
	values := t.resolveParams(r, params)
	if len(r.faults) > 0 {
		return
	}
	t.weight(values, t.paramReporter(r))
	if key := t.kindSetKey(values); !checkedKindSets[key] {
		t.compileKinds(values, t.paramReporter(r))
		checkedKindSets[key] = len(r.faults) == 0
	}
}

func (c *Compiler) checkWorkspace(o Object) jsonc.ErrorList {
	p, faults := parseWorkspace(o.file(), o.Name, o.Value)
	if faults != nil {
		return faults
	}
	r := &reporter{doc: p.doc}
	for i, k := range p.keys {
		if w := c.keys[k[0]][k]; w != nil && string(w.ID) != o.Name {
			r.report(fmt.Sprintf("keys[%d]", i), fmt.Sprintf("the key belongs to workspace %q", w.ID), "use another key")
		}
	}
	st := c.templates[p.template]
	if st == nil || st.current == nil {
		f := missingTemplate(o.file(), p.template)
		f.Line = p.doc.Line("template")
		return append(r.faults, f)
	}
	st.current.check(r, p.params, map[string]bool{})
	return r.faults
}
