package entry

import (
	"context"
	"sync"
	"time"

	"celeryport/dispatch"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

const (
	cancelInterval = 250 * time.Millisecond // between two tries
	cancelWorkers  = 16                     // calls at a time
	cancelKeep     = 10 * time.Minute       // an engine silent for longer has lost its memory or needs an operator
)

// canceller repeats cancels until the engine has confirmed them. A cancel that
// was sent once and lost would leave the request's memory on the engine taken
// for good; one would notice by memory that is held while nothing runs.
type canceller struct {
	options *Options
	slots   chan struct{}

	mu      sync.Mutex
	pending map[cancelKey]*pendingCancel
	running bool
}

type cancelKey struct {
	name        string
	incarnation uint64
	request     string
	attempt     uint32
}

type pendingCancel struct {
	address string
	owner   string
	since   time.Time
	busy    bool
}

func newCanceller(options *Options) *canceller {
	return &canceller{
		options: options,
		slots:   make(chan struct{}, cancelWorkers),
		pending: map[cancelKey]*pendingCancel{},
	}
}

// add starts to cancel a request on a part, until it is confirmed.
func (c *canceller) add(part dispatch.Part, request string, attempt uint32) {
	c.addOwned(part, request, attempt, c.options.Client.Owner())
}

// addOwned cancels a request of any owner, for the sweep.
func (c *canceller) addOwned(part dispatch.Part, request string, attempt uint32, owner string) {
	key := cancelKey{part.Name, part.Incarnation, request, attempt}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.pending[key]; known {
		return
	}
	c.pending[key] = &pendingCancel{address: part.Address, owner: owner, since: c.options.Clock.Now()}
	if !c.running {
		c.running = true
		go c.run()
	}
}

// run tries all pending cancels until none is left.
func (c *canceller) run() {
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for {
		if !c.tryAll() {
			return
		}
		<-ticker.C
	}
}

// tryAll starts one try of each pending cancel and reports whether any is left.
func (c *canceller) tryAll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	for key, p := range c.pending {
		if c.pointless(key, p, now) {
			delete(c.pending, key)
			continue
		}
		if !p.busy {
			c.try(key, p)
		}
	}
	c.running = len(c.pending) > 0
	return c.running
}

// try must be called with the lock held.
func (c *canceller) try(key cancelKey, p *pendingCancel) {
	select {
	case c.slots <- struct{}{}:
	default:
		return // the next round has a slot
	}
	p.busy = true
	go func() {
		defer func() { <-c.slots }()
		_, err := c.options.Client.Cancel(context.Background(), p.address, wire.CancelRequest{
			Request: key.request,
			Attempt: key.attempt,
			Owner:   p.owner,
		})
		c.tried(key, p, err)
	}()
}

func (c *canceller) tried(key cancelKey, p *pendingCancel, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.busy = false
	if err == nil {
		delete(c.pending, key)
	}
}

// pointless reports whether the engine process that held the memory is gone.
func (c *canceller) pointless(key cancelKey, p *pendingCancel, now time.Time) bool {
	if now.Sub(p.since) > cancelKeep {
		return true
	}
	view := c.options.Plane.View()
	if view == nil || view.Upstreams == nil {
		return false
	}
	return restarted(view.Upstreams, key.name, key.incarnation)
}

func restarted(s *upstream.Snapshot, name string, incarnation uint64) bool {
	for i := range s.Upstreams {
		a := &s.Upstreams[i].Announcement
		if a.Name == name {
			return a.Incarnation > incarnation
		}
	}
	return false
}

// abandon gives up what is not confirmed, when the instance ends.
func (c *canceller) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.pending)
}

// left is the number of cancels that are not confirmed.
func (c *canceller) left() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}
