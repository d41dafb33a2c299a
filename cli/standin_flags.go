package cli

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	urfave "github.com/urfave/cli/v3"

	"celeryport/standin"
)

// Flags of the stand-ins.
const (
	flagName            = "name"
	flagZone            = "availability-zone"
	flagListen          = "listen"
	flagAddressFile     = "address-file"
	flagAnnounce        = "announce"
	flagUpstreamKeyFile = "upstream-key-file"
	flagEngineKeyFile   = "engine-key-file"
	flagLeaveWait       = "leave-wait"
	flagJournal         = "journal"
	flagFault           = "fault"
	flagModel           = "model"
	flagService         = "service"
)

func standinFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringFlag{Name: flagName, Usage: "announced name", Required: true},
		&urfave.StringFlag{Name: flagZone, Usage: "announced availability zone"},
		&urfave.StringFlag{Name: flagListen, Usage: "address to listen on; port 0: chosen by the kernel", Value: "127.0.0.1:0"},
		&urfave.StringFlag{Name: flagAddressFile, Usage: "file to write the listening address to"},
		&urfave.StringSliceFlag{Name: flagAnnounce, Usage: "entry instances to announce to"},
		&urfave.StringFlag{Name: flagUpstreamKeyFile, Usage: "file with the key to announce with"},
		&urfave.StringFlag{Name: flagEngineKeyFile, Usage: "file with the key that callers must present; default: no key is required"},
		&urfave.DurationFlag{Name: flagLeaveWait, Usage: "minimum time between announcing the shutdown and the end", Value: standin.DefaultLeaveWait},
		&urfave.StringFlag{Name: flagJournal, Usage: "file to append a JSON line to for each execution and refusal"},
		&urfave.StringSliceFlag{Name: flagFault, Usage: "fault to enable, as NAME[:TIMES[:DELAY]], such as slow:3:500ms"},
	}
}

// standinOptions returns the options from the common flags, and a function that
// closes the journal.
func standinOptions(c *urfave.Command, stderr io.Writer) (standin.Options, func(), error) {
	none := func() {}
	upstreamKey, err := readKey(c.String(flagUpstreamKeyFile))
	if err != nil {
		return standin.Options{}, none, err
	}
	engineKey, err := readKey(c.String(flagEngineKeyFile))
	if err != nil {
		return standin.Options{}, none, err
	}
	options := standin.Options{
		Name:             c.String(flagName),
		AvailabilityZone: c.String(flagZone),
		Key:              engineKey,
		Announce:         c.StringSlice(flagAnnounce),
		UpstreamKey:      upstreamKey,
		LeaveWait:        c.Duration(flagLeaveWait),
		Log:              newStandinLog(stderr),
	}
	journal, err := openJournal(c.String(flagJournal))
	if err != nil {
		return standin.Options{}, none, &ExitError{Code: ExitFailed, Err: err}
	}
	if journal == nil {
		return options, none, nil
	}
	options.Journal = journal
	return options, func() { _ = journal.Close() }, nil
}

// readKey reads a key from the first line of a file; an empty path means no key.
func readKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", &ExitError{Code: ExitUsage, Err: errors.Wrap(err, "read the key")}
	}
	line, _, _ := strings.Cut(string(content), "\n")
	key := strings.TrimSpace(line)
	if key == "" {
		return "", usageError("%s holds no key", path)
	}
	return key, nil
}

// writeAddress writes the address to a temporary file and renames it, so that a
// script that polls the file never reads a partial address.
func writeAddress(path, address string) error {
	if path == "" {
		return nil
	}
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temporary, []byte(address+"\n"), 0o644); err != nil {
		return errors.Wrap(err, "write the address")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the address")
}

// usageError returns an error with exit code ExitUsage.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: errors.Newf(format, args...)}
}
