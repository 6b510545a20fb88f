package instancelist_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/io/instancelist"
	"monsoondale/wire/platform"
)

// Guards against requests to register, mark as leaving or remove an entry that the platform does not recognise.
func TestClient(t *testing.T) {
	g := NewWithT(t)
	items := map[string]platform.Instance{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Path[len("/instances"):]
		switch r.Method {
		case http.MethodGet:
			out := platform.Instances{Revision: 3}
			for _, it := range items {
				out.Items = append(out.Items, it)
			}
			_ = json.NewEncoder(w).Encode(out)
		case http.MethodPut:
			var in platform.Instance
			b, _ := io.ReadAll(r.Body)
			if json.Unmarshal(b, &in) != nil || "/"+in.Name != name {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			items[in.Name] = in
		case http.MethodDelete:
			if _, ok := items[name[1:]]; !ok {
				w.WriteHeader(http.StatusNotFound)
			}
			delete(items, name[1:])
		}
	}))
	c := instancelist.New(s.URL, 0, nil)
	in := platform.Instance{Name: "i0", Role: platform.InstanceRoleEntry, Centre: "c0", Address: "127.0.0.1:1", State: platform.InstanceStateLive}
	g.Expect(c.Register(t.Context(), in)).To(Succeed())
	g.Expect(c.MarkLeaving(t.Context(), in)).To(Succeed())
	list, err := c.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	in.State = platform.InstanceStateLeaving
	g.Expect(list).To(Equal(platform.Instances{Revision: 3, Items: []platform.Instance{in}}))
	g.Expect(c.Remove(t.Context(), "i0")).To(Succeed())
	g.Expect(c.Remove(t.Context(), "i0")).To(Succeed())
	s.Close()
	_, err = c.List(t.Context())
	g.Expect(err).To(HaveOccurred())
}
