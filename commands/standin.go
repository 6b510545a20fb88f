package commands

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoondale/internal/fake"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/instancelist"
	"monsoondale/internal/fake/objectapi"
	"monsoondale/internal/fake/service"
)

// standinCmd runs a stand-in for an outside system as a separate process until it is interrupted. PUT /fault injects
// faults.
type standinCmd struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0"`

	Engine       standinEngineCmd       `cmd:"" help:"A model engine."`
	Service      standinServiceCmd      `cmd:"" help:"A plain order service."`
	Objectapi    standinObjectAPICmd    `cmd:"" name:"objectapi" help:"The platform's object API."`
	Instancelist standinInstanceListCmd `cmd:"" name:"instancelist" help:"The platform's instance list."`
}

type standinEngineCmd struct {
	Name    string        `help:"Name of the engine." default:"engine"`
	Model   string        `help:"Model that is loaded at the start."`
	Prefill float64       `help:"Prompt tokens per second of a lone request." default:"20000"`
	Decode  float64       `help:"Generated tokens per second of a lone request." default:"200"`
	Half    float64       `help:"Number of further requests that halves the rates." default:"16"`
	Batch   int           `help:"Requests run at once." default:"256"`
	Cache   int           `help:"Prefix cache in tokens." default:"65536"`
	Lag     time.Duration `help:"Delay of load reports and cache events." default:"500ms"`
	Lose    int           `help:"Lose every n-th cache event; 0 loses none." default:"0"`
	Linger  time.Duration `help:"How long work without a client continues." default:"0s"`
	Load    time.Duration `help:"Time to load a model." default:"0s"`
	Fenced  bool          `help:"Refuse orders with an old fence."`
}

// Run serves the engine.
func (c *standinEngineCmd) Run(s *streams, p *standinCmd) error {
	return p.serve(s, c.Name, engine.New(engine.Options{
		Name: c.Name, Model: c.Model, PrefillRate: c.Prefill, DecodeRate: c.Decode, HalvingLoad: c.Half, BatchSize: c.Batch,
		CacheTokens: c.Cache, ReportLag: c.Lag, LoseEvery: c.Lose, Linger: c.Linger, LoadTime: c.Load, Fenced: c.Fenced,
	}))
}

type standinServiceCmd struct {
	Name  string        `help:"Name of the service." default:"service"`
	Delay time.Duration `help:"Delay before the effect of a call." default:"20ms"`
}

// Run serves the service.
func (c *standinServiceCmd) Run(s *streams, p *standinCmd) error {
	return p.serve(s, c.Name, service.New(service.Options{Name: c.Name, Delay: c.Delay}))
}

type standinObjectAPICmd struct {
	Reads   float64       `help:"Reads per second; 0 is unlimited." default:"2000"`
	Writes  float64       `help:"Writes per second; 0 is unlimited." default:"400"`
	Latency time.Duration `help:"Latency of a call." default:"3ms"`
}

// Run serves the object API.
func (c *standinObjectAPICmd) Run(s *streams, p *standinCmd) error {
	return p.serve(s, "objectapi", objectapi.New(objectapi.Options{Reads: c.Reads, Writes: c.Writes, Latency: c.Latency}))
}

type standinInstanceListCmd struct {
	Lag time.Duration `help:"Time until a change is visible." default:"1s"`
}

// Run serves the instance list.
func (c *standinInstanceListCmd) Run(s *streams, p *standinCmd) error {
	return p.serve(s, "instancelist", instancelist.New(instancelist.Options{Lag: c.Lag}))
}

// serve prints the bound address as one line of JSON and serves until SIGINT or SIGTERM.
func (c *standinCmd) serve(s *streams, name string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server, err := fake.Serve(c.Listen, h)
	if err != nil {
		return err
	}
	defer server.Stop()
	line := struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}{name, server.Addr()}
	if err := json.NewEncoder(s.out).Encode(line); err != nil {
		return errors.Wrap(err, "print the address")
	}
	<-ctx.Done()
	return nil
}
