package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/io/service"
)

// Guards against returning responses to other requests and truncated or oversized ones, and against treating any of
// them as a request that was not sent.
func TestCall(t *testing.T) {
	answer := func(id string, status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := []struct {
		name string
		h    http.HandlerFunc
		code core.Code // code of a definite failure, 0 for none
		ok   bool
	}{
		{"answered", answer("r", 200, "ok"), 0, true},
		{"error status", answer("r", 500, "ok"), 0, true},
		{"switched protocol", answer("r", 101, ""), core.CodeServiceRejected, false},
		{"redirect", answer("r", 302, "ok"), 0, true},
		{"other request", answer("q", 200, "ok"), core.CodeWrongAnswer, false},
		{"no request id", answer("", 200, "ok"), core.CodeWrongAnswer, false},
		{"oversized", answer("r", 200, strings.Repeat("x", 2000)), core.CodeServiceRejected, false},
		{"truncated", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "10")
			answer("r", 200, "ok")(w, r)
		}, core.CodeTruncated, false},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false},
		{"frozen", func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) }, 0, false},
	}
	for _, tt := range tests {
		for _, once := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				g := NewWithT(t)
				s := httptest.NewServer(tt.h)
				defer s.Close()
				c := service.New(service.Options{MaxReplyBytes: 1000})
				defer c.Close()
				b, _ := dispatch.NewAttempt("r").Begin()
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				reply, err := c.Call(ctx, b, s.Listener.Addr().String(), dispatch.CallRequest{Request: "r", NonIdempotent: once, Method: "POST", Path: "/x"})
				if tt.ok {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(reply.Body)).To(Equal("ok"))
					return
				}
				var e *core.Error
				var unsent *dispatch.NotSentError
				g.Expect(err).To(HaveOccurred())
				g.Expect(errors.As(err, &unsent)).To(BeFalse())
				g.Expect(errors.As(err, &e)).To(Equal(tt.code != 0))
				if e != nil {
					g.Expect(e.Code).To(Equal(tt.code))
				}
			})
		}
	}
}
