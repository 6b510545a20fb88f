package fleetlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/common/table"
	"monsoondale/core"
)

const (
	// maxCentres is the number of data centres that a report shows.
	maxCentres = 12
	// slowFactor is the slowness, relative to the usual, from which an endpoint is reported.
	slowFactor = 2
	// noticeRetention is how long an endpoint that stated to be leaving is reported if nothing more is known of it.
	noticeRetention = 10 * time.Minute
	// clockMargin is how far the clocks of two instances may be apart.
	clockMargin = time.Second
	// unknownCentre stands for a data centre that no log names.
	unknownCentre = "-"
)

// Report is the state of a fleet at the latest line of its logs.
type Report struct {
	At         time.Time
	Window     time.Duration
	Instances  int
	Versions   map[int]int // instances by the version of the configuration in force; 0 if unknown
	Endpoints  int         // listed, of which Leaving are leaving
	Leaving    int
	Requests   Counts
	Dropped    int // log lines in the window that are missing in the counts
	Centres    []Centre
	Troubled   []Issue // instances
	Closed     []Issue // endpoints that get no or fewer requests from some instances, or that are slow
	Workspaces []Workspace
	Causes     []Cause
}

// Counts holds the number of requests that ended in the window, by what became of them.
type Counts [classes]int

func (c Counts) sum() (n int) {
	for _, v := range c {
		n += v
	}
	return n
}

// Centre sums up a data centre.
type Centre struct {
	Name      core.DataCentre
	Instances int
	Ready     int
	Silent    int // instances that most others of the data centre do not hear
	Unheard   int // instances of other data centres that hear nothing of it
	Requests  Counts
}

// Issue is a state of an instance or an endpoint that calls for attention.
type Issue struct {
	Name   string
	Centre core.DataCentre // of an instance
	State  string
	Since  time.Time
	By     int // instances that state it of another instance or of an endpoint
	Detail string

	rank int // of the state; the lowest is shown first
}

// Workspace is the use of a workspace's quota in the window.
type Workspace struct {
	ID          core.WorkspaceID
	Units       float64 // of requests that were not refused
	Refused     int     // requests that would have exceeded the quota
	Used, Quota float64 // in the window of the quota, at the latest refusal; 0 if none was refused
}

// Cause is why requests were not served.
type Cause struct {
	Status    int
	Reason    string
	Requests  int
	Instances int             // at which that happened
	Most      core.InstanceID // with the most of these requests
	MostCount int
}

// Report returns the state at the latest line of the logs that have been read.
func (f *Fleet) Report() *Report {
	r := &Report{At: f.latest, Window: f.window, Versions: map[int]int{}, Endpoints: f.list.endpoints, Leaving: f.list.leaving}
	centres := map[core.DataCentre]*Centre{}
	f.reportInstances(r, centres)
	f.reportEndpoints(r)
	f.reportRequests(r, centres)
	for _, c := range centres {
		r.Centres = append(r.Centres, *c)
	}
	slices.SortFunc(r.Centres, func(a, b Centre) int { return cmp.Compare(a.Name, b.Name) })
	for _, l := range [][]Issue{r.Troubled, r.Closed} {
		slices.SortFunc(l, func(a, b Issue) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.By, a.By), a.Since.Compare(b.Since), strings.Compare(a.Name, b.Name))
		})
	}
	return r
}

// centreOf returns the data centre of an instance, as itself or others state it.
func (f *Fleet) centreOf(id core.InstanceID) core.DataCentre {
	if i := f.instances[id]; i != nil && i.centre != "" {
		return i.centre
	}
	return cmp.Or(f.centres[id], unknownCentre)
}

// silences maps the instances that others do not hear to those that do not hear them.
func (f *Fleet) silences() map[core.InstanceID][]*instance {
	m := map[core.InstanceID][]*instance{}
	for _, i := range f.instances {
		if !i.stopped.IsZero() {
			continue
		}
		for other := range i.silent {
			m[other] = append(m[other], i)
		}
	}
	return m
}

