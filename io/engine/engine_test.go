package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/io/engine"
	"monsoondale/io/internal/memnet"
	"monsoondale/io/internal/roundtrip"
	wire "monsoondale/wire/engine"
)

func chunk(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d\"}}]}\n\n", n, id, n)
}

// fixedResponse returns a handler that always sends the same response.
func fixedResponse(id, media string, status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("Content-Type", media)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func chat(ctx context.Context, c *engine.Client, address string) ([]int, error) {
	b, _ := dispatch.NewAttempt("r").Begin()
	var ids []int
	err := c.Chat(ctx, b, address, dispatch.ChatRequest{Request: "r", Body: []byte("{}")}, func(e dispatch.Event) error {
		if e.ID > 0 {
			ids = append(ids, e.ID)
		}
		return nil
	})
	return ids, err
}

const endMark, streamMedia = "data: [DONE]\n\n", "text/event-stream"

// Guards against forwarding the answer to another request or an answer with a gap, and against treating a truncated
// answer as complete (P3).
func TestChatChecksStream(t *testing.T) {
	usage := "id: 2\ndata: {\"id\":\"r\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":1,\"total_tokens\":10}}\n\n"
	tests := []struct {
		name      string
		id, media string
		status    int
		body      string
		events    int
		code      core.Code // 0: any error after which the stream can be resumed
		ok        bool
	}{
		{name: "complete", body: chunk("r", 1) + chunk("r", 2) + endMark, events: 2, ok: true},
		{name: "end mark with id", body: chunk("r", 1) + "id: 2\n" + endMark, events: 1, ok: true},
		{name: "space after chunks", body: strings.ReplaceAll(chunk("r", 1)+chunk("r", 2)+chunk("r", 3), "}\n\n", "}"+strings.Repeat(" ", 600)+"\n\n") + endMark, events: 3, ok: true},
		{name: "data after a chunk", body: chunk("r", 1) + strings.Replace(chunk("r", 2), "}\n\n", "} }\n\n", 1) + endMark, events: 1, code: core.CodeWrongAnswer},
		{name: "usage", body: chunk("r", 1) + usage + endMark, events: 2, ok: true},
		{name: "truncated", body: chunk("r", 1) + chunk("r", 2), events: 2},
		{name: "truncated in an event", body: chunk("r", 1) + chunk("r", 2)[:40], events: 1},
		{name: "truncated before the blank line", body: chunk("r", 1) + "data: [DONE]\n", events: 1},
		{name: "empty", body: ""},
		{name: "skipped", body: chunk("r", 1) + chunk("r", 3) + endMark, events: 1, code: core.CodeWrongAnswer},
		{name: "repeated", body: chunk("r", 1) + chunk("r", 1) + endMark, events: 1, code: core.CodeWrongAnswer},
		{name: "skipped before the end", body: chunk("r", 1) + "id: 3\n" + endMark, events: 1, code: core.CodeWrongAnswer},
		{name: "first id is not 1", body: chunk("r", 2) + endMark, code: core.CodeWrongAnswer},
		{name: "no id", body: "data: {\"id\":\"r\"}\n\n" + endMark, code: core.CodeWrongAnswer},
		{name: "chunk of another request", body: chunk("r", 1) + chunk("q", 2) + endMark, events: 1, code: core.CodeWrongAnswer},
		{name: "answer to another request", id: "q", body: chunk("r", 1) + endMark, code: core.CodeWrongAnswer},
		{name: "answer without id", id: "-", body: chunk("r", 1) + endMark, code: core.CodeWrongAnswer},
		{name: "no stream", media: "application/json", body: "{}", code: core.CodeWrongAnswer},
		{name: "no JSON", body: "id: 1\ndata: x\n\n" + endMark, code: core.CodeWrongAnswer},
		{name: "error event", body: chunk("r", 1) + "event: error\ndata: out of memory\n\n", events: 1, code: core.CodeEngineError},
		{name: "error status", status: 503, code: core.CodeEngineError},
		{name: "large event", body: "id: 1\ndata: " + strings.Repeat("x", 3000) + "\n\n", code: core.CodeWrongAnswer},
		{name: "large line without end", body: strings.Repeat("x", 5000), code: core.CodeWrongAnswer},
		{name: "large answer", body: strings.Repeat(": comment\n\n", 1000), code: core.CodeWrongAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			id := strings.Trim(lo.CoalesceOrEmpty(tt.id, "r"), "-")
			address := startServer(t, fixedResponse(id, lo.CoalesceOrEmpty(tt.media, streamMedia), max(tt.status, 200), tt.body))
			c := engine.New(engine.Options{MaxEventBytes: 2048, MaxStreamBytes: 8192})
			defer c.Close()
			ids, err := chat(t.Context(), c, address)
			g.Expect(ids).To(HaveLen(tt.events))
			if tt.ok {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var e *core.Error
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.As(err, &e)).To(Equal(tt.code != 0), "%v", err)
			if e != nil {
				g.Expect(e.Code).To(Equal(tt.code))
			}
		})
	}
}

