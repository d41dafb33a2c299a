package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/event"
	"celeryport/settings"
)

var (
	eventReloaded = event.Define(1110, logrus.InfoLevel, "process settings reloaded",
		"The file of the process settings changed. The addresses of the control group are applied; other changes require a restart. Fields: voters.")
	eventReloadFailed = event.Define(1111, logrus.ErrorLevel, "process settings not reloaded",
		"The file of the process settings changed, but can't be read or has a fault; the instance keeps the previous settings. Fields: error.")
)

// reloadInterval is the polling interval of the file, which may change without a
// signal. New addresses must be read while instances at the old ones can still be
// reached.
const reloadInterval = time.Second

// watchSettings sends the process settings after each change of the file, until
// ctx ends. A value from now triggers an immediate check. A file with a fault is logged and not
// sent.
func watchSettings(ctx context.Context, path string, now <-chan struct{}, log logrus.FieldLogger) <-chan *settings.Process {
	changes := make(chan *settings.Process)
	known, err := os.ReadFile(path)
	if err != nil {
		eventReloadFailed.Log(log, event.Fields{"error": err})
	}
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-now:
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			if err != nil || bytes.Equal(text, known) {
				continue // a file that is being replaced is readable at the next check
			}
			known = text
			process, err := settings.ParseProcess(path, text)
			if err != nil {
				eventReloadFailed.Log(log, event.Fields{"error": err})
				continue
			}
			eventReloaded.Log(log, event.Fields{"voters": process.Voters})
			select {
			case changes <- process:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes
}
