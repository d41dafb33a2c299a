package enginemodel

import "time"

// Job is one request on the engine.
type Job struct {
	ID           string // request id and attempt
	Owner        string // instance and incarnation
	Priority     int    // higher runs first, first come first served within
	PromptTokens int
	OutputTokens int
	PrefixHash   uint64
	PrefixTokens int
	Offset       int     // answer tokens that need not be sent again; they are prefilled with the prompt
	MemoryTokens int     // memory to hold here, for a part of a span; 0: prompt and output
	SpanSpeedup  float64 // prefill speed relative to one engine, for the leading part of a span; 0 means 1
}

// memory is what the job holds while it runs.
func (j *Job) memory() int {
	if j.MemoryTokens > 0 {
		return j.MemoryTokens
	}
	return j.PromptTokens + j.OutputTokens
}

// valid reports whether the job can run at all.
func (j *Job) valid() bool {
	return j.ID != "" && j.PromptTokens > 0 && j.OutputTokens > 0 &&
		j.Offset >= 0 && j.Offset < j.OutputTokens && j.MemoryTokens >= 0 && j.SpanSpeedup >= 0
}

// task is a job with its progress on the engine.
type task struct {
	Job
	sequence  uint64 // order of arrival
	submitted int64
	index     int // position in the waiting heap, notWaiting once it runs
	begun     bool
	left      int // prompt tokens to prefill
	share     int // prompt tokens that it prefills in each step of the present stretch
	cached    int // prompt tokens taken from the prefix cache
	made      int // answer tokens ready
}

// notWaiting is the index of a task that runs.
const notWaiting = -1

// before orders tasks by priority, then by arrival.
func (t *task) before(other *task) bool {
	if t.Priority != other.Priority {
		return t.Priority > other.Priority
	}
	return t.sequence < other.sequence
}

// prefillSeconds is the time that tokens of this task's prompt take.
func (t *task) prefillSeconds(tokens int, rate float64) float64 {
	if t.SpanSpeedup > 0 {
		rate *= t.SpanSpeedup
	}
	return float64(tokens) / rate
}

// HoldingKind tells what holds memory.
type HoldingKind uint8

const (
	// HeldByRequest is memory of a running request.
	HeldByRequest HoldingKind = iota
	// HeldByReservation is memory of one part of a span.
	HeldByReservation
	// HeldByExport is memory of a KV export that was not fetched yet.
	HeldByExport
)

// Holding is one thing that holds memory.
type Holding struct {
	ID     string
	Owner  string
	Tokens int
	Kind   HoldingKind
	Since  time.Time
}
