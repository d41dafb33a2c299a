package enginemodel

import "time"

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Token says that one more answer token is ready.
	Token EventKind = iota
	// Finished says that the job is complete and its memory is free.
	Finished
)

// Event is one thing that happened on the engine.
type Event struct {
	At     time.Time
	Kind   EventKind
	ID     string
	Offset int // answer tokens ready, this one included
	Cached int // prompt tokens taken from the prefix cache
}
