package placement

// Service chooses the instance of a plain service with the least under way, and
// among equals one of the own availability zone. The last return is false when
// there is none.
//
// It answers short calls of some milliseconds on few instances: a call that meets
// a full instance waits for a whole other call, which takes most of its time.
func Service(engines []Engine, draw float64) (int, bool) {
	best, bestCost := -1, 0.0
	for i := range engines {
		cost := serviceCost(&engines[i], i, draw)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// IdleService returns an instance of a plain service that has nothing under way, -1 if
// there is none that may be taken.
func IdleService(engines []Engine) int {
	for i := range engines {
		if e := &engines[i]; e.Load.Streams == 0 && !e.Avoid && !e.Tried && !e.HelpOnly {
			return i
		}
	}
	return -1
}

const (
	// farCost keeps a call in its zone as long as the instance there is at most one
	// call busier; crossing a zone costs about a millisecond each way.
	farCost = 0.9
	// avoidCost and triedCost leave an instance as the last resort.
	avoidCost = 1e3
	triedCost = 1e6
)

func serviceCost(e *Engine, at int, draw float64) float64 {
	cost := float64(e.Load.Streams)
	if !e.Near {
		cost += farCost
	}
	if e.Avoid {
		cost += avoidCost
	}
	if e.Tried {
		cost += triedCost
	}
	// Equal instances are taken in turn, so that a few calls don't all meet one.
	return cost + tie(at, draw)
}

// tie returns a number below a tenth that differs with each draw.
func tie(at int, draw float64) float64 {
	spread := draw + float64(at)*goldenRatio
	return (spread - float64(int(spread))) / 10
}

// goldenRatio spreads consecutive numbers evenly over the unit interval.
const goldenRatio = 0.6180339887498949
