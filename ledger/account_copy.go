package ledger

import (
	"slices"
	"time"
)

// Source provides the copies that are sent to the voters. The caller stores the
// position that each voter returned last and passes it to the next Copy.
type Source interface {
	// Copy returns an encoded copy of the changes since a position, and the
	// position of a voter that has applied it. An empty position stands for a
	// voter without any copy. Positions of one account compare as byte strings.
	Copy(now time.Time, position []byte) (encoded, upTo []byte, err error)
}

// Copy implements Source.
func (a *Account) Copy(now time.Time, from []byte) (encoded, upTo []byte, err error) {
	p := decodePosition(from)
	if p.incarnation != a.id.Incarnation {
		p.sequence = 0
	}
	c := a.Snapshot(now, p.sequence)
	encoded, err = encode(c)
	return encoded, position{incarnation: a.id.Incarnation, sequence: c.To}.encode(), err
}

// Snapshot returns the counters that changed after a sequence number, in a fixed
// order.
func (a *Account) Snapshot(now time.Time, from uint64) *Copy {
	closed := a.closed.Load()
	ended := a.epoch.Add(1) - 1
	c := &Copy{ID: a.id, From: min(from, ended), To: ended, Started: a.started, At: now}
	for i := range a.seriesShards {
		for _, s := range a.seriesShards[i].all() {
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
