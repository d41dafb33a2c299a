package quarantine

import (
	"slices"
	"time"
)

// Alternatives are a few other parts that together explain all ends under a blamed group, or none if a
// quarantined request does. Either these parts or that request crash upstreams, or the group does.
type Alternatives struct {
	Group  PartGroup `json:"group"`
	Others []Part    `json:"others,omitempty"`
}

func (a *Alternatives) equal(b *Alternatives) bool {
	return slices.Equal(a.Group, b.Group) && slices.Equal(a.Others, b.Others)
}

// alternatives returns those of the blamed groups.
func (reg *PartRegistry) alternatives(limits *PartLimits, quarantined []*Record) []Alternatives {
	var found []Alternatives
	for _, group := range reg.Groups {
		ends := reg.endsUnder(group)
		others, left := reg.explainWithout(group, ends, limits.Started-1)
		switch {
		case len(left) == 0 && len(others) > 0:
			found = append(found, Alternatives{Group: group, Others: others})
		case slices.ContainsFunc(quarantined, func(r *Record) bool { return r.explains(ends) }):
			found = append(found, Alternatives{Group: group})
		}
	}
	return found
}

// explains reports whether a request was started at all upstreams that ended.
func (r *Record) explains(ends []PartEnd) bool {
	return !slices.ContainsFunc(ends, func(e PartEnd) bool { return !slices.Contains(r.Started, e.Upstream) })
}

// setAlternatives renews the alternatives and reports whether they changed.
func (reg *PartRegistry) setAlternatives(limits *PartLimits, quarantined []*Record) bool {
	before := reg.Alternatives
	reg.Alternatives = reg.alternatives(limits, quarantined)
	return !slices.EqualFunc(before, reg.Alternatives, func(a, b Alternatives) bool { return a.equal(&b) })
}

// endsUnder returns the ends of the part of a group with the most.
func (reg *PartRegistry) endsUnder(group PartGroup) []PartEnd {
	var ends []PartEnd
	for _, part := range group {
		if at := reg.find(part); at >= 0 && len(reg.Records[at].Ends) > len(ends) {
			ends = reg.Records[at].Ends
		}
	}
	return ends
}

// explainWithout explains some ends by up to a number of parts that a request does not have. It
// returns these parts, and the ends that they leave unexplained.
func (reg *PartRegistry) explainWithout(parts []Part, ends []PartEnd, number int) (others []Part, left []PartEnd) {
	left = slices.Clone(ends)
	for len(others) < number {
		var most []PartEnd
		var other Part
		for i := range reg.Records {
			r := &reg.Records[i]
			if slices.Contains(parts, r.Part) {
				continue
			}
			if explained := r.among(left); len(explained) > len(most) {
				most, other = explained, r.Part
			}
		}
		if len(most) == 0 {
			break
		}
		others = append(others, other)
		left = slices.DeleteFunc(left, func(e PartEnd) bool {
			return slices.ContainsFunc(most, func(m PartEnd) bool { return m.Upstream == e.Upstream })
		})
	}
	return others, left
}

// explainedBeside returns the incarnations whose ends a blamed group explains better than a request:
// others than the request's ended under it as well.
func (reg *PartRegistry) explainedBeside(request *Record) map[uint64]bool {
	explained := map[uint64]bool{}
	for _, group := range reg.Groups {
		ends := reg.endsUnder(group)
		if !request.explains(ends) {
			for _, e := range ends {
				explained[e.Upstream] = true
			}
		}
	}
	return explained
}

// lacksAlternatives reports whether there are alternatives to a group, none of which is among some parts.
func lacksAlternatives(known []Alternatives, group PartGroup, parts []Part) bool {
	at := slices.IndexFunc(known, func(a Alternatives) bool { return slices.Equal(a.Group, group) })
	return at >= 0 && !slices.ContainsFunc(known[at].Others, func(p Part) bool { return slices.Contains(parts, p) })
}

// among returns those of some ends that the record has as well.
func (r *PartRecord) among(ends []PartEnd) []PartEnd {
	var found []PartEnd
	for _, e := range ends {
		if r.end(e.Upstream) != nil {
			found = append(found, e)
		}
	}
	return found
}

// TurnToProbe reports whether it is an instance's turn to let a probe through, so that one of all
// instances does so at a time.
func TurnToProbe(now time.Time, instance string, instances []string) bool {
	rank := 0
	for _, other := range instances {
		if other < instance {
			rank++
		}
	}
	turn := now.UnixNano() / int64(probeWait)
	return len(instances) > 0 && turn%int64(len(instances)) == int64(rank)
}
