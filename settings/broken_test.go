package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// brokenFiles lists the expected faults of each file under testdata/broken:
// section, key and a part of the problem text.
var brokenFiles = map[string][][3]string{
	"unknown-key":           {{"organisation.atelier", "wieght", "unknown key"}},
	"unknown-section":       {{"organization.atelier", "", "unknown section"}},
	"bad-duration":          {{"class.counter", "deadline", `"30 seconds"`}},
	"size-without-unit":     {{"fleet", "body_limit", `"64"`}},
	"fraction-out-of-range": {{"class.counter", "in_time_goal", `"99.9"`}},
	"not-a-number":          {{"organisation.atelier", "weight", `"NaN"`}},
	"missing-parent":        {{"organisation.atelier.siracusa.ortigia", "", "[organisation.atelier.siracusa] is missing"}},
	"duplicate-section":     {{"organisation.atelier", "", "given twice"}},
	"duplicate-key":         {{"organisation.atelier", "weight", "given twice"}},
	"rule-selector":         {{"rule.night", "organisation", "selector matches nothing"}},
	"shared-caller-key":     {{"organisation.archivio", "key_sha256", "already that of organisation atelier"}},
	"plain-caller-key":      {{"organisation.atelier", "key_sha256", "does not fit"}},
	"no-length":             {{"length", "", "no length class covers"}},
	"length-too-small":      {{"organisation.atelier", "prompt_tokens", "no length class covers"}},
	"class-not-there":       {{"organisation.atelier", "classes", `no class "ledger"`}},
	"short-stream-silence":  {{"fleet", "connection_idle", "unknown key"}, {"fleet", "stream_silence", `"1s"`}},
	"outside-a-section":     {{"DEFAULT", "", "unknown section"}},
	"not-ini":               {{"", "", "not an INI file"}},
	"empty":                 {{"organisation", "", "no organisation"}, {"class", "", "no class"}, {"length", "", "no length"}},
	"several":               {{"organisation.atelier", "weight", `"0"`}, {"organisation.atelier", "admit", `"yes"`}, {"class.counter", "priority", `"high"`}},

	"process-voter-without-folder": {{"process", "data_folder", "needs a data folder"}},
	"process-bad-address":          {{"listen", "address", `"127.0.0.1"`}},
	"process-bad-ports":            {{"listen", "readiness", `"127.0.0.1:0"`}, {"listen", "metrics", `"127.0.0.1:65536"`}, {"voters", "one", `"127.0.0.1:0"`}},
	"process-same-addresses": {
		{"listen", "directory", "same address as readiness in [listen]"},
		{"listen", "metrics", "same address as readiness in [listen]"},
		{"control", "address", "same address as address in [listen]"},
	},
	"process-even-voters":      {{"voters", "", "even number"}},
	"process-short-key":        {{"keys", "operators", "does not fit"}},
	"process-missing-key-file": {{"keys", "instance", "can't be read"}},
	"process-missing-section":  {{"listen", "address", "missing"}, {"control", "address", "missing"}},
	"process-raw-quotes":       {{"keys", "instance", "begins with `"}},
	"process-unknown-key":      {{"process", "availability_zoen", "unknown key"}},
	"process-bad-shares":       {{"limits", "organisation_shares", `"yes"`}},
}

// Guards against a check that stops at the first fault, or omits the position or
// the allowed values, and against faults that repeat a secret.
func TestBrokenFilesReportAllFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.ini")
	if err != nil || len(files) != len(brokenFiles) {
		t.Fatalf("%d files, %d expected, %v", len(files), len(brokenFiles), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".ini")
		t.Run(name, func(t *testing.T) {
			compareFaults(t, checkBroken(t, file), brokenFiles[name])
		})
	}
}

func checkBroken(t *testing.T, file string) Faults {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	kind, err := Check(file, text)
	if isProcess := strings.Contains(file, "process-"); isProcess != (kind == KindProcess) {
		t.Errorf("detected as a %s file", kind)
	}
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("no faults: %v", err)
	}
	for _, secret := range []string{"geheim", "this-is-a-plain-secret-key"} {
		if strings.Contains(faults.Error(), secret) {
			t.Errorf("fault contains a secret: %v", faults)
		}
	}
	return faults
}

func compareFaults(t *testing.T, got Faults, want [][3]string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d faults instead of %d:\n%v", len(got), len(want), got)
	}
	for i, w := range want {
		g := got[i]
		if g.Section != w[0] || g.Key != w[1] || !strings.Contains(g.Problem, w[2]) || g.Allowed == "" || g.File == "" {
			t.Errorf("got %+v, want %v", g, w)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Check(file, text); err != nil {
			t.Error(err)
		}
	}
}

func TestCallersKeysOfTheExamplesBelongToTheirOrganisations(t *testing.T) {
	for _, deployment := range []string{"aretusa", "brazos"} {
		folder := filepath.Join("..", "examples", deployment)
		text, _ := os.ReadFile(filepath.Join(folder, "tree.ini"))
		tree, err := ParseTree("tree.ini", text)
		if err != nil {
			t.Fatal(err)
		}
		keys, _ := os.ReadFile(filepath.Join(folder, "callers.keys"))
		lines := strings.Fields(string(keys))
		if len(lines) != len(tree.Organisations) {
			t.Errorf("%s: %d keys for %d organisations", deployment, len(lines), len(tree.Organisations))
		}
		for _, line := range lines {
			organisation, key, _ := strings.Cut(line, "=")
			if got, ok := tree.Authenticate(key); !ok || got != organisation {
				t.Errorf("%s: the key of %s authenticates as %q", deployment, organisation, got)
			}
		}
	}
}
