// Package pool decides, at one instance and for one service, which request is sent to which endpoint, which one waits
// and which one is refused. It knows the requests that this instance has sent, the loads that other instances report,
// and how fast and how reliable each endpoint has been. Engines have no priorities and run requests in the order of
// arrival, so a request is held back here until a slot is free, where its order can still change.
package pool

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"monsoondale/core"
)

// Endpoint is an entry of the list of endpoints.
type Endpoint struct {
	ID      core.EndpointID
	Address string // IP and port
	Centre  core.DataCentre
	Slots   int  // requests that it works on at once
	Leaving bool // takes no new work
	// Incarnation tells starts under the same id apart; 0 if unknown.
	Incarnation int64
}

// Request describes a request that needs an endpoint.
type Request struct {
	ID        core.RequestID
	Tier      core.Tier
	Prompt    core.Tokens
	MaxOutput core.Tokens // upper bound; 0 for plain services
	// Arrived is the time at which the request had been read.
	Arrived time.Time
	// Objective is the time by which the response, or the first event, is on time. Zero for none.
	Objective time.Time
	// Deadline is the time by which the response, or the first event, must begin to be of use.
	Deadline time.Time
	// Rank orders requests of one tier; a lower one is more urgent.
	Rank int
	// Exclude names endpoints that were tried. They are chosen only if there is no other.
	Exclude []core.EndpointID
	// Resumed marks a request that another endpoint had begun; its caller is already receiving.
	Resumed bool
}

// Decision is the outcome of a wait: a *Grant or a Refusal.
type Decision interface{ decision() }

// Refusal says that no endpoint was given. Retry is the time after which one is expected to be free.
type Refusal struct {
	RetryAfter time.Duration
	Reason     string
	State      State
}

// State is what a decision was based on.
type State struct {
	Waiting int // requests that wait here
	Free    int // slots of open endpoints that no known request uses
	Slots   int // slots of open endpoints
	Peers   int // instances whose reports count
	// ReportAge is the age of the oldest of these reports.
	ReportAge time.Duration
}

// Grant is the right to send one request to an endpoint. It ends with Pool.Done.
type Grant struct {
	Endpoint Endpoint
	// ExpectedLatency is the time to the first event that the pool predicts.
	ExpectedLatency time.Duration
	// EndpointLoad is the load of the endpoint when the grant was made.
	EndpointLoad int
	State        State

	acct    *account
	work    Request
	sent    time.Time
	ahead   core.Tokens // prompt tokens that the endpoint reads up to the end of this prompt
	started bool
	probe   bool
}

func (*Grant) decision()  {}
func (Refusal) decision() {}

// Outcome is how a request ended at an endpoint.
type Outcome int

// Outcomes.
const (
	// Served is a response of the endpoint, whatever it says of the request.
	Served Outcome = iota
	// Failed is a response that states a failure of the endpoint itself.
	Failed
	// Cancelled is an end that says nothing about the endpoint, such as a caller that left.
	Cancelled
	// Unreachable is a refused or timed out connection; the request did not run.
	Unreachable
	// Rejected is a response that says that the request did not run.
	Rejected
	// Broken is a response that was cut off, spoilt or did not come.
	Broken
	// Moved is an address that now belongs to another endpoint; the request did not run.
	Moved
)

func (o Outcome) String() string {
	return [...]string{"served", "failed", "cancelled", "unreachable", "rejected", "broken", "moved"}[o]
}

// Ticket is a request's place in the queue.
type Ticket struct {
	// Decided receives the decision once.
	Decided chan Decision
	work    Request
	late    bool
	done    bool
}

// Options configures a Pool.
type Options struct {
	Centre core.DataCentre // of this instance
	// Seed makes choices differ between instances.
	Seed uint64
	// Log receives a line for each endpoint that is suspended or open again.
	Log logr.Logger
}

// stepWeight is the weight of the newest stream in an endpoint's time between events.
const stepWeight = 0.2

// sizeWeight is the weight of the newest request in the mean number of prompt tokens and the mean time that requests
// take; about the last 50 count.
const sizeWeight = 0.02

