// Package jsonc decodes JSON with comments and trailing commas into Go values. Its errors state the file, the line, the
// field and how to correct it.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"
)

// Error is an error in a document. Line is 0 if it is unknown. Field is empty if the error concerns the whole document.
type Error struct {
	File    string
	Line    int
	Field   string
	Problem string
	Remedy  string
}

// Error returns the error as one line in the format "file:line: field: problem; remedy".
func (f Error) Error() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Remedy != "" {
		b.WriteString("; " + f.Remedy)
	}
	return b.String()
}

// ErrorList is a non-empty list of errors, so that one call reports all of them.
type ErrorList []Error

// Error returns one line for each error.
func (f ErrorList) Error() string {
	return strings.Join(lo.Map(f, func(x Error, _ int) string { return x.Error() }), "\n")
}

// Document is a parsed document. It maps fields to lines.
type Document struct {
	File string
	data []byte
	root hujson.Value
}

// Parse decodes data, which was read from file, into a value of type T. It returns an ErrorList for unknown fields,
// duplicate fields and values of the wrong type; field names are case-sensitive. The document is nil only after a syntax
// error.
func Parse[T any](file string, data []byte) (T, *Document, error) {
	var v T
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		return v, nil, ErrorList{syntaxError(file, err)}
	}
	d := &Document{File: file, data: data, root: root}
	if errs := d.checkNames(&d.root, reflect.TypeFor[T](), ""); len(errs) > 0 {
		return v, d, errs
	}
	d.root.Standardize() // does not change offsets
	dec := json.NewDecoder(bytes.NewReader(d.root.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, d, ErrorList{d.decodeError(err)}
	}
	return v, d, nil
}

// Read reads all data from r and calls Parse.
func Read[T any](file string, r io.Reader) (T, *Document, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		var v T
		return v, nil, errors.Wrapf(err, "read %s", file)
	}
	return Parse[T](file, data)
}

// ErrorAt returns an error at a field path such as "kinds[0].deadline". If the document lacks the field, the line is that
// of the closest enclosing field.
func (d *Document) ErrorAt(field, problem, remedy string) Error {
	return Error{File: d.File, Line: d.Line(field), Field: field, Problem: problem, Remedy: remedy}
}

// Line returns the line of a field, or of the closest enclosing field if the document lacks the field. It returns 0 for a
// Document that was not created by Parse.
func (d *Document) Line(field string) int {
	if d.data == nil {
		return 0
	}
	ptr := pointer(field)
	for {
		if v := d.root.Find(ptr); v != nil {
			return d.lineAt(v.StartOffset)
		}
		ptr = ptr[:max(strings.LastIndexByte(ptr, '/'), 0)]
	}
}

// Has reports whether the document contains a field.
func (d *Document) Has(field string) bool { return d.root.Find(pointer(field)) != nil }

// pointer converts a field path to a JSON pointer (RFC 6901).
func pointer(field string) string {
	if field == "" {
		return ""
	}
	return "/" + strings.NewReplacer("~", "~0", "/", "~1", ".", "/", "[", "/", "]", "").Replace(field)
}

// lineAt returns the line of an offset.
func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

// syntaxError converts an error of the JSON parser, which contains the line.
func syntaxError(file string, err error) Error {
	f := Error{File: file, Problem: strings.TrimPrefix(err.Error(), "hujson: "), Remedy: "correct the JSON syntax"}
	var line, column int
	if n, _ := fmt.Sscanf(f.Problem, "line %d, column %d:", &line, &column); n == 2 {
		f.Line = line
		f.Problem = strings.TrimPrefix(f.Problem, fmt.Sprintf("line %d, ", line))
	}
	return f
}

// checkNames reports unknown and duplicate fields. encoding/json reports unknown fields without a position, ignores the
// case of field names, and silently uses the last of several fields with the same name.
func (d *Document) checkNames(v *hujson.Value, t reflect.Type, path string) ErrorList {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var errs ErrorList
	switch x := v.Value.(type) {
	case *hujson.Object:
		var known map[string]reflect.Type
		elem := reflect.TypeFor[any]()
		switch t.Kind() {
		case reflect.Struct:
			known = fieldsOf(t)
		case reflect.Map:
			elem = t.Elem()
		}
		seen := make(map[string]bool, len(x.Members))
		for i := range x.Members {
			m := &x.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			field := join(path, name)
			line := d.lineAt(m.Name.StartOffset)
			if seen[name] {
				errs = append(errs, Error{d.File, line, field, "the field is given twice", "remove one of them"})
				continue
			}
			seen[name] = true
			next := elem
			if known != nil {
				ft, ok := known[name]
				if !ok {
					names := lo.Keys(known)
					slices.Sort(names)
					errs = append(errs, Error{
						d.File, line, field, "unknown field",
						"remove it or use one of " + strings.Join(names, ", "),
					})
					continue
				}
				next = ft
			}
			errs = append(errs, d.checkNames(&m.Value, next, field)...)
		}
	case *hujson.Array:
		elem := reflect.TypeFor[any]()
		if t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
			elem = t.Elem()
		}
		for i := range x.Elements {
			errs = append(errs, d.checkNames(&x.Elements[i], elem, path+"["+strconv.Itoa(i)+"]")...)
		}
	}
	return errs
}

var fieldCache sync.Map // reflect.Type → map[string]reflect.Type

// fieldsOf returns the JSON field names of a struct and their types.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if m, ok := fieldCache.Load(t); ok {
		return m.(map[string]reflect.Type)
	}
	m := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" || !f.IsExported() || name == "-" {
			continue
		}
		m[lo.CoalesceOrEmpty(name, f.Name)] = f.Type
	}
	fieldCache.Store(t, m)
	return m
}

// decodeError converts an error of encoding/json.
func (d *Document) decodeError(err error) Error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		field, line := d.locate(int(te.Offset) - 1)
		return Error{d.File, line, field, "found " + article(te.Value), "use " + describe(te.Type)}
	}
	return Error{File: d.File, Problem: err.Error(), Remedy: "correct the value"}
}

// locate returns the path and the line of the innermost value that contains an offset.
func (d *Document) locate(offset int) (string, int) {
	v, path := &d.root, ""
next:
	for {
		switch x := v.Value.(type) {
		case *hujson.Object:
			for i := range x.Members {
				if m := &x.Members[i]; within(&m.Value, offset) {
					v, path = &m.Value, join(path, m.Name.Value.(hujson.Literal).String())
					continue next
				}
			}
		case *hujson.Array:
			for i := range x.Elements {
				if within(&x.Elements[i], offset) {
					v, path = &x.Elements[i], path+"["+strconv.Itoa(i)+"]"
					continue next
				}
			}
		}
		return path, d.lineAt(v.StartOffset)
	}
}

// within reports whether a value contains an offset.
func within(v *hujson.Value, offset int) bool { return v.StartOffset <= offset && offset < v.EndOffset }

// join appends a field name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// article prefixes a word with its indefinite article.
func article(s string) string {
	if s != "" && strings.ContainsRune("aeiou", rune(s[0])) {
		return "an " + s
	}
	return "a " + s
}

// describe returns a description of the JSON values that fit a type.
func describe(t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string in double quotes"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		return "a list in square brackets"
	case reflect.Struct, reflect.Map:
		return "an object in braces"
	}
	return "another type"
}
