// Package process runs a deployment of operating system processes on loopback for tests: one process for each instance
// and each fake.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/internal/fake/fleet"
	"monsoondale/io/instancelist"
	"monsoondale/wire/platform"
)

// Region is the region of every process of a deployment.
const Region = "test"

// Options describes a deployment. The default is one data centre without instances, engines or services.
type Options struct {
	Binary       string // path of the monsoondale executable
	Dir          string // directory of settings files and logs
	Centres      int
	Instances    int
	Engines      int
	Services     int
	EngineFlags  []string // additional flags of the engines
	ServiceFlags []string // additional flags of the services
	ListLag      time.Duration
}

// Process is the process of an instance or a fake. Addresses are host:port.
type Process struct {
	Name         string
	Addr         string // of a fake
	CallerAddr   string // of an instance
	OperatorAddr string
	PeerAddr     string
	cmd          *exec.Cmd
	done         chan struct{}
}

// Deployment is a running deployment.
type Deployment struct {
	Objects, InstanceList *Process
	Instances             []*Process
	Engines               []*Process
	Services              []*Process
	OperatorKey           string
	Registry              *instancelist.Client

	opts Options
}

// Start starts the deployment. The caller must call Stop, also after an error.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{opts: o, OperatorKey: core.NewID()}
	o.Centres = max(1, o.Centres)
	d.opts = o
	var err error
	if d.Objects, err = d.startStandin("objectapi"); err != nil {
		return d, err
	}
	if d.InstanceList, err = d.startStandin("instancelist", "--lag", o.ListLag.String()); err != nil {
		return d, err
	}
	d.Registry = instancelist.New("http://"+d.InstanceList.Addr, 0, nil)
	for n := range o.Engines {
		p, err := d.startEndpoint(ctx, n, platform.InstanceRoleEngine, "drafting", "engine", o.EngineFlags)
		if err != nil {
			return d, err
		}
		d.Engines = append(d.Engines, p)
	}
	for n := range o.Services {
		p, err := d.startEndpoint(ctx, n, platform.InstanceRoleService, "orders", "service", o.ServiceFlags)
		if err != nil {
			return d, err
		}
		d.Services = append(d.Services, p)
	}
	for range o.Instances {
		if _, err := d.Launch(ctx); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Launch starts another instance and adds it to the instance list.
func (d *Deployment) Launch(ctx context.Context) (*Process, error) {
	n := len(d.Instances)
	name := fmt.Sprint("entry-", n)
	settings := map[string]any{
		"name": name, "region": Region, "centre": d.centre(n),
		"listen":   map[string]string{"caller": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0"},
		"platform": map[string]string{"objects": "http://" + d.Objects.Addr, "instances": "http://" + d.InstanceList.Addr},
		"keys":     map[string]any{"operator": map[string]string{"test": fleet.HashKey(d.OperatorKey)}},
	}
	body, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(d.opts.Dir, name+".json")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	p, err := d.startProcess(name, "serve", "--settings", file)
	if err != nil {
		return nil, err
	}
	d.Instances = append(d.Instances, p)
	return p, d.register(ctx, p, platform.InstanceRoleEntry, "", d.centre(n), p.PeerAddr)
}

func (d *Deployment) centre(n int) string { return fmt.Sprint(Region, "-", n%d.opts.Centres) }

func (d *Deployment) startEndpoint(ctx context.Context, n int, role platform.InstanceRole, pool, kind string, flags []string) (*Process, error) {
	name := fmt.Sprint(kind, "-", n)
	p, err := d.startStandin(kind, append([]string{"--name", name}, flags...)...)
	if err != nil {
		return nil, err
	}
	p.Name = name
	return p, d.register(ctx, p, role, pool, d.centre(n), p.Addr)
}

func (d *Deployment) register(ctx context.Context, p *Process, role platform.InstanceRole, pool, centre, addr string) error {
	return d.Registry.Register(ctx, platform.Instance{
		Name: p.Name, Role: role, Region: Region, Centre: centre, Address: addr, Pool: pool, State: platform.InstanceStateLive,
	})
}

func (d *Deployment) startStandin(kind string, flags ...string) (*Process, error) {
	return d.startProcess(kind, append([]string{"standin", kind}, flags...)...)
}

// startProcess starts a process and waits until it prints its addresses as a line of JSON.
func (d *Deployment) startProcess(name string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(d.opts.Binary, args...), done: make(chan struct{})}
	log, err := os.Create(filepath.Join(d.opts.Dir, fmt.Sprintf("%s-%s.log", name, core.NewID()[:6])))
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	defer log.Close()
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	output := bufio.NewReader(out)
	line, err := output.ReadString('\n')
	go func() {
		io.Copy(io.Discard, output)
		p.cmd.Wait()
		close(p.done)
	}()
	if err != nil {
		return nil, errors.Wrapf(err, "%s exited before it printed its addresses; see its log", name)
	}
	var addrs struct{ Address, Caller, Operator, Peer string }
	if err := json.Unmarshal([]byte(line), &addrs); err != nil {
		return nil, errors.Wrapf(err, "%s: cannot parse addresses %s", name, line)
	}
	p.Addr, p.CallerAddr, p.OperatorAddr, p.PeerAddr = addrs.Address, addrs.Caller, addrs.Operator, addrs.Peer
	return p, nil
}

// Dir returns the directory of the settings files and logs.
func (d *Deployment) Dir() string { return d.opts.Dir }

// Log returns the concatenated logs of all processes with the name.
func (d *Deployment) Log(name string) string {
	files, _ := filepath.Glob(filepath.Join(d.opts.Dir, name+"-*.log"))
	var out strings.Builder
	for _, f := range files {
		b, _ := os.ReadFile(f)
		out.Write(b)
	}
	return out.String()
}

// Kill sends SIGKILL.
func (p *Process) Kill() { p.signal(syscall.SIGKILL) }

// Freeze suspends the process until Unfreeze.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Unfreeze resumes a suspended process.
func (p *Process) Unfreeze() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Stop kills all processes and waits until they have exited.
func (d *Deployment) Stop() {
	all := append([]*Process{d.Objects, d.InstanceList}, d.Instances...)
	all = append(append(all, d.Engines...), d.Services...)
	for _, p := range all {
		if p != nil {
			p.Kill()
		}
	}
	for _, p := range all {
		if p != nil {
			<-p.done
		}
	}
}
