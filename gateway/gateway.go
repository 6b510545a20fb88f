package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/common/lateness"
	"monsoondale/common/peerconn"
	"monsoondale/core"
	"monsoondale/core/fleet"
	"monsoondale/core/mirror"
	"monsoondale/core/pool"
	"monsoondale/core/quarantine"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
	"monsoondale/io/mesh"
	"monsoondale/io/operator"
	"monsoondale/io/proxy"
	wire "monsoondale/wire/mesh"
)

const (
	// tickInterval is how often waiting requests are scheduled again and the control loop is checked for a stall.
	tickInterval = 5 * time.Millisecond
	// fetchDelay is how long, beyond twice batchPause, an instance that watches the store waits for a newer revision from
	// there before it fetches another instance's copy. Other instances fetch the copy at once.
	fetchDelay = 120 * time.Millisecond
	// fetchRetryDelay is the mean time after a failed fetch before the next one. Digests, each of which may cause a fetch,
	// arrive every few milliseconds in large fleets.
	fetchRetryDelay = 100 * time.Millisecond
	// fetchPatience is how long a fetch may take before another instance's copy is fetched too, as the first one may be silent, and
	// maxFetches the number of fetches of a collection at once.
	fetchPatience = 400 * time.Millisecond
	maxFetches    = 3
	// catchUpInterval is the time between two fetches of changes that a list from the store lacked. The others may lack them too.
	catchUpInterval = time.Second
	// stallThreshold is the gap between two ticks above which the messages of other instances from before it are discarded.
	stallThreshold = 400 * time.Millisecond
	// endpointGrace is how long an endpoint's entry is kept after it was found to be missing following an outage of the
	// store. Entries of live endpoints are written again within two seconds.
	endpointGrace = 1800 * time.Millisecond
	// memoryShare is the part of the memory limit that is set as the limit of the Go runtime; the rest is for kernel
	// buffers and the program itself.
	memoryShare = 0.6
	// bodyShare is the part of the memory limit that the bodies of all requests and responses may occupy at once.
	bodyShare = 0.25
	// descriptorShare is the part of the file descriptors that connections of callers may use; the rest is for
	// endpoints.
	descriptorShare = 0.7
	// closingShare is the part of the connections allowed by descriptorShare above which responses close their
	// connection. Otherwise idle connections use all descriptors when one instance also serves the callers of others,
	// and new callers are not accepted.
	closingShare = 0.4
)

// Options configures a Gateway.
type Options struct {
	Settings *Settings
	Store    Store
	Headers  proxy.HeaderCodec
	// RequestIDHeader is the response header in which endpoints repeat the request's id.
	RequestIDHeader string
	Limits          pool.Limits
	Log             logr.Logger
	// Places tells whether keepers grant the places of endpoints.
	Places PlacesMode
}

