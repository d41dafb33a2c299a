package settings

import (
	"time"
)

// Tree is one revision of the operators' settings: organisations, classes of
// work, the rules that tie them together, length classes, models and services.
// It is immutable after ParseTree, so a snapshot of it may be shared.
type Tree struct {
	Revision      uint64 // log index of the change that made it, 0 before the first
	Text          []byte // the INI text as the operator applied it
	Organisations []Organisation
	Classes       []Class
	Rules         []Rule
	Lengths       []Length // ascending by UpTo
	Models        []Model
	Services      []Service
	Fleet         Fleet
	Forwarding    *Forwarding // routes of calls that are passed on, nil if there are none
	callers       []caller    // the keys of all organisations
}

// Organisation is one branch of the organisation tree. Name is its dotted path
// below [organisation].
type Organisation struct {
	Name       string
	KeySHA256  []string // lower-case hex digests of the callers' keys
	Admit      bool     // false: every request is refused
	Weight     float64  // share of a full fleet, relative to the other organisations
	Classes    []string // classes that it may use, with their descendants; empty: all
	Limits     Limits
	RetryRatio float64 // retries allowed as a fraction of successes
	Priority   *int    // overrides that of the routes, nil: the route's holds
}

// Class is one branch of the class tree.
type Class struct {
	Name       string
	Priority   int           // engine priority, higher is more urgent
	Deadline   time.Duration // final answer within
	NoRepeat   bool          // every request of the class runs at most once
	QueueLimit int           // most requests waiting on one instance
	Objectives Objectives
}

// Limits bound what one organisation may use over the fleet.
// Zero means no limit.
type Limits struct {
	TokensPerSecond float64 // prompt and answer tokens admitted a second
	InFlight        int     // admitted requests not yet finished
	PromptTokens    int     // longest prompt
}

// Objectives are what the burn report measures a class against.
type Objectives struct {
	FirstToken     time.Duration // bound of the first token for short prompts
	FirstTokenGoal float64       // fraction of answers that meet FirstToken
	InTimeGoal     float64       // fraction of admitted requests answered in time
	ServedGoal     float64       // fraction of received requests served
	SlowdownBound  float64       // bound of the slowdown of short prompts
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
	PromptTokens int // longest prompt, 0: that of the organisation
}

// Length is one length class: prompts of at most UpTo estimated tokens that fit
// no shorter class.
type Length struct {
	Name string
	UpTo int
	Long bool // prompts of this class may block short ones and use the long lane
}

// Model is a model that engines serve.
type Model struct {
	Name     string
	Version  string   // wished version, empty: whatever the engine has
	Adapters []string // wished adapters
	Role     string   // wished role, empty: whatever the engine has
	Replicas int      // wished number of engines, 0: all that announce it
	Spans    bool     // prompts larger than one engine may be spread over several
}

// Service is a plain service.
type Service struct {
	Name     string
	NoRepeat bool
	Deadline time.Duration
	InFlight int // calls in flight on one upstream, 0: no limit
}

// Fleet holds the settings that are not of one branch.
type Fleet struct {
	DefaultClass  string        // class of requests that name none, empty: such requests are refused
	BodyLimit     int64         // bytes of a caller's body
	KeyLifetime   time.Duration // lifetime of an idempotency key
	OrderLifetime time.Duration // how long an operator's order id is remembered
	KeepSeconds   int           // how long callers may keep an address list
	FreshFor      time.Duration // an upstream that is silent for longer gets no new work
	StreamSilence time.Duration // silence after which a stream counts as dead
}

// Resolved is what applies to one request: its class and organisation with the
// winning rule applied.
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
