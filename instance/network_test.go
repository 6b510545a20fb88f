package instance

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/internal/fake/endless"
)

// Guards against memory use without limit when a service of the platform sends a header without end.
func TestEndlessHeader(t *testing.T) {
	g := NewWithT(t)
	e := endless.Start(t, "HTTP/1.1 200 OK\r\nLong: ", "x")
	req, err := http.NewRequest(http.MethodGet, "http://"+e.Address, nil)
	g.Expect(err).ToNot(HaveOccurred())
	resp, err := transport(systemNetwork{}, 1).RoundTrip(req)
	if err == nil {
		resp.Body.Close()
	}
	g.Expect(err).To(MatchError(ContainSubstring("exceeded 65536 bytes")))
}
