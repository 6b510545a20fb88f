package commands

import (
	"context"

	"monsoondale/core"
	"monsoondale/io/operator"
)

// deleteCmd deletes a template or workspace.
type deleteCmd struct {
	apiFlags
	outputFlags
	Kind    string `arg:"" enum:"template,workspace" help:"template or workspace."`
	Name    string `arg:"" help:"Name of the object."`
	DryRun  bool   `help:"Check the deletion without making it."`
	Version int    `default:"-1" placeholder:"N" help:"Delete only if the current version is N."`
}

// Run deletes the object. The server refuses to delete a template that workspaces use.
func (c *deleteCmd) Run(s *streams) error {
	ctx, client := context.Background(), c.client()
	version := c.Version
	if version <= 0 {
		var err error
		if version, err = currentVersion(ctx, client, c.Kind, c.Name); err != nil {
			return err
		}
		if version == 0 {
			return core.Errorf(core.CodeNoSuchObject, "%s/%s", c.Kind, c.Name)
		}
	}
	ch, err := client.Delete(ctx, operator.Change{Kind: c.Kind, Name: c.Name, Version: version, DryRun: c.DryRun})
	if err != nil {
		return printConflict(s, err)
	}
	if c.Output == "json" {
		return printJSON(s.out, ch)
	}
	printChange(s.out, ch)
	return nil
}
