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

// maxReported limits the number of workspaces that the error for a refused template change names.
const maxReported = 10

// Object is a template or workspace as stored: its text with comments, and its version. A deleted object is a
// tombstone. File identifies the text in error messages; if it is empty, they use kind/name.
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

// objectRef identifies a configuration object.
type objectRef struct{ kind, name string }

func (r objectRef) compare(o objectRef) int {
	return cmp.Or(cmp.Compare(r.kind, o.kind), cmp.Compare(r.name, o.name))
}

// Compiler compiles configuration objects into Plans. It is incremental: a change of a workspace recompiles only that
// workspace, and a change of a template recompiles only the workspaces that use it. It is safe for concurrent use,
// because the control loop applies changes while operator requests check theirs.
type Compiler struct {
	mu         sync.RWMutex
	revision   core.Revision
	digest     uint64
	templates  map[string]*templateState // includes missing templates that workspaces refer to
	workspaces map[string]*workspaceState
	tombstones map[objectRef]core.Revision
	failures   map[objectRef]Problem

	sorted           []*Workspace // compiled workspaces by ID, nil if it must be rebuilt
	changesSincePlan int          // changes of sorted since the last Plan
	keys             keyIndex
	sharedBuckets    [keyBuckets]bool     // the bucket is shared with an issued Plan and is copied before a write
	contestedKeys    map[KeyHash][]string // sorted names of the workspaces that list the same key; the first one holds it
}

// templateState is a template name with the workspaces that use it. current is the last valid version, nil if none.
type templateState struct {
	name     string
	version  core.Revision // 0 while the object does not exist
	current  *template
	users    map[*workspaceState]struct{}
	kindSets map[string]*kindSet
}

// kindSet holds the compiled kinds that workspaces of one template share if they have equal values of the parameters
// that the kinds depend on. It is reference-counted.
type kindSet struct {
	kinds []Kind
	refs  int
	owner *templateState
	key   string
}

// workspaceState holds the parsed document of one workspace. current is the last valid compiled form, nil if none.
type workspaceState struct {
	name     string
	version  core.Revision
	template *templateState
	params   []paramValue
	keys     []KeyHash
	kindSet  *kindSet
	current  *Workspace
	invalid  bool // the latest version could not be parsed; the other fields are those of an earlier one
}

// paramValue is a parameter of a workspace as decoded from JSON. Names are interned, because many workspaces use the
// same ones.
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

// Apply applies the objects whose version is higher than the known one and returns their number. Objects may come in
// any order. An object that fails to compile keeps its last valid form and is listed in the Plan's Problems.
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
		if ws := c.applyWorkspace(o); ws != nil {
			dirty[ws] = struct{}{}
		}
	}
	for ws := range dirty {
		c.compile(ws)
	}
	return applied
}

// Version returns the last applied version of an object, which may be that of its tombstone, or 0 if there is none.
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
	} else if ws, ok := c.workspaces[ref.name]; ok {
		return ws.version
	}
	return 0
}

// versionHash returns the hash of one object version. The digest is the XOR of the hashes of all applied versions.
func versionHash(ref objectRef, v core.Revision) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", ref.kind, ref.name, v))
}