// Guards against counting an event without text as a token because fields of an earlier event were not cleared.
func TestEventWithoutText(t *testing.T) {
	g := NewWithT(t)
	body := chunk("r", 1) + "id: 2\ndata: {\"id\":\"r\",\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"},{\"index\":1},{\"index\":2,\"finish_reason\":\"stop\"}]}\n\n" + endMark
	c := engine.New(engine.Options{})
	defer c.Close()
	b, _ := dispatch.NewAttempt("r").Begin()
	var text []bool
	var finish [][]int
	g.Expect(c.Chat(t.Context(), b, startServer(t, fixedResponse("r", streamMedia, 200, body)), dispatch.ChatRequest{Request: "r"}, func(e dispatch.Event) error {
		text, finish = append(text, e.HasText), append(finish, e.FinishedChoices)
		return nil
	})).To(Succeed())
	g.Expect(text).To(Equal([]bool{false, true, false}))
	g.Expect(finish).To(Equal([][]int{nil, nil, {0, 2}}))
}

// Guards against resuming after the wrong event, and against treating an unknown stream as a broken connection.
func TestResume(t *testing.T) {
	g := NewWithT(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/r", func(w http.ResponseWriter, r *http.Request) {
		fixedResponse("r", streamMedia, 200, map[string]string{"2": chunk("r", 3) + endMark, "3": endMark, "0": chunk("r", 2) + endMark}[r.Header.Get("Last-Event-ID")])(w, r)
	})
	mux.HandleFunc("GET /v1/streams/busy", fixedResponse("busy", streamMedia, 503, ""))
	c := engine.New(engine.Options{})
	defer c.Close()
	address := startServer(t, mux)
	resume := func(id core.RequestID, after int) (ids []int, err error) {
		err = c.Resume(t.Context(), address, id, after, func(e dispatch.Event) error { ids = append(ids, e.ID); return nil })
		return ids, err
	}
	ids, err := resume("r", 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ids).To(Equal([]int{0, 3}))
	ids, err = resume("r", 3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ids).To(Equal([]int{0}))
	_, err = resume("r", 0)
	g.Expect(err).To(MatchError(ContainSubstring("event id")))
	_, err = resume("unknown", 2)
	g.Expect(err).To(MatchError(dispatch.ErrUnknownStream))
	_, err = resume("busy", 2)
	g.Expect(err).NotTo(MatchError(dispatch.ErrUnknownStream))
	var e *core.Error
	g.Expect(errors.As(err, &e)).To(BeFalse(), "the error of a busy engine must allow another resume")
}

