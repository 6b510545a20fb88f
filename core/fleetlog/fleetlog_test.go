package fleetlog_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"monsoondale/core/fleetlog"
)

var start = time.Date(2026, 9, 3, 15, 0, 0, 0, time.UTC)

// logs builds the logs of a fleet of instances.
type logs struct {
	names   []string
	centres map[string]string
	text    map[string]*strings.Builder
}

// newLogs returns the logs of n instances of data centres a, b and c that have started and are ready.
func newLogs(n int) *logs {
	l := &logs{centres: map[string]string{}, text: map[string]*strings.Builder{}}
	for i := range n {
		name := fmt.Sprintf("%c%02d", 'a'+rune(i%3), i/3+1)
		l.names = append(l.names, name)
		l.centres[name] = name[:1]
		l.text[name] = &strings.Builder{}
		l.add(name, 0, "starting", "instance", name, "centre", name[:1])
		l.add(name, 100*time.Millisecond, "configuration in force", "version", 12)
		l.add(name, 100*time.Millisecond, "endpoints in force", "endpoints", 56, "leaving", 1)
		l.add(name, 200*time.Millisecond, "ready")
	}
	return l
}

// add adds a line at a time after the start.
func (l *logs) add(name string, at time.Duration, message string, fields ...any) {
	m := map[string]any{"time": start.Add(at), "level": "INFO", "msg": message}
	for i := 0; i < len(fields); i += 2 {
		m[fields[i].(string)] = fields[i+1]
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(l.text[name], "%s\n", b)
}

// silence adds that the instances of a data centre, save some, do not hear an instance any more.
func (l *logs) silence(at time.Duration, name string, except ...string) {
	for _, other := range l.names {
		if other != name && l.centres[other] == l.centres[name] && !strings.Contains(strings.Join(except, " "), other) {
			l.add(other, at, "instance heard", "instance", name, "centre", l.centres[name], "silent", true, "leaving", false, "since", "600ms")
		}
	}
}

// request adds requests that end.
func (l *logs) request(name string, at time.Duration, n int, fields ...any) {
	for i := range n {
		l.add(name, at, "request", append([]any{"request", fmt.Sprintf("%s-%v-%d", name, at, i), "total", 10.5}, fields...)...)
	}
}

// read reads the logs, each under the name of its file.
func (l *logs) read(window time.Duration) *fleetlog.Report {
	f := fleetlog.New(window)
	for i, name := range l.names {
		if err := f.Read(fmt.Sprint("log", i), strings.NewReader(l.text[name].String())); err != nil {
			panic(err)
		}
	}
	return f.Report()
}

// ExampleReport shows 95 instances in three data centres with the troubles of a bad minute.
func ExampleReport() {
	l := newLogs(95)
	l.silence(20*time.Second, "a03")
	l.silence(21*time.Second, "b07", "b01", "b02")
	l.add("c05", 30*time.Second, "stopping", "requests", 3)
	for i, name := range l.names {
		l.request(name, 40*time.Second, 20, "status", 200, "reason", "served", "endpoint", "e1", "workspace", "jede80", "units", 400, "slowness", 1.1)
		if i%2 == 0 {
			l.request(name, 41*time.Second, 2, "status", 503, "reason", "overload", "workspace", "jede80", "units", 400)
		}
		if i < 40 {
			l.add(name, 42*time.Second, "endpoint leaving", "endpoint", "e7")
			l.add(name, 43*time.Second, "endpoint waits", "endpoint", "e8", "span", "3.5s")
		}
	}
	l.request("b02", 44*time.Second, 5, "status", 429, "reason", "quota", "workspace", "semi71", "units", 500, "used", 71800, "quota", 72000)
	l.request("b02", 44*time.Second, 1, "status", 504, "reason", "deadline", "aborted", true)
	l.request("c09", 44*time.Second, 3, "status", 200, "reason", "served", "endpoint", "e9", "slowness", 3.2)
	l.add("c01", 45*time.Second, "endpoint suspended", "endpoint", "e4", "span", "2s")
	l.add("c01", 45*time.Second, "store lost", "collection", "endpoints")
	l.read(time.Minute).Write(os.Stdout, 5)
	// Output:
	// 2026-09-03T15:00:45Z, last 1m0s: 95 instances, 56 endpoints listed (1 leaving), configuration 12 on 95
	//
	// CENTRE  INSTANCES  READY  SILENT  UNHEARD BY  REQUESTS  SERVED  REFUSED  FAILED  INVALID  LEFT
	// a       32         31     1       0           672       640     32       0       0        0
	// b       32         31     1       0           678       640     37       1       0        0
	// c       31         30     0       0           655       623     32       0       0        0
	//
	// INSTANCES: 2 silent, 1 store lost, 1 stopping
	// NAME  CENTRE  STATE       SINCE       BY  DETAIL
	// a03   a       silent      15:00:19.4  31  -
	// b07   b       silent      15:00:20.4  29  -
	// c01   c       store lost  15:00:45.0  -   endpoints
	// c05   c       stopping    15:00:30.0  -   -
	//
	// ENDPOINTS: 1 leaving, 1 suspended, 1 waits, 1 slow
	// NAME  STATE      SINCE       BY  DETAIL
	// e7    leaving    15:00:42.0  40  -
	// e4    suspended  15:00:45.0  1   until 15:00:47.0
	// e8    waits      15:00:43.0  40  until 15:00:46.5
	// e9    slow       15:00:44.0  -   3.2 times the usual time
	//
	// QUOTAS: 2 workspaces active, 1 with refusals
	// NAME    UNITS   REFUSED  USED OF QUOTA
	// semi71  0       5        71800 of 72000
	// jede80  760000  0        -
	//
	// NOT SERVED
	// STATUS  CAUSE     REQUESTS  INSTANCES  MOST AT
	// 503     overload  96        48         a01 (2)
	// 429     quota     5         1          b02 (5)
	// 504     deadline  1         1          b02 (1)
}

// Guards against exceptions that are missing, that have passed, or that blame the wrong instance.
func TestExceptions(t *testing.T) {
	issue := func(name, state string, since time.Duration, by int, detail string) fleetlog.Issue {
		return fleetlog.Issue{Name: name, State: state, Since: start.Add(since), By: by, Detail: detail}
	}
	for _, c := range []struct {
		name      string
		log       func(*logs)
		instances []fleetlog.Issue // their data centres follow from their names
		endpoints []fleetlog.Issue
	}{
		{"none", func(*logs) {}, nil, nil},
		{
			"silent and heard again",
			func(l *logs) {
				l.silence(time.Second, "a01")
				for _, name := range l.names {
					l.add(name, 2*time.Second, "instance heard", "instance", "a01", "centre", "a", "silent", false, "leaving", false, "since", "0s")
				}
			}, nil, nil,
		},
		{
			"most of a data centre silent",
			func(l *logs) {
				for i := range 20 {
					for j := range 11 {
						l.add(fmt.Sprintf("a%02d", 22+j), time.Second, "instance heard", "instance", fmt.Sprintf("a%02d", i+1), "centre", "a", "silent", true, "since", "600ms")
					}
				}
			},
			lo.Times(20, func(i int) fleetlog.Issue {
				return issue(fmt.Sprintf("a%02d", i+1), "silent", 400*time.Millisecond, 11, "")
			}), nil,
		},
		{
			"one that hears no other",
			func(l *logs) {
				for _, name := range l.names {
					if l.centres[name] == "b" && name != "b04" {
						l.add("b04", 2*time.Second, "instance heard", "instance", name, "centre", "b", "silent", true, "since", "1s")
						l.request(name, 3*time.Second, 1, "status", 200, "reason", "served")
					}
				}
			},
			[]fleetlog.Issue{issue("b04", "deaf", time.Second, 0, "does not hear 31 instances that most others hear")},
			nil,
		},
		{
			"silent without a log",
			func(l *logs) {
				for _, name := range l.names {
					l.add(name, time.Second, "instance heard", "instance", "a99", "centre", "a", "silent", true, "since", "1s")
				}
			},
			[]fleetlog.Issue{issue("a99", "silent", 0, 95, "its log was not read")},
			nil,
		},
		{
			"restarted, not ready yet; what the process before believed is forgotten",
			func(l *logs) {
				l.silence(time.Second, "b01")
				l.add("a01", time.Second, "endpoint leaving", "endpoint", "e1")
				l.add("a01", time.Second, "store lost", "collection", "endpoints")
				for _, name := range l.names {
					if name == "a01" || l.centres[name] == "b" && name != "b01" {
						l.add(name, 2*time.Second, "starting", "instance", name, "centre", name[:1])
					}
					if l.centres[name] == "b" {
						l.add(name, 3*time.Second, "ready")
					}
				}
			},
			[]fleetlog.Issue{issue("a01", "not ready", 2*time.Second, 0, "")},
			nil,
		},
		{
			"store lost, regained, process stood still",
			func(l *logs) {
				l.add("a01", time.Second, "store lost", "collection", "endpoints")
				l.add("a01", 2*time.Second, "store lost", "collection", "configurations")
				l.add("a02", time.Second, "store lost", "collection", "endpoints")
				l.add("a02", 2*time.Second, "store regained", "collection", "endpoints")
				l.add("c01", 3*time.Second, "process stood still", "gap", "1.5s")
				l.add("c02", 4*time.Second, "stopped", "cut", 0)
			},
			[]fleetlog.Issue{
				issue("a01", "store lost", time.Second, 0, "configurations, endpoints"),
				issue("c01", "stood still", 1500*time.Millisecond, 0, "for 1.5s"),
				issue("c02", "stopped", 4*time.Second, 0, ""),
			},
			nil,
		},
		{
			"endpoints: the most serious state counts; what has passed does not",
			func(l *logs) {
				l.add("a01", time.Second, "endpoint suspended", "endpoint", "e1", "span", "10s")
				l.add("a01", time.Second, "endpoint leaving", "endpoint", "e2", "request", "r1")
				l.add("a01", time.Second, "endpoint waits", "endpoint", "e2", "span", "10s")
				l.add("a01", time.Second, "endpoint waits", "endpoint", "e3", "span", "10s")
				l.add("a01", time.Second, "endpoint waits", "endpoint", "e4", "span", "1s")
				l.add("b01", 2*time.Second, "endpoint suspended", "endpoint", "e1", "span", "9.5s")
				l.add("b01", time.Second, "endpoint suspended", "endpoint", "e5", "span", "10s")
				l.add("b01", 2*time.Second, "endpoint open", "endpoint", "e5", "row", 1)
				l.add("b01", time.Second, "endpoint leaving", "endpoint", "e6", "request", "r2")
				l.request("b01", 1500*time.Millisecond, 1, "status", 200, "reason", "served", "endpoint", "e6", "total", 900.0)
			},
			nil,
			[]fleetlog.Issue{
				issue("e2", "leaving", time.Second, 1, ""), issue("e6", "leaving", time.Second, 1, ""),
				issue("e1", "suspended", time.Second, 2, "until 15:00:11.5"), issue("e3", "waits", time.Second, 1, "until 15:00:11.0"),
			},
		},
		{
			"endpoint that left and serves again",
			func(l *logs) {
				l.add("b01", time.Second, "endpoint leaving", "endpoint", "e6", "request", "r2")
				l.request("b01", 3*time.Second, 1, "status", 200, "reason", "served", "endpoint", "e6", "total", 900.0)
			}, nil, nil,
		},
		{
			"endpoint with a limit, and one whose limit is its slots again",
			func(l *logs) {
				l.add("a01", time.Second, "endpoint limit", "endpoint", "e1", "limit", 5, "before", 10, "slots", 10, "why", "streams would pause for too long")
				l.add("b01", 2*time.Second, "endpoint limit", "endpoint", "e1", "limit", 5, "before", 10, "slots", 10, "why", "streams would pause for too long")
				l.add("a01", time.Second, "endpoint limit", "endpoint", "e2", "limit", 5, "before", 10, "slots", 10, "why", "streams would pause for too long")
				l.add("a01", 3*time.Second, "endpoint limit", "endpoint", "e2", "limit", 10, "before", 5, "slots", 10, "why", "slots")
			},
			nil,
			[]fleetlog.Issue{issue("e1", "limited", time.Second, 2, "5 of 10 slots: streams would pause for too long")},
		},
		{
			"slow endpoint",
			func(l *logs) {
				l.request("a01", 2*time.Second, 2, "status", 200, "reason", "served", "endpoint", "e1", "slowness", 3.0)
				l.request("b01", 3*time.Second, 1, "status", 200, "reason", "served", "endpoint", "e1", "slowness", 1.5)
				l.request("b01", 3*time.Second, 1, "status", 200, "reason", "served", "endpoint", "e2", "slowness", 1.5)
			},
			nil,
			[]fleetlog.Issue{issue("e1", "slow", 2*time.Second, 0, "2.5 times the usual time")},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l := newLogs(95)
			c.log(l)
			l.add("a32", 5*time.Second, "settings unchanged") // the report's time
			r := l.read(time.Minute)
			strip := func(in []fleetlog.Issue) (out []fleetlog.Issue) {
				for _, i := range in {
					if i.Centre != "" {
						g.Expect(string(i.Centre)).To(Equal(i.Name[:1]))
					}
					out = append(out, fleetlog.Issue{Name: i.Name, State: i.State, Since: i.Since, By: i.By, Detail: i.Detail})
				}
				return out
			}
			g.Expect(strip(r.Troubled)).To(Equal(c.instances))
			g.Expect(strip(r.Closed)).To(Equal(c.endpoints))
		})
	}
}

