package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/workspace"
	"monsoondale/io/operator"
	wire "monsoondale/wire/operator"
)

// memoryStore is a Store in memory. The functions before and after are called around each write with its number; an
// error of either replaces the result of the write.
type memoryStore struct {
	mu            sync.Mutex
	revision      core.Revision
	objects       map[string]operator.StoredObject
	before, after func(n int) error
	writes        int
}

func (m *memoryStore) Get(_ context.Context, kind, name string) (operator.StoredObject, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.objects[kind+"/"+name]; ok {
		return o, nil
	}
	return operator.StoredObject{Kind: kind, Name: name}, nil
}

func (m *memoryStore) List(_ context.Context, kind string) (out []operator.StoredObject, _ error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, nil
}

func (m *memoryStore) Put(_ context.Context, kind, name, value string, old core.Revision) (core.Revision, error) {
	m.mu.Lock()
	m.writes++
	n := m.writes
	m.mu.Unlock()
	if m.before != nil {
		if err := m.before(n); err != nil {
			return 0, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cur := m.objects[kind+"/"+name]
	if cur.Version != old {
		return 0, &operator.ConflictError{Current: cur}
	}
	m.revision++
	m.objects[kind+"/"+name] = operator.StoredObject{Kind: kind, Name: name, Version: m.revision, Value: value}
	if m.after != nil {
		if err := m.after(n); err != nil {
			return 0, err
		}
	}
	return m.revision, nil
}

type testInstance struct {
	ready bool
	level string
}

func (i *testInstance) Ready() (bool, string) { return i.ready, "no configuration yet" }
func (i *testInstance) Status(context.Context) (wire.Status, error) {
	return wire.Status{Instance: "entry-1", Revision: 7}, nil
}

func (i *testInstance) Report(context.Context) (wire.Report, error) { return wire.Report{Time: 5}, nil }
func (i *testInstance) SetLogLevel(l string) error                  { i.level = l; return nil }

type fixture struct {
	store    *memoryStore
	compiler *workspace.Compiler
	instance *testInstance
	registry metrics.Registry
	server   *httptest.Server
	aino     *operator.Client
	emrys    *operator.Client
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		store: &memoryStore{objects: map[string]operator.StoredObject{}}, compiler: workspace.NewCompiler(),
		instance: &testInstance{ready: true}, registry: metrics.NewRegistry(),
	}
	f.server = httptest.NewServer(operator.NewHandler(operator.Options{
		Store: f.store, Checker: f.compiler, Instance: f.instance, Metrics: f.registry, ResolveTimeout: time.Second,
		Counts: func() []wire.Row {
			return []wire.Row{
				{Workspace: "a", Tier: 1, Kind: "draft", Counts: wire.Counts{Asked: 3, Late: 1}},
				{Workspace: "b", Tier: 1, Kind: "draft", Counts: wire.Counts{Asked: 4, Late: 1}},
			}
		},
		Keys: map[string][32]byte{"aino": sha256.Sum256([]byte("k-aino")), "emrys": sha256.Sum256([]byte("k-emrys"))},
		OnWrite: func(s operator.StoredObject) {
			f.compiler.Apply(workspace.DecodeObject(s.Kind, s.Name, s.Version, s.Value, false))
		},
	}))
	t.Cleanup(f.server.Close)
	f.aino, f.emrys = operator.NewClient(f.server.URL, "k-aino"), operator.NewClient(f.server.URL, "k-emrys")
	return f
}

const template = `{
  // one kind of work
  "template": "desk",
  "params": [{"name": "weight", "type": "int", "default": 1, "max": 50}],
  "share": "${weight}",
  "kinds": [{"name": "draft", "tier": 1, "pool": "drafting"}],
}
`

func change(text string, version int) operator.Change {
	return operator.Change{Kind: "template", Name: "desk", File: "desk.json", Text: text, Version: version}
}

// Guards against dry runs that write, changes that are not in force at once, and a history that loses changes.
func TestChangesAndHistory(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	ctx := t.Context()
	trial := change(template, 0)
	trial.DryRun = true
	c, err := f.aino.Put(ctx, trial)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Diff).To(ContainSubstring("+  \"template\": \"desk\","))
	g.Expect(f.store.writes).To(BeZero(), "a dry run wrote to the store")

	c, err = f.aino.Put(ctx, change(template, 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Version).To(Equal(1))
	_, err = f.aino.Put(ctx, operator.Change{Kind: "workspace", Name: "helsinki", Text: `{"workspace": "helsinki", "template": "desk"}`})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.compiler.Plan().Workspaces()).To(HaveLen(1), "the change is not in force when the response arrives")

	c, err = f.emrys.Put(ctx, change(strings.Replace(template, "drafting", "writing", 1), 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Affected).To(Equal(1))
	g.Expect(c.Diff).To(ContainSubstring("--- template/desk version 1\n+++ desk.json\n"))
	o, err := f.aino.Get(ctx, "template", "desk")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Text).To(ContainSubstring("// one kind of work"), "comments were lost")
	g.Expect(o.Author).To(Equal("emrys"))
	c, err = f.aino.Put(ctx, change(o.Text, 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Unchanged).To(BeTrue())

	_, err = f.aino.Delete(ctx, operator.Change{Kind: "template", Name: "desk", Version: 3})
	g.Expect(errorCode(err)).To(Equal(core.CodeBadTemplate), "%v", err)
	_, err = f.aino.Delete(ctx, operator.Change{Kind: "workspace", Name: "helsinki", Version: 2})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.aino.Delete(ctx, operator.Change{Kind: "template", Name: "desk", Version: 3})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.aino.Get(ctx, "template", "desk")
	g.Expect(errorCode(err)).To(Equal(core.CodeNoSuchObject))
	list, err := f.aino.List(ctx, "template")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Items).To(BeEmpty())
	h, err := f.aino.History(ctx, "template", "desk", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.Items).To(HaveLen(3))
	g.Expect(h.Items[0].Deleted).To(BeTrue())
	g.Expect(h.Items[1].Author).To(Equal("emrys"))
	g.Expect(h.Items[2].Version).To(Equal(1))
	c, err = f.aino.Put(ctx, change(template, 0))
	g.Expect(err).NotTo(HaveOccurred(), "a deleted name could not be used again")
	g.Expect(c.Version).To(BeNumerically(">", 5))
}

