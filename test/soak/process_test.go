package soak_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"monsoondale/platform/fake"
)

// startingLine is in the first line of the log of a process, which handles signals before it writes that, and maxStartingLine the length
// by which it ends.
const (
	startingLine    = `"msg":"starting"`
	maxStartingLine = 4 << 10
)

// instance is one instance of the gateway. Whenever its process ends, another one is started.
type instance struct {
	w        *world
	name, ip string
	store    *link
	harms    periods // kills and pauses
	stops    periods // from SIGTERM to the end of the process
	// standstills are times at which the process, or one of its threads, did not run although it was ready to. Those that its log tells of
	// are known when the seed has been played.
	standstills periods

	writing    sync.Mutex // held while the settings are written: a disk may take long, and must not delay signals
	writes     periods    // in which the settings file may have been incomplete
	retryExtra int        // in the settings; each change of these has another value

	mu         sync.Mutex
	overruns   []period      // from SIGTERM to the end of the grace period, if the process still ran then and had not been paused or killed
	process    *process      // the current one
	startDelay time.Duration // between the end of a process and the start of the next one
	closed     bool          // no more processes are started
}

// process is one process of an instance.
type process struct {
	cmd     *exec.Cmd
	started time.Time
	log     int64         // position of its first line in the log of the instance
	done    chan struct{} // closed when the process has ended

	mu         sync.Mutex
	terminated bool // the soak has ended the process, or is about to
	killed     bool // SIGKILL has been sent, after which the process runs no more, but may take seconds to end
	pauses     int  // number of pauses that are in progress
	lastPaused time.Time
}

func (i *instance) address() string      { return i.ip + ":8000" }
func (i *instance) settingsPath() string { return filepath.Join(i.w.dir, i.name+".toml") }
func (i *instance) logPath() string      { return filepath.Join(i.w.dir, i.name+".log") }

func (i *instance) writeSettings() {
	i.writing.Lock()
	defer i.writing.Unlock()
	defer i.writes.begin()()
	i.retryExtra++
	text := fake.Settings(i.name, i.ip, "a", i.store.address(), i.w.grace, 50+i.retryExtra)
	if err := os.WriteFile(i.settingsPath(), []byte(text), 0o600); err != nil {
		i.w.violation("write settings: %v", err)
	}
}

// settingsPatience is how long a process that starts waits for complete settings; see commands/gateway.go.
const settingsPatience = 500 * time.Millisecond

// settingsIncomplete reports whether the settings were being written for as long as a process that started then waits for them.
func (i *instance) settingsIncomplete(started time.Time) bool {
	end := started.Add(settingsPatience)
	return covered(i.writes.within(started, end), started, end) >= settingsPatience
}

// start starts a process.
func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	log, err := os.OpenFile(i.logPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		i.w.violation("open log: %v", err)
		return
	}
	defer log.Close()
	position, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		i.w.violation("position in log: %v", err)
	}
	cmd := exec.Command(binary, "gateway", "--settings", i.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		i.w.violation("start %s: %v", i.name, err)
		return
	}
	p := &process{cmd: cmd, started: time.Now(), log: position, done: make(chan struct{})}
	i.process = p
	stopWatch := watchThreads(cmd.Process.Pid, i.standstills.add)
	go func() {
		err := cmd.Wait()
		stopWatch()
		p.mu.Lock()
		switch {
		case p.terminated:
		case i.settingsIncomplete(p.started):
			i.w.log("%s ended %v after its start: its settings were still being written", i.name, time.Since(p.started))
		default:
			i.w.violation("%s ended by itself %v after its start: %v", i.name, time.Since(p.started), err)
		}
		p.mu.Unlock()
		close(p.done)
		i.mu.Lock()
		delay := i.startDelay
		i.mu.Unlock()
		time.Sleep(delay)
		i.start()
	}()
}

// current returns the process that runs or was the last to run.
func (i *instance) current() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// signal sends a signal.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terminated = p.terminated || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.killed = p.killed || s == syscall.SIGKILL
	p.cmd.Process.Signal(s) // fails only if the process has ended
}

// reload writes new settings, with or without SIGHUP, and reports whether that was sent. The signal ends processes that have not begun
// to handle it.
func (i *instance) reload(sighup bool) bool {
	i.writeSettings()
	p := i.current()
	sighup = sighup && i.handlesSignals(p)
	if sighup {
		p.signal(syscall.SIGHUP)
	}
	return sighup
}

