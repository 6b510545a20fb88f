// Package gateway runs an instance that forwards the requests of callers to the endpoints listed in a store. It
// connects the packages of core and io, and keeps the configuration, the list of endpoints and the list of instances up
// to date.
package gateway

import (
	"time"

	"monsoondale/core"
	"monsoondale/io/proxy"
)

// MetricsPort is the port of the metrics address. It is outside the ranges that the platform gives to instances.
const MetricsPort = 9464

// Settings configures a gateway. Addresses are IP:PORT.
type Settings struct {
	Name           core.InstanceID
	Centre         core.DataCentre
	Region         core.Region
	CallerAddress  string // listener for callers
	ReadyAddress   string // listener for health checks of the load balancer
	MeshAddress    string // messages between instances, over UDP and TCP
	MetricsAddress string
	StoreAddress   string
	// MemoryLimit is the memory limit of the process in bytes, and MaxDescriptors its limit on open file descriptors.
	MemoryLimit    int64
	MaxDescriptors int
	// ProcessorPower is the processor time that the process may use, in thousandths of a core.
	ProcessorPower int
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// These settings limit the retries of a service on all instances together; see core/retry.
	RetryRatio  float64       // retries allowed per request
	RetryExtra  float64       // further retries allowed in a window
	RetryWindow time.Duration // span in which requests and retries are counted
	// Rollouts bounds what a version gets while the traffic of a service moves to it.
	Rollouts RolloutSettings
	// QuotaWindow is the span in which the usage of a workspace is counted.
	QuotaWindow time.Duration
}

// RolloutSettings are the settings for orders to move services to other versions.
type RolloutSettings struct {
	Enabled bool // without it, such orders are not read
	// Exposure is the part of a service's requests that a version may get until it is trusted, and Slack the number beyond that.
	Exposure, Slack float64
	// Rollback is the time within which all instances must have stopped sending requests to a version that is bad.
	Rollback time.Duration
}

// RequestMemory returns the bytes that an instance has for the bodies of all requests together.
func RequestMemory(s *Settings) int64 {
	return int64(proxy.RequestShare * bodyShare * float64(s.MemoryLimit))
}
