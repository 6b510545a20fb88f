package commands

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/certs"
	"monsoondale/core"
	"monsoondale/core/workspace"
	"monsoondale/io/operator"
)

// apiFlags holds the flags of the commands that call the operator API.
type apiFlags struct {
	Server string `required:"" env:"MONSOONDALE_SERVER" placeholder:"URL" help:"Base URL of the operator API of any instance."`
	Key    string `required:"" env:"MONSOONDALE_KEY" help:"Operator key. The environment variable keeps it out of the process list."`
	CA     string `env:"MONSOONDALE_CA" name:"ca" type:"path" predictor:"file" placeholder:"FILE" help:"Authorities in PEM that the certificate of the operator API must come from; default those of the system."`

	rootCAs *x509.CertPool
}

// AfterApply loads the root CAs while kong parses the command line, so that an unusable file is a usage error.
func (a *apiFlags) AfterApply() error {
	if a.CA == "" {
		return nil
	}
	m, err := certs.Load(certs.Files{CA: a.CA})
	if err != nil {
		return errors.WithMessage(err, "--ca")
	}
	a.rootCAs = m.Authorities
	return nil
}

func (a *apiFlags) client() *operator.Client {
	c := operator.NewClient(a.Server, a.Key)
	if a.rootCAs != nil {
		c.TrustAuthorities(a.rootCAs)
	}
	return c
}

// outputFlags holds the flag that selects the output format.
type outputFlags struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

// print writes v as JSON, or calls text to write it as a table.
func (o *outputFlags) print(s *streams, v any, text func(w io.Writer)) error {
	if o.Output == "json" {
		return printJSON(s.out, v)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	text(w)
	return errors.Wrap(w.Flush(), "write output")
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "write output")
}

// readDocument reads a template or workspace from a file, or from standard input if path is "-".
func readDocument(s *streams, path string) (workspace.Object, error) {
	if path == "-" {
		b, err := io.ReadAll(s.in)
		if err != nil {
			return workspace.Object{}, errors.Wrap(err, "read standard input")
		}
		return workspace.ParseDocument("standard input", string(b))
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return workspace.Object{}, core.Errorf(core.CodeBadTemplate, "cannot read the document: %v", err)
	}
	return workspace.ParseDocument(path, string(b))
}

// currentVersion returns the version of an object, or 0 if it does not exist.
func currentVersion(ctx context.Context, c *operator.Client, kind, name string) (int, error) {
	o, err := c.Get(ctx, kind, name)
	var e *core.Error
	if errors.As(err, &e) && e.Code == core.CodeNoSuchObject {
		return 0, nil
	}
	return o.Version, err
}

// printConflict prints the current document if err is a conflict, so that the operator can compare both documents. It
// returns err.
func printConflict(s *streams, err error) error {
	var r *operator.APIError
	if errors.As(err, &r) && r.Current != nil && r.Current.Text != "" {
		fmt.Fprintf(s.err, "The current document, version %d:\n%s\n", r.Current.Version, strings.TrimSuffix(r.Current.Text, "\n"))
	}
	return err
}

// formatTime formats a time in Unix milliseconds, where 0 is unknown.
func formatTime(ms int) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339)
}
