package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tmaxmax/go-sse"

	"monsoondale/wire/engine"
)

func call(ctx context.Context, h http.Handler, method, path, id, last string, body any) *httptest.ResponseRecorder {
	b, _ := json.Marshal(body) // the types of the tests can always be encoded
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(string(b)))
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Last-Event-ID", last)
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // the connection was closed
		h.ServeHTTP(w, r)
	}()
	return w
}

func chat(content string, n int) engine.Chat {
	return engine.Chat{Model: "m", Stream: true, MaxTokens: n, Messages: []engine.Message{{Role: "user", Content: content}}}
}

// readStream returns the text of a stream, the last event id, whether it ended with [DONE], and the usage. It stops at
// a chunk of another request and at a gap in the event ids.
func readStream(t *testing.T, w *httptest.ResponseRecorder, id string, from int) (text string, last int, done bool, usage *engine.Usage) {
	t.Helper()
	last = from
	for ev, err := range sse.Read(w.Body, nil) {
		if err != nil {
			return text, last, false, usage
		}
		if ev.LastEventID != strconv.Itoa(last+1) {
			return text, last, false, usage
		}
		if ev.Data == "[DONE]" {
			return text, last + 1, true, usage
		}
		var c engine.Chunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
			t.Fatal(err)
		}
		if c.Id != id {
			return text, last, false, usage
		}
		last++
		text += c.Choices[0].Delta.Content
		usage = c.Usage
	}
	return text, last, false, usage
}

// Guards against faulty streams that look like a complete answer, and against resumption that repeats or loses tokens.
func TestFaultyStreams(t *testing.T) {
	for _, tc := range []struct {
		name     string
		fault    Fault
		complete bool
	}{
		{"no fault", Fault{}, true},
		{"broken", Fault{Break: 1}, false},
		{"short", Fault{Short: 1}, false},
		{"event skipped", Fault{Skip: 1}, false},
		{"other request's chunks", Fault{Swap: 1}, false},
		{"rejected", Fault{Reject: 1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := New(Options{})
				e.SetFault(tc.fault)
				c := chat("hello", 40)
				w := call(t.Context(), e, "POST", "/v1/chat/completions", "r1", "", c)
				text, last, done, usage := readStream(t, w, "r1", 0)
				g.Expect(done).To(Equal(tc.complete))
				if !done && tc.fault.Reject == 0 {
					g.Expect(last).To(BeNumerically("~", 21, 1))
					w = call(t.Context(), e, "GET", "/v1/streams/r1", "", strconv.Itoa(last), nil)
					var rest string
					rest, _, done, usage = readStream(t, w, "r1", last)
					g.Expect(done).To(BeTrue())
					text += rest
				}
				if tc.fault.Reject == 0 {
					g.Expect(text).To(Equal(Text(c)))
					g.Expect(usage.CompletionTokens).To(Equal(40))
				} else {
					g.Expect(w.Code).To(Equal(500))
				}
				log := e.Log().Items
				g.Expect(log).To(HaveLen(1))
				g.Expect(log[0].Dispatches).To(Equal(1))
			})
		})
	}
}

// Guards against cancelled runs that keep occupying the batch, and against the loss of their tokens.
func TestCancelAndResume(t *testing.T) {
	for _, tc := range []struct {
		name      string
		linger    time.Duration
		cancel    bool
		generated int // tokens generated ten seconds after the interruption at token 50
	}{
		{"cancelled", time.Minute, true, 50},
		{"client gone", 0, false, 50},
		{"client gone, lingering", time.Minute, false, 1050},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := New(Options{DecodeRate: 100, PrefillRate: 1e9, Linger: tc.linger})
				c := chat("hello", 2000)
				ctx, hangUp := context.WithCancel(t.Context())
				var w *httptest.ResponseRecorder
				var wg sync.WaitGroup
				wg.Go(func() { w = call(ctx, e, "POST", "/v1/chat/completions", "r1", "", c) })
				time.Sleep(505 * time.Millisecond)
				if tc.cancel {
					g.Expect(call(t.Context(), e, "DELETE", "/v1/streams/r1", "", "", nil).Code).To(Equal(200))
				}
				hangUp()
				wg.Wait()
				time.Sleep(10 * time.Second)
				g.Expect(e.Log().Items[0].Tokens).To(BeNumerically("~", tc.generated, 2))

				text, last, done, _ := readStream(t, w, "r1", 0)
				g.Expect(done).To(BeFalse())
				w = call(t.Context(), e, "GET", "/v1/streams/r1", "", strconv.Itoa(last), nil)
				rest, _, done, _ := readStream(t, w, "r1", last)
				g.Expect(done).To(BeTrue())
				g.Expect(text + rest).To(Equal(Text(c)))
				log := e.Log().Items[0]
				g.Expect(log.Dispatches).To(Equal(1))
				g.Expect(log.Resumes).To(Equal(1))
				g.Expect(log.State).To(Equal(engine.RunStateDone))
			})
		})
	}
}

