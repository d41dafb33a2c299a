package cli

import (
	"bytes"
	"slices"

	"github.com/sirupsen/logrus"

	"celeryport/event"
	"celeryport/settings"
)

// settingsWatch finds out what changes in the file of the process settings.
type settingsWatch struct {
	path    string
	started []byte // what the process started with
	known   []byte // the last content that was read
	lost    bool   // the last check could not read the file
	pending []string
	log     logrus.FieldLogger
}

// observe takes the content of the file, or the error of reading it. It returns the settings if
// they have changed and have no fault, else nil.
func (w *settingsWatch) observe(text []byte, err error) *settings.Process {
	if err != nil {
		if !w.lost {
			eventFileLost.Log(w.log, event.Fields{"error": err})
		}
		w.lost = true
		return nil
	}
	if w.lost {
		eventFileBack.Log(w.log, nil)
		w.lost = false
	}
	if bytes.Equal(text, w.known) {
		return nil
	}
	w.known = text
	process, err := settings.ParseProcess(w.path, text)
	if err != nil {
		eventReloadFailed.Log(w.log, event.Fields{"error": err})
		return nil
	}
	eventReloaded.Log(w.log, event.Fields{"voters": process.Voters})
	if keys := settings.ChangedProcessKeys(w.started, text); !slices.Equal(keys, w.pending) {
		eventNeedsRestart.Log(w.log, event.Fields{"keys": keys})
		w.pending = keys
	}
	return process
}
