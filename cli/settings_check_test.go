package cli

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"
)

func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Run(context.Background(), append([]string{"celeryport"}, args...), &out, &err)
	return code, out.String(), err.String()
}

func TestSettingsCheck(t *testing.T) {
	good, err := filepath.Glob("../examples/*/*.ini")
	if err != nil || len(good) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	const broken = "../settings/testdata/broken/several.ini"
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"good files of both kinds", good, ExitDone, "tree settings are good"},
		{"one broken file among good ones", append([]string{broken}, good...), ExitUsage, `[class.counter] priority: value "high" does not fit`},
		{"as JSON", []string{"--output", "json", broken}, ExitUsage, `"key": "admit"`},
		{"no file", nil, ExitUsage, ""},
		{"a file that is not there", []string{"no-such.ini"}, ExitUsage, "can't be read"},
		{"a wrong flag", []string{"--output", "yaml", broken}, ExitUsage, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := run(append([]string{"settings", "check"}, c.args...)...)
			if code != c.code || !strings.Contains(stdout, c.want) {
				t.Errorf("code %d\n%s%s", code, stdout, stderr)
			}
			if code != ExitDone && stderr == "" {
				t.Error("standard error is empty")
			}
		})
	}
}

func TestHashKeyReadsOneLine(t *testing.T) {
	var out bytes.Buffer
	if err := hashKey(strings.NewReader("example-only-aretusa-bottega-caller-key\nrest"), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "bdcf86b3c02dd089") {
		t.Errorf("%s", out.String())
	}
	if err := hashKey(strings.NewReader("\n"), &out); err == nil {
		t.Error("an empty key was hashed")
	}
}
