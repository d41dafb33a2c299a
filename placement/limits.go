package placement

import (
	"time"

	"celeryport/settings"
)

// What engines may read beside their streams follows from the law of the engines and
// from the pauses that the routes allow. As fixed times, these limits would be wrong for
// a fleet whose engines are faster or slower.
const (
	// passesWithoutPause stands in for the shortest pause where no route names one: a
	// stream is noticed to stand still when some of its events are missing.
	passesWithoutPause = 5
	// waitingShare is the part of the room of a pause that may wait at an engine with
	// tight streams, a new prompt included: two such parts may meet in one pass.
	waitingShare = 0.5
	// partShare is the part of the room of a pause that a part of a prompt may take
	// without being felt: two of them may meet in one pass, with two usual short
	// prompts.
	partShare = 0.3
	// spacedShare is the part of the room of a pause that a part of a long prompt may
	// take; the rest is for two or three short prompts.
	spacedShare = 0.6
	// calmRoom is the part of the room up to which the mean reading at an engine counts
	// as calm: more than short prompts alone leave there.
	calmRoom = 0.25
	// looseShare is the part of a pass full of reading that a stream has to bear to
	// share an engine with long reading.
	looseShare = 0.8
	// deepPieces is how much longer a piece in the middle of a long prompt takes than
	// one at its begin, because of the pairs.
	deepPieces = 2
	// shortPart is the part of what may wait that a usual short prompt takes; three of
	// them and a new one just fit.
	shortPart = 0.25
)

// leastPause is the shortest pause between two events that is in time on any route.
func leastPause(p *settings.EngineProfile) time.Duration {
	if p.LeastPause > 0 {
		return p.LeastPause
	}
	return passesWithoutPause * passOf(p, p.Slots)
}

// pauseRoom is what the shortest pause leaves for reading in a pass of an engine with
// all slots taken; a piece is never interrupted.
func pauseRoom(p *settings.EngineProfile) time.Duration {
	return max(leastPause(p)-passOf(p, p.Slots), pieceOf(p))
}

// shortReading is the most reading that may wait at an engine with tight streams, a
// new prompt included.
func shortReading(p *settings.EngineProfile) time.Duration { return share(waitingShare, pauseRoom(p)) }

// tightPart is the longest part that tight streams don't feel.
func tightPart(p *settings.EngineProfile) time.Duration { return share(partShare, pauseRoom(p)) }

// spacedPart is the longest part of a long prompt that tight streams don't feel. A pass
// is kept free after it, so that it never meets another one.
func spacedPart(p *settings.EngineProfile) time.Duration { return share(spacedShare, pauseRoom(p)) }

// usualShort is the reading of a usual short prompt.
func usualShort(p *settings.EngineProfile) time.Duration { return share(shortPart, shortReading(p)) }

// loosePause is the least pause with which a stream may share an engine with long
// reading, and the most reading that may wait beside such streams.
func loosePause(p *settings.EngineProfile) time.Duration { return share(looseShare, passReading(p)) }

// freeReading is the reading with which an engine counts as free: a piece, which it
// does not interrupt.
func freeReading(p *settings.EngineProfile) time.Duration { return deepPieces * pieceOf(p) }

// leastPart is the smallest part of a prompt, in tokens, that is worth another engine.
func leastPart(p *settings.EngineProfile) int { return max(1, leastPieces*p.Chunk) }

// leastPieces is how many pieces an engine reads at least of what it helps with.
const leastPieces = 2

// pieceOf returns how long an engine reads a piece at the begin of a prompt.
func pieceOf(p *settings.EngineProfile) time.Duration {
	if p.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(p.Chunk) / p.ReadRate * float64(time.Second))
}

// passReading is the most reading in one pass: a piece in each step. An engine
// reads a new prompt beside the others, so that it waits for no more than that, however
// much there is to read.
func passReading(p *settings.EngineProfile) time.Duration {
	return deepPieces * pieceOf(p) * time.Duration(max(1, p.Stride))
}

// tightValue is what a tight stream is worth, in tokens of the prompt: a usual short
// prompt and its answer.
func tightValue(p *settings.EngineProfile) float64 {
	return usualShort(p).Seconds()*p.ReadRate + float64(answerValue*p.UsualAnswer)
}

// FullWait is how long a call waits for its first event at an engine with all slots
// taken: for the end of a usual answer that has just begun.
func FullWait(p *settings.EngineProfile) time.Duration {
	passes := float64(p.UsualAnswer) / float64(max(1, p.Stride))
	return time.Duration(passes * float64(passOf(p, p.Slots)))
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
