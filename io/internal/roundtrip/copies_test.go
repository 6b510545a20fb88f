package roundtrip_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/io/internal/roundtrip"
)

// serveWithCopies responds to each request with its number, from the header Number, and writes earlier responses of the connection
// once more, at random times and some of them without the id. Responses to the path /silent have no id.
func serveWithCopies(c net.Conn, copyRatio float64, seed uint64) {
	defer c.Close()
	rng := rand.New(rand.NewPCG(seed, 0))
	var sent []string
	writeCopies := func() {
		for len(sent) > 0 && rng.Float64() < copyRatio {
			lines := strings.SplitAfter(sent[rng.IntN(len(sent))], "\n")
			if rng.IntN(4) == 0 {
				lines = slices.DeleteFunc(lines, func(s string) bool { return strings.HasPrefix(s, "X-Request-Id:") })
			}
			_, _ = io.WriteString(c, strings.Join(lines, ""))
		}
	}
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		header := "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n"
		if req.URL.Path == "/silent" {
			header = ""
		}
		number := req.Header.Get("Number")
		writeCopies()
		body := number[:rng.IntN(len(number)+1)]
		response := fmt.Sprintf("HTTP/1.1 503 x\r\n%sNumber: %s\r\nContent-Length: %d\r\n\r\n%s", header, number, len(body), body)
		_, _ = io.WriteString(c, response)
		sent = append(sent, response)
		if rng.IntN(2) == 0 {
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond)
			writeCopies()
		}
	}
}

// Guards against a response that counts for a request other than its own, whatever earlier responses a server writes once more and when,
// and against failed requests to a server that writes each response once.
func TestNoResponseCountsForAnotherRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		copyRatio := rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "ratio")
		seed := rapid.Uint64().Draw(t, "seed")
		go func() {
			for n := uint64(0); ; n++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveWithCopies(c, copyRatio, seed+n)
			}
		}()
		c := roundtrip.New(roundtrip.Options{})
		defer c.Close()
		for number := range rapid.IntRange(2, 30).Draw(t, "requests") {
			q := roundtrip.Request{
				Method: "GET", Address: l.Addr().String(), Header: http.Header{"Number": {fmt.Sprint(number)}},
				ID:   core.RequestID(rapid.SampledFrom([]string{"", "a", "b", "c", fmt.Sprint("own", number)}).Draw(t, "id")),
				Path: rapid.SampledFrom([]string{"/x", "/y", "/silent"}).Draw(t, "path"), EchoOptional: rapid.Bool().Draw(t, "optional"),
			}
			resp, err := c.Do(t.Context(), nil, q)
			if err != nil {
				g.Expect(copyRatio > 0 || q.Path == "/silent" && !q.EchoOptional).To(BeTrue(), "%+v: %v", q, err)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			g.Expect(resp.Header.Get("Number")).To(Equal(fmt.Sprint(number)), "%+v", q)
		}
	})
}
