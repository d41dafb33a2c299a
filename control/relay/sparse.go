package relay

import (
	"github.com/cockroachdb/errors"

	"celeryport/rpc"
)

// sparse builds a column that holds only the values that differ from their default.
type sparse struct {
	column *rpc.Sparse
	last   int
}

// add appends the value at a position unless it equals the default.
func (s *sparse) add(place int, value, usual uint32) {
	if value == usual {
		return
	}
	if s.column == nil {
		s.column = &rpc.Sparse{}
	}
	s.column.At = append(s.column.At, uint32(place-s.last))
	s.column.To = append(s.column.To, value)
	s.last = place
}

// spread calls set for each value of a column with the given number of positions.
func spread(column *rpc.Sparse, places int, set func(place int, value uint32)) error {
	if column == nil {
		return nil
	}
	if len(column.At) != len(column.To) {
		return errors.New("columns of different lengths")
	}
	place := 0
	for i, distance := range column.At {
		place += int(distance)
		if place >= places {
			return errors.New("position outside of the column")
		}
		set(place, column.To[i])
	}
	return nil
}
