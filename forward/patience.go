package forward

import (
	"sync"
	"time"
)

// patience knows how long the callers of each route wait when they call for the
// first time. Callers say how long they still wait; one that was turned away and
// comes back waits for less, and the difference is the age of its call.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// leastAge is the difference below which a call counts as new: callers spend some
// of their time on the way.
const leastAge = 100 * time.Millisecond

func newPatience() *patience { return &patience{longest: map[string]time.Duration{}} }

// age returns how old a call is whose caller still waits for so long.
func (p *patience) age(route string, wait time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := max(p.longest[route], wait)
	p.longest[route] = longest
	if age := longest - wait; age >= leastAge {
		return age
	}
	return 0
}
