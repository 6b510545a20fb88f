// Package workspace compiles templates and workspaces to an immutable Plan that the request path reads.
package workspace

import (
	"strings"
	"time"

	"monsoondale/core"
)

// Kind is one kind of work of a workspace. A kind with an empty Service is served by model engines.
type Kind struct {
	ID              core.KindID
	Tier            core.Tier
	Pool            core.Pool
	Service         string        // plain service name in /services/{service}/..., empty for model engines
	Method          string        // HTTP method that the kind matches, empty for any
	Path            string        // path prefix that the kind matches, in whole segments; empty for any
	AtMostOnce      bool          // non-idempotent: needs an idempotency key and runs at most once
	Deadline        time.Duration // time until the first token or answer is due, 0 for none
	EstimatedTokens core.Tokens   // estimate of generated tokens
	ModelSpec       ModelSpec     // what the engines of the pool carry, empty to leave them as they are
}

// ModelSpec states the weights that an engine carries.
type ModelSpec struct{ Model, Adapter, Version string }

// Workspace is one workspace as compiled from its template and parameters. It is immutable. Kinds is shared between
// the workspaces whose parameters lead to the same kinds.
type Workspace struct {
	ID       core.WorkspaceID
	Template core.TemplateID
	Weight   core.Weight
	Kinds    []Kind

	keys []KeyHash
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash = [32]byte

// KindForModel returns the kind of work that the OpenAI model field names.
func (w *Workspace) KindForModel(name string) (Kind, bool) {
	for i := range w.Kinds {
		if k := &w.Kinds[i]; k.Service == "" && string(k.ID) == name {
			return *k, true
		}
	}
	return Kind{}, false
}

// KindForService returns the first kind that matches a request to a plain service. Path is the part after the service name.
func (w *Workspace) KindForService(service, method, path string) (Kind, bool) {
	if service == "" {
		return Kind{}, false
	}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		if k.Service == service && (k.Method == "" || k.Method == method) && hasPathPrefix(k.Path, path) {
			return *k, true
		}
	}
	return Kind{}, false
}

// hasPathPrefix reports whether path is prefix or lies below it. Segments are compared whole, so that /status does not match
// /statuses.
func hasPathPrefix(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// keyBuckets is the number of maps that the key index is split into. A change copies only the buckets that it touches:
// about 190 of 48,000 entries.
const keyBuckets = 256

type keyIndex [keyBuckets]map[KeyHash]*Workspace

// Plan is the compiled configuration at one revision. It is immutable and safe for concurrent use.
type Plan struct {
	revision   core.Revision
	digest     uint64
	workspaces []*Workspace
	keys       keyIndex
	problems   []Problem
}

// Revision returns the highest version among the applied objects, tombstones included.
func (p *Plan) Revision() core.Revision { return p.revision }

// Digest identifies the set of applied object versions. Two instances with equal digests have the same objects.
func (p *Plan) Digest() uint64 { return p.digest }

// FindByKey returns the workspace that an API key belongs to. Hash is the key's SHA-256 hash; looking it up in a map leaks
// nothing about the key itself through timing.
func (p *Plan) FindByKey(hash KeyHash) (*Workspace, bool) {
	w, ok := p.keys[hash[0]][hash]
	return w, ok
}

// Workspaces returns all workspaces in the order of their ids. Callers must not change the slice.
func (p *Plan) Workspaces() []*Workspace { return p.workspaces }

// Problems returns the objects that are not in force as written, in the order of their names.
func (p *Plan) Problems() []Problem { return p.problems }

// Problem describes an object that is not in force as written.
type Problem struct {
	Kind    string
	Name    string
	Version core.Revision
	Stale   bool // an earlier form of the object is in force; otherwise nothing of it is
	Detail  string
}
