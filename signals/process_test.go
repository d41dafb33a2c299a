package signals

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

const (
	childVariable = "CELERYPORT_SIGNALS_CHILD" // names what a child process writes to
	childFailed   = 7                          // exit code of a child whose write failed as expected
)

// Guards against writes that end the process: beyond the limit of file sizes (SIGXFSZ), or to a
// standard stream without a reader (SIGPIPE). They must fail like other writes.
func TestFailedWritesDoNotEndTheProcess(t *testing.T) {
	switch path := os.Getenv(childVariable); path {
	case "":
	case "pipe":
		Catch()
		exitAfterWrite(t, os.Stdout, syscall.EPIPE)
	default:
		Catch()
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 1, Max: 1}); err != nil {
			t.Fatal(err)
		}
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		exitAfterWrite(t, file, syscall.EFBIG)
	}
	for _, writesTo := range []string{"pipe", filepath.Join(t.TempDir(), "file")} {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		reader.Close()
		child := exec.Command(os.Args[0], "-test.run=^TestFailedWritesDoNotEndTheProcess$")
		child.Env = append(os.Environ(), childVariable+"="+writesTo)
		child.Stdout = writer
		_ = child.Run() // its state says more
		writer.Close()
		if child.ProcessState.ExitCode() != childFailed {
			t.Errorf("write to %s: %v", filepath.Base(writesTo), child.ProcessState)
		}
	}
}

// exitAfterWrite ends the child process with childFailed if a write fails as wanted.
func exitAfterWrite(t *testing.T, file *os.File, want error) {
	if _, err := file.WriteString("line\n"); !errors.Is(err, want) {
		t.Fatalf("write: %v, want %v", err, want)
	}
	os.Exit(childFailed)
}
