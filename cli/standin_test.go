package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	begunOnE1 = `{"upstream":"e1","request":"r","key":"k","ended":"begun"}` + "\n"
	begunOnE2 = `{"upstream":"e2","request":"r","key":"k","ended":"begun"}` + "\n"
)

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Scripts depend on the exit code. Guards against usage errors that exit like a broken
// guarantee, and the reverse.
func TestStandinAndLoadExitCodes(t *testing.T) {
	first, second := writeFile(t, "j1", begunOnE1), writeFile(t, "j2", begunOnE2)
	empty := writeFile(t, "empty", "\n")
	run := writeFile(t, "run.json", `{"accounts":[{"organisation":"bottega","class":"hold","served":2}]}`)
	agrees := writeFile(t, "agrees.json", `{"rows":[{"organisation":"bottega","class":"hold","received":2,"served":2}]}`)
	differs := writeFile(t, "differs.json", `{"rows":[{"organisation":"bottega","class":"hold","received":3,"served":3}]}`)
	for _, test := range []struct {
		args string
		code int
		says string
	}{
		{"standin engine", ExitUsage, "name"},
		{"standin engine --name e --fencing maybe", ExitUsage, "refuse and ignore"},
		{"standin engine --name e --fault melt", ExitUsage, "melt"},
		{"standin engine --name e --fault slow:x", ExitUsage, "times"},
		{"standin service --name s --upstream-key-file " + empty, ExitUsage, "no key"},
		{"standin service --name s --listen 127.0.0.1:none", ExitFailed, "listen"},
		{"standin executions", ExitUsage, "journals"},
		{"standin executions " + first, ExitDone, "1 keys, 0 doubled"},
		{"standin executions " + first + " " + second, ExitFailed, "k began 2 times: e1, e2"},
		{"load", ExitUsage, "--to and --keys"},
		{"load --to a --keys " + run + " --mix milan", ExitUsage, "milan"},
		{"load --to a --keys " + empty, ExitUsage, "no organisation"},
		{"load compare " + run, ExitUsage, "a run and a report"},
		{"load compare " + run + " " + agrees, ExitDone, "1 accounts agree"},
		{"load compare " + run + " " + differs, ExitFailed, "served reported 3, callers know of 2 to 2"},
	} {
		var out bytes.Buffer
		code := Run(context.Background(), append([]string{"celeryport"}, strings.Fields(test.args)...), &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.says) {
			t.Errorf("%s: exit %d, want %d and output with %q:\n%s", test.args, code, test.code, test.says, out.String())
		}
	}
}
