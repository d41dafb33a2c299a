package cli

import (
	"testing"

	"github.com/cockroachdb/errors"

	"celeryport/bench"
)

func TestMissedBarFailsTheCommand(t *testing.T) {
	// Guards against exit code 0 after a missed threshold, which would let a
	// regression pass in scripts that compare versions.
	if err := checkBars([]bench.Criterion{{Pass: true}, {Pass: true}}); err != nil {
		t.Errorf("all thresholds met, but the command fails: %v", err)
	}
	var exit *ExitError
	if err := checkBars([]bench.Criterion{{Pass: true}, {Pass: false}}); !errors.As(err, &exit) || exit.Code != ExitFailed {
		t.Errorf("a threshold is missed, but the command returns %v", err)
	}
}
