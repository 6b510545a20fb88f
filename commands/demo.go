package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"monsoondale/core/report"
	"monsoondale/instance"
	"monsoondale/internal/demo"
	"monsoondale/internal/fake/fleet"
	"monsoondale/io/operator"
)

// demoCmd runs two small deployments inside this process and compares every count with the logs of the endpoints.
type demoCmd struct{}

// Run runs the demo and prints its report. It fails if a count differs.
func (*demoCmd) Run(s *streams) error {
	system := func(string) instance.Network { return nil }
	return demo.Run(context.Background(), demo.Options{Launch: launchOn(system), Report: readReport, Out: s.out})
}

// launchOn returns a function that starts an instance inside this process, on the network of the process with the name of the
// instance.
func launchOn(network func(process string) instance.Network) fleet.LaunchFunc {
	return func(ctx context.Context, settings []byte) (fleet.RunningInstance, error) {
		s, err := instance.ParseSettings("settings", settings, "")
		if err != nil {
			return nil, err
		}
		return instance.Start(ctx, instance.Options{Settings: s, Log: logr.Discard(), Network: network(string(s.Name))})
	}
}

// readReport reads the report of all instances and sums its counts by pool.
func readReport(ctx context.Context, h *http.Client, base, key string) (demo.Report, error) {
	c := operator.NewClientWithTransport(base, key, h.Transport)
	r, err := c.Report(ctx)
	if err != nil {
		return demo.Report{}, err
	}
	pools, err := poolsByKind(ctx, c)
	if err != nil {
		return demo.Report{}, err
	}
	out := demo.Report{Pools: map[string]demo.Counts{}}
	for _, row := range r.Rows {
		p, n := out.Pools[pools[row.Kind]], row.Counts
		p.Dispatched += n.Asked - n.Running - n.Refused - n.Replayed
		p.Done += n.Ontime + n.Late - n.Replayed
		p.Cancelled += n.Cancelled
		p.NotRun += n.Refused
		out.Pools[pools[row.Kind]] = p
	}
	var text bytes.Buffer
	err = report.WriteText(&text, r)
	out.Text = text.String()
	return out, err
}

// poolsByKind returns the pool of each kind of work, from the templates in force.
func poolsByKind(ctx context.Context, c *operator.Client) (map[string]string, error) {
	list, err := c.List(ctx, "template")
	if err != nil {
		return nil, err
	}
	pools := map[string]string{}
	for _, item := range list.Items {
		o, err := c.Get(ctx, "template", item.Name)
		if err != nil {
			return nil, err
		}
		var t struct {
			Kinds []struct{ Name, Pool string } `json:"kinds"`
		}
		text, err := hujson.Standardize([]byte(o.Text))
		if err != nil {
			return nil, errors.Wrapf(err, "template %s", item.Name)
		}
		if err := json.Unmarshal(text, &t); err != nil {
			return nil, errors.Wrapf(err, "template %s", item.Name)
		}
		for _, k := range t.Kinds {
			pools[k.Name] = k.Pool
		}
	}
	return pools, nil
}
