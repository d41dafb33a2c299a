package ledger

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/wal"
)

// rewriteFactor is how much larger than the state the log may grow before it is
// replaced by the state; rewriteLeast keeps small logs from it.
const (
	rewriteFactor = 4
	rewriteLeast  = 4 << 20
)

// Book keeps the accounts of all instances on a voter. It implements Store and
// is safe for concurrent use.
type Book struct {
	log   logrus.FieldLogger
	clock clock.Clock

	mu        sync.Mutex
	state     *State
	records   *wal.Records
	appended  int64 // bytes since the last rewrite
	rewritten int64 // bytes of the state at the last rewrite
}

// OpenBook opens the book in a folder of its own under the data folder.
func OpenBook(folder string, fs wal.FS, log logrus.FieldLogger, c clock.Clock) (*Book, error) {
	records, content, err := wal.OpenRecords(folder, fs, wal.Options{Logger: log})
	if err != nil {
		return nil, errors.Wrap(err, "opening the ledger")
	}
	state, err := replay(content)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "reading the ledger"), records.Close())
	}
	bookOpened.Log(log, event.Fields{"folder": folder, "incarnations": len(state.Incarnations)})
	return &Book{log: log, clock: c, state: state, records: records}, nil
}

// Merge implements Store. The copy is synced before it is applied: the instance
// forgets what a returned position covers.
func (b *Book) Merge(encodedCopy []byte) ([]byte, error) {
	c, err := decodeCopy(encodedCopy)
	if err != nil {
		return nil, err
	}
	if encodedCopy, err = b.corrected(c, encodedCopy); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.keep(c, encodedCopy); err != nil {
		return nil, err
	}
	sequence := b.state.Apply(c)
	if err := b.rewriteIfLarge(); err != nil {
		return nil, err
	}
	return position{incarnation: c.ID.Incarnation, sequence: sequence}.encode(), nil
}

// corrected returns the copy as it is to be written, with a time that fits.
func (b *Book) corrected(c *Copy, encodedCopy []byte) ([]byte, error) {
	sentAt := c.At
	if !c.correctClock(b.clock.Now()) {
		return encodedCopy, nil
	}
	clockDiffers.Log(b.log, event.Fields{"instance": c.ID.Instance, "its_time": sentAt, "time": c.At})
	return encode(c)
}

// keep syncs a copy. One that changes nothing but the time is not worth a sync:
// after a restart the voter asks for it again. The first of an incarnation is
// kept in any case: if the instance is killed before the next one, the report
// would otherwise not even say that it existed.
func (b *Book) keep(c *Copy, encodedCopy []byte) error {
	isNew := b.state.Incarnations[c.ID] == nil
	if !b.state.Applies(c) || (len(c.Series) == 0 && !c.Final && !isNew) {
		return nil
	}
	record := copyRecord(encodedCopy)
	if err := b.records.Append(record); err != nil {
		return errors.Wrap(err, "storing a copy of a ledger")
	}
	b.appended += int64(len(record))
	return nil
}

// rewriteIfLarge comes after the newest copy is applied: the log that the state
// replaces holds that copy too.
func (b *Book) rewriteIfLarge() error {
	if b.appended < max(rewriteLeast, rewriteFactor*b.rewritten) {
		return nil
	}
	b.state.Trim(b.clock.Now())
	record, err := stateRecord(b.state)
	if err != nil {
		return err
	}
	if err := b.records.Rewrite([][]byte{record}); err != nil {
		return errors.Wrap(err, "rewriting the ledger")
	}
	bookRewritten.Log(b.log, event.Fields{"bytes_before": b.appended, "bytes_after": len(record)})
	b.rewritten = int64(len(record))
	b.appended = 0
	return nil
}

// Encoded returns the whole state, for a report on another instance.
func (b *Book) Encoded() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return encode(b.state)
}

// Close releases the folder.
func (b *Book) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records.Close()
}
