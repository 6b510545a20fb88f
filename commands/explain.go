package commands

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/requestlog"
)

// explainCmd prints what the logs of instances tell of a request.
type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" name:"log" predictor:"file" help:"Logs of instances; - reads standard input, which is the default."`
}

// Run prints the lines of the request and what happened to its instances and endpoints meanwhile.
func (c *explainCmd) Run(s *streams) error {
	if len(c.Logs) == 0 {
		c.Logs = []string{"-"}
	}
	story := requestlog.New(core.RequestID(c.Request))
	for _, path := range c.Logs {
		if err := readLog(s, path, path, story); err != nil {
			return err
		}
	}
	if !story.Found() {
		return errors.Errorf("no line of request %s; name the logs of all instances", c.Request)
	}
	return story.Write(s.out)
}

// logReader takes in the log of an instance.
type logReader interface {
	Read(name string, r io.Reader) error
}

// readLog passes a log to to. name stands for the instance until the log tells its name.
func readLog(s *streams, path, name string, to logReader) error {
	if path == "-" {
		return to.Read("standard input", s.in)
	}
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer f.Close()
	return to.Read(name, f)
}
