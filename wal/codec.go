package wal

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
)

// Types of records in a voter's log.
const (
	recordHardState byte = 1
	recordEntry     byte = 2
)

func encodeHardState(h consensus.HardState) []byte {
	b := []byte{recordHardState}
	b = binary.AppendUvarint(b, h.Term)
	b = binary.AppendUvarint(b, h.Commit)
	return append(b, h.Vote...)
}

func encodeEntry(e *consensus.Entry) []byte {
	b := make([]byte, 0, len(e.Data)+2*binary.MaxVarintLen64+2)
	b = append(b, recordEntry, byte(e.Kind))
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	return append(b, e.Data...)
}

// replay applies one record to the state produced by the preceding records.
func replay(s *consensus.Storage, record []byte) error {
	if len(record) == 0 {
		return errors.New("empty record")
	}
	switch record[0] {
	case recordHardState:
		return replayHardState(s, record[1:])
	case recordEntry:
		return replayEntry(s, record[1:])
	}
	return errors.Newf("unknown kind of record %d", record[0])
}

func replayHardState(s *consensus.Storage, b []byte) error {
	term, b, ok := uvarint(b)
	commit, b, ok2 := uvarint(b)
	if !ok || !ok2 {
		return errors.New("short hard state")
	}
	if term < s.HardState.Term {
		return errors.Newf("term goes back from %d to %d", s.HardState.Term, term)
	}
	s.HardState = consensus.HardState{Term: term, Vote: consensus.ID(b), Commit: commit}
	return nil
}

func replayEntry(s *consensus.Storage, b []byte) error {
	if len(b) == 0 {
		return errors.New("short entry")
	}
	kind := consensus.EntryKind(b[0])
	index, b, ok := uvarint(b[1:])
	term, b, ok2 := uvarint(b)
	if !ok || !ok2 || index == 0 {
		return errors.New("short entry")
	}
	e := consensus.Entry{Index: index, Term: term, Kind: kind}
	if len(b) > 0 {
		e.Data = b
	}
	entries, err := replaceFrom(s.Entries, e)
	s.Entries = entries
	return err
}

// replaceFrom appends an entry. An existing entry at its index and all entries
// after it are removed.
func replaceFrom(entries []consensus.Entry, e consensus.Entry) ([]consensus.Entry, error) {
	if len(entries) == 0 {
		return append(entries, e), nil
	}
	first := entries[0].Index
	last := entries[len(entries)-1].Index
	if e.Index < first {
		return append(entries[:0], e), nil
	}
	if e.Index > last+1 {
		return entries, errors.Newf("entry %d follows entry %d", e.Index, last)
	}
	return append(entries[:e.Index-first], e), nil
}

func uvarint(b []byte) (value uint64, rest []byte, ok bool) {
	value, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	return value, b[n:], true
}
