// Package pool schedules the requests of one service at one instance: it assigns requests to endpoints, queues them and
// refuses them. Its decisions use the requests that this instance has sent, the loads that other instances report, and
// the latency and the failure rate of each endpoint. Endpoints have no priorities and process requests in order of
// arrival, so a request stays in the queue of the pool, where its order can still change, until a slot is free.
package pool

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"monsoondale/core"
	"monsoondale/core/rollout"
)

// Endpoint is an entry of the list of endpoints.
type Endpoint struct {
	ID      core.EndpointID
	Address string // IP and port
	Centre  core.DataCentre
	Version core.SoftwareVersion // empty if unknown
	Slots   int                  // maximum number of concurrent requests
	Leaving bool                 // shutting down; gets no new requests
	// Cold is how long the endpoint stays slow after this entry was written.
	Cold time.Duration
	// Incarnation distinguishes restarts under the same id; 0 if unknown.
	Incarnation int64
	// Sequence is the number of the entry within the incarnation.
	Sequence int64
}

// Undoes reports whether an entry is older than another one of the same process that reported that it leaves. The store may execute a
// write seconds late, and a process that leaves does not return.
func (e *Endpoint) Undoes(leaving *Endpoint) bool {
	return leaving.Leaving && !e.Leaving && e.Incarnation != 0 && e.Incarnation == leaving.Incarnation && e.Sequence < leaving.Sequence
}

// Precedes reports whether an entry was written earlier than another one of the same endpoint: by an earlier process, or earlier by the
// same one. Of processes whose start is unknown it is not known.
func (e *Endpoint) Precedes(o *Endpoint) bool {
	if e.Incarnation == 0 || o.Incarnation == 0 {
		return false
	}
	return e.Incarnation < o.Incarnation || e.Incarnation == o.Incarnation && e.Sequence < o.Sequence
}

// Request describes a request that needs an endpoint.
type Request struct {
	ID        core.RequestID
	Tier      core.Tier
	Workspace core.WorkspaceID // empty if there is none
	Route     string           // its name
	Prompt    core.Tokens
	MaxOutput core.Tokens // upper bound; 0 if the request does not state it
	// Arrived is the time at which the request had been read completely.
	Arrived time.Time
	// Waited is how long before Arrived the caller began to wait, if it was turned away and has returned. It counts for the order
	// of the queue; Objective is to allow for it too.
	Waited time.Duration
	// Objective is the latest time at which the response, or the first event of a stream, counts as on time. Zero for
	// none.
	Objective time.Time
	// GapObjective is the longest pause between the events of a stream that is on time; 0 for none.
	GapObjective time.Duration
	// Deadline is the time by which the response, or the first event, must begin, as it is of no use to the caller later.
	// A request that is still queued at its deadline is refused.
	Deadline time.Time
	// Rank orders requests of one tier; a lower one is more urgent. It is the tier of the route, while Tier is that of the
	// workspace if it has one.
	Rank int
	// Exclude lists endpoints that were already tried. They are chosen only if there is no other.
	Exclude []core.EndpointID
	// Only lists the endpoints of which one is to be chosen; empty for any. Exclude does not apply to them.
	Only []core.EndpointID
	// Returning marks a request that was taken from the endpoints in Only while they may have been sound. It may run nowhere else, so
	// a suspension and the lack of a free slot do not keep it from them.
	Returning bool
	// Stream marks a request whose response is a series of events.
	Stream bool
	// Unstalled marks a request that is sent to no endpoint whose streams have all stalled.
	Unstalled bool
	// Retried marks a request that was already sent to another endpoint; its caller may be receiving the response.
	Retried bool
	// Begun marks a request whose caller is receiving the response, which can no longer be refused.
	Begun bool
}

// Decision is the result of scheduling a request: a *Grant or a Refusal.
type Decision interface{ decision() }

