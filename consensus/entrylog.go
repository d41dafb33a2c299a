package consensus

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// position names an entry. Two logs that hold the same position hold the same
// entries up to it.
type position struct {
	index, term uint64
}

// atLeast reports whether a log that ends here is at least as new as one that
// ends at other.
func (p position) atLeast(other position) bool {
	if p.term != other.term {
		return p.term > other.term
	}
	return p.index >= other.index
}

// entryLog is the log in memory: what is synced, and the tail that is not yet.
type entryLog struct {
	base    position // of the entry before entries[0]
	entries []Entry
	stable  uint64 // last synced index
	commit  uint64
	applied uint64 // last index handed out as committed and advanced over
}

func (l *entryLog) last() position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return position{e.Index, e.Term}
}

// termAt returns the term of the entry at an index, if the log still has it.
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

// from returns entries from an index on, up to about maxBytes but at least one.
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

// between returns the entries after one index up to another.
func (l *entryLog) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	return slices.Clone(l.entries[after-l.base.index : to-l.base.index])
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge adds the entries of a leader behind a position that matches. Entries
// that are there already stay; from the first that differs on they are
// replaced. It returns the entries that are new.
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

// truncate drops the entries from an index on.
func (l *entryLog) truncate(from uint64) {
	if from > l.last().index {
		return
	}
	// A copy, because slices handed out in batches share the backing array.
	l.entries = slices.Clone(l.entries[:from-l.base.index-1])
	l.stable = min(l.stable, from-1)
}

// compact drops the entries up to an index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.index {
		return
	}
	term, _ := l.termAt(index)
	l.entries = slices.Clone(l.entries[index-l.base.index:])
	l.base = position{index, term}
}

// reset replaces the whole log by a snapshot at p.
func (l *entryLog) reset(p position) {
	*l = entryLog{base: p, stable: p.index, commit: p.index, applied: p.index}
}

// conflictHint returns where a leader should continue after p did not match:
// the last index that may still be equal.
func (l *entryLog) conflictHint(p position) uint64 {
	if p.index > l.last().index {
		return l.last().index
	}
	wrong, ok := l.termAt(p.index)
	if !ok {
		return l.commit
	}
	index := p.index
	for index > l.commit {
		term, ok := l.termAt(index)
		if !ok || term != wrong {
			break
		}
		index--
	}
	return index
}
