package jsonc_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/common/jsonc"
)

type sample struct {
	Name  string         `json:"name"`
	Count int            `json:"count"`
	Items []item         `json:"items"`
	Free  map[string]any `json:"free"`
}

type item struct {
	On bool `json:"on"`
}

func TestParseAcceptsCommentsAndTrailingCommas(t *testing.T) {
	g := NewWithT(t)
	v, d, err := jsonc.Parse[sample]("a.json", []byte("// head\n{\"name\": \"x\", /* c */ \"count\": 2,\n \"items\": [{\"on\": true},],}\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v).To(Equal(sample{Name: "x", Count: 2, Items: []item{{On: true}}}))
	g.Expect(d.Line("items[0].on")).To(Equal(3))
	g.Expect(d.Line("items[7].on")).To(Equal(3), "a missing field has the line of the enclosing field")
}

// Guards against errors that do not state the position in the document and the correction.
func TestParseErrorsStatePositionAndRemedy(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"syntax", "{\n  \"name\": x}", "a.json:2: column 11: invalid literal: x; correct the JSON syntax"},
		{"unknown field", "{\n\n\"nmae\": \"x\"}", "a.json:3: nmae: unknown field; remove it or use one of count, free, items, name"},
		{"unknown inner field", "{\"items\": [{},\n{\"off\": 1}]}", "a.json:2: items[1].off: unknown field; remove it or use one of on"},
		{"other case", "{\"Name\": \"x\"}", "a.json:1: Name: unknown field; remove it or use one of count, free, items, name"},
		{"repeated field", "{\"name\": \"x\",\n\"name\": \"y\"}", "a.json:2: name: the field is given twice; remove one of them"},
		{"repeated free field", "{\"free\": {\"a\": 1, \"a\": 2}}", "a.json:1: free.a: the field is given twice; remove one of them"},
		{"wrong type", "{\n/* one\ntwo */ \"count\": \"3\"}", "a.json:3: count: found a string; use a whole number"},
		{"fraction", "{\"count\": 1.5}", "a.json:1: count: found a number 1.5; use a whole number"},
		{"wrong inner type", "{\"items\": [{\"on\":\n 1}]}", "a.json:2: items[0].on: found a number; use true or false"},
		{"object for list", "{\"items\":\n{}}", "a.json:2: items: found an object; use a list in square brackets"},
		{"list for document", "[]", "a.json:1: found an array; use an object in braces"},
		{"empty", "", "a.json:1: column 1: parsing value: unexpected EOF; correct the JSON syntax"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, _, err := jsonc.Parse[sample]("a.json", []byte(c.text))
			g.Expect(err).To(MatchError(c.want))
		})
	}
}