func errorCode(err error) core.Code {
	var e *core.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// Guards against a change that overwrites another operator's change that its author has not seen.
func TestConflictShowsCurrentObject(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, err := f.aino.Put(t.Context(), change(template, 0))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.emrys.Put(t.Context(), change(strings.Replace(template, "drafting", "writing", 1), 1))
	g.Expect(err).NotTo(HaveOccurred())
	for _, version := range []int{0, 1} {
		_, err = f.aino.Put(t.Context(), change(template, version))
		var r *operator.APIError
		g.Expect(errors.As(err, &r)).To(BeTrue())
		g.Expect(r.Err.Code).To(Equal(core.CodeConflict))
		g.Expect(r.Error()).To(ContainSubstring("now has version 2, changed by emrys at"))
		g.Expect(r.Current.Text).To(ContainSubstring("writing"))
	}
	g.Expect(f.store.writes).To(Equal(2))
}

// Guards against losing one of two changes that are checked at the same time.
func TestOneOfConcurrentChangesSucceeds(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	var ready sync.WaitGroup
	ready.Add(2)
	f.store.before = func(n int) error {
		if n <= 2 {
			ready.Done()
			ready.Wait()
		}
		return nil
	}
	codes := make(chan core.Code, 2)
	for _, c := range []*operator.Client{f.aino, f.emrys} {
		go func() {
			_, err := c.Put(context.Background(), change(template, 0))
			codes <- errorCode(err)
		}()
	}
	g.Expect([]core.Code{<-codes, <-codes}).To(ConsistOf(core.Code(0), core.CodeConflict))
}

// Guards against a wrong outcome of a change when the response of the store is lost.
func TestLostResponses(t *testing.T) {
	lost := &operator.UndeterminedError{Err: errors.New("timeout")}
	once := func(n int) error {
		if n == 1 {
			return lost
		}
		return nil
	}
	always := func(int) error { return lost }
	for _, c := range []struct {
		name          string
		before, after func(int) error
		want          core.Code
		version       int
	}{
		{"took effect", nil, once, 0, 1},
		{"did not arrive", once, nil, 0, 1},
		{"took effect, and no further write is answered", func(n int) error {
			if n > 1 {
				return errors.New("429")
			}
			return nil
		}, once, 0, 1},
		{"never answers", always, nil, core.CodeChangeUnknown, 0},
		{"refused", func(int) error { return errors.New("429") }, nil, core.CodeChangeRejected, 0},
		{"refused after a lost response", func(n int) error {
			if n == 1 {
				return lost
			}
			return errors.New("429")
		}, nil, core.CodeChangeUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			f.store.before, f.store.after = c.before, c.after
			out, err := f.aino.Put(t.Context(), change(template, 0))
			g.Expect(errorCode(err)).To(Equal(c.want), "%v", err)
			g.Expect(out.Version).To(Equal(c.version))
		})
	}
	t.Run("took effect and was replaced", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t)
		f.store.after = func(n int) error {
			if n > 1 {
				return nil
			}
			f.store.mu.Unlock() // Put holds the lock here; another operator's change is made in between
			defer f.store.mu.Lock()
			_, err := f.emrys.Put(context.Background(), change(strings.Replace(template, "drafting", "writing", 1), 1))
			g.Expect(err).NotTo(HaveOccurred())
			return lost
		}
		out, err := f.aino.Put(t.Context(), change(template, 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Version).To(Equal(1), "not the version of this change")
	})
	t.Run("another change came first", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t)
		f.store.before = func(n int) error {
			if n > 1 {
				return nil
			}
			_, err := f.emrys.Put(context.Background(), change(template, 0))
			g.Expect(err).NotTo(HaveOccurred())
			return lost
		}
		_, err := f.aino.Put(t.Context(), change(template, 0))
		g.Expect(errorCode(err)).To(Equal(core.CodeConflict))
	})
}

