package enginemodel

import "time"

// Job is a request to the engine.
type Job struct {
	ID           string // request id and attempt
	Owner        string // instance and incarnation
	Priority     int    // jobs of higher priority run first, those of equal priority in order of arrival
	PromptTokens int
	OutputTokens int
	PrefixHash   uint64
	PrefixTokens int
	Offset       int     // number of answer tokens already sent, which are prefilled together with the prompt
	MemoryTokens int     // memory to hold on this engine for a part of a span; 0: enough for prompt and output
	SpanSpeedup  float64 // prefill speed relative to one engine, for the leading part of a span; 0 means 1
}

// memory returns the memory in tokens that the job holds while it runs.
func (j *Job) memory() int {
	if j.MemoryTokens > 0 {
		return j.MemoryTokens
	}
	return j.PromptTokens + j.OutputTokens
}

// valid reports whether the parameters of the job are valid.
func (j *Job) valid() bool {
	return j.ID != "" && j.PromptTokens > 0 && j.OutputTokens > 0 &&
		j.Offset >= 0 && j.Offset < j.OutputTokens && j.MemoryTokens >= 0 && j.SpanSpeedup >= 0
}

// task is a job with its progress on the engine.
type task struct {
	Job
	sequence       uint64 // order of arrival
	submitted      int64
	index          int  // position in the waiting heap, or notWaiting once the task runs
	prefillStarted bool // the prefill has started
	prefillLeft    int  // tokens still to prefill, of the prompt and of the answer before Offset
	share          int  // prompt tokens to prefill in each step of the current phase
	cached         int  // prompt tokens taken from the prefix cache
	generated      int  // answer tokens available so far, including those before Offset
}

// notWaiting is the index of a running task.
const notWaiting = -1

// before orders tasks by priority, then by arrival.
func (t *task) before(other *task) bool {
	if t.Priority != other.Priority {
		return t.Priority > other.Priority
	}
	return t.sequence < other.sequence
}

// prefillSeconds returns the time for the prefill of the given number of tokens, at
// rate tokens per second on one engine.
func (t *task) prefillSeconds(tokens int, rate float64) float64 {
	if t.SpanSpeedup > 0 {
		rate *= t.SpanSpeedup
	}
	return float64(tokens) / rate
}

// HoldingKind is the kind of a Holding.
type HoldingKind uint8

const (
	// HeldByRequest is memory of a running request.
	HeldByRequest HoldingKind = iota
	// HeldByReservation is memory reserved for one part of a span.
	HeldByReservation
	// HeldByExport is memory of a KV export whose lease has not ended.
	HeldByExport
)

// Holding is a request, reservation or export that holds memory.
type Holding struct {
	ID     string
	Owner  string
	Tokens int
	Kind   HoldingKind
	Since  time.Time
}