// silentSince returns since when an instance is not heard by some others.
func silentSince(id core.InstanceID, by []*instance) time.Time {
	first := by[0].silent[id]
	for _, i := range by[1:] {
		if t := i.silent[id]; t.Before(first) {
			first = t
		}
	}
	return first
}

// reportInstances counts instances and finds those that are not as they should be. An instance is silent if at least half of those
// of its data centre that run do not hear it; otherwise those that do not hear it have the problem.
func (f *Fleet) reportInstances(r *Report, centres map[core.DataCentre]*Centre) {
	silences := f.silences()
	running := map[core.DataCentre]int{}
	all := map[core.InstanceID]bool{}
	for id := range silences {
		all[id] = true
	}
	for id, i := range f.instances {
		all[id] = true
		if !i.stopped.IsZero() {
			continue
		}
		// The log of one that died ends with its silence. It must not count among those that could hear others.
		if by := silences[id]; len(by) > 0 && i.last.Before(silentSince(id, by).Add(clockMargin)) {
			continue
		}
		running[f.centreOf(id)]++
		for c := range i.centres {
			centre(centres, c).Unheard++
		}
	}
	deaf := map[*instance]int{} // instances by the number of others that few but they do not hear
	for id := range all {
		i, c, by := f.instances[id], centre(centres, f.centreOf(id)), silences[id]
		c.Instances++
		r.Instances++
		issue := f.issueOf(id, i)
		silent := len(by) > 0 && 2*len(by) >= running[c.Name]-1
		if i != nil && !i.stopped.IsZero() {
			silent = false
		} else if i != nil {
			r.Versions[i.version]++
		}
		if silent {
			c.Silent++
			issue = &Issue{
				Name: string(id), Centre: c.Name, State: "silent", Since: silentSince(id, by), By: len(by), Detail: lo.Ternary(i == nil, "its log was not read", ""),
			}
		} else {
			for _, o := range by {
				deaf[o]++
			}
			if i != nil && i.ready && i.stopping.IsZero() {
				c.Ready++
			}
		}
		if issue != nil {
			r.Troubled = append(r.Troubled, *issue)
		}
	}
	for i, n := range deaf {
		r.Troubled = append(r.Troubled, Issue{
			Name: string(i.name), Centre: f.centreOf(i.name), State: "deaf", Since: slices.MinFunc(lo.Values(i.silent), time.Time.Compare), rank: 1,
			Detail: fmt.Sprintf("does not hear %d instances that most others hear", n),
		})
	}
}

func centre(m map[core.DataCentre]*Centre, name core.DataCentre) *Centre {
	c := m[name]
	if c == nil {
		c = &Centre{Name: name}
		m[name] = c
	}
	return c
}

// issueOf returns what an instance states about itself, or nil if there is nothing to report.
func (f *Fleet) issueOf(id core.InstanceID, i *instance) *Issue {
	if i == nil {
		return nil
	}
	issue := &Issue{Name: string(id), Centre: f.centreOf(id)}
	switch {
	case !i.stopped.IsZero():
		issue.State, issue.Since, issue.rank = "stopped", i.stopped, 6
	case !i.stopping.IsZero():
		issue.State, issue.Since, issue.rank = "stopping", i.stopping, 5
	case !i.ready:
		issue.State, issue.Since, issue.rank = "not ready", i.started, 2
	case len(i.lost) > 0:
		names := slices.Sorted(maps.Keys(i.lost))
		issue.State, issue.rank, issue.Detail = "store lost", 3, strings.Join(names, ", ")
		issue.Since = slices.MinFunc(lo.Values(i.lost), time.Time.Compare)
	case !i.stalled.IsZero() && f.latest.Sub(i.stalled) < f.window:
		issue.State, issue.Since, issue.rank = "stood still", i.stalled.Add(-i.stall), 4
		issue.Detail = "for " + i.stall.Round(time.Millisecond).String()
	default:
		return nil
	}
	return issue
}

