package placement

import (
	"cmp"
	"slices"

	"celeryport/loadshare"
	"celeryport/settings"
)

// tolerantStreams returns how many streams of an engine allow long pauses and are still in time.
func tolerantStreams(load *loadshare.Load) int { return load.Streams - load.Tight - load.Late }

// prefillOrder sorts the usable engines in the order in which they should prefill long prompts:
// fewest tight streams first, then those that are free earliest.
func prefillOrder(engines []Engine, usable []int) []int {
	candidates := slices.Clone(usable)
	slices.SortStableFunc(candidates, func(a, b int) int {
		x, y := &engines[a].Load, &engines[b].Load
		return cmp.Or(cmp.Compare(impatientStreams(x), impatientStreams(y)), cmp.Compare(x.PrefillTime, y.PrefillTime), cmp.Compare(x.Streams, y.Streams))
	})
	return candidates
}

// freeEngines keeps the engines with nothing left to prefill. An engine that has prefilled its
// part as a helper is free, even though the first event of that prompt still waits for other
// engines. When it did not count as free, up to eight of twelve engines were idle.
func freeEngines(p *settings.EngineProfile, engines []Engine, candidates []int) []int {
	free := make([]int, 0, len(candidates))
	for _, i := range candidates {
		if load := &engines[i].Load; load.PrefillTime <= maxFreePrefill(p) && load.Leading == 0 {
			free = append(free, i)
		}
	}
	return free
}

// withoutLooseStreams keeps the helpers that run no streams with long pauses. An engine that
// runs such streams and prefills part after part sends events so rarely that a stream takes many
// times as long as it should.
func withoutLooseStreams(engines []Engine, helpers []int) []int {
	idle := make([]int, 0, len(helpers))
	for _, i := range helpers {
		if tolerantStreams(&engines[i].Load) == 0 {
			idle = append(idle, i)
		}
	}
	return idle
}

// eligibleHelpers returns the engines that may help, best first. An engine prefills parts it
// helps with before its own prompts, so an engine that leads a prompt would delay it by helping.
// An engine that already helps as many prompts as it can would reject the whole call. One that
// terminates fails the call, so frail engines do not help.
func eligibleHelpers(p *settings.EngineProfile, engines []Engine, candidates []int, lead int) []int {
	helpers := make([]int, 0, len(candidates))
	for _, i := range candidates {
		load := &engines[i].Load
		if i != lead && !engines[i].Frail && load.Leading == 0 && load.Helping < p.Slots-spareSlots {
			helpers = append(helpers, i)
		}
	}
	return helpers
}

// partHelpers returns the engines that may prefill a short part beside their other work, those
// with the fewest streams first. Engines with long prefill still queued are left out: they would
// delay the other helpers of the prompt, which count as helping until its first event. Seven long
// prompts once waited for a second while five engines had nothing to prefill.
func partHelpers(p *settings.EngineProfile, engines []Engine, candidates []int, lead int) []int {
	helpers := make([]int, 0, len(candidates))
	for _, i := range eligibleHelpers(p, engines, candidates, lead) {
		if engines[i].Load.PrefillTime <= maxTightPart(p) {
			helpers = append(helpers, i)
		}
	}
	slices.SortStableFunc(helpers, func(a, b int) int {
		x, y := &engines[a].Load, &engines[b].Load
		return cmp.Or(cmp.Compare(x.Tight, y.Tight), cmp.Compare(x.Streams, y.Streams), cmp.Compare(x.PrefillTime, y.PrefillTime))
	})
	return helpers
}
