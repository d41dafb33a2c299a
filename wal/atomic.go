package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// WriteFileAtomic replaces a file whole: it is written beside, synced, renamed,
// and the folder is synced. After a crash the old or the new content is there,
// never a part of one. When it returns an error, either may be there.
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

// WriteChecked is WriteFileAtomic with a checksum that ReadChecked verifies.
func WriteChecked(fs FS, path string, data []byte) error {
	framed := appendFrame([]byte(segmentMagic), marker{}, data)
	return WriteFileAtomic(fs, path, framed)
}

// ReadChecked returns the content that WriteChecked wrote.
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
