// Package instance runs one instance of the scheduler: it reads the settings, opens the listeners for callers, operators
// and peers, and connects the control loop with the clients of engines, services, peers and the platform.
package instance

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"monsoondale/common/peerconn"
	"monsoondale/core"
	"monsoondale/core/config"
	"monsoondale/core/dispatch"
	"monsoondale/core/order"
	"monsoondale/core/report"
	"monsoondale/core/workspace"
	"monsoondale/internal/testhook"
	"monsoondale/io/caller"
	"monsoondale/io/instancelist"
	"monsoondale/io/peer"
	"monsoondale/wire/platform"
)

const (
	// deregistrationDelay is how long an instance that shuts down still accepts requests after it has become not ready:
	// load balancers and the other instances need that long to notice.
	deregistrationDelay = 2 * time.Second
	// closeTimeout bounds the graceful shutdown of the listeners after the last request.
	closeTimeout = 5 * time.Second
	// lingerTime is how long a request on a new connection may take to arrive after the last request.
	lingerTime = time.Second
)

// Instance is a running instance, created by Start or Launch.
type Instance struct {
	settings  *Settings
	log       logr.Logger
	ctx       context.Context // cancelled when the instance ends
	cancel    context.CancelFunc
	routing   *routingState
	loop      *controlLoop
	gossip    *gossip
	handler   *caller.Handler
	claims    *order.Registry
	publisher *publisher
	list      *instancelist.Client
	plan      *activePlan
	leaving   atomic.Bool
	logLevel  atomic.Pointer[LogLevel]

	callerListener, operatorListener, peerListener *listener
	stopTracing                                    func(context.Context) error
}

// listener is an HTTP server with the address that it is bound to.
type listener struct {
	server  *http.Server
	addr    string
	callers *peerconn.Listener // nil if it is not for callers
	served  chan struct{}      // closed when no more connections are accepted

	mu   sync.Mutex
	open map[net.Conn]struct{} // connections of callers that do not speak HTTP/2
}

// activePlan holds the compiled configuration in force. The control loop replaces it, request handlers read it.
type activePlan struct {
	current     atomic.Pointer[workspace.Plan]
	initialised atomic.Bool // the instance list and a complete configuration are known
}

// Find implements caller.WorkspaceFinder.
func (p *activePlan) Find(hash [32]byte) (*workspace.Workspace, bool) {
	return p.current.Load().FindByKey(hash)
}

// Options configures an instance. Settings is required.
type Options struct {
	Settings *Settings
	Log      logr.Logger
	SetLevel func(LogLevel) // applies a log level that an operator sets; may be nil
	Network  Network        // default: the network of the operating system
	Probe    testhook.Probe // observes the steps of requests, for tests
}

// Launch starts an instance with the default options and returns once it listens. Its background work ends with Stop,
// or when ctx is cancelled.
func Launch(ctx context.Context, s *Settings, log logr.Logger, setLevel func(LogLevel)) (*Instance, error) {
	return Start(ctx, Options{Settings: s, Log: log, SetLevel: setLevel})
}

// Start starts an instance and returns once it listens. Its background work ends with Stop, or when ctx is cancelled.
func Start(ctx context.Context, o Options) (*Instance, error) {
	ctx, cancel := context.WithCancel(ctx)
	if o.Network == nil {
		o.Network = systemNetwork{}
	}
	if o.SetLevel == nil {
		o.SetLevel = func(LogLevel) {}
	}
	i := do.New()
	do.ProvideValue(i, o.Settings)
	do.ProvideValue(i, o.Log.WithValues("instance", o.Settings.Name))
	do.ProvideValue(i, metrics.NewRegistry())
	do.ProvideValue(i, o.Network)
	do.ProvideValue(i, o.Probe)
	registerProviders(i)
	in, err := assemble(ctx, i, o.SetLevel)
	if err != nil {
		cancel()
		return nil, err
	}
	in.cancel = cancel
	in.startBackground(ctx, i)
	return in, nil
}

