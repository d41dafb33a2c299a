package ledger

import (
	"slices"
	"time"
)

// maxPlaceableSpan is the longest span of a copy whose growth is attributed to the
// end of the span. A voter that was unavailable or lost its disk receives a single
// copy of a longer span, which would otherwise look like a burst of requests at
// the time of the copy.
const maxPlaceableSpan = 2 * time.Minute

// maxLumps bounds the number of lumps; beyond it, the two oldest are merged.
const maxLumps = 32

// Incarnation holds the counters of one incarnation of one instance.
type Incarnation struct {
	Sequence uint64
	Started  time.Time
	At       time.Time // of the newest copy
	Final    bool
	Series   map[Series]*Counters
}

// Lump is growth over a span too long for it to be placed in time more precisely
// than between From and At.
type Lump struct {
	From   time.Time
	At     time.Time
	Series map[Series]*Counters
}

// State holds what a voter has received of the accounts of all instances. It does
// no I/O and reads no clock.
type State struct {
	Incarnations map[ID]*Incarnation
	Windows      *Windows
	Lumps        []Lump
	DroppedUpTo  time.Time // time of the last copy of the newest incarnation that was dropped because of its age; zero: none
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Incarnations: map[ID]*Incarnation{}, Windows: newWindows()}
}

// Applies reports whether a copy can be applied: it is newer than the state and
// leaves no gap in the sequence numbers.
func (s *State) Applies(c *Copy) bool {
	known := s.sequence(c.ID)
	return c.From <= known && c.To > known
}

// Apply applies a copy and returns the sequence number up to which the account is
// now known. A copy that leaves a gap is ignored: its counters would mix different
// points in time, and the equation of Report might not hold for a series.
func (s *State) Apply(c *Copy) uint64 {
	if s.Applies(c) {
		s.applyUnchecked(c)
	}
	return s.sequence(c.ID)
}

// applyUnchecked applies a copy without checking its sequence numbers.
func (s *State) applyUnchecked(c *Copy) {
	inc := s.incarnation(c)
	lump := Lump{From: inc.At, At: c.At}
	for i := range c.Series {
		s.raiseCounters(inc, &c.Series[i], &lump)
	}
	s.addLump(lump)
	inc.Sequence = c.To
	inc.At = c.At
	inc.Final = c.Final
}

func (s *State) sequence(id ID) uint64 {
	if inc := s.Incarnations[id]; inc != nil {
		return inc.Sequence
	}
	return 0
}

func (s *State) incarnation(c *Copy) *Incarnation {
	inc := s.Incarnations[c.ID]
	if inc == nil {
		inc = &Incarnation{Started: c.Started, At: c.Started, Series: map[Series]*Counters{}}
		s.Incarnations[c.ID] = inc
	}
	return inc
}

func (s *State) raiseCounters(inc *Incarnation, sc *SeriesCopy, lump *Lump) {
	counters := inc.Series[sc.Series]
	if counters == nil {
		counters = &Counters{}
		inc.Series[sc.Series] = counters
	}
	growth := counters.Raise(&sc.Counters)
	if lump.At.Sub(lump.From) <= maxPlaceableSpan {
		s.Windows.Add(lump.At, sc.Series, &growth)
		return
	}
	if lump.Series == nil {
		lump.Series = map[Series]*Counters{}
	}
	lump.Series[sc.Series] = &growth
}

func (s *State) addLump(lump Lump) {
	if lump.Series == nil {
		return
	}
	s.Lumps = append(s.Lumps, lump)
	slices.SortStableFunc(s.Lumps, func(a, b Lump) int { return a.At.Compare(b.At) })
	if len(s.Lumps) > maxLumps {
		s.Lumps[1].merge(s.Lumps[0])
		s.Lumps = s.Lumps[1:]
	}
}

func (l *Lump) merge(other Lump) {
	if other.From.Before(l.From) {
		l.From = other.From
	}
	for name, counters := range other.Series {
		cell(l.Series).add(name, counters)
	}
}

// Copies returns the whole account of each incarnation as a copy from 0, in a fixed
// order.
func (s *State) Copies() []*Copy {
	copies := make([]*Copy, 0, len(s.Incarnations))
	for id, inc := range s.Incarnations {
		copies = append(copies, inc.copy(id))
	}
	slices.SortFunc(copies, func(a, b *Copy) int { return a.ID.Compare(b.ID) })
	return copies
}

func (i *Incarnation) copy(id ID) *Copy {
	c := &Copy{ID: id, To: i.Sequence, Started: i.Started, At: i.At, Final: i.Final}
	for name, counters := range i.Series {
		c.Series = append(c.Series, SeriesCopy{Series: name, Counters: counters.clone()})
	}
	slices.SortFunc(c.Series, func(a, b SeriesCopy) int { return a.Series.Compare(b.Series) })
	return c
}
