package logsink

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// Writer writes this line directly to its output, since the logger writes to the buffer that may be full.
var _ = event.Define(1900, logrus.WarnLevel, "log lines dropped",
	"Standard output was too slow and the buffer of log lines was full. Fields: lines, the number of lines dropped since the last such event.")
