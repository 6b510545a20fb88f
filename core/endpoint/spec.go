// Package endpoint holds what is known of one endpoint.
package endpoint

import (
	"time"

	"monsoondale/core"
)

// Spec is what the instance list says of an endpoint.
type Spec struct {
	ID      core.EndpointID
	Pool    core.Pool
	Region  core.Region
	Centre  core.DataCentre
	Address string // host:port
	Service bool   // a plain service instead of a model engine
	Leaving bool   // gets no new grants
	Fenced  bool   // checks the fence of orders that it receives
}

// Report is a lagged load report of an engine, or a batch of its cache events.
type Report struct {
	Endpoint         core.EndpointID
	Time             time.Time // when the report was true
	Running, Waiting int
	Events           []CacheEvent
	Gap              bool // events were lost before this batch
}

// CacheEvent tells that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Prefix core.PrefixHash
	Evict  bool
}
