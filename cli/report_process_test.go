package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"celeryport/ledger"
	"celeryport/load"
	"celeryport/rpc"
)

// The fleet of TestReportAgainstOthersCounts.
const (
	reportVoters    = 3
	reportInstances = 5
	reportEngines   = 2
	reportRate      = "60"
	reportDuration  = "4s"
	killAtLine      = 3 // the load tool prints a line each second
)

// reportFleet is a complete site of processes on loopback.
type reportFleet struct {
	t       *testing.T
	binary  string
	folder  string
	traffic []string
	control []string
	running map[string]*exec.Cmd
}

func newReportFleet(t *testing.T) *reportFleet {
	t.Helper()
	f := &reportFleet{t: t, folder: t.TempDir(), running: map[string]*exec.Cmd{}}
	f.binary = buildBinary(t, f.folder)
	addresses := freeAddresses(t, 2*reportInstances)
	f.traffic, f.control = addresses[:reportInstances], addresses[reportInstances:]
	f.file("secret.key", operatorSecret)
	t.Setenv(keyVariable, operatorSecret)
	for i := range reportInstances {
		f.file(fmt.Sprintf("%d.ini", i), f.settings(i))
		f.startInstance(i)
	}
	upstream := []string{"--announce", strings.Join(f.traffic, ","), "--upstream-key-file", f.path("secret.key")}
	for i := range reportEngines {
		name := fmt.Sprint("engine-", i)
		f.start(name, append([]string{"standin", "engine", "--name", name, "--time-scale", "50", "--journal", f.path(name)}, upstream...)...)
	}
	f.start("service", append([]string{"standin", "service", "--name", "service-0", "--journal", f.path("service")}, upstream...)...)
	return f
}

func (f *reportFleet) settings(i int) string {
	var voters strings.Builder
	for v := range reportVoters {
		fmt.Fprintf(&voters, "instance-%d = %s\n", v, f.control[v])
	}
	return fmt.Sprintf(`[process]
name = instance-%d
availability_zone = sala-ortigia
voter = %t
data_folder = data-%d
[listen]
address = %s
[control]
address = %s
[voters]
%s[keys]
instance = file:secret.key
operators = file:secret.key
upstreams = file:secret.key
engine = file:secret.key
`, i, i < reportVoters, i, f.traffic[i], f.control[i], voters.String())
}

func (f *reportFleet) path(name string) string { return filepath.Join(f.folder, name) }

