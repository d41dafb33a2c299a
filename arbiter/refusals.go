package arbiter

import "time"

// refusals records the arrival times of rejected prompts. A caller that retries uses a new ID
// for its call and may reach another instance, but the prompt is the same, and its objective
// counts from the first attempt.
//
// The remaining time of a call doesn't show whether it is a retry: the timeouts of callers of
// one route differ by a third. When the difference was taken for time that had passed, 1,902 of
// 2,310 new calls looked like retries, and long prompts were rejected as late on arrival.
type refusals map[uint64]time.Time

// refusalTTL is how long a rejection is remembered: longer than callers of long prompts wait in
// total.
const refusalTTL = 30 * time.Second

// record stores the time of first arrival of a rejected prompt.
func (r refusals) record(first time.Time, prompt uint64) {
	if _, known := r[prompt]; prompt != 0 && !known {
		r[prompt] = first
	}
}

// age returns the time since a prompt's first arrival, or 0 for a new prompt.
func (r refusals) age(arrived time.Time, prompt uint64) time.Duration {
	first, known := r[prompt]
	if !known {
		return 0
	}
	return max(0, arrived.Sub(first))
}

func (r refusals) expire(now time.Time) {
	for prompt, first := range r {
		if now.Sub(first) > refusalTTL {
			delete(r, prompt)
		}
	}
}
