package cli

import (
	"testing"

	"github.com/cockroachdb/errors"

	"celeryport/bench"
)

func TestMissedBarFailsTheCommand(t *testing.T) {
	// A change makes short prompts slower than the bar allows. If the command still
	// ended well, a script that compares versions would let the change pass.
	if err := failedBars([]bench.Criterion{{Pass: true}, {Pass: true}}); err != nil {
		t.Errorf("all bars hold, and the command fails: %v", err)
	}
	var exit *ExitError
	if err := failedBars([]bench.Criterion{{Pass: true}, {Pass: false}}); !errors.As(err, &exit) || exit.Code != ExitFailed {
		t.Errorf("a bar is missed, and the command ends with %v", err)
	}
}
