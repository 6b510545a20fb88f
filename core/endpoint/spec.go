// Package endpoint tracks the load, the rates, the health and the cached prompt prefixes of endpoints.
package endpoint

import (
	"time"

	"monsoondale/core"
)

// Spec describes an endpoint as given by the instance list.
type Spec struct {
	ID      core.EndpointID
	Pool    core.Pool
	Region  core.Region
	Centre  core.DataCentre
	Address string // host:port
	Service bool   // a plain service, not a model engine
	Leaving bool   // gets no new grants
	Fenced  bool   // checks the fence of the orders that it receives
}

// Report is a load report of an engine or a batch of its cache events. Both arrive with a delay.
type Report struct {
	Endpoint         core.EndpointID
	Time             time.Time // when the report was current
	Running, Waiting int
	Events           []CacheEvent
	Gap              bool // events were lost before this batch
}

// CacheEvent reports that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Prefix core.PrefixHash
	Evict  bool
}
