package caller

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/core/admission"
	wire "monsoondale/wire/engine"
)

// Guards against content that is decoded wrongly for its token estimate, and against request bodies that are altered
// before they reach the engine.
func TestParseChat(t *testing.T) {
	tests := []struct{ name, message, content string }{
		{"text", `{"role":"user","content":"a\u003c\n"}`, "a<\n"},
		{"parts", `{"role":"user","content":[{"text":"a", "n":1.0}]}`, `[{"text":"a", "n":1.0}]`},
		{"null", `{"role":"user","content":null}`, ""},
		{"missing", `{"role":"user"}`, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			c, err := parseChat([]byte(`{"<":"\u003c<", "n":2,"model":"k","messages":[ ` + tt.message + `]}`))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.messages).To(Equal([]wire.Message{{Role: "user", Content: tt.content}}))
			g.Expect(c.choices).To(Equal(2))
			b, err := c.engineBody("w")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(b)).To(Equal(`{"\u003c":"\u003c<","messages":[ ` + tt.message +
				`],"model":"w","n":2,"stream":true,"stream_options":{"include_usage":true}}`))
		})
	}
}

// BenchmarkParseChat measures parsing and encoding of a conversation of 32 messages of 2 KB.
func BenchmarkParseChat(b *testing.B) {
	message := fmt.Sprintf(`{"role":"user","content":%q},`, strings.Repeat("a \"longer\" text\n", 128))
	body := []byte(`{"model":"draft","stream":true,"messages":[` + strings.TrimSuffix(strings.Repeat(message, 32), ",") + `]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		c, err := parseChat(body)
		if err != nil {
			b.Fatal(err)
		}
		c.estimate(&admission.Ask{}, 256)
		if _, err := c.engineBody(""); err != nil {
			b.Fatal(err)
		}
	}
}
