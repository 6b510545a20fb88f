package route

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Severity tells whether a configuration can't mean what it says, or probably doesn't.
type Severity string

// Severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Item is a part of a configuration: a RouteItem, a WorkspaceItem or a LimitsItem.
type Item interface{ item() }

// RouteItem and WorkspaceItem are the indexes of a route and a workspace in Options.
type (
	RouteItem     int
	WorkspaceItem int
	LimitsItem    struct{}
)

func (RouteItem) item()     {}
func (WorkspaceItem) item() {}
func (LimitsItem) item()    {}

// Finding is one result of Check.
type Finding struct {
	Severity Severity
	Item     Item
	// Field is the name of a field of the Route, the Workspace, its Quota or the Limits.
	Field string
	// Index is the position in Field, if that is a list.
	Index int
	Text  string
}

// Environment is what a configuration is checked against. A field that is zero is not checked.
type Environment struct {
	// Services are those that are known.
	Services []Service
	// RequestBytes is the memory that an instance has for the bodies of requests.
	RequestBytes int64
	// NoRetries reports that no request may be sent to a second endpoint.
	NoRetries bool
	// QuotaWindow is the span in which quotas are counted.
	QuotaWindow time.Duration
}

// Check reports what in a configuration can't be used as it stands: entries that never match, and limits that contradict each
// other. It asks the Table that instances use, so it can't differ from what they do.
func Check(o Options, env Environment) []Finding {
	// A Table refers to the slices that it is given.
	stated := o.Limits
	o.Routes, o.Workspaces = slices.Clone(o.Routes), slices.Clone(o.Workspaces)
	c := &checker{table: New(o), env: env}
	for i := range o.Routes {
		c.checkRoute(RouteItem(i), &o.Routes[i])
	}
	for i := range o.Workspaces {
		c.checkWorkspace(WorkspaceItem(i), &o.Workspaces[i])
	}
	c.checkLimits(stated)
	return c.findings
}

type checker struct {
	table    *Table
	env      Environment
	findings []Finding
}

func (c *checker) add(s Severity, it Item, field string, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Item: it, Field: field, Text: fmt.Sprintf(format, args...)})
}

// checkRoute checks one route. The route is in the table's slice, so that it can be compared with what the table finds.
func (c *checker) checkRoute(it RouteItem, r *Route) {
	switch found, ok := c.table.Match(r.Host, r.Prefix); {
	case r.Host == "":
		c.add(Error, it, "Host", "no request matches: the host is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.add(Error, it, "Prefix", "no request matches: the prefix %q must begin and end with a slash", r.Prefix)
	case strings.Contains(r.Host, ":"):
		c.add(Error, it, "Host", "no request matches: the host %q has a port, which is not compared", r.Host)
	case !ok || found != r:
		c.add(Error, it, "Prefix", "no request matches: route %q has the same host and prefix and comes later", found.Name)
	}
	c.checkTargets(it, r)
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Error, it, "Objective", "the objective of %v is longer than the timeout of %v, so no late response is seen as late", r.Objective, r.Timeout)
	}
	if r.Kind != Stream {
		if r.GapObjective > 0 {
			c.add(Warning, it, "GapObjective", "the pause between events does not apply: the route is no stream")
		}
		if r.Resumable {
			c.add(Warning, it, "Resumable", "the route is no stream and can't be resumed")
		}
	}
	if r.Kind == Stream && r.Timeout > 0 && r.Timeout < r.GapObjective {
		c.add(Error, it, "GapObjective", "the pause of %v between events is longer than the timeout of %v", r.GapObjective, r.Timeout)
	}
	switch {
	case r.Attempts > 1 && !r.Retryable():
		c.add(Warning, it, "Attempts", "%d attempts are never used: a request that may have run is not sent again on this route", r.Attempts)
	case r.Attempts > 1 && c.env.NoRetries:
		c.add(Warning, it, "Attempts", "%d attempts are never used: the retry budget allows none", r.Attempts)
	}
}

// checkTargets checks to which services the requests of a route go.
func (c *checker) checkTargets(it RouteItem, r *Route) {
	total, shares := 0, 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	for i, t := range r.Targets {
		share := 0.0
		if total > 0 {
			share = float64(t.Weight) / float64(total)
		} else if i == 0 {
			share = 1 // see PickService
		}
		shares += share
		switch {
		case t.Service == "":
			c.addTarget(Error, it, i, "the service has no name")
		case c.env.Services != nil && !slices.Contains(c.env.Services, t.Service):
			c.addTarget(Error, it, i, fmt.Sprintf("service %q is not known", t.Service))
		case share == 0:
			c.addTarget(Warning, it, i, fmt.Sprintf("service %q gets no request: its weight is 0", t.Service))
		case total <= 0 && len(r.Targets) > 1:
			c.addTarget(Warning, it, i, fmt.Sprintf("service %q gets all requests: all weights are 0", t.Service))
		}
		for _, u := range r.Targets[:i] {
			if u.Service == t.Service {
				c.addTarget(Warning, it, i, fmt.Sprintf("service %q is named twice, its weights add up", t.Service))
			}
		}
	}
}

