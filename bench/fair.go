package bench

// fairShares is the weighted max-min fair division of a total: nobody gets more
// than it offered, and what one leaves goes to the others by weight.
func fairShares(site *Site, offered map[string]float64, total float64) map[string]float64 {
	fair := map[string]float64{}
	open := map[string]float64{}
	for _, o := range site.Organisations {
		open[o.Name] = o.Weight
	}
	left := total
	for len(open) > 0 {
		weight := 0.0
		for _, name := range sortedKeys(open) {
			weight += open[name]
		}
		full := ""
		for _, name := range sortedKeys(open) {
			if offered[name] <= left*open[name]/weight {
				full = name
				break
			}
		}
		if full == "" {
			for _, name := range sortedKeys(open) {
				fair[name] = left * open[name] / weight
			}
			return fair
		}
		fair[full] = offered[full]
		left -= offered[full]
		delete(open, full)
	}
	return fair
}
