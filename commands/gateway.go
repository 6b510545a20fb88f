package commands

import (
	"bytes"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"monsoondale/common/boundlog"
	"monsoondale/gateway"
	"monsoondale/platform"
)

// settingsCheck is how often the settings file is compared, because it may change without a signal.
const settingsCheck = time.Second

// Limits of the log: a line for each request of a loaded instance, and room for a burst.
const (
	logLines = 4096
	logRate  = 800
	logBurst = 2000
)

// gatewayCmd runs one instance on the users' platform.
type gatewayCmd struct {
	Settings string `type:"path" predictor:"file" help:"Settings file of the platform; default: the one that the platform names in the environment."`
}

// Run starts the gateway. SIGTERM begins a graceful shutdown; SIGHUP reads the settings again.
func (c *gatewayCmd) Run(s *streams) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsEnv)
	}
	if path == "" {
		return &usageError{"gateway: name the settings file with --settings or " + platform.SettingsEnv}
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	out := boundlog.New(boundlog.Options{Out: s.out, QueueSize: logLines, Rate: logRate, Burst: logBurst})
	defer out.Close()
	log := logr.FromSlogHandler(slog.NewJSONHandler(out, nil))

	signals := make(chan os.Signal, 8)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	log.Info("starting", "instance", settings.Name, "centre", settings.Centre, "callers", settings.CallerAddress, "mesh", settings.MeshAddress,
		"store", settings.StoreAddress, "memory", settings.MemoryLimit, "descriptors", settings.MaxDescriptors)
	g, err := gateway.Start(gateway.Options{
		Settings: settings, Store: platform.NewStore(settings.StoreAddress), Headers: platform.HeaderCodec{}, RequestIDHeader: platform.RequestIDHeader, Log: log,
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	last, err := os.ReadFile(path)
	if err != nil {
		log.Info("settings unreadable", "path", path, "cause", err.Error())
	}
	check := time.NewTicker(settingsCheck)
	defer check.Stop()
	for {
		hup := false
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				g.Stop()
				return nil
			}
			hup = true
		case <-check.C:
		}
		b, err := os.ReadFile(path)
		if err == nil && bytes.Equal(b, last) {
			if hup {
				log.Info("settings unchanged", "path", path)
			}
			continue
		}
		changed, err := platform.ReadSettings(path)
		if err != nil { // the file may be half written; it is read again at the next check
			log.Info("settings not reloaded", "cause", err.Error())
			continue
		}
		last = b
		g.Reload(changed)
	}
}
