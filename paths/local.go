package paths

import (
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// localErrors are failures to open a connection that are shortages of this process or machine.
var localErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL}

// IsLocal reports whether a connection could not be opened for a shortage of this process or machine,
// for instance of descriptors. That shows nothing about the upstream or the paths to it.
func IsLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(cause error) bool { return errors.Is(err, cause) })
}
