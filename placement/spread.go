package placement

import (
	"cmp"
	"slices"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// spread has a long prompt read in even parts. The time until its first event
// falls with their number, while the work stays the same; but each tight stream
// beside a part that is not short is late from then on. So it takes as many engines
// as cost least, those without tight streams first.
//
// With only such engines allowed, a few tight streams that met a long prompt kept
// their engines out for many seconds, since they hardly moved on; prompts of
// 160,000 tokens were read by 1.0 to 1.6 engines then instead of 13.
func spread(p *settings.EngineProfile, engines []Engine, usable []int, call *Call, reading time.Duration) (Plan, bool) {
	lane := laneOf(p, engines, usable)
	if len(lane) == 0 {
		return Plan{}, false
	}
	most := min(len(lane), mostHelpers+1, max(1, call.Prompt/leastPart))
	best, least := Plan{}, 0.0
	for k := 1; k <= most; k++ {
		part := reading / time.Duration(k)
		candidate, found := gather(p, engines, lane, call, part, k)
		if !found {
			continue
		}
		cost := spreadCost(engines, candidate.Home, candidate.Helpers, call, part)
		if best.Part == 0 || cost < least {
			best, least = candidate, cost
		}
	}
	if best.Part == 0 {
		return Plan{}, false
	}
	best.FirstEvent = latestOf(engines, best.Home, best.Helpers) + best.Part + 2*passOf(p, engines[best.Home].Load.Streams+1)
	return best, true
}

// spreadCost is what it costs, in tokens, that a call is late and makes others
// late when these engines read its parts.
func spreadCost(engines []Engine, home int, helpers []int, call *Call, part time.Duration) float64 {
	value := float64(call.Prompt + answerValue*call.Answer)
	cost := harmOf(&engines[home].Load, part, value)
	for _, i := range helpers {
		cost += harmOf(&engines[i].Load, part, value)
	}
	first := float64(latestOf(engines, home, helpers)+part) / float64(max(call.Objective, time.Millisecond))
	// What is planned for the end of the objective is often late: prompts of other
	// instances come between.
	risk := min(1, max(0, (first-earlyShare)/(1-earlyShare)))
	return cost + value*(risk+hasteShare*first)
}

// harmOf is what it costs that the streams of an engine wait for a part. Those
// that wait for more already are late anyhow. The other long streams count like the
// call itself.
func harmOf(load *loadshare.Load, part time.Duration, value float64) float64 {
	harm := 0.0
	if load.Reading <= shortReading && load.Reading+part > shortReading {
		harm += float64(load.Tight) * tightValue
	}
	if load.Reading <= looseReading && load.Reading+part > looseReading {
		harm += float64(load.Streams-load.Tight) * value
	}
	return harm
}

// latestOf returns the most reading that waits at one of the engines.
func latestOf(engines []Engine, home int, helpers []int) time.Duration {
	latest := engines[home].Load.Reading
	for _, i := range helpers {
		latest = max(latest, engines[i].Load.Reading)
	}
	return latest
}

// laneOf lists the engines that may read long prompts: those with the fewest tight
// streams first, and of them those with the least to read. One without any is left
// to short prompts when those have no room elsewhere: they can't wait for the end
// of a long one.
func laneOf(p *settings.EngineProfile, engines []Engine, usable []int) []int {
	lane := make([]int, 0, len(usable))
	room, kept := false, -1
	for _, i := range usable {
		e := &engines[i]
		lane = append(lane, i)
		switch {
		case e.Load.Tight > 0:
			room = room || e.Load.Streams < p.Slots-spareSlots && e.Load.Reading < shortReading
		case kept < 0:
			kept = i
		}
	}
	if !room && kept >= 0 && len(lane) > 1 {
		lane = withoutHome(lane, kept)
	}
	slices.SortStableFunc(lane, func(a, b int) int {
		x, y := &engines[a].Load, &engines[b].Load
		return cmp.Or(cmp.Compare(x.Tight, y.Tight), cmp.Compare(x.Streams, y.Streams), cmp.Compare(x.Reading, y.Reading))
	})
	return lane
}

const (
	// tightValue is what a tight stream is worth, in tokens: the usual prompt of 5,000
	// and ten for each of some 1,300 tokens of the answer.
	tightValue = 18_000
	// answerValue is what a token of the answer is worth in tokens of the prompt.
	answerValue = 10
	// hasteShare is the part of a call's value that a first event just in time costs
	// against one at once; it only decides between plans that are equal otherwise.
	hasteShare = 0.1
)
