package commands

import (
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core/fleetlog"
)

// fleetCmd prints the state of a fleet of gateways.
type fleetCmd struct {
	Logs   []string      `arg:"" optional:"" name:"log" predictor:"file" help:"Logs of instances; - reads standard input, which is the default."`
	Window time.Duration `default:"1m" help:"Requests count if they ended within this time before the end of the logs."`
	Rows   int           `default:"5" help:"Most rows of each list of exceptions."`
}

// Run prints sums by data centre, and the exceptions.
func (c *fleetCmd) Run(s *streams) error {
	if c.Window < time.Second || c.Rows < 1 {
		return usagef("--window must be at least 1s and --rows at least 1")
	}
	if len(c.Logs) == 0 {
		c.Logs = []string{"-"}
	}
	fleet := fleetlog.New(c.Window)
	for _, path := range c.Logs {
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		if err := readLog(s, path, name, fleet); err != nil {
			return err
		}
	}
	r := fleet.Report()
	if r.Instances == 0 {
		return errors.New("no line of a gateway; name the logs of all instances")
	}
	return r.Write(s.out, c.Rows)
}