// reportEndpoints finds endpoints that get no or fewer requests from some instances, and slow ones.
func (f *Fleet) reportEndpoints(r *Report) {
	issues := map[core.EndpointID]*Issue{}
	add := func(id core.EndpointID, rank int, state string, since time.Time, detail string) {
		e := issues[id]
		if e == nil || rank < e.rank {
			e = &Issue{Name: string(id), State: state, Since: since, Detail: detail, rank: rank}
			issues[id] = e
		}
		if e.rank == rank {
			e.By++
			if since.Before(e.Since) {
				e.Since = since
			}
			e.Detail = max(e.Detail, detail)
		}
	}
	for _, i := range f.instances {
		if !i.stopped.IsZero() {
			continue
		}
		for id, b := range i.endpoints {
			switch {
			case !b.leaving.IsZero() && f.latest.Sub(b.leaving) < noticeRetention:
				add(id, 0, "leaving", b.leaving, "")
			case b.suspended.contains(f.latest):
				add(id, 1, "suspended", b.suspended.from, "until "+formatTime(b.suspended.until))
			case b.waits.contains(f.latest):
				add(id, 2, "waits", b.waits.from, "until "+formatTime(b.waits.until))
			case b.limit.value < b.limit.slots:
				add(id, 3, "limited", b.limit.since, fmt.Sprintf("%d of %d slots: %s", b.limit.value, b.limit.slots, b.limit.why))
			}
		}
	}
	slowness := map[core.EndpointID]mean{}
	first := map[core.EndpointID]int64{}
	for t, s := range f.seconds {
		if !f.inWindow(t) {
			continue
		}
		for id, m := range s.slowness {
			slowness[id] = mean{slowness[id].sum + m.sum, slowness[id].count + m.count}
			if m.sum >= slowFactor*float64(m.count) && (first[id] == 0 || t < first[id]) {
				first[id] = t
			}
		}
	}
	for id, m := range slowness {
		if v := m.sum / float64(m.count); v >= slowFactor {
			if issues[id] == nil {
				add(id, 4, "slow", time.Unix(first[id], 0).UTC(), fmt.Sprintf("%.1f times the usual time", v))
				issues[id].By = 0
			}
		}
	}
	for _, e := range issues {
		r.Closed = append(r.Closed, *e)
	}
}

// reportRequests counts the requests that ended in the window.
func (f *Fleet) reportRequests(r *Report, centres map[core.DataCentre]*Centre) {
	type key struct {
		status int
		reason string
	}
	causes := map[key]map[core.InstanceID]int{}
	workspaces := map[core.WorkspaceID]use{}
	for t, s := range f.seconds {
		if !f.inWindow(t) {
			continue
		}
		r.Dropped += s.dropped
		for o, n := range s.requests {
			r.Requests[o.class] += n
			centre(centres, f.centreOf(o.instance)).Requests[o.class] += n
			if o.class == served {
				continue
			}
			k := key{o.status, o.reason}
			if causes[k] == nil {
				causes[k] = map[core.InstanceID]int{}
			}
			causes[k][o.instance] += n
		}
		for id, u := range s.workspaces {
			sum := workspaces[id]
			sum.units += u.units
			sum.refused += u.refused
			if u.at.After(sum.at) {
				sum.at, sum.used, sum.quota = u.at, u.used, u.quota
			}
			workspaces[id] = sum
		}
	}
	for k, at := range causes {
		c := Cause{Status: k.status, Reason: k.reason, Instances: len(at)}
		for _, id := range slices.Sorted(maps.Keys(at)) {
			c.Requests += at[id]
			if at[id] > c.MostCount {
				c.Most, c.MostCount = id, at[id]
			}
		}
		r.Causes = append(r.Causes, c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Status, b.Status), strings.Compare(a.Reason, b.Reason))
	})
	for id, u := range workspaces {
		r.Workspaces = append(r.Workspaces, Workspace{ID: id, Units: u.units, Refused: u.refused, Used: u.used, Quota: u.quota})
	}
	slices.SortFunc(r.Workspaces, func(a, b Workspace) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Units, a.Units), cmp.Compare(a.ID, b.ID))
	})
}

