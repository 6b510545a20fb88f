package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/io/endpoint"
)

// statusFramings are the headers and bodies that follow a status line. Each body holds a whole response to the request with the id r1.
var statusFramings = []struct{ name, rest string }{
	{"nothing", "\r\n" + forgedResponse},
	{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forgedResponse), forgedResponse)},
	{"chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(forgedResponse), forgedResponse)},
}

const forgedResponse = "HTTP/1.1 200 OK\r\nEcho: r1\r\nContent-Length: 6\r\n\r\nforged"

// answer sends a request with the id r1 to a server that reads it and writes raw bytes, after another request on the same connection if
// kept is set. It returns the status and the body of the response, and how often the header of one was reported.
func answer(t *testing.T, kept bool, raw string) (status, headers int, body string, err error) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if id := req.Header.Get("Echo"); id != "r1" {
				respond(c, id, "", "ok")
				continue
			}
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	})
	c := endpoint.New(endpoint.Options{RequestIDHeader: "Echo"})
	if kept {
		if _, _, err := roundTrip(c, address, "r0", false, 0); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, endpoint.Request{
		ID: "r1", Method: "GET", Target: "/", Host: "h", Header: http.Header{},
		OnHeader: func(*http.Response, bool) { headers++ },
	})
	if err != nil {
		if ctx.Err() != nil {
			err = fmt.Errorf("only after the time limit: %w", err)
		}
		return 0, headers, "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, headers, string(b), err
}

// Guards against an answer that the endpoint has not given: a status that HTTP does not define is no response, and what follows it is not
// read as one, so that an endpoint in trouble, or whoever shapes its bytes, can't forge a response.
func TestUndefinedStatusIsNoResponse(t *testing.T) {
	for status := range 1000 {
		if status >= 100 && status <= 599 && status != 101 {
			continue
		}
		for i, f := range statusFramings {
			if status >= 100 && status != 101 && status%50 != i { // the long range of large ones, in part
				continue
			}
			for _, kept := range []bool{false, true} {
				_, headers, body, err := answer(t, kept, fmt.Sprintf("HTTP/1.1 %03d Trouble\r\nEcho: r1\r\n%s", status, f.rest))
				if err == nil || strings.Contains(err.Error(), "time limit") || headers > 0 {
					t.Errorf("%03d, %s, kept %v: body %q, error %v, %d headers reported", status, f.name, kept, body, err, headers)
				}
			}
		}
	}
}

// Guards against the same by an interim response that promises a body, which interim responses do not have (RFC 9110, section 15.2), and
// against waiting for the deadline while they come without end.
func TestInterimResponses(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nEcho: r1\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, raw string
		body      string // empty if the request is to fail
	}{
		{"known", "HTTP/1.1 100 Continue\r\n\r\n" + final, "ok"},
		{"early hints", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + final, "ok"},
		{"unknown", "HTTP/1.1 150 Later\r\n\r\n" + final, "ok"},
		{"two", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + final, "ok"},
		{"with a length", "HTTP/1.1 150 Later\r\n" + statusFramings[1].rest + final, ""},
		{"with chunks", "HTTP/1.1 150 Later\r\n" + statusFramings[2].rest + final, ""},
		{"with an unreadable length", "HTTP/1.1 100 Continue\r\nContent-Length: x\r\n\r\n" + forgedResponse, ""},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + final, ""},
		{"many", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 8) + final, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, _, body, err := answer(t, false, c.raw)
			if c.body == "" {
				g.Expect(err).To(HaveOccurred(), "body %q", body)
				g.Expect(err).ToNot(MatchError(ContainSubstring("time limit")))
				return
			}
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(body).To(Equal(c.body))
		})
	}
}

// Guards against malformed status lines that are taken for a response.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1", "HTTP/x 200 OK", "200 OK", ""} {
		_, headers, body, err := answer(t, false, line+"\r\nEcho: r1\r\n"+statusFramings[1].rest)
		if err == nil || strings.Contains(err.Error(), "time limit") || headers > 0 {
			t.Errorf("%q: body %q, error %v, %d headers reported", line, body, err, headers)
		}
	}
}

// Guards against a defined status that is not handed on, among them those that only some endpoints know.
func TestDefinedStatusIsHandedOn(t *testing.T) {
	for status := 200; status <= 599; status += 7 {
		got, _, body, err := answer(t, status%2 == 0, fmt.Sprintf("HTTP/1.1 %d Some\r\nEcho: r1\r\nContent-Length: 0\r\n\r\n", status))
		if err != nil || got != status || body != "" {
			t.Errorf("%d: status %d, body %q, error %v", status, got, body, err)
		}
	}
}

// FuzzResponseHead looks for bytes that are taken for a response with a status that HTTP does not define.
func FuzzResponseHead(f *testing.F) {
	for _, s := range []string{"000 OK\r\nEcho: r1\r\n", "150 X\r\nContent-Length: 3\r\n", "200 OK\r\nEcho: r1\r\n", "600 X\r\n", "+20 X\r\n", "101 X\r\nUpgrade: x\r\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, head string) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			go io.Copy(io.Discard, far)
			io.WriteString(far, "HTTP/1.1 "+head+"\r\n"+forgedResponse)
		}()
		c := endpoint.New(endpoint.Options{RequestIDHeader: "Echo", Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp, err := c.Do(ctx, "a", endpoint.Request{ID: core.RequestID("r1"), Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			return
		}
		defer resp.Close()
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("status %d of %q", resp.StatusCode, head)
		}
	})
}
