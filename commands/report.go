package commands

import (
	"context"

	"monsoondale/core/report"
)

// reportCmd prints what became of the requests of all instances.
type reportCmd struct {
	api
	Output string `short:"o" enum:"text,json,html" default:"text" help:"Form of the output: text, json or html."`
}

// Run prints the report; instances and intervals without counts are listed in it.
func (c *reportCmd) Run(s *streams) error {
	rep, err := c.client().Report(context.Background())
	if err != nil {
		return err
	}
	switch c.Output {
	case "json":
		return printJSON(s.out, rep)
	case "html":
		return report.WriteHTML(s.out, rep)
	}
	return report.WriteText(s.out, rep)
}
