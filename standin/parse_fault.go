package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformedFault means that the description of a fault does not have the form
// NAME[:TIMES[:DELAY]].
var ErrMalformedFault = errors.New("a fault is NAME[:TIMES[:DELAY]], such as slow:3:500ms")

// ParseFault parses a fault description of the form NAME[:TIMES[:DELAY]].
func ParseFault(text string) (FaultSwitch, error) {
	parts := strings.Split(text, ":")
	s := FaultSwitch{Fault: Fault(parts[0])}
	if !s.Fault.known() {
		return FaultSwitch{}, errors.Wrapf(ErrUnknownFault, "%q", parts[0])
	}
	if len(parts) > 3 {
		return FaultSwitch{}, errors.Wrapf(ErrMalformedFault, "%q", text)
	}
	if len(parts) > 1 {
		times, err := strconv.Atoi(parts[1])
		if err != nil || times < 0 {
			return FaultSwitch{}, errors.Wrapf(ErrMalformedFault, "times %q", parts[1])
		}
		s.Times = times
	}
	if len(parts) > 2 {
		delay, err := time.ParseDuration(parts[2])
		if err != nil || delay < 0 {
			return FaultSwitch{}, errors.Wrapf(ErrMalformedFault, "delay %q", parts[2])
		}
		s.DelayMs = delay.Milliseconds()
	}
	return s, nil
}