// Gateway is a running instance.
type Gateway struct {
	o               Options
	log             logr.Logger
	start           time.Time
	budgets         *budgets
	client          *endpoint.Client
	proxy           *proxy.Handler
	mesh            *mesh.Mesh
	metrics         metrics.Registry
	config          atomic.Pointer[proxy.Config]
	publishedCopies [collectionCount]atomic.Pointer[publishedCopy]
	era             atomic.Int64 // latest one of the store
	keptCount       atomic.Int64 // objects that are kept, see mirror.Mirror.Kept
	ready           atomic.Bool
	leaving         atomic.Bool
	orders          atomic.Pointer[wire.Orders] // as of the last update, for operators
	stops           chan route.Service          // of orders, by operators
	// recording is set while a record of the usage of workspaces is being written.
	recording atomic.Bool
	// quarantine holds the parts of prompts that crash endpoints.
	quarantine    *quarantine.Ledger
	places        *keptPlaces
	parts         partsRecord
	entryLost     chan struct{} // the restored store lacks the entry of this instance
	registered    atomic.Int64  // era in which it was written; -1 before that
	updates       chan update
	digests       chan wire.Digest
	watch         *watchState
	lateness      *lateness.Meter
	revisions     [collectionCount]atomic.Int64 // revisions of the mirrors
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	servers       []*http.Server
	callers       *peerconn.Listener
	callersServed chan struct{} // closed when no more connections of callers are accepted
	stopOnce      sync.Once

	// Only the control goroutine uses the fields below.
	mirrors           [collectionCount]*mirror.Mirror
	fleet             *fleet.Fleet
	fleetUpdated      time.Time               // when updateFleet last ran
	addresses         map[string]*net.UDPAddr // of instances, by IP:PORT
	forward           []wire.Summary          // to be passed on within the data centre
	pools             map[route.Service]*pool.Pool
	table             *route.Table
	configBody        []byte                            // of which table was made
	entries           map[core.EndpointID]pool.Endpoint // that can be decoded, as in force
	skipped           [collectionCount]skipped          // entries that could not be decoded
	unidentified      [collectionCount]skipped          // entries of the last list of which it is not known which object they are
	behindSince       [collectionCount]time.Time        // since when another instance has a newer revision; zero if none has
	fetches           [collectionCount]fetches          // of copies from other instances, in progress
	stated            watchStatement
	digestNumber      int
	ordersUpdated     time.Time                // when updateOrders last ran
	rollouts          map[route.Service]*order // orders in the store
	lastTick          time.Time
	lastRecordAttempt time.Time
	copied            [collectionCount]bool // another instance's copy has been applied
	caughtUp          bool                  // requests are served, as what a restored store may lack is known, see mayServe
	partsInForce      bool                  // requests are served, as parts.known was set
	lastWallTime      time.Time
	keptSeen          [collectionCount]core.Revision // highest one of those that copies were fetched for, see fetchKept
	partsEra          core.Era                       // for which the parts are due to be written
}

// Start opens the listeners of a gateway and runs it.
func Start(o Options) (*Gateway, error) {
	s := o.Settings
	calls := &contact{}
	o.Store = observedStore{Store: o.Store, contact: calls}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	g := &Gateway{
		o: o, log: o.Log, start: time.Now().Truncate(time.Millisecond),
		metrics: metrics.NewRegistry(), watch: newWatchState(), lateness: lateness.New(standstillInterval),
		updates: make(chan update, 16), digests: make(chan wire.Digest, 256),
		pools:     map[route.Service]*pool.Pool{},
		addresses: map[string]*net.UDPAddr{}, entryLost: make(chan struct{}, 1),
		rollouts: map[route.Service]*order{}, stops: make(chan route.Service, 8),
		fleet: fleet.New(fleet.Options{Self: fleet.Member{Name: s.Name, Address: s.MeshAddress, Centre: s.Centre}, YoungFor: s.QuotaWindow}),
	}
	g.registered.Store(-1)
	g.budgets = newBudgets(g.start, s)
	g.places = newKeptPlaces(g)
	g.quarantine = quarantine.New(quarantine.Options{Log: o.Log})
	metrics.NewRegisteredFunctionalGauge("parts.quarantined", g.metrics, func() int64 { n, _ := g.quarantine.Size(); return int64(n) })
	metrics.NewRegisteredFunctionalGauge("parts.crashes", g.metrics, func() int64 { _, n := g.quarantine.Size(); return int64(n) })
	metrics.NewRegisteredFunctionalGauge("store.era", g.metrics, g.era.Load)
	metrics.NewRegisteredFunctionalGauge("store.kept", g.metrics, g.keptCount.Load)
	for c := range collectionCount {
		g.mirrors[c] = mirror.New(mirrorOptions(o.Store, c))
	}
	g.config.Store(&proxy.Config{})
	g.client = endpoint.New(endpoint.Options{RequestIDHeader: o.RequestIDHeader})
	g.proxy = proxy.New(proxy.Options{
		Headers: o.Headers, Client: g.client, Budgets: g.budgets, Config: func() proxy.Config { return *g.config.Load() },
		Quarantine: g.quarantine, ReserveTrial: g.reserveTrial, Lateness: func() time.Duration { return g.lateness.Longest(time.Now()) },
		Places: g.places, Log: g.log, Metrics: g.metrics, MaxBuffered: int64(bodyShare * float64(s.MemoryLimit)),
	})
	var err error
	g.mesh, err = mesh.Listen(mesh.Options{
		Address: s.MeshAddress, Copy: g.collectionCopy,
		OnDigest: func(d wire.Digest) {
			select {
			case g.digests <- d:
			default:
				// The queue is full. A later digest replaces the state in this one, but not its samples and failures.
			}
		},
		OnPlaces: func(m wire.Places) { g.places.receive(time.Now(), &m) },
		OnError:  func(err error) { g.log.Info("mesh message lost", "cause", err.Error()) },
	})
	if err != nil {
		return nil, err
	}
	g.places.mesh.Store(g.mesh)
	if err := g.listen(s); err != nil {
		g.mesh.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.controlLoop(ctx)
	}()
	for c := range collectionCount {
		if c == Rollouts && !s.Rollouts.Enabled {
			continue
		}
		w := &storeWatcher{collection: c, store: o.Store, log: g.log, updates: g.updates, watch: g.watch, mirrorRevision: &g.revisions[c], contact: calls}
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			w.run(ctx)
		}()
	}
	for _, run := range []func(context.Context){g.registerAgain, g.restoreUsage, g.restoreParts, g.watchStandstill, g.places.run} {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			run(ctx)
		}()
	}
	return g, nil
}

