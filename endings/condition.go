package endings

import "time"

const (
	// announcementInterval is the longest usual time between two announcements of an engine.
	announcementInterval = 1200 * time.Millisecond
	// overdueAfter is the age from which an announcement is overdue, besides its delay.
	overdueAfter = announcementInterval * 3 / 2
	// minUptime is the time after its start from which an engine without a cold time counts as
	// stable. Most engines that fail at start do so within it.
	minUptime = time.Second
)

// Condition is the evidence on whether an engine is likely to terminate soon.
type Condition struct {
	Leaving    bool          // it leaves, or its availability zone is evacuated
	Suspected  bool          // this instance or several others failed to reach it, and it has not answered since
	DoubtedAt  time.Time     // when this instance learnt that a single other one failed to reach it; zero if none did
	Cold       bool          // it states that it is cold
	LastSignAt time.Time     // when it last announced itself or answered; zero if that is not significant
	Delay      time.Duration // how long announcements usually take to reach this instance
	StartedAt  time.Time     // zero if it is not known to have started recently
	ColdTime   time.Duration // how long it is cold after its start; 0 if not configured
}

// Frail reports whether the engine should not prefill parts of prompts of other engines, whose
// answers would fail with it.
func (c *Condition) Frail(now time.Time) bool {
	uptime := minUptime
	if c.ColdTime > 0 {
		uptime = c.ColdTime
	}
	// A single instance may be cut off from a whole zone whose engines still announce themselves.
	doubted := !c.DoubtedAt.IsZero() && !c.LastSignAt.After(c.DoubtedAt)
	return c.Leaving || c.Suspected || doubted || c.Cold ||
		!c.LastSignAt.IsZero() && now.Sub(c.LastSignAt) > overdueAfter+c.Delay ||
		!c.StartedAt.IsZero() && now.Sub(c.StartedAt) < uptime
}
