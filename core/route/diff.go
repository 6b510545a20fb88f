package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"monsoondale/core"
)

// Change is a difference between two versions of a configuration, and what callers notice of it.
type Change struct {
	Text   string
	Effect string // empty if callers notice nothing
}

// Diff returns what differs in a configuration from the one in force. Routes are told apart by host and prefix, workspaces by name.
// Keys are counted and not named.
func Diff(force, next Options) []Change {
	var out []Change
	add := func(effect, format string, args ...any) {
		out = append(out, Change{Text: fmt.Sprintf(format, args...), Effect: effect})
	}
	if next.Version <= force.Version {
		add("instances ignore it", "version %d is not above version %d, which is in force", next.Version, force.Version)
	}
	before, after := routesByPlace(force.Routes), routesByPlace(next.Routes)
	for _, place := range slices.Sorted(maps.Keys(before)) {
		if after[place] == nil {
			add("its requests get 404, unless another route matches", "route %q (%s) is removed", before[place].Name, place)
		}
	}
	for _, place := range slices.Sorted(maps.Keys(after)) {
		r, was := after[place], before[place]
		if was == nil {
			add("", "route %q (%s) is added", r.Name, place)
			continue
		}
		out = append(out, diffRoute(was, r)...)
	}
	out = append(out, diffWorkspaces(force.Workspaces, next.Workspaces)...)
	if a, b := force.Limits.bounded(), next.Limits.bounded(); a != b {
		effect := ""
		if b.HeaderBytes < a.HeaderBytes || b.BodyBytes < a.BodyBytes {
			effect = "larger requests get 431 or 413"
		}
		add(effect, "limits in force: header %d to %d bytes, body %d to %d bytes, header time %v to %v, idle time %v to %v",
			a.HeaderBytes, b.HeaderBytes, a.BodyBytes, b.BodyBytes, a.HeaderTimeout, b.HeaderTimeout, a.IdleTimeout, b.IdleTimeout)
	}
	return out
}

// routesByPlace returns the routes by host and prefix; of several with the same, the one that instances use.
func routesByPlace(list []Route) map[string]*Route {
	m := make(map[string]*Route, len(list))
	for i := range list {
		m[strings.ToLower(list[i].Host)+list[i].Prefix] = &list[i]
	}
	return m
}

// diffRoute returns what differs in a route.
func diffRoute(was, is *Route) []Change {
	var out []Change
	changed := func(what string, a, b any, effect string) {
		if a != b {
			out = append(out, Change{Text: fmt.Sprintf("route %q: %s %v to %v", is.Name, what, a, b), Effect: effect})
		}
	}
	shorter := func(less bool, effect string) string {
		if less {
			return effect
		}
		return ""
	}
	changed("targets", describeTargets(was.Targets), describeTargets(is.Targets), "requests go to other endpoints")
	changed("kind", was.kindText(), is.kindText(), "decides whether a request may run twice")
	changed("timeout", was.Timeout, is.Timeout, shorter(is.Timeout > 0 && (was.Timeout == 0 || is.Timeout < was.Timeout), "longer requests get 504"))
	changed("objective", was.Objective, is.Objective, shorter(is.Objective > 0 && (was.Objective == 0 || is.Objective < was.Objective), "requests are refused sooner when they can't be on time"))
	changed("pause between events", was.GapObjective, is.GapObjective, "")
	changed("tier", was.Tier, is.Tier, shorter(is.Tier > was.Tier, "its requests wait behind more others"))
	changed("attempts", was.Attempts, is.Attempts, shorter(is.Attempts < was.Attempts, "fewer requests outlive the failure of an endpoint"))
	changed("public", was.Public, is.Public, shorter(was.Public, "requests without a key get 401"))
	return out
}

func (r *Route) kindText() string {
	switch {
	case r.Kind == Stream && r.Resumable:
		return "resumable stream"
	case r.Kind == Stream:
		return "stream"
	case r.Kind == Idempotent:
		return "idempotent"
	}
	return "at most once"
}

func describeTargets(list []Target) string {
	parts := make([]string, 0, len(list))
	for _, t := range list {
		parts = append(parts, fmt.Sprintf("%s (%d)", t.Service, t.Weight))
	}
	return strings.Join(parts, ", ")
}

// diffWorkspaces returns what differs in the workspaces, their keys and quotas.
func diffWorkspaces(force, next []Workspace) []Change {
	var out []Change
	byID := func(list []Workspace) map[string]*Workspace {
		m := map[string]*Workspace{}
		for i := range list {
			m[string(list[i].ID)] = &list[i]
		}
		return m
	}
	if len(force) == 0 && len(next) > 0 {
		out = append(out, Change{Text: "workspaces are added where there were none", Effect: "requests without a key get 401"})
	}
	if len(force) > 0 && len(next) == 0 {
		return append(out, Change{Text: "all workspaces are removed", Effect: "no key is required any more: everyone may send"})
	}
	before, after := byID(force), byID(next)
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if after[id] == nil {
			out = append(out, Change{Text: fmt.Sprintf("workspace %q is removed", id), Effect: "its keys get 401"})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(after)) {
		w, was := after[id], before[id]
		if was == nil {
			out = append(out, Change{Text: fmt.Sprintf("workspace %q is added", id)})
			continue
		}
		out = append(out, diffWorkspace(core.WorkspaceID(id), was, w)...)
	}
	return out
}

func diffWorkspace(id core.WorkspaceID, was, is *Workspace) []Change {
	var out []Change
	count := func(a, b []string) (n int) {
		for _, k := range a {
			if !slices.Contains(b, k) {
				n++
			}
		}
		return n
	}
	if n := count(was.Keys, is.Keys); n > 0 {
		out = append(out, Change{Text: fmt.Sprintf("workspace %q: keys taken away: %d", id, n), Effect: "requests with them get 401"})
	}
	if n := count(is.Keys, was.Keys); n > 0 {
		out = append(out, Change{Text: fmt.Sprintf("workspace %q: keys added: %d", id, n)})
	}
	if was.HasTier != is.HasTier || was.Tier != is.Tier {
		out = append(out, Change{Text: fmt.Sprintf("workspace %q: %s to %s", id, was.tierText(), is.tierText()), Effect: "its requests take another place in the queue"})
	}
	if was.Quota != is.Quota {
		effect := ""
		if is.Quota.Rate > 0 && (was.Quota.Rate == 0 || is.Quota.Rate < was.Quota.Rate || is.Quota.Burst < was.Quota.Burst) {
			effect = "more of its requests get 429"
		}
		out = append(out, Change{Text: fmt.Sprintf("workspace %q: quota %s to %s", id, was.Quota.text(), is.Quota.text()), Effect: effect})
	}
	return out
}

func (w *Workspace) tierText() string {
	if !w.HasTier {
		return "tier of the route"
	}
	return fmt.Sprintf("tier %d", w.Tier)
}

// text describes a quota.
func (q Quota) text() string {
	if q.Rate == 0 {
		return "none"
	}
	unit := "requests"
	if q.ByTokens {
		unit = fmt.Sprintf("tokens, %d without a statement,", q.DefaultUnits)
	}
	return fmt.Sprintf("%g %s a second and a burst of %g", q.Rate, unit, q.Burst)
}
