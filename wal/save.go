package wal

import "celeryport/consensus"

// Save stores a batch of consensus in two writes at most, each of which a crash leaves done or not
// done: the hard state with the entries in one frame, then the snapshot received. The hard state
// comes first, so that no log is newer than the term stored with it.
func (l *Log) Save(b *consensus.Batch) error {
	if err := l.Append(b.HardState, b.Entries); err != nil || b.Snapshot == nil {
		return err
	}
	return l.SaveSnapshot(*b.Snapshot)
}
