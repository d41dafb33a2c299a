package ledger

import (
	"slices"
	"time"
)

// Source is what control copies to the voters: for each voter it keeps the
// position that the voter returned last, and hands it in for the next copy.
type Source interface {
	// Copy returns the encoded copy of what changed since a position, and the
	// position of a voter that took it in; an empty position stands for a voter
	// that has nothing. Positions of one account compare as byte strings.
	Copy(now time.Time, position []byte) (encoded, upTo []byte, err error)
}

// Copy implements Source.
func (a *Account) Copy(now time.Time, from []byte) (encoded, upTo []byte, err error) {
	p := decodePosition(from)
	if p.incarnation != a.id.Incarnation {
		p.sequence = 0
	}
	c := a.Take(now, p.sequence)
	encoded, err = encode(c)
	return encoded, position{incarnation: a.id.Incarnation, sequence: c.To}.encode(), err
}

// Take returns what changed after a sequence number, in a fixed order.
func (a *Account) Take(now time.Time, from uint64) *Copy {
	closed := a.closed.Load()
	ended := a.epoch.Add(1) - 1
	c := &Copy{ID: a.id, From: min(from, ended), To: ended, Started: a.started, At: now}
	for i := range a.counting {
		for _, s := range a.counting[i].all() {
			changed := s.changedSince(c.From)
			if len(changed.Fields) > 0 {
				c.Series = append(c.Series, SeriesCopy{Series: s.name, Counters: changed})
			}
		}
	}
	c.Final = closed
	slices.SortFunc(c.Series, func(a, b SeriesCopy) int { return a.Series.Compare(b.Series) })
	return c
}
