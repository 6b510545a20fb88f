package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/io/engine"
	wire "monsoondale/wire/engine"
)

// rawResponse formats a response. An empty id is left out.
func rawResponse(status int, id, media, body string) string {
	header := ""
	if id != "" {
		header = "X-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, header, media, len(body), body)
}

// startCopyingServer starts a server that writes each response once more on its connection, at the given time after the
// next request has arrived there and before the response to that one.
func startCopyingServer(t *testing.T, delay time.Duration, respond func(r *http.Request) string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				previous := ""
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if previous != "" {
						time.Sleep(delay)
						_, _ = io.WriteString(c, previous)
						time.Sleep(5 * time.Millisecond)
					}
					previous = respond(req)
					_, _ = io.WriteString(c, previous)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against taking the copy of an earlier response on the same connection for the response to a call: an engine that counts
// as stopped while it generates, a stream that counts as unknown, failed or refused while it runs, and outdated state.
func TestCopyOfEarlierResponse(t *testing.T) {
	resume := func(ctx context.Context, c *engine.Client, address string, id core.RequestID, after int) (n int, err error) {
		err = c.Resume(ctx, address, id, after, func(e dispatch.Event) error {
			if e.ID > 0 {
				n++
			}
			return nil
		})
		return n, err
	}
	// Each case makes one call, whose response is copied, and then another. The server responds to the calls with the given
	// responses in turn.
	tests := []struct {
		name      string
		responses [2]string // of which the id is replaced
		echo      bool      // all responses have the id of their request
		call      func(ctx context.Context, g Gomega, c *engine.Client, address string)
	}{
		{
			name:      "cancelled twice",
			responses: [2]string{rawResponse(200, "%s", "application/json", "{}"), rawResponse(503, "%s", "application/json", "{}")},
			echo:      true,
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				g.Expect(c.Cancel(ctx, address, "r")).To(Succeed())
				g.Expect(c.Cancel(ctx, address, "r")).NotTo(Succeed())
			},
		},
		{
			name:      "cancelled after a load report",
			responses: [2]string{rawResponse(200, "", "application/json", `{"time":1,"running":0,"waiting":0}`), rawResponse(503, "", "application/json", "{}")},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := c.LoadReport(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.Cancel(ctx, address, "r")).NotTo(Succeed())
			},
		},
		{
			name:      "resumed after another was unknown",
			responses: [2]string{rawResponse(404, "", "application/json", "{}"), rawResponse(200, "r", streamMedia, chunk("r", 1)+endMark)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				g.Expect(c.Cancel(ctx, address, "s")).NotTo(Succeed())
				n, err := resume(ctx, c, address, "r", 0)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(1))
			},
		},
		{
			name:      "resumed after a truncated stream",
			responses: [2]string{rawResponse(200, "r", streamMedia, chunk("r", 1)), rawResponse(200, "r", streamMedia, chunk("r", 2)+endMark)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := chat(ctx, c, address)
				g.Expect(err).To(MatchError(engine.ErrTruncated))
				n, err := resume(ctx, c, address, "r", 1)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(1))
			},
		},
		{
			name:      "resumed after a refusal",
			responses: [2]string{rawResponse(503, "r", "application/json", "{}"), rawResponse(200, "r", streamMedia, chunk("r", 1)+endMark)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := resume(ctx, c, address, "r", 0)
				g.Expect(err).To(HaveOccurred())
				n, err := resume(ctx, c, address, "r", 0)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(1))
			},
		},
		{
			name:      "dispatched after another was refused without an id",
			responses: [2]string{rawResponse(503, "", "application/json", "{}"), rawResponse(200, "r", streamMedia, chunk("r", 1)+endMark)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				permit, _ := dispatch.NewAttempt("s").Begin()
				err := c.Chat(ctx, permit, address, dispatch.ChatRequest{Request: "s", Body: []byte("{}")}, func(dispatch.Event) error { return nil })
				g.Expect(err).To(HaveOccurred())
				_, err = chat(ctx, c, address)
				var e *core.Error
				g.Expect(errors.As(err, &e)).To(BeFalse(), "%v", err)
			},
		},
		{
			name:      "dispatched after another was refused",
			responses: [2]string{rawResponse(503, "s", "application/json", "{}"), rawResponse(200, "r", streamMedia, chunk("r", 1)+endMark)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				permit, _ := dispatch.NewAttempt("s").Begin()
				err := c.Chat(ctx, permit, address, dispatch.ChatRequest{Request: "s", Body: []byte("{}")}, func(dispatch.Event) error { return nil })
				g.Expect(err).To(HaveOccurred())
				_, err = chat(ctx, c, address)
				var e *core.Error
				g.Expect(errors.As(err, &e)).To(BeFalse(), "%v", err)
			},
		},
		{
			name:      "load report",
			responses: [2]string{rawResponse(200, "", "application/json", `{"time":1,"running":0,"waiting":0}`), rawResponse(200, "", "application/json", `{"time":2,"running":9,"waiting":0}`)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := c.LoadReport(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				l, err := c.LoadReport(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(l.Running).To(Equal(9))
			},
		},
		{
			name:      "load report, calls without ids are told apart",
			responses: [2]string{rawResponse(200, "%s", "application/json", `{"time":1,"running":0,"waiting":0}`), rawResponse(200, "%s", "application/json", `{"time":2,"running":9,"waiting":0}`)},
			echo:      true,
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := c.LoadReport(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				l, err := c.LoadReport(ctx, address)
				if err == nil {
					g.Expect(l.Running).To(Equal(9))
				}
			},
		},
		{
			name:      "cache events",
			responses: [2]string{rawResponse(200, "", "application/json", `{"items":[]}`), rawResponse(200, "", "application/json", `{"items":[{"seq":1,"op":"store","prefix":"1"}]}`)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := c.CacheEvents(ctx, address, 0)
				g.Expect(err).NotTo(HaveOccurred())
				ev, err := c.CacheEvents(ctx, address, 0)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(ev.Items).To(HaveLen(1))
			},
		},
		{
			name:      "order accepted after one was refused",
			responses: [2]string{rawResponse(409, "", "application/json", "{}"), rawResponse(200, "", "application/json", "{}")},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				g.Expect(c.Order(ctx, address, wire.Order{Fence: 1})).To(MatchError(engine.ErrStaleFence))
				g.Expect(c.Order(ctx, address, wire.Order{Fence: 2})).To(Succeed())
			},
		},
		{
			name:      "order refused after one was accepted",
			responses: [2]string{rawResponse(200, "", "application/json", "{}"), rawResponse(409, "", "application/json", "{}")},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				g.Expect(c.Order(ctx, address, wire.Order{Fence: 2})).To(Succeed())
				g.Expect(c.Order(ctx, address, wire.Order{Fence: 1})).To(MatchError(engine.ErrStaleFence))
			},
		},
		{
			name:      "order in force",
			responses: [2]string{rawResponse(200, "", "application/json", `{"fence":1,"model":"old"}`), rawResponse(200, "", "application/json", `{"fence":2,"model":"new"}`)},
			call: func(ctx context.Context, g Gomega, c *engine.Client, address string) {
				_, err := c.Orders(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				o, err := c.Orders(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(o.Model).To(Equal("new"))
			},
		},
	}
	for _, tt := range tests {
		for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, copy after %v", tt.name, delay), func(t *testing.T) {
				g := NewWithT(t)
				calls := make(chan string, len(tt.responses))
				for _, r := range tt.responses {
					calls <- r
				}
				address := startCopyingServer(t, delay, func(r *http.Request) string {
					response := <-calls
					if tt.echo {
						return fmt.Sprintf(response, r.Header.Get("X-Request-Id"))
					}
					return response
				})
				c := engine.New(engine.Options{})
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				tt.call(ctx, g, c, address)
			})
		}
	}
}
