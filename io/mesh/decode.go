package mesh

import (
	"encoding/json"

	"github.com/pkg/errors"

	"monsoondale/common/jsonsplit"
	"monsoondale/wire/mesh"
)

// decodeCopy decodes a copy. If a part of it cannot be decoded, its items are decoded one by one. The content of an item that
// cannot be decoded is null, as is one that this instance would not pass on; an item without a name or revision is left out.
func decodeCopy(text []byte) (mesh.Copy, error) {
	var c mesh.Copy
	if err := json.Unmarshal(text, &c); err != nil {
		fields, ok := jsonsplit.Fields(text)
		if !ok {
			return c, err
		}
		c = mesh.Copy{}
		if json.Unmarshal(fields["revision"], &c.Revision) != nil || fields["partial"] != nil && json.Unmarshal(fields["partial"], &c.Partial) != nil {
			return c, err
		}
		if c.Items, ok = decodeItems(fields["items"]); !ok {
			return c, err
		}
		if c.Gone, ok = decodeItems(fields["gone"]); !ok && fields["gone"] != nil {
			return c, err
		}
		// Without its marks, a copy would pass objects in doubt for objects in the store.
		if fields["missing"] != nil && json.Unmarshal(fields["missing"], &c.Missing) != nil {
			return c, err
		}
	}
	if c.Revision <= 0 {
		return c, errors.New("no revision")
	}
	for i := range c.Items {
		if jsonsplit.Deeper(c.Items[i].Body, jsonsplit.MaxDepth) {
			c.Items[i].Body = json.RawMessage("null")
		}
	}
	return c, nil
}

// decodeItems decodes a list of items one by one.
func decodeItems(text []byte) ([]mesh.Item, bool) {
	elements, ok := jsonsplit.Elements(text)
	items := make([]mesh.Item, 0, len(elements))
	for _, e := range elements {
		fields, _ := jsonsplit.Fields(e)
		it := mesh.Item{Body: fields["body"]}
		if json.Unmarshal(fields["name"], &it.Name) != nil || json.Unmarshal(fields["revision"], &it.Revision) != nil {
			continue
		}
		if fields["kept"] != nil && json.Unmarshal(fields["kept"], &it.Kept) != nil {
			continue // the content would pass for that in the store
		}
		if !json.Valid(it.Body) {
			it.Body = json.RawMessage("null")
		}
		items = append(items, it)
	}
	return items, ok
}
