package placement

import "slices"

// startOrder returns the usable engines in the order in which engines of equal load are chosen.
// While the loads are unknown all engines seem equal: with the common order, all instances would
// prefill their prompts on the same engines.
func startOrder(usable []int, call *Call) []int {
	if !call.Spread || len(usable) == 0 {
		return usable
	}
	first := int(call.Draw[0] * float64(len(usable)))
	return slices.Concat(usable[first:], usable[:first])
}
