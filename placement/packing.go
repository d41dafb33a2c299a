package placement

import (
	"math"
	"time"

	"celeryport/settings"
)

const (
	// baseOccupancy and peakOccupancy are the mean fraction of an engine's slots that tight
	// streams fill on the engines they are packed onto: without waiting long prompts, and with
	// many of them. The other slots are for calls that other instances place at the same moment;
	// a call that finds no slot waits for the end of a whole other answer.
	baseOccupancy = 0.6
	peakOccupancy = 0.8
	// maxLeading limits how many prompts may wait for their first event at one engine.
	maxLeading = 3
	// minCandidates is the minimum number of engines among which a short prompt is placed at
	// random: as many as there are calls in the time until the other instances learn of one.
	minCandidates = 4
	// minPackedFraction is the minimum fraction of the engines onto which tight streams are
	// packed while no long prompts wait. At the start of a burst there are few streams, and
	// without this minimum the first calls of all instances would share two engines.
	minPackedFraction = 0.25
	// reservedFraction is the fraction of the engines that short streams leave free as long as
	// the others have room. A long prompt that finds no free engine is late or delays other
	// streams.
	reservedFraction = 0.2
)

// packingWidth returns the number of engines onto which tight streams are packed. A small number
// leaves more engines to long prompts, whose prefill delays streams. But these few are then
// full, or busy with the prompts that other instances have just placed: sending every call to
// the first engine with room makes first events later than predicted. So the packing is dense
// only while long prompts wait.
func packingWidth(p *settings.EngineProfile, engines []Engine, usable []int) int {
	filled, pressure := occupiedWidth(p, engines, usable)
	width := max(filled+1, int((1-pressure)*minPackedFraction*float64(len(usable))))
	most := len(usable) - int(reservedFraction*float64(len(usable)))
	return min(width, max(1, most))
}

// occupiedWidth returns how many engines the tight streams fill, and the pressure of long
// prompts from 0 to 1.
func occupiedWidth(p *settings.EngineProfile, engines []Engine, usable []int) (int, float64) {
	tight, prefill := 0, time.Duration(0)
	for _, i := range usable {
		tight += engines[i].Load.Tight
		prefill += engines[i].Load.PrefillTime
	}
	mean := prefill / time.Duration(max(1, len(usable)))
	pressure := longPromptPressure(p, mean)
	occupancy := baseOccupancy + pressure*(peakOccupancy-baseOccupancy)
	return int(math.Ceil(float64(tight) / (occupancy * float64(max(1, p.Slots))))), pressure
}

// longPromptPressure maps the mean queued prefill time of the engines to a pressure from 0 (what
// short prompts alone cause) to 1 (the shortest allowed pause).
func longPromptPressure(p *settings.EngineProfile, mean time.Duration) float64 {
	calm := fraction(calmFraction, pauseBudget(p))
	return min(1, max(0, float64(mean-calm)/float64(max(1, minPause(p)-calm))))
}

// packingLead returns the lead engine for a tight stream and its part of the prefill: the less
// loaded of two random picks among the engines onto which tight streams are packed, extended by
// the next engines if too few of these have room. If fewer than
// minCandidates engines have room, some of the calls deliberately skip them, because otherwise all
// calls of the same moment would go to the few that are left.
func packingLead(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, part time.Duration) (int, bool) {
	width := packingWidth(p, engines, usable)
	if call.Spread {
		width = len(usable)
	}
	open := make([]int, 0, width)
	for at, i := range usable {
		if at >= width && len(open) >= minCandidates {
			break
		}
		if e := &engines[i]; !e.HelpOnly && hasRoom(p, e, call) && e.Load.PrefillTime+part <= maxShortPrefill(p) && e.Load.Leading < maxLeading {
			open = append(open, i)
		}
	}
	first := int(call.Draw[0] * float64(max(minCandidates, len(open))))
	if first >= len(open) {
		return 0, false
	}
	return lessLoaded(engines, open[first], pick(open, call.Draw[1])), true
}

func pick(from []int, draw float64) int { return from[int(draw*float64(len(from)))] }

// lessLoaded returns the engine that leads fewer prompts, or on a tie the one with fewer
// streams. Comparing queued prefill alone is not enough: prompts that wait for the current pass
// then count as already prefilled, and first events come later than predicted.
func lessLoaded(engines []Engine, a, b int) int {
	x, y := &engines[a].Load, &engines[b].Load
	if y.Leading < x.Leading || y.Leading == x.Leading && y.Streams < x.Streams {
		return b
	}
	return a
}
