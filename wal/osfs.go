package wal

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Permissions of created files and folders. Access is limited to the owner because
// the state contains answers of organisations.
const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// OS is the file system of the operating system.
type OS struct{}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePermissions)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermissions)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadFolder implements FS.
func (OS) ReadFolder(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// MakeFolder implements FS.
func (OS) MakeFolder(folder string) error { return os.MkdirAll(folder, folderPermissions) }

// SyncFolder implements FS.
func (OS) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Lock implements FS. The lock belongs to the open file, so the kernel releases it
// when the process ends for any reason.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}
