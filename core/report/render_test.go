package report_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core"
	"monsoondale/core/report"
	"monsoondale/wire/operator"
)

func sample() operator.Report {
	var agg report.Aggregator
	r := report.NewRecorder("entry-1", start)
	for i, w := range []core.WorkspaceID{"helsinki", "turku", "<script>"} {
		for j := range 10 * (i + 1) {
			q := r.Accept(w, core.Tier(j%2), "draft")
			if j%7 == 6 {
				continue
			}
			q.Finish(report.Outcome(j%5), report.RequestStats{Wait: time.Duration(j*j) * time.Millisecond, Prefilled: 400, Cached: 100, Generated: 60, Wasted: 5, WasteReason: report.WasteLate, Order: report.OrderOutcome(j % 3)})
		}
	}
	agg.Merge(r.Publication(start.Add(10*time.Second), false))
	return agg.Report(start.Add(15*time.Second), []core.InstanceID{"entry-1", "entry-2"})
}

func TestText(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	g.Expect(report.WriteText(&b, sample())).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("Report of 2023-11-14T22:13:35Z"))
	g.Expect(b.String()).To(MatchRegexp(`all +60 +11 +9 +11 +10 +12 +7 +0 +`))
	g.Expect(b.String()).To(ContainSubstring("entry-2: no counts up to 2023-11-14T22:13:35Z"))
}

// Guards against a page that loads external resources, and against markup injected by the name of an object.
func TestHTMLIsSelfContained(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	g.Expect(report.WriteHTML(&b, sample())).To(Succeed())
	if path := os.Getenv("REPORT_HTML"); path != "" { // writes the page to a file for a look in a browser
		g.Expect(os.WriteFile(path, b.Bytes(), 0o644)).To(Succeed())
	}
	g.Expect(strings.Count(b.String(), "<svg")).To(Equal(3))
	g.Expect(b.String()).NotTo(ContainSubstring("<script"))
	g.Expect(b.String()).NotTo(MatchRegexp(`(?i)(src|href)=|@import|url\(`))
	g.Expect(report.WriteHTML(&bytes.Buffer{}, operator.Report{})).To(Succeed(), "an empty report")
}
