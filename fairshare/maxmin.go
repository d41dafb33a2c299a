package fairshare

import (
	"cmp"
	"slices"
)

// want is the demand of one organisation and its weight.
type want struct {
	index  int
	amount float64
	weight float64
}

// maxMin divides the capacity by weighted max-min: no one gets more than it wants, and those that
// get less all get the same in proportion to their weights.
func maxMin(capacity float64, wants []want) []float64 {
	parts := make([]float64, len(wants))
	sorted := slices.Clone(wants)
	weights := 0.0
	for i := range sorted {
		sorted[i].index = i
		weights += sorted[i].weight
	}
	slices.SortFunc(sorted, func(a, b want) int { return cmp.Compare(a.amount*b.weight, b.amount*a.weight) })
	left := max(0, capacity)
	for _, w := range sorted {
		parts[w.index] = min(w.amount, left*w.weight/weights)
		left -= parts[w.index]
		weights -= w.weight
	}
	return parts
}
