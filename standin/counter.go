package standin

import (
	"maps"
	"sync"

	"celeryport/standin/answer"
)

// counter counts executions. With deduplication it also stores the first answer of
// each key.
type counter struct {
	dedupe bool

	mu       sync.Mutex
	keys     map[string]int
	requests map[string]int
	answers  map[string]*answer.Call
}

func newCounter(dedupe bool) *counter {
	return &counter{
		dedupe:   dedupe,
		keys:     map[string]int{},
		requests: map[string]int{},
		answers:  map[string]*answer.Call{},
	}
}

// execute counts the call and sets the execution number of its answer. With
// deduplication, a repeated key is not counted; execute then returns the first
// answer of the key and false.
func (c *counter) execute(a *answer.Call) (*answer.Call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.answers[a.Key]; c.dedupe && a.Key != "" && first != nil {
		return first, false
	}
	c.requests[a.Request]++
	a.Execution = c.requests[a.Request]
	if a.Key != "" {
		c.keys[a.Key]++
		a.Execution = c.keys[a.Key]
		if c.dedupe {
			c.answers[a.Key] = a
		}
	}
	return a, true
}

func (c *counter) counts() *answer.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &answer.Counts{Keys: maps.Clone(c.keys), Requests: maps.Clone(c.requests)}
}
