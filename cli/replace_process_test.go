package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"celeryport/control"
)

// operate runs an operator's command and decodes its JSON output.
func (f *processFleet) operate(result any, args ...string) {
	f.t.Helper()
	args = append(args, "--to", strings.Join(f.control, ","), "--output", "json")
	out, code := f.run(args...)
	if code != ExitDone || json.Unmarshal([]byte(out), result) != nil {
		f.t.Fatalf("%v: exit %d: %s", args, code, out)
	}
}

func TestLostDiskIsReplacedByOneCommand(t *testing.T) {
	// A voter loses its disk and is replaced with "voter replace", as documented for
	// operators; then another voter is killed. Accepted settings must survive, and new ones
	// must be accepted.
	t.Parallel()
	f := startProcessFleet(t, 3, 0)
	first, code := f.apply(0, "first", 1)
	if code != ExitDone {
		t.Fatalf("first apply: exit %d", code)
	}
	var before, after control.VotersStatus
	f.operate(&before, "voter", "list")
	f.kill(2)
	if err := os.RemoveAll(filepath.Join(f.data, "data2")); err != nil {
		t.Fatal(err)
	}
	f.start(2)
	old := ""
	for _, v := range before.Voters {
		if v.Address == f.control[2] {
			old = string(v.ID)
		}
	}
	f.operate(&after, "voter", "replace", "--old", old, "--new", "v2")
	for _, v := range after.Voters {
		if v.Learner || string(v.ID) == old || len(after.Voters) != 3 {
			t.Fatalf("after the replacement: %+v", after.Voters)
		}
	}
	f.kill(1)
	if second, code := f.apply(first.Outcome.Revision, "second", 2); code != ExitDone {
		t.Fatalf("apply after the second loss: exit %d, %+v", code, second)
	}
	var orders control.OrdersStatus
	f.operate(&orders, "order", "list")
	var upstreams []control.UpstreamStatus
	f.operate(&upstreams, "upstreams")
	text, code := f.run("settings", "show", "--text", "--to", f.control[0])
	if code != ExitDone || text != treeText(2) {
		t.Fatalf("settings show --text: exit %d: %q, want %q", code, text, treeText(2))
	}
	if orders.Issuer.Fence.Index == 0 {
		t.Fatal(fmt.Sprint("no issuer of engine orders: ", orders))
	}
}
