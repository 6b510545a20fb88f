package commands

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"monsoondale/instance"
)

// serveCmd runs an instance until it receives a signal.
type serveCmd struct {
	Settings string `required:"" type:"path" predictor:"file" help:"Settings file, JSON with comments. See docs/settings.md."`
}

// Run runs the instance. The first SIGTERM or SIGINT starts a graceful shutdown, the second one aborts it.
func (c *serveCmd) Run(s *streams) error {
	settings, err := instance.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	setLevel := func(l instance.LogLevel) { level.Set(slog.Level(-l.Verbosity())) }
	setLevel(settings.Log)
	log := logr.FromSlogHandler(slog.NewJSONHandler(s.err, &slog.HandlerOptions{Level: level}))

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	in, err := instance.Launch(context.Background(), settings, log, setLevel)
	if err != nil {
		return err
	}
	if err := printAddresses(s, settings, in); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.Limits.Drain)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return in.Stop(ctx)
}

// printAddresses prints the bound addresses as one line of JSON, since the settings may specify port 0.
func printAddresses(s *streams, settings *instance.Settings, in *instance.Instance) error {
	return errors.Wrap(json.NewEncoder(s.out).Encode(struct {
		Name     string `json:"name"`
		Caller   string `json:"caller"`
		Operator string `json:"operator"`
		Peer     string `json:"peer"`
	}{string(settings.Name), in.CallerAddr(), in.OperatorAddr(), in.PeerAddr()}), "print the addresses")
}