func (c *checker) addTarget(s Severity, it RouteItem, index int, text string) {
	c.findings = append(c.findings, Finding{Severity: s, Item: it, Field: "Targets", Index: index, Text: text})
}

// checkWorkspace checks one workspace.
func (c *checker) checkWorkspace(it WorkspaceItem, w *Workspace) {
	if w.ID == "" {
		c.add(Error, it, "ID", "the workspace has no name")
	}
	for i := range c.table.o.Workspaces[:it] {
		if c.table.o.Workspaces[i].ID == w.ID {
			c.add(Error, it, "ID", "workspace %q is listed twice; its quotas are not added up", w.ID)
		}
	}
	if len(w.Keys) == 0 {
		c.add(Warning, it, "Keys", "no request belongs to workspace %q: it has no key", w.ID)
	}
	for i, k := range w.Keys {
		f := Finding{Severity: Error, Item: it, Field: "Keys", Index: i}
		switch holder, _ := c.table.Workspace(k); {
		case k == "":
			f.Text = "an empty key is held by no request"
		case holder != w: // the key itself is not printed
			f.Text = fmt.Sprintf("key %d of workspace %q is held by workspace %q, which comes later", i+1, w.ID, holder.ID)
		case slices.Contains(w.Keys[:i], k):
			f.Severity, f.Text = Warning, fmt.Sprintf("key %d of workspace %q is listed twice", i+1, w.ID)
		default:
			continue
		}
		c.findings = append(c.findings, f)
	}
	c.checkQuota(it, w)
}

func (c *checker) checkQuota(it WorkspaceItem, w *Workspace) {
	q := w.Quota
	switch {
	case q.Rate < 0 || q.Burst < 0 || math.IsNaN(q.Rate) || math.IsNaN(q.Burst):
		c.add(Error, it, "Quota.Rate", "the quota must not be negative")
		return
	case q.Rate == 0 && q.Burst > 0:
		c.add(Warning, it, "Quota.Burst", "the burst does not apply: without a rate there is no limit")
		return
	case q.Rate == 0:
		return
	}
	largest := q.Cost(0, false)
	if room := q.Rate*c.env.QuotaWindow.Seconds() + q.Burst; c.env.QuotaWindow > 0 && largest > room {
		c.add(Error, it, "Quota.DefaultUnits", "a request that states no tokens costs %.0f, more than the %.0f that the quota allows in %v: all of them are refused", largest, room, c.env.QuotaWindow)
	}
	if !q.ByTokens && q.DefaultUnits > 0 {
		c.add(Warning, it, "Quota.DefaultUnits", "the units of a request without tokens do not apply: the quota counts requests")
	}
}

// checkLimits checks the limits as they are stated against those in force.
func (c *checker) checkLimits(stated Limits) {
	force := c.table.Limits()
	for _, l := range []struct {
		field        string
		stated, used any
		differs      bool
	}{
		{"HeaderBytes", stated.HeaderBytes, force.HeaderBytes, stated.HeaderBytes != 0 && stated.HeaderBytes != force.HeaderBytes},
		{"BodyBytes", stated.BodyBytes, force.BodyBytes, stated.BodyBytes != 0 && stated.BodyBytes != force.BodyBytes},
		{"HeaderTimeout", stated.HeaderTimeout, force.HeaderTimeout, stated.HeaderTimeout != 0 && stated.HeaderTimeout != force.HeaderTimeout},
		{"IdleTimeout", stated.IdleTimeout, force.IdleTimeout, stated.IdleTimeout != 0 && stated.IdleTimeout != force.IdleTimeout},
	} {
		if l.differs {
			c.add(Warning, LimitsItem{}, l.field, "%v is out of bounds; instances apply %v", l.stated, l.used)
		}
	}
	if c.env.RequestBytes > 0 && force.BodyBytes > c.env.RequestBytes {
		c.add(Error, LimitsItem{}, "BodyBytes", "a body of %d bytes does not fit into the %d that an instance has for all requests", force.BodyBytes, c.env.RequestBytes)
	}
}
