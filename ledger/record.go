package ledger

import "github.com/cockroachdb/errors"

// The kinds of records in the log of a book; the first byte of each record.
const (
	recordCopy  byte = 'c' // an encoded Copy
	recordState byte = 's' // an encoded State, replaces everything before
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

// replayCopy takes a copy in even if there seems to be a gap before it: copies
// without any change are not in the log, so the numbers of the others do not
// follow on each other. Each of them applied when it was written.
func replayCopy(state *State, c *Copy) {
	if c.To > state.sequence(c.ID) {
		state.take(c)
	}
}

// decodeState reads an encoded State; the encoding leaves empty maps out.
func decodeState(encoded []byte) (*State, error) {
	state := NewState()
	if err := decode(encoded, state); err != nil {
		return nil, err
	}
	state.fill()
	return state, nil
}

func (s *State) fill() {
	for _, known := range s.Incarnations {
		if known.Series == nil {
			known.Series = map[Series]*Counters{}
		}
	}
	for i := range s.Windows.Cells {
		if s.Windows.Cells[i] == nil {
			s.Windows.Cells[i] = map[int64]cell{}
		}
	}
}
