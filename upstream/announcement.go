// Package upstream tracks the state of upstreams: model engines and plain
// services, which register by announcing themselves. The package performs no I/O
// and reads no clock.
package upstream

import "time"

// Kind distinguishes model engines from plain services.
type Kind uint8

const (
	// Engine generates answers to prompts.
	Engine Kind = iota
	// Service handles ordinary HTTP calls.
	Service
)

// Fencing states whether an upstream checks the fencing number of an order.
type Fencing uint8

const (
	// FencingIgnored upstreams execute every order.
	FencingIgnored Fencing = iota
	// FencingChecked upstreams reject an order whose number is lower than one already seen.
	FencingChecked
)

// UnknownIncarnation is the incarnation of an upstream that reports none, so that its restarts
// cannot be distinguished.
const UnknownIncarnation = 1

// Announcement is an upstream's description of itself and the body of
// POST /v1/announce. Incarnation increases with each start of the process, and
// Sequence with each announcement within an incarnation, so that a delayed
// announcement never replaces a newer one.
type Announcement struct {
	Name             string       `json:"name"`
	Incarnation      uint64       `json:"incarnation"`
	Sequence         uint64       `json:"sequence"`
	Address          string       `json:"address"` // host:port
	Kind             Kind         `json:"kind"`
	Targets          []string     `json:"targets"` // model names, or the service name
	Adapters         []string     `json:"adapters,omitempty"`
	Version          string       `json:"version,omitempty"`
	AvailabilityZone string       `json:"availability_zone"`
	MemoryTokens     int          `json:"memory_tokens,omitempty"` // KV memory
	Slots            int          `json:"slots,omitempty"`         // maximum number of concurrently running requests
	Fencing          Fencing      `json:"fencing"`
	Leaving          bool         `json:"leaving,omitempty"`
	Load             Load         `json:"load"`
	CacheEvents      []CacheEvent `json:"cache_events,omitempty"`

	// ColdFor is how long after the announcement the upstream is cold: it has started
	// recently and accepts requests at a reduced rate only.
	ColdFor time.Duration `json:"cold_for,omitempty"`
}

// Load is the load that an upstream reports for itself. Age is the age of the
// measurement when the announcement was sent.
type Load struct {
	Running       int           `json:"running"`        // requests prefilling or decoding
	Waiting       int           `json:"waiting"`        // requests queued on the engine
	QueuedPrefill int           `json:"queued_prefill"` // prompt tokens not yet prefilled
	LongPrefill   int           `json:"long_prefill"`   // the part of QueuedPrefill that belongs to running prompts longer than one chunk
	HeldTokens    int           `json:"held_tokens"`    // KV memory in use by requests and reservations
	PrefillRate   float64       `json:"prefill_rate"`   // measured tokens per second
	DecodeRate    float64       `json:"decode_rate"`    // measured tokens per second of a single stream
	Age           time.Duration `json:"age"`
}

// CacheEvent reports that a prefix was added to or evicted from the upstream's
// prefix cache. Events may be delayed or lost; a gap in Sequence means that some
// were lost.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
	Evicted    bool   `json:"evicted,omitempty"`
}
