package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"monsoondale/core/mirror"
)

// Guards against a log that another writer of the store fills: with the same entry again and again, with many entries, or
// with long names and values.
func TestSkippedEntriesAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	var s skipped
	update := func(cause string, items ...mirror.Item) []string {
		lines = nil
		var now skipped
		for _, it := range items {
			now.add(it, cause)
		}
		s.replace(log, Endpoints, now)
		return lines
	}
	long := strings.Repeat("\xe2\x82\xac", 1<<20)
	g.Expect(update("odd", mirror.Item{Name: "a", Revision: 1})).To(HaveLen(1))
	g.Expect(update("odd", mirror.Item{Name: "a", Revision: 1}, mirror.Item{Name: "b", Revision: 2})).To(HaveLen(1))
	g.Expect(update("odd", mirror.Item{Name: "a", Revision: 3})).To(HaveLen(1), "another revision")
	g.Expect(update(long, mirror.Item{Name: long, Revision: 1})).To(ConsistOf(WithTransform(func(l string) int { return len(l) }, BeNumerically("<", 500))))
	g.Expect(s).To(HaveLen(1), "entries that have gone are forgotten")

	var many []mirror.Item
	for i := range 1000 {
		many = append(many, mirror.Item{Name: fmt.Sprint(i), Revision: 1})
	}
	g.Expect(update("odd", many...)).To(HaveLen(maxSkippedLines + 1))
	g.Expect(lines[maxSkippedLines]).To(ContainSubstring(`"count"=980`))
	g.Expect(update("odd", many...)).To(BeEmpty())
	g.Expect(update("no name", mirror.Item{}, mirror.Item{}, mirror.Item{})).To(ConsistOf(ContainSubstring(`"count"=3`)))
}
