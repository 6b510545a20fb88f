package proxy

import (
	"time"

	"monsoondale/core/pool"
	"monsoondale/core/route"
)

// Places decides which endpoint a request gets, or that it is refused.
type Places interface {
	// Submit returns a ticket for a request of a service whose pool is p. The decision may have been made already.
	Submit(now time.Time, s route.Service, p *pool.Pool, req pool.Request) *pool.Ticket
	// Withdraw ends a ticket. If a grant has already been made, it returns that grant, which the caller must release.
	Withdraw(now time.Time, p *pool.Pool, t *pool.Ticket) *pool.Grant
}

// poolPlaces leaves the decision to the pool of this instance.
type poolPlaces struct{}

func (poolPlaces) Submit(now time.Time, _ route.Service, p *pool.Pool, req pool.Request) *pool.Ticket {
	return p.Submit(now, req)
}

func (poolPlaces) Withdraw(now time.Time, p *pool.Pool, t *pool.Ticket) *pool.Grant {
	return p.Withdraw(now, t)
}
