package commands

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/common/table"
	"monsoondale/io/operator"
	wire "monsoondale/wire/operator"
)

// clearScreen is the ANSI sequence that moves the cursor to the upper left and erases the screen.
const clearScreen = "\x1b[H\x1b[2J"

// Limits of the output for a large fleet, which fits on a screen.
const (
	maxListed      = 20 // instances up to which a fleet is not large
	maxCentres     = 12
	maxExceptions  = 8 // instances that need attention
	maxProblems    = 4
	maxDetailLines = 1 // of each problem
)

// statusCmd prints the configuration in force on each instance, and the objects whose latest version is not fully in
// force.
type statusCmd struct {
	apiFlags
	outputFlags
	All   bool          `help:"List all instances and problems, also if they do not fit on a screen."`
	Watch bool          `short:"w" help:"Read the status again and again until interrupted: a table in a terminal, else a line for each change (with -o json: a document for each reading)."`
	Every time.Duration `default:"2s" help:"Time between two readings of --watch."`
	Count int           `placeholder:"N" help:"End --watch after N readings; 0 is without end."`
}

// Run prints the status from the view of the called instance.
func (c *statusCmd) Run(s *streams) error {
	if c.Watch {
		if c.Every <= 0 || c.Count < 0 {
			return usagef("--every must be above 0s and --count not negative")
		}
		return c.watch(s)
	}
	st, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	return c.print(s, st, func(w io.Writer) { c.printStatus(w, st) })
}

// printStatus prints the instances and the problems. Of a large fleet, it prints sums by data centre and the exceptions.
func (c *statusCmd) printStatus(w io.Writer, st wire.Status) {
	fmt.Fprintf(w, "revision %d on %s, %d workspaces, log level %s\n", st.Revision, st.Instance, st.Workspaces, lo.CoalesceOrEmpty(st.Level, "-"))
	instances, rows, problems, lines := st.Instances, math.MaxInt, math.MaxInt, math.MaxInt
	if len(instances) > maxListed && !c.All {
		printCentres(w, instances)
		instances, rows, problems, lines = exceptions(instances), maxExceptions, maxProblems, maxDetailLines
	}
	if len(instances) > 0 {
		fmt.Fprintln(w, "\nINSTANCE\tCENTRE\tSTATE\tREADY\tREVISION\tHEARD")
	}
	table.Rows(w, instances, rows, func(i wire.Instance) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d ms ago\n", i.Name, i.Centre, i.State, i.Ready, i.Revision, i.Age)
	})
	if len(st.Problems) > 0 {
		fmt.Fprintln(w, "\nNOT IN FORCE AS WRITTEN")
	}
	table.Rows(w, st.Problems, problems, func(p wire.Problem) {
		in := lo.Ternary(p.Stale, "an earlier form is in force", "nothing of it is in force")
		fmt.Fprintf(w, "%s/%s version %d (%s)\n", p.Kind, p.Name, p.Version, in)
		table.Rows(w, strings.Split(p.Detail, "\n"), lines, func(line string) { fmt.Fprintf(w, "  %s\n", line) })
	})
}

// printCentres prints a line for each data centre.
func printCentres(w io.Writer, instances []wire.Instance) {
	newest := newestRevision(instances)
	centres := lo.GroupBy(instances, func(i wire.Instance) string { return i.Centre })
	fmt.Fprintln(w, "\nCENTRE\tINSTANCES\tLIVE\tREADY\tNEWEST REVISION")
	names := lo.Keys(centres)
	slices.Sort(names)
	table.Rows(w, names, maxCentres, func(name string) {
		l := centres[name]
		live := lo.CountBy(l, func(i wire.Instance) bool { return i.State == "live" })
		ready := lo.CountBy(l, func(i wire.Instance) bool { return i.Ready })
		current := lo.CountBy(l, func(i wire.Instance) bool { return i.Revision == newest })
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", name, len(l), live, ready, current)
	})
}

