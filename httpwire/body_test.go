package httpwire

import (
	"bufio"
	"errors"
	"strings"
	"testing"
)

// Guards against peers that claim much memory by stating a long body and sending little of it.
func TestMemoryOfABodyFollowsWhatHasArrived(t *testing.T) {
	const arrived = 10_000
	for name, framing := range map[string]Framing{"sized": {Kind: Sized, Length: 4 << 20}, "until the end": {Kind: UntilClose}} {
		reserved := int64(0)
		body := NewBody(bufio.NewReader(strings.NewReader(strings.Repeat("x", arrived))), framing)
		_, _ = body.ReadAllReserving(8<<20, func(n int64) error { reserved += n; return nil }) // the body may be truncated
		if reserved > 4*arrived {
			t.Errorf("%s: %d bytes reserved for %d", name, reserved, arrived)
		}
	}
	full := errors.New("full")
	body := NewBody(bufio.NewReader(strings.NewReader(strings.Repeat("x", arrived))), Framing{Kind: Sized, Length: arrived})
	if _, err := body.ReadAllReserving(8<<20, func(int64) error { return full }); !errors.Is(err, full) {
		t.Errorf("read without memory: %v", err)
	}
}