// Refusal is the decision not to serve a request. RetryAfter is the time in which a place is expected for it, within bounds, or
// a short fixed time if the reason is not an overload.
type Refusal struct {
	RetryAfter time.Duration
	Reason     string
	State      State
	Decider    string // see Grant
}

// State summarises the pool at the time of a decision.
type State struct {
	Waiting int // queued requests of this instance
	Free    int // slots of available endpoints that no known request uses
	Slots   int // slots of available endpoints
	Peers   int // other instances with a valid report
	// PredictedWait is the time in the queue that was predicted on arrival for a request that is refused because of an overload.
	PredictedWait time.Duration
	// ReportAge is the age of the oldest of these reports.
	ReportAge time.Duration
}

// Grant permits one request to be sent to an endpoint. Pool.Release frees the slot.
type Grant struct {
	Endpoint Endpoint
	// ExpectedLatency is the predicted time to the first event.
	ExpectedLatency time.Duration
	// ExpectedDuration is the predicted time to the last event of a stream, which is assumed to have its maximum length.
	ExpectedDuration time.Duration
	// RunningAtEndpoint is the known number of requests of all instances at the endpoint just before the grant.
	RunningAtEndpoint int
	State             State
	// Decider is the keeper, or why this instance has decided although there is one; empty if there is none.
	Decider string

	endpointState *endpointState
	req           Request
	sent          time.Time // when the grant was made
	connected     time.Time // when the request was about to be sent; zero before
	// promptBacklog is the number of prompt tokens that the endpoint processes before the first event, including those of
	// this request.
	promptBacklog core.Tokens
	responseBegan bool      // the response has begun
	slowness      float64   // stated in the response; 0 if not
	statedAt      time.Time // when it was stated
	slownessSum   float64   // see slowness.until
	statedLoad    int       // requests at the endpoint, as the response stated; 0 if not
	interval      float64   // mean time between two events, in nanoseconds; 0 if not known
	probe         bool      // the endpoint is being probed after a suspension
	place         PlaceID   // zero if this instance has decided itself
}

func (*Grant) decision()  {}
func (Refusal) decision() {}

// Outcome is the result of a request at an endpoint.
type Outcome int

// Outcomes.
const (
	// Served is a complete response, unless it is a ServerError.
	Served Outcome = iota
	// ServerError is a complete response that reports a failure of the endpoint itself, with a status of 500 or above.
	ServerError
	// Cancelled is an end that says nothing about the endpoint, such as a disconnected caller.
	Cancelled
	// Unreachable is a connection that was refused; the request did not run.
	Unreachable
	// Rejected is a response that states that the request did not run.
	Rejected
	// Broken is a response that was truncated, corrupt or missing.
	Broken
	// Moved means that the address now belongs to another endpoint; the request did not run.
	Moved
	// Deferred is a rejection that states how long to wait; the request did not run.
	Deferred
	// Silent is a response, or the rest of one, that did not come for a time, until the deadline or until another endpoint got the
	// request. The endpoint may be sound and continue.
	Silent
	// TimedOut is a connection that could not be opened in time; the request did not run. The endpoint or its host may only have paused.
	TimedOut
)

func (o Outcome) String() string {
	return [...]string{"served", "failed", "cancelled", "unreachable", "rejected", "broken", "moved", "deferred", "silent", "timed out"}[o]
}

// Ticket is the queue entry of a request.
type Ticket struct {
	// Decided receives the decision once.
	Decided chan Decision
	req     Request
	late    bool // the request can no longer be on time
	// expectedWait is the wait in the queue that was predicted on arrival; below 0 until then.
	expectedWait time.Duration
	kind         *kindStats // may be nil
	due          bool       // its caller returns in the time that it was told
	promised     bool       // it goes before others for that, although it is late
	closed       bool       // decided or withdrawn; no longer in the queue
	// spare marks a request that another endpoint is working on, so that it is not refused if it gets none.
	spare  bool
	filter rollout.Filter // at the last decision
	ask    *Ask           // that this instance decides as a keeper; nil for other requests
	local  string         // why this instance decides, not a keeper; empty if there is none
}

