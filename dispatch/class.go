package dispatch

// class holds the queue state of one class of work.
type class struct {
	name       string
	queueLimit int
	configured bool // queueLimit comes from the settings, where 0 forbids queueing
	waiting    int
	delayed    int // in backoff before a retry
}

// limit returns how many requests may wait.
func (c *class) limit(standard int) int {
	if !c.configured {
		return standard
	}
	return c.queueLimit
}
