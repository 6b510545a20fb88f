// Package workspace compiles the configuration objects, templates and workspaces, into an immutable Plan. The request
// path uses the Plan to map an API key to a workspace and a request to a kind of work.
package workspace

import (
	"strings"
	"time"

	"monsoondale/core"
)

// Kind is a kind of work of a workspace: the requests that it matches, and the tier, pool and limits that they get.
// A kind with an empty Service is served by model engines.
type Kind struct {
	ID              core.KindID
	Tier            core.Tier
	Pool            core.Pool
	Service         string        // name of the plain service in /services/{service}/..., empty for model engines
	Method          string        // HTTP method that the kind matches, empty for any
	Path            string        // path prefix that the kind matches, in whole segments; empty for any
	AtMostOnce      bool          // the requests are not idempotent: each needs an idempotency key and runs at most once
	Deadline        time.Duration // time limit for the first token or the response, 0 for none
	EstimatedTokens core.Tokens   // generated tokens per request
	ModelSpec       ModelSpec     // what the engines of the pool load, empty to leave them as they are
}

// ModelSpec identifies the model weights that an engine loads.
type ModelSpec struct{ Model, Adapter, Version string }

// Workspace is a workspace compiled from its template and parameters. It is immutable. Workspaces whose parameters
// yield the same kinds share the Kinds slice.
type Workspace struct {
	ID       core.WorkspaceID
	Template core.TemplateID
	Weight   core.Weight
	Kinds    []Kind

	keys []KeyHash
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash = [32]byte

// KindForModel returns the kind that the model field of an OpenAI request names.
func (w *Workspace) KindForModel(name string) (Kind, bool) {
	for i := range w.Kinds {
		if k := &w.Kinds[i]; k.Service == "" && string(k.ID) == name {
			return *k, true
		}
	}
	return Kind{}, false
}

// KindForService returns the first kind that matches a request to a plain service. path is the part of the URL path
// after the service name.
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

// hasPathPrefix reports whether path equals prefix or lies below it. It compares whole segments, so that /status does
// not match /statuses.
func hasPathPrefix(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// keyBuckets is the number of maps that make up the key index. A change copies only the buckets that it modifies, of
// about 190 entries each at 48,000 keys.
const keyBuckets = 256

type keyIndex [keyBuckets]map[KeyHash]*Workspace

// Plan is a snapshot of the compiled configuration at one revision. It is immutable and safe for concurrent use.
type Plan struct {
	revision   core.Revision
	digest     uint64
	workspaces []*Workspace
	keys       keyIndex
	problems   []Problem
}

// Revision returns the highest version among the applied objects, tombstones included.
func (p *Plan) Revision() core.Revision { return p.revision }

// Digest returns a hash of the applied object versions. Two instances with equal digests have the same objects.
func (p *Plan) Digest() uint64 { return p.digest }

// FindByKey returns the workspace that an API key belongs to. hash is the SHA-256 hash of the key. The timing of the
// map lookup reveals nothing about the key, because only the hash is compared.
func (p *Plan) FindByKey(hash KeyHash) (*Workspace, bool) {
	w, ok := p.keys[hash[0]][hash]
	return w, ok
}

// Workspaces returns all workspaces ordered by ID. Callers must not modify the slice.
func (p *Plan) Workspaces() []*Workspace { return p.workspaces }

// Problems returns the objects whose latest version is not fully in force, ordered by kind and name.
func (p *Plan) Problems() []Problem { return p.problems }

// Problem describes an object whose latest version is not fully in force.
type Problem struct {
	Kind    string
	Name    string
	Version core.Revision
	Stale   bool // an earlier version is in force; otherwise none is
	Detail  string
}
