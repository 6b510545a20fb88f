// Package fleet runs a whole deployment for tests and the demo: the fakes of the external systems and the instances,
// connected over loopback.
package fleet

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"monsoondale/core"
	"monsoondale/internal/check"
	"monsoondale/internal/fake"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/instancelist"
	"monsoondale/internal/fake/objectapi"
	"monsoondale/internal/fake/service"
	"monsoondale/io/operator"
	"monsoondale/wire/platform"
)

// RunningInstance is a launched instance. Addresses are host:port.
type RunningInstance interface {
	CallerAddr() string
	OperatorAddr() string
	PeerAddr() string
	// Stop shuts the instance down gracefully. It returns when all running requests have finished or ctx ends.
	Stop(ctx context.Context) error
}

// LaunchFunc starts an instance; settings is the content of its settings file. It returns once the instance listens.
type LaunchFunc func(ctx context.Context, settings []byte) (RunningInstance, error)

// Options describes a deployment.
type Options struct {
	Region    string
	Centres   int // data centres, named <region>-1 and so on; default 3
	Instances int // number of instances, spread over the data centres; default 3
	Engines   []EnginePool
	Services  []ServicePool
	Objects   objectapi.Options
	ListLag   time.Duration // delay of the instance list
	Launch    LaunchFunc
	// Network returns the network of a named process; default that of the operating system. Callers and operators
	// use the network of ClientProcess.
	Network func(process string) Network
	// Wrap may wrap the handler of a fake. The object API and the instance list are the processes "objects" and "list",
	// endpoints have their own names.
	Wrap func(process string, h http.Handler) http.Handler
	// Settings may modify the settings of an instance before its launch.
	Settings func(s map[string]any)
}

// Network opens the listeners and connections of one process.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// systemNetwork is the network of the operating system.
type systemNetwork struct{ net.Dialer }

func (*systemNetwork) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// ClientProcess is the process name of callers and operators.
const ClientProcess = "outside"

// EnginePool describes the model engines of a pool. Options apply to each engine, except that the fleet sets the names.
type EnginePool struct {
	Pool    string
	Count   int
	Options engine.Options
}

// ServicePool describes the plain services of a pool. Options apply as in EnginePool.
type ServicePool struct {
	Pool    string
	Count   int
	Options service.Options
}

// Endpoint is a model engine or a plain service; the other field is nil.
type Endpoint struct {
	Name, Pool, Centre string
	Server             *fake.Server
	Engine             *engine.Engine
	Service            *service.Service
}

// Instance is a launched instance.
type Instance struct {
	RunningInstance
	Name, Centre string
}

// Fleet is a running deployment.
type Fleet struct {
	Region       string
	Objects      *objectapi.API
	InstanceList *instancelist.List
	Endpoints    []*Endpoint
	Instances    []*Instance
	HTTP         *http.Client
	OperatorKey  string

	objectsServer, listServer *fake.Server
	opts                      Options
	launchCount               int
}

