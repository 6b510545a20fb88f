package instance

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/config"
	"monsoondale/core/membership"
	"monsoondale/core/object"
	"monsoondale/core/report"
	"monsoondale/core/workspace"
	"monsoondale/io/objectapi"
	"monsoondale/io/operator"
	wire "monsoondale/wire/operator"
)

// operatorAPI returns the HTTP handler of the operator listener.
func (in *Instance) operatorAPI(i do.Injector, setLevel func(LogLevel)) (http.Handler, error) {
	in.logLevel.Store(&in.settings.Log)
	return operator.NewHandler(operator.Options{
		Store: configStore{do.MustInvoke[*objectapi.Client](i)}, Checker: do.MustInvoke[*workspace.Compiler](i),
		Instance: &operatorControl{in: in, setLevel: setLevel}, Keys: in.settings.Keys.Operator, Metrics: do.MustInvoke[metrics.Registry](i),
		Counts: do.MustInvoke[*report.Recorder](i).Rows, OnWrite: in.applyAccepted,
	}), nil
}

// applyAccepted puts an accepted change in force at this instance and pushes it to peers, before the operator gets the
// response.
func (in *Instance) applyAccepted(o operator.StoredObject) {
	in.loop.call(in.ctx, func() {
		obj := config.Object{Kind: config.Kind(o.Kind), Name: o.Name, Version: o.Version, Value: workspace.WithoutHistory(o.Value)}
		fresh, err := in.gossip.configSet.Apply(obj)
		in.gossip.logConfigError(err, obj.Kind)
		if fresh {
			in.gossip.applyObjects(in.ctx, []config.Object{obj})
		}
	})
}

// configStore stores configuration objects in the object API.
type configStore struct{ client *objectapi.Client }

// Get returns the object, with version 0 if it does not exist.
func (s configStore) Get(ctx context.Context, kind, name string) (operator.StoredObject, error) {
	value, version, err := s.client.Get(ctx, kind, name)
	if errors.Is(err, object.ErrNotFound) {
		return operator.StoredObject{Kind: kind, Name: name}, nil
	}
	return operator.StoredObject{Kind: kind, Name: name, Version: version, Value: string(value)}, err
}

// Put writes the object if its current version is the expected one.
func (s configStore) Put(ctx context.Context, kind, name, value string, expected core.Revision) (core.Revision, error) {
	version, err := s.client.Put(ctx, kind, name, []byte(value), expected)
	if c := object.Conflict(err); c != nil {
		return 0, &operator.ConflictError{Current: operator.StoredObject{Kind: kind, Name: name, Version: c.Version, Value: string(c.Value)}}
	}
	if object.Undetermined(err) {
		return 0, &operator.UndeterminedError{Err: err}
	}
	return version, err
}

// List returns all objects of a kind.
func (s configStore) List(ctx context.Context, kind string) ([]operator.StoredObject, error) {
	items, err := s.client.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	var out []operator.StoredObject
	for _, it := range items.Items {
		if !it.Deleted {
			out = append(out, operator.StoredObject{Kind: kind, Name: it.Name, Version: core.Revision(it.Version), Value: it.Value})
		}
	}
	return out, nil
}

// operatorControl implements the parts of the operator API that concern the instance itself.
type operatorControl struct {
	in       *Instance
	setLevel func(LogLevel)
}

// Ready reports whether requests of callers are accepted, and the reason if they are not.
func (c *operatorControl) Ready() (bool, string) {
	switch {
	case c.in.leaving.Load():
		return false, "shutting down"
	case !c.in.plan.initialised.Load():
		return false, "no configuration or instance list yet: the platform and the other instances have not answered"
	}
	return true, ""
}

// SetLogLevel changes the log level of this instance.
func (c *operatorControl) SetLogLevel(level string) error {
	l := LogLevel(level)
	if !slices.Contains(LogLevels, l) {
		return core.Errorf(core.CodeBadRequest, "%q is not a log level", level)
	}
	c.setLevel(l)
	c.in.logLevel.Store(&l)
	c.in.log.Info("log level changed", "level", l)
	return nil
}

// Report returns the merged counts of all instances.
func (c *operatorControl) Report(ctx context.Context) (wire.Report, error) {
	return c.in.publisher.mergedReport(ctx)
}

// Status returns the configuration in force on this instance and on the others.
func (c *operatorControl) Status(ctx context.Context) (wire.Status, error) {
	plan := c.in.plan.current.Load()
	s := wire.Status{
		Instance: string(c.in.settings.Name), Level: string(*c.in.logLevel.Load()), Revision: int(plan.Revision()),
		Workspaces: len(plan.Workspaces()), Instances: []wire.Instance{},
		Problems: lo.Map(plan.Problems(), func(p workspace.Problem, _ int) wire.Problem {
			return wire.Problem{Kind: p.Kind, Name: p.Name, Version: int(p.Version), Stale: p.Stale, Detail: p.Detail}
		}),
	}
	var members []membership.Member
	if err := c.in.loop.call(ctx, func() { members = c.in.gossip.view.Instances("") }); err != nil {
		return s, err
	}
	answers := make(chan wire.Instance, len(members))
	for _, m := range members {
		go func() { answers <- c.instanceStatus(ctx, m, len(members) <= smallFleetSize) }()
	}
	for range members {
		s.Instances = append(s.Instances, <-answers)
	}
	slices.SortFunc(s.Instances, func(a, b wire.Instance) int {
		return lo.Ternary(a.Name < b.Name, -1, 1)
	})
	return s, nil
}

// instanceStatus returns the status of one instance. With ask set it contacts the instance; otherwise it uses the last
// gossip message. An instance that does not answer has the state "unreachable".
func (c *operatorControl) instanceStatus(ctx context.Context, m membership.Member, ask bool) wire.Instance {
	out := wire.Instance{Name: string(m.ID), Centre: string(m.Centre), State: lo.Ternary(m.Leaving, "leaving", "live")}
	if m.ID == c.in.settings.Name {
		out.Ready, out.Revision = c.in.Ready(), int(c.in.plan.current.Load().Revision())
		return out
	}
	if ask {
		c.in.gossip.exchange(ctx, m)
	}
	contact, ok := c.in.routing.contact(m.ID)
	if !ok || c.in.routing.suspected(m.ID) {
		out.State = "unreachable"
	}
	out.Revision, out.Ready = contact.revision, ok && contact.revision > 0
	if ok {
		out.Age = int(time.Since(contact.receivedAt).Milliseconds())
	}
	return out
}
