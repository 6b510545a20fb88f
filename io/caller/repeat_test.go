package caller_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/internal/fake"
	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/service"
	"monsoondale/io/caller"
	"monsoondale/io/internal/roundtrip"
	wire "monsoondale/wire/engine"
)

// Guards against failing chats of an engine that writes each response once more, refusals included, and against a chat that counts as
// failed although the engine did not refuse it.
func TestEngineThatRepeatsResponses(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Options{DecodeRate: 2000, Linger: time.Second})
	s, err := fake.ServeOn(fake.RepeatResponses(net.Listen), "127.0.0.1:0", e)
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Stop()
	e.SetFault(engine.Fault{Reject: 20, Short: 10})
	r := newFixture(caller.Options{}, roundtrip.Options{}, s.Addr())
	var mu sync.Mutex
	codes := map[core.RequestID]core.Code{}
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Go(func() {
			for i := range 12 {
				w := r.do(post(chatPath, chatBody("draft", (worker+i)%2 == 0)))
				_, ended := content(w)
				mu.Lock()
				codes[core.RequestID(w.Header().Get("X-Request-Id"))] = errorCode(w)
				if code := errorCode(w); ended == (code != 0) {
					t.Errorf("ended %v, code %d: %s", ended, code, w.Body)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	refused := 0
	for _, run := range e.Log().Items {
		g.Expect(run.Dispatches).To(Equal(1), "%+v", run)
		code := codes[core.RequestID(run.Request)]
		delete(codes, core.RequestID(run.Request))
		if run.State != wire.RunStateFailed {
			g.Expect(code).To(BeZero(), "%+v", run)
			continue
		}
		refused++
		// A copy of another refusal may have arrived in place of the refusal.
		g.Expect(code).To(Or(Equal(core.CodeEngineError), Equal(core.CodeOutcomeUnknown)), "%+v", run)
	}
	for id, code := range codes { // did not reach the engine before its connection was closed
		g.Expect(code).To(Equal(core.CodeOutcomeUnknown), id)
	}
	g.Expect(refused).To(Equal(20))
}

// Guards against results of other calls and false failures if a service writes each response once more.
func TestServiceThatRepeatsResponses(t *testing.T) {
	g := NewWithT(t)
	h := service.New(service.Options{Routes: []service.Route{{Method: http.MethodPost, Path: "/status"}, {Method: http.MethodPost, Path: "/engrave", Field: "order"}}})
	s, err := fake.ServeOn(fake.RepeatResponses(net.Listen), "127.0.0.1:0", h)
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Stop()
	r := newFixture(caller.Options{}, roundtrip.Options{}, s.Addr())
	for i := range 20 {
		key := fmt.Sprint("k", i)
		w := r.do(post("/services/desk/engrave", fmt.Sprintf(`{"order":%q}`, key), "Idempotency-Key", key))
		g.Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
		g.Expect(h.Effects("order " + key)).To(Equal(1))
		w = r.do(post("/services/desk/status", `{}`))
		if code := errorCode(w); code != 0 {
			g.Expect(code).To(Equal(core.CodeOutcomeUnknown), w.Body.String())
		}
	}
}
