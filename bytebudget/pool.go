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

	// ShortMessage is the size in bytes up to which a message as a whole may use the part of a pool for short ones. The
	// beginning of any other message may up to SmallMessage, because it may end there if its length is not known.
	ShortMessage = 1 << 20
	// shortPart is that part as a divisor of the rest of the pool, to which it is added.
	shortPart = 4
	// beginningsPart is how much of that part the beginnings of other messages may use together, as a divisor.
	beginningsPart = 2
)

// Pool bounds the bytes of messages that wait for memory while they already hold some. It grants memory only as
// long as the messages that hold some can all be read to their ends, in some order, so that they never wait for each
// other. A part is for short messages only: long ones may hold theirs for as long as their receivers take. It is safe
// for concurrent use.
type Pool struct {
	mu       sync.Mutex
	size     int64
	free     int64
	short    int64 // free bytes of the part for short messages
	begun    int64 // bytes of that part that long messages hold
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

// NewPool returns a pool of size bytes, and parts more for short and small messages.
func NewPool(size int64) *Pool {
	return &Pool{size: size, free: size, short: size / shortPart, setAside: size / setAsidePart, claims: map[*Claim]struct{}{}}
}

// Free returns the number of bytes that are not granted, without those for short and small messages.
func (p *Pool) Free() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free
}

// Claim is what one message may need and what it holds of a pool. It is not safe for concurrent use.
type Claim struct {
	pool       *Pool
	long       bool
	most, held int64
	short      int64 // held of the part for short messages
	setAside   int64 // held of the part that is set aside
}

// Claim returns the claim of a message that needs most bytes at most. It holds nothing yet.
func (p *Pool) Claim(most int64) *Claim {
	return &Claim{pool: p, long: most > ShortMessage, most: min(most, p.size)}
}

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
	w := &waiter{claim: c, n: n, granted: make(chan struct{})}
	p.waiting = append(p.waiting, w)
	if p.serve(); !slices.Contains(p.waiting, w) {
		return nil
	}
	return w
}

// leave removes a waiter and reports whether it still waited.
func (p *Pool) leave(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiting, w)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		p.serve() // others may have waited behind it only
	}
	return at >= 0
}

// Release gives back everything that is reserved. The claim may be used for another message.
func (c *Claim) Release() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.giveBack(c.total())
	c.pool.serve()
}

// Return gives back n bytes, or all that is reserved if that is less, of a message that has been read to its end.
func (c *Claim) Return(n int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.giveBack(min(n, c.total()))
	c.most = c.total()
	c.pool.serve()
}

// giveBack gives back n bytes. The lock must be held.
func (c *Claim) giveBack(n int64) {
	small := min(n, c.setAside)
	short := min(n-small, c.short)
	c.setAside -= small
	c.pool.setAside += small
	c.pool.moveShort(c, -short)
	c.pool.move(c, -(n - small - short))
}

// serve grants what claims wait for: first to small messages and the beginnings of long ones, then to those that miss
// least. New ones must not take the memory with which those that hold some would end. The lock must be held.
func (p *Pool) serve() {
	full := map[bool]bool{} // whether a long or a short message waits on
	grant := func(w *waiter) bool {
		granted := !full[w.claim.long] && p.grant(w.claim, w.n)
		full[w.claim.long] = !granted
		return granted
	}
	p.serveBy((*Claim).total, func(w *waiter) bool {
		if w.claim.isSmall() {
			return p.grant(w.claim, w.n)
		}
		return w.begins() && grant(w)
	})
	clear(full)
	p.serveBy((*Claim).missing, grant)
}

// begins reports whether a claim waits for the beginning of a long message.
func (w *waiter) begins() bool { return w.claim.long && w.claim.total()+w.n <= SmallMessage }

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
	fromShort := func() bool { return n <= p.short && c.mayUseShort(n) && p.grantSafely(c, n, p.moveShort) }
	if !c.long && fromShort() || n <= p.free && p.grantSafely(c, n, p.move) || c.long && fromShort() {
		return true
	}
	if n > p.setAside || c.most > SmallMessage && c.total()+n > beginning {
		return false
	}
	p.setAside -= n
	c.setAside += n
	return true
}

// grantSafely grants n bytes with a function if all messages can be read to their ends afterwards. The lock must be held.
func (p *Pool) grantSafely(c *Claim, n int64, move func(c *Claim, n int64)) bool {
	move(c, n)
	if p.completable() {
		return true
	}
	move(c, -n)
	return false
}

// move grants n bytes to a claim, or takes them back if n is negative. The lock must be held.
func (p *Pool) move(c *Claim, n int64) {
	c.held += n
	p.free -= n
	p.note(c)
}

// moveShort does what move does with the part for short messages.
func (p *Pool) moveShort(c *Claim, n int64) {
	c.short += n
	p.short -= n
	if c.long {
		p.begun += n
	}
	p.note(c)
}

// note keeps the claims that hold memory which others may wait for.
func (p *Pool) note(c *Claim) {
	if c.held+c.short > 0 {
		p.claims[c] = struct{}{}
	} else {
		delete(p.claims, c)
	}
}

// completable reports whether all messages that hold memory can get the rest of what they may need, one after the
// other. The lock must be held.
func (p *Pool) completable() bool {
	var short, long []*Claim
	for c := range p.claims {
		if c.long {
			long = append(long, c)
		} else {
			short = append(short, c)
		}
	}
	byMissing := func(a, b *Claim) int { return cmp.Compare(a.missing(), b.missing()) }
	slices.SortFunc(short, byMissing)
	slices.SortFunc(long, byMissing)
	free, freeShort := p.free, p.short
	for len(short)+len(long) > 0 {
		var next *Claim
		switch {
		case len(short) > 0 && short[0].missing() <= max(free, freeShort):
			next, short = short[0], short[1:]
		case len(long) > 0 && long[0].missing() <= free:
			next, long = long[0], long[1:]
		default:
			return false
		}
		free += next.held
		freeShort += next.short
	}
	return true
}

// mayUseShort reports whether n more bytes may come from the part for short messages. Long ones that wait for the rest
// must not hold all of it.
func (c *Claim) mayUseShort(n int64) bool {
	return !c.long || c.total()+n <= SmallMessage && c.pool.begun+n <= c.pool.size/shortPart/beginningsPart
}

func (c *Claim) isSmall() bool { return c.most <= SmallMessage }

func (c *Claim) total() int64 { return c.held + c.short + c.setAside }

func (c *Claim) missing() int64 { return max(0, c.most-c.total()) }
