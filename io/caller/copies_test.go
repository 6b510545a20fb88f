package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/io/caller"
	"monsoondale/io/internal/roundtrip"
)

// Guards against failing a request that an endpoint is running because a copy of an earlier refusal arrived on the same connection.
func TestCopyOfRefusal(t *testing.T) {
	chunks := func(id string) string {
		return fmt.Sprintf("id: 1\ndata: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"done\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
	}
	response := func(status int, id, media, body string) string {
		header := ""
		if id != "" {
			header = "X-Request-Id: " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, header, media, len(body), body)
	}
	for _, tt := range []struct {
		name      string
		refusalID bool // the refusal has the id of its request
		stream    bool
	}{
		{"whole answer", true, false},
		{"stream", true, true},
		{"whole answer, refusal without an id", false, false},
		{"stream, refusal without an id", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			var mu sync.Mutex
			dispatches := map[string]int{}
			// Only the first chat is refused.
			serve := func(c net.Conn) {
				defer c.Close()
				refusal := ""
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					id := req.Header.Get("X-Request-Id")
					_, _ = io.WriteString(c, refusal)
					refusal = ""
					if req.Method == http.MethodPost {
						mu.Lock()
						dispatches[id]++
						first := len(dispatches) == 1
						mu.Unlock()
						if first {
							refusal = response(503, map[bool]string{true: id}[tt.refusalID], "application/json", "{}")
							_, _ = io.WriteString(c, refusal)
							continue
						}
					}
					_, _ = io.WriteString(c, response(200, id, "text/event-stream", chunks(id)))
				}
			}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serve(c)
				}
			}()
			r := newFixture(caller.Options{}, roundtrip.Options{}, l.Addr().String())
			g.Expect(r.do(post(chatPath, chatBody("draft", tt.stream))).Code).To(Equal(http.StatusBadGateway))
			w := r.do(post(chatPath, chatBody("draft", tt.stream)))
			g.Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
			text, ended := content(w)
			g.Expect(ended).To(BeTrue())
			g.Expect(strings.TrimSpace(text)).To(Equal("done"))
			mu.Lock()
			defer mu.Unlock()
			g.Expect(dispatches).To(HaveLen(2))
			for _, n := range dispatches {
				g.Expect(n).To(Equal(1))
			}
		})
	}
}
