package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/bounded"
	"monsoondale/core/route"
	"monsoondale/gateway"
	"monsoondale/platform"
)

const (
	checkTimeout = 5 * time.Second
	// maxConfigurationBytes is the size of the largest configuration; the store accepts 1 MiB.
	maxConfigurationBytes = 8 << 20
)

// checkCmd checks a configuration of the users' platform before it is sent. It changes nothing.
type checkCmd struct {
	File     string `arg:"" predictor:"file" help:"Configuration, or an object of the store that holds it; - reads standard input."`
	Against  string `placeholder:"URL|FILE" help:"Also show what differs from this configuration, which is in force: a file, or the address of its object in the store or of an instance's copy."`
	Settings string `placeholder:"FILE" predictor:"file" help:"Settings file of an instance, for what depends on its memory, quotas and retries."`
	Output   string `short:"o" enum:"text,json" default:"text" help:"text or json."`
}

// checkResult is the JSON output.
type checkResult struct {
	Problems []platform.Problem `json:"problems"`
	Changes  []checkChange      `json:"changes,omitempty"`
}

type checkChange struct {
	Text   string `json:"text"`
	Effect string `json:"effect,omitempty"`
}

// Run prints the problems and what differs. It fails if there is an error among the problems.
func (c *checkCmd) Run(s *streams) error {
	doc, err := c.parse(s, c.File)
	if err != nil {
		return err
	}
	var settings *gateway.Settings
	if c.Settings != "" {
		if settings, _, err = platform.ReadSettings(c.Settings); err != nil {
			return &usageError{err.Error()}
		}
	}
	r := checkResult{Problems: doc.Check(settings)}
	if c.Against != "" {
		force, err := c.parse(s, c.Against)
		if err != nil {
			return err
		}
		for _, ch := range doc.Diff(force) {
			r.Changes = append(r.Changes, checkChange(ch))
		}
	}
	if c.Output == "json" {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return errors.WithStack(err)
		}
	} else {
		c.print(s.out, &r)
	}
	n := 0
	for _, p := range r.Problems {
		if p.Severity == route.Error {
			n++
		}
	}
	if n > 0 {
		return errors.Errorf("%s: %d errors", c.File, n)
	}
	return nil
}

// print prints a line for each problem and each change.
func (c *checkCmd) print(w io.Writer, r *checkResult) {
	for _, p := range r.Problems {
		fmt.Fprintf(w, "%s:%d:%d: %s: %s: %s\n", c.File, p.Line, p.Column, p.Severity, p.Path, p.Text)
	}
	for _, ch := range r.Changes {
		line := ch.Text
		if ch.Effect != "" {
			line += "; " + ch.Effect
		}
		fmt.Fprintln(w, line)
	}
	if len(r.Problems) == 0 && len(r.Changes) == 0 {
		fmt.Fprintf(w, "%s: ok\n", c.File)
	}
}

// parse reads a configuration from a file, a URL, or standard input if the source is "-".
func (c *checkCmd) parse(s *streams, source string) (*platform.Document, error) {
	text, err := readSource(s, source)
	if err != nil {
		return nil, err
	}
	d, err := platform.ParseConfiguration(text)
	if err != nil {
		return nil, &usageError{source + ": " + err.Error()}
	}
	return d, nil
}

func readSource(s *streams, source string) ([]byte, error) {
	switch {
	case source == "-":
		return bounded.ReadAll(s.in, maxConfigurationBytes)
	case !strings.HasPrefix(source, "http://") && !strings.HasPrefix(source, "https://"):
		b, err := os.ReadFile(source)
		return b, errors.Wrap(err, "read configuration")
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read configuration: %s: status %d", req.URL.Redacted(), resp.StatusCode)
	}
	return bounded.ReadAll(resp.Body, maxConfigurationBytes)
}