// Guards against reporting a definite conflict as unknown when a platform tool has written a bare document.
func TestConflictWithBareDocument(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.store.before = func(int) error {
		f.store.objects["template/desk"] = operator.StoredObject{Kind: "template", Name: "desk", Version: 9, Value: template}
		return nil
	}
	_, err := f.aino.Put(t.Context(), change(template, 0))
	g.Expect(errorCode(err)).To(Equal(core.CodeConflict), "%v", err)
}

func send(t *testing.T, f *fixture, method, path, key string, header ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, strings.NewReader(template))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against paths that are served without a key, and against refusals that lack the error body of the API.
func TestAccess(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct {
		name, method, path, key string
		header                  []string
		status                  int
		want                    string
	}{
		{"no key", "GET", "/status", "", nil, 403, `"class":"not run","code":1404,"message":"send an operator key`},
		{"wrong key", "GET", "/status", "k-ain", nil, 403, `"code":1404`},
		{"description without key", "GET", "/openapi.json", "", nil, 403, `"code":1404`},
		{"description", "GET", "/openapi.json", "k-aino", nil, 200, `"openapi":"3.1.0"`},
		{"status", "GET", "/status", "k-aino", nil, 200, `"revision":7`},
		{"report", "GET", "/report", "k-emrys", nil, 200, `"time":5`},
		{"alive", "GET", "/healthz", "", nil, 200, `"status":"ok"`},
		{"ready", "GET", "/readyz", "", nil, 200, `"status":"ok"`},
		{"no precondition", "PUT", "/templates/desk", "k-aino", nil, 400, `"class":"not run","code":1001,"message":"send either If-Match`},
		{"both preconditions", "PUT", "/templates/desk", "k-aino", []string{"If-Match", `"1"`, "If-None-Match", "*"}, 400, `"code":1001`},
		{"weak version", "PUT", "/templates/desk", "k-aino", []string{"If-Match", `W/"1"`}, 400, `is not a version`},
		{"change id", "PUT", "/templates/desk", "k-aino", []string{"If-None-Match", "*", "X-Change-Id", "x"}, 400, `X-Change-Id: not an id`},
		{"other name", "PUT", "/templates/table", "k-aino", []string{"If-None-Match", "*"}, 422, `"code":1402`},
		{"delete what is not there", "DELETE", "/templates/none", "k-aino", []string{"If-None-Match", "*"}, 404, `"code":1405`},
		{"level", "PUT", "/loglevel", "k-aino", nil, 400, `"code":1001`},
		{"no path", "GET", "/none", "k-aino", nil, 404, ``},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			status, body := send(t, f, c.method, c.path, c.key, c.header...)
			g.Expect(status).To(Equal(c.status), body)
			g.Expect(body).To(ContainSubstring(c.want))
		})
	}
	g := NewWithT(t)
	f.instance.ready = false
	status, body := send(t, f, "GET", "/readyz", "")
	g.Expect(status).To(Equal(503))
	g.Expect(body).To(ContainSubstring("no configuration yet"))
	_, err := f.aino.Put(t.Context(), change(template, 0))
	g.Expect(errorCode(err)).To(Equal(core.CodeNotReady), "a change before the instance is ready: %v", err)
	f.instance.ready = true
	g.Expect(f.aino.SetLogLevel(t.Context(), "debug")).To(Succeed())
	g.Expect(f.instance.level).To(Equal("debug"))
	g.Expect(errorCode(f.aino.SetLogLevel(t.Context(), "loud"))).To(Equal(core.CodeBadRequest))
	big := change(strings.Repeat(" ", operator.MaxDocumentBytes)+template, 0)
	_, err = f.aino.Put(t.Context(), big)
	g.Expect(errorCode(err)).To(Equal(core.CodeBodyTooLarge), "%v", err)
}

