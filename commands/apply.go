package commands

import (
	"context"
	"fmt"
	"io"

	"monsoondale/io/operator"
	wire "monsoondale/wire/operator"
)

// applyCmd creates or replaces templates and workspaces. It reports a conflict and never retries, because the operator
// has to see the other change first.
type applyCmd struct {
	apiFlags
	outputFlags
	Files   []string `arg:"" name:"file" predictor:"file" help:"Documents to apply in this order; - reads standard input."`
	DryRun  bool     `help:"Check the documents and show what would change, without changing anything."`
	Version int      `default:"-1" placeholder:"N" help:"Apply only if the current version is N; 0 if the object must not exist yet. Needs a single file."`
}

// Run applies the documents in order and stops at the first that is refused.
func (c *applyCmd) Run(s *streams) error {
	if c.Version >= 0 && len(c.Files) > 1 {
		return usagef("--version needs a single file")
	}
	ctx, client := context.Background(), c.client()
	var changes []wire.Change
	for _, path := range c.Files {
		o, err := readDocument(s, path)
		if err != nil {
			return err
		}
		version := c.Version
		if version < 0 {
			if version, err = currentVersion(ctx, client, o.Kind, o.Name); err != nil {
				return err
			}
		}
		ch, err := client.Put(ctx, operator.Change{Kind: o.Kind, Name: o.Name, File: o.File, Text: o.Value, Version: version, DryRun: c.DryRun})
		if err != nil {
			return printConflict(s, err)
		}
		changes = append(changes, ch)
		if c.Output == "text" {
			printChange(s.out, ch)
		}
	}
	if c.Output == "json" {
		return printJSON(s.out, changes)
	}
	return nil
}

func printChange(w io.Writer, c wire.Change) {
	if c.Trial && c.Diff != "" {
		fmt.Fprintln(w, c.Diff)
	}
	state := fmt.Sprintf("now has version %d", c.Version)
	switch {
	case c.Unchanged:
		state = fmt.Sprintf("is unchanged at version %d", c.Version)
	case c.Trial && c.Deleted:
		state = "would be deleted"
	case c.Trial:
		state = "would be changed"
	case c.Deleted:
		state = "is deleted"
	}
	fmt.Fprintf(w, "%s/%s %s (%d workspaces affected)\n", c.Kind, c.Name, state, c.Affected)
}
