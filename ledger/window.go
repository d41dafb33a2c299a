package ledger

import "time"

// tier is one resolution in which growth is kept over time.
type tier struct {
	width time.Duration
	keep  int  // cells
	bins  bool // with latencies
}

// tiers, from fine to coarse: minutes for the fast burn windows, hours for the
// slow ones, days for the longest period of an error budget.
var tiers = [...]tier{
	{width: time.Minute, keep: 6*60 + 1},
	{width: time.Hour, keep: 3*24 + 1, bins: true},
	{width: 24 * time.Hour, keep: 91, bins: true},
}

const hourTier = 1

// cell is the growth of all series in one unit of time.
type cell map[Series]*Counters

// Windows keep how the counters of the whole fleet grew over time.
type Windows struct {
	Cells [len(tiers)]map[int64]cell // by number of the unit since 1970
}

func newWindows() *Windows {
	w := &Windows{}
	for i := range w.Cells {
		w.Cells[i] = map[int64]cell{}
	}
	return w
}

// Add places the growth of one series at a time.
func (w *Windows) Add(at time.Time, name Series, growth *Counters) {
	counts := growth.withoutBins()
	for i, t := range tiers {
		number := t.number(at)
		if w.Cells[i][number] == nil {
			w.Cells[i][number] = cell{}
			w.prune(i, number)
		}
		if t.bins {
			w.Cells[i][number].add(name, growth)
		} else {
			w.Cells[i][number].add(name, &counts)
		}
	}
}

// prune drops the cells that are too old, seen from the newest. A cell that is
// far in the future, from a wrong clock, must not drop all others.
func (w *Windows) prune(i int, newest int64) {
	if len(w.Cells[i]) <= tiers[i].keep {
		return
	}
	oldest := newest
	for number := range w.Cells[i] {
		oldest = min(oldest, number)
	}
	delete(w.Cells[i], oldest)
}

// Since returns the growth since a time, and the time from which it counts: the
// beginning of the unit that holds it in the finest tier that still has it.
func (w *Windows) Since(from, now time.Time) (growth map[Series]*Counters, start time.Time) {
	return w.sum(w.tierFor(0, from, now), from)
}

// LatenciesSince is Since in a tier that holds latencies.
func (w *Windows) LatenciesSince(from, now time.Time) (growth map[Series]*Counters, start time.Time) {
	return w.sum(w.tierFor(hourTier, from, now), from)
}

func (w *Windows) tierFor(finest int, from, now time.Time) int {
	for i := finest; i < len(tiers); i++ {
		if tiers[i].number(now)-tiers[i].number(from) < int64(tiers[i].keep) {
			return i
		}
	}
	return len(tiers) - 1
}

func (w *Windows) sum(i int, from time.Time) (map[Series]*Counters, time.Time) {
	first := tiers[i].number(from)
	sum := cell{}
	for number, c := range w.Cells[i] {
		if number < first {
			continue
		}
		for name, counters := range c {
			sum.add(name, counters)
		}
	}
	return sum, tiers[i].start(first)
}

func (c cell) add(name Series, growth *Counters) {
	counters := c[name]
	if counters == nil {
		counters = &Counters{}
		c[name] = counters
	}
	counters.AddAll(growth)
}

func (t tier) number(at time.Time) int64 { return at.Unix() / int64(t.width/time.Second) }

func (t tier) start(number int64) time.Time {
	return time.Unix(number*int64(t.width/time.Second), 0).UTC()
}
