package wal

import (
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// transientErrors are failures of the operating system that may pass without a change of the
// settings or of the folder: a disk that is full, faulty or not yet mounted for writing, and
// resources that other processes or connections use at present.
var transientErrors = []error{
	unix.ENOSPC, unix.EDQUOT, unix.EIO, unix.EROFS, unix.ENXIO, unix.ENODEV, unix.ESTALE, unix.ETIMEDOUT,
	unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.EAGAIN, unix.EBUSY, unix.EINTR,
}

// MayPass reports whether a folder that could not be opened or written with err may work later
// without anyone changing it: the disk is full or fails, or another process still uses the
// folder. It is false for damaged content, a path that is no folder, and missing permission.
func MayPass(err error) bool {
	var damaged *DamagedError
	if errors.As(err, &damaged) {
		return false
	}
	var locked *LockedError
	if errors.As(err, &locked) {
		return true
	}
	return slices.ContainsFunc(transientErrors, func(cause error) bool { return errors.Is(err, cause) })
}
