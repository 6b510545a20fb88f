package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/platform/fake"
)

const (
	// minStandstill is the shortest time without running that counts. Gateways log such times.
	minStandstill = 100 * time.Millisecond
	// idleShare is the part of the time that a gateway may use of a processor while it stands still. One that uses more is busy itself.
	idleShare = 0.5
)

// ownStandstills are times at which this process did not run, and with it all callers, endpoints, links and the store.
var ownStandstills periods

// watchOwnStandstills records these times. It never returns.
func watchOwnStandstills() {
	for last := time.Now(); ; {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		if now.Sub(last) >= minStandstill {
			ownStandstills.add(period{last, now})
		}
		last = now
	}
}

// loggedStandstills returns when a gateway did not run, as its log tells. Times at which it was busy itself do not count.
func loggedStandstills(log []byte) []period {
	var out []period
	for line := range bytes.Lines(log) {
		var l struct {
			Time                time.Time
			Msg, Gap, Processor string
		}
		if json.Unmarshal(line, &l) != nil || l.Msg != "process stood still" {
			continue // the last line of a killed process may be cut
		}
		gap, err := time.ParseDuration(l.Gap)
		used, err2 := time.ParseDuration(l.Processor)
		if err == nil && err2 == nil && gap >= minStandstill && used.Seconds() <= idleShare*gap.Seconds() {
			out = append(out, period{l.Time.Add(-gap), l.Time})
		}
	}
	return out
}

// readStandstills adds what the log of the instance tells.
func (i *instance) readStandstills() {
	b, err := os.ReadFile(i.logPath())
	if err != nil {
		i.w.violation("read log: %v", err)
	}
	for _, p := range loggedStandstills(b) {
		i.standstills.add(p)
	}
}

// interrupted reports whether the instance was killed or did not run between two times, because it was paused or for another reason, or
// whether this process did not run.
func (i *instance) interrupted(from, to time.Time) bool {
	return len(i.harms.within(from, to)) > 0 || i.stoodStill(from, to)
}

// stoodStill reports whether it is recorded that the instance or this process did not run, for other reasons than a pause.
func (i *instance) stoodStill(from, to time.Time) bool { return i.standstill(from, to) > 0 }

// standstill returns for how long between two times it is recorded that the instance or this process did not run.
func (i *instance) standstill(from, to time.Time) time.Duration {
	if i.w.ignoreStandstills {
		return 0
	}
	return covered(append(i.standstills.within(from, to), i.w.own.within(from, to)...), from, to)
}

// recovers polls a condition until it holds, or until this process and the instance have run for the time of a recovery since a time.
// Standstills do not count, up to maxStandstill together.
func (i *instance) recovers(began time.Time, condition func() bool) bool {
	const maxStandstill = 30 * time.Second
	for ; ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
		if now := time.Now(); now.Sub(began)-min(i.standstill(began, now), maxStandstill) > recovery {
			return false
		}
	}
}

// covered returns how much of the time between from and to belongs to one or more periods.
func covered(list []period, from, to time.Time) (sum time.Duration) {
	slices.SortFunc(list, func(a, b period) int { return a.from.Compare(b.from) })
	for _, p := range list {
		if p.from.After(from) {
			from = p.from
		}
		if end := earlier(p.to, to); end.After(from) {
			sum, from = sum+end.Sub(from), end
		}
	}
	return sum
}

// exitMargin returns how long before the end of the grace period an instance exits at the latest; see gateway/stop.go.
func exitMargin(grace time.Duration) time.Duration { return min(250*time.Millisecond, grace*6/100) }

// checkOverruns checks that the instance ended within its grace periods, unless it stood still for as long as it has to spare when it
// was to handle SIGTERM or to exit. In between it waits, and nothing is lost.
func (i *instance) checkOverruns() {
	margin := exitMargin(i.w.grace)
	for _, p := range i.overruns {
		if lost := i.standstill(p.from, p.from.Add(margin)) + i.standstill(p.to.Add(-margin), p.to); lost > 0 && lost >= margin {
			i.w.t.Logf("excused by standstills of %v: %s still ran %v after SIGTERM", lost, i.name, i.w.grace)
		} else {
			i.w.violation("%s still ran %v after SIGTERM at %.3f s; it stood still for %v when it was to handle it or to exit", i.name, i.w.grace, i.w.seconds(p.from), lost)
		}
	}
}

