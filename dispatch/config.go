package dispatch

import "time"

// Config holds the constants of a Scheduler. Zero values get the defaults.
type Config struct {
	// ShortWindow is the most queued prefill, as time, behind which a short
	// request is sent to an upstream. More waits in the instance, where shares
	// and order hold.
	ShortWindow time.Duration
	// LongWindow is the same for long requests.
	LongWindow time.Duration
	// AgedWindow is the same for long requests that have waited for a quarter of
	// their time.
	AgedWindow time.Duration
	// Step is the interval at which waiting requests are looked at again.
	Step time.Duration
	// BackoffBase and BackoffMax bound the wait before a retry.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Network is the time that a request spends on the way to the upstream and
	// its answer on the way back.
	Network time.Duration
	// Margin is kept free before a deadline for what no prediction covers.
	Margin time.Duration
	// DefaultQueueLimit bounds the waiting requests of a class without a limit
	// of its own.
	DefaultQueueLimit int
}

// withDefaults fills in what is not set.
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
