package enginemodel

import "time"

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Token means that another answer token is ready.
	Token EventKind = iota
	// Finished means that the job is complete and its memory is free.
	Finished
)

// Event is the progress of a job.
type Event struct {
	At     time.Time
	Kind   EventKind
	ID     string
	Offset int // number of answer tokens ready, including this one
	Cached int // number of prompt tokens taken from the prefix cache
}