// listen opens the listeners for callers, health checks and metrics.
func (g *Gateway) listen(s *Settings) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	scrape := http.NewServeMux()
	scrape.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b, err := operator.FormatMetrics(g.metrics, nil)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Write(b) // only the scraper is affected by a failed write
	})
	scrape.HandleFunc("GET /parts", g.listParts)
	scrape.HandleFunc("DELETE /parts/{id}", g.releaseParts)
	scrape.HandleFunc("GET /endpoints", g.listEndpoints)
	scrape.HandleFunc("GET /rollouts", g.listOrders)
	scrape.HandleFunc("DELETE /rollouts/{service}", g.stopOrder)
	for _, l := range []struct {
		address string
		handler http.Handler
		callers bool
	}{{s.ReadyAddress, ready, false}, {s.MetricsAddress, scrape, false}, {s.CallerAddress, g.proxy, true}} {
		ln, err := net.Listen("tcp4", l.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		srv := &http.Server{
			Handler: l.handler, ErrorLog: newServerLogger(g.log),
			ReadHeaderTimeout: route.DefaultLimits.HeaderTimeout, IdleTimeout: route.DefaultLimits.IdleTimeout, MaxHeaderBytes: route.DefaultLimits.HeaderBytes,
		}
		if l.callers {
			maxConnections := max(int(descriptorShare*float64(s.MaxDescriptors)), 1)
			g.callers = peerconn.NewListener(ln, maxConnections)
			ln = g.callers
			srv.ConnContext = peerconn.WithConn
			srv.ConnState = peerconn.TrackState(g.proxy.TrackConnections(int(closingShare * float64(maxConnections))))
			// The server can't change its limits while it serves. Those of the configuration are enforced by the listener, and by the
			// handler; see applyLimits.
			srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = 0, 0, route.MaxHeaderBytes
			g.setTimeLimits(route.DefaultLimits)
		}
		g.servers = append(g.servers, srv)
		served := make(chan struct{})
		if l.callers {
			g.callersServed = served
		}
		go func() {
			defer close(served)
			srv.Serve(ln) // ends when the listener is closed
		}()
	}
	return nil
}

// Ready reports whether the instance accepts requests.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

// publishedCopy is the copy of a collection that other instances may fetch.
type publishedCopy struct {
	*mirror.Snapshot
	// settled is the latest one without doubts, or nil. Instances of the version before ignore marks: a copy that lists objects which are
	// missing as of its revision would hide their removal from these for good.
	settled *publishedCopy
}

// newPublishedCopy returns the content of a mirror for other instances, after a previous one, which may be nil.
func newPublishedCopy(m *mirror.Mirror, previous *publishedCopy) *publishedCopy {
	s := &publishedCopy{Snapshot: m.Snapshot()}
	switch {
	case len(s.Doubts) == 0:
		s.settled = s
	case previous != nil:
		s.settled = previous.settled
	}
	return s
}

