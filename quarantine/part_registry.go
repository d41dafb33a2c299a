package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// PartLimits configure when parts of prompts are blamed for the ends of upstreams, and how long and
// how many records a PartRegistry keeps.
type PartLimits struct {
	Started   int           // separate incidents in which an upstream ended after it had started a request with the part
	Ends      int           // upstreams that ended so, in two incidents or longer than Settling ago
	Settling  time.Duration // time for answers anywhere to clear a part after upstreams ended in one incident
	Any       int           // separate incidents in which an upstream ended while it had such a request in any state
	Suspected time.Duration // lifetime of the record of a part that is not blamed after the last evidence
	Retention time.Duration // lifetime of the record of a blamed part after the last evidence
	Renewal   time.Duration // time after the last evidence until Probes lets a request through that the evidence fully blames
	Records   int           // maximum number of records
}

// PartRegistry collects evidence about the parts of prompts that several requests share, and blames
// those that crash the upstreams. A request that crashes an upstream casts suspicion on all its parts,
// sound ones among them; they are told apart because an upstream that writes an answer for some time
// without ending clears all parts of its request, and because a crash that is explained by a blamed
// part is no evidence against others.
type PartRegistry struct {
	Records []PartRecord `json:"records,omitempty"` // ordered by the time of the last evidence, oldest first
	Groups  []PartGroup  `json:"groups,omitempty"`  // blamed, sorted
	Watched []Part       `json:"watched,omitempty"` // about to be blamed, sorted; instances report if they are answered

	Alternatives []Alternatives `json:"alternatives,omitempty"` // to blamed groups, in the order of these
}

// PartGroup is a set of parts that the evidence does not tell apart: at least one of them crashes
// upstreams. Only requests with all of them are rejected, so that those with some either clear these or
// show which one it is.
type PartGroup []Part

const (
	// maxPartGroups bounds the blamed groups.
	maxPartGroups = 32
	// maxWatched bounds the parts that are watched.
	maxWatched = 32
)

// add adds one piece of evidence.
func (reg *PartRegistry) add(now time.Time, e *Evidence) {
	for _, part := range e.Parts[:min(MaxParts, len(e.Parts))] {
		record := PartRecord{Part: part}
		if at := reg.find(part); at >= 0 {
			record = reg.Records[at]
			reg.Records = slices.Delete(reg.Records, at, at+1)
		}
		if e.Outcome == Answered {
			continue
		}
		record.add(e.partEnd(now))
		reg.Records = append(reg.Records, record)
	}
}

// Clone returns a copy that later evidence does not change.
func (reg *PartRegistry) Clone() PartRegistry {
	return PartRegistry{Records: slices.Clone(reg.Records), Groups: reg.Groups, Watched: reg.Watched, Alternatives: reg.Alternatives}
}

func (reg *PartRegistry) find(part Part) int {
	return slices.IndexFunc(reg.Records, func(r PartRecord) bool { return r.Part == part })
}

// Known reports whether there is evidence against a part.
func (reg *PartRegistry) Known(part Part) bool { return reg.find(part) >= 0 }

// Blamed reports whether a part is in a blamed group.
func (reg *PartRegistry) Blamed(part Part) bool {
	return slices.ContainsFunc(reg.Groups, func(g PartGroup) bool { return slices.Contains(g, part) })
}

// Suspects reports whether a part is blamed or about to be.
func (reg *PartRegistry) Suspects(part Part) bool {
	return slices.Contains(reg.Watched, part) || reg.Blamed(part)
}