// Plan returns the Plan of the applied objects. Unchanged parts are shared with earlier Plans.
func (c *Compiler) Plan() *Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sorted == nil {
		c.sorted = make([]*Workspace, 0, len(c.workspaces))
		for _, ws := range c.workspaces {
			if ws.current != nil {
				c.sorted = append(c.sorted, ws.current)
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

// getOrAddTemplate returns the state of a template name and adds it if it is new. The template itself may be missing.
func (c *Compiler) getOrAddTemplate(name string) *templateState {
	t, ok := c.templates[name]
	if !ok {
		t = &templateState{name: name, users: map[*workspaceState]struct{}{}, kindSets: map[string]*kindSet{}}
		c.templates[name] = t
	}
	return t
}

// applyTemplate applies a version of a template and returns the workspaces to recompile.
func (c *Compiler) applyTemplate(o Object) map[*workspaceState]struct{} {
	st := c.getOrAddTemplate(o.Name)
	st.version = o.Version
	if o.Deleted {
		st.version, st.current = 0, nil
		c.removeIfUnused(st)
		return st.users
	}
	t, errs := parseTemplate(o.file(), o.Name, o.Value)
	if errs != nil {
		c.recordFailure(o.ref(), o.Version, st.current != nil, errs)
		return nil
	}
	st.current = t
	st.kindSets = map[string]*kindSet{}
	return st.users
}

// removeIfUnused removes the state of a template that does not exist and that no workspace refers to.
func (c *Compiler) removeIfUnused(st *templateState) {
	if st.version == 0 && len(st.users) == 0 {
		delete(c.templates, st.name)
	}
}

// applyWorkspace applies a version of a workspace and returns its state if it must be compiled, otherwise nil.
func (c *Compiler) applyWorkspace(o Object) *workspaceState {
	ws := c.workspaces[o.Name]
	if o.Deleted {
		if ws != nil {
			c.setCurrent(ws, nil)
			c.setKindSet(ws, nil)
			c.setTemplate(ws, nil)
			delete(c.workspaces, o.Name)
		}
		return nil
	}
	if ws == nil {
		ws = &workspaceState{name: strings.Clone(o.Name)}
		c.workspaces[ws.name] = ws
	}
	ws.version, ws.invalid = o.Version, false
	parsed, errs := parseWorkspace(o.file(), o.Name, o.Value)
	if errs != nil {
		ws.invalid = true
		c.recordFailure(o.ref(), o.Version, ws.current != nil, errs)
		return nil
	}
	c.setTemplate(ws, c.getOrAddTemplate(parsed.template))
	ws.params, ws.keys = parsed.params, parsed.keys
	return ws
}

// setTemplate makes a workspace refer to another template, or to none if st is nil.
func (c *Compiler) setTemplate(ws *workspaceState, st *templateState) {
	if ws.template != nil && ws.template != st {
		delete(ws.template.users, ws)
		c.removeIfUnused(ws.template)
	}
	ws.template = st
	if st != nil {
		st.users[ws] = struct{}{}
	}
}

// recordFailure adds an object to the Plan's Problems. stale means that an earlier version of it is in force.
func (c *Compiler) recordFailure(ref objectRef, v core.Revision, stale bool, errs jsonc.ErrorList) {
	c.failures[ref] = Problem{Kind: ref.kind, Name: ref.name, Version: v, Stale: stale, Detail: errs.Error()}
}

// compile compiles a workspace against the current version of its template.
func (c *Compiler) compile(ws *workspaceState) {
	if ws.invalid {
		return
	}
	ref := objectRef{ObjectWorkspace, ws.name}
	delete(c.failures, ref)
	t := ws.template.current
	if t == nil {
		c.recordFailure(ref, ws.version, ws.current != nil, jsonc.ErrorList{missingTemplate(ref.kind+"/"+ref.name, ws.template.name)})
		return
	}
	r := &reporter{doc: &jsonc.Document{File: ref.kind + "/" + ref.name}}
	values := t.resolveParams(r, ws.params)
	if len(r.errs) > 0 {
		c.recordFailure(ref, ws.version, ws.current != nil, r.errs)
		return
	}
	weight := t.weight(values, t.paramReporter(r))
	key := t.kindSetKey(values)
	set, ok := ws.template.kindSets[key]
	if !ok {
		set = &kindSet{kinds: t.compileKinds(values, t.paramReporter(r)), owner: ws.template, key: key}
	}
	if len(r.errs) > 0 {
		c.recordFailure(ref, ws.version, ws.current != nil, r.errs)
		return
	}
	c.setKindSet(ws, set)
	c.setCurrent(ws, &Workspace{ID: core.WorkspaceID(ws.name), Template: t.id, Weight: weight, Kinds: set.kinds, keys: ws.keys})
}

// setKindSet makes a workspace use another kind set, or none if set is nil. A kind set without users is removed.
func (c *Compiler) setKindSet(ws *workspaceState, set *kindSet) {
	if ws.kindSet == set {
		return
	}
	if set != nil {
		if set.refs == 0 {
			set.owner.kindSets[set.key] = set
		}
		set.refs++
	}
	if old := ws.kindSet; old != nil {
		if old.refs--; old.refs == 0 && old.owner.kindSets[old.key] == old {
			delete(old.owner.kindSets, old.key)
		}
	}
	ws.kindSet = set
}

// setCurrent replaces the compiled form of a workspace and its keys, or removes them if w is nil.
func (c *Compiler) setCurrent(ws *workspaceState, w *Workspace) {
	old := ws.current
	ws.current = w
	if old != nil {
		for _, k := range old.keys {
			if w == nil || !slices.Contains(w.keys, k) {
				c.releaseKey(k, ws)
			}
		}
	}
	if w != nil {
		for _, k := range w.keys {
			c.claimKey(k, ws)
		}
	}
	c.updateSorted(ws)
}

// maxSortedUpdates is the number of changes between two Plans above which sorting again is cheaper than inserting
// each change.
const maxSortedUpdates = 64

// updateSorted updates the sorted slice after a change of a workspace. The last Plan shares the slice, so that the
// first change after it makes a copy.
func (c *Compiler) updateSorted(ws *workspaceState) {
	c.changesSincePlan++
	if c.sorted == nil || c.changesSincePlan > maxSortedUpdates {
		c.sorted = nil
		return
	}
	if c.changesSincePlan == 1 {
		c.sorted = slices.Clone(c.sorted)
	}
	at, found := slices.BinarySearchFunc(c.sorted, core.WorkspaceID(ws.name), func(w *Workspace, id core.WorkspaceID) int { return cmp.Compare(w.ID, id) })
	switch {
	case ws.current == nil && found:
		c.sorted = slices.Delete(c.sorted, at, at+1)
	case ws.current != nil && found:
		c.sorted[at] = ws.current
	case ws.current != nil:
		c.sorted = slices.Insert(c.sorted, at, ws.current)
	}
}

// claimKey assigns a key to a workspace. A change that assigns one key to two workspaces is refused, but two concurrent
// changes can both be accepted. Then the workspace that comes first by name holds the key, so that the result does not
// depend on the order in which an instance receives the objects.
func (c *Compiler) claimKey(k KeyHash, ws *workspaceState) {
	holder := c.keys[k[0]][k]
	if holder != nil && holder.ID != core.WorkspaceID(ws.name) {
		names := c.contestedKeys[k]
		if names == nil {
			names = []string{string(holder.ID)}
		}
		if !slices.Contains(names, ws.name) {
			names = append(slices.Clone(names), ws.name)
			slices.Sort(names)
		}
		c.contestedKeys[k] = names
		if names[0] != ws.name {
			return
		}
	}
	c.writableBucket(k)[k] = ws.current
}

// releaseKey removes a key from a workspace. If other workspaces list the key, the first one by name gets it.
func (c *Compiler) releaseKey(k KeyHash, ws *workspaceState) {
	names := c.contestedKeys[k]
	if names == nil {
		delete(c.writableBucket(k), k)
		return
	}
	names = lo.Without(names, ws.name)
	c.contestedKeys[k] = names
	c.writableBucket(k)[k] = c.workspaces[names[0]].current
	if len(names) == 1 {
		delete(c.contestedKeys, k)
	}
}

// writableBucket returns the bucket of a key for writing and copies it first if an issued Plan shares it.
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

// resolveParams returns the values of all parameters for a workspace, with defaults filled in.
func (t *template) resolveParams(r *reporter, params []paramValue) []any {
	values := make([]any, len(t.params))
	for _, pv := range params {
		name := pv.name.Value()
		i, ok := t.paramIndex[name]
		if !ok {
			r.report("params."+name, fmt.Sprintf("template %q has no such parameter", t.id), "remove it or use "+t.paramNames())
			continue
		}
		v, problem, remedy := t.params[i].convert(pv.value)
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
		if values[i] == nil && !slices.ContainsFunc(params, func(pv paramValue) bool { return pv.name.Value() == p.name }) {
			r.report("params."+p.name, fmt.Sprintf("template %q needs this parameter", t.id), fmt.Sprintf("add a value of type %s", p.typ))
		}
	}
	return values
}

// paramReporter returns a reportFunc that attributes an error in a substituted field to the parameters of the workspace.
func (t *template) paramReporter(r *reporter) reportFunc {
	return func(field string, params []int, problem, remedy string) {
		at := "params"
		if len(params) > 0 {
			at += "." + t.params[params[0]].name
		}
		r.report(at, fmt.Sprintf("in %s of template %q, %s", field, t.id, problem), remedy)
	}
}

// kindSetKey returns a key that is unique for the values of the parameters that the kinds depend on. Each value is
// prefixed with its length, so that different lists of values have different keys.
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

// parsedWorkspace is a workspace document that was checked without its template.
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
	return p, r.errs
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
			// The message leaves out the value: it may be a key that was pasted in place of its hash.
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

// Check compiles a change without applying it. It returns the number of workspaces that the change affects. If the
// change is invalid, the error is a *core.Error (1402) that lists all violations. A template is compiled against all
// workspaces that use it.
func (c *Compiler) Check(o Object) (affected int, err error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var errs jsonc.ErrorList
	switch {
	case o.Kind == ObjectTemplate && o.Deleted:
		affected, errs = c.checkRemoval(o)
	case o.Kind == ObjectTemplate:
		affected, errs = c.checkTemplate(o)
	case o.Kind == ObjectWorkspace && o.Deleted:
		affected = 1
	case o.Kind == ObjectWorkspace:
		affected, errs = 1, c.checkWorkspace(o)
	default:
		return 0, core.Errorf(core.CodeBadRequest, "%q is not a kind of object; use %s or %s", o.Kind, ObjectTemplate, ObjectWorkspace)
	}
	if len(errs) > 0 {
		return affected, core.Errorf(core.CodeBadTemplate, "%s", errs.Error())
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
	names := lo.Map(lo.Slice(users, 0, maxReported), func(ws *workspaceState, _ int) string { return ws.name })
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
	t, errs := parseTemplate(o.file(), o.Name, o.Value)
	if errs != nil {
		return len(users), errs
	}
	checkedKindSets := map[string]bool{}
	failed := 0
	for _, ws := range users {
		r := &reporter{doc: &jsonc.Document{File: ObjectWorkspace + "/" + ws.name}}
		t.check(r, ws.params, checkedKindSets)
		if len(r.errs) == 0 {
			continue
		}
		if failed++; failed <= maxReported {
			errs = append(errs, r.errs...)
		}
	}
	if failed > maxReported {
		errs = append(errs, jsonc.Error{File: o.file(), Problem: fmt.Sprintf("%d more workspaces would be invalid", failed-maxReported), Remedy: "give new parameters defaults and keep the bounds that workspaces rely on"})
	}
	return len(users), errs
}

// check compiles the parameters of a workspace against the template. checkedKindSets holds the keys of the kind sets
// that compiled already.
func (t *template) check(r *reporter, params []paramValue, checkedKindSets map[string]bool) {
	values := t.resolveParams(r, params)
	if len(r.errs) > 0 {
		return
	}
	t.weight(values, t.paramReporter(r))
	if key := t.kindSetKey(values); !checkedKindSets[key] {
		t.compileKinds(values, t.paramReporter(r))
		checkedKindSets[key] = len(r.errs) == 0
	}
}

func (c *Compiler) checkWorkspace(o Object) jsonc.ErrorList {
	p, errs := parseWorkspace(o.file(), o.Name, o.Value)
	if errs != nil {
		return errs
	}
	r := &reporter{doc: p.doc}
	for i, k := range p.keys {
		if w := c.keys[k[0]][k]; w != nil && string(w.ID) != o.Name {
			r.report(fmt.Sprintf("keys[%d]", i), fmt.Sprintf("the key belongs to workspace %q", w.ID), "use another key")
		}
	}
	st := c.templates[p.template]
	if st == nil || st.current == nil {
		e := missingTemplate(o.file(), p.template)
		e.Line = p.doc.Line("template")
		return append(r.errs, e)
	}
	st.current.check(r, p.params, map[string]bool{})
	return r.errs
}