// changesSince returns the changes after a revision, or the full copy if they are not known. marks reports whether the receiver
// understands objects in doubt, and removals beside a full copy.
func (s *publishedCopy) changesSince(now time.Time, since core.Revision, marks bool) wire.Copy {
	c := s.Since(since)
	// Copies have a revision above 0; there are no changes up to 1 that one of which nothing is known for sure could hide.
	w := wire.Copy{Revision: max(int(c.Revision), 1), Partial: !c.Full, Items: make([]wire.Item, 0, len(c.Items))}
	for _, it := range c.Items {
		switch {
		case !it.Deleted:
			w.Items = append(w.Items, wire.Item{Name: it.Name, Revision: int(it.Revision), Kept: int(it.Kept), Body: it.Body})
		case marks || !c.Full:
			gone := wire.Item{Name: it.Name, Revision: int(it.Revision), Kept: int(it.Kept), Body: json.RawMessage("null")}
			if it.Kept > 0 && it.Body != nil {
				gone.Body = it.Body
			}
			w.Gone = append(w.Gone, gone)
		}
	}
	for _, d := range c.Doubts {
		w.Missing = append(w.Missing, wire.Doubt{Name: d.Name, Revision: int(d.Revision), Last: int(d.Last), Age: int(now.Sub(d.Since).Milliseconds())})
	}
	return w
}

// collectionCopy returns the content of a collection for another instance; see publishedCopy.changesSince.
func (g *Gateway) collectionCopy(name string, since int, marks bool) (wire.Copy, bool) {
	for c := range collectionCount {
		if c.String() != name {
			continue
		}
		s := g.publishedCopies[c].Load()
		if s != nil && !marks {
			s = s.settled
		}
		if s != nil {
			return s.changesSince(time.Now(), core.Revision(since), marks), true
		}
	}
	return wire.Copy{}, false
}

// controlLoop updates the configuration, the endpoints and the list of instances. No other goroutine changes them.
func (g *Gateway) controlLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-g.updates:
			g.applyUpdate(time.Now(), u)
		case d := <-g.digests:
			g.handleDigest(ctx, time.Now(), &d)
		case s := <-g.stops:
			g.rejectOrder(time.Now(), s)
		case <-t.C:
			now := time.Now()
			g.tick(now)
			g.updateOrders(ctx, now)
			g.recordUsage(ctx, now)
			g.saveParts(ctx, now)
		}
	}
}

// tick runs the periodic work.
func (g *Gateway) tick(now time.Time) {
	if !g.lastTick.IsZero() {
		// The wall clock also shows stalls during which the monotonic clock did not advance.
		if gap := max(now.Sub(g.lastTick), now.Round(0).Sub(g.lastWallTime)); gap > stallThreshold {
			g.log.Info("control loop late", "gap", gap.String())
			// Digests from before the stall are out of date, even if the monotonic clock did not advance.
			g.fleet.Resume(now)
			g.watch.resume()
		}
	}
	g.lastTick, g.lastWallTime = now, now.Round(0)
	for _, p := range g.pools {
		if p.Waiting() > 0 {
			p.Tick(now)
		}
	}
	g.places.tick(now)
	for c := range collectionCount {
		if g.mirrors[c].Expire(now) {
			g.activate(now, c, "expiry")
		}
	}
	if !g.partsInForce && g.parts.known.Load() {
		g.partsInForce = true
		g.publishConfig()
		g.declareReady()
	}
	if !g.caughtUp && g.mayServe(now) {
		g.caughtUp = true
		g.publishConfig()
		g.declareReady()
	}
	if g.quarantine.TakeUrgent() {
		g.fleet.Hasten()
	}
	if now.Sub(g.fleetUpdated) >= fleetInterval {
		g.fleetUpdated = now
		g.updateFleet(now)
	}
	if g.watch.proven(now) != g.stated.proven {
		g.stateWatch(now)
	}
	g.sendDigests(now)
}

