// Package enginemodel is the small queue model of a model engine: continuous
// batching with chunked prefill, KV memory, a prefix cache, priorities and
// cancellation. It is pure; the stand-in engine drives it on the real clock and
// the bench on a virtual one.
package enginemodel

import "time"

// Config holds the constants of one engine.
type Config struct {
	PrefillRate       float64       // prompt tokens a second, all requests together
	Chunk             int           // most prompt tokens of one iteration
	DecodeStep        time.Duration // time of one iteration that only decodes
	MaxRunning        int           // most requests in one batch
	MemoryTokens      int           // KV memory
	CacheTokens       int           // part of the memory that the prefix cache may use while nothing else needs it
	CacheLag          time.Duration // cache events are published so much later
	CacheLossOneIn    int           // one in so many cache events is lost, 0: none
	LoadLag           time.Duration // load reports are so old
	FirstAndLastOnly  bool          // only the first Token and Finished are emitted, so that whole stretches are skipped
	ReservationsLimit int           // most reservations and exports at one time
}

// The constants of an engine of today's deployments.
const (
	defaultPrefillRate       = 20_000
	defaultChunk             = 2048
	defaultDecodeStep        = 20 * time.Millisecond
	defaultMaxRunning        = 64
	defaultMemoryTokens      = 400_000
	defaultCacheTokens       = 100_000
	defaultCacheLag          = 500 * time.Millisecond
	defaultLoadLag           = 500 * time.Millisecond
	defaultReservationsLimit = 256
)

// DefaultConfig returns the constants of an engine with 400,000 tokens of
// memory that prefills 20,000 tokens a second.
func DefaultConfig() Config {
	return Config{
		PrefillRate:       defaultPrefillRate,
		Chunk:             defaultChunk,
		DecodeStep:        defaultDecodeStep,
		MaxRunning:        defaultMaxRunning,
		MemoryTokens:      defaultMemoryTokens,
		CacheTokens:       defaultCacheTokens,
		CacheLag:          defaultCacheLag,
		LoadLag:           defaultLoadLag,
		ReservationsLimit: defaultReservationsLimit,
	}
}

// withDefaults fills what every engine must have; zero is a meaning of its own
// for the cache, the lags and the loss.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if c.PrefillRate <= 0 {
		c.PrefillRate = d.PrefillRate
	}
	if c.Chunk <= 0 {
		c.Chunk = d.Chunk
	}
	if c.DecodeStep <= 0 {
		c.DecodeStep = d.DecodeStep
	}
	if c.MaxRunning <= 0 {
		c.MaxRunning = d.MaxRunning
	}
	if c.MemoryTokens <= 0 {
		c.MemoryTokens = d.MemoryTokens
	}
	if c.ReservationsLimit <= 0 {
		c.ReservationsLimit = d.ReservationsLimit
	}
	return c
}