// Guards against requests in the wrong column or of another time, and against counts that are too low without a word.
func TestCounts(t *testing.T) {
	g := NewWithT(t)
	l := newLogs(95)
	for _, r := range []struct {
		instance string
		at       time.Duration
		fields   []any
	}{
		{"a01", 4 * time.Second, []any{"status", 200, "reason", "served"}}, // before the window
		{"a01", 61 * time.Second, []any{"status", 200, "reason", "served"}},
		{"a01", 61 * time.Second, []any{"status", 404, "reason", "served"}}, // as the endpoint responded
		{"a01", 61 * time.Second, []any{"status", 401, "reason", "unknown key"}},
		{"b01", 61 * time.Second, []any{"status", 429, "reason", "quota", "workspace", "w1", "units", 10, "used", 90, "quota", 100}},
		{"c01", 62 * time.Second, []any{"status", 429, "reason", "quota", "workspace", "w1", "units", 10, "used", 95, "quota", 120}},
		{"b02", 62 * time.Second, []any{"status", 503, "reason", "overload", "workspace", "w1", "units", 10}},
		{"b02", 62 * time.Second, []any{"status", 502, "reason", "endpoint failed", "workspace", "w1", "units", 10}},
		{"b02", 62 * time.Second, []any{"status", 504, "reason", "deadline", "aborted", true, "workspace", "w1", "units", 10}},
		{"c02", 62 * time.Second, []any{"status", 499, "reason", "caller left", "aborted", true, "left", "queue"}},
	} {
		l.request(r.instance, r.at, 1, r.fields...)
	}
	l.add("c03", 62*time.Second, "log lines dropped", "lines", 7)
	l.add("c03", 65*time.Second, "settings unchanged")
	r := l.read(time.Minute)
	for _, c := range []struct {
		centre string
		want   fleetlog.Counts // served, refused, failed, invalid, left
	}{
		{"a", fleetlog.Counts{2, 0, 0, 1, 0}},
		{"b", fleetlog.Counts{0, 2, 2, 0, 0}},
		{"c", fleetlog.Counts{0, 1, 0, 0, 1}},
	} {
		i := slices.IndexFunc(r.Centres, func(x fleetlog.Centre) bool { return string(x.Name) == c.centre })
		g.Expect(i).To(BeNumerically(">=", 0), c.centre)
		g.Expect(r.Centres[i].Requests).To(Equal(c.want), c.centre)
	}
	g.Expect(r.Requests).To(Equal(fleetlog.Counts{2, 3, 2, 1, 1}))
	g.Expect(r.Dropped).To(Equal(7))
	g.Expect(r.Workspaces).To(Equal([]fleetlog.Workspace{{ID: "w1", Units: 20, Refused: 2, Used: 95, Quota: 120}}))
	g.Expect(r.Causes).To(HaveLen(6))
	g.Expect(r.Causes[0]).To(Equal(fleetlog.Cause{Status: 429, Reason: "quota", Requests: 2, Instances: 2, Most: "b01", MostCount: 1}))
}

