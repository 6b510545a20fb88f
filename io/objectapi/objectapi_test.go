package objectapi_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/object"
	"monsoondale/core/order"
	"monsoondale/io/objectapi"
)

var _ order.Store = (*objectapi.Client)(nil)

func newClient(t *testing.T, h http.HandlerFunc) *objectapi.Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return objectapi.New(objectapi.Options{BaseURL: s.URL + "/", Timeout: 300 * time.Millisecond})
}

func wrapsType[T error]() types.GomegaMatcher {
	return WithTransform(func(err error) bool { var e T; return errors.As(err, &e) }, BeTrue())
}

// Guards against reporting an undetermined write as definite, or a definite one as undetermined.
func TestWriteOutcomes(t *testing.T) {
	abort := func(w http.ResponseWriter) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	for _, tc := range []struct {
		name    string
		answer  func(w http.ResponseWriter)
		version core.Revision
		err     types.GomegaMatcher
	}{
		{"written", func(w http.ResponseWriter) { w.Header().Set("ETag", `"8"`) }, 8, BeNil()},
		{"conflict", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusConflict)
			fmt.Fprint(w, `{"kind":"claim","name":"1","version":9,"value":"other"}`)
		}, 0, Equal(&object.ConflictError{Kind: "claim", Name: "1", Version: 9, Value: []byte("other")})},
		{"malformed conflict", func(w http.ResponseWriter) { w.WriteHeader(http.StatusConflict) }, 0, wrapsType[*object.UndeterminedError]()},
		{"no version", func(http.ResponseWriter) {}, 0, wrapsType[*object.UndeterminedError]()},
		{"malformed version", func(w http.ResponseWriter) { w.Header().Set("ETag", "8") }, 0, wrapsType[*object.UndeterminedError]()},
		{"too large", func(w http.ResponseWriter) { w.WriteHeader(http.StatusRequestEntityTooLarge) }, 0, MatchError(object.ErrTooLarge)},
		{"throttled", func(w http.ResponseWriter) { w.Header().Set("Retry-After", "3"); w.WriteHeader(429) }, 0, wrapsType[*object.ThrottledError]()},
		{"not found", func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }, 0, MatchError(object.ErrNotFound)},
		{"unavailable", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, 0, wrapsType[*object.UndeterminedError]()},
		{"connection closed", abort, 0, wrapsType[*object.UndeterminedError]()},
		{"no answer", func(http.ResponseWriter) { time.Sleep(400 * time.Millisecond) }, 0, wrapsType[*object.UndeterminedError]()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var calls atomic.Int32
			c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet { // opens a connection that the write then reuses
					w.Header().Set("ETag", `"7"`)
					return
				}
				calls.Add(1)
				if r.Header.Get("If-Match") != `"7"` || r.URL.Path != "/objects/claim/1" {
					t.Errorf("%s %s, If-Match %s", r.Method, r.URL, r.Header.Get("If-Match"))
				}
				tc.answer(w)
			})
			_, v, err := c.Get(t.Context(), "claim", "1")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(v).To(BeEquivalentTo(7))
			v, err = c.Put(t.Context(), "claim", "1", []byte("value"), 7)
			g.Expect(err).To(tc.err)
			g.Expect(v).To(Equal(tc.version))
			_, err = c.Delete(t.Context(), "claim", "1", 7)
			g.Expect(err).To(tc.err)
			g.Expect(calls.Load()).To(BeEquivalentTo(2), "the client retried a write")
		})
	}
}

// Guards against a refused dial that is reported as undetermined, and against sending an oversized value.
func TestNotSent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := l.Addr().String()
	l.Close()
	c := objectapi.New(objectapi.Options{BaseURL: "http://" + addr})
	_, err = c.Put(t.Context(), "claim", "1", nil, 0)
	g.Expect(err).To(MatchError(object.ErrUnavailable))
	g.Expect(object.Undetermined(err)).To(BeFalse())
	_, err = c.Put(t.Context(), "claim", "1", make([]byte, object.MaxValue+1), 0)
	g.Expect(err).To(MatchError(object.ErrTooLarge))
	_, err = c.Delete(t.Context(), "claim", "1", 0)
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.Counters().Writes).To(BeEquivalentTo(1))
}

// Guards against unbounded responses, and against watches that lose their parameters or hide that the revision is too
// old.
func TestReads(t *testing.T) {
	g := NewWithT(t)
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/objects/claim/large":
			w.Header().Set("ETag", `"1"`)
			fmt.Fprint(w, strings.Repeat("x", object.MaxValue+1))
		case r.URL.Path == "/objects/claim/a%2Fb" || r.URL.RawPath == "/objects/claim/a%2Fb":
			w.Header().Set("ETag", `"3"`)
			fmt.Fprint(w, "slash")
		case r.URL.Query().Get("after") == "1":
			w.WriteHeader(http.StatusGone)
		case r.URL.Path == "/objects/template":
			fmt.Fprintf(w, `{"revision":12,"items":[{"kind":"template","name":%q,"version":4}]}`, r.URL.Query().Encode())
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	_, _, err := c.Get(t.Context(), "claim", "large")
	g.Expect(err).To(MatchError(ContainSubstring("exceeds")))
	v, n, err := c.Get(t.Context(), "claim", "a/b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(v)).To(Equal("slash"))
	g.Expect(n).To(BeEquivalentTo(3))
	_, _, err = c.Get(t.Context(), "claim", "none")
	g.Expect(err).To(MatchError(object.ErrNotFound))
	items, err := c.Watch(t.Context(), "template", 11, 1500*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items.Revision).To(Equal(12))
	g.Expect(items.Items[0].Name).To(Equal("after=11&wait=1.5"))
	items, err = c.List(t.Context(), "template")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items.Items[0].Name).To(BeEmpty())
	_, err = c.Watch(t.Context(), "template", 1, time.Second)
	g.Expect(err).To(MatchError(object.ErrGone))
}

// Guards against a client that exceeds its rate limit at the API.
func TestRateLimit(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("ETag", `"1"`)
	}))
	defer s.Close()
	c := objectapi.New(objectapi.Options{BaseURL: s.URL, Rate: 20, Burst: 2})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := c.Put(ctx, "claim", "1", nil, 1); err != nil {
			g.Expect(object.Undetermined(err) && ctx.Err() == nil).To(BeFalse(), "a write that only waited for the rate limit was reported as undetermined")
			break
		}
	}
	g.Expect(calls.Load()).To(BeNumerically("<=", 13)) // burst of 2, 10 in 500 ms, and 1 for rounding
}
