package instance

import (
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against a process that does not start, or that takes a wrong size, because the kernel's
// report on the memory is missing, damaged or does not state the total.
func TestUnreadableMachineMemoryCountsAsUnknown(t *testing.T) {
	for text, want := range map[string]int64{
		"MemTotal:         139264 kB\nMemFree: 1 kB\n": 136 << 20,
		"MemFree: 1 kB\n":     0,
		"MemTotal: many kB\n": 0,
		"":                    0,
	} {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "meminfo"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := machineMemory(folder); got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d, %v, want %d", text, got, err, want)
		}
	}
	if got, err := machineMemory(filepath.Join(t.TempDir(), "missing")); got != 0 || err == nil {
		t.Errorf("without files: %d, %v", got, err)
	}
}

// Guards against a process on a small machine that lets its heap double before each collection, and
// against overriding what the operator has set.
func TestGarbageCollectorFollowsTheMachine(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "meminfo"), []byte("MemTotal: 139264 kB\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for set, want := range map[string]int{"": 50, "70": 70} {
		t.Setenv(variableGCPercent, set)
		t.Setenv(variableSoftLimit, set)
		percent, limit := debug.SetGCPercent(70), debug.SetMemoryLimit(-1)
		applyMemoryBounds(folder, log)
		if got := debug.SetGCPercent(percent); got != want {
			t.Errorf("with GOGC=%q the percentage is %d, want %d", set, got, want)
		}
		if got := debug.SetMemoryLimit(limit); (got != limit) != (set == "") {
			t.Errorf("with GOMEMLIMIT=%q the soft limit is %d", set, got)
		}
	}
}
