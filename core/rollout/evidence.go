package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

// Groups is the number of groups into which the endpoints of a version are divided, so that a few bad endpoints can be told from a bad
// version.
const Groups = 8

// Group returns the group of an endpoint.
func Group(id core.EndpointID) int { return int(xxhash.Sum64String(string(id)) % Groups) }

// Count counts responses.
type Count struct {
	Began  int // first events, of which Slow came late
	Slow   int
	Ended  int // responses, of which Failed were failures of the endpoint
	Failed int
}

func (c Count) plus(o Count, sign int) Count {
	return Count{Began: c.Began + sign*o.Began, Slow: c.Slow + sign*o.Slow, Ended: c.Ended + sign*o.Ended, Failed: c.Failed + sign*o.Failed}
}

// Sides counts the responses of the target version and of the others, by group of endpoints.
type Sides struct {
	Target, Others [Groups]Count
}

// Evidence is what was seen on each route since an order was given.
type Evidence map[string]Sides

// MaxRoutes bounds the routes of an Evidence; messages hold all of them. Further routes count together, under an empty name.
const MaxRoutes = 12

// Record changes the count of an endpoint on a route.
func (e Evidence) Record(route string, target bool, id core.EndpointID, change func(c *Count)) {
	if _, ok := e[route]; !ok && len(e) >= MaxRoutes {
		route = ""
	}
	s := e[route]
	if target {
		change(&s.Target[Group(id)])
	} else {
		change(&s.Others[Group(id)])
	}
	e[route] = s
}

// Add adds other evidence.
func (e Evidence) Add(o Evidence) { e.combine(o, 1) }

func (e Evidence) combine(o Evidence, sign int) {
	for route, v := range o {
		s := e[route]
		for i := range Groups {
			s.Target[i] = s.Target[i].plus(v.Target[i], sign)
			s.Others[i] = s.Others[i].plus(v.Others[i], sign)
		}
		e[route] = s
	}
}

// since returns what was added after an earlier state.
func (e Evidence) since(o Evidence) Evidence {
	d := Evidence{}
	d.Add(e)
	d.combine(o, -1)
	return d
}

// Clone returns a copy.
func (e Evidence) Clone() Evidence {
	c := make(Evidence, len(e))
	c.Add(e)
	return c
}

// total returns the evidence of all routes together.
func (e Evidence) total() Sides {
	t := Evidence{}
	for _, s := range e {
		t.Add(Evidence{"": s})
	}
	return t[""]
}

// Target returns the number of responses that the target version has begun or failed, and of those that were failures or slow.
func (e Evidence) Target() (responses, bad int) {
	for _, c := range e.total().Target {
		responses += max(c.Began, c.Ended)
		bad += c.Slow + c.Failed
	}
	return responses, bad
}

// metric returns the number of cases and of bad ones of a count.
type metric func(c Count) (n, bad int)

func failures(c Count) (n, bad int) { return max(c.Ended, 0), min(max(c.Failed, 0), max(c.Ended, 0)) }
func slowness(c Count) (n, bad int) { return max(c.Began, 0), min(max(c.Slow, 0), max(c.Began, 0)) }

// trimmed sums a metric over the groups but the worst: one of two to five, two of six or more. A single bad endpoint is in one group.
func trimmed(groups [Groups]Count, m metric) (n, bad int) {
	type sum struct{ n, bad int }
	var sums []sum
	for _, c := range groups {
		if n, bad := m(c); n > 0 {
			sums = append(sums, sum{n, bad})
		}
	}
	slices.SortFunc(sums, func(a, b sum) int { return cmp.Or(b.bad-a.bad, a.n-b.n) })
	drop := 0
	if len(sums) > 1 {
		drop = max((len(sums)+2)/4, 1)
	}
	for _, s := range sums[drop:] {
		n, bad = n+s.n, bad+s.bad
	}
	return n, bad
}
