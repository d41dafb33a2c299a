package throttle

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryport/loadshare"
)

const (
	// maxFacts bounds a table; the oldest facts are evicted.
	maxFacts = 1024
	// reorderWindow is how long after an answer that specified a rate an answer
	// without one is ignored. Answers to different instances may be reordered,
	// and failures may omit the rate.
	reorderWindow = 2 * time.Second
)

// Table holds the rates known to one instance. It is not safe for concurrent
// use.
type Table struct {
	facts map[loadshare.Key]Fact
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{facts: map[loadshare.Key]Fact{}} }

// RecordAnswer records an answer of an upstream to this instance with the rate
// that it specified, or nil if it specified none. It reports whether the other
// instances must be notified at once.
func (t *Table) RecordAnswer(now time.Time, upstream loadshare.Key, rate *float64) bool {
	known, found := t.facts[upstream]
	if rate == nil {
		if !found || !known.Named || now.Sub(known.At) < reorderWindow {
			return false
		}
		t.facts[upstream] = Fact{Upstream: upstream, At: now}
		return true
	}
	rounded := roundedForWire(*rate)
	t.facts[upstream] = Fact{Upstream: upstream, Rate: rounded, Named: true, At: now}
	t.evictExcess(now)
	return !found || !known.Named || known.Rate != rounded
}

// Merge applies facts of another instance; the newer of two facts about an
// upstream wins.
func (t *Table) Merge(now time.Time, facts []Fact) {
	for i := range facts {
		f := facts[i]
		if known, found := t.facts[f.Upstream]; !found || f.At.After(known.At) {
			t.facts[f.Upstream] = f
		}
	}
	t.evictExcess(now)
}

// Missing returns the facts that the sender of theirs lacks or holds with an
// older, different rate.
func (t *Table) Missing(now time.Time, theirs []Fact) []Fact {
	t.expire(now)
	known := make(map[loadshare.Key]*Fact, len(theirs))
	for i := range theirs {
		known[theirs[i].Upstream] = &theirs[i]
	}
	var missing []Fact
	for _, f := range t.facts {
		if their := known[f.Upstream]; their == nil || f.supersedes(their) {
			missing = append(missing, f)
		}
	}
	return missing
}

// Facts returns all facts that have not expired.
func (t *Table) Facts(now time.Time) []Fact {
	t.expire(now)
	return slices.Collect(maps.Values(t.facts))
}

// Fact returns the fact about an upstream, or the zero Fact if there is none.
func (t *Table) Fact(upstream loadshare.Key) Fact { return t.facts[upstream] }

// Rate returns the rate that an upstream specifies, or false if it specifies
// none.
func (t *Table) Rate(now time.Time, upstream loadshare.Key) (float64, bool) {
	f, found := t.facts[upstream]
	if !found || !f.Named || now.Sub(f.At) > f.lifetime() {
		return 0, false
	}
	return f.Rate, true
}

// Limited returns the number of upstreams that specify a rate.
func (t *Table) Limited(now time.Time) int {
	limited := 0
	for key := range t.facts {
		if _, named := t.Rate(now, key); named {
			limited++
		}
	}
	return limited
}

func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.facts, func(_ loadshare.Key, f Fact) bool { return now.Sub(f.At) > f.lifetime() })
}

func (t *Table) evictExcess(now time.Time) {
	if len(t.facts) <= maxFacts {
		return
	}
	t.expire(now)
	for len(t.facts) > maxFacts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.facts)), func(a, b Fact) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
		})
		delete(t.facts, oldest.Upstream)
	}
}
