package wal

import "fmt"

// DamagedError reports a file in which previously synced data can't be read any
// more. The voter must not start with it, because it would no longer know what it
// had confirmed. It must be replaced by a new voter.
type DamagedError struct {
	File   string
	Offset int64
	Detail string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s; restore it or replace this voter", e.File, e.Offset, e.Detail)
}

// LockedError reports a folder that another process uses.
type LockedError struct {
	Folder string
	cause  error
}

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("folder %s is in use by another process: %v", e.Folder, e.cause)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.cause }

// FailedError is returned by the call whose write or sync failed, and by every
// call after it. After a failed sync the kernel may have dropped the unwritten
// pages and may report success the next time, so a retry proves nothing. The
// process must stop and restart from the data on disk.
type FailedError struct {
	Folder string
	cause  error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("folder %s failed and takes no more writes: %v", e.Folder, e.cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.cause }
