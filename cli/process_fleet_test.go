package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const (
	processTimeout = 60 * time.Second
	processPoll    = 50 * time.Millisecond
	instanceKey    = "process-instance-key"
	operatorSecret = "process-operator-key"
)

// processFleet is a set of celeryport processes on loopback. The first instances
// are voters.
type processFleet struct {
	t         *testing.T
	binary    string
	folder    string
	data      string   // folder of the data of the voters
	control   []string // control addresses of the instances
	traffic   []string
	processes []*exec.Cmd // the instances, nil: not running
}

// run executes the binary and returns its combined output and exit code.
func (f *processFleet) run(args ...string) (string, int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), processTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, f.binary, args...)
	command.Env = append(os.Environ(), keyVariable+"="+operatorSecret)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	if command.ProcessState == nil {
		f.t.Fatal(err)
	}
	return out.String(), command.ProcessState.ExitCode()
}

func (f *processFleet) file(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// start starts process i and kills it at the end of the test.
func (f *processFleet) start(i int) {
	f.t.Helper()
	command := exec.Command(f.binary, "serve", "--settings", filepath.Join(f.folder, fmt.Sprintf("v%d.ini", i)))
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[i] = command
	f.t.Cleanup(func() { f.kill(i) })
}

// kill kills process i without a graceful shutdown.
func (f *processFleet) kill(i int) {
	if f.processes[i] == nil {
		return
	}
	_ = f.processes[i].Process.Kill()
	_ = f.processes[i].Wait()
	f.processes[i] = nil
}

// startProcessFleet builds the binary and starts voters and other instances.
func startProcessFleet(t *testing.T, voters, others int) *processFleet {
	t.Helper()
	return startProcessFleetIn(t, t.TempDir(), voters, others)
}

// startProcessFleetIn starts a fleet whose voters keep their data in a folder.
func startProcessFleetIn(t *testing.T, data string, voters, others int) *processFleet {
	t.Helper()
	count := voters + others
	f := &processFleet{t: t, folder: t.TempDir(), data: data, processes: make([]*exec.Cmd, count)}
	f.binary = buildBinary(t, f.folder)
	addresses := freeAddresses(t, 2*count)
	f.control, f.traffic = addresses[:count], addresses[count:]
	group := ""
	for i := range voters {
		group += fmt.Sprintf("v%d = %s\n", i, f.control[i])
	}
	f.file("instance.key", instanceKey)
	f.file("operator.key", operatorSecret)
	for i := range count {
		f.file(fmt.Sprintf("v%d.ini", i), f.process(i, i < voters, group))
		f.start(i)
	}
	return f
}

// process returns the process settings of instance i.
func (f *processFleet) process(i int, voter bool, group string) string {
	disk := ""
	if voter {
		disk = fmt.Sprintf("voter = true\ndata_folder = %s\n", filepath.Join(f.data, fmt.Sprintf("data%d", i)))
	}
	return fmt.Sprintf(`[process]
name = v%d
availability_zone = waco-hall
region = central-tx
%s[listen]
address = %s
[control]
address = %s
[voters]
%s[keys]
instance = file:instance.key
operators = file:operator.key
upstreams = file:instance.key
engine = file:instance.key
`, i, disk, f.traffic[i], f.control[i], group)
}

// background starts a command of the binary and kills it at the end of the test.
func (f *processFleet) background(args ...string) *exec.Cmd {
	f.t.Helper()
	command := exec.Command(f.binary, args...)
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// await polls until the condition holds.
func (f *processFleet) await(what string, condition func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), processTimeout)
	defer cancel()
	ticker := time.NewTicker(processPoll)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("timeout waiting for: %s", what)
		case <-ticker.C:
		}
	}
}
