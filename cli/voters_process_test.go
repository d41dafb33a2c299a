package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"celeryport/control"
	"celeryport/control/state"
	"celeryport/rpc"
)

// The fleet of TestVotersAsProcesses.
const (
	processVoters  = 5
	missedChanges  = 500
	processTimeout = 60 * time.Second
	instanceKey    = "process-instance-key"
	operatorSecret = "process-operator-key"
)

// processFleet is a set of real processes of the product on loopback.
type processFleet struct {
	t         *testing.T
	binary    string
	folder    string
	control   []string
	processes []*exec.Cmd
}

// run executes the binary and returns its output and exit code.
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

// start begins process i and ends it with the test.
func (f *processFleet) start(i int) {
	f.t.Helper()
	command := exec.Command(f.binary, "serve", "--settings", filepath.Join(f.folder, fmt.Sprintf("v%d.ini", i)))
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[i] = command
	f.t.Cleanup(func() { f.kill(i) })
}

// kill ends process i at once, without a chance to say goodbye.
func (f *processFleet) kill(i int) {
	if f.processes[i] == nil {
		return
	}
	_ = f.processes[i].Process.Kill()
	_ = f.processes[i].Wait()
	f.processes[i] = nil
}

func startProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	f := &processFleet{t: t, folder: t.TempDir(), processes: make([]*exec.Cmd, processVoters)}
	f.binary = filepath.Join(f.folder, "celeryport")
	if out, err := exec.Command("go", "build", "-o", f.binary, "celeryport/cmd/celeryport").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var ports bytes.Buffer
	if err := printFreeAddresses(&ports, 2*processVoters); err != nil {
		t.Fatal(err)
	}
	addresses := strings.Fields(ports.String())
	f.control = addresses[:processVoters]
	voters := ""
	for i, address := range f.control {
		voters += fmt.Sprintf("v%d = %s\n", i, address)
	}
	f.file("instance.key", instanceKey)
	f.file("operator.key", operatorSecret)
	for i := range processVoters {
		f.file(fmt.Sprintf("v%d.ini", i), fmt.Sprintf(`[process]
name = v%d
availability_zone = waco-hall
region = central-tx
voter = true
data_folder = %s
[listen]
address = %s
[control]
address = %s
[voters]
%s[keys]
instance = file:instance.key
operators = file:operator.key
upstreams = file:instance.key
engine = file:instance.key
`, i, filepath.Join(f.folder, fmt.Sprintf("data%d", i)), addresses[processVoters+i], f.control[i], voters))
	}
	for i := range processVoters {
		f.start(i)
	}
	return f
}

// settings returns what the fleet says of its settings.
func (f *processFleet) settings() control.SettingsStatus {
	f.t.Helper()
	var status control.SettingsStatus
	out, code := f.run("settings", "show", "--to", strings.Join(f.control, ","), "--output", "json", "--timeout", "30s")
	if code != ExitDone || json.Unmarshal([]byte(out), &status) != nil {
		f.t.Fatalf("settings show: exit %d: %s", code, out)
	}
	return status
}

// leader returns the number of the process that leads.
func (f *processFleet) leader() int {
	f.t.Helper()
	var status control.InstancesStatus
	out, code := f.run("instances", "--to", strings.Join(f.control, ","), "--output", "json", "--timeout", "30s")
	if code != ExitDone || json.Unmarshal([]byte(out), &status) != nil {
		f.t.Fatalf("instances: exit %d: %s", code, out)
	}
	for i, address := range f.control {
		if address == status.Leader {
			return i
		}
	}
	f.t.Fatalf("no leader among %v: %s", f.control, out)
	return 0
}

// apply sends a tree by the command line and returns its exit code.
func (f *processFleet) apply(base uint64, id string, weight int) (applied, int) {
	f.t.Helper()
	path := f.file("tree.ini", treeText(weight))
	out, code := f.run("settings", "apply", "--to", strings.Join(f.control, ","), "--file", path,
		"--base", fmt.Sprint(base), "--order-id", id, "--output", "json", "--timeout", "30s")
	var result applied
	if start := strings.Index(out, "{"); start >= 0 {
		_ = json.NewDecoder(strings.NewReader(out[start:])).Decode(&result)
	}
	return result, code
}

func treeText(weight int) string {
	return fmt.Sprintf("[organisation.floor]\nweight = %d\n[class.ping]\ndeadline = 5s\n[length.any]\nup_to = 2M\n", weight%1000+1)
}

// applyMany sends many changes from this process, each on the one before.
func (f *processFleet) applyMany(base uint64, count int) uint64 {
	f.t.Helper()
	o := operator{addresses: f.control, clients: rpc.NewClients(operatorSecret, nil), timeout: processTimeout}
	defer o.clients.Close()
	for i := range count {
		var outcome state.Outcome
		request := control.ApplyRequest{Base: base, OrderID: fmt.Sprintf("many-%d-%d", base, i), Text: []byte(treeText(i))}
		if err := o.ask(f.t.Context(), control.CommandApply, request, &outcome); err != nil {
			f.t.Fatalf("change %d: %v", i, err)
		}
		if outcome.Kind != state.Accepted {
			f.t.Fatalf("change %d: %+v", i, outcome)
		}
		base = outcome.Revision
	}
	return base
}

// awaitAgreement waits until every running process has confirmed the revision.
func (f *processFleet) awaitAgreement(revision uint64) {
	f.t.Helper()
	deadline := time.Now().Add(processTimeout)
	for time.Now().Before(deadline) {
		var status control.InstancesStatus
		out, code := f.run("instances", "--to", strings.Join(f.control, ","), "--output", "json", "--timeout", "30s")
		if code != ExitDone || json.Unmarshal([]byte(out), &status) != nil {
			f.t.Fatalf("instances: exit %d: %s", code, out)
		}
		agreed := 0
		for _, i := range status.Instances {
			if i.Revision == revision && i.State.String() == "live" {
				agreed++
			}
		}
		if agreed == processVoters && f.settings().InForce == revision {
			return
		}
	}
	f.t.Fatalf("revision %d was never in force everywhere", revision)
}

func TestVotersAsProcesses(t *testing.T) {
	// Voters are killed one after the other, the leader each time, while operators
	// change the settings; two come back when 500 changes have gone by. Operators
	// must find every accepted change in force everywhere, and an order whose
	// answer was lost must get its first outcome.
	f := startProcessFleet(t)
	first, code := f.apply(0, "first", 1)
	if code != ExitDone {
		t.Fatalf("first apply: exit %d, %+v", code, first)
	}
	killed := []int{f.leader()}
	f.kill(killed[0])
	second, code := f.apply(first.Outcome.Revision, "second", 2)
	if code != ExitDone {
		t.Fatalf("apply after the first kill: exit %d, %+v", code, second)
	}
	killed = append(killed, f.leader())
	f.kill(killed[1])
	last := f.applyMany(second.Outcome.Revision, missedChanges)
	if resent, code := f.apply(0, "first", 1); code != ExitDone || resent.Outcome != first.Outcome {
		t.Fatalf("resent order: exit %d, %+v, first %+v", code, resent.Outcome, first.Outcome)
	}
	if _, code := f.apply(first.Outcome.Revision, "late", 9); code != ExitConflict {
		t.Fatalf("order on an old base: exit %d", code)
	}
	for _, i := range killed {
		f.start(i)
	}
	f.awaitAgreement(last)
}
