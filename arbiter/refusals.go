package arbiter

import "time"

// returned remembers when the prompts came that were refused. A caller that comes
// back has a new id for its call and may meet another instance, but the prompt is the
// same, and its objective counts from the first try.
//
// How long a caller still waits tells nothing of that: callers of one route differ by
// a third in their patience. Taken for time that had passed, that difference made 1,902
// of 2,310 new calls look like ones that came back, and long prompts were refused as
// late on their arrival.
type returned map[uint64]time.Time

// returnKept is how long a refusal is remembered: longer than callers of long prompts
// wait in all.
const returnKept = 30 * time.Second

// note remembers a prompt that is refused and came first at a time.
func (r returned) note(first time.Time, prompt uint64) {
	if _, known := r[prompt]; prompt != 0 && !known {
		r[prompt] = first
	}
}

// age returns how old a prompt is that comes at a time, 0 for a new one.
func (r returned) age(arrived time.Time, prompt uint64) time.Duration {
	first, known := r[prompt]
	if !known {
		return 0
	}
	return max(0, arrived.Sub(first))
}

func (r returned) forget(now time.Time) {
	for prompt, first := range r {
		if now.Sub(first) > returnKept {
			delete(r, prompt)
		}
	}
}
