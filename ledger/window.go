package ledger

import "time"

// tier is one time resolution at which growth is stored.
type tier struct {
	width    time.Duration
	maxCells int
	hasBins  bool // stores latency bins
}

// tiers lists the resolutions from fine to coarse: minutes for the short burn rate
// windows, hours for the long ones, and days for the longest error budget period.
var tiers = [...]tier{
	{width: time.Minute, maxCells: 6*60 + 1},
	{width: time.Hour, maxCells: 3*24 + 1, hasBins: true},
	{width: 24 * time.Hour, maxCells: 91, hasBins: true},
}

const hourTier = 1

// cell is the growth of all series in one unit of time.
type cell map[Series]*Counters

// Windows stores the growth of the counters of the whole fleet over time.
type Windows struct {
	Cells [len(tiers)]map[int64]cell // by number of units since the Unix epoch
}

func newWindows() *Windows {
	w := &Windows{}
	for i := range w.Cells {
		w.Cells[i] = map[int64]cell{}
	}
	return w
}

// Add adds the growth of one series at a point in time.
func (w *Windows) Add(at time.Time, name Series, growth *Counters) {
	counts := growth.withoutBins()
	for i, t := range tiers {
		number := t.number(at)
		if w.Cells[i][number] == nil {
			w.Cells[i][number] = cell{}
			w.prune(i, number)
		}
		if t.hasBins {
			w.Cells[i][number].add(name, growth)
		} else {
			w.Cells[i][number].add(name, &counts)
		}
	}
}

// prune drops the oldest cell of a tier that has more than maxCells. It does not
// compare the age of cells with that of the newest, because a cell far in the future,
// caused by a wrong clock, would then drop all others.
func (w *Windows) prune(i int, newest int64) {
	if len(w.Cells[i]) <= tiers[i].maxCells {
		return
	}
	oldest := newest
	for number := range w.Cells[i] {
		oldest = min(oldest, number)
	}
	delete(w.Cells[i], oldest)
}

// Since returns the growth since a time and the time at which the sum actually
// starts. It uses the finest tier that still covers the time, and starts at the
// beginning of the unit that contains it.
func (w *Windows) Since(from, now time.Time) (growth map[Series]*Counters, start time.Time) {
	return w.sum(w.tierFor(0, from, now), from)
}

// LatenciesSince is like Since, but uses only tiers that store latencies.
func (w *Windows) LatenciesSince(from, now time.Time) (growth map[Series]*Counters, start time.Time) {
	return w.sum(w.tierFor(hourTier, from, now), from)
}

func (w *Windows) tierFor(finest int, from, now time.Time) int {
	for i := finest; i < len(tiers); i++ {
		if tiers[i].number(now)-tiers[i].number(from) < int64(tiers[i].maxCells) {
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
