package settings

import (
	"time"
)

// Tree is one revision of the fleet-wide settings: organisations, classes of work,
// rules that combine them, length classes, models and services. It is immutable
// after ParseTree and can be shared.
type Tree struct {
	Revision      uint64 // log index of the entry that applied it, 0 before the first
	Text          []byte // INI text as applied by the operator
	Organisations []Organisation
	Classes       []Class
	Rules         []Rule
	Lengths       []Length // ascending by UpTo
	Models        []Model
	Services      []Service
	Fleet         Fleet
	Forwarding    *Forwarding // routes of forwarded calls, nil if there are none
	callerKeys    []callerKey // keys of all organisations
}

// Organisation is one branch of the organisation tree. Name is its dotted path
// below [organisation].
type Organisation struct {
	Name       string
	KeySHA256  []string // lower-case hex digests of the callers' keys
	Admit      bool     // false: all requests are rejected
	Weight     float64  // relative share of the fleet under contention
	Classes    []string // classes it may use, including their descendants; empty: all
	Limits     Limits
	RetryRatio float64 // retries allowed, as a fraction of successful requests
	Priority   *int    // overrides the priority of routes; nil: that of the route applies
}

// Class is one branch of the class tree.
type Class struct {
	Name       string
	Priority   int           // engine priority; higher is more urgent
	Deadline   time.Duration // from arrival to the final answer
	NoRepeat   bool          // every request of the class runs at most once
	QueueLimit int           // maximum requests waiting on one instance
	Objectives Objectives
}

// Limits bounds the fleet-wide usage of one organisation. Zero means no limit.
type Limits struct {
	TokensPerSecond float64 // prompt and answer tokens admitted per second
	InFlight        int     // admitted requests that have not finished
	PromptTokens    int     // longest prompt
}

// Objectives are the service level objectives of a class, used by the burn report.
type Objectives struct {
	FirstToken     time.Duration // bound of the time to first token of short prompts
	FirstTokenGoal float64       // fraction of answers that meet FirstToken
	InTimeGoal     float64       // fraction of admitted requests answered before their deadline
	ServedGoal     float64       // fraction of received requests served
	SlowdownBound  float64       // bound of the slowdown of short prompts, against an idle fleet
	Window         time.Duration // period of the error budget
}

// Rule overrides the settings of its class and organisation for requests that
// match both. An empty selector matches everything; a selector matches the
// branch that it names and all its descendants. The most specific match wins.
type Rule struct {
	Name         string
	Organisation string
	Class        string
	Admit        *bool
	Priority     *int
	Deadline     *time.Duration
	PromptTokens int // longest prompt, 0: the organisation's limit applies
}

// Length is one length class: prompts of at most UpTo estimated tokens that do
// not fit a shorter class.
type Length struct {
	Name string
	UpTo int
	Long bool // prompts of this class can block short ones and are scheduled in the lane for long prompts
}

// Model is a model that engines serve.
type Model struct {
	Name     string
	Version  string   // desired version, empty: any
	Adapters []string // desired adapters
	Role     string   // desired role, empty: any
	Replicas int      // desired number of engines, 0: all that announce the model
	Spans    bool     // prompts larger than one engine may be spread over several
}

// Service is a plain service.
type Service struct {
	Name     string
	NoRepeat bool
	Deadline time.Duration
	InFlight int // calls in flight on one upstream, 0: no limit
}

// Fleet holds the settings that apply to the whole fleet.
type Fleet struct {
	DefaultClass  string        // class of requests without a class, empty: such requests are rejected
	BodyLimit     int64         // maximum bytes of a caller's request body
	KeyLifetime   time.Duration // lifetime of an idempotency key
	OrderLifetime time.Duration // how long the id of an operator's order is kept for deduplication
	KeepSeconds   int           // how long callers may cache the address list
	FreshFor      time.Duration // upstreams silent for longer get no new requests
	StreamSilence time.Duration // silence after which a stream is considered dead
}

// Resolved holds the settings of one request: those of its class and organisation,
// overridden by the winning rule.
type Resolved struct {
	Organisation string
	Class        string
	Admit        bool
	Weight       float64
	Priority     int
	Deadline     time.Duration
	NoRepeat     bool
	QueueLimit   int
	RetryRatio   float64
	Limits       Limits
	Objectives   Objectives
}
