package cli

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var eventLibrary = event.Define(1191, logrus.WarnLevel, "message of a library",
	"A library that this process uses wrote a message, for instance net/http about a request whose handler panicked. Fields: text.")

// libraryLog logs each write as an event.
type libraryLog struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (l libraryLog) Write(text []byte) (int, error) {
	eventLibrary.Log(l.log, event.Fields{"text": strings.TrimSpace(string(text))})
	return len(text), nil
}

// captureLibraries sends what libraries write to the standard logger to the log of the instance until
// restore is called. Written to standard error, it would block them, with the locks that they hold,
// while nobody reads that.
func captureLibraries(to logrus.FieldLogger) (restore func()) {
	output, flags := log.Writer(), log.Flags()
	log.SetOutput(libraryLog{to})
	log.SetFlags(0)
	return func() {
		log.SetOutput(output)
		log.SetFlags(flags)
	}
}
