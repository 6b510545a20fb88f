package route_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/core/route"
)

// Guards against routing a request to a service that does not serve its path.
func TestMatch(t *testing.T) {
	table := route.New(route.Options{Routes: []route.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "b", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x/y/z/1", "xy"},
		{"A.Example:8080", "/x/1", "x"},
		{"b.example", "/x/1", "b"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			g := NewWithT(t)
			r, ok := table.Match(c.host, c.path)
			g.Expect(ok).To(Equal(c.want != ""))
			if ok {
				g.Expect(r.Name).To(Equal(c.want))
			}
		})
	}
}

// Guards against a traffic split that ignores the weights, or sends requests to a service of weight 0.
func TestPickService(t *testing.T) {
	g := NewWithT(t)
	r := route.Route{Targets: []route.Target{{"a", 9}, {"none", 0}, {"b", 1}}}
	count := map[route.Service]int{}
	for h := range uint64(1000) {
		count[r.PickService(h)]++
	}
	g.Expect(count).To(Equal(map[route.Service]int{"a": 900, "b": 100}))
}

// Guards against retrying a request that may run only once.
func TestRetryable(t *testing.T) {
	for _, c := range []struct {
		r    route.Route
		want bool
	}{
		{route.Route{Kind: route.AtMostOnce}, false},
		{route.Route{Kind: route.AtMostOnce, Resumable: true}, false},
		{route.Route{Kind: route.Idempotent}, true},
		{route.Route{Kind: route.Stream}, false},
		{route.Route{Kind: route.Stream, Resumable: true}, true},
	} {
		NewWithT(t).Expect(c.r.Retryable()).To(Equal(c.want), "%+v", c.r)
	}
}
