package placement

import (
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// patienceFraction is the fraction of the shortest patience of callers that a pass may take
// beside their streams. The rest is for prefill that is already queued there.
const patienceFraction = 0.75

// passWithPart returns how long the streams of an engine wait for their next event while it
// prefills a part of a prompt that is split over k engines: until the pass or the part ends,
// whichever is earlier. A chunk takes longer the more tokens precede it, so a pass beside a long
// prompt takes many times as long as one beside a short prompt.
func passWithPart(p *settings.EngineProfile, prompt int, part time.Duration, k int) time.Duration {
	chunks := max(1, prompt/k/max(1, p.Chunk))
	return min(part, time.Duration(max(1, p.Stride))*part/time.Duration(chunks))
}

// losesStreams reports whether the streams beside a part would be silent for so long that their
// callers disconnect. Their answers would be lost and their prefill wasted.
func losesStreams(p *settings.EngineProfile, prompt int, part time.Duration, k int) bool {
	return p.MinPatience > 0 && passWithPart(p, prompt, part, k) > fraction(patienceFraction, p.MinPatience)
}

// impatientStreams returns how many streams of an engine have callers that may disconnect during
// a long pass. Late streams are among them: they can't be in time, but can still be complete.
func impatientStreams(load *loadshare.Load) int { return load.Tight + load.Late }

// withoutImpatientStreams keeps the engines on which a long pass loses no stream.
func withoutImpatientStreams(engines []Engine, candidates []int) []int {
	kept := make([]int, 0, len(candidates))
	for _, i := range candidates {
		if impatientStreams(&engines[i].Load) == 0 {
			kept = append(kept, i)
		}
	}
	return kept
}
