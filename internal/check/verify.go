package check

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/core"
	fake "monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/service"
	"monsoondale/wire/engine"
	"monsoondale/wire/peer"
	"monsoondale/wire/platform"
)

// Log is the log of one endpoint: what it ran.
type Log struct {
	Endpoint string
	Pool     string
	Items    []engine.Run
}

// Rule identifies a checked invariant.
type Rule string

// The rules that Verify checks; the ids are those of docs/design.md, section 1.
const (
	RuleDispatch  Rule = "P1 dispatched at most once"
	RuleComplete  Rule = "P3 complete answers are the expected ones"
	RuleTruncated Rule = "P3 truncated answers do not end cleanly"
	RuleMixed     Rule = "P3 answers belong to their request"
	RuleNotRun    Rule = "P4 not run means not run"
	RuleOrder     Rule = "P5 orders run at most once"
	RuleRepeat    Rule = "P5 repeated orders get the recorded answer"
)

// Violation is a breach of a rule by one request or order.
type Violation struct {
	Rule    Rule
	Subject string // request id, business key or order key
	Detail  string
}

// String formats the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Verify compares callers' answers with the endpoints' logs. Each order must have a unique business key, such as the
// order number in its body, so that effects can be told apart. The violations are sorted.
func Verify(answers []Answer, logs []Log) []Violation {
	var out []Violation
	report := func(r Rule, subject, format string, args ...any) {
		out = append(out, Violation{r, subject, fmt.Sprintf(format, args...)})
	}
	endpointsByRequest, endpointsByKey := map[string][]string{}, map[string][]string{} // one endpoint per dispatch
	for _, l := range logs {
		for _, r := range l.Items {
			for range r.Dispatches {
				endpointsByRequest[r.Request] = append(endpointsByRequest[r.Request], l.Endpoint)
				if r.Key != "" {
					endpointsByKey[r.Key] = append(endpointsByKey[r.Key], l.Endpoint)
				}
			}
		}
	}
	for id, endpoints := range endpointsByRequest {
		if len(endpoints) > 1 {
			report(RuleDispatch, id, "%d dispatches, at %s", len(endpoints), strings.Join(endpoints, ", "))
		}
	}
	for key, endpoints := range endpointsByKey {
		if len(endpoints) > 1 {
			report(RuleOrder, key, "%d runs, at %s", len(endpoints), strings.Join(endpoints, ", "))
		}
	}
	previousAnswers := map[string]Answer{}
	for _, a := range answers {
		subject := cmp.Or(a.Request, a.Method+" "+a.Path)
		for _, f := range a.ProtocolErrors {
			report(RuleMixed, subject, "%s", f)
		}
		if a.OrderKey != "" && a.Error != nil && !a.errorNamesOrder(answers, logs) {
			report(RuleMixed, subject, "the error names request %s, which does not belong to this order", a.Error.Request)
		}
		if a.NotRun() && len(endpointsByRequest[a.Request]) > 0 {
			report(RuleNotRun, subject, "answered %d, but ran at %s", a.Error.Code, strings.Join(endpointsByRequest[a.Request], ", "))
		}
		if a.CleanEnd && a.Error != nil {
			report(RuleTruncated, subject, "an error is followed by a clean end")
		}
		if !a.Complete() {
			continue
		}
		if problem := a.mismatch(); problem != "" {
			rule := RuleComplete
			if a.truncated() {
				rule = RuleTruncated
			}
			report(rule, subject, "%s", problem)
		}
		if a.OrderKey == "" {
			if len(endpointsByRequest[a.Request]) == 0 {
				report(RuleComplete, subject, "answered, but no endpoint ran it")
			}
			continue
		}
		if key := a.businessKey(); len(endpointsByKey[key]) == 0 {
			report(RuleComplete, key, "answered, but no endpoint ran it")
		}
		if previous, ok := previousAnswers[a.OrderKey]; ok && previous.Text != a.Text {
			report(RuleRepeat, a.OrderKey, "answered %q and %q", previous.Text, a.Text)
		}
		previousAnswers[a.OrderKey] = a
	}
	slices.SortFunc(out, func(x, y Violation) int { return strings.Compare(x.String(), y.String()) })
	return out
}

// errorNamesOrder reports whether the error names this request or another request of the same order. The latter occurs
// when the recorded result of an order is returned to a repeat.
func (a Answer) errorNamesOrder(answers []Answer, logs []Log) bool {
	if id := a.Error.Request; id != "" && id != a.Request {
		return lo.SomeBy(answers, func(b Answer) bool { return b.Request == id && b.OrderKey == a.OrderKey }) ||
			lo.SomeBy(logs, func(l Log) bool {
				return lo.SomeBy(l.Items, func(r engine.Run) bool { return r.Request == id && r.Key == a.businessKey() })
			})
	}
	return true
}

