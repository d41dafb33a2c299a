package placement

import (
	"cmp"
	"slices"

	"celeryport/loadshare"
	"celeryport/settings"
)

// loose is how many streams an engine writes that may pause for long and are in time
// so far.
func loose(load *loadshare.Load) int { return load.Streams - load.Tight - load.Late }

// readersOf lists the engines in the order in which they read long prompts: the ones
// with the fewest tight streams first, and of them those that are free soonest.
func readersOf(engines []Engine, usable []int) []int {
	readers := slices.Clone(usable)
	slices.SortStableFunc(readers, func(a, b int) int {
		x, y := &engines[a].Load, &engines[b].Load
		return cmp.Or(cmp.Compare(x.Tight, y.Tight), cmp.Compare(x.Reading, y.Reading), cmp.Compare(x.Streams, y.Streams))
	})
	return readers
}

// freeOf keeps the readers that have nothing to read. An engine that has read what it
// helps with is free, although the first event of that prompt waits for other engines:
// of twelve readers up to eight stood idle so.
func freeOf(p *settings.EngineProfile, engines []Engine, readers []int) []int {
	free := make([]int, 0, len(readers))
	for _, i := range readers {
		if load := &engines[i].Load; load.Reading <= freeReading(p) && load.Leading == 0 {
			free = append(free, i)
		}
	}
	return free
}

// idleOf keeps the helpers that write no long streams. An engine that writes long
// streams and reads part after part hands on events so seldom that a stream takes many
// times as long as it should.
func idleOf(engines []Engine, helpers []int) []int {
	idle := make([]int, 0, len(helpers))
	for _, i := range helpers {
		if loose(&engines[i].Load) == 0 {
			idle = append(idle, i)
		}
	}
	return idle
}

// helpersOf lists the readers that may help, the best first. Engines read what they
// help with before their own prompts, so that one that leads a prompt keeps that one
// waiting. One that helps as many as it can would reject the whole call.
func helpersOf(p *settings.EngineProfile, engines []Engine, readers []int, lead int) []int {
	helpers := make([]int, 0, len(readers))
	for _, i := range readers {
		load := &engines[i].Load
		if i != lead && load.Leading == 0 && load.Helping < p.Slots-spareSlots {
			helpers = append(helpers, i)
		}
	}
	return helpers
}

// partHelpers lists the readers that may read a short part beside what they do, those
// that write least first. One that still reads for long would keep all the others of
// the same prompt: they count as helping until its first event, and seven long prompts
// waited for a second while five engines had nothing to read.
func partHelpers(p *settings.EngineProfile, engines []Engine, readers []int, lead int) []int {
	helpers := make([]int, 0, len(readers))
	for _, i := range helpersOf(p, engines, readers, lead) {
		if engines[i].Load.Reading <= tightPart(p) {
			helpers = append(helpers, i)
		}
	}
	slices.SortStableFunc(helpers, func(a, b int) int {
		x, y := &engines[a].Load, &engines[b].Load
		return cmp.Or(cmp.Compare(x.Tight, y.Tight), cmp.Compare(x.Streams, y.Streams), cmp.Compare(x.Reading, y.Reading))
	})
	return helpers
}
