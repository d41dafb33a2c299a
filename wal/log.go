package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
)

// Log is the durable storage of one voter: its log, newest snapshot and identity,
// in a separate folder. It is not safe for concurrent use.
type Log struct {
	folder  string
	records *Records
	state   consensus.Storage // synced state
	id      Identity
}

// State is the state that Open read.
type State struct {
	Identity Identity
	Fresh    bool // the folder was empty and the identity was just created
	Storage  consensus.Storage
}

// Open locks the folder and reads its synced state. name is the name of the
// instance, used for the identity that is created if the folder is empty.
func Open(folder, name string, fs FS, options Options) (*Log, State, error) {
	records, raw, err := openRecords(folder, fs, options, func() error { return checkHasLog(folder, fs) })
	if err != nil {
		return nil, State{}, err
	}
	l := &Log{folder: folder, records: records}
	fresh, err := l.load(name, raw)
	if err != nil {
		return nil, State{}, errors.CombineErrors(err, records.Close())
	}
	return l, State{Identity: l.id, Fresh: fresh, Storage: l.state}, nil
}

func (l *Log) load(name string, raw [][]byte) (fresh bool, err error) {
	snapshot, err := l.loadSnapshot()
	if err != nil {
		return false, err
	}
	for i, record := range raw {
		if err := replay(&l.state, record); err != nil {
			return false, errors.Wrapf(err, "%s: record %d", l.folder, i)
		}
	}
	replayed := len(l.state.Entries)
	if err := l.checkStart(snapshot); err != nil {
		return false, err
	}
	l.state.Entries = entriesAfter(l.state.Entries, snapshot)
	l.state.Snapshot = snapshot
	if len(l.state.Entries) < replayed {
		// The process crashed between the write of the snapshot and the truncation
		// of the log. Without the rewrite, new entries would not follow those that
		// the log file still contains.
		if err := l.records.Rewrite(l.encodeState()); err != nil {
			return false, err
		}
	}
	return l.loadIdentity(name, len(raw) > 0 || snapshot.Index > 0)
}

// checkStart rejects a log that begins behind the entry after the snapshot, which means
// that the snapshot for which the log was truncated is lost.
func (l *Log) checkStart(s consensus.Snapshot) error {
	if len(l.state.Entries) == 0 || l.state.Entries[0].Index <= s.Index+1 {
		return nil
	}
	return &DamagedError{l.snapshotPath(), 0, "the snapshot before the first entry is missing or too old"}
}

// Append writes and syncs a hard state, which may be nil, and entries in one write.
// An entry at an existing index replaces that entry and all after it.
func (l *Log) Append(hardState *consensus.HardState, entries []consensus.Entry) error {
	var records [][]byte
	if hardState != nil {
		records = append(records, encodeHardState(*hardState))
	}
	for i := range entries {
		records = append(records, encodeEntry(&entries[i]))
	}
	if len(records) == 0 {
		return nil
	}
	if err := l.records.Append(records...); err != nil {
		return err
	}
	return l.applyAppend(hardState, entries)
}

func (l *Log) applyAppend(hardState *consensus.HardState, entries []consensus.Entry) error {
	if hardState != nil {
		l.state.HardState = *hardState
	}
	var err error
	for _, e := range entries {
		if l.state.Entries, err = replaceFrom(l.state.Entries, e); err != nil {
			return l.records.fail(err)
		}
	}
	return nil
}

// SaveSnapshot stores a snapshot and drops the log entries up to it. The snapshot
// was taken from this voter's own state or received from the leader.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	if l.records.failed != nil {
		return l.records.failed
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.records.fail(err)
	}
	l.state.Snapshot = s
	l.state.Entries = entriesAfter(l.state.Entries, s)
	return l.records.Rewrite(l.encodeState())
}

// Renew writes the whole state to new files and syncs them. After a failed write or
// sync, the data read by a new Open may exist only in the page cache; once Renew
// has returned, it is on disk.
func (l *Log) Renew() error {
	if l.records.failed != nil {
		return l.records.failed
	}
	if l.state.Snapshot.Index > 0 {
		if err := l.writeSnapshot(l.state.Snapshot); err != nil {
			return l.records.fail(err)
		}
	}
	return l.records.Rewrite(l.encodeState())
}

// entriesAfter returns the entries that follow a snapshot. If the log does not
// contain the snapshot's last entry, its later entries belong to a different
// history and are dropped.
func entriesAfter(entries []consensus.Entry, s consensus.Snapshot) []consensus.Entry {
	if len(entries) == 0 || s.Index == 0 {
		return entries
	}
	first := entries[0].Index
	last := entries[len(entries)-1].Index
	switch {
	case first == s.Index+1:
		return entries
	case first > s.Index || last < s.Index:
		return nil
	case entries[s.Index-first].Term != s.Term:
		return nil
	}
	kept := entries[s.Index-first+1:]
	return append([]consensus.Entry(nil), kept...)
}

func (l *Log) encodeState() [][]byte {
	records := [][]byte{encodeHardState(l.state.HardState)}
	for i := range l.state.Entries {
		records = append(records, encodeEntry(&l.state.Entries[i]))
	}
	return records
}

// Size returns the size of the log after the snapshot in bytes. A driver takes a new
// snapshot when the log has grown large, because all of it is also in memory.
func (l *Log) Size() int64 { return l.records.Size() }

// Failed returns the error after which the log accepts no more writes, or nil.
func (l *Log) Failed() error {
	if l.records.failed == nil {
		return nil
	}
	return l.records.failed
}

// Close closes the log and unlocks the folder.
func (l *Log) Close() error { return l.records.Close() }

func (l *Log) snapshotPath() string { return filepath.Join(l.folder, "snapshot") }
