// Package upstream holds what the system knows of its upstreams: model engines
// and plain services, which announce themselves. Its types are pure.
package upstream

import "time"

// Kind tells model engines from plain services.
type Kind uint8

const (
	// Engine serves prompts.
	Engine Kind = iota
	// Service serves plain calls.
	Service
)

// Fencing tells whether an upstream checks the fencing number of an order.
type Fencing uint8

const (
	// FencingIgnored means that the upstream executes any order.
	FencingIgnored Fencing = iota
	// FencingChecked means that it refuses an order with an older number.
	FencingChecked
)

// Unstated is the incarnation of an upstream that does not tell its starts apart.
const Unstated = 1

// Announcement is what an upstream says of itself. It is the body of
// POST /v1/announce. Incarnation grows with each start of the process, and
// Sequence with each announcement of one incarnation, so that an announcement
// which arrives late never replaces a newer one.
type Announcement struct {
	Name             string       `json:"name"`
	Incarnation      uint64       `json:"incarnation"`
	Sequence         uint64       `json:"sequence"`
	Address          string       `json:"address"` // host:port
	Kind             Kind         `json:"kind"`
	Targets          []string     `json:"targets"` // models, or the service
	Adapters         []string     `json:"adapters,omitempty"`
	Version          string       `json:"version,omitempty"`
	AvailabilityZone string       `json:"availability_zone"`
	MemoryTokens     int          `json:"memory_tokens,omitempty"` // KV memory
	Slots            int          `json:"slots,omitempty"`         // most running requests
	Fencing          Fencing      `json:"fencing"`
	Leaving          bool         `json:"leaving,omitempty"`
	Load             Load         `json:"load"`
	CacheEvents      []CacheEvent `json:"cache_events,omitempty"`
}

// Load is an upstream's report of its own load. Reports lag: Age is how old the
// measurement was when the announcement left.
type Load struct {
	Running       int           `json:"running"`        // requests prefilling or decoding
	Waiting       int           `json:"waiting"`        // requests queued on the engine
	QueuedPrefill int           `json:"queued_prefill"` // prompt tokens not yet prefilled
	LongPrefill   int           `json:"long_prefill"`   // of these, tokens of prompts under way that are longer than one chunk
	HeldTokens    int           `json:"held_tokens"`    // KV memory in use by requests and reservations
	PrefillRate   float64       `json:"prefill_rate"`   // measured tokens a second
	DecodeRate    float64       `json:"decode_rate"`    // measured tokens a second of one stream
	Age           time.Duration `json:"age"`
}

// CacheEvent says that a prefix entered or left the upstream's prefix cache.
// Events come late and with gaps: a jump of Sequence means that some were lost.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
	Evicted    bool   `json:"evicted,omitempty"`
}
