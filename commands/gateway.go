package commands

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"monsoondale/common/boundlog"
	"monsoondale/core/pool"
	"monsoondale/gateway"
	"monsoondale/platform"
)

// settingsWriteTime is how long a settings file may be incomplete at the start because it is being replaced, and
// settingsReadInterval the time between two tries to read it meanwhile.
const (
	settingsWriteTime    = 500 * time.Millisecond
	settingsReadInterval = 20 * time.Millisecond
)

// settingsCheckInterval is the time between two checks of the settings file, which may change without a SIGHUP.
const settingsCheckInterval = time.Second

// logCloseTime is how long the log may take to be written if the gateway can't be started.
const logCloseTime = time.Second

// Limits of the log. They allow a line for each request of an instance under full load, and a burst.
const (
	logQueueSize      = 4096
	logLinesPerSecond = 800
	logBurstLines     = 2000
)

// gatewayCmd runs an instance on the users' platform.
type gatewayCmd struct {
	Limits   string `enum:"learned,slots" default:"slots" help:"How many requests an endpoint gets at once: as many as it is found to take well (learned), or as many as it states (slots)."`
	Settings string `type:"path" predictor:"file" help:"Settings file of the platform; default: the one that the platform names in the environment."`
	Places   string `enum:"auto,off" default:"auto" help:"Whether one instance of each data centre grants the places of its endpoints to the others: auto (in fleets of more than 12 instances) or off."`
}

// limitModes are the values of --limits.
var limitModes = map[string]pool.Limits{"learned": pool.LearnedLimits, "slots": pool.SlotLimits}

// Run runs the gateway until SIGTERM or SIGINT, which start a graceful shutdown. SIGHUP reloads the settings.
func (c *gatewayCmd) Run(s *streams) error {
	// A signal is dropped if its channel is full, so that SIGHUPs must not share one with SIGTERM.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP) // an unhandled one ends the process
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsEnv)
	}
	if path == "" {
		return &usageError{"gateway: set the path of the settings file with --settings or " + platform.SettingsEnv}
	}
	settings, text, err := readCompleteSettings(path)
	if err != nil {
		return err
	}
	out := boundlog.New(boundlog.Options{Out: s.out, QueueSize: logQueueSize, Rate: logLinesPerSecond, Burst: logBurstLines})
	end := time.Now().Add(logCloseTime) // when the log must have been written
	defer func() {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		out.Close(ctx) // an error can't be reported, since this is the log itself
	}()
	log := logr.FromSlogHandler(slog.NewJSONHandler(out, nil))

	log.Info("starting", "instance", settings.Name, "centre", settings.Centre, "callers", settings.CallerAddress, "mesh", settings.MeshAddress,
		"store", settings.StoreAddress, "memory", settings.MemoryLimit, "descriptors", settings.MaxDescriptors)
	g, err := gateway.Start(gateway.Options{
		Settings: settings, Store: platform.NewStore(settings.StoreAddress), Headers: platform.HeaderCodec{}, RequestIDHeader: platform.RequestIDHeader,
		Limits: limitModes[c.Limits], Log: log,
		Places: gateway.PlacesMode(c.Places),
	})
	if err != nil {
		return errors.Wrap(err, "start gateway")
	}
	changes, done := make(chan *gateway.Settings), make(chan struct{})
	defer close(done)
	go watchSettings(path, text, reload, changes, done, log)
	for {
		select {
		case <-stop:
			kill := time.Now().Add(settings.ShutdownGrace)
			g.Stop()
			end = time.Now().Add(time.Until(kill) / 2)
			return nil
		case changed := <-changes:
			g.Reload(changed)
		}
	}
}

// watchSettings sends the settings to changes whenever the file no longer has the text that was read last, until done is closed. It
// checks that after each reload signal and every settingsCheckInterval. The file system may be slow, and must not delay anything else.
func watchSettings(path string, last []byte, reload <-chan os.Signal, changes chan<- *gateway.Settings, done <-chan struct{}, log logr.Logger) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		sighup := false
		select {
		case <-reload:
			sighup = true
		case <-ticker.C:
		case <-done:
			return
		}
		changed, b, err := platform.ReadSettings(path)
		if err == nil && bytes.Equal(b, last) {
			if sighup {
				log.Info("settings unchanged", "path", path)
			}
			continue
		}
		if err != nil { // the file may be partly written; it is read again at the next check
			log.Info("cannot reload settings; the old settings stay in force", "cause", err.Error())
			continue
		}
		last = b
		select {
		case changes <- changed:
		case <-done:
			return
		}
	}
}

// readCompleteSettings reads the settings, again for settingsWriteTime if they are not valid. It also returns the text of the file.
func readCompleteSettings(path string) (*gateway.Settings, []byte, error) {
	for end := time.Now().Add(settingsWriteTime); ; time.Sleep(settingsReadInterval) {
		s, text, err := platform.ReadSettings(path)
		if err == nil || time.Now().After(end) {
			return s, text, err
		}
	}
}
