package control

import (
	"testing"
	"time"
)

func TestConfirmationsAllowAShortDelay(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		revision uint64
		after    time.Duration
		want     bool
	}{
		"the accepted one":               {9, time.Hour, true},
		"superseded a moment ago":        {7, confirmGrace, true},
		"superseded long ago":            {7, confirmGrace + 1, false},
		"superseded two changes ago":     {5, 0, true},
		"never accepted under this lead": {4, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c confirmations
			for _, accepted := range []uint64{5, 7, 9} {
				c.setCurrent(start, accepted)
			}
			if got := c.isRecent(start.Add(test.after), test.revision); got != test.want {
				t.Fatalf("revision %d after %v: %v", test.revision, test.after, got)
			}
		})
	}
}
