package ledger

import "github.com/cockroachdb/errors"

// The kinds of records in the log, stored as the first byte of each record.
const (
	recordCopy  byte = 'c' // an encoded Copy
	recordState byte = 's' // an encoded State, which replaces all earlier records
)

var errUnknownRecord = errors.New("unknown record in the log of the ledger")

func stateRecord(s *State) ([]byte, error) {
	encoded, err := encode(s)
	if err != nil {
		return nil, err
	}
	return append([]byte{recordState}, encoded...), nil
}

func copyRecord(encodedCopy []byte) []byte {
	return append([]byte{recordCopy}, encodedCopy...)
}

// replay rebuilds the state from the records of a log.
func replay(records [][]byte) (*State, error) {
	state := NewState()
	for _, record := range records {
		if len(record) == 0 {
			return nil, errUnknownRecord
		}
		var err error
		state, err = replayOne(state, record[0], record[1:])
		if err != nil {
			return nil, err
		}
	}
	return state, nil
}

func replayOne(state *State, kind byte, content []byte) (*State, error) {
	switch kind {
	case recordState:
		return decodeState(content)
	case recordCopy:
		c, err := decodeCopy(content)
		if err != nil {
			return nil, err
		}
		replayCopy(state, c)
		return state, nil
	}
	return nil, errUnknownRecord
}

// replayCopy applies a copy even if its sequence numbers leave a gap. Copies
// without changes are not logged, so the numbers of logged copies need not be
// contiguous. Each copy was applicable when it was logged.
func replayCopy(state *State, c *Copy) {
	if c.To > state.sequence(c.ID) {
		state.applyUnchecked(c)
	}
}

// decodeState decodes a State and restores the empty maps that gob omits.
func decodeState(encoded []byte) (*State, error) {
	state := NewState()
	if err := decode(encoded, state); err != nil {
		return nil, err
	}
	state.initMaps()
	return state, nil
}

func (s *State) initMaps() {
	for _, inc := range s.Incarnations {
		if inc.Series == nil {
			inc.Series = map[Series]*Counters{}
		}
	}
	for i := range s.Windows.Cells {
		if s.Windows.Cells[i] == nil {
			s.Windows.Cells[i] = map[int64]cell{}
		}
	}
}
