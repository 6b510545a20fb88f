// Package route holds the routing configuration: routes by host and path prefix, the keys and quotas of workspaces, and
// limits on requests.
package route

import (
	"cmp"
	"math"
	"strings"
	"time"

	"monsoondale/core"
)

// Version orders configurations; a higher one replaces a lower one.
type Version int64

// Service is the name of a group of endpoints that serve the same requests.
type Service string

// Kind states whether and how requests of a route may be sent again.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce marks requests that run at most once.
	AtMostOnce Kind = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Stream marks requests whose responses are streams of events.
	Stream
)

// Target is a service that receives a part of the requests of a route, in proportion to Weight.
type Target struct {
	Service Service
	Weight  int
}

// Route defines how requests with one host and path prefix are handled.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Targets []Target
	Kind    Kind
	// Resumable marks streams that another endpoint can continue after the last event received.
	Resumable    bool
	Timeout      time.Duration // limit on the time from arrival to the end of the response; 0 for none
	Objective    time.Duration // time within which the response, or its first event, is on time; 0 for none
	GapObjective time.Duration // longest pause between events that is still on time; 0 for none
	Tier         core.Tier
	Attempts     int  // maximum number of endpoints that may run one request, at least 1
	Public       bool // requests need no key
}

// Retryable reports whether a request may be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

const (
	// Callers wait for the next event of a stream, including the first one, for the longest of minAbandon,
	// abandonObjectives times the objective and abandonGaps times the gap objective.
	minAbandon        = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
)

// AbandonAfter returns the pause after which callers are assumed to give up on a stream; 0 if the route is no stream.
func (r *Route) AbandonAfter() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(minAbandon, abandonObjectives*r.Objective, abandonGaps*r.GapObjective)
}

// PickService returns the service for a request, chosen by weight from a hash of the request.
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

// Workspace is a tenant with its keys, its tier and its quota.
type Workspace struct {
	ID    core.WorkspaceID
	Keys  []string
	Tier  core.Tier // replaces the tier of the route if HasTier is set
	Quota Quota
	// HasTier reports whether the workspace has a tier of its own.
	HasTier bool
}

// Quota limits the usage of a workspace on all instances together.
type Quota struct {
	Rate  float64 // units per second; 0 for no limit
	Burst float64 // units
	// ByTokens makes a token a unit; otherwise each request is one unit.
	ByTokens bool
	// DefaultUnits is the cost, with ByTokens, of a request that does not state its tokens.
	DefaultUnits core.Tokens
}

// Cost returns the units of a request. stated reports whether the request states its number of tokens.
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

// Limits are limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int // of the request line and the header
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first bytes of a request to the end of its header
	IdleTimeout   time.Duration // between two requests on a connection
}

const (
	// MaxHeaderBytes is the largest limit on headers. Each open connection may hold that much memory.
	MaxHeaderBytes = 64 << 10
	minHeaderBytes = 1 << 10
	// minTimeout is the shortest limit on times: TCP sends a lost segment again after up to a second.
	minTimeout       = time.Second
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = time.Hour
)

// DefaultLimits apply where a configuration states no limit.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// bounded returns the limits with the defaults for those that are not stated, within the bounds of an instance.
func (l Limits) bounded() Limits {
	return Limits{
		HeaderBytes:   bounded(l.HeaderBytes, DefaultLimits.HeaderBytes, minHeaderBytes, MaxHeaderBytes),
		BodyBytes:     bounded(l.BodyBytes, DefaultLimits.BodyBytes, 1, math.MaxInt64-1), // a reader needs room for one byte more
		HeaderTimeout: bounded(l.HeaderTimeout, DefaultLimits.HeaderTimeout, minTimeout, maxHeaderTimeout),
		IdleTimeout:   bounded(l.IdleTimeout, DefaultLimits.IdleTimeout, minTimeout, maxIdleTimeout),
	}
}

// bounded returns v within bounds, or the default if v is not stated.
func bounded[T cmp.Ordered](v, def, low, high T) T {
	var none T
	if v <= none {
		return def
	}
	return min(max(v, low), high)
}

// Options configures a Table.
type Options struct {
	Version    Version
	Routes     []Route
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	o     Options
	hosts map[string]map[string]*Route
	keys  map[string]*Workspace
	// services are those that the routes lead to.
	services map[Service]bool
}

// New returns the Table of a configuration.
func New(o Options) *Table {
	o.Limits = o.Limits.bounded()
	t := &Table{o: o, hosts: map[string]map[string]*Route{}, keys: map[string]*Workspace{}, services: map[Service]bool{}}
	for i := range o.Routes {
		r := &o.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
		for _, target := range r.Targets {
			t.services[target.Service] = true
		}
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

// Uses reports whether a route leads to a service.
func (t *Table) Uses(s Service) bool { return t.services[s] }

// Limits returns the limits that apply, within the bounds of an instance.
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

// Match returns the route of a host with the longest prefix of the path.
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
