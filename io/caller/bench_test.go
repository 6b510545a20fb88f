package caller_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"monsoondale/io/caller"
	"monsoondale/io/internal/roundtrip"
)

// BenchmarkChat measures a streamed chat of 16 events, direct to the engine and through the handler.
func BenchmarkChat(b *testing.B) {
	e := newEndpoint(16)
	e.discard = true
	direct := start(b, &e.mux)
	for _, bb := range []struct{ name, address string }{
		{"direct", direct},
		{"scheduled", start(b, newFixture(caller.Options{}, roundtrip.Options{}, direct).handler)},
	} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest("POST", "http://"+bb.address+chatPath, strings.NewReader(chatBody("draft", true)))
				req.Header.Set("Authorization", "Bearer key")
				req.Header.Set("X-Request-Id", "r")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
					b.Fatalf("%v %s", err, body)
				}
			}
		})
	}
}
