package objectapi_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/internal/fake/endless"
	"monsoondale/io/objectapi"
)

// Guards against memory use without limit when the object API sends a header or a value without end.
func TestEndlessResponse(t *testing.T) {
	for _, c := range []struct{ name, start, repeat, want string }{
		{"header", "HTTP/1.1 200 OK\r\nLong: ", "x", "exceeded 65536 bytes"},
		{"value", "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\n", "x", "exceeds 1048576 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := endless.Start(t, c.start, c.repeat)
			_, _, err := objectapi.New(objectapi.Options{BaseURL: "http://" + e.Address}).Get(context.Background(), "kind", "name")
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}
