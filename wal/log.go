package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
)

// Log is the synced storage of one voter: its log, its newest snapshot and its
// identity, in a folder of its own. It is not safe for concurrent use.
type Log struct {
	folder  string
	records *Records
	state   consensus.Storage // what is synced
	id      Identity
}

// State is what Open found.
type State struct {
	Identity Identity
	Fresh    bool // the identity was made just now: the folder was empty
	Storage  consensus.Storage
}

// Open locks the folder and reads what is synced there. name is the name of the
// instance, for the identity that is made if the folder is empty.
func Open(folder, name string, fs FS, options Options) (*Log, State, error) {
	records, raw, err := OpenRecords(folder, fs, options)
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
	l.state.Entries = behind(l.state.Entries, snapshot)
	l.state.Snapshot = snapshot
	if err := l.checkStart(); err != nil {
		return false, err
	}
	if len(l.state.Entries) < replayed {
		// A crash between the snapshot and the log that was cut for it: new
		// entries would not follow those that the log file still holds.
		if err := l.records.Rewrite(l.encodeState()); err != nil {
			return false, err
		}
	}
	return l.loadIdentity(name, len(raw) > 0 || snapshot.Index > 0)
}

// checkStart refuses a log whose first entry does not follow the snapshot: the
// snapshot that the log was cut for is gone.
func (l *Log) checkStart() error {
	if len(l.state.Entries) == 0 || l.state.Entries[0].Index == l.state.Snapshot.Index+1 {
		return nil
	}
	return &DamagedError{l.snapshotPath(), 0, "the snapshot before the first entry is missing or too old"}
}

// Append syncs a hard state, which may be nil, and entries in one write. An
// entry at an existing index replaces it and all behind.
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
	return l.note(hardState, entries)
}

func (l *Log) note(hardState *consensus.HardState, entries []consensus.Entry) error {
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

// SaveSnapshot replaces the log up to the snapshot, of this voter's own state or
// received from the leader.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	if l.records.failed != nil {
		return l.records.failed
	}
	if err := l.writeSnapshot(s); err != nil {
		return l.records.fail(err)
	}
	l.state.Snapshot = s
	l.state.Entries = behind(l.state.Entries, s)
	return l.records.Rewrite(l.encodeState())
}

// Renew writes all that the log holds to new files and syncs them. After a write
// or sync failed, what a new Open reads may stand in the memory of the machine
// only; once Renew has returned, it is on the disk.
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

// behind returns the entries that follow a snapshot. If the log does not hold
// the snapshot's last entry, what it has behind belongs to another history.
func behind(entries []consensus.Entry, s consensus.Snapshot) []consensus.Entry {
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

// Size returns the bytes of the log behind the snapshot; a driver takes a new one
// when it has grown large, because all of it is in memory too.
func (l *Log) Size() int64 { return l.records.Size() }

// Failed returns the error that ended the log, or nil.
func (l *Log) Failed() error {
	if l.records.failed == nil {
		return nil
	}
	return l.records.failed
}

// Close releases the folder.
func (l *Log) Close() error { return l.records.Close() }

func (l *Log) snapshotPath() string { return filepath.Join(l.folder, "snapshot") }
