package gateway

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core/pool"
	"monsoondale/core/route"
	wire "monsoondale/wire/mesh"
)

// listEndpoints responds with what this instance believes about the load of each endpoint.
func (g *Gateway) listEndpoints(w http.ResponseWriter, _ *http.Request) {
	list, pools, now := []wire.Endpoint{}, g.config.Load().Pools, time.Now()
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		for _, s := range pools[name].Status(now) {
			list = append(list, encodeStatus(name, s))
		}
	}
	b, err := json.Marshal(wire.Endpoints{Endpoints: list})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b) // only the operator is affected by a failed write
}

// encodeStatus converts the status of an endpoint to its wire format.
func encodeStatus(service route.Service, s pool.EndpointStatus) wire.Endpoint {
	e := wire.Endpoint{
		Service: string(service), Id: string(s.ID), Slots: s.Slots, Limit: s.Limit, Why: s.Why, Known: s.Known,
		Speed: int(math.Round(100 * s.Speed)), Running: s.Stated.Running, Waiting: s.Stated.Waiting, Age: -1,
	}
	if s.Stated != (pool.StatedLoad{}) {
		e.Age = int(s.StatedAge.Milliseconds())
	}
	return e
}

// registerGauges registers the gauges of a service: the sum of its endpoints' limits and slots, and their mean speed in percent.
func (g *Gateway) registerGauges(service route.Service, p *pool.Pool) {
	sum := func(value func(pool.EndpointStatus) float64) (total float64, n int) {
		list := p.Status(time.Now())
		for _, s := range list {
			total += value(s)
		}
		return total, len(list)
	}
	metrics.NewRegisteredFunctionalGauge("endpoint.limits."+string(service), g.metrics, func() int64 {
		n, _ := sum(func(s pool.EndpointStatus) float64 { return float64(s.Limit) })
		return int64(n)
	})
	metrics.NewRegisteredFunctionalGauge("endpoint.slots."+string(service), g.metrics, func() int64 {
		n, _ := sum(func(s pool.EndpointStatus) float64 { return float64(s.Slots) })
		return int64(n)
	})
	metrics.NewRegisteredFunctionalGauge("endpoint.speed."+string(service), g.metrics, func() int64 {
		total, n := sum(func(s pool.EndpointStatus) float64 { return s.Speed })
		return int64(math.Round(100 * total / float64(max(n, 1))))
	})
}

// unregisterGauges removes the gauges of a service.
func (g *Gateway) unregisterGauges(service route.Service) {
	for _, name := range []string{"endpoint.limits.", "endpoint.slots.", "endpoint.speed."} {
		g.metrics.Unregister(name + string(service))
	}
}