// Guards against an instance that appears twice, or under the name of a file, and against lines that end the reading.
func TestRead(t *testing.T) {
	const (
		served   = `{"time":"2026-09-03T15:00:01Z","msg":"request","request":"r1","status":200,"reason":"served","total":1}` + "\n"
		starting = `{"time":"2026-09-03T15:00:02Z","msg":"starting","instance":"a1","centre":"a"}` + "\n"
		odd      = "{\n\x00\n" + `{"time":5}` + "\n" + `{"time":"2026-09-03T15:00:01Z","msg":"endpoint waits","span":7}` + "\n" + `[{"msg":""}]` + "\n\n"
	)
	for _, c := range []struct {
		name, log string
		instances int
		served    int
		cause     string // instance with the most requests that were not served
	}{
		{"empty", "", 0, 0, ""},
		{"not of a gateway", "hello\n{}\n", 0, 0, ""},
		{"name known later", served + starting + served, 1, 2, ""},
		{"two starts", starting + served + starting + served, 1, 2, ""},
		{"joint log", "0.1 a1 | " + starting + "0.2 a2: " + served + "a1 | " + served, 2, 2, ""},
		{"odd lines", odd + starting + odd + served, 1, 1, ""},
		{"last line incomplete", starting + served + strings.TrimSpace(served)[:40], 1, 1, ""},
		{"all fields of a request", strings.Replace(served, `"total":1`, `"total":1,"config":12,"limit":2440,"wait":402.4,"pause":12,"gap":200,"age":36.2,"last":"7","framing":"chunks"`, 1), 1, 1, ""},
		{"cause before the name", strings.Replace(served, "served", "deadline", 1) + starting, 1, 0, "a1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleetlog.New(time.Minute)
			g.Expect(f.Read("file", strings.NewReader(c.log))).To(Succeed())
			r := f.Report()
			g.Expect(r.Instances).To(Equal(c.instances))
			g.Expect(r.Requests[0]).To(Equal(c.served))
			if c.cause != "" {
				g.Expect(string(r.Causes[0].Most)).To(Equal(c.cause))
			}
		})
	}
}