// fetches are the fetches of a collection that are in progress.
type fetches struct {
	from []core.InstanceID
	last time.Time // when the last one was started
}

// start reports whether a fetch from an instance may start, and counts it if so.
func (f *fetches) start(now time.Time, from core.InstanceID) bool {
	if n := len(f.from); n > 0 && (n >= maxFetches || now.Sub(f.last) < fetchPatience || slices.Contains(f.from, from)) {
		return false
	}
	f.from, f.last = append(f.from, from), now
	return true
}

// end records that a fetch from an instance has ended.
func (f *fetches) end(from core.InstanceID) {
	f.from = slices.DeleteFunc(f.from, func(id core.InstanceID) bool { return id == from })
}

// mayCatchUp reports whether an instance with a revision rev may have changes that a list from the store lacked.
func (g *Gateway) mayCatchUp(now time.Time, c Collection, rev core.Revision) bool {
	m := g.mirrors[c]
	return m.Behind() && rev > m.Revision() && now.Sub(g.fetches[c].last) >= catchUpInterval
}

// fetchIfNewer fetches another instance's copy of a collection if its revision rev is newer than the mirror, or if the
// mirror has no complete list yet. An instance that watches the store first waits for the change from there.
func (g *Gateway) fetchIfNewer(ctx context.Context, now time.Time, c Collection, m fleet.Member, rev core.Revision) {
	// Without a complete list, a copy of any revision but 0 is fetched.
	if known := max(g.mirrors[c].LastChange(), g.mirrors[c].Revision()); rev <= known && (g.mirrors[c].Synced() || rev == 0) && !g.mayCatchUp(now, c, rev) {
		return
	}
	if g.behindSince[c].IsZero() {
		g.behindSince[c] = now
	}
	// An instance that watches the store receives the change from there, unless its watch has stalled.
	if g.watch.proven(now) && g.mirrors[c].Synced() && now.Sub(g.behindSince[c]) < fetchDelay+batchPause[c]*2 {
		return
	}
	since := core.Revision(0)
	if g.mirrors[c].Synced() {
		since = g.mirrors[c].Revision()
	}
	g.fetch(ctx, now, c, m, since)
}

// fetch fetches another instance's copy of a collection, or the changes after a revision, and reports whether it has begun to.
func (g *Gateway) fetch(ctx context.Context, now time.Time, c Collection, m fleet.Member, since core.Revision) bool {
	if !g.fetches[c].start(now, m.Name) {
		return false
	}
	address := m.Address
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		u := update{collection: c, source: string(m.Name)}
		w, err := g.mesh.FetchCopy(ctx, address, c.String(), int(since))
		if err != nil {
			g.log.Info("cannot fetch copy", "collection", c.String(), "from", m.Name, "cause", err.Error())
			sleep(ctx, fetchRetryDelay/2+rand.N(fetchRetryDelay))
		} else {
			u = decodeCopy(time.Now(), c, u.source, since, w)
		}
		select {
		case g.updates <- u:
		case <-ctx.Done():
		}
	}()
	return true
}

// applyUpdate applies changes of a collection.
func (g *Gateway) applyUpdate(now time.Time, u update) {
	if u.source != storeSource {
		g.fetches[u.collection].end(core.InstanceID(u.source))
		g.behindSince[u.collection] = time.Time{}
		if u.rev == 0 { // the copy could not be fetched
			g.keptSeen[u.collection] = 0
			return
		}
	}
	g.copied[u.collection] = g.copied[u.collection] || u.source != storeSource
	m := g.mirrors[u.collection]
	last, era, synced := m.LastChange(), m.Revision().Era(), m.Synced()
	kept, _ := m.Kept()
	// A process that has just started has not seen the outage that the marks of others show.
	u.afterOutage = u.afterOutage || u.source == storeSource && m.HasMissing() && now.Sub(g.start) < recoveryPeriod
	changed := u.apply(now, m, g.identified(u))
	g.revisions[u.collection].Store(int64(m.Revision()))
	g.era.Store(max(g.era.Load(), int64(m.Revision().Era())))
	g.watch.enter(m.Revision().Era())
	if synced && m.Revision().Era() > era {
		g.beginEra(u, era)
	}
	switch {
	case changed:
		g.behindSince[u.collection] = time.Time{}
		g.activate(now, u.collection, u.source)
		g.fleet.Hasten()
	case m.LastChange() > last: // objects that are in doubt
		g.publish(u.collection)
		g.fleet.Hasten()
	default:
		if k, _ := m.Kept(); k != kept {
			g.publish(u.collection)
		}
	}
}

