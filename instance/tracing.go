package instance

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// startTracing exports spans to the collector in the settings, if there is one. The returned function flushes the spans
// and stops the export.
func startTracing(ctx context.Context, s *Settings) (func(context.Context) error, error) {
	// Trace context is propagated even without a collector, so that the spans of callers and endpoints stay connected.
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if s.OTLP == "" {
		return func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OTLP+"/v1/traces"))
	if err != nil {
		return nil, errors.Wrap(err, "cannot create the trace exporter")
	}
	p := trace.NewTracerProvider(trace.WithBatcher(exp), trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "monsoondale"),
		attribute.String("service.instance.id", string(s.Name)),
	)))
	otel.SetTracerProvider(p)
	return p.Shutdown, nil
}
