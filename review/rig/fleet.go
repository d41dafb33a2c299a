package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The zones of the deployment. Machine number i of a class stands in zone i % 3.
var zones = []string{"waco-hall", "temple-hall", "killeen-hall"}

// Ports of the machines. They are the same on all of them.
type ports struct{ front, ready, directory, control, internal, metrics, engine int }

// process is one process of the system on a machine of its own, which is a loopback address.
type process struct {
	fleet    *fleet
	name     string
	class    string
	zone     string
	ip       string
	settings string
	data     string
	starts   int
	cmd      *exec.Cmd
	log      *os.File
	mu       sync.Mutex // of cmd
}

// fleet runs the programs of the deploy file.
type fleet struct {
	dir    string // temporary folder
	root   string // repository
	ports  ports
	net    string // first three numbers of the addresses
	cores  []*process
	fronts []*process

	aborted atomic.Bool
}

// newFleet prepares the processes of a small deployment. It finds ports that are free.
func newFleet(root, dir string, cores, fronts int) (*fleet, error) {
	f := &fleet{root: root, dir: dir}
	f.net = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200)
	p, err := freePorts(f.net+".1", 7)
	if err != nil {
		return nil, err
	}
	f.ports = ports{p[0], p[1], p[2], p[3], p[4], p[5], p[6]}
	for i := range cores {
		f.cores = append(f.cores, f.newProcess("core", i, 1+i))
	}
	for i := range fronts {
		f.fronts = append(f.fronts, f.newProcess("front", i, 41+i))
	}
	return f, nil
}

func (f *fleet) newProcess(class string, i, host int) *process {
	name := fmt.Sprintf("%s-%s-%d", class, zones[i%len(zones)], 1+i/len(zones))
	p := &process{fleet: f, name: name, class: class, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", f.net, host)}
	p.settings = filepath.Join(f.dir, name+".ini")
	if class == "core" {
		p.data = filepath.Join(f.dir, name+"-data")
	}
	return p
}

// freePorts returns ports that nothing listens on at any address.
func freePorts(ip string, count int) ([]int, error) {
	var found []int
	for len(found) < count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		if err := l.Close(); err != nil {
			return nil, err
		}
		probe, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		if err := probe.Close(); err != nil {
			return nil, err
		}
		found = append(found, port)
	}
	return found, nil
}

func (f *fleet) all() []*process { return append(append([]*process(nil), f.cores...), f.fronts...) }

// controls returns the control addresses of the machines that serve it.
func (f *fleet) controls() []string {
	var list []string
	for _, p := range f.cores {
		list = append(list, fmt.Sprintf("%s:%d", p.ip, f.ports.control))
	}
	return list
}

func (p *process) readyAddress() string { return fmt.Sprintf("%s:%d", p.ip, p.fleet.ports.ready) }

// render fills in the template of the deploy file for a process.
func (p *process) render() error {
	text, err := os.ReadFile(filepath.Join(p.fleet.root, "deploy", p.class+".ini.tmpl"))
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	s := &p.fleet.ports
	values := map[string]string{
		"node": p.name, "zone": p.zone, "region": "central-tx", "ip": p.ip, "data_dir": p.data,
		"bootstrap": fmt.Sprint(p.starts == 0), "tolerate.machines": "1",
		"listen.front": at(s.front), "listen.ready": at(s.ready), "listen.directory": at(s.directory), "listen.control": at(s.control),
		"internal_ports.0": fmt.Sprint(s.internal), "bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "106",
		"bounds.retry_window_s": "10", "bounds.max_idle_ms": "9000", "limits.memory_mb": "284", "limits.max_fds": "4100",
	}
	out := strings.ReplaceAll(string(text), "7342", fmt.Sprint(s.metrics)) // the internal ports of this run are others
	begin, end := strings.Index(out, "{{#seeds}}\n"), strings.Index(out, "{{/seeds}}\n")
	if begin < 0 || end < 0 {
		return errors.New("the template has no list of seeds")
	}
	var seeds strings.Builder
	for i, seed := range p.fleet.controls() {
		fmt.Fprintf(&seeds, "s%d = %s\n", i, seed)
	}
	out = out[:begin] + seeds.String() + out[end+len("{{/seeds}}\n"):]
	for name, value := range values {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
		out = strings.ReplaceAll(out, "{{#"+name+"}}\n", "")
		out = strings.ReplaceAll(out, "{{/"+name+"}}\n", "")
	}
	if at := strings.Index(out, "{{"); at >= 0 {
		return fmt.Errorf("the template of %s has an unknown placeholder: %.30s", p.class, out[at:])
	}
	return os.WriteFile(p.settings, []byte(out), 0o644)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	if err := p.render(); err != nil {
		return err
	}
	if p.data != "" {
		if err := os.MkdirAll(p.data, 0o755); err != nil {
			return err
		}
	}
	if p.log == nil {
		log, err := os.Create(filepath.Join(p.fleet.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = log
	}
	p.starts++
	p.cmd = exec.Command(filepath.Join(p.fleet.root, "target", "celeryport"), "serve")
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = p.fleet.root, p.log, p.log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir, "CELERYPORT_NODE_FILE=" + p.settings}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.aborted.Load() {
		return errors.New("the run has ended")
	}
	return p.cmd.Start()
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended by itself
	_ = p.cmd.Wait()                          // its state is that of a killed process
	p.cmd = nil
}

func (f *fleet) start() error {
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// abort kills all processes. None is started after it.
func (f *fleet) abort() {
	f.aborted.Store(true)
	for _, p := range f.all() {
		p.mu.Lock()
		if cmd := p.cmd; cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill() // it may have ended
		}
		p.mu.Unlock()
	}
}

func (f *fleet) stop() {
	for _, p := range f.all() {
		p.kill()
		if p.log != nil {
			_ = p.log.Close() // nothing is written any more
		}
	}
}

// killAll kills all processes at the same moment and starts each again after a pause.
func (f *fleet) killAll(pause time.Duration) error {
	for _, p := range f.all() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // waited for below
	}
	for _, p := range f.all() {
		p.kill()
	}
	time.Sleep(pause)
	return f.start()
}
