package commands

import (
	"context"

	"monsoondale/core/report"
)

// reportCmd prints the outcomes of the requests of all instances.
type reportCmd struct {
	apiFlags
	Output string `short:"o" enum:"text,json,html" default:"text" help:"Form of the output: text, json or html."`
}

// Run prints the report, which also lists the instances and intervals without counts.
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
