package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"monsoondale/common/bounded"
)

// Network opens the listeners and connections of an instance. A failed connection attempt must be reported as a
// *net.OpError with Op "dial", as package net does, because it proves that nothing was sent.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// systemNetwork is the network of the operating system.
type systemNetwork struct{ net.Dialer }

// Listen implements Network.
func (systemNetwork) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// DialContext implements Network.
func (n systemNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Dialer.DialContext(ctx, network, address)
}

// platformDialTimeout bounds connection attempts to the platform's services.
const platformDialTimeout = time.Second

// transport returns an HTTP transport to a platform service that uses at most the given number of connections.
func transport(n Network, conns int) http.RoundTripper {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, platformDialTimeout)
			defer cancel()
			return n.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost:    conns,
		MaxConnsPerHost:        conns,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}
}
