package instance

import (
	"os"
	"path/filepath"
	"testing"
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
