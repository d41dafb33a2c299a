package bench

import "time"

// Aretusa returns the simulated site of Sartoria Aretusa.
func Aretusa() Site {
	return Site{
		Name: "aretusa", Engines: 14, Instances: 9,
		Organisations: organisations("casa"),
		Mix: []Mix{
			{Class: "counter", Share: 0.55, Shortest: 1000, Longest: 4000, Output: [2]int{8, 40}, Deadline: 20 * time.Second, Priority: 10, SharedPrefix: 0.5},
			{Class: "drafting", Share: 0.30, Shortest: 2000, Longest: 16_000, Output: [2]int{40, 120}, Deadline: 60 * time.Second, Priority: 5, SharedPrefix: 0.3},
			{Class: "fitting", Share: 0.13, Shortest: 16_001, Longest: 100_000, Output: [2]int{60, 160}, Deadline: 180 * time.Second, Priority: 2},
			{Class: "ledger", Share: 0.02, Shortest: 100_000, Longest: 1_000_000, Output: [2]int{60, 160}, Deadline: 300 * time.Second},
		},
	}
}

// Brazos returns the simulated site of Brazos Linecraft.
func Brazos() Site {
	return Site{
		Name: "brazos", Engines: 23, Instances: 8,
		Organisations: organisations("franchise"),
		Mix: []Mix{
			{Class: "ping", Share: 0.35, Shortest: 1000, Longest: 2000, Output: [2]int{4, 16}, Deadline: 10 * time.Second, Priority: 10, SharedPrefix: 0.5},
			{Class: "floor", Share: 0.45, Shortest: 1500, Longest: 16_000, Output: [2]int{20, 100}, Deadline: 60 * time.Second, Priority: 8, SharedPrefix: 0.3},
			{Class: "history", Share: 0.18, Shortest: 16_001, Longest: 100_000, Output: [2]int{60, 160}, Deadline: 180 * time.Second, Priority: 2},
			{Class: "audit", Share: 0.02, Shortest: 100_000, Longest: 1_000_000, Output: [2]int{60, 160}, Deadline: 300 * time.Second},
		},
	}
}

// organisations returns ten organisations, a few of them large. Their demands are
// at least proportional to their weights, so at overload all of them request at
// least their share and some request up to a fifth more.
func organisations(prefix string) []Organisation {
	weights := []float64{30, 20, 12, 8, 6, 6, 5, 5, 4, 4}
	excess := []float64{1.15, 1.0, 1.1, 1.0, 1.2, 1.0, 1.05, 1.0, 1.2, 1.0}
	all := make([]Organisation, len(weights))
	for i := range all {
		all[i] = Organisation{
			Name:   prefix + "-" + string(rune('a'+i)),
			Weight: weights[i],
			Demand: weights[i] * excess[i],
		}
	}
	return all
}