// describeStandstills returns when this process and the instances did not run.
func (w *world) describeStandstills() string {
	var out strings.Builder
	describe := func(name string, list []period) {
		sum := covered(list, w.started, time.Now())
		fmt.Fprintf(&out, "%s stood still %d times, for %v", name, len(list), sum.Round(time.Millisecond))
		for _, p := range list {
			fmt.Fprintf(&out, " %.3f-%.3f", w.seconds(p.from), w.seconds(p.to))
		}
		out.WriteString("\n")
	}
	describe("the soak", w.own.within(w.started, time.Now()))
	for _, i := range w.instances {
		describe(i.name, i.standstills.within(w.started, time.Now()))
	}
	return out.String()
}

// Guards against checks that are relaxed without a standstill: by the log of a process that was busy or late for a shorter time, or by
// other lines.
func TestLoggedStandstills(t *testing.T) {
	g := NewWithT(t)
	const end = "2026-12-05T12:00:01Z"
	at, err := time.Parse(time.RFC3339, end)
	g.Expect(err).ToNot(HaveOccurred())
	line := func(msg, gap, processor string) string {
		return fmt.Sprintf(`{"time":%q,"level":"INFO","msg":%q,"gap":%q,"processor":%q}`+"\n", end, msg, gap, processor)
	}
	for _, c := range []struct {
		name, log string
		lengths   []time.Duration
	}{
		{"stood still", line("process stood still", "300ms", "10ms"), []time.Duration{300 * time.Millisecond}},
		{"busy", line("process stood still", "300ms", "160ms"), nil},
		{"short", line("process stood still", "99ms", "0s"), nil},
		{"another line", line("control loop late", "600ms", "0s"), nil},
		{"without processor time", line("process stood still", "300ms", ""), nil},
		{"two, the second cut", line("process stood still", "1s", "0s") + line("process stood still", "2s", "0s")[:60], []time.Duration{time.Second}},
	} {
		var want []period
		for _, d := range c.lengths {
			want = append(want, period{at.Add(-d), at})
		}
		g.Expect(loggedStandstills([]byte(c.log))).To(Equal(want), c.name)
	}
}

// Guards against a standstill that excuses more than it has caused, and against one that excuses nothing.
func TestStandstillsExcuse(t *testing.T) {
	const ms = time.Millisecond
	begin := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name                    string
		instance, own           [][2]time.Duration
		overlap, sound, overrun bool // whether they are excused
	}{
		{"none", nil, nil, false, false, false},
		{"of the instance", [][2]time.Duration{{1200 * ms, 1400 * ms}}, nil, true, true, false},
		{"of this process", nil, [][2]time.Duration{{1200 * ms, 1400 * ms}}, true, true, false},
		{"of both", [][2]time.Duration{{1200 * ms, 1290 * ms}}, [][2]time.Duration{{1210 * ms, 1310 * ms}}, true, true, false},
		{"of both at once", [][2]time.Duration{{1200 * ms, 1295 * ms}}, [][2]time.Duration{{1200 * ms, 1295 * ms}}, false, true, false},
		{"short within the overlap", [][2]time.Duration{{900 * ms, 1099 * ms}}, nil, false, true, false},
		{"at SIGTERM", [][2]time.Duration{{900 * ms, 1200 * ms}}, nil, true, true, true},
		{"short at SIGTERM", [][2]time.Duration{{900 * ms, 1120 * ms}}, nil, true, true, false},
		{"at the exit", [][2]time.Duration{{1310 * ms, 1600 * ms}}, nil, true, true, true},
		{"short at the exit", [][2]time.Duration{{1400 * ms, 1600 * ms}}, nil, false, true, false},
		{"short at both", [][2]time.Duration{{900 * ms, 1100 * ms}}, [][2]time.Duration{{1400 * ms, 1600 * ms}}, true, true, true},
		{"before", [][2]time.Duration{{0, 1000 * ms}}, nil, false, false, false},
		{"just after", nil, [][2]time.Duration{{1799 * ms, 5000 * ms}}, false, true, false},
		{"after", [][2]time.Duration{{1800 * ms, 5000 * ms}}, nil, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			at := begin.Add
			i := &instance{name: "i"}
			w := &world{t: t, instances: []*instance{i}, links: []*link{{}, {}}, started: begin, own: &periods{}, grace: 3 * time.Second}
			i.w = w
			for _, p := range c.instance {
				i.standstills.add(period{at(p[0]), at(p[1])})
			}
			for _, p := range c.own {
				w.own.add(period{at(p[0]), at(p[1])})
			}
			o := &outcome{instance: "i", at: at(time.Second), end: at(1500 * ms), deadline: at(5 * time.Second)}
			works := []work{{fake.Span{Start: at(0), End: o.end}, 0}, {fake.Span{Start: o.at, End: o.end}, 1}}
			g.Expect(w.checkOverlap(o, works) == "").To(Equal(c.overlap), "overlap")
			g.Expect(w.checkSound(o, works[:1]) == "").To(Equal(c.sound), "sound")
			i.overruns = []period{{o.at, o.end}}
			i.checkOverruns()
			g.Expect(len(w.violations) == 0).To(Equal(c.overrun), "overrun: %v", w.violations)
		})
	}
}