// assemble creates the components from the injector, connects them and opens the listeners.
func assemble(ctx context.Context, i do.Injector, setLevel func(LogLevel)) (*Instance, error) {
	s := do.MustInvoke[*Settings](i)
	certificates, err := do.Invoke[tlsSources](i)
	if err != nil {
		return nil, err
	}
	in := &Instance{
		ctx: ctx, settings: s, routing: do.MustInvoke[*routingState](i), log: do.MustInvoke[logr.Logger](i),
		loop: do.MustInvoke[*controlLoop](i), gossip: do.MustInvoke[*gossip](i), claims: do.MustInvoke[*order.Registry](i),
		list: do.MustInvoke[*instancelist.Client](i), plan: do.MustInvoke[*activePlan](i), publisher: do.MustInvoke[*publisher](i),
	}
	if in.stopTracing, err = startTracing(ctx, s); err != nil {
		return nil, err
	}
	runner := do.MustInvoke[*dispatch.Runner](i)
	slots := do.MustInvoke[*slotClient](i)
	in.connect(ctx, i, slots, runner)

	in.handler = caller.New(caller.Options{
		Workspaces: in.plan, Runner: runner, MaxBodyBytes: s.Limits.Body, Ready: in.plan.initialised.Load,
		Recorder: recorder{do.MustInvoke[*report.Recorder](i), do.MustInvoke[metrics.Registry](i)},
	})
	service := &peerService{
		self: s.Name, loop: in.loop, runner: runner, gossip: in.gossip, claims: in.claims, floors: do.MustInvoke[*floorCollector](i), ctx: ctx,
		report: func() (json.RawMessage, error) { return json.Marshal(in.publisher.peerReport()) },
	}
	api, err := in.operatorAPI(i, setLevel)
	if err != nil {
		return nil, err
	}
	for _, l := range []struct {
		to     **listener
		name   string
		addr   netip.AddrPort
		server *http.Server
	}{
		{&in.callerListener, "caller", s.Listen.Caller, caller.NewServer(in.handler)},
		{&in.operatorListener, "operator", s.Listen.Operator, &http.Server{Handler: api, ReadHeaderTimeout: closeTimeout}},
		{&in.peerListener, "peer", s.Listen.Peer, peer.NewServer(peer.NewHandler(service, s.Keys.AcceptsPeer))},
	} {
		l.server.TLSConfig = certificates.serverConfig(l.name)
		// net/http reports failed TLS handshakes and panics of handlers here.
		l.server.ErrorLog = slog.NewLogLogger(logr.ToSlogHandler(in.log.WithValues("listener", l.name)), slog.LevelInfo)
		if *l.to, err = listen(do.MustInvoke[Network](i), l.addr, l.server); err != nil {
			in.close()
			return nil, err
		}
	}
	return in, nil
}

// connect sets the callbacks of the control loop and of gossip. They refer back to components that need the loop or
// gossip themselves, so constructors cannot set them.
func (in *Instance) connect(ctx context.Context, i do.Injector, slots *slotClient, runner *dispatch.Runner) {
	floors := do.MustInvoke[*floorCollector](i)
	in.loop.newShard = shardFactory(in.settings)
	in.loop.suspend = (&suspender{ctx: ctx, self: in.settings.Name, routing: slots.routing, client: slots.client, runner: runner}).suspend
	a := &announcer{self: in.settings.Name, loop: in.loop, gossip: in.gossip, routing: slots.routing, running: map[core.Pool]bool{}}
	in.loop.announceCandidacy = func(p core.Pool) { a.start(ctx, p) }
	in.loop.raiseFloor = func(p core.Pool, t core.Tier) { floors.raise(ctx, p, t) }
	compiler := do.MustInvoke[*workspace.Compiler](i)
	in.gossip.onListChange = func() {
		built := buildTable(time.Now(), in.gossip.view, in.settings)
		in.loop.applyTable(built.table)
		in.loop.announceNewPools()
		slots.setShards(built.shards)
		in.gossip.pushChange(ctx)
	}
	in.gossip.onNewObjects = func(objects []workspace.Object) {
		compiler.Apply(objects...)
		in.plan.current.Store(compiler.Plan())
	}
}

// startBackground starts the goroutines of the instance.
func (in *Instance) startBackground(ctx context.Context, i do.Injector) {
	go in.loop.run(ctx)
	do.MustInvoke[tlsSources](i).watch(ctx)
	go in.gossip.run(ctx)
	go in.gossip.pollList(ctx)
	for _, k := range config.Kinds {
		go in.gossip.watch(ctx, k)
	}
	go in.awaitReady(ctx)
	go do.MustInvoke[*slotClient](i).syncPeriodically(ctx)
	go do.MustInvoke[*loadReader](i).run(ctx)
	go do.MustInvoke[*engineManager](i).run(ctx)
	go in.publisher.run(ctx)
	context.AfterFunc(ctx, in.claims.Close)
	in.log.Info("instance started", "callers", in.callerListener.addr, "operators", in.operatorListener.addr, "peers", in.peerListener.addr)
}

// awaitReady waits until the instance may serve requests: until it has the instance list and a configuration that is not
// older than any accepted change. The configuration comes from the object API or, while that does not answer, from all
// peers that answer.
func (in *Instance) awaitReady(ctx context.Context) {
	g := in.gossip
	for start := time.Now(); ctx.Err() == nil && !in.plan.initialised.Load(); sleep(ctx, tickInterval) {
		fromPeers := time.Since(start) > peerFallbackAfter && g.queryPeers(ctx)
		in.loop.call(ctx, func() {
			g.upToDate = fromPeers || lo.EveryBy(config.Kinds, func(k config.Kind) bool { return g.listedKinds[k] })
			in.plan.initialised.Store(g.upToDate && g.configSet.Ready() && g.view.Revision() > 0)
		})
	}
}

