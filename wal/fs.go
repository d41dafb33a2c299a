// Package wal stores records durably: they survive a crash once a call has
// returned. It provides checksummed log files, snapshots that are replaced
// atomically, and the identity of the voter that owns the data folder.
package wal

import "io"

// FS is the part of a file system that the package uses. Tests replace it to
// simulate full disks, failed syncs and crashes.
type FS interface {
	// Append opens a file for appending and creates it if it does not exist.
	Append(name string) (File, error)
	// Create opens an empty file for writing.
	Create(name string) (File, error)
	// ReadFile returns the whole content of a file.
	ReadFile(name string) ([]byte, error)
	// ReadFolder returns the names of the files in a folder, sorted.
	ReadFolder(folder string) ([]string, error)
	// MakeFolder creates a folder and its parents.
	MakeFolder(folder string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
	// Rename renames a file and replaces any file with the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Lock acquires the exclusive lock of a file, or fails immediately if
	// another process holds it. Close releases it.
	Lock(name string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync returns once everything written is on disk.
	Sync() error
	Close() error
}
