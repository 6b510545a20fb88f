package instance_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"monsoondale/common/certs"
	"monsoondale/common/certs/certstest"
	"monsoondale/core"
	"monsoondale/core/report"
	"monsoondale/instance"
	"monsoondale/internal/check"
	"monsoondale/internal/fake"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/instancelist"
	"monsoondale/internal/fake/objectapi"
	"monsoondale/io/operator"
	"monsoondale/wire/platform"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) write(prefix, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(&l.text, prefix, args)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// presentedName returns the common name of the certificate that a listener presents, or the text of the connection error.
func presentedName(addr string, cfg *tls.Config) string {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", addr, cfg)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// Guards against a listener that ignores replaced certificate files or drops its certificate when the new files are
// invalid, and against instances that cannot connect to each other over TLS.
func TestCertificatesAreReplaced(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	objects, err := fake.Serve("127.0.0.1:0", objectapi.New(objectapi.Options{}))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(objects.Stop)
	list := instancelist.New(instancelist.Options{})
	instances, err := fake.Serve("127.0.0.1:0", list)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(instances.Stop)

	authority, key := certstest.NewAuthority(t), core.NewID()
	var log logBuffer
	var started []*instance.Instance
	var files []certs.Files
	for n := range 2 {
		f := authority.Issue(t.TempDir(), "first")
		certFiles := map[string]string{"cert": f.Cert, "key": f.Key}
		settings, err := json.Marshal(map[string]any{
			"name": fmt.Sprint("entry-", n), "region": "test", "centre": "test-a",
			"listen":   map[string]any{"caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0"},
			"platform": map[string]any{"objects": "http://" + objects.Addr(), "instances": "http://" + instances.Addr()},
			"keys":     map[string]any{"operator": map[string]string{"aino": fleet.HashKey(key)}},
			"tls":      map[string]any{"caller": certFiles, "operator": certFiles, "peer": map[string]string{"cert": f.Cert, "key": f.Key, "ca": f.CA}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		s, err := instance.ParseSettings("settings", settings, "")
		g.Expect(err).NotTo(HaveOccurred())
		in, err := instance.Launch(ctx, s, funcr.New(log.write, funcr.Options{}), func(instance.LogLevel) {})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			in.Stop(ctx)
		})
		list.Put(platform.Instance{
			Name: string(s.Name), Role: platform.InstanceRoleEntry, Region: "test", Centre: "test-a", Address: in.PeerAddr(), State: platform.InstanceStateLive,
		})
		started, files = append(started, in), append(files, f)
	}
	api := operator.NewClient("https://"+started[0].OperatorAddr(), key).TrustAuthorities(authority.CertPool())
	g.Eventually(func() string {
		st, err := api.Status(ctx)
		if err != nil {
			return err.Error()
		}
		out := ""
		for _, i := range st.Instances {
			out += fmt.Sprint(i.Name, " ", i.State, " ")
		}
		return out
	}, "10s", "100ms").Should(Equal("entry-0 live entry-1 live "))
	resp, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.CertPool()}, ForceAttemptHTTP2: true}}).Get("https://" + started[0].CallerAddr() + "/v1/models")
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(BeElementOf(401, 503))

	pair, err := tls.LoadX509KeyPair(files[1].Cert, files[1].Key)
	g.Expect(err).NotTo(HaveOccurred())
	cfg := &tls.Config{RootCAs: authority.CertPool(), Certificates: []tls.Certificate{pair}}
	addrs := []string{started[0].CallerAddr(), started[0].OperatorAddr(), started[0].PeerAddr()}
	authority.Issue(strings.TrimSuffix(files[0].Cert, "/cert.pem"), "second")
	for _, addr := range addrs {
		g.Eventually(func() string { return presentedName(addr, cfg) }, "10s", "100ms").Should(Equal("second"))
	}
	g.Expect(os.WriteFile(files[0].Key, []byte("broken"), 0o600)).To(Succeed())
	g.Eventually(log.String, "10s", "100ms").Should(ContainSubstring("cannot use the new certificate files"))
	for _, addr := range addrs {
		g.Expect(presentedName(addr, cfg)).To(Equal("second"))
	}
}

// Guards against keys that leak into logs, traces, metrics, reports or the status, which more people can read than may
// use the keys.
func TestSecretsAreNotExposed(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	spans := tracetest.NewInMemoryExporter()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSyncer(spans)))
	var log logBuffer
	f, key := startFleetWithLog(t, funcr.New(log.write, funcr.Options{Verbosity: 10}))
	order, wrong := "order-key-"+core.NewID(), "wrong-key-"+core.NewID()
	for n := range f.Instances {
		for _, a := range []check.Answer{
			f.Client(n, key, "").Chat(ctx, draftChat(), 0),
			f.Client(n, key, "").Call(ctx, "POST", "/services/orders/engrave", order, `{"order": "plate-1"}`, 0),
		} {
			g.Expect(a.Complete()).To(BeTrue(), "%+v", a)
		}
		g.Expect(f.Client(n, wrong, "").Chat(ctx, draftChat(), 0).Complete()).To(BeFalse())
	}
	api := operator.NewClient("http://"+f.Instances[0].OperatorAddr(), f.OperatorKey)
	_, err := operator.NewClient("http://"+f.Instances[0].OperatorAddr(), wrong).Status(ctx)
	g.Expect(err).To(HaveOccurred())
	rep, err := api.Report(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	var text, page bytes.Buffer
	g.Expect(report.WriteText(&text, rep)).To(Succeed())
	g.Expect(report.WriteHTML(&page, rep)).To(Succeed())
	st, err := api.Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	metrics := fetchMetrics(t, f)
	g.Expect(metrics).To(ContainSubstring("monsoondale_asked_total"))
	time.Sleep(100 * time.Millisecond) // the last spans end after the responses
	g.Expect(spans.GetSpans()).NotTo(BeEmpty())
	for _, x := range []struct{ where, text string }{
		{"log", log.String()},
		{"traces", fmt.Sprintf("%+v", spans.GetSpans())},
		{"metrics", metrics},
		{"report", fmt.Sprintf("%+v", rep) + text.String() + page.String()},
		{"status", fmt.Sprintf("%+v", st)},
	} {
		for _, s := range []string{key, order, wrong, f.OperatorKey, fleet.HashKey(key), "Bearer"} {
			g.Expect(strings.Contains(x.text, s)).To(BeFalse(), "%q is exposed in the %s", s, x.where)
		}
	}
}
