package commands

import (
	"context"
	"fmt"
	"io"
	"strings"
)

// getCmd prints a template or workspace, or lists them.
type getCmd struct {
	apiFlags
	outputFlags
	Kind string `arg:"" enum:"template,workspace" help:"template or workspace."`
	Name string `arg:"" optional:"" help:"Name of the object; without it all objects are listed."`
}

// Run prints the document as it was applied. The version goes to standard error, so that the output can be edited and
// applied again with --version.
func (c *getCmd) Run(s *streams) error {
	ctx, client := context.Background(), c.client()
	if c.Name == "" {
		list, err := client.List(ctx, c.Kind)
		if err != nil {
			return err
		}
		return c.print(s, list, func(w io.Writer) {
			fmt.Fprintln(w, "NAME\tVERSION\tAUTHOR\tTIME")
			for _, o := range list.Items {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", o.Name, o.Version, o.Author, formatTime(o.Time))
			}
		})
	}
	o, err := client.Get(ctx, c.Kind, c.Name)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(s.out, o)
	}
	fmt.Fprintf(s.err, "%s/%s version %d, changed by %s at %s\n", o.Kind, o.Name, o.Version, o.Author, formatTime(o.Time))
	fmt.Fprintln(s.out, strings.TrimSuffix(o.Text, "\n"))
	return nil
}
