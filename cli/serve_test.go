package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"celeryport/signals"
)

// Guards against a start that is refused without a word in the log.
func TestRefusedStartIsLogged(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "process.ini")
	if err := os.WriteFile(faulty, []byte("[process]\nserves = nothing\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(settingsVariable, "")
	for name, arguments := range map[string][]string{
		"faulty settings":  {"--" + flagSettings, faulty},
		"missing settings": {"--" + flagSettings, faulty + ".missing"},
		"no settings":      nil,
		"unknown flag":     {"--unknown"},
	} {
		var out, failures bytes.Buffer
		code := Run(t.Context(), append([]string{"celeryport", signals.InstanceCommand}, arguments...), &out, &failures)
		if code != ExitUsage {
			t.Errorf("%s: exit code %d", name, code)
		}
		if line := out.String(); !strings.Contains(line, `"event":1161`) || !strings.Contains(line, `"level":"error"`) || !strings.Contains(line, `"error":"`) {
			t.Errorf("%s: log %q", name, line)
		}
		if !strings.Contains(failures.String(), "celeryport:") {
			t.Errorf("%s: standard error %q", name, &failures)
		}
	}
}

// stalled is a stream that nobody reads.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against an instance that fails and can't end, since nobody reads its standard streams.
func TestFailedInstanceEndsBesideStalledStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := stalled{release: make(chan struct{})}
		defer close(stream.release)
		if code := Run(t.Context(), []string{"celeryport", signals.InstanceCommand, "--unknown"}, stream, stream); code != ExitUsage {
			t.Errorf("exit code %d", code)
		}
	})
}
