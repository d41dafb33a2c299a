package fairshare

import (
	"time"

	"celeryport/placement"
	"celeryport/settings"
)

// EngineTime estimates the time of one engine that a call costs: the prefill of its prompt and its
// part of the decode steps, which a busy engine shares between the streams in all its slots.
func EngineTime(p *settings.EngineProfile, prompt, answer int) time.Duration {
	slots := max(1, p.Slots)
	step := p.Step + time.Duration(slots)*p.StepPerSequence
	return placement.PrefillTime(p, prompt) + time.Duration(max(0, answer))*step/time.Duration(slots)
}
