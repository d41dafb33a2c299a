package dispatch

import "time"

// Config holds the tuning parameters of a Scheduler. Zero values select the
// defaults.
type Config struct {
	// ShortWindow is the maximum queued prefill, expressed as time, behind
	// which a short request is sent to an upstream. Requests beyond it wait in
	// the instance, where shares and ordering are enforced.
	ShortWindow time.Duration
	// LongWindow is the equivalent of ShortWindow for long requests.
	LongWindow time.Duration
	// AgedWindow is the equivalent of ShortWindow for long requests that have
	// waited for a quarter of the time up to their deadline.
	AgedWindow time.Duration
	// Step is the interval at which waiting requests are re-evaluated.
	Step time.Duration
	// BackoffBase and BackoffMax bound the backoff before a retry.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Network is the one-way network time between the instance and an upstream.
	Network time.Duration
	// Margin is reserved before a deadline for delays that the prediction does
	// not cover.
	Margin time.Duration
	// DefaultQueueLimit bounds the waiting requests of a class that has no
	// configured limit.
	DefaultQueueLimit int
}

// withDefaults returns c with unset fields replaced by their defaults.
func (c Config) withDefaults() Config {
	c.ShortWindow = orDefault(c.ShortWindow, 500*time.Millisecond)
	c.LongWindow = orDefault(c.LongWindow, 500*time.Millisecond)
	c.AgedWindow = orDefault(c.AgedWindow, 5*time.Second)
	c.Step = orDefault(c.Step, 100*time.Millisecond)
	c.BackoffBase = orDefault(c.BackoffBase, 50*time.Millisecond)
	c.BackoffMax = orDefault(c.BackoffMax, 2*time.Second)
	c.Network = orDefault(c.Network, 2*time.Millisecond)
	c.Margin = orDefault(c.Margin, 20*time.Millisecond)
	if c.DefaultQueueLimit == 0 {
		c.DefaultQueueLimit = 1000
	}
	return c
}

func orDefault(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}
