package logsink

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat includes milliseconds, since lines of several instances are ordered by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes lines in the format of the project to out. An unknown
// level stands for info.
func NewLogger(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