// Guards against a report that grows with the fleet or with its troubles.
func TestReportIsBounded(t *testing.T) {
	for _, c := range []struct{ instances, rows, lines int }{
		{95, 5, 43},
		{920, 5, 43},
		{95, 1, 27},
	} {
		t.Run(fmt.Sprint(c.instances, " instances, ", c.rows, " rows"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l := newLogs(c.instances)
			for _, name := range l.names[:8] {
				l.silence(time.Second, name)
			}
			for i, name := range l.names {
				l.add(name, 2*time.Second, "endpoint leaving", "endpoint", fmt.Sprint("e", i))
				l.add(name, 2*time.Second, "configuration in force", "version", i)
				l.add(name, 2*time.Second, "log lines dropped", "lines", 1)
				l.request(name, 3*time.Second, 1, "status", 429, "reason", fmt.Sprint("cause ", i), "workspace", fmt.Sprint("w", i))
			}
			var b strings.Builder
			g.Expect(l.read(time.Minute).Write(&b, c.rows)).To(Succeed())
			g.Expect(strings.Count(b.String(), "\n")).To(BeNumerically("<=", c.lines), b.String())
			g.Expect(b.String()).To(ContainSubstring(fmt.Sprint("and ", c.instances-c.rows, " more")))
		})
	}
}

// Guards against a data centre that is cut off and looks sound because its own instances hear each other.
func TestUnheardCentre(t *testing.T) {
	g := NewWithT(t)
	l := newLogs(95)
	for _, name := range l.names {
		if l.centres[name] != "c" {
			l.add(name, time.Second, "centre heard", "centre", "c", "silent", true, "since", "1.6s")
		}
	}
	l.add("a01", 2*time.Second, "centre heard", "centre", "c", "silent", false, "since", "0s")
	l.add("a02", 2*time.Second, "stopped", "cut", 0)
	unheard := map[string]int{}
	for _, c := range l.read(time.Minute).Centres {
		unheard[string(c.Name)] = c.Unheard
	}
	g.Expect(unheard).To(Equal(map[string]int{"a": 0, "b": 0, "c": 62}))
}
