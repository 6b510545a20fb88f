package mesh_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/io/mesh"
	wire "monsoondale/wire/mesh"
)

// listen starts a mesh that serves copies, and returns it with its address.
func listen(t *testing.T, serve func(collection string, after int, marks bool) (wire.Copy, bool)) (*mesh.Mesh, string) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	address := l.Addr().String()
	l.Close()
	m, err := mesh.Listen(mesh.Options{
		Address: address, OnError: func(error) {}, OnDigest: func(wire.Digest) {},
		Copy: serve,
	})
	g.Expect(err).ToNot(HaveOccurred())
	t.Cleanup(m.Close)
	return m, address
}

// Guards against a large configuration that fills the link of the instance that passes it on, so that requests of callers
// wait behind it for seconds (kaivo-urn-grown hunt-152e-7).
func TestCopyIsCompressed(t *testing.T) {
	g := NewWithT(t)
	var routes []map[string]any
	for n := range 1160 {
		routes = append(routes, map[string]any{"name": fmt.Sprint("r-", n), "host": "h.example", "kind": "idempotent", "timeout": 5000, "service": "s", "attempts": 2, "prefix": fmt.Sprintf("/%x/", n)})
	}
	body, err := json.Marshal(routes)
	g.Expect(err).ToNot(HaveOccurred())
	m, address := listen(t, func(string, int, bool) (wire.Copy, bool) {
		return wire.Copy{Revision: 7, Items: []wire.Item{{Name: "main", Revision: 7, Body: body}}}, true
	})

	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/copy/configuration?after=0", nil)
	g.Expect(err).ToNot(HaveOccurred())
	req.Header.Set("Accept-Encoding", "gzip") // keeps the transport from decompressing
	resp, err := http.DefaultTransport.RoundTrip(req)
	g.Expect(err).ToNot(HaveOccurred())
	defer resp.Body.Close()
	sent, err := io.ReadAll(resp.Body)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(len(sent)).To(BeNumerically("<", len(body)/5))

	got, err := m.FetchCopy(context.Background(), address, "configuration", 0)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(got.Items).To(HaveLen(1))
	g.Expect(got.Items[0].Body).To(MatchJSON(body))
}

// Guards against so many transfers at once that they share a link until all of them time out.
func TestTransfersAreLimited(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	m, address := listen(t, func(_ string, after int, _ bool) (wire.Copy, bool) {
		if after > 0 {
			<-release // a transfer that takes long
		}
		return wire.Copy{Revision: 7}, true
	})
	for range 16 {
		c, err := net.Dial("tcp4", address)
		g.Expect(err).ToNot(HaveOccurred())
		defer c.Close()
		fmt.Fprint(c, "GET /copy/configuration?after=1 HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	fetch := func() error {
		_, err := m.FetchCopy(context.Background(), address, "configuration", 0)
		return err
	}
	g.Eventually(fetch, "2s").Should(MatchError(ContainSubstring("status 503")))
	close(release)
	g.Eventually(fetch, "2s").Should(Succeed())
}
