package wal

import (
	"encoding/json"
	"io/fs"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
)

// The snapshot is a single file that is replaced atomically. It is synced before the
// log entries that it covers are removed.

func (l *Log) writeSnapshot(s consensus.Snapshot) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return WriteChecked(l.records.fs, l.snapshotPath(), data)
}

func (l *Log) loadSnapshot() (consensus.Snapshot, error) {
	data, err := ReadChecked(l.records.fs, l.snapshotPath())
	if errors.Is(err, fs.ErrNotExist) {
		return consensus.Snapshot{}, nil
	}
	if err != nil {
		return consensus.Snapshot{}, err
	}
	var s consensus.Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return consensus.Snapshot{}, &DamagedError{l.snapshotPath(), 0, err.Error()}
	}
	return s, nil
}
