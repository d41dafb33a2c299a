package instance

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"celeryport/bytebudget"
)

// kernelFiles are the folders in which the kernel reports limits.
type kernelFiles struct {
	processes     string // memory of the machine, control groups of this process
	controlGroups string // limits of control groups
}

var defaultKernelFiles = kernelFiles{processes: procfs.DefaultMountPoint, controlGroups: "/sys/fs/cgroup"}

// memoryLimits returns the limits on the memory of this process that can be read, and what
// could not be read.
func (k kernelFiles) memoryLimits(stated int64) ([]bytebudget.Limit, error) {
	machine, failure := machineMemory(k.processes)
	group, err := k.controlGroupMemory()
	failure = errors.CombineErrors(failure, err)
	addressSpace, err := resourceLimit(unix.RLIMIT_AS)
	failure = errors.CombineErrors(failure, err)
	data, err := resourceLimit(unix.RLIMIT_DATA)
	return []bytebudget.Limit{
		{Source: bytebudget.SourceMachine, Bytes: machine},
		{Source: bytebudget.SourceSettings, Bytes: stated},
		{Source: bytebudget.SourceControlGroup, Bytes: group},
		{Source: bytebudget.SourceAddressSpace, Bytes: addressSpace},
		{Source: bytebudget.SourceData, Bytes: data},
	}, errors.CombineErrors(failure, err)
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory(folder string) (int64, error) {
	files, err := procfs.NewFS(folder)
	if err != nil {
		return 0, errors.Wrap(err, "open the files of the kernel")
	}
	info, err := files.Meminfo()
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of the machine")
	}
	if info.MemTotalBytes == nil {
		return 0, errors.New("the kernel does not state the memory of the machine")
	}
	return int64(*info.MemTotalBytes), nil
}

// resourceLimit returns a soft limit of this process, 0 if there is none.
func resourceLimit(resource int) (int64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(resource, &limit); err != nil {
		return 0, errors.Wrap(err, "read a limit of the process")
	}
	if limit.Cur > 1<<62 {
		return 0, nil
	}
	return int64(limit.Cur), nil
}

// Files with the memory limit of a control group, by the version of the interface.
const (
	limitFileV1 = "memory.limit_in_bytes"
	limitFileV2 = "memory.max"
	noLimit     = "max"
)

// controlGroupMemory returns the smallest memory limit of the control group of this process and
// those that contain it, in bytes, 0 if there is none or the process is in no such group.
func (k kernelFiles) controlGroupMemory() (int64, error) {
	files, err := procfs.NewFS(k.processes)
	if err != nil {
		return 0, errors.Wrap(err, "open the files of the kernel")
	}
	self, err := files.Self()
	if err != nil {
		return 0, errors.Wrap(err, "find this process")
	}
	groups, err := self.Cgroups()
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read the control groups of this process")
	}
	var smallest int64
	for _, g := range groups {
		root, file := k.controlGroups, limitFileV2
		if slices.Contains(g.Controllers, "memory") {
			root, file = filepath.Join(root, "memory"), limitFileV1
		} else if g.HierarchyID != 0 {
			continue
		}
		limit, err := groupLimit(root, g.Path, file)
		if err != nil {
			return smallest, err
		}
		if limit > 0 && (smallest == 0 || limit < smallest) {
			smallest = limit
		}
	}
	return smallest, nil
}

// groupLimit returns the smallest limit of a group and those that contain it. A container sees
// its own group at the root, while its path may be that of the host: folders that are missing
// are passed over.
func groupLimit(root, group, file string) (int64, error) {
	var smallest int64
	for at := path.Clean("/" + group); ; at = path.Dir(at) {
		limit, err := readLimit(filepath.Join(root, at, file))
		if err != nil {
			return smallest, err
		}
		if limit > 0 && (smallest == 0 || limit < smallest) {
			smallest = limit
		}
		if at == "/" {
			return smallest, nil
		}
	}
}

func readLimit(file string) (int64, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read the limit of a control group")
	}
	value := strings.TrimSpace(string(text))
	if value == noLimit {
		return 0, nil
	}
	limit, err := strconv.ParseInt(value, 10, 64)
	return limit, errors.Wrap(err, "read the limit of a control group")
}
