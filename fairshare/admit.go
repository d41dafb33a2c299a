package fairshare

import (
	"math"
	"time"
)

// refusedRatio is the ratio of demand to share above which short prompts are refused while no slot is
// free. It is above limitedRatio because a refusal loses the call, while the order of the arbiter only
// delays it.
const refusedRatio = 2

// Verdict is the decision on a short prompt.
type Verdict struct {
	Refused bool
	Excess  time.Duration // pause after which the organisation is within its limit
}

// Admit decides on a short prompt of an organisation. It is refused if the organisation demands more
// than twice its share and already gets its share, unless any slot is free. Such a call proceeds
// if less than one in 20 calls of its key would be admitted otherwise.
func Admit(now time.Time, s Standing, slotFree bool, floor *Floor, key FloorKey, draw float64) Verdict {
	excess := s.excess()
	if slotFree || excess == 0 {
		if s.Limited() {
			floor.Admitted(now, key, draw)
		}
		return Verdict{}
	}
	if floor.Take(now, key, draw) {
		return Verdict{}
	}
	return Verdict{Refused: true, Excess: excess}
}

// excess returns the time in which the served rate decays to the share without further calls; 0 if
// the calls of the organisation are not refused. The served rate alone does not show it: an organisation
// with half of the fleet as its share can take all slots without being served twice its share.
func (s Standing) excess() time.Duration {
	if !s.Known || s.Demand <= refusedRatio*s.Share || s.Served <= s.Share {
		return 0
	}
	if s.Share <= 0 {
		return servedWindow
	}
	return min(servedWindow, time.Duration(math.Log(s.Served/s.Share)*float64(servedWindow)))
}