// decodeCopy converts another instance's copy, or the changes after a revision. The time that it took to arrive is added to the grace
// period of objects in doubt.
func decodeCopy(now time.Time, c Collection, source string, since core.Revision, w wire.Copy) update {
	u := update{collection: c, source: source, rev: core.Revision(w.Revision), since: since, list: since == 0, complete: !w.Partial}
	u.part = w.Partial && u.list
	for _, it := range w.Items {
		u.items = append(u.items, mirror.Item{Name: it.Name, Revision: core.Revision(it.Revision), Kept: core.Revision(it.Kept), Body: it.Body})
	}
	for _, it := range w.Gone {
		gone := mirror.Item{Name: it.Name, Revision: core.Revision(it.Revision), Kept: core.Revision(it.Kept), Deleted: true}
		if it.Kept > 0 {
			gone.Body = it.Body
		}
		u.items = append(u.items, gone)
	}
	for _, d := range w.Missing {
		age := min(max(milliseconds(d.Age), 0), endpointGrace)
		u.doubts = append(u.doubts, mirror.Doubt{Name: d.Name, Revision: core.Revision(d.Revision), Last: core.Revision(d.Last), Since: now.Add(-age)})
	}
	return u
}

// publish makes the content of a collection available to other instances.
func (g *Gateway) publish(c Collection) {
	g.publishedCopies[c].Store(newPublishedCopy(g.mirrors[c], g.publishedCopies[c].Load()))
}

// activate puts the content of a collection into force and publishes it for other instances.
func (g *Gateway) activate(now time.Time, c Collection, source string) {
	m := g.mirrors[c]
	items := m.Items()
	g.publish(c)
	switch c {
	case Configurations:
		g.activateConfiguration(now, items, source)
	case Endpoints:
		g.activateEndpoints(now, items, source)
	case Instances:
		g.activateMembers(now, items)
	case Rollouts:
		g.activateOrders(now, items)
	}
	g.declareReady()
}

// declareReady makes the instance ready once it knows a configuration, the endpoints and the parts in quarantine.
func (g *Gateway) declareReady() {
	if g.table != nil && g.mirrors[Endpoints].Synced() && g.partsInForce && g.caughtUp && !g.ready.Load() {
		g.ready.Store(true)
		g.log.Info("ready", "version", g.table.Version(), "revision", g.mirrors[Endpoints].Revision())
	}
}

// activateConfiguration applies, in turn, each configuration in the list that is not older than the current one.
func (g *Gateway) activateConfiguration(now time.Time, items []mirror.Item, source string) {
	var odd skipped
	for _, it := range items {
		t, err := g.o.Store.Table(it)
		if err != nil {
			odd.add(it, err.Error())
			continue
		}
		if t == nil || g.table != nil && t.Version() < g.table.Version() {
			continue
		}
		if g.configBody != nil && bytes.Equal(it.Body, g.configBody) {
			continue // written again, or listed again by a restored store
		}
		previous := g.table
		g.table, g.configBody = t, it.Body
		g.applyLimits(previous)
		g.budgets.mu.Lock()
		g.budgets.ledger.Configure(t.Workspaces())
		g.budgets.mu.Unlock()
		g.log.Info("configuration in force", "version", t.Version(), "revision", it.Revision, "from", source)
	}
	g.skipped[Configurations].replace(g.log, Configurations, odd)
	g.publishConfig()
}

