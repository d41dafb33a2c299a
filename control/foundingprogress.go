package control

import (
	"time"

	"celeryport/event"
)

// foundingLogInterval is the time between two lines about a founding that is still awaited.
const foundingLogInterval = 5 * time.Second

// foundingProgress is what a voter that waits for the founding learned in the last round of questions.
type foundingProgress struct {
	began, logged time.Time
	unanswered    map[string]string // why a voter did not answer, by control address
	founder       string            // control address, empty if unknown
}

// round begins a round of questions.
func (p *foundingProgress) round() { p.unanswered, p.founder = map[string]string{}, "" }

// missing notes that a voter did not answer.
func (p *foundingProgress) missing(address string, err error) { p.unanswered[address] = err.Error() }

// due reports whether the wait has to be logged at now, and notes that it is.
func (p *foundingProgress) due(now time.Time) bool {
	last := p.logged
	if last.IsZero() {
		last = p.began
	}
	if now.Sub(last) < foundingLogInterval {
		return false
	}
	p.logged = now
	return true
}

func (p *foundingProgress) fields(now time.Time) event.Fields {
	return event.Fields{"missing": p.unanswered, "founder": p.founder, "waited_ms": now.Sub(p.began).Milliseconds()}
}
