package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/mirror"
)

// Guards against a leaving endpoint that gets work for ever at instances that follow one which had lost the store: that
// one keeps removed entries for a while, and its copies told others that they exist as of a newer revision
// (kaivo-urn-grown trouble-1, seed 942476262461).
func TestCopyDoesNotHideRemoval(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	m := mirror.New(mirror.Options{Grace: time.Second})
	m.Replace(now, []mirror.Item{{Name: "e1", Revision: 1}, {Name: "e2", Revision: 2}}, 2, false)
	s := snapshot(m, nil)
	m.Apply(now, []mirror.Item{{Name: "e1", Revision: 3, Deleted: true}, {Name: "e3", Revision: 4}}, 4, true)
	s = snapshot(m, s)
	g.Expect(s.whole.Revision).To(Equal(2))
	m.Expire(now.Add(2 * time.Second))
	s = snapshot(m, s)
	c := s.after(2)
	g.Expect(c.Revision).To(Equal(4))
	g.Expect(c.Gone).To(HaveLen(1))
	g.Expect(c.Gone[0].Name).To(Equal("e1"))
}