// mismatch describes how a complete answer differs from the expected one; it returns "" if they are equal.
func (a Answer) mismatch() string {
	if a.Chat != nil {
		if want := fake.Text(*a.Chat); a.Text != want {
			return fmt.Sprintf("%d bytes of text, expected %d; they differ from byte %d on", len(a.Text), len(want), commonPrefixLen(a.Text, want))
		}
		return ""
	}
	var got struct {
		Path, Key     string
		Accepted      bool
		Stock, Effect int
	}
	if err := json.Unmarshal([]byte(a.Text), &got); err != nil {
		return "the answer is not JSON: " + err.Error()
	}
	path := servicePath(a.Path)
	switch key := a.businessKey(); {
	case got.Path != path:
		return fmt.Sprintf("answer for %s", got.Path)
	case key != "" && (got.Key != key || !got.Accepted || got.Effect != 1):
		return fmt.Sprintf("answer for %q with effect %d, expected %q with effect 1", got.Key, got.Effect, key)
	case strings.HasPrefix(path, "/stock/") && got.Stock != service.Stock(path):
		return fmt.Sprintf("stock %d, expected %d", got.Stock, service.Stock(path))
	}
	return ""
}

// truncated reports whether the text of an answer that looks complete is only a prefix of the expected text.
func (a Answer) truncated() bool {
	if a.Chat == nil {
		return !json.Valid([]byte(a.Text))
	}
	want := fake.Text(*a.Chat)
	return len(a.Text) < len(want) && strings.HasPrefix(want, a.Text)
}

// businessKey returns the key by which the service counts effects, in the form of the service's log. It is empty if the
// route has none.
func (a Answer) businessKey() string {
	path := servicePath(a.Path)
	for _, r := range service.DefaultRoutes {
		if r.Field != "" && r.Path == path && r.Method == a.Method {
			var body map[string]any
			if json.Unmarshal([]byte(a.Body), &body) != nil {
				return ""
			}
			v, _ := body[r.Field].(string)
			return r.Field + " " + v
		}
	}
	return ""
}

// servicePath strips /services/{service} from a caller's path.
func servicePath(path string) string {
	rest, ok := strings.CutPrefix(path, "/services/")
	if !ok {
		return path
	}
	_, rest, _ = strings.Cut(rest, "/")
	return "/" + rest
}

func commonPrefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Tally counts the answers of one label by outcome.
type Tally struct {
	Asked, Complete, NotRun, Failed, Unknown, HungUp int
	Lost                                             int // the connection broke, or the answer is malformed
}

// TallyByLabel counts the answers of each label.
func TallyByLabel(answers []Answer) map[string]Tally {
	out := map[string]Tally{}
	for _, a := range answers {
		t := out[a.Label]
		t.Asked++
		switch {
		case a.HungUp:
			t.HungUp++
		case a.Complete():
			t.Complete++
		case a.NotRun():
			t.NotRun++
		case a.Error != nil && a.Error.Code.Class() == core.ClassFailed:
			t.Failed++
		case a.Error != nil && a.Error.Code.Class() == core.ClassUnknown:
			t.Unknown++
		default:
			t.Lost++
		}
		out[a.Label] = t
	}
	return out
}

// RunCounts counts log entries by state.
type RunCounts struct{ Dispatched, Done, Cancelled, Failed, Running int }

// SumByPool counts the runs of each pool by state.
func SumByPool(logs []Log) map[string]RunCounts {
	out := map[string]RunCounts{}
	for _, l := range logs {
		s := out[l.Pool]
		for _, r := range l.Items {
			s.Dispatched += r.Dispatches
			switch r.State {
			case engine.RunStateDone:
				s.Done++
			case engine.RunStateCancelled:
				s.Cancelled++
			case engine.RunStateFailed:
				s.Failed++
			case engine.RunStateRunning:
				s.Running++
			}
		}
		out[l.Pool] = s
	}
	return out
}

// FetchLog reads the log of the fake endpoint at address (host:port).
func FetchLog(ctx context.Context, c *http.Client, address string) ([]engine.Run, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/log", nil)
	if err != nil {
		return nil, errors.Wrap(err, "read endpoint log")
	}
	res, err := c.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "read endpoint log")
	}
	defer res.Body.Close()
	var l engine.Log
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		return nil, errors.Wrap(err, "read endpoint log")
	}
	return l.Items, nil
}

// Claims returns the order claims found at any depth in the stored values of kind "claim", with the last state of each
// attempt. It relies only on the field names of wire/peer.Claim, not on the structure of heads and archives.
func Claims(items []platform.Item) []peer.Claim {
	byAttempt := map[string]peer.Claim{}
	var collect func(v any)
	collect = func(v any) {
		switch v := v.(type) {
		case []any:
			for _, x := range v {
				collect(x)
			}
		case map[string]any:
			if v["attempt"] != nil && v["key"] != nil && v["state"] != nil {
				b, err := json.Marshal(v)
				var c peer.Claim
				if err == nil && json.Unmarshal(b, &c) == nil {
					byAttempt[c.Attempt] = c
				}
				return
			}
			for _, x := range v {
				collect(x)
			}
		}
	}
	for _, it := range items { // ascending by version
		var v any
		if it.Kind == "claim" && !it.Deleted && json.Unmarshal([]byte(it.Value), &v) == nil {
			collect(v)
		}
	}
	out := lo.Values(byAttempt)
	slices.SortFunc(out, func(x, y peer.Claim) int { return strings.Compare(x.Attempt, y.Attempt) })
	return out
}
