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
	cancelInterval = 250 * time.Millisecond // between two attempts
	cancelWorkers  = 16                     // concurrent calls
	cancelMaxAge   = 10 * time.Minute       // an engine that has not confirmed for longer has restarted or needs an operator
)

// canceller repeats each cancel until the engine has confirmed it. If a cancel were
// sent only once and lost, the engine would never free the memory of the request;
// this shows as memory that is held while nothing runs.
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
	address    string
	owner      string
	since      time.Time
	inProgress bool
}

func newCanceller(options *Options) *canceller {
	return &canceller{
		options: options,
		slots:   make(chan struct{}, cancelWorkers),
		pending: map[cancelKey]*pendingCancel{},
	}
}

// add cancels a request on a part and repeats the cancel until it is confirmed.
func (c *canceller) add(part dispatch.Part, request string, attempt uint32) {
	c.addOwned(part, request, attempt, c.options.Client.Owner())
}

// addOwned cancels a request of any owner. The sweeper uses it.
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

// run attempts all pending cancels periodically until none is left.
func (c *canceller) run() {
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for {
		if !c.startAttempts() {
			return
		}
		<-ticker.C
	}
}

// startAttempts starts one attempt of each pending cancel and reports whether any
// cancel is still pending.
func (c *canceller) startAttempts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	for key, p := range c.pending {
		if c.obsolete(key, p, now) {
			delete(c.pending, key)
			continue
		}
		if !p.inProgress {
			c.startAttempt(key, p)
		}
	}
	c.running = len(c.pending) > 0
	return c.running
}

// startAttempt must be called with the lock held.
func (c *canceller) startAttempt(key cancelKey, p *pendingCancel) {
	select {
	case c.slots <- struct{}{}:
	default:
		return // retried in the next round
	}
	p.inProgress = true
	go func() {
		defer func() { <-c.slots }()
		_, err := c.options.Client.Cancel(context.Background(), p.address, wire.CancelRequest{
			Request: key.request,
			Attempt: key.attempt,
			Owner:   p.owner,
		})
		c.attemptEnded(key, p, err)
	}()
}

func (c *canceller) attemptEnded(key cancelKey, p *pendingCancel, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inProgress = false
	if err == nil {
		delete(c.pending, key)
	}
}

// obsolete reports whether a cancel need not be repeated: the engine has restarted
// and so lost the memory, or it has not confirmed for cancelMaxAge.
func (c *canceller) obsolete(key cancelKey, p *pendingCancel, now time.Time) bool {
	if now.Sub(p.since) > cancelMaxAge {
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

// discardPending drops all unconfirmed cancels when the instance stops.
func (c *canceller) discardPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.pending)
}

// unconfirmed returns the number of cancels that are not yet confirmed.
func (c *canceller) unconfirmed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}