// Options configures a Pool.
type Options struct {
	Centre core.DataCentre // of this instance
	Limits Limits
	// Seed makes instances with the same reports choose different endpoints.
	Seed uint64
	// Log receives a line for each endpoint that is suspended or available again.
	Log logr.Logger
	// Keeper is the id of this instance as a keeper, and Places is told of places of other keepers and of decided asks. Both are unset if
	// there are no keepers.
	Keeper KeeperID
	Places PlaceObserver
}

// streamIntervalWeight is the weight of the newest stream in an endpoint's mean time between events.
const streamIntervalWeight = 0.2

// requestWeight is the weight of the newest request in the mean number of prompt tokens and the mean service time,
// which cover about 50 requests.
const requestWeight = 0.02

// Pool schedules the requests of one service. It is safe for concurrent use.
type Pool struct {
	mu                 sync.Mutex
	o                  Options
	endpoints          map[core.EndpointID]*endpointState
	gone               map[core.EndpointID]*endpointState // no longer listed, but requests of this instance, or at lent places, run there
	notices            map[core.EndpointID]*noticeState
	rollout            *rolloutState    // nil without an order
	orderedEndpoints   []*endpointState // by id
	queue              []*Ticket        // in the order of precedes
	peers              map[core.InstanceID]*peerReport
	listChanged        bool          // since sumPeerLoads last ran, so that the sums do not fit the endpoints
	waitingAtPeers     []int         // requests that the others report as waiting, by tier
	unreportedRequests int           // result of unreported for the present call of assign; below 0 if not known yet
	lastPeerSum        time.Time     // when sumPeerLoads last ran
	peerLoadAge        time.Duration // mean age of the requests in the reports, when sumPeerLoads last ran
	peerServiceTime    average       // seconds from grant to completion at the other instances
	remotePenalty      time.Duration // see minRemotePenalty
	model              latencyModel
	admission          admission
	samples            []Sample          // since the last report
	centreSamples      []Sample          // of the data centre, since its last report
	failures           []core.EndpointID // since the last report
	newWork            []Work            // since the last report
	centreWork         []Work            // of the data centre, since its last report
	work               [loadBands]band   // of all endpoints
	gapObjective       average           // nanoseconds
	workVariance       average           // of the logarithm of the times in work
	limitsUpdated      time.Time
	exploring          int         // endpoints that are being measured at half of their slots
	pauseRatio         average     // longest pause of a stream relative to its mean time between events
	meanPrompt         average     // prompt tokens of a request
	candidates         []candidate // reused by decide
	serviceTime        average     // nanoseconds from grant to completion of a served request
	rng                *rand.Rand
	// assumedPosition is a random position of this instance in the order of sending, from 0 to 1, which is drawn anew for
	// each report. chooseEndpoint uses it.
	assumedPosition float64
	lent            map[core.InstanceID]*originPlaces // by the sender of the reports that show their requests
	restricted      bool                              // see restricts; as of the present call of assign
	keeping         bool                              // asks are queued, see Lend; as of the present call of assign
	lastAsks        time.Time                         // when assign last went through the whole queue, asks included
	rooms           map[core.DataCentre]*room         // in the other data centres
	roomsBuffer     []core.DataCentre                 // reused by openRooms
	decidedAsks     []DecidedAsk                      // since TakeDecided
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{o: o, endpoints: map[core.EndpointID]*endpointState{}, gone: map[core.EndpointID]*endpointState{}, notices: map[core.EndpointID]*noticeState{}, peers: map[core.InstanceID]*peerReport{}, lent: map[core.InstanceID]*originPlaces{}, rooms: map[core.DataCentre]*room{}, remotePenalty: minRemotePenalty, rng: rand.New(rand.NewPCG(o.Seed, 0))}
}

