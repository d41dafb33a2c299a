package quarantine

import (
	"slices"
	"time"
)

// PartRecord is the evidence against one part of prompts.
type PartRecord struct {
	Part Part      `json:"part"`
	Ends []PartEnd `json:"ends"` // oldest first, each incarnation once
	At   time.Time `json:"at"`   // time of the last evidence
}

// maxPartEnds bounds the ends listed in a record; the oldest are dropped.
const maxPartEnds = 16

// add adds an end. It does not change the array that earlier copies of the record share.
func (r *PartRecord) add(end PartEnd) {
	r.At = end.At
	ends := slices.Clone(r.Ends)
	if at := slices.IndexFunc(ends, func(e PartEnd) bool { return e.Upstream == end.Upstream }); at >= 0 {
		ends[at].merge(&end)
		r.Ends = ends
		return
	}
	ends = append(ends, end)
	r.Ends = ends[max(0, len(ends)-maxPartEnds):]
}

// end returns the end of an incarnation, nil if there is none.
func (r *PartRecord) end(upstream uint64) *PartEnd {
	if at := slices.IndexFunc(r.Ends, func(e PartEnd) bool { return e.Upstream == upstream }); at >= 0 {
		return &r.Ends[at]
	}
	return nil
}

// unexplained returns the incarnations that ended with the part and that are not explained yet: only
// those that had started a request with it, or all.
func (r *PartRecord) unexplained(explained map[uint64]bool, startedOnly bool) []PartEnd {
	var left []PartEnd
	for _, e := range r.Ends {
		if !explained[e.Upstream] && (e.Started || !startedOnly) {
			left = append(left, e)
		}
	}
	return left
}

// incidentGap is the shortest time between two ends that count as separate incidents: upstreams that
// lose their power together are noticed within less.
const incidentGap = 250 * time.Millisecond

// tally counts the unexplained ends of a record.
type tally struct {
	ends      int
	incidents int       // ends that are separate; those that come together usually have another cause than a request each
	first     time.Time // time of the first end
}

// tally counts the ends that unexplained returns.
func (r *PartRecord) tally(explained map[uint64]bool, startedOnly bool) tally {
	var t tally
	var last time.Time
	for i := range r.Ends {
		e := &r.Ends[i]
		if startedOnly && !e.Started || explained[e.Upstream] {
			continue
		}
		if t.ends == 0 {
			t.first = e.At
		}
		if t.ends == 0 || e.At.Sub(last) >= incidentGap {
			t.incidents++
			last = e.At
		}
		t.ends++
	}
	return t
}
