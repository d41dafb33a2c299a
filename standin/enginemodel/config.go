// Package enginemodel implements a small queueing model of a model engine: continuous
// batching with chunked prefill, KV memory, a prefix cache, priorities and
// cancellation. It performs no I/O and reads no clock: the stand-in engine runs it in
// real time and the bench in virtual time.
package enginemodel

import "time"

// Config holds the parameters of an engine.
type Config struct {
	PrefillRate       float64       // prompt tokens per second over all requests
	Chunk             int           // maximum number of prompt tokens per iteration
	DecodeStep        time.Duration // duration of an iteration without prefill
	MaxRunning        int           // maximum number of requests in a batch
	MemoryTokens      int           // KV memory in tokens
	CacheTokens       int           // maximum memory of the prefix cache, which uses only otherwise unused memory
	CacheLag          time.Duration // delay of the publication of cache events
	CacheLossOneIn    int           // one in this many cache events is lost; 0: none
	LoadLag           time.Duration // age of the load reports
	FirstAndLastOnly  bool          // emit only the first Token event and Finished, so that series of equal iterations can be skipped
	ReservationsLimit int           // maximum number of simultaneous reservations and exports
}

// Defaults, which match an engine of today's deployments.
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

// DefaultConfig returns the parameters of an engine that has 400,000 tokens of memory
// and prefills 20,000 tokens per second.
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

// withDefaults replaces missing values by the defaults, except for the cache size, the
// lags and the event loss, for which zero is a valid value.
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
