package bench

// fairShares computes the weighted max-min fair division of a total: no
// organisation gets more than it offered, and unused share is divided among the
// others by weight.
func fairShares(site *Site, offered map[string]float64, total float64) map[string]float64 {
	fair := map[string]float64{}
	undecided := map[string]float64{}
	for _, o := range site.Organisations {
		undecided[o.Name] = o.Weight
	}
	remaining := total
	for len(undecided) > 0 {
		weight := 0.0
		for _, name := range sortedKeys(undecided) {
			weight += undecided[name]
		}
		satisfied := ""
		for _, name := range sortedKeys(undecided) {
			if offered[name] <= remaining*undecided[name]/weight {
				satisfied = name
				break
			}
		}
		if satisfied == "" {
			for _, name := range sortedKeys(undecided) {
				fair[name] = remaining * undecided[name] / weight
			}
			return fair
		}
		fair[satisfied] = offered[satisfied]
		remaining -= offered[satisfied]
		delete(undecided, satisfied)
	}
	return fair
}
