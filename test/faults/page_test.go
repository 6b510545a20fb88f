package faults

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
)

var writePage = flag.Bool("write", false, "write the tables into docs/faults.md")

const pageFile = "../../docs/faults.md"

// pageTables collects the tables of the tests by section.
type pageTables struct{ names, texts []string }

var page pageTables

// add logs the table of a section and keeps it for the page.
func (p *pageTables) add(t *testing.T, name, text string) {
	t.Log("\n" + text)
	p.names, p.texts = append(p.names, name), append(p.texts, text)
}

// save replaces the tables between their markers in the page.
func (p *pageTables) save() error {
	b, err := os.ReadFile(pageFile)
	if err != nil {
		return err
	}
	s := string(b)
	for i, name := range p.names {
		begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
		head, rest, ok := strings.Cut(s, begin)
		_, tail, ok2 := strings.Cut(rest, end)
		if !ok || !ok2 {
			return fmt.Errorf("%s has no markers for section %q", pageFile, name)
		}
		s = head + begin + "\n" + p.texts[i] + "\n" + end + tail
	}
	return os.WriteFile(pageFile, []byte(s), 0o644)
}

// verdict is the short form of a result in the matrix.
func (res result) verdict() string {
	if len(res.violations)+len(res.problems) > 0 {
		return "FAIL"
	}
	for long, short := range map[string]string{"complete": "ok", "not run ": "", "failed ": "", "unknown ": "", "accepted": "ok"} {
		if s, ok := strings.CutPrefix(res.outcome, long); ok {
			return strings.TrimSpace(short + s)
		}
	}
	switch {
	case res.cell.workload == "drain":
		return "ok"
	case strings.HasPrefix(res.outcome, "in force"):
		return lo.Ternary(strings.HasSuffix(res.outcome, "true"), "moved", "ok")
	case res.cell.workload == "flood":
		return strings.Fields(res.outcome)[0] + " shed"
	}
	return res.outcome
}

// matrix renders the results: one table for each workload with the faults as rows and the steps as columns, and a list
// of the pairs.
func matrix(results []result) string {
	var b strings.Builder
	failed := lo.CountBy(results, func(x result) bool { return x.verdict() == "FAIL" })
	fmt.Fprintf(&b, "%d cells, %d failed.\n", len(results), failed)
	for _, work := range []string{"chat", "order", "change", "drain", "command", "flood"} {
		fmt.Fprintf(&b, "\n### %s\n\n| fault | %s |\n|---|%s\n", work, strings.Join(steps[work], " | "), strings.Repeat("---|", len(steps[work])))
		for _, f := range faults {
			if !applies(f, work) {
				continue
			}
			row := lo.Map(steps[work], func(step string, _ int) string {
				x, ok := lo.Find(results, func(x result) bool {
					return x.cell.workload == work && x.cell.step == step && len(x.cell.faults) == 1 && x.cell.faults[0].name == f.name
				})
				return lo.Ternary(ok, x.verdict(), "not run here")
			})
			fmt.Fprintf(&b, "| %s | %s |\n", f.name, strings.Join(row, " | "))
		}
	}
	b.WriteString("\n### pairs\n\n| work | step | first fault | second fault | after | result |\n|---|---|---|---|---|---|\n")
	var rows []string
	for _, x := range results {
		if c := x.cell; len(c.faults) == 2 {
			rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %v | %s |\n", c.workload, c.step, c.faults[0].name, c.faults[1].name, c.gap, x.verdict()))
		}
	}
	slices.Sort(rows)
	b.WriteString(strings.Join(rows, ""))
	return b.String()
}
