package caller

import (
	"strings"
	"testing"
)

// Guards against changes to any part of a chunk other than its model name.
func TestRename(t *testing.T) {
	tests := []struct{ name, chunk, want string }{
		{"first", `{"id":"r", "model" : "w" , "choices":[{"x":1.0}]}`, `{"id":"r", "model" : "k" , "choices":[{"x":1.0}]}`},
		{"same start", `{"id":"r", "model" : "w"}`, `{"id":"r", "model" : "k"}`},
		{"longer name", `{"id":"r", "model" : "ww","a":"<"}`, `{"id":"r", "model" : "k","a":"<"}`},
		{"escapes", `{"mod\u0065l":"w\"w"}`, `{"mod\u0065l":"k"}`},
		{"nested", `{"x":{"model":"w"},"model":"w"}`, `{"x":{"model":"w"},"model":"k"}`},
		{"missing", `{"x":["model","w"]}`, `{"x":["model","w"]}`},
		{"null", `{"model":null}`, `{"model":null}`},
		{"no object", `[]`, `[]`},
	}
	n := modelRenamer{model: mustMarshal("k")}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := n.rename(tt.chunk); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
	head := `{"model":"w","choices":"`
	n.rename(head + `"}`)
	chunk := head + strings.Repeat("x", 100) + `"}`
	if got := testing.AllocsPerRun(100, func() { n.rename(chunk) }); got > 1 {
		t.Errorf("%v allocations for a chunk with the same head as the last one, want at most 1", got)
	}
}
