package ledger

import (
	"slices"
	"time"
)

// placeable is the longest span of a copy whose growth is placed in time at its
// end. What a voter learns in one lump about a longer span, since it was away
// or lost its disk, would otherwise look like a burst at its return.
const placeable = 2 * time.Minute

// maxLumps bounds the lumps that are kept apart; beyond it the oldest two become one.
const maxLumps = 32

// Incarnation is what is known of one incarnation of one instance.
type Incarnation struct {
	Sequence uint64
	Started  time.Time
	At       time.Time // of the newest copy
	Final    bool
	Series   map[Series]*Counters
}

// Lump is growth that can't be placed in time any closer than From to At.
type Lump struct {
	From   time.Time
	At     time.Time
	Series map[Series]*Counters
}

// State is everything that a voter knows of the accounts of all instances. It
// is a pure type.
type State struct {
	Incarnations map[ID]*Incarnation
	Windows      *Windows
	Lumps        []Lump
	DroppedUpTo  time.Time // newest end of an incarnation that was dropped for its age, zero: none
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Incarnations: map[ID]*Incarnation{}, Windows: newWindows()}
}

// Applies reports whether a copy would change the state: neither one that it
// already has, nor one with a gap before it.
func (s *State) Applies(c *Copy) bool {
	known := s.sequence(c.ID)
	return c.From <= known && c.To > known
}

// Apply takes a copy in and returns the sequence number up to which the account
// is known now. A copy with a gap before it is not taken: its counters would not
// belong to one moment, and the equation of a series might not hold.
func (s *State) Apply(c *Copy) uint64 {
	if s.Applies(c) {
		s.take(c)
	}
	return s.sequence(c.ID)
}

// take takes a copy in that is known to apply.
func (s *State) take(c *Copy) {
	known := s.incarnation(c)
	lump := Lump{From: known.At, At: c.At}
	for i := range c.Series {
		s.raise(known, &c.Series[i], &lump)
	}
	s.keepLump(lump)
	known.Sequence = c.To
	known.At = c.At
	known.Final = c.Final
}

func (s *State) sequence(id ID) uint64 {
	if known := s.Incarnations[id]; known != nil {
		return known.Sequence
	}
	return 0
}

func (s *State) incarnation(c *Copy) *Incarnation {
	known := s.Incarnations[c.ID]
	if known == nil {
		known = &Incarnation{Started: c.Started, At: c.Started, Series: map[Series]*Counters{}}
		s.Incarnations[c.ID] = known
	}
	return known
}

func (s *State) raise(known *Incarnation, sc *SeriesCopy, lump *Lump) {
	counters := known.Series[sc.Series]
	if counters == nil {
		counters = &Counters{}
		known.Series[sc.Series] = counters
	}
	growth := counters.Raise(&sc.Counters)
	if lump.At.Sub(lump.From) <= placeable {
		s.Windows.Add(lump.At, sc.Series, &growth)
		return
	}
	if lump.Series == nil {
		lump.Series = map[Series]*Counters{}
	}
	lump.Series[sc.Series] = &growth
}

func (s *State) keepLump(lump Lump) {
	if lump.Series == nil {
		return
	}
	s.Lumps = append(s.Lumps, lump)
	slices.SortStableFunc(s.Lumps, func(a, b Lump) int { return a.At.Compare(b.At) })
	if len(s.Lumps) > maxLumps {
		s.Lumps[1].join(s.Lumps[0])
		s.Lumps = s.Lumps[1:]
	}
}

func (l *Lump) join(other Lump) {
	if other.From.Before(l.From) {
		l.From = other.From
	}
	for name, counters := range other.Series {
		cell(l.Series).add(name, counters)
	}
}

// Copies returns the whole state of each incarnation as a copy from 0, in a
// fixed order.
func (s *State) Copies() []*Copy {
	copies := make([]*Copy, 0, len(s.Incarnations))
	for id, known := range s.Incarnations {
		copies = append(copies, known.copy(id))
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
