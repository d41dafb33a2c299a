package relay

import (
	"github.com/cockroachdb/errors"

	"celeryport/rpc"
)

// sparse builds a column that holds only the values that differ from their default. The
// default is the previous value of the upstream or, for a sequence number, an increase by
// defaultStep.
type sparse struct {
	column *rpc.Sparse
	last   int
}

// add appends the value at a position unless it equals the default.
func (s *sparse) add(position int, value, defaultValue uint32) {
	if value == defaultValue {
		return
	}
	if s.column == nil {
		s.column = &rpc.Sparse{}
	}
	s.column.At = append(s.column.At, uint32(position-s.last))
	s.column.To = append(s.column.To, value)
	s.last = position
}

// forEachValue calls set for each value of a column of the given length.
func forEachValue(column *rpc.Sparse, length int, set func(position int, value uint32)) error {
	if column == nil {
		return nil
	}
	if len(column.At) != len(column.To) {
		return errors.New("columns of different lengths")
	}
	position := 0
	for i, gap := range column.At {
		position += int(gap)
		if position >= length {
			return errors.New("position outside of the column")
		}
		set(position, column.To[i])
	}
	return nil
}
