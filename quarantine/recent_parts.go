package quarantine

import "time"

// clearedFor is how long an answer shows that a part does not crash upstreams. It is short, since a
// part may begin to do so, for instance with another version of the upstreams, and long enough that a
// part which many requests share is always cleared.
const clearedFor = 2 * time.Second

// maxRecentParts bounds the parts that RecentParts keeps.
const maxRecentParts = 1024

// RecentParts keeps the parts of prompts to which upstreams have recently written answers without
// ending. It is not safe for concurrent use.
type RecentParts struct {
	at map[Part]time.Time
}

// Add adds the parts of a request that an upstream answered.
func (r *RecentParts) Add(now time.Time, parts []Part) {
	if r.at == nil {
		r.at = map[Part]time.Time{}
	}
	if len(r.at)+len(parts) > maxRecentParts {
		r.removeOld(now)
	}
	for _, p := range parts {
		if _, known := r.at[p]; known || len(r.at) < maxRecentParts {
			r.at[p] = now
		}
	}
}

func (r *RecentParts) removeOld(now time.Time) {
	for p, at := range r.at {
		if now.Sub(at) >= clearedFor {
			delete(r.at, p)
		}
	}
}

// Split separates parts into those that are cleared and the others.
func (r *RecentParts) Split(now time.Time, parts []Part) (cleared, others []Part) {
	for _, p := range parts {
		if at, known := r.at[p]; known && now.Sub(at) < clearedFor {
			cleared = append(cleared, p)
		} else {
			others = append(others, p)
		}
	}
	return cleared, others
}
