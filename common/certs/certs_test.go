package certs_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/common/certs"
	"monsoondale/common/certs/certstest"
)

// Guards against using a certificate and key while their files are being written, and against dropping the current pair
// because its replacement is invalid.
func TestOnlyCompletePairsAreUsed(t *testing.T) {
	g := NewWithT(t)
	a, dir, now := certstest.NewAuthority(t), t.TempDir(), time.Now()
	f := a.Issue(dir, "first")
	var reported []string
	s, err := certs.New(certs.Options{Files: f, Now: func() time.Time { return now }, OnChange: func(_ *certs.Material, err error) {
		if err != nil {
			reported = append(reported, err.Error())
		}
	}})
	g.Expect(err).NotTo(HaveOccurred())
	nextRead := func() string {
		now = now.Add(time.Second)
		return s.Get().Certificate.Leaf.Subject.CommonName
	}
	next := certstest.NewAuthority(t).Issue(t.TempDir(), "second")
	read := func(path string) string {
		b, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		return string(b)
	}
	cert, key, ca := read(next.Cert), read(next.Key), read(next.CA)
	chain := cert + ca
	for _, c := range []struct {
		step, path, text string
		reads            int
		want, wantErr    string
	}{
		{"certificate without its key", f.Cert, cert, 3, "first", "does not form a pair"},
		{"part of a key", f.Key, key[:len(key)/2], 3, "first", "is not a complete PEM file"},
		{"removed key", f.Key, "", 3, "first", "no such file"},
		{"empty key", f.Key, "\n", 3, "first", "is not a complete PEM file"},
		{"matching key, first read", f.Key, key, 1, "first", ""},
		{"matching key, second read", f.Key, key, 1, "second", ""},
		{"part of a chain", f.Cert, chain[:len(chain)-40], 3, "second", "is not a complete PEM file"},
		{"earlier pair again", f.Cert, cert, 3, "second", ""},
		{"part of the authorities", f.CA, ca[:100], 3, "second", "is not a complete PEM file"},
	} {
		reported = nil
		if c.text == "" {
			g.Expect(os.Remove(c.path)).To(Succeed())
		} else {
			g.Expect(os.WriteFile(c.path, []byte(c.text), 0o600)).To(Succeed())
		}
		for range c.reads {
			nextRead()
		}
		g.Expect(s.Get().Certificate.Leaf.Subject.CommonName).To(Equal(c.want), c.step)
		g.Expect(strings.Join(reported, "\n")).To(ContainSubstring(c.wantErr), c.step)
		if c.wantErr == "" {
			g.Expect(reported).To(BeEmpty(), c.step)
		} else {
			g.Expect(reported).To(HaveLen(1), "each error is reported once: %s", c.step)
		}
	}
}
