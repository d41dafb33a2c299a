// Package enginemodel is the small queue model of a model engine: continuous
// batching with chunked prefill, KV memory, a prefix cache, priorities and
// cancellation. It is pure; the stand-in engine drives it on the real clock and
// the bench on a virtual one.
package enginemodel

import "time"

// Config holds the constants of one engine.
type Config struct {
	PrefillRate    float64       // prompt tokens a second, all requests together
	Chunk          int           // most prompt tokens of one iteration
	DecodeStep     time.Duration // time of one iteration that only decodes
	MaxRunning     int           // most requests in one batch
	MemoryTokens   int           // KV memory
	CacheTokens    int           // part of the memory that the prefix cache may use while nothing else needs it
	CacheLag       time.Duration // cache events are published so much later
	CacheLossOneIn int           // one in so many cache events is lost, 0: none
	LoadLag        time.Duration // load reports are so old
}

// Job is one request on the engine.
type Job struct {
	ID           string // request id and attempt
	Owner        string // instance and incarnation
	Priority     int    // higher runs first, first come first served within
	PromptTokens int
	OutputTokens int
	PrefixHash   uint64
	PrefixTokens int
	Offset       int     // answer tokens that need not be sent again
	MemoryTokens int     // memory to hold here, for a part of a span; 0: prompt and output
	SpanSpeedup  float64 // prefill speed relative to one engine, for the leading part of a span; 0 means 1
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Token says that one more answer token is ready.
	Token EventKind = iota
	// Finished says that the job is complete and its memory is free.
	Finished
)

// Event is one thing that happened on the engine.
type Event struct {
	At     time.Time
	Kind   EventKind
	ID     string
	Offset int // answer tokens ready, this one included
	Cached int // prompt tokens taken from the prefix cache
}
