package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"monsoondale/wire/operator"
)

// group is a set of rows that a table shows as one line.
type group struct {
	Name   string
	Counts operator.Counts
}

func groupBy(rows []operator.Row, name func(operator.Row) string) []group {
	sums := map[string]*operator.Counts{}
	for _, r := range rows {
		n := name(r)
		if sums[n] == nil {
			sums[n] = &operator.Counts{}
		}
		addCounts(sums[n], r.Counts)
	}
	out := lo.MapToSlice(sums, func(n string, c *operator.Counts) group { return group{n, *c} })
	slices.SortFunc(out, func(a, b group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// column is a column of the tables.
type column struct {
	Title string
	Value func(operator.Counts) int
}

var outcomeColumns = []column{
	{"asked", func(c operator.Counts) int { return c.Asked }},
	{"on time", func(c operator.Counts) int { return c.Ontime }},
	{"late", func(c operator.Counts) int { return c.Late }},
	{"refused", func(c operator.Counts) int { return c.Refused }},
	{"failed", func(c operator.Counts) int { return c.Failed }},
	{"unknown", func(c operator.Counts) int { return c.Unknown }},
	{"in progress", func(c operator.Counts) int { return c.Running }},
	{"lost", func(c operator.Counts) int { return c.Lost }},
}

var tokenColumns = []column{
	{"prefilled", func(c operator.Counts) int { return c.Prefilled }},
	{"cached", func(c operator.Counts) int { return c.Cached }},
	{"generated", func(c operator.Counts) int { return c.Generated }},
	{"cancelled: wasted", func(c operator.Counts) int { return c.Thrown.Cancelled }},
	{"failed: wasted", func(c operator.Counts) int { return c.Thrown.Failed }},
	{"late: wasted", func(c operator.Counts) int { return c.Thrown.Late }},
	{"suspended: wasted", func(c operator.Counts) int { return c.Thrown.Suspended }},
}

// tokenBarColumns count each token once, for stacked bars. In tokenColumns the prefilled tokens include the cached ones.
var tokenBarColumns = []column{
	{"prefilled", func(c operator.Counts) int { return c.Prefilled - c.Cached }},
	{"from cache", func(c operator.Counts) int { return c.Cached }},
	{"generated", func(c operator.Counts) int { return c.Generated }},
}

var orderColumns = []column{
	{"claimed", func(c operator.Counts) int { return c.Orders.Claimed }},
	{"done", func(c operator.Counts) int { return c.Orders.Done }},
	{"failed", func(c operator.Counts) int { return c.Orders.Failed }},
	{"void", func(c operator.Counts) int { return c.Orders.Void }},
	{"unknown", func(c operator.Counts) int { return c.Orders.Unknown }},
}

// table is a titled table of groups. It shows queue times if Bounds is set.
type table struct {
	Title   string
	Columns []column
	Groups  []group
	Bounds  []int
}

// Head returns the column titles.
func (t table) Head() []string {
	head := append([]string{"name"}, lo.Map(t.Columns, func(c column, _ int) string { return c.Title })...)
	if t.Bounds != nil {
		head = append(head, "mean wait", "median", "95 %", "99 %")
	}
	return head
}

// Body returns the cells of all rows.
func (t table) Body() [][]string {
	return lo.Map(t.Groups, func(g group, _ int) []string {
		cells := append([]string{g.Name}, lo.Map(t.Columns, func(c column, _ int) string { return fmt.Sprint(c.Value(g.Counts)) })...)
		if t.Bounds != nil {
			w := g.Counts.Waits
			mean := "-"
			if w.Count > 0 {
				mean = microseconds(w.Sum / w.Count).Round(10 * time.Microsecond).String()
			}
			cells = append(cells, mean, quantile(w, t.Bounds, 0.5), quantile(w, t.Bounds, 0.95), quantile(w, t.Bounds, 0.99))
		}
		return cells
	})
}

func microseconds(n int) time.Duration { return time.Duration(n) * time.Microsecond }

// quantile returns the upper bound of the bucket that contains quantile q.
func quantile(w operator.Waits, bounds []int, q float64) string {
	seen := 0
	for i, n := range w.Buckets {
		if seen += n; n > 0 && float64(seen) >= q*float64(w.Count) {
			if i < len(bounds) {
				return "≤ " + microseconds(bounds[i]).String()
			}
			return "> " + microseconds(bounds[len(bounds)-1]).String()
		}
	}
	return "-"
}

func tierName(r operator.Row) string { return fmt.Sprintf("tier %d", r.Tier) }

func tables(rep operator.Report) []table {
	tiers := append(groupBy(rep.Rows, tierName), group{"all", rep.Total})
	kinds := groupBy(rep.Rows, func(r operator.Row) string { return r.Kind })
	workspaces := groupBy(rep.Rows, func(r operator.Row) string { return r.Workspace })
	rows := groupBy(rep.Rows, func(r operator.Row) string { return fmt.Sprintf("%s / %s / tier %d", r.Workspace, r.Kind, r.Tier) })
	return []table{
		{"Requests by tier", outcomeColumns, tiers, rep.Bounds},
		{"Requests by kind of work", outcomeColumns, kinds, rep.Bounds},
		{"Requests by workspace", outcomeColumns, workspaces, rep.Bounds},
		{"Requests by workspace, kind and tier", outcomeColumns, rows, nil},
		{"Tokens by tier", tokenColumns, tiers, nil},
		{"Tokens by workspace", tokenColumns, workspaces, nil},
		{"Orders by workspace", orderColumns, lo.Filter(workspaces, func(g group, _ int) bool { return g.Counts.Orders.Claimed > 0 }), nil},
	}
}

func formatTime(ms int) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

// coverage lists the instances and intervals that the counts cover, and those that are missing.
func coverage(rep operator.Report) (covered, missing []string) {
	for _, s := range rep.Sources {
		covered = append(covered, fmt.Sprintf("%s (start %.8s): %s to %s, %s", s.Instance, s.Start, formatTime(s.Since), formatTime(s.Time), s.State))
	}
	for _, m := range rep.Missing {
		if m.Instance == StoredCounts {
			missing = append(missing, fmt.Sprintf("%s: not readable at %s; instances that have ended may be missing", m.Instance, formatTime(m.Until)))
		} else if m.Since == 0 {
			missing = append(missing, fmt.Sprintf("%s: no counts up to %s", m.Instance, formatTime(m.Until)))
		} else {
			missing = append(missing, fmt.Sprintf("%s: from %s to %s", m.Instance, formatTime(m.Since), formatTime(m.Until)))
		}
	}
	return covered, missing
}

// remarks explains what the counts leave out or estimate.
func remarks(rep operator.Report) []string {
	out := []string{
		"Requests that were rejected before they were accepted belong to no workspace; each instance counts them in rejected_<code>_total.",
		"Tokens are estimates where the engine reported none, as for requests that ended early.",
	}
	if slices.ContainsFunc(rep.Rows, func(r operator.Row) bool { return r.Workspace == OtherWorkspaces }) {
		out = append(out, OtherWorkspaces+" stands for the workspaces with the fewest requests, which are stored together.")
	}
	return out
}

// WriteText writes the report as aligned plain text.
func WriteText(w io.Writer, rep operator.Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "Report of %s\n", formatTime(rep.Time))
	for _, t := range tables(rep) {
		if len(t.Groups) == 0 {
			continue
		}
		fmt.Fprintf(tw, "\n%s\n\n%s\n", t.Title, strings.Join(t.Head(), "\t"))
		for _, row := range t.Body() {
			fmt.Fprintln(tw, strings.Join(row, "\t"))
		}
	}
	covered, missing := coverage(rep)
	fmt.Fprintf(tw, "\nCovered\n\n%s\n", strings.Join(covered, "\n"))
	if len(missing) > 0 {
		fmt.Fprintf(tw, "\nMissing\n\n%s\n", strings.Join(missing, "\n"))
	}
	fmt.Fprintf(tw, "\nRemarks\n\n%s\n", strings.Join(remarks(rep), "\n"))
	return errors.Wrap(tw.Flush(), "write report")
}

var htmlTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Report of {{.Time}}</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
.missing { border-left: 4px solid #c00; padding-left: 1em; }
</style>
</head>
<body>
<h1>Report of {{.Time}}</h1>
{{with .Missing}}<div class="missing"><h2>Missing</h2><ul>{{range .}}<li>{{.}}</li>{{end}}</ul></div>{{end}}
{{range .Charts}}<figure>{{.}}</figure>
{{end}}
{{range .Tables}}{{if .Groups}}<h2>{{.Title}}</h2>
<table><thead><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr></thead>
<tbody>{{range .Body}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</tbody></table>
{{end}}{{end}}
<h2>Covered</h2>
<ul>{{range .Covered}}<li>{{.}}</li>
{{end}}</ul>
<h2>Remarks</h2>
<ul>{{range .Remarks}}<li>{{.}}</li>
{{end}}</ul>
</body>
</html>
`))

// WriteHTML writes the report as one HTML page without external resources. The charts are inline SVG.
func WriteHTML(w io.Writer, rep operator.Report) error {
	tiers := groupBy(rep.Rows, tierName)
	workspaces := groupBy(rep.Rows, func(r operator.Row) string { return r.Workspace })
	slices.SortStableFunc(workspaces, func(a, b group) int { return cmp.Compare(b.Counts.Asked, a.Counts.Asked) })
	var charts []template.HTML
	for _, c := range []struct {
		title   string
		groups  []group
		columns []column
	}{
		{"Requests by tier", tiers, outcomeColumns[1:]},
		{"Requests of the largest workspaces", lo.Slice(workspaces, 0, maxBars), outcomeColumns[1:]},
		{"Tokens by tier", tiers, tokenBarColumns},
	} {
		if len(c.groups) == 0 {
			continue
		}
		svg, err := drawChart(c.title, c.groups, c.columns)
		if err != nil {
			return err
		}
		charts = append(charts, svg)
	}
	covered, missing := coverage(rep)
	return errors.Wrap(htmlTemplate.Execute(w, map[string]any{
		"Time": formatTime(rep.Time), "Charts": charts, "Tables": tables(rep), "Covered": covered, "Missing": missing,
		"Remarks": remarks(rep),
	}), "write report")
}

// maxBars is the maximum number of bars in a chart. The labels of more bars would overlap.
const maxBars = 8

// palette holds the bar colours in the order of outcomeColumns, without "asked".
var palette = []color.Color{
	color.RGBA{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff},
	color.RGBA{R: 0xf9, G: 0xa8, B: 0x25, A: 0xff},
	color.RGBA{R: 0x54, G: 0x6e, B: 0x7a, A: 0xff},
	color.RGBA{R: 0xc6, G: 0x28, B: 0x28, A: 0xff},
	color.RGBA{R: 0x6a, G: 0x1b, B: 0x9a, A: 0xff},
	color.RGBA{R: 0x15, G: 0x65, B: 0xc0, A: 0xff},
	color.RGBA{R: 0x21, G: 0x21, B: 0x21, A: 0xff},
}

// drawChart draws a stacked bar for each group.
func drawChart(title string, groups []group, columns []column) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var below *plotter.BarChart
	for i, c := range columns {
		values := plotter.Values(lo.Map(groups, func(g group, _ int) float64 { return float64(c.Value(g.Counts)) }))
		if lo.Sum(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, vg.Points(30))
		if err != nil {
			return "", errors.Wrap(err, "draw chart")
		}
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(c.Title, bars)
	}
	p.NominalX(lo.Map(groups, func(g group, _ int) string { return lo.Ellipsis(g.Name, 16) })...)
	// Leaves room for whole bars at both ends and for the legend on the right.
	p.X.Min, p.X.Max = -0.5, float64(len(groups))*1.25
	p.Y.Max = max(p.Y.Max, 1)
	canvas := vgsvg.New(vg.Points(720), vg.Points(280))
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "draw chart")
	}
	// Inline SVG has no XML declaration. The plot library escapes the labels.
	return template.HTML(b.Bytes()[max(bytes.Index(b.Bytes(), []byte("<svg")), 0):]), nil
}