// Pool schedules the requests of one service. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	o        Options
	accounts map[core.EndpointID]*account
	order    []*account // sorted by id
	queue    []*Ticket  // by precedence
	peers    map[core.InstanceID]heard
	summed   time.Time // when their loads were added up
	model    model
	served   pace
	samples  []Sample          // since the last report
	failed   []core.EndpointID // likewise
	prompt   average           // prompt tokens of a request
	choices  []choice          // reused by decide
	stay     average           // nanoseconds that a served request is at an endpoint
	rng      *rand.Rand
	place    float64 // of this instance among those that send, from 0 to 1, until its next report
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{o: o, accounts: map[core.EndpointID]*account{}, peers: map[core.InstanceID]heard{}, rng: rand.New(rand.NewPCG(o.Seed, 0))}
}

// SetEndpoints replaces the list of endpoints. Requests at endpoints that are no longer listed run on.
func (p *Pool) SetEndpoints(now time.Time, list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[core.EndpointID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		a := p.accounts[e.ID]
		if a == nil || a.Address != e.Address || a.Incarnation != e.Incarnation {
			a = &account{speed: 1}
			p.accounts[e.ID] = a
		}
		a.Endpoint = e
	}
	p.order = p.order[:0]
	for id, a := range p.accounts {
		if !listed[id] {
			delete(p.accounts, id)
			continue
		}
		p.order = append(p.order, a)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].ID < p.order[j].ID })
	p.assign(now)
}

// Submit asks for an endpoint. The decision may be there on return.
func (p *Pool) Submit(now time.Time, w Request) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prompt.add(float64(w.Prompt), sizeWeight)
	t := &Ticket{Decided: make(chan Decision, 1), work: w}
	p.enqueue(t)
	p.assign(now)
	return t
}

// Withdraw ends a wait. It returns the grant if one had been made, which the caller of Withdraw must end with Done.
func (p *Pool) Withdraw(now time.Time, t *Ticket) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.done {
		select {
		case d := <-t.Decided:
			if g, ok := d.(*Grant); ok {
				return g
			}
		default:
		}
		return nil
	}
	t.done = true
	p.remove(t)
	return nil
}

// Tick refuses what can no longer be served and assigns what can. It is called every few milliseconds while requests
// wait.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assign(now)
}

// RecordFirstEvent records that the endpoint of a grant has begun its response.
func (p *Pool) RecordFirstEvent(now time.Time, g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.started {
		return
	}
	g.started = true
	g.acct.heard = now
	g.acct.reading -= g.work.Prompt
	s := Sample{Endpoint: g.Endpoint.ID, PromptBacklog: g.ahead, Latency: now.Sub(g.sent)}
	p.model.first(g.acct, s.PromptBacklog, s.Latency)
	if len(p.samples) < reportSamples {
		p.samples = append(p.samples, s)
	}
}

// RespondedSince reports whether the endpoint of a grant has begun or ended another response since the request was sent. Then it
// is busy, not dead.
func (p *Pool) RespondedSince(g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return g.acct.heard.After(g.sent)
}

// RecordEvents records the mean time between events of a stream.
func (p *Pool) RecordEvents(g *Grant, events int, d time.Duration) {
	if events <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g.acct.step.add(float64(d)/float64(events), stepWeight)
}

// Done ends a grant.
func (p *Pool) Done(now time.Time, g *Grant, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := g.acct
	a.running--
	if !g.started {
		a.reading -= g.work.Prompt
	}
	if g.probe {
		a.probing = false
	}
	p.judge(now, a, func() { a.judge(now, o) })
	if (o == Broken || o == Unreachable) && len(p.failed) < reportSamples {
		p.failed = append(p.failed, a.ID)
	}
	if o == Served || o == Failed {
		a.heard = now
		p.served.add(now)
		p.stay.add(float64(now.Sub(g.sent)), sizeWeight)
	}
	p.assign(now)
}

// judge updates the failure rate of an endpoint and logs what follows from it.
func (p *Pool) judge(now time.Time, a *account, update func()) {
	suspended, strikes := a.suspended, a.strikes
	update()
	switch {
	case a.suspended.After(suspended):
		p.o.Log.Info("endpoint suspended", "endpoint", a.ID, "span", a.suspended.Sub(now).String(), "row", a.strikes, "reported", a.reported)
	case strikes > 0 && a.strikes == 0:
		p.o.Log.Info("endpoint open", "endpoint", a.ID, "row", strikes)
	}
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}
