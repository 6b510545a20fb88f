package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a gateway that SIGHUP ends because it ignores the signal only after packages that take long to be initialized.
func TestHangUpIsIgnoredFirst(t *testing.T) {
	g := NewWithT(t)
	cmd := exec.Command(binary, "gateway", "--help")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := cmd.CombinedOutput()
	g.Expect(err).ToNot(HaveOccurred())
	var packages []string
	for _, m := range regexp.MustCompile(`(?m)^init (\S+) @`).FindAllSubmatch(out, -1) {
		packages = append(packages, string(m[1]))
	}
	at := slices.Index(packages, "monsoondale/common/hangup")
	g.Expect(at).ToNot(Equal(-1))
	for _, later := range []string{"reflect", "net", "net/http", "monsoondale/core", "google.golang.org/grpc"} {
		g.Expect(packages[at:]).To(ContainElement(later))
	}
}

// Guards against a soak that sends SIGHUP to a process that does not handle it yet, however long ago that was started and whatever the
// one before it has logged, or that never sends it.
func TestHangUpOfStartingProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := &world{t: t, dir: t.TempDir()}
	i := &instance{w: w, name: "i", store: openLink(t, "127.0.0.1:1")}
	earlier := fmt.Sprintf("{%s}\n", startingLine)
	g.Expect(os.WriteFile(i.logPath(), []byte(earlier), 0o600)).To(Succeed())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // else the command ignores it if this process does, as under nohup
	defer signal.Stop(hangups)
	cmd := exec.Command("sleep", "60") // SIGHUP ends it
	g.Expect(cmd.Start()).To(Succeed())
	defer cmd.Process.Kill() // fails if it has ended
	i.process = &process{cmd: cmd, started: time.Now().Add(-time.Hour), log: int64(len(earlier)), done: make(chan struct{})}
	g.Expect(i.reload(true)).To(BeFalse())
	g.Expect(os.WriteFile(i.logPath(), []byte(earlier+earlier), 0o600)).To(Succeed())
	g.Expect(i.reload(false)).To(BeFalse())
	g.Expect(cmd.Process.Signal(syscall.Signal(0))).To(Succeed())
	g.Expect(i.reload(true)).To(BeTrue())
	cmd.Wait() // returns an error, as a signal has ended it
	g.Expect(cmd.ProcessState.Sys().(syscall.WaitStatus).Signal()).To(Equal(syscall.SIGHUP))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against excusing a process that ended by itself although its settings were complete in time.
func TestSettingsIncomplete(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name     string
		from, to time.Duration // of the write, after the start
		want     bool
	}{
		{"all the time", -time.Second, 2 * time.Second, true},
		{"complete just before the process gives up", -time.Second, settingsPatience - time.Millisecond, false},
		{"begun after the start", time.Millisecond, time.Second, false},
		{"before the start", -time.Second, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := &instance{}
			i.writes.add(period{start.Add(c.from), start.Add(c.to)})
			NewWithT(t).Expect(i.settingsIncomplete(start)).To(Equal(c.want))
		})
	}
}
