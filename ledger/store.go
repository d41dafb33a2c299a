package ledger

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/wal"
)

// The log is replaced by the state once it has grown to rewriteFactor times the
// size of the state and to at least rewriteMinBytes.
const (
	rewriteFactor   = 4
	rewriteMinBytes = 4 << 20
)

// Store stores the accounts of all instances durably on a voter. It implements
// CopyMerger and is safe for concurrent use.
type Store struct {
	folder string
	fs     wal.FS
	log    logrus.FieldLogger
	clock  clock.Clock

	writing   sync.Mutex   // held while the disk is used, before mu; guards the fields up to mu
	records   *wal.Records // nil after a failed write, until the folder was opened again
	retryAt   time.Time    // when to try to open it again
	appended  int64        // bytes since the last rewrite
	rewritten int64        // bytes of the state at the last rewrite

	mu    sync.Mutex // held to change the state, and to read it without writing
	state *State
}

// OpenStore opens the store in its own folder under the data folder.
func OpenStore(folder string, fs wal.FS, log logrus.FieldLogger, c clock.Clock) (*Store, error) {
	b := &Store{folder: folder, fs: fs, log: log, clock: c}
	if err := b.open(); err != nil {
		return nil, err
	}
	return b, nil
}

// open reads the state from the folder.
func (b *Store) open() error {
	records, content, err := wal.OpenRecords(b.folder, b.fs, wal.Options{Logger: b.log})
	if err != nil {
		return errors.Wrap(err, "opening the ledger")
	}
	state, err := replay(content)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "reading the ledger"), records.Close())
	}
	b.records, b.appended, b.rewritten = records, 0, 0
	b.replaceState(state)
	storeOpened.Log(b.log, event.Fields{"folder": b.folder, "incarnations": len(state.Incarnations)})
	return nil
}

func (b *Store) replaceState(state *State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// reopenInterval is the pause between two attempts to open the folder after a failed write.
const reopenInterval = 500 * time.Millisecond

// openIfFailed opens the folder again after a failed write. Nothing that was written since the last
// sync can be relied on, so the state is read anew, and rewritten to new files.
func (b *Store) openIfFailed() error {
	if b.records != nil {
		return nil
	}
	now := b.clock.Now()
	if now.Before(b.retryAt) {
		return errors.New("the ledger failed and was not opened again yet")
	}
	b.retryAt = now.Add(reopenInterval)
	return b.open()
}

// fail closes the folder after a failed write, so that it can be opened again.
func (b *Store) fail(err error) error {
	err = errors.CombineErrors(err, b.records.Close())
	b.records = nil
	return err
}

// Merge implements CopyMerger. The copy is synced to disk before it is applied, because
// the instance does not send again what the returned position covers.
func (b *Store) Merge(encodedCopy []byte) ([]byte, error) {
	c, err := decodeCopy(encodedCopy)
	if err != nil {
		return nil, err
	}
	if encodedCopy, err = b.withCorrectedClock(c, encodedCopy); err != nil {
		return nil, err
	}
	b.writing.Lock()
	defer b.writing.Unlock()
	if err := b.openIfFailed(); err != nil {
		return nil, err
	}
	if err := b.persist(c, encodedCopy); err != nil {
		return nil, err
	}
	sequence := b.apply(c)
	if err := b.rewriteIfLarge(); err != nil {
		return nil, err
	}
	return position{incarnation: c.ID.Incarnation, sequence: sequence}.encode(), nil
}

func (b *Store) apply(c *Copy) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Apply(c)
}

func (b *Store) trim() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Trim(b.clock.Now())
}

// withCorrectedClock returns the encoded copy to be stored, in which a time that
// differs too much from the voter's clock is replaced.
func (b *Store) withCorrectedClock(c *Copy, encodedCopy []byte) ([]byte, error) {
	sentAt := c.At
	if !c.correctClock(b.clock.Now()) {
		return encodedCopy, nil
	}
	clockDiffers.Log(b.log, event.Fields{"instance": c.ID.Instance, "its_time": sentAt, "time": c.At})
	return encode(c)
}

// persist syncs a copy to disk. A copy that changes nothing but the time is
// skipped, since the voter requests it again after a restart. The first copy of an
// incarnation is always stored: if the instance is killed before the next copy,
// the report would otherwise not list it at all.
func (b *Store) persist(c *Copy, encodedCopy []byte) error {
	isNew := b.state.Incarnations[c.ID] == nil
	if !b.state.Applies(c) || (len(c.Series) == 0 && !c.Final && !isNew) {
		return nil
	}
	record := copyRecord(encodedCopy)
	if err := b.records.Append(record); err != nil {
		return b.fail(errors.Wrap(err, "storing a copy of a ledger"))
	}
	b.appended += int64(len(record))
	return nil
}

// rewriteIfLarge replaces a large log by the state. It must be called after the
// newest copy has been applied, because the replaced log holds that copy too.
func (b *Store) rewriteIfLarge() error {
	if b.appended < max(rewriteMinBytes, rewriteFactor*b.rewritten) {
		return nil
	}
	b.trim()
	record, err := stateRecord(b.state)
	if err != nil {
		return err
	}
	if err := b.records.Rewrite([][]byte{record}); err != nil {
		return b.fail(errors.Wrap(err, "rewriting the ledger"))
	}
	logRewritten.Log(b.log, event.Fields{"bytes_before": b.appended, "bytes_after": len(record)})
	b.rewritten = int64(len(record))
	b.appended = 0
	return nil
}

// Encoded returns the encoded state, for a report that another instance builds. It does not wait for the
// disk, so that a disk that is slow for some seconds does not make the voter miss the report's timeout.
func (b *Store) Encoded() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return encode(b.state)
}

// Close closes the log.
func (b *Store) Close() error {
	b.writing.Lock()
	defer b.writing.Unlock()
	if b.records == nil {
		return nil
	}
	return b.records.Close()
}
