package workspace

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"monsoondale/common/jsonc"
	"monsoondale/core"
	"monsoondale/wire/config"
)

// MaxHistory is the maximum number of earlier changes in a stored object.
const MaxHistory = 20

// DecodeObject returns the Object in a stored value. A value that is not in the stored form is treated as the document
// itself, so that a platform tool can write documents directly. deleted is the tombstone flag of the object API.
func DecodeObject(kind, name string, version core.Revision, value string, deleted bool) Object {
	o := Object{Kind: kind, Name: name, Version: version, Deleted: deleted}
	if deleted {
		return o
	}
	if s, ok := DecodeStored(value); ok {
		o.Value, o.Deleted = s.Text, s.Deleted
	} else {
		o.Value = value
	}
	return o
}

// DecodeStored decodes a value in the stored form. It returns false if the value is a bare document.
func DecodeStored(value string) (config.Stored, bool) {
	var s config.Stored
	d := json.NewDecoder(strings.NewReader(value))
	d.DisallowUnknownFields()
	err := d.Decode(&s)
	return s, err == nil && s.Change != ""
}

// WithoutHistory returns a stored value without its earlier changes, which only the history command needs. A workspace
// with 20 of them takes 3 KB, so that 48,000 workspaces would exceed the 128 MB of an instance.
func WithoutHistory(value string) string {
	s, ok := DecodeStored(value)
	if !ok || len(s.Past) == 0 {
		return value
	}
	s.Past = nil
	short, err := EncodeStored(s)
	if err != nil {
		return value
	}
	return short
}

// EncodeStored encodes an object in the stored form.
func EncodeStored(s config.Stored) (string, error) {
	b, err := json.Marshal(s)
	return string(b), errors.Wrap(err, "encode stored object")
}

// ParseDocument returns the Object that a document describes. Kind and name come from the document, which is parsed but
// not compiled. The error is a *core.Error (1402).
func ParseDocument(file, text string) (Object, error) {
	fields, doc, err := jsonc.Parse[map[string]any](file, []byte(text))
	if err != nil {
		return Object{}, core.Errorf(core.CodeBadTemplate, "%s", err)
	}
	for _, kind := range []string{ObjectWorkspace, ObjectTemplate} { // a workspace document has both fields
		v, ok := fields[kind]
		if !ok {
			continue
		}
		name, ok := v.(string)
		if !ok || !objectName.MatchString(name) {
			return Object{}, core.Errorf(core.CodeBadTemplate, "%s", doc.ErrorAt(kind, quoteValue(v)+" is not a valid name", objectNameRule))
		}
		return Object{Kind: kind, Name: name, File: file, Value: text}, nil
	}
	return Object{}, core.Errorf(core.CodeBadTemplate, "%s", doc.ErrorAt("", "the document is neither a template nor a workspace", `add the field "template" or "workspace" with its name`))
}
