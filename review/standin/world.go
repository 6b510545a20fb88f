package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"monsoondale/platform/fake"
)

// settingsVariable names the variable with the path of the settings file, as the deploy file's command needs it.
const settingsVariable = "MONSOONDALE_" + "BOOT"

// world holds a store, gateways as processes, and a record of what was sent, answered and run.
type world struct {
	start    time.Time
	dir      string
	network  string // first three bytes of the gateways' addresses
	store    *fake.Store
	gateways []*instance

	mu     sync.Mutex
	record *os.File
	nextID atomic.Int64
	stop   chan struct{} // closed when no more requests are to be sent
	wg     sync.WaitGroup

	answered map[int]int // number of answers by status; 0 is a broken connection
}

// instance is a gateway process.
type instance struct {
	name, ip string
	store    *link
	cmd      *exec.Cmd
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, record: f, store: fake.NewStore(), stop: make(chan struct{}), answered: map[int]int{}}
	w.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// startGateways starts gateways, each with a link of its own to the store, and waits until they are ready.
func (w *world) startGateways(n int) error {
	for i := 1; i <= n; i++ {
		k, err := openLink(w.store.Address())
		if err != nil {
			return err
		}
		g := &instance{name: fmt.Sprintf("gateway-%d", i), ip: fmt.Sprintf("%s.%d", w.network, i), store: k}
		w.gateways = append(w.gateways, g)
		if err := w.startProcess(g); err != nil {
			return err
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range w.gateways {
			if g.ready() {
				ready++
			}
		}
		if ready == n {
			w.note("%d gateways are ready", n)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways are ready", ready, n)
		}
	}
}

// startProcess starts the process of a gateway. Its log is appended to.
func (w *world) startProcess(g *instance) error {
	settings := filepath.Join(w.dir, g.name+".toml")
	if err := os.WriteFile(settings, []byte(fake.Settings(g.name, g.ip, "a", g.store.address(), 8*time.Second, 50)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("target/monsoondale", "gateway")
	g.cmd.Env = []string{settingsVariable + "=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.dir}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.cmd.Start()
}

// kill ends the process of a gateway, without a chance to prepare for it.
func (g *instance) kill() {
	g.cmd.Process.Kill()
	g.cmd.Wait()
}

// ready asks a gateway's health check.
func (g *instance) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ip + ":8001/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ended reports whether a gateway has ended, although nobody stopped it.
func (g *instance) ended() bool { return g.cmd.Process.Signal(syscall.Signal(0)) != nil }

// sendRequests starts clients that send requests of a route, each to one gateway on a kept connection, one every interval.
func (w *world) sendRequests(clients int, interval time.Duration, path string) {
	for i := range clients {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			c := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
			defer c.CloseIdleConnections()
			g := w.gateways[i%len(w.gateways)]
			time.Sleep(rand.N(interval))
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(interval):
					w.request(c, g, path)
				}
			}
		}()
	}
}

// request sends a request and records its answer.
func (w *world) request(c *http.Client, g *instance, path string) {
	id := fmt.Sprintf("%08x", w.nextID.Add(1))
	sent := time.Now()
	w.note("request %s for %s sent to %s", id, path, g.name)
	resp, err := c.Do(fake.NewRequest(g.ip+":8000", path, id, 5*time.Second))
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	w.mu.Lock()
	w.answered[status]++
	w.mu.Unlock()
	w.note("request %s answered with %d after %v, error %v", id, status, time.Since(sent).Round(time.Millisecond), err)
}

// close ends all processes and removes the temporary files.
func (w *world) close() {
	close(w.stop)
	w.wg.Wait()
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			g.kill()
		}
		g.store.close()
	}
	w.mu.Lock()
	answered := fmt.Sprint(w.answered)
	w.mu.Unlock()
	w.note("answers by status: %s", answered)
	w.store.Close()
	w.record.Close()
	os.RemoveAll(w.dir)
}
