package mesh_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/internal/fake/endless"
	"monsoondale/io/mesh"
	wire "monsoondale/wire/mesh"
)

// Guards against memory use without limit when another instance sends a copy without end.
func TestEndlessCopy(t *testing.T) {
	for _, c := range []struct{ name, start, repeat string }{
		{"header", "HTTP/1.1 200 OK\r\nLong: ", "x"},
		{"items", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"items\":[", "{\"name\":\"a\",\"revision\":1,\"body\":{}},"},
		{"string", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n\"", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m, err := mesh.Listen(mesh.Options{
				Address: "127.0.0.1:0", OnError: func(error) {}, OnDigest: func(wire.Digest) {},
				Copy: func(string, int, bool) (wire.Copy, bool) { return wire.Copy{}, false },
			})
			g.Expect(err).ToNot(HaveOccurred())
			defer m.Close()
			e := endless.Start(t, c.start, c.repeat)
			_, err = m.FetchCopy(context.Background(), e.Address, "endpoints", 0)
			g.Expect(err).To(MatchError(ContainSubstring("exceed")))
			// The limit is 8 MiB; kernel buffers take some more.
			g.Eventually(e.Sent, "5s").Should(Receive(BeNumerically("<", 24<<20)))
		})
	}
}