// applyLimits applies the time limits of the configuration to the connections of callers. The handler enforces the others.
func (g *Gateway) applyLimits(previous *route.Table) {
	l := g.table.Limits()
	if previous != nil && l == previous.Limits() {
		return
	}
	g.setTimeLimits(l)
	g.log.Info("limits in force", "version", g.table.Version(), "header", l.HeaderBytes, "body", l.BodyBytes, "header time", l.HeaderTimeout.String(), "idle time", l.IdleTimeout.String())
}

// setTimeLimits sets the time limits of the connections of callers.
func (g *Gateway) setTimeLimits(l route.Limits) {
	g.callers.SetLimits(peerconn.Limits{Header: l.HeaderTimeout, Idle: l.IdleTimeout})
}

// activateEndpoints applies the list of endpoints.
func (g *Gateway) activateEndpoints(now time.Time, items []mirror.Item, source string) {
	lists := map[route.Service][]pool.Endpoint{}
	addresses := map[string]bool{}
	entries := make(map[core.EndpointID]pool.Endpoint, len(items))
	leaving := 0
	var odd skipped
	for _, it := range items {
		s, e, err := g.o.Store.Endpoint(it)
		if err != nil {
			odd.add(it, err.Error())
			continue
		}
		if previous := g.entries[e.ID]; e.Undoes(&previous) {
			e = previous
		}
		entries[e.ID] = e
		lists[s] = append(lists[s], e)
		addresses[e.Address] = true
		if e.Leaving {
			leaving++
		}
	}
	g.entries = entries
	g.skipped[Endpoints].replace(g.log, Endpoints, odd)
	for s := range lists {
		if g.pools[s] == nil {
			g.pools[s] = pool.New(pool.Options{
				Centre: g.o.Settings.Centre, Seed: xxhash.Sum64String(string(g.o.Settings.Name)), Log: g.log.WithValues("service", s),
				Limits: g.o.Limits, Keeper: g.places.id, Places: g.places.observer(s),
			})
			g.registerGauges(s, g.pools[s])
		}
	}
	g.attachOrders(now)
	for s, p := range g.pools {
		p.SetEndpoints(now, lists[s])
		g.places.drainPool(now, s, p) // before it may be removed
		if len(lists[s]) == 0 && !g.uses(s) {
			delete(g.pools, s)
			g.unregisterGauges(s)
		}
	}
	g.client.CloseIdleExcept(func(a string) bool { return addresses[a] })
	g.log.Info("endpoints in force", "endpoints", len(addresses), "leaving", leaving, "revision", g.mirrors[Endpoints].LastChange(), "from", source)
	g.publishConfig()
}

// publishConfig passes the configuration and the pools to the goroutines that serve requests.
func (g *Gateway) publishConfig() {
	c := &proxy.Config{Table: g.table, Pools: make(map[route.Service]*pool.Pool, len(g.pools))}
	if !g.mirrors[Endpoints].Synced() || !g.partsInForce || !g.caughtUp {
		c.Table = nil
	}
	for s, p := range g.pools {
		c.Pools[s] = p
	}
	g.config.Store(c)
}

// activateMembers applies the list of instances.
func (g *Gateway) activateMembers(now time.Time, items []mirror.Item) {
	list := make([]fleet.Member, 0, len(items))
	var odd skipped
	for _, it := range items {
		entry, err := g.o.Store.InstanceEntry(it)
		if err != nil {
			odd.add(it, err.Error())
			continue
		}
		list = append(list, fleet.Member(entry))
	}
	g.skipped[Instances].replace(g.log, Instances, odd)
	g.fleet.List(now, list)
	g.checkOwnEntry(items)
}

// register writes the entry of this instance to the store. It retries until it succeeds, and logs no errors.
func (g *Gateway) register(ctx context.Context) {
	s := g.o.Settings
	for wait := minStoreBackoff; ctx.Err() == nil; wait = min(2*wait, maxStoreBackoff) {
		era, err := g.o.Store.Register(ctx, InstanceEntry{Name: s.Name, Address: s.MeshAddress, Centre: s.Centre})
		if err == nil {
			g.registered.Store(int64(era))
			return
		}
		sleep(ctx, wait)
	}
}
