package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
)

// Join takes over what other books know better, and reports whether there was
// anything. A voter that lost its disk has only the accounts of the instances
// that run; if the voters that still know the ended ones are lost next, nobody
// can report those any more.
func (b *Book) Join(now time.Time, others []*State) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lacks(now, others) {
		return false, nil
	}
	own, err := b.copyOfState()
	if err != nil {
		return false, err
	}
	joined := Combine(append(booksOf(others), &Dump{Book: own}))
	record, err := stateRecord(joined)
	if err != nil {
		return false, err
	}
	if err := b.records.Rewrite([][]byte{record}); err != nil {
		return false, errors.Wrap(err, "joining ledgers")
	}
	bookJoined.Log(b.log, event.Fields{
		"incarnations_before": len(b.state.Incarnations), "incarnations_after": len(joined.Incarnations),
	})
	b.state, b.rewritten, b.appended = joined, int64(len(record)), 0
	return true, nil
}

// settledFor is the age of its last copy from which an incarnation counts as
// ended. The running ones copy to this voter themselves, every few seconds.
const settledFor = time.Minute

// lacks reports whether any other book has more of an incarnation that has ended.
func (b *Book) lacks(now time.Time, others []*State) bool {
	for _, other := range others {
		for id, known := range other.Incarnations {
			if known.Sequence > b.state.sequence(id) && now.Sub(known.At) > settledFor {
				return true
			}
		}
	}
	return false
}

func (b *Book) copyOfState() (*State, error) {
	encoded, err := encode(b.state)
	if err != nil {
		return nil, err
	}
	return decodeState(encoded)
}

func booksOf(states []*State) []*Dump {
	dumps := make([]*Dump, 0, len(states)+1)
	for _, state := range states {
		dumps = append(dumps, &Dump{Book: state})
	}
	return dumps
}