// handlesSignals reports whether a process has logged that it starts, before which it has begun to handle signals.
func (i *instance) handlesSignals(p *process) bool {
	f, err := os.Open(i.logPath())
	if err != nil {
		return false
	}
	defer f.Close()
	b, err := io.ReadAll(io.NewSectionReader(f, p.log, maxStartingLine))
	return err == nil && bytes.Contains(b, []byte(startingLine))
}

// kill ends the process and has the next one started after a delay.
func (i *instance) kill(startDelay time.Duration) {
	i.mu.Lock()
	i.startDelay = startDelay
	i.mu.Unlock()
	defer i.harms.begin()()
	p := i.current()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process with SIGTERM, as the platform does.
func (i *instance) stop() {
	grace, p := i.w.grace, i.current() // may wait until a process has been started
	defer i.stops.begin()()
	terminated := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if code := p.cmd.ProcessState.ExitCode(); code > 0 {
			if i.settingsIncomplete(p.started) {
				i.w.log("%s ended with exit code %d after SIGTERM: its settings were still being written", i.name, code)
				return
			}
			i.w.violation("%s ended with exit code %d after SIGTERM", i.name, code)
		}
		return
	case <-time.After(grace):
	}
	p.mu.Lock()
	excused := p.pauses > 0 || time.Since(p.lastPaused) <= grace || p.killed
	p.mu.Unlock()
	defer i.harms.begin()()
	exited, states, killed := exiting(p.cmd.Process.Pid), threadStates(p.cmd.Process.Pid), time.Now()
	p.signal(syscall.SIGKILL)
	<-p.done
	if excused {
		return
	}
	i.w.log("%s was killed after its grace period: it had called exit: %t, its threads were in the states %v, and it ended %v after SIGKILL", i.name, exited, states, time.Since(killed))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.overruns = append(i.overruns, period{terminated, killed})
}

// exiting reports whether the first thread of a process has ended, or is being ended by the kernel. Go programs end threads one by one
// only if a goroutine is locked to them, and never the first one.
func exiting(pid int) bool {
	const flagsField, flagExiting = 6, 0x4 // PF_EXITING of Linux
	fields := statFields(fmt.Sprintf("/proc/%d/stat", pid))
	if len(fields) <= flagsField {
		return false
	}
	flags, err := strconv.ParseUint(fields[flagsField], 10, 64)
	return err == nil && flags&flagExiting != 0
}

// threadStates counts the threads of a process by state, a letter of Linux: a thread in state D waits for a disk and cannot be ended.
func threadStates(pid int) map[string]int {
	dir := fmt.Sprintf("/proc/%d/task", pid)
	names, _ := readNames(dir) // the process may have ended
	states := map[string]int{}
	for _, name := range names {
		if fields := statFields(dir + "/" + name + "/stat"); len(fields) > 0 {
			states[fields[0]]++
		}
	}
	return states
}

// statFields returns the fields after the name in what the kernel states of a process or thread, or none if it has ended.
func statFields(path string) []string {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	return strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
}

// pause suspends the process.
func (i *instance) pause(length time.Duration) {
	p := i.current()
	add := func(n int) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pauses += n
		p.lastPaused = time.Now()
		return p.pauses
	}
	defer i.harms.begin()()
	add(1)
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	if add(-1) == 0 {
		p.signal(syscall.SIGCONT)
	}
}

// close ends the process for good.
func (i *instance) close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.kill(0)
}

// ready reports whether the instance passes its health check.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.ip + ":8001/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logEnd returns the last lines of the instance's log.
func (i *instance) logEnd() string {
	const size = 4 << 10
	b, err := os.ReadFile(i.logPath())
	if err != nil {
		return err.Error()
	}
	return string(b[max(len(b)-size, 0):])
}

// logLines returns the lines of all instances that contain a text.
func (w *world) logLines(text string) string {
	var out strings.Builder
	for _, i := range w.instances {
		b, err := os.ReadFile(i.logPath())
		if err != nil {
			fmt.Fprintln(&out, err)
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, text) {
				out.WriteString(i.name + " " + line)
			}
		}
	}
	return out.String()
}
