package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/route"
)

func found(list []route.Finding) []string {
	out := []string{}
	for _, f := range list {
		out = append(out, fmt.Sprintf("%s %v %s[%d]", f.Severity, f.Item, f.Field, f.Index))
	}
	return out
}

// Guards against a configuration that is sent although it can't mean what it says, and against findings where there is nothing.
func TestCheck(t *testing.T) {
	sound := func() route.Options {
		return route.Options{
			Version: 3,
			Routes: []route.Route{
				{Name: "a", Host: "h", Prefix: "/a/", Targets: []route.Target{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}, Kind: route.Stream, Resumable: true, Timeout: time.Second, Objective: time.Second / 2, GapObjective: time.Second / 4, Attempts: 2},
				{Name: "b", Host: "h", Prefix: "/b/", Targets: []route.Target{{Service: "t", Weight: 1}}, Timeout: time.Second, Attempts: 1},
			},
			Workspaces: []route.Workspace{{ID: "w", Keys: []string{"k1", "k2"}, Quota: route.Quota{Rate: 100, Burst: 50, ByTokens: true, DefaultUnits: 200}}},
			Limits:     route.Limits{BodyBytes: 1000},
		}
	}
	for _, c := range []struct {
		name   string
		change func(o *route.Options)
		want   []string
	}{
		{"sound", func(*route.Options) {}, nil},
		{"same host and prefix", func(o *route.Options) { o.Routes[0].Prefix = "/b/" }, []string{"error 0 Prefix[0]"}},
		{"prefix without slashes", func(o *route.Options) { o.Routes[0].Prefix = "/a" }, []string{"error 0 Prefix[0]"}},
		{"host with a port", func(o *route.Options) { o.Routes[0].Host = "h:80" }, []string{"error 0 Host[0]"}},
		{"no host", func(o *route.Options) { o.Routes[1].Host = "" }, []string{"error 1 Host[0]"}},
		{"unknown service", func(o *route.Options) { o.Routes[0].Targets[1].Service = "u" }, []string{"error 0 Targets[1]"}},
		{"weight of 0", func(o *route.Options) { o.Routes[0].Targets[1].Weight = 0 }, []string{"warning 0 Targets[1]"}},
		{"all weights 0", func(o *route.Options) { o.Routes[0].Targets[0].Weight, o.Routes[0].Targets[1].Weight = 0, 0 }, []string{"warning 0 Targets[0]", "warning 0 Targets[1]"}},
		{"service named twice", func(o *route.Options) { o.Routes[0].Targets[1].Service = "s" }, []string{"warning 0 Targets[1]"}},
		{"objective above the timeout", func(o *route.Options) { o.Routes[0].Objective = 2 * time.Second }, []string{"error 0 Objective[0]"}},
		{"pause above the timeout", func(o *route.Options) { o.Routes[0].GapObjective = 2 * time.Second }, []string{"error 0 GapObjective[0]"}},
		{"stream fields elsewhere", func(o *route.Options) { o.Routes[1].Resumable, o.Routes[1].GapObjective = true, 1 }, []string{"warning 1 GapObjective[0]", "warning 1 Resumable[0]"}},
		{"attempts at most once", func(o *route.Options) { o.Routes[1].Attempts = 2 }, []string{"warning 1 Attempts[0]"}},
		{"workspace without a key", func(o *route.Options) { o.Workspaces[0].Keys = nil }, []string{"warning 0 Keys[0]"}},
		{"key of two workspaces", func(o *route.Options) {
			o.Workspaces = append(o.Workspaces, route.Workspace{ID: "v", Keys: []string{"k2"}})
		}, []string{"error 0 Keys[1]"}},
		{"key twice", func(o *route.Options) { o.Workspaces[0].Keys = []string{"k", "k"} }, []string{"warning 0 Keys[1]"}},
		{"empty key", func(o *route.Options) { o.Workspaces[0].Keys[0] = "" }, []string{"error 0 Keys[0]"}},
		{"workspace twice", func(o *route.Options) {
			o.Workspaces = append(o.Workspaces, route.Workspace{ID: "w", Keys: []string{"k3"}})
		}, []string{"error 1 ID[0]"}},
		{"quota below a request", func(o *route.Options) { o.Workspaces[0].Quota.DefaultUnits = 1000 }, []string{"error 0 Quota.DefaultUnits[0]"}},
		{"burst without a rate", func(o *route.Options) { o.Workspaces[0].Quota.Rate = 0 }, []string{"warning 0 Quota.Burst[0]"}},
		{"negative quota", func(o *route.Options) { o.Workspaces[0].Quota.Rate = -1 }, []string{"error 0 Quota.Rate[0]"}},
		{"units that do not apply", func(o *route.Options) { o.Workspaces[0].Quota.ByTokens = false }, []string{"warning 0 Quota.DefaultUnits[0]"}},
		{"limit out of bounds", func(o *route.Options) { o.Limits.HeaderBytes = 1 }, []string{"warning {} HeaderBytes[0]"}},
		{"body above the memory", func(o *route.Options) { o.Limits.BodyBytes = 5000 }, []string{"error {} BodyBytes[0]"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := sound()
			c.change(&o)
			env := route.Environment{Services: []route.Service{"s", "t"}, RequestBytes: 2000, QuotaWindow: 8 * time.Second}
			NewWithT(t).Expect(found(route.Check(o, env))).To(Equal(append([]string{}, c.want...)))
		})
	}
	o := sound()
	g := NewWithT(t)
	g.Expect(found(route.Check(o, route.Environment{NoRetries: true}))).To(Equal([]string{"warning 0 Attempts[0]"}))
}

