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
		applyMemoryBounds(kernelFiles{processes: folder}, 0, log)
		if got := debug.SetGCPercent(percent); got != want {
			t.Errorf("with GOGC=%q the percentage is %d, want %d", set, got, want)
		}
		if got := debug.SetMemoryLimit(limit); (got != limit) != (set == "") {
			t.Errorf("with GOMEMLIMIT=%q the soft limit is %d", set, got)
		}
	}
}

// Guards against a process in a container that follows the memory of the host, and against one that
// does not start because the limit of its control group can't be read.
func TestLimitOfTheControlGroup(t *testing.T) {
	const v1, v2 = "5:cpu:/a\n4:memory:/a/b\n0::/\n", "0::/a/b\n"
	for name, test := range map[string]struct {
		groups string
		files  map[string]string
		want   int64
		fails  bool
	}{
		"version 2":         {v2, map[string]string{"a/b/memory.max": "268435456\n"}, 256 << 20, false},
		"outer group":       {v2, map[string]string{"a/b/memory.max": "max\n", "a/memory.max": "1000\n"}, 1000, false},
		"container":         {v2, map[string]string{"memory.max": "5000\n"}, 5000, false},
		"version 1":         {v1, map[string]string{"memory/a/b/memory.limit_in_bytes": "7000\n"}, 7000, false},
		"none":              {v2, nil, 0, false},
		"not a number":      {v2, map[string]string{"a/b/memory.max": "many\n"}, 0, true},
		"no control groups": {"", map[string]string{"memory.max": "5000\n"}, 0, false},
	} {
		folder := t.TempDir()
		files := kernelFiles{processes: filepath.Join(folder, "proc"), controlGroups: filepath.Join(folder, "groups")}
		write := func(path, text string) {
			if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		write(filepath.Join(files.processes, "7", "cgroup"), test.groups)
		if err := os.Symlink("7", filepath.Join(files.processes, "self")); err != nil {
			t.Fatal(err)
		}
		for path, text := range test.files {
			write(filepath.Join(files.controlGroups, path), text)
		}
		if got, err := files.controlGroupMemory(); got != test.want || (err != nil) != test.fails {
			t.Errorf("%s: %d, %v, want %d", name, got, err, test.want)
		}
	}
}
