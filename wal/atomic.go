package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// WriteFileAtomic replaces the content of a file atomically: it writes and syncs a
// temporary file, renames it and syncs the folder. After a crash the file has
// either the old or the new content, never a part of it. If an error is returned,
// the file may have either content.
func WriteFileAtomic(fs FS, path string, data []byte) error {
	temporary := path + temporarySuffix
	f, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeSynced(f, data); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fs.Rename(temporary, path); err != nil {
		return err
	}
	return fs.SyncFolder(filepath.Dir(path))
}

func writeSynced(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

// WriteChecked writes a file like WriteFileAtomic and adds a checksum that
// ReadChecked verifies.
func WriteChecked(fs FS, path string, data []byte) error {
	framed := appendFrame([]byte(segmentMagic), marker{}, data)
	return WriteFileAtomic(fs, path, framed)
}

// ReadChecked returns the content of a file written by WriteChecked.
func ReadChecked(fs FS, path string) ([]byte, error) {
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		return nil, &DamagedError{path, 0, "no valid header"}
	}
	content, ok := readFrame(data[len(segmentMagic):], marker{})
	if !ok || len(segmentMagic)+frameHead+len(content) != len(data) {
		return nil, &DamagedError{path, int64(len(segmentMagic)), "bad checksum or length"}
	}
	return content, nil
}
