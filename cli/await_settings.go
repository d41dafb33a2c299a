package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/settings"
)

const (
	settingsSettle = 200 * time.Millisecond // for which a file that can't be used must not change to be refused
	settingsPoll   = 20 * time.Millisecond  // between two reads of it
	maxSettings    = 2 * time.Second        // after which a file that goes on changing is refused
)

// awaitProcess reads the process settings. A file that can't be used is refused once it has stayed the
// same for a moment: whoever replaces it may have written it in part only.
func awaitProcess(ctx context.Context, path string) (*settings.Process, []byte, error) {
	process, text, err := readProcess(path)
	began := time.Now()
	for changed := began; err != nil; {
		now := time.Now()
		if now.Sub(changed) >= settingsSettle || now.Sub(began) >= maxSettings || !clock.Pause(ctx, settingsPoll) {
			return nil, nil, err
		}
		var again []byte
		if process, again, err = readProcess(path); !bytes.Equal(again, text) {
			text, changed = again, time.Now()
		}
	}
	return process, text, nil
}

func readProcess(path string) (*settings.Process, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the process settings")
	}
	process, err := settings.ParseProcess(path, text)
	return process, text, err
}
