package instance_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/internal/fake/fleet"
)

func fetchMetrics(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	g := NewWithT(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+f.Instances[0].OperatorAddr()+"/metrics", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	r, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// Guards against metrics that OPERATIONS.md does not explain, and against explained ones that do not exist.
func TestMetricsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	f, key := startFleet(t)
	f.Client(0, key, "").Chat(context.Background(), draftChat(), 0)
	f.Client(0, "wrong", "").Chat(context.Background(), draftChat(), 0)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	var patterns []*regexp.Regexp
	text := fetchMetrics(t, f)
	for _, m := range regexp.MustCompile("(?m)^\\| `(monsoondale_[^`]*)` \\| ").FindAllStringSubmatch(string(page), -1) {
		name, _, _ := strings.Cut(m[1], "{")
		pattern := regexp.MustCompile(`<\w+>`).ReplaceAllString(name, `[0-9a-z]+`)
		patterns = append(patterns, regexp.MustCompile("^"+pattern+"$"))
		if !strings.Contains(name, "<") && !strings.HasPrefix(name, "monsoondale_tls_") {
			g.Expect(text).To(ContainSubstring("# TYPE "+name+" "), "documented, but there is no such metric")
		}
	}
	g.Expect(len(patterns)).To(BeNumerically(">", 20))
	names := regexp.MustCompile(`(?m)^# TYPE (\S+) `).FindAllStringSubmatch(text, -1)
	g.Expect(len(names)).To(BeNumerically(">", 15))
	for _, n := range names {
		known := false
		for _, p := range patterns {
			known = known || p.MatchString(n[1])
		}
		g.Expect(known).To(BeTrue(), "%s is not in docs/OPERATIONS.md", n[1])
	}
}
