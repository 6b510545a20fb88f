package caller

import (
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/core/dispatch"
)

// Guards against loss of data when a recorded answer is replayed as a stream.
func TestAsChunk(t *testing.T) {
	const answer = `{"id":"r","object":"chat.completion","model":"m","usage":{"total_tokens":3},"choices":[
		{"index":0,"finish_reason":"tool_calls","logprobs":{"content":[{"token":"a"}]},"message":{"role":"assistant","content":null,"tool_calls":[
			{"id":"x","type":"function","function":{"name":"f","arguments":"{}"}},{"id":"y","type":"function","function":{"name":"g","arguments":""}}]}},
		{"index":1,"finish_reason":"stop","message":{"role":"assistant","content":"a","refusal":"b"}}]}`
	g := NewWithT(t)
	chunk, err := asChunk([]byte(answer))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(chunk)).To(ContainSubstring(`"object":"chat.completion.chunk"`))
	c := collector{limit: 1 << 20}
	g.Expect(c.Event(dispatch.Event{Data: string(chunk)})).To(Succeed())
	r, err := c.FullReply()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Body).To(MatchJSON(answer))
	for _, bad := range []string{"", "[]", "{}", `{"choices":[{}]}`, `{"choices":[{"message":{"tool_calls":1}}]}`} {
		_, err := asChunk([]byte(bad))
		g.Expect(err).To(HaveOccurred(), bad)
	}
}
