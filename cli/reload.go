package cli

import (
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
		"The file of the process settings changed, but has a fault; the instance keeps the previous settings. Fields: error.")
	eventNeedsRestart = event.Define(1163, logrus.WarnLevel, "process settings need a restart",
		"The file of the process settings differs from what the process started with in keys that only apply at the next start. Fields: keys, without their values; empty: none differ any more.")
	eventFileLost = event.Define(1164, logrus.WarnLevel, "process settings can't be read",
		"The file of the process settings can't be read; the instance keeps the previous settings and goes on trying. Fields: error.")
	eventFileBack = event.Define(1165, logrus.InfoLevel, "process settings can be read again",
		"The file of the process settings, which could not be read for a while, can be read.")
)

// reloadInterval is the polling interval of the file, which may change without a
// signal. New addresses must be read while instances at the old ones can still be
// reached.
const reloadInterval = time.Second

// watchSettings sends the process settings after each change of the file, until
// ctx ends. A value from now triggers an immediate check. A file with a fault is logged and not
// sent.
func watchSettings(ctx context.Context, file instanceFile, now <-chan struct{}, log logrus.FieldLogger) <-chan *settings.Process {
	changes := make(chan *settings.Process)
	watch := settingsWatch{path: file.path, started: file.text, known: file.text, log: log}
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
			process := watch.observe(os.ReadFile(file.path))
			if process == nil {
				continue
			}
			select {
			case changes <- process:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes
}
