package placement

import (
	"math"
	"time"

	"celeryport/settings"
)

const (
	// looseOccupancy and denseOccupancy are the parts of an engine's slots that short
	// streams fill, on the mean of the engines where they gather, without long prompts
	// that wait and with many. The rest takes what other instances place at the same
	// moment; a call above the slots waits for the end of a whole other answer.
	looseOccupancy = 0.6
	denseOccupancy = 0.8
	// shortLeading is how many prompts may wait for their first event at one engine.
	shortLeading = 3
	// leastOpen is among how many engines a short prompt draws at least: as many as there
	// are calls in the time until others hear of one.
	leastOpen = 4
	// calmShare is the least part of the engines where short streams gather while no
	// long prompts wait. Before a burst there are few streams, and the first calls of
	// all instances would share two engines.
	calmShare = 0.25
	// keptShare is the part of the engines that short streams leave free while the
	// others have room: a long prompt that finds none is late or makes streams late.
	keptShare = 0.2
)

// gatherWidth returns on how many engines short streams gather. Few leave the others
// to long prompts, whose reading makes streams late. But few are also full or busy
// with the prompts that others have just placed: with all calls on the first engine
// that has room, first events come later than predicted. So they gather closely only
// while long prompts wait.
func gatherWidth(p *settings.EngineProfile, engines []Engine, usable []int) int {
	filled, pressure := filledWidth(p, engines, usable)
	width := max(filled+1, int((1-pressure)*calmShare*float64(len(usable))))
	most := len(usable) - int(keptShare*float64(len(usable)))
	return min(width, max(1, most))
}

// filledWidth returns how many engines the tight streams fill, and how much long
// prompts press, from 0 to 1.
func filledWidth(p *settings.EngineProfile, engines []Engine, usable []int) (int, float64) {
	tight, reading := 0, time.Duration(0)
	for _, i := range usable {
		tight += engines[i].Load.Tight
		reading += engines[i].Load.Reading
	}
	mean := reading / time.Duration(max(1, len(usable)))
	pressure := pressureOf(p, mean)
	occupancy := looseOccupancy + pressure*(denseOccupancy-looseOccupancy)
	return int(math.Ceil(float64(tight) / (occupancy * float64(max(1, p.Slots))))), pressure
}

// pressureOf returns how much long prompts press, from 0 while the mean reading at an
// engine is that of short prompts to 1 when it is as long as the shortest pause.
func pressureOf(p *settings.EngineProfile, mean time.Duration) float64 {
	calm := share(calmRoom, pauseRoom(p))
	return min(1, max(0, float64(mean-calm)/float64(max(1, leastPause(p)-calm))))
}

// gatherLead returns the engine for a stream with tight pauses and its part of the
// reading: the less busy one of two drawn among the engines where such streams
// gather and, if too few of these have room, the next ones. With a single engine
// left, all calls of the same moment would go there: some of them pass it over.
func gatherLead(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, part time.Duration) (int, bool) {
	width := gatherWidth(p, engines, usable)
	open := make([]int, 0, width)
	for at, i := range usable {
		if at >= width && len(open) >= leastOpen {
			break
		}
		if e := &engines[i]; !e.HelpOnly && hasRoom(p, e, call) && e.Load.Reading+part <= shortReading(p) && e.Load.Leading < shortLeading {
			open = append(open, i)
		}
	}
	first := int(call.Draw[0] * float64(max(leastOpen, len(open))))
	if first >= len(open) {
		return 0, false
	}
	return lessBusy(engines, open[first], drawn(open, call.Draw[1])), true
}

func drawn(from []int, draw float64) int { return from[int(draw*float64(len(from)))] }

// lessBusy returns the engine that leads fewer prompts, or of equals the one with
// fewer streams. Prompts that wait for the pass under way look read already when
// only the reading is counted, and first events come later than predicted.
func lessBusy(engines []Engine, a, b int) int {
	x, y := &engines[a].Load, &engines[b].Load
	if y.Leading < x.Leading || y.Leading == x.Leading && y.Streams < x.Streams {
		return b
	}
	return a
}
