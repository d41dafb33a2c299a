package transit

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
)

// contact is what the attempts to connect to one instance show.
type contact struct {
	failover.Reachability
	failedAt time.Time
	checking chan struct{} // closed when the attempt that runs has ended; nil if none runs
}

// Check opens a connection to an instance in the background. The returned channel is closed when the
// result is known. One attempt runs at a time.
func (p *Pool) Check(address string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.contact(address)
	if c.checking == nil {
		c.checking = make(chan struct{})
		go p.check(address, c.checking)
	}
	return c.checking
}

func (p *Pool) check(address string, done chan<- struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // only the connection was of interest
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.contact(address)
	c.checking = nil
	if err == nil {
		delete(p.contacts, address)
		return
	}
	c.failedAt = time.Now()
	c.Failed(c.failedAt, errors.Is(err, syscall.ECONNREFUSED))
}

// Contact returns what the checks of an instance show. leaving means that it is about to leave.
func (p *Pool) Contact(now time.Time, address string, leaving bool) failover.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.contacts[address]; c != nil {
		return c.Contact(now, leaving)
	}
	return failover.Reachable
}

// contact returns the contact of an address. The lock must be held.
func (p *Pool) contact(address string) *contact {
	c := p.contacts[address]
	if c == nil {
		c = &contact{}
		p.contacts[address] = c
	}
	return c
}

// sweepContacts forgets failures that count no more. The lock must be held.
func (p *Pool) sweepContacts(now time.Time) {
	for address, c := range p.contacts {
		if c.checking == nil && now.Sub(c.failedAt) >= failover.MaxSoundSilence {
			delete(p.contacts, address)
		}
	}
}
