package mesh_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	wire "monsoondale/wire/mesh"
)

// Guards against an item of another instance's copy that hides the others, and against keeping one that cannot be passed on.
func TestOddItemsOfCopy(t *testing.T) {
	deep := strings.Repeat("[", 30000) + strings.Repeat("]", 30000)
	for _, c := range []struct{ name, item, want string }{
		{"sound", `{"name":"m","revision":6,"body":{"a":[1]}}`, `m {"a":[1]}`},
		{"null", `{"name":"m","revision":6,"body":null}`, `m null`},
		{"deep content", `{"name":"m","revision":6,"body":` + deep + `}`, `m null`},
		{"content nested as deep as encoding/json allows", `{"name":"m","revision":6,"body":` + deep[30000-9000:30000+9000] + `}`, `m null`},
		{"malformed content", `{"name":"m","revision":6,"body":tru}`, `m null`},
		{"revision beyond int64", `{"name":"m","revision":1e30,"body":{}}`, ``},
		{"deep in place of the item", deep, ``},
		{"number in place of the item", `1e400`, ``},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"revision":9,"partial":true,"items":[{"name":"a","revision":5,"body":{}},%s,{"name":"z","revision":7,"body":{}}],"gone":[{"name":"g","revision":8,"body":null}]}`, c.item)
			}))
			defer s.Close()
			m, _ := listen(t, func(string, int, bool) (wire.Copy, bool) { return wire.Copy{}, false })
			got, err := m.FetchCopy(context.Background(), s.Listener.Addr().String(), "endpoints", 1)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(got.Revision).To(Equal(9))
			g.Expect(got.Partial).To(BeTrue())
			g.Expect(got.Gone).To(HaveLen(1))
			var items []string
			for _, it := range got.Items {
				items = append(items, it.Name+" "+string(it.Body))
			}
			want := []string{"a {}"}
			if c.want != "" {
				want = append(want, c.want)
			}
			g.Expect(items).To(Equal(append(want, "z {}")))
		})
	}
}

// Guards against taking a copy that is no complete one for an empty one, which removes everything.
func TestBrokenCopy(t *testing.T) {
	for _, text := range []string{``, `{}`, `null`, `{"revision":9,"items":[`, `{"revision":9,"items":[tru]`, `{"revision":1e30,"items":[]}`, `{"revision":9,"items":5}`, `{"revision":9,"items":[tru],"gone":5}`, `{"revision":9,"items":[tru],"partial":1}`, `{"revision":9,"items":[],"missing":5}`, `{"revision":0,"items":[]}`} {
		g := NewWithT(t)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }))
		m, _ := listen(t, func(string, int, bool) (wire.Copy, bool) { return wire.Copy{}, false })
		_, err := m.FetchCopy(context.Background(), s.Listener.Addr().String(), "endpoints", 0)
		g.Expect(err).To(HaveOccurred(), text)
		s.Close()
	}
}
