package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// binary is the program that the build line of the deploy file makes.
const binary = "target/celeryport"

// zones are those of the deployment.
var zones = []string{"sala-ortigia", "sala-borgata", "sala-neapolis"}

// process is a process that the case started.
type process struct {
	name  string
	zone  string
	host  string
	role  string // front or core; empty for a server
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// fleet is the deployment of one case.
type fleet struct {
	record  *record
	folder  string // temporary
	prefix  string // of the loopback hosts
	cores   []*process
	fronts  []*process
	mu      sync.Mutex
	all     []*process
	version int
	onLine  func(process, line string) // for each line that a server prints
}

// newFleet starts three voters and some fronts and configures them.
func newFleet(ctx context.Context, r *record, fronts int, document func(version int) []byte) (*fleet, error) {
	f, err := startFleet(r, fronts)
	if err != nil {
		return f, err
	}
	return f, f.configure(ctx, document)
}

// startFleet starts three voters and some fronts.
func startFleet(r *record, fronts int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, prefix: freePrefix(), onLine: func(string, string) {}}
	if f.prefix == "" {
		return f, errors.New("no free loopback hosts")
	}
	for i := range 3 {
		f.cores = append(f.cores, &process{name: fmt.Sprint("core-", i), zone: zones[i], host: fmt.Sprint(f.prefix, 10+i), role: "core"})
	}
	for i := range fronts {
		f.fronts = append(f.fronts, &process{name: fmt.Sprint("front-", i), zone: zones[i%len(zones)], host: fmt.Sprint(f.prefix, 20+i), role: "front"})
	}
	for _, p := range append(append([]*process(nil), f.cores...), f.fronts...) {
		if err := f.start(p, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

// freePrefix returns the first three parts of loopback addresses that nothing uses.
func freePrefix() string {
	for n := range 250 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+os.Getpid()%100, (os.Getpid()/100+n)%250)
		if l, err := net.Listen("tcp", prefix+"10:8229"); err == nil {
			_ = l.Close() // it only shows that the host is free
			return prefix
		}
	}
	return ""
}

// settings writes the settings file of a process, with the voters of this moment as seeds, and returns its path.
func (f *fleet) settings(p *process, bootstrap bool) (string, error) {
	folder := filepath.Join(f.folder, p.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	seeds := make([]string, 0, len(f.cores))
	for _, c := range f.cores {
		seeds = append(seeds, c.host+":8229")
	}
	values := map[string]string{
		"node": p.name, "internal_ports.0": "7340", "zone": p.zone, "region": "sicilia-est", "ip": p.host,
		"bootstrap": fmt.Sprint(bootstrap), "data_dir": filepath.Join(folder, "data"), "tolerate.machines": "1",
		"listen.front": p.host + ":8227", "listen.ready": p.host + ":8220", "listen.directory": p.host + ":8225", "listen.control": p.host + ":8229",
		"limits.max_fds": "4100", "limits.memory_mb": "284",
		"bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "104", "bounds.retry_window_s": "10",
	}
	text, err := render(filepath.Join("deploy", p.role+".ini.tmpl"), seeds, values)
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "settings.ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts a process of the deployment with the command of the deploy file.
func (f *fleet) start(p *process, bootstrap bool) error {
	settings, err := f.settings(p, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, p.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	p.cmd = exec.Command(binary, "serve")
	p.cmd.Env = append(os.Environ(), "CELERYPORT_NODE_FILE="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return f.launch(p)
}

// launch starts the command of a process and waits for its end in the background.
func (f *fleet) launch(p *process) error {
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // most processes end by a signal of the case
		close(ended)
	}(p.cmd, p.ended)
	f.mu.Lock()
	f.all = append(f.all, p)
	f.mu.Unlock()
	return nil
}

// startServer starts a stand-in of a server as a process of its own.
func (f *fleet) startServer(name string, flags ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	control := make([]string, 0, len(f.cores))
	for _, c := range f.cores {
		control = append(control, c.host+":8229")
	}
	p := &process{name: name}
	p.cmd = exec.Command(self, append([]string{"server", "-id", name, "-control", strings.Join(control, ",")}, flags...)...)
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.ended = make(chan struct{})
	f.mu.Lock()
	f.all = append(f.all, p)
	f.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			f.onLine(name, lines.Text())
		}
		_ = p.cmd.Wait() // most servers end by a signal of the case
		close(p.ended)
	}()
	return p, nil
}

// stop ends all processes that the case started, and removes its folder.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.all {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) // a temporary folder
	}
}

// configure sends the next configuration until it is acknowledged and all fronts are ready.
func (f *fleet) configure(ctx context.Context, document func(version int) []byte) error {
	f.version++
	text := document(f.version)
	for at := 0; ; at++ {
		status, body, err := call(ctx, http.MethodPost, "http://"+f.cores[at%len(f.cores)].host+":8229"+wire.Paths.Configure, text)
		if err == nil && status == http.StatusOK {
			f.record.log("operator", "version %d acknowledged by %s", f.version, f.cores[at%len(f.cores)].name)
			break
		}
		if err == nil && status >= 400 && status < 500 {
			return fmt.Errorf("the configuration was refused: %d %s", status, body)
		}
		if !pause(ctx, 100*time.Millisecond) {
			return errors.New("no configuration was acknowledged")
		}
	}
	for _, p := range f.fronts {
		for {
			status, _, err := call(ctx, http.MethodGet, "http://"+p.host+":8220"+wire.Paths.Ready, nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if !pause(ctx, 50*time.Millisecond) {
				return errors.New(p.name + " is not ready")
			}
		}
	}
	return nil
}

// call sends a small request and returns the answer; it waits for a second at most.
func call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was read
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// pause waits and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
