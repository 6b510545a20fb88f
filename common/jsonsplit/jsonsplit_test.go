package jsonsplit_test

import (
	"encoding/json"
	"runtime/debug"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/common/jsonsplit"
)

// Guards against taking a truncated object for a complete one, and against values that run into each other.
func TestFields(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       map[string]string // nil if the text is no object
	}{
		{"values", ` {"a": 1,"b":[{"c":2}] , "d":"]}\"","e":null} `, map[string]string{"a": "1", "b": `[{"c":2}]`, "d": `"]}\""`, "e": "null"}},
		{"empty", `{}`, map[string]string{}},
		{"malformed value", `{"a":[tru,"` + "\x00" + `"],"b":2}`, map[string]string{"a": "[tru,\"\x00\"]", "b": "2"}},
		{"name twice", `{"a":1,"a":2}`, map[string]string{"a": "2"}},
		{"escaped name", `{"\u0061":1}`, map[string]string{"a": "1"}},
		{"no end", `{"a":1`, nil},
		{"no end after an object", `{"a":{"b":1}`, nil},
		{"no end after a list", `{"a":[1]`, nil},
		{"no end of a text", `{"a":"}`, nil},
		{"list", `[1]`, nil},
		{"text", `"{}"`, nil},
		{"nothing", ``, nil},
		{"open", `{`, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			fields, ok := jsonsplit.Fields([]byte(c.text))
			g.Expect(ok).To(Equal(c.want != nil))
			if !ok {
				return
			}
			got := map[string]string{}
			for k, v := range fields {
				got[k] = string(v)
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against elements that are lost beside a malformed one.
func TestElements(t *testing.T) {
	g := NewWithT(t)
	elements, ok := jsonsplit.Elements([]byte(`[{"a":1}, [[tru]] ,null,"]",1e999,{"b":2}]`))
	g.Expect(ok).To(BeTrue())
	g.Expect(elements).To(Equal([]json.RawMessage{json.RawMessage(`{"a":1}`), json.RawMessage(`[[tru]]`), json.RawMessage(`null`), json.RawMessage(`"]"`), json.RawMessage(`1e999`), json.RawMessage(`{"b":2}`)}))
	for _, text := range []string{``, `[`, `{}`, `null`, `[1`, `1]`} {
		_, ok := jsonsplit.Elements([]byte(text))
		g.Expect(ok).To(BeFalse(), text)
	}
}

// Guards against a stack or a time that grows with the nesting: a stack that is too large ends the process.
func TestDeepNesting(t *testing.T) {
	defer debug.SetMaxStack(debug.SetMaxStack(1 << 20))
	g := NewWithT(t)
	const depth = 4 << 20
	lists := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	fields, ok := jsonsplit.Fields([]byte(`{"a":` + lists + `,"b":[` + lists + `,1]}`))
	g.Expect(ok).To(BeTrue())
	g.Expect(fields).To(HaveLen(2))
	elements, ok := jsonsplit.Elements(fields["b"])
	g.Expect(ok).To(BeTrue())
	g.Expect(elements).To(HaveLen(2))
	g.Expect(jsonsplit.Deeper(elements[0], jsonsplit.MaxDepth)).To(BeTrue())
}

// Guards against a limit of the nesting that counts something else.
func TestDeeper(t *testing.T) {
	for _, c := range []struct {
		text string
		want bool
	}{
		{`{"a":[1]}`, false},
		{`{"a":[{}]}`, true},
		{`[[],[],[],{},{}]`, false},
		{`[[],[],[[]],{}]`, true},
		{`["[[[[{{{{"]`, false},
		{`1`, false},
		{``, false},
		{`[[[`, true},
	} {
		NewWithT(t).Expect(jsonsplit.Deeper([]byte(c.text), 2)).To(Equal(c.want), c.text)
	}
}
