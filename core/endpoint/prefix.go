package endpoint

import (
	"math"
	"time"

	"monsoondale/core"
)

const (
	// maxHolders is the maximum number of endpoints kept per prefix, the most recent ones. A prefix that many endpoints
	// hold does not favour any of them.
	maxHolders = 6
	// maxLookups is the maximum number of a prompt's prefixes, the longest ones, that are looked up, which bounds the
	// cost of a decision.
	maxLookups = 12
	// gapConfidence is the factor for the confidence in entries from before lost cache events. A lost batch covers about a
	// second, in which an engine evicts a small part of its cache. A factor of 0.5 gave up more hits than it saved.
	gapConfidence = 0.9
)

// PrefixIndex estimates which endpoints have which prompt prefixes in their cache. Its size is bounded, and its confidence
// decays, because engines publish cache events late and with gaps. Endpoints are identified by small numbers that the
// user of the index assigns.
//
// Entries are kept in two generations. When the recent one is full, it replaces the older one. This approximates
// least-recently-used eviction at constant cost.
type PrefixIndex struct {
	recent, older map[core.PrefixHash]holders
	limit         int
	halfLife      time.Duration
	gapTime       map[int32]time.Time // older entries of an endpoint have less confidence
}

// holders lists the endpoints that have a prefix.
type holders struct {
	n  uint8
	ep [maxHolders]int32
	at [maxHolders]int64 // time of the last evidence, in Unix nanoseconds
}

// NewPrefixIndex returns an index of at most limit prefixes with the given half-life of its confidence.
func NewPrefixIndex(limit int, halfLife time.Duration) *PrefixIndex {
	return &PrefixIndex{
		recent: map[core.PrefixHash]holders{}, older: map[core.PrefixHash]holders{}, limit: max(limit, 2), halfLife: halfLife,
		gapTime: map[int32]time.Time{},
	}
}

// Len returns the number of entries. Prefixes in both generations count twice.
func (x *PrefixIndex) Len() int { return len(x.recent) + len(x.older) }

// Store records that the endpoint has the prefixes in its cache, because it computed or reported them.
func (x *PrefixIndex) Store(now time.Time, ep int32, prefixes []core.PrefixHash) {
	for _, p := range prefixes {
		h, ok := x.recent[p]
		if !ok {
			h = x.older[p]
		}
		h.put(ep, now.UnixNano())
		if !ok && len(x.recent) >= x.limit/2 {
			x.older, x.recent = x.recent, make(map[core.PrefixHash]holders, x.limit/2)
		}
		x.recent[p] = h
	}
}

// Evict records that the endpoint dropped a prefix.
func (x *PrefixIndex) Evict(ep int32, p core.PrefixHash) {
	for _, m := range []map[core.PrefixHash]holders{x.recent, x.older} {
		if h, ok := m[p]; ok {
			h.drop(ep)
			m[p] = h
		}
	}
}

// RecordGap records that cache events of the endpoint were lost before now, which lowers the confidence in older entries.
func (x *PrefixIndex) RecordGap(now time.Time, ep int32) { x.gapTime[ep] = now }

// Forget removes the state of an endpoint that is gone. Its number must not be reused.
func (x *PrefixIndex) Forget(ep int32) { delete(x.gapTime, ep) }

// Match calls f once for each endpoint that may have cached a prefix of the prompt, with the expected cached share of the
// prompt: the length of the longest match times the confidence.
func (x *PrefixIndex) Match(now time.Time, prefixes []core.PrefixHash, f func(ep int32, share float64)) {
	n := len(prefixes)
	var matched [maxHolders * 2]int32
	count := 0
	for i := n - 1; i >= max(0, n-maxLookups); i-- {
		h, ok := x.recent[prefixes[i]]
		if !ok {
			if h, ok = x.older[prefixes[i]]; !ok {
				continue
			}
		}
	holder:
		for j := range h.n {
			ep := h.ep[j]
			for _, s := range matched[:count] {
				if s == ep {
					continue holder
				}
			}
			c := x.confidence(now, ep, h.at[j])
			if count < len(matched) {
				matched[count] = ep
				count++
			}
			f(ep, c*float64(i+1)/float64(n))
		}
		if count == len(matched) {
			return
		}
	}
}

// confidence returns the probability that an entry is still valid.
func (x *PrefixIndex) confidence(now time.Time, ep int32, at int64) float64 {
	c := math.Exp2(-float64(max(0, now.UnixNano()-at)) / float64(x.halfLife))
	if gap, ok := x.gapTime[ep]; ok && at < gap.UnixNano() {
		c *= gapConfidence
	}
	return c
}

// put adds or refreshes a holder. If the list is full, it replaces the holder with the oldest evidence.
func (h *holders) put(ep int32, at int64) {
	oldest := 0
	for i := range int(h.n) {
		if h.ep[i] == ep {
			h.at[i] = max(h.at[i], at)
			return
		}
		if h.at[i] < h.at[oldest] {
			oldest = i
		}
	}
	if h.n < maxHolders {
		oldest = int(h.n)
		h.n++
	}
	h.ep[oldest], h.at[oldest] = ep, at
}

func (h *holders) drop(ep int32) {
	for i := range int(h.n) {
		if h.ep[i] == ep {
			h.n--
			h.ep[i], h.at[i] = h.ep[h.n], h.at[h.n]
			return
		}
	}
}
