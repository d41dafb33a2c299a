package ledger

// Dump holds the counters that one instance contributes to a report: its own
// account and, on a voter, the state of its store.
type Dump struct {
	Account *Copy  // whole account, nil if the instance keeps none
	Store   *State // nil unless the instance is a voter
}

// Combine merges the dumps of several instances into one state. It starts from the
// voter's state that places the most requests in time and applies all others as
// copies, so no request is counted twice.
func Combine(dumps []*Dump) *State {
	state := mostCompleteState(dumps)
	for _, d := range dumps {
		if d.Store != nil && d.Store != state {
			state.merge(d.Store)
		}
	}
	for _, d := range dumps {
		if d.Account != nil {
			state.Apply(d.Account)
		}
	}
	return state
}

// merge applies everything that is newer in another state.
func (s *State) merge(other *State) {
	s.recordDropped(other.DroppedUpTo)
	for _, c := range other.Copies() {
		s.Apply(c)
	}
}

func mostCompleteState(dumps []*Dump) *State {
	var mostComplete *State
	for _, d := range dumps {
		if d.Store != nil && (mostComplete == nil || d.Store.placedRequests() > mostComplete.placedRequests()) {
			mostComplete = d.Store
		}
	}
	if mostComplete == nil {
		return NewState()
	}
	return mostComplete
}

// placedRequests is the number of requests that the state can place in time.
func (s *State) placedRequests() uint64 {
	var placedRequests uint64
	for _, inc := range s.Incarnations {
		for _, counters := range inc.Series {
			placedRequests += counters.Received()
		}
	}
	for _, lump := range s.Lumps {
		for _, counters := range lump.Series {
			placedRequests -= min(placedRequests, counters.Received())
		}
	}
	return placedRequests
}
