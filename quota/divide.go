package quota

import "math"

// divide gives each instance its max-min fair part of the limit by demand, and an equal part of
// what is left over, so that the first request at an idle instance need not wait for a
// heartbeat. An instance gets more than it holds only from what no instance holds.
func divide(limit float64, want, held []float64) []float64 {
	parts := make([]float64, len(want))
	if limit <= 0 || len(want) == 0 {
		return parts
	}
	target := waterFill(limit, want)
	spare := limit - sum(target)
	for i := range target {
		target[i] += spare / float64(len(target))
	}
	free := max(0, limit-sum(held))
	missing := 0.0
	for i := range target {
		missing += max(0, target[i]-held[i])
	}
	for i := range target {
		parts[i] = min(target[i], held[i])
		if missing > 0 {
			parts[i] += max(0, target[i]-held[i]) * min(1, free/missing)
		}
	}
	return parts
}

// waterFill returns the max-min fair division of the limit: no instance gets more than it wants,
// and all instances that get less than they want get the same.
func waterFill(limit float64, want []float64) []float64 {
	parts := make([]float64, len(want))
	left := limit
	for left > limit*1e-9 {
		open := 0
		for i := range want {
			if parts[i] < want[i] {
				open++
			}
		}
		if open == 0 {
			break
		}
		each := left / float64(open)
		for i := range want {
			add := min(each, want[i]-parts[i])
			if add > 0 {
				parts[i] += add
				left -= add
			}
		}
	}
	return parts
}

// roundToLimit rounds the parts down and gives the remaining units to the largest remainders, as
// long as the sum stays within the limit. Together the instances get only as many units above
// what they hold, in whole units, as no instance holds: a unit that another instance gives up by rounding is
// still held there until its next statement.
func roundToLimit(parts, held []float64, limit int) []int {
	const slack = 1e-6
	units := make([]int, len(parts))
	left := min(limit, int(math.Floor(sum(parts)+slack)))
	free := limit - int(sum(held))
	for i, p := range parts {
		units[i] = int(math.Floor(p + slack))
		left -= units[i]
		free -= max(0, units[i]-int(held[i]))
	}
	for ; left > 0; left-- {
		best := -1
		for i, p := range parts {
			remainder := p - float64(units[i])
			raises := units[i] >= int(held[i])
			if remainder <= slack || raises && free <= 0 {
				continue
			}
			if best < 0 || remainder > parts[best]-float64(units[best]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		if units[best] >= int(held[best]) {
			free--
		}
		units[best]++
	}
	return units
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
