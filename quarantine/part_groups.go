package quarantine

import "slices"

const (
	// separatingShare is the inverse of the share of ends that a part may lack and still not be told apart
	// from another: an upstream may have ended for another reason, or with a request that only ran beside.
	separatingShare = 4
	// rivalShare is the same for parts of other requests. It is stricter, since these are blamed by themselves.
	rivalShare = 8
)

// suspicion is a part, and the group of all that came in nearly all requests with it.
type suspicion struct {
	seed  *PartRecord
	group PartGroup
}

// appendInseparable appends the group of a part and those of the parts of other requests with which nearly
// all of the same upstreams ended: the evidence does not tell which request is to blame.
func (reg *PartRegistry) appendInseparable(groups []PartGroup, strongest *PartRecord, ends []PartEnd, startedOnly bool, limits *PartLimits) []PartGroup {
	beside := reg.beside(strongest, ends, startedOnly)
	var suspected []suspicion
	for _, r := range beside {
		if len(suspected) < maxPartGroups && r.missing(ends, startedOnly) <= len(ends)/rivalShare {
			suspected = append(suspected, suspicion{r, r.companions(beside, ends)})
		}
	}
	var found []PartGroup
	for _, s := range suspected {
		if !s.covered(suspected, ends, startedOnly, limits) {
			found = appendNew(found, s.group)
		}
	}
	own := PartRecord{Ends: ends}
	if len(found) > 1 && own.tally(nil, false).incidents < min(limits.Started, limits.Any) {
		// Upstreams that lose their power together have sound requests of many kinds in flight.
		found = []PartGroup{groupOf(beside)}
	}
	for _, g := range found {
		groups = appendNew(groups, g)
	}
	return groups[:min(len(groups), maxPartGroups)]
}

// appendNew appends a group unless it is there.
func appendNew(groups []PartGroup, group PartGroup) []PartGroup {
	if slices.ContainsFunc(groups, func(other PartGroup) bool { return slices.Equal(group, other) }) {
		return groups
	}
	return append(groups, group)
}

// covered reports whether larger groups explain the requests with the part: those that lack these groups do
// not suffice to blame the part alone, with which all requests that share it would be rejected.
func (s *suspicion) covered(suspected []suspicion, ends []PartEnd, startedOnly bool, limits *PartLimits) bool {
	var larger []*PartRecord
	for i := range suspected {
		other := &suspected[i]
		if len(other.group) > len(s.group) && s.group.within(other.group) {
			larger = append(larger, other.seed)
		}
	}
	if len(larger) == 0 {
		return false
	}
	var left PartRecord
	for i := range ends {
		if own := s.seed.end(ends[i].Upstream); own != nil && !own.covered(larger) {
			left.Ends = append(left.Ends, ends[i])
		}
	}
	needed := limits.Any
	if startedOnly {
		needed = limits.Started
	}
	return left.tally(nil, false).incidents < needed
}

// beside returns the record of a part, and those of all others that nearly all upstreams which ended with
// it had as well.
func (reg *PartRegistry) beside(strongest *PartRecord, ends []PartEnd, startedOnly bool) []*PartRecord {
	found := []*PartRecord{strongest}
	for i := range reg.Records {
		r := &reg.Records[i]
		if r.Part != strongest.Part && r.missing(ends, startedOnly) <= len(ends)/separatingShare {
			found = append(found, r)
		}
	}
	return found
}

// groupOf returns the parts of some records.
func groupOf(records []*PartRecord) PartGroup {
	var group PartGroup
	for _, r := range records {
		group = append(group, r.Part)
	}
	slices.Sort(group)
	return group
}

// companions returns the group of a part: with it all that came in nearly all of its requests.
func (r *PartRecord) companions(beside []*PartRecord, ends []PartEnd) PartGroup {
	found := []*PartRecord{r}
	for _, other := range beside {
		if other.Part != r.Part && r.cameWith(other, ends) {
			found = append(found, other)
		}
	}
	return groupOf(found)
}

// cameWith reports whether nearly all requests with a part that were at upstreams which ended may have had
// another part as well.
func (r *PartRecord) cameWith(other *PartRecord, ends []PartEnd) bool {
	told, apart := 0, 0
	for i := range ends {
		a, b := r.end(ends[i].Upstream), other.end(ends[i].Upstream)
		switch {
		case a == nil:
		case b == nil:
			told++
			apart++
		default:
			isTold, isApart := a.apartFrom(b)
			if isTold {
				told++
			}
			if isApart {
				apart++
			}
		}
	}
	return apart <= told/separatingShare
}

// missing returns how many of some ends a record lacks.
func (r *PartRecord) missing(ends []PartEnd, startedOnly bool) int {
	missing := len(ends)
	for i := range ends {
		if own := r.end(ends[i].Upstream); own != nil && (own.Started || !startedOnly) {
			missing--
		}
	}
	return missing
}
