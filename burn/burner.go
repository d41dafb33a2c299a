package burn

import (
	"cmp"
	"slices"
	"strings"
)

// maxBurners bounds the number of burners listed for an objective.
const maxBurners = 5

// burners lists the organisations and causes with the most requests that missed the
// objective, in descending order.
func burners(o *objective, series byClass) []Burner {
	type key struct{ organisation, cause string }
	bad := map[key]uint64{}
	var sum uint64
	for i := range series[o.class] {
		s := &series[o.class][i]
		for n, f := range s.Counters.Fields {
			if _, isBad := o.kind.counts(f); isBad {
				bad[key{s.Series.Organisation, causeOf(f)}] += s.Counters.Values[n]
				sum += s.Counters.Values[n]
			}
		}
	}
	all := make([]Burner, 0, len(bad))
	for k, n := range bad {
		all = append(all, Burner{Organisation: k.organisation, Cause: k.cause, Bad: n, Share: float64(n) / float64(sum)})
	}
	slices.SortFunc(all, compareBurners)
	return all[:min(len(all), maxBurners)]
}

// compareBurners orders burners by missed requests, descending, and then by
// organisation and cause, so that the order is deterministic.
func compareBurners(a, b Burner) int {
	if c := cmp.Compare(b.Bad, a.Bad); c != 0 {
		return c
	}
	if c := strings.Compare(a.Organisation, b.Organisation); c != 0 {
		return c
	}
	return strings.Compare(a.Cause, b.Cause)
}
