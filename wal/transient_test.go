package wal

import (
	"io/fs"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a process that ends for a condition that passes, and against one that waits
// without end for one that doesn't.
func TestWhichFailuresMayPass(t *testing.T) {
	for _, err := range []error{
		syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
		&LockedError{folder, syscall.EWOULDBLOCK}, &FailedError{folder, syscall.EIO},
		errors.Wrap(&fs.PathError{Op: "open", Path: folder, Err: syscall.ENOSPC}, "data folder"),
		errors.CombineErrors(syscall.EIO, &DamagedError{folder, 0, "close"}),
	} {
		if !MayPass(err) {
			t.Errorf("%v counts as permanent", err)
		}
	}
	for _, err := range []error{
		nil, syscall.EACCES, syscall.EPERM, syscall.ENOTDIR, errors.New("not an incarnation"),
		errors.Wrap(&DamagedError{folder, 0, "bad checksum"}, "open"), &FailedError{folder, syscall.EACCES},
	} {
		if MayPass(err) {
			t.Errorf("%v counts as passing", err)
		}
	}
}

// Guards against descriptors that each failed attempt to open a folder leaves open, and against a
// lock that such an attempt keeps.
func TestFailedOpeningLeavesNothingOpen(t *testing.T) {
	disk := &countingFS{OS: OS{}}
	path := t.TempDir()
	o, _ := options(0)
	for range 3 {
		if _, _, err := Open(path, "ortigia", disk, o); !errors.Is(err, syscall.EIO) {
			t.Fatal(err)
		}
	}
	if disk.open != 0 {
		t.Errorf("%d files are open", disk.open)
	}
}

// countingFS counts the open log files, and fails to list a folder after a log file was opened.
type countingFS struct {
	OS
	open int
}

func (c *countingFS) Append(name string) (File, error) {
	f, err := c.OS.Append(name)
	if err != nil {
		return nil, err
	}
	c.open++
	return countedFile{f, c}, nil
}

func (c *countingFS) ReadFolder(folder string) ([]string, error) {
	if c.open > 0 {
		return nil, syscall.EIO
	}
	return c.OS.ReadFolder(folder)
}

type countedFile struct {
	File
	fs *countingFS
}

func (f countedFile) Close() error {
	f.fs.open--
	return f.File.Close()
}