// SetEndpoints replaces the list of endpoints. Requests at endpoints that are no longer listed continue, and occupy their slots
// again if the entry returns: entries of sound endpoints go and come while the store is away.
func (p *Pool) SetEndpoints(now time.Time, list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[core.EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		e := p.endpoints[entry.ID]
		if e == nil {
			e = p.gone[entry.ID]
		}
		if e == nil || e.Address != entry.Address || e.Incarnation != entry.Incarnation {
			e = &endpointState{slowdown: 1, scoreOffset: p.scoreOffset(entry.ID), created: now, coldUntil: now.Add(entry.Cold), hash: xxhash.Sum64String(string(entry.ID))}
		}
		p.endpoints[entry.ID] = e
		delete(p.gone, entry.ID)
		e.Endpoint = entry
		e.notice = nil
		if n := p.notices[entry.ID]; n.appliesTo(&entry) {
			e.notice = n
		}
	}
	p.pruneNotices(now)
	p.listChanged = true
	p.orderedEndpoints = p.orderedEndpoints[:0]
	for id, e := range p.endpoints {
		if !listed[id] {
			delete(p.endpoints, id)
			if e.ownRunning > 0 || e.lent > 0 {
				p.gone[id] = e
			}
			continue
		}
		p.orderedEndpoints = append(p.orderedEndpoints, e)
	}
	sort.Slice(p.orderedEndpoints, func(i, j int) bool { return p.orderedEndpoints[i].ID < p.orderedEndpoints[j].ID })
	p.assign(now)
}

// Submit queues a request. The ticket may already have a decision on return.
func (p *Pool) Submit(now time.Time, req Request) *Ticket {
	return p.submit(now, &Ticket{req: req})
}

func (p *Pool) submit(now time.Time, t *Ticket) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanPrompt.add(float64(t.req.Prompt), requestWeight)
	p.admission.recordArrival(now, t)
	t.Decided, t.expectedWait = make(chan Decision, 1), -1
	p.enqueue(t)
	p.assign(now)
	return t
}

// Acquire grants an endpoint if one has a free slot now, without queueing the request. It returns nil if there is none. It is for
// requests that another endpoint is working on, and grants no suspended endpoint to them unless they return to it.
func (p *Pool) Acquire(now time.Time, req Request) *Grant {
	t := p.submit(now, &Ticket{req: req, spare: true})
	return p.Withdraw(now, t)
}

// Withdraw removes a request from the queue. If a grant has already been made, it returns that grant, which the caller
// must pass to Release.
func (p *Pool) Withdraw(now time.Time, t *Ticket) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.closed {
		select {
		case d := <-t.Decided:
			if g, ok := d.(*Grant); ok {
				return g
			}
		default:
		}
		return nil
	}
	t.closed = true
	p.remove(t)
	return nil
}

// Tick makes the decisions that become due by time alone, such as refusals of requests that have waited for too long and
// grants of endpoints whose suspension has ended. It is called every few milliseconds while requests are queued.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assign(now)
}

// RecordFirstEvent records that the endpoint of a grant has begun its response.
func (p *Pool) RecordFirstEvent(now time.Time, g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.responseBegan {
		return
	}
	g.responseBegan = true
	if g.req.Stream {
		g.endpointState.streams++
	}
	p.updateAndLog(now, g.endpointState, func() {
		g.endpointState.confirmAddress(g.sent)
		g.endpointState.recordResponse(now)
	})
	g.endpointState.pendingPrompt -= g.req.Prompt
	if g.place != (PlaceID{}) {
		p.o.Places.PlaceBegan(g.place)
	}
	g.endProbe()
	s := Sample{Endpoint: g.Endpoint.ID, PromptBacklog: g.promptBacklog, Latency: now.Sub(g.sent), Slowness: g.slowness, Load: g.statedLoad}
	p.recordBegin(now, g)
	p.model.addSample(g.endpointState, s)
	if len(p.samples) < maxReportEntries {
		p.samples = append(p.samples, s)
	}
	p.addCentreSample(s)
}

