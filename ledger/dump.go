package ledger

// Dump is what one instance knows: its own account, and on a voter the book.
type Dump struct {
	Own  *Copy  // whole account, nil from an instance that keeps none
	Book *State // nil from an instance that is no voter
}

// Combine merges the dumps of several instances into one state. It starts from
// the book that places most in time and takes in everything else as copies, so
// nothing is counted twice.
func Combine(dumps []*Dump) *State {
	state := bestBook(dumps)
	for _, d := range dumps {
		if d.Book != nil && d.Book != state {
			state.absorb(d.Book)
		}
	}
	for _, d := range dumps {
		if d.Own != nil {
			state.Apply(d.Own)
		}
	}
	return state
}

// absorb takes in what another book knows better.
func (s *State) absorb(other *State) {
	s.noteDropped(other.DroppedUpTo)
	for _, c := range other.Copies() {
		s.Apply(c)
	}
}

func bestBook(dumps []*Dump) *State {
	var best *State
	for _, d := range dumps {
		if d.Book != nil && (best == nil || d.Book.placed() > best.placed()) {
			best = d.Book
		}
	}
	if best == nil {
		return NewState()
	}
	return best
}

// placed is the number of requests that the state can place in time.
func (s *State) placed() uint64 {
	var placed uint64
	for _, known := range s.Incarnations {
		for _, counters := range known.Series {
			placed += counters.Received()
		}
	}
	for _, lump := range s.Lumps {
		for _, counters := range lump.Series {
			placed -= min(placed, counters.Received())
		}
	}
	return placed
}
