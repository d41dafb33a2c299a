package fairshare

import (
	"math"
	"time"
)

// refusedRatio is the ratio of the served rate to the share above which short prompts are refused
// while no slot is free. It is above limitedRatio because a refusal loses the call, while the order
// of the arbiter only delays it.
const refusedRatio = 2

// Verdict is the decision on a short prompt.
type Verdict struct {
	Refused bool
	Excess  time.Duration // pause after which the organisation is within its limit
}

// Admit decides on a short prompt of an organisation. While any slot is free, and within twice its
// share, no call is refused; of the others one in 20 proceeds.
func Admit(now time.Time, s Standing, slotFree bool, floor *Floor, key FloorKey, draw float64) Verdict {
	if slotFree {
		return Verdict{}
	}
	excess := s.excess()
	if excess == 0 || floor.Take(now, key, draw) {
		return Verdict{}
	}
	return Verdict{Refused: true, Excess: excess}
}

// excess returns the time in which the served rate decays to the limit for short prompts without
// further calls; 0 within the limit.
func (s Standing) excess() time.Duration {
	limit := refusedRatio * s.Share
	if !s.Known || s.Served <= limit {
		return 0
	}
	return min(servedWindow, time.Duration(math.Log(s.Served/limit)*float64(servedWindow)))
}
