package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/io/operator"
	wire "monsoondale/wire/operator"
)

// clearScreen is the ANSI sequence that moves the cursor to the upper left and erases the screen.
const clearScreen = "\x1b[H\x1b[2J"

// statusCmd prints the configuration in force on each instance, and the objects whose latest version is not fully in
// force.
type statusCmd struct {
	apiFlags
	outputFlags
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
	return c.print(s, st, func(w io.Writer) { printStatus(w, st) })
}

func printStatus(w io.Writer, st wire.Status) {
	fmt.Fprintf(w, "revision %d on %s, %d workspaces, log level %s\n", st.Revision, st.Instance, st.Workspaces, lo.CoalesceOrEmpty(st.Level, "-"))
	fmt.Fprintln(w, "\nINSTANCE\tCENTRE\tSTATE\tREADY\tREVISION\tHEARD")
	for _, i := range st.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d ms ago\n", i.Name, i.Centre, i.State, i.Ready, i.Revision, i.Age)
	}
	if len(st.Problems) > 0 {
		fmt.Fprintln(w, "\nNOT IN FORCE AS WRITTEN")
	}
	for _, p := range st.Problems {
		in := lo.Ternary(p.Stale, "an earlier form is in force", "nothing of it is in force")
		fmt.Fprintf(w, "%s/%s version %d (%s)\n  %s\n", p.Kind, p.Name, p.Version, in, strings.ReplaceAll(p.Detail, "\n", "\n  "))
	}
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
			printStatus(w, last)
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
