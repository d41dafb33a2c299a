package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
)

// MergeStates merges the states of other voters into this one and reports whether
// they held anything newer. A voter that lost its disk has only the accounts of
// running instances; if the voters that still hold the accounts of ended instances
// were lost next, those accounts could no longer be reported.
func (b *Store) MergeStates(now time.Time, others []*State) (bool, error) {
	b.writing.Lock()
	defer b.writing.Unlock()
	if err := b.openIfFailed(); err != nil {
		return false, err
	}
	if !b.isBehind(now, others) {
		return false, nil
	}
	ownState, err := b.cloneState()
	if err != nil {
		return false, err
	}
	merged := Combine(append(dumpsOf(others), &Dump{Store: ownState}))
	record, err := stateRecord(merged)
	if err != nil {
		return false, err
	}
	if err := b.records.Rewrite([][]byte{record}); err != nil {
		return false, b.fail(errors.Wrap(err, "merging ledgers of other voters"))
	}
	statesMerged.Log(b.log, event.Fields{
		"incarnations_before": len(b.state.Incarnations), "incarnations_after": len(merged.Incarnations),
	})
	b.rewritten, b.appended = int64(len(record)), 0
	b.replaceState(merged)
	return true, nil
}

// endedAfter is the age of the last copy from which an incarnation is considered
// to have ended. Running instances send a copy to this voter every few seconds.
const endedAfter = time.Minute

// isBehind reports whether any other state holds newer counters of an incarnation
// that has ended.
func (b *Store) isBehind(now time.Time, others []*State) bool {
	for _, other := range others {
		for id, inc := range other.Incarnations {
			if inc.Sequence > b.state.sequence(id) && now.Sub(inc.At) > endedAfter {
				return true
			}
		}
	}
	return false
}

func (b *Store) cloneState() (*State, error) {
	encoded, err := encode(b.state)
	if err != nil {
		return nil, err
	}
	return decodeState(encoded)
}

func dumpsOf(states []*State) []*Dump {
	dumps := make([]*Dump, 0, len(states)+1)
	for _, state := range states {
		dumps = append(dumps, &Dump{Store: state})
	}
	return dumps
}
