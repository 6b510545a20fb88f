package commands

import (
	"fmt"
	"io"

	"monsoondale/core"
)

// codesCmd prints the result codes as a Markdown table; docs/codes.md holds its output.
type codesCmd struct{}

// Run prints the table.
func (*codesCmd) Run(s *streams) error {
	printCodes(s.out)
	return nil
}

func printCodes(w io.Writer) {
	fmt.Fprintln(w, "| code | class | name | status | meaning | what to do |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, c := range core.Codes {
		fmt.Fprintf(w, "| %d | %s | %s | %d | %s | %s |\n", c.Code, c.Code.Class(), c.Name, c.Status, c.Meaning, c.Advice)
	}
}
