package bytebudget

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

const (
	// SmallMessage is the size in bytes up to which a message as a whole may use the part of a pool that is set aside.
	SmallMessage = 64 << 10
	// beginning is the size in bytes up to which the beginning of any message may.
	beginning = 4 << 10
	// setAsidePart is that part as a divisor of the rest of the pool, to which it is added.
	setAsidePart = 16
)

// Pool bounds the bytes of messages that wait for memory while they already hold some. It grants memory only as
// long as the messages that hold some can all be read to their ends, in some order, so that they never wait for each
// other. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	size     int64
	free     int64
	setAside int64
	claims   map[*Claim]struct{} // that hold memory
	waiting  []*waiter
}

// waiter is a claim that waits for n more bytes.
type waiter struct {
	claim   *Claim
	n       int64
	granted chan struct{} // closed when they are granted
}

// NewPool returns a pool of size bytes, and a part more for small messages.
func NewPool(size int64) *Pool {
	return &Pool{size: size, free: size, setAside: size / setAsidePart, claims: map[*Claim]struct{}{}}
}

// Free returns the number of bytes that are not granted, without those that are set aside.
func (p *Pool) Free() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free
}

// Claim is what one message may need and what it holds of a pool. It is not safe for concurrent use.
type Claim struct {
	pool       *Pool
	most, held int64
	setAside   int64
}

// Claim returns the claim of a message that needs most bytes at most. It holds nothing yet.
func (p *Pool) Claim(most int64) *Claim { return &Claim{pool: p, most: min(most, p.size)} }

// Await reserves n more bytes. It waits for them until ctx ends.
func (c *Claim) Await(ctx context.Context, n int64) error {
	p := c.pool
	w := p.enter(c, n)
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		if p.leave(w) {
			return ctx.Err()
		}
		return nil // granted meanwhile
	}
}

// enter grants n bytes to a claim, or returns its waiter.
func (p *Pool) enter(c *Claim, n int64) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grant(c, n) {
		return nil
	}
	w := &waiter{claim: c, n: n, granted: make(chan struct{})}
	p.waiting = append(p.waiting, w)
	return w
}

// leave removes a waiter and reports whether it still waited.
func (p *Pool) leave(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiting, w)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
	return at >= 0
}

// Release gives back everything that is reserved.
func (c *Claim) Release() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.held == 0 && c.setAside == 0 {
		return
	}
	p.move(c, -c.held)
	p.setAside += c.setAside
	c.setAside = 0
	p.serve()
}

// serve grants what claims wait for: first to those that hold least, so that new messages don't wait for long ones,
// then to those that miss least. The lock must be held.
func (p *Pool) serve() {
	full := false
	p.serveBy(func(c *Claim) int64 { return c.held }, func(w *waiter) bool {
		granted := (!full || w.claim.most <= SmallMessage) && p.grant(w.claim, w.n)
		full = full || !granted
		return granted
	})
	full = false
	p.serveBy((*Claim).missing, func(w *waiter) bool {
		full = full || !p.grant(w.claim, w.n)
		return !full
	})
}

// serveBy calls grant for the waiters in the order of a key and removes those for which it returns true. The lock must
// be held.
func (p *Pool) serveBy(key func(c *Claim) int64, grant func(w *waiter) bool) {
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int { return cmp.Compare(key(a.claim), key(b.claim)) })
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		granted := grant(w)
		if granted {
			close(w.granted)
		}
		return granted
	})
}

// grant reserves n more bytes for a claim and reports whether that is possible now. The lock must be held.
func (p *Pool) grant(c *Claim, n int64) bool {
	if n <= p.free {
		p.move(c, n)
		if p.completable() {
			return true
		}
		p.move(c, -n)
	}
	if n > p.setAside || c.most > SmallMessage && c.held+c.setAside+n > beginning {
		return false
	}
	p.setAside -= n
	c.setAside += n
	return true
}

// move grants n bytes to a claim, or takes them back if n is negative. The lock must be held.
func (p *Pool) move(c *Claim, n int64) {
	c.held += n
	p.free -= n
	if c.held > 0 {
		p.claims[c] = struct{}{}
	} else {
		delete(p.claims, c)
	}
}

// completable reports whether all messages that hold memory can get the rest of what they may need, one after the
// other. The lock must be held.
func (p *Pool) completable() bool {
	claims := make([]*Claim, 0, len(p.claims))
	for c := range p.claims {
		claims = append(claims, c)
	}
	slices.SortFunc(claims, func(a, b *Claim) int { return cmp.Compare(a.missing(), b.missing()) })
	free := p.free
	for _, c := range claims {
		if c.missing() > free {
			return false
		}
		free += c.held
	}
	return true
}

func (c *Claim) missing() int64 { return max(0, c.most-c.held-c.setAside) }
