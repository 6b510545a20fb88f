package instance_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"monsoondale/core"
	"monsoondale/core/report"
	"monsoondale/instance"
	"monsoondale/internal/check"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/objectapi"
	"monsoondale/internal/fake/service"
	"monsoondale/io/operator"
	wire "monsoondale/wire/engine"
	wireoperator "monsoondale/wire/operator"
)

const template = `{"template": "desk", "params": [], "share": 10, "kinds": [
  {"name": "draft", "tier": 1, "pool": "drafting", "deadline": "20s", "tokens": 20},
  {"name": "engrave", "tier": 0, "pool": "orders", "service": "orders", "once": true, "method": "POST", "path": "/engrave", "deadline": "20s"}]}`

// startFleet starts three instances in three data centres with one engine, one service and one workspace. It returns the
// fleet and the key of the workspace.
func startFleet(t *testing.T) (*fleet.Fleet, string) { return startFleetWithLog(t, logr.Discard()) }

// startFleetWithLog is startFleet with a logger for the instances.
func startFleetWithLog(t *testing.T, log logr.Logger) (*fleet.Fleet, string) {
	t.Helper()
	g, ctx := NewWithT(t), context.Background()
	f, err := fleet.Start(ctx, fleet.Options{
		Region: "test", ListLag: 100 * time.Millisecond, Instances: 3,
		Engines:  []fleet.EnginePool{{Pool: "drafting", Count: 1, Options: engine.Options{PrefillRate: 20000, DecodeRate: 200, HalvingLoad: 16, BatchSize: 64, CacheTokens: 65536}}},
		Services: []fleet.ServicePool{{Pool: "orders", Count: 1, Options: service.Options{}}},
		Launch: func(ctx context.Context, settings []byte) (fleet.RunningInstance, error) {
			s, err := instance.ParseSettings("settings", settings, "")
			if err != nil {
				return nil, err
			}
			return instance.Launch(ctx, s, log, func(instance.LogLevel) {})
		},
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		g.Expect(f.Stop(ctx)).To(Succeed())
	})
	g.Expect(err).NotTo(HaveOccurred())
	key := core.NewID()
	g.Eventually(func() error { return f.Put(ctx, 0, "template", "desk", template) }, "5s").Should(Succeed())
	workspace := fmt.Sprintf(`{"workspace": "helsinki", "template": "desk", "params": {}, "keys": [%q]}`, fleet.HashKey(key))
	g.Eventually(func() error { return f.Put(ctx, 1, "workspace", "helsinki", workspace) }, "5s").Should(Succeed())
	g.Expect(f.WaitModelListed(ctx, key, "draft")).To(Succeed())
	for n := range f.Instances {
		g.Eventually(func() bool { return f.Client(n, key, "").Chat(ctx, draftChat(), 0).Complete() }, "10s").Should(BeTrue())
	}
	return f, key
}

func draftChat() wire.Chat {
	return wire.Chat{Model: "draft", Messages: []wire.Message{{Role: "user", Content: "An epitaph"}}, MaxTokens: 5}
}

// Guards against components that start a new trace instead of continuing the caller's. Of three instances at least two do
// not own the engine's shard, so their requests also pass through the owner.
func TestOneTraceAcrossHops(t *testing.T) {
	g := NewWithT(t)
	spans := tracetest.NewInMemoryExporter()
	p := trace.NewTracerProvider(trace.WithSyncer(spans))
	otel.SetTracerProvider(p)
	f, key := startFleet(t)
	hops := map[string]bool{}
	for n := range f.Instances {
		spans.Reset()
		a := f.Client(n, key, "").Chat(context.Background(), draftChat(), 0)
		g.Expect(a.Complete()).To(BeTrue(), "%+v", a)
		time.Sleep(50 * time.Millisecond) // the span of the release ends after the answer
		var traced tracetest.SpanStubs
		for _, s := range spans.GetSpans() {
			if strings.Contains(s.Name, "receive") {
				traced = lo.Filter(spans.GetSpans(), func(o tracetest.SpanStub, _ int) bool {
					return o.SpanContext.TraceID() == s.SpanContext.TraceID()
				})
			}
		}
		for _, s := range traced {
			hops[s.Name] = true
		}
	}
	for _, hop := range []string{"receive", "queue", "dispatch", "stream"} {
		g.Expect(hops).To(HaveKey(ContainSubstring(hop)))
	}
	g.Expect(hops).To(HaveKey(ContainSubstring("/peer/ask")), "the trace has no span of the owner's side of the ask")
}

// Guards against an order that is executed again when its idempotency key is repeated at another instance.
func TestRepeatedOrder(t *testing.T) {
	g := NewWithT(t)
	f, key := startFleet(t)
	var answers []check.Answer
	for n := range f.Instances {
		a := f.Client(n, key, "").Call(context.Background(), "POST", "/services/orders/engrave", "plate-1", `{"order": "plate-1"}`, 0)
		g.Expect(a.Complete()).To(BeTrue(), "%+v", a)
		answers = append(answers, a)
	}
	logs, err := f.Logs(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(check.Verify(answers, logs)).To(BeEmpty())
}

// Guards against a report that omits the stored counts during an outage of the object API without listing them as
// missing.
func TestReportDuringAnOutage(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	f, _ := startFleet(t)
	c := operator.NewClient("http://"+f.Instances[0].OperatorAddr(), f.OperatorKey)
	missing := func() []string {
		r, err := c.Report(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		return lo.Map(r.Missing, func(m wireoperator.Missing, _ int) string { return m.Instance })
	}
	g.Expect(missing()).To(BeEmpty())
	f.Objects.SetFault(objectapi.Fault{Down: true})
	g.Expect(missing()).To(ContainElement(report.StoredCounts))
	f.Objects.SetFault(objectapi.Fault{})
	g.Eventually(missing, "5s", "100ms").Should(BeEmpty())
}
