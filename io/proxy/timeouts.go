package proxy

import (
	"sync"
	"time"

	"monsoondale/core/pool"
)

// maxTimeoutRoutes bounds the routes whose usual timeouts are kept.
const maxTimeoutRoutes = 4096

// routeTimeouts learns the usual timeouts of the callers of each route. The zero value is ready for use.
type routeTimeouts struct {
	mu     sync.Mutex
	routes map[string]*pool.Timeouts // by name
}

// waited records the timeout that a request states, and returns how long its caller has waited before.
func (t *routeTimeouts) waited(route string, stated time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.routes[route]
	if o == nil {
		if t.routes == nil || len(t.routes) >= maxTimeoutRoutes { // routes that were removed are not kept for ever
			t.routes = map[string]*pool.Timeouts{}
		}
		o = &pool.Timeouts{}
		t.routes[route] = o
	}
	d := o.Waited(stated)
	o.Record(stated)
	return d
}
