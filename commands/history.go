package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/samber/lo"
)

// historyCmd lists changes, latest first.
type historyCmd struct {
	apiFlags
	outputFlags
	Kind  string `arg:"" optional:"" enum:",template,workspace" default:"" help:"template or workspace; both if it is missing."`
	Name  string `arg:"" optional:"" help:"Name of the object; all objects if it is missing."`
	Limit int    `default:"50" help:"Number of changes, up to 1000."`
}

// Run prints one line for each change.
func (c *historyCmd) Run(s *streams) error {
	h, err := c.client().History(context.Background(), c.Kind, c.Name, c.Limit)
	if err != nil {
		return err
	}
	return c.print(s, h, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tOBJECT\tACTION")
		for _, e := range h.Items {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s/%s\t%s\n", e.Version, formatTime(e.Time), lo.CoalesceOrEmpty(e.Author, "-"), e.Kind, e.Name, lo.Ternary(e.Deleted, "deleted", "applied"))
		}
	})
}
