package logsink

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// The line is written past the logger, which may be what has no room.
var _ = event.Define(1900, logrus.WarnLevel, "log lines dropped",
	"Standard output took the lines too slowly, and the buffer was full. Fields: lines, since the last such line.")