// RespondedSince reports whether the endpoint of a grant has begun or ended a response to a request of this instance
// since a time and since the grant was made, which means that it is busy rather than down.
func (p *Pool) RespondedSince(t time.Time, g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := g.endpointState.lastResponse
	return last.After(t) && last.After(g.sent)
}

// RecordBytes records that the endpoint of a grant has sent a part of a stream. It takes no lock.
func (p *Pool) RecordBytes(now time.Time, g *Grant) {
	e := g.endpointState
	e.lastBytes.Store(int64(now.Sub(e.created)))
}

// Streaming reports whether streams of this instance run at the endpoint of a grant and have not all stalled.
func (p *Pool) Streaming(now time.Time, g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := g.endpointState
	return e.streams > 0 && !p.model.stalled(now, e)
}

// SilentSince reports whether the endpoint of a grant has sent nothing to this instance since a time, although streams wait for events there,
// or were given up since the grant.
func (p *Pool) SilentSince(t time.Time, g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := g.endpointState
	return !e.lastHeard().After(t) && (e.streams > 0 || e.stalledAt.After(g.sent))
}

// RecordEvents records that a number of events of a stream took d, and the longest pause between two of them, which updates the mean
// time between events.
func (p *Pool) RecordEvents(g *Grant, events int, d, longest time.Duration) {
	if events <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := float64(d) / float64(events)
	g.interval = interval
	g.endpointState.eventInterval.add(interval, streamIntervalWeight)
	if events >= minPauseEvents && interval > 0 {
		p.pauseRatio.add(float64(longest)/interval, requestWeight)
	}
	if g.req.GapObjective > 0 {
		p.gapObjective.add(float64(g.req.GapObjective), requestWeight)
	}
	if g.slowness > 0 {
		p.model.eventInterval.add(interval/g.slowness, requestWeight)
	}
}

// Release frees the slot of a grant and records the outcome of its request.
func (p *Pool) Release(now time.Time, g *Grant, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := g.endpointState
	if o == Served {
		p.recordWork(now, g)
	}
	e.ownRunning--
	p.releasePlace(g, o == Served || o == ServerError)
	p.forgetGone(e)
	switch {
	case !g.responseBegan:
		e.pendingPrompt -= g.req.Prompt
	case g.req.Stream:
		e.streams--
		if o == Silent {
			e.stalledAt = now
		}
	}
	g.endProbe()
	p.recordEnd(now, g, o)
	p.updateAndLog(now, e, func() { e.recordOutcome(now, o) })
	if (o == Broken || o == Unreachable || o == Silent || o == TimedOut) && len(p.failures) < maxReportEntries {
		p.failures = append(p.failures, e.ID)
	}
	if o == Served || o == ServerError {
		p.serviceTime.add(float64(now.Sub(g.sent)), requestWeight)
	}
	p.assign(now)
}

// forgetGone forgets an endpoint that is no longer listed once no requests that are counted here run there.
func (p *Pool) forgetGone(e *endpointState) {
	if e.ownRunning == 0 && e.lent == 0 && p.gone[e.ID] == e {
		delete(p.gone, e.ID)
	}
}

// endProbe lets the next request probe the endpoint of a grant.
func (g *Grant) endProbe() {
	if g.probe {
		g.probe, g.endpointState.probing = false, false
	}
}

// updateAndLog runs an update of an endpoint's failure rate and suspension, and logs a suspension or its end.
func (p *Pool) updateAndLog(now time.Time, e *endpointState, update func()) {
	suspendedUntil, suspensions := e.suspendedUntil, e.consecutiveSuspensions
	update()
	switch {
	case e.suspendedUntil.After(suspendedUntil):
		p.o.Log.Info("endpoint suspended", "endpoint", e.ID, "span", e.suspendedUntil.Sub(now).String(), "row", e.consecutiveSuspensions, "reported", e.suspicion == reported)
	case suspensions > 0 && e.consecutiveSuspensions == 0:
		p.o.Log.Info("endpoint open", "endpoint", e.ID, "row", suspensions)
	}
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}