// Guards against an operation that is added without the key check. The list comes from the API's own description.
func TestEveryOperationRequiresKey(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, err := f.aino.Put(t.Context(), change(template, 0))
	g.Expect(err).NotTo(HaveOccurred())
	var api struct {
		Paths map[string]map[string]any
	}
	_, body := send(t, f, "GET", "/openapi.json", "k-aino")
	g.Expect(json.Unmarshal([]byte(body), &api)).To(Succeed())
	type operation struct{ method, path string }
	operations := []operation{{"GET", "/openapi.json"}, {"GET", "/openapi.yaml"}, {"GET", "/none"}}
	for path, methods := range api.Paths {
		for m := range methods {
			operations = append(operations, operation{strings.ToUpper(m), strings.ReplaceAll(path, "{name}", "desk")})
		}
	}
	g.Expect(len(operations)).To(BeNumerically(">=", 17))
	for _, v := range operations {
		for _, key := range []string{"", "wrong", "k-ain", "k-aino2"} {
			status, body := send(t, f, v.method, v.path, key, "If-Match", `"1"`, "X-Change-Id", core.NewID())
			if v.path == "/healthz" || v.path == "/readyz" {
				g.Expect(status).To(Equal(200), "%v", v)
				continue
			}
			g.Expect(status).To(Equal(403), "%v with key %q", v, key)
			g.Expect(body).To(ContainSubstring(`"code":1404`))
		}
		if v.path != "/healthz" && v.path != "/readyz" {
			status, _ := send(t, f, v.method, v.path, "", "Authorization", "Basic k-aino")
			g.Expect(status).To(Equal(403), "%v with another scheme", v)
		}
	}
	o, err := f.aino.Get(t.Context(), "template", "desk")
	g.Expect(err).NotTo(HaveOccurred(), "the object was deleted without a key")
	g.Expect(o.Version).To(Equal(1), "the object was changed without a key")
	g.Expect(f.instance.level).To(BeEmpty())
}

// Guards against metrics with wrong names, labels or units.
func TestMetrics(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	metrics.GetOrRegisterCounter("requests.asked", f.registry).Inc(3)
	metrics.GetOrRegisterGauge("queue", f.registry).Update(4)
	metrics.GetOrRegisterTimer("wait", f.registry).Update(2 * time.Second)
	status, body := send(t, f, "GET", "/metrics", "k-aino")
	g.Expect(status).To(Equal(200))
	g.Expect(body).To(ContainSubstring("# TYPE monsoondale_requests_asked_total counter\nmonsoondale_requests_asked_total 3\n"))
	g.Expect(body).To(ContainSubstring("# TYPE monsoondale_asked_total counter\nmonsoondale_asked_total{tier=\"1\"} 7\n"))
	g.Expect(body).To(ContainSubstring(`monsoondale_finished_total{tier="1",outcome="late"} 2`))
	g.Expect(body).To(ContainSubstring("monsoondale_queue 4\n"))
	g.Expect(body).To(ContainSubstring(`monsoondale_wait_seconds{quantile="0.99"} 2`))
	g.Expect(body).To(ContainSubstring("monsoondale_wait_seconds_count 1\n"))
}

// Guards against a client that reports a wrong outcome when the instance closes the connection during a change.
func TestClientReadsBackAfterLostResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		made bool
		want core.Code
	}{{"made", true, 0}, {"not made", false, core.CodeChangeUnknown}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			_, err := f.emrys.Put(t.Context(), change(template, 0))
			g.Expect(err).NotTo(HaveOccurred())
			broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPut {
					f.server.Config.Handler.ServeHTTP(w, r)
					return
				}
				if c.made {
					f.server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
				}
				panic(http.ErrAbortHandler)
			}))
			defer broken.Close()
			_, err = operator.NewClient(broken.URL, "k-aino").Put(t.Context(), change(strings.Replace(template, "drafting", "writing", 1), 1))
			g.Expect(errorCode(err)).To(Equal(c.want), "%v", err)
		})
	}
	g := NewWithT(t)
	_, err := operator.NewClient("http://127.0.0.1:1", "k").Put(t.Context(), change(template, 0))
	g.Expect(err).To(HaveOccurred())
	g.Expect(errorCode(err)).To(BeZero(), "a refused connection was reported as an unknown outcome")
}