// Guards against a process that runs beyond its grace period and counts as one that has called exit.
func TestExiting(t *testing.T) {
	g := NewWithT(t)
	g.Expect(exiting(os.Getpid())).To(BeFalse())
	cmd := exec.Command("sleep", "60")
	g.Expect(cmd.Start()).To(Succeed())
	g.Consistently(func() bool { return exiting(cmd.Process.Pid) }, "200ms", "10ms").Should(BeFalse())
	g.Expect(cmd.Process.Kill()).To(Succeed())
	g.Eventually(func() bool { return exiting(cmd.Process.Pid) }, "5s", "1ms").Should(BeTrue())
	g.Expect(cmd.Wait()).To(MatchError("signal: killed"))
	g.Expect(exiting(cmd.Process.Pid)).To(BeFalse())
}

// Guards against recoveries that are given more time than the standstills took, and against endless ones.
func TestRecoveryWithStandstills(t *testing.T) {
	for _, c := range []struct {
		name       string
		standstill time.Duration // that has ended
		ago        time.Duration // the beginning
		recovers   bool          // after the condition has been checked three times
	}{
		{"time is up", 0, recovery, false},
		{"stood still", 20 * time.Second, recovery, true},
		{"time and standstill are up", 20 * time.Second, recovery + 20*time.Second, false},
		{"too long", time.Hour, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g, now := NewWithT(t), time.Now()
			i := &instance{w: &world{t: t, own: &periods{}}}
			i.standstills.add(period{now.Add(-c.standstill), now})
			n := 0
			g.Expect(i.recovers(now.Add(-c.ago), func() bool { n++; return n == 3 })).To(Equal(c.recovers))
		})
	}
}

// Guards against an endpoint that counts as sound although it was late, and against one whose lateness excuses more than that.
func TestLateEndpoint(t *testing.T) {
	const ms = time.Millisecond
	begin := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name    string
		late    time.Duration
		excused bool
	}{
		{"in time", 0, false},
		{"little late", 99 * ms, false},
		{"late, time left", 400 * ms, false},
		{"late", 600 * ms, true},
	} {
		g := NewWithT(t)
		i := &instance{name: "i"}
		w := &world{t: t, instances: []*instance{i}, links: []*link{{}}, started: begin, own: &periods{}}
		i.w = w
		o := &outcome{instance: "i", at: begin, end: begin.Add(2 * time.Second), deadline: begin.Add(1550 * ms), path: "/again/"}
		s := work{fake.Span{Start: begin, End: o.end, Late: c.late, Behaviour: fake.Behaviour{Delay: 500 * ms}}, 0}
		g.Expect(w.checkSound(o, []work{s}) == "").To(Equal(c.excused), c.name)
	}
}

// Guards against a process that did not run and does not say so: then nobody can tell why it was late.
func TestStandstillIsLogged(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := fake.NewStore()
	defer store.Close()
	store.Put("config", "main", fake.Configuration(1, nil))
	ip := network + ".201.1"
	path := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(os.WriteFile(path, []byte(fake.Settings("i", ip, "a", store.Address(), time.Second, 50)), 0o600)).To(Succeed())
	var log bytes.Buffer
	cmd := exec.Command(binary, "gateway", "--settings", path)
	cmd.Stdout = &log
	g.Expect(cmd.Start()).To(Succeed())
	defer cmd.Process.Kill() // fails if it has ended
	i := &instance{ip: ip}
	g.Eventually(i.ready, "5s", "10ms").Should(BeTrue())
	g.Expect(cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	paused := period{from: time.Now()}
	time.Sleep(300 * time.Millisecond)
	paused.to = time.Now()
	g.Expect(cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(cmd.Wait()).To(Succeed())
	const slack = 100 * time.Millisecond // the line is written after the gap was measured
	g.Expect(slices.ContainsFunc(loggedStandstills(log.Bytes()), func(p period) bool {
		return p.from.Before(paused.from.Add(slack)) && p.to.After(paused.to)
	})).To(BeTrue(), "paused from %v to %v:\n%s", paused.from, paused.to, log.String())
}
