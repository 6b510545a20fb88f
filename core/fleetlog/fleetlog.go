// Package fleetlog finds the state of a fleet of gateways in their logs.
package fleetlog

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/requestlog"
)

// line holds the fields of a log line that tell the state of an instance, an endpoint or a request.
type line struct {
	Time    time.Time
	Message string `json:"msg"`

	Instance   core.InstanceID
	Centre     core.DataCentre
	Silent     bool
	Leaving    json.RawMessage // a flag of an instance, or a number of endpoints
	Since      duration
	Version    int
	Collection string
	Gap        duration
	Lines      int

	Endpoint  core.EndpointID
	Endpoints int
	Span      duration
	Limit     float64
	Slots     int
	Why       string

	Request   core.RequestID
	Status    int
	Reason    string
	Aborted   bool
	Total     float64 // milliseconds
	Workspace core.WorkspaceID
	Units     float64
	Used      float64
	Quota     float64
	Slowness  float64
}

// duration is a time.Duration that is written as by its String method. Some lines have a number under the same name, which is not
// used and read as 0.
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return nil
	}
	v, err := time.ParseDuration(s)
	*d = duration(v)
	return err
}

// Fleet is what the logs tell of a fleet. Times are those of the instances' clocks.
type Fleet struct {
	window    time.Duration
	latest    time.Time // time of the latest line
	instances map[core.InstanceID]*instance
	centres   map[core.InstanceID]core.DataCentre // as others state them
	seconds   map[int64]*second                   // counts of requests, by Unix time
	list      endpointList
}

// instance is what the log of an instance tells of it, and what it believed when the log ended.
type instance struct {
	name      core.InstanceID
	centre    core.DataCentre
	started   time.Time
	last      time.Time // of its latest line
	ready     bool
	stopping  time.Time
	stopped   time.Time
	version   int
	lost      map[string]time.Time          // collections of the store, since when it can't read them
	stall     time.Duration                 // the latest time for which the process stood still
	stalled   time.Time                     // when that ended
	silent    map[core.InstanceID]time.Time // since when it has not heard others
	centres   map[core.DataCentre]time.Time // since when it has not heard other data centres
	endpoints map[core.EndpointID]*belief
}

// belief is what an instance believes of an endpoint.
type belief struct {
	leaving   time.Time // since when
	suspended span
	waits     span
	limit     limit
}

// limit is the number of requests that an endpoint gets at once, if that is below its slots.
type limit struct {
	since        time.Time
	value, slots int
	why          string
}

// span is a time in which an endpoint gets no requests.
type span struct{ from, until time.Time }

func (s span) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.until) }

// endpointList is the latest statement of an instance about the list of endpoints.
type endpointList struct {
	at        time.Time
	endpoints int
	leaving   int
}

// second holds the requests that ended in a second.
type second struct {
	requests   map[outcome]int
	workspaces map[core.WorkspaceID]use
	slowness   map[core.EndpointID]mean
	dropped    int // log lines
}

// outcome is how requests ended at an instance.
type outcome struct {
	instance core.InstanceID
	status   int
	reason   string
	class    class
}

// use is the use of a quota.
type use struct {
	units       float64 // of requests that were not refused
	refused     int
	at          time.Time // of the latest refusal
	used, quota float64   // at that refusal
}

type mean struct {
	sum   float64
	count int
}

// New returns a Fleet of which nothing is known. Requests count if they ended within the window before the latest line of all logs.
func New(window time.Duration) *Fleet {
	return &Fleet{
		window: window, instances: map[core.InstanceID]*instance{}, centres: map[core.InstanceID]core.DataCentre{}, seconds: map[int64]*second{},
	}
}

// Read adds the log of an instance, or the joint log of several ones; see requestlog.Split. name stands for the name of the instance
// until the log tells it. Lines that are no JSON objects are skipped. It returns an error if the log cannot be read.
func (f *Fleet) Read(name string, r io.Reader) error {
	own := core.InstanceID(name)
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, requestlog.MaxLineBytes)
	for sc.Scan() {
		prefix, object, ok := requestlog.Split(sc.Bytes())
		if !ok {
			continue
		}
		var l line
		if err := json.Unmarshal(object, &l); err != nil || l.Time.IsZero() {
			continue
		}
		id := core.InstanceID(prefix)
		if id == "" {
			if l.Message == "starting" && l.Instance != "" {
				f.rename(own, l.Instance)
				own = l.Instance
			}
			id = own
		}
		f.add(f.instance(id), &l)
	}
	f.prune()
	return errors.Wrap(sc.Err(), name)
}

// rename renames an instance that was known by the name of its log.
func (f *Fleet) rename(from, to core.InstanceID) {
	i := f.instances[from]
	if i == nil || from == to || f.instances[to] != nil {
		return
	}
	delete(f.instances, from)
	i.name = to
	f.instances[to] = i
	for _, s := range f.seconds {
		for o, n := range s.requests {
			if o.instance == from {
				delete(s.requests, o)
				o.instance = to
				s.requests[o] += n
			}
		}
	}
}

func (f *Fleet) instance(id core.InstanceID) *instance {
	i := f.instances[id]
	if i == nil {
		i = &instance{name: id, ready: true}
		i.forget()
		f.instances[id] = i
	}
	return i
}

