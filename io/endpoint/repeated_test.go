package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/io/endpoint"
)

// Guards against taking a late copy of an earlier response for that of the request: a copy without an id, and a copy of the
// response to the same request when it is sent to the endpoint again.
func TestLateCopyOfEarlierResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		copyID string // header line of the late copy
		second core.RequestID
	}{
		{"copy without an id", "", "r2"},
		{"copy with the id of the earlier request", "Echo: r1\r\n", "r2"},
		{"copy without an id, request without an id", "", ""},
		{"same request again", "Echo: r1\r\n", "r1"},
		{"same request again, copy without an id", "", "r1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for i := 0; ; i++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					switch {
					case n == 0 && i == 0:
						fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nEcho: r1\r\nContent-Length: 0\r\n\r\n")
						continue
					case n == 0:
						fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", c.copyID)
						time.Sleep(20 * time.Millisecond)
					}
					respond(conn, req.Header.Get("Request"), "", "own")
				}
			})
			client := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
			send := func(id core.RequestID) (int, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				resp, err := client.Do(ctx, address, endpoint.Request{
					ID: id, Method: "POST", Target: "/", Host: "h", Header: http.Header{"Request": {string(id)}},
				})
				if err != nil {
					return 0, err
				}
				defer resp.Close()
				resp.MarkBodyRead()
				return resp.StatusCode, nil
			}
			status, err := send("r1")
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(status).To(Equal(503))
			status, err = send(c.second)
			g.Expect(status).To(Equal(200))
			var unsent *endpoint.NotSentError
			g.Expect(errors.As(err, &unsent)).To(BeFalse())
		})
	}
}
