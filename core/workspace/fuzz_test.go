package workspace_test

import (
	"strings"
	"testing"

	"monsoondale/core"
	"monsoondale/core/workspace"
)

// Guards against a document that causes a panic, or that passes the check but does not compile to valid kinds.
func FuzzTemplate(f *testing.F) {
	f.Add(deskTemplate, `{"workspace": "w", "template": "desk", "params": {"weight": 3, "limit": "2s"}}`)
	f.Add(`{"template":"desk","kinds":[{"name":"${a}","tier":"${b}","pool":"p${a}"}],"params":[{"name":"a","type":"enum","values":["x","y"]},{"name":"b","type":"int","min":0,"max":3}]}`,
		`{"workspace":"w","template":"desk","params":{"a":"x","b":2},"keys":["`+strings.Repeat("0", 64)+`"]}`)
	f.Add(`{"template":"desk","kinds":[{"name":"a","tier":0,"pool":"p","deadline":"${n}s"}],"params":[{"name":"n","type":"number","default":1e300}]}`, `{}`)
	f.Fuzz(func(t *testing.T, template, document string) {
		c := workspace.NewCompiler()
		to := workspace.Object{Kind: workspace.ObjectTemplate, Name: "desk", Version: 1, Value: template}
		_, err := c.Check(to)
		if err != nil && err.(*core.Error).Code != core.CodeBadTemplate {
			t.Fatal(err)
		}
		c.Apply(to)
		if got := len(c.Plan().Problems()) == 0; got != (err == nil) {
			t.Fatalf("check says %v, problems are %v", err, c.Plan().Problems())
		}
		wo := workspace.Object{Kind: workspace.ObjectWorkspace, Name: "w", Version: 2, Value: document}
		_, werr := c.Check(wo)
		c.Apply(wo)
		p := c.Plan()
		if (werr == nil) != (len(p.Workspaces()) == 1) {
			t.Fatalf("check says %v, workspaces are %v, problems are %v", werr, p.Workspaces(), p.Problems())
		}
		for _, w := range p.Workspaces() {
			if w.Weight < 1 || w.Weight > workspace.MaxWeight {
				t.Fatalf("weight %d", w.Weight)
			}
			for _, k := range w.Kinds {
				if !k.Tier.Valid() || k.ID == "" || k.Pool == "" || k.Deadline < 0 || k.Deadline > workspace.MaxDeadline || k.EstimatedTokens < 0 || k.Service == "" && k.Path != "" {
					t.Fatalf("invalid kind %+v", k)
				}
				w.KindForModel(string(k.ID))
				if _, ok := w.KindForService(k.Service, k.Method, k.Path); !ok && k.Service != "" {
					t.Fatalf("kind %+v cannot be reached", k)
				}
			}
		}
	})
}
