package loadshare

import "time"

// Load is the work that one instance, or all together, have under way at an
// upstream.
type Load struct {
	Streams int           // calls that were sent and have not ended
	Tight   int           // of these, streams whose pauses must be short
	Reading time.Duration // of prompts, until their first events
	Held    int           // tokens of KV memory
}

// Add returns the sum.
func (l Load) Add(other Load) Load {
	return Load{
		Streams: l.Streams + other.Streams,
		Tight:   l.Tight + other.Tight,
		Reading: l.Reading + other.Reading,
		Held:    l.Held + other.Held,
	}
}
