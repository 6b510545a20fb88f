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
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// These settings limit the retries of a service on all instances together; see core/retry.
	RetryRatio  float64       // retries allowed per request
	RetryExtra  float64       // further retries allowed in a window
	RetryWindow time.Duration // span in which requests and retries are counted
	// QuotaWindow is the span in which the usage of a workspace is counted.
	QuotaWindow time.Duration
}

// RequestMemory returns the bytes that an instance has for the bodies of all requests together.
func RequestMemory(s *Settings) int64 {
	return int64(proxy.RequestShare * bodyShare * float64(s.MemoryLimit))
}
