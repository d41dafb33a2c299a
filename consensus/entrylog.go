package consensus

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// position identifies an entry. Two logs that contain the same position have
// identical entries up to it.
type position struct {
	index, term uint64
}

// atLeast reports whether a log that ends at p is at least as up to date as one
// that ends at other.
func (p position) atLeast(other position) bool {
	if p.term != other.term {
		return p.term > other.term
	}
	return p.index >= other.index
}

// entryLog is the in-memory log. It contains synced entries and an unsynced
// tail.
type entryLog struct {
	base    position // position of the entry before entries[0]
	entries []Entry
	stable  uint64 // index of the last synced entry
	commit  uint64
	applied uint64 // last index returned by Ready as committed and confirmed by Advance
}

func (l *entryLog) last() position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return position{e.Index, e.Term}
}

// termAt returns the term of the entry at an index, and false if the log does
// not contain it.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.base.index {
		return l.base.term, true
	}
	if index < l.base.index || index > l.last().index {
		return 0, false
	}
	return l.entries[index-l.base.index-1].Term, true
}

func (l *entryLog) matches(p position) bool {
	term, ok := l.termAt(p.index)
	return ok && term == p.term
}

// from returns entries starting at an index, limited to maxBytes of data but
// always including at least one entry.
func (l *entryLog) from(index uint64, maxBytes int) []Entry {
	if index <= l.base.index || index > l.last().index {
		return nil
	}
	tail := l.entries[index-l.base.index-1:]
	size := 0
	for i := range tail {
		size += len(tail[i].Data)
		if i > 0 && size > maxBytes {
			return slices.Clone(tail[:i])
		}
	}
	return slices.Clone(tail)
}

// between returns the entries after one index, up to and including another.
func (l *entryLog) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	return slices.Clone(l.entries[after-l.base.index : to-l.base.index])
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge appends a leader's entries that follow a matching position. Entries that
// are already present are kept; from the first difference on, the leader's
// entries replace the existing ones. It returns the entries that were added.
func (l *entryLog) merge(entries []Entry) ([]Entry, error) {
	for i, e := range entries {
		if l.matches(position{e.Index, e.Term}) {
			continue
		}
		if e.Index <= l.commit {
			return nil, errors.Newf("entry %d of term %d would replace a committed entry", e.Index, e.Term)
		}
		l.truncate(e.Index)
		l.append(entries[i:]...)
		return entries[i:], nil
	}
	return nil, nil
}

// truncate removes the entries at and after an index.
func (l *entryLog) truncate(from uint64) {
	if from > l.last().index {
		return
	}
	// Clone, because slices returned in batches share the backing array.
	l.entries = slices.Clone(l.entries[:from-l.base.index-1])
	l.stable = min(l.stable, from-1)
}

// compact removes the entries up to and including an index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.index {
		return
	}
	term, _ := l.termAt(index)
	l.entries = slices.Clone(l.entries[index-l.base.index:])
	l.base = position{index, term}
}

// reset replaces the whole log with a snapshot at p.
func (l *entryLog) reset(p position) {
	*l = entryLog{base: p, stable: p.index, commit: p.index, applied: p.index}
}

// conflictHint returns the index from which a leader should continue after p did
// not match: the last index at which the logs may still be identical.
func (l *entryLog) conflictHint(p position) uint64 {
	if p.index > l.last().index {
		return l.last().index
	}
	conflictingTerm, ok := l.termAt(p.index)
	if !ok {
		return l.commit
	}
	index := p.index
	for index > l.commit {
		term, ok := l.termAt(index)
		if !ok || term != conflictingTerm {
			break
		}
		index--
	}
	return index
}
