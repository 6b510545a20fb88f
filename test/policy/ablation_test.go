package policy

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core/admission"
)

// ablations lists the features of the policy, and the scenarios and columns on which each should have an effect.
var ablations = []struct {
	feature   string
	disabled  disabledFeatures
	scenarios []string
	columns   []string
}{
	{"learned slots", disabledFeatures{core: admission.LearnedSlots}, []string{"steady 95%", "flood tier 0"}, []string{"good0", "good2", "urgent/cap", "p95-3"}},
	{"headroom", disabledFeatures{core: admission.Headroom}, []string{"steady 95%", "flood tier 3", "late reports"}, []string{"p95-0", "p99-0", "p95-1", "p95-3"}},
	{"aging reserve", disabledFeatures{core: admission.AgingReserve}, []string{"flood workspace", "flood caller"}, []string{"p50-3", "p95-3", "worst", "waste%"}},
	{"caller fairness", disabledFeatures{core: admission.CallerFairness}, []string{"flood caller", "late reports"}, []string{"small95", "large95", "jain", "kept01"}},
	{"workspace shares", disabledFeatures{core: admission.WorkspaceShares}, []string{"flood workspace", "flood callers"}, []string{"kept", "kept01", "good1", "small95"}},
	{"early refusal", disabledFeatures{core: admission.EarlyRefusal}, []string{"flood tier 0", "flood workspace", "retries"}, []string{"urgent/cap", "good1", "kept", "waste%"}},
	{"suspension", disabledFeatures{core: admission.Suspension}, []string{"flood tier 0", "two floods", "flood workspace"}, []string{"urgent/cap", "good0", "good1", "waste%"}},
	{"prefix affinity", disabledFeatures{core: admission.PrefixAffinity}, []string{"steady 95%", "small caches", "flood tier 0"}, []string{"cached%", "p95-0", "p95-3", "urgent/cap"}},
	{"probation", disabledFeatures{core: admission.Probation}, []string{"straggler", "two floods"}, []string{"good0", "good1", "p99-0", "urgent/cap"}},
	{"random shard", disabledFeatures{randomShard: true}, []string{"steady 95%", "flood tier 0", "late reports"}, []string{"p95-0", "p99-0", "p95-1", "urgent/cap"}},
}

var ablate = flag.Bool("ablate", false, "print the effect of each feature of the policy")

// TestAblation prints the figures with and without each feature of the policy, which takes minutes of processor time. It
// guards against a feature switch without any effect.
func TestAblation(t *testing.T) {
	if !*ablate {
		t.Skip("run with -ablate")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Println("each figure is with the part / without it, median of the seeds and half of their range")
	fmt.Fprintln(w, "part\tscenario\tmeasures\t\t\t\t")
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, 5)
	runs := map[string][]result{}
	start := func(key string, sc scenario, without disabledFeatures) {
		rs := make([]result, len(seeds))
		runs[key] = rs
		for i, seed := range seeds {
			wg.Go(func() {
				semaphore <- struct{}{}
				rs[i] = measure(simulate(func(s *sim, es []*engine, n int, r *rand.Rand) dispatcher {
					return newCoreDispatcher(s, es, n, r, without)
				}, sc, seed))
				<-semaphore
			})
		}
	}
	for _, sc := range scenarios {
		start(sc.name, sc, disabledFeatures{})
		for _, a := range ablations {
			if slices.Contains(a.scenarios, sc.name) {
				start(sc.name+a.feature, sc, a.disabled)
			}
		}
	}
	wg.Wait()
	for _, a := range ablations {
		unchanged := true
		for _, name := range a.scenarios {
			with, without := runs[name], runs[name+a.feature]
			unchanged = unchanged && fmt.Sprint(with) == fmt.Sprint(without)
			cells := lo.Map(a.columns, func(c string, _ int) string {
				return fmt.Sprintf("%s %s / %s", c, formatCell(with, column(c)), formatCell(without, column(c)))
			})
			fmt.Fprintf(w, "%s\t%s\t%s\t\n", a.feature, name, strings.Join(cells, "\t"))
		}
		NewWithT(t).Expect(unchanged).To(BeFalse(), "disabling %s changes no figure", a.feature)
	}
	w.Flush()
}
