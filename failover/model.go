package failover

import (
	"time"

	"celeryport/placement"
	"celeryport/settings"
)

// Model holds the durations that an engine profile implies for one call.
type Model struct {
	Profile *settings.EngineProfile
	Tokens  int           // tokens to prefill if the call is sent again
	Place   time.Duration // time to choose another engine
}

const (
	// sendTime is the time to connect to another engine and send the call.
	sendTime = 10 * time.Millisecond
	// queuedPrompts is how many prompts of the same length are assumed to be prefilled before
	// the call on another engine.
	queuedPrompts = 1
)

// Pass returns the duration of a pass without prefill and with all slots taken.
func (m Model) Pass() time.Duration {
	p := m.Profile
	if p == nil {
		return 0
	}
	return time.Duration(max(1, p.Stride)) * (p.Step + time.Duration(p.Slots)*p.StepPerSequence)
}

// LongestPrefill returns the longest prefill time in one pass: a chunk at the end of the largest
// prompt that fits into the memory in each step.
func (m Model) LongestPrefill() time.Duration {
	p := m.Profile
	if p == nil || p.PrefillRate <= 0 {
		return 0
	}
	chunk := float64(p.Chunk) / p.PrefillRate * float64(time.Second)
	chunk += float64(p.Chunk) * float64(p.MemoryTokens) / 1e6 * float64(p.PairsPerM)
	return time.Duration(float64(max(1, p.Stride)) * chunk)
}

// ResumeTime returns the time from a move to the next event on a typical other engine: the rest
// of a pass, the prefill and one pass of an engine with all slots taken.
func (m Model) ResumeTime() time.Duration {
	return m.Place + sendTime + m.Pass()/2 + (1+queuedPrompts)*m.prefill() + m.Pass()
}

// MinResumeTime returns the shortest time from a move to the next event: a long prompt is prefilled by several engines.
func (m Model) MinResumeTime() time.Duration {
	switch {
	case m.Profile == nil:
		return sendTime
	case placement.Long(m.Profile, m.Tokens):
		return sendTime + placement.SharedPrefillTime(m.Profile, m.Tokens)
	default:
		return sendTime + m.prefill()
	}
}

func (m Model) prefill() time.Duration {
	if m.Profile == nil {
		return 0
	}
	return placement.PrefillTime(m.Profile, m.Tokens)
}