// Guards against a change that the operator is not shown, and against showing a key.
func TestDiff(t *testing.T) {
	force := route.Options{
		Version:    3,
		Routes:     []route.Route{{Name: "a", Host: "h", Prefix: "/a/", Targets: []route.Target{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Attempts: 1}, {Name: "gone", Host: "h", Prefix: "/gone/"}},
		Workspaces: []route.Workspace{{ID: "w", Keys: []string{"secret1", "secret2"}, Quota: route.Quota{Rate: 100}}, {ID: "left"}},
	}
	next := route.Options{
		Version:    4,
		Routes:     []route.Route{{Name: "a", Host: "H", Prefix: "/a/", Targets: []route.Target{{Service: "t", Weight: 1}}, Timeout: time.Second, Attempts: 1}, {Name: "new", Host: "h", Prefix: "/new/"}},
		Workspaces: []route.Workspace{{ID: "w", Keys: []string{"secret1", "secret3"}, Quota: route.Quota{Rate: 50}}, {ID: "come"}},
		Limits:     route.Limits{BodyBytes: 100},
	}
	g := NewWithT(t)
	lines := []string{}
	for _, c := range route.Diff(force, next) {
		g.Expect(c.Text).ToNot(ContainSubstring("secret"))
		lines = append(lines, c.Text+"; "+c.Effect)
	}
	g.Expect(lines).To(Equal([]string{
		`route "gone" (h/gone/) is removed; its requests get 404, unless another route matches`,
		`route "a": targets s (1) to t (1); requests go to other endpoints`,
		`route "a": timeout 2s to 1s; longer requests get 504`,
		`route "new" (h/new/) is added; `,
		`workspace "left" is removed; its keys get 401`,
		`workspace "come" is added; `,
		`workspace "w": keys taken away: 1; requests with them get 401`,
		`workspace "w": keys added: 1; `,
		`workspace "w": quota 100 requests a second and a burst of 0 to 50 requests a second and a burst of 0; more of its requests get 429`,
		`limits in force: header 16384 to 16384 bytes, body 1048576 to 100 bytes, header time 3s to 3s, idle time 15s to 15s; larger requests get 431 or 413`,
	}))
	g.Expect(route.Diff(force, force)).To(Equal([]route.Change{{Text: "version 3 is not above version 3, which is in force", Effect: "instances ignore it"}}))
}
