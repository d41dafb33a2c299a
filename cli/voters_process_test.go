package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"celeryport/control"
	"celeryport/control/state"
	"celeryport/rpc"
)

// missedChanges is the number of changes while voters are down.
const missedChanges = 500

// settings returns the fleet's settings status.
func (f *processFleet) settings() control.SettingsStatus {
	f.t.Helper()
	var status control.SettingsStatus
	out, code := f.run("settings", "show", "--to", strings.Join(f.control, ","), "--output", "json", "--timeout", "30s")
	if code != ExitDone || json.Unmarshal([]byte(out), &status) != nil {
		f.t.Fatalf("settings show: exit %d: %s", code, out)
	}
	return status
}

// leader returns the index of the leader's process.
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

// apply runs settings apply and returns its result and exit code.
func (f *processFleet) apply(base uint64, id string, weight int) (applyResult, int) {
	f.t.Helper()
	return f.applyFor("30s", base, id, weight)
}

func (f *processFleet) applyFor(timeout string, base uint64, id string, weight int) (applyResult, int) {
	f.t.Helper()
	path := f.file("tree.ini", treeText(weight))
	out, code := f.run("settings", "apply", "--to", strings.Join(f.control, ","), "--file", path,
		"--base", fmt.Sprint(base), "--order-id", id, "--output", "json", "--timeout", timeout)
	var result applyResult
	if start := strings.Index(out, "{"); start >= 0 {
		_ = json.NewDecoder(strings.NewReader(out[start:])).Decode(&result)
	}
	return result, code
}

func treeText(weight int) string {
	return fmt.Sprintf("[organisation.floor]\nweight = %d\n[class.ping]\ndeadline = 5s\n[length.any]\nup_to = 2M\n", weight%1000+1)
}

// applyMany applies count changes from this process, each based on the previous one.
func (f *processFleet) applyMany(base uint64, count int) uint64 {
	f.t.Helper()
	o := operator{addresses: f.control, clients: rpc.NewClients(operatorSecret, nil), timeout: processTimeout}
	defer o.clients.Close()
	for i := range count {
		var outcome state.Outcome
		request := control.ApplyRequest{Base: base, OrderID: fmt.Sprintf("many-%d-%d", base, i), Text: []byte(treeText(i))}
		if err := o.call(f.t.Context(), control.CommandApply, request, &outcome); err != nil {
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
	f.await(fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
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
		return agreed == len(f.processes) && f.settings().InForce == revision
	})
}

func TestVotersAsProcesses(t *testing.T) {
	// The leader is killed twice while operators change the settings; both killed
	// voters restart after 500 changes. Every accepted change must come into force
	// everywhere, and a retried order must return its first outcome.
	f := startProcessFleet(t, 5, 0)
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
	f.loseMajority(last)
}

// loseMajority sends an order without a majority of voters and retries it when they
// are back. Whatever the first attempt returned, the order must be applied once.
func (f *processFleet) loseMajority(base uint64) {
	f.t.Helper()
	for i := range len(f.processes)/2 + 1 {
		f.kill(i)
	}
	if result, code := f.applyFor("3s", base, "lost", 7); code != ExitFailed && code != ExitUnknown {
		f.t.Fatalf("order without a majority: exit %d, %+v", code, result)
	}
	for i := range len(f.processes)/2 + 1 {
		f.start(i)
	}
	first, code := f.apply(base, "lost", 7)
	if code != ExitDone || first.Outcome.Revision <= base {
		f.t.Fatalf("order sent again: exit %d, %+v", code, first)
	}
	if again, code := f.apply(base, "lost", 7); code != ExitDone || again.Outcome != first.Outcome {
		f.t.Fatalf("order sent a third time: exit %d, %+v, first %+v", code, again, first)
	}
	f.awaitAgreement(first.Outcome.Revision)
	if _, code := f.run("settings", "apply", "--to", f.control[0], "--file", f.file("faulty.ini", "[novel]\n")); code != ExitUsage {
		f.t.Fatalf("faulty tree: exit %d", code)
	}
}
