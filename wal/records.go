package wal

import (
	"crypto/rand"
	"io"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"celeryport/event"
)

// lockFile is the name of the file that a process locks while it uses the folder.
const lockFile = "lock"

// DefaultSegmentBytes is the size at which a new segment file is started.
const DefaultSegmentBytes = 16 << 20

// Options configure a record log.
type Options struct {
	Logger       logrus.FieldLogger // required
	Random       io.Reader          // defaults to crypto/rand
	SegmentBytes int64              // defaults to DefaultSegmentBytes
}

// Records is a log of opaque records in a separate folder. It is not safe for
// concurrent use.
type Records struct {
	folder  string
	fs      FS
	options Options
	lock    io.Closer
	current segment
	marker  marker
	file    File
	size    int64 // size of the current file
	total   int64 // total size of all files
	failed  *FailedError
}

// OpenRecords locks the folder and returns all records appended since the last
// Rewrite, in order. It truncates an incomplete last write and returns a
// DamagedError for any other damage.
func OpenRecords(folder string, fs FS, options Options) (*Records, [][]byte, error) {
	return openRecords(folder, fs, options, func() error { return nil })
}

// openRecords calls check once the folder is locked, before anything in it is changed.
func openRecords(folder string, fs FS, options Options, check func() error) (*Records, [][]byte, error) {
	if options.Random == nil {
		options.Random = rand.Reader
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if err := fs.MakeFolder(folder); err != nil {
		return nil, nil, errors.Wrap(err, "data folder")
	}
	lock, err := fs.Lock(filepath.Join(folder, lockFile))
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, nil, &LockedError{folder, err}
	}
	if err != nil {
		return nil, nil, errors.Wrap(err, "lock the data folder")
	}
	r := &Records{folder: folder, fs: fs, options: options, lock: lock}
	if err := check(); err != nil {
		return nil, nil, errors.CombineErrors(err, r.Close())
	}
	records, err := r.load()
	if err != nil {
		return nil, nil, errors.CombineErrors(err, r.Close())
	}
	return r, records, nil
}

// Append writes records in one frame and returns once they are synced.
func (r *Records) Append(records ...[]byte) error {
	if r.failed != nil {
		return r.failed
	}
	if r.size >= r.options.SegmentBytes {
		if err := r.startSegment(segment{r.current.number + 1, false}, nil); err != nil {
			return r.fail(err)
		}
	}
	frame := appendFrame(nil, r.marker, joinRecords(records))
	if err := writeSynced(r.file, frame); err != nil {
		return r.fail(err)
	}
	r.size += int64(len(frame))
	r.total += int64(len(frame))
	return nil
}

// Rewrite replaces the whole log with the given records.
func (r *Records) Rewrite(records [][]byte) error {
	if r.failed != nil {
		return r.failed
	}
	if err := r.rewrite(records); err != nil {
		return r.fail(err)
	}
	return nil
}

func (r *Records) rewrite(records [][]byte) error {
	next := segment{r.current.number + 1, true}
	r.total = 0
	if err := r.startSegment(next, records); err != nil {
		return err
	}
	return r.removeBefore(next)
}

// Size returns the total size of the log in bytes, from which its owner decides when
// to rewrite it. It covers all files and decreases only with Rewrite.
func (r *Records) Size() int64 { return r.total }

// Close closes the log and unlocks the folder.
func (r *Records) Close() error {
	var err error
	if r.file != nil {
		err = r.file.Close()
	}
	return errors.CombineErrors(err, r.lock.Close())
}

// fail logs the cause of a failure and makes every later call return it.
func (r *Records) fail(cause error) error {
	r.failed = &FailedError{r.folder, cause}
	eventFailed.Log(r.options.Logger, event.Fields{"folder": r.folder, "error": cause.Error()})
	return r.failed
}

// startSegment continues the log in a new file that starts with the given records.
// The file and its name are durable before anything else in it is acknowledged.
func (r *Records) startSegment(s segment, records [][]byte) error {
	var m marker
	if _, err := io.ReadFull(r.options.Random, m[:]); err != nil {
		return err
	}
	data := segmentHeader(m)
	if len(records) > 0 {
		data = appendFrame(data, m, joinRecords(records))
	}
	if err := WriteFileAtomic(r.fs, r.path(s), data); err != nil {
		return err
	}
	r.total += int64(len(data))
	old := r.file
	f, err := r.fs.Append(r.path(s))
	if err != nil {
		return err
	}
	r.file, r.current, r.marker, r.size = f, s, m, int64(len(data))
	if old == nil {
		return nil
	}
	return old.Close()
}

// removeBefore removes the files that a checkpoint replaced. If that fails, the
// remaining files are ignored and removed at the next start.
func (r *Records) removeBefore(keep segment) error {
	names, err := r.fs.ReadFolder(r.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		s, ok := parseSegment(name)
		stale := ok && s.number < keep.number || strings.HasSuffix(name, temporarySuffix)
		if !stale {
			continue
		}
		if err := r.fs.Remove(filepath.Join(r.folder, name)); err != nil {
			return err
		}
	}
	return nil
}

func (r *Records) path(s segment) string { return filepath.Join(r.folder, s.name()) }

func joinRecords(records [][]byte) []byte {
	var content []byte
	for _, record := range records {
		content = appendRecord(content, record)
	}
	return content
}
