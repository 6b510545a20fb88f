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

// fetchMetrics returns the metrics of the first instance in the text format of Prometheus.
func fetchMetrics(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	g := NewWithT(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+f.Instances[0].OperatorAddr()+"/metrics", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// Guards against metrics that docs/OPERATIONS.md does not describe, and against described metrics that do not exist.
func TestMetricsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	f, key := startFleet(t)
	f.Client(0, key, "").Chat(context.Background(), draftChat(), 0)
	f.Client(0, "wrong", "").Chat(context.Background(), draftChat(), 0)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	var patterns []*regexp.Regexp
	exposed := fetchMetrics(t, f)
	for _, m := range regexp.MustCompile("(?m)^\\| `(monsoondale_[^`]*)` \\| ").FindAllStringSubmatch(string(page), -1) {
		name, _, _ := strings.Cut(m[1], "{")
		pattern := regexp.MustCompile(`<\w+>`).ReplaceAllString(name, `[0-9a-z]+`)
		patterns = append(patterns, regexp.MustCompile("^"+pattern+"$"))
		if !strings.Contains(name, "<") && !strings.HasPrefix(name, "monsoondale_tls_") {
			g.Expect(exposed).To(ContainSubstring("# TYPE "+name+" "), "%s is in docs/OPERATIONS.md but not exposed", name)
		}
	}
	g.Expect(len(patterns)).To(BeNumerically(">", 20))
	names := regexp.MustCompile(`(?m)^# TYPE (\S+) `).FindAllStringSubmatch(exposed, -1)
	g.Expect(len(names)).To(BeNumerically(">", 15))
	for _, n := range names {
		known := false
		for _, p := range patterns {
			known = known || p.MatchString(n[1])
		}
		g.Expect(known).To(BeTrue(), "%s is not in docs/OPERATIONS.md", n[1])
	}
}
