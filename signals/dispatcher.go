package signals

import (
	"os"
	"sync"
)

// dispatcher passes signals on to consumers and keeps them while there is none.
type dispatcher struct {
	mu        sync.Mutex
	consumers map[*Consumer]bool
	next      *Consumer // takes the signals while there is no consumer, nil if there is one
}

func newDispatcher() *dispatcher {
	d := &dispatcher{consumers: map[*Consumer]bool{}}
	d.next = newConsumer(d)
	return d
}

func (d *dispatcher) add() *Consumer {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.next
	d.next = nil
	if c == nil {
		c = newConsumer(d)
	}
	d.consumers[c] = true
	return c
}

func (d *dispatcher) remove(c *Consumer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.consumers, c)
	if len(d.consumers) == 0 && d.next == nil {
		d.next = newConsumer(d)
	}
}

func (d *dispatcher) deliver(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next != nil {
		d.next.deliver(s)
	}
	for c := range d.consumers {
		c.deliver(s)
	}
}
