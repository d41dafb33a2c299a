package transit

import "time"

// Confirmations remembers which instances have replied that they reach a service. The zero value knows of none.
// It is not safe for concurrent use.
type Confirmations struct {
	at map[confirmation]time.Time
}

// confirmation is a reply of the instance at a control address about a service.
type confirmation struct{ address, service string }

// Confirm records a reply to a question asked at a time.
func (c *Confirmations) Confirm(asked time.Time, address, service string) {
	if c.at == nil {
		c.at = map[confirmation]time.Time{}
	}
	c.at[confirmation{address, service}] = asked
}

// Confirmed reports whether an instance was asked since a time and replied that it reaches a service.
func (c *Confirmations) Confirmed(since time.Time, address, service string) bool {
	asked, known := c.at[confirmation{address, service}]
	return known && !asked.Before(since)
}

// Forget removes the replies to questions asked before a time.
func (c *Confirmations) Forget(before time.Time) {
	for of, asked := range c.at {
		if asked.Before(before) {
			delete(c.at, of)
		}
	}
}
