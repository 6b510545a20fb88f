// Package route holds the configuration that decides where a request may go: routes by host and path prefix, the
// keys of workspaces, and the limits on what callers may send. A Table is immutable.
package route

import (
	"strings"
	"time"

	"monsoondale/core"
)

// Version orders configurations; a higher one replaces a lower one.
type Version int64

// Service names the endpoints that can serve the same requests.
type Service string

// Kind says what may be done again with a request of a route.
type Kind int

// Kinds of routes.
const (
	// Once marks requests that run at most once.
	Once Kind = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Stream marks responses that are streams of events.
	Stream
)

// Target is a service that takes a part of a route's requests, in proportion to Weight.
type Target struct {
	Service Service
	Weight  int
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Targets []Target
	Kind    Kind
	// Resumable marks streams that another endpoint can continue after the last event received.
	Resumable    bool
	Timeout      time.Duration // longest time from arrival to the end of the response; 0 for none
	Objective    time.Duration // response, or first event, that is on time; 0 for none
	GapObjective time.Duration // longest pause between events that is on time; 0 for none
	Tier         core.Tier
	Attempts     int  // endpoints that may run one request, at least 1
	Public       bool // needs no key
}

// Retryable reports whether a request may be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

const (
	// abandonLeast, abandonObjectives and abandonGaps bound how long callers wait for the next event of a stream, the
	// first one included.
	abandonLeast      = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
)

// AbandonAfter returns the pause after which callers leave a stream; 0 if the route has none.
func (r *Route) AbandonAfter() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(abandonLeast, abandonObjectives*r.Objective, abandonGaps*r.GapObjective)
}

// PickService returns the service for a request, chosen by weight from the request's hash.
func (r *Route) PickService(hash uint64) Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	n := int(hash % uint64(total))
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Workspace is a customer with its keys and its share of the fleet.
type Workspace struct {
	ID    core.WorkspaceID
	Keys  []string
	Tier  core.Tier // replaces the route's tier if Tiered
	Quota Quota
	// HasTier marks workspaces with a tier of their own.
	HasTier bool
}

// Quota bounds what the requests of a workspace use on all instances together.
type Quota struct {
	Rate  float64 // units per second; 0 for no limit
	Burst float64 // units
	// ByTokens counts tokens; otherwise each request is one unit.
	ByTokens bool
	// DefaultUnits is the units of a request that states no tokens.
	DefaultUnits core.Tokens
}

// Cost returns the units of a request.
func (q Quota) Cost(tokens core.Tokens, stated bool) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case !stated:
		return float64(q.DefaultUnits)
	default:
		return float64(tokens)
	}
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int // bytes
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options configures a Table.
type Options struct {
	Version    Version
	Routes     []Route
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the configuration.
type Table struct {
	o     Options
	hosts map[string]map[string]*Route
	keys  map[string]*Workspace
}

// New returns the table of a configuration.
func New(o Options) *Table {
	t := &Table{o: o, hosts: map[string]map[string]*Route{}, keys: map[string]*Workspace{}}
	for i := range o.Routes {
		r := &o.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	for i := range o.Workspaces {
		for _, k := range o.Workspaces[i].Keys {
			t.keys[k] = &o.Workspaces[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.o.Version }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.o.Limits }

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return len(t.o.Workspaces) > 0 }

// Workspaces returns the workspaces. The result must not be changed.
func (t *Table) Workspaces() []Workspace { return t.o.Workspaces }

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// Match returns the route of a host and path: of the host's routes the one with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}