// decide blames parts in order of decreasing evidence, and reports whether that changed anything.
func (reg *PartRegistry) decide(now time.Time, limits *PartLimits) bool {
	var groups []PartGroup
	explained := map[uint64]bool{}
	for len(groups) < maxPartGroups {
		strongest, startedOnly := reg.strongest(now, explained, limits)
		if strongest == nil {
			break
		}
		groups = reg.appendInseparable(groups, strongest, strongest.unexplained(explained, startedOnly), startedOnly, limits)
		for _, e := range strongest.Ends {
			explained[e.Upstream] = true
		}
	}
	slices.SortFunc(groups, slices.Compare)
	changed := !slices.EqualFunc(groups, reg.Groups, slices.Equal)
	reg.Groups = groups
	watched := reg.almostBlamed(explained, limits)
	changed = changed || !slices.Equal(watched, reg.Watched)
	reg.Watched = watched
	return changed
}

// startedSuffice reports whether ends after a start suffice to blame a part.
func (l *PartLimits) startedSuffice(now time.Time, t tally) bool {
	return t.incidents >= l.Started || t.ends >= l.Ends && (t.incidents >= 2 || now.Sub(t.first) >= l.Settling)
}

// startedAlmostSuffice reports whether one more incident, or some more time, makes them suffice.
func (l *PartLimits) startedAlmostSuffice(t tally) bool {
	return t.incidents >= l.Started-1 || t.ends >= l.Ends-1
}

// Unsettled reports whether parts are watched that time alone may blame.
func (reg *PartRegistry) Unsettled(limits *PartLimits) bool {
	return slices.ContainsFunc(reg.Watched, func(p Part) bool {
		at := reg.find(p)
		return at >= 0 && reg.Records[at].tally(nil, true).ends >= limits.Ends
	})
}

// almostBlamed returns the parts that one more incident may blame, those with the newest evidence.
func (reg *PartRegistry) almostBlamed(explained map[uint64]bool, limits *PartLimits) []Part {
	var watched []Part
	for i := len(reg.Records) - 1; i >= 0 && len(watched) < maxWatched; i-- {
		r := &reg.Records[i]
		if !reg.Blamed(r.Part) &&
			(limits.startedAlmostSuffice(r.tally(explained, true)) || r.tally(explained, false).incidents >= limits.Any-1) {
			watched = append(watched, r.Part)
		}
	}
	slices.Sort(watched)
	return watched
}

// strongest returns the record with the most unexplained evidence that suffices to blame its part, nil
// if none does, and whether ends after a start suffice.
func (reg *PartRegistry) strongest(now time.Time, explained map[uint64]bool, limits *PartLimits) (record *PartRecord, startedOnly bool) {
	most := 0
	for i := range reg.Records {
		r := &reg.Records[i]
		if len(r.Ends) < min(limits.Started, limits.Ends, limits.Any) {
			continue
		}
		own := r.tally(explained, true)
		started := limits.startedSuffice(now, own)
		if !started {
			if own = r.tally(explained, false); own.incidents < limits.Any {
				continue
			}
		}
		if record == nil || started && !startedOnly || started == startedOnly &&
			cmp.Or(cmp.Compare(own.ends, most), cmp.Compare(record.Part, r.Part)) > 0 {
			record, most, startedOnly = r, own.ends, started
		}
	}
	return record, startedOnly
}

// expire removes the records of parts without recent evidence, and reports whether there were any.
func (reg *PartRegistry) expire(now time.Time, limits *PartLimits) bool {
	before := len(reg.Records)
	reg.Records = slices.DeleteFunc(reg.Records, func(r PartRecord) bool {
		lifetime := limits.Suspected
		if reg.Blamed(r.Part) {
			lifetime = limits.Retention
		}
		return now.Sub(r.At) >= lifetime
	})
	return len(reg.Records) < before
}

// evictExcess evicts the oldest records above the limit, those of parts that are not blamed first.
func (reg *PartRegistry) evictExcess(limits *PartLimits) {
	for len(reg.Records) > limits.Records {
		at := max(0, slices.IndexFunc(reg.Records, func(r PartRecord) bool { return !reg.Blamed(r.Part) }))
		reg.Records = slices.Delete(reg.Records, at, at+1)
	}
}
