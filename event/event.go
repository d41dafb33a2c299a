// Package event defines the numbered log events of the system. Each package
// defines its own events; docs/EVENTS.md is the catalogue, checked by a test.
package event

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. Its number never changes its meaning.
type Event struct {
	Number  int
	Level   logrus.Level
	Message string // fixed text of the log line
	Meaning string // for the catalogue: what happened and what the reader should do
}

// Fields are the structured values of a log line.
type Fields = logrus.Fields

var (
	mu       sync.Mutex
	registry = map[int]*Event{}
)

// Define registers an event at package initialisation. A number that is used
// twice is a fault of the program and panics.
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

// All returns every defined event by number.
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