// forget drops what an instance believes, as its process does when it starts.
func (i *instance) forget() {
	i.lost = map[string]time.Time{}
	i.silent = map[core.InstanceID]time.Time{}
	i.centres = map[core.DataCentre]time.Time{}
	i.endpoints = map[core.EndpointID]*belief{}
}

func (i *instance) endpoint(id core.EndpointID) *belief {
	b := i.endpoints[id]
	if b == nil {
		b = &belief{}
		i.endpoints[id] = b
	}
	return b
}

// add applies a line of an instance.
func (f *Fleet) add(i *instance, l *line) {
	f.latest, i.last = later(f.latest, l.Time), later(i.last, l.Time)
	switch l.Message {
	case "starting":
		*i = instance{name: i.name, centre: l.Centre, started: l.Time, last: i.last}
		i.forget()
	case "ready":
		i.ready = true
	case "stopping":
		i.stopping = l.Time
	case "stopped":
		i.stopped = l.Time
	case "configuration in force":
		i.version = l.Version
	case "store lost":
		i.lost[l.Collection] = l.Time
	case "store regained":
		delete(i.lost, l.Collection)
	case "process stood still":
		i.stall, i.stalled = time.Duration(l.Gap), l.Time
	case "instance heard":
		setSince(i.silent, l.Instance, l)
		f.centres[l.Instance] = l.Centre
	case "centre heard":
		setSince(i.centres, l.Centre, l)
	case "endpoints in force":
		if l.Time.After(f.list.at) {
			n := 0
			if json.Unmarshal(l.Leaving, &n) == nil {
				f.list = endpointList{at: l.Time, endpoints: l.Endpoints, leaving: n}
			}
		}
	case "endpoint leaving":
		i.endpoint(l.Endpoint).leaving = l.Time
	case "endpoint waits":
		i.endpoint(l.Endpoint).waits = span{l.Time, l.Time.Add(time.Duration(l.Span))}
	case "endpoint suspended":
		i.endpoint(l.Endpoint).suspended = span{l.Time, l.Time.Add(time.Duration(l.Span))}
	case "endpoint open":
		i.endpoint(l.Endpoint).suspended = span{}
	case "endpoint limit":
		i.endpoint(l.Endpoint).limit = limit{l.Time, int(l.Limit), l.Slots, l.Why}
	case "log lines dropped":
		f.second(l.Time).dropped += l.Lines
	case "request":
		f.addRequest(i, l)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// setSince records since when a peer has been silent, or that it is heard.
func setSince[K comparable](m map[K]time.Time, k K, l *line) {
	if l.Silent {
		m[k] = l.Time.Add(-time.Duration(l.Since))
	} else {
		delete(m, k)
	}
}

func (f *Fleet) second(t time.Time) *second {
	s := f.seconds[t.Unix()]
	if s == nil {
		s = &second{requests: map[outcome]int{}, workspaces: map[core.WorkspaceID]use{}, slowness: map[core.EndpointID]mean{}}
		f.seconds[t.Unix()] = s
	}
	return s
}

// addRequest counts a request by the last line about it.
func (f *Fleet) addRequest(i *instance, l *line) {
	s := f.second(l.Time)
	s.requests[outcome{i.name, l.Status, l.Reason, classify(l)}]++
	if l.Workspace != "" {
		u := s.workspaces[l.Workspace]
		switch {
		case l.Reason == "quota":
			u.refused++
			if l.Quota > 0 && !l.Time.Before(u.at) {
				u.at, u.used, u.quota = l.Time, l.Used, l.Quota
			}
		case classify(l) != refused: // a refusal returns the units
			u.units += l.Units
		}
		s.workspaces[l.Workspace] = u
	}
	if l.Endpoint == "" {
		return
	}
	if l.Slowness > 0 {
		m := s.slowness[l.Endpoint]
		s.slowness[l.Endpoint] = mean{m.sum + l.Slowness, m.count + 1}
	}
	// A leaving endpoint is sent nothing until it has started again.
	if b := i.endpoints[l.Endpoint]; b != nil && l.Time.Add(-time.Duration(l.Total*float64(time.Millisecond))).After(b.leaving) {
		b.leaving = time.Time{}
	}
}

// prune drops counts that can no longer be in the window.
func (f *Fleet) prune() {
	for t := range f.seconds {
		if !f.inWindow(t) {
			delete(f.seconds, t)
		}
	}
}

// inWindow reports whether a second is in the window, as far as the logs have been read.
func (f *Fleet) inWindow(t int64) bool { return t > f.latest.Add(-f.window).Unix() }

// class is what became of a request.
type class int

const (
	served  class = iota
	refused       // did not run, and the caller may come back
	failed        // may have run, or broke off
	invalid       // can't be served as it is
	left          // the caller left first
	classes
)

// statusCallerLeft is the status in logs of a request whose caller left.
const statusCallerLeft = 499

func classify(l *line) class {
	switch {
	case l.Status == statusCallerLeft:
		return left
	case l.Aborted:
		return failed
	case l.Reason == "served":
		return served
	case l.Status == 429 || l.Status == 503:
		return refused
	case l.Status >= 500:
		return failed
	}
	return invalid
}
