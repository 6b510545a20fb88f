package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/common/framing"
	"monsoondale/core/route"
	"monsoondale/io/endpoint"
)

// Guards against a body of which a part is missing, or that seems to end in order, once the standby that read its beginning without
// success gets the request all the same.
func TestPrefetchKeepsBody(t *testing.T) {
	errReset := errors.New("connection reset")
	for _, c := range []struct {
		name   string
		kind   route.Kind
		body   io.Reader
		memory int64
		err    error // of prefetch
		after  string
		end    error // of the body afterwards
	}{
		{"reset", route.Idempotent, io.MultiReader(strings.NewReader("part"), &resetReader{err: errReset}), 0, errReset, "part", errReset},
		{"no memory", route.Idempotent, strings.NewReader(strings.Repeat("x", 9000)), 5000, errBodyMemory, strings.Repeat("x", 9000), nil},
		{"event out of order", route.Stream, strings.NewReader("id: 9\ndata: x\n\nid: 4\n\n"), 0, errEventOrder, "id: 9\ndata: x\n\nid: 4\n\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := &attempt{
				x: &exchange{handler: &Handler{memory: bodyMemory{limit: c.memory}}, route: &route.Route{Kind: c.kind}}, after: "3",
				resp: &endpoint.Response{Response: &http.Response{StatusCode: 200, Body: io.NopCloser(c.body)}, Framing: framing.Close},
			}
			g.Expect(a.prefetch(true)).To(MatchError(c.err))
			b, err := io.ReadAll(a.resp.Body)
			g.Expect(string(b)).To(Equal(c.after))
			if c.end != nil {
				g.Expect(err).To(MatchError(c.end))
			} else {
				g.Expect(err).ToNot(HaveOccurred())
			}
		})
	}
}

// resetReader reports an error once and then an orderly end, like a connection that was reset.
type resetReader struct{ err error }

func (r *resetReader) Read([]byte) (int, error) {
	if err := r.err; err != nil {
		r.err = nil
		return 0, err
	}
	return 0, io.EOF
}