// Ready reports whether the instance accepts requests from callers.
func (in *Instance) Ready() bool { return in.plan.initialised.Load() && !in.leaving.Load() }

// CallerAddr returns the bound address of the listener for callers.
func (in *Instance) CallerAddr() string { return in.callerListener.addr }

// OperatorAddr returns the bound address of the listener for operators.
func (in *Instance) OperatorAddr() string { return in.operatorListener.addr }

// PeerAddr returns the bound address of the listener for other instances.
func (in *Instance) PeerAddr() string { return in.peerListener.addr }

// Stop shuts the instance down: it becomes not ready and is marked as leaving in the instance list, refuses new requests
// after deregistrationDelay, waits until running requests have ended, and publishes its final counts. If ctx ends first,
// Stop returns its error and aborts the running requests.
func (in *Instance) Stop(ctx context.Context) error {
	in.leaving.Store(true)
	in.log.Info("shutting down", "running", in.handler.Running())
	in.leave(ctx)
	sleep(ctx, deregistrationDelay)
	err := in.handler.Drain(ctx)
	if e := in.claims.Drain(ctx); err == nil {
		err = e
	}
	in.publisher.publishFinal(ctx)
	in.close()
	in.log.Info("shut down")
	return errors.Wrap(err, "shutdown")
}

// leave marks the instance as leaving, both in its own view and in the platform's instance list.
func (in *Instance) leave(ctx context.Context) {
	var self platform.Instance
	listed := false
	err := in.loop.call(ctx, func() {
		in.gossip.view.MarkLeaving()
		if m, ok := in.gossip.view.Self(); ok {
			listed = true
			self = platform.Instance{
				Name: string(m.ID), Role: m.Role, Region: string(m.Region), Centre: string(m.Centre), Address: m.Address,
				Pool: string(m.Pool), State: platform.InstanceStateLeaving, Fenced: m.Fenced,
			}
		}
		in.gossip.onListChange()
	})
	if err != nil || !listed {
		return
	}
	if err := in.list.MarkLeaving(ctx, self); err != nil {
		in.log.Error(err, "cannot mark the instance as leaving; the platform's list shows it until it is removed")
	}
}

// close shuts the listeners down and stops the background work.
func (in *Instance) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, l := range []*listener{in.callerListener, in.operatorListener, in.peerListener} {
		if l != nil {
			l.close(ctx)
		}
	}
	if in.cancel != nil {
		in.cancel()
	}
	in.claims.Close()
	if in.stopTracing != nil {
		in.stopTracing(ctx)
	}
}

// close shuts the listener down: it waits until its connections have ended, or closes them when ctx ends.
func (l *listener) close(ctx context.Context) {
	if l.callers != nil {
		l.endCallers(ctx)
	}
	if l.server.Shutdown(ctx) != nil {
		l.server.Close()
	}
}

// endCallers ends the connections of callers that do not speak HTTP/2. A request of which bytes have arrived is answered.
// http.Server.Shutdown answers no request that it has read, except with HTTP/2, and closes idle connections without looking.
func (l *listener) endCallers(ctx context.Context) {
	linger, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	l.callers.EndIdle()
	go l.callers.CloseEmpty(ctx) // fails only if it is closed already
	l.awaitEnd(linger)
	l.callers.EndUnused()
	l.awaitEnd(ctx)
}

// awaitEnd waits until no connections are accepted any more and none is open, or until ctx ends.
func (l *listener) awaitEnd(ctx context.Context) {
	for ctx.Err() == nil && !l.ended() {
		sleep(ctx, 10*time.Millisecond)
	}
}

// ended reports whether no connections are accepted any more and none is open.
func (l *listener) ended() bool {
	select {
	case <-l.served:
	default:
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) == 0
}

// track follows the open connections. It has the signature of http.Server.ConnState.
func (l *listener) track(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s == http.StateNew:
		l.open[c] = struct{}{}
	case s == http.StateClosed, s == http.StateHijacked, peerconn.IsHTTP2(c):
		delete(l.open, c)
	}
}

// listen opens a listener and serves HTTP on it, with TLS if the server has a TLS configuration.
func listen(n Network, addr netip.AddrPort, s *http.Server) (*listener, error) {
	inner, err := n.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &listener{server: s, addr: inner.Addr().String(), served: make(chan struct{}), open: map[net.Conn]struct{}{}}
	if s.ConnContext != nil {
		l.callers = peerconn.NewListener(inner, 0)
		l.callers.SetLimits(peerconn.Limits{Header: s.ReadHeaderTimeout, Idle: s.IdleTimeout})
		s.ConnState = peerconn.TrackState(l.track)
		inner = l.callers
	}
	go func() {
		defer close(l.served)
		if s.TLSConfig != nil {
			s.ServeTLS(inner, "", "") // the certificates are in s.TLSConfig
		} else {
			s.Serve(inner)
		}
	}()
	return l, nil
}
