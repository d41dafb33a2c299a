// Package event defines numbered log events. Each package defines its own events;
// docs/EVENTS.md is the generated catalogue of all of them.
package event

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. The meaning of its number never changes.
type Event struct {
	Number  int
	Level   logrus.Level
	Message string // fixed text of the log line
	Meaning string // for the catalogue: what happened and what to do
}

// Fields are the structured values of a log line.
type Fields = logrus.Fields

var (
	mu       sync.Mutex
	registry = map[int]*Event{}
)

// Define registers an event during package initialisation. It panics if the number
// is already in use.
func Define(number int, level logrus.Level, message, meaning string) *Event {
	mu.Lock()
	defer mu.Unlock()
	if old, taken := registry[number]; taken {
		panic(fmt.Sprintf("event %d is defined twice: %q and %q", number, old.Message, message))
	}
	e := &Event{Number: number, Level: level, Message: message, Meaning: meaning}
	registry[number] = e
	return e
}

// Log writes the event with its fields.
func (e *Event) Log(log logrus.FieldLogger, fields Fields) {
	entry := log.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case logrus.ErrorLevel:
		entry.Error(e.Message)
	case logrus.WarnLevel:
		entry.Warn(e.Message)
	case logrus.DebugLevel:
		entry.Debug(e.Message)
	default:
		entry.Info(e.Message)
	}
}

// All returns all defined events, ordered by number.
func All() []*Event {
	mu.Lock()
	defer mu.Unlock()
	events := make([]*Event, 0, len(registry))
	for _, e := range registry {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}
