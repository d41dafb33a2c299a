package throttle

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryport/loadshare"
)

const (
	// mostFacts bounds a table; the oldest facts are evicted.
	mostFacts = 1024
	// settles is how long after an answer that named a rate one without it is not believed.
	// Answers to different instances overtake each other, and failures may not name it.
	settles = 2 * time.Second
)

// Table is what one instance knows of the rates. It is not safe for concurrent use.
type Table struct {
	facts map[loadshare.Key]Fact
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{facts: map[loadshare.Key]Fact{}} }

// Answered takes in an answer of an upstream to this instance, with the rate that it named;
// nil if it named none. It reports whether the other instances must hear of it at once.
func (t *Table) Answered(now time.Time, upstream loadshare.Key, rate *float64) bool {
	known, found := t.facts[upstream]
	if rate == nil {
		if !found || !known.Named || now.Sub(known.At) < settles {
			return false
		}
		t.facts[upstream] = Fact{Upstream: upstream, At: now}
		return true
	}
	told := asTold(*rate)
	t.facts[upstream] = Fact{Upstream: upstream, Rate: told, Named: true, At: now}
	t.bound(now)
	return !found || !known.Named || known.Rate != told
}

// Merge takes in facts of another instance; of two about one upstream the newer holds.
func (t *Table) Merge(now time.Time, facts []Fact) {
	for i := range facts {
		f := facts[i]
		if known, found := t.facts[f.Upstream]; !found || f.At.After(known.At) {
			t.facts[f.Upstream] = f
		}
	}
	t.bound(now)
}

// Missing returns the facts of which the sender of some others does not know.
func (t *Table) Missing(now time.Time, theirs []Fact) []Fact {
	t.expire(now)
	known := make(map[loadshare.Key]*Fact, len(theirs))
	for i := range theirs {
		known[theirs[i].Upstream] = &theirs[i]
	}
	var missing []Fact
	for _, f := range t.facts {
		if their := known[f.Upstream]; their == nil || f.saysMoreThan(their) {
			missing = append(missing, f)
		}
	}
	return missing
}

// Facts returns all facts that count.
func (t *Table) Facts(now time.Time) []Fact {
	t.expire(now)
	return slices.Collect(maps.Values(t.facts))
}

// Fact returns what is known of an upstream; the zero Fact if nothing is.
func (t *Table) Fact(upstream loadshare.Key) Fact { return t.facts[upstream] }

// Rate returns the rate that an upstream names; false if it names none.
func (t *Table) Rate(now time.Time, upstream loadshare.Key) (float64, bool) {
	f, found := t.facts[upstream]
	if !found || !f.Named || now.Sub(f.At) > f.lifetime() {
		return 0, false
	}
	return f.Rate, true
}

// Limited returns how many upstreams name a rate.
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

func (t *Table) bound(now time.Time) {
	if len(t.facts) <= mostFacts {
		return
	}
	t.expire(now)
	for len(t.facts) > mostFacts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.facts)), func(a, b Fact) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
		})
		delete(t.facts, oldest.Upstream)
	}
}