// Write writes the report: sums, and at most rows entries of each list of exceptions, however large the fleet is.
func (r *Report) Write(w io.Writer, rows int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	r.writeHead(t)
	fmt.Fprintln(t, "\nCENTRE\tINSTANCES\tREADY\tSILENT\tUNHEARD BY\tREQUESTS\tSERVED\tREFUSED\tFAILED\tINVALID\tLEFT")
	table.Rows(t, r.Centres, maxCentres, func(c Centre) {
		n := c.Requests
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Instances, c.Ready, c.Silent, c.Unheard, n.sum(), n[served], n[refused], n[failed], n[invalid], n[left])
	})
	if len(r.Troubled) > 0 {
		fmt.Fprintf(t, "\nINSTANCES: %s\nNAME\tCENTRE\tSTATE\tSINCE\tBY\tDETAIL\n", countStates(r.Troubled))
		table.Rows(t, r.Troubled, rows, func(i Issue) {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", i.Name, i.Centre, i.State, formatTime(i.Since), formatBy(i.By), cmp.Or(i.Detail, "-"))
		})
	}
	if len(r.Closed) > 0 {
		fmt.Fprintf(t, "\nENDPOINTS: %s\nNAME\tSTATE\tSINCE\tBY\tDETAIL\n", countStates(r.Closed))
		table.Rows(t, r.Closed, rows, func(i Issue) {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", i.Name, i.State, formatTime(i.Since), formatBy(i.By), cmp.Or(i.Detail, "-"))
		})
	}
	if len(r.Workspaces) > 0 {
		over := lo.CountBy(r.Workspaces, func(u Workspace) bool { return u.Refused > 0 })
		fmt.Fprintf(t, "\nQUOTAS: %d workspaces active, %d with refusals\nNAME\tUNITS\tREFUSED\tUSED OF QUOTA\n", len(r.Workspaces), over)
		table.Rows(t, r.Workspaces, rows, func(u Workspace) {
			fmt.Fprintf(t, "%s\t%.0f\t%d\t%s\n", u.ID, u.Units, u.Refused, lo.Ternary(u.Quota > 0, fmt.Sprintf("%.0f of %.0f", u.Used, u.Quota), "-"))
		})
	}
	if len(r.Causes) > 0 {
		fmt.Fprintln(t, "\nNOT SERVED\nSTATUS\tCAUSE\tREQUESTS\tINSTANCES\tMOST AT")
		table.Rows(t, r.Causes, rows, func(c Cause) {
			fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%s (%d)\n", c.Status, c.Reason, c.Requests, c.Instances, c.Most, c.MostCount)
		})
	}
	return errors.Wrap(t.Flush(), "write")
}

func (r *Report) writeHead(w io.Writer) {
	versions := slices.Sorted(maps.Keys(r.Versions))
	slices.Reverse(versions)
	var texts []string
	for _, v := range versions {
		texts = append(texts, fmt.Sprintf("%s on %d", lo.Ternary(v == 0, "unknown", fmt.Sprint(v)), r.Versions[v]))
	}
	const maxVersions = 3
	if len(texts) > maxVersions {
		texts = append(texts[:maxVersions:maxVersions], "others")
	}
	fmt.Fprintf(w, "%s, last %v: %d instances, %d endpoints listed (%d leaving), configuration %s\n",
		r.At.UTC().Format(time.RFC3339), r.Window, r.Instances, r.Endpoints, r.Leaving, strings.Join(texts, ", "))
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d log lines were dropped, so that the counts are too low\n", r.Dropped)
	}
}

// countStates returns the number of issues by state, in the order of the issues.
func countStates(l []Issue) string {
	var texts []string
	for rest := l; len(rest) > 0; {
		n := lo.CountBy(rest, func(i Issue) bool { return i.State == rest[0].State })
		texts = append(texts, fmt.Sprintf("%d %s", n, rest[0].State))
		rest = rest[n:]
	}
	return strings.Join(texts, ", ")
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.0") }

// formatBy formats the number of instances that state something.
func formatBy(n int) string { return lo.Ternary(n > 0, fmt.Sprint(n), "-") }
