package placement

import (
	"time"

	"celeryport/settings"
)

// The limits on prefill beside running streams are derived from the engine's performance profile
// and from the pauses that the routes allow. Fixed durations would be wrong for a fleet with
// faster or slower engines.
const (
	// defaultPausePasses replaces the shortest pause if no route sets one: a caller notices that
	// a stream stalls when a few of its events are missing.
	defaultPausePasses = 5
	// queuedFraction is the fraction of the pause budget that may be queued as prefill on an
	// engine with tight streams, including a new prompt. Two such amounts may fall into one
	// pass.
	queuedFraction = 0.5
	// partFraction is the fraction of the pause budget that a part of a prompt may take without
	// delaying a tight stream. Two parts may fall into one pass, together with two typical short
	// prompts.
	partFraction = 0.3
	// spacedPartFraction is the fraction of the pause budget that a part of a long prompt may
	// take; the rest is for two or three short prompts.
	spacedPartFraction = 0.6
	// calmFraction is the fraction of the pause budget up to which the mean queued prefill of
	// the engines counts as calm. It is more than short prompts alone cause.
	calmFraction = 0.25
	// longPauseFraction is the fraction of a pass filled with prefill that a stream must
	// tolerate as a pause to share an engine with long prefill.
	longPauseFraction = 0.8
	// deepChunkFactor is how many times as long a chunk in the middle of a long prompt takes as
	// one at the start, because of attention over the preceding tokens.
	deepChunkFactor = 2
	// typicalShortFraction is the fraction of maxShortPrefill that a typical short prompt takes,
	// so that three of them and a new one just fit.
	typicalShortFraction = 0.25
)

// minPause returns the shortest pause between two events that any route allows.
func minPause(p *settings.EngineProfile) time.Duration {
	if p.MinPauseLimit > 0 {
		return p.MinPauseLimit
	}
	return defaultPausePasses * passTime(p, p.Slots)
}

// pauseBudget returns the time that the shortest pause leaves for prefill in a pass of an engine
// with all slots taken. It is at least one chunk, because a chunk is never interrupted.
func pauseBudget(p *settings.EngineProfile) time.Duration {
	return max(minPause(p)-passTime(p, p.Slots), chunkTime(p))
}

// maxShortPrefill returns the maximum prefill time that may be queued on an engine with tight
// streams, including a new prompt.
func maxShortPrefill(p *settings.EngineProfile) time.Duration {
	return fraction(queuedFraction, pauseBudget(p))
}

// maxTightPart returns the longest part that doesn't delay tight streams.
func maxTightPart(p *settings.EngineProfile) time.Duration {
	return fraction(partFraction, pauseBudget(p))
}

// maxSpacedPart returns the longest part of a long prompt that doesn't delay tight streams when
// the pass after it is kept free, so that two such parts never fall into one pass.
func maxSpacedPart(p *settings.EngineProfile) time.Duration {
	return fraction(spacedPartFraction, pauseBudget(p))
}

// typicalShortPrefill returns the prefill time of a typical short prompt.
func typicalShortPrefill(p *settings.EngineProfile) time.Duration {
	return fraction(typicalShortFraction, maxShortPrefill(p))
}

// minLoosePause returns the shortest allowed pause with which a stream may share an engine with
// long prefill. It is also the maximum prefill time that may be queued beside such streams.
func minLoosePause(p *settings.EngineProfile) time.Duration {
	return fraction(longPauseFraction, maxPassPrefill(p))
}

// maxFreePrefill returns the queued prefill time up to which an engine counts as free: that of a
// chunk, which the engine doesn't interrupt.
func maxFreePrefill(p *settings.EngineProfile) time.Duration { return deepChunkFactor * chunkTime(p) }

// minPartTokens returns the smallest part of a prompt, in tokens, that is worth another engine.
func minPartTokens(p *settings.EngineProfile) int { return max(1, minPartChunks*p.Chunk) }

// minPartChunks is the minimum number of chunks that a helper prefills.
const minPartChunks = 2

// chunkTime returns the prefill time of a chunk at the start of a prompt.
func chunkTime(p *settings.EngineProfile) time.Duration {
	if p.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(p.Chunk) / p.PrefillRate * float64(time.Second))
}

// maxPassPrefill returns the maximum prefill time in one pass: a chunk in each step. An engine
// interleaves a new prompt with the queued ones, so a prompt waits for no more than this,
// however much is queued.
func maxPassPrefill(p *settings.EngineProfile) time.Duration {
	return deepChunkFactor * chunkTime(p) * time.Duration(max(1, p.Stride))
}

// tightStreamValue returns the value of a tight stream in prompt tokens: a typical short prompt
// and its answer.
func tightStreamValue(p *settings.EngineProfile) float64 {
	return typicalShortPrefill(p).Seconds()*p.PrefillRate + float64(answerTokenValue*p.MeanAnswer)
}

// FullWait returns how long a call waits for its first event on an engine with all slots taken:
// until the end of a typical answer that has just started.
func FullWait(p *settings.EngineProfile) time.Duration {
	passes := float64(p.MeanAnswer) / float64(max(1, p.Stride))
	return time.Duration(passes * float64(passTime(p, p.Slots)))
}

func fraction(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
