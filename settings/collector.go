package settings

// collector accumulates the faults of one file, so that all of them are reported
// together.
type collector struct {
	file   string
	faults Faults
}

func (c *collector) add(section, key, problem, allowed string) {
	c.faults = append(c.faults, Fault{
		File:    c.file,
		Section: section,
		Key:     key,
		Problem: problem,
		Allowed: allowed,
	})
}

// err returns the collected faults, or an untyped nil if there are none.
func (c *collector) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}
