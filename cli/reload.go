package cli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/event"
	"celeryport/settings"
)

var (
	eventReloaded = event.Define(1110, logrus.InfoLevel, "process settings read again",
		"The file of the process settings changed. The addresses of the control group are taken over; other changes need a restart. Fields: voters.")
	eventReloadFailed = event.Define(1111, logrus.ErrorLevel, "process settings not taken over",
		"The file of the process settings changed and can't be read or has a fault; the instance goes on with the former ones. Fields: error.")
)

// reloadInterval is how often the file is looked at. It may change without a
// signal, and the addresses in it are of use only while those before them are.
const reloadInterval = time.Second

// watchSettings sends the process settings each time that the file changed, until
// ctx ends. A hang-up signal makes it look at once.
func watchSettings(ctx context.Context, path string, log logrus.FieldLogger) <-chan *settings.Process {
	changes := make(chan *settings.Process)
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	known, err := os.ReadFile(path)
	if err != nil {
		eventReloadFailed.Log(log, event.Fields{"error": err})
	}
	go func() {
		defer signal.Stop(hangUp)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangUp:
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			if err != nil || bytes.Equal(text, known) {
				continue // a file that is just being replaced is there at the next look
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