func (f *reportFleet) file(name, text string) string {
	f.t.Helper()
	if err := os.WriteFile(f.path(name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return f.path(name)
}

func (f *reportFleet) start(name string, args ...string) {
	f.t.Helper()
	command := exec.Command(f.binary, args...)
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.running[name] = command
	f.t.Cleanup(func() { f.kill(name) })
}

func (f *reportFleet) startInstance(i int) {
	f.t.Helper()
	f.start(fmt.Sprint("instance-", i), "serve", "--settings", f.path(fmt.Sprintf("%d.ini", i)))
}

// kill kills a process before it can copy its counters.
func (f *reportFleet) kill(name string) {
	if command := f.running[name]; command != nil {
		_ = command.Process.Kill()
		_ = command.Wait()
		delete(f.running, name)
	}
}

// load runs the load tool and calls atLine for each line of its progress output.
func (f *reportFleet) load(seed int, atLine func(line int)) load.Report {
	f.t.Helper()
	command := exec.Command(f.binary, "load", "--to", strings.Join(f.traffic, ","), "--keys", "../examples/aretusa/callers.keys",
		"--class", "counter,hold,pattern", "--rate", reportRate, "--duration", reportDuration, "--seed", fmt.Sprint(seed), "--output", "json")
	var out bytes.Buffer
	command.Stdout = &out
	progress, err := command.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	lines := bufio.NewScanner(progress)
	for n := 1; lines.Scan(); n++ {
		atLine(n)
	}
	_ = command.Wait() // the exit code reports lost answers; the report includes them
	var report load.Report
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		f.t.Fatalf("%v: %s", err, out.String())
	}
	return report
}

func (f *reportFleet) report() ledger.Report {
	f.t.Helper()
	code, out, stderr := run("report", "--to", strings.Join(f.control, ","), "--output", "json")
	var report ledger.Report
	if code != ExitDone || json.Unmarshal([]byte(out), &report) != nil {
		f.t.Fatalf("report: exit %d: %s%s", code, out, stderr)
	}
	return report
}

// executed counts the executions that the upstreams' journals record as complete.
func (f *reportFleet) executed() uint64 {
	f.t.Helper()
	var whole uint64
	for _, name := range []string{"engine-0", "engine-1", "service"} {
		file, err := os.Open(f.path(name))
		if err != nil {
			f.t.Fatal(err)
		}
		defer file.Close()
		decoder := json.NewDecoder(file)
		for {
			var line struct{ Ended string }
			if err := decoder.Decode(&line); err == io.EOF {
				break
			} else if err != nil {
				f.t.Fatal(err)
			}
			if line.Ended == "whole" {
				whole++
			}
		}
	}
	return whole
}

// dump fetches the counters of one instance and its copies of those of others.
func (f *reportFleet) dump(i int) *ledger.Dump {
	f.t.Helper()
	o := operator{addresses: f.control[i : i+1], clients: rpc.NewClients(operatorSecret, nil), timeout: processTimeout}
	defer o.clients.Close()
	var answer struct{ Own, Book []byte }
	if err := o.call(f.t.Context(), "ledger-dump", nil, &answer); err != nil {
		f.t.Fatal(err)
	}
	dump, err := ledger.DecodeDump(time.Now(), answer.Own, answer.Book)
	if err != nil {
		f.t.Fatal(err)
	}
	return dump
}

// awaitCopied waits until the first voter has a copy of all counters of an instance.
func (f *reportFleet) awaitCopied(i int) {
	f.t.Helper()
	own := f.dump(i).Account
	if len(own.Series) == 0 {
		f.t.Fatal("the instance has no counters")
	}
	deadline := time.Now().Add(processTimeout)
	for time.Now().Before(deadline) {
		if known := f.dump(0).Store.Incarnations[own.ID]; known != nil && known.Sequence >= own.To {
			return
		}
	}
	f.t.Fatal("the counters were never copied to a voter")
}

// The report is compared with the counts of the load tool and the upstreams. Without
// a failure they must be equal. Then an instance is killed under load, which loses the
// counts of its last seconds: the report must say so, since operators would otherwise
// bill and plan by wrong numbers.
func TestReportAgainstOthersCounts(t *testing.T) {
	f := newReportFleet(t)
	code, _, stderr := run("settings", "apply", "--to", strings.Join(f.control, ","), "--file", "../examples/aretusa/tree.ini",
		"--timeout", "30s", "--wait", "30s")
	if code != ExitDone {
		t.Fatalf("apply: exit %d: %s", code, stderr)
	}
	first := f.load(1, func(int) {})
	report := f.report()
	if got := report.Total; int(got.Received) != first.Tries || int(got.Served) != first.All.Served || got.Served != f.executed() {
		t.Errorf("received %d, tried %d; served %d, seen %d, executed %d",
			got.Received, first.Tries, got.Served, first.All.Served, f.executed())
	}
	if len(report.Unknown)+len(report.MissingVoters) > 0 {
		t.Errorf("unknown counts without a failure: %+v %v", report.Unknown, report.MissingVoters)
	}

	const victim = reportInstances - 1
	f.awaitCopied(victim)
	second := f.load(2, func(line int) {
		if line == killAtLine {
			f.kill(fmt.Sprint("instance-", victim))
		}
	})
	f.compareAfterKill(f.report(), first, second, fmt.Sprint("instance-", victim))
	f.compareAfterRestart(victim)
}

// compareAfterRestart kills all remaining instances and restarts the voters. The
// report must not depend on the state of a running process.
func (f *reportFleet) compareAfterRestart(victim int) {
	f.t.Helper()
	for i := range victim {
		f.awaitCopied(i)
	}
	before := f.report().Total
	for i := range victim {
		f.kill(fmt.Sprint("instance-", i))
	}
	for i := range reportVoters {
		f.startInstance(i)
	}
	after := f.report()
	if after.Total.Received != before.Received || after.Total.Served != before.Served || after.Total.Refused != before.Refused {
		f.t.Errorf("before the restart %+v\nafter %+v", before, after.Total)
	}
	if len(after.Unknown) != reportInstances {
		f.t.Errorf("%d killed instances reported as unknown, want %d", len(after.Unknown), reportInstances)
	}
}

func (f *reportFleet) compareAfterKill(report ledger.Report, first, second load.Report, victim string) {
	f.t.Helper()
	total := report.Total
	served := uint64(first.All.Served + second.All.Served)
	if !total.Balanced() || total.Served > served || int(total.Received) > first.Tries+second.Tries {
		f.t.Errorf("counts exceed those of the callers, or are not balanced: %+v", total)
	}
	if total.Served < uint64(first.All.Served) {
		f.t.Errorf("%d served, fewer than before the kill", total.Served)
	}
	if len(report.Unknown) != 1 || report.Unknown[0].Instance != victim || report.Unknown[0].Since.IsZero() {
		f.t.Errorf("unknown: %+v", report.Unknown)
	}
	f.t.Logf("after the kill: served %d of %d, received %d of %d tries", total.Served, served, total.Received, first.Tries+second.Tries)
}