// Guards against an engine whose speed does not depend on the number of requests, or that exceeds its batch size.
func TestBatching(t *testing.T) {
	for _, tc := range []struct {
		name   string
		opts   Options
		n      int
		tokens int
		want   time.Duration
	}{
		{"alone", Options{DecodeRate: 100, HalvingLoad: 4, PrefillRate: 1e9}, 1, 100, time.Second},
		{"five together take twice as long", Options{DecodeRate: 100, HalvingLoad: 4, PrefillRate: 1e9}, 5, 100, 2 * time.Second},
		{"batch of one", Options{DecodeRate: 100, HalvingLoad: 4, BatchSize: 1, PrefillRate: 1e9}, 5, 100, 5 * time.Second},
		{"prefill is shared", Options{DecodeRate: 1e6, HalvingLoad: 1e9, PrefillRate: 250}, 4, 1, 4 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := New(tc.opts)
				start := time.Now()
				var wg sync.WaitGroup
				for i := range tc.n {
					wg.Go(func() {
						c := chat(strconv.Itoa(i)+strings.Repeat("x", 993), tc.tokens) // 250 prompt tokens
						call(t.Context(), e, "POST", "/v1/chat/completions", strconv.Itoa(i), "", c)
					})
				}
				wg.Wait()
				g.Expect(time.Since(start)).To(BeNumerically("~", tc.want, tc.want/20))
			})
		})
	}
}

// Guards against cache events without the configured delay or losses, an unbounded cache, and load reports without
// delay.
func TestCacheAndLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := New(Options{CacheTokens: 8 * BlockSize / bytesPerToken, ReportLag: 2 * time.Second, LoseEvery: 3})
		run := func(id, content string) int {
			w := call(t.Context(), e, "POST", "/v1/chat/completions", id, "", chat(content, 1))
			_, _, done, usage := readStream(t, w, id, 0)
			g.Expect(done).To(BeTrue())
			return usage.PromptTokensDetails.CachedTokens
		}
		events := func() (out engine.Events) {
			w := call(t.Context(), e, "GET", "/cache?after=0", "", "", nil)
			g.Expect(json.Unmarshal(w.Body.Bytes(), &out)).To(Succeed())
			return out
		}
		long := strings.Repeat("a", 4*BlockSize)
		g.Expect(run("r1", long)).To(Equal(0))
		g.Expect(run("r2", long+"b")).To(Equal(4 * BlockSize / bytesPerToken))
		g.Expect(events().Items).To(BeEmpty())
		time.Sleep(2 * time.Second)
		g.Expect(events().Items).To(HaveLen(3)) // one of four is lost
		g.Expect(events().Items[0].Prefix).To(BeElementOf(PrefixHashes(chat(long, 1).Messages)))
		run("r3", strings.Repeat("c", 8*BlockSize))
		g.Expect(run("r4", long)).To(Equal(0))

		var l engine.Load
		go call(t.Context(), e, "POST", "/v1/chat/completions", "r5", "", chat("x", 4000))
		time.Sleep(time.Second)
		g.Expect(json.Unmarshal(call(t.Context(), e, "GET", "/load", "", "", nil).Body.Bytes(), &l)).To(Succeed())
		g.Expect(l.Running).To(Equal(0))
		time.Sleep(2 * time.Second)
		g.Expect(json.Unmarshal(call(t.Context(), e, "GET", "/load", "", "", nil).Body.Bytes(), &l)).To(Succeed())
		g.Expect(l.Running).To(Equal(1))
	})
}

// Guards against an engine that checks fences although it should ignore them, or the reverse.
func TestFencedOrders(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fenced bool
		status int
		model  string
	}{
		{"fence checked", true, 409, "new"},
		{"fence ignored", false, 200, "old"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			e := New(Options{Fenced: tc.fenced})
			g.Expect(call(t.Context(), e, "POST", "/orders", "", "", engine.Order{Fence: 2, Model: "new"}).Code).To(Equal(200))
			g.Expect(call(t.Context(), e, "POST", "/orders", "", "", engine.Order{Fence: 1, Model: "old"}).Code).To(Equal(tc.status))
			g.Expect(e.CurrentOrder().Model).To(Equal(tc.model))
		})
	}
}

// Guards against a frozen or down engine that still answers or makes progress.
func TestFreezeAndDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := New(Options{DecodeRate: 100})
		var wg sync.WaitGroup
		start := time.Now()
		wg.Go(func() { call(t.Context(), e, "POST", "/v1/chat/completions", "r1", "", chat("x", 100)) })
		time.Sleep(500 * time.Millisecond)
		g.Expect(call(t.Context(), e, "PUT", "/fault", "", "", Fault{Freeze: true}).Code).To(Equal(200))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(call(ctx, e, "GET", "/load", "", "", nil).Body.Len()).To(BeZero())
		time.Sleep(9 * time.Second)
		e.SetFault(Fault{})
		wg.Wait()
		g.Expect(time.Since(start)).To(BeNumerically("~", 11*time.Second, 50*time.Millisecond))
		e.SetFault(Fault{Down: true})
		g.Expect(call(t.Context(), e, "GET", "/load", "", "", nil).Code).To(Equal(503))
	})
}

// Guards against responses without an id, after which clients need new connections.
func TestResponsesEchoRequestID(t *testing.T) {
	for _, tt := range []struct{ method, path string }{
		{"GET", "/load"},
		{"GET", "/cache"},
		{"GET", "/orders"},
		{"POST", "/orders"},
		{"GET", "/v1/streams/unknown"},
		{"DELETE", "/v1/streams/unknown"},
		{"POST", "/v1/chat/completions"},
	} {
		for _, f := range []Fault{{}, {Down: true}} {
			e := New(Options{})
			e.SetFault(f)
			w := call(t.Context(), e, tt.method, tt.path, "r", "", engine.Chat{})
			NewWithT(t).Expect(w.Header().Get("X-Request-Id")).To(Equal("r"), "%s %s", tt.method, tt.path)
		}
	}
}
