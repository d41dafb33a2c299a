package cli

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	stopDrain = 2 * time.Second // drain timeout
	stopMore  = 9 * time.Second // that a stop may take beside it, as docs/SETTINGS.md states
)

// restartWith restarts an instance with more settings and waits until it serves.
func (f *trafficFleet) restartWith(i int, name, more string) {
	f.t.Helper()
	path := filepath.Join(f.folder, name)
	text, err := os.ReadFile(path)
	if err != nil {
		f.t.Fatal(err)
	}
	f.kill(i)
	f.file(name, string(text)+more)
	f.start(i)
	f.await("an answer", func() bool {
		_, err := f.streamCompletion(f.traffic[i], 1)
		return err == nil
	})
}

// Guards against a stop that takes longer than the time that the documents tell process managers to give it, where a voter
// hangs and calls use up the drain timeout.
func TestStopOfACompletionsInstanceTakesNoLongerThanStated(t *testing.T) {
	f := startTrafficFleet(t, 1, 1)
	f.restartWith(1, "v1.ini", "[limits]\ndrain_timeout = "+stopDrain.String()+"\n")
	if _, err := f.streamCompletion(f.traffic[1], 10*repeatedTokens); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	f.signal(0, syscall.SIGSTOP)
	f.signal(1, syscall.SIGTERM)
	ended := f.processes[1].Wait()
	took := time.Since(began)
	f.processes[1] = nil
	t.Logf("stopped %s after SIGTERM: %v", took, ended)
	if took < stopDrain || took > stopDrain+stopMore {
		t.Errorf("stopped %s after SIGTERM", took)
	}
}
