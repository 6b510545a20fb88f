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

// lines collects log lines.
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

// presented returns the common name of the certificate that a listener presents.
func presentedName(addr string, cfg *tls.Config) string {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", addr, cfg)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// Guards against a listener that ignores replaced certificates, one that loses its certificate to a broken pair, and
// instances that do not find each other over TLS.
func TestCertificatesAreReplaced(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	objects, err := fake.Serve("127.0.0.1:0", objectapi.New(objectapi.Options{}))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(objects.Stop)
	list := instancelist.New(instancelist.Options{})
	instances, err := fake.Serve("127.0.0.1:0", list)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(instances.Stop)

	a, key := certstest.NewAuthority(t), core.NewID()
	var log logBuffer
	var all []*instance.Instance
	var files []certs.Files
	for n := range 2 {
		f := a.Issue(t.TempDir(), "first")
		certFiles := map[string]string{"cert": f.Cert, "key": f.Key}
		settings, err := json.Marshal(map[string]any{
			"name": fmt.Sprint("entry-", n), "region": "test", "centre": "test-a",
			"listen":   map[string]any{"caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0"},
			"platform": map[string]any{"objects": "http://" + objects.Addr(), "instances": "http://" + instances.Addr()},
			"keys":     map[string]any{"operator": map[string]string{"aino": fleet.Hash(key)}},
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
		all, files = append(all, in), append(files, f)
	}
	api := operator.NewClient("https://"+all[0].OperatorAddr(), key).Trust(a.CertPool())
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
	r, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.CertPool()}, ForceAttemptHTTP2: true}}).Get("https://" + all[0].CallerAddr() + "/v1/models")
	g.Expect(err).NotTo(HaveOccurred())
	r.Body.Close()
	g.Expect(r.StatusCode).To(BeElementOf(401, 503))

	pair, err := tls.LoadX509KeyPair(files[1].Cert, files[1].Key)
	g.Expect(err).NotTo(HaveOccurred())
	cfg := &tls.Config{RootCAs: a.CertPool(), Certificates: []tls.Certificate{pair}}
	addrs := []string{all[0].CallerAddr(), all[0].OperatorAddr(), all[0].PeerAddr()}
	a.Issue(strings.TrimSuffix(files[0].Cert, "/cert.pem"), "second")
	for _, d := range addrs {
		g.Eventually(func() string { return presentedName(d, cfg) }, "10s", "100ms").Should(Equal("second"))
	}
	g.Expect(os.WriteFile(files[0].Key, []byte("broken"), 0o600)).To(Succeed())
	g.Eventually(log.String, "10s", "100ms").Should(ContainSubstring("cannot use the new certificate files"))
	for _, d := range addrs {
		g.Expect(presentedName(d, cfg)).To(Equal("second"))
	}
}

// Guards against keys that end up where more people can read them than those who may use them.
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
	g.Expect(report.Text(&text, rep)).To(Succeed())
	g.Expect(report.HTML(&page, rep)).To(Succeed())
	st, err := api.Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	metrics := fetchMetrics(t, f)
	g.Expect(metrics).To(ContainSubstring("monsoondale_asked_total"))
	time.Sleep(100 * time.Millisecond) // the last spans end after the answers
	g.Expect(spans.GetSpans()).NotTo(BeEmpty())
	for _, x := range []struct{ where, text string }{
		{"log", log.String()},
		{"traces", fmt.Sprintf("%+v", spans.GetSpans())},
		{"metrics", metrics},
		{"report", fmt.Sprintf("%+v", rep) + text.String() + page.String()},
		{"status", fmt.Sprintf("%+v", st)},
	} {
		for _, s := range []string{key, order, wrong, f.OperatorKey, fleet.Hash(key), "Bearer"} {
			g.Expect(strings.Contains(x.text, s)).To(BeFalse(), "%q is in the %s", s, x.where)
		}
	}
}
