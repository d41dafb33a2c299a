package signals

import (
	"os"
	"syscall"
)

// What a consumer that does not receive keeps. Each kind has its own place, so that many of one do
// not displace the other, and more have no further effect.
const (
	keptHangUps = 1
	keptStops   = 2 // the second one has no effect, but is logged
)

// Consumer receives signals until it is closed.
type Consumer struct {
	HangUps chan os.Signal // SIGHUP
	Stops   chan os.Signal // SIGINT and SIGTERM
	from    *dispatcher
}

func newConsumer(from *dispatcher) *Consumer {
	return &Consumer{HangUps: make(chan os.Signal, keptHangUps), Stops: make(chan os.Signal, keptStops), from: from}
}

// Close stops the delivery. Signals that were not received are discarded.
func (c *Consumer) Close() { c.from.remove(c) }

func (c *Consumer) deliver(s os.Signal) {
	channel := c.Stops
	if s == syscall.SIGHUP {
		channel = c.HangUps
	}
	select {
	case channel <- s:
	default:
	}
}