// exceptions returns the instances that are not live, not ready or behind, those first that were heard longest ago.
func exceptions(instances []wire.Instance) []wire.Instance {
	newest := newestRevision(instances)
	l := lo.Filter(instances, func(i wire.Instance, _ int) bool { return i.State != "live" || !i.Ready || i.Revision < newest })
	slices.SortStableFunc(l, func(a, b wire.Instance) int { return cmp.Compare(b.Age, a.Age) })
	return l
}

func newestRevision(instances []wire.Instance) int {
	return lo.Max(lo.Map(instances, func(i wire.Instance, _ int) int { return i.Revision }))
}

// watch prints the status at an interval. If the instance does not respond, which may be because it restarts, watch
// prints the error and tries again. A refused request, such as one with a wrong key, ends the command.
func (c *statusCmd) watch(s *streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	client := c.client()
	printReading := c.changePrinter(s)
	switch {
	case c.Output == "json":
		printReading = func(_ time.Time, st wire.Status, err error) error {
			if err != nil {
				fmt.Fprintln(s.err, "monsoondale:", err)
				return nil
			}
			return errors.Wrap(json.NewEncoder(s.out).Encode(st), "write output")
		}
	case s.terminal:
		printReading = c.screenPrinter(s)
	}
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	for n := 1; ; n++ {
		st, err := client.Status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if refused := (*operator.APIError)(nil); errors.As(err, &refused) {
			return err
		}
		if err := printReading(time.Now(), st, err); err != nil {
			return err
		}
		if n == c.Count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// screenPrinter returns a function that replaces the contents of the terminal. After an error it shows the last status.
func (c *statusCmd) screenPrinter(s *streams) func(time.Time, wire.Status, error) error {
	var last wire.Status
	var readAt time.Time
	return func(now time.Time, st wire.Status, err error) error {
		if err == nil {
			last, readAt = st, now
		}
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(w, "%s%s  %s, every %v\n", clearScreen, now.Format(time.TimeOnly), c.Server, c.Every)
		if err != nil {
			fmt.Fprintf(w, "no answer: %v\n", err)
		}
		if !readAt.IsZero() {
			fmt.Fprintf(w, "read at %s\n\n", readAt.Format(time.TimeOnly))
			c.printStatus(w, last)
		}
		return errors.Wrap(w.Flush(), "write output")
	}
}

// changePrinter returns a function that prints a line for each difference from the previous reading.
func (c *statusCmd) changePrinter(s *streams) func(time.Time, wire.Status, error) error {
	previous := map[string]string{}
	return func(now time.Time, st wire.Status, err error) error {
		current := map[string]string{}
		if err != nil {
			current[c.Server] = "no answer: " + err.Error()
		} else {
			current[c.Server] = fmt.Sprintf("revision %d, %d workspaces", st.Revision, st.Workspaces)
			for _, i := range st.Instances {
				current[i.Name] = fmt.Sprintf("centre %s, %s, %s, revision %d", i.Centre, i.State, lo.Ternary(i.Ready, "ready", "not ready"), i.Revision)
			}
			for _, p := range st.Problems {
				current[p.Kind+"/"+p.Name] = fmt.Sprintf("version %d is not in force: %s", p.Version, strings.ReplaceAll(p.Detail, "\n", "; "))
			}
			for name := range previous {
				if _, ok := current[name]; !ok && previous[name] != noLongerShown {
					current[name] = noLongerShown
				}
			}
		}
		names := lo.Keys(current)
		slices.Sort(names)
		for _, name := range names {
			if text := current[name]; previous[name] != text {
				previous[name] = text
				if _, err := fmt.Fprintf(s.out, "%s %s: %s\n", now.UTC().Format(time.RFC3339), name, text); err != nil {
					return errors.Wrap(err, "write output")
				}
			}
		}
		return nil
	}
}

// noLongerShown is printed for an instance that is no longer listed, or a problem that is solved.
const noLongerShown = "no longer shown"
