package cli

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"celeryport/logsink"
)

// Guards against a file of settings that can't be read without a word, and against changes that
// seem to be in force but need a restart.
func TestSettingsWatchTellsWhatIsNotApplied(t *testing.T) {
	var out bytes.Buffer
	initial := reloadedSettings + "127.0.0.1:3\n"
	w := settingsWatch{path: "process.ini", started: []byte(initial), known: []byte(initial), log: logsink.NewLogger(&out, "info")}
	told := func(text string, err error) string {
		out.Reset()
		w.observe([]byte(text), err)
		return out.String()
	}
	if line := told("", os.ErrPermission); !strings.Contains(line, `"event":1164`) || !strings.Contains(line, "permission") {
		t.Errorf("unreadable file: %q", line)
	}
	if line := told("", os.ErrPermission); line != "" {
		t.Errorf("told again: %q", line)
	}
	if line := told(initial, nil); !strings.Contains(line, `"event":1165`) {
		t.Errorf("readable file: %q", line)
	}
	const secret = "another-key-of-the-instances"
	changed := strings.Replace(initial, "shared-by-the-instances-of-this-fleet", secret, 1) + "[limits]\ndrain_timeout = 3s\nread_timeout = 30000ms\n"
	line := told(changed, nil)
	if !strings.Contains(line, `"event":1110`) || !strings.Contains(line, `"event":1163,"keys":["limits.drain_timeout","keys.instance"]`) || strings.Contains(line, secret) {
		t.Errorf("changes that need a restart: %q", line)
	}
	if line := told(initial, nil); !strings.Contains(line, `"event":1163,"keys":null`) {
		t.Errorf("changes taken back: %q", line)
	}
	if line := told(strings.Replace(initial, ":3\n", ":4\n", 1), nil); !strings.Contains(line, `"event":1110`) || strings.Contains(line, `"event":1163`) {
		t.Errorf("change of the voters: %q", line)
	}
}
