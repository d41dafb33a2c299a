package placement

// Service chooses the instance of a plain service with the fewest calls in flight, and on a tie
// one in the own availability zone. It returns false if there is none.
//
// It is meant for services with few instances and calls of some milliseconds: a call that
// reaches a busy instance waits for a whole other call, which makes up most of its latency.
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

// IdleService returns an instance of a plain service that has no calls in flight, or -1 if no
// usable one is idle.
func IdleService(engines []Engine) int {
	for i := range engines {
		if e := &engines[i]; e.Load.Streams == 0 && !e.Avoid && !e.Tried && !e.HelpOnly {
			return i
		}
	}
	return -1
}

const (
	// crossZoneCost keeps a call in its zone as long as the instance there has at most one call
	// more; crossing a zone costs about a millisecond each way.
	crossZoneCost = 0.9
	// avoidCost, failingCost and triedCost make an instance the last resort, in this order.
	avoidCost   = 1e3
	failingCost = 1e4
	triedCost   = 1e6
)

func serviceCost(e *Engine, at int, draw float64) float64 {
	cost := float64(e.Load.Streams)
	if !e.SameZone {
		cost += crossZoneCost
	}
	if e.Avoid {
		cost += avoidCost
	}
	if e.Failing {
		cost += failingCost
	}
	if e.Tried {
		cost += triedCost
	}
	// The tie-break rotates between equal instances so that a few calls don't all go to one.
	return cost + tieBreak(at, draw)
}

// tieBreak returns a number below 0.1 that depends on the index and the random draw.
func tieBreak(at int, draw float64) float64 {
	spread := draw + float64(at)*goldenRatio
	return (spread - float64(int(spread))) / 10
}

// goldenRatio, multiplied by consecutive integers, gives fractional parts that are spread evenly
// over the unit interval.
const goldenRatio = 0.6180339887498949
