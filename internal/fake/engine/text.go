package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoondale/wire/engine"
)

const (
	// BlockSize is the size of a cached prompt block in bytes.
	BlockSize = 256
	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4
	// defaultMaxTokens is the length of an answer if the request sets no limit.
	defaultMaxTokens = 64
)

// Text returns the complete answer to a chat request. It depends only on the messages and the token limit, so that a
// checker can compute it from the caller's request, whichever model name the scheduler passes on.
func Text(c engine.Chat) string { return strings.Join(answerTokens(c), "") }

// Prompt returns the prompt text whose prefixes are cached: role and content of each message, each followed by a
// newline.
func Prompt(messages []engine.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// PrefixHashes returns the hashes that identify the prompt's prefixes in cache events, shortest prefix first: the
// xxhash64 of the first BlockSize, 2*BlockSize, ... bytes of the prompt in hexadecimal.
func PrefixHashes(messages []engine.Message) []string {
	p := Prompt(messages)
	out := make([]string, 0, len(p)/BlockSize)
	d := xxhash.New()
	for n := BlockSize; n <= len(p); n += BlockSize {
		_, _ = d.WriteString(p[n-BlockSize : n]) // never returns an error
		out = append(out, strconv.FormatUint(d.Sum64(), 16))
	}
	return out
}

// PromptTokens returns the length of the prompt in tokens.
func PromptTokens(messages []engine.Message) int {
	return (len(Prompt(messages)) + bytesPerToken - 1) / bytesPerToken
}

// answerTokens generates the tokens of an answer: one word per token, derived from the hash of the prompt and the
// token's position.
func answerTokens(c engine.Chat) []string {
	n := defaultMaxTokens
	if c.MaxTokens > 0 {
		n = c.MaxTokens
	}
	if c.MaxCompletionTokens > 0 {
		n = c.MaxCompletionTokens
	}
	const consonants, vowels = "bdfghjklmnprstvz", "aeio"
	seed := xxhash.Sum64String(Prompt(c.Messages))
	out := make([]string, n)
	for i := range out {
		h := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(i))
		var b strings.Builder
		if i > 0 {
			b.WriteByte(' ')
		}
		for range 4 {
			b.WriteByte(consonants[h%16])
			b.WriteByte(vowels[h>>4%4])
			h >>= 6
		}
		out[i] = b.String()
	}
	return out
}