// Guards against waiting forever for a frozen engine, and against treating a slow caller as a frozen engine.
func TestEngineTimeouts(t *testing.T) {
	tests := []struct {
		name    string
		pauses  []time.Duration // before the response and before each event
		reading time.Duration   // time the caller takes per event
		err     error
	}{
		{"slow but within limits", []time.Duration{14 * time.Second, 14 * time.Second, 2 * time.Second, 2 * time.Second}, 0, nil},
		{"no answer", []time.Duration{16 * time.Second}, 0, dispatch.ErrIdle},
		{"no first event", []time.Duration{0, 16 * time.Second}, 0, dispatch.ErrIdle},
		{"silent between events", []time.Duration{0, 0, 4 * time.Second}, 0, dispatch.ErrIdle},
		{"slow caller", []time.Duration{0, 0, 0}, 20 * time.Second, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(tt.pauses[0])
					w.Header().Set("X-Request-Id", "r")
					w.Header().Set("Content-Type", streamMedia)
					w.WriteHeader(200)
					_ = http.NewResponseController(w).Flush()
					for i, p := range tt.pauses[1:] {
						time.Sleep(p)
						_, _ = w.Write([]byte(chunk("r", i+1)))
						_ = http.NewResponseController(w).Flush()
					}
					_, _ = w.Write([]byte(endMark))
				})}
				l := n.Listen("e:1")
				go func() { _ = srv.Serve(l) }()
				c := engine.New(engine.Options{Options: roundtrip.Options{Dial: n.Dial}})
				defer time.Sleep(time.Minute) // lets the handler finish its pauses
				defer srv.Close()
				defer c.Close()
				b, _ := dispatch.NewAttempt("r").Begin()
				err := c.Chat(t.Context(), b, "e:1", dispatch.ChatRequest{Request: "r"}, func(dispatch.Event) error {
					time.Sleep(tt.reading)
					return nil
				})
				if tt.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(tt.err))
				}
			})
		})
	}
}

// Guards against hiding the refusal of an order with a stale fence, and against reports that hide lost cache events.
func TestControl(t *testing.T) {
	g := NewWithT(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", fixedResponse("", "application/json", 200, `{"time":1000,"running":2,"waiting":1}`))
	mux.HandleFunc("GET /cache", func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Query().Get("after")).To(Equal("4"))
		fixedResponse("", "application/json", 200, `{"items":[{"seq":5,"op":"store","prefix":"ff"},{"seq":7,"op":"evict","prefix":"1"},{"seq":8,"op":"store","prefix":"?"}]}`)(w, r)
	})
	mux.HandleFunc("POST /orders", fixedResponse("", "application/json", 409, ""))
	mux.HandleFunc("GET /orders", fixedResponse("", "application/json", 200, `{"fence":7,"model":"m"}`))
	mux.HandleFunc("DELETE /v1/streams/r", fixedResponse("", "application/json", 204, ""))
	address := startServer(t, mux)
	c := engine.New(engine.Options{MaxReplyBytes: 4096})
	defer c.Close()
	ctx := t.Context()
	l, err := c.LoadReport(ctx, address)
	g.Expect(err).NotTo(HaveOccurred())
	ev, err := c.CacheEvents(ctx, address, 4)
	g.Expect(err).NotTo(HaveOccurred())
	r, next := engine.NewReport("e", l, ev.Items, 4)
	g.Expect(next).To(Equal(8))
	g.Expect(r.Gap).To(BeTrue())
	g.Expect(r.Events).To(HaveLen(2))
	g.Expect(r.Running).To(Equal(2))
	g.Expect(c.Order(ctx, address, wire.Order{Fence: 1})).To(MatchError(engine.ErrStaleFence))
	o, err := c.Orders(ctx, address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o).To(Equal(wire.Order{Fence: 7, Model: "m"}))
	g.Expect(c.Cancel(ctx, address, "r")).To(Succeed())
	g.Expect(c.Cancel(ctx, address, "unknown")).NotTo(Succeed())
}

// Guards against streams that make the client panic, that deliver events out of order, or that count as complete
// without an end mark.
func FuzzStream(f *testing.F) {
	f.Add(chunk("r", 1) + endMark)
	f.Add(chunk("r", 1) + chunk("r", 2) + "id: 3\n" + endMark)
	f.Add("\xef\xbb\xbf: c\r\nid:1\r\rdata:[DONE]\n\n")
	var body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fixedResponse("r", streamMedia, 200, body)(w, r) }))
	f.Cleanup(s.Close)
	c := engine.New(engine.Options{MaxEventBytes: 4096, MaxStreamBytes: 1 << 16})
	f.Fuzz(func(t *testing.T, in string) {
		body = in
		ids, err := chat(t.Context(), c, s.Listener.Addr().String())
		for i, id := range ids {
			if id != i+1 {
				t.Fatalf("event ids %v are not consecutive from 1", ids)
			}
		}
		if err == nil && !strings.Contains(in, "[DONE]") {
			t.Fatal("a stream without an end mark counted as complete")
		}
	})
}
