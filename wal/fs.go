// Package wal keeps records on a disk such that they last once a call has
// returned: checksummed log files, snapshots that are replaced whole, and the
// identity of the voter that owns the data folder.
package wal

import "io"

// FS is the part of a file system that the package uses. Tests replace it to
// bring about full disks, failed syncs and crashes.
type FS interface {
	// Append opens a file for writing at its end and creates it if it is missing.
	Append(name string) (File, error)
	// Create opens an empty file for writing.
	Create(name string) (File, error)
	// ReadFile returns the whole content of a file.
	ReadFile(name string) ([]byte, error)
	// ReadFolder returns the names of the files in a folder, sorted.
	ReadFolder(folder string) ([]string, error)
	// MakeFolder creates a folder and those above it.
	MakeFolder(folder string) error
	// SyncFolder makes created, renamed and removed names last.
	SyncFolder(folder string) error
	// Rename replaces a file by another.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Lock takes the exclusive lock of a file, or fails at once if another
	// process has it. Close releases it.
	Lock(name string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync returns when everything written is on the disk.
	Sync() error
	Close() error
}
