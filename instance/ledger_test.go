package instance

import (
	"context"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus/hooks/test"

	"celeryport/settings"
	"celeryport/wal"
)

// failingFolders is a file system that fails to create a folder the first times.
type failingFolders struct {
	wal.OS
	failures []error
	after    func() // called when the last failure was returned
}

func (f *failingFolders) MakeFolder(folder string) error {
	if len(f.failures) == 0 {
		return f.OS.MakeFolder(folder)
	}
	err := f.failures[0]
	if f.failures = f.failures[1:]; len(f.failures) == 0 && f.after != nil {
		f.after()
	}
	return err
}

// Guards against a voter that ends at its start because the disk of its ledger is full for a moment,
// and against a wait for it that SIGTERM does not end.
func TestLedgerWaitsForItsFolder(t *testing.T) {
	log, _ := test.NewNullLogger()
	options := &Options{Process: &settings.Process{Voter: true, DataFolder: t.TempDir()}, Log: log}
	parts, err := openLedger(t.Context(), options, &failingFolders{failures: []error{syscall.ENOSPC}})
	if err != nil {
		t.Fatal(err)
	}
	if err := parts.close(); err != nil {
		t.Error(err)
	}
	if _, err := openLedger(t.Context(), options, &failingFolders{failures: []error{syscall.ENOTDIR}}); !errors.Is(err, syscall.ENOTDIR) {
		t.Errorf("a path that is no folder: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	disk := &failingFolders{failures: []error{syscall.EIO}, after: cancel}
	if _, err := openLedger(ctx, options, disk); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped while waiting: %v", err)
	}
}