// Start starts the deployment. The caller must call Stop, also after an error.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	o.Centres, o.Instances = cmp.Or(o.Centres, 3), cmp.Or(o.Instances, 3)
	f := &Fleet{
		Region: o.Region, opts: o, OperatorKey: core.NewID(),
		Objects: objectapi.New(o.Objects), InstanceList: instancelist.New(instancelist.Options{Lag: o.ListLag}),
	}
	if f.opts.Network == nil {
		f.opts.Network = func(string) Network { return &systemNetwork{} }
	}
	if f.opts.Wrap == nil {
		f.opts.Wrap = func(_ string, h http.Handler) http.Handler { return h }
	}
	f.HTTP = &http.Client{Transport: &http.Transport{DialContext: f.opts.Network(ClientProcess).DialContext, MaxIdleConnsPerHost: 64}}
	var err error
	if f.objectsServer, err = f.serve("objects", f.Objects); err != nil {
		return f, err
	}
	if f.listServer, err = f.serve("list", f.InstanceList); err != nil {
		return f, err
	}
	for _, e := range o.Engines {
		for range e.Count {
			if err := f.addEngine(e); err != nil {
				return f, err
			}
		}
	}
	for _, s := range o.Services {
		for range s.Count {
			if err := f.addService(s); err != nil {
				return f, err
			}
		}
	}
	for range o.Instances {
		if _, err := f.Launch(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) serve(process string, h http.Handler) (*fake.Server, error) {
	// A fake that is started again after a kill is a new process in the network.
	listen := func(network, address string) (net.Listener, error) {
		return f.opts.Network(process).Listen(network, address)
	}
	return fake.ServeOn(listen, "127.0.0.1:0", f.opts.Wrap(process, h))
}

func (f *Fleet) addEngine(pool EnginePool) error {
	endpoint := &Endpoint{Pool: pool.Pool}
	f.assignName(endpoint)
	pool.Options.Name = endpoint.Name
	endpoint.Engine = engine.New(pool.Options)
	return f.addEndpoint(endpoint, endpoint.Engine, platform.InstanceRoleEngine, pool.Options.Fenced)
}

func (f *Fleet) addService(pool ServicePool) error {
	endpoint := &Endpoint{Pool: pool.Pool}
	f.assignName(endpoint)
	pool.Options.Name = endpoint.Name
	endpoint.Service = service.New(pool.Options)
	return f.addEndpoint(endpoint, endpoint.Service, platform.InstanceRoleService, false)
}

// assignName sets the name and the data centre of an endpoint: endpoints are numbered by pool and spread over the data
// centres.
func (f *Fleet) assignName(endpoint *Endpoint) {
	n := 0
	for _, e := range f.Endpoints {
		if e.Pool == endpoint.Pool {
			n++
		}
	}
	endpoint.Name = fmt.Sprintf("%s-%s-%d", f.Region, endpoint.Pool, n+1)
	endpoint.Centre = f.centre(n)
}

func (f *Fleet) centre(n int) string { return fmt.Sprintf("%s-%d", f.Region, n%f.opts.Centres+1) }

func (f *Fleet) addEndpoint(endpoint *Endpoint, h http.Handler, role platform.InstanceRole, fenced bool) (err error) {
	if endpoint.Server, err = f.serve(endpoint.Name, h); err != nil {
		return err
	}
	f.Endpoints = append(f.Endpoints, endpoint)
	f.InstanceList.Put(platform.Instance{
		Name: endpoint.Name, Role: role, Region: f.Region, Centre: endpoint.Centre, Address: endpoint.Server.Addr(), Pool: endpoint.Pool,
		State: platform.InstanceStateLive, Fenced: fenced,
	})
	return nil
}

// Launch starts another instance and adds it to the instance list.
func (f *Fleet) Launch(ctx context.Context) (*Instance, error) {
	i := &Instance{Name: fmt.Sprintf("%s-entry-%d", f.Region, f.launchCount+1), Centre: f.centre(f.launchCount)}
	f.launchCount++
	settings := map[string]any{
		"name": i.Name, "region": f.Region, "centre": i.Centre,
		"listen":   map[string]any{"caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0"},
		"platform": map[string]any{"objects": "http://" + f.objectsServer.Addr(), "instances": "http://" + f.listServer.Addr()},
		"keys":     map[string]any{"operator": map[string]string{"demo": HashKey(f.OperatorKey)}},
	}
	if f.opts.Settings != nil {
		f.opts.Settings(settings)
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	if i.RunningInstance, err = f.opts.Launch(ctx, b); err != nil {
		return nil, errors.Wrapf(err, "launch instance %s", i.Name)
	}
	f.Instances = append(f.Instances, i)
	f.InstanceList.Put(platform.Instance{
		Name: i.Name, Role: platform.InstanceRoleEntry, Region: f.Region, Centre: i.Centre, Address: i.PeerAddr(),
		State: platform.InstanceStateLive,
	})
	return i, nil
}

// Shutdown stops an instance gracefully. Like the platform, it first lists the instance as leaving.
func (f *Fleet) Shutdown(ctx context.Context, i *Instance) error {
	err := f.stopInstance(ctx, i)
	f.Instances = slices.DeleteFunc(f.Instances, func(x *Instance) bool { return x == i })
	return err
}

func (f *Fleet) stopInstance(ctx context.Context, i *Instance) error {
	f.InstanceList.Put(platform.Instance{
		Name: i.Name, Role: platform.InstanceRoleEntry, Region: f.Region, Centre: i.Centre, Address: i.PeerAddr(),
		State: platform.InstanceStateLeaving,
	})
	err := i.Stop(ctx)
	f.InstanceList.Remove(i.Name)
	return errors.Wrapf(err, "stop instance %s", i.Name)
}

// Stop stops all instances concurrently, then the fakes. It returns the first error of an instance.
func (f *Fleet) Stop(ctx context.Context) error {
	var g errgroup.Group
	for _, i := range f.Instances {
		g.Go(func() error { return f.stopInstance(ctx, i) })
	}
	err := g.Wait()
	f.Instances = nil
	f.StopFakes()
	return err
}

// StopFakes stops the fakes, but not the instances.
func (f *Fleet) StopFakes() {
	for _, e := range f.Endpoints {
		e.Server.Stop()
	}
	for _, s := range []*fake.Server{f.objectsServer, f.listServer} {
		if s != nil {
			s.Stop()
		}
	}
	f.HTTP.CloseIdleConnections()
}

// Client returns a client of the n-th instance, modulo the number of instances, with the given API key and caller.
func (f *Fleet) Client(n int, key, caller string) *check.Client {
	i := f.Instances[n%len(f.Instances)]
	return &check.Client{HTTP: f.HTTP, Base: "http://" + i.CallerAddr(), Key: key, Caller: caller}
}

// Logs reads the logs of all endpoints over HTTP.
func (f *Fleet) Logs(ctx context.Context) ([]check.Log, error) {
	var out []check.Log
	for _, e := range f.Endpoints {
		items, err := check.FetchLog(ctx, f.HTTP, e.Server.Addr())
		if err != nil {
			return nil, errors.Wrap(err, e.Name)
		}
		out = append(out, check.Log{Endpoint: e.Name, Pool: e.Pool, Items: items})
	}
	return out, nil
}

// ObjectsURL returns the base URL of the object API.
func (f *Fleet) ObjectsURL() string { return "http://" + f.objectsServer.Addr() }

// OperatorClient returns a client of the operator API of the n-th instance, modulo the number of instances.
func (f *Fleet) OperatorClient(n int) *operator.Client {
	return operator.NewClientWithTransport("http://"+f.Instances[n%len(f.Instances)].OperatorAddr(), f.OperatorKey, f.HTTP.Transport)
}

// Put creates or replaces a template or workspace through the operator API of the n-th instance.
func (f *Fleet) Put(ctx context.Context, n int, kind, name, document string) error {
	c := f.OperatorClient(n)
	_, err := c.Put(ctx, operator.Change{Kind: kind, Name: name, File: name, Text: document})
	return errors.Wrapf(err, "put %s %s", kind, name)
}

// WaitReady waits until every instance is ready, as the load balancer does before it sends requests.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, i := range f.Instances {
		for !f.isReady(ctx, i) {
			if !fake.Sleep(ctx, 50*time.Millisecond) {
				return errors.Errorf("instance %s did not become ready in time", i.Name)
			}
		}
	}
	return nil
}

func (f *Fleet) isReady(ctx context.Context, i *Instance) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.OperatorAddr()+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := f.HTTP.Do(r)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// WaitModelListed waits until every instance lists the model for the API key. The configuration is then in force there.
func (f *Fleet) WaitModelListed(ctx context.Context, key, model string) error {
	for _, i := range f.Instances {
		for !f.listsModel(ctx, i, key, model) {
			if !fake.Sleep(ctx, 50*time.Millisecond) {
				return errors.Errorf("instance %s did not list model %s in time", i.Name, model)
			}
		}
	}
	return nil
}

func (f *Fleet) listsModel(ctx context.Context, i *Instance, key, model string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.CallerAddr()+"/v1/models", nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := f.HTTP.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var body struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&body) != nil {
		return false
	}
	for _, m := range body.Data {
		if m.ID == model {
			return true
		}
	}
	return false
}

// HashKey returns the SHA-256 hash of a key in hexadecimal, as settings and workspaces contain it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
